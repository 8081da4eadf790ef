"""Starts and stops runs at one incarnation of a runner, as entries order."""

from gapdrum.agent.runner_context import EXPIRY_MARGIN_MS, RunnerContext
from gapdrum.background import Background
from gapdrum.backoff import Backoff
from gapdrum.core import orders
from gapdrum.core.models import RunKey
from gapdrum.core.runner_ledger import Run, not_started, started
from gapdrum.platform.runner_calls import RunnerRejectedError, RunnerReplacedError
from gapdrum.transport.http_client import NoReplyError, NotSentError, TimedOutError

# The runner is on the same machine; it answers in about a millisecond.
START_TIMEOUT_MS = 120
STOP_TIMEOUT_MS = 150
STOP_REPEAT_MS = STOP_TIMEOUT_MS
# For how long an unanswered start may still take effect; it occupies its room until then.
START_EXPIRY_MS = 700
# Backoff between calls to the runner: a retry after a lost answer is cheap, but a runner that
# resets every connection must not be flooded with new ones.
RETRY_MIN_MS = 10
RETRY_MAX_MS = 160
NO_STOP_DUE_MS = 60_000  # the next stop is at least this far away while there is no run


class RunLauncher:
    """Calls the runner until each start has an outcome, and until each stopped run has ended."""

    def __init__(self, context: RunnerContext) -> None:
        self._context = context
        self.ledger = context.ledger
        self._background = Background(context.log)
        self._stops_sent: dict[RunKey, int] = {}

    def order(self, owner: str, order: orders.StartOrder, now_ms: int) -> list[orders.RunEvent]:
        """Start the runs of an order that are admissible; return the events of the refused ones."""
        refused = []
        for row in order.runs:
            reason = self._refuse(owner, order, row, now_ms)
            if reason:
                key = order.key_of(row)
                refused.append(not_started(key, order.epoch, reason, order.submission))
            else:
                self._begin(owner, order, row, now_ms)
        return refused

    def _refuse(
        self, owner: str, order: orders.StartOrder, row: orders.OrderedRun, now_ms: int
    ) -> str | None:
        if self.ledger.gone:
            return orders.RUNNER_GONE
        if order.key_of(row) in self.ledger.runs:
            return orders.RUN_PRESENT
        if self.ledger.draining:
            return orders.RUNNER_DRAINING
        if self.ledger.zone_closed:
            return orders.ZONE_CLOSED
        if now_ms - order.clock_ms > orders.ORDER_VALID_MS:
            return orders.ORDER_EXPIRED
        if now_ms >= self._context.grants.until_ms(owner, order.durable):
            return orders.ORDER_EXPIRED
        if self._context.lease_exceeds_grant(owner, order.durable, now_ms):
            return orders.ORDER_EXPIRED  # the owner's echo is too old for the runner's lease
        if order.exclusive and self.ledger.runs:
            return orders.NO_ROOM
        free = self._context.free_for(owner, now_ms)
        if not free.holds(row.room):
            return orders.NO_ROOM
        if self._context.is_reserved_from(order.queue, row.room, free, now_ms):
            return orders.ROOM_KEPT
        return None

    def _begin(
        self, owner: str, order: orders.StartOrder, row: orders.OrderedRun, now_ms: int
    ) -> None:
        # A start also renews the runner's lease, which all its runs share: the same limits apply.
        limit_ms = self._context.grants.lease_deadline_ms(owner, order.durable) - now_ms
        left_ms = max(1, min(START_EXPIRY_MS, self._context.allowed_lease_ms(now_ms), limit_ms))
        expires_ms = self._context.plan_renewal(left_ms)
        run = Run(
            order.key_of(row),
            owner,
            order.epoch,
            row.room,
            expires_ms,
            now_ms,
            durable=order.durable,
            calling=True,
            estimate_ms=row.estimate_ms,
            queue=order.queue,
            priority=order.priority,
            submission=order.submission,
            exclusive=order.exclusive,
        )
        self.ledger.begin(run)
        self._context.offers.use(owner, row.room)
        lease_ends_ms = self._context.timers.monotonic_ms() + left_ms + EXPIRY_MARGIN_MS
        self._call_start(run, order.spec, lease_ends_ms)

    def _call_start(self, run: Run, spec: str, lease_ends_ms: int) -> None:
        """Call the runner in the background; ``tools/virtual_runner.py`` overrides this."""
        self._background.spawn(self._start(run, spec, lease_ends_ms))

    async def _start(self, run: Run, spec: str, lease_ends_ms: int) -> None:
        """Call the runner until it answers the start; a repeated start is idempotent.

        The start is not repeated once the run is to be stopped or its zone is drained, because
        the runner may not have received the unanswered call.
        """
        outcome = None
        unanswered = False
        sent = False
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        call = self._context.bound.begin_renewal(lease_ends_ms)
        while outcome is None and self._may_still_start(run):
            try:
                clock_ms = await self._context.calls.start(
                    run.key, spec, run.start_expires_ms, self._context.fence, START_TIMEOUT_MS
                )
                self.ledger.update_clock(clock_ms, self._context.timers.monotonic_ms())
                self._record_contact()
                outcome = orders.STARTED
                sent = True
            except NoReplyError as error:
                self._record_unanswered(error)
                unanswered = True
                sent = True
                await backoff.pause()
            except NotSentError:
                if not unanswered:
                    break
                await backoff.pause()
            except RunnerReplacedError:
                self._context.set_gone("replaced")
            except RunnerRejectedError as error:
                sent = True
                outcome = self._outcome_of_rejection(run, error, unanswered)
        run.calling = False
        self._context.bound.end_renewal(call, sent)
        if outcome is None and not unanswered:
            outcome = orders.NOT_STARTED
        self._settle_start(run, outcome)

    def _record_contact(self) -> None:
        self._context.schedule.record_contact(self._context.timers.now_ms())

    def _record_unanswered(self, error: NoReplyError) -> None:
        """Have a timed-out call followed by a prompt poll, which shows whether it took effect."""
        if isinstance(error, TimedOutError):
            self._context.schedule.record_lost_answer(self._context.timers.now_ms())

    def _may_still_start(self, run: Run) -> bool:
        if self.ledger.gone or self.ledger.zone_closed or run.key not in self.ledger.runs:
            return False
        if run.phase != orders.HELD_STARTING:
            return False  # a poll has shown the run at work
        if run.stopping:
            return False  # if the stop was lost, a repeated start would run
        return self.ledger.clock_floor(self._context.timers.monotonic_ms()) < run.start_expires_ms

    def _outcome_of_rejection(
        self, run: Run, error: RunnerRejectedError, unanswered: bool
    ) -> str | None:
        """Return the outcome of a rejected start, "" if only a later poll can show it.

        A start that is rejected at its first call has never begun; after an unanswered call, the
        run may be at work.
        """
        self._context.log.write(
            "start_rejected",
            request=run.key.task.job_id,
            task=run.key.task.text,
            attempt=run.key.attempt,
            status=error.status,
            reason=error.reason,
        )
        return "" if unanswered else orders.NOT_STARTED

    def _settle_start(self, run: Run, outcome: str | None) -> None:
        if self.ledger.runs.get(run.key) is not run or self.ledger.gone:
            return
        if outcome == orders.NOT_STARTED and run.phase == orders.HELD_STARTING:
            self.ledger.drop(run.key)
            event = not_started(run.key, run.epoch, orders.RUNNER_REJECTED, run.submission)
            self._context.report([(run, event)])
        elif outcome == orders.STARTED and run.phase == orders.HELD_STARTING:
            self.ledger.mark_started(run, self._context.timers.now_ms())
            self._context.report([(run, started(run))])

    # Stopping.

    def stop(self, key: RunKey) -> None:
        """Stop a run; a later poll lists its end like any other."""
        run = self.ledger.runs.get(key)
        if run is not None:
            now_ms = self._context.timers.now_ms()
            if not run.stopping:
                run.stopping_ms = now_ms
                if not run.durable:
                    # Its caller submits the job again, whether the stop takes effect or not.
                    self._context.grants.require_claim(run)
            self._send_stop(key, now_ms)

    def next_stop_ms(self, now_ms: int) -> int:
        """Return when a stop is next due, or to be repeated, if no owner echoes before."""
        return min(
            (self._stop_due_ms(run) for run in self.ledger.runs.values()),
            default=now_ms + NO_STOP_DUE_MS,
        )

    def _stop_due_ms(self, run: Run) -> int:
        if run.stopping:
            return self._stops_sent.get(run.key, 0) + STOP_REPEAT_MS
        return self._context.grants.stop_due_ms(run)

    def stop_overdue_runs(self, now_ms: int) -> None:
        """Stop the runs whose owner's grant has ended, and repeat stops that had no effect."""
        for run in list(self.ledger.runs.values()):
            if not run.stopping and now_ms >= self._stop_due_ms(run):
                run.stopping_ms = now_ms
                self._context.log.write(
                    "run_stopped_for_silence",
                    request=run.key.task.job_id,
                    task=run.key.task.text,
                    attempt=run.key.attempt,
                    owner=run.owner,
                    silent_ms=self._context.grants.silent_ms(run, now_ms),
                )
            if run.stopping and now_ms >= self._stop_due_ms(run):
                self._send_stop(run.key, now_ms)
        for key in [key for key in self._stops_sent if key not in self.ledger.runs]:
            del self._stops_sent[key]

    def _send_stop(self, key: RunKey, now_ms: int) -> None:
        self._stops_sent[key] = now_ms
        self._background.spawn(self._stop(key))

    async def _stop(self, key: RunKey) -> None:
        try:
            await self._context.calls.stop(key, self._context.fence, STOP_TIMEOUT_MS)
            self._record_contact()
        except RunnerReplacedError:
            self._context.set_gone("replaced")
        except (NoReplyError, NotSentError, RunnerRejectedError) as error:
            if isinstance(error, NoReplyError):
                self._record_unanswered(error)
            self._context.log.write(
                "stop_unanswered", task=key.task.text, attempt=key.attempt, code=error.code
            )
