"""A randomized soak: real processes under load and faults from outside, and the promises checked.

    python tools/soak.py --seed 7 --seconds 20

Faults come in series and overlap: processes are killed, paused, asked to stop and started
again; the links to the store, and those of agents to each entry, are delayed, silenced, cut one
way or reset; the store is away, loses answers or carries out late; runners leave calls
unanswered or carry them out late. Checked, from what callers and runners see: no task runs at
two places at once, no runner's room is exceeded, a stored task is not started again after an
end as done that counts (the runner was told to forget it, with no lapse of its lease in
between), a job that was refused never runs, a stored job that was accepted ends in one state at
all entries.

``--planted`` switches a mechanism off, to see that the soak notices: see ``planted.py``.
"""

import argparse
import json
import random
import signal
import sys
import threading
import time
from collections.abc import Callable

import attrs
import urllib3
from local_system import find_port, wait_for
from platform_system import RUNNER_CPU_MILLI, ZONES, PlatformSystem
from proxy import MODES, PASS, Proxy

ENTRIES, AGENTS, CALLERS = 2, 3, 6
TASK_CPU_MILLI = 2_000
RESEND_S = 1.3
CALM_S = 3.0
END_TIMEOUT_S = 40
DRAIN_SHARE = 0.25  # of the faults that are followed by a change of drained zones
# What a row of a runner's history does to the number of its runs.
STEPS = {"started": 1, "done": -1, "failed": -1, "stopped": -1, "lapsed": -1, "killed": -1}


@attrs.define
class Submitted:
    """A job as its caller knows it."""

    job_id: str
    stored: bool
    statuses: list[int] = attrs.Factory(list)
    state: str = ""


class Soak:
    """One seed: a system, its callers, its faults, and what was seen."""

    def __init__(self, seed: int, seconds: float, planted: str = "") -> None:
        self.random = random.Random(seed)
        # Drains are drawn by themselves, so that seeds play the same other faults as before.
        self._drain_random = random.Random(f"drains {seed}")
        self.seconds = seconds
        self._proxies: list[Proxy] = []
        self.system = PlatformSystem(
            ENTRIES,
            AGENTS,
            store_ports=self._add_proxy,
            stream_ports=self._add_proxy,
            planted=planted,
        )
        self.jobs: list[Submitted] = []
        self.faults: list[str] = []
        self.killed_ms: dict[int, int] = {}
        self._stop = threading.Event()
        self._timers: list[threading.Timer] = []
        self._starting = threading.Lock()

    def _add_proxy(self, port: int) -> int:
        """Put a proxy before a port, for one process; return the proxy's port."""
        proxy = Proxy(find_port(), port)
        self._proxies.append(proxy)
        return proxy.port

    def run(self) -> list[str]:
        """Run the soak; return the promises that were broken."""
        with self.system:
            callers = [
                threading.Thread(target=self._call, args=(self.random.random(),))
                for _ in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            try:
                self._inject()
                self._calm()
                broken = self._check_drain()
            finally:
                self._stop.set()
            for caller in callers:
                caller.join()
            broken += self._check_stored()
            return broken + check_runs(self.system.histories(), self.jobs, self.killed_ms)

    # Load.

    def _call(self, seed: float) -> None:
        chooser = random.Random(seed)
        while not self._stop.is_set():
            job = Submitted(f"{chooser.getrandbits(64):016x}", chooser.random() < 0.5)
            self.jobs.append(job)
            self._submit(job, chooser)
            time.sleep(chooser.uniform(0.0, 0.3))

    def _submit(self, job: Submitted, chooser: random.Random) -> None:
        """Hand a job in, and again while nothing is known of it, as callers do."""
        steps = [{"count": chooser.randint(1, 6), "cpu": TASK_CPU_MILLI, "estimate_ms": 200}]
        # The longest outlast the silence after which an entry takes a run for over.
        run_ms = chooser.choice((30, 150, 400, 1_500, 4_000))
        for _ in range(5):
            try:
                status, answer = self.system.submit(
                    job.job_id,
                    steps,
                    entry=chooser.randrange(ENTRIES),
                    run_ms=run_ms,
                    waits=not job.stored,
                )
            except urllib3.exceptions.HTTPError:
                status, answer = 0, {}
            job.statuses.append(status)
            if status not in (0, 502, 504):
                job.state = answer.get("state", "")
                return
            time.sleep(RESEND_S)

    # Faults.

    def _inject(self) -> None:
        end_s = time.monotonic() + self.seconds
        kinds: list[Callable[[], str]] = [
            self._kill,
            self._pause,
            self._ask_to_stop,
            self._harm_link,
            self._reset_link,
            self._harm_store,
            self._harm_runner,
        ]
        while time.monotonic() < end_s:
            self.faults.append(self.random.choice(kinds)())
            if self._drain_random.random() < DRAIN_SHARE:
                self.faults.append(self._drain_zones())
            time.sleep(self.random.uniform(0.2, 2.0))

    def _pick(self) -> tuple[str, object]:
        processes = [*self.system.entries, *self.system.agents]
        process = self.random.choice(processes)
        return process.name, process

    def _kill(self) -> str:
        processes = [*self.system.entries, *self.system.agents, *self.system.runners]
        process = self.random.choice(processes)
        if process.popen.poll() is None:
            process.kill()
            self.killed_ms[process.popen.pid] = time.time_ns() // 1_000_000
        self._later(self.random.uniform(0.1, 3.0), lambda: self._start(process))
        return f"kill {process.name}"

    def _pause(self) -> str:
        name, process = self._pick()
        if process.popen.poll() is None:
            process.signal(signal.SIGSTOP)
            self._later(self.random.uniform(0.3, 6.0), lambda: process.signal(signal.SIGCONT))
        return f"pause {name}"

    def _ask_to_stop(self) -> str:
        name, process = self._pick()
        if process.popen.poll() is None:
            process.signal(signal.SIGTERM)
            self._later(6.0, lambda: self._restart(process))
        return f"stop {name}"

    def _restart(self, process) -> None:
        process.kill()
        self._start(process)

    def _start(self, process) -> None:
        """Start a process that is down; two faults may both want to."""
        with self._starting:
            if process.popen.poll() is not None:
                process.start()

    def _harm_link(self) -> str:
        proxy = self.random.choice(self._proxies)
        proxy.delay_s = self.random.uniform(0.05, 0.5)
        proxy.parity = self.random.choice((None, 0, 1))
        proxy.mode = self.random.choice(MODES)
        self._later(self.random.uniform(0.5, 6.0), lambda: setattr(proxy, "mode", PASS))
        return f"link {proxy.mode}"

    def _reset_link(self) -> str:
        self.random.choice(self._proxies).reset()
        return "link reset"

    def _harm_store(self) -> str:
        mode = self.random.choice(("outage", "silent", "lost", "late", "slow"))
        self.system.set_store_fault(mode=mode, delay_ms=self.random.randint(100, 2_000), count=20)
        self._later(self.random.uniform(0.3, 5.0), self.system.set_store_fault)
        return f"store {mode}"

    def _harm_runner(self) -> str:
        number = self.random.randrange(AGENTS)
        if self.system.runners[number].popen.poll() is not None:
            return "runner away"
        mode = self.random.choice(("unanswered", "late", "hang", "errors"))
        try:
            # Before and after the time at which a start that was left unanswered expires.
            delay_ms = self.random.choice((200, 500, 2_500))
            self.system.set_runner_fault(number, mode=mode, count=10, delay_ms=delay_ms)
        except urllib3.exceptions.HTTPError:
            return f"runner {number} was just starting"
        return f"runner {number} {mode}"

    def _drain_zones(self) -> str:
        """Drain some availability zones, perhaps all; those that were drained are restored."""
        zones = [zone for zone in ZONES if self._drain_random.random() < 0.3]
        try:
            self.system.drain_zones(zones)
        except urllib3.exceptions.HTTPError:
            return "the store did not take a drain"  # it is silent, or away
        return f"drain {' '.join(zones) or 'nothing'}"

    def _later(self, delay_s: float, work: Callable[[], object]) -> None:
        timer = threading.Timer(delay_s, self._undo, (work,))
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def _undo(self, work: Callable[[], object]) -> None:
        try:
            work()
        except (ProcessLookupError, urllib3.exceptions.HTTPError) as error:
            self.faults.append(f"not undone: {error!r}")  # ``_calm`` mends it

    def _calm(self) -> None:
        """End all faults, and wait until each process serves again."""
        time.sleep(CALM_S * 2)
        for timer in self._timers:
            timer.cancel()
        for proxy in self._proxies:
            proxy.mode = PASS
        self.system.set_store_fault()
        for process in [*self.system.entries, *self.system.agents, *self.system.runners]:
            self._start(process)
            process.signal(signal.SIGCONT)
        self.system.drain_zones(())
        time.sleep(CALM_S)

    # Checks.

    def _check_drain(self) -> list[str]:
        """Check, with callers still on, that nothing starts in a zone once it is drained."""
        number = self._drain_random.randrange(AGENTS)
        self.system.drain_zones((ZONES[number],))
        time.sleep(CALM_S)
        drained_ms = time.time_ns() // 1_000_000
        time.sleep(CALM_S)
        rows = self.system.call(self.system.runners[number].port, "GET", "/history")[1]
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
            if not job.stored or 200 not in job.statuses:
                continue
            states = set()
            for entry in range(ENTRIES):
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


def end_with_runner(history: list[dict], killed_ms: dict[int, int]) -> list[dict]:
    """Return a history with the ends of what ran when the runner was killed."""
    running: dict[str, dict] = {}
    for row in history:
        if row["how"] in STEPS:
            running[row["task"]] = row
    killed = killed_ms.get(history[0]["life"])
    lost = [row for row in running.values() if row["how"] == "started" and killed]
    return history + [{**row, "how": "killed", "wall_ms": killed} for row in lost]


def check_runs(
    histories: list[list[dict]], jobs: list[Submitted], killed_ms: dict[int, int]
) -> list[str]:
    """Return the promises that the runners' histories show to be broken."""
    histories = [end_with_runner(history, killed_ms) for history in histories]
    stored = {job.job_id for job in jobs if job.stored}
    broken = []
    rows = sorted((row for history in histories for row in history), key=lambda r: r["wall_ms"])
    counted = {(row["task"], row["attempt"]) for row in rows if row["how"] == "forgotten"}
    running: dict[str, dict] = {}
    done: dict[str, dict] = {}
    for row in rows:
        task = row["task"]
        if row["how"] == "started":
            if task in running:
                broken.append(f"{row} beside {running[task]}")
            if task in done and task.partition(".")[0] in stored:
                broken.append(f"{row} after {done[task]}")
            running[task] = row
        elif task in running and running[task]["attempt"] == row["attempt"]:
            del running[task]
            if row["how"] == "done" and (task, row["attempt"]) in counted:
                done[task] = row
    broken += [f"room: {row}" for history in histories for row in over_room(history)]
    started = {row["task"].partition(".")[0] for row in rows}
    broken += [
        f"{job.job_id} was refused and ran"
        for job in jobs
        if job.job_id in started and set(job.statuses) <= {429, 503}
    ]
    return broken


def over_room(history: list[dict]) -> list[dict]:
    """Return the starts that brought a runner over its room."""
    running = 0
    over = []
    for row in history:
        running += STEPS.get(row["how"], 0)
        if running * TASK_CPU_MILLI > RUNNER_CPU_MILLI:
            over.append(row)
    return over


def main() -> int:
    """Run seeds; print each with its faults if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--planted", default="", help="a mechanism of planted.py to switch off")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(seed, options.seconds, options.planted)
        broken = soak.run()
        failed += bool(broken)
        result = {
            "seed": seed,
            "jobs": len(soak.jobs),
            "answered": sum(200 in job.statuses for job in soak.jobs),
            "refused": sum(set(job.statuses) <= {429, 503} for job in soak.jobs),
            "faults": len(soak.faults),
            "broken": broken[:5],
        }
        print(json.dumps(result), flush=True)
        if broken:
            print(f"faults: {soak.faults}\nlogs: {soak.system.folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
