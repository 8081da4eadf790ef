"""Keeps the newest configuration in force in this process; its version never falls."""

import asyncio
from collections.abc import Callable

from gapdrum.core.configuration import Configuration
from gapdrum.core.rows import Row
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreError, StoreHistoryGoneError
from gapdrum.platform.configuration import (
    CONFIGURATION_ROW,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from gapdrum.platform.rows import RowStore
from gapdrum.timers import MS_PER_S, Timers

# A feed that is cut silently is noticed this late; a change must be in force within 2 s of
# the end of a cut, plus the 3 s that an instance has to be in contact again.
FEED_WAIT_MS = 1_500
READ_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 200


class ConfigurationWatch:
    """Follows the configuration's row by the feed of its table."""

    def __init__(self, rows: RowStore, timers: Timers, log: EventLog) -> None:
        self._rows = rows
        self._timers = timers
        self._log = log
        self._after: int | None = None
        self.current: Configuration | None = None
        self.on_change: Callable[[Configuration], None] = lambda _configuration: None

    @property
    def known(self) -> bool:
        """Tell whether there is a configuration yet."""
        return self.current is not None

    async def follow(self) -> None:
        """Follow the row for ever."""
        failing = False
        while True:
            try:
                await self._step()
                failing = False
            except StoreHistoryGoneError:
                self._log.write("configuration_feed_restarted", after=self._after)
                self._after = None
            except StoreError as error:
                if not failing:
                    self._log.write("configuration_feed_lost", code=error.code)
                failing = True
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    async def _step(self) -> None:
        if self._after is None or self.current is None:
            page = await self._rows.read(CONFIGURATION_TABLE, "", READ_TIMEOUT_MS)
            self._take(page.rows)
            if self.current is not None:
                self._after = page.version
            else:
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
            return
        changes = await self._rows.watch(CONFIGURATION_TABLE, self._after, FEED_WAIT_MS)
        self._take(changes.rows)
        self._after = max(self._after, changes.version)

    def _take(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.at == CONFIGURATION_ROW and row.value is not None:
                self._take_row(row)

    def _take_row(self, row: Row) -> None:
        try:
            configuration = decode_configuration(row)
        except ValueError as error:
            self._log.write("configuration_rejected", version=row.version, reason=str(error))
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        self._log.write(
            "configuration_in_force",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        self.on_change(configuration)
