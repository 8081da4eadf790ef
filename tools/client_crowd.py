"""A crowd of HTTP clients that exceed limits, stop half-way, or leave answers unread.

Clients are plain sockets in one thread. They send as fast as the process reads, connect again a few
times if they are disconnected, and stay connected until the crowd is closed::

    with Crowd(("127.0.0.1", 8080), "small chunks", clients=100) as crowd:
        crowd.send()
        ...  # the clients are still connected
"""

import json
import re
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
from local_system import Process

SEND_BYTES = 64 * 1024
RECEIVE_BYTES = 4_096
CONNECT_TIMEOUT_S = 5
RECONNECTS = 3  # of each client that is disconnected
QUIET_S = 2.0  # the crowd has sent what it can if nothing moves for this long
LIMIT_S = 40.0
ENDLESS_BYTES = 2 * 1024 * 1024  # of each client that sends without end
BODY_BYTES = 262_144
LARGE_CHUNK_BYTES = 16_384
LARGER_BODY_BYTES = 8 * 1024 * 1024
FRAME_BYTES = 8 * 1024 * 1024 - 65_536
REQUESTS_AHEAD = 20_000
METRICS_AHEAD = 600
JOBS_AHEAD = 8
HEARTBEATS = 50
MALFORMED_BODIES = 300
CALLER_HOST = "inspections.example"
PATH = "/flags/00000000000000ff"

Payload = Callable[[int], Iterator[bytes]]
_FORMS: dict[str, Payload] = {}


def form(name: str) -> Callable[[Payload], Payload]:
    """Register what each client of a form sends; the function takes the client's number."""

    def register(payload: Payload) -> Payload:
        _FORMS[name] = payload
        return payload

    return register


def list_forms() -> tuple[str, ...]:
    """Return the names of all forms."""
    return tuple(_FORMS)


def _head(*lines: str, method: str = "POST") -> bytes:
    return "\r\n".join((f"{method} {PATH} HTTP/1.1", *lines, "")).encode()


def _chunked_head() -> bytes:
    return _head(f"Host: {CALLER_HOST}", "Transfer-Encoding: chunked") + b"\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _repeat(block: bytes, total_bytes: int) -> Iterator[bytes]:
    for _ in range(total_bytes // len(block)):
        yield block


def _small_fields(first: int, total_bytes: int) -> Iterator[bytes]:
    number = first
    sent = 0
    while sent < total_bytes:
        block = b"".join(b"%x:\r\n" % value for value in range(number, number + 4_096))
        number += 4_096
        sent += len(block)
        yield block


@form("many small header fields")
def _send_small_fields(_number: int) -> Iterator[bytes]:
    yield _head()
    yield from _small_fields(0, ENDLESS_BYTES)


@form("a header field without end")
def _send_endless_field(_number: int) -> Iterator[bytes]:
    yield _head("X-Padding: ")[:-2]
    yield from _repeat(b"x" * SEND_BYTES, ENDLESS_BYTES)


@form("a request line without end")
def _send_endless_line(_number: int) -> Iterator[bytes]:
    yield b"GET /"
    yield from _repeat(b"x" * SEND_BYTES, ENDLESS_BYTES)


@form("empty lines without end")
def _send_empty_lines(_number: int) -> Iterator[bytes]:
    yield from _repeat(b"\r\n" * (SEND_BYTES // 2), ENDLESS_BYTES)


@form("a body that stops short")
def _send_unfinished_body(_number: int) -> Iterator[bytes]:
    yield _head(f"Host: {CALLER_HOST}", f"Content-Length: {BODY_BYTES}") + b"\r\n"
    yield from _repeat(b"x" * LARGE_CHUNK_BYTES, BODY_BYTES - LARGE_CHUNK_BYTES)
    yield b"x" * (LARGE_CHUNK_BYTES - 1)


@form("large chunks that stop short")
def _send_large_chunks(_number: int) -> Iterator[bytes]:
    yield _chunked_head()
    chunk = _chunk(b"x" * LARGE_CHUNK_BYTES)
    for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
        yield chunk


@form("small chunks that stop short")
def _send_small_chunks(_number: int) -> Iterator[bytes]:
    yield _chunked_head()
    block = _chunk(b"xx") * 4_096
    for _ in range(BODY_BYTES // 8_192):
        yield block


@form("many small trailer fields")
def _send_small_trailers(_number: int) -> Iterator[bytes]:
    yield _chunked_head() + _chunk(b"{}") + b"0\r\n"
    yield from _small_fields(0, ENDLESS_BYTES)


@form("a trailer field without end")
def _send_endless_trailer(_number: int) -> Iterator[bytes]:
    yield _chunked_head() + _chunk(b"{}") + b"0\r\nX-Padding: "
    yield from _repeat(b"x" * SEND_BYTES, ENDLESS_BYTES)


@form("a chunk extension without end")
def _send_endless_extension(_number: int) -> Iterator[bytes]:
    yield _chunked_head() + b"2;x="
    yield from _repeat(b"x" * SEND_BYTES, ENDLESS_BYTES)


@form("requests ahead, answers unread")
def _send_ahead(_number: int) -> Iterator[bytes]:
    yield from _repeat(b"GET / HTTP/1.1\r\n\r\n" * 1_000, REQUESTS_AHEAD * 18)


@form("requests behind a body that is not read as a job")
def _send_behind_post(_number: int) -> Iterator[bytes]:
    yield _head(f"Host: {CALLER_HOST}", "Content-Length: 2") + b"\r\n{}"
    yield from _send_ahead(_number)


def _send_pages(path: str, requests: int) -> Iterator[bytes]:
    request = f"GET {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n\r\n".encode()
    for _ in range(requests // 100):
        yield request * 100


@form("requests ahead for readiness, answers unread")
def _send_readiness_ahead(_number: int) -> Iterator[bytes]:
    yield from _send_pages("/readyz", REQUESTS_AHEAD)


@form("requests ahead for metrics, answers unread")
def _send_metrics_ahead(_number: int) -> Iterator[bytes]:
    yield from _send_pages("/metrics", METRICS_AHEAD)


def _post(path: str, document: object) -> bytes:
    body = json.dumps(document).encode()
    lines = (f"POST {path} HTTP/1.1", f"Host: {CALLER_HOST}", f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


@form("a waiting job of 10,000 tasks")
def _send_large_job(number: int) -> Iterator[bytes]:
    steps = [{"count": 10_000, "cpu": 1}]
    document = {"spec": json.dumps({"run_ms": 10}), "steps": steps, "best_effort": True}
    yield _post(f"/flags/{number:016x}", document)


@form("a waiting job behind many small header fields")
def _send_many_fields(number: int) -> Iterator[bytes]:
    document = {
        "spec": json.dumps({"run_ms": 60_000}),
        "steps": [{"count": 1, "cpu": 1}],
        "best_effort": True,
    }
    head, _, body = _post(f"/flags/{number:016x}", document).partition(b"\r\n\r\n")
    fields = b"".join(b"%x:\r\n" % value for value in range(2_200))
    yield head + b"\r\n" + fields + b"\r\n" + body


@form("jobs with as many findings as fit")
def _send_findings(number: int) -> Iterator[bytes]:
    names = {f"{value:x}": 0 for value in range(25_000)}
    request = _post(f"/flags/{number:016x}", names)
    yield from (request for _ in range(JOBS_AHEAD))


@form("bodies that are malformed in different places")
def _send_malformed(number: int) -> Iterator[bytes]:
    for place in range(MALFORMED_BODIES):
        body = b" " * (number * MALFORMED_BODIES + place) + b"x"
        lines = ("Host: " + CALLER_HOST, f"Content-Length: {len(body)}", "")
        yield "\r\n".join((f"POST {PATH} HTTP/1.1", *lines, "")).encode() + body


@form("heartbeats of many runners")
def _send_heartbeats(number: int) -> Iterator[bytes]:
    for runner in range(HEARTBEATS):
        heartbeat = {
            "service": "inspect-desk",
            "address": f"127.0.0.{2 + number}:{20_000 + runner}",
            "zone": "moka-hall",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
            "labels": ["x" * 500] * 64,
            "sequence": 1,
        }
        yield _post(f"/Instances.Heartbeat/i-{number:x}-{runner:x}", heartbeat)


@form("a frame that stops short")
def _send_unfinished_frame(_number: int) -> Iterator[bytes]:
    yield b"\xc6" + FRAME_BYTES.to_bytes(4, "big")
    yield from _repeat(b"x" * SEND_BYTES, FRAME_BYTES - SEND_BYTES)


@form("a frame of many small arrays")
def _send_small_arrays(_number: int) -> Iterator[bytes]:
    yield b"\xdd" + (FRAME_BYTES - 5).to_bytes(4, "big")
    yield from _repeat(b"\x90" * 4_096, FRAME_BYTES - 5)


@form("a body of 8 MB that stops short")
def _send_larger_body(_number: int) -> Iterator[bytes]:
    yield _head(f"Host: {CALLER_HOST}", f"Content-Length: {LARGER_BODY_BYTES}") + b"\r\n"
    yield from _repeat(b"x" * SEND_BYTES, LARGER_BODY_BYTES - SEND_BYTES)


@form("nothing")
def _send_nothing(_number: int) -> Iterator[bytes]:
    return iter(())


@form("half a request line")
def _send_half_line(_number: int) -> Iterator[bytes]:
    yield b"GET /fl"


def read_peak_mb(process: Process) -> float:
    """Return the peak memory of a process that runs."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def count_descriptors(process: Process) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{process.popen.pid}/fd").iterdir()))


@attrs.define
class _Client:
    number: int
    connection: socket.socket | None = None
    payload: Iterator[bytes] = iter(())
    unsent: memoryview = memoryview(b"")
    reconnects: int = 0


class Crowd:
    """Clients of one form at one address."""

    def __init__(self, address: tuple[str, int], form_name: str, clients: int) -> None:
        self._address = address
        self._payload = _FORMS[form_name]
        self._clients = [_Client(number) for number in range(clients)]
        self._selector = selectors.DefaultSelector()

    def __enter__(self) -> "Crowd":
        """Use the crowd as a context manager, which closes it."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            self._drop(client)
        self._selector.close()

    @property
    def connected(self) -> int:
        """Return how many clients are connected, as far as they know."""
        return sum(client.connection is not None for client in self._clients)

    def send(self, limit_s: float = LIMIT_S) -> None:
        """Send until all has been sent, or nothing has moved for ``QUIET_S``.

        Called again, all clients start anew.
        """
        for client in self._clients:
            self._drop(client)
            client.reconnects = 0
            self._connect(client)
        end_s = time.monotonic() + limit_s
        moved_s = time.monotonic()
        while time.monotonic() < min(end_s, moved_s + QUIET_S) and self._selector.get_map():
            for key, _ in self._selector.select(0.1):
                if self._send_some(key.data):
                    moved_s = time.monotonic()

    def _connect(self, client: _Client) -> None:
        connection = socket.socket()
        # A client that does not read leaves the answers in the process, not in its own kernel.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        connection.settimeout(CONNECT_TIMEOUT_S)
        try:
            connection.connect(self._address)
        except OSError:
            connection.close()
            return  # the process accepts no more connections
        connection.setblocking(False)
        client.connection = connection
        client.payload = self._payload(client.number)
        client.unsent = memoryview(b"")
        self._selector.register(client.connection, selectors.EVENT_WRITE, client)

    def _send_some(self, client: _Client) -> bool:
        """Send what the connection takes; return whether anything has changed."""
        if not client.unsent:
            block = next(client.payload, None)
            if block is None:
                self._selector.unregister(client.connection)
                return True
            client.unsent = memoryview(block)
        try:
            sent = client.connection.send(client.unsent[:SEND_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self._drop(client)
            if client.reconnects < RECONNECTS:
                client.reconnects += 1
                self._connect(client)
            return True
        client.unsent = client.unsent[sent:]
        return sent > 0

    def _drop(self, client: _Client) -> None:
        if client.connection is None:
            return
        if client.connection in self._selector.get_map():
            self._selector.unregister(client.connection)
        client.connection.close()
        client.connection = None
