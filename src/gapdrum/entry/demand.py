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
        self._told: dict[str, tuple] = {}
        self._told_ms = 0

    def tell(self, demand: tuple[orders.UpstreamDemand, ...]) -> None:
        """Tell all agents, if it has changed and they were not told just now.

        How many jobs wait, and for how much room, is told again only when it has doubled or
        halved.
        """
        now_ms = self._timers.now_ms()
        if now_ms - self._told_ms < TELL_INTERVAL_MS:
            return
        agents = max(1, self._links.connected)
        parts = {
            row.upstream: self._part_of_backlog(row.upstream, agents, now_ms) for row in demand
        }
        rough = {row.upstream: _round(row, parts[row.upstream]) for row in demand}
        if rough == self._told:
            return
        self._told = rough
        self._told_ms = now_ms
        rows = (attrs.evolve(row, backlog=wire_rows(parts[row.upstream])) for row in demand)
        self._links.broadcast(orders.RoomDemand(tuple(rows)))


def _round(row: orders.UpstreamDemand, part: Rows) -> tuple:
    waiting = tuple((one.priority, one.waiting_cpu_milli.bit_length()) for one in part)
    return (row.urgency, row.jobs.bit_length(), waiting)
