"""Tasks that are done are done once more: the store turned the owner of their jobs away.

Jobs are accepted at entry 0. Then the store turns that entry away and serves the others. The
tasks end in that time. Another entry takes the jobs over, starts the tasks again, and both ends of
a task are taken note of. With ``TROUBLE=0`` the store serves all entries.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from system import BROKEN, HELD, System, find_doubles, run_case  # noqa: E402

ENTRIES, AGENTS = 8, 8
JOBS = [f"00000000000000{number:02x}" for number in range(0xA0, 0xB0)]
RUN_MS = 300
STEPS = [{"count": 1, "cpu": 6_000, "mem_mb": 64, "estimate_ms": RUN_MS}]
AWAY_S = 9.0
WATCH_S = 8.0


def play(with_trouble: bool) -> int:
    """Play the case; return its result."""
    with System(FOLDER, ENTRIES, AGENTS) as system:
        for job in JOBS:
            system.submit(job, STEPS, {"else_ms": RUN_MS}, entry=0)
        if with_trouble:
            system.set_fault(mode="away", ports=[system.store_ports["edge-0"]])
        time.sleep(AWAY_S)
        if with_trouble:
            system.set_fault(mode="away", ports=[])
        time.sleep(WATCH_S)
        for job in JOBS:
            system.client("GET", job, 1)
        system.record_history()
        findings = list(find_doubles(system.history()))
        for finding in findings:
            system.record("TWICE", finding=finding)
        return BROKEN if findings else HELD


run_case(FOLDER, play)
