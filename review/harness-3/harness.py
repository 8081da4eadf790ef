"""Starts a small deployment with the commands of the deploy file, and calls it as callers do.

Only the standard library is used here. The programs come from ``target/deps``, as the deploy file
builds them, and the stand-ins from ``target/review-3``, as ``review/build-3.sh`` does.
"""

import base64
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
STANDINS = ROOT / "target" / "review-3"
HOST = "127.0.0.1"
CALLER_HOST = "inspections.example"
SERVICE = "inspect-desk"
ZONES = ("plaine-nord", "moka-hall", "curepipe-hall")
# name, prefix, priority, attempts
QUEUES = (("flags", "/flags/", 0, 3), ("tags", "/tags/", 1, 2), ("certs", "/certs/", 2, 2))
CPU_MILLI = 16_000
ENTRY_MEMORY_MB, AGENT_MEMORY_MB = 300, 168
LONGEST_S = 115
START_S = 40
HELD, BROKEN, NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)
_taken: set[int] = set()


class CaseError(Exception):
    """The case could not run."""


def find_port() -> int:
    """Return a free port below the ephemeral ports, which is not returned again."""
    for _ in range(10_000):
        port = random.randrange(12_000, 32_000)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise CaseError("no free port")


def _die_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A process of the deployment; ``start`` may be called again after ``kill``."""

    def __init__(self, name: str, command: list[str], port: int, environment: dict) -> None:
        self.name = name
        self.port = port
        self._command = command
        self._environment = environment
        self._log_path = Path(environment["LOG_PATH"])
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to its log."""
        with self._log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                env=self._environment,
                cwd=ROOT,
                preexec_fn=_die_with_parent,
            )

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace."""
        self.popen.terminate()
        try:
            self.popen.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()

    @property
    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    @property
    def stopped(self) -> bool:
        """Tell whether the process is stopped by a signal."""
        try:
            status = Path(f"/proc/{self.popen.pid}/stat").read_text()
        except OSError:
            return False
        return status.rpartition(")")[2].split()[0] == "T"

    def memory_mb(self) -> int:
        """Return the resident memory, 0 if the process does not run."""
        try:
            status = Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0
        rows = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(rows[0].split()[1]) // 1024 if rows else 0


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the beginning."""
        return time.monotonic() - self._began_s

    def note(self, text: str, **fields: Any) -> None:
        """Write one line with the time since the beginning."""
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {text} {told}".rstrip() + "\n")


def default_entries(count: int) -> list[tuple[str, str]]:
    """Return names and zones of entries."""
    return [(f"edge-{number}", ZONES[number % len(ZONES)]) for number in range(count)]


def default_agents(count: int) -> list[tuple[str, str, str]]:
    """Return names, zones and racks of agents."""
    return [
        (f"side-{number}", ZONES[number % len(ZONES)], f"r{number // 3}") for number in range(count)
    ]


class System:
    """A store, entries, and agents with their runners, on 127.0.0.1."""

    def __init__(
        self,
        record: Record,
        entries: int | list[tuple[str, str]] = 3,
        agents: int | list[tuple[str, str, str]] = 11,
        heartbeat_ms: int = 1_500,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="gapdrum-review-"))
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._heartbeat_ms = heartbeat_ms
        self._dark_since_s: dict[int, float] = {}
        self._runner_options: list[dict] = []
        store_port = find_port()
        self.store = self._standin("store", store_port, ["store", str(store_port)])
        self.ready_ports: list[int] = []
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.runners: list[Process] = []
        for name, zone in default_entries(entries) if isinstance(entries, int) else entries:
            self.entries.append(self._add_entry(name, zone))
        for place in default_agents(agents) if isinstance(agents, int) else agents:
            self._add_agent(*place)

    # Processes.

    def _environment(self, name: str, path: str) -> dict:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        return {**kept, "PYTHONPATH": path, "LOG_PATH": str(self.folder / f"{name}.log")}

    def _standin(self, name: str, port: int, arguments: list[str]) -> Process:
        path = f"{STANDINS}:{DEPS}"
        command = [sys.executable, "-S", str(STANDINS / "standin.py"), *arguments]
        return Process(name, command, port, self._environment(name, path))

    def _program(self, name: str, role: str, port: int, settings: Path, streams: int) -> Process:
        environment = self._environment(name, str(DEPS))
        environment["GAPDRUM_SETTINGS"] = str(settings)
        environment["GAPDRUM_METRICS_PORT"] = str(find_port())
        environment["GAPDRUM_STREAMS_ADVERTISED_PORT"] = str(streams)
        return Process(name, self._roles[role]["run"].split(), port, environment)

    def _add_entry(self, name: str, zone: str) -> Process:
        port, ready, streams = find_port(), find_port(), find_port()
        self.ready_ports.append(ready)
        listen = f'front = "{HOST}:{port}"\nready = "{HOST}:{ready}"'
        settings = self._write_settings(name, zone, "", listen, streams, ENTRY_MEMORY_MB, 4_100)
        return self._program(name, "entry", port, settings, streams)

    def _add_agent(self, name: str, zone: str, rack: str) -> None:
        control, app, streams = find_port(), find_port(), find_port()
        number = len(self.agents)
        listen = f'control = "{HOST}:{control}"\n[cloud_api]\naddress = "{HOST}:{app}"'
        settings = self._write_settings(
            name, zone, f'app = "{HOST}:{app}"', listen, streams, AGENT_MEMORY_MB, 4_096
        )
        self.agents.append(self._program(name, "agent", control, settings, streams))
        options = {
            "name": f"runner{number}",
            "port": app,
            "control_port": control,
            "service": SERVICE,
            "zone": zone,
            "rack": rack,
            "cpu_milli": CPU_MILLI,
            "history": str(self.folder / "history"),
            "heartbeat_ms": self._heartbeat_ms,
            "life": 1,
        }
        self._runner_options.append(options)
        self.runners.append(self._runner(number))

    def _runner(self, number: int) -> Process:
        options = self._runner_options[number]
        return self._standin(options["name"], options["port"], ["runner", json.dumps(options)])

    def restart_runner(self, number: int) -> None:
        """Kill a runner, and start it as its next life."""
        self.runners[number].kill()
        self._runner_options[number]["life"] += 1
        self.runners[number] = self._runner(number)
        self.runners[number].start()

    def revive_dark_runners(self, dark_s: float) -> None:
        """Start the next life of each runner that has been dark for so long."""
        now_s = time.monotonic()
        for number, runner in enumerate(self.runners):
            if not runner.stopped:
                continue
            if now_s - self._dark_since_s.setdefault(number, now_s) >= dark_s:
                del self._dark_since_s[number]
                self.restart_runner(number)

    def _write_settings(
        self, name: str, zone: str, top: str, listen: str, streams: int, mb: int, fds: int
    ) -> Path:
        path = self.folder / f"{name}.toml"
        path.write_text(
            f"""node_name = "{name}"
zone = "{zone}"
ip = "{HOST}"
port_range = [{streams}, 0]
heartbeat_ms = {self._heartbeat_ms}
{top}
[listen]
{listen}
[limits]
memory_mb = {mb}
max_fds = {fds}
[bounds]
hold_max_ms = 1000
grace_s = 6
retransmit_ms = 1300
far_x = 1.5
[platform]
address = "{HOST}:{self.store.port}"
writes_per_s = 800
reads_per_s = 2000
row_bytes = 65536
"""
        )
        return path

    @property
    def processes(self) -> list[Process]:
        """Return all processes."""
        return [*self.runners, *self.agents, *self.entries, self.store]

    def start(self, entries: int | None = None) -> None:
        """Start all processes, or the first entries only; return once agents have joined them."""
        started = len(self.entries[:entries])
        self.store.start()
        self.wait(lambda: self.call(self.store.port, "GET", "/calls")[0] == 200, "the store")
        self.put_configuration(1)
        for process in (*self.entries[:started], *self.runners, *self.agents):
            process.start()
        self.wait_ready(range(started))
        for agent in self.agents:
            self.wait(lambda agent=agent: self._has_joined(agent.name, started), agent.name)
        time.sleep(2)

    def wait_ready(self, entries: Iterable[int]) -> None:
        """Wait until these entries answer that they are ready."""
        for number in entries:
            port = self.ready_ports[number]
            self.wait(lambda port=port: self.call(port, "GET", "/readyz")[0] == 200, "readiness")

    def _has_joined(self, name: str, entries: int) -> bool:
        joined = {row["entry"] for row in self.events(name, "entry_joined")}
        has_room = self.events(name, "runner_listed") or self.events(name, "runner_reported")
        return len(joined) == min(4, entries) and bool(has_room)

    def events(self, name: str, event: str) -> list[dict]:
        """Return the log lines of one event of a process."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row for row in rows if row.get("event") == event]

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds; raises CaseError."""
        end_s = time.monotonic() + START_S
        while not condition():
            if time.monotonic() > end_s:
                raise CaseError(f"no {what} in {START_S} s")
            time.sleep(0.05)

    def check_running(self, *, programs: bool = True) -> None:
        """Raise CaseError if a stand-in, or one of the programs that were started, has ended."""
        processes = [self.store, *self.runners]
        if programs:
            processes += [*self.entries, *self.agents]
        ended = [one.name for one in processes if one.popen is not None and not one.alive]
        if ended:
            raise CaseError(f"ended during the case: {ended}")

    def close(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def put_configuration(self, version: int) -> None:
        """Write a configuration to the store, as the operator does."""
        routes = [
            {
                "name": name,
                "host": CALLER_HOST,
                "prefix": prefix,
                "priority": priority,
                "service": SERVICE,
                "attempts": attempts,
                "stretch": 1.6,
                "target_latency_ms": 60,
                "timeout_ms": 1500,
            }
            for name, prefix, priority, attempts in QUEUES
        ]
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 1_000,
            "idle_timeout_ms": 15_000,
        }
        document = {"version": version, "routes": routes, "services": [], "limits": limits}
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        status, _ = self.call(
            self.store.port, "POST", "/rows-tx", {"expect": [], "puts": [row], "remove": []}
        )
        if status != 200:
            raise CaseError("the store took no configuration")

    def call(
        self,
        port: int,
        method: str,
        path: str,
        document: object = None,
        headers: dict | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, dict]:
        """Call a process; return status and document, status 0 if no answer came in time."""
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
        body = json.dumps(document).encode() if document is not None else None
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            data = response.read()
            return response.status, json.loads(data) if data else {}
        except (OSError, http.client.HTTPException, ValueError) as error:
            return 0, {"error": type(error).__name__}
        finally:
            connection.close()

    def caller(
        self,
        entry: int,
        method: str,
        path: str,
        document: object = None,
        timeout_s: float = 1.5,
        note: bool = True,
    ) -> tuple[int, dict]:
        """Call an entry as a caller does, with an X-Deadline; record call and answer."""
        headers = {
            "Host": CALLER_HOST,
            "Content-Type": "application/json",
            "X-Deadline": str(int(timeout_s * 1_000)),
        }
        began_s = time.monotonic()
        port = self.entries[entry].port
        status, answer = self.call(port, method, path, document, headers, timeout_s)
        if note:
            took_ms = int((time.monotonic() - began_s) * 1_000)
            self.record.note(
                f"{method} {path}", entry=entry, status=status, answer=answer, ms=took_ms
            )
        return status, answer

    def job_body(self, steps: list[dict], best_effort: bool = False, **spec: object) -> dict:
        """Return the body of a job."""
        body = {"spec": json.dumps(spec), "steps": steps}
        if best_effort:
            body["best_effort"] = True
        return body

    def history(self) -> list[dict]:
        """Return all starts and ends at all runners, in order of time."""
        path = self.folder / "history"
        rows = [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(rows, key=lambda row: row["steady_ms"])


def job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder: Path, case: Callable[[Record, bool], int]) -> None:
    """Run a case, and exit with its result; ``TROUBLE=0`` runs it without its disruption."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def give_up(number: int, _frame: object) -> None:
        raise CaseError(f"signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LONGEST_S)
    try:
        result = case(record, trouble)
    except Exception as error:  # whatever went wrong here, the case has not been judged
        record.note(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.note("result", trouble=int(trouble), exit=result)
    sys.exit(result)
