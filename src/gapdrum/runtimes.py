"""Run times per upstream and kind of task, learned from finished tasks, not declared."""

import attrs
from hdrh.histogram import HdrHistogram

MIN_RECORDED_MS = 1
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 2
MIN_SAMPLES = 20
RESET_AT_SAMPLES = 20_000
DEFAULT_RUN_MS = 400
REFRESH_SAMPLES = 200
MAX_KINDS = 2_000


@attrs.define
class RunTime:
    """The recorded run times of one kind of task."""

    histogram: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    )
    mean_ms: float = DEFAULT_RUN_MS
    _longest_ms: dict[int, int] = attrs.field(init=False, factory=dict)
    _refresh_at_samples: int = attrs.field(init=False, default=0)

    @property
    def is_learned(self) -> bool:
        """Return whether there are enough samples to base decisions on."""
        return self.histogram.get_total_count() >= MIN_SAMPLES

    def add(self, run_ms: int) -> None:
        """Record the run time of a finished task."""
        if self.histogram.get_total_count() >= RESET_AT_SAMPLES:
            self.histogram.reset()
        self.histogram.record_value(max(MIN_RECORDED_MS, min(run_ms, MAX_RECORDED_MS)))
        weight = 0.05 if self.is_learned else 0.3
        self.mean_ms += weight * (run_ms - self.mean_ms)

    def expected_longest_ms(self, tasks: int) -> int:
        """Return the expected longest run time of ``tasks`` tasks.

        Estimates are cached, and computed anew after ``REFRESH_SAMPLES`` more samples.
        """
        total = self.histogram.get_total_count()
        if total >= self._refresh_at_samples:
            self._refresh_at_samples = total + REFRESH_SAMPLES
            self._longest_ms.clear()
        if total < self._refresh_at_samples - REFRESH_SAMPLES:
            self._refresh_at_samples = total
        if tasks not in self._longest_ms:
            percent = 100 * tasks / (tasks + 1)
            longest_ms = self.percentile_ms(percent) if self.is_learned else DEFAULT_RUN_MS
            self._longest_ms[tasks] = longest_ms
        return self._longest_ms[tasks]

    def percentile_ms(self, percent: float) -> int:
        """Return a percentile of the recorded run times."""
        return int(self.histogram.get_value_at_percentile(percent))


class RunTimes:
    """Run times by upstream and kind; at most ``MAX_KINDS`` are kept."""

    def __init__(self) -> None:
        self._run_times: dict[tuple[str, str], RunTime] = {}

    def for_kind(self, upstream: str, kind: str) -> RunTime:
        """Return the run times of a kind, or an empty record if there are none."""
        key = (upstream, kind)
        run_time = self._run_times.get(key)
        if run_time is None:
            run_time = RunTime()
            if len(self._run_times) < MAX_KINDS:
                self._run_times[key] = run_time
        return run_time
