"""Admission control: refuses jobs at once whose wait would exceed their limit."""

from collections.abc import Callable, Sequence

import attrs

from gapdrum.core.configuration import Queue
from gapdrum.core.jobs import begin_within_ms, longest_chain_ms
from gapdrum.core.models import Step
from gapdrum.core.placer import Placer
from gapdrum.core.reach import VisibleCapacity
from gapdrum.timers import Timers

# The wait is an estimate, so a job is refused only if it exceeds the limit by this factor; a
# factor of 1 refuses more jobs at 90% load.
WAIT_TOLERANCE_FACTOR = 1.5


@attrs.frozen
class Overload:
    """The estimated wait of a refused job, and the figures that it is estimated from."""

    wait_ms: int
    begin_within_ms: int
    waiting_jobs: int
    free_cpu_milli: int


class Admission:
    """Estimates the wait of a new job from the queued work and the placement rate."""

    def __init__(
        self,
        placer: Placer,
        timers: Timers,
        peer_views: Callable[[], Sequence[VisibleCapacity]] = tuple,
    ) -> None:
        self._placer = placer
        self._timers = timers
        self._peer_views = peer_views

    def is_unschedulable(self, queue: Queue, steps: tuple[Step, ...]) -> bool:
        """Return whether a job could run in drained zones only.

        Returns False while peers see agents in open zones, as some of these agents are about to
        connect to this entry.
        """
        if any(view.agents for view in self._peer_views()):
            return False
        return self._placer.is_unschedulable(queue.upstream, steps)

    def check_overload(self, queue: Queue, steps: tuple[Step, ...]) -> Overload | None:
        """Return None to admit a job, or why it would wait beyond its limit."""
        now_ms = self._timers.now_ms()
        self._placer.meter.note(queue, steps, now_ms)
        chain_ms = longest_chain_ms(steps)
        within_ms = begin_within_ms(chain_ms, queue.latency_factor, queue.latency_slack_ms)
        begin_by_ms = now_ms + within_ms
        wait_ms = self._placer.expected_wait_ms(steps, queue.priority, begin_by_ms, now_ms)
        if wait_ms <= WAIT_TOLERANCE_FACTOR * within_ms:
            return None
        placer = self._placer
        # After few recent placements the rate is low, and any queued work looks like a long wait.
        if placer.fits_now(queue.upstream, steps, queue.priority, begin_by_ms, now_ms):
            return None
        return Overload(wait_ms, within_ms, len(placer.waiting), placer.fleet.free_cpu_milli())
