"""What a runner says of itself and of the runs that it holds."""

import attrs

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, RunEnd, RunKey


@attrs.frozen
class Heartbeat:
    """A runner's report about itself."""

    runner_id: str
    upstream: str
    address: Endpoint
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    sequence: int


@attrs.frozen
class ListedRunner:
    """What the platform's list of machines says of a runner."""

    upstream: str
    capacity: Resources
    labels: tuple[str, ...]


@attrs.frozen
class RunningTask:
    """A run at work; ``percent`` is how much of its work is done."""

    run: RunKey
    percent: int


@attrs.frozen
class EndedRun:
    """A run that is over; ``number`` rises by one with each end at this incarnation."""

    number: int
    run: RunKey
    end: RunEnd


@attrs.frozen
class RunnerSnapshot:
    """What runs at a runner and what has ended, at one reading of its steady clock."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
