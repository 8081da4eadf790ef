"""How long runs take at a runner against their stated work, by its last runs."""

import statistics
from collections import deque

import attrs

from gapdrum.core.models import RunKey

# Stated work is 40% off: the median of so many runs is less than a tenth off.
RUNS_KEPT = 24
# With some newer ones, older runs say nothing of now: a runner may be slow for some seconds.
VALID_MS = 3_000
LEAST_VALID = 6
# A slow runner gets little work and is taken as slow for so long; after that it is tried again.
IDLE_VALID_MS = 10_000
PERMILLE = 1_000
# What is told is rounded to this, so that a small change is no news to entries.
ROUNDED_TO_PERMILLE = 20


@attrs.frozen
class _Sample:
    ratio: float
    noted_ms: int


@attrs.define
class RunnerSpeed:
    """The times that the last runs of one runner took against their stated work.

    The median is what counts, so that a task that takes many times as long as its like does not
    make a runner slow, and an instant end does not make it fast. A run that is under way counts
    with the time that it will take in all, once::

        speed = RunnerSpeed()
        speed.note_end(key, ran_ms=170, estimate_ms=100, now_ms=1_000)
        speed.slowness_permille(1_000)      # 1_700
        speed.count(1_000)                  # 1
    """

    _ended: deque[_Sample] = attrs.Factory(lambda: deque(maxlen=RUNS_KEPT))
    _under_way: dict[RunKey, _Sample] = attrs.Factory(dict)

    def record_run(self, key: RunKey, ran_ms: int, estimate_ms: int, now_ms: int) -> None:
        """Note a run that has done its work; nothing is learned where either time is not known."""
        self.forget(key)
        if ran_ms > 0 and estimate_ms > 0:
            self._ended.append(_Sample(ran_ms / estimate_ms, now_ms))

    def record_projection(self, key: RunKey, total_ms: int, estimate_ms: int, now_ms: int) -> None:
        """Note how long a run that is under way would take in all."""
        if estimate_ms > 0:
            self._under_way[key] = _Sample(total_ms / estimate_ms, now_ms)

    def forget(self, key: RunKey) -> None:
        """Pass over a run that was under way, as it is no more."""
        self._under_way.pop(key, None)

    def count(self, now_ms: int) -> int:
        """Return how many runs the figure is from, which tells how far it may be trusted."""
        return min(RUNS_KEPT, len(self._valid(now_ms)))

    def slowness_permille(self, now_ms: int) -> int:
        """Return how long runs take against their stated work; 0 if nothing recent is known."""
        ratios = self._valid(now_ms)
        if not ratios:
            return 0
        found = int(PERMILLE * statistics.median(ratios))
        return max(1, round(found / ROUNDED_TO_PERMILLE)) * ROUNDED_TO_PERMILLE

    def _valid(self, now_ms: int) -> list[float]:
        samples = (*self._ended, *self._under_way.values())
        recent = [one.ratio for one in samples if one.noted_ms >= now_ms - VALID_MS]
        if len(recent) >= LEAST_VALID:
            return recent
        return [one.ratio for one in samples if one.noted_ms >= now_ms - IDLE_VALID_MS]
