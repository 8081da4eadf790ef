"""Jobs that wait for a label keep all other jobs of their service waiting."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.system import SERVICE, CaseNotRunError, System, job_ids, run_case

# The burst: jobs that fill the runners without the label, jobs that need it, and others.
FIRST = 3
LABELLED = 16
TASK_MS = 3_600
TASK_CPU = 1_600
FINISH_S = 14
IDLE_S = 3
OTHERS = 3


async def play(system: System, trouble: bool) -> list[str]:
    """Hand in a burst of jobs that need a label, and jobs that don't."""
    record = system.record
    system.configure(1, [{"name": "certs", "prefix": "/certs/", "attempts": 2}])
    for runner in system.runners[:2]:
        runner.labels = ["b", "r1"]
    await system.start()
    step = {"cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": TASK_MS}
    names = job_ids(FIRST + LABELLED + OTHERS)
    await submit_all(system, names[:FIRST], {**step, "count": 16})
    if trouble:
        await submit_all(system, names[FIRST:-OTHERS], {**step, "requires": "b", "count": 16})
    others = names[-OTHERS:]
    answers = await submit_all(system, others, {**step, "count": 8})
    record.add("end_of_traffic")
    await asyncio.sleep(FINISH_S + IDLE_S + 0.1)
    accepted = [name for name, status in zip(others, answers, strict=True) if status == 200]
    if not accepted:
        raise CaseNotRunError("none of the other jobs was accepted")
    for name in accepted:
        await system.ask(1, "GET", f"/certs/{name}")
    return judge(system, accepted)


async def submit_all(system: System, names: list[str], step: dict) -> list[int]:
    """Hand in jobs of one step at once, at one entry; return the statuses."""
    body = {"spec": json.dumps({"run_ms": TASK_MS}), "steps": [step]}
    calls = [system.ask(0, "POST", f"/certs/{name}", body) for name in names]
    return [status for status, _ in await asyncio.gather(*calls)]


def judge(system: System, names: list[str]) -> list[str]:
    """LOST: no job has nothing running for 3 s, ``finish_s`` after the end of the traffic."""
    record = system.record
    end_ms = record.find("end_of_traffic")[0]["ms"]
    used = sum(len(runner.runs) for runner in system.runners) * TASK_CPU
    room = sum(runner.cpu for runner in system.runners)
    started = {row["task"].partition(".")[0] for row in record.find("started")}
    if used >= room / 2:
        return []
    return [
        f"LOST: {name} has not begun {record.now_ms - end_ms} ms after the end of the traffic, and"
        f" {used} of {room} thousandths of a core are in use"
        for name in names
        if name not in started
    ]


if __name__ == "__main__":
    run_case(play, System(entries=3, services=[SERVICE] * 6))
