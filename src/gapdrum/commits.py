"""Group commit: many conditional writes share one transaction, under a write budget.

Each write is settled on its own.  A lost answer is settled by reading the
row back: the values carry the writer's identity, so an equal value proves
that the write took effect.
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
SETTLE_PAUSE_MS = 100
OUTAGE_AFTER_FAILURES = 3
BURST_S = 0.5


@attrs.define(eq=False)
class PendingWrite:
    """A write that waits for its transaction, and the future of its outcome."""

    write: TableWrite
    deadline_ms: int
    done: asyncio.Future
    uncertain: bool = False


class Committer:
    """Asynchronous access to the store with group commit, budget and settlement.

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
        self._running = 0
        self._failures_in_row = 0

    @property
    def is_down(self) -> bool:
        """Tell whether the last calls all failed."""
        return self._failures_in_row >= OUTAGE_AFTER_FAILURES

    async def call(self, function, *arguments):
        """Run a blocking store call in a thread; its errors count towards ``is_down``."""
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
        """Apply one write; returns once it has taken effect.

        Raises ConditionFailedError if it can't, StoreBusyError or StoreError
        if it certainly did not, and StoreOutcomeUnknownError if that could
        not be settled in time.
        """
        done = asyncio.get_running_loop().create_future()
        deadline_ms = self.timers.now_ms() + timeout_ms
        self._waiting.append(PendingWrite(write, deadline_ms, done))
        self._pump()
        await done

    async def put_object(self, key: str, content: bytes) -> None:
        """Store an object; an object's content never depends on how often it is put."""
        if not self.budget.take(1, self.timers.now_ms()):
            raise StoreBusyError("the write budget is spent")
        self.counts["writes"] += 1
        await self.call(self.client.put_object, key, content)

    def _pump(self) -> None:
        """Start transactions while there are writes, budget and free connections."""
        while self._waiting and self._running < MAX_TRANSACTIONS_AT_ONCE:
            now_ms = self.timers.now_ms()
            if not self.budget.take(1, now_ms):
                self.timers.call_after(self.budget.wait_ms(1, now_ms), self._pump)
                return
            batch = self._take_batch()
            self._running += 1
            asyncio.get_running_loop().create_task(self._run(batch))

    def _take_batch(self) -> list[PendingWrite]:
        """Take writes of distinct keys, oldest first."""
        batch: dict[str, PendingWrite] = {}
        left = []
        for pending in self._waiting:
            if len(batch) < MAX_WRITES_PER_TRANSACTION and pending.write.key not in batch:
                batch[pending.write.key] = pending
            else:
                left.append(pending)
        self._waiting = left
        return list(batch.values())

    async def _run(self, batch: list[PendingWrite]) -> None:
        self.counts["writes"] += 1
        self.counts["rows_written"] += len(batch)
        try:
            await self.call(self.client.transact, [pending.write for pending in batch])
            for pending in batch:
                _resolve(pending)
        except ConditionFailedError as error:
            self._settle_conditions(batch, error)
        except StoreOutcomeUnknownError as error:
            await self._settle_unknown(batch, error)
        except StoreError as error:
            self._retry_or_fail(batch, error)
        finally:
            self._running -= 1
            self._pump()

    def _settle_conditions(self, batch: list[PendingWrite], error: ConditionFailedError) -> None:
        """Fail the writes that can't apply; the others were rolled back and go again."""
        for pending in batch:
            if pending.write.key in error.rows:
                _settle_by_row(pending, error.rows[pending.write.key])
            else:
                self._waiting.append(pending)

    async def _settle_unknown(self, batch: list[PendingWrite], error: StoreError) -> None:
        """Read the rows back to learn what took effect."""
        self.counts["answers_lost"] += 1
        for pending in batch:
            pending.uncertain = True
        try:
            rows = await self.read([pending.write.key for pending in batch])
        except StoreError:
            self._retry_or_fail(batch, error)
            return
        open_writes = []
        for pending in batch:
            if not _settle_by_row(pending, rows[pending.write.key]):
                open_writes.append(pending)
        self._retry_or_fail(open_writes, error)

    def _retry_or_fail(self, batch: list[PendingWrite], error: StoreError) -> None:
        """Send conditional writes again after a pause; fail those that are out of time.

        Repeating is safe: a write that did take effect no longer meets its
        own condition, and is then recognised by its value.
        """
        now_ms = self.timers.now_ms()
        for pending in batch:
            if now_ms + SETTLE_PAUSE_MS < pending.deadline_ms and not self.is_down:
                self.timers.call_after(SETTLE_PAUSE_MS, lambda p=pending: self._again(p))
                continue
            _fail(pending, error)

    def _again(self, pending: PendingWrite) -> None:
        self._waiting.append(pending)
        self._pump()


def _resolve(pending: PendingWrite) -> None:
    if not pending.done.done():
        pending.done.set_result(None)


def _fail(pending: PendingWrite, error: StoreError) -> None:
    """Fail a write, as unsettled if any of its tries may have taken effect."""
    if pending.done.done():
        return
    if pending.uncertain:
        pending.done.set_exception(StoreOutcomeUnknownError(error.message))
    else:
        pending.done.set_exception(StoreError(error.message))


def _settle_by_row(pending: PendingWrite, row: Row | None) -> bool:
    """Resolve a write by the row as it is; return False if it may still apply."""
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
