"""What several entries wait for at one agent, added up for each of them without its own part.

::

    backlog = FleetBacklog()
    backlog.note("entry-1", {"workers": rows})
    backlog.beside("entry-2", "workers")      # what all others wait for there
"""

from collections.abc import Mapping

import attrs

from gapdrum.core.queued_room import Rows, add_up


@attrs.define
class FleetBacklog:
    """The last word of each entry; it goes with the entry's stream."""

    _told: dict[str, Mapping[str, Rows]] = attrs.Factory(dict)
    _sums: dict[tuple[str, str], Rows] = attrs.Factory(dict)

    def note(self, entry: str, backlog: Mapping[str, Rows]) -> None:
        """Take what an entry waits for, by upstream."""
        self._told[entry] = backlog
        self._sums.clear()

    def forget(self, entry: str) -> None:
        """Count nothing more of an entry without a stream: it orders nothing, either."""
        if self._told.pop(entry, None) is not None:
            self._sums.clear()

    def beside(self, entry: str, upstream: str) -> Rows:
        """Return what entries other than this one wait for at an upstream."""
        key = (entry, upstream)
        if key not in self._sums:
            others = [told for name, told in self._told.items() if name != entry]
            self._sums[key] = add_up(told.get(upstream, ()) for told in others)
        return self._sums[key]

    def waiting_cpu_milli(self) -> int:
        """Return the room that all entries wait for here."""
        return sum(
            row.waiting_cpu_milli
            for told in self._told.values()
            for rows in told.values()
            for row in rows
        )
