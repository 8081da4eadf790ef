"""Finds the entries: by the table of addresses in the store, or else in the settings."""

import asyncio

from gapdrum.agent.entry_links import EntryLinks
from gapdrum.core.records import ADDRESS_TABLE, UNPARTITIONED, EntryAddress, load_record
from gapdrum.core.rows import Row
from gapdrum.event_log import EventLog
from gapdrum.exceptions import RecordError, StoreError, StoreHistoryGoneError
from gapdrum.platform.rows import RowStore
from gapdrum.timers import MS_PER_S

# Entries change rarely. A silently cut feed is noticed shortly after this wait.
FEED_WAIT_MS = 3_000
# Pause after a change, as changes often come together: if 35 entries and 160 agents start, a call
# for each change would be 5,600 calls.
CHANGE_PAUSE_MS = 300
READ_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 200


class EntryDirectory:
    """Watches the table of addresses, and registers the entries in its rows at ``links``."""

    def __init__(
        self,
        rows: RowStore,
        links: EntryLinks,
        log: EventLog,
        seeds: tuple[EntryAddress, ...] = (),
    ) -> None:
        self._rows = rows
        self._links = links
        self._log = log
        self._seeds = seeds
        self._after: int | None = None

    async def follow(self) -> None:
        """Watch the table until cancelled."""
        failing = False
        while True:
            try:
                await self._step()
                failing = False
            except StoreHistoryGoneError:
                self._after = None
            except StoreError as error:
                if not failing:
                    self._log.write("entry_feed_lost", code=error.code, reason=error.message)
                failing = True
                # Agents that start while the store is unavailable would find no entry until it
                # returns, so that jobs would be refused after a restart of all processes.
                self._links.join_seeds(self._seeds)
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    async def _step(self) -> None:
        if self._after is None:
            page = await self._rows.read(ADDRESS_TABLE, UNPARTITIONED, READ_TIMEOUT_MS)
            self._links.retain_entries({row.at.key for row in page.rows})
            self._take(page.rows)
            self._after = page.version
            return
        changes = await self._rows.watch(ADDRESS_TABLE, self._after, FEED_WAIT_MS)
        self._take(changes.rows)
        self._after = max(self._after, changes.version)
        if changes.rows:
            await asyncio.sleep(CHANGE_PAUSE_MS / MS_PER_S)

    def _take(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                self._links.unregister_entry(row.at.key)
                continue
            try:
                address = load_record(row.value, EntryAddress)
            except RecordError as error:
                self._log.write(
                    "row_unreadable", place=f"{ADDRESS_TABLE}//{row.at.key}", reason=error.message
                )
                continue
            self._links.register_entry(row.at.key, address)
        self._links.update_links()
