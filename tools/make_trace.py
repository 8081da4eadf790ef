"""Generates the traces in traces/ from a fixed seed."""

import random
from pathlib import Path

import attrs

from gapdrum.traces import StatedOutcome, Trace, TracedJob, dump_trace

FOLDER = Path(__file__).parent.parent / "traces"
SLOTS = 88
DEADLINE_MS = 20_000


@attrs.frozen
class Kind:
    """A kind of job: its upstream, relative frequency, number of tasks and duration."""

    name: str
    upstream: str
    weight: int
    tasks: tuple[int, int]
    run_ms: tuple[int, int]


KINDS = (
    Kind("hazard-flag", "inspect-desk", 4, (1, 2), (50, 200)),
    Kind("certificate", "inspect-desk", 2, (1, 4), (100, 600)),
    Kind("photo-tags", "inspect-desk", 2, (2, 12), (50, 1000)),
    Kind("booking", "deskbook", 6, (1, 3), (50, 400)),
    Kind("room-plan", "deskbook", 1, (3, 10), (100, 1000)),
)
TEAMS = {"inspect-desk": ("councils", "schools", "hotels"), "deskbook": ("members", "visitors")}


def make_jobs(
    rng: random.Random, kinds: tuple[Kind, ...], load: float, duration_ms: int
) -> list[TracedJob]:
    """Return jobs with random arrival times whose work is ``load`` times the slots' capacity."""
    upstreams = {kind.upstream for kind in kinds}
    weights = [kind.weight for kind in kinds]
    capacity_ms = load * SLOTS * len(upstreams) * duration_ms
    jobs = []
    while capacity_ms > 0:
        kind = rng.choices(kinds, weights)[0]
        runs = [rng.randint(*kind.run_ms) for _ in range(rng.randint(*kind.tasks))]
        capacity_ms -= sum(runs)
        jobs.append(
            TracedJob(
                at_ms=rng.randrange(duration_ms),
                key=f"{kind.name}-{len(jobs)}",
                team=rng.choice(TEAMS[kind.upstream]),
                upstream=kind.upstream,
                kind=kind.name,
                deadline_ms=DEADLINE_MS,
                run_ms=runs,
            )
        )
    return sorted(jobs, key=lambda job: job.at_ms)


def state_outcome(jobs: list[TracedJob], wasted_percent_max: float) -> StatedOutcome:
    """Return the outcome of jobs that all complete with one start per task."""
    count = sum(job.copies for job in jobs)
    return StatedOutcome(count, count, 0, 0, 1, wasted_percent_max)


def write_trace(name: str, jobs: list[TracedJob], wasted_percent_max: float = 2.0) -> None:
    """Write a trace file with its stated outcome."""
    trace = Trace(state_outcome(jobs, wasted_percent_max), jobs)
    (FOLDER / name).write_text(dump_trace(trace))


def add_copies(rng: random.Random, jobs: list[TracedJob]) -> list[TracedJob]:
    """Let some clients send a job two or three times at once."""
    return [attrs.evolve(job, copies=rng.choice((1, 1, 1, 1, 2, 3))) for job in jobs]


def main() -> None:
    """Write all traces."""
    rng = random.Random(20261202)
    write_trace("day.jsonl", add_copies(rng, make_jobs(rng, KINDS, 0.5, 20_000)), 5.0)
    inspect = tuple(kind for kind in KINDS if kind.upstream == "inspect-desk")
    write_trace("load80.jsonl", make_jobs(rng, inspect, 0.8, 40_000))
    short = make_jobs(rng, inspect, 0.3, 4_000)
    write_trace("short.jsonl", add_copies(rng, short), 5.0)


if __name__ == "__main__":
    main()
