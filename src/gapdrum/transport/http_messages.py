"""Requests and responses of the HTTP server, and replies of the HTTP client."""

import asyncio
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import attrs

JSON_TYPE = "application/json"


@attrs.define
class HttpRequest:
    """A complete request; header names are in lower case.

    ``received_ms`` is this process's steady clock when the last byte arrived, and ``closed``
    is done once the caller's connection is lost.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    received_ms: int
    closed: asyncio.Future

    def take_body(self) -> bytes:
        """Return the body, and hold it no longer: a decoded request may wait for long."""
        body, self.body = self.body, b""
        return body


@attrs.frozen
class HttpResponse:
    """A response of the server; a ``retry_after_s`` of 0 sends no ``retry-after`` header."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    retry_after_s: int = 0
    close: bool = False
    headers: Mapping[str, str] = attrs.Factory(dict)

    def encode(self, keep_alive: bool) -> bytes:
        """Return the bytes of the response; without ``keep_alive`` it ends the connection."""
        lines = [f"HTTP/1.1 {self.status} {_phrase(self.status)}"]
        if self.body:
            lines.append(f"content-type: {self.content_type}")
        lines.append(f"content-length: {len(self.body)}")
        if self.retry_after_s:
            lines.append(f"retry-after: {self.retry_after_s}")
        lines.extend(f"{name}: {value}" for name, value in self.headers.items())
        if self.close or not keep_alive:
            lines.append("connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + self.body


def json_response(status: int, document: Any, **options: Any) -> HttpResponse:
    """Return a response whose body is the document as JSON."""
    return HttpResponse(status, json.dumps(document, separators=(",", ":")).encode(), **options)


@attrs.frozen
class HttpReply:
    """A complete reply to a request of the client."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Decode the body as JSON; raises ValueError if it is invalid or nested too deeply."""
        try:
            return json.loads(self.body)
        except RecursionError as error:
            raise ValueError("nested too deeply") from error


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
