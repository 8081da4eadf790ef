"""Divides an agent's free slots between the entries that compete for them.

While no entry waits for slots, all free slots are stated to every entry.  Once
an entry holds tasks for lack of a slot, each free slot is offered to one of the
waiting entries at a time; entries that all used the same slot would queue
behind each other.  Offers do not reserve slots: an order without an offer is
still accepted and queued.
"""

import random

import attrs

OFFER_TTL_MS = 30


@attrs.define(eq=False)
class SlotRequester:
    """An entry that competes for slots: its waiting tasks and the slots offered to it."""

    waiting: int = 0
    offered: int = 0
    offered_at_ms: int = 0


class SlotAllocator:
    """Divides free slots between entries.

    ::

        allocator.allocate(requesters, free_slots, now_ms)
        stated = allocator.free_for(requester, requesters, free_slots)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def allocate(self, requesters: list[SlotRequester], free_slots: int, now_ms: int) -> None:
        """Withdraw unused offers, and offer the free slots."""
        for requester in requesters:
            self._expire(requester, now_ms)
        left = free_slots - sum(requester.offered for requester in requesters)
        self._withdraw(requesters, -left)
        while left > 0:
            eligible = [entry for entry in requesters if entry.waiting > entry.offered]
            if not eligible:
                return
            chosen = self._rng.choice(eligible)
            chosen.offered += 1
            chosen.offered_at_ms = now_ms
            left -= 1

    @staticmethod
    def free_for(requester: SlotRequester, requesters: list[SlotRequester], free_slots: int) -> int:
        """Return the number of free slots to state to one entry."""
        wanted = sum(entry.waiting for entry in requesters)
        if wanted == 0:
            return free_slots
        if requester.waiting:
            return requester.offered
        return max(0, free_slots - wanted)

    @staticmethod
    def take(requester: SlotRequester, orders: int) -> None:
        """Record received orders: they use up offers and waiting tasks."""
        requester.offered = max(0, requester.offered - orders)
        requester.waiting = max(0, requester.waiting - orders)

    @staticmethod
    def record_waiting(requester: SlotRequester, waiting: int) -> None:
        """Record how many tasks an entry states to hold."""
        requester.waiting = waiting
        requester.offered = min(requester.offered, waiting)

    @staticmethod
    def _expire(requester: SlotRequester, now_ms: int) -> None:
        """Reset an entry that did not use an offer in time: it is assumed to hold no tasks."""
        if requester.offered and now_ms - requester.offered_at_ms > OFFER_TTL_MS:
            requester.offered = 0
            requester.waiting = 0

    @staticmethod
    def _withdraw(requesters: list[SlotRequester], excess: int) -> None:
        """Withdraw offers that free slots no longer cover."""
        for requester in requesters:
            if excess <= 0:
                return
            withdrawn = min(excess, requester.offered)
            requester.offered -= withdrawn
            excess -= withdrawn
