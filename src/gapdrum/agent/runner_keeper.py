"""Keeps one incarnation of a runner: renews its lease, starts and stops runs, notes ends."""

import asyncio
from collections.abc import Callable

from gapdrum.agent.grants import Grants
from gapdrum.agent.lease_bound import LeaseBound
from gapdrum.core import orders
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, RunKey, TaskName
from gapdrum.core.runner_ledger import Run, RunnerLedger, not_started
from gapdrum.core.runner_models import Heartbeat, RunnerLook
from gapdrum.event_log import EventLog
from gapdrum.platform.runner_calls import (
    REASON_FENCED,
    REASON_LATE,
    REASON_SUPERSEDED,
    RunnerCalls,
    RunnerRejectedError,
    RunnerReplacedError,
)
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_client import NoReplyError, NotSentError

# A look waits so long for an end: five renewals fit into a lease of 1 s.
LOOK_WAIT_MS = 200
LOOK_TIMEOUT_MS = LOOK_WAIT_MS + 150
FIRST_LOOK_TIMEOUT_MS = 300
# The runner is on the same machine; it answers in about a millisecond.
START_TIMEOUT_MS = 120
STOP_TIMEOUT_MS = 150
STOP_REPEAT_MS = 300
# An unanswered start holds its room until then, as it may take effect so late.
START_WINDOW_MS = 700
PAUSE_MS = 50
# Storing an end takes about 10 ms; looking again before that shows the same.
UNSTORED_PAUSE_MS = 10
# A lease ends at the runner at most this much later than asked: its clock may be 2% slow.
LAPSE_SLACK_MS = 150

Report = Callable[["RunnerKeeper", list[tuple[Run, orders.RunEvent]]], None]
Looked = Callable[["RunnerKeeper"], None]


class RunnerKeeper:
    """The agent's side of one incarnation of a runner.

    ``report`` is called with what happened to runs, and after any change of room;
    ``on_looked`` once, when it is known what the runner holds.
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
        on_looked: Looked,
    ) -> None:
        self.ledger = RunnerLedger(runner_id)
        self.address = address
        self._calls = RunnerCalls(address, runner_id)
        self._grants = grants
        self._run_lease_ms = run_lease_ms
        self._timers = timers
        self._log = log
        self._report = report
        self._on_looked = on_looked
        self._fence = 0
        self._bound = LeaseBound()
        self._lease_until_ms = 0  # on the runner's clock
        self._tasks: set[asyncio.Task] = set()
        self._stops_sent: dict[RunKey, int] = {}

    @property
    def runner_id(self) -> str:
        """Return the identity of this incarnation."""
        return self.ledger.runner_id

    # Looking.

    async def keep(self) -> None:
        """Look and renew until this incarnation is gone."""
        while not self.ledger.gone:
            try:
                await self._step()
            except RunnerReplacedError:
                self.set_gone("replaced")
            except RunnerRejectedError as error:
                self._take_rejection(error)
                await asyncio.sleep(PAUSE_MS / MS_PER_S)
            except NotSentError:
                self._note_unreachable()
                self._check_lapse()
                await asyncio.sleep(PAUSE_MS / MS_PER_S)
            except NoReplyError:
                self._check_lapse()
        self._calls.close()

    async def _step(self) -> None:
        if not self._fence:
            await self._learn_clock()
            return
        now_ms = self._timers.now_ms()
        self._check_rest(now_ms)
        self._stop_what_must(now_ms)
        left_ms = 0 if self.ledger.must_lapse() else self._lease_left_ms(now_ms)
        look = await self._look(left_ms, LOOK_WAIT_MS if self.ledger.looked else 0)
        now_ms = self._timers.now_ms()
        first = not self.ledger.looked
        was_resting = bool(self.ledger.health.resting_until_ms)
        self.ledger.note_clock(look.clock_ms, now_ms)
        self.ledger.reachable = True
        events = self.ledger.take_look(look, now_ms)
        if self.ledger.must_lapse() and look.clock_ms > self._lease_until_ms:
            self.ledger.note_lapse()
            self._log.write("lease_let_lapse", runner=self.runner_id, clock_ms=look.clock_ms)
        if self.ledger.health.resting_until_ms and not was_resting:
            self._log.write(
                "runner_suspect", runner=self.runner_id, rest_ms=self.ledger.health.rest_ms
            )
        if first:
            self._log.write(
                "runner_looked",
                runner=self.runner_id,
                fence=self._fence,
                running=len(look.running),
                ended=len(look.ended),
            )
            self._on_looked(self)
        if events:
            self._report(self, events)
        elif look.ended:
            # Ends that are not stored yet are shown at once, again and again.
            await asyncio.sleep(UNSTORED_PAUSE_MS / MS_PER_S)

    async def _look(self, left_ms: int, wait_ms: int) -> RunnerLook:
        """Look, and renew the lease by so much; raises what the call raises."""
        until_ms = self._lease_until(left_ms)
        call = self._bound.propose(self._timers.now_ms() + left_ms + LAPSE_SLACK_MS)
        sent = True
        try:
            return await self._calls.look(
                until_ms, self.ledger.advance_seen(), self._fence, wait_ms, LOOK_TIMEOUT_MS
            )
        except NotSentError:
            sent = False
            raise
        finally:
            self._bound.settle(call, sent)

    def _check_rest(self, now_ms: int) -> None:
        """Tell the entries when a suspect runner may be tried again."""
        was_resting = bool(self.ledger.health.resting_until_ms)
        if was_resting and not self.ledger.health.is_resting(now_ms):
            self._log.write("runner_on_trial", runner=self.runner_id)
            self._report(self, [])

    async def _learn_clock(self) -> None:
        """Take a fencing token above those of earlier lives of this agent: the runner's clock.

        It is steady and outlives the agent, so it needs no store. A look with token 0 changes
        nothing and is answered with the clock, also where it is fenced off.
        """
        try:
            look = await self._calls.look(0, 0, 0, 0, FIRST_LOOK_TIMEOUT_MS)
            clock_ms = look.clock_ms
        except RunnerRejectedError as error:
            if error.clock_ms is None:
                raise
            clock_ms = error.clock_ms
        self.ledger.note_clock(clock_ms, self._timers.now_ms())
        self._fence = max(1, clock_ms)

    def _take_rejection(self, error: RunnerRejectedError) -> None:
        self._log.write(
            "look_rejected", runner=self.runner_id, status=error.status, reason=error.reason
        )
        if error.reason == REASON_FENCED and error.clock_ms is not None:
            self._fence = max(self._fence, error.clock_ms)

    def _lease_left_ms(self, now_ms: int) -> int:
        """Return how long what runs may go on: a full lease, or less if an owner is silent."""
        limits = [
            self._grants.lease_limit_ms(run.owner, run.kept) - now_ms
            for run in self.ledger.runs.values()
        ]
        return min([self._run_lease_ms, *limits])

    def _lease_until(self, left_ms: int) -> int:
        """Return until when a lease runs on the runner's clock, 0 for no renewal."""
        if left_ms <= 0:
            return 0
        until_ms = self.ledger.clock_floor(self._timers.now_ms()) + left_ms
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        return until_ms

    def _note_unreachable(self) -> None:
        """Tell entries that there is no room while nobody listens at the runner."""
        if self.ledger.reachable:
            self.ledger.reachable = False
            self._log.write("runner_unreachable", runner=self.runner_id)
            self._report(self, [])

    def _check_lapse(self) -> None:
        """Take a runner that can't be reached as gone once everything there has lapsed."""
        if self.ledger.runs and self._timers.now_ms() > self._bound.ends_ms:
            runs = [run for run in self.ledger.runs.values() if not run.calling]
            events = []
            for run in runs:
                self.ledger.drop(run.key)
                event = orders.RunEvent(
                    run.key.task.text, run.key.attempt, run.epoch, orders.LOST, "lease_lapsed"
                )
                events.append((run, event))
            self._report(self, events)

    def set_gone(self, reason: str) -> None:
        """Note that this incarnation is gone, and everything that ran there with it."""
        if self.ledger.gone:
            return
        self._log.write("runner_gone", runner=self.runner_id, reason=reason)
        self._report(self, self.ledger.set_gone())

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the runner's report about itself."""
        ledger = self.ledger
        changed = ledger.capacity != heartbeat.capacity or ledger.draining != heartbeat.draining
        ledger.upstream = heartbeat.upstream
        ledger.labels = heartbeat.labels
        ledger.capacity = heartbeat.capacity
        ledger.draining = heartbeat.draining
        if changed:
            self._log.write(
                "runner_reported",
                runner=self.runner_id,
                draining=heartbeat.draining,
                cpu_milli=heartbeat.capacity.cpu_milli,
                sequence=heartbeat.sequence,
            )
            self._report(self, [])

    # Starting.

    def order(self, owner: str, order: orders.StartOrder, now_ms: int) -> list[orders.RunEvent]:
        """Begin the starts that may begin; return the events of those that may not."""
        refused = []
        for row in order.runs:
            name = TaskName(order.job_id, 0, row.step, row.index)
            key = RunKey(name, row.attempt)
            room = Resources(row.cpu_milli, row.memory_mb, row.accelerators)
            reason = self._refuse(owner, order, room, now_ms)
            if reason:
                refused.append(not_started(key, order.epoch, reason))
            else:
                self._begin(owner, order, row, now_ms)
        return refused

    def _refuse(
        self, owner: str, order: orders.StartOrder, room: Resources, now_ms: int
    ) -> str | None:
        if self.ledger.gone:
            return orders.RUNNER_GONE
        if self.ledger.draining:
            return orders.RUNNER_DRAINING
        if now_ms - order.clock_ms > orders.ORDER_VALID_MS:
            return orders.ORDER_EXPIRED
        if now_ms >= self._grants.until_ms(owner, order.kept):
            return orders.ORDER_EXPIRED
        if self.ledger.must_lapse() or not self.ledger.free.holds(room):
            return orders.NO_ROOM
        return None

    def _begin(
        self, owner: str, order: orders.StartOrder, row: orders.OrderedRun, now_ms: int
    ) -> None:
        # The start also renews the lease of all, so it is bound by the same limits.
        limit_ms = self._grants.lease_limit_ms(owner, order.kept) - now_ms
        left_ms = max(1, min(START_WINDOW_MS, self._lease_left_ms(now_ms), limit_ms))
        expires_ms = self._lease_until(left_ms)
        run = Run(
            RunKey(TaskName(order.job_id, 0, row.step, row.index), row.attempt),
            owner,
            order.epoch,
            Resources(row.cpu_milli, row.memory_mb, row.accelerators),
            expires_ms,
            now_ms,
            kept=order.kept,
            calling=True,
            estimate_ms=row.estimate_ms,
        )
        self.ledger.begin(run)
        self._spawn(self._start(run, order.spec, now_ms + left_ms + LAPSE_SLACK_MS))

    async def _start(self, run: Run, spec: str, lease_ends_ms: int) -> None:
        """Call until the start is answered; the same start again is the same run."""
        settled = None
        unanswered = False
        sent = False
        call = self._bound.propose(lease_ends_ms)
        while settled is None and self._may_still_start(run):
            try:
                clock_ms = await self._calls.start(
                    run.key, spec, run.start_expires_ms, self._fence, START_TIMEOUT_MS
                )
                self.ledger.note_clock(clock_ms, self._timers.now_ms())
                settled = orders.STARTED
                sent = True
            except NoReplyError:
                unanswered = True
                sent = True
            except NotSentError:
                if not unanswered:
                    break
                await asyncio.sleep(PAUSE_MS / MS_PER_S)
            except RunnerReplacedError:
                self.set_gone("replaced")
            except RunnerRejectedError as error:
                sent = True
                settled = self._judge_rejection(run, error, unanswered)
        run.calling = False
        self._bound.settle(call, sent)
        if settled is None and not unanswered:
            settled = orders.NOT_STARTED
        self._settle_start(run, settled)

    def _may_still_start(self, run: Run) -> bool:
        if self.ledger.gone or run.key not in self.ledger.runs:
            return False
        return self.ledger.clock_floor(self._timers.now_ms()) < run.start_expires_ms

    def _judge_rejection(
        self, run: Run, error: RunnerRejectedError, unanswered: bool
    ) -> str | None:
        """Return whether a rejected start is settled; an earlier call of it may still come."""
        self._log.write(
            "start_rejected",
            request=run.key.task.job_id,
            task=run.key.task.text,
            attempt=run.key.attempt,
            status=error.status,
            reason=error.reason,
        )
        if error.reason == REASON_LATE:
            return orders.NOT_STARTED
        if error.reason == REASON_SUPERSEDED or unanswered:
            run.start_expires_ms = min(run.start_expires_ms, self.ledger.clock_ms + START_WINDOW_MS)
            return ""  # a later look tells
        return orders.NOT_STARTED

    def _settle_start(self, run: Run, settled: str | None) -> None:
        if self.ledger.runs.get(run.key) is not run or self.ledger.gone:
            return
        if settled == orders.NOT_STARTED:
            self.ledger.drop(run.key)
            event = not_started(run.key, run.epoch, orders.RUNNER_REJECTED)
            self._report(self, [(run, event)])
        elif settled == orders.STARTED and run.phase == orders.HELD_STARTING:
            self.ledger.note_started(run, self._timers.now_ms())
            event = orders.RunEvent(run.key.task.text, run.key.attempt, run.epoch, orders.STARTED)
            self._report(self, [(run, event)])

    # Stopping.

    def stop(self, key: RunKey) -> None:
        """Stop a run; its end is listed like any other."""
        run = self.ledger.runs.get(key)
        if run is not None:
            run.stopping = True
            self._send_stop(key, self._timers.now_ms())

    def _stop_what_must(self, now_ms: int) -> None:
        """Stop what runs for owners that are silent, and repeat stops without effect."""
        for run in list(self.ledger.runs.values()):
            if not run.stopping and self._grants.is_over(run, now_ms):
                run.stopping = True
                self._log.write(
                    "run_stopped_for_silence",
                    request=run.key.task.job_id,
                    task=run.key.task.text,
                    attempt=run.key.attempt,
                    owner=run.owner,
                )
            if run.stopping and now_ms - self._stops_sent.get(run.key, 0) > STOP_REPEAT_MS:
                self._send_stop(run.key, now_ms)
        for key in [key for key in self._stops_sent if key not in self.ledger.runs]:
            del self._stops_sent[key]

    def _send_stop(self, key: RunKey, now_ms: int) -> None:
        self._stops_sent[key] = now_ms
        self._spawn(self._stop(key))

    async def _stop(self, key: RunKey) -> None:
        try:
            await self._calls.stop(key, self._fence, STOP_TIMEOUT_MS)
        except RunnerReplacedError:
            self.set_gone("replaced")
        except (NoReplyError, NotSentError, RunnerRejectedError) as error:
            self._log.write(
                "stop_unanswered", task=key.task.text, attempt=key.attempt, code=error.code
            )

    async def renew_fully(self) -> None:
        """Renew once more before the agent ends, so that its successor finds the runs alive."""
        if self.ledger.gone or not self._fence or not self.ledger.looked:
            return
        left_ms = 0 if self.ledger.must_lapse() else self._lease_left_ms(self._timers.now_ms())
        try:
            await self._look(left_ms, 0)
        except (NoReplyError, NotSentError, RunnerRejectedError, RunnerReplacedError) as error:
            self._log.write("last_renewal_failed", runner=self.runner_id, code=error.code)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
