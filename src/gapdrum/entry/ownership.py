"""Confirms that this entry still owns its durable jobs, by their rows in the store."""

import asyncio

from gapdrum.background import Background
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job
from gapdrum.core.records import OpenJob, load_record, open_row
from gapdrum.entry.ended_jobs import EndedJobs
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import RecordError, StoreError
from gapdrum.timers import MS_PER_S, Timers

# Callers expect a cancelled job to stop within a few seconds, and other entries may fail to notify
# its owner.
CONFIRM_AFTER_MS = 1_500
CHECK_INTERVAL_MS = 250
# Reads at a time, so that an entry with many long jobs does not overload the store.
MAX_READS = 16
RETRY_INTERVAL_MS = 200


class OwnershipChecker:
    """Reads the rows of owned jobs again, and gives up those that are not this entry's any more.

    Another entry may cancel a job, or claim it after the lease has ended, without being able to
    notify the owner.
    """

    def __init__(
        self,
        store: StoreAccess,
        dispatch: Dispatch,
        ended_jobs: EndedJobs,
        timers: Timers,
        log: EventLog,
    ) -> None:
        self._store = store
        self._dispatch = dispatch
        self._ended_jobs = ended_jobs
        self._timers = timers
        self._log = log
        self._background = Background(log)
        self._reading: set[str] = set()

    async def check_due(self) -> None:
        """Read the rows that were not read or written for ``CONFIRM_AFTER_MS``, oldest first."""
        if not self._store.up:
            return
        limit_ms = self._timers.now_ms() - CONFIRM_AFTER_MS
        due = [
            job
            for job in self._dispatch.jobs.values()
            if job.durable
            and job.ending is None
            and job.confirmed_ms <= limit_ms
            and job.job_id not in self._reading
        ]
        due.sort(key=lambda job: job.confirmed_ms)
        for job in due[: MAX_READS - len(self._reading)]:
            self._reading.add(job.job_id)
            self._background.spawn(self._check(job))

    async def _check(self, job: Job) -> None:
        try:
            await self.confirm(job)
        except StoreError as error:
            self._log.write("lookup_failed", request=job.job_id, code=error.code)
        finally:
            self._reading.discard(job.job_id)

    async def settle(self, job: Job) -> None:
        """Find out why a write for a job has conflicted, with retries until the store answers.

        The caller writes again if the job is still its own; a pause limits how often that is.
        """
        while self._dispatch.jobs.get(job.job_id) is job:
            try:
                await self.confirm(job)
            except StoreError as error:
                self._log.write("lookup_failed", request=job.job_id, code=error.code)
            else:
                break
            await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
        if self._dispatch.jobs.get(job.job_id) is job:
            await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    async def confirm(self, job: Job) -> None:
        """Read a job's rows; drop it if it has ended or has another owner; raises StoreError.

        If its rows are missing or can't be read, nobody else can run the job, so its runs are
        stopped.
        """
        began_ms = self._timers.now_ms()
        try:
            # The open row is read first: a job moves to the ended table, never back.
            opened = await self._store.read_row(open_row(job.job_id))
            ended = None if opened is not None else await self._ended_jobs.read(job.job_id)
            found = load_record(opened.value, OpenJob) if opened is not None else None
        except RecordError as error:
            self._log.write("row_unreadable", place=job.job_id, reason=error.message)
            self._stop_and_drop(job, "row_unreadable")
            return
        if self._dispatch.jobs.get(job.job_id) is not job or ended is not None:
            return  # ``read`` has applied the end
        if found is None:
            self._stop_and_drop(job, "row_missing")
        elif (found.owner, found.epoch) == (job.owner, job.epoch):
            job.version = opened.version
            job.confirmed_ms = began_ms
        else:
            self._dispatch.drop_job(job.job_id, "claimed_by_another")

    def _stop_and_drop(self, job: Job, reason: str) -> None:
        if self._dispatch.jobs.get(job.job_id) is job:
            self._dispatch.stop_runs(job)
            self._dispatch.drop_job(job.job_id, reason)
