"""The speed of a runner: the ratio of run time to estimate of its last runs, greater if slower."""

import statistics
from collections import deque

import attrs

from gapdrum.core.models import RunKey

# Estimates are 40% off; the median of this many runs is less than 10% off.
MAX_SAMPLES = 24
# Older runs don't count if there are enough newer ones: a runner may be slow for some seconds.
VALID_MS = 3_000
MIN_RECENT = 6
# A slow runner gets little work. Its last runs count for this long, then it is tried again.
IDLE_VALID_MS = 10_000
PERMILLE = 1_000
# The published figure is rounded to this, so that small changes are not sent to entries.
ROUNDING_PERMILLE = 20


@attrs.frozen
class _Sample:
    ratio: float
    recorded_ms: int


@attrs.define
class RunnerSpeed:
    """The times that the last runs of one runner took against their estimates.

    The median counts, so that one task that takes many times its estimate does not make the runner
    slow, and one that ends at once does not make it fast. A run at work counts once, with its
    projected whole time::

        speed = RunnerSpeed()
        speed.record_run(key, ran_ms=170, estimate_ms=100, now_ms=1_000)
        speed.slowness_permille(1_000)      # 1_700
        speed.count(1_000)                  # 1
    """

    _ended: deque[_Sample] = attrs.Factory(lambda: deque(maxlen=MAX_SAMPLES))
    _projected: dict[RunKey, _Sample] = attrs.Factory(dict)

    def record_run(self, key: RunKey, ran_ms: int, estimate_ms: int, now_ms: int) -> None:
        """Record a run that has done its work; ignore it if either time is not known."""
        self.forget(key)
        if ran_ms > 0 and estimate_ms > 0:
            self._ended.append(_Sample(ran_ms / estimate_ms, now_ms))

    def record_projection(self, key: RunKey, total_ms: int, estimate_ms: int, now_ms: int) -> None:
        """Record the projected whole time of a run at work."""
        if estimate_ms > 0:
            self._projected[key] = _Sample(total_ms / estimate_ms, now_ms)

    def forget(self, key: RunKey) -> None:
        """Remove the projection of a run that is no longer at work."""
        self._projected.pop(key, None)

    def count(self, now_ms: int) -> int:
        """Return how many runs the slowness is measured over, and so how reliable it is."""
        return min(MAX_SAMPLES, len(self._valid(now_ms)))

    def slowness_permille(self, now_ms: int) -> int:
        """Return the median ratio of run time to estimate; 0 if no recent run is known."""
        ratios = self._valid(now_ms)
        if not ratios:
            return 0
        found = int(PERMILLE * statistics.median(ratios))
        return max(1, round(found / ROUNDING_PERMILLE)) * ROUNDING_PERMILLE

    def _valid(self, now_ms: int) -> list[float]:
        samples = (*self._ended, *self._projected.values())
        recent = [one.ratio for one in samples if one.recorded_ms >= now_ms - VALID_MS]
        if len(recent) >= MIN_RECENT:
            return recent
        return [one.ratio for one in samples if one.recorded_ms >= now_ms - IDLE_VALID_MS]
