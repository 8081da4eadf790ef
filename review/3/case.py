"""A cancelled job goes on: the answer to the write of its cancellation was lost.

The job is accepted at entry 0. Its client cancels it at entry 1, which writes the cancellation to
the store. The store does the write, and its answer is lost, so the client hears an error. It asks
again, and is told that the job is cancelled. With ``TROUBLE=0`` no answer is lost.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from system import BROKEN, HELD, System, run_case, steady_ms  # noqa: E402

JOB = "00000000000000c3"
FIRST_STEP_MS = 10_000
SECOND_STEP_MS = 6_000
STEPS = [
    {"count": 1, "cpu": 2_000, "mem_mb": 64, "estimate_ms": FIRST_STEP_MS},
    {"count": 1, "cpu": 2_000, "mem_mb": 64, "estimate_ms": SECOND_STEP_MS, "after": [0]},
]
CANCEL_MS, STOP_MS, CONTACT_MS = 4_000, 50, 4_000
SLACK_MS = 250  # for this machine's load, beyond the bounds of the pages
WATCH_S = 19


def play(with_trouble: bool) -> int:
    """Play the case; return its result."""
    with System(FOLDER, entries=2, agents=3) as system:
        spec = {"run_ms": {"0.0": FIRST_STEP_MS, "1.0": SECOND_STEP_MS}, "else_ms": 100}
        system.submit(JOB, STEPS, spec, entry=0)
        system.wait(lambda: system.started(f"{JOB}.0.0.0"), "the first task starts", 10)
        time.sleep(1)
        if with_trouble:
            system.set_fault(mode="lost", table="ended", count=1)
        cancelled_ms = cancel(system)
        time.sleep(WATCH_S)
        system.client("GET", JOB, 1)
        system.record_history()
        findings = judge(system.history(), cancelled_ms)
        for finding in findings:
            system.record("UNASKED", finding=finding)
        return BROKEN if findings else HELD


def cancel(system: System) -> int:
    """Cancel the job at entry 1 until that is acknowledged; return when it was."""
    while True:
        status, _ = system.client("DELETE", JOB, 1)
        if status is not None and (200 <= status < 300 or status == 410):
            return steady_ms()
        time.sleep(0.3)


def judge(history: list[dict], cancelled_ms: int) -> list[str]:
    """Return what was started, or ran on, after the time that the rule allows.

    The lost answer is a disruption of the store, so nothing within ``contact_ms`` after it counts.
    """
    limit_ms = cancelled_ms + max(CANCEL_MS, CONTACT_MS) + STOP_MS + SLACK_MS
    findings = []
    for row in history:
        if "task" not in row or row["ms"] <= limit_ms:
            continue
        after_ms = row["ms"] - cancelled_ms
        if row["event"] == "started":
            findings.append(f"{row['task']} was started {after_ms} ms after the acknowledgement")
        if row["event"] == "ended":
            findings.append(
                f"{row['task']} was at work until {after_ms} ms after the acknowledgement"
                f" (ended {row['how']})"
            )
    return findings


run_case(FOLDER, play)
