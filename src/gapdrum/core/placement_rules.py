"""The choice of a runner for a task, and the order in which jobs wait."""

import enum
import random
from collections.abc import Iterable

import attrs

from gapdrum.core import orders
from gapdrum.core.expected_end import CompletionForecast, ObjectiveMargin, left_ms, objective_margin
from gapdrum.core.fleet_speeds import FleetSpeeds, measure_speeds
from gapdrum.core.jobs import Job, Task
from gapdrum.core.models import Step
from gapdrum.core.runner_views import RunnerView

# A task goes to the best of so many random runners. All entries see the same free room: if each
# took the freest of all, most of their orders would meet at a few runners and be refused.
CANDIDATES = 4
# Free shares are compared in so many steps, so that the own zone decides between equals.
FREE_SHARE_STEPS = 8
# If a larger share of the runners is suspect, the tasks are at fault and not the runners.
MAX_SUSPECT_SHARE = 0.5
# A runner is slow above this many times the usual run time; those of healthy runners differ by a
# factor of 1.6.
SLOW_RUNNER_FACTOR = 2.5
PERMILLE = 1_000
# A job's slack is divided by this for each level of its queue's priority, 0 the most urgent.
PRIORITY_WEIGHT = 0.3
# Urgency levels of a priority class: each halving of slack is one, from about a minute down.
MAX_HALVINGS = 16

Score = tuple[bool, bool, ObjectiveMargin, bool, float, bool, int]


@attrs.frozen
class RunnerPool:
    """The usable runners of an upstream at one moment, and their speeds.

    The runners ``with_room`` had room for the smallest waiting task.
    """

    runners: tuple[RunnerView, ...]
    with_room: tuple[RunnerView, ...]
    suspects_allowed: bool
    speeds: FleetSpeeds
    far_factor: float = 1.0  # how many times as long a task takes off its data's rack
    _best: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)

    def is_slow(self, view: RunnerView) -> bool:
        """Tell whether a runner is much slower than usual."""
        usual = self.speeds.usual_permille
        return bool(usual) and view.slowness_permille > SLOW_RUNNER_FACTOR * usual

    def forecast_completion(self, job: Job, task: Task, now_ms: int) -> CompletionForecast:
        """Return the forecast of a task that begins now."""
        step = task.step
        time_ms = left_ms(job, task, now_ms)
        best = objective_margin(step.estimate_ms * self._best_factor(step), time_ms)
        return CompletionForecast(self.speeds, step, self.far_factor, time_ms, best)

    def _best_factor(self, step: Step) -> float:
        """Return the factor from stated work to expected duration at the best runners."""
        if not step.data_rack or self.far_factor == 1.0:
            return self.speeds.fastest
        wanted = (step.data_rack, step.required_label)
        if wanted not in self._best:
            near = [
                self.speeds.of(view)
                for view in self.runners
                if step.data_rack in view.labels and could_hold(view, step)
            ]
            self._best[wanted] = min(near, default=self.far_factor * self.speeds.fastest)
        return self._best[wanted]


def build_pool(
    runners: Iterable[RunnerView],
    upstream: str,
    least_cpu_milli: int = 0,
    far_factor: float = 1.0,
) -> RunnerPool:
    """Return an upstream's pool of usable runners, and which have room for a least size."""
    states = (orders.READY, orders.SUSPECT)
    views = tuple(
        view
        for view in runners
        if view.upstream == upstream and view.synced and view.state in states
    )
    suspects = sum(view.state == orders.SUSPECT for view in views)
    with_room = tuple(view for view in views if view.free.cpu_milli >= least_cpu_milli)
    suspects_allowed = suspects > len(views) * MAX_SUSPECT_SHARE
    speeds = measure_speeds(views)
    return RunnerPool(views, with_room, suspects_allowed, speeds, far_factor)


class PriorityClass(enum.IntEnum):
    """The order in which jobs get scarce room, the lowest first."""

    BEGUN = 0  # can still meet its objective
    BEGUN_LATE = 1
    NEW = 2
    NEW_LATE = 3


def priority_class(job: Job, now_ms: int) -> PriorityClass:
    """Return the priority class of a waiting job.

    The work of a job is lost unless all its tasks end, so jobs that have begun go before new
    ones: few are begun, and all of them are completed.
    """
    if job.is_unstarted:
        return PriorityClass.NEW if now_ms <= job.begin_by_ms else PriorityClass.NEW_LATE
    return PriorityClass.BEGUN if now_ms <= job.latest_start_ms else PriorityClass.BEGUN_LATE


def waiting_order(job: Job, now_ms: int) -> tuple[PriorityClass, float, int, str]:
    """Return the sort key of a waiting job: its priority class, then its slack.

    Jobs of a class without slack wait in the order of their acceptance.
    """
    slack_ms = _slack_ms(job, now_ms)
    return (priority_class(job, now_ms), slack_ms, job.accepted_ms, job.job_id)


def urgency_of(job: Job, now_ms: int) -> int:
    """Return a job's urgency, greater for the more urgent: its class, then how small its slack is.

    Agents offer room to the entry with the most urgent job. If any waiting entry got the offer,
    the jobs that are served worst already would be served less well.
    """
    job_class = priority_class(job, now_ms)
    halvings = MAX_HALVINGS - int(_slack_ms(job, now_ms)).bit_length()
    return (PriorityClass.NEW_LATE - job_class) * MAX_HALVINGS + max(0, halvings)


def _slack_ms(job: Job, now_ms: int) -> float:
    """Return a job's slack: the time that it may still wait, weighted by its priority."""
    until_ms = job.begin_by_ms if job.is_unstarted else job.latest_start_ms
    return max(0, until_ms - now_ms) / PRIORITY_WEIGHT**job.priority


def choose_runner(
    job: Job, task: Task, pool: RunnerPool, zone: str, now_ms: int, rng: random.Random
) -> RunnerView | None:
    """Return the runner for a task, None if the task has to wait.

    The search ends once ``CANDIDATES`` runners without a drawback are found.
    """
    best = None
    best_score = None
    found = 0
    forecast = pool.forecast_completion(job, task, now_ms)
    for view in _rotate_randomly(pool.with_room, rng):
        if not _may_take(view, job, task, pool, now_ms) or forecast.is_worth_waiting(view):
            continue
        score = _score(view, task, forecast, pool, zone)
        if best_score is None or score > best_score:
            best, best_score = view, score
        found += _is_flawless(score, forecast)
        if found == CANDIDATES:
            break
    return best


def waits_for_better(job: Job, task: Task, pool: RunnerPool, now_ms: int) -> bool:
    """Tell whether an unplaced task could take room now, so that it waits for a better runner.

    That it would end late there is inferred from its not being placed. It need not hold for a
    task that the pass did not try, after others of its size had found no room.
    """
    if not pool.speeds.relative and not task.step.data_rack:
        return False
    return any(_may_take(view, job, task, pool, now_ms) for view in pool.with_room)


def _rotate_randomly(runners: tuple[RunnerView, ...], rng: random.Random) -> tuple[RunnerView, ...]:
    """Rotate the runners to a random start, which costs less than a shuffle."""
    if not runners:
        return runners
    begin = rng.randrange(len(runners))
    return runners[begin:] + runners[:begin]


def may_ever_fit(task: Task, pool: RunnerPool) -> bool:
    """Tell whether a runner of the pool could hold the task if it were idle."""
    return any(could_hold(view, task.step) for view in pool.runners)


def could_hold(view: RunnerView, step: Step) -> bool:
    """Tell whether a runner could hold a task of a step if it were idle."""
    label = step.required_label
    return view.capacity.holds(step.resources) and (not label or label in view.labels)


def _may_take(view: RunnerView, job: Job, task: Task, pool: RunnerPool, now_ms: int) -> bool:
    if view.state == orders.SUSPECT and not pool.suspects_allowed:
        return False
    if not view.may_use(job.queue, task.step.resources) or view.agent.is_stale(now_ms):
        return False
    if pool.is_slow(view) and _would_miss_firm_deadline(view, job, task, now_ms):
        return False
    label = task.step.required_label
    if label and label not in view.labels:
        return False
    limit = task.step.runner_limit
    return not limit or _count_same_step(view, task) < limit


def _would_miss_firm_deadline(view: RunnerView, job: Job, task: Task, now_ms: int) -> bool:
    """Tell whether a slow runner would end a task after its job's firm deadline."""
    expected_ms = task.step.estimate_ms * view.slowness_permille / PERMILLE
    return now_ms + expected_ms > job.firm_deadline_ms


def _count_same_step(view: RunnerView, task: Task) -> int:
    name = task.name
    return sum(
        other.name.job_id == name.job_id and other.name.step == name.step for other in view.out
    )


def _score(
    view: RunnerView, task: Task, forecast: CompletionForecast, pool: RunnerPool, zone: str
) -> Score:
    """Return the score of a runner with room for a task; the highest is the best.

    Not avoided, not slow, deadline margin, data near, free share (less at a slow runner), own
    zone, free room.
    """
    capacity = max(1, view.capacity.cpu_milli)
    free_cpu_milli = view.free.cpu_milli
    rack = task.step.data_rack
    return (
        view.place.runner_id not in task.avoided,
        not pool.is_slow(view),
        min(forecast.best, forecast.objective_margin(view)),
        not rack or rack in view.labels,
        free_cpu_milli * FREE_SHARE_STEPS / pool.speeds.of(view) // capacity,
        view.agent.zone == zone,
        free_cpu_milli,
    )


def _is_flawless(score: Score, forecast: CompletionForecast) -> bool:
    """Tell whether a runner has no drawback for the task."""
    not_avoided, not_slow, margin, near, *_ = score
    return not_avoided and not_slow and margin == forecast.best and near
