"""Parses the requests of one connection, within limits on each request."""

from collections.abc import Callable

import attrs
import httptools

PIECE_BYTES = 512  # parsed at a time where a request may end, so that few requests are read ahead
FIELD_BYTES = 200  # memory of a header field beside its text
REQUEST_BYTES = 1_024  # memory of a request beside its fields and body


@attrs.define
class HttpLimits:
    """Limits on requests and connections; they may change while connections are open."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000  # from the first byte of a request to the end of its body
    idle_timeout_ms: int = 15_000


class RejectedRequestError(Exception):
    """A request is malformed or exceeds a limit; the connection can't be parsed any further."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


@attrs.define
class ReceivedRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    held_bytes: int


class RequestReader:
    """Parses received bytes piece by piece.

    ``on_request`` is called with each complete request, and ``on_continue`` if its sender waits to
    be told that the body may come::

        reader = RequestReader(limits, requests.append, send_continue)
        consumed = reader.feed(received)
    """

    def __init__(
        self,
        limits: HttpLimits,
        on_request: Callable[[ReceivedRequest], None],
        on_continue: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._on_request = on_request
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        self._rejection: RejectedRequestError | None = None
        self._reset()

    def _reset(self) -> None:
        self._begun = False
        self._in_head = True
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._missing_bytes = 0  # of a body of stated length
        self._head_bytes = 0  # of names, values and the target, as the limit counts them
        self._held_bytes = 0
        # Received since the head or the body has grown: empty lines, trailers, chunk extensions.
        self._framing_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request that is being received."""
        return self._held_bytes + len(self._body) + self._framing_bytes

    @property
    def is_inside_request(self) -> bool:
        """Tell whether a part of a request was received."""
        return self._begun or self._framing_bytes > 0

    def feed(self, received: memoryview) -> int:
        """Parse the first piece and return its length; raises RejectedRequestError."""
        length = min(len(received), max(PIECE_BYTES, self._missing_bytes))
        body_bytes = len(self._body)
        # Counted before, as the parser may reset it: a request that ends in this piece.
        self._framing_bytes += length
        try:
            self._parser.feed_data(received[:length])
        except httptools.HttpParserUpgrade as error:
            raise RejectedRequestError(400, "upgrade_unsupported") from error
        except httptools.HttpParserError as error:
            raise self._rejection or RejectedRequestError(400, "malformed_request") from error
        if len(self._body) > body_bytes:
            self._framing_bytes = 0
        if self._framing_bytes > self._limits.max_header_bytes + PIECE_BYTES:
            raise RejectedRequestError(431, "headers_too_large")
        return length

    def close(self) -> None:
        """Free what was received; the parser refers to this object, and this object to it."""
        self._parser = None
        self._rejection = None
        self._reset()

    def _reject(self, status: int, code: str) -> None:
        """Stop the parser by an exception in its callback."""
        self._rejection = RejectedRequestError(status, code)
        raise self._rejection

    # Callbacks of the parser, under the names that httptools requires.

    def on_message_begin(self) -> None:
        """Begin a request."""
        empty_lines_bytes = self._framing_bytes
        self._reset()
        self._begun = True
        self._framing_bytes = empty_lines_bytes

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._count_head(len(url), len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header or trailer field."""
        size = len(name) + len(value) + len(":\r\n")
        if self._in_head:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
            self._count_head(size, size + FIELD_BYTES)
        else:
            self._count_head(size, 0)  # a trailer field, which nothing uses

    def _count_head(self, size: int, held_bytes: int) -> None:
        self._head_bytes += size
        self._held_bytes += held_bytes
        if self._head_bytes > self._limits.max_header_bytes:
            self._reject(431, "headers_too_large")

    def on_headers_complete(self) -> None:
        """Check the length that the head states."""
        self._in_head = False
        self._framing_bytes = 0
        length = self._headers.get("content-length", "0")
        if length.isdigit():
            if int(length) > self._limits.max_body_bytes:
                self._reject(413, "body_too_large")
            self._missing_bytes = int(length)
        if self._headers.get("expect", "").lower() == "100-continue":
            self._on_continue()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            self._reject(413, "body_too_large")
        self._body += body
        self._missing_bytes = max(0, self._missing_bytes - len(body))

    def on_message_complete(self) -> None:
        """Pass the request on."""
        request = ReceivedRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            REQUEST_BYTES + self._held_bytes + len(self._body),
        )
        self._reset()
        self._on_request(request)
