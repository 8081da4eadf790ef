"""A small HTTP/1.1 service on asyncio, for the stand-ins; standard library only."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

HOST = "127.0.0.1"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed",
           421: "Misdirected", 503: "Unavailable"}  # fmt: skip


class Request:
    """A request: method, path, query, headers, body as JSON, and the port that it came to."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes, port: int
    ) -> None:
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = json.loads(body) if body else {}
        self.port = port


Handler = Callable[[Request], Awaitable[tuple[int, Any, dict[str, str]]]]


def steady_ms() -> int:
    """Return the steady clock, which all processes of this machine share."""
    return time.monotonic_ns() // 1_000_000


async def serve(port: int, handler: Handler) -> None:
    """Serve requests at a loopback port; each connection carries one at a time."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await _read(reader, port):
                status, document, headers = await handler(request)
                writer.write(_encode(status, document, headers))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    await asyncio.start_server(accept, HOST, port, backlog=512)


async def _read(reader: asyncio.StreamReader, port: int) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body, port)


def _encode(status: int, document: Any, headers: dict[str, str]) -> bytes:
    body = json.dumps(document).encode()
    rows = [
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
        "content-type: application/json",
        f"content-length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body
