"""Starts entries, agents and stand-ins of the users' platform on loopback, for tests and demos."""

import base64
import json
import os
import sys
import tempfile
from collections.abc import Callable, Collection, Mapping, Sequence
from pathlib import Path

import attrs
import urllib3
from local_system import HOST, READY_TIMEOUT_S, Process, find_port, wait_for

from gapdrum.core.subsets import ENTRIES_PER_AGENT

ZONES = ("plaine-nord", "moka-hall", "curepipe-hall")
UPSTREAM = "inspect-desk"
CALLER_HOST = "inspections.example"
QUEUES = (("flags", "/flags/", 0, 3), ("tags", "/tags/", 1, 2), ("certs", "/certs/", 2, 3))
RUNNER_CPU_MILLI = 16_000
RESUBMIT_MS = 1_300  # from a broken connection until the caller resubmits its job
CALL_TIMEOUT_S = 30
START_S = 1.0  # extra start-up time allowed for each process, for busy machines
PLANTED = Path(__file__).parent / "planted.py"
HTTP_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 65_536,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 15_000,
}


@attrs.frozen
class MachineLimits:
    """The limits of the machine of an entry or agent, as its settings state them."""

    memory_mb: int
    max_fds: int


@attrs.frozen
class RunnerPace:
    """A runner's speed and rack."""

    speed: float = 1.0
    rack: str = "r1"


class PlatformSystem:
    """A row store, entries, and agents with their runners; leaving the context ends all processes.

    ``store_ports`` can insert a proxy between a process and the store: it is called with the
    store's port for each process and returns the port to use. ``stream_ports`` does the same for
    the streams of agents to each entry. ``planted`` names a mechanism that ``planted.py`` disables
    in all entries and agents. Runners take ``paces`` in turn; tasks run ``far_factor`` times as
    long outside the rack of their data. ``machine`` limits entries and agents, and ``http_limits``
    replaces some of ``HTTP_LIMITS``.

    ::

        with PlatformSystem(entries=2, agents=2) as system:
            status, answer = system.submit("0123456789abcdef", [{"count": 2, "cpu": 500}])
    """

    def __init__(
        self,
        entries: int = 2,
        agents: int = 2,
        store_ports: Callable[[int], int] = lambda port: port,
        stream_ports: Callable[[int], int] = lambda port: port,
        planted: str = "",
        paces: Sequence[RunnerPace] = (RunnerPace(),),
        far_factor: float = 1.0,
        machine: MachineLimits | None = None,
        http_limits: Mapping[str, int] | None = None,
    ) -> None:
        self._machine = machine
        self._http_limits = {**HTTP_LIMITS, **(http_limits or {})}
        self._paces = paces
        self._far_factor = far_factor
        self.folder = Path(tempfile.mkdtemp(prefix="gapdrum-platform-"))
        self.pool = urllib3.PoolManager(maxsize=64, retries=False, timeout=CALL_TIMEOUT_S)
        self.metrics_ports: dict[str, int] = {}
        self._store_ports = store_ports
        self._stream_ports = stream_ports
        self._planted = planted
        self.store = self._module("store", "gapdrum_standins.row_store", find_port(), [])
        self.entries: list[Process] = []
        self.ready_ports: list[int] = []
        self.streams_ports: list[int] = []
        self.agents: list[Process] = []
        self.runners: list[Process] = []
        for number in range(entries):
            self._add_entry(number)
        for number in range(agents):
            self._add_agent(number)

    def __enter__(self) -> "PlatformSystem":
        """Start all processes and wait until jobs can be placed."""
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill all processes."""
        for process in [*self.runners, *self.agents, *self.entries, self.store]:
            process.kill()

    def _start_all(self) -> None:
        self.store.start()
        wait_for(lambda: self._status(self.store.port, "/calls") == 200, "the store")
        self.put_configuration(1)
        for process in [*self.entries, *self.runners, *self.agents]:
            process.start()
        processes = len(self.entries) + len(self.agents) + len(self.runners)
        ready_s = READY_TIMEOUT_S + START_S * processes
        for port in self.ready_ports:
            wait_for(
                lambda port=port: self._status(port, "/readyz") == 200, "an entry is ready", ready_s
            )
        served = min(len(self.entries), ENTRIES_PER_AGENT)
        for number in range(len(self.agents)):
            wait_for(
                lambda number=number: self._is_joined(number, served),
                f"agent {number} has joined",
                ready_s,
            )
        room = served * len(self.agents)
        wait_for(lambda: self._count_room() >= room, "entries see all room", ready_s)

    def _is_joined(self, number: int, served: int) -> bool:
        """Tell whether an agent knows its runner's capacity and the entries that it serves."""
        name = f"agent-{number}"
        joined = {row["entry"] for row in self.events(name, "entry_joined")}
        has_room = self.events(name, "runner_reported") or self.events(name, "runner_listed")
        return len(joined) >= served and bool(has_room)

    def _count_room(self) -> float:
        """Return how many idle runners the entries see, summed over the entries.

        An entry may not have read an agent's report yet, and refuses jobs that find no room.
        """
        lines = [
            line
            for number in range(len(self.entries))
            for line in self.metrics(f"entry-{number}").splitlines()
        ]
        free = [line.split()[-1] for line in lines if line.startswith("gapdrum_free_cpu_milli ")]
        return sum(map(float, free)) / RUNNER_CPU_MILLI

    def put_configuration(self, version: int, queues=QUEUES, upstream: str = UPSTREAM) -> None:
        """Write a version of the configuration to the store, as operators do."""
        routes = [
            {
                "name": name,
                "host": CALLER_HOST,
                "prefix": prefix,
                "priority": priority,
                "service": upstream,
                "attempts": attempts,
                "stretch": 1.6,
                "target_latency_ms": 60,
                "timeout_ms": 1500,
            }
            for name, prefix, priority, attempts in queues
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [],
            "limits": self._http_limits,
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write_operator_rows([{"key": "config", "value": value}])

    def drain_zones(self, zones: Collection[str]) -> None:
        """Drain these availability zones and restore all others, as operators do."""
        value = base64.b64encode(b"{}").decode()
        keys = {zone: {"key": f"evacuate/{zone}"} for zone in ZONES}
        puts = [{**keys[zone], "value": value} for zone in ZONES if zone in zones]
        removals = [keys[zone] for zone in ZONES if zone not in zones]
        self._write_operator_rows(puts, removals)

    def _write_operator_rows(self, puts: list[dict], removals: Collection[dict] = ()) -> None:
        table = {"table": "op", "part": ""}
        document = {
            "expect": [],
            "puts": [{**table, **row} for row in puts],
            "remove": [{**table, **row} for row in removals],
        }
        self.call(self.store.port, "POST", "/rows-tx", document)

    # Calls

    def call(
        self,
        port: int,
        method: str,
        path: str,
        document: object = None,
        headers: dict | None = None,
    ) -> tuple[int, dict]:
        """Call a process; return the status and the document."""
        body = json.dumps(document).encode() if document is not None else None
        response = self.pool.request(
            method, f"http://{HOST}:{port}{path}", body=body, headers=headers or {}
        )
        return response.status, json.loads(response.data) if response.data else {}

    def submit(
        self,
        job_id: str,
        steps: list[dict],
        *,
        entry: int = 0,
        run_ms: int = 50,
        waits: bool = False,
        queue: str = "/flags/",
        **spec: object,
    ) -> tuple[int, dict]:
        """Submit a job whose tasks each run for ``run_ms``."""
        document = {"spec": json.dumps({"run_ms": run_ms, **spec}), "steps": steps}
        if waits:
            document["best_effort"] = True
        return self.caller("POST", queue + job_id, document, entry=entry)

    def caller(
        self, method: str, path: str, document: object = None, *, entry: int = 0
    ) -> tuple[int, dict]:
        """Call an entry as a caller does."""
        port = self.entries[entry].port
        return self.call(port, method, path, document, {"Host": CALLER_HOST})

    def state(self, job_id: str, entry: int = 0) -> str:
        """Return a job's state, or the HTTP status if the answer is an error."""
        try:
            status, document = self.caller("GET", f"/flags/{job_id}", entry=entry)
        except urllib3.exceptions.HTTPError:
            return "no answer"
        return document.get("state", str(status)) if status == 200 else str(status)

    def wait_final_state(self, job_id: str, entry: int = 0) -> str:
        """Wait until a durable job has ended, and return its state."""
        final = ("succeeded", "failed", "cancelled")
        wait_for(lambda: self.state(job_id, entry) in final, f"{job_id} ends")
        return self.state(job_id, entry)

    def set_store_fault(self, **fault: object) -> None:
        """Set a fault of the store; without fields the fault is cleared."""
        self.call(self.store.port, "POST", "/faults", fault)

    def set_runner_fault(self, runner: int, **fault: object) -> None:
        """Set a fault of a runner; without fields the fault is cleared."""
        self.call(self.runners[runner].port, "POST", "/faults", fault)

    def history(self) -> list[dict]:
        """Return all starts and ends that the running runners have recorded, in order of time."""
        rows: list[dict] = []
        for runner in self.runners:
            if runner.popen is not None and runner.popen.poll() is None:
                rows.extend(self.call(runner.port, "GET", "/history")[1])
        return sorted(rows, key=lambda row: row["wall_ms"])

    def histories(self) -> list[list[dict]]:
        """Return the records of each incarnation of each runner, including killed ones."""
        incarnations: list[list[dict]] = []
        for path in sorted(self.folder.glob("runner-*.history")):
            rows = [json.loads(line) for line in path.read_text().splitlines()]
            for life in {row["life"]: None for row in rows}:
                incarnations.append([row for row in rows if row["life"] == life])
        return incarnations

    def metrics(self, name: str) -> str:
        """Return the text of a process's metrics endpoint."""
        url = f"http://{HOST}:{self.metrics_ports[name]}/metrics"
        return self.pool.request("GET", url).data.decode()

    def events(self, name: str, event: str) -> list[dict]:
        """Return the log lines of one event of a process."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row for row in rows if row.get("event") == event]

    def _status(self, port: int, path: str) -> int:
        try:
            return self.call(port, "GET", path)[0]
        except urllib3.exceptions.HTTPError:
            return 0

    # Processes

    def _add_entry(self, number: int) -> None:
        port, ready = find_port(), find_port()
        self.ready_ports.append(ready)
        listen = f'front = "{HOST}:{port}"\nready = "{HOST}:{ready}"\n'
        streams = find_port()
        self.streams_ports.append(streams)
        settings = self._write_settings(f"entry-{number}", number, listen, "", streams)
        options = {"GAPDRUM_STREAMS_ADVERTISED_PORT": str(self._stream_ports(streams))}
        self.entries.append(
            self._module(f"entry-{number}", "gapdrum.entry", port, [], settings, options)
        )

    def _add_agent(self, number: int) -> None:
        control, port = find_port(), find_port()
        listen = f'control = "{HOST}:{control}"\n'
        name = f"agent-{number}"
        # The runner also stands in for the platform's list of machines, which contains only itself.
        listen += f'[cloud_api]\naddress = "{HOST}:{port}"\n'
        app = f'app = "{HOST}:{port}"\n'
        settings = self._write_settings(name, number, listen, app, find_port())
        self.agents.append(self._module(name, "gapdrum.agent", control, [], settings))
        arguments = ["--port", str(port), "--control-port", str(control)]
        arguments += ["--upstream", UPSTREAM, "--cpu-milli", str(RUNNER_CPU_MILLI)]
        arguments += ["--history", str(self.folder / f"runner-{number}.history")]
        pace = self._paces[number % len(self._paces)]
        arguments += ["--speed", str(pace.speed), "--rack", pace.rack]
        arguments += ["--far-factor", str(self._far_factor)]
        self.runners.append(
            self._module(f"runner-{number}", "gapdrum_standins.run_host", port, arguments)
        )

    def _module(
        self,
        name: str,
        module: str,
        port: int,
        arguments: list[str],
        settings: Path | None = None,
        options: dict[str, str] | None = None,
    ) -> Process:
        command = [sys.executable, "-m", module, *arguments]
        if self._planted and settings is not None:
            command = [sys.executable, str(PLANTED), self._planted, module]
        if module.endswith("row_store"):
            command += ["--port", str(port)]
        environment = {**os.environ, **(options or {})}
        if settings is not None:
            environment["GAPDRUM_SETTINGS"] = str(settings)
            self.metrics_ports[name] = find_port()
            environment["GAPDRUM_METRICS_PORT"] = str(self.metrics_ports[name])
        return Process(name, command, port, self.folder / f"{name}.log", environment=environment)

    def _write_settings(
        self, name: str, number: int, listen: str, top: str, streams_port: int
    ) -> Path:
        path = self.folder / f"{name}.toml"
        limits = ""
        if self._machine is not None:
            memory_mb, max_fds = attrs.astuple(self._machine)
            limits = f"[limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n"
        path.write_text(
            f"""node_name = "{name}"
zone = "{ZONES[number % len(ZONES)]}"
ip = "{HOST}"
port_range = [{streams_port}, 0]
{top}
[listen]
{listen}
[bounds]
hold_max_ms = 1000
grace_s = 6
retransmit_ms = {RESUBMIT_MS}
far_x = {self._far_factor}
[platform]
address = "{HOST}:{self._store_ports(self.store.port)}"
writes_per_s = 800
reads_per_s = 2000
row_bytes = 65536
{limits}"""
        )
        return path
