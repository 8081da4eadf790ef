"""Stand-in for the platform's transactional table and object store, with fault injection.

It keeps all data in memory and speaks the protocol of docs/PLATFORM.md.
``POST /faults`` sets a fault: ``outage`` answers 503 without effect, ``lost``
executes the call and drops the answer, ``slow`` delays the call.
"""

import json
import threading
import time
from urllib.parse import parse_qs

import attrs
import typer
from cheroot import wsgi
from loguru import logger

from gapdrum.logs import set_up_logs

WRITE_DELAY_MS = 4
READ_DELAY_MS = 1
THREADS = 32
MAX_KEEP_ALIVE_CONNECTIONS = 1_000
MS_PER_S = 1000


@attrs.define
class Fault:
    """An injected fault: its mode, the key prefix it affects, and for how many more calls."""

    mode: str = ""
    prefix: str = ""
    count: int = 0
    delay_ms: int = 0

    def applies(self, keys: list[str], is_write: bool) -> bool:
        """Tell whether the fault affects a call on these keys, and count the call.

        The mode "lost" affects only writes.
        """
        if not self.mode or self.count == 0 or self.mode == "lost" and not is_write:
            return False
        if not any(key.startswith(self.prefix) for key in keys):
            return False
        self.count -= 1
        return True


class Tables:
    """The rows and objects, guarded by one lock."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.rows: dict[str, dict] = {}
        self.objects: dict[str, bytes] = {}
        self.calls: dict[str, int] = {}
        self.fault = Fault()

    def transact(self, operations: list[dict]) -> list[dict]:
        """Apply all operations, or none; return the rows whose condition failed."""
        failed = [
            {"key": operation["key"], "row": self.rows.get(operation["key"])}
            for operation in operations
            if not self._is_condition_met(operation)
        ]
        if not failed:
            for operation in operations:
                self._apply(operation)
        return failed

    def _is_condition_met(self, operation: dict) -> bool:
        expected = operation["expected_version"]
        row = self.rows.get(operation["key"])
        return expected == -1 or expected == (row["version"] if row else 0)

    def _apply(self, operation: dict) -> None:
        key = operation["key"]
        if operation["value"] is None:
            self.rows.pop(key, None)
            return
        row = self.rows.get(key)
        version = row["version"] + 1 if row else 1
        self.rows[key] = {"key": key, "version": version, "value": operation["value"]}


class LostAnswerError(Exception):
    """Raised to close a connection without an answer."""


class Platform:
    """The WSGI application."""

    def __init__(self, write_delay_ms: int, read_delay_ms: int) -> None:
        self.tables = Tables()
        self.write_delay_ms = write_delay_ms
        self.read_delay_ms = read_delay_ms

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Answer one request."""
        status, content = self._answer(environ)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
        start_response(status, headers)
        return [content]

    def _answer(self, environ: dict) -> tuple[str, bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        prefix = parse_qs(environ["QUERY_STRING"]).get("prefix", [""])[-1]
        if path == "/faults":
            with self.tables.lock:
                self.tables.fault = Fault(**json.loads(body))
            return "200 OK", b"{}"
        if path == "/stats":
            return "200 OK", json.dumps(self.tables.calls).encode()
        return self._serve(method, path, body, prefix)

    def _serve(self, method: str, path: str, body: bytes, prefix: str) -> tuple[str, bytes]:
        is_write = path == "/table/transact" or method == "PUT"
        time.sleep((self.write_delay_ms if is_write else self.read_delay_ms) / MS_PER_S)
        keys = _keys_of(path, body, prefix)
        tables = self.tables
        with tables.lock:
            kind = "writes" if is_write else "reads"
            tables.calls[kind] = tables.calls.get(kind, 0) + 1
            fault = tables.fault
            mode = fault.mode if fault.applies(keys, is_write) else ""
        if mode == "outage":
            return "503 Service Unavailable", b"{}"
        if mode == "slow":
            time.sleep(fault.delay_ms / MS_PER_S)
        with tables.lock:
            answer = self._execute(method, path, body, prefix)
        if mode == "lost":
            raise LostAnswerError
        return answer

    def _execute(self, method: str, path: str, body: bytes, prefix: str) -> tuple[str, bytes]:
        tables = self.tables
        if path == "/table/transact":
            failed = tables.transact(json.loads(body)["operations"])
            if failed:
                return "409 Conflict", json.dumps({"failed": failed}).encode()
            return "200 OK", b"{}"
        if path == "/table/read":
            rows = [tables.rows.get(key) for key in json.loads(body)["keys"]]
            return "200 OK", json.dumps({"rows": rows}).encode()
        if path == "/table/scan":
            rows = [tables.rows[key] for key in sorted(tables.rows) if key.startswith(prefix)]
            return "200 OK", json.dumps({"rows": rows}).encode()
        if path == "/objects":
            keys = [key for key in sorted(tables.objects) if key.startswith(prefix)]
            return "200 OK", json.dumps({"keys": keys}).encode()
        key = path.removeprefix("/objects/")
        if method == "PUT":
            tables.objects[key] = body
            return "200 OK", b"{}"
        content = tables.objects.get(key)
        return ("200 OK", content) if content is not None else ("404 Not Found", b"{}")


def _keys_of(path: str, body: bytes, prefix: str) -> list[str]:
    if path == "/table/transact":
        return [operation["key"] for operation in json.loads(body)["operations"]]
    if path == "/table/read":
        return json.loads(body)["keys"]
    return [prefix or path.removeprefix("/objects/")]


def main() -> None:
    """Run the command ``gapdrum-platform``."""
    typer.run(start)


def start(
    port: int,
    host: str = "127.0.0.1",
    write_delay_ms: int = WRITE_DELAY_MS,
    read_delay_ms: int = READ_DELAY_MS,
) -> None:
    """Serve the stand-in platform until it is stopped."""
    set_up_logs(False)
    platform = Platform(write_delay_ms, read_delay_ms)
    server = wsgi.Server((host, port), platform, numthreads=THREADS)
    server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
    server.error_log = lambda *arguments, **options: None
    logger.info("platform stand-in listens on port {}", port)
    try:
        server.start()
    finally:
        server.stop()
