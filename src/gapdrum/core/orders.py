"""The messages between entries and agents on the platform.

An agent sends a reading of its clock in each heartbeat, and an entry echoes the last one. The
agent acts for the entry only for a fixed time after the echoed reading, so an entry that has not
heard from the agent for longer knows that nothing runs there for it. No two clocks are compared.
"""

import attrs

from gapdrum.codec import message
from gapdrum.core.models import Resources, RunKey, TaskName
from gapdrum.structures import count_field, rows_field, signed_field, text_field

MAX_ROWS = 20_000
MAX_LABELS = 64
MAX_CONFIGURATION_BYTES = 1024 * 1024

# An agent rejects a start order that was sent longer ago: after a pause it must not start
# outdated work.
ORDER_VALID_MS = 1_000
BEAT_INTERVAL_MS = 250

# Kinds of run events.
STARTED = "started"
NOT_STARTED = "not_started"
ENDED = "ended"
LOST = "lost"
STRAGGLING = "straggling"

# Why a run is a straggler; these values and those below appear in the logs as they are.
STALLED = "stands_still"
SLOW = "crawls"

# Phases of the runs in an agent's holdings.
HELD_STARTING = "starting"
HELD_RUNNING = "running"
HELD_ENDED = "ended"

# Why an agent did not start an ordered run.
NO_ROOM = "no_room"
ROOM_KEPT = "room_kept"  # reserved for other queues
JOB_SUPERSEDED = "job_superseded"  # another owner has claimed the job with a higher epoch
ORDER_EXPIRED = "order_expired"
RUNNER_GONE = "runner_gone"
RUNNER_DRAINING = "runner_draining"
RUNNER_REJECTED = "runner_rejected"
ZONE_CLOSED = "zone_closed"
START_UNANSWERED = "start_unanswered"
RUN_PRESENT = "run_present"  # the runner still has the run of an earlier submission of the job
# Reasons that persist at the runner: a task that is placed there again at once is rejected a
# thousand times a second.
REJECTED_THERE = (RUNNER_REJECTED, RUN_PRESENT)

# Why a run was lost, other than RUNNER_GONE, which stands for a runner that has crashed.
RUNNER_ENDED = "runner_ended"  # after it had announced that
LEASE_LAPSED = "lease_lapsed"  # of an unreachable runner; RunEnd.LEASE_LAPSED is a listed end
ENDED_BEFORE = "ended_before_adoption"

# States of a runner that are reported to entries.
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
    """A heartbeat of the agent to an entry, which echoes its clock in a ``BeatEcho``."""

    clock_ms: int = count_field()


@message(42)
@attrs.frozen
class RunnerReport:
    """A runner's description and state; sent when an entry joins and when they change.

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
        """Return the runner's whole capacity."""
        return Resources(
            self.capacity_cpu_milli, self.capacity_memory_mb, self.capacity_accelerators
        )


@attrs.frozen
class KeptRoom:
    """How much of a runner's free room is reserved for other queues than this one."""

    queue: str = text_field()
    cpu_milli: int = count_field()


@message(46)
@attrs.frozen
class RoomReport:
    """The free room of a runner, which changes with each start and end.

    ``orders`` counts the runs ordered on this stream so far; ``slowness_permille`` is the ratio of
    run time to estimate, 0 if not known, measured over ``speed_runs`` runs. ``kept`` lists only
    the queues that can't use all of the free room.
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
    """A change of a run; ``detail`` is how it ended, or why it was not started or is a straggler.

    ``end_number`` is the runner's number of the end, which needs to be stored only if the job is
    ``durable``. A straggler has done ``percent`` of its work in ``ran_ms``, is due to end in
    ``left_ms`` at its pace, and has made no progress for ``stalled_ms``. ``others_permille`` is
    the ratio of run time to estimate for other jobs' runs at the runner. Unknown figures are 0,
    and so is the ``submission`` of a durable job.
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
    """Events of runs at one runner.

    The owner confirms ``number``, which rises with each message of the agent, in its next
    ``StartOrder`` or in ``OutcomesReceived``. It is 0 if nothing needs to be confirmed.
    """

    runner_id: str = text_field()
    events: tuple[RunEvent, ...] = rows_field(RunEvent, MAX_ROWS)
    number: int = count_field(default=0)


@attrs.frozen
class HeldRun:
    """A run or an end that an agent holds: its phase, and how it ended.

    ``submission`` is 0 if it is not known or the job is durable.
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
    """All runs and ends that an agent holds at a runner, of the named jobs or, if none, of all."""

    runner_id: str = text_field()
    jobs: tuple[str, ...] = attrs.field(converter=tuple)
    runs: tuple[HeldRun, ...] = rows_field(HeldRun, MAX_ROWS)


@message(47)
@attrs.frozen
class AgentLeaving:
    """The agent holds nothing for the entry and starts no further orders from this stream."""


@message(49)
@attrs.frozen
class ZoneDrainsTold:
    """The availability zones that operators have drained, as of a version of the table of them.

    Entries and agents exchange them, so a process that is cut off from the store learns of them.
    """

    version: int = count_field()
    zones: tuple[str, ...] = attrs.field(converter=tuple)


@message(45)
@attrs.frozen
class JobLost:
    """From an agent to a job's former owner: another entry has claimed it with a higher epoch."""

    job_id: str = text_field()
    epoch: int = count_field()


@message(50)
@attrs.frozen
class EntryGreeting:
    """The first message of an entry on an agent's stream.

    ``former_owners`` are owner names that the same process had before it lost its entry lease. Its
    callers have stayed connected, so it goes on with its non-durable runs under the new name.
    """

    owner: str = text_field()
    former_owners: tuple[str, ...] = attrs.field(converter=tuple, default=())


@message(51)
@attrs.frozen
class BeatEcho:
    """The last reading of the agent's clock that the entry received.

    Runs of durable jobs continue only while the entry holds its lease in the store, as otherwise
    another entry may have taken these jobs over. While ``table_followed`` is set, the entry reads
    the operators' table of drained zones for changes, and the agent need not.
    """

    clock_ms: int = count_field()
    lease_held: bool = attrs.field(validator=attrs.validators.instance_of(bool))
    table_followed: bool = attrs.field(validator=attrs.validators.instance_of(bool))


@attrs.frozen
class OrderedRun:
    """One task to start; its estimate is for a runner of usual speed, this far from its data."""

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
    """Tasks of a job to start at a runner; ``clock_ms`` is the agent's clock as last received.

    The queue and its priority, 0 for the most urgent one, let the agent weigh the work of all
    entries. ``submission`` distinguishes the submissions of a non-durable job, each of which begins
    with attempt 1; it is 0 for a durable job. An ``exclusive`` run gets the runner for itself.
    ``received`` is the last ``RunEvents.number`` on this stream.
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
    exclusive: bool = attrs.field(default=False, validator=attrs.validators.instance_of(bool))
    received: int = count_field(default=0)

    def key_of(self, row: OrderedRun) -> RunKey:
        """Return the key of one of the runs."""
        return RunKey(TaskName(self.job_id, 0, row.step, row.index), row.attempt)


@attrs.frozen
class NamedRun:
    """The task and attempt of a run."""

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
    """Ends that the agent may acknowledge to the runner.

    ``superseded`` are ends of tasks that were started anew before the end was known. They must not
    count. An acknowledged end counts unless the runner's lease has lapsed after it, so the agent
    lets the lease lapse before it acknowledges them.
    """

    runner_id: str = text_field()
    numbers: tuple[int, ...] = attrs.field(converter=tuple)
    superseded: tuple[int, ...] = attrs.field(converter=tuple)


@message(58)
@attrs.frozen
class OutcomesReceived:
    """The entry has handled the agent's ``RunEvents`` up to this number on this stream."""

    number: int = count_field()


@attrs.frozen
class UpstreamDemand:
    """The jobs that wait for room at an upstream: their number, the first one's urgency and queue.

    None of them can use less free room than ``least_cpu_milli``.
    """

    upstream: str
    urgency: int
    jobs: int
    least_cpu_milli: int = 0
    queue: str = ""


@message(57)
@attrs.frozen
class RoomDemand:
    """The room that the entry waits for; an unlisted upstream has enough room for it."""

    upstreams: tuple[UpstreamDemand, ...] = rows_field(UpstreamDemand, MAX_ROWS)


@attrs.frozen
class QueueDemand:
    """The recent demand of a queue, in millionths of the room that the entry sees.

    A run takes about ``run_ms``, and a job may wait for about ``patience_ms`` until it begins.
    ``asked_ppm`` is the mean of the demand and ``deviation_ppm`` its standard deviation. The other
    fields come from the operators' configuration.
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
    """The demand of all queues at an entry; it replaces the entry's previous message."""

    queues: tuple[QueueDemand, ...] = rows_field(QueueDemand, MAX_ROWS)


@attrs.frozen
class JobEpoch:
    """A job and the epoch of its owner."""

    job_id: str
    epoch: int


@message(55)
@attrs.frozen
class JobsClaimed:
    """The entry owns the jobs from now on; the agent starts no lower epochs and sends holdings."""

    jobs: tuple[JobEpoch, ...] = rows_field(JobEpoch, MAX_ROWS)


@message(59)
@attrs.frozen
class LeasesEnded:
    """From an entry to its agents: these owners hold no entry lease any more.

    Any entry may take their durable jobs over, also while an owner's process is still connected: it
    may be cut off from the store only.
    """

    owners: tuple[str, ...] = attrs.field(converter=tuple)


@message(66)
@attrs.frozen
class JobsCancelled:
    """From an entry to its agents: these jobs were cancelled in the store, under these epochs.

    The agent stops their runs, starts none, and passes the cancellation on to the runs' owners.
    """

    jobs: tuple[JobEpoch, ...] = rows_field(JobEpoch, MAX_ROWS)


@message(48)
@attrs.frozen
class JobCancelled:
    """To a job's owner: the job was cancelled at another entry, under a higher epoch.

    From an entry it is the only message on its stream, which the owner ends after reading it.
    Agents send it on the owner's stream to them.
    """

    job_id: str = text_field()
    epoch: int = count_field()


@message(75)
@attrs.frozen
class ConfigurationAsked:
    """From one entry to another: requests the configuration in force there.

    It is the only message of the requester on its stream. The receiver ends the stream once it has
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
    """A run that the agent is to adopt for this entry, and the room that the run takes."""

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
    """Runs at a runner that the agent is to adopt: to let continue for this entry."""

    runner_id: str = text_field()
    runs: tuple[AdoptedRun, ...] = rows_field(AdoptedRun, MAX_ROWS)
