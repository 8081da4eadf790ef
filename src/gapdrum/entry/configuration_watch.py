"""Keeps the newest configuration in force in this process; its version never decreases."""

import asyncio
import contextlib
from collections.abc import Callable

from gapdrum.core.configuration import Configuration
from gapdrum.core.rows import ABSENT, Row
from gapdrum.event_log import EventLog
from gapdrum.operator_feed import TableUpdate
from gapdrum.platform.configuration import decode_configuration
from gapdrum.platform.operator_table import CONFIGURATION_ROW
from gapdrum.timers import MS_PER_S

# A new process has its first configuration after a few calls of the store. Callers of short jobs
# have no use for an answer that comes later than this.
FIRST_WITHIN_MS = 500


class ConfigurationWatch:
    """Applies the configuration's row of the operators' table."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.current: Configuration | None = None
        self.value: bytes | None = None  # of its row, sent to other entries
        self.on_change: Callable[[Configuration], None] = lambda _configuration: None
        self.is_expected: Callable[[], bool] = lambda: True
        self._applied = asyncio.Event()

    @property
    def known(self) -> bool:
        """Return whether a configuration is in force."""
        return self.current is not None

    async def first(self) -> Configuration | None:
        """Return the configuration; wait ``FIRST_WITHIN_MS`` for an expected first one."""
        if self.current is None and self.is_expected():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._applied.wait(), FIRST_WITHIN_MS / MS_PER_S)
        return self.current

    def apply_table(self, news: TableUpdate) -> None:
        """Apply the configuration's row, if it is among rows of the operators' table."""
        for row in news.rows:
            if row.at == CONFIGURATION_ROW and row.value is not None:
                self._apply_row(row, "table")

    def apply_from_peer(self, value: bytes, source: str) -> None:
        """Apply the value of the configuration's row that another entry has sent."""
        self._apply_row(Row(CONFIGURATION_ROW, value, ABSENT), source)

    def _apply_row(self, row: Row, source: str) -> None:
        try:
            configuration = decode_configuration(row, self.current)
        except ValueError as error:
            self._log.write(
                "configuration_rejected", version=row.version, reason=str(error), source=source
            )
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.value = row.value
        self._applied.set()
        for finding in configuration.findings:
            self._log.write(
                "configuration_finding",
                version=configuration.version,
                place=finding.place,
                reason=finding.message,
            )
        self._log.write(
            "configuration_in_force",
            version=configuration.version,
            queues=len(configuration.queues),
            source=source,
        )
        self.on_change(configuration)
