"""Sees to it that owners learn the outcomes of their runs, across streams and runners that fail."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from gapdrum.agent.entry_links import EntryLink
from gapdrum.core import orders
from gapdrum.core.models import COUNTED_ENDS, RunKey, TaskName
from gapdrum.core.outbox import OUTCOMES, Outbox, Outcome
from gapdrum.core.runner_ledger import UNKNOWN_OWNER, Run
from gapdrum.event_log import EventLog
from gapdrum.timers import Timers

# An entry that joins is told that a runner is gone for so long after. It expects runs there for
# SILENCE_LIMIT_MS after each stream, and several streams in a row may fail.
DEPARTED_KEPT_MS = 10_000

COUNTED_DETAILS = tuple(end.value for end in COUNTED_ENDS)


class OutcomeReporter:
    """Keeps the outcomes of runs until their owners have received them, and sends them again.

    It also remembers which runners are gone, as an entry that was disconnected expects its runs
    there to go on.
    """

    def __init__(self, timers: Timers, log: EventLog) -> None:
        self._timers = timers
        self._log = log
        self._outbox = Outbox()
        self._last_number = 0  # of the messages that owners are to confirm
        self._departed_ms: dict[str, int] = {}  # when each runner that is gone was removed
        # Called for each outcome that is not kept any more.
        self.on_settled: Callable[[Outcome], None] = lambda _outcome: None

    # Outcomes.

    def next_number(self, events: Iterable[orders.RunEvent]) -> int:
        """Return the number for a message with these events, 0 if it needs no confirmation."""
        if not any(map(_is_withheld, events)):
            return 0
        self._last_number += 1
        return self._last_number

    def record(
        self,
        runner_id: str,
        events: Iterable[tuple[Run, orders.RunEvent]],
        sent_numbers: Mapping[str, int],
    ) -> list[int]:
        """Keep the outcomes among events; ``sent_numbers`` has the connected owners' messages.

        Returns the numbers of ends that the runner is to keep too until ``on_settled`` is called:
        those that count for non-durable runs. An agent that restarts before the owner has received
        one finds it there, whether or not it could know that the stream was failing.
        """
        withheld = []
        for run, event in events:
            if event.kind not in OUTCOMES or run.owner == UNKNOWN_OWNER:
                continue
            self._keep(run.owner, runner_id, run.key, event, sent_numbers.get(run.owner))
            if _is_withheld(event):
                withheld.append(event.end_number)
        return withheld

    def record_refusals(
        self, owner: str, runner_id: str, refused: Iterable[orders.RunEvent]
    ) -> None:
        """Keep the refusals of an order, which were sent to its owner."""
        for event in refused:
            key = RunKey(TaskName.parse(event.task), event.attempt)
            self._keep(owner, runner_id, key, event, sent_number=0)

    def _keep(
        self,
        owner: str,
        runner_id: str,
        key: RunKey,
        event: orders.RunEvent,
        sent_number: int | None,
    ) -> None:
        """Keep an outcome, sent in a message with this number; None if its owner has no stream."""
        outcome = Outcome(runner_id, key, event, self._timers.now_ms(), number=sent_number or 0)
        dropped = self._outbox.add(owner, outcome, is_sent=sent_number is not None)
        if dropped is not None:
            self.on_settled(dropped)
            self._log.write(
                "outcome_dropped",
                request=dropped.key.task.job_id,
                task=dropped.event.task,
                attempt=dropped.event.attempt,
                owner=owner,
                since_ms_ago=outcome.since_ms - dropped.since_ms,
            )

    def forget_ordered(self, owner: str, order: orders.StartOrder) -> None:
        """Forget the outcomes of runs that an owner orders under the same names.

        They are of an earlier submission, whose caller has disconnected.
        """
        for row in order.runs:
            former = self._outbox.forget(owner, order.runner_id, order.key_of(row))
            if former is not None:
                self.on_settled(former)

    # Owners.

    def confirm(self, owner: str, clock_ms: int) -> None:
        """Forget what an owner has received, as it has echoed a later reading of the clock."""
        for outcome in self._outbox.take_received(owner, clock_ms):
            self.on_settled(outcome)

    def confirm_number(self, owner: str, number: int) -> None:
        """Forget what an owner has received, as it has confirmed the number of a message."""
        for outcome in self._outbox.take_confirmed(owner, number):
            self.on_settled(outcome)

    def disconnect(self, owner: str) -> None:
        """Record that an owner's stream has ended."""
        self._outbox.disconnect(owner, self._timers.now_ms())

    def rename(self, former: str, owner: str) -> None:
        """Pass outcomes on to the new name of the same entry."""
        self._outbox.rename(former, owner)

    def expire(self) -> None:
        """Forget the outcomes of runs that their owners have given up by now."""
        for outcome in self._outbox.take_expired(self._timers.now_ms()):
            self.on_settled(outcome)

    def list_owners(self) -> list[str]:
        """Return the owners that may not have received an outcome."""
        return self._outbox.list_owners()

    # Entries that join.

    def take_unreceived(self, owner: str) -> dict[str, list[Outcome]]:
        """Return by runner what an owner that has joined may not have received, to be sent now."""
        self.expire()
        outcomes: dict[str, list[Outcome]] = {}
        unreceived = self._outbox.resend(owner, self._timers.now_ms())
        for outcome in unreceived:
            outcomes.setdefault(outcome.runner_id, []).append(outcome)
        if unreceived:
            oldest_ms = self._timers.now_ms() - unreceived[0].since_ms
            self._log.write(
                "outcomes_resent",
                owner=owner,
                outcomes=len(unreceived),
                runners=len(outcomes),
                oldest_ms=oldest_ms,
            )
        return outcomes

    def record_departure(self, runner_id: str) -> None:
        """Record that a runner is gone."""
        self._departed_ms[runner_id] = self._timers.now_ms()
        self._departed_ms = {one: self._departed_ms[one] for one in self.list_departed()}

    def list_departed(self) -> list[str]:
        """Return the runners that are gone and at which owners may still expect runs."""
        limit_ms = self._timers.now_ms() - DEPARTED_KEPT_MS
        return [runner for runner, time_ms in self._departed_ms.items() if time_ms > limit_ms]

    def send_departed(self, runner_id: str, link: EntryLink, outcomes: Sequence[Outcome]) -> None:
        """Send what became of the runs at a runner that is gone, and that it is."""
        ended = send_unended(runner_id, link, outcomes)
        if ended:
            # With the jobs named, the owner does not take its other runs there for over.
            jobs = {outcome.key.task.job_id for outcome in outcomes}
            link.send(orders.Holdings(runner_id, tuple(sorted(jobs)), ended))
        link.send(orders.RunnerReport(runner_id, "", orders.GONE, (), 0, 0, 0))


def _is_withheld(event: orders.RunEvent) -> bool:
    """Return whether the runner keeps an end until its owner has received it."""
    is_counted = event.end_number and event.detail in COUNTED_DETAILS
    return bool(is_counted) and not event.durable


def send_unended(
    runner_id: str, link: EntryLink, outcomes: Sequence[Outcome]
) -> tuple[orders.HeldRun, ...]:
    """Send the outcomes that are not ends; return the ends as rows of the holdings."""
    events = tuple(one.event for one in outcomes if one.event.kind != orders.ENDED)
    if events:
        link.send(orders.RunEvents(runner_id, events))
    return tuple(one.to_row() for one in outcomes if one.event.kind == orders.ENDED)
