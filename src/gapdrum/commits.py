"""Group commit: many conditional writes share one transaction, under a write budget.

The outcome of each write is determined separately.  After a lost response the
row is read back: values contain the writer's identity, so an equal value
proves that the write took effect.
"""

import asyncio
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import attrs

from gapdrum.budgets import TokenBucket
from gapdrum.exceptions import StoreBusyError, StoreError, StoreOutcomeUnknownError
from gapdrum.store import ConditionFailedError, Row, StoreClient, TableWrite
from gapdrum.timers import Timers

MAX_WRITES_PER_TRANSACTION = 100
MAX_TRANSACTIONS_AT_ONCE = 4
STORE_THREADS = 8
RETRY_PAUSE_MS = 100
OUTAGE_AFTER_FAILURES = 3
BURST_S = 0.5


@attrs.define(eq=False)
class PendingWrite:
    """A write that waits for its transaction, with a future for its outcome."""

    write: TableWrite
    deadline_ms: int
    done: asyncio.Future
    uncertain: bool = False


class Committer:
    """Asynchronous access to the store: group commit, a write budget and read-back.

    ::

        await committer.commit(TableWrite(key, ABSENT, value), timeout_ms=2000)
    """

    def __init__(self, client: StoreClient, timers: Timers, writes_per_s: int) -> None:
        self.client = client
        self.timers = timers
        self.budget = TokenBucket(writes_per_s, max(4, writes_per_s * BURST_S))
        self.counts: Counter = Counter()
        self._threads = ThreadPoolExecutor(STORE_THREADS, "store")
        self._waiting: list[PendingWrite] = []
        self._active_transactions = 0
        self._failures_in_row = 0

    @property
    def is_down(self) -> bool:
        """Return whether the last ``OUTAGE_AFTER_FAILURES`` calls or more all failed."""
        return self._failures_in_row >= OUTAGE_AFTER_FAILURES

    async def call(self, function, *arguments):
        """Run a blocking store call in a thread; failures count towards ``is_down``."""
        loop = asyncio.get_running_loop()
        try:
            result = await loop.run_in_executor(self._threads, function, *arguments)
        except StoreError:
            self._failures_in_row += 1
            self.counts["failures"] += 1
            raise
        except ConditionFailedError:
            self._failures_in_row = 0
            raise
        self._failures_in_row = 0
        return result

    async def read(self, keys: list[str]) -> dict[str, Row | None]:
        """Return rows by key; raises StoreError."""
        self.counts["reads"] += 1
        return await self.call(self.client.read, keys)

    async def commit(self, write: TableWrite, timeout_ms: int) -> None:
        """Apply one write; return once it has taken effect.

        Raises ConditionFailedError if its condition does not hold, StoreBusyError
        or StoreError if it certainly had no effect, and StoreOutcomeUnknownError
        if its outcome could not be determined in time.
        """
        done = asyncio.get_running_loop().create_future()
        deadline_ms = self.timers.now_ms() + timeout_ms
        self._waiting.append(PendingWrite(write, deadline_ms, done))
        self._start_transactions()
        await done

    async def put_object(self, key: str, content: bytes) -> None:
        """Store an object; a repeated put of the same content is idempotent."""
        if not self.budget.take(1, self.timers.now_ms()):
            raise StoreBusyError("the write budget is spent")
        self.counts["writes"] += 1
        await self.call(self.client.put_object, key, content)

    def _start_transactions(self) -> None:
        """Start transactions while writes, budget and free transaction slots are left."""
        while self._waiting and self._active_transactions < MAX_TRANSACTIONS_AT_ONCE:
            now_ms = self.timers.now_ms()
            if not self.budget.take(1, now_ms):
                self.timers.call_after(self.budget.wait_ms(1, now_ms), self._start_transactions)
                return
            batch = self._take_batch()
            self._active_transactions += 1
            asyncio.get_running_loop().create_task(self._run(batch))

    def _take_batch(self) -> list[PendingWrite]:
        """Remove writes of distinct keys from the queue, oldest first."""
        batch: dict[str, PendingWrite] = {}
        remaining = []
        for pending in self._waiting:
            if len(batch) < MAX_WRITES_PER_TRANSACTION and pending.write.key not in batch:
                batch[pending.write.key] = pending
            else:
                remaining.append(pending)
        self._waiting = remaining
        return list(batch.values())

    async def _run(self, batch: list[PendingWrite]) -> None:
        self.counts["writes"] += 1
        self.counts["rows_written"] += len(batch)
        try:
            await self.call(self.client.transact, [pending.write for pending in batch])
            for pending in batch:
                _resolve(pending)
        except ConditionFailedError as error:
            self._handle_failed_conditions(batch, error)
        except StoreOutcomeUnknownError as error:
            await self._resolve_unknown(batch, error)
        except StoreError as error:
            self._retry_or_fail(batch, error)
        finally:
            self._active_transactions -= 1
            self._start_transactions()

    def _handle_failed_conditions(
        self, batch: list[PendingWrite], error: ConditionFailedError
    ) -> None:
        """Fail writes whose condition failed; queue the others, which were rolled back, again."""
        for pending in batch:
            if pending.write.key in error.rows:
                _resolve_by_row(pending, error.rows[pending.write.key])
            else:
                self._waiting.append(pending)

    async def _resolve_unknown(self, batch: list[PendingWrite], error: StoreError) -> None:
        """Read the rows back to determine which writes took effect."""
        self.counts["answers_lost"] += 1
        for pending in batch:
            pending.uncertain = True
        try:
            rows = await self.read([pending.write.key for pending in batch])
        except StoreError:
            self._retry_or_fail(batch, error)
            return
        unresolved = []
        for pending in batch:
            if not _resolve_by_row(pending, rows[pending.write.key]):
                unresolved.append(pending)
        self._retry_or_fail(unresolved, error)

    def _retry_or_fail(self, batch: list[PendingWrite], error: StoreError) -> None:
        """Retry conditional writes after a pause; fail those that would miss their deadline.

        A retry is safe: if a write did take effect, its condition no longer
        holds, and the write is recognised by its value.
        """
        now_ms = self.timers.now_ms()
        for pending in batch:
            if now_ms + RETRY_PAUSE_MS < pending.deadline_ms and not self.is_down:
                self.timers.call_after(RETRY_PAUSE_MS, lambda p=pending: self._requeue(p))
                continue
            _fail(pending, error)

    def _requeue(self, pending: PendingWrite) -> None:
        self._waiting.append(pending)
        self._start_transactions()


def _resolve(pending: PendingWrite) -> None:
    if not pending.done.done():
        pending.done.set_result(None)


def _fail(pending: PendingWrite, error: StoreError) -> None:
    """Fail a write; its outcome is unknown if an earlier attempt may have taken effect."""
    if pending.done.done():
        return
    if pending.uncertain:
        pending.done.set_exception(StoreOutcomeUnknownError(error.message))
    else:
        pending.done.set_exception(StoreError(error.message))


def _resolve_by_row(pending: PendingWrite, row: Row | None) -> bool:
    """Resolve a write by the current row; return False if the write may still be applied."""
    write = pending.write
    if row is not None and row.value == write.value:
        _resolve(pending)
        return True
    version = row.version if row is not None else 0
    if version == write.expected_version:
        return False
    if not pending.done.done():
        pending.done.set_exception(ConditionFailedError({write.key: row}))
    return True
