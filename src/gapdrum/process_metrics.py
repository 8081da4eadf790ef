"""Counters and latency histograms of a process, in the text format of Prometheus.

Events are counted without a library; ``prometheus_client`` is imported at the first scrape, as
its import takes longer than the rest of a program's start.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from gapdrum.timers import MS_PER_S

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)


@attrs.define
class LatencyHistogram:
    """Counts durations by bucket; the upper bounds are ``BOUNDS_MS``."""

    counts: list[int] = attrs.Factory(lambda: [0] * (len(BOUNDS_MS) + 1))
    sum_ms: int = 0

    def observe(self, duration_ms: int) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms

    def buckets(self) -> list[tuple[str, int]]:
        """Return the cumulative counts by upper bound in seconds."""
        rows = []
        total = 0
        bounds = [str(bound / MS_PER_S) for bound in BOUNDS_MS] + ["+Inf"]
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            rows.append((bound, total))
        return rows


class ProcessMetrics:
    """All metrics of one process.

    Gauges are functions that are called at each scrape::

        measures.gauges["open_jobs"] = lambda: len(dispatch.jobs)
    """

    def __init__(self) -> None:
        self.events: Counter[tuple[str, str]] = Counter()
        self.latencies: dict[str, LatencyHistogram] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        # Gauges of each queue, as tuples of name, queue and value.
        self.queue_gauges: Callable[[], Iterable[tuple[str, str, int]]] = tuple
        self.counters: dict[str, Callable[[], float]] = {}
        self.messages: dict[str, Counter[str]] = {}  # messages on streams, by direction and kind

    def observe_latency(self, name: str, duration_ms: int) -> None:
        """Count one duration under a name such as ``job_ended_total``."""
        latency = self.latencies.get(name)
        if latency is None:
            latency = self.latencies[name] = LatencyHistogram()
        latency.observe(duration_ms)

    def expose(self) -> bytes:
        """Return all metrics in the text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families at a scrape; the library calls this."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "gapdrum_events", "Decisions and changes of belief", labels=["event", "reason"]
        )
        for (event, reason), count in self.events.items():
            events.add_metric([event, reason], count)
        yield events
        messages = CounterMetricFamily(
            "gapdrum_messages", "Messages of streams", labels=["direction", "kind"]
        )
        for direction, kinds in self.messages.items():
            for kind, count in kinds.items():
                messages.add_metric([direction, kind], count)
        yield messages
        for name, read in self.counters.items():
            yield CounterMetricFamily(f"gapdrum_{name}", name, value=read())
        for name, read in self.gauges.items():
            yield GaugeMetricFamily(f"gapdrum_{name}", name, value=read())
        families: dict[str, GaugeMetricFamily] = {}
        for name, queue, value in self.queue_gauges():
            if name not in families:
                families[name] = GaugeMetricFamily(f"gapdrum_queue_{name}", name, labels=["queue"])
            families[name].add_metric([queue], value)
        yield from families.values()
        for name, latency in self.latencies.items():
            family = HistogramMetricFamily(f"gapdrum_{name}_seconds", name)
            family.add_metric([], latency.buckets(), latency.sum_ms / MS_PER_S)
            yield family
