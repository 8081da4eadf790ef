"""Tells agents how urgently this entry waits for room."""

from gapdrum.core import orders
from gapdrum.entry.links import AgentLinks
from gapdrum.timers import Timers

# RoomDemandPublisher is told this often at most: a few times while the shortest tasks run.
ROOM_DEMAND_INTERVAL_MS = 10


class RoomDemandPublisher:
    """The demand that agents were told last; they offer freed room to the most urgent first."""

    def __init__(self, links: AgentLinks, timers: Timers) -> None:
        self._links = links
        self._timers = timers
        self._told: dict[str, tuple[int, int]] = {}
        self._told_ms = 0

    def publish(self, demand: tuple[orders.UpstreamDemand, ...]) -> None:
        """Tell all agents, if it has changed and they were not told just now.

        How many jobs wait is told again only when it has doubled or halved.
        """
        now_ms = self._timers.now_ms()
        rough = {row.upstream: (row.urgency, row.jobs.bit_length()) for row in demand}
        if rough == self._told or now_ms - self._told_ms < ROOM_DEMAND_INTERVAL_MS:
            return
        self._told = rough
        self._told_ms = now_ms
        self._links.broadcast(orders.RoomDemand(demand))
