"""How fast runs go: by the share of their work that is done, against their estimates."""

from collections.abc import Iterable
from statistics import median_low

import attrs

PERMILLE = 1_000
# Percents are whole and looked at every 0.2 s: a younger run shows too few of them to tell.
MIN_AGE_MS = 150
# Estimates are 40% off, and one task in 30 takes long itself: fewer runs tell nothing of a runner.
LEAST_RUNS = 4
# How many of those that began last at a runner are compared, and how long ago they may have begun:
# a trouble begins and ends within seconds.
RECENT_RUNS = 12
RECENT_MS = 3_000


@attrs.frozen
class Pace:
    """A run's age, how much of its work is done, and its estimate.

    ::

        Pace(age_ms=600, percent=20, estimate_ms=500).total_ms      # 2_926
    """

    age_ms: int
    percent: int
    estimate_ms: int

    @property
    def total_ms(self) -> int:
        """Return how long it takes in all if it goes on like this; 0 if that can't be told."""
        if not self.percent:
            return 0
        if self.percent >= 100:
            return self.age_ms
        # What is shown is rounded down, by half a percent on average.
        return self.age_ms * 1_000 // (10 * self.percent + 5)

    @property
    def left_ms(self) -> int:
        """Return how long it takes from now on; 0 if that can't be told."""
        return max(0, self.total_ms - self.age_ms)

    @property
    def permille(self) -> int:
        """Return how long it takes against its estimate; 0 if that can't be told."""
        if not self.estimate_ms:
            return 0
        return self.total_ms * PERMILLE // self.estimate_ms


def usual_permille(paces: Iterable[Pace]) -> int:
    """Return how long most runs take against their estimates; 0 if too few can be told.

    They should be all that began within some time. Of those that are at work at one moment more
    are long than of those that begin, as these stay for longer.
    """
    known = [pace.permille for pace in paces if pace.permille]
    return median_low(known) if len(known) >= LEAST_RUNS else 0
