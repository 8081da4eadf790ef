"""Outcomes of runs that the owners may not have received yet."""

from collections.abc import Iterator

import attrs

from gapdrum.core import orders
from gapdrum.core.models import RunKey
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS

# An owner that does not learn one of these starts the task again, or waits for a run that is over.
OUTCOMES = (orders.ENDED, orders.LOST, orders.NOT_STARTED)
# Outcomes kept for one owner; a message holds so many.
MAX_OUTCOMES = orders.MAX_ROWS


@attrs.define(eq=False)
class Outcome:
    """The outcome of a run; ``sent_ms`` is None until it is sent on the owner's present stream.

    ``number`` is that of the ``RunEvents`` it was sent in, 0 if the owner is to confirm none.
    """

    runner_id: str
    key: RunKey
    event: orders.RunEvent
    since_ms: int
    sent_ms: int | None = None
    number: int = 0

    def to_row(self) -> orders.HeldRun:
        """Return an end as a row of the agent's holdings."""
        event = self.event
        return orders.HeldRun(
            event.task,
            event.attempt,
            event.epoch,
            orders.HELD_ENDED,
            event.detail,
            event.end_number,
            event.submission,
        )


@attrs.define(eq=False)
class OwnerOutbox:
    """The outcomes for one owner, the oldest first.

    ``disconnected_ms`` is when its last stream ended, None while it has one.
    """

    disconnected_ms: int | None
    outcomes: dict[tuple[str, RunKey], Outcome] = attrs.Factory(dict)

    def take_received(self, clock_ms: int) -> Iterator[Outcome]:
        """Remove and yield the outcomes that were sent before a reading of the agent's clock."""
        for key, outcome in list(self.outcomes.items()):
            if outcome.sent_ms is None or outcome.sent_ms >= clock_ms:
                return
            del self.outcomes[key]
            yield outcome

    def take_confirmed(self, number: int) -> Iterator[Outcome]:
        """Remove and yield the outcomes that were sent in messages up to a number."""
        for key, outcome in list(self.outcomes.items()):
            if 0 < outcome.number <= number:
                del self.outcomes[key]
                yield outcome

    def mark_sent(self, sent_ms: int | None) -> None:
        """Record that all outcomes are sent again now, without a number, or on no stream."""
        for outcome in self.outcomes.values():
            outcome.sent_ms = sent_ms
            outcome.number = 0

    def take_expired(self, now_ms: int) -> Iterator[Outcome]:
        """Remove and yield the outcomes of runs that the owner has given up by now."""
        if self.disconnected_ms is None:
            return
        for key, outcome in list(self.outcomes.items()):
            if now_ms - max(outcome.since_ms, self.disconnected_ms) > SILENCE_LIMIT_MS:
                del self.outcomes[key]
                yield outcome


@attrs.define
class Outbox:
    """Keeps outcomes until their owner has received them, whatever streams and runners fail.

    A message may be lost if its stream fails. An owner has received an outcome once it confirms
    the number of its message, or echoes a reading of the agent's clock that was sent later on the
    same stream. An owner without a stream counts on its runs for ``SILENCE_LIMIT_MS`` at most, so
    its outcomes are kept for as long.
    Callers pass the time::

        outbox.add(owner, outcome, is_sent=False)       # the stream is down
        outbox.resend(owner, now_ms)                    # on the next one
        outbox.take_received(owner, clock_ms)           # echoed: they have arrived
        outbox.take_confirmed(owner, number)            # confirmed, sooner than by an echo
    """

    owners: dict[str, OwnerOutbox] = attrs.Factory(dict)

    def add(self, owner: str, outcome: Outcome, is_sent: bool) -> Outcome | None:
        """Keep an outcome; return the oldest one if it had to be dropped for it."""
        box = self.owners.get(owner)
        if box is None:
            disconnected_ms = None if is_sent else outcome.since_ms
            box = self.owners[owner] = OwnerOutbox(disconnected_ms)
        if is_sent:
            outcome.sent_ms = outcome.since_ms
        key = (outcome.runner_id, outcome.key)
        box.outcomes.pop(key, None)
        box.outcomes[key] = outcome
        if len(box.outcomes) <= MAX_OUTCOMES:
            return None
        return box.outcomes.pop(next(iter(box.outcomes)))

    def forget(self, owner: str, runner_id: str, key: RunKey) -> Outcome | None:
        """Remove and return the outcome of a run that its owner has ordered anew, if it is kept."""
        box = self.owners.get(owner)
        return box.outcomes.pop((runner_id, key), None) if box is not None else None

    def resend(self, owner: str, now_ms: int) -> list[Outcome]:
        """Return all outcomes for an owner that has joined; they count as sent now."""
        box = self.owners.get(owner)
        if box is None:
            return []
        box.disconnected_ms = None
        box.mark_sent(now_ms)
        return list(box.outcomes.values())

    def disconnect(self, owner: str, now_ms: int) -> None:
        """Record that an owner's stream has ended: what it has not confirmed may be lost."""
        box = self.owners.get(owner)
        if box is None:
            return
        box.disconnected_ms = now_ms
        box.mark_sent(None)

    def rename(self, former: str, owner: str) -> None:
        """Pass outcomes on to the same entry's new name, which it got when it lost its lease."""
        box = self.owners.pop(former, None)
        if box is None:
            return
        present = self.owners.get(owner)
        if present is not None:
            box.disconnected_ms = present.disconnected_ms
            box.outcomes.update(present.outcomes)
        self.owners[owner] = box

    def take_received(self, owner: str, clock_ms: int) -> list[Outcome]:
        """Remove and return the outcomes that an owner has received, as its echo proves."""
        box = self.owners.get(owner)
        return list(box.take_received(clock_ms)) if box is not None else []

    def take_confirmed(self, owner: str, number: int) -> list[Outcome]:
        """Remove and return the outcomes in messages that an owner has confirmed by number."""
        box = self.owners.get(owner)
        return list(box.take_confirmed(number)) if box is not None else []

    def list_owners(self) -> list[str]:
        """Return the owners that may not have received an outcome."""
        return [owner for owner, box in self.owners.items() if box.outcomes]

    def take_expired(self, now_ms: int) -> list[Outcome]:
        """Remove and return the outcomes of owners that have given their runs up."""
        expired = [one for box in self.owners.values() for one in box.take_expired(now_ms)]
        for owner in [owner for owner, box in self.owners.items() if not box.outcomes]:
            del self.owners[owner]
        return expired
