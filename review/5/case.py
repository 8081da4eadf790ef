"""A superseded success counts after all if the job was cancelled at another entry."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.system import SERVICE, CaseNotRunError, System, job_ids, noted_ends, run_case

CUT_S = 5.5
CANCEL_AFTER_S = 4.5
RUN_MS = (700, 4_000)
JOBS = 6


async def play(system: System, trouble: bool) -> list[str]:
    """Cut one of six machines off; cancel at another entry the jobs whose task has run again."""
    record = system.record
    system.configure(1, [{"name": "certs", "prefix": "/certs/", "attempts": 2}])
    await system.start()
    steps = [
        {"count": 1, "cpu": 1600, "mem_mb": 64, "estimate_ms": RUN_MS[0]},
        {"count": 1, "cpu": 1600, "mem_mb": 64, "estimate_ms": RUN_MS[1], "after": [0]},
    ]
    names = job_ids(JOBS)
    for number, name in enumerate(names):
        await system.submit(f"/certs/{name}", {"run_ms": RUN_MS}, steps, entry=number % 3)

    async def has_begun() -> bool:
        return bool(record.find("started"))

    await system.wait_for(has_begun, "a task begins", 5)
    machine = record.find("started")[-1]["runner"]
    if trouble:
        system.cut_agent(machine)
    await asyncio.sleep(CANCEL_AFTER_S)
    for number, name in enumerate(names):
        # A client's calls reach any node.
        await system.ask((number + 1) % 3, "DELETE", f"/certs/{name}")
    await asyncio.sleep(CUT_S - CANCEL_AFTER_S)
    if trouble:
        system.heal(machine)

    async def is_over() -> bool:
        return len(record.find("seen")) == len(record.find("ended"))

    try:
        await system.wait_for(is_over, "all ends are seen", 15)
    except CaseNotRunError:
        record.add("still_unseen")
    return judge(system)


def judge(system: System) -> list[str]:
    """TWICE: no start after a run of the task has ended ``done`` that is taken note of."""
    record = system.record
    findings = []
    for end in noted_ends(record, "done"):
        place = record.rows.index(end)
        findings += [
            f"TWICE: {start['task']} started as run {start['attempt']} at {start['ms']} ms, after"
            f" run {end['attempt']} had ended done at {end['ms']} ms, which was taken note of"
            for start in record.find("started", task=end["task"])
            if record.rows.index(start) > place
        ]
    return findings


if __name__ == "__main__":
    run_case(play, entries=3, services=[SERVICE] * 6)
