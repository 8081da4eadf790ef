"""An asyncio HTTP/1.1 listener: one protocol object per connection."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

from gapdrum.timers import Timers
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.transport.request_reader import (
    HttpLimits,
    ReceivedRequest,
    RejectedRequestError,
    RequestReader,
)

SWEEP_INTERVAL_MS = 250  # the longest delay until a connection's time-out is noticed
DISCARD_S = 0.5  # a rejected sender may finish writing, so that it gets the response and no reset
BACKLOG_CONNECTIONS = 512  # for bursts of new connections; a full backlog costs callers seconds

Handler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]


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
        self._reader: RequestReader | None = RequestReader(
            listener.limits, self._take_request, self._send_continue
        )
        self._waiting: list[tuple[HttpRequest, bool]] = []
        self._refused = False
        self._closed = asyncio.get_running_loop().create_future()
        self.busy = False
        self._reading_since_ms = 0
        self._idle_since_ms = listener.timers.now_ms()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._waiting.clear()
        self._refused = True
        self._release()
        if not self._closed.done():
            self._closed.set_result(None)

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        unparsed = memoryview(data)
        while unparsed and not self._refused:
            if not self._reading_since_ms:
                self._reading_since_ms = self._listener.timers.now_ms()
            try:
                consumed = self._reader.feed(unparsed)
            except RejectedRequestError as error:
                self._refuse(error.status, error.code)
                return
            unparsed = unparsed[consumed:]
            if not self._reader.is_inside_request:
                self._reading_since_ms = 0

    def eof_received(self) -> bool:
        """Reject a request that the sender has cut short; otherwise close the connection.

        A sender that waits for a response may be gone; closing lets the handler stop its work.
        """
        if self.busy:
            return False
        if self._reading_since_ms and not self._refused:
            self._refuse(400, "request_cut_short")
        return self._refused

    def _send_continue(self) -> None:
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take_request(self, received: ReceivedRequest) -> None:
        request = HttpRequest(
            received.method,
            received.target,
            received.headers,
            received.body,
            self._listener.timers.now_ms(),
            self._closed,
        )
        self._reading_since_ms = 0
        if self.busy:
            self._waiting.append((request, received.keep_alive))
        else:
            self._start(request, received.keep_alive)

    def _start(self, request: HttpRequest, keep_alive: bool) -> None:
        self.busy = True
        result = self._listener.handler(request)
        if isinstance(result, HttpResponse):
            self._answer(result, keep_alive)
        else:
            asyncio.ensure_future(self._finish(result, keep_alive))

    async def _finish(self, result: Awaitable[HttpResponse], keep_alive: bool) -> None:
        self._answer(await result, keep_alive)

    def _answer(self, response: HttpResponse, keep_alive: bool) -> None:
        self.busy = False
        self._idle_since_ms = self._listener.timers.now_ms()
        if self._transport.is_closing():
            return
        # Requests that were already read are answered before the connection closes.
        if (self._listener.closing or self._refused) and not self._waiting:
            keep_alive = False
        self._transport.write(response.encode(keep_alive))
        if response.close or not keep_alive:
            self._transport.close()
        elif self._waiting:
            self._start(*self._waiting.pop(0))

    def _refuse(self, status: int, code: str) -> None:
        """Reject a malformed request, and close the connection without a reset.

        Requests that were read before it are answered first. In this case the connection then
        closes without a response to the malformed one.
        """
        if self._refused:
            return
        self._refused = True
        self._release()
        self._listener.on_refused(status, code)
        if self.busy:
            return
        self._transport.write(json_response(status, {"code": code}).encode(False))
        asyncio.get_running_loop().call_later(DISCARD_S, self._transport.close)

    def _release(self) -> None:
        """Free the request that is being received."""
        if self._reader is not None:
            self._reader.close()
        self._reader = None

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
