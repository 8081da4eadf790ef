"""Learns from the operators' table which availability zones are drained."""

from collections.abc import Callable

from gapdrum.core.orders import ZoneDrainsTold
from gapdrum.core.zone_drains import ZoneDrains
from gapdrum.event_log import EventLog
from gapdrum.operator_feed import TableUpdate
from gapdrum.platform.operator_table import zone_drained_by


class ZoneWatch:
    """Keeps ``drains`` up to date, from the table and from what other processes tell.

    ``on_change`` is called once it holds another set of zones.
    """

    def __init__(self, log: EventLog) -> None:
        self.drains = ZoneDrains()
        self.on_change: Callable[[], None] = lambda: None
        self._log = log
        self._rows: set[str] = set()

    def apply_table(self, news: TableUpdate) -> None:
        """Take rows of the operators' table."""
        if news.is_snapshot:
            self._rows.clear()
        for row in news.rows:
            zone = zone_drained_by(row.at)
            if zone is None:
                continue
            if row.value is None:
                self._rows.discard(zone)
            else:
                self._rows.add(zone)
        self._take(news.version, self._rows, "table")

    def apply_from_peer(self, told: ZoneDrainsTold, source: str) -> None:
        """Take what another process has told."""
        self._take(told.version, told.zones, source)

    def drains_message(self) -> ZoneDrainsTold:
        """Return what is known here, to tell another process."""
        return ZoneDrainsTold(self.drains.version, tuple(sorted(self.drains.zones)))

    def _take(self, version: int, zones: set[str] | tuple[str, ...], source: str) -> None:
        former_version = self.drains.version
        if not self.drains.take(version, zones):
            return
        self._log.write(
            "zones_drained",
            zones=sorted(self.drains.zones),
            version=version,
            former_version=former_version,
            source=source,
        )
        self.on_change()
