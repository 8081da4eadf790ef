"""Follows the operators' table in the platform's store through its change feed."""

import asyncio
from collections.abc import Callable

import attrs

from gapdrum.core.rows import Row
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreError, StoreHistoryGoneError
from gapdrum.platform.operator_table import OPERATOR_TABLE
from gapdrum.platform.rows import RowStore
from gapdrum.timers import MS_PER_S, Timers

# A silent interruption of the feed is detected after this time; a change must be in force within
# 2 s after the interruption, plus the 3 s that an instance has to reconnect.
FEED_WAIT_MS = 1_500
READ_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 200
# Maximum age of the last response while the feed works: a wait and the network time of two calls.
MAX_RESPONSE_AGE_MS = FEED_WAIT_MS + 500


@attrs.frozen
class TableUpdate:
    """Rows of the table as of a version: all rows, or those that have changed."""

    rows: tuple[Row, ...]
    version: int
    is_snapshot: bool


class OperatorFeed:
    """Sends its subscribers the content of the table, and then each change.

    ::

        feed = OperatorFeed(RowStore(boot.store), timers, log)
        feed.subscribe(configuration.apply_table)
        background.keep(feed.follow)
    """

    def __init__(self, rows: RowStore, timers: Timers, log: EventLog) -> None:
        self._rows = rows
        self._timers = timers
        self._log = log
        self._version: int | None = None
        self._last_response_ms: int | None = None
        self.is_failing = False
        self._subscribers: list[Callable[[TableUpdate], None]] = []

    def subscribe(self, apply: Callable[[TableUpdate], None]) -> None:
        """Call ``apply`` with the whole table at first, and then with each change."""
        self._subscribers.append(apply)

    @property
    def is_current(self) -> bool:
        """Return whether changes currently reach this process."""
        last_response_ms = self._last_response_ms
        return (
            last_response_ms is not None
            and self._timers.now_ms() - last_response_ms < MAX_RESPONSE_AGE_MS
        )

    async def follow(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._read_next()
            except StoreHistoryGoneError:
                self._log.write("operator_feed_restarted", after=self._version)
                self._version = None
            except StoreError as error:
                if not self.is_failing:
                    self._log.write("operator_feed_lost", code=error.code)
                self.is_failing = True
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
            else:
                if self.is_failing:
                    self._log.write("operator_feed_regained", version=self._version)
                self.is_failing = False

    async def _read_next(self) -> None:
        if self._version is None:
            self._publish(await self._read_all())
            return
        changes = await self._rows.watch(OPERATOR_TABLE, self._version, FEED_WAIT_MS)
        self._publish(
            TableUpdate(changes.rows, max(self._version, changes.version), is_snapshot=False)
        )

    async def _read_all(self) -> TableUpdate:
        """Read the whole table, page by page; the feed delivers changes since the first page."""
        page = await self._rows.read(OPERATOR_TABLE, "", READ_TIMEOUT_MS)
        rows = list(page.rows)
        version = page.version
        while page.has_more and page.rows:
            first = rows[-1].at.key + "\0"
            page = await self._rows.read(OPERATOR_TABLE, "", READ_TIMEOUT_MS, first=first)
            rows.extend(page.rows)
        return TableUpdate(tuple(rows), version, is_snapshot=True)

    def _publish(self, update: TableUpdate) -> None:
        self._version = update.version
        self._last_response_ms = self._timers.now_ms()
        for apply in self._subscribers:
            apply(update)
