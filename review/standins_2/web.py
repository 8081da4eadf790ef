"""A minimal HTTP/1.1 server and client over asyncio, with JSON bodies."""

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
FIRST_PORT = 13_000  # below the ephemeral range
PORT_BLOCKS = 180
BLOCK_PORTS = 100

# A handler gets method, path, headers and body, and returns status, document and headers. A status
# of 0 leaves the call without an answer.
Reply = tuple[int, object, dict[str, str]]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Reply]]

# Cases that run at the same time take different blocks.
_ports = iter(range(FIRST_PORT + os.getpid() % PORT_BLOCKS * BLOCK_PORTS, 32_768))


def free_port() -> int:
    """Return a free port, each only once."""
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class WebServer:
    """Serves one address; ``close`` resets all connections, as a crash does."""

    def __init__(self, handler: Handler, port: int) -> None:
        self._handler = handler
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def close(self) -> None:
        """Refuse connections from now on, and drop the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_message(reader)
                if request is None:
                    return
                line, headers, body = request
                method, path, _ = line.split(" ", 2)
                status, document, extra = await self._handler(method, path, headers, body)
                if not status:
                    await asyncio.sleep(3_600)
                writer.write(_encode_reply(status, document, extra))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return  # the caller has gone, or the case has ended
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read one request or response; None at the end of the connection."""
    head = await reader.readline()
    if not head.strip():
        return None
    headers = {}
    while (line := (await reader.readline()).decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head.decode("latin-1").strip(), headers, body


def _encode_reply(status: int, document: object, extra: dict[str, str]) -> bytes:
    body = json.dumps(document).encode()
    lines = [f"HTTP/1.1 {status} Status", "Content-Type: application/json"]
    lines += [f"Content-Length: {len(body)}", *(f"{name}: {text}" for name, text in extra.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    port: int,
    method: str,
    path: str,
    document: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.5,
) -> tuple[int, object]:
    """Make one call on a new connection; the status is 0 if it gets no complete answer."""
    try:
        return await asyncio.wait_for(_call(port, method, path, document, headers or {}), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _call(
    port: int, method: str, path: str, document: object, headers: dict[str, str]
) -> tuple[int, object]:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        body = json.dumps(document).encode() if document is not None else b""
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {text}" for name, text in {"Host": HOST, **headers}.items()]
        if body:
            lines.append("Content-Type: application/json")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        answer = await _read_message(reader)
        if answer is None:
            return 0, None
        status = int(answer[0].split(" ")[1])
        return status, json.loads(answer[2]) if answer[2] else None
    finally:
        writer.transport.abort()
