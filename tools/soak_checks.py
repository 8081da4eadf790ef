"""Checks of the soak: compares what runners and entries recorded with the promises."""

import math
import time
from collections import defaultdict
from itertools import combinations

import attrs
from platform_system import QUEUES, RUNNER_CPU_MILLI
from soak_callers import TASK_CPU_MILLI, SubmittedJob

ENDS = ("done", "failed", "stopped", "lapsed")
NS_PER_MS = 1_000_000
ATTEMPTS = {name: attempts for name, _, _, attempts in QUEUES}
# The platform requires a cancelled job to start nothing after 4 s (its ``cancel_ms``) and to have
# stopped 50 ms later (``stop_ms``), and allows processes 4 s (``contact_ms``) after a fault.
CANCEL_MS, STOP_MS, CONTACT_MS = 4_000, 50, 4_000


@attrs.define
class ObservedRun:
    """A run as its runner recorded it, in times of the machine's monotonic clock."""

    task: str
    attempt: int
    life: int
    began_ns: int
    ended_ns: float = math.inf  # infinite while the run is active
    how: str = ""

    def overlap_ms(self, other: "ObservedRun") -> float:
        """Return for how long both runs were active, negative if they did not overlap."""
        first_end_ns = min(self.ended_ns, other.ended_ns)
        return (first_end_ns - max(self.began_ns, other.began_ns)) / NS_PER_MS

    def describe(self) -> str:
        """Describe the run for a report, in wall-clock times as in logs."""
        wall_offset_ns = time.time_ns() - time.monotonic_ns()
        began_ms = (self.began_ns + wall_offset_ns) / NS_PER_MS
        ended_ms = (self.ended_ns + wall_offset_ns) / NS_PER_MS
        return (
            f"attempt {self.attempt} at runner incarnation {self.life} "
            f"from {began_ms:.3f} to {ended_ms:.3f} {self.how}"
        )


def list_runs(history: list[dict], killed_ns: dict[int, int]) -> list[ObservedRun]:
    """Return the runs of one runner incarnation; a kill ends the runs that are active then."""
    runs: list[ObservedRun] = []
    active: dict[str, ObservedRun] = {}
    for row in history:
        if row["how"] == "started":
            run = ObservedRun(row["task"], row["attempt"], row["life"], row["steady_ns"])
            runs.append(run)
            active[run.task] = run
        elif row["how"] in ENDS:
            run = active.pop(row["task"])
            run.ended_ns, run.how = row["steady_ns"], row["how"]
    for run in active.values():
        if run.life in killed_ns:
            run.ended_ns, run.how = killed_ns[run.life], "killed"
    return runs


def check_runs(
    histories: list[list[dict]], jobs: list[SubmittedJob], killed_ns: dict[int, int]
) -> list[str]:
    """Return the violations of promises in the histories of all runner incarnations."""
    by_task: dict[str, list[ObservedRun]] = defaultdict(list)
    violations = []
    for history in histories:
        runs = list_runs(history, killed_ns)
        violations += find_over_capacity(runs)
        for run in runs:
            by_task[run.task].append(run)
    by_id = {job.job_id: job for job in jobs}
    for task, runs in by_task.items():
        violations += find_overlaps(task, runs, by_id.get(_job_id(task)))
    durable = {job.job_id for job in jobs if job.durable}
    counted = {
        (row["task"], row["attempt"])
        for history in histories
        for row in history
        if row["how"] == "forgotten"
    }
    for task, runs in by_task.items():
        if _job_id(task) in durable:
            violations += find_starts_after_end(task, runs, counted)
            allowed = ATTEMPTS[by_id[_job_id(task)].queue]
            violations += find_excess_starts(task, runs, counted, allowed)
    violations += find_failed_without_cause(by_task, jobs)
    started = {_job_id(task) for task in by_task}
    violations += [
        f"{job.job_id} was refused and ran" for job in jobs if job.job_id in started and job.refused
    ]
    return violations


def _job_id(task: str) -> str:
    return task.partition(".")[0]


def find_overlaps(task: str, runs: list[ObservedRun], job: SubmittedJob | None) -> list[str]:
    """Return all pairs of runs of a task that were active at once, however briefly."""
    return [
        f"overlap of {one.overlap_ms(other):.3f} ms: {task} {one.describe()}, and "
        f"{other.describe()}; {'durable' if job and job.durable else 'waiting'}, "
        f"{job and job.submissions}"
        for one, other in combinations(runs, 2)
        if one.overlap_ms(other) >= 0
    ]


def find_starts_after_end(
    task: str, runs: list[ObservedRun], counted: set[tuple[str, int]]
) -> list[str]:
    """Return the starts of a durable task after a "done" end that counts."""
    done = [run for run in runs if run.how == "done" and (task, run.attempt) in counted]
    return [
        f"{task} {run.describe()} after {end.describe()}"
        for end in done
        for run in runs
        if run.began_ns > end.ended_ns
    ]


def find_excess_starts(
    task: str, runs: list[ObservedRun], counted: set[tuple[str, int]], allowed: int
) -> list[str]:
    """Return the starts of a durable task after as many counted failures as its job allows."""
    failed = [run for run in runs if run.how == "failed" and (task, run.attempt) in counted]
    return [
        f"budget: {task} {run.describe()} after {before} failures"
        for run in runs
        if (before := sum(end.ended_ns < run.began_ns for end in failed)) >= allowed
    ]


def find_failed_without_cause(
    by_task: dict[str, list[ObservedRun]], jobs: list[SubmittedJob]
) -> list[str]:
    """Return the durable jobs that failed though no task has used its attempts up.

    A task under which runners were lost may be given up sooner.
    """
    queues = {job.job_id: job.queue for job in jobs}
    causes = {
        job_id
        for task, runs in by_task.items()
        if (job_id := _job_id(task)) in queues
        and (
            sum(run.how == "failed" for run in runs) >= ATTEMPTS[queues[job_id]]
            or any(run.how in ("killed", "") for run in runs)
        )
    }
    return [
        f"{job.job_id} failed without cause"
        for job in jobs
        if job.durable and job.state == "failed" and job.job_id not in causes
    ]


def find_uncancelled(
    histories: list[list[dict]],
    cancelled_ns: dict[str, int],
    killed_ns: dict[int, int],
    limit_ms: int = CANCEL_MS + STOP_MS + CONTACT_MS,
) -> list[str]:
    """Return the runs of cancelled jobs that were active ``limit_ms`` after the acknowledgement.

    ``cancelled_ns`` has the time of the acknowledgement of each cancelled job.
    """
    return [
        f"cancelled: {run.task} {run.describe()}, acknowledged "
        f"{(run.ended_ns - cancelled_ns[_job_id(run.task)]) / NS_PER_MS:.0f} ms before its end"
        for history in histories
        for run in list_runs(history, killed_ns)
        if run.ended_ns > cancelled_ns.get(_job_id(run.task), math.inf) + limit_ms * NS_PER_MS
    ]


def find_earlier_ends(entry_lines: list[dict], histories: list[list[dict]]) -> list[str]:
    """Return the ends that an entry counted for a submission that began after them.

    Runners and entries share the machine's wall clock, so their times can be compared.
    """
    ended_ms = {
        (row["task"], row["attempt"], f"i-{row['life']:08x}"): row["wall_ms"]
        for history in histories
        for row in history
        if row["how"] in ENDS
    }
    begun_ms: dict[str, int] = {}
    violations = []
    for line in entry_lines:
        if line["event"] == "job_begun":
            begun_ms[line["request"]] = line["t_ms"]
        elif line["event"] == "task_ended":
            end_ms = ended_ms.get((line["task"], line["attempt"], line["runner"]), math.inf)
            lead_ms = begun_ms.get(line["request"], 0) - end_ms
            if lead_ms > 0:
                violations.append(
                    f"earlier end: {line['task']} attempt {line['attempt']} at {line['runner']} "
                    f"{line['end']} {lead_ms} ms before its job began"
                )
    return violations


def find_over_capacity(runs: list[ObservedRun]) -> list[str]:
    """Return the starts that exceeded the capacity of one runner incarnation."""
    violations = []
    for run in runs:
        active = [other for other in runs if other.began_ns <= run.began_ns < other.ended_ns]
        if len(active) * TASK_CPU_MILLI > RUNNER_CPU_MILLI:
            violations.append(f"room: {run.task} {run.describe()} beside {len(active) - 1} others")
    return violations


def find_lost_outcomes(entry_lines: list[dict]) -> list[str]:
    """Return the tasks that an entry placed again as their agent had lost what became of them.

    An agent must report each outcome that its owner may count on, unless it has restarted.
    """
    return [
        f"lost outcome: {line['task']} attempt {line['attempt']} at {line['runner']}, "
        f"{line['reason']}, at {line['t_ms']}"
        for line in entry_lines
        if line["event"] == "task_released" and line.get("why") == "outcome_unknown"
    ]


def find_stopped_runs(agent_lines: list[dict], entry_lines: list[dict]) -> list[str]:
    """Return the runs that an agent stopped for a former name of an entry that goes on.

    The entry has lost its lease and joined under another name; its process has not ended between.
    """
    same_process = _list_owners(entry_lines)
    joined: set[str] = set()
    violations = []
    for line in agent_lines:
        if line["event"] == "started":
            joined.clear()
        elif line["event"] == "entry_joined":
            joined.add(line["owner"])
        elif line["event"] == "run_stopped_for_owner":
            later = joined & same_process.get(line["owner"], set())
            violations += [
                f"renamed owner: {line['task']} attempt {line['attempt']} stopped at "
                f"{line['t_ms']} for {line['owner']}, now {owner}"
                for owner in sorted(later)
            ]
    return violations


def _list_owners(entry_lines: list[dict]) -> dict[str, set[str]]:
    """Return for each owner name of an entry the names that the same process took later."""
    later: dict[str, set[str]] = {}
    names: list[str] = []
    for line in entry_lines:
        if line["event"] == "lease_taken":
            for name in names:
                later[name].add(line["owner"])
            if line["owner"] not in names:
                names.append(line["owner"])
                later[line["owner"]] = set()
        elif line["event"] == "started":
            # The process may take its first name just before it writes this line.
            ended = [name for name in names if not name.endswith(line["life"])]
            names = [name for name in names if name not in ended]
            for name in ended:
                later[name] -= set(names)
    return later
