"""The second half of the demo: jobs on stand-ins of the users' platform."""

import json

from platform_system import PlatformSystem

ENTRIES, AGENTS, JOBS = 3, 6, 30
STEPS = [{"count": 8, "cpu": 1600, "estimate_ms": 120}]


def run_platform_demo() -> int:
    """Run durable and non-durable jobs; return how many did not succeed."""
    print(f"starting the row store, {ENTRIES} entries, {AGENTS} agents and runners")
    states: dict[str, int] = {}
    with PlatformSystem(ENTRIES, AGENTS) as system:
        for number in range(JOBS):
            job_id = f"{number:016x}"
            entry = number % ENTRIES
            _, answer = system.submit(job_id, STEPS, entry=entry, run_ms=60, waits=number % 2 == 0)
            state = answer.get("state") or system.wait_final_state(job_id, (entry + 1) % ENTRIES)
            states[state] = states.get(state, 0) + 1
        starts = sum(row["how"] == "started" for row in system.history())
    print(json.dumps({"jobs": JOBS, "states": states, "starts": starts}))
    return JOBS - states.get("succeeded", 0)
