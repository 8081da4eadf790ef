"""Accepts jobs: a job counts as accepted once its row is in the store."""

import asyncio
import enum
from collections.abc import Callable

from gapdrum.core.configuration import Queue
from gapdrum.core.jobs import Job, build_job
from gapdrum.core.models import Step
from gapdrum.core.records import (
    JobPolicy,
    OpenJob,
    dump_job,
    ended_row,
    job_part,
    load_record,
    open_row,
    step_row,
)
from gapdrum.core.rows import ABSENT, Committed, Conflict, Expectation, Put, Transaction
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.lease import Lease
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreOutcomeUnknownError, StoreRejectedError
from gapdrum.timers import MS_PER_S, Timers

# Callers time out after 1.5 s: before that, they are told to retry if an insert is unsettled.
ACCEPT_TIMEOUT_MS = 1_100
INSERT_RETRY_INTERVAL_MS = 300


class Acceptance(enum.Enum):
    """The outcome of a submission."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # the job has not run and will not run
    UNSETTLED = "unsettled"  # the job may have been accepted


class Acceptor:
    """Inserts the rows of new jobs, and repeats inserts that got no answer.

    An insert without an answer may take effect seconds later. It is repeated until the store
    reports that it took effect or that the job already exists, so no accepted job is lost. A
    job counts as refused only if no insert of it can still take effect.
    """

    def __init__(
        self,
        store: StoreAccess,
        writer: GroupCommitWriter,
        lease: Lease,
        timers: Timers,
        log: EventLog,
        on_accepted: Callable[[Job], None],
    ) -> None:
        self._store = store
        self._writer = writer
        self._lease = lease
        self._timers = timers
        self._log = log
        self._on_accepted = on_accepted
        self._inserts: dict[str, asyncio.Task] = {}

    def is_insert_pending(self, job_id: str) -> bool:
        """Return whether the outcome of a job's insert is not known yet."""
        return job_id in self._inserts

    async def accept(
        self, job_id: str, queue: Queue, spec: str, steps: tuple[Step, ...]
    ) -> Acceptance:
        """Insert a job; return the outcome, ``UNSETTLED`` if it is not known in time."""
        insert = self._inserts.get(job_id)
        if insert is None:
            insert = asyncio.ensure_future(self._insert(job_id, queue, spec, steps))
            self._inserts[job_id] = insert
            insert.add_done_callback(lambda _task: self._inserts.pop(job_id, None))
        done, _ = await asyncio.wait({insert}, timeout=ACCEPT_TIMEOUT_MS / MS_PER_S)
        if not done:
            self._log.write("job_unsettled", request=job_id, queue=queue.name)
            return Acceptance.UNSETTLED
        return insert.result()

    async def _insert(
        self, job_id: str, queue: Queue, spec: str, steps: tuple[Step, ...]
    ) -> Acceptance:
        began_ms = self._timers.now_ms()
        unanswered = False
        while True:
            owner = self._lease.owner
            record = initial_record(queue, spec, steps, owner, self._timers.wall_ms())
            insertion = _insertion(job_id, record, queue_policy(queue))
            try:
                result = await self._writer.write(job_part(job_id), insertion)
            except StoreOutcomeUnknownError:
                unanswered = True
            except StoreRejectedError as error:
                if not unanswered:
                    self._log.write("job_not_stored", request=job_id, reason=error.message)
                    return Acceptance.REFUSED
            else:
                self._handle_result(job_id, queue, record, result, began_ms)
                return Acceptance.ACCEPTED
            await asyncio.sleep(INSERT_RETRY_INTERVAL_MS / MS_PER_S)

    def _handle_result(
        self,
        job_id: str,
        queue: Queue,
        record: OpenJob,
        result: Committed | Conflict,
        began_ms: int,
    ) -> None:
        store_ms = self._timers.now_ms() - began_ms
        if isinstance(result, Committed):
            self._accept_job(job_id, queue, record, result.version, store_ms)
            return
        present = next((row for row in result.rows if row.at == open_row(job_id)), None)
        if present is not None and present.value is not None:
            found = load_record(present.value, OpenJob)
            if found.owner == record.owner and found.epoch == record.epoch:
                self._accept_job(job_id, queue, found, present.version, store_ms)
                return
        self._log.write("job_known", request=job_id, queue=queue.name, store_ms=store_ms)

    def _accept_job(
        self, job_id: str, queue: Queue, record: OpenJob, version: int, store_ms: int
    ) -> None:
        self._log.write(
            "job_accepted",
            request=job_id,
            queue=queue.name,
            tasks=sum(row.tasks for row in record.steps),
            version=version,
            store_ms=store_ms,
        )
        if record.owner != self._lease.owner:
            return  # the lease was lost meanwhile: a takeover scan finds the job
        now_ms = self._timers.now_ms()
        self._on_accepted(
            build_job(
                job_id,
                record,
                version,
                now_ms - store_ms,
                durable=True,
                policy=queue_policy(queue),
            )
        )


def initial_record(
    queue: Queue, spec: str, steps: tuple[Step, ...], owner: str, wall_ms: int
) -> OpenJob:
    """Return the record of a new job under its first owner."""
    return OpenJob(
        queue=queue.name,
        upstream=queue.upstream,
        spec=spec,
        owner=owner,
        epoch=1,
        accepted_wall_ms=wall_ms,
        steps=tuple(step_row(step) for step in steps),
    )


def queue_policy(queue: Queue) -> JobPolicy:
    """Return the policy of the jobs that a queue accepts."""
    return JobPolicy(
        queue.failure_limit,
        queue.priority,
        queue.latency_factor,
        queue.latency_slack_ms,
        queue.host,
        queue.prefix,
        queue.version,
    )


def _insertion(job_id: str, record: OpenJob, policy: JobPolicy) -> Transaction:
    return Transaction(
        expectations=(
            Expectation(open_row(job_id), ABSENT),
            Expectation(ended_row(job_id), ABSENT),
        ),
        puts=(Put(open_row(job_id), dump_job(record, policy)),),
    )
