"""An asyncio HTTP/1.1 listener: one protocol object per connection, parsed by httptools."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import attrs
import httptools

from gapdrum.timers import Timers
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response

SWEEP_INTERVAL_MS = 250  # the longest delay until a connection's time-out is noticed
DISCARD_S = 0.5  # a rejected sender may finish writing, so that it gets the response and no reset
BACKLOG_CONNECTIONS = 512  # for bursts of new connections; a full backlog costs callers seconds

Handler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]


@attrs.define
class HttpLimits:
    """Limits on requests and connections; they may change while connections are open."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000  # from the first byte of a request to the end of its body
    idle_timeout_ms: int = 15_000


class HttpListener:
    """Accepts connections at one address and passes complete requests to a handler.

    ::

        listener = HttpListener(handle, HttpLimits(), timers)
        await listener.open("10.0.0.1", 8080)
    """

    def __init__(self, handler: Handler, limits: HttpLimits, timers: Timers) -> None:
        self.handler = handler
        self.limits = limits
        self.timers = timers
        self.closing = False
        self.connections: set[_Connection] = set()
        # Called for each request that is rejected before it reaches the handler.
        self.on_refused: Callable[[int, str], None] = lambda _status, _code: None
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Listen, and return the port; raises OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG_CONNECTIONS, ssl=tls
        )
        self.timers.subscribe(SWEEP_INTERVAL_MS, self._sweep)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def start_closing(self) -> None:
        """Keep serving requests, but close each connection after its next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def busy_connections(self) -> int:
        """Return how many connections have a request that is not answered yet."""
        return sum(connection.busy for connection in self.connections)

    def _sweep(self) -> None:
        now_ms = self.timers.now_ms()
        for connection in list(self.connections):
            connection.enforce_timeouts(now_ms)


class _Connection(asyncio.Protocol):
    """One caller's connection; pipelined requests are answered in order."""

    def __init__(self, listener: HttpListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: list[HttpRequest] = []
        self._refused = False
        self._closed = asyncio.get_running_loop().create_future()
        self.busy = False
        self._reading_since_ms = 0
        self._idle_since_ms = listener.timers.now_ms()
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._in_headers = True
        self._body: list[bytes] = []
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._waiting.clear()
        self._refused = True
        if not self._closed.done():
            self._closed.set_result(None)

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        if not self._reading_since_ms:
            self._reading_since_ms = self._listener.timers.now_ms()
        if self._in_headers:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrade_unsupported")
        except httptools.HttpParserError:
            self._refuse(400, "malformed_request")
        else:
            if self._in_headers and self._header_bytes > self._listener.limits.max_header_bytes:
                self._refuse(431, "headers_too_large")

    def eof_received(self) -> bool:
        """Reject a request that the sender has cut short; otherwise close the connection.

        A sender that waits for a response may be gone; closing lets the handler stop its work.
        """
        if self.busy:
            return False
        if self._reading_since_ms and not self._refused:
            self._refuse(400, "request_cut_short")
        return self._refused

    # Callbacks of the parser, under the names that httptools requires.

    def on_message_begin(self) -> None:
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self._in_headers = False
        limits = self._listener.limits
        size = sum(len(name) + len(value) + 4 for name, value in self._headers.items())
        if size + len(self._target) > limits.max_header_bytes:
            self._refuse(431, "headers_too_large")
            return
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._refuse(413, "body_too_large")
        elif self._headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.limits.max_body_bytes:
            self._refuse(413, "body_too_large")
        elif not self._refused:
            self._body.append(body)

    def on_message_complete(self) -> None:
        if self._refused:
            return
        now_ms = self._listener.timers.now_ms()
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            now_ms,
            self._closed,
        )
        self._reading_since_ms = 0
        self._in_headers = True
        self._header_bytes = 0
        if self.busy:
            self._waiting.append(request)
        else:
            self._start(request)

    def _start(self, request: HttpRequest) -> None:
        self.busy = True
        result = self._listener.handler(request)
        if isinstance(result, HttpResponse):
            self._answer(result)
        else:
            asyncio.ensure_future(self._finish(result))

    async def _finish(self, result: Awaitable[HttpResponse]) -> None:
        self._answer(await result)

    def _answer(self, response: HttpResponse) -> None:
        self.busy = False
        self._idle_since_ms = self._listener.timers.now_ms()
        if self._transport.is_closing():
            return
        # Requests that were already read are answered before the connection closes.
        ends = (self._listener.closing or self._refused) and not self._waiting
        keep_alive = (self._refused or self._parser.should_keep_alive()) and not ends
        self._transport.write(response.encode(keep_alive))
        if response.close or not keep_alive:
            self._transport.close()
        elif self._waiting:
            self._start(self._waiting.pop(0))

    def _refuse(self, status: int, code: str) -> None:
        """Reject a malformed request, and close the connection without a reset.

        Requests that were read before it are answered first. In this case the connection then
        closes without a response to the malformed one.
        """
        if self._refused:
            return
        self._refused = True
        self._listener.on_refused(status, code)
        if self.busy:
            return
        self._transport.write(json_response(status, {"code": code}).encode(False))
        asyncio.get_running_loop().call_later(DISCARD_S, self._transport.close)

    def enforce_timeouts(self, now_ms: int) -> None:
        """Close the connection if its sender is too slow or has been idle for too long."""
        limits = self._listener.limits
        if self._refused or self._transport.is_closing():
            return
        reading_ms = now_ms - self._reading_since_ms if self._reading_since_ms else 0
        if reading_ms > limits.header_timeout_ms:
            self._refuse(408, "request_too_slow")
            return
        if now_ms - self._idle_since_ms > limits.idle_timeout_ms:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read or answered."""
        if not self.busy and not self._reading_since_ms:
            self._transport.close()
