"""Follows the operators' table in the platform's store by its feed of changes."""

import asyncio
from collections.abc import Callable

import attrs

from gapdrum.core.rows import Row
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreError, StoreHistoryGoneError
from gapdrum.platform.operator_table import OPERATOR_TABLE
from gapdrum.platform.rows import RowStore
from gapdrum.timers import MS_PER_S, Timers

# A feed that is cut silently is noticed this late; a change must be in force within 2 s of
# the end of a cut, plus the 3 s that an instance has to be in contact again.
FEED_WAIT_MS = 1_500
READ_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 200
# The last answer is no older than this while the feed works: a wait, and the way of two calls.
FOLLOWED_MS = FEED_WAIT_MS + 500


@attrs.frozen
class TableUpdate:
    """Rows of the table as of a version: all that there are, or those that have changed."""

    rows: tuple[Row, ...]
    version: int
    is_snapshot: bool


class OperatorFeed:
    """Tells its subscribers what the table holds, and then each change.

    ::

        feed = OperatorFeed(RowStore(boot.store), timers, log)
        feed.subscribe(configuration.take)
        background.keep(feed.follow)
    """

    def __init__(self, rows: RowStore, timers: Timers, log: EventLog) -> None:
        self._rows = rows
        self._timers = timers
        self._log = log
        self._after: int | None = None
        self._answered_ms: int | None = None
        self.is_failing = False
        self._subscribers: list[Callable[[TableUpdate], None]] = []

    def subscribe(self, take: Callable[[TableUpdate], None]) -> None:
        """Call back with the whole table at first, and with each change after that."""
        self._subscribers.append(take)

    @property
    def is_current(self) -> bool:
        """Tell whether changes reach this process just now."""
        answered_ms = self._answered_ms
        return answered_ms is not None and self._timers.now_ms() - answered_ms < FOLLOWED_MS

    async def follow(self) -> None:
        """Follow the table for ever."""
        while True:
            try:
                await self._step()
            except StoreHistoryGoneError:
                self._log.write("operator_feed_restarted", after=self._after)
                self._after = None
            except StoreError as error:
                if not self.is_failing:
                    self._log.write("operator_feed_lost", code=error.code)
                self.is_failing = True
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
            else:
                if self.is_failing:
                    self._log.write("operator_feed_regained", version=self._after)
                self.is_failing = False

    async def _step(self) -> None:
        if self._after is None:
            self._tell(await self._read_all())
            return
        changes = await self._rows.watch(OPERATOR_TABLE, self._after, FEED_WAIT_MS)
        self._tell(TableUpdate(changes.rows, max(self._after, changes.version), is_snapshot=False))

    async def _read_all(self) -> TableUpdate:
        """Read the whole table, page by page; what changes meanwhile comes by the feed."""
        page = await self._rows.read(OPERATOR_TABLE, "", READ_TIMEOUT_MS)
        rows = list(page.rows)
        version = page.version
        while page.has_more and page.rows:
            first = rows[-1].at.key + "\0"
            page = await self._rows.read(OPERATOR_TABLE, "", READ_TIMEOUT_MS, first=first)
            rows.extend(page.rows)
        return TableUpdate(tuple(rows), version, is_snapshot=True)

    def _tell(self, news: TableUpdate) -> None:
        self._after = news.version
        self._answered_ms = self._timers.now_ms()
        for take in self._subscribers:
            take(news)
