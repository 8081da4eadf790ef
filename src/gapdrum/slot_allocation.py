"""How an agent states its free slots when entries compete for them.

While no entry waits for slots, every entry is told of all that are free.  As
soon as some entry holds tasks for lack of a slot, each free slot is offered to
one entry at a time, in proportion to how much waits there; entries that all
jumped at the same slot would queue behind each other.  Offers are statements
and no promises: an order without an offer is still taken and queued.
"""

import random

import attrs

OFFER_TTL_MS = 30


@attrs.define(eq=False)
class SlotRequester:
    """An entry as the sharing sees it: what waits there and what it was offered."""

    waiting: int = 0
    offered: int = 0
    offered_at_ms: int = 0


class SlotAllocator:
    """Splits free slots between the claimants.

    ::

        shares.allocate(claimants, free_slots, now_ms)
        told = shares.free_for(claimant, claimants, free_slots)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def allocate(self, claimants: list[SlotRequester], free_slots: int, now_ms: int) -> None:
        """Withdraw offers that were not taken up, and offer what is free."""
        for claimant in claimants:
            self._expire(claimant, now_ms)
        left = free_slots - sum(claimant.offered for claimant in claimants)
        self._withdraw(claimants, -left)
        while left > 0:
            wanting = [entry for entry in claimants if entry.waiting > entry.offered]
            if not wanting:
                return
            chosen = self._rng.choice(wanting)
            chosen.offered += 1
            chosen.offered_at_ms = now_ms
            left -= 1

    @staticmethod
    def free_for(claimant: SlotRequester, claimants: list[SlotRequester], free_slots: int) -> int:
        """Return the free slots to state to one entry."""
        wanted = sum(entry.waiting for entry in claimants)
        if wanted == 0:
            return free_slots
        if claimant.waiting:
            return claimant.offered
        return max(0, free_slots - wanted)

    @staticmethod
    def take(claimant: SlotRequester, orders: int) -> None:
        """Note that orders came in: they use up offers and what waited."""
        claimant.offered = max(0, claimant.offered - orders)
        claimant.waiting = max(0, claimant.waiting - orders)

    @staticmethod
    def record_waiting(claimant: SlotRequester, waiting: int) -> None:
        """Take an entry's statement of how many tasks it holds."""
        claimant.waiting = waiting
        claimant.offered = min(claimant.offered, waiting)

    @staticmethod
    def _expire(claimant: SlotRequester, now_ms: int) -> None:
        """Take an entry that left an offer unused to have nothing waiting any more."""
        if claimant.offered and now_ms - claimant.offered_at_ms > OFFER_TTL_MS:
            claimant.offered = 0
            claimant.waiting = 0

    @staticmethod
    def _withdraw(claimants: list[SlotRequester], excess: int) -> None:
        """Take back offers that are no longer covered by free slots."""
        for claimant in claimants:
            if excess <= 0:
                return
            taken = min(excess, claimant.offered)
            claimant.offered -= taken
            excess -= taken
