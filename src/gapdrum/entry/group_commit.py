"""Group commit: changes to one part that come during a transaction share the next one."""

import asyncio
from collections import deque

import attrs

from gapdrum.background import Background
from gapdrum.core.rows import ABSENT, Committed, Conflict, Row, RowKey, Transaction
from gapdrum.entry.store_access import StoreAccess
from gapdrum.exceptions import StoreError

# The store accepts 100 expectations, puts and removals and 1 MB a call. Most changes have up to
# five and 8 KB, and a takeover's up to 50 and 150 KB.
MAX_OPERATIONS = 100
MAX_BYTES = 800_000
OPERATION_OVERHEAD_BYTES = 200


@attrs.define(eq=False)
class _Change:
    transaction: Transaction
    done: asyncio.Future

    @property
    def operations(self) -> int:
        change = self.transaction
        return len(change.expectations) + len(change.puts) + len(change.removals)

    @property
    def size(self) -> int:
        values = sum(len(put.value) * 4 // 3 for put in self.transaction.puts)
        return values + self.operations * OPERATION_OVERHEAD_BYTES


class GroupCommitWriter:
    """Writes small changes, batched by part.

    ::

        result = await writer.write("3", transaction)   # Committed or Conflict
    """

    def __init__(self, store: StoreAccess, background: Background) -> None:
        self._store = store
        self._queues: dict[str, deque[_Change]] = {}
        self._busy: set[str] = set()
        self._background = background

    async def write(self, part: str, transaction: Transaction) -> Committed | Conflict:
        """Write one change in a call that others may share; raises that call's StoreError."""
        change = _Change(transaction, asyncio.get_running_loop().create_future())
        self._queues.setdefault(part, deque()).append(change)
        if part not in self._busy:
            self._busy.add(part)
            self._background.spawn(self._drain(part))
        return await change.done

    async def _drain(self, part: str) -> None:
        queue = self._queues[part]
        try:
            while queue:
                await self._commit(_take_batch(queue))
        finally:
            self._busy.discard(part)

    async def _commit(self, batch: list[_Change]) -> None:
        while batch:
            try:
                result = await self._store.transact(_merge(batch))
            except StoreError as error:
                for change in batch:
                    _resolve(change, error)
                return
            if isinstance(result, Committed):
                for change in batch:
                    _resolve(change, result)
                return
            batch = _resolve_conflicts(batch, result)


def _take_batch(queue: deque[_Change]) -> list[_Change]:
    batch = [queue.popleft()]
    operations = batch[0].operations
    size = batch[0].size
    while (
        queue
        and operations + queue[0].operations <= MAX_OPERATIONS
        and size + queue[0].size <= MAX_BYTES
    ):
        change = queue.popleft()
        operations += change.operations
        size += change.size
        batch.append(change)
    return batch


def _merge(batch: list[_Change]) -> Transaction:
    return Transaction(
        tuple(item for change in batch for item in change.transaction.expectations),
        tuple(put for change in batch for put in change.transaction.puts),
        tuple(at for change in batch for at in change.transaction.removals),
    )


def _resolve_conflicts(batch: list[_Change], conflict: Conflict) -> list[_Change]:
    """Resolve the changes whose expectations failed; return the others, to be retried."""
    rows = {row.at: row for row in conflict.rows}
    rest = []
    for change in batch:
        if _expectations_hold(change, rows):
            rest.append(change)
        else:
            own_rows = tuple(
                rows[item.at] for item in change.transaction.expectations if item.at in rows
            )
            _resolve(change, Conflict(own_rows))
    if len(rest) == len(batch):
        for change in rest:
            _resolve(change, conflict)
        return []
    return rest


def _expectations_hold(change: _Change, rows: dict[RowKey, Row]) -> bool:
    for item in change.transaction.expectations:
        row = rows.get(item.at)
        version = row.version if row is not None and row.value is not None else ABSENT
        if version != item.version:
            return False
    return True


def _resolve(change: _Change, outcome: Committed | Conflict | StoreError) -> None:
    if change.done.done():
        return
    if isinstance(outcome, StoreError):
        change.done.set_exception(outcome)
    else:
        change.done.set_result(outcome)
