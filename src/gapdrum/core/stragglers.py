"""Straggler mitigation: whether a straggling run is stopped and moved to another runner.

A moved run starts from the beginning, so a slow run is moved only if it is expected to end clearly
sooner at the other runner. A stalled run would not end where it is, so it is moved also without a
target; its task then waits for room. How much work a slow run has follows from the other runs at
its runner: where these run at the usual speed, the task itself takes long, and would do so at any
runner.
"""

import math
from collections.abc import Callable

import attrs

from gapdrum.budgets import RatioBudget
from gapdrum.core import orders
from gapdrum.core.fleet_speeds import FleetSpeeds
from gapdrum.core.jobs import Task
from gapdrum.core.runner_views import RunnerView

PERMILLE = 1_000
# Moves allowed per task, and the share of all placements that moves may take, so that many slow
# runners at once do not cause a flood of restarts.
MAX_MOVES = 3
MOVE_BUDGET_PERCENT = 15
# A runner is slow from so many times the usual run time on; those of healthy runners differ by a
# factor of 1.6.
SLOW_RUNNER_FACTOR = 2.0
# Projections rest on whole percents, and a slow runner may recover: less does not justify a move.
MIN_SPEEDUP = 1.25
# Time for the stop, its listed end, the new order and the start.
MOVE_OVERHEAD_MS = 100
# Without budget or moves left, a stalled run is still moved once it has stalled for this limit,
# which doubles with each further move: a run at a hung runner would never end.
MIN_STALL_LIMIT_MS = 2_000
MAX_STALL_LIMIT_MS = 16_000


def _no_limit(_queue: str) -> float:
    return math.inf


@attrs.frozen
class MoveContext:
    """The runner of a run and the one to move it to.

    ``target`` is None if no runner has room, or if the best one with room is avoided.
    """

    source: RunnerView | None
    target: RunnerView | None
    speeds: FleetSpeeds

    def source_factor(self, others_permille: int) -> float:
        """Return how many times as long as usual work takes at the run's runner.

        The pace of the other runs there is the best measure, else the reported slowness is used.
        """
        reported = self.source.slowness_permille if self.source is not None else 0
        return self._factor(others_permille or reported, self.source)

    def target_factor(self) -> float:
        """Return how many times as long as usual work takes at the other runner."""
        reported = self.target.slowness_permille if self.target is not None else 0
        return self._factor(reported, self.target)

    def _factor(self, permille: int, view: RunnerView | None) -> float:
        """Return a runner's current slowness if it is slow, else its long-term relative one."""
        factor = permille / (self.speeds.usual_permille or PERMILLE)
        return factor if factor >= SLOW_RUNNER_FACTOR else self.speeds.of(view)


@attrs.frozen
class MoveDecision:
    """Whether a run is moved, and in how long it would end; None where that is not known."""

    moved: bool
    ends_here_ms: int | None
    ends_elsewhere_ms: int | None


@attrs.define
class StragglerPolicy:
    """Decides on moves of straggling runs, and counts the moves.

    ``max_duration_factor`` bounds the durations of nearly all tasks of a queue, relative to their
    estimates: a run that would take longer is slowed down by its runner.
    """

    far_factor: float = 1.0
    max_duration_factor: Callable[[str], float] = _no_limit
    budget: RatioBudget = attrs.Factory(lambda: RatioBudget(MOVE_BUDGET_PERCENT))

    def judge(
        self, queue: str, task: Task, event: orders.RunEvent, context: MoveContext
    ) -> MoveDecision:
        """Decide whether a run is moved, and count the move."""
        stalled = event.detail == orders.STALLED
        remaining_ms = None if stalled else event.left_ms
        elsewhere_ms = self._estimate_elsewhere_ms(queue, task, event, context)
        if stalled:
            moved = self._may_move_stalled(task, event.stalled_ms)
        else:
            sooner = _is_sooner(elsewhere_ms, remaining_ms)
            moved = sooner and task.moves < MAX_MOVES and self.budget.spend()
        if moved:
            task.moves += 1
        return MoveDecision(moved, remaining_ms, elsewhere_ms)

    def _may_move_stalled(self, task: Task, stalled_ms: int) -> bool:
        """Tell whether a stalled run is moved, whether there is a target or not."""
        may_spend = task.moves < MAX_MOVES and self.budget.spend()
        return may_spend or stalled_ms >= stall_limit_ms(task.moves)

    def _estimate_elsewhere_ms(
        self, queue: str, task: Task, event: orders.RunEvent, context: MoveContext
    ) -> int | None:
        """Return how long the whole task takes at the other runner, None if there is none."""
        if context.target is None:
            return None
        work_ms = float(task.step.estimate_ms)  # a stalled run tells nothing of its work
        if event.left_ms:
            total_ms = event.ran_ms + event.left_ms
            slowdown = context.source_factor(event.others_permille) * self._distance_factor(
                task, context.source
            )
            max_work_ms = work_ms * self.max_duration_factor(queue) if work_ms else math.inf
            work_ms = min(total_ms / slowdown, max_work_ms)
        return (
            int(work_ms * context.target_factor() * self._distance_factor(task, context.target))
            + MOVE_OVERHEAD_MS
        )

    def _distance_factor(self, task: Task, runner: RunnerView | None) -> float:
        """Return how many times as long the task takes for being off its data's rack."""
        rack = task.step.data_rack
        is_near = not rack or runner is None or rack in runner.labels
        return 1.0 if is_near else self.far_factor


def _is_sooner(elsewhere_ms: int | None, remaining_ms: int) -> bool:
    return elsewhere_ms is not None and remaining_ms > MIN_SPEEDUP * elsewhere_ms


def stall_limit_ms(moves: int) -> int:
    """Return after how long a stalled run is moved in any case, given its moves so far."""
    return min(MAX_STALL_LIMIT_MS, MIN_STALL_LIMIT_MS << max(0, moves - MAX_MOVES))
