"""Structured log lines on standard output: one JSON object each, bounded and never blocking."""

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
# Lines that wait for a slow reader of standard output; about 2 MB, a few seconds at full load.
MAX_WAITING_LINES = 8_192
# Lines a second from one process; decisions of the busiest second measured stay below this.
MAX_LINES_PER_S = 4_000
FLUSH_INTERVAL_MS = 50
MAX_TRACE_LENGTH = 2_000
MAX_REASON_LENGTH = 60  # a label of a counter; reasons are codes or short texts
# Writes of up to this size reach a pipe whole, so that lines are never torn (PIPE_BUF).
FLUSH_BYTES = 4_096

_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode


class EventLog:
    """Writes decisions and changes of belief; counts what it has to drop, by event.

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
        self._left = MAX_LINES_PER_S
        self._rest = b""
        self._flush_soon: CoalescedCallback | None = None  # once it is open

    def open(self) -> None:
        """Send the lines to standard output from now on, with what fails in the timers."""
        os.set_blocking(STDOUT, False)
        self._timers.on_error = self._note_error
        self._flush_soon = CoalescedCallback(self._timers, FLUSH_INTERVAL_MS, self.flush)
        self._flush_soon.schedule()
        self._timers.subscribe(1_000, self._refill)

    def write(self, event: str, **fields: Any) -> None:
        """Count an event and write its line, unless too many have been written or wait."""
        self._measure(event, fields)
        if self._left <= 0 or len(self._lines) >= MAX_WAITING_LINES:
            self.dropped[event] += 1
            return
        self._left -= 1
        line = {"t_ms": self._timers.wall_ms(), "at": self._instance, "event": event, **fields}
        self._lines.append(_encode(line).encode() + b"\n")
        self._plan_flush()

    def _plan_flush(self) -> None:
        if self._flush_soon is not None:
            self._flush_soon.schedule()

    def _measure(self, event: str, fields: dict[str, Any]) -> None:
        reason = fields.get("reason", fields.get("end", fields.get("state", "")))
        self.measures.events[event, str(reason)[:MAX_REASON_LENGTH]] += 1
        for kind, field in LATENCIES:
            if kind == event:
                self.measures.observe_latency(f"{event}_{field.removesuffix('_ms')}", fields[field])

    def _note_error(self, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error))
        self.write("unexpected", text=trace[-MAX_TRACE_LENGTH:])

    def _refill(self) -> None:
        self._left = MAX_LINES_PER_S
        if self.dropped:
            self.write("lines_dropped", total=sum(self.dropped.values()))

    def flush(self) -> None:
        """Write what waits, as far as standard output takes it at once."""
        while self._rest or self._lines:
            chunk = self._rest or self._gather()
            try:
                written = os.write(STDOUT, chunk)
            except BlockingIOError:
                self._rest = chunk
                self._plan_flush()
                return
            except OSError:
                self._lines.clear()  # nobody reads any more: there is nowhere left to say so
                self._rest = b""
                return
            self._rest = chunk[written:]

    def _gather(self) -> bytes:
        parts = []
        size = 0
        while self._lines and (not parts or size + len(self._lines[0]) <= FLUSH_BYTES):
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return b"".join(parts)


def write_loop_errors(log: EventLog) -> None:
    """Send what asyncio has to tell of errors to the log, in place of standard error."""

    def write(_loop: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
        error = details.get("exception")
        log.write("unexpected", text=f"{details.get('message', '')}: {error!r}"[:MAX_TRACE_LENGTH])

    asyncio.get_running_loop().set_exception_handler(write)


def run_program(main: Any) -> None:
    """Run a program's coroutine function until it ends, and pass on its exit code."""
    sys.exit(asyncio.run(main()) or 0)
