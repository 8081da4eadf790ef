"""Recorded traces: submissions with their times, and the outcome that a replay must reach.

A trace is a text file with one JSON document per line: first the stated
outcome, then the submissions in order of time.
"""

import json
from pathlib import Path

import attrs

from gapdrum.conversion import structure, unstructure
from gapdrum.exceptions import InvalidInputError
from gapdrum.models import Submission, TaskSpec
from gapdrum.structures import count_field, text_field


@attrs.frozen
class StatedOutcome:
    """The counts that a replay must reach exactly, and the limits it must not exceed."""

    jobs: int = count_field()
    complete: int = count_field()
    failed: int = count_field()
    refused: int = count_field()
    starts_max_per_task: int = count_field()
    wasted_percent_max: float = 100.0


@attrs.frozen
class TracedJob:
    """One submission of a trace; it is sent ``copies`` times at once, with the same key."""

    at_ms: int = count_field()
    key: str = text_field()
    team: str = text_field()
    upstream: str = text_field()
    kind: str = text_field()
    deadline_ms: int = count_field()
    run_ms: list[int]
    starts_allowed: int = count_field(default=1)
    copies: int = count_field(10, 1, default=1)
    fail: bool = False

    @property
    def ideal_ms(self) -> int:
        """Return the longest run time of the tasks: the response time without any waiting."""
        return max(self.run_ms)

    def to_submission(self, prefix: str) -> Submission:
        """Return the submission, with a prefix that makes its key unique to one replay."""
        tasks = [TaskSpec(_build_payload(run_ms, self.fail)) for run_ms in self.run_ms]
        return Submission(
            key=f"{prefix}{self.key}",
            team=self.team,
            upstream=self.upstream,
            deadline_ms=self.deadline_ms,
            tasks=tasks,
            kind=self.kind,
            starts_allowed=self.starts_allowed,
        )


@attrs.frozen
class Trace:
    """A stated outcome, and the submissions whose replay must reach it."""

    outcome: StatedOutcome
    jobs: list[TracedJob]

    @property
    def calls(self) -> int:
        """Return the number of submissions, including copies of the same key."""
        return sum(job.copies for job in self.jobs)


def load_trace(path: Path) -> Trace:
    """Return the trace in a file; raises InvalidInputError with the invalid line."""
    lines = path.read_text().splitlines()
    if not lines:
        raise InvalidInputError("the trace is empty")
    outcome = _read_line(lines[0], StatedOutcome, f"{path.name}:1")
    jobs = [
        _read_line(line, TracedJob, f"{path.name}:{number}")
        for number, line in enumerate(lines[1:], 2)
    ]
    return Trace(outcome, jobs)


def dump_trace(trace: Trace) -> str:
    """Return the text of the file for a trace."""
    documents = [unstructure(trace.outcome), *(unstructure(job) for job in trace.jobs)]
    return "".join(json.dumps(document) + "\n" for document in documents)


def _read_line(line: str, target: type, place: str):
    try:
        return structure(json.loads(line), target, place)
    except json.JSONDecodeError as error:
        raise InvalidInputError(f"{place}: {error.msg}") from error


def _build_payload(run_ms: int, fail: bool) -> str:
    document = {"run_ms": run_ms, "fail": True} if fail else {"run_ms": run_ms}
    return json.dumps(document)
