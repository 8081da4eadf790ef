"""Durations of each queue's tasks relative to their stated work, on a usual runner."""

import math

import attrs

# Buckets of a tenth each on a logarithmic scale, from a 30th of the stated work to 80 times it.
BUCKETS_PER_E = 10
LOWEST_BUCKET, HIGHEST_BUCKET = -34, 44
# At so many samples all counts are halved, so that old ones fade when a queue's work changes.
MAX_SAMPLES = 4_000
# Fewer samples say nothing of the queue.
MIN_SAMPLES = 20
PERMILLE = 1_000


@attrs.define
class _Histogram:
    """A histogram of ratios on a logarithmic scale."""

    counts: dict[int, float] = attrs.Factory(dict)
    samples: float = 0.0

    def add(self, ratio: float) -> None:
        bucket = round(math.log(ratio) * BUCKETS_PER_E)
        bucket = min(HIGHEST_BUCKET, max(LOWEST_BUCKET, bucket))
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1
        self.samples += 1
        if self.samples >= MAX_SAMPLES:
            self.counts = {key: count / 2 for key, count in self.counts.items()}
            self.samples /= 2

    def quantile(self, quantile: float) -> float:
        remaining = quantile * self.samples
        for bucket in sorted(self.counts):
            remaining -= self.counts[bucket]
            if remaining <= 0:
                break
        return math.exp(bucket / BUCKETS_PER_E)


@attrs.define
class TaskDurations:
    """Distribution of task durations by queue, learned from the tasks' ends.

    Durations are divided by ``slowness_permille``, how slow the task was expected to be where it
    ran, so that ends at all runners count alike::

        durations = TaskDurations()
        durations.note("previews", ran_ms=340, estimate_ms=100, slowness_permille=1_700)
        durations.factor("previews", 0.5)       # 2.0, with enough samples
    """

    _histograms: dict[str, _Histogram] = attrs.Factory(dict)

    def note(self, queue: str, ran_ms: int, estimate_ms: int, slowness_permille: int) -> None:
        """Add a completed task; one without a known time is ignored."""
        if ran_ms <= 0 or estimate_ms <= 0:
            return
        ratio = ran_ms / estimate_ms * PERMILLE / (slowness_permille or PERMILLE)
        self._histograms.setdefault(queue, _Histogram()).add(ratio)

    def factor(self, queue: str, quantile: float) -> float:
        """Return a quantile of the durations relative to stated work.

        It is 1.0 if there are too few samples.
        """
        histogram = self._histograms.get(queue)
        if (
            histogram is None
            or histogram.samples * (1 - quantile) < 1
            or histogram.samples < MIN_SAMPLES
        ):
            return 1.0
        return histogram.quantile(quantile)
