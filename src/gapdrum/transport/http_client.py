"""An asyncio HTTP/1.1 client with keep-alive connections; one request at a time on each."""

import asyncio
from collections.abc import Mapping

import httptools

from gapdrum.exceptions import GapdrumError
from gapdrum.timers import MS_PER_S
from gapdrum.transport.http_messages import JSON_TYPE, HttpReply

CONNECT_TIMEOUT_MS = 500  # a round trip is under 10 ms; a lost SYN costs 1 s


class NotSentError(GapdrumError):
    """No connection could be opened, so nothing of the request was sent."""

    code = "not_sent"
    http_status = 503


class RefusedConnectionError(NotSentError):
    """Nothing listens at the address."""

    code = "connection_refused"


class NoReplyError(GapdrumError):
    """The request was sent and got no reply: it may have taken effect, or may yet do so."""

    code = "no_reply"
    http_status = 504


class TimedOutError(NoReplyError):
    """No reply arrived in time, while the connection seemed open."""


class HttpClient:
    """Calls one address over a pool of keep-alive connections.

    ::

        client = HttpClient("10.0.0.9", 8169)
        reply = await client.call("GET", "/rows-get?table=open", timeout_ms=500)
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[_ClientConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        timeout_ms: int,
    ) -> HttpReply:
        """Make one call; raises NotSentError or NoReplyError."""
        connection = self._take_idle() or await self._connect(min(timeout_ms, CONNECT_TIMEOUT_MS))
        sent_s = asyncio.get_running_loop().time()
        try:
            reply = await connection.exchange(
                self._encode(method, path, body, headers), timeout_ms / MS_PER_S
            )
        except TimedOutError:
            connection.close()
            self._close_silent(sent_s)
            raise
        except BaseException:
            connection.close()
            raise
        if connection.reusable:
            self._idle.append(connection)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _close_silent(self, since_s: float) -> None:
        """Close the idle connections that received nothing since a request that timed out.

        All connections may go silent at once while new ones work. Each idle one would then
        cost another time-out: with 3 open, 3 calls of 3 failed without this, and 1 with it.
        """
        for connection in self._idle:
            if connection.last_received_s < since_s:
                connection.close()
        self._idle = [one for one in self._idle if one.reusable]

    def _take_idle(self) -> "_ClientConnection | None":
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        return None

    async def _connect(self, timeout_ms: int) -> "_ClientConnection":
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(_ClientConnection, self._host, self._port)
        try:
            _, connection = await asyncio.wait_for(connecting, timeout_ms / MS_PER_S)
        except ConnectionRefusedError as error:
            raise RefusedConnectionError(f"{self._host}:{self._port} refused") from error
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {self._host}:{self._port}") from error
        return connection

    def _encode(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str] | None
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"host: {self._host}:{self._port}"]
        if body:
            lines.append(f"content-type: {JSON_TYPE}")
        if body or method != "GET":
            lines.append(f"content-length: {len(body)}")
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class _ClientConnection(asyncio.Protocol):
    """One keep-alive connection."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reply: asyncio.Future | None = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._lost = False
        self.last_received_s = 0.0

    @property
    def reusable(self) -> bool:
        """Tell whether another request may be sent."""
        return not self._lost and not self._transport.is_closing() and self._reply is None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def connection_lost(self, _error: Exception | None) -> None:
        self._lost = True
        self._fail(NoReplyError("the connection was lost"))

    def close(self) -> None:
        """Abort the connection and the exchange in progress."""
        self._transport.abort()

    async def exchange(self, request: bytes, timeout_s: float) -> HttpReply:
        """Send one request and wait for its reply; raises NoReplyError."""
        loop = asyncio.get_running_loop()
        self._reply = loop.create_future()
        timer = loop.call_later(
            timeout_s, self._fail, TimedOutError("no reply within the time-out")
        )
        self._transport.write(request)
        try:
            return await self._reply
        finally:
            timer.cancel()
            self._reply = None

    def _fail(self, error: NoReplyError) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_exception(error)

    def data_received(self, data: bytes) -> None:
        self.last_received_s = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(NoReplyError("the reply is malformed"))
            self._transport.abort()

    # Callbacks of the parser, under the names that httptools requires.

    def on_message_begin(self) -> None:
        self._headers = {}
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        if not self._parser.should_keep_alive():
            self._transport.close()
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(HttpReply(status, self._headers, b"".join(self._body)))
