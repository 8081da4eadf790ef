"""Tracks which availability zones are drained, from the operators' table and other processes."""

from collections.abc import Callable

from gapdrum.core.orders import ZoneDrainsTold
from gapdrum.core.zone_drains import ZoneDrains
from gapdrum.event_log import EventLog
from gapdrum.operator_feed import TableUpdate
from gapdrum.platform.operator_table import zone_drained_by


class ZoneWatch:
    """Keeps ``drains`` up to date, from the operators' table and from reports of other processes.

    ``on_change`` is called when the set of zones has changed.
    """

    def __init__(self, log: EventLog) -> None:
        self.drains = ZoneDrains()
        self.on_change: Callable[[], None] = lambda: None
        self._log = log
        self._rows: set[str] = set()

    def apply_table(self, update: TableUpdate) -> None:
        """Apply rows of the operators' table."""
        if update.is_snapshot:
            self._rows.clear()
        for row in update.rows:
            zone = zone_drained_by(row.at)
            if zone is None:
                continue
            if row.value is None:
                self._rows.discard(zone)
            else:
                self._rows.add(zone)
        self._update(update.version, self._rows, "table")

    def apply_from_peer(self, report: ZoneDrainsTold, source: str) -> None:
        """Apply the report of another process."""
        self._update(report.version, report.zones, source)

    def drains_message(self) -> ZoneDrainsTold:
        """Return the drains that this process knows, as a message to another process."""
        return ZoneDrainsTold(self.drains.version, tuple(sorted(self.drains.zones)))

    def _update(self, version: int, zones: set[str] | tuple[str, ...], source: str) -> None:
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
