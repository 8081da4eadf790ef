"""Freed room of a runner that is offered to one entry for a few milliseconds."""

import attrs

from gapdrum.core.models import ZERO_RESOURCES, Resources

# Validity of an offer: an order comes back after 2 to 5 ms. Longer offers leave room empty that an
# entry has no use for. An entry that answers later finds room by the reports, and where work waits
# at one entry only no offer is made.
OFFER_MS = 10


@attrs.define
class _Offer:
    owner: str
    room: Resources
    until_ms: int


@attrs.define
class RoomOffers:
    """Offers of freed room to single entries, so that not all entries order the same room.

    ::

        offers.make("entry-1/incarnation", freed, now_ms)
        free = ledger.free - offers.withheld_from("entry-2/incarnation", now_ms)
    """

    _offers: list[_Offer] = attrs.Factory(list)

    def make(self, owner: str, room: Resources, now_ms: int) -> None:
        """Offer room to an owner."""
        self._offers.append(_Offer(owner, room, now_ms + OFFER_MS))

    def any(self, now_ms: int) -> bool:
        """Tell whether any offer is valid."""
        self._expire(now_ms)
        return bool(self._offers)

    def withheld_from(self, owner: str, now_ms: int) -> Resources:
        """Return the room that an owner may not use, as it is offered to others."""
        self._expire(now_ms)
        offered = ZERO_RESOURCES
        for offer in self._offers:
            if offer.owner != owner:
                offered += offer.room
        return offered

    def use(self, owner: str, room: Resources) -> None:
        """Reduce the offers of an owner by room that it has used."""
        for offer in self._offers:
            if offer.owner == owner:
                used = offer.room.overlap(room)
                offer.room -= used
                room -= used
        self._drop_empty()

    def decline(self, owner: str) -> bool:
        """End the offers of an owner that needs no more room; return whether it had any."""
        others = [offer for offer in self._offers if offer.owner != owner]
        had_any = len(others) < len(self._offers)
        self._offers = others
        return had_any

    def _expire(self, now_ms: int) -> None:
        if self._offers:
            self._offers = [offer for offer in self._offers if now_ms < offer.until_ms]

    def _drop_empty(self) -> None:
        self._offers = [offer for offer in self._offers if offer.room.cpu_milli > 0]
