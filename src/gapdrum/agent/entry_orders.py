"""Handles the messages of entries: starts, stops, claims, adoptions and stored ends."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from functools import partial

from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.grants import Grants
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.core import orders
from gapdrum.core.models import RunKey, TaskName
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.run_bounds import RESTART_ALLOWANCE_MS
from gapdrum.core.runner_ledger import not_started
from gapdrum.event_log import EventLog
from gapdrum.timers import Timers
from gapdrum.zone_watch import ZoneWatch

# Number of jobs whose epochs are remembered; a job is over long before so many others are claimed.
MAX_REMEMBERED_EPOCHS = 50_000


class EntryOrders:
    """Carries out the orders of entries, if epoch, grant and free room allow them."""

    def __init__(
        self,
        links: EntryLinks,
        controllers: Mapping[str, RunnerController],
        grants: Grants,
        notifier: EntryNotifier,
        timers: Timers,
        log: EventLog,
        shares: RoomShares | None = None,
    ) -> None:
        self._links = links
        self._controllers = controllers
        self._grants = grants
        self._notifier = notifier
        self._timers = timers
        self._log = log
        self.shares = shares or RoomShares()
        self.zones = ZoneWatch(log)
        self._epochs: OrderedDict[str, int] = OrderedDict()
        self._cancelled: OrderedDict[str, int] = OrderedDict()  # the epochs of cancelled jobs

    def take(self, link: EntryLink, message: object) -> None:
        """Handle one message of an entry."""
        handler = self._HANDLERS.get(type(message))
        if handler is None:
            self._log.write("message_unknown", kind=type(message).__name__)
            return
        handler(self, link, message)

    def _apply_echo(self, link: EntryLink, echo: orders.BeatEcho) -> None:
        self._grants.note(link.owner, echo.clock_ms, echo.lease_held)
        self._notifier.outcomes.confirm(link.owner, echo.clock_ms)
        link.follows_table = echo.table_followed

    def _apply_receipt(self, link: EntryLink, receipt: orders.OutcomesReceived) -> None:
        self._notifier.outcomes.confirm_number(link.owner, receipt.number)

    def _apply_demand(self, link: EntryLink, demand: orders.RoomDemand) -> None:
        if link.demand:
            link.short_ms = self._timers.now_ms()
        link.demand = {row.upstream: row for row in demand.upstreams}
        for controller in self._controllers.values():
            if controller.ledger.upstream not in link.demand:
                controller.offers.decline(link.owner)

    def _apply_queue_demands(self, link: EntryLink, message: orders.QueueDemands) -> None:
        self.shares.take(link.entry, message.queues, self._timers.now_ms())

    def _apply_zones(self, link: EntryLink, message: orders.ZoneDrainsTold) -> None:
        self.zones.apply_from_peer(message, source=link.entry)

    def _apply_order(self, link: EntryLink, order: orders.StartOrder) -> None:
        link.orders += len(order.runs)
        self._grants.note(link.owner, order.clock_ms, order.durable)
        self._notifier.outcomes.confirm_number(link.owner, order.received)
        self._notifier.outcomes.forget_ordered(link.owner, order)
        controller = self._controllers.get(order.runner_id)
        if self._epochs.get(order.job_id, 0) > order.epoch:
            if order.job_id in self._cancelled:
                link.send(orders.JobCancelled(order.job_id, self._cancelled[order.job_id]))
            refused = self._refuse_all(order, orders.JOB_SUPERSEDED)
        elif controller is None:
            refused = self._refuse_all(order, orders.RUNNER_GONE)
        else:
            refused = controller.starts.order(link.owner, order, self._timers.now_ms())
            self._notifier.mark_room_changed(order.runner_id)
            self._notifier.reoffer_room(controller, link)
        if refused:
            link.send(orders.RunEvents(order.runner_id, tuple(refused)))
            self._notifier.outcomes.record_refusals(link.owner, order.runner_id, refused)
            self._log_refusals(refused)
            link.short_ms = self._timers.now_ms()
            if controller is not None:
                self._notifier.resend_room(controller, link)

    @staticmethod
    def _refuse_all(order: orders.StartOrder, reason: str) -> list[orders.RunEvent]:
        return [
            not_started(order.key_of(row), order.epoch, reason, order.submission)
            for row in order.runs
        ]

    def _log_refusals(self, refused: list[orders.RunEvent]) -> None:
        for event in refused:
            self._log.write(
                "order_refused",
                request=event.task.partition(".")[0],
                task=event.task,
                attempt=event.attempt,
                reason=event.detail,
            )

    def _apply_stop(self, _link: EntryLink, message: orders.StopOrder) -> None:
        controller = self._controllers.get(message.runner_id)
        if controller is None:
            return
        for row in message.runs:
            controller.starts.stop(RunKey(TaskName.parse(row.task), row.attempt))

    def _apply_stored_ends(self, _link: EntryLink, message: orders.EndsStored) -> None:
        controller = self._controllers.get(message.runner_id)
        if controller is not None:
            controller.ledger.mark_acknowledgeable(message.numbers, message.superseded)

    def _apply_ended_leases(self, link: EntryLink, message: orders.LeasesEnded) -> None:
        for owner in message.owners:
            self._links.record_ended_lease(owner, source=link.entry)
        self._links.update_links()

    def _apply_claims(self, link: EntryLink, message: orders.JobsClaimed) -> None:
        """Refuse lower epochs of the jobs from now on, and send the entry the jobs' runs here."""
        self._record_epochs(message.jobs)
        names = frozenset(row.job_id for row in message.jobs)
        epochs = {row.job_id: row.epoch for row in message.jobs}
        for controller in self._controllers.values():
            self._notify_former_owners(controller, epochs, link.owner)
            if controller.ledger.polled:
                controller.ledger.assign_ends(names, link.owner)
                held = controller.ledger.held_runs(names)
                link.send(orders.Holdings(controller.runner_id, tuple(names), held))

    def _record_epochs(self, jobs: tuple[orders.JobEpoch, ...]) -> None:
        for row in jobs:
            if row.epoch > self._epochs.get(row.job_id, 0):
                self._epochs[row.job_id] = row.epoch
        while len(self._epochs) > MAX_REMEMBERED_EPOCHS:
            self._epochs.popitem(last=False)

    def _apply_cancellations(self, _link: EntryLink, message: orders.JobsCancelled) -> None:
        """Stop the runs of cancelled jobs, start none, and notify the owners of the runs.

        An owner is notified before it learns that its runs have ended, or it would start them
        again at another runner.
        """
        self._record_epochs(message.jobs)
        epochs = {row.job_id: row.epoch for row in message.jobs}
        self._cancelled.update(epochs)
        while len(self._cancelled) > MAX_REMEMBERED_EPOCHS:
            self._cancelled.popitem(last=False)
        for controller in self._controllers.values():
            runs = [
                run
                for run in controller.ledger.runs.values()
                if run.durable and run.epoch < epochs.get(run.key.task.job_id, 0)
            ]
            for owner, job_id in {(run.owner, run.key.task.job_id) for run in runs}:
                former = self._links.of_owner(owner)
                if former is not None:
                    former.send(orders.JobCancelled(job_id, epochs[job_id]))
            for run in runs:
                controller.starts.stop(run.key)

    def _notify_former_owners(
        self, controller: RunnerController, epochs: dict[str, int], owner: str
    ) -> None:
        for run in controller.ledger.runs.values():
            job_id = run.key.task.job_id
            if job_id in epochs and run.owner not in ("", owner):
                former = self._links.of_owner(run.owner)
                if former is not None:
                    former.send(orders.JobLost(job_id, epochs[job_id]))

    def _apply_adoption(self, link: EntryLink, message: orders.AdoptRuns) -> None:
        controller = self._controllers.get(message.runner_id)
        if controller is None:
            return
        missed = []
        for row in message.runs:
            key = RunKey(TaskName.parse(row.task), row.attempt)
            if row.epoch < self._epochs.get(key.task.job_id, 0):
                continue
            event = controller.ledger.event_for_adopter(key, row.submission)
            if event is None:
                controller.ledger.adopt(
                    key, link.owner, row.epoch, row.durable, row.room, row.submission
                )
            else:
                missed.append(event)
        if missed:
            link.send(orders.RunEvents(message.runner_id, tuple(missed)))
        self._notifier.mark_room_changed(message.runner_id)

    def _stop_former_incarnations(self, link: EntryLink) -> None:
        """Stop the non-durable runs of an entry's former incarnations that were not adopted."""
        if not link.owner:
            return
        former = {
            run.owner
            for controller in self._controllers.values()
            for run in controller.ledger.runs.values()
            if run.owner.startswith(f"{link.entry}/") and run.owner != link.owner
        }
        for owner in former:
            self.stop_nondurable_runs(owner)

    def require_claims(self, link: EntryLink) -> None:
        """Let a rejoined entry's echoes renew its runs only once it has them adopted again.

        Otherwise echoes on the new stream would keep up a run whose stop was lost with the former
        stream. An entry that has lost its entry lease goes on as a new incarnation, and has the
        runs of its former one adopted; a restarted process no longer knows its non-durable jobs.
        """
        for controller in self._controllers.values():
            for run in controller.ledger.runs.values():
                if run.owner == link.owner:
                    self._grants.require_claim(run)
        self._timers.call_after(RESTART_ALLOWANCE_MS, partial(self._stop_former_incarnations, link))

    def rename_owner(self, former: str, owner: str) -> None:
        """Pass the non-durable runs of an entry on to the same entry's new incarnation.

        The last echo under the former name counts for the new one: without it, all these runs
        would be stopped before the first echo under the new name.
        """
        last_echo_ms = self._grants.last_echo_ms(former, durable=False)
        if last_echo_ms is not None:
            self._grants.note(owner, last_echo_ms, lease_held=False)
        self._notifier.outcomes.rename(former, owner)
        for controller in self._controllers.values():
            for run in controller.ledger.runs.values():
                if run.owner == former and not run.durable:
                    run.owner = owner

    def stop_nondurable_runs(self, owner: str) -> None:
        """Stop the non-durable runs of an entry incarnation that is gone."""
        for controller in self._controllers.values():
            for run in list(controller.ledger.runs.values()):
                if run.owner == owner and not run.durable:
                    self._log.write(
                        "run_stopped_for_owner",
                        request=run.key.task.job_id,
                        task=run.key.task.text,
                        attempt=run.key.attempt,
                        owner=owner,
                    )
                    controller.starts.stop(run.key)

    _HANDLERS: dict[type, Callable] = {
        orders.BeatEcho: _apply_echo,
        orders.OutcomesReceived: _apply_receipt,
        orders.RoomDemand: _apply_demand,
        orders.QueueDemands: _apply_queue_demands,
        orders.ZoneDrainsTold: _apply_zones,
        orders.StartOrder: _apply_order,
        orders.StopOrder: _apply_stop,
        orders.EndsStored: _apply_stored_ends,
        orders.LeasesEnded: _apply_ended_leases,
        orders.JobsClaimed: _apply_claims,
        orders.JobsCancelled: _apply_cancellations,
        orders.AdoptRuns: _apply_adoption,
    }
