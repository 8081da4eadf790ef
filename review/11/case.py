"""The spare entries are added; jobs that need a rack's runners are submitted to each entry."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))

from harness import BROKEN, HELD, ZONES, CaseError, Record, System, job_id, run_case  # noqa: E402

FIRST = [(f"edge-{zone}-1", zone) for zone in ZONES]
SPARE = [(f"edge-{zone}-2", zone) for zone in ZONES]
AGENTS_BY_ZONE = dict(zip(ZONES, (4, 4, 3), strict=True))
RACK = 3  # runners
AGENTS = [
    (f"side-{zone}-{number + 1}", zone, f"rack-{zone}-{number // RACK + 1}")
    for zone, count in AGENTS_BY_ZONE.items()
    for number in range(count)
]
RACKS = sorted({rack for _, _, rack in AGENTS})
SETTLE_S = 8
FINISH_S = 14
WATCH_S = 6


def case(record: Record, trouble: bool) -> int:
    """Run the case; return its result."""
    entries = FIRST + SPARE if trouble else FIRST
    system = System(record, entries=entries, agents=AGENTS)
    try:
        return _play(system, record)
    finally:
        system.close()


def _play(system: System, record: Record) -> int:
    system.start(len(FIRST))
    for entry in system.entries[len(FIRST) :]:
        entry.start()
        record.note("added", entry=entry.name)
    system.wait_ready(range(len(system.entries)))
    time.sleep(SETTLE_S)
    jobs = {}
    for number in range(len(system.entries)):
        for rack in RACKS:
            job = job_id()
            step = {"count": 1, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 100, "requires": rack}
            body = system.job_body([step], run_ms=100)
            if system.caller(number, "POST", f"/flags/{job}", body)[0] == 200:
                jobs[job] = (system.entries[number].name, rack)
    if not jobs:
        raise CaseError("no job was accepted")
    time.sleep(FINISH_S + WATCH_S)
    states = {job: system.caller(0, "GET", f"/flags/{job}")[1].get("state") for job in jobs}
    system.check_running()
    for row in system.history():
        record.note(f"run: {json.dumps(row)}")
    begun = {row["task"].partition(".")[0] for row in system.history()}
    lost = [job for job in jobs if job not in begun and states[job] != "succeeded"]
    for job in lost:
        entry, rack = jobs[job]
        record.note("LOST", job=job, entry=entry, requires=rack, state=states[job])
    record.note("judged", jobs=len(jobs), never_begun=len(lost))
    return BROKEN if lost else HELD


run_case(Path(__file__).resolve().parent, case)
