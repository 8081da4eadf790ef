"""Polls one incarnation of a runner, renews its lease, and records its runs and their ends."""

import asyncio
from collections.abc import Callable, Iterable

from gapdrum.agent.grants import Grants
from gapdrum.agent.run_launcher import RETRY_MAX_MS, RETRY_MIN_MS, RunLauncher
from gapdrum.agent.runner_context import RunnerContext
from gapdrum.agent.runner_poller import RunnerPoller
from gapdrum.backoff import Backoff
from gapdrum.core import orders
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, RunEnd
from gapdrum.core.poll_schedule import POLL_WAIT_MS
from gapdrum.core.room_offers import RoomOffers
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.runner_health import EJECTION_MS
from gapdrum.core.runner_ledger import Run, RunnerLedger
from gapdrum.core.runner_models import Heartbeat, ListedRunner, RunnerSnapshot
from gapdrum.event_log import EventLog
from gapdrum.exceptions import GapdrumError
from gapdrum.platform.runner_calls import (
    REASON_FENCED,
    RunnerCalls,
    RunnerRejectedError,
    RunnerReplacedError,
)
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_client import (
    NoReplyError,
    NotSentError,
    RefusedConnectionError,
    TimedOutError,
)

FIRST_POLL_TIMEOUT_MS = 300
# The reported reason if a runner is unresponsive and no poll has failed just now.
REASON_UNHEARD = "unheard"
INTERRUPTED_ENDS = (RunEnd.STOPPED.value, RunEnd.LEASE_LAPSED.value)
# An entry stores an end within about 10 ms; an earlier poll returns the same ends.
UNSTORED_PAUSE_MS = 10
# While an end waits for its owner's receipt, the next poll is put off for so long at most: it would
# be answered at once with the same end. Other ends are then seen late by a third of a short task's
# slack of 60 ms, and a runner whose owner is silent is polled 50 times a second.
RECEIPT_WAIT_MS = 20

ReportEvents = Callable[["RunnerController", list[tuple[Run, orders.RunEvent]]], None]
FirstPollCallback = Callable[["RunnerController"], None]


class RunnerController:
    """The agent's side of one incarnation of a runner.

    ``report`` is called with the events of runs, and without events after a change of free room.
    ``on_first_poll`` is called once, after the first poll has listed the runs at the runner.
    Some log events have other terms: a look is a poll, a suspect or resting runner is ejected, and
    one on trial is half-open.
    """

    def __init__(
        self,
        runner_id: str,
        address: Endpoint,
        grants: Grants,
        run_lease_ms: int,
        timers: Timers,
        log: EventLog,
        report: ReportEvents,
        on_first_poll: FirstPollCallback,
        shares: RoomShares | None = None,
    ) -> None:
        self.ledger = RunnerLedger(runner_id)
        self.address = address
        self._context = RunnerContext(
            self.ledger,
            RunnerCalls(address, runner_id),
            grants,
            run_lease_ms,
            timers,
            log,
            lambda events: report(self, events),
            shares=shares or RoomShares(),
        )
        self.starts = RunLauncher(self._context)
        self._schedule = self._context.schedule
        self._poller = RunnerPoller(self._context)
        self._timers = timers
        self._log = log
        self._on_first_poll = on_first_poll
        self._sequence = 0
        self._receipts: asyncio.Future | None = None  # while a poll is put off for receipts

    @property
    def offers(self) -> RoomOffers:
        """Return the offers of freed room to entries."""
        return self._context.offers

    def kept_cpu_milli(self) -> dict[str, int]:
        """Return how much of the free room each queue may not use, as it is reserved for others."""
        return self._context.kept_cpu_milli(self._timers.now_ms())

    def free_for(self, owner: str) -> Resources:
        """Return the room that an owner may use now."""
        return self._context.free_for(owner, self._timers.now_ms())

    @property
    def runner_id(self) -> str:
        """Return the identity of this incarnation."""
        return self.ledger.runner_id

    # Polling.

    async def keep(self) -> None:
        """Poll the runner and renew its lease until this incarnation is gone."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while not self.ledger.gone:
            try:
                if await self._step():
                    backoff.reset()
            except RunnerReplacedError:
                self.set_gone("replaced")
            except RunnerRejectedError as error:
                self._handle_rejection(error)
                await backoff.pause()
            except (NotSentError, NoReplyError) as error:
                if self.ledger.leaving and isinstance(error, RefusedConnectionError):
                    self.set_gone("deregistered")
                    continue
                self._check_unresponsive(error.code)
                self._check_lapse(crashed=isinstance(error, RefusedConnectionError))
                if self._should_pause(error):
                    await backoff.pause()
        self._poller.close()
        self._context.calls.close()

    def _should_pause(self, error: GapdrumError) -> bool:
        """Return whether to pause before the next poll, so that no runner is flooded with calls.

        No pause is needed after a timed-out call to a reachable runner, as the call has waited.
        """
        if self._schedule.has_pending_poll:
            return False
        return not self.ledger.reachable or not isinstance(error, TimedOutError)

    async def _step(self) -> bool:
        """Stop the runs that are due, and poll; return whether the runner gave a new answer.

        The first step only initializes the fence.
        """
        if not self._context.fence:
            await self._initialize_fence()
            return True
        now_ms = self._timers.now_ms()
        self._check_ejection(now_ms)
        self.starts.stop_overdue_runs(now_ms)
        snapshot = await self._poller.next(self._wait_ms(now_ms))
        if snapshot is None:
            self._check_unresponsive(REASON_UNHEARD)
            return False
        first = not self.ledger.polled
        events = self._apply_snapshot(snapshot)
        if first:
            self._complete_first_poll(snapshot)
        if events:
            self._context.report(events)
        if self.ledger.has_withheld_ends:
            await self._await_receipts()
        elif snapshot.ended and not events:
            # While an end is not acknowledged, the runner answers polls at once with that end.
            await asyncio.sleep(UNSTORED_PAUSE_MS / MS_PER_S)
        return True

    async def _await_receipts(self) -> None:
        """Wait until owners have received all ends, for a limited time.

        While polls overlap, as answers get lost, their interval limits their rate.
        """
        if self._schedule.has_pending_poll:
            return
        self._receipts = asyncio.get_running_loop().create_future()
        await asyncio.wait((self._receipts,), timeout=RECEIPT_WAIT_MS / MS_PER_S)
        self._receipts = None

    def withhold_ends(self, numbers: Iterable[int]) -> None:
        """Let the runner keep ends until ``release_end`` is called for each."""
        for end in self.ledger.withhold_ends(numbers):
            self._log.write(
                "end_not_withheld",
                request=end.key.task.job_id,
                task=end.key.task.text,
                attempt=end.key.attempt,
                owner=end.owner,
                since_ms_ago=self._timers.now_ms() - end.listed_ms,
            )

    def release_end(self, number: int) -> None:
        """Let the runner forget an end, as its owner has received it or does not need it."""
        self.ledger.mark_acknowledgeable((number,), ())
        waits = self._receipts is not None and not self._receipts.done()
        if waits and not self.ledger.has_withheld_ends:
            self._receipts.set_result(None)

    def _wait_ms(self, now_ms: int) -> int:
        """Return how long a poll may wait for an end: at most until the next stop is due.

        A stop that waits for a poll to return is up to 200 ms late, and must take effect before
        the caller submits its job again.
        """
        if not self.ledger.polled:
            return 0
        return max(0, min(POLL_WAIT_MS, self.starts.next_stop_ms(now_ms) - now_ms))

    def _apply_snapshot(self, snapshot: RunnerSnapshot) -> list[tuple[Run, orders.RunEvent]]:
        """Apply a snapshot to the ledger; return the events of runs."""
        now_ms = self._timers.now_ms()
        ledger = self.ledger
        was_ejected = bool(ledger.health.ejected_until_ms)
        ledger.update_clock(snapshot.clock_ms, self._timers.monotonic_ms())
        self._mark_reachable()
        events = ledger.apply_snapshot(snapshot, now_ms)
        self._log_interrupted(events, now_ms)
        if ledger.awaits_lapse() and snapshot.clock_ms > self._context.latest_lease_end_ms:
            ledger.record_lapse()
            self._log.write("lease_let_lapse", runner=self.runner_id, clock_ms=snapshot.clock_ms)
        if ledger.health.ejected_until_ms and not was_ejected:
            self._log.write("runner_suspect", runner=self.runner_id, rest_ms=EJECTION_MS)
        return events

    def _log_interrupted(self, events: list[tuple[Run, orders.RunEvent]], now_ms: int) -> None:
        """Log the end of each run that was stopped, or whose lease has lapsed.

        The owner may have dropped the job, so that no other log line shows when the run ended.
        """
        for run, event in events:
            if event.kind == orders.ENDED and event.detail in INTERRUPTED_ENDS:
                self._log.write(
                    "run_cut_short",
                    request=run.key.task.job_id,
                    task=event.task,
                    attempt=event.attempt,
                    end=event.detail,
                    owner=run.owner,
                    silent_ms=self._context.grants.silent_ms(run, now_ms),
                    stop_ms=now_ms - run.stopping_ms if run.stopping else None,
                )

    def _complete_first_poll(self, snapshot: RunnerSnapshot) -> None:
        self._log.write(
            "runner_looked",
            runner=self.runner_id,
            fence=self._context.fence,
            running=len(snapshot.running),
            ended=len(snapshot.ended),
        )
        self._on_first_poll(self)

    def _check_ejection(self, now_ms: int) -> None:
        """Report to the entries that the ejection of a runner is over and it is half-open."""
        was_ejected = bool(self.ledger.health.ejected_until_ms)
        if was_ejected and not self.ledger.health.update_ejection(now_ms):
            self._log.write("runner_on_trial", runner=self.runner_id)
            self._context.report([])

    async def _initialize_fence(self) -> None:
        """Take the runner's clock as a fencing token above those of earlier incarnations.

        The clock is steady and outlives the agent, so the token needs no store. A poll with token
        0 changes nothing at the runner, which states its clock even if it rejects the token.
        """
        try:
            snapshot = await self._context.calls.poll(0, 0, 0, 0, FIRST_POLL_TIMEOUT_MS)
            clock_ms = snapshot.clock_ms
        except RunnerRejectedError as error:
            if error.clock_ms is None:
                raise
            clock_ms = error.clock_ms
        self.ledger.update_clock(clock_ms, self._timers.monotonic_ms())
        self._schedule.record_contact(self._timers.now_ms())
        self._context.fence = max(1, clock_ms)
        # An earlier incarnation of this agent may have asked for a lease up to this time.
        self._context.latest_lease_end_ms = clock_ms + self._context.longest_lease_ms

    def _handle_rejection(self, error: RunnerRejectedError) -> None:
        self._log.write(
            "look_rejected", runner=self.runner_id, status=error.status, reason=error.reason
        )
        if error.reason == REASON_FENCED and error.clock_ms is not None:
            self._context.fence = max(self._context.fence, error.clock_ms)

    def _check_unresponsive(self, reason: str) -> None:
        """Report no room at an unresponsive runner until it answers a poll again.

        A single lost answer does not make a runner unresponsive while it answers other calls.
        """
        if self.ledger.reachable and self._schedule.is_unresponsive(self._timers.now_ms()):
            self.ledger.reachable = False
            self._schedule.unreachable = True
            self._log.write("runner_unreachable", runner=self.runner_id, reason=reason)
            self._context.report([])

    def _mark_reachable(self) -> None:
        if not self.ledger.reachable:
            self.ledger.reachable = True
            self._schedule.unreachable = False
            self._log.write("runner_reachable", runner=self.runner_id)
            self._context.report([])

    def _check_lapse(self, crashed: bool) -> None:
        """Report the runs of an unreachable runner as lost once their lease has lapsed there.

        A runner on this machine that refuses connections has crashed.
        """
        if self.ledger.runs and self._timers.monotonic_ms() > self._context.bound.ends_ms:
            lapsed = [run for run in self.ledger.runs.values() if not run.calling]
            if lapsed:
                self._log.write("runs_lapsed_unseen", runner=self.runner_id, runs=len(lapsed))
            reason = orders.RUNNER_GONE if crashed else orders.LEASE_LAPSED
            self._context.report(self.ledger.lose(lapsed, reason))

    def set_gone(self, reason: str) -> None:
        """Record that this incarnation is gone, and report its runs as lost."""
        self._context.set_gone(reason)

    def set_leaving(self) -> None:
        """Record that the runner has deregistered; it is gone once it refuses connections.

        Its runs may go on until then, and a task that was started elsewhere now would run twice.
        """
        if not self.ledger.leaving:
            self.ledger.leaving = self.ledger.draining = True
            self._log.write("runner_leaving", runner=self.runner_id, runs=len(self.ledger.runs))
            self._context.report([])

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of the runner, unless a newer one was applied before."""
        if heartbeat.sequence < self._sequence:
            self._log.write(
                "heartbeat_outdated", runner=self.runner_id, sequence=heartbeat.sequence
            )
            return
        self._sequence = heartbeat.sequence
        ledger = self.ledger
        changed = ledger.capacity != heartbeat.capacity or ledger.draining != heartbeat.draining
        ledger.upstream = heartbeat.upstream
        ledger.labels = heartbeat.labels
        ledger.capacity = heartbeat.capacity
        ledger.draining = heartbeat.draining or ledger.leaving
        if changed:
            self._log.write(
                "runner_reported",
                runner=self.runner_id,
                draining=heartbeat.draining,
                cpu_milli=heartbeat.capacity.cpu_milli,
                sequence=heartbeat.sequence,
            )
            self._context.report([])

    def apply_listing(self, listed: ListedRunner) -> None:
        """Apply the platform's listing of the runner, unless a heartbeat came before it."""
        ledger = self.ledger
        if ledger.capacity is not None or ledger.gone:
            return
        ledger.upstream = listed.upstream
        ledger.labels = listed.labels
        ledger.capacity = listed.capacity
        self._log.write("runner_listed", runner=self.runner_id, cpu_milli=listed.capacity.cpu_milli)
        self._context.report([])

    def set_zone_closed(self, closed: bool) -> None:
        """Set whether the runner's zone is closed to new runs; present runs go on."""
        if self.ledger.zone_closed != closed:
            self.ledger.zone_closed = closed
            self._context.report([])

    async def renew_before_shutdown(self) -> None:
        """Renew the lease before the agent ends, so that its successor finds the runs alive."""
        if self.ledger.gone or not self._context.fence or not self.ledger.polled:
            return
        left_ms = self._context.renewal_ms(self._timers.now_ms())
        try:
            await self._poller.poll(left_ms, 0)
        except (NoReplyError, NotSentError, RunnerRejectedError, RunnerReplacedError) as error:
            self._log.write("last_renewal_failed", runner=self.runner_id, code=error.code)
