"""The platform's metadata store: transactions, reads and the change feed, in memory."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qsl

from standins_2.web import Reply, WebServer

TX_S = 0.005
READ_S = 0.003
MAX_ROWS = 500
MAX_WAIT_MS = 30_000
MAX_ENTRIES = 100

Key = tuple[str, str, str]


class Store:
    """Linearizable; a part handles one transaction after another.

    ``answer_delay_s`` returns how long the answer to a call is held after the call was done, which
    is how the store is slow.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.answer_delay_s: Callable[[], float] = lambda: 0.0
        self.rows: dict[Key, tuple[str, int]] = {}
        self._changes: dict[Key, int] = {}
        self._version = 0
        self._parts: dict[str, asyncio.Lock] = {}
        self._changed = asyncio.Event()
        self._server = WebServer(self._handle, port)

    async def open(self) -> None:
        """Listen."""
        await self._server.open()

    def close(self) -> None:
        """End."""
        self._server.close()

    def put_operator_row(self, key: str, document: object) -> None:
        """Write a row as the operator; returning acknowledges it."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([{"table": "op", "part": "", "key": key, "value": value}], [])

    def find(self, table: str, name: str) -> bytes | None:
        """Return the value of the row of a table with this key, in any part."""
        for (one, _, key), (value, _) in self.rows.items():
            if (one, key) == (table, name):
                return base64.b64decode(value)
        return None

    async def _handle(
        self, method: str, target: str, _headers: dict[str, str], body: bytes
    ) -> Reply:
        path, _, text = target.partition("?")
        query = dict(parse_qsl(text, keep_blank_values=True))
        if (method, path) == ("POST", "/rows-tx"):
            reply = await self._transact(json.loads(body))
        elif path == "/rows-get":
            await asyncio.sleep(READ_S)
            reply = 200, self._read(query), {}
        elif path == "/rows-feed":
            return await self._feed(query)
        else:
            return 404, {}, {}
        delay_s = self.answer_delay_s()
        if delay_s:
            await asyncio.sleep(delay_s)
        return reply

    async def _transact(self, document: dict) -> Reply:
        lists = [document.get(name, []) for name in ("expect", "puts", "remove")]
        parts = {row.get("part", "") for rows in lists for row in rows}
        if len(parts) > 1 or sum(map(len, lists)) > MAX_ENTRIES:
            return 400, {"reason": "entries"}, {}
        lock = self._parts.setdefault(next(iter(parts), ""), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
            expect, puts, remove = lists
            if any(self._version_of(row) != row["ver"] for row in expect):
                rows = [self._show(_key(row)) for row in expect]
                return 412, self._stamp({"rows": rows}), {}
            self._apply(puts, remove)
            return 200, self._stamp({}), {}

    def _apply(self, puts: list[dict], remove: list[dict]) -> None:
        self._version += 1
        for row in puts:
            self.rows[_key(row)] = (row["value"], self._version)
            self._note_change(_key(row))
        for row in remove:
            if self.rows.pop(_key(row), None) is not None:
                self._note_change(_key(row))
        self._changed.set()
        self._changed = asyncio.Event()

    def _note_change(self, key: Key) -> None:
        self._changes.pop(key, None)
        self._changes[key] = self._version

    def _version_of(self, row: dict) -> int:
        return self.rows.get(_key(row), ("", 0))[1]

    def _show(self, key: Key) -> dict:
        shown = {"table": key[0], "part": key[1], "key": key[2]}
        if key not in self.rows:
            return {**shown, "ver": 0, "removed": True}
        value, version = self.rows[key]
        return {**shown, "value": value, "ver": version}

    def _stamp(self, document: dict) -> dict:
        return {**document, "ver": self._version, "now_ms": int(time.monotonic() * 1_000)}

    def _read(self, query: dict[str, str]) -> dict:
        end = query.get("destination")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= query.get("from", "")
            and (end is None or key[2] < end)
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [self._show(key) for key in keys[:limit]]
        return self._stamp({"rows": rows, "has_more": len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> Reply:
        end_s = time.monotonic() + min(MAX_WAIT_MS, int(query.get("wait_ms", 0))) / 1_000
        while True:
            found = [
                self._show(key)
                for key, version in self._changes.items()
                if key[0] == query["table"] and version > int(query["after"])
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, self._stamp({"rows": found}), {}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


def _key(row: dict) -> Key:
    return row["table"], row.get("part", ""), row["key"]
