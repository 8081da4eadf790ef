"""Message streams over TCP: framing, bounded buffers and errors that close one stream only."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

from gapdrum.codec import Decoder, encode, message_name
from gapdrum.exceptions import FrameError, StreamClosedError

READ_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 2


class Stream:
    """One connection that carries messages both ways.

    Iterate to receive; ``send`` never waits.  What is sent in one turn of the loop goes out in
    one write at its end.  A peer that does not read until ``MAX_UNSENT_BYTES`` have gathered is
    cut off::

        async for message in stream:
            stream.send(reply_to(message))
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: Counter,
        received: Counter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._sent = sent
        self._received = received
        self._unwritten: list[bytes] = []
        self.closed = False

    def send(self, message: object) -> None:
        """Queue one message; raises StreamClosedError if the stream is gone or stuck."""
        if self.closed or self._writer.is_closing():
            raise StreamClosedError("the stream is closed")
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise StreamClosedError("the peer does not read")
        if not self._unwritten:
            asyncio.get_running_loop().call_soon(self._write)
        self._unwritten.append(encode(message))
        self._sent[message_name(message)] += 1

    def _write(self) -> None:
        """Hand what was sent in this turn to the connection."""
        frames = self._unwritten
        self._unwritten = []
        if frames and not self._writer.is_closing():
            self._writer.write(b"".join(frames))

    async def __aiter__(self) -> AsyncIterator[object]:
        """Yield messages until the peer closes; raises FrameError on a bad frame."""
        decoder = Decoder()
        while not self.closed:
            chunk = await self._read()
            if not chunk:
                return
            for message in decoder.feed(chunk):
                self._received[message_name(message)] += 1
                yield message

    def close(self) -> None:
        """Close the stream; what was sent before is still delivered if it can be."""
        self.closed = True
        self._write()
        self._writer.close()

    async def flush(self) -> None:
        """Wait until the peer's buffers have taken what was sent."""
        self._write()
        try:
            await self._writer.drain()
        except OSError as error:
            raise StreamClosedError("the stream broke") from error

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(READ_BYTES)
        except OSError:
            return b""


async def open_stream(
    host: str,
    port: int,
    sent: Counter,
    received: Counter,
    tls=None,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> Stream:
    """Connect to a stream listener; raises StreamClosedError if it can't be reached."""
    try:
        connecting = asyncio.open_connection(host, port, ssl=tls)
        reader, writer = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, TimeoutError) as error:
        raise StreamClosedError(f"no connection to {host}:{port}") from error
    return Stream(reader, writer, sent, received)


__all__ = ["FrameError", "Stream", "open_stream"]
