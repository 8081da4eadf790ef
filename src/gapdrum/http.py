"""HTTP by cheroot: a registry of routes, JSON in and out, errors with codes.

Handlers run in cheroot's threads.  What they need of the event loop they call
through ``run_on_loop``.
"""

import asyncio
import json
import re
import threading
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import parse_qs

import attrs
from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter
from loguru import logger

from gapdrum.config import Address, Tls
from gapdrum.exceptions import (
    BodyTooLargeError,
    BodyTooSlowError,
    Finding,
    GapdrumError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
)

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
SOCKET_TIMEOUT_S = 5
KEPT_CONNECTIONS = 1_000
SERVER_REQUEST = "gapdrum.server_request"
JSON_TYPE = "application/json"
STATUS_TEXTS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@attrs.frozen
class Request:
    """An HTTP request as a handler gets it."""

    method: str
    path: str
    parts: dict[str, str]
    query: dict[str, str]
    body: bytes
    token: str = attrs.field(repr=False)

    def json(self) -> Any:
        """Return the body as JSON data; raises InvalidInputError with the place."""
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
        """Return a whole number from the query; raises InvalidInputError."""
        text = self.query.get(name, str(default))
        if not text.isdecimal() or len(text) > 12 or int(text) > maximum:
            finding = Finding(f"query {name}", f"expected a whole number up to {maximum}")
            raise InvalidInputError("the query has findings", findings=(finding,))
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
    """Routes by method and path pattern, filled by a decorator.

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
        """Return the handler and the path's parts; raises NotFoundError."""
        for route_method, pattern, handler in self._routes:
            match = pattern.match(path)
            if match and route_method == method:
                return handler, match.groupdict()
        raise NotFoundError(f"no such resource: {method} {path[:100]}")


class Gateway(wsgi.Gateway_10):
    """Hands the server's own request to the application, which may have to close it."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the server's request in it."""
        return {**super().get_environ(), SERVER_REQUEST: self.req}


class HttpServer:
    """A cheroot server in a thread of its own, serving a router."""

    def __init__(self, address: Address, router: Router, threads: int, tls: Tls | None = None):
        self._router = router
        self._server = wsgi.Server(
            (address.host, address.port),
            self._application,
            numthreads=threads,
            request_queue_size=256,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self._server.gateway = Gateway
        self._server.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADER_BYTES
        if tls is not None:
            self._server.ssl_adapter = BuiltinSSLAdapter(tls.certificate, tls.key)
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)

    def start(self) -> int:
        """Listen and serve; return the port."""
        self._server.prepare()
        self._thread.start()
        return self._server.bind_addr[1]

    def stop(self) -> None:
        """Stop serving after the requests in progress."""
        self._server.stop()

    def _application(self, environ: dict, start_response: Callable) -> list[bytes]:
        response = self._respond(environ)
        content = response.content
        if content is None:
            content = json.dumps(response.document).encode() + b"\n"
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(content))),
        ]
        if response.retry_after_ms is not None:
            seconds = -(-response.retry_after_ms // 1000)
            headers.append(("Retry-After", str(seconds)))
        text = STATUS_TEXTS.get(response.status, "Status")
        start_response(f"{response.status} {text}", headers)
        return [content]

    def _respond(self, environ: dict) -> Response:
        try:
            handler, parts = self._router.find(environ["REQUEST_METHOD"], environ["PATH_INFO"])
            return handler(_read_request(environ, parts))
        except GapdrumError as error:
            return error_response(error)
        except Exception as error:  # a defect: report it as such, and go on serving
            logger.exception("a handler failed")
            return error_response(GapdrumError(f"internal: {type(error).__name__}"))


def error_response(error: GapdrumError) -> Response:
    """Return the response for an error: code, message, findings and what is known."""
    document: dict[str, Any] = {"code": error.code, "message": error.message}
    if error.findings:
        document["findings"] = [attrs.asdict(finding) for finding in error.findings]
    if isinstance(error, RefusedError):
        document["run_state"] = "not_run" if error.not_run else "unknown"
    if error.retry_after_ms is not None:
        document["retry_after_ms"] = error.retry_after_ms
    return Response(document, error.http_status, retry_after_ms=error.retry_after_ms)


def run_on_loop(loop: asyncio.AbstractEventLoop, steps: Coroutine, timeout_s: float | None) -> Any:
    """Run a coroutine on the loop from a handler's thread and return its result."""
    future = asyncio.run_coroutine_threadsafe(steps, loop)
    try:
        return future.result(timeout_s)
    except TimeoutError:
        future.cancel()
        raise


def _read_request(environ: dict, parts: dict[str, str]) -> Request:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        raise InvalidInputError("the content length is not a number")
    if int(length) > MAX_BODY_BYTES:
        raise BodyTooLargeError(f"the body is larger than {MAX_BODY_BYTES} bytes")
    try:
        body = environ["wsgi.input"].read(int(length)) if int(length) else b""
    except OSError as error:
        # Else the server would wait for the rest of the body before it answers.
        environ[SERVER_REQUEST].close_connection = True
        raise BodyTooSlowError("the body did not arrive in time") from error
    if len(body) < int(length):
        raise InvalidInputError("the body ended early")
    query = {name: values[-1] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    token = token if scheme.lower() == "bearer" else ""
    return Request(
        environ["REQUEST_METHOD"], environ["PATH_INFO"], parts, query, body, token.strip()
    )
