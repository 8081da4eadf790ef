"""Hedging: starts a straggler a second time if the submission allows another start."""

from collections.abc import Iterable, Iterator

import attrs

from gapdrum.jobs import PLACED, Job, Task
from gapdrum.runtimes import RunTimes

TYPICAL_PERCENTILE = 90


@attrs.frozen
class Straggler:
    """A task that runs much longer than others of its kind."""

    job: Job
    task: Task
    running_ms: int
    limit_ms: int


def find_stragglers(
    jobs: Iterable[Job], run_times: RunTimes, after_percent: int, now_ms: int
) -> Iterator[Straggler]:
    """Yield the tasks that have run too long and may be started once more."""
    for job in jobs:
        submission = job.submission
        if submission.starts_allowed < 2 or job.placement_closed_reason:
            continue
        run_time = run_times.for_kind(submission.upstream, submission.kind)
        if not run_time.is_learned:
            continue
        limit_ms = run_time.percentile_ms(TYPICAL_PERCENTILE) * after_percent // 100
        for task in job.tasks:
            running_ms = _running_ms(task, now_ms)
            if running_ms > limit_ms:
                yield Straggler(job, task, running_ms, limit_ms)


def _running_ms(task: Task, now_ms: int) -> int:
    """Return how long the only outstanding attempt has run, 0 if no other start is allowed."""
    if task.state != PLACED or not task.may_place():
        return 0
    outstanding = task.outstanding_attempts()
    return now_ms - outstanding[0].placed_at_ms if len(outstanding) == 1 else 0
