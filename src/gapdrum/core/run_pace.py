"""The pace of runs: the time that they take, projected from their progress, and their estimates."""

from collections.abc import Iterable
from statistics import median_low

import attrs

PERMILLE = 1_000
# Progress is in whole percents and polled every 0.2 s: a younger run shows too little of it.
MIN_AGE_MS = 150
# Estimates are 40% off and one task in 30 takes long by itself: fewer runs don't show a runner's
# speed.
MIN_RUNS = 4
# How many of the runs that began last at a runner are compared, and the age up to which: a runner
# is slow for some seconds only.
RECENT_RUNS = 12
RECENT_MS = 3_000


@attrs.frozen
class Pace:
    """A run's age, progress and estimate.

    ::

        Pace(age_ms=600, percent=20, estimate_ms=500).total_ms      # 2_926
    """

    age_ms: int
    percent: int
    estimate_ms: int

    @property
    def total_ms(self) -> int:
        """Return the run's whole time at this pace; 0 if unknown."""
        if not self.percent:
            return 0
        if self.percent >= 100:
            return self.age_ms
        # The runner rounds progress down, by half a percent on average.
        return self.age_ms * 1_000 // (10 * self.percent + 5)

    @property
    def left_ms(self) -> int:
        """Return the run's time left at this pace; 0 if unknown."""
        return max(0, self.total_ms - self.age_ms)

    @property
    def permille(self) -> int:
        """Return the ratio of the run's whole time to its estimate; 0 if unknown."""
        if not self.estimate_ms:
            return 0
        return self.total_ms * PERMILLE // self.estimate_ms


def usual_permille(paces: Iterable[Pace]) -> int:
    """Return the median ratio of run time to estimate over runs; 0 if too few are known.

    ``paces`` should be of all runs that began within some time. The runs at work at one moment
    would not do, as long runs are over-represented among them.
    """
    known = [pace.permille for pace in paces if pace.permille]
    return median_low(known) if len(known) >= MIN_RUNS else 0
