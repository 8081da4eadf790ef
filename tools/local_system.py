"""Starts the processes of a whole system on loopback, for demos, benchmarks and tests."""

import fcntl
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO

import attrs
import urllib3
from urllib3.exceptions import HTTPError

HOST = "127.0.0.1"
BIN = Path(sys.executable).parent
CALLER_TOKEN = "caller-token"
OPERATOR_TOKEN = "operator-token"
RUNNER_TOKEN = "runner-token"
STREAM_TOKEN = "stream-token"
READY_TIMEOUT_S = 40
POLL_S = 0.05
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
PORT_BLOCK = 100
# A locked file for each block of ports that a process on this machine has reserved.
PORT_LOCKS = Path(tempfile.gettempdir()) / "gapdrum-ports"
CREDENTIALS = [
    {"name": "site-tablet", "token": CALLER_TOKEN, "role": "caller"},
    {"name": "school", "token": "schools-token", "role": "caller", "teams": ["schools"]},
    {
        "name": "school-operator",
        "token": "subtree-token",
        "role": "operator",
        "subtrees": ["team/schools"],
    },
    {"name": "operator", "token": OPERATOR_TOKEN, "role": "operator"},
    {"name": "runner", "token": RUNNER_TOKEN, "role": "runner"},
]


def _list_ports() -> Iterator[int]:
    """Yield the ports of blocks that this process locks until it ends.

    A port is free until its process listens, so without locks two systems could get the same one.
    """
    locks: dict[int, IO[str]] = {}
    while True:
        for first in range(LOWEST_PORT, HIGHEST_PORT, PORT_BLOCK):
            if first not in locks:
                lock = _lock_block(first)
                if lock is None:
                    continue
                locks[first] = lock
            yield from range(first, first + PORT_BLOCK)
        if not locks:
            raise OSError("all blocks of ports are locked by other processes")


def _lock_block(first: int) -> IO[str] | None:
    """Lock a block of ports; None if another process holds it. The file must stay open."""
    PORT_LOCKS.mkdir(exist_ok=True)
    lock = (PORT_LOCKS / str(first)).open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return None
    return lock


_PORTS = _list_ports()


def find_port() -> int:
    """Return a free port below the ephemeral range, which is not returned again.

    A port of the ephemeral range could be taken by an outgoing connection
    before its process listens.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


@attrs.define
class Process:
    """A process, its port and the command that starts it."""

    name: str
    command: list[str]
    port: int
    log_path: Path
    popen: subprocess.Popen | None = None
    environment: dict[str, str] | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, env=self.environment
            )

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended: its id may be reused by then."""
        self.popen.send_signal(number)

    def wait(self, timeout_s: float = 30) -> int:
        """Wait until the process ends and return its exit code."""
        return self.popen.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process, even if it is paused."""
        if self.popen is not None and self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


def wait_for(condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` after the time limit."""
    limit = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(f"timed out waiting for: {what}")
        time.sleep(POLL_S)


class LocalSystem:
    """A platform stand-in, entries, and runners with their agents.

    Use it as a context manager; leaving the context kills all processes::

        with LocalSystem(entries=3, runners=[("inspect-desk", zone, 8)] * 11) as system:
            system.request("POST", "/v1/jobs", body)
    """

    def __init__(
        self,
        entries: int = 3,
        runners: list[tuple[str, str, int]] = (),
        zones: tuple[str, ...] = ("plaine-nord", "moka-hall", "curepipe-hall"),
        entry_options: dict | None = None,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="gapdrum-"))
        self.zones = zones
        self.entry_options = entry_options or {}
        self.platform = self._add_platform()
        self.streams_ports: list[int] = []
        self.entries = [self._add_entry(i) for i in range(entries)]
        self.agents: list[Process] = []
        self.upstreams: list[Process] = []
        for i, (upstream, zone, slots) in enumerate(runners):
            self._add_runner(i, upstream, zone, slots)
        self.pool = urllib3.PoolManager(maxsize=256, retries=False, timeout=130)

    def __enter__(self) -> "LocalSystem":
        """Start all processes and wait until jobs can be placed."""
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        self.platform.start()
        self.wait_http(self.platform, "/stats")
        for process in [*self.entries, *self.agents, *self.upstreams]:
            process.start()
        for entry in self.entries:
            self.wait_http(entry, "/readyz")
        self.wait_runners(len(self.agents))

    def __exit__(self, *_error: object) -> None:
        """Kill all processes."""
        for process in self.processes():
            process.kill()

    def processes(self) -> list[Process]:
        """Return all processes."""
        return [*self.upstreams, *self.agents, *self.entries, self.platform]

    def url(self, process: Process, path: str) -> str:
        """Return the URL of a path at a process."""
        return f"http://{HOST}:{process.port}{path}"

    def request(
        self,
        method: str,
        path: str,
        document: object = None,
        entry: int = 0,
        token: str = CALLER_TOKEN,
    ) -> tuple[int, dict]:
        """Call an entry; return the status and the document."""
        body = json.dumps(document).encode() if document is not None else None
        headers = {"Authorization": f"Bearer {token}"}
        url = self.url(self.entries[entry], path)
        response = self.pool.request(method, url, body=body, headers=headers)
        return response.status, json.loads(response.data)

    def get(self, process: Process, path: str) -> dict:
        """Fetch a JSON document from any process."""
        return json.loads(self.pool.request("GET", self.url(process, path)).data)

    def set_fault(self, **fault: object) -> None:
        """Set a fault of the platform stand-in; without fields the fault is cleared."""
        body = json.dumps(fault).encode()
        self.pool.request("POST", self.url(self.platform, "/faults"), body=body)

    def count_starts(self) -> dict[str, int]:
        """Return the starts of each task that the running runners have counted."""
        starts: dict[str, int] = {}
        for upstream in self.upstreams:
            if upstream.popen.poll() is None:
                for task, count in self.get(upstream, "/starts")["starts"].items():
                    starts[task] = starts.get(task, 0) + count
        return starts

    def count_messages(self) -> dict[str, dict[str, int]]:
        """Return messages sent and wasted by type, over all entries and agents."""
        totals: dict[str, dict[str, int]] = {"sent": {}, "wasted": {}}
        for process in [*self.entries, *self.agents]:
            if process.popen.poll() is not None:
                continue
            text = self.pool.request("GET", self.url(process, "/metrics")).data.decode()
            for line in text.splitlines():
                self._add_metric(totals, line)
        return totals

    def wait_http(self, process: Process, path: str) -> None:
        """Wait until a process answers 200."""
        self.wait_for(lambda: self._answers(process, path), f"{process.name} {path}")

    def wait_runners(self, count: int) -> None:
        """Wait until every entry sees at least ``count`` ready runners."""
        for entry in self.entries:
            self.wait_for(
                lambda entry=entry: self._gauge(entry, "gapdrum_runners_ready") >= count,
                f"{entry.name} sees {count} runners",
            )

    def wait_for(self, condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until a condition holds; the error names the folder of the logs."""
        wait_for(condition, f"{what} (logs in {self.folder})", timeout_s)

    def _gauge(self, process: Process, name: str) -> float:
        text = self.pool.request("GET", self.url(process, "/metrics")).data.decode()
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[-1])
        return 0.0

    def _answers(self, process: Process, path: str) -> bool:
        try:
            url = self.url(process, path)
            return self.pool.request("GET", url, timeout=2).status == 200
        except HTTPError:
            return False

    @staticmethod
    def _add_metric(totals: dict[str, dict[str, int]], line: str) -> None:
        for name in totals:
            prefix = f'gapdrum_messages_{name}_total{{type="'
            if line.startswith(prefix):
                kind, _, rest = line.removeprefix(prefix).partition('"')
                count = int(float(rest.split()[-1]))
                totals[name][kind] = totals[name].get(kind, 0) + count

    def _add_platform(self) -> Process:
        port = find_port()
        command = [str(BIN / "gapdrum-platform"), str(port)]
        return Process("platform", command, port, self.folder / "platform.log")

    def _add_entry(self, number: int) -> Process:
        port, streams = find_port(), find_port()
        self.streams_ports.append(streams)
        config = {
            "entry_id": f"entry-{number}",
            "zone": self.zones[number % len(self.zones)],
            "http": {"host": HOST, "port": port},
            "streams": {"host": HOST, "port": streams},
            "store_url": self.url(self.platform, ""),
            "stream_token": STREAM_TOKEN,
            "credentials": CREDENTIALS,
            **self.entry_options,
        }
        return self._add_process(f"entry-{number}", "gapdrum-entry", config, port)

    def _add_runner(self, number: int, upstream: str, zone: str, slots: int) -> None:
        port = find_port()
        config = {
            "agent_id": f"agent-{number}",
            "zone": zone,
            "worker": f"worker-{number}",
            "http": {"host": HOST, "port": port},
            "store_url": self.url(self.platform, ""),
            "stream_token": STREAM_TOKEN,
            "credentials": CREDENTIALS,
        }
        agent = self._add_process(f"agent-{number}", "gapdrum-agent", config, port)
        self.agents.append(agent)
        runner_port = find_port()
        arguments = [str(runner_port), self.url(agent, ""), upstream, RUNNER_TOKEN]
        command = [str(BIN / "gapdrum-upstream"), *arguments, "--slots", str(slots)]
        log_path = self.folder / f"upstream-{number}.log"
        self.upstreams.append(Process(f"upstream-{number}", command, runner_port, log_path))

    def _add_process(self, name: str, program: str, config: dict, port: int) -> Process:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config, indent=2))
        command = [str(BIN / program), "--settings", str(path)]
        return Process(name, command, port, self.folder / f"{name}.log")
