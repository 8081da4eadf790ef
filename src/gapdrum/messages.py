"""The messages of the internal streams, one attrs class each.

Times named ``agent_time_ms`` and ``start_by_ms`` are read from the agent's
monotonic clock: an agent sends its clock reading in its messages, and the
entry computes time limits from the last reading, so the clocks of two machines
are never compared.
"""

import attrs

from gapdrum.codec import message
from gapdrum.structures import count_field, rows_field, signed_field, text_field

MAX_TASKS_PER_JOB = 1_000
MAX_PAYLOAD_LENGTH = 64 * 1024
MAX_SETTINGS_LENGTH = 4 * 1024 * 1024
MAX_ANSWER_LENGTH = 6 * 1024 * 1024

STATE_READY = "ready"
STATE_ABSENT = "absent"
STATE_LEAVING = "leaving"


@attrs.frozen
class PlacedTask:
    """One start order: an attempt of a task, and the payload that the runner gets."""

    index: int = count_field(MAX_TASKS_PER_JOB)
    attempt: int = count_field(1_000)
    payload: str = text_field(MAX_PAYLOAD_LENGTH)


@attrs.frozen
class AttemptStatus:
    """The last state of one attempt at an agent: a state of the chart ``held_task``."""

    index: int = count_field(MAX_TASKS_PER_JOB)
    attempt: int = count_field(1_000)
    state: str = text_field()
    reason: str = text_field()
    result: str = text_field(MAX_PAYLOAD_LENGTH)
    run_ms: int = count_field()


@attrs.frozen
class AttemptKey:
    """Identifies one attempt of one task within its job."""

    index: int = count_field(MAX_TASKS_PER_JOB)
    attempt: int = count_field(1_000)


@message(1)
@attrs.frozen
class AgentHello:
    """The first message of an agent: its identity, availability zone and worker."""

    agent_id: str = text_field()
    incarnation: str = text_field()
    zone: str = text_field()
    worker: str = text_field()
    token: str = text_field(repr=False)
    agent_time_ms: int = count_field()


@message(2)
@attrs.frozen
class RunnerLoad:
    """The load of the agent's runner; it is also the heartbeat of the stream.

    ``free_slots`` is the number of slots offered to this entry; it is negative by the
    number of orders that wait.  ``received`` counts the start orders that came from this
    entry on this stream, so that the entry knows which of its orders the figures include.
    """

    upstream: str = text_field()
    state: str = text_field()
    slots: int = count_field()
    accelerators: int = count_field()
    free_slots: int = signed_field()
    received: int = count_field()
    agent_time_ms: int = count_field()
    settings_version: int = count_field()


@message(3)
@attrs.frozen
class TaskReport:
    """The new state of one attempt, with the load of the runner after it."""

    job_id: str = text_field()
    epoch: int = count_field()
    task: tuple[AttemptStatus, ...] = rows_field(AttemptStatus, 1)
    free_slots: int = signed_field()
    received: int = count_field()
    agent_time_ms: int = count_field()


@message(4)
@attrs.frozen
class JobHoldings:
    """All attempts of a job that an agent knows: its answer to Fence and Inquire.

    ``epoch`` is the highest epoch that the agent has seen for the job; an
    entry that asked with a lower epoch no longer owns the job.
    """

    job_id: str = text_field()
    epoch: int = count_field()
    tasks: tuple[AttemptStatus, ...] = rows_field(AttemptStatus, 4 * MAX_TASKS_PER_JOB)


@message(10)
@attrs.frozen
class EntryHello:
    """The first message of an entry on a stream that an agent or a peer opened."""

    entry_id: str = text_field()
    incarnation: str = text_field()
    settings_version: int = count_field()


@message(11)
@attrs.frozen
class PlaceTasks:
    """Start orders for one job; the agent starts none of them after ``start_by_ms``."""

    job_id: str = text_field()
    epoch: int = count_field(minimum=1)
    start_by_ms: int = count_field()
    settings_version: int = count_field()
    tasks: tuple[PlacedTask, ...] = rows_field(PlacedTask, MAX_TASKS_PER_JOB)


@message(12)
@attrs.frozen
class Withdraw:
    """Withdraws the attempts that have not started; an empty list names all of the job."""

    job_id: str = text_field()
    epoch: int = count_field()
    tasks: tuple[AttemptKey, ...] = rows_field(AttemptKey, 4 * MAX_TASKS_PER_JOB)


@message(13)
@attrs.frozen
class Fence:
    """Raises the epoch of a job: orders with a lower epoch are refused, queued attempts end."""

    job_id: str = text_field()
    epoch: int = count_field(minimum=1)


@message(14)
@attrs.frozen
class Inquire:
    """Asks for attempts that were sent on a broken stream; the agent never starts unknown ones."""

    job_id: str = text_field()
    epoch: int = count_field()
    tasks: tuple[AttemptKey, ...] = rows_field(AttemptKey, 4 * MAX_TASKS_PER_JOB)


@message(15)
@attrs.frozen
class SettingsPush:
    """The settings tree in force as JSON text, and its version."""

    version: int = count_field()
    document: str = text_field(MAX_SETTINGS_LENGTH)


@message(16)
@attrs.frozen
class EntryHeartbeat:
    """The entry's heartbeat; ``waiting`` is how many of its tasks wait for a free slot.

    The entry sends it every second, and at once when tasks start or stop waiting.
    """

    settings_version: int = count_field()
    waiting: int = count_field()


@message(17)
@attrs.frozen
class EntryLeaving:
    """The entry shuts down: the agent should expect no more messages from it."""

    entry_id: str = text_field()


@message(20)
@attrs.frozen
class PeerHello:
    """The first message of an entry on a stream that it opened to another entry."""

    entry_id: str = text_field()
    token: str = text_field(repr=False)
    settings_version: int = count_field()


@message(21)
@attrs.frozen
class PeerRequest:
    """A request to another entry about a job; ``kind`` names a handler in ``peers.HANDLERS``."""

    request_id: int = count_field()
    kind: str = text_field()
    job_id: str = text_field()
    wait_ms: int = count_field()


@message(22)
@attrs.frozen
class PeerReply:
    """The reply to a peer request as JSON text; empty if the entry does not know the job."""

    request_id: int = count_field()
    document: str = text_field(MAX_ANSWER_LENGTH)
