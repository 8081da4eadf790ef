"""Client of the platform's transactional table and object store (see docs/PLATFORM.md)."""

import json
from typing import Any
from urllib.parse import quote

import attrs
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from gapdrum.exceptions import GapdrumError, StoreError, StoreOutcomeUnknownError

READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 1.0
POOL_SIZE = 16
ABSENT = 0
ANY_VERSION = -1

Document = dict[str, Any]


@attrs.frozen
class Row:
    """A row of the table; each write increments its version; the first version is 1."""

    key: str
    version: int
    value: Document


@attrs.frozen
class TableWrite:
    """One conditional write: it takes effect only at ``expected_version``.

    ``ABSENT`` requires that the row does not exist; ``ANY_VERSION`` is
    unconditional.  A ``value`` of None deletes the row.  The store may drop the
    row after ``ttl_ms``.
    """

    key: str
    expected_version: int
    value: Document | None
    ttl_ms: int = 0


class ConditionFailedError(GapdrumError):
    """A transaction had no effect: some rows were not at the expected version.

    ``rows`` maps the key of each such row to its current row, None if absent.
    """

    code = "condition_failed"
    http_status = 409

    def __init__(self, rows: dict[str, Row | None]) -> None:
        super().__init__("a row was not at the expected version")
        self.rows = rows


class StoreClient:
    """Blocking calls to the store; each raises StoreError if it fails.

    A write whose response is lost raises StoreOutcomeUnknownError.  Callers read
    the row back to determine the outcome (see ``commits``) and never retry blindly.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def transact(self, writes: list[TableWrite]) -> None:
        """Apply all writes or none; raises ConditionFailedError if a row has another version."""
        body = {"operations": [attrs.asdict(write) for write in writes]}
        response = self._write("POST", "/table/transact", json.dumps(body).encode())
        if response.status == 409:
            failed = json.loads(response.data)["failed"]
            rows = {item["key"]: _read_row(item["row"]) for item in failed}
            raise ConditionFailedError(rows)

    def read(self, keys: list[str]) -> dict[str, Row | None]:
        """Return the rows of the keys; None for absent rows."""
        document = self._fetch_json("POST", "/table/read", json.dumps({"keys": keys}).encode())
        rows = [_read_row(item) for item in document["rows"]]
        return dict(zip(keys, rows, strict=True))

    def scan(self, prefix: str) -> list[Row]:
        """Return all rows whose key starts with the prefix, in key order."""
        document = self._fetch_json("GET", f"/table/scan?prefix={quote(prefix)}", b"")
        return [Row(**item) for item in document["rows"]]

    def put_object(self, key: str, content: bytes) -> None:
        """Store an object under a key, replacing an existing one."""
        self._write("PUT", f"/objects/{quote(key)}", content)

    def get_object(self, key: str) -> bytes | None:
        """Return an object's content, or None if it does not exist."""
        response = self._request("GET", f"/objects/{quote(key)}", b"", READ_TIMEOUT_S)
        if response.status == 404:
            return None
        _check_read(response)
        return response.data

    def list_objects(self, prefix: str) -> list[str]:
        """Return the keys of all objects under a prefix, in order."""
        return self._fetch_json("GET", f"/objects?prefix={quote(prefix)}", b"")["keys"]

    def _fetch_json(self, method: str, path: str, body: bytes) -> Document:
        response = self._request(method, path, body, READ_TIMEOUT_S)
        _check_read(response)
        return json.loads(response.data)

    def _write(self, method: str, path: str, body: bytes) -> urllib3.BaseHTTPResponse:
        response = self._request(method, path, body, WRITE_TIMEOUT_S)
        if response.status >= 500:
            raise StoreOutcomeUnknownError(f"the store answered {response.status}")
        return response

    def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method, self._base_url + path, body=body, timeout=timeout_s, retries=False
            )
        except NewConnectionError as error:
            raise StoreError("the store refuses connections") from error
        except HTTPError as error:
            raise StoreOutcomeUnknownError(f"no answer: {type(error).__name__}") from error


def _check_read(response: urllib3.BaseHTTPResponse) -> None:
    if response.status != 200:
        raise StoreError(f"the store answered {response.status}")


def _read_row(item: Document | None) -> Row | None:
    return Row(**item) if item is not None else None
