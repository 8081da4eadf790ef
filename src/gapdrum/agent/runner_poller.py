"""Polls one runner, with several polls at once while its answers get lost."""

import asyncio
from collections import deque

from gapdrum.agent.runner_context import EXPIRY_MARGIN_MS, RunnerContext
from gapdrum.background import Background
from gapdrum.core.poll_schedule import POLL_ANSWER_MS, Poll
from gapdrum.core.runner_models import RunnerSnapshot
from gapdrum.platform.runner_calls import RunnerRejectedError
from gapdrum.transport.http_client import NoReplyError, NotSentError, TimedOutError


class RunnerPoller:
    """The pending polls; each renews the lease and has its own connection.

    ::

        snapshot = await poller.next(wait_ms=200)
        if snapshot is not None:
            ...     # it is newer than all snapshots before
    """

    def __init__(self, context: RunnerContext) -> None:
        self._context = context
        self._schedule = context.schedule
        self._background = Background(context.log)
        self._tasks: dict[int, asyncio.Task] = {}
        self._outcomes: deque[tuple[int, RunnerSnapshot | Exception]] = deque()
        self._waiter: asyncio.Future | None = None
        self._schedule.on_answer_lost = self._handle_lost_answer

    async def next(self, wait_ms: int) -> RunnerSnapshot | None:
        """Return the next snapshot that is newer than all before; raises what its call raises.

        Returns None if there is none yet, so that the caller can do what is due meanwhile.
        """
        if not self._outcomes:
            now_ms = self._context.timers.now_ms()
            for number in self._schedule.list_lost_polls(now_ms):
                self._abandon(number, now_ms)
            due_ms = self._schedule.next_ms(now_ms)
            if due_ms is not None and due_ms <= now_ms:
                self._begin(self._schedule.begin(wait_ms, now_ms))
            await self._pause(now_ms)
        return self._pop_snapshot()

    def close(self) -> None:
        """Cancel all pending polls."""
        for task in self._tasks.values():
            task.cancel()
        self._outcomes.clear()

    async def _pause(self, now_ms: int) -> None:
        """Wait until a poll has ended, or the next one is due."""
        self._waiter = asyncio.get_running_loop().create_future()
        change_ms = self._schedule.next_wakeup_ms(now_ms)
        timer = None
        if change_ms is not None:
            timer = self._context.timers.call_after(change_ms - now_ms, self._wake_up)
        try:
            await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

    def _wake_up(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _handle_lost_answer(self) -> None:
        self._context.log.write("runner_answer_lost", runner=self._context.runner_id)
        self._wake_up()

    def _pop_snapshot(self) -> RunnerSnapshot | None:
        if not self._outcomes:
            return None
        number, outcome = self._outcomes.popleft()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome if self._schedule.accept_snapshot(number, outcome.clock_ms) else None

    def _begin(self, poll: Poll) -> None:
        left_ms = self._context.renewal_ms(poll.began_ms)
        self._tasks[poll.number] = self._background.spawn(self._run(poll, left_ms))

    def _abandon(self, number: int, now_ms: int) -> None:
        self._schedule.end(number)
        self._schedule.record_lost_answer(now_ms)
        self._tasks[number].cancel()

    async def _run(self, poll: Poll, left_ms: int) -> None:
        outcome: RunnerSnapshot | Exception | None = None
        try:
            outcome = await self.poll(left_ms, poll.wait_ms)
            self._schedule.record_answer(poll.number, self._context.timers.now_ms())
        except RunnerRejectedError as error:
            self._schedule.record_answer(poll.number, self._context.timers.now_ms())
            outcome = error
        except (NoReplyError, NotSentError) as error:
            self._schedule.record_failure()
            if isinstance(error, TimedOutError):
                self._schedule.record_lost_answer(self._context.timers.now_ms())
            outcome = error
        except Exception as error:  # the caller of `next` must receive it
            outcome = error
        finally:
            self._schedule.end(poll.number)
            self._tasks.pop(poll.number, None)
        self._outcomes.append((poll.number, outcome))
        self._wake_up()

    async def poll(self, left_ms: int, wait_ms: int) -> RunnerSnapshot:
        """Poll once, and renew the lease by ``left_ms``; raises what the call raises."""
        context = self._context
        until_ms = context.plan_renewal(left_ms)
        call = context.bound.begin_renewal(
            context.timers.monotonic_ms() + left_ms + EXPIRY_MARGIN_MS
        )
        sent = True
        try:
            return await context.calls.poll(
                until_ms,
                context.ledger.advance_acknowledged(),
                context.fence,
                wait_ms,
                wait_ms + POLL_ANSWER_MS,
            )
        except NotSentError:
            sent = False
            raise
        finally:
            context.bound.end_renewal(call, sent)
