"""Client of the platform's row store: transactions, range reads and the change feed."""

import base64
import json
from collections import OrderedDict
from typing import Any
from urllib.parse import urlencode

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.rows import (
    ABSENT,
    Changes,
    Committed,
    Conflict,
    Page,
    Row,
    RowKey,
    Transaction,
)
from gapdrum.event_log import EventLog
from gapdrum.exceptions import (
    StoreError,
    StoreHistoryGoneError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
)
from gapdrum.transport.http_client import HttpClient, NoReplyError, NotSentError
from gapdrum.transport.http_messages import HttpReply

# The errors that decoding raises if fields are missing or have another type.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, OverflowError)
# The value given to a row that can't be decoded; no valid record of gapdrum is empty.
UNREADABLE = b""
# How many places of undecodable rows are remembered, so that each is logged once.
MAX_LOGGED_PLACES = 256
MAX_PLACE_LENGTH = 200
MAX_REASON_LENGTH = 200
FEED_MARGIN_MS = 500  # on top of the feed's own time-out, for the round trip and a slow store


class RowStore:
    """Client of the store; every call has its own time-out.

    Raises StoreRejectedError if a call had no effect, and
    StoreOutcomeUnknownError if a write may or may not take effect.
    """

    def __init__(self, address: Endpoint, log: EventLog) -> None:
        self._client = HttpClient(address.host, address.port)
        self._log = log
        self._logged_places: OrderedDict[str, None] = OrderedDict()  # oldest first

    async def transact(self, transaction: Transaction, timeout_ms: int) -> Committed | Conflict:
        """Attempt a transaction once."""
        body = json.dumps(_encode_transaction(transaction)).encode()
        reply = await self._call("POST", "/rows-tx", body, timeout_ms)
        if reply.status == 412:
            return Conflict(self._decode_all(_document(reply)))
        _check(reply)
        return Committed(_version(_document(reply)))

    async def read(
        self, table: str, part: str, timeout_ms: int, *, first: str = "", limit: int = 500
    ) -> Page:
        """Read rows of a partition, starting at the key ``first``."""
        query = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        document = await self._read(query, timeout_ms)
        rows = self._decode_rows(document)
        return Page(rows, bool(document.get("has_more")), _version(document))

    async def read_row(self, at: RowKey, timeout_ms: int) -> Row | None:
        """Read one row; None if it does not exist."""
        # ``destination`` is the exclusive end of the range: the next possible key.
        query = {"table": at.table, "part": at.part, "from": at.key, "destination": at.key + "\0"}
        rows = self._decode_all(await self._read({**query, "limit": 1}, timeout_ms))
        return rows[0] if rows else None

    async def _read(self, query: dict[str, Any], timeout_ms: int) -> dict[str, Any]:
        reply = await self._call("GET", f"/rows-get?{urlencode(query)}", b"", timeout_ms)
        _check(reply)
        return _document(reply)

    async def watch(self, table: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes of a table; raises StoreHistoryGoneError if they are dropped."""
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        reply = await self._call("GET", f"/rows-feed?{query}", b"", wait_ms + FEED_MARGIN_MS)
        if reply.status == 410:
            raise StoreHistoryGoneError(f"the store has no changes after {after}")
        _check(reply)
        document = _document(reply)
        return Changes(self._decode_rows(document), _version(document))

    def _decode_rows(self, document: dict[str, Any]) -> tuple[Row, ...]:
        """Decode the rows of a reply; a row without a valid key is left out.

        A malformed row of another writer must not make the others unreadable.
        """
        rows = document.get("rows")
        if not isinstance(rows, list):
            raise StoreOutcomeUnknownError("the store's reply has no rows")
        return tuple(filter(None, map(self._decode_row, rows)))

    def _decode_all(self, document: dict[str, Any]) -> tuple[Row, ...]:
        """Decode the rows of a reply about named rows; none may lack a valid key."""
        rows = self._decode_rows(document)
        if len(rows) != len(document["rows"]):
            raise StoreOutcomeUnknownError("the store's reply has rows without a valid key")
        return rows

    def _decode_row(self, row: object) -> Row | None:
        """Decode a row; its value is ``UNREADABLE`` if the value or version can't be decoded."""
        try:
            at = _decode_identity(row)
        except MALFORMED as error:
            self._log_unreadable("?", error)
            return None
        try:
            return _decode_contents(at, row)
        except MALFORMED as error:
            self._log_unreadable(f"{at.table}/{at.part}/{at.key}", error)
            return Row(at, UNREADABLE, ABSENT)

    def _log_unreadable(self, place: str, error: Exception) -> None:
        """Log the place of an undecodable row once."""
        if place in self._logged_places:
            return
        self._logged_places[place] = None
        while len(self._logged_places) > MAX_LOGGED_PLACES:
            self._logged_places.popitem(last=False)
        reason = repr(error)[:MAX_REASON_LENGTH]
        self._log.write("row_unreadable", place=place[:MAX_PLACE_LENGTH], reason=reason)

    async def _call(self, method: str, path: str, body: bytes, timeout_ms: int) -> HttpReply:
        try:
            return await self._client.call(method, path, body, timeout_ms=timeout_ms)
        except NotSentError as error:
            raise StoreRejectedError(error.message) from error
        except NoReplyError as error:
            raise StoreOutcomeUnknownError(error.message) from error


def _check(reply: HttpReply) -> None:
    if reply.status in (429, 503):
        raise StoreRejectedError(f"the store answered {reply.status}")
    if reply.status >= 500:
        raise StoreOutcomeUnknownError(f"the store answered {reply.status}")
    if reply.status != 200:
        raise StoreError(f"the store answered {reply.status}: {reply.body[:200]!r}")


def _document(reply: HttpReply) -> dict[str, Any]:
    try:
        document = reply.document()
    except ValueError as error:
        raise StoreOutcomeUnknownError("the store's reply is not valid JSON") from error
    if not isinstance(document, dict):
        raise StoreOutcomeUnknownError("the store's reply is not an object")
    return document


def _version(document: dict[str, Any]) -> int:
    try:
        return int(document["ver"])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise StoreOutcomeUnknownError("the store's reply has no version") from error


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        "expect": [
            {**_encode_key(item.at), "ver": item.version} for item in transaction.expectations
        ],
        "puts": [
            {**_encode_key(put.at), "value": base64.b64encode(put.value).decode()}
            for put in transaction.puts
        ],
        "remove": [_encode_key(at) for at in transaction.removals],
    }


def _encode_key(at: RowKey) -> dict[str, str]:
    return {"table": at.table, "part": at.part, "key": at.key}


def _decode_identity(row: object) -> RowKey:
    names = (row["table"], row.get("part", ""), row["key"])
    if not all(isinstance(name, str) for name in names):
        raise TypeError("table, part and key must be strings")
    return RowKey(*names)


def _decode_contents(at: RowKey, row: dict[str, Any]) -> Row:
    version = int(row.get("ver", ABSENT))
    absent = row.get("removed") or row.get("value") is None
    return Row(at, None if absent else base64.b64decode(row["value"], validate=True), version)
