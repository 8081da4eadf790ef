"""How much of the room each queue has been asking for lately, and how much that varies."""

import math
from collections.abc import Iterable

import attrs

from gapdrum.core import orders
from gapdrum.core.configuration import Queue
from gapdrum.core.jobs import begin_within_ms, longest_chain_ms
from gapdrum.core.models import Step

# Demand is averaged over this time: a burst of a second or two is not taken for a queue's usual
# demand, and what has changed for good is followed within seconds.
AVERAGE_MS = 3_000
# A queue without arrivals for this long asks for nothing any more.
FORGOTTEN_MS = 4 * AVERAGE_MS
PPM = 1_000_000
# No part of the room is more than this: a queue may ask for more than there is.
MOST_PPM = 10 * PPM


@attrs.define
class _Arrivals:
    """Decaying sums over the arrivals of one queue."""

    queue: Queue
    since_ms: int
    noted_ms: int
    jobs: float = 0.0
    work: float = 0.0  # thousandths of a core, times milliseconds
    spread: float = 0.0  # the same, times the room that a job takes at once
    run_ms: float = 0.0
    patience_ms: float = 0.0

    def decay(self, now_ms: int) -> None:
        """Count what has come before as less."""
        factor = math.exp((self.noted_ms - now_ms) / AVERAGE_MS)
        self.noted_ms = now_ms
        self.jobs *= factor
        self.work *= factor
        self.spread *= factor
        self.run_ms *= factor
        self.patience_ms *= factor

    def note(self, steps: tuple[Step, ...]) -> None:
        """Count one job."""
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
        """Return the demand as a part of the room."""
        queue = self.queue
        # Shortly after the first arrival the sums do not cover the whole time yet.
        covered_ms = AVERAGE_MS * (1 - math.exp((self.since_ms - self.noted_ms) / AVERAGE_MS))
        covered_ms = max(covered_ms, self.run_ms / self.jobs if self.jobs else 1.0, 1.0)
        asked = self.work / covered_ms / room_cpu_milli
        deviation = math.sqrt(self.spread / covered_ms) / room_cpu_milli
        return orders.QueueDemand(
            queue.upstream,
            queue.name,
            queue.priority,
            int(self.run_ms / self.jobs) if self.jobs else 0,
            int(self.patience_ms / self.jobs) if self.jobs else 0,
            min(MOST_PPM, int(asked * PPM)),
            min(MOST_PPM, int(deviation * PPM)),
            queue.weight,
            queue.reserved_permille,
            queue.ceiling_permille,
        )


@attrs.define
class DemandMeter:
    """Measures what comes at one entry, also what it refuses. The time is given.

    ::

        meter.note(queue, steps, now_ms)
        rows = meter.rows({"reports": 400_000}, now_ms)
    """

    _arrivals: dict[str, _Arrivals] = attrs.Factory(dict)
    _with_shares: dict[str, Queue] = attrs.Factory(dict)  # for which operators have reserved room

    def note(self, queue: Queue, steps: tuple[Step, ...], now_ms: int) -> None:
        """Note a job that was submitted."""
        arrivals = self._arrivals.get(queue.name)
        if arrivals is None:
            arrivals = self._arrivals[queue.name] = _Arrivals(queue, now_ms, now_ms)
        arrivals.queue = queue
        arrivals.decay(now_ms)
        arrivals.note(steps)

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Go by a new configuration: a queue that is gone asks for nothing any more."""
        named = {queue.name: queue for queue in queues}
        self._with_shares = {name: queue for name, queue in named.items() if queue.has_own_share}
        self._arrivals = {
            name: attrs.evolve(arrivals, queue=named[name])
            for name, arrivals in self._arrivals.items()
            if name in named
        }

    @property
    def has_own_shares(self) -> bool:
        """Tell whether operators have set a share or a ceiling of a queue."""
        return bool(self._with_shares)

    def rows(self, room_cpu_milli: dict[str, int], now_ms: int) -> tuple[orders.QueueDemand, ...]:
        """Return what each queue asks for of the room of its upstream."""
        for name, arrivals in list(self._arrivals.items()):
            arrivals.decay(now_ms)
            if arrivals.jobs < math.exp(-FORGOTTEN_MS / AVERAGE_MS):
                del self._arrivals[name]
        idle = [
            _Arrivals(queue, now_ms, now_ms)
            for name, queue in self._with_shares.items()
            if name not in self._arrivals
        ]
        return tuple(
            arrivals.row(room_cpu_milli[arrivals.queue.upstream])
            for arrivals in (*self._arrivals.values(), *idle)
            if room_cpu_milli.get(arrivals.queue.upstream, 0) > 0
        )
