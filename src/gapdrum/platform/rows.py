"""The platform's store of rows: transactions, reads of ranges, and the feed of changes."""

import base64
import json
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
from gapdrum.exceptions import (
    StoreError,
    StoreHistoryGoneError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
)
from gapdrum.transport.http_client import HttpClient, NoReplyError, NotSentError
from gapdrum.transport.http_messages import HttpReply

FEED_MARGIN_MS = 500  # a feed answers at its own time-out; allow the way and a slow store


class RowStore:
    """Calls the store; every call has its own time-out.

    Raises StoreRejectedError where nothing was done, and
    StoreOutcomeUnknownError where a write may or may not take effect.
    """

    def __init__(self, address: Endpoint) -> None:
        self._client = HttpClient(address.host, address.port)

    async def transact(self, transaction: Transaction, timeout_ms: int) -> Committed | Conflict:
        """Try a transaction once."""
        body = json.dumps(_encode_transaction(transaction)).encode()
        reply = await self._call("POST", "/rows-tx", body, timeout_ms)
        if reply.status == 412:
            return Conflict(_decode_rows(_document(reply)))
        _check(reply)
        return Committed(_version(_document(reply)))

    async def read(
        self, table: str, part: str, timeout_ms: int, *, first: str = "", limit: int = 500
    ) -> Page:
        """Read rows of a part from the key ``first`` on."""
        query = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        return await self._read(query, timeout_ms)

    async def read_row(self, at: RowKey, timeout_ms: int) -> Row | None:
        """Read one row; None if it does not exist."""
        # ``destination`` is the end of the range, excluded: the next key after this one.
        query = {"table": at.table, "part": at.part, "from": at.key, "destination": at.key + "\0"}
        page = await self._read({**query, "limit": 1}, timeout_ms)
        return page.rows[0] if page.rows else None

    async def _read(self, query: dict[str, Any], timeout_ms: int) -> Page:
        reply = await self._call("GET", f"/rows-get?{urlencode(query)}", b"", timeout_ms)
        _check(reply)
        document = _document(reply)
        return Page(_decode_rows(document), bool(document.get("has_more")), _version(document))

    async def watch(self, table: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes of a table; raises StoreHistoryGoneError if they are forgotten."""
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        reply = await self._call("GET", f"/rows-feed?{query}", b"", wait_ms + FEED_MARGIN_MS)
        if reply.status == 410:
            raise StoreHistoryGoneError(f"the store has no changes after {after}")
        _check(reply)
        document = _document(reply)
        return Changes(_decode_rows(document), _version(document))

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
        return reply.document()
    except ValueError as error:
        raise StoreOutcomeUnknownError("the store's answer is no JSON") from error


def _version(document: dict[str, Any]) -> int:
    try:
        return int(document["ver"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreOutcomeUnknownError("the store's answer has no version") from error


def _decode_rows(document: dict[str, Any]) -> tuple[Row, ...]:
    try:
        return tuple(_decode_row(row) for row in document["rows"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreOutcomeUnknownError(f"the store's rows are malformed: {error!r}") from error


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


def _decode_row(row: dict[str, Any]) -> Row:
    at = RowKey(row["table"], row.get("part", ""), row["key"])
    version = int(row.get("ver", ABSENT))
    absent = row.get("removed") or row.get("value") is None
    return Row(at, None if absent else base64.b64decode(row["value"]), version)
