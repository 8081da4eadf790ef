"""Tells agents how urgently this entry waits for room, and how much room its work asks for."""

from collections.abc import Callable

import attrs

from gapdrum.core import orders
from gapdrum.core.queued_room import Rows, wire_rows
from gapdrum.entry.links import AgentLinks
from gapdrum.timers import Timers

# Demand is told this often at most: a few times while the shortest tasks run.
TELL_INTERVAL_MS = 10

# Returns the part of what waits at an upstream that falls on one of so many agents.
PartOfBacklog = Callable[[str, int, int], Rows]


def _no_backlog(_upstream: str, _agents: int, _now_ms: int) -> Rows:
    return ()


class Demand:
    """The demand that agents were told last; they offer freed room to the most urgent first."""

    def __init__(
        self, links: AgentLinks, timers: Timers, part_of_backlog: PartOfBacklog = _no_backlog
    ) -> None:
        self._links = links
        self._timers = timers
        self._part_of_backlog = part_of_backlog
        self._told: dict[str, tuple[int, int]] = {}
        self._told_ms = 0

    def tell(self, demand: tuple[orders.UpstreamDemand, ...]) -> None:
        """Tell all agents, if it has changed and they were not told just now.

        How many jobs wait is told again only when it has doubled or halved, and with it the room
        that they ask for.
        """
        now_ms = self._timers.now_ms()
        rough = {row.upstream: (row.urgency, row.jobs.bit_length()) for row in demand}
        if rough == self._told or now_ms - self._told_ms < TELL_INTERVAL_MS:
            return
        self._told = rough
        self._told_ms = now_ms
        rows = (self._with_backlog(row, now_ms) for row in demand)
        self._links.broadcast(orders.RoomDemand(tuple(rows)))

    def _with_backlog(self, row: orders.UpstreamDemand, now_ms: int) -> orders.UpstreamDemand:
        agents = max(1, self._links.connected)
        part = self._part_of_backlog(row.upstream, agents, now_ms)
        return attrs.evolve(row, backlog=wire_rows(part))
