"""Decodes resources, of tasks and of runners alike."""

from collections.abc import Mapping
from typing import Any

from gapdrum.core.models import Resources

MAX_AMOUNT = 2**31


def decode_resources(document: Mapping[str, Any]) -> Resources:
    """Decode the resources in a document; a missing field counts as 0.

    Raises TypeError or ValueError for a field of another type, or out of range.
    """
    if not isinstance(document, Mapping):
        raise TypeError("resources must be an object")
    # ``cpu`` is in thousandths of a core, ``gpu`` counts accelerators.
    return Resources(*(_decode_amount(document, name) for name in ("cpu", "mem_mb", "gpu")))


def _decode_amount(document: Mapping[str, Any], name: str) -> int:
    amount = document.get(name, 0)
    if type(amount) is not int or not 0 <= amount <= MAX_AMOUNT:
        raise ValueError(f"{name} must be an integer from 0 to 2**31")
    return amount
