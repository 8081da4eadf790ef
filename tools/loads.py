"""Loads for replays in virtual time: kinds of jobs, arrivals and faults as data, all seeded."""

import math
import random

import attrs

MS_PER_S = 1_000
# Log-normal spreads as measured in logs of a busy day (7,000 jobs): of the work of the jobs of
# one queue, of the stated work against it, and of the tasks of one job.
WORK_SPREAD = 0.40
ESTIMATE_SPREAD = 0.45
TASK_SPREAD = 0.10
# Processor room of a task varies by so much of its mean, and is never under half of it.
ROOM_SPREAD = 0.2
# What a job earns grows with its work: this share is the same for all, and there is a limit.
FIXED_WORTH = 0.3
MOST_WORTH = 4.0


@attrs.frozen
class JobKind:
    """The jobs of one queue: how many a second, their tasks, and what one is worth."""

    queue: str
    per_s: float
    tasks: float
    work_ms: int
    cpu_milli: int
    worth: float
    priority: int = 0


@attrs.frozen
class Fault:
    """A trouble of some runners: at pace 0 they stand still, ``gone`` ones never come back."""

    at_ms: int
    for_ms: int
    runners: tuple[int, ...]
    pace: float = 0.0
    gone: bool = False


@attrs.frozen
class Burst:
    """So many times the usual traffic, of one queue or of all."""

    at_ms: int
    for_ms: int
    factor: float
    queue: str = ""


@attrs.frozen
class Drain:
    """An availability zone that operators drain for a while."""

    at_ms: int
    for_ms: int
    zone: str


@attrs.frozen
class Load:
    """All that happens; ``shares`` is each entry's part of the traffic."""

    name: str
    seed: int
    duration_ms: int
    kinds: tuple[JobKind, ...]
    runners: tuple[int, ...]  # the processor room of each, in thousandths of a core
    shares: tuple[float, ...]
    zones: int = 0  # of entries and agents; 0: each entry in a zone of its own, agents in one
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    drains: tuple[Drain, ...] = ()


@attrs.define(eq=False)
class LoadJob:
    """One job: what its caller states of it, and how long its tasks really work."""

    job_id: str
    kind: JobKind
    entry: int
    at_ms: int
    cpu_milli: int
    estimate_ms: int
    work_ms: tuple[int, ...]

    @property
    def core_s(self) -> float:
        """Return its work in core-seconds."""
        return sum(self.work_ms) * self.cpu_milli / MS_PER_S**2

    @property
    def chain_ms(self) -> int:
        """Return how long it takes when all its tasks run at once."""
        return max(self.work_ms)


def rate_at(load: Load, kind: JobKind, at_ms: float) -> float:
    """Return how many jobs of a kind come a second at a time."""
    rate = kind.per_s
    for burst in load.bursts:
        if burst.at_ms <= at_ms < burst.at_ms + burst.for_ms and burst.queue in ("", kind.queue):
            rate *= burst.factor
    return rate


def make_jobs(load: Load) -> list[LoadJob]:
    """Return all jobs of a load in order of their arrival; the same seed makes the same jobs."""
    rng = random.Random(load.seed)
    jobs = []
    for kind in load.kinds:
        most = kind.per_s * math.prod(max(1.0, burst.factor) for burst in load.bursts)
        at_ms = rng.expovariate(most) * MS_PER_S
        while at_ms < load.duration_ms:
            if rng.random() < rate_at(load, kind, at_ms) / most:
                jobs.append(_make_job(load, kind, int(at_ms), rng))
            at_ms += rng.expovariate(most) * MS_PER_S
    return sorted(jobs, key=lambda job: (job.at_ms, job.job_id))


def _make_job(load: Load, kind: JobKind, at_ms: int, rng: random.Random) -> LoadJob:
    tasks = 1 + _poisson(kind.tasks - 1, rng)
    work_ms = kind.work_ms * rng.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
    works = tuple(max(1, int(work_ms * rng.lognormvariate(0, TASK_SPREAD))) for _ in range(tasks))
    cpu_milli = max(kind.cpu_milli / 2, rng.gauss(kind.cpu_milli, ROOM_SPREAD * kind.cpu_milli))
    estimate_ms = max(1, int(work_ms * rng.lognormvariate(0, ESTIMATE_SPREAD)))
    entry = rng.choices(range(len(load.shares)), load.shares)[0]
    name = f"{rng.getrandbits(64):016x}"
    return LoadJob(name, kind, entry, at_ms, int(cpu_milli), estimate_ms, works)


def _poisson(mean: float, rng: random.Random) -> int:
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def worth_of(job: LoadJob) -> float:
    """Return what the end of a job is worth to its caller."""
    kind = job.kind
    usual = kind.tasks * kind.work_ms * kind.cpu_milli / MS_PER_S**2
    return kind.worth * min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * job.core_s / usual)


# Three queues as at a customer with short wide jobs, long ones and many small ones. 70 jobs a
# second come to 245 cores of work.
KINDS = (
    JobKind("checks", 17.2, 7.0, 130, 3_100, 0.0291, 0),
    JobKind("rebuilds", 3.13, 4.0, 1_870, 3_100, 0.16, 2),
    JobKind("lookups", 50.0, 2.0, 435, 3_100, 0.01, 1),
)


def scaled(kinds: tuple[JobKind, ...], factor: float) -> tuple[JobKind, ...]:
    """Return kinds that come so many times as often."""
    return tuple(attrs.evolve(kind, per_s=kind.per_s * factor) for kind in kinds)


def overload(seed: int, duration_ms: int = 20_000, factor: float = 1.3) -> Load:
    """Return a load like that of the worst day measured.

    A burst, two runners of eleven lost for good, one that stands still for 5 s; after that a
    little more comes than the others can serve.
    """
    return Load(
        name="overload",
        seed=seed,
        duration_ms=duration_ms,
        kinds=scaled(KINDS, factor),
        runners=(32_000, 32_000, 32_000, 48_000) * 2 + (32_000, 32_000, 48_000),
        shares=(0.25, 0.31, 0.22, 0.22),
        bursts=(Burst(2_000, 4_000, 1.3), Burst(3_500, 3_800, 1.5, "lookups")),
        faults=(Fault(6_000, 10**9, (0, 1), gone=True), Fault(6_400, 5_100, (2,))),
    )


def steady(seed: int, duration_ms: int = 12_000, factor: float = 1.45) -> Load:
    """Return a load of about what the runners can serve, without faults."""
    return attrs.evolve(overload(seed, duration_ms, factor), name="steady", bursts=(), faults=())


# Three queues where long jobs are nearly half of the work, as at a customer whose work has shifted:
# 359 jobs a second come to 767 cores of work.
LONG_KINDS = (
    JobKind("flags", 83.2, 8.0, 120, 1_500, 0.00485, 0),
    JobKind("certificates", 32.9, 4.0, 1_800, 1_500, 0.0267, 2),
    JobKind("tags", 243.0, 2.0, 400, 1_500, 0.00167, 1),
)


def long_work(
    seed: int, duration_ms: int = 15_000, factor: float = 1.2, entries: int = 11, agents: int = 65
) -> Load:
    """Return a load whose long jobs fill the runners for seconds, in three zones.

    Bursts of all, of short wide jobs and of long ones follow each other; in the last one a
    seventh of the runners is lost. At a factor of 1 the work takes 63% of the room.
    """
    lost = tuple(range(0, agents, 7))
    return Load(
        name="long_work",
        seed=seed,
        duration_ms=duration_ms,
        kinds=scaled(LONG_KINDS, factor * agents / 65),
        runners=tuple((16_000, 16_000, 24_000)[number % 3] for number in range(agents)),
        shares=(1 / entries,) * entries,
        zones=3,
        bursts=(
            Burst(2_000, 3_000, 1.3),
            Burst(4_500, 3_000, 1.5, "flags"),
            Burst(7_000, 4_500, 1.6, "certificates"),
        ),
        faults=(Fault(9_000, 10**9, lost, gone=True),),
    )


def drained_zone(seed: int, duration_ms: int = 12_000, factor: float = 1.0) -> Load:
    """Return the long work at its usual rate, while one of three zones is drained for 6 s.

    What is left then has room for 1.05 times the work.
    """
    load = long_work(seed, duration_ms, factor)
    drain = Drain(3_000, 6_000, "zone-0")
    return attrs.evolve(load, name="drained_zone", bursts=(), faults=(), drains=(drain,))


# Short wide jobs, long ones and many small ones that compete for the room of small runners: 422
# jobs a second come to 569 cores of work.
COMPETING_KINDS = (
    JobKind("previews", 103.0, 8.0, 120, 1_200, 0.00485, 0),
    JobKind("payrolls", 18.8, 4.0, 1_800, 1_200, 0.0267, 2),
    JobKind("codes", 300.0, 2.0, 400, 1_200, 0.00167, 1),
)


def uneven_entries(seed: int, duration_ms: int = 14_000, factor: float = 1.2) -> Load:
    """Return a load whose callers come unevenly to eight entries, in three zones.

    Three queues of different priority fill the room: a burst of long jobs, runners that are taken
    away, then a burst of the most urgent ones. At a factor of 1 the work takes 70% of the room.
    """
    return Load(
        name="uneven_entries",
        seed=seed,
        duration_ms=duration_ms,
        kinds=scaled(COMPETING_KINDS, factor),
        runners=(16_000,) * 51,
        shares=(0.08, 0.19, 0.12, 0.13, 0.14, 0.08, 0.12, 0.14),
        zones=3,
        bursts=(Burst(2_000, 4_500, 1.5, "payrolls"), Burst(7_500, 3_400, 1.6, "previews")),
        faults=(
            Fault(1_500, 10**9, (0, 9, 18, 27), gone=True),
            Fault(6_900, 10**9, (4, 13, 22), gone=True),
        ),
    )


def large_fleet(
    seed: int, duration_ms: int = 1_000, factor: float = 1.2, entries: int = 35, agents: int = 160
) -> Load:
    """Return the steady load of a fleet of hundreds of machines in five zones.

    At a factor of 1.2 it takes 87% of the room, at 1.6 a little more than fits.
    """
    steady_load = steady(seed, duration_ms)
    return attrs.evolve(
        steady_load,
        name="large_fleet",
        kinds=scaled(KINDS, factor * agents / len(steady_load.runners)),
        runners=tuple((32_000, 32_000, 48_000)[number % 3] for number in range(agents)),
        shares=(1 / entries,) * entries,
        zones=5,
    )
