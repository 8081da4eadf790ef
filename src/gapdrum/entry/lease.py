"""The entry lease in the store: this entry's own, and those of its peers."""

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
    entry_of_owner,
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
# Delay after a failed call of the store, shorter as jobs wait for the store.
RETRY_INTERVAL_MS = 250
# A lease ends this long after its last answered renewal was sent. Most outages of the store are
# not longer, and the jobs of a lost entry wait this long for a new owner.
LEASE_MS = 4_000
# Peers add this to the duration, as their clocks and timers differ.
EXPIRY_MARGIN_MS = 600
# After a peer's lease its waiting jobs are still counted for so long: the time to find and claim
# them, and until the claimer's next renewal is read.
FORMER_DEPTHS_MS = 3_000
# Former owner names sent to agents. An incarnation's runs end about a second after its entry lease.
MAX_FORMER_OWNERS = 4
# Replaces the incarnation of a lease that can't be read; no job has such an owner.
UNREADABLE_INCARNATION = "unreadable"


@attrs.define
class ObservedLease:
    """A peer's lease, and since when it is unchanged while the store answers."""

    lease: EntryLease
    version: int
    unchanged_since_ms: int


class Lease:
    """Renews the lease of this entry and observes those of its peers.

    ``on_lease_lost`` is called when a peer has ended the lease, and ``on_orphaned_jobs`` when
    incarnations of peers have ended, with their owner names: their jobs have no owner.
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
        self.on_orphaned_jobs: Callable[[tuple[str, ...]], None] = lambda _owners: None
        self._address = address
        self._store = store
        self._timers = timers
        self._log = log
        # Until when the waiting jobs of former owners are counted, and how many there were.
        self._former_depths: dict[str, tuple[int, tuple[QueueDepth, ...]]] = {}
        self._version = ABSENT
        self._renewals = 0
        self._valid_until_ms = 0
        self._leaving = False
        self._wake = asyncio.Event()
        self._written_address: EntryAddress | None = None
        self.former_owners: deque[str] = deque(maxlen=MAX_FORMER_OWNERS)
        self.incarnation = _new_incarnation()

    def _begin_incarnation(self) -> None:
        self.former_owners.append(self.owner)
        self.incarnation = _new_incarnation()
        self._version = ABSENT

    @property
    def owner(self) -> str:
        """Return the name under which this incarnation of the entry owns jobs."""
        return owner_name(self.instance, self.incarnation)

    @property
    def valid(self) -> bool:
        """Return whether this entry holds its lease, so that it may act for its jobs."""
        return self._timers.now_ms() < self._valid_until_ms and not self._leaving

    async def register(self) -> None:
        """Write lease and address over those of an earlier incarnation; raises StoreError."""
        address = attrs.evolve(self._address, incarnation=self.incarnation)
        puts = (
            Put(lease_row(self.instance), dump_record(self._record())),
            Put(address_row(self.instance), dump_record(address)),
        )
        sent_ms = self._timers.now_ms()
        result = await self._store.transact(Transaction(puts=puts))
        self._written_address = address
        self._apply_renewal(result.version, sent_ms)
        self._log.write("lease_taken", owner=self.owner, version=self._version)

    def request_agents(self, wanted_permille: int) -> None:
        """Ask a share of all agents to connect, with an immediate renewal."""
        self._address = attrs.evolve(self._address, wanted_permille=wanted_permille)
        self._wake.set()

    async def pause(self, pause_ms: int) -> None:
        """Wait until the next renewal is due."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), pause_ms / MS_PER_S)
        self._wake.clear()

    async def keep(self) -> int:
        """Renew the lease and check the peers' once; return the delay until the next time in ms."""
        if self._leaving:
            return RENEW_INTERVAL_MS
        try:
            if self._version == ABSENT:
                await self.register()
            else:
                await self._renew()
            await self.poll()
        except StoreError as error:
            self._restart_expiry()
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
            self._apply_renewal(result.version, sent_ms)
            return
        row = next((row for row in result.rows if row.at == at and row.value), None)
        if row is not None and self._is_own(row):
            # The answer to an earlier renewal was lost, or the renewal took effect late.
            self._version = row.version
            return
        self._log.write("lease_lost", owner=self.owner, version=self._version)
        self._valid_until_ms = 0
        self._begin_incarnation()
        self.on_lease_lost()

    def _is_own(self, row: Row) -> bool:
        try:
            return load_record(row.value, EntryLease).incarnation == self.incarnation
        except RecordError as error:
            self._log_unreadable(row, error)
            return False

    def _apply_renewal(self, version: int, sent_ms: int) -> None:
        self._version = version
        self._valid_until_ms = sent_ms + LEASE_MS

    def _record(self) -> EntryLease:
        counts = self.count_waiting()
        depths = tuple(QueueDepth(queue, waiting) for queue, waiting in counts.items())
        view = self.view_agents()
        return EntryLease(self.incarnation, self._renewals, depths, view.agents, view.free_permille)

    async def poll(self) -> frozenset[str]:
        """Read all leases, end those that have expired, and return the remaining owners."""
        rows = await self._store.read_all(LEASE_TABLE, UNPARTITIONED)
        now_ms = self._timers.now_ms()
        seen = {row.at.key: row for row in rows}
        before = self._peer_leases()
        for name in [name for name in self.others if name not in seen]:
            del self.others[name]
        for name, row in seen.items():
            if name != self.instance:
                self._record_lease(name, row, now_ms)
        try:
            for name in [name for name in self.others if self._has_expired(name, now_ms)]:
                await self._end_lease(name)
        finally:
            self._report_ended(before)
        return frozenset(self._peer_leases()) | {self.owner}

    def _report_ended(self, before: dict[str, EntryLease]) -> None:
        """Report the owners that have lost their lease since ``before`` was read."""
        ended = sorted(before.keys() - self._peer_leases().keys())
        self._forget_claimed_depths()
        until_ms = self._timers.now_ms() + FORMER_DEPTHS_MS
        self._former_depths |= {owner: (until_ms, before[owner].depths) for owner in ended}
        if ended:
            self._log.write("owners_gone", entries=[entry_of_owner(owner) for owner in ended])
            self.on_orphaned_jobs(tuple(ended))

    def _peer_leases(self) -> dict[str, EntryLease]:
        """Return the peers' leases by owner."""
        return {
            owner_name(name, seen.lease.incarnation): seen.lease
            for name, seen in self.others.items()
        }

    def _record_lease(self, name: str, row: Row, now_ms: int) -> None:
        before = self.others.get(name)
        if before is not None and before.version == row.version:
            return
        try:
            lease = load_record(row.value, EntryLease)
        except RecordError as error:
            # Written by another program: it expires and is removed, as it is not renewed.
            self._log_unreadable(row, error)
            lease = (
                before.lease if before is not None else EntryLease(UNREADABLE_INCARNATION, 0, ())
            )
        self.others[name] = ObservedLease(lease, row.version, now_ms)

    def _log_unreadable(self, row: Row, error: RecordError) -> None:
        self._log.write(
            "row_unreadable", place=f"{LEASE_TABLE}//{row.at.key}", reason=error.message
        )

    def _has_expired(self, name: str, now_ms: int) -> bool:
        unchanged_ms = now_ms - self.others[name].unchanged_since_ms
        return unchanged_ms > LEASE_MS + EXPIRY_MARGIN_MS

    async def _end_lease(self, name: str) -> None:
        """Remove an expired lease, unless it has been renewed."""
        seen = self.others[name]
        transaction = Transaction(
            expectations=(Expectation(lease_row(name), seen.version),),
            removals=(lease_row(name), address_row(name)),
        )
        result = await self._store.transact(transaction)
        if isinstance(result, Conflict):
            return
        del self.others[name]
        self._log.write("lease_ended", entry=name, version=seen.version)

    def _restart_expiry(self) -> None:
        """Restart the time of all peers' leases, which can't be renewed during a store outage."""
        now_ms = self._timers.now_ms()
        for seen in self.others.values():
            seen.unchanged_since_ms = now_ms

    async def leave(self) -> None:
        """Release the lease at shutdown, so that peers take the jobs over at once."""
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
        """Return how many agents and how much free room the peers see, by their leases."""
        leases = [seen.lease for seen in self.others.values()]
        return [VisibleCapacity(lease.agents, lease.free_permille) for lease in leases]

    def waiting_at_peers(self, queue: str) -> int:
        """Return how many jobs of a queue wait at the peers, by their leases.

        The jobs of a peer whose lease has just ended still wait until others have claimed them.
        """
        self._forget_claimed_depths()
        leases = [seen.lease.depths for seen in self.others.values()]
        former = [depths for _, depths in self._former_depths.values()]
        return sum(
            depth.waiting
            for depths in (*leases, *former)
            for depth in depths
            if depth.queue == queue
        )

    def _forget_claimed_depths(self) -> None:
        now_ms = self._timers.now_ms()
        self._former_depths = {
            owner: one for owner, one in self._former_depths.items() if now_ms < one[0]
        }


def _new_incarnation() -> str:
    return uuid.uuid4().hex[:12]
