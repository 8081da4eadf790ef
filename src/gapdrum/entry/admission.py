"""Refuses jobs that would only wait: overload is told at once, with a time to come back."""

from collections.abc import Callable, Sequence

import attrs

from gapdrum.core.configuration import Queue
from gapdrum.core.jobs import begin_within_ms, longest_chain_ms
from gapdrum.core.models import Step
from gapdrum.core.placer import Placer
from gapdrum.core.reach import VisibleCapacity
from gapdrum.timers import Timers

# The wait is an estimate: only a job that would begin too late by this factor is refused at
# once. In replays of a load of 90% of the room a factor of 1 refuses 2.2% so, 1.5 refuses 1.3%.
WAIT_TOLERANCE_FACTOR = 1.5


@attrs.frozen
class Overload:
    """Why a job is refused: how long it would wait, and what that was estimated from."""

    wait_ms: int
    begin_within_ms: int
    waiting_jobs: int
    free_cpu_milli: int


class Admission:
    """Judges a new job by the work that waits and the rate at which it is placed."""

    def __init__(
        self,
        placer: Placer,
        timers: Timers,
        peer_views: Callable[[], Sequence[VisibleCapacity]] = tuple,
    ) -> None:
        self._placer = placer
        self._timers = timers
        self._views_elsewhere = peer_views

    def is_unschedulable(self, queue: Queue, steps: tuple[Step, ...]) -> bool:
        """Tell whether a job could run in drained zones only, so that it would wait in vain.

        While other entries see agents in open zones, some of those are about to join this one.
        """
        if any(view.agents for view in self._views_elsewhere()):
            return False
        return self._placer.is_unschedulable(queue.upstream, steps)

    def check_overload(self, queue: Queue, steps: tuple[Step, ...]) -> Overload | None:
        """Return None to admit a job; it is refused if it would only wait until it is given up."""
        now_ms = self._timers.now_ms()
        self._placer.meter.note(queue, steps, now_ms)
        chain_ms = longest_chain_ms(steps)
        within_ms = begin_within_ms(chain_ms, queue.latency_factor, queue.latency_slack_ms)
        begin_by_ms = now_ms + within_ms
        wait_ms = self._placer.expected_wait_ms(steps, queue.priority, begin_by_ms, now_ms)
        if wait_ms <= WAIT_TOLERANCE_FACTOR * within_ms:
            return None
        placer = self._placer
        # An entry that has placed little lately takes any work that waits for a long wait.
        if placer.fits_now(queue.upstream, steps, queue.priority, begin_by_ms, now_ms):
            return None
        return Overload(wait_ms, within_ms, len(placer.waiting), placer.fleet.free_cpu_milli())
