"""A job whose route got a new name is failed after one run of three, by its next owner."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.system import SERVICE, System, job_ids, run_case

ATTEMPTS = 3
RUN_MS = 5_000
JOBS = 3


async def play(system: System, trouble: bool) -> list[str]:
    """Replace a route by one of another name for the same path, and kill the owner of its jobs."""
    record = system.record
    route = {"name": "certs", "prefix": "/certs/", "attempts": ATTEMPTS}
    other = {"name": "tags", "prefix": "/tags/", "attempts": ATTEMPTS}
    system.configure(1, [route, other])
    await system.start()
    step = {"count": 1, "cpu": 1600, "mem_mb": 64, "estimate_ms": RUN_MS}
    names = job_ids(JOBS)
    spec = {"run_ms": RUN_MS, "failing_runs": [1]}
    for name in names:
        await system.submit(f"/certs/{name}", spec, [step], entry=0)

    async def has_failed_once() -> bool:
        return len(record.find("seen", how="failed")) >= JOBS

    await system.wait_for(has_failed_once, "the first runs have failed", 12)
    system.configure(2, [{**route, "name": "certs-2"}, other])
    await asyncio.sleep(0.5)
    if trouble:
        system.entries[0].kill()
        record.add("killed", process="edge-0")
        await asyncio.sleep(0.7)
        system.entries[0].start()
        record.add("started_again", process="edge-0")
    await asyncio.sleep(9.0)
    findings = []
    for name in names:
        _, document = await system.ask(1, "GET", f"/certs/{name}")
        failed = record.find("ended", task=f"{name}.0.0.0", how="failed")
        if document == {"state": "failed"} and len(failed) < ATTEMPTS:
            findings.append(
                f"LOST: {name} is shown as failed; its only task has failed {len(failed)} time(s),"
                f" with attempts {ATTEMPTS}"
            )
    return findings


if __name__ == "__main__":
    run_case(play, entries=3, services=[SERVICE] * 6)
