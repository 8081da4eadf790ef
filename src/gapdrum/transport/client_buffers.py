"""Accounts for what the connections of a process hold in memory, and relieves it when full."""

from typing import Protocol

from gapdrum.client_limits import derive_client_limits

# Relief frees a quarter of the buffers at once, so that it is seldom needed.
RELIEVED_SHARE = 3 / 4
# After a relief that could not free enough, the next one comes when so much more is held.
RETRY_SHARE = 1 / 16


class Holder(Protocol):
    """A connection that holds buffers."""

    def droppable_bytes(self) -> int:
        """Return what ``drop_buffers`` would free."""

    def drop_buffers(self) -> None:
        """Reject the request that is being received, or end the connection."""


class ClientBuffers:
    """The buffers of all connections of a process, at whichever address.

    Above the limit, connections with the most unfinished bytes are relieved of them first: an
    ordinary request is small and complete at once::

        buffers = ClientBuffers(16 * 1024 * 1024)
        buffers.charge(connection, 4_096)  # what the connection holds from now on
        buffers.charge(connection, 0)
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._held: dict[Holder, int] = {}
        self._relieving = False
        self._relief_bytes = limit_bytes  # from which on connections are relieved

    @property
    def is_full(self) -> bool:
        """Tell whether more is held than the limit."""
        return self.used_bytes > self.limit_bytes

    def charge(self, holder: Holder, held_bytes: int) -> None:
        """Set what a connection holds; relieve the largest if all hold too much."""
        known = self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        self.used_bytes += held_bytes - known
        if self.used_bytes <= self.limit_bytes:
            self._relief_bytes = self.limit_bytes
        elif held_bytes > known and self.used_bytes > self._relief_bytes and not self._relieving:
            self._relieve()
            if self.used_bytes > self.limit_bytes:
                self._relief_bytes = self.used_bytes + int(self.limit_bytes * RETRY_SHARE)

    def _relieve(self) -> None:
        self._relieving = True
        target_bytes = self.limit_bytes * RELIEVED_SHARE
        by_size = sorted(
            ((holder.droppable_bytes(), holder) for holder in self._held),
            key=lambda one: one[0],
            reverse=True,
        )
        try:
            for droppable_bytes, holder in by_size:
                if not droppable_bytes or self.used_bytes <= target_bytes:
                    break
                holder.drop_buffers()
        finally:
            self._relieving = False


def default_buffers() -> ClientBuffers:
    """Return the buffers of a process without settings of its own, such as a stand-in."""
    return ClientBuffers(derive_client_limits().buffer_bytes)
