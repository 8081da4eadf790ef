"""Racks where more tasks have their data than find room."""

import attrs

# Room of a few tasks comes free meanwhile; a rack that no task waits for then is not short of it.
HOT_MS = 300


@attrs.define
class HotRacks:
    """When a task last waited for room near its data, by rack."""

    _held_ms: dict[str, int] = attrs.Factory(dict)

    def note_held(self, rack: str, now_ms: int) -> None:
        """Note that a task with its data on a rack has to wait."""
        self._held_ms[rack] = now_ms

    def list_hot(self, now_ms: int) -> frozenset[str]:
        """Return the racks whose room should be left to tasks with their data there."""
        if self._held_ms:
            self._held_ms = {
                rack: held_ms
                for rack, held_ms in self._held_ms.items()
                if now_ms - held_ms <= HOT_MS
            }
        return frozenset(self._held_ms)
