"""Forecasts of when a task ends at a runner, and with what margin to its job's objective."""

import enum
import functools

import attrs

from gapdrum.core.fleet_speeds import FleetSpeeds
from gapdrum.core.jobs import OVERHEAD_MS, Job, Task
from gapdrum.core.models import Step
from gapdrum.core.runner_views import RunnerView

# A margin is safe if the task could take so many times as long as expected: a job ends with its
# last task, its tasks differ by a tenth, and the known speed of a runner is a tenth off.
SAFE_MARGIN_FACTOR = 1.5


class ObjectiveMargin(enum.IntEnum):
    """How surely a task that begins now ends within its job's latency objective.

    The firm deadline, which is later, plays no part.
    """

    LATE = 0
    CLOSE = 1
    SAFE = 2


def distance(step: Step, view: RunnerView, far_factor: float) -> float:
    """Return how many times as long a task takes at a runner for being off its data's rack."""
    is_near = not step.data_rack or step.data_rack in view.labels
    return 1.0 if is_near else far_factor


@attrs.frozen
class CompletionForecast:
    """The forecast of a task's end at any runner, against the time that it has left.

    ``left_ms`` is the time until the task must end, and ``best`` its margin at the runners that
    suit it best, whether they have room or not.
    """

    speeds: FleetSpeeds
    step: Step
    far_factor: float
    left_ms: int
    best: ObjectiveMargin

    def factor(self, view: RunnerView) -> float:
        """Return the factor from the task's stated work to its duration at a runner."""
        return self.speeds.of(view) * distance(self.step, view, self.far_factor)

    def objective_margin(self, view: RunnerView) -> ObjectiveMargin:
        """Return the margin with which the task would end at a runner."""
        if not self.speeds.relative and not self.step.data_rack:
            return self.best  # the task takes equally long at all runners
        return objective_margin(self.step.estimate_ms * self.factor(view), self.left_ms)

    def is_worth_waiting(self, view: RunnerView) -> bool:
        """Tell whether the task would end late at a runner but in time at one that may get room."""
        return self.objective_margin(view) < min(self.best, ObjectiveMargin.CLOSE)


def objective_margin(expected_ms: float, left_ms: float) -> ObjectiveMargin:
    """Return the margin of an expected duration within the time left."""
    if left_ms >= SAFE_MARGIN_FACTOR * expected_ms:
        return ObjectiveMargin.SAFE
    return ObjectiveMargin.CLOSE if left_ms >= expected_ms else ObjectiveMargin.LATE


def left_ms(job: Job, task: Task, now_ms: int) -> int:
    """Return the time until a task must end for its job to meet its objective."""
    end_ms = job.accepted_ms + job.objective_ms - OVERHEAD_MS
    if len(job.steps) > 1:
        end_ms -= following_ms(job.steps, task.name.step)
    return end_ms - now_ms


@functools.lru_cache(maxsize=256)
def following_ms(steps: tuple[Step, ...], number: int) -> int:
    """Return the stated work of the longest chain of steps that depend on a step."""
    after: set[int] = {number}
    ends: list[int] = [0] * len(steps)
    for other_number, step in enumerate(steps):
        if after.intersection(step.after):
            after.add(other_number)
            ends[other_number] = step.estimate_ms + max(ends[other] for other in step.after)
    return max(ends)
