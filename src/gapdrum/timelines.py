"""Merges log lines of several processes into the timeline of one request and summarizes it."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

# Events without a request that may explain one: state changes of what the request depends on.
CONTEXT_EVENTS = frozenset(
    {
        "agent_disconnected",
        "agent_lost",
        "configuration_in_force",
        "entry_lost",
        "lease_lost",
        "lease_call_failed",
        "runner_gone",
        "runner_on_trial",
        "runner_suspect",
        "runner_unreachable",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
    }
)
# How long before a request's first line a state change may still explain it.
CONTEXT_BEFORE_MS = 1_000
RUNNER_EVENT_PREFIXES = ("runner_",)


@attrs.frozen
class LogLine:
    """One logged decision or state change of one process."""

    t_ms: int
    instance: str
    event: str
    fields: dict[str, Any]

    def render(self, begin_ms: int) -> str:
        """Return the line as text for people, with the time since the request began."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.t_ms - begin_ms:>7} ms  {self.instance:<24} {self.event} {fields}".rstrip()


@attrs.frozen
class Timeline:
    """All log lines that concern one request, in order of time, and a summary."""

    request: str
    lines: tuple[LogLine, ...]
    summary: tuple[str, ...]

    @property
    def begin_ms(self) -> int:
        """Return the time of the request's own first line."""
        own = [line.t_ms for line in self.lines if line.fields.get("request") == self.request]
        return min(own, default=0)


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the log lines in files; other lines are skipped."""
    lines = []
    for path in paths:
        with path.open(errors="replace") as file:
            lines.extend(line for line in map(_parse, file) if line is not None)
    return sorted(lines, key=lambda line: line.t_ms)


def _parse(text: str) -> LogLine | None:
    """Parse a line of a file; a log collector may have put a prefix before the JSON object."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        document = json.loads(text[begin:])
    except ValueError:
        return None
    if not isinstance(document, dict) or not {"t_ms", "at", "event"} <= document.keys():
        return None
    fields = {key: document[key] for key in document if key not in ("t_ms", "at", "event")}
    return LogLine(document["t_ms"], document["at"], document["event"], fields)


def build_timeline(request: str, lines: list[LogLine]) -> Timeline:
    """Return the timeline of a request, with the state changes that may have affected it.

    ``request`` is the identifier of a job, or the one that the caller gave to a call.
    """
    calls = [line for line in lines if line.fields.get("call") == request]
    if request and calls:
        request = calls[0].fields["request"]
    own = [line for line in lines if _concerns(line, request)]
    if not own:
        return Timeline(request, (), ("no process has logged this request",))
    begin_ms, end_ms = own[0].t_ms - CONTEXT_BEFORE_MS, own[-1].t_ms
    instances = {line.instance for line in own}
    runners = {line.fields["runner"] for line in own if "runner" in line.fields}
    context = [
        line
        for line in lines
        if begin_ms <= line.t_ms <= end_ms and _is_context(line, instances, runners)
    ]
    joined = sorted([*own, *context], key=lambda line: line.t_ms)
    return Timeline(request, tuple(joined), tuple(_summarize(own)))


def _concerns(line: LogLine, request: str) -> bool:
    if line.fields.get("request") == request:
        return True
    path = line.fields.get("path", "")
    return isinstance(path, str) and path.rpartition("/")[2] == request


def _is_context(line: LogLine, instances: set[str], runners: set[str]) -> bool:
    if line.event not in CONTEXT_EVENTS or "request" in line.fields:
        return False
    if line.event.startswith(RUNNER_EVENT_PREFIXES):
        return line.fields.get("runner") in runners
    return line.instance in instances


def _summarize(own: list[LogLine]) -> list[str]:
    """Return sentences on the outcome of the request and on the causes of delays."""
    sentences = []
    for line in own:
        describe = _OUTCOMES.get(line.event)
        if describe is not None:
            sentences.append(describe(line))
    if not sentences:
        sentences.append(f"no end is logged; the last event is {own[-1].event}")
    sentences.extend(_describe_delays(own))
    return sentences


def _describe_delays(own: list[LogLine]) -> list[str]:
    begin_ms = own[0].t_ms
    sentences = []
    started = [line.t_ms for line in own if line.event == "task_started"]
    held = sum(line.event == "task_held" for line in own)
    if started:
        sentences.append(f"its first task started after {started[0] - begin_ms} ms")
    if held:
        sentences.append(f"{held} tasks were held for lack of room")
    counts: dict[str, int] = {}
    for line in own:
        if line.event in ("task_released", "task_straggles", "order_refused"):
            reason = f"{line.event}: {line.fields.get('reason')}"
            counts[reason] = counts.get(reason, 0) + 1
        elif line.event == "task_ended" and line.fields.get("end") != "done":
            reason = f"run ended {line.fields.get('end')} at {line.fields.get('runner')}"
            counts[reason] = counts.get(reason, 0) + 1
    sentences.extend(f"{reason} ({count} times)" for reason, count in counts.items())
    return sentences


def _describe_end(line: LogLine) -> str:
    fields = line.fields
    overrun_ms = fields["total_ms"] - fields["objective_ms"]
    overrun = f"{overrun_ms} ms over" if overrun_ms > 0 else "within"
    return f"ended {fields['state']} after {fields['total_ms']} ms, {overrun} its objective"


_OUTCOMES = {
    "job_ended": _describe_end,
    "job_refused": lambda line: f"refused, not run: {line.fields['reason']}",
    "job_given_up": lambda line: (
        f"given up, not run: no room within {line.fields['waited_ms']} ms of waiting"
    ),
    "job_unsettled": lambda _line: "the store did not say in time whether it was stored",
    "job_cancelled": lambda _line: "cancelled by a caller",
    "job_taken_over": lambda line: (
        f"taken over by {line.instance} with epoch {line.fields['epoch']}"
    ),
    "job_known": lambda line: f"submitted again at {line.instance}",
    "request_rejected": lambda line: (
        f"rejected with {line.fields['status']}: {line.fields['reason']}"
    ),
    "job_dropped": lambda line: (
        f"dropped by {line.instance}: {line.fields['reason']}"
        if line.fields["reason"] != "ended"
        else f"answered at {line.instance}"
    ),
}
