"""The runners as an entry sees them, by what their agents' streams tell."""

from collections import deque

import attrs

from gapdrum.core import orders
from gapdrum.core.jobs import Place, Task
from gapdrum.core.models import ZERO_RESOURCES, Resources

# An agent that was not heard for this long gets no new work: three beats have been missed.
QUIET_MS = 3 * orders.BEAT_INTERVAL_MS


@attrs.define(eq=False)
class AgentView:
    """One life of an agent; ``clock_ms`` is the last reading of its clock that was heard."""

    agent: str
    incarnation: str
    zone: str
    clock_ms: int
    heard_ms: int
    connected: bool = True

    def is_stale(self, now_ms: int) -> bool:
        """Tell whether the agent was not heard for too long to be given work."""
        return not self.connected or now_ms - self.heard_ms > QUIET_MS


@attrs.define(eq=False)
class RunnerView:
    """A runner; ``unreported_orders`` are the orders that its last report does not include yet.

    It gets no work before its agent has told on this stream what it holds (``synced``):
    an order that crossed that statement would look as if it had never arrived.
    """

    place: Place
    agent: AgentView
    unsynced_ms: int
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
    slowness_permille: int = 0
    speed_runs: int = 0
    kept_cpu_milli: dict[str, int] = attrs.Factory(dict)  # of the free room, by queue

    def apply_report(self, report: orders.RunnerReport) -> None:
        """Take the agent's statement of what the runner is, and its state."""
        self.upstream = report.upstream
        self.state = report.state
        self.labels = report.labels
        self.capacity = report.capacity

    def apply_room(self, report: orders.RoomReport) -> None:
        """Take the agent's count of room; orders that it includes are no longer counted here."""
        self.reported_free = report.free
        self.slowness_permille = report.slowness_permille
        self.speed_runs = report.speed_runs
        self.kept_cpu_milli = {row.queue: row.cpu_milli for row in report.kept}
        while self.unreported_orders and self.unreported_orders[0][0] <= report.orders:
            self.unreported_orders.popleft()
        self._count()

    def is_kept_from(self, queue: str, room: Resources) -> bool:
        """Tell whether there is room for a task, and it is kept for other queues."""
        kept = self.kept_cpu_milli.get(queue, 0)
        return self.free.holds(room) and self.free.cpu_milli - room.cpu_milli < kept

    def may_use(self, queue: str, room: Resources) -> bool:
        """Tell whether there is room for a task that is not kept from its queue."""
        return self.free.holds(room) and not self.is_kept_from(queue, room)

    def order(self, room: Resources) -> None:
        """Count an order that was sent."""
        self.orders_sent += 1
        self.unreported_orders.append((self.orders_sent, room))
        self.free = self.free - room

    def reset_orders(self, now_ms: int) -> None:
        """Begin counting anew, as the stream is new."""
        self.orders_sent = 0
        self.unreported_orders.clear()
        self.synced = False
        self.unsynced_ms = now_ms
        self._count()

    def _count(self) -> None:
        free = self.reported_free
        for _, room in self.unreported_orders:
            free = free - room
        self.free = free
