"""Looks at one incarnation of a runner: renews its lease, and notes what runs and ends there."""

import asyncio
from collections.abc import Callable

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

FIRST_LOOK_TIMEOUT_MS = 300
UNHEARD = "unheard"  # why a runner can't be reached of which no look has failed just now
CUT_SHORT = (RunEnd.STOPPED.value, RunEnd.LEASE_LAPSED.value)
# Storing an end takes about 10 ms; looking again before that shows the same.
UNSTORED_PAUSE_MS = 10

Report = Callable[["RunnerController", list[tuple[Run, orders.RunEvent]]], None]
Looked = Callable[["RunnerController"], None]


class RunnerController:
    """The agent's side of one incarnation of a runner.

    ``report`` is called with what happened to runs, and after any change of room;
    ``on_first_poll`` once, when it is known what the runner holds.
    """

    def __init__(
        self,
        runner_id: str,
        address: Endpoint,
        grants: Grants,
        run_lease_ms: int,
        timers: Timers,
        log: EventLog,
        report: Report,
        on_first_poll: Looked,
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
        self._looks = RunnerPoller(self._context)
        self._timers = timers
        self._log = log
        self._on_looked = on_first_poll
        self._sequence = 0

    @property
    def offers(self) -> RoomOffers:
        """Return what freed room is kept for whom."""
        return self._context.offers

    def kept_cpu_milli(self) -> dict[str, int]:
        """Return how much of the free room is kept from which queues."""
        return self._context.kept_cpu_milli(self._timers.now_ms())

    def free_for(self, owner: str) -> Resources:
        """Return the room that an owner may use now."""
        return self._context.free_for(owner, self._timers.now_ms())

    @property
    def runner_id(self) -> str:
        """Return the identity of this incarnation."""
        return self.ledger.runner_id

    # Looking.

    async def keep(self) -> None:
        """Look and renew until this incarnation is gone."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while not self.ledger.gone:
            try:
                if await self._step():
                    backoff.reset()
            except RunnerReplacedError:
                self.set_gone("replaced")
            except RunnerRejectedError as error:
                self._take_rejection(error)
                await backoff.pause()
            except (NotSentError, NoReplyError) as error:
                if self.ledger.leaving and isinstance(error, RefusedConnectionError):
                    self.set_gone("deregistered")
                    continue
                self._judge_reachable(error.code)
                self._check_lapse()
                if self._must_pause(error):
                    await backoff.pause()
        self._looks.close()
        self._context.calls.close()

    def _must_pause(self, error: GapdrumError) -> bool:
        """Tell whether to wait before the next look, so that no runner is flooded with calls.

        An answer that did not come in time has taken its time already.
        """
        if self._schedule.has_pending_poll:
            return False
        return not self.ledger.reachable or not isinstance(error, TimedOutError)

    async def _step(self) -> bool:
        """Do what is due, and look; return whether a look was taken."""
        if not self._context.fence:
            await self._learn_clock()
            return True
        now_ms = self._timers.now_ms()
        self._check_rest(now_ms)
        self.starts.stop_overdue_runs(now_ms)
        poll = await self._looks.next(self._wait_ms(now_ms))
        if poll is None:
            self._judge_reachable(UNHEARD)
            return False
        first = not self.ledger.polled
        events = self._apply_snapshot(poll)
        if first:
            self._note_first(poll)
        if events:
            self._context.report(events)
        elif poll.ended:
            # Ends that are not stored yet are shown at once, again and again.
            await asyncio.sleep(UNSTORED_PAUSE_MS / MS_PER_S)
        return True

    def _wait_ms(self, now_ms: int) -> int:
        """Return how long a look may wait for an end: not beyond the next stop that is due.

        A stop that waited for the end of a look took up to 200 ms of the time that is left
        before the caller submits its job again.
        """
        if not self.ledger.polled:
            return 0
        return max(0, min(POLL_WAIT_MS, self.starts.next_stop_ms(now_ms) - now_ms))

    def _apply_snapshot(self, poll: RunnerSnapshot) -> list[tuple[Run, orders.RunEvent]]:
        """Bring the ledger up to a look; return what happened to runs."""
        now_ms = self._timers.now_ms()
        ledger = self.ledger
        was_resting = bool(ledger.health.ejected_until_ms)
        ledger.update_clock(poll.clock_ms, self._timers.awake_ms())
        self._note_reachable()
        events = ledger.apply_snapshot(poll, now_ms)
        self._note_cut_short(events, now_ms)
        if ledger.awaits_lapse() and poll.clock_ms > self._context.latest_lease_end_ms:
            ledger.record_lapse()
            self._log.write("lease_let_lapse", runner=self.runner_id, clock_ms=poll.clock_ms)
        if ledger.health.ejected_until_ms and not was_resting:
            self._log.write("runner_suspect", runner=self.runner_id, rest_ms=EJECTION_MS)
        return events

    def _note_cut_short(self, events: list[tuple[Run, orders.RunEvent]], now_ms: int) -> None:
        """Write how each run ended that was stopped, or whose lease has lapsed.

        Its owner may have let go of the job, so nobody else tells when it was really over.
        """
        for run, event in events:
            if event.kind == orders.ENDED and event.detail in CUT_SHORT:
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

    def _note_first(self, poll: RunnerSnapshot) -> None:
        self._log.write(
            "runner_looked",
            runner=self.runner_id,
            fence=self._context.fence,
            running=len(poll.running),
            ended=len(poll.ended),
        )
        self._on_looked(self)

    def _check_rest(self, now_ms: int) -> None:
        """Tell the entries when a suspect runner may be tried again."""
        was_resting = bool(self.ledger.health.ejected_until_ms)
        if was_resting and not self.ledger.health.is_ejected(now_ms):
            self._log.write("runner_on_trial", runner=self.runner_id)
            self._context.report([])

    async def _learn_clock(self) -> None:
        """Take a fencing token above those of earlier lives of this agent: the runner's clock.

        It is steady and outlives the agent, so it needs no store. A look with token 0 changes
        nothing and is answered with the clock, also where it is fenced off.
        """
        try:
            poll = await self._context.calls.poll(0, 0, 0, 0, FIRST_LOOK_TIMEOUT_MS)
            clock_ms = poll.clock_ms
        except RunnerRejectedError as error:
            if error.clock_ms is None:
                raise
            clock_ms = error.clock_ms
        self.ledger.update_clock(clock_ms, self._timers.awake_ms())
        self._schedule.record_contact(self._timers.now_ms())
        self._context.fence = max(1, clock_ms)
        # What an earlier life of this agent may have asked for.
        self._context.latest_lease_end_ms = clock_ms + self._context.longest_lease_ms

    def _take_rejection(self, error: RunnerRejectedError) -> None:
        self._log.write(
            "look_rejected", runner=self.runner_id, status=error.status, reason=error.reason
        )
        if error.reason == REASON_FENCED and error.clock_ms is not None:
            self._context.fence = max(self._context.fence, error.clock_ms)

    def _judge_reachable(self, reason: str) -> None:
        """Tell entries that there is no room at a silent runner until it answers a look again.

        One lost answer beside others that come takes no room away.
        """
        if self.ledger.reachable and self._schedule.is_unresponsive(self._timers.now_ms()):
            self.ledger.reachable = False
            self._schedule.unreachable = True
            self._log.write("runner_unreachable", runner=self.runner_id, reason=reason)
            self._context.report([])

    def _note_reachable(self) -> None:
        if not self.ledger.reachable:
            self.ledger.reachable = True
            self._schedule.unreachable = False
            self._log.write("runner_reachable", runner=self.runner_id)
            self._context.report([])

    def _check_lapse(self) -> None:
        """Take a runner that can't be reached as gone once everything there has lapsed."""
        if self.ledger.runs and self._timers.awake_ms() > self._context.bound.ends_ms:
            settled = [run for run in self.ledger.runs.values() if not run.calling]
            if settled:
                self._log.write("runs_lapsed_unseen", runner=self.runner_id, runs=len(settled))
            self._context.report(self.ledger.lose(settled, orders.LEASE_LAPSED))

    def set_gone(self, reason: str) -> None:
        """Note that this incarnation is gone, and everything that ran there with it."""
        self._context.set_gone(reason)

    def set_leaving(self) -> None:
        """Note that the runner has said that it ends; it is gone once nobody listens there.

        Until then it may be at work: what was started elsewhere now would run twice.
        """
        if not self.ledger.leaving:
            self.ledger.leaving = self.ledger.draining = True
            self._log.write("runner_leaving", runner=self.runner_id, runs=len(self.ledger.runs))
            self._context.report([])

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the runner's report about itself, unless a newer one came before."""
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
        """Take what the platform's list says, unless the runner has told of itself meanwhile."""
        ledger = self.ledger
        if ledger.capacity is not None or ledger.gone:
            return
        ledger.upstream = listed.upstream
        ledger.labels = listed.labels
        ledger.capacity = listed.capacity
        self._log.write("runner_listed", runner=self.runner_id, cpu_milli=listed.capacity.cpu_milli)
        self._context.report([])

    def set_zone_closed(self, closed: bool) -> None:
        """Note whether anything may be started in the runner's zone; what runs there goes on."""
        if self.ledger.zone_closed != closed:
            self.ledger.zone_closed = closed
            self._context.report([])

    async def renew_before_shutdown(self) -> None:
        """Renew once more before the agent ends, so that its successor finds the runs alive."""
        if self.ledger.gone or not self._context.fence or not self.ledger.polled:
            return
        left_ms = self._context.renewal_ms(self._timers.now_ms())
        try:
            await self._looks.poll(left_ms, 0)
        except (NoReplyError, NotSentError, RunnerRejectedError, RunnerReplacedError) as error:
            self._log.write("last_renewal_failed", runner=self.runner_id, code=error.code)
