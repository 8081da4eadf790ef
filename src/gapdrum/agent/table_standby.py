"""The agent's own feed of the operators' table, while none of its entries follows the table."""

import asyncio
from collections.abc import Iterable

from gapdrum.agent.entry_links import EntryLink
from gapdrum.background import Background
from gapdrum.event_log import EventLog
from gapdrum.operator_feed import OperatorFeed
from gapdrum.timers import Timers

# Entries forward each change at once, so the agent follows the table itself only if for so long
# none of its entries does; a restarted agent has joined one by then. 65 agents that all follow the
# table would add 43 calls a second to the store.
STANDBY_AFTER_MS = 500


class TableStandby:
    """Runs the feed while no connected entry would report a drained zone to this agent."""

    def __init__(
        self, feed: OperatorFeed, links: Iterable[EntryLink], timers: Timers, log: EventLog
    ) -> None:
        self._feed = feed
        self._links = links
        self._timers = timers
        self._log = log
        self._background = Background(log)
        self._followed_ms = timers.now_ms()
        self._following: asyncio.Task | None = None

    def check(self) -> None:
        """Start or stop following the table; called with each AgentBeat."""
        now_ms = self._timers.now_ms()
        if any(link.owner and link.follows_table for link in self._links):
            self._followed_ms = now_ms
            self._stop()
        elif self._following is None and now_ms - self._followed_ms > STANDBY_AFTER_MS:
            self._log.write("table_followed", silent_ms=now_ms - self._followed_ms)
            self._following = self._background.keep(self._feed.follow)

    def _stop(self) -> None:
        if self._following is not None:
            self._log.write("table_left")
            self._following.cancel()
            self._following = None
