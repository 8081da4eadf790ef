"""The HTTP client of callers: a session that retries idempotent requests until answered."""

import itertools
import json
import time
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from gapdrum.conversion import structure, unstructure
from gapdrum.exceptions import Finding, GapdrumError, NotFoundError, RefusedError
from gapdrum.models import Answer, Submission

DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_RETRY_PAUSE_MS = 200
READ_MARGIN_S = 5
POOL_SIZE = 256
MS_PER_S = 1000


class Session:
    """Calls the entries over HTTP with one token.

    A submission is retried under the same key at the next entry, after a lost
    connection or a refusal with a retry time, so a caller gets one answer::

        with Session(["http://127.0.0.1:8080"], token="...") as session:
            answer = session.submit(submission)
    """

    def __init__(self, base_urls: list[str], token: str) -> None:
        self._base_urls = [url.rstrip("/") for url in base_urls]
        self._url_counter = itertools.count()
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def __enter__(self) -> "Session":
        """Return this session."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Close the connections."""
        self._pool.clear()

    def submit(self, submission: Submission, patience_ms: int = DEFAULT_TIMEOUT_MS) -> Answer:
        """Return the answer of a submission, retrying until it is known.

        Raises RefusedError or another error of ``exceptions`` if a retry can't
        help or if the timeout has passed.
        """
        body = json.dumps(unstructure(submission)).encode()
        deadline_s = time.monotonic() + patience_ms / MS_PER_S
        while True:
            left_ms = max(1, int((deadline_s - time.monotonic()) * MS_PER_S))
            status, document = self._request(
                "POST", f"/v1/jobs?wait_ms={min(left_ms, 120_000)}", body
            )
            if status == 200:
                return structure(document, Answer)
            pause_ms = document.get("retry_after_ms")
            if status != 202 and pause_ms is None:
                raise _build_error(status, document)
            if time.monotonic() + (pause_ms or 0) / MS_PER_S >= deadline_s:
                raise _build_error(status, document)
            time.sleep((pause_ms or DEFAULT_RETRY_PAUSE_MS) / MS_PER_S)

    def call(self, method: str, path: str, document: Any = None) -> Any:
        """Make one call and return its JSON document; raises the error of the response."""
        body = json.dumps(document).encode() if document is not None else None
        status, answer = self._request(method, path, body)
        if status not in (200, 202):
            raise _build_error(status, answer)
        return answer

    def _request(self, method: str, path: str, body: bytes | None) -> tuple[int, Any]:
        """Call the next entry; an unreachable entry is returned as status 503 with a retry time."""
        url = self._base_urls[next(self._url_counter) % len(self._base_urls)]
        try:
            response = self._pool.request(
                method,
                url + path,
                body=body,
                headers=self._headers,
                timeout=urllib3.Timeout(connect=2, read=120 + READ_MARGIN_S),
            )
            return response.status, json.loads(response.data)
        except (HTTPError, ValueError) as error:
            message = f"no response from {url}: {type(error).__name__}"
            document = {"code": "entry_unreachable", "message": message}
            return 503, {**document, "retry_after_ms": DEFAULT_RETRY_PAUSE_MS}


def _build_error(status: int, document: dict[str, Any]) -> GapdrumError:
    """Return the error of a response, with the server's code."""
    message = document.get("message", f"status {status}")
    retry_ms = document.get("retry_after_ms")
    if "run_state" in document:
        return RefusedError(
            document["code"],
            message,
            not_run=document["run_state"] == "not_run",
            http_status=status,
            retry_after_ms=retry_ms,
        )
    findings = tuple(Finding(**finding) for finding in document.get("findings", ()))
    error_class = NotFoundError if status == 404 else GapdrumError
    error = error_class(message, retry_after_ms=retry_ms, findings=findings)
    error.code = document.get("code", "unfinished")
    error.http_status = status
    return error
