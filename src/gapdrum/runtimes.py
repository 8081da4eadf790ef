"""Learned run times per upstream and kind of task; declared ones are not trusted."""

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 2
MIN_SAMPLES = 20
DECAY_AT_SAMPLES = 20_000
DEFAULT_RUN_MS = 400
RENEW_SAMPLES = 200
MAX_KINDS = 2_000


@attrs.define
class RunTime:
    """The run times seen for one kind of task."""

    histogram: HdrHistogram = attrs.Factory(lambda: HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS))
    mean_ms: float = DEFAULT_RUN_MS
    _longest_ms: dict[int, int] = attrs.field(init=False, factory=dict)
    _renew_at: int = attrs.field(init=False, default=0)

    @property
    def is_learned(self) -> bool:
        """Tell whether there are enough samples to decide on."""
        return self.histogram.get_total_count() >= MIN_SAMPLES

    def add(self, run_ms: int) -> None:
        """Note the run time of a finished task."""
        if self.histogram.get_total_count() >= DECAY_AT_SAMPLES:
            self.histogram.reset()
        self.histogram.record_value(max(LOWEST_MS, min(run_ms, HIGHEST_MS)))
        weight = 0.05 if self.is_learned else 0.3
        self.mean_ms += weight * (run_ms - self.mean_ms)

    def expected_longest_ms(self, tasks: int) -> int:
        """Return the expected longest run of so many tasks; the estimate is renewed at times."""
        total = self.histogram.get_total_count()
        if total >= self._renew_at:
            self._renew_at = total + RENEW_SAMPLES
            self._longest_ms.clear()
        if total < self._renew_at - RENEW_SAMPLES:
            self._renew_at = total
        if tasks not in self._longest_ms:
            percent = 100 * tasks / (tasks + 1)
            learned = self.percentile_ms(percent) if self.is_learned else DEFAULT_RUN_MS
            self._longest_ms[tasks] = learned
        return self._longest_ms[tasks]

    def percentile_ms(self, percent: float) -> int:
        """Return a percentile of the run times seen."""
        return int(self.histogram.get_value_at_percentile(percent))


class RunTimes:
    """Run times by upstream and kind, bounded in number."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], RunTime] = {}

    def for_kind(self, upstream: str, kind: str) -> RunTime:
        """Return what is known of a kind; a fresh record if nothing is."""
        key = (upstream, kind)
        known = self._known.get(key)
        if known is None:
            known = RunTime()
            if len(self._known) < MAX_KINDS:
                self._known[key] = known
        return known
