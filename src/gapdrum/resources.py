"""The HTTP resources of an entry for callers: jobs and the decisions about them."""

import asyncio
from collections.abc import Coroutine
from threading import BoundedSemaphore

from gapdrum.conversion import structure, unstructure
from gapdrum.credentials import CALLER, OPERATOR, Credentials
from gapdrum.dispatcher import Dispatcher
from gapdrum.http import Request, Response, Router, run_on_loop
from gapdrum.models import MAX_DEADLINE_MS, Submission, job_id_for

DEFAULT_WAIT_MS = 60_000
CALLER_POLL_INTERVAL_MS = 200
CALL_TIMEOUT_S = 10
NONWAITING_THREADS = 8
MS_PER_S = 1000


class JobResources:
    """Handlers for submitting, fetching, cancelling and explaining jobs.

    ``NONWAITING_THREADS`` handler threads never wait for answers; if all other
    threads are waiting, further callers get the progress at once and poll.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: Dispatcher,
        credentials: Credentials,
        threads: int,
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._credentials = credentials
        self._waiting_slots = BoundedSemaphore(max(1, threads - NONWAITING_THREADS))

    def add_routes(self, router: Router) -> None:
        """Register the handlers."""
        router.route("POST", "/v1/jobs")(self.submit)
        router.route("GET", "/v1/jobs/{team}/{key}")(self.fetch)
        router.route("POST", "/v1/jobs/{team}/{key}/cancel")(self.cancel)
        router.route("GET", "/v1/jobs/{team}/{key}/decisions")(self.explain)

    def submit(self, request: Request) -> Response:
        """Submit a job and return its answer, or its progress and when to poll."""
        self._credentials.require(request.token, CALLER, OPERATOR)
        submission = structure(request.json(), Submission)
        self._credentials.require_team(request.token, submission.team)
        wait_ms = request.int_option("wait_ms", DEFAULT_WAIT_MS, MAX_DEADLINE_MS)
        coroutine = self._dispatcher.submit(submission)
        return self._wait_for_answer(coroutine, submission.job_id, wait_ms)

    def fetch(self, request: Request) -> Response:
        """Return the answer to a job, or its progress if there is no answer yet."""
        team, key = request.parts["team"], request.parts["key"]
        self._credentials.require_team(request.token, team)
        wait_ms = request.int_option("wait_ms", 0, MAX_DEADLINE_MS)
        job_id = job_id_for(team, key)
        return self._wait_for_answer(self._dispatcher.fetch(job_id, team), job_id, wait_ms)

    def cancel(self, request: Request) -> Response:
        """Cancel a job; its answer lists the tasks that had started."""
        team, key = request.parts["team"], request.parts["key"]
        self._credentials.require_team(request.token, team)
        self._call(self._dispatcher.cancel(job_id_for(team, key)))
        return Response({"cancelling": True}, 202)

    def explain(self, request: Request) -> Response:
        """Return the decisions about a job, or about one of its tasks."""
        team, key = request.parts["team"], request.parts["key"]
        self._credentials.require_team(request.token, team)
        decisions = self._call(self._dispatcher.explain(job_id_for(team, key)))
        task = request.query.get("task")
        if task is not None:
            decisions = [row for row in decisions if str(row.task) in (task, "-1")]
        return Response({"decisions": [unstructure(row) for row in decisions]})

    def _wait_for_answer(self, coroutine: Coroutine, job_id: str, wait_ms: int) -> Response:
        """Wait for an answer if a waiting slot is free; return the progress if none comes."""
        if not self._waiting_slots.acquire(blocking=False):
            wait_ms = 0
            acquired = False
        else:
            acquired = True
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            answer = future.result(max(wait_ms, 1) / MS_PER_S)
        except TimeoutError:
            return self._describe_progress(job_id)
        finally:
            if acquired:
                self._waiting_slots.release()
        return Response(unstructure(answer))

    def _describe_progress(self, job_id: str) -> Response:
        progress = self._call(self._get_progress(job_id))
        document = unstructure(progress) if progress else {"job_id": job_id, "state": "claiming"}
        return Response(document, 202, retry_after_ms=CALLER_POLL_INTERVAL_MS)

    async def _get_progress(self, job_id: str):
        return self._dispatcher.progress(job_id)

    def _call(self, coroutine: Coroutine):
        return run_on_loop(self._loop, coroutine, CALL_TIMEOUT_S)
