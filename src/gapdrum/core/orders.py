"""The messages between entries and agents on the platform.

An agent states its clock in each beat, and an entry echoes the last one. An agent acts for an
entry only for a stated time after the clock that was echoed, so that an entry that has not
heard an agent for longer knows that nothing runs there in its name. No two clocks are compared.
"""

import attrs

from gapdrum.codec import message
from gapdrum.core.models import Resources, RunKey, TaskName
from gapdrum.structures import count_field, rows_field, signed_field, text_field

MAX_ROWS = 20_000
MAX_LABELS = 64
MAX_CONFIGURATION_BYTES = 1024 * 1024

# An order waits no longer than this on its way; a frozen agent must not start what is outdated.
ORDER_VALID_MS = 1_000
BEAT_INTERVAL_MS = 250

# What an agent says of a run.
STARTED = "started"
NOT_STARTED = "not_started"
ENDED = "ended"
LOST = "lost"
STRAGGLING = "straggling"

# Why a run straggles.
STALLED = "stands_still"
SLOW = "crawls"

# Phases of a run that an agent holds.
HELD_STARTING = "starting"
HELD_RUNNING = "running"
HELD_ENDED = "ended"

# Why an agent did not start what was ordered.
NO_ROOM = "no_room"
ROOM_KEPT = "room_kept"  # for queues that can't wait for it
JOB_SUPERSEDED = "job_superseded"
ORDER_EXPIRED = "order_expired"
RUNNER_GONE = "runner_gone"
RUNNER_DRAINING = "runner_draining"
RUNNER_REJECTED = "runner_rejected"
ZONE_CLOSED = "zone_closed"
START_UNANSWERED = "start_unanswered"
RUN_PRESENT = "run_present"  # one that an earlier submission of the job has left there
# Placed there again at once, a task is rejected a thousand times a second.
REJECTED_THERE = (RUNNER_REJECTED, RUN_PRESENT)

# Why a run was lost, beside that its runner is gone.
LEASE_LAPSED = "lease_lapsed"
ENDED_BEFORE = "ended_before_adoption"

# States of a runner.
READY = "ready"
DRAINING = "draining"
ZONE_DRAINED = "zone_drained"
SUSPECT = "suspect"
GONE = "gone"


@message(40)
@attrs.frozen
class AgentGreeting:
    """The first message of an agent on a stream to an entry."""

    agent: str = text_field()
    incarnation: str = text_field()
    zone: str = text_field()
    clock_ms: int = count_field()


@message(41)
@attrs.frozen
class AgentBeat:
    """The agent lives; the entry echoes its clock."""

    clock_ms: int = count_field()


@message(42)
@attrs.frozen
class RunnerReport:
    """What a runner is and its state; told when an entry joins and when it changes.

    A ``RoomReport`` follows it.
    """

    runner_id: str = text_field()
    upstream: str = text_field()
    state: str = text_field()
    labels: tuple[str, ...] = attrs.field(converter=tuple)
    capacity_cpu_milli: int = count_field()
    capacity_memory_mb: int = count_field()
    capacity_accelerators: int = count_field()

    @property
    def capacity(self) -> Resources:
        """Return all the room of the runner."""
        return Resources(
            self.capacity_cpu_milli, self.capacity_memory_mb, self.capacity_accelerators
        )


@attrs.frozen
class KeptRoom:
    """How much of the free room of a runner is kept from a queue."""

    queue: str = text_field()
    cpu_milli: int = count_field()


@message(46)
@attrs.frozen
class RoomReport:
    """The free room of a runner, which changes with each start and end.

    ``orders`` counts the runs ordered on this stream so far; ``slowness_permille`` is how long
    its runs take against their estimates, 0 if not known, and ``speed_runs`` by how many of them.
    Queues that no free room is kept from are not named in ``kept``.
    """

    runner_id: str = text_field()
    free_cpu_milli: int = signed_field()
    free_memory_mb: int = signed_field()
    free_accelerators: int = signed_field()
    orders: int = count_field()
    slowness_permille: int = count_field()
    speed_runs: int = count_field(default=0)
    kept: tuple[KeptRoom, ...] = rows_field(KeptRoom, MAX_ROWS, default=())

    @property
    def free(self) -> Resources:
        """Return the room that nothing holds."""
        return Resources(self.free_cpu_milli, self.free_memory_mb, self.free_accelerators)


@attrs.frozen
class RunEvent:
    """What happened to a run; ``detail`` is how it ended, why it did not start, or straggles.

    ``end_number`` is the runner's number of the end. Nobody needs to store an end of a job that
    is not ``durable``. Of a straggling run ``percent`` is how much of its work is done; it has run
    for ``ran_ms``, will end after ``left_ms`` at its pace, and has stood still for ``stalled_ms``.
    ``others_permille`` is how long the others beside it take against their estimates. What is
    not known is 0, and so is ``submission`` for a stored job.
    """

    task: str
    attempt: int
    epoch: int
    kind: str
    detail: str = ""
    end_number: int = 0
    percent: int = 0
    durable: bool = True
    ran_ms: int = count_field(default=0)
    left_ms: int = count_field(default=0)
    stalled_ms: int = count_field(default=0)
    others_permille: int = count_field(default=0)
    submission: int = count_field(default=0)


@message(43)
@attrs.frozen
class RunEvents:
    """Events of runs at one runner."""

    runner_id: str = text_field()
    events: tuple[RunEvent, ...] = rows_field(RunEvent, MAX_ROWS)


@attrs.frozen
class HeldRun:
    """A run that an agent knows: in which phase, and how it ended.

    ``submission`` is 0 where it is not known, or the job is stored.
    """

    task: str
    attempt: int
    epoch: int
    phase: str
    detail: str = ""
    end_number: int = 0
    submission: int = count_field(default=0)


@message(44)
@attrs.frozen
class Holdings:
    """All runs that an agent knows at one runner, of the named jobs or, without names, of all."""

    runner_id: str = text_field()
    jobs: tuple[str, ...] = attrs.field(converter=tuple)
    runs: tuple[HeldRun, ...] = rows_field(HeldRun, MAX_ROWS)


@message(47)
@attrs.frozen
class AgentLeaving:
    """The agent holds nothing for the entry, and starts nothing more that came on this stream."""


@message(49)
@attrs.frozen
class ZoneDrainsTold:
    """The availability zones that operators have drained, as of a version of their table.

    Entries and agents tell each other, so one that the store turns away hears of them, too.
    """

    version: int = count_field()
    zones: tuple[str, ...] = attrs.field(converter=tuple)


@message(45)
@attrs.frozen
class JobLost:
    """Another entry has claimed a job of this one with a higher epoch."""

    job_id: str = text_field()
    epoch: int = count_field()


@message(50)
@attrs.frozen
class EntryGreeting:
    """The first message of an entry on an agent's stream.

    ``former_owners`` are the names that the same process had before it lost its lease: it will
    claim what runs for the callers that wait there.
    """

    owner: str = text_field()
    former_owners: tuple[str, ...] = attrs.field(converter=tuple, default=())


@message(51)
@attrs.frozen
class BeatEcho:
    """The last clock that the entry heard of the agent.

    What runs of stored jobs goes on only if the entry holds its lease in the store, as another
    entry may have taken these jobs over otherwise. ``table_followed`` tells whether the entry
    follows the operators' table just now, so that the agent need not.
    """

    clock_ms: int = count_field()
    lease_held: bool = attrs.field(validator=attrs.validators.instance_of(bool))
    table_followed: bool = attrs.field(validator=attrs.validators.instance_of(bool))


@attrs.frozen
class OrderedRun:
    """One task to start; its estimate is for a usual runner as far from its data as this one."""

    step: int
    index: int
    attempt: int
    cpu_milli: int
    memory_mb: int
    accelerators: int
    estimate_ms: int

    @property
    def room(self) -> Resources:
        """Return the room that the task takes."""
        return Resources(self.cpu_milli, self.memory_mb, self.accelerators)


@message(52)
@attrs.frozen
class StartOrder:
    """Tasks of a job to start at a runner; ``clock_ms`` is the last clock heard of the agent.

    ``durable`` tells whether the job is stored. The queue and its priority, 0 for the most urgent
    one, let the agent weigh the work of all entries. ``submission`` tells the submissions of a job
    that is not stored from each other: each begins with attempt 1. It is 0 for a stored one.
    """

    runner_id: str = text_field()
    job_id: str = text_field()
    epoch: int = count_field(minimum=1)
    spec: str = text_field(8_000)
    clock_ms: int = count_field()
    durable: bool = attrs.field(validator=attrs.validators.instance_of(bool))
    runs: tuple[OrderedRun, ...] = rows_field(OrderedRun, MAX_ROWS)
    queue: str = text_field(default="")
    priority: int = count_field(default=0)
    submission: int = count_field(default=0)

    def key_of(self, row: OrderedRun) -> RunKey:
        """Return the key of one of the runs."""
        return RunKey(TaskName(self.job_id, 0, row.step, row.index), row.attempt)


@attrs.frozen
class NamedRun:
    """Names a run."""

    task: str
    attempt: int


@message(53)
@attrs.frozen
class StopOrder:
    """Runs to stop."""

    runner_id: str = text_field()
    runs: tuple[NamedRun, ...] = rows_field(NamedRun, MAX_ROWS)


@message(54)
@attrs.frozen
class EndsStored:
    """Ends that need not be kept at the runner any more.

    ``superseded`` are those of tasks that were started anew before the end was known: the runner's
    lease must lapse before they are let go, as they must not count.
    """

    runner_id: str = text_field()
    numbers: tuple[int, ...] = attrs.field(converter=tuple)
    superseded: tuple[int, ...] = attrs.field(converter=tuple)


@attrs.frozen
class UpstreamDemand:
    """How urgent the first job is that waits for room at an upstream, its queue, how many wait.

    Less free room than ``least_cpu_milli`` is of no use to any of them.
    """

    upstream: str
    urgency: int
    jobs: int
    least_cpu_milli: int = 0
    queue: str = ""


@message(57)
@attrs.frozen
class RoomDemand:
    """What the entry waits for; an upstream that is not named has room enough for it."""

    upstreams: tuple[UpstreamDemand, ...] = rows_field(UpstreamDemand, MAX_ROWS)


@attrs.frozen
class QueueDemand:
    """What a queue has been asking for lately, in millionths of the room that the entry sees.

    A run takes about ``run_ms``, and a job may wait for about ``patience_ms`` until it begins.
    ``deviation_ppm`` is the standard deviation of what is asked for at a time. The rest is the
    queue's part in the operators' configuration.
    """

    upstream: str = text_field()
    queue: str = text_field()
    priority: int = count_field()
    run_ms: int = count_field()
    patience_ms: int = count_field()
    asked_ppm: int = count_field()
    deviation_ppm: int = count_field()
    weight: int = count_field(minimum=1)
    reserved_permille: int = count_field(1_000)
    ceiling_permille: int = count_field(1_000)


@message(65)
@attrs.frozen
class QueueDemands:
    """What the queues ask for at an entry; it replaces what the entry told before."""

    queues: tuple[QueueDemand, ...] = rows_field(QueueDemand, MAX_ROWS)


@attrs.frozen
class JobEpoch:
    """A job and the epoch of its owner."""

    job_id: str
    epoch: int


@message(55)
@attrs.frozen
class JobsClaimed:
    """The entry owns the jobs from now on; lower epochs start nothing. Holdings answer it."""

    jobs: tuple[JobEpoch, ...] = rows_field(JobEpoch, MAX_ROWS)


@message(48)
@attrs.frozen
class JobCancelled:
    """From one entry to another: a job of that one was cancelled, under a higher epoch.

    It is the only message on its stream, which the receiver ends once it has read it.
    """

    job_id: str = text_field()
    epoch: int = count_field()


@message(75)
@attrs.frozen
class ConfigurationAsked:
    """From one entry to another: asks for the configuration in force there.

    It is the only message of the asker on its stream. The receiver ends the stream once it has
    answered, or at once if it has no configuration either.
    """


@message(76)
@attrs.frozen
class ConfigurationTold:
    """The operators' configuration, as its row in the store holds it."""

    value: bytes = attrs.field(
        validator=[
            attrs.validators.instance_of(bytes),
            attrs.validators.max_len(MAX_CONFIGURATION_BYTES),
        ]
    )


@attrs.frozen
class AdoptedRun:
    """A run that goes on for this entry, and the room that it takes."""

    task: str
    attempt: int
    epoch: int
    durable: bool
    cpu_milli: int
    memory_mb: int
    accelerators: int
    submission: int = count_field(default=0)

    @property
    def room(self) -> Resources:
        """Return the room that the run takes."""
        return Resources(self.cpu_milli, self.memory_mb, self.accelerators)


@message(56)
@attrs.frozen
class AdoptRuns:
    """Runs at a runner that go on for this entry."""

    runner_id: str = text_field()
    runs: tuple[AdoptedRun, ...] = rows_field(AdoptedRun, MAX_ROWS)
