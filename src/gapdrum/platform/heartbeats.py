"""Heartbeats of runners. They may come from another writer: each field is checked."""

import json
import math
from collections.abc import Callable
from typing import Any

import attrs
from attrs import validators

from gapdrum.core.endpoints import Endpoint, parse_endpoint
from gapdrum.core.models import Resources
from gapdrum.core.runner_models import Heartbeat
from gapdrum.platform.resources import decode_resources
from gapdrum.structures import count_field, text_field

MAX_LABELS = 64
MAX_REASON_LENGTH = 200  # of a log line; a body may hold texts of any length
# A runner that says anything else of itself is in a state that this program doesn't know.
STATE_READY = "ready"
STATE_DRAINING = "draining"


def _check_number(_instance: object, attribute: attrs.Attribute, value: object) -> None:
    is_number = type(value) in (int, float) and math.isfinite(value)
    if not is_number or value < 0:
        raise ValueError(f"{attribute.name} must be a number from 0 on")


def _take_list(value: object) -> tuple:
    if not isinstance(value, list):
        raise TypeError("expected a list")
    return tuple(value)


def _converted_field(name: str, convert: Callable[[Any], Any], **options: Any) -> Any:
    """Return a field whose value is converted; an error names it."""

    def take(value: Any) -> Any:
        try:
            return convert(value)
        except (TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"{name}: {error}") from error

    return attrs.field(converter=take, **options)


def _number_field() -> Any:
    """Return a field that nothing is decided by; of another type, it shows another writer."""
    return attrs.field(default=0, validator=_check_number)


@attrs.frozen
class HeartbeatBody:
    """The fields of a heartbeat as they are on the wire; building it checks them."""

    service: str = text_field()
    address: Endpoint = _converted_field("address", parse_endpoint)
    zone: str = text_field()
    state: str = attrs.field(validator=validators.in_((STATE_READY, STATE_DRAINING)))
    capacity: Resources = _converted_field("capacity", decode_resources)
    sequence: int = count_field()
    # The runner's kind and its rack.
    labels: tuple[str, ...] = _converted_field(
        "labels",
        _take_list,
        factory=list,
        validator=[
            validators.deep_iterable(validators.instance_of(str)),
            validators.max_len(MAX_LABELS),
        ],
    )
    slots: int = _number_field()
    cold_left_ms: int = _number_field()
    remaining_ms: int = _number_field()
    clock_ms: int = _number_field()


_FIELDS = frozenset(field.name for field in attrs.fields(HeartbeatBody))


def decode_heartbeat(runner_id: str, body: bytes) -> Heartbeat:
    """Return the heartbeat in a body; raises ValueError that names the field.

    Fields that this program doesn't know are passed over.
    """
    try:
        document = json.loads(body)
        known = {name: value for name, value in document.items() if name in _FIELDS}
        checked = HeartbeatBody(**known)
    except (TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"the heartbeat is malformed: {error}"[:MAX_REASON_LENGTH]) from error
    return Heartbeat(
        runner_id=runner_id,
        upstream=checked.service,
        address=checked.address,
        zone=checked.zone,
        draining=checked.state == STATE_DRAINING,
        capacity=checked.capacity,
        labels=checked.labels,
        sequence=checked.sequence,
    )
