"""When a runner is polled, which answers are outdated, and whether the runner can be reached.

A poll renews the runner's lease, lists its runs and ends, and waits there for the next end. One at
a time is enough while answers arrive. A lost answer hides all ends until the poll times out, which
takes longer than a short task's slack. So for some time after a loss polls are short, and the next
one begins before the last is answered.
"""

from collections.abc import Callable

import attrs

# How long a poll waits for an end: five renewals fit into a lease of 1 s.
POLL_WAIT_MS = 200
POLL_ANSWER_MS = 150  # the time to answer a poll beyond its wait
# How long after a lost answer the connection counts as lossy.
LOSSY_MS = 3_000
# While answers are lost: how long a poll waits, and the interval at which polls begin. A short
# task's slack is about 60 ms, so two answers in a row may be lost.
SHORT_WAIT_MS = 25
STAGGER_MS = 25
# Limits of the rate of polls: each answer costs processor time, and each lost one a connection.
MIN_POLL_INTERVAL_MS = 15
MAX_PENDING_POLLS = 4
# A poll that is overdue by this much while a later one has been answered counts as lost.
OVERDUE_MS = 30
# A runner counts as unreachable after this many failed polls in a row, or after the time of a
# whole poll and of the next one, which does not wait at the runner.
MAX_FAILURES = 3
UNREACHABLE_AFTER_MS = POLL_WAIT_MS + POLL_ANSWER_MS + 50


@attrs.frozen
class Poll:
    """A pending poll; ``number`` counts the polls of this runner."""

    number: int
    began_ms: int
    wait_ms: int


def _no_listener() -> None:
    """Do nothing."""


@attrs.define
class PollSchedule:
    """The polls of one incarnation of a runner. The caller passes the time.

    ::

        poll = schedule.begin(200, now_ms)
        schedule.record_lost_answer(now_ms)     # a start was not answered
        schedule.next_ms(now_ms)                # in 25 ms, beside the pending poll

    ``on_answer_lost`` is called when a first answer is lost, as the next poll is then due earlier.
    """

    on_answer_lost: Callable[[], None] = _no_listener
    heard_ms: int = 0
    failures: int = 0  # consecutive polls without an answer
    unreachable: bool = False
    _lossy_until_ms: int = 0
    _skip_next_wait: bool = False
    _pending: dict[int, Poll] = attrs.Factory(dict)
    _last_begun: int = 0
    _last_begun_ms: int = 0
    _last_answered: int = 0  # the number of the latest answered poll, and when it was answered
    _last_answered_ms: int = 0
    _snapshot_clock_ms: int = 0
    _begun_at_snapshot: int = 0

    def is_lossy(self, now_ms: int) -> bool:
        """Return whether an answer was lost recently."""
        return now_ms < self._lossy_until_ms

    @property
    def has_pending_poll(self) -> bool:
        """Return whether a poll has not been answered yet."""
        return bool(self._pending)

    def next_ms(self, now_ms: int) -> int | None:
        """Return when the next poll is due, None while it depends on a pending one.

        An unreachable runner is not polled more often for its lost answers.
        """
        is_urgent = self.is_lossy(now_ms) and not self.unreachable
        if not self._pending:
            return max(now_ms, self._last_begun_ms + MIN_POLL_INTERVAL_MS) if is_urgent else now_ms
        if not is_urgent or len(self._pending) >= MAX_PENDING_POLLS:
            return None
        return max(now_ms, self._last_begun_ms + STAGGER_MS)

    def begin(self, max_wait_ms: int, now_ms: int) -> Poll:
        """Begin a poll that waits at the runner for at most this time."""
        wait_ms = max_wait_ms
        if self.unreachable or self._skip_next_wait:
            wait_ms = 0
            self._skip_next_wait = False
        elif self.is_lossy(now_ms):
            wait_ms = min(max_wait_ms, SHORT_WAIT_MS)
        self._last_begun += 1
        self._last_begun_ms = now_ms
        poll = Poll(self._last_begun, now_ms, wait_ms)
        self._pending[poll.number] = poll
        return poll

    def end(self, number: int) -> None:
        """Remove a poll that is no longer pending."""
        self._pending.pop(number, None)

    def record_answer(self, number: int, now_ms: int) -> None:
        """Record the answer to a poll."""
        self.record_contact(now_ms)
        if number > self._last_answered:
            self._last_answered = number
            self._last_answered_ms = now_ms

    def record_contact(self, now_ms: int) -> None:
        """Record that the runner has answered a call."""
        self.heard_ms = now_ms
        self.failures = 0

    def record_failure(self) -> None:
        """Record a poll without an answer."""
        self.failures += 1

    def record_lost_answer(self, now_ms: int) -> None:
        """Record a call that was sent on an intact connection and timed out."""
        was_lossy = self.is_lossy(now_ms)
        self._lossy_until_ms = now_ms + LOSSY_MS
        if not was_lossy:
            self._skip_next_wait = True  # the next poll replaces the lost answer
            self.on_answer_lost()

    def list_lost_polls(self, now_ms: int) -> list[int]:
        """Return the overdue polls whose answers are lost, as a later poll was answered."""
        return [
            poll.number
            for poll in self._pending.values()
            if poll.number < self._last_answered and now_ms >= self._lost_at_ms(poll)
        ]

    def _lost_at_ms(self, poll: Poll) -> int:
        return max(self._last_answered_ms, poll.began_ms + poll.wait_ms) + OVERDUE_MS

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when a poll is due, or counts as lost, if no answer arrives before."""
        times = [
            self._lost_at_ms(poll)
            for poll in self._pending.values()
            if poll.number < self._last_answered
        ]
        next_ms = self.next_ms(now_ms)
        if next_ms is not None:
            times.append(next_ms)
        return min(times, default=None)

    def accept_snapshot(self, number: int, clock_ms: int) -> bool:
        """Return whether a poll's snapshot is newer than those before, and record it if so.

        Answers to overlapping polls may arrive out of order. The content of an older one is either
        known already or listed again by a later one.
        """
        if number <= self._begun_at_snapshot and clock_ms <= self._snapshot_clock_ms:
            return False
        self._begun_at_snapshot = self._last_begun
        self._snapshot_clock_ms = clock_ms
        return True

    def is_unresponsive(self, now_ms: int) -> bool:
        """Return whether the runner has left enough polls unanswered to count as unreachable."""
        if self.failures >= MAX_FAILURES:
            return True
        return bool(self.failures) and now_ms - self.heard_ms > UNREACHABLE_AFTER_MS
