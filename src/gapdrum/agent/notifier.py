"""What the agent tells entries: events of runs, room, and what the runners hold."""

import random
from collections.abc import Mapping

from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.reservation_log import ReservationLog
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.core import orders
from gapdrum.core.models import Resources
from gapdrum.core.runner_ledger import Run
from gapdrum.timers import Delayed, Timers

SCARCE_INTERVAL_MS = 25  # room is told this often at most to entries that wait for it
# Entries that have room enough choose well among runners by older figures. Replay of 35 entries
# and 160 agents at 87% of the room: 8.8 messages a task, 10.5 if all are told each 25 ms.
RELAXED_INTERVAL_MS = 50
# Ends that nobody has stored after this long are told again, to so many entries: one may be cut
# off from the store. After a loss of power 160 agents may each hold ends of ten jobs.
ORPHAN_AFTER_MS = 1_500
ORPHAN_ENTRIES = 2
# Room is taken as scarce for an entry for so long after work of it has waited, or an order of it
# was refused: by older figures than 25 ms most of its orders would be refused.
SCARCE_MS = 2_000
NOBODY = ""  # no entry's owner: all that is kept for anybody is kept from it
# What is kept from a queue is told while it leaves less than this share of a runner to the queue.
AMPLE_SHARE = 0.25
FREES_ROOM = (orders.ENDED, orders.NOT_STARTED, orders.LOST)


class EntryNotifier:
    """Tells owners of their runs at once, and all entries of the room soon."""

    def __init__(
        self,
        links: EntryLinks,
        controllers: Mapping[str, RunnerController],
        timers: Timers,
        notes: ReservationLog | None = None,
    ) -> None:
        self._links = links
        self._keepers = controllers
        self._timers = timers
        self._notes = notes
        # Runners whose room has changed, for entries that are short of room and for all others.
        self._untold_scarce: set[str] = set()
        self._untold: set[str] = set()
        self._scarce_timer = Delayed(timers, SCARCE_INTERVAL_MS, self.send_room_to_waiting)
        self._relaxed_timer = Delayed(timers, RELAXED_INTERVAL_MS, self.send_room)
        # What all entries were told last of each runner, so that only changes are told again.
        self._told: dict[str, orders.RunnerReport] = {}

    def report(
        self, controller: RunnerController, events: list[tuple[Run, orders.RunEvent]]
    ) -> None:
        """Tell owners what happened to their runs, and all entries of the room soon."""
        by_owner: dict[str, list[orders.RunEvent]] = {}
        for run, event in events:
            by_owner.setdefault(run.owner, []).append(event)
        owners = [link for link in map(self._links.of_owner, by_owner) if link is not None]
        for link in owners:
            link.send(orders.RunEvents(controller.runner_id, tuple(by_owner[link.owner])))
        if any(event.kind in FREES_ROOM for _, event in events):
            self._tell_freed(controller, owners)
        self.mark_room_changed(controller.runner_id)

    def _tell_freed(self, controller: RunnerController, owners: list[EntryLink]) -> None:
        """Tell of freed room at once: who it is kept for, or else whose runs have ended."""
        chosen = self._offer(controller)
        for link in owners if chosen is None else [chosen]:
            self._tell_room(controller, link)

    def _offer(self, controller: RunnerController) -> EntryLink | None:
        """Choose an entry that has use for the free room, and keep it for that one; or None.

        It is one of those with the most urgent work, by chance and by how much waits there. If
        all heard of the same room, most of their orders would be refused, and small entries,
        which answer later, would get none. Nothing is kept if work waits at one entry only.
        """
        upstream = controller.ledger.upstream
        room = controller.free_for(NOBODY)
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
        """Offer what an entry has left of the room that was kept for it to the next one."""
        if controller.offers.decline(link.owner):
            chosen = self._offer(controller)
            if chosen is not None:
                self._tell_room(controller, chosen)

    @staticmethod
    def _describe(controller: RunnerController) -> orders.RunnerReport:
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

    def _count_room(self, controller: RunnerController, link: EntryLink) -> orders.RoomReport:
        """Return a runner's room as one entry is told it."""
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
            self._kept_rows(controller, free),
        )

    def _kept_rows(
        self, controller: RunnerController, free: Resources
    ) -> tuple[orders.KeptRoom, ...]:
        """Return what is kept from queues, while the runner is nearly full."""
        if controller.ledger.capacity is None or free.cpu_milli <= 0:
            return ()
        ample = free.cpu_milli - AMPLE_SHARE * controller.ledger.capacity.cpu_milli
        rows = tuple(
            orders.KeptRoom(queue, cpu_milli)
            for queue, cpu_milli in controller.kept_cpu_milli().items()
            if cpu_milli > ample
        )
        if self._notes is not None:
            self._notes.note(controller.ledger, rows, self._timers.now_ms())
        return rows

    def _tell_room(self, controller: RunnerController, link: EntryLink) -> None:
        """Tell one entry a runner's room, unless it knows."""
        report = self._count_room(controller, link)
        if link.sent_room.get(controller.runner_id) != report:
            link.sent_room[controller.runner_id] = report
            link.send(report)

    def send_runner(self, controller: RunnerController, link: EntryLink) -> None:
        """Tell one entry a runner's state and room, whether they have changed or not."""
        link.send(self._describe(controller))
        self.resend_room(controller, link)

    def resend_room(self, controller: RunnerController, link: EntryLink) -> None:
        """Tell one entry a runner's room, whether it has changed or not."""
        link.sent_room.pop(controller.runner_id, None)
        self._tell_room(controller, link)

    def send_room_to_waiting(self) -> None:
        """Tell entries that are short of room what has changed, and all of new states."""
        changed = self._untold_scarce
        self._untold_scarce = set()
        for controller in self._present(changed):
            self._send_changes(controller)

    def send_room(self) -> None:
        """Tell all entries of the states and room that have changed."""
        changed = self._untold
        self._untold = set()
        for controller in self._present(changed):
            self._send_state(controller)
            for link in self._links:
                self._tell_room(controller, link)

    def _present(self, runner_ids: set[str]) -> list[RunnerController]:
        return [self._keepers[one] for one in runner_ids if one in self._keepers]

    def _send_changes(self, controller: RunnerController) -> None:
        self._offer(controller)
        self._send_state(controller)
        upstream = controller.ledger.upstream
        now_ms = self._timers.now_ms()
        for link in self._links:
            if upstream in link.demand or now_ms - link.short_ms < SCARCE_MS:
                self._tell_room(controller, link)
        if controller.offers.any(now_ms):
            self.mark_room_changed(controller.runner_id)  # what is not used is told to all later

    def _send_state(self, controller: RunnerController) -> None:
        """Tell all entries what a runner is if that has changed, with its room."""
        description = self._describe(controller)
        if self._told.get(controller.runner_id) == description:
            return
        self._told[controller.runner_id] = description
        for link in self._links:
            link.send(description)
            self._tell_room(controller, link)
        if controller.ledger.gone:
            self._forget(controller.runner_id)

    def _forget(self, runner_id: str) -> None:
        del self._told[runner_id]
        for link in self._links:
            link.sent_room.pop(runner_id, None)

    def mark_room_changed(self, runner_id: str) -> None:
        """Note that all entries are to hear of a runner's room."""
        self._untold_scarce.add(runner_id)
        self._untold.add(runner_id)
        self._scarce_timer.ask()
        self._relaxed_timer.ask()

    def send_full_state(self, link: EntryLink) -> None:
        """Tell an entry that has just joined what is held here."""
        for controller in self._keepers.values():
            self._tell_held(controller, link)

    def broadcast_holdings(self, controller: RunnerController) -> None:
        """Tell all entries what a runner holds, before any of them may order work there."""
        for link in self._links:
            self._tell_held(controller, link)

    def _tell_held(self, controller: RunnerController, link: EntryLink) -> None:
        self.send_runner(controller, link)
        if controller.ledger.polled:
            ended = controller.ledger.recent_ends_of(link.entry, self._timers.now_ms())
            rows = (*controller.ledger.held_runs(), *ended)
            link.send(orders.Holdings(controller.runner_id, (), rows))

    def resend_unstored_ends(self) -> None:
        """Tell some entries of ends that nobody has stored for long.

        Their owners know of them, if they live; any other entry finds out what became of the job
        by two reads of the store. Others are told with the next call, if nothing comes of it.
        """
        links = list(self._links)
        told = random.sample(links, min(len(links), ORPHAN_ENTRIES))
        limit_ms = self._timers.now_ms() - ORPHAN_AFTER_MS
        for controller in self._keepers.values():
            rows = tuple(
                end.to_event(number)
                for number, end in controller.ledger.ends.items()
                if end.noted_ms < limit_ms and not end.stored and not end.superseded
            )
            for link in told if rows else ():
                link.send(orders.RunEvents(controller.runner_id, rows))


def _fits(demand: orders.UpstreamDemand, room_cpu_milli: int) -> bool:
    return room_cpu_milli > 0 and demand.least_cpu_milli <= room_cpu_milli
