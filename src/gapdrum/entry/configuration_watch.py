"""Keeps the newest configuration in force in this process; its version never falls."""

from collections.abc import Callable

from gapdrum.core.configuration import Configuration
from gapdrum.core.rows import Row
from gapdrum.event_log import EventLog
from gapdrum.operator_feed import TableNews
from gapdrum.platform.configuration import decode_configuration
from gapdrum.platform.operator_table import CONFIGURATION_ROW


class ConfigurationWatch:
    """Takes the configuration's row from the operators' table."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.current: Configuration | None = None
        self.on_change: Callable[[Configuration], None] = lambda _configuration: None

    @property
    def known(self) -> bool:
        """Tell whether there is a configuration yet."""
        return self.current is not None

    def take_table(self, news: TableNews) -> None:
        """Take rows of the operators' table."""
        for row in news.rows:
            if row.at == CONFIGURATION_ROW and row.value is not None:
                self._take_row(row)

    def _take_row(self, row: Row) -> None:
        try:
            configuration = decode_configuration(row, self.current)
        except ValueError as error:
            self._log.write("configuration_rejected", version=row.version, reason=str(error))
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
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
        )
        self.on_change(configuration)
