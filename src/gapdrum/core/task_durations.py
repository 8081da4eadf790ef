"""How long the tasks of each queue take against their stated work, on a usual runner."""

import math

import attrs

# Durations are told apart by steps of a tenth, from a 30th of the stated work to 80 times it.
BUCKETS_PER_E = 10
LOWEST_BUCKET, HIGHEST_BUCKET = -34, 44
# With so many noted all counts are halved, so that a queue whose work changes is learned anew.
MOST_NOTED = 4_000
# Fewer tell nothing of what is typical.
LEAST_NOTED = 20
PERMILLE = 1_000


@attrs.define
class _Sketch:
    """Counts of ratios by their logarithm."""

    counts: dict[int, float] = attrs.Factory(dict)
    noted: float = 0.0

    def add(self, ratio: float) -> None:
        bucket = round(math.log(ratio) * BUCKETS_PER_E)
        bucket = min(HIGHEST_BUCKET, max(LOWEST_BUCKET, bucket))
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1
        self.noted += 1
        if self.noted >= MOST_NOTED:
            self.counts = {place: count / 2 for place, count in self.counts.items()}
            self.noted /= 2

    def quantile(self, quantile: float) -> float:
        left = quantile * self.noted
        for bucket in sorted(self.counts):
            left -= self.counts[bucket]
            if left <= 0:
                break
        return math.exp(bucket / BUCKETS_PER_E)


@attrs.define
class TaskDurations:
    """Durations by queue, as ends of tasks tell them.

    ``slowness_permille`` is how much longer than usual the task was expected to take where it
    ran; with it taken away, ends at all runners tell of the queue::

        durations = TaskDurations()
        durations.note("previews", ran_ms=340, estimate_ms=100, slowness_permille=1_700)
        durations.factor("previews", 0.5)       # 2.0, once enough have been noted
    """

    _sketches: dict[str, _Sketch] = attrs.Factory(dict)

    def note(self, queue: str, ran_ms: int, estimate_ms: int, slowness_permille: int) -> None:
        """Note a task that is done; nothing is learned where a time is not known."""
        if ran_ms <= 0 or estimate_ms <= 0:
            return
        ratio = ran_ms / estimate_ms * PERMILLE / (slowness_permille or PERMILLE)
        self._sketches.setdefault(queue, _Sketch()).add(ratio)

    def factor(self, queue: str, quantile: float) -> float:
        """Return within how many times its stated work such a share of the tasks ends.

        It is 1.0 where too few are known to tell.
        """
        sketch = self._sketches.get(queue)
        if sketch is None or sketch.noted * (1 - quantile) < 1 or sketch.noted < LEAST_NOTED:
            return 1.0
        return sketch.quantile(quantile)
