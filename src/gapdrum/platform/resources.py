"""Room as the platform writes it, of tasks and of runners alike."""

from collections.abc import Mapping
from typing import Any

from gapdrum.core.models import Resources


def decode_resources(document: Mapping[str, Any]) -> Resources:
    """Return the room in a document; a field that is left out is 0."""
    # ``cpu`` is in thousandths of a core, ``gpu`` counts accelerators.
    return Resources(document.get("cpu", 0), document.get("mem_mb", 0), document.get("gpu", 0))
