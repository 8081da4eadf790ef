"""Seeded loads for replays in virtual time: kinds of jobs, arrivals and faults as data."""

import math
import random

import attrs

MS_PER_S = 1_000
# Log-normal standard deviations, as measured in logs of a busy day (7,000 jobs): of the work of a
# queue's jobs, of the estimate relative to the work, and of the tasks of one job.
WORK_SPREAD = 0.40
ESTIMATE_SPREAD = 0.45
TASK_SPREAD = 0.10
ROOM_SPREAD = 0.2  # of a task's CPU room, relative to its mean; the minimum is half of the mean
LONG_FACTOR = 7
# A job's worth is a fixed share plus a part in proportion to its work, up to a limit.
FIXED_WORTH = 0.3
MOST_WORTH = 4.0


@attrs.frozen
class JobKind:
    """The jobs of one queue: their rate, their tasks, and the worth of one job."""

    queue: str
    per_s: float
    tasks: float
    work_ms: int
    cpu_milli: int
    worth: float
    priority: int = 0


@attrs.frozen
class Fault:
    """A fault of some runners: at pace 0 they stall; with ``gone`` they are lost for good."""

    at_ms: int
    for_ms: int
    runners: tuple[int, ...]
    pace: float = 0.0
    gone: bool = False


@attrs.frozen
class Burst:
    """A multiple of the usual traffic, of one queue or of all."""

    at_ms: int
    for_ms: int
    factor: float
    queue: str = ""


@attrs.frozen
class Drain:
    """An availability zone that operators drain for some time."""

    at_ms: int
    for_ms: int
    zone: str


@attrs.frozen
class Load:
    """A load with its fleet, faults and drains; ``shares`` is each entry's part of the traffic."""

    name: str
    seed: int
    duration_ms: int
    kinds: tuple[JobKind, ...]
    runners: tuple[int, ...]  # the capacity of each, in thousandths of a core
    shares: tuple[float, ...]
    zones: int = 0  # of entries and agents; 0: each entry in a zone of its own, agents in one
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    drains: tuple[Drain, ...] = ()
    speeds: tuple[float, ...] = ()  # one for each runner; random if none is given
    rack_size: int = 0  # consecutive runners in a rack; 0: no racks
    data_share: float = 0.0  # of the jobs: their data is on one rack
    data_runners: int = 0  # data is only on racks of this many first runners; 0: on all racks
    far_factor: float = 1.0  # on the duration of tasks outside the rack of their data
    long_share: float = 0.0  # of the tasks that run ``long_factor`` times as long
    long_factor: float = 1.0

    def rack_of(self, number: int) -> str:
        """Return the label of a runner's rack."""
        return f"rack-{number // self.rack_size}" if self.rack_size else ""

    long_share: float = 0.0  # of the tasks: these take ``LONG_FACTOR`` times as long as stated


@attrs.define(eq=False)
class LoadJob:
    """One job: what its caller states, and how long its tasks really run."""

    job_id: str
    kind: JobKind
    entry: int
    at_ms: int
    cpu_milli: int
    estimate_ms: int
    work_ms: tuple[int, ...]
    data_rack: str = ""

    @property
    def core_s(self) -> float:
        """Return its work in core-seconds."""
        return sum(self.work_ms) * self.cpu_milli / MS_PER_S**2

    @property
    def chain_ms(self) -> int:
        """Return the duration of the job when all its tasks run in parallel."""
        return max(self.work_ms)


def rate_at(load: Load, kind: JobKind, at_ms: float) -> float:
    """Return the arrival rate of a kind of jobs at a time, in jobs per second."""
    rate = kind.per_s
    for burst in load.bursts:
        if burst.at_ms <= at_ms < burst.at_ms + burst.for_ms and burst.queue in ("", kind.queue):
            rate *= burst.factor
    return rate


def make_jobs(load: Load) -> list[LoadJob]:
    """Return all jobs of a load in order of arrival; the same seed gives the same jobs."""
    rng = random.Random(load.seed)
    jobs = []
    for kind in load.kinds:
        most = kind.per_s * math.prod(max(1.0, burst.factor) for burst in load.bursts)
        at_ms = rng.expovariate(most) * MS_PER_S
        while at_ms < load.duration_ms:
            if rng.random() < rate_at(load, kind, at_ms) / most:
                jobs.append(_make_job(load, kind, int(at_ms), rng))
            at_ms += rng.expovariate(most) * MS_PER_S
    if load.rack_size or load.long_share:
        rng = random.Random(load.seed)
        jobs = [_make_uneven(load, job, rng) for job in jobs]
    return sorted(jobs, key=lambda job: (job.at_ms, job.job_id))


def _make_uneven(load: Load, job: LoadJob, rng: random.Random) -> LoadJob:
    """Put the data of some jobs on a rack, and let some tasks run much longer than estimated."""
    works = tuple(
        int(work * load.long_factor) if rng.random() < load.long_share else work
        for work in job.work_ms
    )
    rack = load.rack_of(rng.randrange(load.data_runners or len(load.runners)))
    has_data = rng.random() < load.data_share
    return attrs.evolve(job, work_ms=works, data_rack=rack if has_data else "")


def _make_job(load: Load, kind: JobKind, at_ms: int, rng: random.Random) -> LoadJob:
    tasks = 1 + _poisson(kind.tasks - 1, rng)
    work_ms = kind.work_ms * rng.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
    works = tuple(max(1, int(work_ms * rng.lognormvariate(0, TASK_SPREAD))) for _ in range(tasks))
    if load.long_share:
        works = tuple(one * (LONG_FACTOR if rng.random() < load.long_share else 1) for one in works)
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
    """Return what an answer in time is worth to the caller."""
    kind = job.kind
    usual = kind.tasks * kind.work_ms * kind.cpu_milli / MS_PER_S**2
    return kind.worth * min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * job.core_s / usual)


# Three queues of a customer: short wide jobs, long jobs and many small ones. 70 jobs per second
# need 245 cores.
KINDS = (
    JobKind("checks", 17.2, 7.0, 130, 3_100, 0.0291, 0),
    JobKind("rebuilds", 3.13, 4.0, 1_870, 3_100, 0.16, 2),
    JobKind("lookups", 50.0, 2.0, 435, 3_100, 0.01, 1),
)


def scaled(kinds: tuple[JobKind, ...], factor: float) -> tuple[JobKind, ...]:
    """Return kinds with their arrival rates multiplied by a factor."""
    return tuple(attrs.evolve(kind, per_s=kind.per_s * factor) for kind in kinds)


def overload(seed: int, duration_ms: int = 20_000, factor: float = 1.3) -> Load:
    """Return a load like that of the worst day measured.

    It has bursts, two of eleven runners are lost, and one stalls for 5 s; after that the load is a
    little above the capacity that is left.
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
    """Return a load close to the capacity of the runners, without faults."""
    return attrs.evolve(overload(seed, duration_ms, factor), name="steady", bursts=(), faults=())


# Three queues of a customer where long jobs are nearly half of the work. 359 jobs per second need
# 767 cores.
LONG_KINDS = (
    JobKind("flags", 83.2, 8.0, 120, 1_500, 0.00485, 0),
    JobKind("certificates", 32.9, 4.0, 1_800, 1_500, 0.0267, 2),
    JobKind("tags", 243.0, 2.0, 400, 1_500, 0.00167, 1),
)


def long_work(
    seed: int, duration_ms: int = 15_000, factor: float = 1.2, entries: int = 11, agents: int = 65
) -> Load:
    """Return a load whose long jobs occupy the runners for seconds, in three zones.

    There are bursts of all jobs, of short wide ones and of long ones in turn; in the last burst a
    seventh of the runners is lost. At a factor of 1 the work needs 63% of the capacity.
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


def long_tasks(seed: int, duration_ms: int = 12_000, factor: float = 1.0) -> Load:
    """Return the steady load at a factor of its rate, where 3% of the tasks run long.

    Two of eleven runners work at a quarter of their speed for 5 s. The work needs 70% of the
    capacity.
    """
    faults = (Fault(3_000, 5_000, (0, 1), pace=0.25),)
    load = steady(seed, duration_ms, factor)
    return attrs.evolve(load, name="long_tasks", long_share=0.03, faults=faults)


# Three queues that compete for one upstream: short wide jobs, long jobs with lenient targets and
# many small ones. 422 jobs per second need 569 cores.
COMPETING_KINDS = (
    JobKind("previews", 103.0, 8.0, 120, 1_200, 0.00485, 0),
    JobKind("runs", 18.8, 4.0, 1_800, 1_200, 0.0267, 2),
    JobKind("lookups", 300.0, 2.0, 400, 1_200, 0.00167, 1),
)


def competing(
    seed: int, duration_ms: int = 20_000, factor: float = 1.1, entries: int = 4, agents: int = 15
) -> Load:
    """Return a load with a burst of long jobs, followed by one of the most urgent jobs.

    A seventh of the runners is lost before the second burst, and another seventh during it. At a
    factor of 1 and with all runners the work needs 60% of the capacity.
    """
    first = tuple(range(0, agents, 7))
    second = tuple(range(3, agents, 7))
    return Load(
        name="competing",
        seed=seed,
        duration_ms=duration_ms,
        kinds=scaled(COMPETING_KINDS, factor * agents / 51),
        runners=tuple((16_000, 16_000, 24_000)[number % 3] for number in range(agents)),
        shares=(1 / entries,) * entries,
        zones=3,
        bursts=(Burst(4_000, 6_000, 2.4, "runs"), Burst(12_000, 3_500, 1.8, "previews")),
        faults=(
            Fault(9_000, 10**9, first, gone=True),
            Fault(14_000, 10**9, second, gone=True),
        ),
    )


def drained_zone(seed: int, duration_ms: int = 12_000, factor: float = 1.0) -> Load:
    """Return the long work at its usual rate, while one of three zones is drained for 6 s.

    The capacity that is left is 1.05 times the work.
    """
    load = long_work(seed, duration_ms, factor)
    drain = Drain(3_000, 6_000, "zone-0")
    return attrs.evolve(load, name="drained_zone", bursts=(), faults=(), drains=(drain,))


def large_fleet(
    seed: int, duration_ms: int = 1_000, factor: float = 1.2, entries: int = 35, agents: int = 160
) -> Load:
    """Return the steady load of a fleet of hundreds of machines in five zones.

    At a factor of 1.2 it needs 87% of the capacity, at 1.6 slightly more than all of it.
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


UNEVEN_KINDS = (
    JobKind("thumbnails", 91.0, 8.0, 102, 6_000, 0.00485, 0),
    JobKind("transcodes", 16.6, 4.0, 1_520, 6_000, 0.0267, 2),
    JobKind("captions", 265.0, 2.0, 340, 6_000, 0.00167, 1),
)


def uneven(
    seed: int,
    duration_ms: int = 10_000,
    factor: float = 1.0,
    entries: int = 11,
    agents: int = 63,
    long_share: float = 0.03,
) -> Load:
    """Return a load on runners of which a quarter is slow and a quarter fast, in four zones.

    A third of the jobs have their data on one rack of seven runners, and some tasks run seven times
    as long as others. At a factor of 1 the work needs half of the capacity, without the long tasks.
    """
    return Load(
        name="uneven",
        seed=seed,
        duration_ms=duration_ms,
        kinds=scaled(UNEVEN_KINDS, factor * agents / 63),
        runners=tuple((64_000, 96_000, 64_000)[number % 3] for number in range(agents)),
        shares=(1 / entries,) * entries,
        zones=4,
        speeds=tuple((0.6, 1.0, 1.6, 1.0)[number % 4] for number in range(agents)),
        rack_size=7,
        data_share=0.33,
        far_factor=3.0,
        long_share=long_share,
        long_factor=7.0,
    )


def hot_rack(seed: int, duration_ms: int = 10_000, entries: int = 11, agents: int = 63) -> Load:
    """Return a load where the data of 30% of the jobs is on a third of the racks, no long tasks."""
    load = uneven(seed, duration_ms, 1.5, entries, agents, long_share=0.0)
    return attrs.evolve(load, name="hot_rack", data_share=0.3, data_runners=agents // 3)
