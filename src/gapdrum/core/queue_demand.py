"""The recent demand of each queue for room, and how much it varies."""

import math
from collections.abc import Iterable

import attrs

from gapdrum.core import orders
from gapdrum.core.configuration import Queue
from gapdrum.core.jobs import begin_within_ms, longest_chain_ms
from gapdrum.core.models import Step

# Time constant of the demand's average: a burst of a second or two hardly counts, and a lasting
# change is followed within seconds.
AVERAGE_MS = 3_000
# A queue has no demand any more once its count of jobs has decayed to that of a single job after
# this time; for 100 jobs at once that is about 26 s.
MAX_IDLE_MS = 4 * AVERAGE_MS
PPM = 1_000_000
# Upper limit of a demand, which may exceed the room that there is.
MAX_PPM = 10 * PPM


@attrs.define
class _Arrivals:
    """Exponentially decaying sums over the arrivals of one queue."""

    queue: Queue
    since_ms: int
    decayed_ms: int
    jobs: float = 0.0
    work: float = 0.0  # in milli-cores times milliseconds
    spread: float = 0.0  # work times the step's milli-cores, from which the variance follows
    run_ms: float = 0.0
    patience_ms: float = 0.0  # how long the jobs may wait until they begin

    def decay(self, now_ms: int) -> None:
        """Decay the sums to a time."""
        factor = math.exp((self.decayed_ms - now_ms) / AVERAGE_MS)
        self.decayed_ms = now_ms
        self.jobs *= factor
        self.work *= factor
        self.spread *= factor
        self.run_ms *= factor
        self.patience_ms *= factor

    def note(self, steps: tuple[Step, ...]) -> None:
        """Add a job to the sums."""
        queue = self.queue
        chain_ms = longest_chain_ms(steps)
        self.jobs += 1
        self.run_ms += chain_ms
        self.patience_ms += begin_within_ms(chain_ms, queue.latency_factor, queue.latency_slack_ms)
        for step in steps:
            room = step.tasks * step.resources.cpu_milli
            self.work += room * step.estimate_ms
            self.spread += room * room * step.estimate_ms

    def row(self, room_cpu_milli: int) -> orders.QueueDemand:
        """Return the demand relative to the room."""
        queue = self.queue
        # Soon after the first arrival the sums cover only a part of the averaging time.
        covered_ms = AVERAGE_MS * (1 - math.exp((self.since_ms - self.decayed_ms) / AVERAGE_MS))
        covered_ms = max(covered_ms, self.run_ms / self.jobs if self.jobs else 1.0, 1.0)
        demand = self.work / covered_ms / room_cpu_milli
        deviation = math.sqrt(self.spread / covered_ms) / room_cpu_milli
        return orders.QueueDemand(
            queue.upstream,
            queue.name,
            queue.priority,
            int(self.run_ms / self.jobs) if self.jobs else 0,
            int(self.patience_ms / self.jobs) if self.jobs else 0,
            min(MAX_PPM, int(demand * PPM)),
            min(MAX_PPM, int(deviation * PPM)),
            queue.weight,
            queue.reserved_permille,
            queue.ceiling_permille,
        )


@attrs.define
class DemandMeter:
    """Measures the demand at one entry, refused jobs included. Callers pass the time.

    ::

        meter.note(queue, steps, now_ms)
        rows = meter.rows({"reports": 400_000}, now_ms)
    """

    _arrivals: dict[str, _Arrivals] = attrs.Factory(dict)
    _share_queues: dict[str, Queue] = attrs.Factory(dict)  # with a reservation or ceiling

    def note(self, queue: Queue, steps: tuple[Step, ...], now_ms: int) -> None:
        """Count a submitted job."""
        arrivals = self._arrivals.get(queue.name)
        if arrivals is None:
            arrivals = self._arrivals[queue.name] = _Arrivals(queue, now_ms, now_ms)
        arrivals.queue = queue
        arrivals.decay(now_ms)
        arrivals.note(steps)

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Apply a new configuration: a queue that is gone has no demand any more."""
        named = {queue.name: queue for queue in queues}
        self._share_queues = {name: queue for name, queue in named.items() if queue.has_own_share}
        self._arrivals = {
            name: attrs.evolve(arrivals, queue=named[name])
            for name, arrivals in self._arrivals.items()
            if name in named
        }

    @property
    def has_own_shares(self) -> bool:
        """Tell whether a queue has a configured reservation or ceiling."""
        return bool(self._share_queues)

    def rows(self, room_cpu_milli: dict[str, int], now_ms: int) -> tuple[orders.QueueDemand, ...]:
        """Return the demand of each queue for the room of its upstream."""
        for name, arrivals in list(self._arrivals.items()):
            arrivals.decay(now_ms)
            if arrivals.jobs < math.exp(-MAX_IDLE_MS / AVERAGE_MS):
                del self._arrivals[name]
        idle = [
            _Arrivals(queue, now_ms, now_ms)
            for name, queue in self._share_queues.items()
            if name not in self._arrivals
        ]
        return tuple(
            arrivals.row(room_cpu_milli[arrivals.queue.upstream])
            for arrivals in (*self._arrivals.values(), *idle)
            if room_cpu_milli.get(arrivals.queue.upstream, 0) > 0
        )
