"""Which runners are faster or slower than is usual, where that matters."""

import statistics
from collections.abc import Mapping, Sequence

import attrs

from gapdrum.core.runner_views import RunnerView

# A runner counts as known from so many runs on; fewer may all have been stated too low.
LEAST_RUNS = 6
# Objectives leave a task little more than one and a half times its usual time. Where either end of
# the known runners is no farther from the usual, it does not matter which of them a task gets.
UNEVEN_FACTOR = 1.5**2
# The share of the runners that lie beyond either end.
END_SHARE = 0.1
# Of fewer known runners a single one that is slow for a while would make out an end.
LEAST_KNOWN = 4
# What is known by so many runs is believed by half.
HALF_TRUSTED_RUNS = 4
USUAL = 1.0


@attrs.frozen
class FleetSpeeds:
    """How long runs take at runners against the usual time, 1.0 where they are all alike."""

    usual_permille: float = 0.0
    relative: Mapping[RunnerView, float] = attrs.Factory(dict)
    fastest: float = USUAL

    def of(self, view: RunnerView | None) -> float:
        """Return how many times as long as usual runs take at a runner, 1 if it is not known."""
        return self.relative.get(view, USUAL)


def measure_speeds(views: Sequence[RunnerView]) -> FleetSpeeds:
    """Return how fast the runners are, by what their agents tell."""
    told = [view.slowness_permille for view in views if view.slowness_permille]
    if not told:
        return FleetSpeeds()
    usual = statistics.median(told)
    known = [view for view in views if view.slowness_permille and view.speed_runs >= LEAST_RUNS]
    if not _are_uneven(sorted(view.slowness_permille for view in known)):
        return FleetSpeeds(usual)
    relative = {view: _believed(view, usual) for view in known}
    fastest = min(USUAL, *relative.values())
    return FleetSpeeds(usual, relative, fastest)


def _are_uneven(ordered: list[int]) -> bool:
    if len(ordered) < LEAST_KNOWN:
        return False
    beyond = int(END_SHARE * len(ordered))
    return ordered[-1 - beyond] >= UNEVEN_FACTOR * ordered[beyond]


def _believed(view: RunnerView, usual_permille: float) -> float:
    """Return a runner's relative slowness, the nearer to the usual the less is known of it."""
    trust = view.speed_runs / (view.speed_runs + HALF_TRUSTED_RUNS)
    return USUAL + trust * (view.slowness_permille / usual_permille - USUAL)
