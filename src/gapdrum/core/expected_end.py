"""When a task is expected to end at a runner, and whether its job then ends in time."""

import enum
import functools

import attrs

from gapdrum.core.fleet_speeds import FleetSpeeds
from gapdrum.core.jobs import OVERHEAD_MS, Job, Task
from gapdrum.core.models import Step
from gapdrum.core.runner_views import RunnerView

# A task is sure to end in time if it could take this much longer than expected: the last task of
# a job counts, tasks of one job differ by a tenth, and what is known of a runner is a tenth off.
SAFE_MARGIN_FACTOR = 1.5


class DeadlineMargin(enum.IntEnum):
    """Whether a task that begins now ends in time for its job."""

    LATE = 0
    CLOSE = 1
    SAFE = 2


def distance(step: Step, view: RunnerView, far_factor: float) -> float:
    """Return how many times as long a task takes at a runner for the way to its data."""
    is_near = not step.data_rack or step.data_rack in view.labels
    return 1.0 if is_near else far_factor


@attrs.frozen
class CompletionForecast:
    """What a task may expect of the runners: the time that it has, and how soon it may end.

    ``left_ms`` is the time until it must have ended, and ``best`` the promptness at the runners
    that suit it best, whether they have room or not.
    """

    speeds: FleetSpeeds
    step: Step
    far_factor: float
    left_ms: int
    best: DeadlineMargin

    def factor(self, view: RunnerView) -> float:
        """Return how many times its stated work the task is expected to take at a runner."""
        return self.speeds.of(view) * distance(self.step, view, self.far_factor)

    def deadline_margin(self, view: RunnerView) -> DeadlineMargin:
        """Tell whether the task would end in time at a runner."""
        if not self.speeds.relative and not self.step.data_rack:
            return self.best  # all runners are alike to it
        return deadline_margin(self.step.estimate_ms * self.factor(view), self.left_ms)

    def is_worth_waiting(self, view: RunnerView) -> bool:
        """Tell whether a task would be late at a runner, and not at another that may get room."""
        return self.deadline_margin(view) < min(self.best, DeadlineMargin.CLOSE)


def deadline_margin(expected_ms: float, left_ms: float) -> DeadlineMargin:
    """Tell how surely a task ends in the time that is left."""
    if left_ms >= SAFE_MARGIN_FACTOR * expected_ms:
        return DeadlineMargin.SAFE
    return DeadlineMargin.CLOSE if left_ms >= expected_ms else DeadlineMargin.LATE


def left_ms(job: Job, task: Task, now_ms: int) -> int:
    """Return the time until a task must have ended for its job to meet its objective."""
    end_ms = job.accepted_ms + job.objective_ms - OVERHEAD_MS
    if len(job.steps) > 1:
        end_ms -= following_ms(job.steps, task.name.step)
    return end_ms - now_ms


@functools.lru_cache(maxsize=256)
def following_ms(steps: tuple[Step, ...], number: int) -> int:
    """Return the stated work of the longest chain of steps that wait for one of a job's steps."""
    after: set[int] = {number}
    ends: list[int] = [0] * len(steps)
    for place, step in enumerate(steps):
        if after.intersection(step.after):
            after.add(place)
            ends[place] = step.estimate_ms + max(ends[other] for other in step.after)
    return max(ends)
