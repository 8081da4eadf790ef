"""Which share of all agents an entry asks to be served by, beyond those that chose it."""

from collections.abc import Sequence
from statistics import fmean, median

import attrs

# Shares that are asked for, one after the other; 0 leaves it to the agents' own choice.
STEPS_PERMILLE = (0, 400, 700, 1_000)
# An entry is short only after so long: agents join one that has restarted within 0.5 s.
SHORT_AFTER_MS = 500
# Agents that were asked have joined after this, and show whether more are needed.
RAISE_INTERVAL_MS = 500
# Bursts last about four seconds; streams that were opened for one are kept until it is over.
LOWER_AFTER_MS = 5_000
# Others have room to offer from this share of their own on.
SPARE_PERMILLE = 100
# An entry that sees less than this share of what the others see, of room or agents, lacks some.
LACKING_SHARE = 0.5


@attrs.frozen
class VisibleCapacity:
    """What an entry sees: how many agents, and which share of their room is free."""

    agents: int
    free_permille: int


@attrs.define
class Reach:
    """Widens the set of agents of an entry that has no room while others have.

    That happens where a zone is lost or cut, or callers come to few entries. It must not happen
    where all are overloaded: each entry would soon see each agent, and race with all for room.
    """

    step: int = 0
    _short_since_ms: int | None = None
    _short_ms: int = 0
    _raised_ms: int = 0

    @property
    def wanted_permille(self) -> int:
        """Return the share of all agents that is asked for."""
        return STEPS_PERMILLE[self.step]

    def adjust(
        self, own: VisibleCapacity, others: Sequence[VisibleCapacity], work_waits: bool, now_ms: int
    ) -> bool:
        """Take what is seen now; return whether another share is to be asked for."""
        if not self._is_short(own, others, work_waits):
            self._short_since_ms = None
            return self._lower(now_ms)
        if self._short_since_ms is None:
            self._short_since_ms = now_ms
        self._short_ms = now_ms
        return self._raise(now_ms)

    @staticmethod
    def _is_short(
        own: VisibleCapacity, others: Sequence[VisibleCapacity], work_waits: bool
    ) -> bool:
        if not others:
            return False
        # The median, as entries that have widened raise the mean, until others count as short
        # beside them: of 80 entries with 11 agents each all came to ask for all 220 agents.
        if own.agents < LACKING_SHARE * median(one.agents for one in others):
            return True
        spare_permille = fmean(one.free_permille for one in others)
        lacks_room = own.free_permille < LACKING_SHARE * spare_permille
        return work_waits and lacks_room and spare_permille >= SPARE_PERMILLE

    def _raise(self, now_ms: int) -> bool:
        is_due = now_ms - self._short_since_ms >= SHORT_AFTER_MS
        if not is_due or now_ms - self._raised_ms < RAISE_INTERVAL_MS:
            return False
        if self.step == len(STEPS_PERMILLE) - 1:
            return False
        self.step += 1
        self._raised_ms = now_ms
        return True

    def _lower(self, now_ms: int) -> bool:
        if not self.step or now_ms - self._short_ms < LOWER_AFTER_MS:
            return False
        self.step -= 1
        self._short_ms = now_ms
        return True
