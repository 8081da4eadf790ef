"""Jobs that are not stored: their caller waits for the end, and sends them again without one."""

import asyncio
import secrets
from collections import OrderedDict

import attrs

from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job
from gapdrum.core.models import JobState, Step
from gapdrum.entry.acceptance import build_queue_job, initial_record
from gapdrum.entry.lease import Lease
from gapdrum.event_log import EventLog
from gapdrum.pauses import PauseWatch
from gapdrum.timers import MS_PER_S, Timers

# A job that is sent again after its answer gets the same answer here.
MAX_CACHED_ANSWERS = 10_000
SUBMISSION_BITS = 48  # drawn at random: no two of a job that callers submit again are the same


@attrs.frozen
class Caller:
    """One who waits: until ``closed`` is done, and for so long after its request came.

    Without a ``wait_limit_ms`` it has not said for how long.
    """

    closed: asyncio.Future
    received_ms: int
    wait_limit_ms: int | None = None

    @property
    def until_ms(self) -> int | None:
        """Return until when it waits, None if it has not said so."""
        return None if self.wait_limit_ms is None else self.received_ms + self.wait_limit_ms


@attrs.frozen
class WaitOutcome:
    """What a waiting caller is told: the job's final state, that it has not run, or neither."""

    state: JobState | None = None
    not_run: bool = False


class WaitingCallers:
    """Runs jobs for callers that wait, and stops a job that nobody waits for any more.

    A caller whose connection has gone, or whose time is over, sends the job again after a
    pause, to any entry. What runs of it is stopped at once, so that no task runs twice at the
    same time. A connection can be cut without a sign of it, so the time counts by itself.
    """

    def __init__(self, dispatch: Dispatch, lease: Lease, timers: Timers, log: EventLog) -> None:
        self._dispatch = dispatch
        self._lease = lease
        self._timers = timers
        self._log = log
        self._callers: dict[str, set[asyncio.Future[WaitOutcome]]] = {}
        self._answers: OrderedDict[str, JobState] = OrderedDict()
        self._pauses = PauseWatch(timers.now_ms())
        self._waits: dict[asyncio.Future, int] = {}  # until when callers wait

    async def run(
        self,
        job_id: str,
        queue: Queue,
        spec: str,
        steps: tuple[Step, ...],
        caller: Caller,
    ) -> WaitOutcome:
        """Run a job to its end, or as far as it gets."""
        known = self._answers.get(job_id)
        if known is not None:
            return WaitOutcome(known)
        # The caller's time began before the request was read, if this entry stood still.
        caller = attrs.evolve(caller, received_ms=self._pauses.earliest_ms(caller.received_ms))
        left_s = self._left_s(caller)
        if left_s == 0 or caller.closed.done():
            # Whatever began now could overlap with what is sent again.
            self._note_gone(job_id, caller)
            return WaitOutcome()
        loop = asyncio.get_running_loop()
        ended, over = loop.create_future(), loop.create_future()
        self._callers.setdefault(job_id, set()).add(ended)
        if job_id not in self._dispatch.jobs:
            self._begin(job_id, queue, spec, steps, caller)
        else:
            self._dispatch.jobs[job_id].extend_caller_deadline(caller.until_ms)
        if caller.until_ms is not None:
            self._waits[over] = caller.until_ms
        await asyncio.wait(
            {ended, caller.closed, over}, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        self._waits.pop(over, None)
        if ended.done():
            return ended.result()
        self._note_gone(job_id, caller)
        self._leave(job_id, ended)
        return WaitOutcome()

    def _left_s(self, caller: Caller) -> float | None:
        if caller.until_ms is None:
            return None
        return max(0, caller.until_ms - self._timers.now_ms()) / MS_PER_S

    def tick(self) -> None:
        """End the waits whose time is over; called every ``TICK_MS``.

        The loop's timers stand still while the instance is suspended, so they end waits too late.
        """
        now_ms = self._timers.now_ms()
        self._pauses.tick(now_ms)
        for over, until_ms in self._waits.items():
            if now_ms >= until_ms and not over.done():
                over.set_result(None)

    def _note_gone(self, job_id: str, caller: Caller) -> None:
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
        job = build_queue_job(job_id, record, 0, queue, now_ms, durable=False)
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
        if job.durable:  # accepted under this identity before: it runs on without callers
            return
        job.ending = JobState.CANCELLED
        self._dispatch.stop_runs(job)
        self._dispatch.drop_job(job_id, reason)

    def knows(self, job_id: str) -> bool:
        """Tell whether a job is open here, or its callers were told its end lately."""
        return job_id in self._dispatch.jobs or self.has_ended(job_id)

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a job's callers were told its end lately."""
        return job_id in self._answers

    def give_up(self) -> None:
        """Tell all callers that nothing is known of their jobs, and stop what runs."""
        for job_id, callers in list(self._callers.items()):
            for ended in list(callers):
                self._leave(job_id, ended, "entry_ends")
                if not ended.done():
                    ended.set_result(WaitOutcome())

    def refuse(self, job: Job) -> None:
        """Tell the callers of a job that it has not run and will not."""
        for ended in self._callers.pop(job.job_id, set()):
            if not ended.done():
                ended.set_result(WaitOutcome(not_run=True))

    def complete_job(self, job: Job) -> None:
        """Answer the callers of a job that has ended."""
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
