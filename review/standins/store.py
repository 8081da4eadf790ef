"""Stand-in for the platform's store: transactions, reads and the change feed, in memory.

``store.py PORT [PORT ...]`` listens at several ports, so that a machine with a port of its own can
be turned away. ``POST /faults`` sets a fault; each is one that the pages allow:

- ``{"mode": "lost", "table": T, "count": N}``: the next N writes to table T are done, and their
  connection delivers nothing further;
- ``{"mode": "late", "table": T, "count": N, "delay_ms": D}``: the same, and the write is done only
  D ms later, if its condition still holds;
- ``{"mode": "away", "ports": [P]}``: callers at these ports get 503, and nothing is done.

``GET /journal`` returns what the faults did, and ``POST /operator`` writes an operator's row.
"""

import asyncio
import base64
import sys
from collections import OrderedDict
from typing import Any

from http_service import Request, serve, steady_ms

TRANSACTION_S = 0.005
ANSWER_S = 0.004
MAX_ENTRIES = 100
MAX_ROWS = 500
ROW_BYTES = 65_536
MAX_FEED_WAIT_MS = 30_000
OPERATOR_TABLES = ("op", "servers")

Key = tuple[str, str, str]


class Store:
    """The rows, and the faults that are set."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[Key, tuple[str, int]] = {}
        self.changes: OrderedDict[Key, int] = OrderedDict()
        self.faults: list[dict[str, Any]] = []
        self.away: set[int] = set()
        self.journal: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    async def handle(self, request: Request) -> tuple[int, Any, dict[str, str]]:
        """Answer one call."""
        if request.path == "/faults":
            return self._set_fault(request.body)
        if request.path == "/journal":
            return 200, self.journal, {}
        if request.path == "/operator":
            return 200, self._write(request.body), {}
        if request.port in self.away:
            return 503, {}, {}
        if request.path == "/rows-tx":
            return await self._transact(request)
        await asyncio.sleep(ANSWER_S)
        if request.path == "/rows-get":
            return 200, self._read(request.query), {}
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return 404, {}, {}

    def _set_fault(self, fault: dict[str, Any]) -> tuple[int, Any, dict[str, str]]:
        if fault["mode"] == "away":
            self.away = set(fault["ports"])
        else:
            self.faults.append(fault)
        self._note(fault["mode"] + " set", fault)
        return 200, {}, {}

    def _note(self, event: str, detail: Any) -> None:
        self.journal.append({"ms": steady_ms(), "event": event, "detail": detail})

    async def _transact(self, request: Request) -> tuple[int, Any, dict[str, str]]:
        document = request.body
        rows = [*document.get("expect", []), *document.get("puts", []), *document.get("remove", [])]
        if len(rows) > MAX_ENTRIES or len({row.get("part", "") for row in rows}) > 1:
            return 400, {"reason": "too many entries or parts"}, {}
        if any(row["table"] in OPERATOR_TABLES for row in [*document["puts"], *document["remove"]]):
            return 403, {}, {}
        if any(len(base64.b64decode(row["value"])) > ROW_BYTES for row in document["puts"]):
            return 400, {"reason": "a row is too large"}, {}
        fault = self._take_fault(rows)
        if fault is not None and fault["mode"] == "late":
            await asyncio.sleep(fault["delay_ms"] / 1_000)
        await asyncio.sleep(TRANSACTION_S)
        answer = self._apply(document)
        if fault is not None:
            self._note(f"{fault['mode']} write done", [answer[0], _names(rows)])
            await asyncio.sleep(3_600)
        return *answer, {}

    def _take_fault(self, rows: list[dict[str, Any]]) -> dict[str, Any] | None:
        tables = {row["table"] for row in rows}
        for fault in self.faults:
            if fault["count"] > 0 and fault["table"] in tables:
                fault["count"] -= 1
                self._note(f"{fault['mode']} write taken", _names(rows))
                return fault
        return None

    def _apply(self, document: dict[str, Any]) -> tuple[int, Any]:
        expected = [(_key(row), row["ver"]) for row in document.get("expect", [])]
        if any(self.rows.get(key, ("", 0))[1] != version for key, version in expected):
            rows = [self._show(key) for key, _ in expected if key in self.rows]
            return 412, {"rows": rows, "ver": self.version, "now_ms": steady_ms()}
        return 200, self._write(document)

    def _write(self, document: dict[str, Any]) -> dict[str, Any]:
        self.version += 1
        for row in document.get("puts", []):
            self.rows[_key(row)] = (row["value"], self.version)
            self._mark(_key(row))
        for row in document.get("remove", []):
            if self.rows.pop(_key(row), None) is not None:
                self._mark(_key(row))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return {"ver": self.version, "now_ms": steady_ms()}

    def _mark(self, key: Key) -> None:
        self.changes[key] = self.version
        self.changes.move_to_end(key)

    def _show(self, key: Key) -> dict[str, Any]:
        row = dict(zip(("table", "part", "key"), key, strict=True))
        if key not in self.rows:
            return {**row, "ver": self.changes.get(key, 0), "removed": True}
        value, version = self.rows[key]
        return {**row, "value": value, "ver": version}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        place = (query["table"], query.get("part", ""))
        first, end = query.get("from", ""), query.get("destination")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == place and key[2] >= first and (end is None or key[2] < end)
        )
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [self._show(key) for key in keys[:limit]]
        more = len(keys) > limit
        return {"rows": rows, "has_more": more, "ver": self.version, "now_ms": steady_ms()}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any, dict[str, str]]:
        after = int(query["after"])
        end_ms = steady_ms() + min(int(query.get("wait_ms", 0)), MAX_FEED_WAIT_MS)
        while True:
            changed = self._changed
            rows = [
                self._show(key)
                for key, version in self.changes.items()
                if version > after and key[0] == query["table"]
            ]
            left_ms = end_ms - steady_ms()
            if rows or left_ms <= 0:
                return 200, {"rows": rows, "ver": self.version, "now_ms": steady_ms()}, {}
            try:
                await asyncio.wait_for(changed.wait(), left_ms / 1_000)
            except TimeoutError:
                continue


def _key(row: dict[str, Any]) -> Key:
    return row["table"], row.get("part", ""), row["key"]


def _names(rows: list[dict[str, Any]]) -> list[str]:
    return sorted({f"{row['table']}/{row['key']}" for row in rows})


async def main() -> None:
    """Serve until the process is ended."""
    store = Store()
    for port in sys.argv[1:]:
        await serve(int(port), store.handle)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
