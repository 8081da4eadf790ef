"""Sends agents the demand of each queue at this entry, while room is scarce."""

from gapdrum.core import orders
from gapdrum.core.placer import Placer
from gapdrum.entry.links import AgentLinks
from gapdrum.timers import Timers

# Agents that restart know all demand after this time; they drop it after three missed messages.
QUEUE_DEMAND_INTERVAL_MS = 500
# While a larger share of the room is free, none is reserved for queues, and nothing is sent unless
# operators have set shares.
SCARCE_PERMILLE = 350


class QueueDemandPublisher:
    """Repeats the demand of all queues, as agents drop demand that is not repeated."""

    def __init__(self, links: AgentLinks, placer: Placer, timers: Timers) -> None:
        self._links = links
        self._placer = placer
        self._timers = timers

    def publish(self) -> None:
        """Send the demand to all agents, if room is scarce or operators have set shares."""
        fleet = self._placer.fleet
        meter = self._placer.meter
        if fleet.free_permille() > SCARCE_PERMILLE and not meter.has_own_shares:
            return
        rows = meter.rows(fleet.room_cpu_milli(), self._timers.now_ms())
        if rows:
            self._links.broadcast(orders.QueueDemands(rows))
