"""What a runner reports about itself and the runs that it holds."""

import attrs

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, RunEnd, RunKey


@attrs.frozen
class Heartbeat:
    """A runner's report about itself to its agent, not the heartbeat from agent to entry."""

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
    """A runner as the platform's list of machines describes it."""

    upstream: str
    capacity: Resources
    labels: tuple[str, ...]


@attrs.frozen
class RunningTask:
    """A run at work; ``percent`` is its progress."""

    run: RunKey
    percent: int


@attrs.frozen
class EndedRun:
    """A run that has ended; ``number`` counts the ends at this incarnation of the runner."""

    number: int
    run: RunKey
    end: RunEnd


@attrs.frozen
class RunnerSnapshot:
    """The runs at work at a runner and its listed ends, at one reading of its steady clock."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
