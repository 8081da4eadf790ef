"""Which runner a task goes to, and in which order tasks wait."""

from collections.abc import Iterable

from gapdrum.core import orders
from gapdrum.core.jobs import Job, Task
from gapdrum.core.runner_views import RunnerView

# Freeness is compared in steps of this share, so that the own zone decides between equals.
FREE_SHARE_STEPS = 8


def waiting_order(job: Job) -> tuple[int, int, str]:
    """Return the key by which jobs wait: the queue's priority, then age."""
    return (job.priority, job.accepted_ms, job.job_id)


def choose_runner(
    job: Job, task: Task, runners: Iterable[RunnerView], zone: str, now_ms: int
) -> RunnerView | None:
    """Return the best runner with room for a task, None if it has to wait."""
    best = None
    best_score = None
    for view in runners:
        if not _may_take(view, job, task, now_ms):
            continue
        score = _score(view, task, zone)
        if best_score is None or score > best_score:
            best, best_score = view, score
    return best


def _may_take(view: RunnerView, job: Job, task: Task, now_ms: int) -> bool:
    if view.state != orders.READY or view.upstream != job.upstream or not view.synced:
        return False
    if not view.free.holds(task.step.resources) or view.agent.is_quiet(now_ms):
        return False
    label = task.step.required_label
    if label and label not in view.labels:
        return False
    limit = task.step.runner_limit
    return not limit or _count_same_step(view, task) < limit


def _count_same_step(view: RunnerView, task: Task) -> int:
    name = task.name
    return sum(
        other.name.job_id == name.job_id and other.name.step == name.step for other in view.out
    )


def _score(view: RunnerView, task: Task, zone: str) -> tuple[bool, bool, int, bool, int]:
    """Return what is compared: no failure there, data near, room, own zone, exact room."""
    capacity = max(1, view.capacity.cpu_milli)
    return (
        view.place.runner_id not in task.failed_at,
        not task.step.data_rack or task.step.data_rack in view.labels,
        view.free.cpu_milli * FREE_SHARE_STEPS // capacity,
        view.agent.zone == zone,
        view.free.cpu_milli,
    )
