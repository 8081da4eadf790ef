"""Stand-in for the platform's row store: transactions, reads, change feed and fault injection.

All data is in memory. ``POST /faults`` takes ``{"mode": "outage" | "silent" | "lost" |
"late" | "slow" | "forget", "delay_ms": 300, "count": 1, "table": ""}``; an empty mode clears
the fault. ``table`` limits it to calls whose body names that table.
"""

import asyncio
import base64
import json
from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import parse_qsl

import attrs
import typer

from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.transport.http_server import HttpListener
from gapdrum.transport.request_reader import HttpLimits

TRANSACTION_MS = 5
MAX_ENTRIES = 100
PAGE_ROWS = 500
MAX_FEED_WAIT_MS = 30_000
FOREVER_S = 3_600

Key = tuple[str, str, str]


@attrs.define
class Fault:
    """A fault that is injected into the next ``count`` matching calls."""

    mode: str = ""
    delay_ms: int = 0
    count: int = 1_000_000
    table: str = ""


@attrs.define(eq=False)
class RowTable:
    """All rows with their versions, and the order of their latest changes."""

    version: int = 0
    forgotten: int = 0
    rows: dict[Key, tuple[bytes, int]] = attrs.Factory(dict)
    changes: OrderedDict[Key, int] = attrs.Factory(OrderedDict)

    def transact(self, document: dict[str, Any]) -> dict[str, Any] | None:
        """Apply a transaction; if a condition does not hold, return the rows of all conditions."""
        expected = [(_key(item), int(item["ver"])) for item in document.get("expect", [])]
        if any(self.rows.get(key, (b"", 0))[1] != version for key, version in expected):
            return {"rows": [self.show(key) for key, _ in expected]}
        self.version += 1
        for item in document.get("puts", []):
            self._change(_key(item), base64.b64decode(item["value"]))
        for item in document.get("remove", []):
            self._change(_key(item), None)
        return None

    def _change(self, key: Key, value: bytes | None) -> None:
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.changes[key] = self.version
        self.changes.move_to_end(key)

    def show(self, key: Key) -> dict[str, Any]:
        """Return a row in the format of the protocol; a missing row has version 0."""
        table, part, name = key
        row = {"table": table, "part": part, "key": name}
        if key not in self.rows:
            return {**row, "ver": 0, "removed": True}
        value, version = self.rows[key]
        return {**row, "value": base64.b64encode(value).decode(), "ver": version}

    def read(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the rows of a key range, at most ``PAGE_ROWS``."""
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        first, end = query.get("from", ""), query.get("destination")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        rows = [self.show(key) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": 0}

    def changed(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of a table that changed after a version, in order of change."""
        return [
            self.show(key)
            for key, version in self.changes.items()
            if version > after and key[0] == table
        ]


class StoreStandIn:
    """Serves the store's HTTP calls."""

    def __init__(self) -> None:
        self.table = RowTable()
        self.fault = Fault()
        self.calls = 0
        self._changed_event = asyncio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a call, or apply the injected fault."""
        path, _, query_text = request.path.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        if path == "/faults":
            return self._set_fault(json.loads(request.body))
        if path == "/calls":
            return json_response(200, {"calls": self.calls})
        self.calls += 1
        handler = self._HANDLERS.get(path)
        if handler is None:
            return json_response(404, {})
        return await self._answer(handler, request, query)

    def _set_fault(self, document: dict[str, Any]) -> HttpResponse:
        self.fault = Fault(
            document.get("mode", ""),
            document.get("delay_ms", 0),
            document.get("count", 1_000_000),
            document.get("table", ""),
        )
        if self.fault.mode == "forget":
            self.table.forgotten = self.table.version
            self._notify_feeds()
        return json_response(200, {})

    async def _answer(
        self, handler: Callable, request: HttpRequest, query: dict[str, str]
    ) -> HttpResponse:
        mode = self._consume_fault(request)
        if mode == "outage":
            return json_response(503, {})
        if mode == "silent":
            await asyncio.sleep(FOREVER_S)
        if mode == "slow":
            await asyncio.sleep(self.fault.delay_ms / MS_PER_S)
        if mode == "late":
            asyncio.get_running_loop().call_later(
                self.fault.delay_ms / MS_PER_S,
                lambda: asyncio.ensure_future(handler(self, request, query)),
            )
            await asyncio.sleep(FOREVER_S)
        response = await handler(self, request, query)
        if mode == "lost":
            await asyncio.sleep(FOREVER_S)
        return response

    def _consume_fault(self, request: HttpRequest) -> str:
        """Return the fault mode for a call and count it; "lost" and "late" affect only writes."""
        fault = self.fault
        if fault.mode in ("lost", "late") and request.method != "POST":
            return ""
        if not fault.mode or fault.count <= 0:
            return ""
        if fault.table and f'"table": "{fault.table}"'.encode() not in request.body:
            return ""
        fault.count -= 1
        return fault.mode

    async def _transact(self, request: HttpRequest, _query: dict[str, str]) -> HttpResponse:
        document = json.loads(request.body)
        entries = sum(len(document.get(name, [])) for name in ("expect", "puts", "remove"))
        parts = {item.get("part", "") for name in ("expect", "puts") for item in document[name]}
        if entries > MAX_ENTRIES or len(parts) > 1:
            return json_response(400, {"reason": "too many entries or parts"})
        await asyncio.sleep(TRANSACTION_MS / MS_PER_S)
        conflict = self.table.transact(document)
        if conflict is not None:
            return json_response(412, {**conflict, "ver": self.table.version, "now_ms": 0})
        self._notify_feeds()
        return json_response(200, {"ver": self.table.version, "now_ms": 0})

    async def _read(self, _request: HttpRequest, query: dict[str, str]) -> HttpResponse:
        return json_response(200, self.table.read(query))

    async def _feed(self, _request: HttpRequest, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        wait_s = min(int(query.get("wait_ms", 0)), MAX_FEED_WAIT_MS) / MS_PER_S
        end_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.table.forgotten:
                return json_response(410, {})
            rows = self.table.changed(query["table"], after)
            remaining_s = end_s - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                document = {"rows": rows, "ver": self.table.version, "now_ms": 0}
                return json_response(200, document)
            await self._wait_for_change(remaining_s)

    async def _wait_for_change(self, limit_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed_event.wait(), limit_s)
        except TimeoutError:
            return  # the caller checks the deadline itself

    def _notify_feeds(self) -> None:
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    _HANDLERS = {"/rows-tx": _transact, "/rows-get": _read, "/rows-feed": _feed}


def _key(item: dict[str, Any]) -> Key:
    return (item["table"], item.get("part", ""), item["key"])


async def serve(host: str, port: int) -> None:
    """Serve until the process is stopped."""
    store = StoreStandIn()
    limits = HttpLimits(max_body_bytes=2**21, idle_timeout_ms=3_600_000)
    await HttpListener(store.handle, limits, Timers()).open(host, port)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in store."""

    def run(port: Annotated[int, typer.Option()], host: str = "127.0.0.1") -> None:
        asyncio.run(serve(host, port))

    typer.run(run)


if __name__ == "__main__":
    main()
