"""Requests between entries, for what only the owner of a job knows."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable

from gapdrum.exceptions import StreamClosedError
from gapdrum.leases import EntryRecord
from gapdrum.messages import EntryHello, PeerHello, PeerReply, PeerRequest
from gapdrum.metrics import Metrics
from gapdrum.streams import Stream, open_stream
from gapdrum.task_set import TaskSet

REPLY_MARGIN_MS = 1_000
MS_PER_S = 1000

FOLLOW = "follow"
CANCEL = "cancel"
EXPLAIN = "explain"

Handler = Callable[[object, PeerRequest], Awaitable[str]]
HANDLERS: dict[str, Handler] = {}


def peer_handler(kind: str) -> Callable[[Handler], Handler]:
    """Register the handler of a kind of peer request; it gets the dispatcher and the request."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


class PeerLink:
    """A stream to one incarnation of another entry, with its pending requests."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.pending: dict[int, asyncio.Future] = {}

    async def receive(self) -> None:
        """Resolve requests by their replies until the stream ends, then fail the pending ones."""
        try:
            async for message in self.stream:
                if isinstance(message, PeerReply):
                    future = self.pending.pop(message.request_id, None)
                    if future is not None and not future.done():
                        future.set_result(message.document)
        finally:
            self.stream.close()
            for future in self.pending.values():
                if not future.done():
                    future.set_exception(StreamClosedError("the peer closed the stream"))


class PeerClient:
    """Sends requests to other entries, on streams that are opened on demand and reused."""

    def __init__(self, entry_id: str, token: str, metrics: Metrics, tls=None) -> None:
        self._hello = PeerHello(entry_id, token, 0)
        self._metrics = metrics
        self._tls = tls
        self._links: dict[tuple[str, str], PeerLink] = {}
        self._tasks = TaskSet()
        self._ids = itertools.count(1)

    async def send_request(self, record: EntryRecord, kind: str, job_id: str, wait_ms: int) -> str:
        """Return another entry's reply; raises StreamClosedError if none comes in time."""
        link = await self._link_to(record)
        request = PeerRequest(next(self._ids), kind, job_id, wait_ms)
        future = asyncio.get_running_loop().create_future()
        link.pending[request.request_id] = future
        link.stream.send(request)
        try:
            timeout_s = (wait_ms + REPLY_MARGIN_MS) / MS_PER_S
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise StreamClosedError("the peer did not reply in time") from error
        finally:
            link.pending.pop(request.request_id, None)

    async def _link_to(self, record: EntryRecord) -> PeerLink:
        key = (record.entry_id, record.incarnation)
        link = self._links.get(key)
        if link is not None and not link.stream.closed:
            return link
        stream = await open_stream(
            record.host,
            record.stream_port,
            self._metrics.sent,
            self._metrics.received,
            self._tls,
        )
        stream.send(self._hello)
        link = self._links[key] = PeerLink(stream)
        self._tasks.spawn(link.receive())
        return link


async def serve_peer(
    stream: Stream, messages: AsyncIterator, hello: EntryHello, dispatcher: object
) -> None:
    """Answer a peer's requests until it closes its stream."""
    stream.send(hello)
    tasks: set[asyncio.Task] = set()
    async for message in messages:
        if isinstance(message, PeerRequest) and message.kind in HANDLERS:
            task = asyncio.get_running_loop().create_task(_reply(stream, message, dispatcher))
            tasks.add(task)
            task.add_done_callback(tasks.discard)


async def _reply(stream: Stream, request: PeerRequest, dispatcher: object) -> None:
    document = await HANDLERS[request.kind](dispatcher, request)
    if not stream.closed:
        stream.send(PeerReply(request.request_id, document))
