"""Freed room of a runner that is kept for one entry for a moment."""

import attrs

from gapdrum.core.models import ZERO_RESOURCES, Resources

# How long room is kept for the entry that was told of it: an order comes back after 2 to 5 ms.
# Where work waits at one entry only it is not kept, and who answers later finds room by the
# reports. Replays of overload (four seeds): 70% of the worst kind's worth is earned with 10 ms,
# 62% with 20, as room stands empty for longer that an entry has no use for.
OFFER_MS = 10


@attrs.define
class _Offer:
    owner: str
    room: Resources
    until_ms: int


@attrs.define
class RoomOffers:
    """Who may use freed room, so that entries that see it do not all ask for the same.

    ::

        offers.make("entry-1/life", freed, now_ms)
        free = ledger.free - offers.kept_from("entry-2/life", now_ms)
    """

    _offers: list[_Offer] = attrs.Factory(list)

    def make(self, owner: str, room: Resources, now_ms: int) -> None:
        """Keep room for an owner."""
        self._offers.append(_Offer(owner, room, now_ms + OFFER_MS))

    def any(self, now_ms: int) -> bool:
        """Tell whether room is kept for somebody."""
        self._expire(now_ms)
        return bool(self._offers)

    def kept_from(self, owner: str, now_ms: int) -> Resources:
        """Return the room that is kept for others than this owner."""
        self._expire(now_ms)
        kept = ZERO_RESOURCES
        for offer in self._offers:
            if offer.owner != owner:
                kept += offer.room
        return kept

    def use(self, owner: str, room: Resources) -> None:
        """Note that an owner has used room: as much of its offers is over."""
        for offer in self._offers:
            if offer.owner == owner:
                used = offer.room.overlap(room)
                offer.room -= used
                room -= used
        self._drop_empty()

    def decline(self, owner: str) -> bool:
        """End the offers of an owner that has no use for more room; tell whether it had any."""
        others = [offer for offer in self._offers if offer.owner != owner]
        had_any = len(others) < len(self._offers)
        self._offers = others
        return had_any

    def _expire(self, now_ms: int) -> None:
        if self._offers:
            self._offers = [offer for offer in self._offers if now_ms < offer.until_ms]

    def _drop_empty(self) -> None:
        self._offers = [offer for offer in self._offers if offer.room.cpu_milli > 0]
