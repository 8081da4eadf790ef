"""Leases of the entries: one row per entry, whose validity is measured on the reader's clock.

A lease has lapsed when its row has not changed for ``LEASE_TTL_MS``, counting
only time in which this process could read the table.  Wall clocks of different
hosts are never compared, and an outage of the store makes no lease lapse.
"""

import attrs

from gapdrum.claims import Owner
from gapdrum.conversion import structure, unstructure
from gapdrum.exceptions import InvalidInputError
from gapdrum.store import ANY_VERSION, Row, TableWrite

KEY_PREFIX = "entry/"
RENEW_INTERVAL_MS = 1_000
LEASE_TTL_MS = 4_000
ROW_TTL_MS = 60_000
MAX_COUNTED_GAP_MS = 2 * RENEW_INTERVAL_MS


@attrs.frozen
class EntryRecord:
    """What an entry states in its lease row."""

    entry_id: str
    incarnation: str
    zone: str
    host: str
    stream_port: int
    renewal: int
    leaving: bool
    settings_version: int
    agents_settings_version: int
    demand: dict[str, int]

    @property
    def owner(self) -> Owner:
        """Return the entry's incarnation, as claims state it."""
        return Owner(self.entry_id, self.incarnation)


def build_renewal(record: EntryRecord) -> TableWrite:
    """Return the write that renews a lease; it is unconditional, as the row has one writer."""
    return TableWrite(KEY_PREFIX + record.entry_id, ANY_VERSION, unstructure(record), ROW_TTL_MS)


@attrs.define
class ObservedLease:
    """A lease row, and for how long it has been observed unchanged."""

    record: EntryRecord
    version: int
    unchanged_ms: int = 0


class LeaseTable:
    """The leases of all entries as last read."""

    def __init__(self) -> None:
        self._leases: dict[str, ObservedLease] = {}
        self._read_at_ms: int | None = None

    def observe(self, rows: list[Row], now_ms: int) -> None:
        """Apply a successful scan of the lease rows."""
        elapsed_ms = 0 if self._read_at_ms is None else now_ms - self._read_at_ms
        counted_ms = min(elapsed_ms, MAX_COUNTED_GAP_MS)
        self._read_at_ms = now_ms
        observed = {}
        for row in rows:
            record = _decode_record(row)
            if record is not None:
                observed[record.entry_id] = self._advance(record, row.version, counted_ms)
        self._leases = observed

    def alive(self) -> list[EntryRecord]:
        """Return the entries whose lease is valid and that are not leaving."""
        return [
            lease.record
            for lease in self._leases.values()
            if lease.unchanged_ms < LEASE_TTL_MS and not lease.record.leaving
        ]

    def find_alive(self, owner: Owner) -> EntryRecord | None:
        """Return the record of exactly this incarnation if its lease is valid."""
        lease = self._leases.get(owner.entry_id)
        if lease is None or lease.unchanged_ms >= LEASE_TTL_MS:
            return None
        return lease.record if lease.record.owner == owner else None

    def _advance(self, record: EntryRecord, version: int, counted_ms: int) -> ObservedLease:
        known = self._leases.get(record.entry_id)
        if known is None or known.version != version:
            return ObservedLease(record, version)
        return ObservedLease(record, version, known.unchanged_ms + counted_ms)


def _decode_record(row: Row) -> EntryRecord | None:
    try:
        return structure(row.value, EntryRecord)
    except InvalidInputError:
        return None
