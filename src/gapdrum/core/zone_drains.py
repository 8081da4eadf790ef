"""Which availability zones operators have drained: nothing more is started there."""

from collections.abc import Iterable

import attrs

UNKNOWN_VERSION = -1


@attrs.define
class ZoneDrains:
    """The drained zones as of a version of the operators' table, which never goes back.

    An older statement, such as a stale read or a late message, is passed over. Before anything
    is known, every zone counts as closed: a process that starts must not begin work in a zone
    that was drained while it was away.

    ::

        drains = ZoneDrains()
        drains.take(17, ["moka-hall"])     # True, as it is news
        drains.is_closed("moka-hall")      # True
        drains.take(12, [])                # False: that was before
    """

    version: int = UNKNOWN_VERSION
    zones: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Tell whether anything is known yet."""
        return self.version != UNKNOWN_VERSION

    def is_closed(self, zone: str) -> bool:
        """Tell whether nothing may be started in a zone."""
        return not self.known or zone in self.zones

    def take(self, version: int, zones: Iterable[str]) -> bool:
        """Take what holds as of a version; return whether it changes what is known here."""
        if version < self.version:
            return False
        taken = frozenset(zones)
        if version == self.version:
            # Two statements as of one version should agree. Where they don't, the next version
            # settles it; until then a zone that one of them closes stays closed, and processes
            # that hold different ones don't tell each other for ever.
            taken |= self.zones
        is_news = not self.known or taken != self.zones
        self.version = version
        self.zones = taken
        return is_news
