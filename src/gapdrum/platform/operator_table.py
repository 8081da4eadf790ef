"""The table that operators write: where the configuration lies, and which zones are emptied."""

from gapdrum.core.rows import RowKey

OPERATOR_TABLE = "op"
# The row that holds the newest configuration in full.
CONFIGURATION_ROW = RowKey(OPERATOR_TABLE, "", "config")
# A row below this prefix asks that a zone be drained, until it is removed. Its key names the zone.
ZONE_DRAIN_PREFIX = "evacuate/"


def zone_drained_by(at: RowKey) -> str | None:
    """Return the zone that a row drains while it exists, None if it is another kind of row."""
    if at.table != OPERATOR_TABLE or at.part or not at.key.startswith(ZONE_DRAIN_PREFIX):
        return None
    return at.key[len(ZONE_DRAIN_PREFIX) :] or None
