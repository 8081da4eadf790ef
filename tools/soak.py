"""A randomized soak test: real processes under load and injected faults, with checks of promises.

    python tools/soak.py --seed 7 --seconds 20

Faults come singly, in series and at several processes at once, and overlap: processes are killed,
paused, terminated and restarted; the links to the store, and those of agents to each entry, are
delayed, silenced, cut in one direction or reset; the store is unavailable, rejects some processes,
loses answers or executes calls late; runners leave calls unanswered or execute them late. Operators
rename, remove and move routes. Callers disconnect, reach their deadline, resubmit as soon as they
may, and cancel durable jobs. Other clients exceed limits, and stay connected until their process
is gone.

The checks use what callers and runners observed: no task runs at two runners at once, however
briefly; no runner's capacity is exceeded; a durable task is not started again after a "done" end
that counts (the runner was told to forget it, and its lease did not lapse before that), nor after
as many "failed" ends that count as its queue allows, and its job fails for no other cause; no end
counts for a submission that began after it; a refused job never runs; nothing of a cancelled job
runs some time after that was acknowledged; an accepted durable job ends in the same state at all
entries; an agent that has not restarted loses no outcome, and stops no run
of an entry that goes on under another name.

``--planted`` disables a mechanism, to check that the soak detects it: see ``planted.py``.
"""

import argparse
import contextlib
import json
import os
import random
import signal
import sys
import time

from client_crowd import count_descriptors, read_peak_mb
from local_system import Process, wait_for
from platform_system import ZONES, MachineLimits, PlatformSystem, RunnerPace
from soak_callers import HOT_RACK, Callers, SubmittedJob
from soak_checks import (
    check_runs,
    find_earlier_ends,
    find_lost_outcomes,
    find_stopped_runs,
    find_uncancelled,
)
from soak_faults import CALM_S, Faults, Proxies

ENTRIES, AGENTS, CALLERS = 2, 3, 6
# Runners differ in speed, and part of the jobs have their data on one rack.
PACES = tuple(RunnerPace(speed, HOT_RACK if speed == 1.0 else "r2") for speed in (1.0, 0.6, 1.6))
FAR_FACTOR = 3.0
KINDS = ("", "outages", "rejections", "changes", "clients")
MACHINE = MachineLimits(memory_mb=168, max_fds=1_024)  # where clients exceed limits
END_TIMEOUT_S = 40
PROCESSES_LIMIT = 300
PROCESS_MB = 50  # of an entry, an agent or a stand-in
MEMORY_SHARE = 0.5  # of the machine's


class Soak:
    """One run of the soak with one seed: a system, its callers and its faults."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        planted: str = "",
        entries: int = ENTRIES,
        agents: int = AGENTS,
        callers: int = CALLERS,
        only: str = "",
    ) -> None:
        rng = random.Random(seed)
        proxies = Proxies()
        self._machine = MACHINE if only == "clients" else None
        self.seconds = seconds
        self._only = only
        self.system = PlatformSystem(
            entries,
            agents,
            store_ports=proxies.add_store,
            stream_ports=proxies.add_stream,
            planted=planted,
            paces=PACES,
            far_factor=FAR_FACTOR,
            machine=self._machine,
        )
        self._callers = Callers(self.system, [rng.random() for _ in range(callers)])
        self._faults = Faults(seed, rng, self.system, proxies)

    @property
    def jobs(self) -> list[SubmittedJob]:
        """Return all jobs that were submitted."""
        return self._callers.jobs

    @property
    def faults(self) -> list[str]:
        """Return all faults that were injected, with their wall-clock time in ms."""
        return self._faults.injected

    def run(self) -> list[str]:
        """Run the soak; return a description of each violation of a promise."""
        with self.system:
            try:
                self._callers.start()
                self._faults.inject(self.seconds, self._callers, self._only)
                self._faults.recover()
                violations = self._check_drain() + self._check_limits()
            finally:
                self._faults.close_crowds()
                self._callers.stop()
                self._faults.end()
            self._callers.join()
            violations += self._check_durable()
            histories = self.system.histories()
        for entry in self.system.entries:
            violations += self._check_logs(_read_lines(entry), histories)
        cancelled_ns = {job.job_id: job.cancelled_ns for job in self.jobs if job.cancelled_ns}
        violations += find_uncancelled(histories, cancelled_ns, self._faults.killed_ns)
        return violations + check_runs(histories, self.jobs, self._faults.killed_ns)

    def _check_logs(self, lines: list[dict], histories: list[list[dict]]) -> list[str]:
        """Check what one entry, and the agents for it, have logged."""
        violations = find_earlier_ends(lines, histories) + find_lost_outcomes(lines)
        for agent in self.system.agents:
            violations += find_stopped_runs(_read_lines(agent), lines)
        return violations

    def _check_drain(self) -> list[str]:
        """Check under load that no run starts in a drained zone."""
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

    def _check_limits(self) -> list[str]:
        """Check the peak memory and the descriptors of each process, with all crowds connected."""
        if self._machine is None:
            return []
        violations = []
        for process in [*self.system.entries, *self.system.agents]:
            peak_mb, descriptors = read_peak_mb(process), count_descriptors(process)
            if peak_mb > self._machine.memory_mb or descriptors > self._machine.max_fds:
                violations.append(f"{process.name}: {peak_mb:.0f} MB, {descriptors} descriptors")
        return violations

    def _check_durable(self) -> list[str]:
        """Check that each accepted durable job ends in the same state at all entries."""
        violations = []
        for job in self.jobs:
            if not job.durable or 200 not in job.statuses:
                continue
            states = set()
            for entry in range(len(self.system.entries)):
                states.add(self._final_state(job.job_id, entry))
            allowed = {"succeeded", "failed"} | ({"cancelled"} if job.cancelling else set())
            job.state = " or ".join(sorted(states))
            if len(states) != 1 or not states <= allowed:
                violations.append(f"{job.job_id} is {states}")
        return violations

    def _final_state(self, job_id: str, entry: int) -> str:
        def ended() -> bool:
            return self.system.state(job_id, entry) in ("succeeded", "failed", "cancelled", "410")

        try:
            wait_for(ended, job_id, END_TIMEOUT_S)
        except TimeoutError:
            return f"did not end: {self.system.state(job_id, entry)}"
        return self.system.state(job_id, entry)


def _read_lines(process: Process) -> list[dict]:
    """Return the log lines of all incarnations of a process, without lines truncated by a kill."""
    lines = []
    for text in process.log_path.read_text(errors="replace").splitlines():
        with contextlib.suppress(json.JSONDecodeError):
            lines.append(json.loads(text))
    return [line for line in lines if isinstance(line, dict)]


def find_size_error(entries: int, agents: int) -> str:
    """Return why a system of this size is too large for this machine, else an empty string."""
    processes = 1 + entries + 2 * agents  # the store; a runner with each agent
    if processes > PROCESSES_LIMIT:
        return f"{processes} processes exceed the limit of {PROCESSES_LIMIT}"
    memory_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2**20
    if processes * PROCESS_MB > memory_mb * MEMORY_SHARE:
        return f"{processes} processes may need more than half of {memory_mb} MB of memory"
    return ""


def main() -> int:
    """Run the seeds and print each result; print the faults of a seed that failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--planted", default="", help="a mechanism of planted.py to disable")
    parser.add_argument("--only", default="", choices=KINDS)
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--agents", type=int, default=AGENTS)
    parser.add_argument("--callers", type=int, default=CALLERS)
    options = parser.parse_args()
    size_error = find_size_error(options.entries, options.agents)
    if size_error:
        parser.error(size_error)
    # On SIGTERM the soak also ends the processes that it started.
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
            options.only,
        )
        violations = soak.run()
        failed += bool(violations)
        result = {
            "seed": seed,
            "jobs": len(soak.jobs),
            "answered": sum(200 in job.statuses for job in soak.jobs),
            "refused": sum(job.refused for job in soak.jobs),
            "again": sum(len(job.submissions) > 1 for job in soak.jobs),
            "cancelled": sum(job.cancelled_ns > 0 for job in soak.jobs),
            "faults": len(soak.faults),
            "overlaps": sum(text.startswith("overlap") for text in violations),
            "broken": violations[:5],
        }
        print(json.dumps(result), flush=True)
        if violations:
            print(f"faults: {soak.faults}\nlogs: {soak.system.folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
