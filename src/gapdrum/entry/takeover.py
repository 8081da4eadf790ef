"""Takes over the open jobs of entries whose lease has ended."""

import random

import attrs

from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import TaskPhase, build_job
from gapdrum.core.orders import JobEpoch, JobsClaimed
from gapdrum.core.records import (
    JOB_PARTS,
    OPEN_TABLE,
    PROGRESS_TABLE,
    UNKNOWN_POLICY,
    JobPolicy,
    JobProgress,
    JobRoute,
    OpenJob,
    dump_job,
    entry_of_owner,
    load_records,
)
from gapdrum.core.rows import Conflict, Expectation, Put, Row, Transaction
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS
from gapdrum.core.subsets import SUCCESSION_MS, choose_successors
from gapdrum.entry.acceptance import Acceptor, queue_policy
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


@attrs.frozen
class FoundJob:
    """An open job's row; ``policy`` is None if it is not in a row of an earlier release."""

    row: Row
    record: OpenJob
    policy: JobPolicy | None


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
        found: dict[str, list[FoundJob]] = {}
        for part in random.sample(JOB_PARTS, len(JOB_PARTS)):
            rows = await self._store.read_all(OPEN_TABLE, part)
            found[part] = [job for job in map(self._decode_job, rows) if job is not None]
        owners = await self._lease.poll()
        self._record_orphans({job.record.owner for jobs in found.values() for job in jobs}, owners)
        for part, jobs in found.items():
            claimable = [job for job in jobs if self._may_claim(job, owners)]
            for start in range(0, len(claimable), CLAIM_BATCH):
                await self._claim(part, claimable[start : start + CLAIM_BATCH])

    def _record_orphans(self, found: set[str], owners: frozenset[str]) -> None:
        """Record since when jobs are known of each owner without a lease."""
        now_ms = self._timers.now_ms()
        self._orphaned_ms = {
            owner: self._orphaned_ms.get(owner, now_ms) for owner in found - owners
        }

    def _decode_job(self, row: Row) -> FoundJob | None:
        """Return a job from its row, None if that can't be read."""
        try:
            return FoundJob(row, *load_records(row.value, OpenJob, JobPolicy))
        except RecordError as error:
            # No entry can run the job; requests that need the row are answered with this error.
            self._log_unreadable(row, error)
            return None

    def _may_claim(self, job: FoundJob, owners: frozenset[str]) -> bool:
        owner = job.record.owner
        if owner == self._lease.owner:
            # The answer to a claim may have been lost: this entry owns the row, but has no job.
            return not self._is_known(job.row.at.key)
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

    async def _claim(self, part: str, jobs: list[FoundJob]) -> None:
        claims = [self._claim_of(job) for job in jobs]
        transaction = Transaction(
            tuple(Expectation(job.row.at, job.row.version) for job in jobs),
            tuple(Put(claim.row.at, dump_job(claim.record, claim.policy)) for claim in claims),
        )
        result = await self._writer.write(part, transaction)
        if isinstance(result, Conflict):
            self._scan_requested = True  # another entry has claimed some of the jobs
            if len(jobs) > 1:
                for job in jobs:
                    await self._claim(part, [job])
            return
        progress = {row.at.key: row for row in await self._store.read_all(PROGRESS_TABLE, part)}
        for claim in claims:
            self._add_claimed_job(claim, result.version, progress.get(claim.row.at.key))
        epochs = tuple(JobEpoch(claim.row.at.key, claim.record.epoch) for claim in claims)
        self._links.broadcast(JobsClaimed(epochs))

    def _claim_of(self, job: FoundJob) -> FoundJob:
        """Return a job as this entry claims it, under the next epoch."""
        record = attrs.evolve(job.record, owner=self._lease.owner, epoch=job.record.epoch + 1)
        return attrs.evolve(job, record=record, policy=job.policy or self._policy_of(record.queue))

    def _policy_of(self, name: str) -> JobPolicy | None:
        """Return the current policy of a queue, None if there is no such queue.

        From which configuration the job's upstream is remains unknown.
        """
        queue = self._configuration.current.queue_named(name)
        return attrs.evolve(queue_policy(queue), version=0) if queue is not None else None

    def _add_claimed_job(self, claim: FoundJob, version: int, progress: Row | None) -> None:
        job_id, record, policy = claim.row.at.key, claim.record, claim.policy or UNKNOWN_POLICY
        if self._ended_jobs.known_state(job_id) is not None:  # cancelled elsewhere since the claim
            self._log.write(
                "job_dropped", request=job_id, epoch=record.epoch, reason="ended_elsewhere"
            )
            return
        now_ms = self._timers.now_ms()
        job = build_job(job_id, record, version, now_ms, durable=True, policy=policy)
        job.requeue_unknown_at_ms = now_ms + SILENCE_LIMIT_MS
        for task in job.tasks:
            task.phase = TaskPhase.UNKNOWN
        if progress is not None:
            job.has_progress_row = True
            job.progress_version = progress.version
            try:
                done, route = load_records(progress.value, JobProgress, JobRoute)
                job.restore(done)
                if route is not None:
                    job.reroute(route, now_ms)
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
            failure_limit=policy.failure_limit,
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
