"""Validates the shares of room that the operators' configuration gives to queues.

An invalid value affects neither the other queues nor the rest of the configuration.
"""

from collections import defaultdict
from typing import Any

import attrs

from gapdrum.core.configuration import PERMILLE, Configuration, Queue
from gapdrum.exceptions import Finding

MAX_WEIGHT = 1_000
# The minimum and maximum value of each field.
BOUNDS = {
    "weight": (1, MAX_WEIGHT),
    "reserved_permille": (0, PERMILLE),
    "ceiling_permille": (1, PERMILLE),
}


@attrs.frozen
class QueuesWithShares:
    """The queues with their shares, and findings about the rejected values.

    Former shares that don't fit beside new ones are set to 0 without a finding.
    """

    queues: tuple[Queue, ...]
    findings: tuple[Finding, ...]


def apply_shares(
    queues: tuple[Queue, ...], routes: list[dict[str, Any]], former: Configuration | None
) -> QueuesWithShares:
    """Apply the shares in the routes; a queue with invalid ones keeps its former shares."""
    findings: list[Finding] = []
    updated = []
    for number, (queue, route) in enumerate(zip(queues, routes, strict=True)):
        found = _check_route(f"$.routes[{number}]", route)
        findings += found
        values = {name: route[name] for name in BOUNDS if name in route}
        updated.append(_with_former(queue, former) if found else attrs.evolve(queue, **values))
    return _limit_reserved(updated, findings, former)


def _check_route(place: str, route: dict[str, Any]) -> list[Finding]:
    findings = []
    for name, (minimum, maximum) in BOUNDS.items():
        value = route.get(name, minimum)
        if type(value) is not int or not minimum <= value <= maximum:
            message = f"must be an integer between {minimum} and {maximum}"
            findings.append(Finding(f"{place}.{name}", message))
    reserved = route.get("reserved_permille", 0)
    if not findings and reserved > route.get("ceiling_permille", PERMILLE):
        message = "must be no more than ceiling_permille"
        findings.append(Finding(f"{place}.reserved_permille", message))
    return findings


def _limit_reserved(
    queues: list[Queue], findings: list[Finding], former: Configuration | None
) -> QueuesWithShares:
    """Reject the reserved shares of an upstream if their sum exceeds the whole."""
    sums: dict[str, int] = defaultdict(int)
    for queue in queues:
        sums[queue.upstream] += queue.reserved_permille
    over = {upstream for upstream, total in sums.items() if total > PERMILLE}
    for number, queue in enumerate(queues):
        if queue.upstream in over and queue.reserved_permille:
            message = f"the shares of {queue.upstream} add up to {sums[queue.upstream]} permille"
            place = f"$.routes[{number}].reserved_permille"
            findings.append(Finding(place, message))
            queues[number] = _with_former(queue, former)
    sums.clear()
    for number, queue in enumerate(queues):  # former shares may not fit beside new ones
        sums[queue.upstream] += queue.reserved_permille
        if sums[queue.upstream] > PERMILLE:
            sums[queue.upstream] -= queue.reserved_permille
            queues[number] = attrs.evolve(queue, reserved_permille=0)
    return QueuesWithShares(tuple(queues), tuple(findings))


def _with_former(queue: Queue, former: Configuration | None) -> Queue:
    """Return a queue with its former shares, or with the defaults if it is new."""
    known = former.queue_named(queue.name) if former is not None else None
    if known is None:
        return attrs.evolve(queue, weight=1, reserved_permille=0, ceiling_permille=PERMILLE)
    return attrs.evolve(queue, **{name: getattr(known, name) for name in BOUNDS})
