"""Whether a run that takes too long is placed anew: where the runner is slow, not the task.

A run that is stopped begins from nothing, so it is moved only where it is clearly done sooner
elsewhere, with all its work to be done again. How much work that is follows from how the other
runs beside it do: where they go as usual, the task itself takes long, and would elsewhere.
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
# How often a task is moved that only goes slowly, and the share of all starts that moves may
# take, so that a slow day does not become a flood of restarts.
MAX_MOVES = 3
MOVE_BUDGET_PERCENT = 15
# A runner is slow that takes so many times as long as usual; sound ones differ by 1.6.
SLOW_FACTOR = 2.0
# Projections rest on whole percents, and a slow runner may recover: less is not clearly sooner.
CLEARLY_SOONER = 1.25
# A stop, the end that is listed, the order and the start elsewhere.
MOVE_MS = 100
# A run that stands still is never left for ever: it is moved also without a budget, or after the
# last move, once it has stood for so long, which doubles with each further move.
STILL_FIRST_MS = 2_000
STILL_MOST_MS = 16_000


def _no_limit(_queue: str) -> float:
    return math.inf


@attrs.frozen
class MoveContext:
    """Where a run is, and where it could go; ``there`` is None if no other runner has room."""

    here: RunnerView | None
    there: RunnerView | None
    speeds: FleetSpeeds

    def here_factor(self, others_permille: int) -> float:
        """Return how many times as long work takes here as usual, 1 unless the runner is slow.

        The other runs beside it tell that best, else what the runner was reported at.
        """
        reported = self.here.slowness_permille if self.here is not None else 0
        return self._factor(others_permille or reported, self.here)

    def there_factor(self) -> float:
        """Return how many times as long work takes there as usual."""
        reported = self.there.slowness_permille if self.there is not None else 0
        return self._factor(reported, self.there)

    def _factor(self, permille: int, view: RunnerView | None) -> float:
        """Return how slow a runner is now, or else how its speed differs from the usual one."""
        factor = permille / (self.speeds.usual_permille or PERMILLE)
        return factor if factor >= SLOW_FACTOR else self.speeds.of(view)


@attrs.frozen
class MoveDecision:
    """Whether a run is moved, and when it would end from now on; None where that is not known."""

    moved: bool
    ends_here_ms: int | None
    ends_elsewhere_ms: int | None


@attrs.define
class StragglerPolicy:
    """Judges runs that straggle, and counts the moves.

    ``max_duration_factor`` tells how many times its estimate a task of a queue takes at most, but
    for few: one that would take longer is held up by its runner.
    """

    far_factor: float = 1.0
    max_duration_factor: Callable[[str], float] = _no_limit
    budget: RatioBudget = attrs.Factory(lambda: RatioBudget(MOVE_BUDGET_PERCENT))

    def judge(
        self, queue: str, task: Task, event: orders.RunEvent, sight: MoveContext
    ) -> MoveDecision:
        """Tell whether a run is placed anew, and count the move."""
        still = event.detail == orders.STALLED
        here_ms = None if still else event.left_ms
        elsewhere_ms = self._expect_elsewhere(queue, task, event, sight)
        if still:
            moved = self._may_move_still(task, event.stalled_ms)
        else:
            sooner = _is_sooner(elsewhere_ms, here_ms)
            moved = sooner and task.moves < MAX_MOVES and self.budget.spend()
        if moved:
            task.moves += 1
        return MoveDecision(moved, here_ms, elsewhere_ms)

    def _may_move_still(self, task: Task, stalled_ms: int) -> bool:
        """Tell whether a run that stands still is placed anew; it would not end where it is."""
        may_spend = task.moves < MAX_MOVES and self.budget.spend()
        return may_spend or stalled_ms >= still_pause_ms(task.moves)

    def _expect_elsewhere(
        self, queue: str, task: Task, event: orders.RunEvent, sight: MoveContext
    ) -> int | None:
        """Return how long the task takes at the other runner, from nothing; None if not known."""
        if sight.there is None:
            return None
        work_ms = float(task.step.estimate_ms)  # one that stands still tells nothing of its work
        if event.left_ms:
            total_ms = event.ran_ms + event.left_ms
            slowed = sight.here_factor(event.others_permille) * self._far(task, sight.here)
            longest_ms = work_ms * self.max_duration_factor(queue) if work_ms else math.inf
            work_ms = min(total_ms / slowed, longest_ms)
        return int(work_ms * sight.there_factor() * self._far(task, sight.there)) + MOVE_MS

    def _far(self, task: Task, runner: RunnerView | None) -> float:
        """Return how many times as long the task takes for being away from its data."""
        rack = task.step.data_rack
        is_near = not rack or runner is None or rack in runner.labels
        return 1.0 if is_near else self.far_factor


def _is_sooner(elsewhere_ms: int | None, here_ms: int) -> bool:
    return elsewhere_ms is not None and here_ms > CLEARLY_SOONER * elsewhere_ms


def still_pause_ms(moves: int) -> int:
    """Return how long a run stands still until it is moved in any case, after so many moves."""
    return min(STILL_MOST_MS, STILL_FIRST_MS << max(0, moves - MAX_MOVES))
