"""Sends events of runs, free room and the runs at each runner to the entries."""

import random
from collections.abc import Mapping, Sequence

from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.outcome_reporter import OutcomeReporter, send_unended
from gapdrum.agent.reservation_log import ReservationLog
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.core import orders
from gapdrum.core.models import Resources
from gapdrum.core.outbox import Outcome
from gapdrum.core.runner_ledger import Run
from gapdrum.timers import CoalescedCallback, Timers

# Least time between reports of free room to entries that are short of room; by reports older than
# this most of their orders would be refused.
SCARCE_INTERVAL_MS = 25
# Entries with enough room place tasks well by older reports, and fewer reports save messages.
RELAXED_INTERVAL_MS = 50
# Ends of runs that no entry has stored after this time are sent again, to a few entries at a time:
# one entry may be cut off from the store, and after a power loss each of 160 agents may hold the
# ends of the runs of ten jobs.
UNSTORED_AFTER_MS = 1_500
UNSTORED_SEND_ENTRIES = 2
# An entry counts as short of room for so long after its work has waited or its order was refused.
SCARCE_MS = 2_000
NO_OWNER = ""  # equals no owner's name, so that every offer counts as made to somebody else
# A queue is sent how much room is reserved for others while this leaves it less than this share
# of a runner.
AMPLE_SHARE = 0.25
FREES_ROOM = (orders.ENDED, orders.NOT_STARTED, orders.LOST)


class EntryNotifier:
    """Sends events of runs to their owners at once, and changes of room to all entries soon."""

    def __init__(
        self,
        links: EntryLinks,
        controllers: Mapping[str, RunnerController],
        timers: Timers,
        outcomes: OutcomeReporter,
        reservations: ReservationLog | None = None,
    ) -> None:
        self._links = links
        self._controllers = controllers
        self._timers = timers
        self.outcomes = outcomes
        outcomes.on_settled = self._acknowledge
        self._reservations = reservations
        # Runners with unsent changes of room: for entries that are short of room, and for all.
        self._changed_scarce: set[str] = set()
        self._changed: set[str] = set()
        self._scarce_timer = CoalescedCallback(
            timers, SCARCE_INTERVAL_MS, self.send_room_to_waiting
        )
        self._relaxed_timer = CoalescedCallback(timers, RELAXED_INTERVAL_MS, self.send_room)
        # The last report of each runner's state to all entries; only changes are sent again.
        self._sent_reports: dict[str, orders.RunnerReport] = {}

    def report(
        self, controller: RunnerController, events: list[tuple[Run, orders.RunEvent]]
    ) -> None:
        """Send events of runs to their owners, and schedule reports of the room to all entries."""
        by_owner: dict[str, list[orders.RunEvent]] = {}
        for run, event in events:
            by_owner.setdefault(run.owner, []).append(event)
        owners = [link for link in map(self._links.of_owner, by_owner) if link is not None]
        numbers = {}
        for link in owners:
            rows = tuple(by_owner[link.owner])
            numbers[link.owner] = number = self.outcomes.next_number(rows)
            link.send(orders.RunEvents(controller.runner_id, rows, number))
        controller.withhold_ends(self.outcomes.record(controller.runner_id, events, numbers))
        if any(event.kind in FREES_ROOM for _, event in events):
            self._send_freed(controller, owners)
        self.mark_room_changed(controller.runner_id)

    def _acknowledge(self, outcome: Outcome) -> None:
        """Let the runner forget the end of a non-durable run once its owner does not need it."""
        controller = self._controllers.get(outcome.runner_id)
        if controller is not None and outcome.event.end_number and not outcome.event.durable:
            controller.release_end(outcome.event.end_number)

    def _send_freed(self, controller: RunnerController, owners: list[EntryLink]) -> None:
        """Report freed room at once to the entry it is offered to, or else to the runs' owners."""
        chosen = self._choose_recipient(controller)
        for link in owners if chosen is None else [chosen]:
            self._send_room_change(controller, link)

    def _choose_recipient(self, controller: RunnerController) -> EntryLink | None:
        """Choose an entry that can use the free room, or none; offer it the room if others wait.

        The choice is random among the entries with the most urgent work, weighted by their waiting
        jobs. If all entries were sent the same room, most of their orders would be refused, and
        entries that answer later would get none. If work waits at one entry only, it is chosen
        and no offer is needed.
        """
        upstream = controller.ledger.upstream
        room = controller.free_for(NO_OWNER)
        if room.cpu_milli <= 0 or room.memory_mb < 0:
            return None
        waiting = [link for link in self._links if upstream in link.demand]
        kept = controller.kept_cpu_milli()
        fitting = [
            link
            for link in waiting
            if _fits(
                link.demand[upstream], room.cpu_milli - kept.get(link.demand[upstream].queue, 0)
            )
        ]
        if not fitting:
            return None
        urgency = max(link.demand[upstream].urgency for link in fitting)
        most_urgent = [link for link in fitting if link.demand[upstream].urgency == urgency]
        weights = [link.demand[upstream].jobs or 1 for link in most_urgent]
        chosen = random.choices(most_urgent, weights)[0]
        if len(waiting) > 1:
            controller.offers.make(chosen.owner, room, self._timers.now_ms())
        return chosen

    def reoffer_room(self, controller: RunnerController, link: EntryLink) -> None:
        """Offer the room that an entry has left of its offer to the next entry."""
        if controller.offers.decline(link.owner):
            chosen = self._choose_recipient(controller)
            if chosen is not None:
                self._send_room_change(controller, chosen)

    @staticmethod
    def _runner_report(controller: RunnerController) -> orders.RunnerReport:
        ledger = controller.ledger
        capacity = ledger.capacity or Resources()
        return orders.RunnerReport(
            ledger.runner_id,
            ledger.upstream,
            ledger.state,
            ledger.labels,
            capacity.cpu_milli,
            capacity.memory_mb,
            capacity.accelerators,
        )

    def _room_report(self, controller: RunnerController, link: EntryLink) -> orders.RoomReport:
        """Return the report of a runner's room to one entry."""
        ledger = controller.ledger
        free = controller.free_for(link.owner)
        now_ms = self._timers.now_ms()
        return orders.RoomReport(
            ledger.runner_id,
            free.cpu_milli,
            free.memory_mb,
            free.accelerators,
            link.orders,
            ledger.speed.slowness_permille(now_ms),
            ledger.speed.count(now_ms),
            self._reserved_rows(controller, free),
        )

    def _reserved_rows(
        self, controller: RunnerController, free: Resources
    ) -> tuple[orders.KeptRoom, ...]:
        """Return the room that each queue may not use, while the runner is nearly full."""
        if controller.ledger.capacity is None or free.cpu_milli <= 0:
            return ()
        ample = free.cpu_milli - AMPLE_SHARE * controller.ledger.capacity.cpu_milli
        rows = tuple(
            orders.KeptRoom(queue, cpu_milli)
            for queue, cpu_milli in controller.kept_cpu_milli().items()
            if cpu_milli > ample
        )
        if self._reservations is not None:
            self._reservations.note(controller.ledger, rows, self._timers.now_ms())
        return rows

    def _send_room_change(self, controller: RunnerController, link: EntryLink) -> None:
        """Send a runner's room to one entry if it has changed since the last report."""
        report = self._room_report(controller, link)
        if link.sent_room.get(controller.runner_id) != report:
            link.sent_room[controller.runner_id] = report
            link.send(report)

    def send_runner(self, controller: RunnerController, link: EntryLink) -> None:
        """Send a runner's state and room to one entry, even if they have not changed."""
        link.send(self._runner_report(controller))
        self.resend_room(controller, link)

    def resend_room(self, controller: RunnerController, link: EntryLink) -> None:
        """Send a runner's room to one entry, even if it has not changed."""
        link.sent_room.pop(controller.runner_id, None)
        self._send_room_change(controller, link)

    def send_room_to_waiting(self) -> None:
        """Send changed room to entries short of room, and changed states to all entries."""
        changed = self._changed_scarce
        self._changed_scarce = set()
        for controller in self._present(changed):
            self._send_changes(controller)

    def send_room(self) -> None:
        """Send changed states and room to all entries."""
        changed = self._changed
        self._changed = set()
        for controller in self._present(changed):
            self._send_state(controller)
            for link in self._links:
                self._send_room_change(controller, link)

    def _present(self, runner_ids: set[str]) -> list[RunnerController]:
        return [self._controllers[one] for one in runner_ids if one in self._controllers]

    def _send_changes(self, controller: RunnerController) -> None:
        self._choose_recipient(controller)
        self._send_state(controller)
        upstream = controller.ledger.upstream
        now_ms = self._timers.now_ms()
        for link in self._links:
            if upstream in link.demand or now_ms - link.short_ms < SCARCE_MS:
                self._send_room_change(controller, link)
        if controller.offers.any(now_ms):
            self.mark_room_changed(
                controller.runner_id
            )  # unused offers are sent to all entries later

    def _send_state(self, controller: RunnerController) -> None:
        """Send a runner's state and room to all entries if its state has changed."""
        report = self._runner_report(controller)
        if self._sent_reports.get(controller.runner_id) == report:
            return
        self._sent_reports[controller.runner_id] = report
        for link in self._links:
            link.send(report)
            self._send_room_change(controller, link)
        if controller.ledger.gone:
            self._forget(controller.runner_id)

    def _forget(self, runner_id: str) -> None:
        del self._sent_reports[runner_id]
        for link in self._links:
            link.sent_room.pop(runner_id, None)

    def mark_room_changed(self, runner_id: str) -> None:
        """Schedule reports of a runner's room to all entries."""
        self._changed_scarce.add(runner_id)
        self._changed.add(runner_id)
        self._scarce_timer.schedule()
        self._relaxed_timer.schedule()

    def send_full_state(self, link: EntryLink) -> None:
        """Send the state, room and runs of all runners to an entry that has just joined.

        The outcomes that it may not have received come before, as it takes a run that is not held
        for one that is over without an end.
        """
        outcomes = self.outcomes.take_unreceived(link.owner)
        for controller in self._controllers.values():
            self._send_held(controller, link, outcomes.pop(controller.runner_id, ()))
        for runner_id in dict.fromkeys((*outcomes, *self.outcomes.list_departed())):
            self.outcomes.send_departed(runner_id, link, outcomes.get(runner_id, ()))

    def broadcast_holdings(self, controller: RunnerController) -> None:
        """Send a runner's runs to all entries, before any of them may order work there."""
        for link in self._links:
            self._send_held(controller, link)

    def _send_held(
        self, controller: RunnerController, link: EntryLink, outcomes: Sequence[Outcome] = ()
    ) -> None:
        self.send_runner(controller, link)
        ended = send_unended(controller.runner_id, link, outcomes)
        if controller.ledger.polled:
            held = controller.ledger.held_runs()
            named = {(row.task, row.attempt) for row in held}
            missing = tuple(row for row in ended if (row.task, row.attempt) not in named)
            link.send(orders.Holdings(controller.runner_id, (), (*held, *missing)))

    def resend_unstored_ends(self) -> None:
        """Send ends that no entry has stored in time to a few random entries.

        The owners of the runs, if alive, know these ends already; any other entry learns the state
        of the job with two reads of the store. The next call chooses other entries at random.
        """
        links = list(self._links)
        chosen = random.sample(links, min(len(links), UNSTORED_SEND_ENTRIES))
        limit_ms = self._timers.now_ms() - UNSTORED_AFTER_MS
        for controller in self._controllers.values():
            rows = tuple(
                end.to_event(number)
                for number, end in controller.ledger.ends.items()
                if end.durable
                and end.listed_ms < limit_ms
                and not end.acknowledgeable
                and not end.superseded
            )
            for link in chosen if rows else ():
                link.send(orders.RunEvents(controller.runner_id, rows))


def _fits(demand: orders.UpstreamDemand, room_cpu_milli: int) -> bool:
    return room_cpu_milli > 0 and demand.least_cpu_milli <= room_cpu_milli
