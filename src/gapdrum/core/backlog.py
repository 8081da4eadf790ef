"""The work that waits at an entry, the rate at which it is placed, and the wait that results."""

from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from gapdrum.core.jobs import Job, Task, TaskPhase
from gapdrum.core.models import Step

# Window of the rate of placed work: longer than most tasks, shorter than the bursts that matter.
RATE_WINDOW_MS = 1_000
# Shortest window after a pause or a start: the work placed in the first moment says little of the
# rate.
MIN_RATE_WINDOW_MS = 100
# Share of a new job's own work that counts as waiting; free room takes the rest.
OWN_WORK_SHARE = 0.3


def work_of(steps: Iterable[Step]) -> int:
    """Return the work of steps: their room in milli-cores times their estimates in milliseconds."""
    return sum(step.tasks * step.resources.cpu_milli * step.estimate_ms for step in steps)


def work_of_task(task: Task) -> int:
    """Return the work of one task, in the same unit."""
    return task.step.resources.cpu_milli * task.step.estimate_ms


@attrs.define
class Backlog:
    """Measures the rate at which waiting work is placed."""

    _placed: deque[tuple[int, int]] = attrs.Factory(deque)
    _sum: int = 0
    _since_ms: int = 0

    def record_placed(self, work: int, now_ms: int) -> None:
        """Record work that was placed on a runner."""
        if not self._placed:
            self._since_ms = now_ms
        self._placed.append((now_ms, work))
        self._sum += work
        self._drop_old(now_ms)

    def record_returned(self, work: int, now_ms: int) -> None:
        """Record placed work that is requeued before its start."""
        self.record_placed(-work, now_ms)

    def _drop_old(self, now_ms: int) -> None:
        while self._placed and self._placed[0][0] < now_ms - RATE_WINDOW_MS:
            self._sum -= self._placed.popleft()[1]

    def rate(self, now_ms: int) -> float:
        """Return the work placed per millisecond within the window."""
        self._drop_old(now_ms)
        window_ms = min(RATE_WINDOW_MS, max(MIN_RATE_WINDOW_MS, now_ms - self._since_ms))
        return max(0, self._sum) / window_ms

    def wait_ms(self, work_ahead: float, now_ms: int) -> int:
        """Return the time to place so much work at the current rate, 0 if that is not known."""
        rate = self.rate(now_ms)
        return int(work_ahead / rate) if rate else 0


def tasks_ahead(jobs: Iterable[Job], priority: int, begin_by_ms: int) -> Iterator[Task]:
    """Yield about the waiting tasks that are placed before a new job that should begin by a time.

    Unstarted jobs are compared by priority, then time; placement divides slack by the priority's
    weight instead (``placement_rules.waiting_order``).
    """
    for job in jobs:
        if job.is_unstarted and (job.priority, job.begin_by_ms) > (priority, begin_by_ms):
            continue
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING:
                yield task


def waiting_work(jobs: Iterable[Job], priority: int, begin_by_ms: int) -> int:
    """Return the work of the waiting tasks placed before such a new job."""
    return sum(map(work_of_task, tasks_ahead(jobs, priority, begin_by_ms)))
