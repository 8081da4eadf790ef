"""Which availability zones operators have drained: no further task is started there."""

from collections.abc import Iterable

import attrs

UNKNOWN_VERSION = -1


@attrs.define
class ZoneDrains:
    """The drained zones as of a version of the operators' table of them, which only increases.

    An older version, such as a stale read or a late message, is ignored. Until a version is known,
    every zone counts as closed: a process that starts must not begin work in a zone that was
    drained while it was down.

    ::

        drains = ZoneDrains()
        drains.take(17, ["moka-hall"])     # True: the drained zones change
        drains.is_closed("moka-hall")      # True
        drains.take(12, [])                # False: an older version
    """

    version: int = UNKNOWN_VERSION
    zones: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Return whether a version of the table is known."""
        return self.version != UNKNOWN_VERSION

    def is_closed(self, zone: str) -> bool:
        """Return whether no task may be started in a zone."""
        return not self.known or zone in self.zones

    def take(self, version: int, zones: Iterable[str]) -> bool:
        """Apply the drained zones as of a version; return whether the known ones change."""
        if version < self.version:
            return False
        drained = frozenset(zones)
        if version == self.version:
            # Two sources should agree on one version. If they don't, a zone that either of them
            # drains stays closed until the next version. The union also keeps processes from
            # sending each other their differing zones for ever.
            drained |= self.zones
        is_changed = not self.known or drained != self.zones
        self.version = version
        self.zones = drained
        return is_changed
