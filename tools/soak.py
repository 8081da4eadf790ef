"""A randomized soak: real processes under load and faults from outside, and the promises checked.

    python tools/soak.py --seed 7 --seconds 20

Faults come alone, in series, in herds, and overlap: processes are killed, paused, asked to stop
and started again; the links to the store, and those of agents to each entry, are delayed,
silenced, cut one way or reset, once or in series; the store is away, loses answers or carries out
late; runners leave calls unanswered or carry them out late. Callers leave, give up, and submit
again as soon as they may. Checked, from what callers and runners see: no task runs at two places at
once, however shortly, no runner's room is exceeded, a stored task is not started again after an end
as done that counts (the runner was told to forget it, with no lapse of its lease in between), no
end counts for a submission that began after it, a job that was refused never runs, a stored job
that was accepted ends in one state at all entries.

``--planted`` switches a mechanism off, to see that the soak notices: see ``planted.py``.
"""

import argparse
import contextlib
import json
import os
import random
import signal
import sys
import time

from local_system import Process, wait_for
from platform_system import ZONES, PlatformSystem, RunnerPace
from soak_callers import HOT_RACK, Callers, SubmittedJob
from soak_checks import check_runs, find_earlier_ends
from soak_faults import CALM_S, Faults, Proxies

ENTRIES, AGENTS, CALLERS = 2, 3, 6
# Runners are uneven, and part of the jobs have their data on one rack.
PACES = tuple(RunnerPace(speed, HOT_RACK if speed == 1.0 else "r2") for speed in (1.0, 0.6, 1.6))
FAR_FACTOR = 3.0
END_TIMEOUT_S = 40
PROCESSES_LIMIT = 300
PROCESS_MB = 50  # of an entry, an agent or a stand-in, measured and rounded up
MEMORY_SHARE = 0.5  # of the machine's


class Soak:
    """One seed: a system, its callers, its faults, and what was seen."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        planted: str = "",
        entries: int = ENTRIES,
        agents: int = AGENTS,
        callers: int = CALLERS,
    ) -> None:
        chooser = random.Random(seed)
        proxies = Proxies()
        self.seconds = seconds
        self.system = PlatformSystem(
            entries,
            agents,
            store_ports=proxies.add,
            stream_ports=proxies.add_stream,
            planted=planted,
            paces=PACES,
            far_factor=FAR_FACTOR,
        )
        self._callers = Callers(self.system, [chooser.random() for _ in range(callers)])
        self._faults = Faults(seed, chooser, self.system, proxies)

    @property
    def jobs(self) -> list[SubmittedJob]:
        """All jobs that were submitted."""
        return self._callers.jobs

    @property
    def faults(self) -> list[str]:
        """All faults that were played, with their time on the wall clock in ms."""
        return self._faults.seen

    def run(self) -> list[str]:
        """Run the soak; return the promises that were broken."""
        with self.system:
            try:
                self._callers.start()
                self._faults.inject(self.seconds, self._callers)
                self._faults.recover()
                broken = self._check_drain()
            finally:
                self._callers.stop()
                self._faults.end()
            self._callers.join()
            broken += self._check_stored()
            histories = self.system.histories()
        for entry in self.system.entries:
            broken += find_earlier_ends(_read_lines(entry), histories)
        return broken + check_runs(histories, self.jobs, self._faults.killed_ns)

    def _check_drain(self) -> list[str]:
        """Check, with callers still on, that nothing starts in a zone once it is drained."""
        zone_number = self._faults.drain_random.randrange(min(len(ZONES), len(self.system.agents)))
        self.system.drain_zones((ZONES[zone_number],))
        time.sleep(CALM_S)
        drained_ms = time.time_ns() // 1_000_000
        time.sleep(CALM_S)
        drained = self.system.runners[zone_number :: len(ZONES)]
        rows = [row for r in drained for row in self.system.call(r.port, "GET", "/history")[1]]
        self.system.drain_zones(())
        return [
            f"drained zone: {row}"
            for row in rows
            if row["how"] == "started" and row["wall_ms"] > drained_ms
        ]

    def _check_stored(self) -> list[str]:
        """Check that each stored job that was accepted ends in one state at all entries."""
        broken = []
        for job in self.jobs:
            if not job.durable or 200 not in job.statuses:
                continue
            states = set()
            for entry in range(len(self.system.entries)):
                states.add(self._final_state(job.job_id, entry))
            if len(states) != 1 or not states <= {"succeeded", "failed"}:
                broken.append(f"{job.job_id} is {states}")
        return broken

    def _final_state(self, job_id: str, entry: int) -> str:
        def ended() -> bool:
            return self.system.state(job_id, entry) in ("succeeded", "failed", "cancelled", "410")

        try:
            wait_for(ended, job_id, END_TIMEOUT_S)
        except TimeoutError:
            return f"never ended: {self.system.state(job_id, entry)}"
        return self.system.state(job_id, entry)


def _read_lines(process: Process) -> list[dict]:
    """Return the log lines of all lives of a process; one that was cut by a kill is left out."""
    lines = []
    for text in process.log_path.read_text(errors="replace").splitlines():
        with contextlib.suppress(json.JSONDecodeError):
            lines.append(json.loads(text))
    return [line for line in lines if isinstance(line, dict)]


def find_size_error(entries: int, agents: int) -> str:
    """Return why a system of this size is too large for this machine, empty if it isn't."""
    processes = 1 + entries + 2 * agents  # the store; a runner with each agent
    if processes > PROCESSES_LIMIT:
        return f"{processes} processes are more than {PROCESSES_LIMIT}"
    memory_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2**20
    if processes * PROCESS_MB > memory_mb * MEMORY_SHARE:
        return f"{processes} processes may take more than half of {memory_mb} MB"
    return ""


def main() -> int:
    """Run seeds; print each with its faults if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--planted", default="", help="a mechanism of planted.py to switch off")
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--agents", type=int, default=AGENTS)
    parser.add_argument("--callers", type=int, default=CALLERS)
    options = parser.parse_args()
    size_fault = find_size_error(options.entries, options.agents)
    if size_fault:
        parser.error(size_fault)
    # A soak that is ended from outside ends the processes it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(
            seed,
            options.seconds,
            options.planted,
            options.entries,
            options.agents,
            options.callers,
        )
        broken = soak.run()
        failed += bool(broken)
        result = {
            "seed": seed,
            "jobs": len(soak.jobs),
            "answered": sum(200 in job.statuses for job in soak.jobs),
            "refused": sum(job.refused for job in soak.jobs),
            "again": sum(len(job.submissions) > 1 for job in soak.jobs),
            "faults": len(soak.faults),
            "overlaps": sum(text.startswith("overlap") for text in broken),
            "broken": broken[:5],
        }
        print(json.dumps(result), flush=True)
        if broken:
            print(f"faults: {soak.faults}\nlogs: {soak.system.folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
