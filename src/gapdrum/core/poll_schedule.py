"""When a runner is looked at, which answers are still news, and whether it can be reached.

One look at a time is enough while answers come: it waits at the runner for the next end. A lost
answer hides all ends until it is given up, though, for longer than a short task's slack. So for
some time after one was lost the looks are short, and the next begins before the last is answered.
"""

from collections.abc import Callable

import attrs

# A look waits so long for an end: five renewals fit into a lease of 1 s.
POLL_WAIT_MS = 200
POLL_ANSWER_MS = 150  # how much later than it waits a look is answered at most
# After a lost answer others are taken to be lost for so long.
LOSSY_MS = 3_000
# While answers are lost: how long a look waits, and when the next one begins beside it. A short
# task's slack is about 60 ms, so that two answers in a row may be lost.
SHORT_WAIT_MS = 25
STAGGER_MS = 25
# Each answer costs processor time, and each lost one a connection, however many ends there are.
LEAST_GAP_MS = 15
MOST_UNDER_WAY = 4
# A look that should have been answered so long ago, and was not though a later one was, is lost.
OVERTAKEN_MS = 30
# A runner can't be reached after so many looks in a row without an answer, or a whole look and
# the next one that is due to be answered at once.
MOST_FAILURES = 3
UNHEARD_MS = POLL_WAIT_MS + POLL_ANSWER_MS + 50


@attrs.frozen
class Poll:
    """A look under way; ``number`` counts the looks at this runner."""

    number: int
    began_ms: int
    wait_ms: int


def _no_listener() -> None:
    """Do nothing."""


@attrs.define
class PollSchedule:
    """The looks at one incarnation of a runner. The time is given.

    ::

        turn = schedule.begin(200, now_ms)
        schedule.note_lost(now_ms)              # a start was not answered
        schedule.next_ms(now_ms)                # in 25 ms, beside the one under way

    ``on_answer_lost`` is called when a first answer is lost: the next look may be due by then.
    """

    on_answer_lost: Callable[[], None] = _no_listener
    heard_ms: int = 0
    failures: int = 0  # looks in a row without an answer
    unreachable: bool = False
    _lossy_until_ms: int = 0
    _shows_at_once: bool = False
    _under_way: dict[int, Poll] = attrs.Factory(dict)
    _begun: int = 0
    _began_ms: int = 0
    _answered: int = 0  # the number of the latest look that was answered, and when that was
    _answered_ms: int = 0
    _picture_clock_ms: int = 0
    _picture_begun: int = 0

    def is_lossy(self, now_ms: int) -> bool:
        """Tell whether an answer was lost lately."""
        return now_ms < self._lossy_until_ms

    @property
    def has_pending_poll(self) -> bool:
        """Tell whether a look has not been answered yet."""
        return bool(self._under_way)

    # Beginning.

    def next_ms(self, now_ms: int) -> int | None:
        """Return when the next look is to begin, None while it waits for the one under way.

        A runner that answers nothing is not called more often for that.
        """
        hurried = self.is_lossy(now_ms) and not self.unreachable
        if not self._under_way:
            return max(now_ms, self._began_ms + LEAST_GAP_MS) if hurried else now_ms
        if not hurried or len(self._under_way) >= MOST_UNDER_WAY:
            return None
        return max(now_ms, self._began_ms + STAGGER_MS)

    def begin(self, most_wait_ms: int, now_ms: int) -> Poll:
        """Begin a look that waits at most so long; return its turn."""
        wait_ms = most_wait_ms
        if self.unreachable or self._shows_at_once:
            wait_ms = 0
            self._shows_at_once = False
        elif self.is_lossy(now_ms):
            wait_ms = min(most_wait_ms, SHORT_WAIT_MS)
        self._begun += 1
        self._began_ms = now_ms
        turn = Poll(self._begun, now_ms, wait_ms)
        self._under_way[turn.number] = turn
        return turn

    # Ending.

    def end(self, number: int) -> None:
        """Note that a look is under way no more."""
        self._under_way.pop(number, None)

    def record_answer(self, number: int, now_ms: int) -> None:
        """Note that a look was answered."""
        self.record_contact(now_ms)
        if number > self._answered:
            self._answered = number
            self._answered_ms = now_ms

    def record_contact(self, now_ms: int) -> None:
        """Note that the runner has answered a call."""
        self.heard_ms = now_ms
        self.failures = 0

    def record_failure(self) -> None:
        """Note a look without an answer."""
        self.failures += 1

    def record_lost_answer(self, now_ms: int) -> None:
        """Note a call that was sent on a sound connection and not answered in time."""
        was_lossy = self.is_lossy(now_ms)
        self._lossy_until_ms = now_ms + LOSSY_MS
        if not was_lossy:
            self._shows_at_once = True  # what the lost answer would have told
            self.on_answer_lost()

    def list_lost_polls(self, now_ms: int) -> list[int]:
        """Return the looks whose answers are lost, as a later one was answered meanwhile."""
        return [
            turn.number
            for turn in self._under_way.values()
            if turn.number < self._answered and now_ms >= self._lost_at_ms(turn)
        ]

    def _lost_at_ms(self, turn: Poll) -> int:
        return max(self._answered_ms, turn.began_ms + turn.wait_ms) + OVERTAKEN_MS

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when a look is to begin, or to be given up, if nothing is heard before."""
        times = [
            self._lost_at_ms(turn)
            for turn in self._under_way.values()
            if turn.number < self._answered
        ]
        next_ms = self.next_ms(now_ms)
        if next_ms is not None:
            times.append(next_ms)
        return min(times, default=None)

    # Judging.

    def is_news(self, number: int, clock_ms: int) -> bool:
        """Tell whether a look shows a newer picture than those before, and note it.

        Answers of looks that overlapped may overtake each other. What an older one shows has
        either been shown, or is listed again.
        """
        if number <= self._picture_begun and clock_ms <= self._picture_clock_ms:
            return False
        self._picture_begun = self._begun
        self._picture_clock_ms = clock_ms
        return True

    def is_unresponsive(self, now_ms: int) -> bool:
        """Tell whether the runner has left so much unanswered that it can't be reached."""
        if self.failures >= MOST_FAILURES:
            return True
        return bool(self.failures) and now_ms - self.heard_ms > UNHEARD_MS
