"""Runs non-durable jobs: the caller waits for the result, and resubmits the job if none comes."""

import asyncio
import secrets
from collections import OrderedDict

import attrs

from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job, build_job
from gapdrum.core.models import JobState, Step
from gapdrum.entry.acceptance import initial_record, queue_policy
from gapdrum.entry.lease import Lease
from gapdrum.event_log import EventLog
from gapdrum.pauses import PauseDetector
from gapdrum.timers import MS_PER_S, Timers

# Ended jobs whose final state is kept in memory, so that a resubmission gets the same answer.
MAX_CACHED_ANSWERS = 10_000
SUBMISSION_BITS = 48  # random, so that two submissions of one job never share a number


@attrs.frozen
class Caller:
    """A waiting caller: until ``closed`` is done, or ``wait_limit_ms`` after its request came.

    ``wait_limit_ms`` is None if the caller states no limit.
    """

    closed: asyncio.Future
    received_ms: int
    wait_limit_ms: int | None = None

    @property
    def until_ms(self) -> int | None:
        """Return when the caller stops waiting, None if it states no limit."""
        return None if self.wait_limit_ms is None else self.received_ms + self.wait_limit_ms


@attrs.frozen
class WaitOutcome:
    """The answer to a waiting caller: the job's final state, that it has not run, or neither."""

    state: JobState | None = None
    not_run: bool = False


class WaitingCallers:
    """Runs jobs for waiting callers, and stops a job when its last caller has gone.

    A caller that loses its connection or reaches its time limit resubmits the job after a pause,
    to any entry. The job's runs are stopped at once, so that no task runs twice at the same
    time. A connection can break without a reset, so the time limit applies on its own.
    """

    def __init__(self, dispatch: Dispatch, lease: Lease, timers: Timers, log: EventLog) -> None:
        self._dispatch = dispatch
        self._lease = lease
        self._timers = timers
        self._log = log
        self._callers: dict[str, set[asyncio.Future[WaitOutcome]]] = {}
        self._answers: OrderedDict[str, JobState] = OrderedDict()
        self._pauses = PauseDetector(timers.now_ms())
        self._wait_ends_ms: dict[asyncio.Future, int] = {}  # when each wait ends

    async def run(
        self,
        job_id: str,
        queue: Queue,
        spec: str,
        steps: tuple[Step, ...],
        caller: Caller,
    ) -> WaitOutcome:
        """Run a job until it ends, is refused, or its caller has gone."""
        known = self._answers.get(job_id)
        if known is not None:
            return WaitOutcome(known)
        # If this process was suspended, the request may have arrived long before it was read.
        caller = attrs.evolve(caller, received_ms=self._pauses.earliest_ms(caller.received_ms))
        remaining_s = self._left_s(caller)
        if remaining_s == 0 or caller.closed.done():
            # A run that starts now could overlap with those of the caller's resubmission.
            self._log_gone(job_id, caller)
            return WaitOutcome()
        loop = asyncio.get_running_loop()
        ended, timed_out = loop.create_future(), loop.create_future()
        self._callers.setdefault(job_id, set()).add(ended)
        if job_id not in self._dispatch.jobs:
            self._begin(job_id, queue, spec, steps, caller)
        else:
            self._dispatch.jobs[job_id].extend_caller_deadline(caller.until_ms)
        if caller.until_ms is not None:
            self._wait_ends_ms[timed_out] = caller.until_ms
        await asyncio.wait(
            {ended, caller.closed, timed_out},
            timeout=remaining_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._wait_ends_ms.pop(timed_out, None)
        if ended.done():
            return ended.result()
        self._log_gone(job_id, caller)
        self._leave(job_id, ended)
        return WaitOutcome()

    def _left_s(self, caller: Caller) -> float | None:
        if caller.until_ms is None:
            return None
        return max(0, caller.until_ms - self._timers.now_ms()) / MS_PER_S

    def tick(self) -> None:
        """End the waits that have reached their limit; called every ``TICK_MS``.

        The event loop's timers stop while the instance is suspended, so they end waits too late.
        """
        now_ms = self._timers.now_ms()
        self._pauses.tick(now_ms)
        for timed_out, until_ms in self._wait_ends_ms.items():
            if now_ms >= until_ms and not timed_out.done():
                timed_out.set_result(None)

    def _log_gone(self, job_id: str, caller: Caller) -> None:
        self._log.write(
            "caller_gone",
            request=job_id,
            reason="closed" if caller.closed.done() else "waited_out",
            waited_ms=self._timers.now_ms() - caller.received_ms,
        )

    def _begin(
        self, job_id: str, queue: Queue, spec: str, steps: tuple[Step, ...], caller: Caller
    ) -> None:
        now_ms = self._timers.now_ms()
        record = initial_record(queue, spec, steps, self._lease.owner, self._timers.wall_ms())
        job = build_job(job_id, record, 0, now_ms, durable=False, policy=queue_policy(queue))
        job.caller_deadline_ms = caller.until_ms
        job.submission = 1 + secrets.randbits(SUBMISSION_BITS)
        self._log.write(
            "job_begun",
            request=job_id,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=job.objective_ms,
            chain_ms=job.chain_ms,
            latency_factor=queue.latency_factor,
        )
        self._dispatch.add_job(job, now_ms)

    def _leave(self, job_id: str, ended: asyncio.Future, reason: str = "caller_gone") -> None:
        callers = self._callers.get(job_id, set())
        callers.discard(ended)
        job = self._dispatch.jobs.get(job_id)
        if callers or job is None:
            return
        self._callers.pop(job_id, None)
        if job.durable:  # a durable job of the same id continues without callers
            return
        job.ending = JobState.CANCELLED
        self._dispatch.stop_runs(job)
        self._dispatch.drop_job(job_id, reason)

    def knows(self, job_id: str) -> bool:
        """Return whether a job is open here, or its final state is kept for callers."""
        return job_id in self._dispatch.jobs or self.has_ended(job_id)

    def has_ended(self, job_id: str) -> bool:
        """Return whether a job's final state is kept for callers."""
        return job_id in self._answers

    def give_up(self) -> None:
        """Answer all callers that the outcome of their job is unknown, and stop its runs."""
        for job_id, callers in list(self._callers.items()):
            for ended in list(callers):
                self._leave(job_id, ended, "entry_ends")
                if not ended.done():
                    ended.set_result(WaitOutcome())

    def refuse(self, job: Job) -> None:
        """Answer the callers of a job that it has not run and will not run."""
        for ended in self._callers.pop(job.job_id, set()):
            if not ended.done():
                ended.set_result(WaitOutcome(not_run=True))

    def complete_job(self, job: Job) -> None:
        """Keep the final state of an ended job, and answer its callers."""
        state = job.ending
        self._log.write(
            "job_ended",
            request=job.job_id,
            state=state.value,
            epoch=job.epoch,
            store_ms=0,
            total_ms=self._timers.now_ms() - job.accepted_ms,
            objective_ms=job.objective_ms,
        )
        self._answers[job.job_id] = state
        while len(self._answers) > MAX_CACHED_ANSWERS:
            self._answers.popitem(last=False)
        self._dispatch.stop_runs(job)
        self._dispatch.drop_job(job.job_id, "ended")
        for ended in self._callers.pop(job.job_id, set()):
            if not ended.done():
                ended.set_result(WaitOutcome(state))
