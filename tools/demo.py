"""The demo: replays a day of both workloads on a local system; prints one line of results."""

import json
import sys
from pathlib import Path

from local_system import CALLER_TOKEN, LocalSystem
from platform_demo import run_platform_demo

from gapdrum.replays import list_deviations, replay
from gapdrum.traces import load_trace

TRACE = Path(__file__).parent.parent / "traces" / "day.jsonl"
ZONES = ("plaine-nord", "moka-hall", "curepipe-hall")
RUNNERS_PER_UPSTREAM = 11
SLOTS = 8


def list_runners() -> list[tuple[str, str, int]]:
    """Return the runners of both workloads, distributed over the zones."""
    return [
        (upstream, ZONES[i % len(ZONES)], SLOTS)
        for upstream in ("inspect-desk", "deskbook")
        for i in range(RUNNERS_PER_UPSTREAM)
    ]


def main() -> int:
    """Run the demo; return the exit code."""
    trace = load_trace(TRACE)
    print("starting the platform stand-in, 3 entries, 22 agents and 22 runners")
    with LocalSystem(entries=3, runners=list_runners()) as system:
        before = system.count_messages()
        urls = [system.url(entry, "") for entry in system.entries]
        print(f"replaying {len(trace.jobs)} jobs in {trace.calls} calls")
        report = replay(trace, urls, CALLER_TOKEN)
        starts = system.count_starts()
        messages = system.count_messages()
    deviations = list_deviations(trace, report)
    starts_max = max(starts.values())
    sent = sum(messages["sent"].values()) - sum(before["sent"].values())
    wasted = sum(messages["wasted"].values()) - sum(before["wasted"].values())
    if starts_max > trace.outcome.starts_max_per_task:
        deviations.append(f"a runner saw {starts_max} starts of a task")
    if 100 * wasted > trace.outcome.wasted_percent_max * sent:
        deviations.append(f"{wasted} of {sent} messages wasted")
    for deviation in deviations:
        print(f"deviation: {deviation}")
    result = {
        "calls": report.jobs,
        "answered": report.answered,
        "failed": report.failed,
        "refused": report.refused,
        "starts_max_per_task": starts_max,
        "response_over_ideal_p50": report.response_over_ideal_p50,
        "response_over_ideal_p99": report.response_over_ideal_p99,
        "messages": sent,
        "wasted_messages": wasted,
    }
    print(json.dumps(result))
    failed = run_platform_demo()
    return 1 if deviations or failed else 0


if __name__ == "__main__":
    sys.exit(main())
