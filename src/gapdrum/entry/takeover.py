"""Takes over the open jobs of entries whose lease has ended."""

import random

import attrs

from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import TaskPhase
from gapdrum.core.orders import JobEpoch, JobsClaimed
from gapdrum.core.records import (
    JOB_PARTS,
    OPEN_TABLE,
    PROGRESS_TABLE,
    JobProgress,
    OpenJob,
    dump_record,
    entry_of_owner,
    load_record,
)
from gapdrum.core.rows import Conflict, Expectation, Put, Row, Transaction
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS
from gapdrum.core.subsets import SUCCESSION_MS, choose_successors
from gapdrum.entry.acceptance import Acceptor, build_queue_job
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.entry.ended_jobs import EndedJobs
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.lease import Lease
from gapdrum.entry.links import AgentLinks
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import RecordError, StoreError
from gapdrum.timers import Timers

# Jobs per transaction: a row has up to 6 KB, and other entries may claim the same jobs.
CLAIM_BATCH = 25
# Interval of scans that nobody requested, in case the end of a lease was missed.
SCAN_INTERVAL_MS = 10_000


class Takeover:
    """Finds open jobs whose owner holds no lease, and claims them under the next epoch.

    The successors of the owner claim them at once, and other entries what is left a while later:
    the agents that hold runs of the jobs have to join each claimer.
    """

    def __init__(
        self,
        store: StoreAccess,
        writer: GroupCommitWriter,
        lease: Lease,
        dispatch: Dispatch,
        links: AgentLinks,
        acceptor: Acceptor,
        ended_jobs: EndedJobs,
        configuration: ConfigurationWatch,
        timers: Timers,
        log: EventLog,
    ) -> None:
        self._store = store
        self._writer = writer
        self._lease = lease
        self._dispatch = dispatch
        self._links = links
        self._acceptor = acceptor
        self._ended_jobs = ended_jobs
        self._configuration = configuration
        self._timers = timers
        self._log = log
        self._scan_requested = True
        self._scanned_ms = 0
        self._orphaned_ms: dict[str, int] = {}  # when jobs of an owner without a lease were found

    def request_scan(self) -> None:
        """Request a scan, as an owner's lease has ended."""
        self._scan_requested = True

    async def scan_if_due(self) -> None:
        """Scan if that was requested, or ``SCAN_INTERVAL_MS`` have passed."""
        now_ms = self._timers.now_ms()
        interval_ms = SUCCESSION_MS if self._orphaned_ms else SCAN_INTERVAL_MS
        due = self._scan_requested or now_ms - self._scanned_ms > interval_ms
        if not due or not self._lease.valid or not self._configuration.known:
            return
        self._scan_requested = False
        self._scanned_ms = now_ms
        try:
            await self._scan()
        except StoreError as error:
            self._scan_requested = True
            self._log.write("takeover_failed", code=error.code, reason=error.message)

    async def _scan(self) -> None:
        """Read the open jobs before the leases, as an entry writes its lease before any job."""
        rows: dict[str, list[tuple[Row, str | None]]] = {}
        for part in random.sample(JOB_PARTS, len(JOB_PARTS)):
            found = await self._store.read_all(OPEN_TABLE, part)
            rows[part] = [(row, self._owner_of(row)) for row in found]
        owners = await self._lease.poll()
        self._record_orphans({owner for part in rows.values() for _, owner in part}, owners)
        for part, found in rows.items():
            claimable = [row for row, owner in found if self._may_claim(row, owner, owners)]
            for start in range(0, len(claimable), CLAIM_BATCH):
                await self._claim(part, claimable[start : start + CLAIM_BATCH])

    def _record_orphans(self, found: set[str | None], owners: frozenset[str]) -> None:
        """Record since when jobs are known of each owner without a lease."""
        now_ms = self._timers.now_ms()
        self._orphaned_ms = {
            owner: self._orphaned_ms.get(owner, now_ms) for owner in found - owners - {None}
        }

    def _owner_of(self, row: Row) -> str | None:
        """Return a job's owner, None if its row can't be read."""
        try:
            return load_record(row.value, OpenJob).owner
        except RecordError as error:
            # No entry can run the job; requests that need the row are answered with this error.
            self._log_unreadable(row, error)
            return None

    def _may_claim(self, row: Row, owner: str | None, owners: frozenset[str]) -> bool:
        if owner == self._lease.owner:
            # The answer to a claim may have been lost: this entry owns the row, but has no job.
            return not self._is_known(row.at.key)
        if owner not in self._orphaned_ms:
            return False
        waited_ms = self._timers.now_ms() - self._orphaned_ms[owner]
        successors = choose_successors(owner, map(entry_of_owner, owners))
        return self._lease.instance in successors or waited_ms >= SUCCESSION_MS

    def _is_known(self, job_id: str) -> bool:
        return (
            job_id in self._dispatch.jobs
            or self._acceptor.is_insert_pending(job_id)
            or self._ended_jobs.known_state(job_id) is not None
        )

    async def _claim(self, part: str, rows: list[Row]) -> None:
        claims = [(row, self._claimed_record(row)) for row in rows]
        transaction = Transaction(
            tuple(Expectation(row.at, row.version) for row in rows),
            tuple(Put(row.at, dump_record(record)) for row, record in claims),
        )
        result = await self._writer.write(part, transaction)
        if isinstance(result, Conflict):
            self._scan_requested = True  # another entry has claimed some of the jobs
            if len(rows) > 1:
                for row in rows:
                    await self._claim(part, [row])
            return
        progress = {row.at.key: row for row in await self._store.read_all(PROGRESS_TABLE, part)}
        for row, record in claims:
            self._add_claimed_job(row.at.key, record, result.version, progress.get(row.at.key))
        epochs = tuple(JobEpoch(row.at.key, record.epoch) for row, record in claims)
        self._links.broadcast(JobsClaimed(epochs))

    def _claimed_record(self, row: Row) -> OpenJob:
        record = load_record(row.value, OpenJob)
        return attrs.evolve(record, owner=self._lease.owner, epoch=record.epoch + 1)

    def _add_claimed_job(
        self, job_id: str, record: OpenJob, version: int, progress: Row | None
    ) -> None:
        if self._ended_jobs.known_state(job_id) is not None:  # cancelled elsewhere since the claim
            self._log.write(
                "job_dropped", request=job_id, epoch=record.epoch, reason="ended_elsewhere"
            )
            return
        now_ms = self._timers.now_ms()
        queue = self._configuration.current.queue_named(record.queue)
        job = build_queue_job(job_id, record, version, queue, now_ms)
        job.requeue_unknown_at_ms = now_ms + SILENCE_LIMIT_MS
        for task in job.tasks:
            task.phase = TaskPhase.UNKNOWN
        if progress is not None:
            job.has_progress_row = True
            job.progress_version = progress.version
            try:
                job.restore(load_record(progress.value, JobProgress))
            except RecordError as error:
                # Which tasks are done is unknown, so no task of the job may be started.
                self._log_unreadable(progress, error)
                return
        self._log.write(
            "job_taken_over",
            request=job_id,
            epoch=record.epoch,
            version=version,
            done=sum(task.phase is TaskPhase.DONE for task in job.tasks),
            tasks=len(job.tasks),
        )
        self._dispatch.add_job(job, now_ms)

    def _log_unreadable(self, row: Row, error: RecordError) -> None:
        place = f"{row.at.table}/{row.at.part}/{row.at.key}"
        self._log.write("row_unreadable", place=place, reason=error.message)

    def pending_claims(self) -> tuple[JobEpoch, ...]:
        """Return claimed jobs whose runs under earlier owners agents may still hold."""
        return tuple(
            JobEpoch(job.job_id, job.epoch)
            for job in self._dispatch.jobs.values()
            if job.durable and job.requeue_unknown_at_ms
        )
