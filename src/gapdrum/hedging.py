"""Hedging: a second start for a straggler, only where the submission allows another start."""

from collections.abc import Iterable, Iterator

import attrs

from gapdrum.jobs import PLACED, Job, Task
from gapdrum.runtimes import RunTimes

TYPICAL_PERCENTILE = 90


@attrs.frozen
class Straggler:
    """A task that runs much longer than its kind does."""

    job: Job
    task: Task
    running_ms: int
    limit_ms: int


def find_stragglers(
    jobs: Iterable[Job], run_times: RunTimes, after_percent: int, now_ms: int
) -> Iterator[Straggler]:
    """Yield the tasks that may be started once more and have run too long."""
    for job in jobs:
        submission = job.submission
        if submission.starts_allowed < 2 or job.placement_closed_reason:
            continue
        run_time = run_times.of(submission.upstream, submission.kind)
        if not run_time.is_learned:
            continue
        limit_ms = run_time.percentile_ms(TYPICAL_PERCENTILE) * after_percent // 100
        for task in job.tasks:
            running_ms = _running_ms(task, now_ms)
            if running_ms > limit_ms:
                yield Straggler(job, task, running_ms, limit_ms)


def _running_ms(task: Task, now_ms: int) -> int:
    """Return how long the only attempt out has run, 0 if another start is not allowed."""
    if task.state != PLACED or not task.may_place():
        return 0
    out = task.outstanding_attempts()
    return now_ms - out[0].placed_at_ms if len(out) == 1 else 0
