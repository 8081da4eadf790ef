"""Tells agents what the queues ask for at this entry, while room is scarce."""

from gapdrum.core import orders
from gapdrum.core.placer import Placer
from gapdrum.entry.links import AgentLinks
from gapdrum.timers import Timers

# Agents that begin anew know all demand after this time, and forget it after three misses.
QUEUE_DEMAND_INTERVAL_MS = 500
# While more of the room is free nothing needs to be kept, and agents are told nothing unless
# operators have set shares.
SCARCE_PERMILLE = 350


class QueueDemandPublisher:
    """Repeats the demand of all queues, as agents forget what is not told again."""

    def __init__(self, links: AgentLinks, placer: Placer, timers: Timers) -> None:
        self._links = links
        self._placer = placer
        self._timers = timers

    def publish(self) -> None:
        """Tell all agents, if little room is left."""
        fleet = self._placer.fleet
        meter = self._placer.meter
        if fleet.free_permille() > SCARCE_PERMILLE and not meter.has_own_shares:
            return
        rows = meter.rows(fleet.room_cpu_milli(), self._timers.now_ms())
        if rows:
            self._links.broadcast(orders.QueueDemands(rows))
