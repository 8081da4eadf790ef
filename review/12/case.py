"""Each runner that starts one task goes dark; it is back, as another one, some seconds later."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))

from harness import BROKEN, HELD, CaseError, Record, System, job_id, run_case  # noqa: E402

DARK_MS = 300
BACK_S = 3.0
WATCH_S = 30
MORE_STARTS = 3
CRASHES = 3


def case(record: Record, trouble: bool) -> int:
    """Run the case; return its result."""
    system = System(record, entries=3, agents=11)
    try:
        return _play(system, record, trouble)
    finally:
        system.close()


def _play(system: System, record: Record, trouble: bool) -> int:
    system.start()
    job = job_id()
    spec = {"run_ms": 1_000, **({"dark_ms": DARK_MS} if trouble else {})}
    step = {"count": 1, "cpu": 1_600, "mem_mb": 64, "estimate_ms": 1_000}
    status, _ = system.caller(0, "POST", f"/flags/{job}", system.job_body([step], **spec))
    if status != 200:
        raise CaseError("the job was not accepted")
    state, asked_s = "", 0.0
    end_s = time.monotonic() + WATCH_S
    while time.monotonic() < end_s:
        time.sleep(0.1)
        system.revive_dark_runners(BACK_S)
        if time.monotonic() < asked_s + 1:
            continue
        asked_s = time.monotonic()
        state = system.caller(1, "GET", f"/flags/{job}", note=False)[1].get("state")
        if state in ("failed", "succeeded"):
            break
    record.note("state", job=job, state=state)
    system.check_running()
    return _judge(system, record, job)


def _judge(system: System, record: Record, job: str) -> int:
    """Count the starts after three runners have crashed under the task."""
    rows = [row for row in system.history() if row["task"].startswith(job)]
    origin_ms = rows[0]["steady_ms"] if rows else 0
    crashed: set[str] = set()
    later = 0
    for row in rows:
        record.note(f"run: {json.dumps({**row, 'steady_ms': row['steady_ms'] - origin_ms})}")
        if row["how"] == "crashed":
            crashed.add(row["runner"])
        elif row["how"] == "started" and len(crashed) >= CRASHES:
            later += 1
    record.note("judged", crashes=len(crashed), starts_after_three=later, allowed=MORE_STARTS)
    return BROKEN if later > MORE_STARTS else HELD


run_case(Path(__file__).resolve().parent, case)
