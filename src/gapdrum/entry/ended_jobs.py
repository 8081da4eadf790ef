"""The jobs that this entry knows to have ended, and what follows for their runs and ends."""

from collections import OrderedDict

import attrs

from gapdrum.background import Background
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job, Place
from gapdrum.core.models import COUNTED_ENDS, JobState, RunEnd, TaskName
from gapdrum.core.orders import EndsStored, JobCancelled, JobEpoch, JobsCancelled, RunEvent
from gapdrum.core.records import (
    EndedJob,
    JobEnd,
    JobProgress,
    ended_row,
    entry_of_owner,
    failures_in,
    first_attempt,
    load_end,
    load_record,
    open_row,
    progress_row,
    restarts_in,
)
from gapdrum.entry.links import AgentLinks
from gapdrum.entry.peer_notifier import PeerNotifier
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import RecordError, StoreError

MAX_REMEMBERED_ENDS = 20_000  # 2 minutes at 150 jobs a second
MAX_UNOWNED_LOOKUPS = 16  # at a time; further ends are looked up later


@attrs.frozen
class KnownEnd:
    """An ended job, with the attempts whose ends count for its tasks.

    ``attempts`` has the lowest such attempt of each task among the restarts, ``failed`` the earlier
    ones whose failure was counted. ``is_complete`` is not set while they are unknown, so that the
    store is read before an end is acknowledged.
    """

    record: EndedJob
    attempts: dict[tuple[int, int], int]
    failed: dict[tuple[int, int], tuple[int, ...]]
    is_complete: bool

    def counts(self, step: int, index: int, attempt: int, end: RunEnd) -> bool:
        """Tell whether the end of an attempt may count for a task."""
        if end not in COUNTED_ENDS or attempt >= self.counted_attempt(step, index):
            return True
        return end is RunEnd.FAILED and attempt in self.failed.get((step, index), ())

    def counted_attempt(self, step: int, index: int) -> int:
        """Return the lowest attempt whose end counts for a task, 0 if that of any may count."""
        epoch = self.record.counted_epoch
        return self.attempts.get((step, index), first_attempt(epoch) if epoch else 0)


class EndedJobs:
    """Remembers ended jobs, stops what is left of them, and acknowledges the ends of their runs.

    An entry learns that a job has ended in several ways: by the answer to its own write, by a
    read, by a conflict or by a message. Each leads to ``apply``, as an answer may get lost.
    """

    def __init__(
        self,
        instance: str,
        store: StoreAccess,
        dispatch: Dispatch,
        links: AgentLinks,
        peers: PeerNotifier,
        log: EventLog,
    ) -> None:
        self._instance = instance
        self._store = store
        self._dispatch = dispatch
        self._links = links
        self._peers = peers
        self._log = log
        self._known: OrderedDict[str, KnownEnd] = OrderedDict()
        self._background = Background(log)
        self._lookups: set[str] = set()

    def known_state(self, job_id: str) -> JobState | None:
        """Return the final state of a job that this entry knows to have ended."""
        known = self._known.get(job_id)
        return known.record.job_state if known is not None else None

    def remember(self, job_id: str, end: JobEnd, is_complete: bool = False) -> None:
        """Keep the end of a job in memory; the oldest ones are dropped."""
        known = self._known.get(job_id)
        is_complete = is_complete or end.record.names_attempts
        if known is None or is_complete or not known.is_complete:
            attempts = {(row.step, row.index): row.attempt for row in end.record.restarts}
            failed = {(row.step, row.index): row.attempts for row in end.failures.tasks}
            self._known[job_id] = KnownEnd(end.record, attempts, failed, is_complete)
        while len(self._known) > MAX_REMEMBERED_ENDS:
            self._known.popitem(last=False)

    def apply(self, job_id: str, end: JobEnd) -> None:
        """Apply a job's stored end; repeating it does no harm.

        If this entry runs the job, it stops the runs. If the job was cancelled by another entry
        than its owner, the first call notifies the owner and the agents, as any of them may not
        have been notified before.
        """
        is_new = job_id not in self._known
        record = end.record
        self.remember(job_id, end)
        job = self._dispatch.jobs.get(job_id)
        # The owner that has stored the record itself completes the job with the answer.
        if job is not None and (record.owner, record.epoch) != (job.owner, job.epoch):
            self._drop_job(job)
        if is_new and record.job_state is JobState.CANCELLED and not record.counted_epoch:
            self._links.broadcast(JobsCancelled((JobEpoch(job_id, record.epoch),)))
            if entry_of_owner(record.owner) != self._instance:
                self._peers.notify_cancelled(record.owner, job_id, record.epoch)

    def apply_cancellation(self, cancelled: JobCancelled) -> None:
        """Apply the message of a peer or an agent that a job was cancelled in the store."""
        if cancelled.job_id not in self._known:
            state = JobState.CANCELLED.value
            record = EndedJob("", state, "", cancelled.epoch, ())
            self.remember(cancelled.job_id, JobEnd(record))
        self._dispatch.cancel_job(cancelled)

    def _drop_job(self, job: Job) -> None:
        if job.durable:
            self._dispatch.stop_runs(job)
            self._dispatch.drop_job(job.job_id, "ended_elsewhere")

    # Ends of runs whose job is not open here: peers own it, or it has ended.

    def resolve_unowned_end(self, place: Place, event: RunEvent) -> None:
        """Acknowledge a run's end if its job has ended; read the job's rows if that is unknown."""
        job_id = TaskName.parse(event.task).job_id
        known = self._known.get(job_id)
        if known is not None and (known.is_complete or RunEnd(event.detail) not in COUNTED_ENDS):
            self._acknowledge_end(place, event, known)
        elif job_id not in self._lookups and len(self._lookups) < MAX_UNOWNED_LOOKUPS:
            self._lookups.add(job_id)
            self._background.spawn(self._resolve_in_store(place, event, job_id))

    async def _resolve_in_store(self, place: Place, event: RunEvent, job_id: str) -> None:
        try:
            # The open row is read first: a job moves to the ended table, never back.
            opened = await self._store.read_row(open_row(job_id))
            ended = await self.read(job_id)
            if ended is not None:
                end = await self._add_attempts(job_id, ended)
                self.remember(job_id, end, is_complete=True)
        except RecordError as error:
            # Which attempts count stays unknown, and the runner's later ends wait for this one.
            self._log.write("row_unreadable", place=job_id, reason=error.message)
            self._acknowledge_superseded(place, event)
            return
        except StoreError as error:
            self._log.write("lookup_failed", request=job_id, code=error.code)
            return
        finally:
            self._lookups.discard(job_id)
        if ended is not None:
            self._acknowledge_end(place, event, self._known[job_id])
        elif opened is None:
            self._dispatch.acknowledge_ends(place, (event.end_number,))

    async def _add_attempts(self, job_id: str, end: JobEnd) -> JobEnd:
        """Return the end of a job with what its progress row tells of attempts.

        Raises StoreError and RecordError.
        """
        if end.record.names_attempts:
            return end
        row = await self._store.read_row(progress_row(job_id))
        if row is not None:
            return with_attempts(end, load_record(row.value, JobProgress))
        # What it told may have been moved from the progress row to the job's meanwhile.
        return await self.read(job_id) or end

    async def read(self, job_id: str) -> JobEnd | None:
        """Read and apply the end of a job, None if there is none; raises StoreError."""
        row = await self._store.read_row(ended_row(job_id))
        if row is None:
            return None
        end = load_end(row.value)
        self.apply(job_id, end)
        return end

    def _acknowledge_end(self, place: Place, event: RunEvent, known: KnownEnd) -> None:
        """Acknowledge a run's end, one that must not count only as superseded.

        The agent then lets the runner's lease lapse first, so that the end does not count.
        """
        name = TaskName.parse(event.task)
        counted_attempt = known.counted_attempt(name.step, name.index)
        counts = known.counts(name.step, name.index, event.attempt, RunEnd(event.detail))
        self._log.write(
            "unowned_end_settled",
            request=name.job_id,
            task=event.task,
            attempt=event.attempt,
            end=event.detail,
            state=known.record.state,
            counted_from=counted_attempt,
            counts=counts,
            runner=place.runner_id,
        )
        if counts:
            self._dispatch.acknowledge_ends(place, (event.end_number,))
        else:
            self._acknowledge_superseded(place, event)

    def _acknowledge_superseded(self, place: Place, event: RunEvent) -> None:
        self._links.send(place.agent, EndsStored(place.runner_id, (), (event.end_number,)))


def with_attempts(end: JobEnd, progress: JobProgress) -> JobEnd:
    """Return the end of a cancelled job with what its progress tells of attempts."""
    record = attrs.evolve(end.record, restarts=restarts_in(progress))
    return JobEnd(record, failures_in(progress))
