"""The HTTP server of a process: a router, JSON requests and responses, errors with codes.

Handlers run in a pool of threads.  They call code of the process's event loop through
``run_on_loop``.
"""

import asyncio
import json
import re
import ssl
import threading
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs
from loguru import logger

from gapdrum.client_limits import ClientLimits, derive_client_limits
from gapdrum.config import Address, Tls
from gapdrum.exceptions import (
    Finding,
    GapdrumError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
)
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.client_buffers import ClientBuffers
from gapdrum.transport.http_messages import JSON_TYPE, HttpRequest, HttpResponse
from gapdrum.transport.http_server import HttpListener
from gapdrum.transport.request_reader import HttpLimits

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
# Time to receive a whole request; callers are programs, which send a request at once.
REQUEST_TIMEOUT_MS = 5_000
# Callers that poll reuse a connection within seconds; one that is idle longer is closed.
CONNECTION_IDLE_MS = 60_000
# Time for peers to read the last responses before the process ends.
STOP_WAIT_MS = 1_000
STOP_CHECK_INTERVAL_MS = 10


@attrs.frozen
class Request:
    """An HTTP request as it is passed to a handler."""

    method: str
    path: str
    parts: dict[str, str]
    query: dict[str, str]
    body: bytes
    token: str = attrs.field(repr=False)

    def json(self) -> Any:
        """Return the body as JSON data; raises InvalidInputError with the place of an error."""
        try:
            return json.loads(self.body)
        except json.JSONDecodeError as error:
            place = f"line {error.lineno} column {error.colno}"
            raise InvalidInputError(
                "the body is not JSON", findings=(Finding(place, error.msg),)
            ) from error
        except (UnicodeDecodeError, RecursionError) as error:
            raise InvalidInputError("the body is not JSON") from error

    def int_option(self, name: str, default: int, maximum: int) -> int:
        """Return an integer parameter of the query; raises InvalidInputError."""
        text = self.query.get(name, str(default))
        if not text.isdecimal() or len(text) > 12 or int(text) > maximum:
            finding = Finding(f"query {name}", f"expected a whole number up to {maximum}")
            raise InvalidInputError("the query is not valid", findings=(finding,))
        return int(text)


@attrs.frozen
class Response:
    """What a handler returns: a JSON document, or raw content of another type."""

    document: Any = None
    status: int = 200
    content: bytes | None = None
    content_type: str = JSON_TYPE
    retry_after_ms: int | None = None


Handler = Callable[[Request], Response]


class Router:
    """Finds a handler by method and path pattern; handlers are registered by a decorator.

    ::

        @router.route("GET", "/v1/jobs/{team}/{key}")
        def show_job(request): ...

    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern, Handler]] = []

    def route(self, method: str, pattern: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``{name}`` matches one part of the path, ``{name*}`` the rest."""
        expression = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", pattern)
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", expression)
        compiled = re.compile(expression + r"\Z")

        def register(handler: Handler) -> Handler:
            self._routes.append((method, compiled, handler))
            return handler

        return register

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]]:
        """Return the handler and the matched parts of the path; raises NotFoundError."""
        for route_method, pattern, handler in self._routes:
            match = pattern.match(path)
            if match and route_method == method:
                return handler, match.groupdict()
        raise NotFoundError(f"no such resource: {method} {path[:100]}")


class HttpServer:
    """Serves a router: an event loop in one thread does all I/O, handlers run in a thread pool.

    So a slow sender delays no other request.
    """

    def __init__(
        self,
        address: Address,
        router: Router,
        threads: int,
        limits: ClientLimits,
        tls: Tls | None = None,
    ) -> None:
        self._address = address
        self._router = router
        self._tls = _build_context(tls) if tls is not None else None
        self._pool = ThreadPoolExecutor(threads, "http-handler")
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="http", daemon=True)
        self._timers = Timers()
        http_limits = HttpLimits(
            MAX_HEADER_BYTES, MAX_BODY_BYTES, REQUEST_TIMEOUT_MS, CONNECTION_IDLE_MS
        )
        buffers = ClientBuffers(limits.buffer_bytes)
        self._listener = HttpListener(
            self._handle, http_limits, self._timers, buffers, limits.caller_connections
        )
        self._listener.on_refused = lambda status, code: self._count(f"refused {status} {code}")
        self._listener.on_closed = lambda reason: self._count(f"closed {reason}")
        self._counts: Counter[str] = Counter()

    def start(self) -> int:
        """Listen and serve; return the port. Raises OSError if the address is in use."""
        self._thread.start()
        opening = self._listener.open(self._address.host, self._address.port, self._tls)
        return run_on_loop(self._loop, opening, None)

    def stop(self) -> None:
        """Answer the received requests, close all connections and stop serving."""
        run_on_loop(self._loop, self._close(), None)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    async def _close(self) -> None:
        self._listener.start_closing()
        self._listener.close_idle()
        deadline_ms = self._timers.now_ms() + STOP_WAIT_MS
        while self._listener.connections and self._timers.now_ms() < deadline_ms:
            await asyncio.sleep(STOP_CHECK_INTERVAL_MS / MS_PER_S)
        self._listener.close()
        self._timers.stop()

    def _count(self, what: str) -> None:
        """Count a request that no handler sees, or a closed connection; logged once a second."""
        if not self._counts:
            self._timers.call_after(MS_PER_S, self._log_counts)
        self._counts[what] += 1

    def _log_counts(self) -> None:
        counts, self._counts = self._counts, Counter()
        for what, count in counts.items():
            logger.info("connections: {} {} times", what, count)

    def _handle(self, request: HttpRequest) -> Awaitable[HttpResponse]:
        return asyncio.get_running_loop().run_in_executor(self._pool, self._respond, request)

    def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            target = urlsplit(request.path)
            path = unquote(target.path)
            handler, parts = self._router.find(request.method, path)
            response = handler(_read_request(request, path, target.query, parts))
        except GapdrumError as error:
            response = error_response(error)
        except Exception as error:  # a bug in a handler must not stop the server
            logger.exception("HTTP handler failed")
            response = error_response(GapdrumError(f"internal: {type(error).__name__}"))
        return _encode_response(response)


def build_client_limits(memory_mb: int, max_fds: int) -> ClientLimits:
    """Return the limits of a process that serves the product's own interface."""
    return derive_client_limits(memory_mb, max_fds, MAX_HEADER_BYTES + MAX_BODY_BYTES)


def _build_context(tls: Tls) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def _encode_response(response: Response) -> HttpResponse:
    content = response.content
    if content is None:
        content = json.dumps(response.document).encode() + b"\n"
    retry_after_s = -(-(response.retry_after_ms or 0) // MS_PER_S)
    return HttpResponse(response.status, content, response.content_type, retry_after_s)


def error_response(error: GapdrumError) -> Response:
    """Return the response for an error: code, message, findings, run state and retry time."""
    document: dict[str, Any] = {"code": error.code, "message": error.message}
    if error.findings:
        document["findings"] = [attrs.asdict(finding) for finding in error.findings]
    if isinstance(error, RefusedError):
        document["run_state"] = "not_run" if error.not_run else "unknown"
    if error.retry_after_ms is not None:
        document["retry_after_ms"] = error.retry_after_ms
    return Response(document, error.http_status, retry_after_ms=error.retry_after_ms)


def run_on_loop(
    loop: asyncio.AbstractEventLoop, coroutine: Coroutine, timeout_s: float | None
) -> Any:
    """Run a coroutine on the event loop from another thread and return its result."""
    future = asyncio.run_coroutine_threadsafe(coroutine, loop)
    try:
        return future.result(timeout_s)
    except TimeoutError:
        future.cancel()
        raise


def _read_request(
    request: HttpRequest, path: str, query_text: str, parts: dict[str, str]
) -> Request:
    query = {name: values[-1] for name, values in parse_qs(query_text).items()}
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    token = token if scheme.lower() == "bearer" else ""
    return Request(request.method, path, parts, query, request.body, token.strip())
