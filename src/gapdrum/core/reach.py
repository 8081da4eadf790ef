"""The share of all agents that an entry requests, beyond the agents that chose it themselves."""

from collections.abc import Sequence
from statistics import fmean, median

import attrs

# The shares that are requested one after the other; 0 leaves the choice to the agents.
SHARES_PERMILLE = (0, 400, 700, 1_000)
# How long an entry lacks capacity before it requests more: agents rejoin a restarted entry within
# 0.5 s.
RAISE_DELAY_MS = 500
# Requested agents have joined after this time, and show whether more are needed.
RAISE_INTERVAL_MS = 500
# Bursts last about four seconds; the streams that are opened for a burst stay until it is over.
LOWER_AFTER_MS = 5_000
# The least free share of the peers' room that makes more agents worth requesting.
MIN_SPARE_PERMILLE = 100
# An entry lacks room or agents if it sees less than this share of what its peers see.
LACKING_SHARE = 0.5


@attrs.frozen
class VisibleCapacity:
    """The agents that an entry sees, and the free share of their room."""

    agents: int
    free_permille: int


@attrs.define
class Reach:
    """Widens the set of agents of an entry that has no room while its peers have.

    This happens if a zone is lost or cut off, or callers use few entries. The set must not be
    widened if all entries are overloaded: each would soon see every agent, and compete with all
    others for room.
    """

    step: int = 0
    _lacking_since_ms: int | None = None
    _last_needed_ms: int = 0
    _raised_ms: int = 0

    @property
    def wanted_permille(self) -> int:
        """Return the requested share of all agents."""
        return SHARES_PERMILLE[self.step]

    def adjust(
        self, own: VisibleCapacity, peers: Sequence[VisibleCapacity], work_waits: bool, now_ms: int
    ) -> bool:
        """Update the requested share from the visible capacity; return whether it changed."""
        if not self._lacks_capacity(own, peers, work_waits):
            self._lacking_since_ms = None
            return self._lower(now_ms)
        if self._lacking_since_ms is None:
            self._lacking_since_ms = now_ms
        self._last_needed_ms = now_ms
        return self._raise(now_ms)

    @staticmethod
    def _lacks_capacity(
        own: VisibleCapacity, peers: Sequence[VisibleCapacity], work_waits: bool
    ) -> bool:
        if not peers:
            return False
        # The median, as each entry that widens its set raises the mean, until the others lack
        # agents beside it: with the mean, 80 entries of 11 agents each came to request all 220.
        if own.agents < LACKING_SHARE * median(one.agents for one in peers):
            return True
        spare_permille = fmean(one.free_permille for one in peers)
        lacks_room = own.free_permille < LACKING_SHARE * spare_permille
        return work_waits and lacks_room and spare_permille >= MIN_SPARE_PERMILLE

    def _raise(self, now_ms: int) -> bool:
        is_due = now_ms - self._lacking_since_ms >= RAISE_DELAY_MS
        if not is_due or now_ms - self._raised_ms < RAISE_INTERVAL_MS:
            return False
        if self.step == len(SHARES_PERMILLE) - 1:
            return False
        self.step += 1
        self._raised_ms = now_ms
        return True

    def _lower(self, now_ms: int) -> bool:
        if not self.step or now_ms - self._last_needed_ms < LOWER_AFTER_MS:
            return False
        self.step -= 1
        self._last_needed_ms = now_ms
        return True
