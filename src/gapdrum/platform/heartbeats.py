"""Decodes heartbeats. They may come from another program, so each field is validated."""

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
MAX_REASON_LENGTH = 200  # of the reason in the log; a body may contain strings of any length
# The states that a heartbeat may state; any other is rejected as malformed.
STATE_READY = "ready"
STATE_DRAINING = "draining"


def _check_number(_instance: object, attribute: attrs.Attribute, value: object) -> None:
    is_number = type(value) in (int, float) and math.isfinite(value)
    if not is_number or value < 0:
        raise ValueError(f"{attribute.name} must be a non-negative number")


def _convert_list(value: object) -> tuple:
    if not isinstance(value, list):
        raise TypeError("expected a list")
    return tuple(value)


def _converted_field(name: str, convert: Callable[[Any], Any], **options: Any) -> Any:
    """Return a field whose value is converted; conversion errors name the field."""

    def convert_checked(value: Any) -> Any:
        try:
            return convert(value)
        except (TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"{name}: {error}") from error

    return attrs.field(converter=convert_checked, **options)


def _number_field() -> Any:
    """Return a field that no decision uses; a wrong type still makes a heartbeat malformed."""
    return attrs.field(default=0, validator=_check_number)


@attrs.frozen
class HeartbeatBody:
    """The fields of a heartbeat under their names on the wire; construction validates them."""

    service: str = text_field()
    address: Endpoint = _converted_field("address", parse_endpoint)
    zone: str = text_field()
    state: str = attrs.field(validator=validators.in_((STATE_READY, STATE_DRAINING)))
    capacity: Resources = _converted_field("capacity", decode_resources)
    sequence: int = count_field()
    # The runner's kind and its rack.
    labels: tuple[str, ...] = _converted_field(
        "labels",
        _convert_list,
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
    """Decode a heartbeat; raises a ValueError that names the invalid field.

    Unknown fields are ignored.
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
