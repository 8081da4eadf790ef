"""Stores the final state of jobs, and the progress of long jobs."""

import asyncio
from collections import OrderedDict

import attrs

from gapdrum.background import Background
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job, Place
from gapdrum.core.models import JobState, RunEnd, TaskName
from gapdrum.core.orders import EndsStored, JobEpoch, JobsClaimed, RunEvent
from gapdrum.core.records import (
    EndedJob,
    OpenJob,
    Restart,
    dump_record,
    ended_row,
    first_attempt,
    job_part,
    load_record,
    open_row,
    progress_row,
)
from gapdrum.core.rows import ABSENT, Committed, Conflict, Expectation, Put, Row, Transaction
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.links import AgentLinks
from gapdrum.entry.peer_notifier import PeerNotifier
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreError
from gapdrum.timers import MS_PER_S, Timers

RETRY_INTERVAL_MS = 200
PROGRESS_INTERVAL_MS = 250
# The platform requires ends of runs to be acknowledged within 4 s (its ``ack_ms``). Ends
# that are unstored for ``PROGRESS_DELAY_MS`` are stored as progress; a job that ends sooner stores
# them with its final state.
PROGRESS_DELAY_MS = 1_200
MAX_REMEMBERED_ENDS = 20_000  # 2 minutes at 150 jobs a second
MAX_UNOWNED_LOOKUPS = 16  # at a time; further ends are looked up later


@attrs.frozen
class KnownEnd:
    """An ended job, and the attempts that count for the tasks among its restarts."""

    record: EndedJob
    attempts: dict[tuple[int, int], int]

    def counted_attempt(self, step: int, index: int) -> int:
        """Return the attempt that counts for a task, 0 if any may count."""
        epoch = self.record.counted_epoch
        return self.attempts.get((step, index), first_attempt(epoch) if epoch else 0)


class JobEndRecorder:
    """Moves ended jobs to the ended table, and acknowledges the ends of their runs to agents."""

    def __init__(
        self,
        store: StoreAccess,
        writer: GroupCommitWriter,
        dispatch: Dispatch,
        links: AgentLinks,
        peers: PeerNotifier,
        timers: Timers,
        log: EventLog,
    ) -> None:
        self._store = store
        self._writer = writer
        self._peers = peers
        self._dispatch = dispatch
        self._links = links
        self._timers = timers
        self._log = log
        self._known: OrderedDict[str, KnownEnd] = OrderedDict()
        self._background = Background(log)
        self._lookups: set[str] = set()

    def known_state(self, job_id: str) -> JobState | None:
        """Return the final state of a job that this entry knows to have ended."""
        known = self._known.get(job_id)
        return known.record.job_state if known is not None else None

    def remember(self, job_id: str, record: EndedJob) -> None:
        """Keep the record of an ended job in memory; the oldest ones are dropped."""
        attempts = {(row.step, row.index): row.attempt for row in record.restarts}
        self._known[job_id] = KnownEnd(record, attempts)
        while len(self._known) > MAX_REMEMBERED_ENDS:
            self._known.popitem(last=False)

    # Jobs that this entry owns.

    def store_end(self, job: Job) -> None:
        """Start to store a job's end, with retries until it is stored or the row has changed."""
        self._background.spawn(self.finish(job))

    async def finish(self, job: Job) -> bool:
        """Store a job's end; return whether this entry's record is the one that is stored."""
        record = EndedJob(
            job.queue, job.ending.value, job.owner, job.epoch, _restarts(job), job.epoch
        )
        transaction = _ending(job.job_id, job.version, record, job.has_progress_row)
        began_ms = self._timers.now_ms()
        while self._dispatch.jobs.get(job.job_id) is job:
            try:
                result = await self._writer.write(job_part(job.job_id), transaction)
            except StoreError as error:
                self._log.write("end_unsettled", request=job.job_id, code=error.code)
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)
                continue
            if isinstance(result, Committed) or _is_own_write(result, record):
                self._complete_job(job, record, began_ms)
                return True
            self._dispatch.drop_job(job.job_id, "row_changed_by_another")
            return False
        return False

    def _complete_job(self, job: Job, record: EndedJob, began_ms: int) -> None:
        now_ms = self._timers.now_ms()
        self._log.write(
            "job_ended",
            request=job.job_id,
            state=record.state,
            epoch=job.epoch,
            store_ms=now_ms - began_ms,
            total_ms=now_ms - job.accepted_ms,
            objective_ms=job.objective_ms,
        )
        self.remember(job.job_id, record)
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
                and 0 < job.unstored_progress_since_ms <= limit_ms
            ):
                self._background.spawn(self._store_job_progress(job))

    async def _store_job_progress(self, job: Job) -> None:
        job.unstored_progress_since_ms = 0
        ends = list(job.unstored_ends)
        transaction = Transaction(
            expectations=(Expectation(open_row(job.job_id), job.version),),
            puts=(Put(progress_row(job.job_id), dump_record(job.progress())),),
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
            if job.ending is None:
                self._dispatch.drop_job(job.job_id, "row_changed_by_another")
            return
        self._log.write("progress_stored", request=job.job_id, ends=len(ends))
        self._dispatch.acknowledge_stored_ends(job, ends)

    # Jobs that are not open at this entry: peers own them, or they have ended.

    async def cancel_unowned(self, job_id: str, row: Row) -> bool:
        """Cancel an open job that a peer owns, in the store; raises StoreError.

        Returns False if the row has changed meanwhile and must be read again.
        """
        found = load_record(row.value, OpenJob)
        record = EndedJob(found.queue, JobState.CANCELLED.value, found.owner, found.epoch + 1, ())
        transaction = _ending(job_id, row.version, record, True)
        result = await self._writer.write(job_part(job_id), transaction)
        if isinstance(result, Conflict) and not _is_own_write(result, record):
            return False
        self._log.write("job_cancelled", request=job_id, owner=found.owner, epoch=record.epoch)
        self.remember(job_id, record)
        # Agents refuse lower epochs of the job from now on, and tell the
        # owner of runs that they hold of it that it is lost.
        self._links.broadcast(JobsClaimed((JobEpoch(job_id, record.epoch),)))
        self._peers.notify_cancelled(found.owner, job_id, record.epoch)
        return True

    def resolve_unowned_end(self, place: Place, event: RunEvent) -> None:
        """Acknowledge a run's end if its job has ended; read the job's rows if that is unknown."""
        job_id = TaskName.parse(event.task).job_id
        known = self._known.get(job_id)
        if known is not None:
            self._acknowledge_end(place, event, known)
        elif job_id not in self._lookups and len(self._lookups) < MAX_UNOWNED_LOOKUPS:
            self._lookups.add(job_id)
            self._background.spawn(self._resolve_in_store(place, event, job_id))

    async def _resolve_in_store(self, place: Place, event: RunEvent, job_id: str) -> None:
        try:
            # The open row is read first: a job moves to the ended table, never back.
            opened = await self._store.read_row(open_row(job_id))
            ended = await self._store.read_row(ended_row(job_id))
            if ended is not None:
                self.remember(job_id, load_record(ended.value, EndedJob))
        except StoreError as error:
            self._log.write("lookup_failed", request=job_id, code=error.code)
            return
        finally:
            self._lookups.discard(job_id)
        if ended is not None:
            self._acknowledge_end(place, event, self._known[job_id])
        elif opened is None:
            self._dispatch.acknowledge_ends(place, (event.end_number,))

    def _acknowledge_end(self, place: Place, event: RunEvent, known: KnownEnd) -> None:
        """Acknowledge a run's end; a success whose task was run again, only as superseded.

        The agent then lets the runner's lease lapse first, so that the end does not count.
        """
        name = TaskName.parse(event.task)
        counted_attempt = known.counted_attempt(name.step, name.index)
        if event.detail == RunEnd.DONE.value and counted_attempt > event.attempt:
            message = EndsStored(place.runner_id, (), (event.end_number,))
            self._links.send(place.agent, message)
        else:
            self._dispatch.acknowledge_ends(place, (event.end_number,))


def _ending(job_id: str, version: int, record: EndedJob, has_progress: bool) -> Transaction:
    removals = [open_row(job_id)]
    if has_progress:
        removals.append(progress_row(job_id))
    return Transaction(
        expectations=(
            Expectation(open_row(job_id), version),
            Expectation(ended_row(job_id), ABSENT),
        ),
        puts=(Put(ended_row(job_id), dump_record(record)),),
        removals=tuple(removals),
    )


def _is_own_write(conflict: Conflict, record: EndedJob) -> bool:
    """Return whether the conflicting row is from an earlier write that got no answer."""
    return any(row.value == dump_record(record) for row in conflict.rows)


def _restarts(job: Job) -> tuple[Restart, ...]:
    first = first_attempt(job.epoch)
    return tuple(
        Restart(task.name.step, task.name.index, task.attempt)
        for task in job.tasks
        if task.attempt != first
    )
