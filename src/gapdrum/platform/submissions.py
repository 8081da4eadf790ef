"""Decodes the jobs that callers submit, and builds the responses about their state."""

import json
from collections.abc import Mapping
from typing import Any

import attrs

from gapdrum.core.models import JobState, Step
from gapdrum.exceptions import Finding, InvalidInputError, UnsupportedJobError
from gapdrum.platform.resources import decode_resources
from gapdrum.transport.http_messages import HttpResponse, json_response

JOB_ID_LENGTH = 16
MAX_SPEC_BYTES = 4_000
MAX_TASKS = 10_000  # bounds the work per request; users state at most 390 tasks
MAX_COUNT = 2**31

# A duration: how many milliseconds a caller waits for a response. The platform counts it from when
# the request is sent, ``WaitingCallers`` from when it is received.
WAIT_LIMIT_HEADER = "x-deadline"
MAX_WAIT_LIMIT_MS = 24 * 60 * 60 * 1_000
MAX_WAIT_LIMIT_DIGITS = len(str(MAX_WAIT_LIMIT_MS))

# Fields of a step that require what is not implemented. Speculative copies and checkpoints are
# optional for the dispatcher: ``speculative`` and ``saves_progress`` are accepted without effect,
# as is ``image``.
UNSUPPORTED_STEP_FIELDS = ("gang", "same_rack", "long_running", "fills", "may_miss", "target_ms")
UNSUPPORTED_JOB_FIELDS = ("times", "start_at_ms", "interval_ms")
JOB_FIELDS = {"spec", "steps", "best_effort", *UNSUPPORTED_JOB_FIELDS}
STEP_FIELDS = {
    "count", "cpu", "mem_mb", "gpu", "estimate_ms", "after", "requires", "affinity",
    "anti_affinity", "saves_progress", "speculative", "image", *UNSUPPORTED_STEP_FIELDS,
}  # fmt: skip


@attrs.frozen
class SubmittedJob:
    """A decoded and validated job.

    A job that is ``answered_at_end`` is non-durable: the response is sent when it has ended,
    and the caller resubmits it if there is no response.
    """

    spec: str
    steps: tuple[Step, ...]
    answered_at_end: bool


def is_job_id(text: str) -> bool:
    """Tell whether a part of a path is a job id: 16 hexadecimal digits."""
    return len(text) == JOB_ID_LENGTH and all(letter in "0123456789abcdefABCDEF" for letter in text)


def decode_job(body: bytes) -> SubmittedJob:
    """Decode a job; raises InvalidInputError or UnsupportedJobError."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(f"the body is not JSON: {error}") from error
    findings = _JobChecker(document).check()
    if findings:
        raise InvalidInputError("the job has findings", findings=tuple(findings))
    _refuse_unsupported(document)
    return SubmittedJob(
        spec=document["spec"],
        steps=tuple(_decode_step(step) for step in document["steps"]),
        # ``best_effort`` only means that the job need not be stored.
        answered_at_end=bool(document.get("best_effort")),
    )


def decode_wait_limit_ms(headers: Mapping[str, str]) -> int | None:
    """Return how long a caller waits, None if the header is missing or invalid.

    An invalid value must not cost the caller its response, so it sets no limit.
    """
    text = headers.get(WAIT_LIMIT_HEADER, "").strip(" \t")
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_WAIT_LIMIT_DIGITS:
        return None
    limit_ms = int(text)
    return limit_ms if 0 < limit_ms <= MAX_WAIT_LIMIT_MS else None


class _JobChecker:
    """Validates a job's body and collects findings, each with its place."""

    def __init__(self, document: Any) -> None:
        self._document = document
        self._findings: list[Finding] = []

    def check(self) -> list[Finding]:
        document = self._document
        if not isinstance(document, dict):
            self._add("$", "expected an object")
            return self._findings
        self._check_names(document, JOB_FIELDS, "$")
        spec = document.get("spec")
        if not _is_text(spec) or len(spec.encode()) > MAX_SPEC_BYTES:
            self._add("$.spec", f"expected a string of at most {MAX_SPEC_BYTES} bytes")
        steps = document.get("steps")
        if not isinstance(steps, list) or not steps:
            self._add("$.steps", "expected a list with at least one step")
            return self._findings
        for number, step in enumerate(steps):
            self._check_step(number, step)
        if not self._findings and sum(step["count"] for step in steps) > MAX_TASKS:
            self._add("$.steps", f"more than {MAX_TASKS} tasks")
        return self._findings

    def _check_names(self, document: dict, known: set[str], place: str) -> None:
        for name in document.keys() - known:
            self._add(f"{place}.{name}", "unknown field")

    def _check_step(self, number: int, step: Any) -> None:
        place = f"$.steps[{number}]"
        if not isinstance(step, dict):
            self._add(place, "expected an object")
            return
        self._check_names(step, STEP_FIELDS, place)
        self._check_count(step, "count", place, minimum=1, required=True)
        for name in ("cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity"):
            self._check_count(step, name, place)
        for name in ("requires", "affinity", "image"):
            text = step.get(name, "")
            if not _is_text(text) or len(text) > MAX_SPEC_BYTES:
                self._add(f"{place}.{name}", "expected a string")
        after = step.get("after", [])
        if not isinstance(after, list) or not all(
            type(other) is int and 0 <= other < number for other in after
        ):
            self._add(f"{place}.after", "expected numbers of earlier steps")

    def _check_count(
        self, step: dict, name: str, place: str, minimum: int = 0, required: bool = False
    ) -> None:
        value = step.get(name, None if required else minimum)
        if type(value) is not int or not minimum <= value <= MAX_COUNT:
            self._add(f"{place}.{name}", f"expected a whole number from {minimum}")

    def _add(self, place: str, message: str) -> None:
        self._findings.append(Finding(place, message))


def _is_text(value: object) -> bool:
    """Tell whether a value is a string that UTF-8 can encode; JSON allows others."""
    return isinstance(value, str) and not any("\ud800" <= letter <= "\udfff" for letter in value)


def _refuse_unsupported(document: dict[str, Any]) -> None:
    places = [f"$.{name}" for name in UNSUPPORTED_JOB_FIELDS if document.get(name)]
    for number, step in enumerate(document["steps"]):
        places += [
            f"$.steps[{number}].{name}" for name in UNSUPPORTED_STEP_FIELDS if step.get(name)
        ]
    if places:
        findings = tuple(Finding(place, "not supported") for place in places)
        raise UnsupportedJobError("the job uses fields that are not supported", findings=findings)


def _decode_step(step: dict[str, Any]) -> Step:
    return Step(
        tasks=step["count"],
        resources=decode_resources(step),
        estimate_ms=step.get("estimate_ms", 0),
        after=tuple(step.get("after", ())),
        required_label=step.get("requires", ""),
        # ``affinity`` names the rack where the data lies.
        data_rack=step.get("affinity", ""),
        # ``anti_affinity`` is the most tasks of the step that may run on one runner.
        runner_limit=step.get("anti_affinity", 0),
    )


def state_response(state: JobState) -> HttpResponse:
    """Return the response to a query of a job's state."""
    return json_response(200, {"state": state.value})


def waiting_response(jobs: int) -> HttpResponse:
    """Return the response to a query of a queue: how many jobs have not begun."""
    return json_response(200, {"waiting": jobs})
