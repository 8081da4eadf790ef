"""The data that callers exchange with an entry: submissions, answers and progress."""

import hashlib
import json

import attrs

from gapdrum import reasons
from gapdrum.messages import MAX_PAYLOAD_LENGTH, MAX_TASKS_PER_JOB
from gapdrum.structures import count_field, text_field

MAX_DEADLINE_MS = 120_000
MIN_DEADLINE_MS = 10
MAX_STARTS_ALLOWED = 5
MAX_KEY_LENGTH = 128
JOB_ID_BYTES = 16


def _check_tasks(_instance: object, _attribute: attrs.Attribute, tasks: list) -> None:
    if not 1 <= len(tasks) <= MAX_TASKS_PER_JOB:
        raise ValueError(f"tasks must have 1 to {MAX_TASKS_PER_JOB} items")


def _check_name(_instance: object, attribute: attrs.Attribute, name: str) -> None:
    if not name or not all(letter.isalnum() or letter in "-_.:" for letter in name):
        raise ValueError(f"{attribute.name} must be letters, digits, '-', '_', '.' or ':'")


@attrs.frozen
class TaskSpec:
    """One task of a submission: the payload that is passed to the runner."""

    payload: str = text_field(MAX_PAYLOAD_LENGTH)


@attrs.frozen
class Submission:
    """A job as submitted by a caller.

    ``key`` is the idempotency key within the team: the same key with the same
    body is the same job.  ``starts_allowed`` limits how often each task may
    start; with 1, a task whose fate is unknown is never retried.
    """

    key: str = attrs.field(validator=[attrs.validators.max_len(MAX_KEY_LENGTH), _check_name])
    team: str = attrs.field(validator=[attrs.validators.max_len(MAX_KEY_LENGTH), _check_name])
    upstream: str = attrs.field(validator=[attrs.validators.max_len(MAX_KEY_LENGTH), _check_name])
    deadline_ms: int = count_field(MAX_DEADLINE_MS, MIN_DEADLINE_MS)
    tasks: list[TaskSpec] = attrs.field(validator=_check_tasks)
    kind: str = text_field(MAX_KEY_LENGTH, default="")
    starts_allowed: int = count_field(MAX_STARTS_ALLOWED, 1, default=1)
    accelerators: int = count_field(64, default=0)

    @property
    def job_id(self) -> str:
        """Return the identity of the job, which is the same at every entry."""
        return job_id_for(self.team, self.key)

    @property
    def body_hash(self) -> str:
        """Return a digest of the submission; two submissions of one key must have the same."""
        document = json.dumps(attrs.asdict(self), sort_keys=True)
        return hashlib.blake2b(document.encode(), digest_size=JOB_ID_BYTES).hexdigest()


def job_id_for(team: str, key: str) -> str:
    """Return the job identity that belongs to an idempotency key of a team."""
    text = f"{team}\n{key}"
    return hashlib.blake2b(text.encode(), digest_size=JOB_ID_BYTES).hexdigest()


@attrs.frozen
class TaskOutcome:
    """The fate of one task in an answer, and its result if the task is done.

    ``starts`` is how often the task may have started: attempts that are proven
    not to have started are not counted.
    """

    index: int
    fate: str
    reason: str
    result: str
    starts: int


@attrs.frozen
class Answer:
    """The answer to a job: complete if every task is done, otherwise failed."""

    job_id: str
    team: str
    key: str
    outcome: str
    reason: str
    epoch: int
    response_ms: int
    tasks: list[TaskOutcome]


@attrs.frozen
class Progress:
    """The progress of a job: the number of its tasks in each state."""

    job_id: str
    team: str
    state: str
    waiting: int
    placed: int
    done: int
    failed: int
    not_run: int
    unknown: int


def summarize_outcome(outcomes: list[TaskOutcome]) -> str:
    """Return ``complete`` if every task is done, otherwise ``failed``."""
    all_done = all(outcome.fate == reasons.DONE for outcome in outcomes)
    return reasons.COMPLETE if all_done else reasons.FAILED
