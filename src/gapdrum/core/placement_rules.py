"""Which runner a task goes to, and in which order tasks wait."""

import enum
import random
from collections.abc import Iterable

import attrs

from gapdrum.core import orders
from gapdrum.core.expected_end import CompletionForecast, DeadlineMargin, deadline_margin, left_ms
from gapdrum.core.fleet_speeds import FleetSpeeds, measure_speeds
from gapdrum.core.jobs import Job, Task
from gapdrum.core.models import Step
from gapdrum.core.runner_views import RunnerView

# The freest of so many runners, taken at random, gets a task. All entries hear of the same room:
# if each took the freest of all, most of their orders would meet at a few runners and be refused.
CANDIDATES = 4
# Freeness is compared in steps of this share, so that the own zone decides between equals.
FREE_SHARE_STEPS = 8
# If more than this share of the runners is suspect, the tasks are at fault and not the runners.
MAX_SUSPECT_SHARE = 0.5
# A runner counts as slow from this many times the usual slowness on; sound ones differ by 1.6.
SLOW_FACTOR = 2.5
PERMILLE = 1_000
# The time that a job has left is divided by this for each step that its queue comes later.
PRIORITY_WEIGHT = 0.3
# Times left are told apart by their doublings, up to about a minute.
MOST_HALVINGS = 16

Score = tuple[bool, bool, DeadlineMargin, bool, float, bool, int]


@attrs.frozen
class RunnerPool:
    """The runners of an upstream at one moment, and what is usual among them.

    Those ``with_room`` had room for the smallest task that waited.
    """

    runners: tuple[RunnerView, ...]
    with_room: tuple[RunnerView, ...]
    suspects_allowed: bool
    speeds: FleetSpeeds
    far_factor: float = 1.0  # how much longer a task takes away from its data's rack
    _best: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)

    def is_slow(self, view: RunnerView) -> bool:
        """Tell whether a runner is much slower than is usual."""
        usual = self.speeds.usual_permille
        return bool(usual) and view.slowness_permille > SLOW_FACTOR * usual

    def forecast_completion(self, job: Job, task: Task, now_ms: int) -> CompletionForecast:
        """Return what a task may expect if it begins now."""
        step = task.step
        time_ms = left_ms(job, task, now_ms)
        best = deadline_margin(step.estimate_ms * self._best_factor(step), time_ms)
        return CompletionForecast(self.speeds, step, self.far_factor, time_ms, best)

    def _best_factor(self, step: Step) -> float:
        """Return how many times its stated work a task takes where it takes least."""
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
    """Return the runners of an upstream that may be considered for tasks of some size or more."""
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
    """Which jobs go before which when room is scarce, the first ones first."""

    BEGUN = 0  # and may still end in time
    BEGUN_LATE = 1
    NEW = 2
    NEW_LATE = 3


def priority_class(job: Job, now_ms: int) -> PriorityClass:
    """Return where a job stands among those that wait.

    Work that has begun is lost unless all tasks of its job end, so few jobs are begun and all
    of them ended. Replays of overload (six seeds): 1.5% of the jobs end late, 3.9% if those that
    have begun wait like new ones.
    """
    if job.is_unstarted:
        return PriorityClass.NEW if now_ms <= job.begin_by_ms else PriorityClass.NEW_LATE
    return PriorityClass.BEGUN if now_ms <= job.latest_start_ms else PriorityClass.BEGUN_LATE


def waiting_order(job: Job, now_ms: int) -> tuple[PriorityClass, float, int, str]:
    """Return the key by which jobs wait: by their standing, then by the time left.

    Those that have none left wait in the order in which they came.
    """
    time_left_ms = _time_left(job, now_ms)
    return (priority_class(job, now_ms), time_left_ms, job.accepted_ms, job.job_id)


def urgency_of(job: Job, now_ms: int) -> int:
    """Return how urgently a job waits for room: by its standing, then in halvings of time left.

    Agents offer room to the most urgent work of all entries. Replays of overload (six seeds):
    the worst-served kind of job earns 76% of its worth, 63% if any entry may be chosen.
    """
    standing = priority_class(job, now_ms)
    halvings = MOST_HALVINGS - int(_time_left(job, now_ms)).bit_length()
    return (PriorityClass.NEW_LATE - standing) * MOST_HALVINGS + max(0, halvings)


def _time_left(job: Job, now_ms: int) -> float:
    """Return how long a job may still wait, the longer the less its queue's priority."""
    until_ms = job.begin_by_ms if job.is_unstarted else job.latest_start_ms
    return max(0, until_ms - now_ms) / PRIORITY_WEIGHT**job.priority


def choose_runner(
    job: Job, task: Task, field: RunnerPool, zone: str, now_ms: int, rng: random.Random
) -> RunnerView | None:
    """Return a good runner with room for a task, None if it has to wait.

    All that have some room are looked through only while fewer than ``CANDIDATES`` are found
    that nothing speaks against.
    """
    best = None
    best_score = None
    found = 0
    outlook = field.forecast_completion(job, task, now_ms)
    for view in _in_random_order(field.with_room, rng):
        if not _may_take(view, job, task, field, now_ms) or outlook.is_worth_waiting(view):
            continue
        score = _score(view, task, outlook, field, zone)
        if best_score is None or score > best_score:
            best, best_score = view, score
        found += _is_sound(score, outlook)
        if found == CANDIDATES:
            break
    return best


def waits_for_better(job: Job, task: Task, field: RunnerPool, now_ms: int) -> bool:
    """Tell whether a task that was not placed leaves room unused where it would end late."""
    if not field.speeds.relative and not task.step.data_rack:
        return False
    return any(_may_take(view, job, task, field, now_ms) for view in field.with_room)


def _in_random_order(runners: tuple[RunnerView, ...], rng: random.Random) -> tuple[RunnerView, ...]:
    """Return the runners from one taken at random on, which costs less than to shuffle them."""
    if not runners:
        return runners
    begin = rng.randrange(len(runners))
    return runners[begin:] + runners[:begin]


def may_ever_fit(task: Task, field: RunnerPool) -> bool:
    """Tell whether a runner would take the task if nothing ran there."""
    return any(could_hold(view, task.step) for view in field.runners)


def could_hold(view: RunnerView, step: Step) -> bool:
    """Tell whether a runner would take a task of a step if nothing ran there."""
    label = step.required_label
    return view.capacity.holds(step.resources) and (not label or label in view.labels)


def _may_take(view: RunnerView, job: Job, task: Task, field: RunnerPool, now_ms: int) -> bool:
    if view.state == orders.SUSPECT and not field.suspects_allowed:
        return False
    if not view.may_use(job.queue, task.step.resources) or view.agent.is_stale(now_ms):
        return False
    if field.is_slow(view) and _would_be_useless(view, job, task, now_ms):
        return False
    label = task.step.required_label
    if label and label not in view.labels:
        return False
    limit = task.step.runner_limit
    return not limit or _count_same_step(view, task) < limit


def _would_be_useless(view: RunnerView, job: Job, task: Task, now_ms: int) -> bool:
    """Tell whether a slow runner would be done only after the job is of no use any more."""
    expected_ms = task.step.estimate_ms * view.slowness_permille / PERMILLE
    return now_ms + expected_ms > job.firm_deadline_ms


def _count_same_step(view: RunnerView, task: Task) -> int:
    name = task.name
    return sum(
        other.name.job_id == name.job_id and other.name.step == name.step for other in view.out
    )


def _score(
    view: RunnerView, task: Task, outlook: CompletionForecast, field: RunnerPool, zone: str
) -> Score:
    """Return what is compared between runners that have room for a task.

    Not avoided, not slow, in time, data near, room (the less the slower the runner), own zone,
    exact room.
    """
    capacity = max(1, view.capacity.cpu_milli)
    free_cpu_milli = view.free.cpu_milli
    rack = task.step.data_rack
    return (
        view.place.runner_id not in task.avoided,
        not field.is_slow(view),
        min(outlook.best, outlook.deadline_margin(view)),
        not rack or rack in view.labels,
        free_cpu_milli * FREE_SHARE_STEPS / field.speeds.of(view) // capacity,
        view.agent.zone == zone,
        free_cpu_milli,
    )


def _is_sound(score: Score, outlook: CompletionForecast) -> bool:
    """Tell whether nothing speaks against a runner."""
    not_avoided, not_slow, prompt, near, *_ = score
    return not_avoided and not_slow and prompt == outlook.best and near
