"""Message streams over TCP, with framing and bounded buffers; an error closes one stream only."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable

from gapdrum.codec import MAX_FRAME_BYTES, Decoder, encode, message_name
from gapdrum.exceptions import FrameError, StreamClosedError

READ_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 2
# Of a peer that has not introduced itself.
INTRODUCTION_BYTES = 16 * 1024
INTRODUCTION_TIMEOUT_S = 5


class Stream:
    """One connection that carries messages in both directions.

    Iterate over the stream to receive; ``send`` never blocks.  All messages sent in one iteration
    of the event loop go out in one write.  The stream is closed if its peer reads so slowly that
    more than ``MAX_UNSENT_BYTES`` are unsent::

        async for message in stream:
            stream.send(reply_to(message))
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: Counter,
        received: Counter,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._decoder = Decoder(max_frame_bytes)
        # What follows an introduction, and arrives with it, may exceed the introduction's limit.
        self._read_bytes = min(READ_BYTES, max_frame_bytes)
        self._reader = reader
        self._writer = writer
        self._sent = sent
        self._received = received
        self._queued_frames: list[bytes] = []
        self.closed = False

    def send(self, message: object) -> None:
        """Queue one message; raises StreamClosedError if the stream is closed or full."""
        if self.closed or self._writer.is_closing():
            raise StreamClosedError("the stream is closed")
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise StreamClosedError("the peer reads too slowly: the send buffer is full")
        if not self._queued_frames:
            asyncio.get_running_loop().call_soon(self._write)
        self._queued_frames.append(encode(message))
        self._sent[message_name(message)] += 1

    def _write(self) -> None:
        """Write the messages queued in this iteration of the event loop to the connection."""
        frames = self._queued_frames
        self._queued_frames = []
        if frames and not self._writer.is_closing():
            self._writer.write(b"".join(frames))

    async def __aiter__(self) -> AsyncIterator[object]:
        """Yield messages until the peer closes; raises FrameError on an invalid frame."""
        while not self.closed:
            chunk = await self._read()
            if not chunk:
                return
            for message in self._decoder.feed(chunk):
                self._received[message_name(message)] += 1
                yield message

    def allow_large_frames(self) -> None:
        """Allow frames of ``MAX_FRAME_BYTES`` from here on: the peer is known."""
        self._decoder.allow_large_frames()
        self._read_bytes = READ_BYTES

    def close(self) -> None:
        """Close the stream; messages that were sent before are still delivered if possible."""
        self.closed = True
        self._write()
        self._writer.close()

    async def flush(self) -> None:
        """Wait until the write buffer has drained; raises StreamClosedError."""
        self._write()
        try:
            await self._writer.drain()
        except OSError as error:
            raise StreamClosedError("the connection was lost") from error

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(self._read_bytes)
        except OSError:
            return b""


class StrangerStreams:
    """Accepted streams whose peers have not introduced themselves; their number is limited.

    A new one beyond the limit closes the oldest, as processes introduce themselves at once::

        strangers = StrangerStreams(64)
        stream = strangers.accept(reader, writer, sent, received)
        introduction = await strangers.receive_introduction(stream, messages)
    """

    def __init__(self, max_streams: int) -> None:
        self._max_streams = max_streams
        self._streams: dict[Stream, None] = {}
        # Called for each stream that is closed as there are too many.
        self.on_closed: Callable[[str], None] = lambda _reason: None

    def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: Counter,
        received: Counter,
    ) -> Stream:
        """Return the stream of a new connection."""
        while len(self._streams) >= self._max_streams:
            oldest = next(iter(self._streams))
            del self._streams[oldest]
            oldest.close()
            self.on_closed("too_many_strangers")
        stream = Stream(reader, writer, sent, received, INTRODUCTION_BYTES)
        self._streams[stream] = None
        return stream

    async def receive_introduction(self, stream: Stream, messages: AsyncIterator) -> object:
        """Return a stream's first message, None if it closes; raises FrameError without one."""
        try:
            first = await asyncio.wait_for(anext(messages, None), INTRODUCTION_TIMEOUT_S)
        except TimeoutError as error:
            raise FrameError("the peer has not introduced itself in time") from error
        finally:
            self._streams.pop(stream, None)
        stream.allow_large_frames()
        return first


async def open_stream(
    host: str,
    port: int,
    sent: Counter,
    received: Counter,
    tls=None,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> Stream:
    """Connect to a stream listener; raises StreamClosedError if that fails."""
    try:
        connecting = asyncio.open_connection(host, port, ssl=tls)
        reader, writer = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, TimeoutError) as error:
        raise StreamClosedError(f"can't connect to {host}:{port}") from error
    return Stream(reader, writer, sent, received)


__all__ = ["FrameError", "Stream", "StrangerStreams", "open_stream"]
