"""How much work waits at an entry, how fast it is placed, and whether more still has a chance."""

from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from gapdrum.core.jobs import Job, Task, TaskPhase
from gapdrum.core.models import Step

# Over this time the rate of placed work is measured: longer than most tasks, shorter than the
# bursts that matter.
RATE_WINDOW_MS = 1_000
# After a pause or a start, the rate is that of the time since then, but of no less than this:
# what is placed in the first moment says little.
MIN_RATE_WINDOW_MS = 100
# Room that is free already takes this share of a job's own work off the wait.
OWN_WORK_SHARE = 0.3


def work_of(steps: Iterable[Step]) -> int:
    """Return the stated work of steps in core-milliseconds, times a thousand."""
    return sum(step.tasks * step.resources.cpu_milli * step.estimate_ms for step in steps)


def work_of_task(task: Task) -> int:
    """Return the stated work of one task, in the same unit."""
    return task.step.resources.cpu_milli * task.step.estimate_ms


@attrs.define
class Backlog:
    """Measures at which rate waiting work has been placed."""

    _placed: deque[tuple[int, int]] = attrs.Factory(deque)
    _sum: int = 0
    _since_ms: int = 0

    def record_placed(self, work: int, now_ms: int) -> None:
        """Note work that was handed to a runner."""
        if not self._placed:
            self._since_ms = now_ms
        self._placed.append((now_ms, work))
        self._sum += work
        self._trim(now_ms)

    def record_returned(self, work: int, now_ms: int) -> None:
        """Note work that came back unstarted."""
        self.record_placed(-work, now_ms)

    def _trim(self, now_ms: int) -> None:
        while self._placed and self._placed[0][0] < now_ms - RATE_WINDOW_MS:
            self._sum -= self._placed.popleft()[1]

    def rate(self, now_ms: int) -> float:
        """Return how much work was placed a millisecond, lately."""
        self._trim(now_ms)
        window_ms = min(RATE_WINDOW_MS, max(MIN_RATE_WINDOW_MS, now_ms - self._since_ms))
        return max(0, self._sum) / window_ms

    def wait_ms(self, work_ahead: float, now_ms: int) -> int:
        """Return how long so much work takes to be placed; 0 if nothing is known yet."""
        rate = self.rate(now_ms)
        return int(work_ahead / rate) if rate else 0


def tasks_ahead(jobs: Iterable[Job], priority: int, begin_by_ms: int) -> Iterator[Task]:
    """Yield the waiting tasks that go before a new job that should begin by a time."""
    for job in jobs:
        if job.is_unstarted and (job.priority, job.begin_by_ms) > (priority, begin_by_ms):
            continue
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING:
                yield task


def waiting_work(jobs: Iterable[Job], priority: int, begin_by_ms: int) -> int:
    """Return the work of waiting tasks that go before a new job that should begin by a time."""
    return sum(map(work_of_task, tasks_ahead(jobs, priority, begin_by_ms)))
