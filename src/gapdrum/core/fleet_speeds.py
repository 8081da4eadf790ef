"""How much faster or slower than usual runners are, if they differ enough to matter."""

import statistics
from collections.abc import Mapping, Sequence

import attrs

from gapdrum.core.runner_views import RunnerView

# A runner's speed is known from this many runs on; the stated work of fewer may all be too low.
MIN_RUNS = 6
# Objectives allow a task little more than 1.5 times its usual time. If neither the fastest nor the
# slowest runners are farther from the usual speed, it does not matter which of them a task gets.
UNEVEN_FACTOR = 1.5**2
# The share of the runners that is left out as outliers at either end.
OUTLIER_SHARE = 0.1
# Among fewer known runners a single one that is slow for a while would make the range wide.
MIN_KNOWN_RUNNERS = 4
# A speed that is measured over this many runs is weighted half, the usual speed the other half.
HALF_WEIGHT_RUNS = 4
USUAL = 1.0


@attrs.frozen
class FleetSpeeds:
    """The run times at runners relative to the usual, 1.0 if the runners are alike.

    A greater value is a slower runner; ``fastest`` is the least one. ``usual_permille`` is the
    median over the runners of the ratio of run time to estimate.
    """

    usual_permille: float = 0.0
    relative: Mapping[RunnerView, float] = attrs.Factory(dict)
    fastest: float = USUAL

    def of(self, view: RunnerView | None) -> float:
        """Return the run time at a runner relative to the usual, 1.0 if it is not known."""
        return self.relative.get(view, USUAL)


def measure_speeds(views: Sequence[RunnerView]) -> FleetSpeeds:
    """Return the speeds of the runners from their agents' reports."""
    reported = [view.slowness_permille for view in views if view.slowness_permille]
    if not reported:
        return FleetSpeeds()
    usual = statistics.median(reported)
    known = [view for view in views if view.slowness_permille and view.speed_runs >= MIN_RUNS]
    if not _are_uneven(sorted(view.slowness_permille for view in known)):
        return FleetSpeeds(usual)
    relative = {view: _weighted_slowness(view, usual) for view in known}
    fastest = min(USUAL, *relative.values())
    return FleetSpeeds(usual, relative, fastest)


def _are_uneven(ordered: list[int]) -> bool:
    if len(ordered) < MIN_KNOWN_RUNNERS:
        return False
    beyond = int(OUTLIER_SHARE * len(ordered))
    return ordered[-1 - beyond] >= UNEVEN_FACTOR * ordered[beyond]


def _weighted_slowness(view: RunnerView, usual_permille: float) -> float:
    """Return a runner's relative run time, nearer to the usual the fewer runs are known."""
    weight = view.speed_runs / (view.speed_runs + HALF_WEIGHT_RUNS)
    return USUAL + weight * (view.slowness_permille / usual_permille - USUAL)
