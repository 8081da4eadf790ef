"""The entry's own lease in the store, and what the leases of the others tell."""

import asyncio
import contextlib
import uuid
from collections import deque
from collections.abc import Callable

import attrs

from gapdrum.core.reach import VisibleCapacity
from gapdrum.core.records import (
    LEASE_TABLE,
    UNPARTITIONED,
    EntryAddress,
    EntryLease,
    QueueDepth,
    address_row,
    dump_record,
    lease_row,
    load_record,
    owner_name,
)
from gapdrum.core.rows import ABSENT, Conflict, Expectation, Put, Row, Transaction
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import RecordError, StoreError
from gapdrum.timers import MS_PER_S, Timers

RENEW_INTERVAL_MS = 1_000
# After a failed call, the store is tried again this soon: work waits for it.
RETRY_INTERVAL_MS = 250
# How long an entry acts for its jobs after it sent its last renewal that was answered: most
# outages of the store are as long, and the jobs of a lost entry wait for so long.
LEASE_MS = 4_000
# Others take a lease as lapsed only later, by their own clocks and timers.
EXPIRY_MARGIN_MS = 600
# Former names that agents are told: what runs under one outlives its lease by about a second.
MAX_FORMER_OWNERS = 4
# The incarnation of a lease that can't be read: no owner of any job is named so.
UNREADABLE_INCARNATION = "unreadable"


@attrs.define
class ObservedLease:
    """Another entry's lease, and since when it has not changed while the store answered."""

    lease: EntryLease
    version: int
    unchanged_since_ms: int


class Lease:
    """Holds the lease of this entry and watches the others'.

    ``on_lease_lost`` is called when another entry has ended the lease, and ``on_orphaned_jobs``
    when a life of an entry has ended, so that its jobs are without an owner.
    """

    def __init__(
        self,
        instance: str,
        address: EntryAddress,
        store: StoreAccess,
        timers: Timers,
        log: EventLog,
    ) -> None:
        self.instance = instance
        self.others: dict[str, ObservedLease] = {}
        self.count_waiting: Callable[[], dict[str, int]] = dict
        self.view_agents: Callable[[], VisibleCapacity] = lambda: VisibleCapacity(0, 0)
        self.on_lease_lost: Callable[[], None] = lambda: None
        self.on_orphaned_jobs: Callable[[], None] = lambda: None
        self._address = address
        self._store = store
        self._timers = timers
        self._log = log
        self._version = ABSENT
        self._renewals = 0
        self._valid_until_ms = 0
        self._leaving = False
        self._wake = asyncio.Event()
        self._written_address: EntryAddress | None = None
        self.former_owners: deque[str] = deque(maxlen=MAX_FORMER_OWNERS)
        self.incarnation = _new_incarnation()

    def _new_life(self) -> None:
        self.former_owners.append(self.owner)
        self.incarnation = _new_incarnation()
        self._version = ABSENT

    @property
    def owner(self) -> str:
        """Return how jobs name this life of the entry as their owner."""
        return owner_name(self.instance, self.incarnation)

    @property
    def valid(self) -> bool:
        """Tell whether this entry may act for its jobs."""
        return self._timers.now_ms() < self._valid_until_ms and not self._leaving

    async def register(self) -> None:
        """Write lease and address, whatever an earlier life left; raises StoreError."""
        address = attrs.evolve(self._address, incarnation=self.incarnation)
        puts = (
            Put(lease_row(self.instance), dump_record(self._record())),
            Put(address_row(self.instance), dump_record(address)),
        )
        sent_ms = self._timers.now_ms()
        result = await self._store.transact(Transaction(puts=puts))
        self._written_address = address
        self._take_renewal(result.version, sent_ms)
        self._log.write("lease_taken", owner=self.owner, version=self._version)

    def request_agents(self, wanted_permille: int) -> None:
        """Ask for a share of all agents, with a renewal at once."""
        self._address = attrs.evolve(self._address, wanted_permille=wanted_permille)
        self._wake.set()

    async def pause(self, pause_ms: int) -> None:
        """Wait until the next renewal is due."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), pause_ms / MS_PER_S)
        self._wake.clear()

    async def keep(self) -> int:
        """Renew and look at the others once; return after how long to do so again."""
        if self._leaving:
            return RENEW_INTERVAL_MS
        try:
            if self._version == ABSENT:
                await self.register()
            else:
                await self._renew()
            await self.poll()
        except StoreError as error:
            self._forget_staleness()
            self._log.write("lease_call_failed", code=error.code, reason=error.message)
            return RETRY_INTERVAL_MS
        return RENEW_INTERVAL_MS

    async def _renew(self) -> None:
        self._renewals += 1
        at = lease_row(self.instance)
        sent_ms = self._timers.now_ms()
        puts = [Put(at, dump_record(self._record()))]
        address = attrs.evolve(self._address, incarnation=self.incarnation)
        if address != self._written_address:
            puts.append(Put(address_row(self.instance), dump_record(address)))
        transaction = Transaction((Expectation(at, self._version),), tuple(puts))
        result = await self._store.transact(transaction)
        if not isinstance(result, Conflict):
            self._written_address = address
            self._take_renewal(result.version, sent_ms)
            return
        row = next((row for row in result.rows if row.at == at and row.value), None)
        if row is not None and self._is_own(row):
            # The answer to an earlier renewal was lost, or the renewal took effect late.
            self._version = row.version
            return
        self._log.write("lease_lost", owner=self.owner, version=self._version)
        self._valid_until_ms = 0
        self._new_life()
        self.on_lease_lost()

    def _is_own(self, row: Row) -> bool:
        try:
            return load_record(row.value, EntryLease).incarnation == self.incarnation
        except RecordError as error:
            self._note_unreadable(row, error)
            return False

    def _take_renewal(self, version: int, sent_ms: int) -> None:
        self._version = version
        self._valid_until_ms = sent_ms + LEASE_MS

    def _record(self) -> EntryLease:
        counts = self.count_waiting()
        depths = tuple(QueueDepth(queue, waiting) for queue, waiting in counts.items())
        view = self.view_agents()
        return EntryLease(self.incarnation, self._renewals, depths, view.agents, view.free_permille)

    async def poll(self) -> frozenset[str]:
        """Read all leases, end those that have lapsed, and return the owners that are left."""
        rows = await self._store.read_all(LEASE_TABLE, UNPARTITIONED)
        now_ms = self._timers.now_ms()
        seen = {row.at.key: row for row in rows}
        ended = [name for name in self.others if name not in seen]
        for name in ended:
            del self.others[name]
        for name, row in seen.items():
            if name != self.instance and self._note_lease(name, row, now_ms):
                ended.append(name)
        for name in [name for name in self.others if self._has_lapsed(name, now_ms)]:
            if await self._end_lease(name):
                ended.append(name)
        if ended:
            self._log.write("owners_gone", entries=ended)
            self.on_orphaned_jobs()
        return self._owners()

    def _owners(self) -> frozenset[str]:
        owners = {owner_name(name, seen.lease.incarnation) for name, seen in self.others.items()}
        return frozenset(owners | {self.owner})

    def _note_lease(self, name: str, row: Row, now_ms: int) -> bool:
        """Note a lease as it was read; return whether an earlier life of the entry has ended."""
        before = self.others.get(name)
        if before is not None and before.version == row.version:
            return False
        try:
            lease = load_record(row.value, EntryLease)
        except RecordError as error:
            # Another writer's: like a lease that is not renewed, it lapses and is removed.
            self._note_unreadable(row, error)
            lease = (
                before.lease if before is not None else EntryLease(UNREADABLE_INCARNATION, 0, ())
            )
        self.others[name] = ObservedLease(lease, row.version, now_ms)
        return before is not None and before.lease.incarnation != lease.incarnation

    def _note_unreadable(self, row: Row, error: RecordError) -> None:
        self._log.write(
            "row_unreadable", place=f"{LEASE_TABLE}//{row.at.key}", reason=error.message
        )

    def _has_lapsed(self, name: str, now_ms: int) -> bool:
        unchanged_ms = now_ms - self.others[name].unchanged_since_ms
        return unchanged_ms > LEASE_MS + EXPIRY_MARGIN_MS

    async def _end_lease(self, name: str) -> bool:
        """Remove a lapsed lease, unless it has been renewed; return whether it was removed."""
        seen = self.others[name]
        transaction = Transaction(
            expectations=(Expectation(lease_row(name), seen.version),),
            removals=(lease_row(name), address_row(name)),
        )
        result = await self._store.transact(transaction)
        if isinstance(result, Conflict):
            return False
        del self.others[name]
        self._log.write("lease_ended", entry=name, version=seen.version)
        return True

    def _forget_staleness(self) -> None:
        """Let all others begin anew: they could not renew either while the store was away."""
        now_ms = self._timers.now_ms()
        for seen in self.others.values():
            seen.unchanged_since_ms = now_ms

    async def leave(self) -> None:
        """Give the lease up at a shutdown, so that others take the jobs at once."""
        self._leaving = True
        self._valid_until_ms = 0
        transaction = Transaction(
            expectations=(Expectation(lease_row(self.instance), self._version),),
            removals=(lease_row(self.instance), address_row(self.instance)),
        )
        try:
            await self._store.transact(transaction)
        except StoreError as error:
            self._log.write("lease_call_failed", code=error.code, reason=error.message)

    def peer_views(self) -> list[VisibleCapacity]:
        """Return what the other entries see of the agents, by their last renewals."""
        leases = [seen.lease for seen in self.others.values()]
        return [VisibleCapacity(lease.agents, lease.free_permille) for lease in leases]

    def waiting_at_peers(self, queue: str) -> int:
        """Return how many jobs of a queue wait at other entries, by their last renewals."""
        return sum(
            depth.waiting
            for seen in self.others.values()
            for depth in seen.lease.depths
            if depth.queue == queue
        )


def _new_incarnation() -> str:
    return uuid.uuid4().hex[:12]
