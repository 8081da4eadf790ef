"""The rows of jobs and entries in the platform's store, as msgpack records.

A durable job's row is in the table of open jobs from acceptance to its end, when one transaction
moves it to the table of ended jobs. The tables of jobs are partitioned: a job's identifier picks
its part, which spreads writes and lets jobs of one part share a transaction.
"""

import zlib
from typing import TypeVar

import attrs
from attrs import validators

from gapdrum.codec import MAX_FRAME_BYTES, Decoder, encode, message
from gapdrum.core.configuration import check_factor
from gapdrum.core.models import JobState, Resources, Step, TaskName
from gapdrum.core.rows import RowKey
from gapdrum.exceptions import FrameError, RecordError
from gapdrum.structures import count_field, rows_field, text_field

T = TypeVar("T")
U = TypeVar("U")

OPEN_TABLE = "open"
PROGRESS_TABLE = "progress"
ENDED_TABLE = "ended"
LEASE_TABLE = "leases"
ADDRESS_TABLE = "entries"
UNPARTITIONED = ""  # the only part of a table that is not partitioned
# A part takes 200 transactions a second, one after another, and a job needs two: eight parts carry
# the 430 jobs a second of the larger deployments with room to spare.
JOB_PARTS = tuple(str(number) for number in range(8))
MAX_SPEC_LENGTH = 4_000
MAX_STEPS = 1_000
MAX_TASKS = 10_000
MAX_QUEUES = 10_000
# Attempt numbers of an epoch are above those of all earlier epochs: a new owner, which does not
# know how often a task was started, never reuses a number.
ATTEMPTS_PER_EPOCH = 1_000
# Smaller records are stored as they are.
COMPRESSED_BYTES = 16_384
ZLIB_FIRST_BYTE = b"\x78"
_COUNTS = validators.deep_iterable(validators.instance_of(int))


def job_part(job_id: str) -> str:
    """Return the part of the store with a job's rows."""
    return JOB_PARTS[int(job_id[-1], 16) % len(JOB_PARTS)]


def open_row(job_id: str) -> RowKey:
    """Return the key of an open job's row."""
    return RowKey(OPEN_TABLE, job_part(job_id), job_id)


def progress_row(job_id: str) -> RowKey:
    """Return the key of the row with the ends of a long job's tasks while it is open."""
    return RowKey(PROGRESS_TABLE, job_part(job_id), job_id)


def ended_row(job_id: str) -> RowKey:
    """Return the key of an ended job's row."""
    return RowKey(ENDED_TABLE, job_part(job_id), job_id)


def lease_row(instance: str) -> RowKey:
    """Return the key of an entry's lease."""
    return RowKey(LEASE_TABLE, UNPARTITIONED, instance)


def address_row(instance: str) -> RowKey:
    """Return the key of an entry's address."""
    return RowKey(ADDRESS_TABLE, UNPARTITIONED, instance)


@attrs.frozen
class StepRow:
    """A step in the flat form of a row."""

    tasks: int = count_field(MAX_TASKS, 1)
    cpu_milli: int = count_field()
    memory_mb: int = count_field()
    accelerators: int = count_field()
    estimate_ms: int = count_field()
    after: tuple[int, ...] = attrs.field(converter=tuple, validator=_COUNTS)
    required_label: str = text_field(MAX_SPEC_LENGTH, default="")
    data_rack: str = text_field(MAX_SPEC_LENGTH, default="")
    runner_limit: int = count_field(default=0)

    def to_step(self) -> Step:
        """Return the step."""
        room = Resources(self.cpu_milli, self.memory_mb, self.accelerators)
        return Step(
            self.tasks,
            room,
            self.estimate_ms,
            self.after,
            self.required_label,
            self.data_rack,
            self.runner_limit,
        )


def step_row(step: Step) -> StepRow:
    """Return a step in its flat form."""
    return StepRow(
        step.tasks,
        step.resources.cpu_milli,
        step.resources.memory_mb,
        step.resources.accelerators,
        step.estimate_ms,
        step.after,
        step.required_label,
        step.data_rack,
        step.runner_limit,
    )


@message(60)
@attrs.frozen
class OpenJob:
    """An accepted job that has not ended, with its owner and the owner's epoch."""

    queue: str = text_field()
    upstream: str = text_field()
    spec: str = text_field(MAX_SPEC_LENGTH)
    owner: str = text_field()
    epoch: int = count_field(minimum=1)
    accepted_wall_ms: int = count_field()
    steps: tuple[StepRow, ...] = rows_field(StepRow, MAX_STEPS)


@message(67)
@attrs.frozen
class JobPolicy:
    """How a job is run: the policy of its queue when it was accepted, for all its owners.

    ``failure_limit`` is 0 if it is not known, and the job then fails by no number of attempts.
    ``host`` and ``prefix`` are the path at which the job was submitted, which identifies its queue:
    a queue may be renamed, and its name be given to another one. ``version`` is that of the
    configuration.

    It follows ``OpenJob`` in the job's row. Earlier releases don't write it, and read the first
    record only.
    """

    failure_limit: int = count_field(default=0)
    priority: int = count_field(default=0)
    latency_factor: float = attrs.field(default=1.0, validator=check_factor)
    latency_slack_ms: int = count_field(default=0)
    host: str = text_field(default="")
    prefix: str = text_field(default="")
    version: int = count_field(default=0)


UNKNOWN_POLICY = JobPolicy()


@attrs.frozen
class TaskProgress:
    """Whether a task of an open job is done, its failed attempts, and the crashes under it.

    Nothing of it is undone. ``attempt`` is the one that has done the task or, of a task that is not
    done, the last one that was abandoned: no end of it or of an earlier one counts. It is 0 if
    there is none.
    ``crashes`` counts the runners that crashed while they held the task, ``crashes_alone`` those
    that held nothing else.
    """

    step: int = count_field()
    index: int = count_field()
    done: bool = attrs.field(validator=validators.instance_of(bool))
    failed_attempts: tuple[int, ...] = attrs.field(converter=tuple, validator=_COUNTS)
    crashes: int = count_field(default=0)
    crashes_alone: int = count_field(default=0)
    attempt: int = count_field(default=0)


@message(61)
@attrs.frozen
class JobProgress:
    """The progress of an open job's tasks."""

    tasks: tuple[TaskProgress, ...] = rows_field(TaskProgress, MAX_TASKS)


@message(68)
@attrs.frozen
class JobRoute:
    """Where the tasks of an open job are placed since a configuration of this version.

    It follows ``JobProgress`` in the progress row of a job whose queue was renamed or sent to
    another upstream, so that a next owner knows it also if the queue does not exist any more.
    """

    queue: str = text_field()
    upstream: str = text_field()
    version: int = count_field()


@attrs.frozen
class Restart:
    """A task and its lowest attempt whose end counts, 0 if that of any may count."""

    step: int = count_field()
    index: int = count_field()
    attempt: int = count_field()


@message(62)
@attrs.frozen
class EndedJob:
    """An ended job; its owner and epoch tell a repeated write from another entry's.

    For a task that is not among the restarts, ends count from the first attempt of
    ``counted_epoch`` on. An entry that cancels another one's job knows no attempts, so
    ``counted_epoch`` is 0 and the job's progress row stays until the restarts have been read from
    it. Without that row, the ends of all attempts count that are not among the restarts.
    """

    queue: str = text_field()
    state: str = attrs.field(validator=validators.in_([state.value for state in JobState]))
    owner: str = text_field()
    epoch: int = count_field()
    restarts: tuple[Restart, ...] = rows_field(Restart, MAX_TASKS)
    counted_epoch: int = count_field(default=0)

    @property
    def job_state(self) -> JobState:
        """Return the final state."""
        return JobState(self.state)

    @property
    def names_attempts(self) -> bool:
        """Tell whether the record names the attempts that count; else the progress row may."""
        return bool(self.counted_epoch or self.restarts)


@attrs.frozen
class TaskFailures:
    """The failed attempts of a task that were counted and followed by another start."""

    step: int = count_field()
    index: int = count_field()
    attempts: tuple[int, ...] = attrs.field(converter=tuple, validator=_COUNTS)


@message(69)
@attrs.frozen
class JobFailures:
    """The counted failures of an ended job's tasks that its restarts don't tell.

    It follows ``EndedJob`` in the job's row where there are any. A failed end of another attempt
    below the lowest one that counts must not count: the task may have been started since then as
    often as its job allows.
    """

    tasks: tuple[TaskFailures, ...] = rows_field(TaskFailures, MAX_TASKS, default=())


@attrs.frozen
class JobEnd:
    """The end of a job as its row in the table of ended jobs tells it."""

    record: EndedJob
    failures: JobFailures = JobFailures()

    def dump(self) -> bytes:
        """Encode the end as the value of its row."""
        if not self.failures.tasks:
            return dump_record(self.record)
        return dump_record(self.record, self.failures)


@attrs.frozen
class QueueDepth:
    """How many open jobs of a queue at an entry have not begun."""

    queue: str = text_field()
    waiting: int = count_field()


@message(63)
@attrs.frozen
class EntryLease:
    """An entry's lease: the incarnation that holds it, and figures for its peers."""

    incarnation: str = text_field()
    renewals: int = count_field()
    depths: tuple[QueueDepth, ...] = rows_field(QueueDepth, MAX_QUEUES)
    agents: int = count_field(default=0)  # connected to the entry
    free_permille: int = count_field(default=0)  # of the room that the entry sees


@message(64)
@attrs.frozen
class EntryAddress:
    """Where an entry listens for agents, and the share of all agents that it requests.

    The entry writes it at its start and when the share changes.
    """

    incarnation: str = text_field()
    zone: str = text_field()
    host: str = text_field()
    port: int = count_field()
    wanted_permille: int = count_field(default=0)


def dump_job(record: OpenJob, policy: JobPolicy | None) -> bytes:
    """Encode an open job as the value of its row, with its policy if that is known."""
    return dump_record(record) if policy is None else dump_record(record, policy)


def dump_record(*records: object) -> bytes:
    """Encode a record, and what is added to it, as the value of a row; a large one is compressed.

    The progress of a job with ``MAX_TASKS`` tasks does not fit into a row otherwise.
    """
    value = b"".join(map(encode, records))
    return value if len(value) < COMPRESSED_BYTES else zlib.compress(value)


def load_record(value: bytes, kind: type[T]) -> T:
    """Decode a row's value as a record of a kind.

    Raises RecordError if the value is malformed or of another kind, as another writer's may be.
    """
    try:
        record = next(Decoder().feed(_decompress(value)), None)
    except (FrameError, zlib.error) as error:
        raise RecordError(str(error)) from error
    if not isinstance(record, kind):
        raise RecordError(f"expected {kind.__name__}, found {type(record).__name__}")
    return record


def load_records(value: bytes, kind: type[T], added_kind: type[U]) -> tuple[T, U | None]:
    """Decode a row's value as two records; the second is None if the row does not have it.

    Raises RecordError if the value is malformed or a record is of another kind.
    """
    try:
        records = Decoder().feed(_decompress(value))
        record, added = next(records, None), next(records, None)
    except (FrameError, zlib.error) as error:
        raise RecordError(str(error)) from error
    if not isinstance(record, kind) or not isinstance(added, added_kind | None):
        found = f"{type(record).__name__} and {type(added).__name__}"
        raise RecordError(f"expected {kind.__name__} and {added_kind.__name__}, found {found}")
    return record, added


def load_end(value: bytes) -> JobEnd:
    """Decode the row of an ended job; raises RecordError if the value is malformed."""
    record, failures = load_records(value, EndedJob, JobFailures)
    return JobEnd(record, failures or JobFailures())


def _decompress(value: bytes) -> bytes:
    """Return the encoded record in a row's value; no record begins with zlib's first byte."""
    if not value.startswith(ZLIB_FIRST_BYTE):
        return value
    return zlib.decompressobj().decompress(value, MAX_FRAME_BYTES)


def restarts_in(progress: JobProgress) -> tuple[Restart, ...]:
    """Return the tasks that may have been started again, as the progress of their job tells."""
    return tuple(
        Restart(row.step, row.index, row.attempt if row.done else row.attempt + 1)
        for row in progress.tasks
        if row.attempt
    )


def failures_in(progress: JobProgress) -> JobFailures:
    """Return the failures that the progress of a job tells."""
    return JobFailures(
        tuple(
            TaskFailures(row.step, row.index, row.failed_attempts)
            for row in progress.tasks
            if row.failed_attempts
        )
    )


def owner_name(instance: str, incarnation: str) -> str:
    """Return the owner's name in a job's row, for one incarnation of the entry ``instance``."""
    return f"{instance}/{incarnation}"


def entry_of_owner(owner: str) -> str:
    """Return the entry of which an owner is an incarnation."""
    return owner.rpartition("/")[0]


def first_attempt(epoch: int) -> int:
    """Return the number of a task's first attempt in an epoch."""
    return (epoch - 1) * ATTEMPTS_PER_EPOCH + 1


def task_name(job_id: str, step: int, index: int) -> TaskName:
    """Return the name of a task; its occurrence is 0, as jobs here don't repeat."""
    return TaskName(job_id, 0, step, index)
