"""The operators' table, which holds the configuration and the requests to drain zones."""

from gapdrum.core.rows import RowKey

OPERATOR_TABLE = "op"
# The row that holds the newest configuration in full.
CONFIGURATION_ROW = RowKey(OPERATOR_TABLE, "", "config")
# A row whose key is this prefix and a zone requests, while it exists, that the zone be drained.
ZONE_DRAIN_PREFIX = "evacuate/"


def zone_drained_by(at: RowKey) -> str | None:
    """Return the zone that a row requests to drain, None if it is another kind of row."""
    if at.table != OPERATOR_TABLE or at.part or not at.key.startswith(ZONE_DRAIN_PREFIX):
        return None
    return at.key[len(ZONE_DRAIN_PREFIX) :] or None
