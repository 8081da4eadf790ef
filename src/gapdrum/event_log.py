"""Structured logs on standard output: one JSON object a line, rate-limited and non-blocking."""

import asyncio
import json
import os
import sys
import traceback
from collections import Counter, deque
from typing import Any

from gapdrum.events import LATENCIES
from gapdrum.process_metrics import ProcessMetrics
from gapdrum.timers import CoalescedCallback, Timers

STDOUT = 1
# Lines buffered for a slow reader of standard output: about 2 MB, a few seconds at full load.
MAX_WAITING_LINES = 8_192
# Lines a second from one process; the busiest second measured stays below this.
MAX_LINES_PER_S = 4_000
FLUSH_INTERVAL_MS = 50
MAX_TRACE_LENGTH = 2_000
MAX_REASON_LENGTH = 60  # bounds the counter's label; reasons are codes or short texts
# Reasons may contain what a client sent; further ones are counted as OTHER_REASON.
MAX_EVENT_LABELS = 1_000
OTHER_REASON = "other"
MAX_LINE_BYTES = 8_192  # longer fields are cut to MAX_FIELD_LENGTH
MAX_FIELD_LENGTH = 200
MAX_WAITING_BYTES = 4 * 1024 * 1024
# Writes of up to this size to a pipe are atomic (PIPE_BUF), so no line is split.
FLUSH_BYTES = 4_096

_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode


class EventLog:
    """Writes decisions and observed state changes; counts dropped lines by event.

    ::

        log = EventLog("entry-1", timers)
        log.write("job_accepted", request="5c0e7a21d94b36f8", queue="photos", store_ms=6)
    """

    def __init__(self, instance: str, timers: Timers) -> None:
        self.dropped: Counter[str] = Counter()
        self.measures = ProcessMetrics()
        self.measures.counters["log_lines_dropped"] = self.dropped.total
        self._instance = instance
        self._timers = timers
        self._lines: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._remaining = MAX_LINES_PER_S
        self._partial = b""
        self._flush_soon: CoalescedCallback | None = None  # set by open()

    def open(self) -> None:
        """Start writing to standard output, and log errors of timer callbacks."""
        os.set_blocking(STDOUT, False)
        self._timers.on_error = self._log_error
        self._flush_soon = CoalescedCallback(self._timers, FLUSH_INTERVAL_MS, self.flush)
        self._flush_soon.schedule()
        self._timers.subscribe(1_000, self._refill_rate_limit)

    def write(self, event: str, **fields: Any) -> None:
        """Count an event and queue its line, unless the rate limit or the buffer is exhausted."""
        self._count(event, fields)
        is_full = len(self._lines) >= MAX_WAITING_LINES or self._waiting_bytes >= MAX_WAITING_BYTES
        if self._remaining <= 0 or is_full:
            self.dropped[event] += 1
            return
        self._remaining -= 1
        head = {"t_ms": self._timers.wall_ms(), "at": self._instance, "event": event}
        line = _encode({**head, **fields}).encode() + b"\n"
        if len(line) > MAX_LINE_BYTES:
            line = _encode({**head, **_shorten(fields)}).encode() + b"\n"
        self._lines.append(line)
        self._waiting_bytes += len(line)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_soon is not None:
            self._flush_soon.schedule()

    def _count(self, event: str, fields: dict[str, Any]) -> None:
        reason = fields.get("reason", fields.get("end", fields.get("state", "")))
        events = self.measures.events
        label = event, str(reason)[:MAX_REASON_LENGTH]
        if label not in events and len(events) >= MAX_EVENT_LABELS:
            label = event, OTHER_REASON
        events[label] += 1
        for kind, field in LATENCIES:
            if kind == event:
                self.measures.observe_latency(f"{event}_{field.removesuffix('_ms')}", fields[field])

    def _log_error(self, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error))
        self.write("unexpected", text=trace[-MAX_TRACE_LENGTH:])

    def _refill_rate_limit(self) -> None:
        self._remaining = MAX_LINES_PER_S
        if self.dropped:
            self.write("lines_dropped", total=sum(self.dropped.values()))

    def flush(self) -> None:
        """Write buffered lines as far as standard output accepts them without blocking."""
        while self._partial or self._lines:
            chunk = self._partial or self._next_chunk()
            try:
                written = os.write(STDOUT, chunk)
            except BlockingIOError:
                self._partial = chunk
                self._schedule_flush()
                return
            except OSError:
                self._lines.clear()  # standard output is closed, so the error can't be logged
                self._partial = b""
                self._waiting_bytes = 0
                return
            self._partial = chunk[written:]

    def _next_chunk(self) -> bytes:
        parts = []
        size = 0
        while self._lines and (not parts or size + len(self._lines[0]) <= FLUSH_BYTES):
            parts.append(self._lines.popleft())
            self._waiting_bytes -= len(parts[-1])
            size += len(parts[-1])
        return b"".join(parts)


def _shorten(fields: dict[str, Any]) -> dict[str, Any]:
    """Cut the values of a line that is too long."""
    return {
        name: value if isinstance(value, int | float) else str(value)[:MAX_FIELD_LENGTH]
        for name, value in fields.items()
    }


def write_loop_errors(log: EventLog) -> None:
    """Write errors that the event loop reports to the log instead of standard error."""

    def write(_loop: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
        error = details.get("exception")
        log.write("unexpected", text=f"{details.get('message', '')}: {error!r}"[:MAX_TRACE_LENGTH])

    asyncio.get_running_loop().set_exception_handler(write)


def run_program(main: Any) -> None:
    """Run a program's coroutine function and exit with the code that it returns."""
    sys.exit(asyncio.run(main()) or 0)
