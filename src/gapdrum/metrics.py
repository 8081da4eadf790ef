"""The metrics of a process, registered with prometheus_client, and message counts by type."""

from collections import Counter

from prometheus_client import CollectorRegistry, Gauge, Histogram, generate_latest
from prometheus_client import Counter as PrometheusCounter
from prometheus_client.core import CounterMetricFamily

RATIO_BUCKETS = (1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 50)
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)


class MessageCollector:
    """Exposes the message counters that the streams update."""

    def __init__(self, metrics: "Metrics") -> None:
        self._metrics = metrics

    def collect(self):
        """Yield the message counters at a scrape."""
        tables = (
            ("gapdrum_messages_sent", "Messages sent by type", self._metrics.sent),
            ("gapdrum_messages_received", "Messages received by type", self._metrics.received),
            ("gapdrum_messages_wasted", "Messages without useful work", self._metrics.wasted),
        )
        for name, text, counts in tables:
            family = CounterMetricFamily(name, text, labels=["type"])
            for kind, count in list(counts.items()):
                family.add_metric([kind], count)
            yield family


class Metrics:
    """All metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.wasted: Counter[str] = Counter()
        self.registry.register(MessageCollector(self))
        self.starts = self._counter("starts", "Task starts ordered or made")
        self.orders_queued = self._counter(
            "orders_queued", "Start orders that found no free slot at the agent"
        )
        self.jobs = self._counter("jobs", "Jobs answered", "outcome")
        self.refusals = self._counter("refusals", "Submissions refused", "code")
        self.stream_errors = self._counter("stream_errors", "Streams closed on error", "code")
        self.response_over_ideal = Histogram(
            "gapdrum_response_over_ideal",
            "Response time over the longest task run",
            buckets=RATIO_BUCKETS,
            registry=self.registry,
        )
        self.claim_latency = Histogram(
            "gapdrum_claim_latency_seconds",
            "Time to claim a job",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queue_depth = self._gauge("queue_depth", "Tasks that wait for a slot")
        self.running = self._gauge("running_tasks", "Tasks placed and not ended")
        self.settings_version = self._gauge("settings_version", "Settings version in force")
        self.store_writes = self._gauge("store_writes", "Write requests made to the store")
        self.runners_ready = self._gauge("runners_ready", "Runners that take work")
        self.open_jobs = self._gauge("open_jobs", "Jobs not answered yet")

    def expose(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> PrometheusCounter:
        return PrometheusCounter(f"gapdrum_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"gapdrum_{name}", text, registry=self.registry)
