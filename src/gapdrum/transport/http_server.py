"""An asyncio HTTP/1.1 listener: one protocol object per connection."""

import asyncio
import select
import socket
import ssl
from collections import deque
from collections.abc import Awaitable, Callable

from gapdrum.client_limits import derive_client_limits
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.client_buffers import ClientBuffers, default_buffers
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
ACCEPTED_PER_TURN = 32  # connections, before those above the limit are closed
READ_BYTES = 16 * 1024  # read at a time, and ahead of the request that is being answered
UNREAD_ANSWER_BYTES = 16 * 1024  # from which on a connection's next request waits
# Of each connection, in the kernel. Received bytes that are not read yet use the machine's memory.
KERNEL_BUFFER_BYTES = 32 * 1024
REQUESTS_PER_TURN = 16  # of one connection, before others have their turn
EVICTED_AT_ONCE = 16  # connections that are closed to make room for new ones
# A connection that was used so recently is closed only if there is no other: its request may be
# on its way.
RECENTLY_USED_MS = 1_000
REFUSED_CONNECTIONS = 32  # beyond the limit, until their refusal is written
OVERLOAD_RETRY_S = 1
LARGE_REQUEST_BYTES = 16 * 1024  # such requests are refused while the buffers are full
NOTHING = memoryview(b"")
GONE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

Handler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]


class HttpListener:
    """Accepts connections at one address and passes complete requests to a handler.

    All listeners of a process share its ``buffers``::

        listener = HttpListener(handle, HttpLimits(), timers, buffers, max_connections=1_000)
        await listener.open("10.0.0.1", 8080)
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        timers: Timers,
        buffers: ClientBuffers | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.timers = timers
        self.buffers = buffers if buffers is not None else default_buffers()
        self.max_connections = max_connections or derive_client_limits().caller_connections
        self.closing = False
        self.connections: set[_Connection] = set()
        # All connections read into it, as each copies what it keeps at once.
        self.receive_buffer = memoryview(bytearray(READ_BYTES))
        # Called for each request that is rejected before it reaches the handler.
        self.on_refused: Callable[[int, str], None] = lambda _status, _code: None
        # Called for each connection that is closed without a response.
        self.on_closed: Callable[[str], None] = lambda _reason: None
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Listen, and return the port; raises OSError if the address is in use."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, port), family=family)
        # Accepted connections inherit these.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        handshake_s = self.limits.header_timeout_ms / MS_PER_S if tls is not None else None
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self),
            sock=listening,
            backlog=ACCEPTED_PER_TURN,
            ssl=tls,
            ssl_handshake_timeout=handshake_s,
        )
        listening.listen(BACKLOG_CONNECTIONS)  # asyncio has set its ``backlog``
        self.timers.subscribe(SWEEP_INTERVAL_MS, self._sweep)
        return listening.getsockname()[1]

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

    def admit(self, connection: "_Connection") -> bool:
        """Add a new connection, and close others if there are too many.

        Return whether its requests may be served: not if all others wait for answers.
        """
        if len(self.connections) >= self.max_connections:
            self._evict()
        has_room = len(self.connections) < self.max_connections
        self.connections.add(connection)
        return has_room

    def _evict(self) -> None:
        """Close connections that wait for no answer, those without a request first."""
        ranked = [(one.eviction_rank(), one) for one in self.connections]
        evictable = sorted(
            ((rank, one) for rank, one in ranked if rank is not None), key=lambda pair: pair[0]
        )
        recent_ms = self.timers.now_ms() - RECENTLY_USED_MS
        for number, ((_, since_ms), connection) in enumerate(evictable[:EVICTED_AT_ONCE]):
            if number and since_ms > recent_ms:
                continue
            self.on_closed("too_many_connections")
            connection.abort()

    def _sweep(self) -> None:
        now_ms = self.timers.now_ms()
        for connection in list(self.connections):
            connection.enforce_timeouts(now_ms)


class _Connection(asyncio.BufferedProtocol):
    """One caller's connection; pipelined requests are answered in order.

    While a request is answered, the next one is read, and what follows it stays unparsed; beyond
    ``READ_BYTES`` of that the connection is not read. The same holds while answers are unread.
    """

    def __init__(self, listener: HttpListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._reader: RequestReader | None = RequestReader(
            listener.limits, self._take_request, self._send_continue
        )
        self._unparsed = NOTHING
        self._waiting: deque[ReceivedRequest] = deque()
        self._answering: asyncio.Future | None = None
        self._answered: HttpRequest | None = None
        self._answered_bytes = 0  # held by the request that is being answered, beside its body
        self._refused = False
        self._discarded_bytes = 0
        self._reading_paused = False
        self._writing_paused = False
        self._turn_pending = False
        self._turning = False
        self._unread_bytes = 0  # of answers, when they were last checked
        self._unread_since_ms = 0
        self._closed = asyncio.get_running_loop().create_future()
        self.busy = False
        self._reading_since_ms = 0
        self._idle_since_ms = listener.timers.now_ms()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(UNREAD_ANSWER_BYTES)
        if not self._listener.admit(self):
            if len(self._listener.connections) > (
                self._listener.max_connections + REFUSED_CONNECTIONS
            ):
                self._listener.on_closed("too_many_connections")
                self.abort()
                return
            self._refuse(502, "too_many_connections", OVERLOAD_RETRY_S)

    def connection_lost(self, _error: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._waiting.clear()
        self._refused = True
        self._release()
        self._listener.buffers.charge(self, 0)
        if not self._closed.done():
            self._closed.set_result(None)

    def get_buffer(self, _size_hint: int) -> memoryview:
        return self._listener.receive_buffer

    def buffer_updated(self, received_bytes: int) -> None:
        self.data_received(bytes(self._listener.receive_buffer[:received_bytes]))

    def data_received(self, data: bytes) -> None:
        if self._refused:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > 2 * self._listener.limits.max_body_bytes:
                self._stop_discarding()
            return
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self._take_turn()

    def eof_received(self) -> bool:
        """Reject a request that the sender has cut short; otherwise close the connection.

        A sender that waits for a response may be gone; closing lets the handler stop its work.
        """
        if self.busy:
            return False
        if self._reading_since_ms and not self._refused:
            self._refuse(400, "request_cut_short")
        return self._refused

    def pause_writing(self) -> None:
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._take_turn()

    # Requests.

    def _take_turn(self) -> None:
        """Parse and answer requests as far as possible, but only a few in one turn."""
        self._turn_pending = False
        if self._turning:
            return
        self._turning = True
        try:
            for _ in range(REQUESTS_PER_TURN):
                if not self._advance():
                    break
            else:
                self._schedule_turn()
        finally:
            self._turning = False
        self._adjust_reading()
        self._charge()

    def _schedule_turn(self) -> None:
        if not self._turn_pending:
            self._turn_pending = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _advance(self) -> bool:
        """Answer the next request, or parse up to its end; return whether there was one."""
        if self._writing_paused or self._transport.is_closing():
            return False
        if not self._waiting:
            self._parse()
        if not self._waiting or self.busy:
            return False
        if self._waiting[0].held_bytes > LARGE_REQUEST_BYTES and self._is_without_room():
            self._waiting.clear()
            if self._refused:  # what follows the request was dropped first
                self._write_refusal(502, "too_many_bytes", OVERLOAD_RETRY_S)
            else:
                self._refuse(502, "too_many_bytes", OVERLOAD_RETRY_S)
            return False
        self._start(self._waiting.popleft())
        return True

    def _parse(self) -> None:
        """Parse until a request is complete or all is parsed."""
        while self._unparsed and not self._waiting and not self._refused:
            if not self._reading_since_ms:
                self._reading_since_ms = self._listener.timers.now_ms()
            try:
                consumed = self._reader.feed(self._unparsed)
            except RejectedRequestError as error:
                self._refuse(error.status, error.code)
                return
            self._unparsed = self._unparsed[consumed:]
            if not self._reader.is_inside_request:
                self._reading_since_ms = 0

    def _take_request(self, request: ReceivedRequest) -> None:
        self._reading_since_ms = 0
        self._waiting.append(request)

    def _send_continue(self) -> None:
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start(self, received: ReceivedRequest) -> None:
        self.busy = True
        self._answered_bytes = received.held_bytes - len(received.body)
        request = self._answered = HttpRequest(
            received.method,
            received.target,
            received.headers,
            received.body,
            self._listener.timers.now_ms(),
            self._closed,
        )
        try:
            result = self._listener.handler(request)
        except BaseException:
            self.abort()  # the error is logged as that of a callback
            raise
        if isinstance(result, HttpResponse):
            self._answer(result, received.keep_alive)
        else:
            self._answering = asyncio.ensure_future(self._finish(result, received.keep_alive))

    async def _finish(self, result: Awaitable[HttpResponse], keep_alive: bool) -> None:
        try:
            response = await result
        except BaseException:
            self.abort()  # the error is logged as that of a task
            raise
        self._answer(response, keep_alive)
        self._take_turn()

    def _answer(self, response: HttpResponse, keep_alive: bool) -> None:
        self.busy = False
        self._answering = self._answered = None
        self._answered_bytes = 0
        self._idle_since_ms = self._listener.timers.now_ms()
        if self._transport.is_closing():
            return
        # Requests that were already read are answered before the connection closes.
        is_last = not self._waiting and not self._unparsed
        if self._refused or self._listener.closing:
            keep_alive = keep_alive and not is_last
        self._transport.write(response.encode(keep_alive))
        if self._reading_paused and not keep_alive:
            asyncio.get_running_loop().call_later(DISCARD_S, self._end)
        elif response.close or not keep_alive:
            self._close()

    def _refuse(self, status: int, code: str, retry_after_s: int = 0) -> None:
        """Reject a malformed request, and close the connection without a reset.

        Requests that were read before it are answered first. In this case the connection then
        closes without a response to the malformed one.
        """
        if self._refused:
            return
        self._refused = True
        self._reading_since_ms = 0
        self._release()
        self._listener.on_refused(status, code)
        if not self.busy and not self._waiting:
            self._write_refusal(status, code, retry_after_s)

    def _write_refusal(self, status: int, code: str, retry_after_s: int) -> None:
        """Write a refusal, and close the connection once its peer may have read it."""
        document = {"code": code}
        if retry_after_s:
            document["retry_after_s"] = retry_after_s
        response = json_response(status, document, retry_after_s=retry_after_s)
        self._transport.write(response.encode(False))
        asyncio.get_running_loop().call_later(DISCARD_S, self._end)

    def _release(self) -> None:
        """Free the request that is being received."""
        if self._reader is not None:
            self._reader.close()
        self._reader = None
        self._unparsed = NOTHING

    def _stop_discarding(self) -> None:
        """Read no more of a rejected sender: end the connection, or wait for its last answer."""
        if self.busy or self._waiting:
            self._pause_reading()
        else:
            self._end()

    def _end(self) -> None:
        """Close the connection, even if its peer does not read the answer."""
        if self._count_unread():
            self.abort()
        else:
            self._close()

    def _close(self) -> None:
        """Close the connection once its peer has read all answers."""
        if not self._transport.is_closing():
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        self._listener.connections.discard(self)
        self._transport.abort()

    # Flow control.

    def _adjust_reading(self) -> None:
        """Read only as far ahead as ``READ_BYTES``, and keep no more than what is unparsed."""
        if len(self._unparsed) < len(self._unparsed.obj):
            self._unparsed = memoryview(bytes(self._unparsed)) if self._unparsed else NOTHING
        if self._transport.is_closing() or self._refused:
            return
        if len(self._unparsed) > READ_BYTES:
            self._pause_reading()
        elif self._reading_paused and not self._unparsed:
            self._reading_paused = False
            self._transport.resume_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self._transport.is_closing():
            self._reading_paused = True
            self._transport.pause_reading()

    def _is_peer_gone(self) -> bool:
        """Tell whether the peer has closed a connection that is not read."""
        connection = self._transport.get_extra_info("socket")
        if connection is None or connection.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(connection.fileno(), GONE_EVENTS)
        return bool(poll.poll(0))

    # Buffers.

    def _held_by_reading(self) -> int:
        reading = self._reader.held_bytes if self._reader is not None else 0
        return reading + len(self._unparsed)

    def _count_unread(self) -> int:
        """Return the bytes of answers that this process still holds."""
        return 0 if self._closed.done() else self._transport.get_write_buffer_size()

    def _charge(self) -> None:
        held = self._held_by_reading() + self._answered_bytes
        if self._answered is not None:
            held += len(self._answered.body)
        held += sum(request.held_bytes for request in self._waiting)
        if not self._closed.done():
            self._listener.buffers.charge(self, held + self._count_unread())

    def _is_without_room(self) -> bool:
        """Tell whether the buffers are full though all unfinished requests were dropped."""
        self._charge()
        return self._listener.buffers.is_full

    def droppable_bytes(self) -> int:
        """Return what ``drop_buffers`` would free; see ``Holder``."""
        return self._held_by_reading() + self._count_unread()

    def drop_buffers(self) -> None:
        """Reject the request that is being received, or end the connection; see ``Holder``."""
        if self._count_unread() > self._held_by_reading():
            self._listener.on_closed("answers_unread")
            self.abort()
        else:
            # Not a 503, after which callers give a job up: it may have been submitted before.
            self._refuse(502, "too_many_bytes", OVERLOAD_RETRY_S)
        self._charge()

    # Time-outs.

    def eviction_rank(self) -> tuple[int, int] | None:
        """Return the order in which connections make room for new ones, None if never."""
        if self.busy:
            return None
        if self._refused or self._transport.is_closing():
            return (0, self._idle_since_ms)
        if self._unread_since_ms:
            return (2, self._unread_since_ms)
        if self._reading_since_ms:
            return (3, self._reading_since_ms)
        return (1, self._idle_since_ms)

    def enforce_timeouts(self, now_ms: int) -> None:
        """Close the connection if its peer is too slow or has been idle for too long."""
        limits = self._listener.limits
        if self._check_unread(now_ms):
            return
        if self._reading_paused and self._is_peer_gone():
            self._close()
            return
        if self._refused or self._transport.is_closing():
            return
        if self._reading_since_ms and (self._waiting or self._writing_paused):
            self._reading_since_ms = now_ms  # this end does not read on
        reading_ms = now_ms - self._reading_since_ms if self._reading_since_ms else 0
        if reading_ms > limits.header_timeout_ms:
            self._refuse(408, "request_too_slow")
            return
        if now_ms - self._idle_since_ms > limits.idle_timeout_ms:
            self.close_if_idle()

    def _check_unread(self, now_ms: int) -> bool:
        """Abort a connection whose peer has read nothing for too long; return whether it was."""
        unread_bytes = self._count_unread()
        if not unread_bytes or unread_bytes < self._unread_bytes or not self._unread_since_ms:
            self._unread_since_ms = now_ms if unread_bytes else 0
        if unread_bytes != self._unread_bytes or self.busy:
            self._unread_bytes = unread_bytes
            self._charge()
        if now_ms - (self._unread_since_ms or now_ms) <= self._listener.limits.idle_timeout_ms:
            return False
        self._listener.on_closed("answers_unread")
        self.abort()
        return True

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read or answered."""
        has_requests = self.busy or self._waiting or self._unparsed
        if not has_requests and not self._reading_since_ms:
            self._close()
