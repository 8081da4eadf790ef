"""The HTTP resources of an entry for callers: jobs and the decisions on them."""

import asyncio
from collections.abc import Coroutine
from threading import BoundedSemaphore

from gapdrum.conversion import structure, unstructure
from gapdrum.credentials import CALLER, OPERATOR, Credentials
from gapdrum.dispatcher import Dispatcher
from gapdrum.http import Request, Response, Router, run_on_loop
from gapdrum.models import MAX_DEADLINE_MS, Submission, job_id_for

DEFAULT_WAIT_MS = 60_000
POLL_AFTER_MS = 200
SHORT_CALL_S = 10
RESERVED_THREADS = 8
MS_PER_S = 1000


class JobResources:
    """Handlers for submitting, fetching, cancelling and explaining jobs.

    At most as many requests wait for answers as leave some threads free; the
    others are told at once to poll.
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
        self._waits = BoundedSemaphore(max(1, threads - RESERVED_THREADS))

    def add_routes(self, router: Router) -> None:
        """Register the handlers."""
        router.route("POST", "/v1/jobs")(self.submit)
        router.route("GET", "/v1/jobs/{team}/{key}")(self.fetch)
        router.route("POST", "/v1/jobs/{team}/{key}/cancel")(self.cancel)
        router.route("GET", "/v1/jobs/{team}/{key}/decisions")(self.explain)

    def submit(self, request: Request) -> Response:
        """Take a submission and answer it, or tell when to ask for the answer."""
        self._credentials.require(request.token, CALLER, OPERATOR)
        submission = structure(request.json(), Submission)
        self._credentials.require_team(request.token, submission.team)
        wait_ms = request.int_option("wait_ms", DEFAULT_WAIT_MS, MAX_DEADLINE_MS)
        steps = self._dispatcher.submit(submission)
        return self._wait(steps, submission.job_id, wait_ms)

    def fetch(self, request: Request) -> Response:
        """Return the answer of a job, or its progress."""
        team, key = request.parts["team"], request.parts["key"]
        self._credentials.require_team(request.token, team)
        wait_ms = request.int_option("wait_ms", 0, MAX_DEADLINE_MS)
        job_id = job_id_for(team, key)
        return self._wait(self._dispatcher.fetch(job_id, team), job_id, wait_ms)

    def cancel(self, request: Request) -> Response:
        """Cancel a job; its answer tells what had started."""
        team, key = request.parts["team"], request.parts["key"]
        self._credentials.require_team(request.token, team)
        self._call(self._dispatcher.cancel(job_id_for(team, key)))
        return Response({"cancelling": True}, 202)

    def explain(self, request: Request) -> Response:
        """Return the decisions on a job, or on one of its tasks."""
        team, key = request.parts["team"], request.parts["key"]
        self._credentials.require_team(request.token, team)
        decisions = self._call(self._dispatcher.explain(job_id_for(team, key)))
        task = request.query.get("task")
        if task is not None:
            decisions = [row for row in decisions if str(row.task) in (task, "-1")]
        return Response({"decisions": [unstructure(row) for row in decisions]})

    def _wait(self, steps: Coroutine, job_id: str, wait_ms: int) -> Response:
        """Wait for an answer in a thread that may wait; else hand out the progress."""
        if not self._waits.acquire(blocking=False):
            wait_ms = 0
            held = False
        else:
            held = True
        future = asyncio.run_coroutine_threadsafe(steps, self._loop)
        try:
            answer = future.result(max(wait_ms, 1) / MS_PER_S)
        except TimeoutError:
            return self._describe_progress(job_id)
        finally:
            if held:
                self._waits.release()
        return Response(unstructure(answer))

    def _describe_progress(self, job_id: str) -> Response:
        progress = self._call(self._ask_progress(job_id))
        document = unstructure(progress) if progress else {"job_id": job_id, "state": "claiming"}
        return Response(document, 202, retry_after_ms=POLL_AFTER_MS)

    async def _ask_progress(self, job_id: str):
        return self._dispatcher.progress(job_id)

    def _call(self, steps: Coroutine):
        return run_on_loop(self._loop, steps, SHORT_CALL_S)
