"""Stores the final state of jobs, and the progress of long jobs."""

import asyncio

from gapdrum.background import Background
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job
from gapdrum.core.models import JobState
from gapdrum.core.records import (
    EndedJob,
    JobEnd,
    JobFailures,
    JobProgress,
    OpenJob,
    Restart,
    TaskFailures,
    dump_record,
    ended_row,
    first_attempt,
    job_part,
    load_end,
    load_record,
    open_row,
    progress_row,
)
from gapdrum.core.rows import ABSENT, Committed, Conflict, Expectation, Put, Row, Transaction
from gapdrum.entry.ended_jobs import EndedJobs, with_attempts
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.ownership import OwnershipChecker
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import RecordError, StoreError, StoreOutcomeUnknownError
from gapdrum.timers import MS_PER_S, Timers

RETRY_INTERVAL_MS = 200
PROGRESS_INTERVAL_MS = 250
# The platform requires ends of runs to be acknowledged within 4 s (its ``ack_ms``). Ends
# that are unstored for ``PROGRESS_DELAY_MS`` are stored as progress; a job that ends sooner stores
# them with its final state.
PROGRESS_DELAY_MS = 1_200
# How often an entry looks for the outcome of a cancellation whose answer was lost, and of how many
# jobs at a time. Owners find out by themselves, only later.
CANCELLATION_LOOKUPS = 25
MAX_CANCELLATION_LOOKUPS = 64


class JobEndRecorder:
    """Moves ended jobs to the ended table, and stores the progress of open ones."""

    def __init__(
        self,
        store: StoreAccess,
        writer: GroupCommitWriter,
        dispatch: Dispatch,
        ended_jobs: EndedJobs,
        ownership: OwnershipChecker,
        timers: Timers,
        log: EventLog,
    ) -> None:
        self._store = store
        self._writer = writer
        self._dispatch = dispatch
        self._ended_jobs = ended_jobs
        self._ownership = ownership
        self._timers = timers
        self._log = log
        self._background = Background(log)
        self._looked_up: set[str] = set()  # jobs whose cancellation was not answered

    # Jobs that this entry owns.

    def store_end(self, job: Job) -> None:
        """Start to store a job's end, with retries until it is stored or the row has changed."""
        self._background.spawn(self.finish(job))

    async def finish(self, job: Job) -> bool:
        """Store a job's end; return whether this entry's record is the one that is stored."""
        end = build_end(job)
        began_ms = self._timers.now_ms()
        while self._dispatch.jobs.get(job.job_id) is job:
            transaction = _ending(job.job_id, job.version, end, job.has_progress_row)
            try:
                result = await self._writer.write(job_part(job.job_id), transaction)
            except StoreError as error:
                self._log.write("end_unsettled", request=job.job_id, code=error.code)
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
                continue
            if isinstance(result, Committed) or _is_own_write(result, end):
                self._complete_job(job, end, began_ms)
                return True
            await self._ownership.settle(job)
        return False

    def _complete_job(self, job: Job, end: JobEnd, began_ms: int) -> None:
        now_ms = self._timers.now_ms()
        self._log.write(
            "job_ended",
            request=job.job_id,
            state=end.record.state,
            epoch=job.epoch,
            store_ms=now_ms - began_ms,
            total_ms=now_ms - job.accepted_ms,
            objective_ms=job.objective_ms,
        )
        self._ended_jobs.remember(job.job_id, end)
        self._dispatch.acknowledge_stored_ends(job, list(job.unstored_ends))
        self._dispatch.stop_runs(job)
        self._dispatch.drop_job(job.job_id, "ended")

    async def store_progress(self) -> None:
        """Store the ends of tasks of open jobs that wait for ``PROGRESS_DELAY_MS``."""
        limit_ms = self._timers.now_ms() - PROGRESS_DELAY_MS
        for job in list(self._dispatch.jobs.values()):
            if (
                job.durable
                and job.ending is None
                and (job.progress_is_urgent or 0 < job.unstored_progress_since_ms <= limit_ms)
            ):
                self._background.spawn(self._store_job_progress(job))

    async def _store_job_progress(self, job: Job) -> None:
        job.unstored_progress_since_ms = 0
        job.progress_is_urgent = False
        ends = list(job.unstored_ends)
        abandoned = [task for task in job.tasks if not task.abandoned_is_stored]
        # The condition on the progress row keeps a write that takes effect late from replacing a
        # newer one, whose ends have been acknowledged.
        transaction = Transaction(
            expectations=(
                Expectation(open_row(job.job_id), job.version),
                Expectation(progress_row(job.job_id), job.progress_version),
            ),
            puts=(Put(progress_row(job.job_id), dump_record(*job.progress_records())),),
        )
        job.has_progress_row = True
        try:
            result = await self._writer.write(job_part(job.job_id), transaction)
        except StoreError as error:
            self._log.write("progress_unsettled", request=job.job_id, code=error.code)
            job.unstored_progress_since_ms = (
                self._timers.now_ms() - PROGRESS_DELAY_MS + RETRY_INTERVAL_MS
            )
            return
        if isinstance(result, Conflict):
            await self._resolve_progress_conflict(job, result)
            return
        job.progress_version = result.version
        self._log.write("progress_stored", request=job.job_id, ends=len(ends))
        self._dispatch.acknowledge_stored_ends(job, ends)
        self._dispatch.confirm_abandoned(job, abandoned)

    async def _resolve_progress_conflict(self, job: Job, conflict: Conflict) -> None:
        """Write again over an earlier write of this owner, or find out who has changed the job."""
        versions = {row.at: row.version for row in conflict.rows if row.value is not None}
        if versions.get(open_row(job.job_id)) == job.version:
            job.progress_version = versions.get(progress_row(job.job_id), ABSENT)
        elif job.ending is None:
            await self._ownership.settle(job)
        # If the job is still this entry's, its ends and abandoned attempts are still to be stored.
        job.unstored_progress_since_ms = self._timers.now_ms() - PROGRESS_DELAY_MS

    # Jobs that peers own.

    async def cancel_unowned(self, job_id: str, row: Row) -> bool:
        """Cancel an open job that a peer owns, in the store; raises StoreError.

        Returns False if the row has changed meanwhile and must be read again. If the answer is
        lost, the outcome is looked up later, as runs must be stopped also if the caller does not
        repeat its call.
        """
        found = load_record(row.value, OpenJob)
        state = JobState.CANCELLED.value
        end = JobEnd(EndedJob(found.queue, state, found.owner, found.epoch + 1, ()))
        # The progress row stays: the owner may write it until this takes effect, and not after.
        transaction = _ending(job_id, row.version, end, False)
        try:
            result = await self._writer.write(job_part(job_id), transaction)
        except StoreOutcomeUnknownError:
            if job_id not in self._looked_up and len(self._looked_up) < MAX_CANCELLATION_LOOKUPS:
                self._looked_up.add(job_id)
                self._background.spawn(self._look_up_cancellation(job_id))
            raise
        if isinstance(result, Conflict) and not _is_own_write(result, end):
            return False
        self._log.write("job_cancelled", request=job_id, owner=found.owner, epoch=found.epoch + 1)
        self._ended_jobs.apply(job_id, end)
        self._background.spawn(self._move_attempts(job_id))
        return True

    async def _look_up_cancellation(self, job_id: str) -> None:
        """Read whether a job has ended until it has; a cancellation may take effect late."""
        try:
            for _ in range(CANCELLATION_LOOKUPS):
                if await self._has_ended(job_id):
                    await self._move_attempts(job_id)
                    return
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
        finally:
            self._looked_up.discard(job_id)

    async def _move_attempts(self, job_id: str) -> None:
        """Move what the progress row of a cancelled job tells of attempts to its record."""
        for _ in range(CANCELLATION_LOOKUPS):
            try:
                transaction = await self._moving(job_id)
                if transaction is not None:
                    # On a conflict another entry has moved them.
                    await self._writer.write(job_part(job_id), transaction)
                return
            except RecordError as error:
                self._log.write("row_unreadable", place=job_id, reason=error.message)
                return
            except StoreError as error:
                self._log.write("end_unsettled", request=job_id, code=error.code)
            await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    async def _moving(self, job_id: str) -> Transaction | None:
        """Return the transaction that removes the progress row of an ended job, None without one.

        Raises StoreError and RecordError.
        """
        progress = await self._store.read_row(progress_row(job_id))
        ended = await self._store.read_row(ended_row(job_id)) if progress is not None else None
        if ended is None:
            return None
        end = with_attempts(load_end(ended.value), load_record(progress.value, JobProgress))
        return Transaction(
            expectations=(
                Expectation(ended.at, ended.version),
                Expectation(progress.at, progress.version),
            ),
            puts=(Put(ended.at, end.dump()),),
            removals=(progress.at,),
        )

    async def _has_ended(self, job_id: str) -> bool:
        if self._ended_jobs.known_state(job_id) is not None:
            return True
        try:
            return await self._ended_jobs.read(job_id) is not None
        except StoreError as error:
            self._log.write("lookup_failed", request=job_id, code=error.code)
            return False


def build_end(job: Job) -> JobEnd:
    """Return the end of a job that this entry owns."""
    record = EndedJob(job.queue, job.ending.value, job.owner, job.epoch, _restarts(job), job.epoch)
    return JobEnd(record, _failures(job))


def _ending(job_id: str, version: int, end: JobEnd, has_progress: bool) -> Transaction:
    removals = [open_row(job_id)]
    if has_progress:
        removals.append(progress_row(job_id))
    return Transaction(
        expectations=(
            Expectation(open_row(job_id), version),
            Expectation(ended_row(job_id), ABSENT),
        ),
        puts=(Put(ended_row(job_id), end.dump()),),
        removals=tuple(removals),
    )


def _is_own_write(conflict: Conflict, end: JobEnd) -> bool:
    """Return whether the conflicting row is from an earlier write that got no answer."""
    return any(row.value == end.dump() for row in conflict.rows)


def _restarts(job: Job) -> tuple[Restart, ...]:
    first = first_attempt(job.epoch)
    return tuple(
        Restart(task.name.step, task.name.index, task.lowest_counted_attempt)
        for task in job.tasks
        if task.lowest_counted_attempt != first
    )


def _failures(job: Job) -> JobFailures:
    """Return the failures that were counted of attempts below the lowest one that counts."""
    rows = []
    for task in job.tasks:
        lowest = task.lowest_counted_attempt
        attempts = sorted(attempt for attempt in task.failed_attempts if attempt < lowest)
        if attempts:
            rows.append(TaskFailures(task.name.step, task.name.index, attempts))
    return JobFailures(tuple(rows))
