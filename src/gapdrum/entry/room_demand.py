"""Sends agents this entry's demand for room at each upstream."""

from gapdrum.core import orders
from gapdrum.entry.links import AgentLinks
from gapdrum.timers import Timers

# Shortest interval between two messages; the shortest tasks run a few times as long.
ROOM_DEMAND_INTERVAL_MS = 10


class RoomDemandPublisher:
    """Sends changed demand; agents offer freed room to the entry with the most urgent job."""

    def __init__(self, links: AgentLinks, timers: Timers) -> None:
        self._links = links
        self._timers = timers
        self._sent: dict[str, tuple[int, int]] = {}
        self._sent_ms = 0

    def publish(self, demand: tuple[orders.UpstreamDemand, ...]) -> None:
        """Send the demand to all agents, if it has changed and the interval has passed.

        A number of waiting jobs counts as changed when it crosses a power of two.
        """
        now_ms = self._timers.now_ms()
        rounded = {row.upstream: (row.urgency, row.jobs.bit_length()) for row in demand}
        if rounded == self._sent or now_ms - self._sent_ms < ROOM_DEMAND_INTERVAL_MS:
            return
        self._sent = rounded
        self._sent_ms = now_ms
        self._links.broadcast(orders.RoomDemand(demand))
