"""Refuses jobs that would only wait: overload is told at once, with a time to come back."""

from gapdrum.core.configuration import Queue
from gapdrum.core.jobs import OVERHEAD_MS, longest_chain_ms
from gapdrum.core.models import Step
from gapdrum.core.placer import Placer
from gapdrum.timers import Timers

# The wait is an estimate: only a job that would miss its objective by this much is refused.
DOUBT_FACTOR = 1.5


class Admission:
    """Judges a new job by the work that waits and the rate at which it is placed."""

    def __init__(self, placer: Placer, timers: Timers) -> None:
        self._placer = placer
        self._timers = timers

    def must_wait_ms(self, queue: Queue, steps: tuple[Step, ...]) -> int:
        """Return 0 to admit a job, else after how long it may be handed in again."""
        now_ms = self._timers.now_ms()
        chain_ms = longest_chain_ms(steps)
        slack_ms = chain_ms * (queue.latency_factor - 1) + queue.latency_slack_ms - OVERHEAD_MS
        latest_start_ms = now_ms + int(slack_ms)
        wait_ms = self._placer.expected_wait_ms(steps, queue.priority, latest_start_ms, now_ms)
        return wait_ms if wait_ms > DOUBT_FACTOR * max(0, slack_ms) else 0
