"""The entry's access to the store, with time-outs and a check of its availability."""

from collections.abc import Awaitable
from typing import TypeVar

from gapdrum.core.rows import Committed, Conflict, Page, Row, RowKey, Transaction
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreError
from gapdrum.platform.rows import RowStore
from gapdrum.timers import Timers

T = TypeVar("T")

# A slow store answers in 0.3 s; one that exceeds these limits counts as unavailable.
CALL_TIMEOUT_MS = 1_000
UNRESPONSIVE_AFTER_MS = 500
FAILURES_UNTIL_DOWN = 2


class StoreAccess:
    """Calls the store and tracks whether it answers.

    While it does not, new jobs are refused at once instead of waiting for a time-out.
    """

    def __init__(self, rows: RowStore, timers: Timers, log: EventLog) -> None:
        self._rows = rows
        self._timers = timers
        self._log = log
        self._failures = 0
        self._pending: dict[int, int] = {}
        self._next_call = 0
        self._succeeded_ms = timers.now_ms()
        self._was_up = True
        self.calls = 0

    @property
    def up(self) -> bool:
        """Return whether the store counts as available: no repeated failures, no overdue answer."""
        return self._failures < FAILURES_UNTIL_DOWN and not self._is_silent()

    def _is_silent(self) -> bool:
        if not self._pending:
            return False
        oldest_ms = next(iter(self._pending.values()))
        limit_ms = self._timers.now_ms() - UNRESPONSIVE_AFTER_MS
        return oldest_ms < limit_ms and self._succeeded_ms < limit_ms

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Try a transaction once; raises StoreError."""
        return await self._track(self._rows.transact(transaction, CALL_TIMEOUT_MS))

    async def read(self, table: str, part: str, first: str = "") -> Page:
        """Read a page of rows; raises StoreError."""
        return await self._track(self._rows.read(table, part, CALL_TIMEOUT_MS, first=first))

    async def read_all(self, table: str, part: str) -> list[Row]:
        """Read all rows of a part, page by page; raises StoreError."""
        rows: list[Row] = []
        page = await self.read(table, part)
        rows.extend(page.rows)
        while page.has_more and page.rows:
            page = await self.read(table, part, rows[-1].at.key + "\0")
            rows.extend(page.rows)
        return rows

    async def read_row(self, at: RowKey) -> Row | None:
        """Read one row, None if it does not exist; raises StoreError."""
        return await self._track(self._rows.read_row(at, CALL_TIMEOUT_MS))

    async def _track(self, call: Awaitable[T]) -> T:
        number = self._next_call = self._next_call + 1
        self.calls += 1
        self._pending[number] = self._timers.now_ms()
        try:
            result = await call
        except StoreError as error:
            self._failures += 1
            self._log_change(error.message)
            raise
        finally:
            del self._pending[number]
        self._failures = 0
        self._succeeded_ms = self._timers.now_ms()
        self._log_change("answered")
        return result

    def _log_change(self, reason: str) -> None:
        """Log a change of availability by failures; overdue calls alone are not logged."""
        up = self._failures < FAILURES_UNTIL_DOWN
        if up == self._was_up:
            return
        self._was_up = up
        if up:
            self._log.write("store_regained", reason=reason)
        else:
            self._log.write("store_lost", reason=reason)
