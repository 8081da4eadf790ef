"""Benchmarks: placement policies on one trace, one entry at its limit, settings changes.

All figures of a table come from one run on one system, so that their ratios are
comparable although absolute times vary.
"""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
from local_system import CALLER_TOKEN, OPERATOR_TOKEN, LocalSystem

from gapdrum.replays import Report, percentile, replay
from gapdrum.traces import load_trace

TRACE = Path(__file__).parent.parent / "traces" / "load80.jsonl"
ZONES = ("plaine-nord", "moka-hall", "curepipe-hall")
POLICIES = (
    ("random", "first_come", 256),
    ("least_outstanding", "first_come", 256),
    ("two_choices", "first_come", 256),
    ("two_choices", "highest_response_ratio", 256),
    ("two_choices", "highest_response_ratio", 0),
)
RUNNERS = [("inspect-desk", ZONES[i % 3], 8) for i in range(11)]
SHORT_JOB_TASKS = 4
SETTINGS_CHANGES = 12
LIMIT_SECONDS = 12
LIMIT_CALLERS = 48
LIMIT_TASKS_PER_JOB = 20
LIMIT_RUNNERS = [("inspect-desk", ZONES[i % 3], 64) for i in range(6)]


@attrs.frozen
class Row:
    """The figures of one policy."""

    placement: str
    queue_order: str
    agent_queue_limit_tasks: int
    p50: float
    p99: float
    short_p50: float
    short_p99: float
    messages: int
    messages_per_task: float
    wasted_percent: float
    starts_max: int
    store_writes: int


def set_policy(system: LocalSystem, placement: str, queue_order: str, queue_limit: int) -> None:
    """Set a policy and wait until it is in force at all entries."""
    version = system.request("GET", "/v1/config", token=OPERATOR_TOKEN)[1]["version"]
    values = {
        "placement": placement,
        "queue_order": queue_order,
        "agent_queue_limit_tasks": queue_limit,
    }
    changes = [{"path": "", "name": name, "value": value} for name, value in values.items()]
    document = {"base_version": version, "changes": changes, "reason": "benchmark"}
    status, _record = system.request("POST", "/v1/config/changes", document, token=OPERATOR_TOKEN)
    if status != 200:
        raise SystemExit(f"the entry refused the policy {placement}")
    path = f"/v1/config/status?version={version + 1}&wait_ms=8000"
    if not system.request("GET", path, token=OPERATOR_TOKEN)[1]["in_force"]:
        raise SystemExit("the policy did not come into force within 8 s")


def measure_policy(system: LocalSystem, policy: tuple[str, str, int]) -> Row:
    """Replay the trace under one policy."""
    trace = load_trace(TRACE)
    set_policy(system, *policy)
    before = system.count_messages()
    writes = system.get(system.platform, "/stats")["writes"]
    urls = [system.url(entry, "") for entry in system.entries]
    report = replay(trace, urls, CALLER_TOKEN, progress=lambda _text: None)
    after = system.count_messages()
    writes = system.get(system.platform, "/stats")["writes"] - writes
    tasks = sum(len(job.run_ms) for job in trace.jobs)
    return summarize(policy, report, tasks, before, after, writes, system, trace)


def summarize(policy, report: Report, tasks, before, after, writes, system, trace) -> Row:
    """Return the row of one policy."""
    sizes = {job.key: len(job.run_ms) for job in trace.jobs}
    short = sorted(s.ratio for s in report.samples if sizes[s.key] <= SHORT_JOB_TASKS)
    sent = sum(after["sent"].values()) - sum(before["sent"].values())
    wasted = sum(after["wasted"].values()) - sum(before["wasted"].values())
    return Row(
        *policy,
        report.response_over_ideal_p50,
        report.response_over_ideal_p99,
        round(percentile(short, 50), 3),
        round(percentile(short, 99), 3),
        sent,
        round(sent / tasks, 2),
        round(100 * wasted / sent, 3),
        max(system.count_starts().values()),
        writes,
    )


def bench_placement() -> None:
    """Print one row per policy, on the same trace and system."""
    with LocalSystem(entries=3, runners=RUNNERS) as system:
        for policy in POLICIES:
            print(json.dumps(attrs.asdict(measure_policy(system, policy))), flush=True)


def bench_limit() -> None:
    """Overload one entry with short tasks; print its throughput and CPU use."""
    options = {"http_threads": LIMIT_CALLERS + 16}
    with LocalSystem(entries=1, runners=LIMIT_RUNNERS, entry_options=options) as system:
        finish_at = time.monotonic() + LIMIT_SECONDS

        def run(caller: int) -> int:
            done = 0
            while time.monotonic() < finish_at:
                done += submit_batch(system, f"limit-{caller}-{done}")
            return done

        started = time.monotonic()
        cpu_before = read_cpu_s(system.entries[0].popen.pid)
        with ThreadPoolExecutor(LIMIT_CALLERS) as threads:
            tasks = sum(threads.map(run, range(LIMIT_CALLERS)))
        elapsed = time.monotonic() - started
        cpu = read_cpu_s(system.entries[0].popen.pid) - cpu_before
    result = {
        "entry_starts_per_s": round(tasks / elapsed),
        "entry_cpu_share": round(cpu / elapsed, 2),
        "entry_cpu_us_per_start": round(1e6 * cpu / tasks),
    }
    print(json.dumps(result), flush=True)


def bench_settings() -> None:
    """Print how long accepted changes take until all processes acknowledge them as in force."""
    times_ms = []
    with LocalSystem(entries=3, runners=RUNNERS) as system:
        for version in range(1, SETTINGS_CHANGES + 1):
            change = {"path": "team/bench", "name": "team_weight", "value": 1 + version % 9}
            document = {"base_version": version - 1, "changes": [change], "reason": "benchmark"}
            call = ("POST", "/v1/config/changes", document, version % 3, OPERATOR_TOKEN)
            status, record = system.request(*call)
            if status != 200:
                raise SystemExit(f"a change was refused: {record}")
            accepted = time.monotonic()
            path = f"/v1/config/status?version={version}&wait_ms=20000"
            in_force = system.request("GET", path, token=OPERATOR_TOKEN)[1]["in_force"]
            if not in_force:
                raise SystemExit("a change did not come into force within 20 s")
            times_ms.append(round(1000 * (time.monotonic() - accepted)))
    result = {"changes": len(times_ms), "median_ms": sorted(times_ms)[len(times_ms) // 2]}
    print(json.dumps({**result, "longest_ms": max(times_ms)}), flush=True)


def submit_batch(system: LocalSystem, key: str) -> int:
    """Submit one job of empty tasks; return how many were done."""
    document = {
        "key": key,
        "team": "bench",
        "upstream": "inspect-desk",
        "deadline_ms": 30_000,
        "tasks": [{"payload": '{"run_ms": 0}'}] * LIMIT_TASKS_PER_JOB,
    }
    status, answer = system.request("POST", "/v1/jobs", document)
    if status != 200 or answer["outcome"] != "complete":
        not_done = [task for task in answer.get("tasks", [answer]) if task.get("fate") != "done"]
        raise SystemExit(f"a job failed: {status} {not_done[:3]}")
    return len(answer["tasks"])


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def main() -> None:
    """Run the parts named on the command line, or all."""
    parts = {
        "placement": bench_placement,
        "limit": bench_limit,
        "settings": bench_settings,
    }
    for name in sys.argv[1:] or parts:
        parts[name]()


if __name__ == "__main__":
    main()
