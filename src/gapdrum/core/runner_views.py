"""The runners as an entry sees them, from the messages of their agents."""

from collections import deque

import attrs

from gapdrum.core import orders
from gapdrum.core.jobs import Place, Task
from gapdrum.core.models import ZERO_RESOURCES, Resources

# An agent gets no new work after this time without a message, when three heartbeats are missing.
STALE_AGENT_MS = 3 * orders.BEAT_INTERVAL_MS


@attrs.define(eq=False)
class AgentView:
    """One incarnation of an agent; ``clock_ms`` is its clock as last received.

    ``received`` is the last ``RunEvents.number`` on its present stream, ``confirmed`` the last one
    that it was told of.
    """

    agent: str
    incarnation: str
    zone: str
    clock_ms: int
    heard_ms: int
    connected: bool = True
    received: int = 0
    confirmed: int = 0

    def is_stale(self, now_ms: int) -> bool:
        """Return whether the agent has been silent for too long to get new work."""
        return not self.connected or now_ms - self.heard_ms > STALE_AGENT_MS


@attrs.define(eq=False)
class RunnerView:
    """A runner; ``unreported_orders`` are the runs that its last room report does not include.

    The runner gets no work before its agent has sent its holdings on this stream (``synced``), as
    an order that crosses them would seem never to have arrived; the wait began at
    ``unsynced_since_ms``.
    ``out`` are the tasks that are placed here, ``orders_sent`` the runs ordered on this stream.
    """

    place: Place
    agent: AgentView
    unsynced_since_ms: int
    upstream: str = ""
    state: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = ZERO_RESOURCES
    reported_free: Resources = ZERO_RESOURCES
    orders_sent: int = 0
    unreported_orders: deque[tuple[int, Resources]] = attrs.Factory(deque)
    free: Resources = ZERO_RESOURCES
    out: set[Task] = attrs.Factory(set)
    synced: bool = False
    slowness_permille: int = 0  # run time to estimate, measured over ``speed_runs`` runs
    speed_runs: int = 0
    # How much of the free room each queue may not use, as it is reserved for other queues.
    kept_cpu_milli: dict[str, int] = attrs.Factory(dict)

    def apply_report(self, report: orders.RunnerReport) -> None:
        """Apply the agent's report of the runner's description and state."""
        self.upstream = report.upstream
        self.state = report.state
        self.labels = report.labels
        self.capacity = report.capacity

    def apply_room(self, report: orders.RoomReport) -> None:
        """Apply the agent's room report, and drop the orders that it includes."""
        self.reported_free = report.free
        self.slowness_permille = report.slowness_permille
        self.speed_runs = report.speed_runs
        self.kept_cpu_milli = {row.queue: row.cpu_milli for row in report.kept}
        while self.unreported_orders and self.unreported_orders[0][0] <= report.orders:
            self.unreported_orders.popleft()
        self._update_free()

    @property
    def is_idle(self) -> bool:
        """Return whether nothing runs there, and nothing is ordered."""
        return self.free == self.capacity and not self.out

    def is_reserved_from(self, queue: str, room: Resources) -> bool:
        """Return whether a task would fit, but only into room reserved for other queues."""
        kept = self.kept_cpu_milli.get(queue, 0)
        return self.free.holds(room) and self.free.cpu_milli - room.cpu_milli < kept

    def may_use(self, queue: str, room: Resources) -> bool:
        """Return whether there is room for a task that its queue may use."""
        return self.free.holds(room) and not self.is_reserved_from(queue, room)

    def order(self, room: Resources) -> None:
        """Take room for one run that is about to be ordered.

        An order that can't be sent is not taken back: the next stream resets the count.
        """
        self.orders_sent += 1
        self.unreported_orders.append((self.orders_sent, room))
        self.free = self.free - room

    def reset_orders(self, now_ms: int) -> None:
        """Reset the count of ordered runs for a new stream."""
        self.orders_sent = 0
        self.unreported_orders.clear()
        self.synced = False
        self.unsynced_since_ms = now_ms
        self._update_free()

    def _update_free(self) -> None:
        free = self.reported_free
        for _, room in self.unreported_orders:
            free = free - room
        self.free = free
