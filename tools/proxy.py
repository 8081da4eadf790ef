"""A loopback proxy that delays, silences, cuts in one direction, resets or rejects connections."""

import asyncio
import socket
import struct
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
HOLD_POLL_S = 0.02
PASS, DELAY, SILENT, ONE_WAY = "pass", "delay", "silent", "one_way"
MODES = (DELAY, SILENT, ONE_WAY)
# Each call is rejected: answered with an HTTP status, or its connection is reset.
UNAVAILABLE, TOO_MANY, RESET = "503", "429", "reset"
REJECTIONS = (UNAVAILABLE, TOO_MANY, RESET)


class Proxy:
    """Forwards connections to one port; ``mode`` may change at any time.

    ``delay`` holds each chunk for ``delay_s``, ``silent`` holds all data, and ``one_way`` holds
    the data from the target. Held data is forwarded when the mode ends. The rejections answer each
    HTTP call themselves, and nothing of it is forwarded. With a ``parity`` the mode applies to
    every second connection, so that a process loses only some of its connections, and with
    ``only`` to those whose first chunk contains these bytes, such as the name of a process.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.mode = PASS
        self.delay_s = 0.0
        self.parity: int | None = None
        self.only = b""
        self._first: dict[int, bytes] = {}  # chunk of each connection
        self._accepted = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(asyncio.start_server(self._accept, HOST, self.port))
        self._ready.set()
        self._loop.run_forever()

    def close(self) -> None:
        """Stop the proxy and end all connections."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel_all(self) -> None:
        self._reset_all()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        self._loop.call_soon_threadsafe(self._reset_all)

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            if not writer.is_closing():
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        number = self._accepted
        self._accepted += 1
        to_target = self._forward(reader, target[1], number, source=writer)
        from_target = self._forward(target[0], writer, number)
        try:
            await asyncio.gather(to_target, from_target)
        except asyncio.CancelledError:
            return  # on close; otherwise asyncio prints a traceback for the stream's task
        self._writers -= {writer, target[1]}
        self._first.pop(number, None)

    def _mode_of(self, number: int) -> str:
        applies = self.parity in (None, number % 2) and self.only in self._first.get(number, b"")
        return self.mode if applies else PASS

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        source: asyncio.StreamWriter | None = None,
    ) -> None:
        """Forward one direction; ``source`` answers the caller, None for data from the target."""
        held_modes = (SILENT, ONE_WAY) if source is None else (SILENT,)
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if source is not None:
                    self._first.setdefault(number, chunk)
                if self._mode_of(number) == DELAY:
                    await asyncio.sleep(self.delay_s)
                while self._mode_of(number) in held_modes:
                    await asyncio.sleep(HOLD_POLL_S)
                if source is not None and self._mode_of(number) in REJECTIONS:
                    _reject(chunk, source, self._mode_of(number))
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()  # passes the reset on to the other side
            if source is not None:
                source.transport.abort()
        finally:
            writer.close()


def _reject(chunk: bytes, writer: asyncio.StreamWriter, mode: str) -> None:
    """Reject the HTTP call that begins with a chunk; later chunks of its body are ignored."""
    if mode == RESET:
        raise OSError("reset")
    if chunk.startswith((b"GET ", b"POST ")):
        writer.write(f"HTTP/1.1 {mode} Rejected\r\nContent-Length: 0\r\n\r\n".encode())
