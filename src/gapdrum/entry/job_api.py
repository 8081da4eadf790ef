"""The HTTP API for callers: submit, show and cancel jobs, and count those that wait."""

import asyncio
import math
import random

from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.jobs import Job, longest_chain_ms
from gapdrum.core.models import JobState
from gapdrum.core.planned_shutdown import PlannedShutdown
from gapdrum.core.records import open_row
from gapdrum.entry.acceptance import Acceptance, Acceptor
from gapdrum.entry.admission import Admission
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.entry.ended_jobs import EndedJobs
from gapdrum.entry.job_ends import JobEndRecorder
from gapdrum.entry.lease import Lease
from gapdrum.entry.open_tasks import OpenTaskLimit
from gapdrum.entry.store_access import StoreAccess
from gapdrum.entry.waiting_callers import Caller, WaitingCallers
from gapdrum.event_log import EventLog
from gapdrum.exceptions import GapdrumError, StoreError
from gapdrum.platform.submissions import (
    SubmittedJob,
    decode_job,
    decode_wait_limit_ms,
    is_job_id,
    state_response,
    waiting_response,
)
from gapdrum.timers import MS_PER_S
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.transport.refusal_counts import RefusalCounts

# Retry delay of refused callers, as outages of the store last seconds.
RETRY_AFTER_S = 1
# Random addition to the retry delay, which spreads callers refused in a burst; bursts last about
# four seconds.
RETRY_SPREAD_S = 3
# The caller's id of one HTTP call; users report this id or the job's.
CALL_HEADER = "request-id"
CANCEL_TRIES = 8
CANCEL_PAUSE_MS = 50


class JobApi:
    """Answers callers' HTTP requests; an answer states only what is known of a job."""

    def __init__(
        self,
        configuration: ConfigurationWatch,
        dispatch: Dispatch,
        acceptor: Acceptor,
        admission: Admission,
        callers: WaitingCallers,
        job_ends: JobEndRecorder,
        ended_jobs: EndedJobs,
        store: StoreAccess,
        lease: Lease,
        log: EventLog,
        open_tasks: OpenTaskLimit,
    ) -> None:
        self._configuration = configuration
        self._dispatch = dispatch
        self._acceptor = acceptor
        self._admission = admission
        self._callers = callers
        self._job_ends = job_ends
        self._ended_jobs = ended_jobs
        self._store = store
        self._lease = lease
        self._log = log
        self._open_tasks = open_tasks
        self.refusals = RefusalCounts(log)
        self._shutdown: PlannedShutdown | None = None

    def leave(self, shutdown: PlannedShutdown) -> None:
        """Refuse jobs from now on, except those that ``_accepts_in_shutdown`` admits."""
        self._shutdown = shutdown

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        try:
            return await self._route(request)
        except GapdrumError as error:
            return self._answer_error(request, error)
        except Exception as error:  # a bug here: the caller must learn that nothing is known
            self._log.write("request_crashed", path=request.path, error=repr(error)[:300])
            return json_response(502, {"code": "internal_error"})

    def _answer_error(self, request: HttpRequest, error: GapdrumError) -> HttpResponse:
        self._log.write(
            "request_rejected",
            path=request.path,
            status=error.http_status,
            code=error.code,
            reason=error.message[:200],
            findings=[finding.place for finding in error.findings][:8],
        )
        document = {
            "code": error.code,
            "message": error.message,
            "findings": [[finding.place, finding.message] for finding in error.findings],
        }
        retry_after_s = RETRY_AFTER_S if error.http_status == 503 else 0
        return json_response(error.http_status, document, retry_after_s=retry_after_s)

    async def _route(self, request: HttpRequest) -> HttpResponse:
        configuration = await self._configuration.first()
        if configuration is None:
            self.refusals.count(503, "no_configuration")
            return _refusal(503, "no_configuration", RETRY_AFTER_S)
        path = request.path.partition("?")[0]
        queue = configuration.find_queue(_host(request), path)
        if queue is None:
            self._log.write(
                "queue_unknown", path=path, method=request.method, version=configuration.version
            )
            return json_response(404, {"code": "queue_unknown"})
        name = path[len(queue.prefix) :]
        if not name and request.method == "GET":
            return self._count_waiting(queue)
        if not is_job_id(name):
            return self._reject(404, "no_such_path")
        if request.method == "POST":
            return await self._submit(request, queue, name)
        if request.method == "GET":
            return await self._show(name)
        if request.method == "DELETE":
            return await self._cancel(name)
        return self._reject(405, "method_unknown")

    def _reject(self, status: int, code: str) -> HttpResponse:
        self.refusals.count(status, code)
        return json_response(status, {"code": code})

    def _count_waiting(self, queue: Queue) -> HttpResponse:
        own = self._dispatch.count_waiting().get(queue.name, 0)
        return waiting_response(own + self._lease.waiting_at_peers(queue.name))

    # Submission.

    async def _submit(self, request: HttpRequest, queue: Queue, job_id: str) -> HttpResponse:
        self._log.write(
            "job_submitted",
            request=job_id,
            call=request.headers.get(CALL_HEADER, ""),
            queue=queue.name,
            configuration=self._configuration.current.version,
        )
        job = decode_job(request.take_body())
        known = job_id in self._dispatch.jobs or self._ended_jobs.known_state(job_id) is not None
        if known and not job.answered_at_end:
            self._log.write("job_known", request=job_id, queue=queue.name, store_ms=0)
            return json_response(200, {})
        # A caller that resubmits a job known here must not be answered that it has not run.
        is_resubmission = job.answered_at_end and self._callers.knows(job_id)
        refusal = None if is_resubmission else self._refuse(request, queue, job_id, job)
        if refusal is not None:
            return refusal
        if job.answered_at_end:
            return await self._run_to_end(request, queue, job_id, job)
        with self._open_tasks.storing(job.steps):
            acceptance = await self._acceptor.accept(job_id, queue, job.spec, job.steps)
        if acceptance is Acceptance.ACCEPTED:
            return json_response(200, {})
        if acceptance is Acceptance.REFUSED:
            return self._log_refusal(job_id, queue, 503, "store_unavailable", RETRY_AFTER_S)
        return json_response(504, {"code": "unsettled"}, retry_after_s=RETRY_AFTER_S)

    async def _run_to_end(
        self, request: HttpRequest, queue: Queue, job_id: str, job: SubmittedJob
    ) -> HttpResponse:
        wait_limit_ms = decode_wait_limit_ms(request.headers)
        caller = Caller(request.closed, request.received_ms, wait_limit_ms)
        end = await self._callers.run(job_id, queue, job.spec, job.steps, caller)
        if end.state is not None:
            return state_response(end.state)
        if end.not_run:
            return _refusal(503, "no_room_in_time", _spread_retry_s(0))
        return json_response(504, {"code": "unsettled"}, retry_after_s=RETRY_AFTER_S)

    def _refuse(
        self, request: HttpRequest, queue: Queue, job_id: str, job: SubmittedJob
    ) -> HttpResponse | None:
        """Return the refusal of a job that is not stored yet, None if it is admitted."""
        if self._shutdown is not None and not self._accepts_in_shutdown(request, queue, job):
            # Not a 503, after which callers give a job up: other entries can serve this one.
            return self._log_refusal(job_id, queue, 502, "leaving", RETRY_AFTER_S)
        if not job.answered_at_end and not self._store.up:
            return self._log_refusal(job_id, queue, 503, "store_unavailable", RETRY_AFTER_S)
        if not job.answered_at_end and not self._lease.valid:
            return self._log_refusal(job_id, queue, 503, "lease_not_held", RETRY_AFTER_S)
        if job.answered_at_end and self._admission.is_unschedulable(queue, job.steps):
            return self._log_refusal(job_id, queue, 503, "zones_drained", RETRY_AFTER_S)
        if not self._open_tasks.has_room(job.steps):
            retry_after_s = _spread_retry_s(0)
            return self._log_refusal(job_id, queue, 429, "too_many_open_tasks", retry_after_s)
        overload = self._admission.check_overload(queue, job.steps)
        if overload is not None:
            self._log.write(
                "wait_estimated",
                request=job_id,
                wait_ms=overload.wait_ms,
                begin_within_ms=overload.begin_within_ms,
                waiting_jobs=overload.waiting_jobs,
                free_cpu_milli=overload.free_cpu_milli,
            )
            retry_after_s = _spread_retry_s(overload.wait_ms)
            return self._log_refusal(job_id, queue, 429, "overloaded", retry_after_s)
        return None

    def _accepts_in_shutdown(self, request: HttpRequest, queue: Queue, job: SubmittedJob) -> bool:
        """Return whether this entry takes a job during its shutdown.

        A durable job is handed over with its runs, so only its row must be written in time.
        """
        if not job.answered_at_end:
            return self._lease.valid
        chain_ms = longest_chain_ms(job.steps)
        objective_ms = queue.objective_ms(chain_ms)
        return self._shutdown.accepts_job(request.received_ms, chain_ms, objective_ms)

    def _log_refusal(
        self,
        job_id: str,
        queue: Queue,
        status: int,
        reason: str,
        retry_after_s: int,
    ) -> HttpResponse:
        self._log.write(
            "job_refused",
            request=job_id,
            queue=queue.name,
            reason=reason,
            status=status,
            retry_after_s=retry_after_s,
        )
        return _refusal(status, reason, retry_after_s)

    # Queries.

    async def _show(self, job_id: str) -> HttpResponse:
        state = self._ended_jobs.known_state(job_id)
        if state is None:
            state = await self._find_state(job_id)
        if state is None:
            return json_response(410, {"code": "no_such_job"})
        return state_response(state)

    async def _find_state(self, job_id: str) -> JobState | None:
        job = self._dispatch.jobs.get(job_id)
        if job is not None and (self._lease.valid or not job.durable):
            return JobState.RUNNING if job.begun else JobState.PENDING
        # The open row is read first: a job moves to the ended table, never back.
        opened = await self._store.read_row(open_row(job_id))
        if opened is not None:
            return JobState.RUNNING
        end = await self._ended_jobs.read(job_id)
        return None if end is None else end.record.job_state

    # Cancellation.

    async def _cancel(self, job_id: str) -> HttpResponse:
        """Cancel a job; raises StoreError if the outcome is not known in time."""
        for _ in range(CANCEL_TRIES):
            if self._has_ended(job_id):
                return json_response(200, {})
            job = self._dispatch.jobs.get(job_id)
            if job is not None and job.ending is None:
                job.ending = JobState.CANCELLED
                self._log.write("job_cancelled", request=job_id, owner=job.owner, epoch=job.epoch)
                await self._end_cancelled(job)
            elif job is None and await self._cancel_in_store(job_id):
                return json_response(200, {})
            elif job is None and await self._find_state(job_id) is None:
                return json_response(410, {"code": "no_such_job"})
            else:
                await asyncio.sleep(CANCEL_PAUSE_MS / MS_PER_S)
        raise StoreError("the cancellation could not be settled")

    def _has_ended(self, job_id: str) -> bool:
        return self._ended_jobs.known_state(job_id) is not None or self._callers.has_ended(job_id)

    async def _end_cancelled(self, job: Job) -> None:
        if job.durable:
            await self._job_ends.finish(job)
        else:
            self._callers.complete_job(job)

    async def _cancel_in_store(self, job_id: str) -> bool:
        row = await self._store.read_row(open_row(job_id))
        return row is not None and await self._job_ends.cancel_unowned(job_id, row)


def _host(request: HttpRequest) -> str:
    return request.headers.get("host", "").partition(":")[0].lower()


def _spread_retry_s(wait_ms: int) -> int:
    """Return the retry delay of a caller that is refused as overload.

    It is randomized, so that callers refused within one second retry over several.
    """
    return max(RETRY_AFTER_S, math.ceil(wait_ms / MS_PER_S)) + random.randrange(RETRY_SPREAD_S)


def _refusal(status: int, code: str, retry_after_s: int) -> HttpResponse:
    document = {"code": code, "not_run": True, "retry_after_s": retry_after_s}
    return json_response(status, document, retry_after_s=retry_after_s)
