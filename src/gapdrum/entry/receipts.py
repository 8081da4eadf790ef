"""Confirms to agents that this entry has received the outcomes of its runs."""

from collections.abc import Callable

from gapdrum.core import orders
from gapdrum.core.fleet import Fleet
from gapdrum.timers import Timers

# An agent puts off its next poll until a receipt has come, so receipts are not delayed further. An
# order that is placed in the same iteration of the event loop goes first, and is a receipt too.
RECEIPT_DELAY_MS = 0


class ReceiptSender:
    """Sends a receipt for all outcomes of an agent that no start order has confirmed meanwhile.

    ::

        dispatch.apply_events(view, message, now_ms)    # a RunEvents with a number
        receipts.schedule(view.agent)
    """

    def __init__(self, fleet: Fleet, send: Callable[[str, object], bool], timers: Timers) -> None:
        self._fleet = fleet
        self._send = send
        self._timers = timers
        self._agents: set[str] = set()

    def schedule(self, agent: str) -> None:
        """Send the receipt that is due to an agent once this iteration's orders have been sent."""
        if not self._agents:
            self._timers.call_after(RECEIPT_DELAY_MS, self._send_due)
        self._agents.add(agent)

    def _send_due(self) -> None:
        agents = self._agents
        self._agents = set()
        for agent in agents:
            # The agent may have joined again meanwhile: numbers count for one stream only.
            view = self._fleet.agents.get(agent)
            if view is None or view.received <= view.confirmed:
                continue
            if self._send(agent, orders.OutcomesReceived(view.received)):
                view.confirmed = view.received
