"""What runners saw in a soak, held against the promises: the runners are the witnesses."""

import math
import time
from collections import defaultdict
from itertools import combinations

import attrs
from platform_system import RUNNER_CPU_MILLI
from soak_callers import TASK_CPU_MILLI, SubmittedJob

ENDS = ("done", "failed", "stopped", "lapsed")
NS_PER_MS = 1_000_000


@attrs.define
class SeenRun:
    """A run as its runner saw it; times are of the machine's steady clock, which all share."""

    task: str
    attempt: int
    life: int
    began_ns: int
    ended_ns: float = math.inf  # still at work when the runners were last asked
    how: str = ""

    def overlap_ms(self, other: "SeenRun") -> float:
        """Return for how long both were at work, negative if one was over before the other."""
        first_end_ns = min(self.ended_ns, other.ended_ns)
        return (first_end_ns - max(self.began_ns, other.began_ns)) / NS_PER_MS

    def describe(self) -> str:
        """Tell where it ran, and from when to when by the wall clock, as logs do."""
        wall_ns = time.time_ns() - time.monotonic_ns()
        began_ms = (self.began_ns + wall_ns) / NS_PER_MS
        ended_ms = (self.ended_ns + wall_ns) / NS_PER_MS
        return (
            f"attempt {self.attempt} at runner life {self.life} "
            f"from {began_ms:.3f} to {ended_ms:.3f} {self.how}"
        )


def list_runs(history: list[dict], killed_ns: dict[int, int]) -> list[SeenRun]:
    """Return the runs of one life of a runner; what was at work when it was killed ended then."""
    runs: list[SeenRun] = []
    at_work: dict[str, SeenRun] = {}
    for row in history:
        if row["how"] == "started":
            run = SeenRun(row["task"], row["attempt"], row["life"], row["steady_ns"])
            runs.append(run)
            at_work[run.task] = run
        elif row["how"] in ENDS:
            run = at_work.pop(row["task"])
            run.ended_ns, run.how = row["steady_ns"], row["how"]
    for run in at_work.values():
        if run.life in killed_ns:
            run.ended_ns, run.how = killed_ns[run.life], "killed"
    return runs


def check_runs(
    histories: list[list[dict]], jobs: list[SubmittedJob], killed_ns: dict[int, int]
) -> list[str]:
    """Return the promises that the histories of all lives of runners show to be broken."""
    by_task: dict[str, list[SeenRun]] = defaultdict(list)
    broken = []
    for history in histories:
        runs = list_runs(history, killed_ns)
        broken += find_over_capacity(runs)
        for run in runs:
            by_task[run.task].append(run)
    by_id = {job.job_id: job for job in jobs}
    for task, runs in by_task.items():
        broken += find_overlaps(task, runs, by_id.get(_job_id(task)))
    durable = {job.job_id for job in jobs if job.durable}
    counted = {
        (row["task"], row["attempt"])
        for history in histories
        for row in history
        if row["how"] == "forgotten"
    }
    for task, runs in by_task.items():
        if _job_id(task) in durable:
            broken += find_starts_after_end(task, runs, counted)
    started = {_job_id(task) for task in by_task}
    broken += [
        f"{job.job_id} was refused and ran" for job in jobs if job.job_id in started and job.refused
    ]
    return broken


def _job_id(task: str) -> str:
    return task.partition(".")[0]


def find_overlaps(task: str, runs: list[SeenRun], job: SubmittedJob | None) -> list[str]:
    """Return all pairs of runs of a task that were at work at once, however shortly."""
    return [
        f"overlap of {one.overlap_ms(other):.3f} ms: {task} {one.describe()}, beside "
        f"{other.describe()}; {'durable' if job and job.durable else 'waiting'}, "
        f"{job and job.submissions}"
        for one, other in combinations(runs, 2)
        if one.overlap_ms(other) >= 0
    ]


def find_starts_after_end(
    task: str, runs: list[SeenRun], counted: set[tuple[str, int]]
) -> list[str]:
    """Return the starts of a stored task after an end as done that counts."""
    done = [run for run in runs if run.how == "done" and (task, run.attempt) in counted]
    return [
        f"{task} {run.describe()} after {end.describe()}"
        for end in done
        for run in runs
        if run.began_ns > end.ended_ns
    ]


def find_earlier_ends(entry_lines: list[dict], histories: list[list[dict]]) -> list[str]:
    """Return the ends that an entry counted for a waiting job that it began only after them.

    Runners and entries share the machine's wall clock.
    """
    ended_ms = {
        (row["task"], row["attempt"], f"i-{row['life']:08x}"): row["wall_ms"]
        for history in histories
        for row in history
        if row["how"] in ENDS
    }
    begun_ms: dict[str, int] = {}
    earlier = []
    for line in entry_lines:
        if line["event"] == "job_begun":
            begun_ms[line["request"]] = line["t_ms"]
        elif line["event"] == "task_ended":
            end_ms = ended_ms.get((line["task"], line["attempt"], line["runner"]), math.inf)
            ahead_ms = begun_ms.get(line["request"], 0) - end_ms
            if ahead_ms > 0:
                earlier.append(
                    f"earlier end: {line['task']} attempt {line['attempt']} at {line['runner']} "
                    f"{line['end']} {ahead_ms} ms before its job was begun"
                )
    return earlier


def find_over_capacity(runs: list[SeenRun]) -> list[str]:
    """Return the starts that brought one life of a runner over its room."""
    over = []
    for run in runs:
        beside = [other for other in runs if other.began_ns <= run.began_ns < other.ended_ns]
        if len(beside) * TASK_CPU_MILLI > RUNNER_CPU_MILLI:
            over.append(f"room: {run.task} {run.describe()} beside {len(beside) - 1} others")
    return over
