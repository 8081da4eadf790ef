"""A runner: starts, stops, holds, its lease for all that it runs, and heartbeats.

A task's ``spec`` is JSON: ``run_ms`` (one number, or one for each step), and ``fail`` if the task
fails by its own fault when its time is over, or ``failing_runs``, the numbers of the runs that do.
"""

import asyncio
import itertools
import json
import time

from standins_2.record import Record
from standins_2.web import HOST, Reply, WebServer, call

HOLD_MAX_MS = 1_000
HEARTBEAT_S = 1.5
SWEEP_S = 0.005
MAX_ENDS = 500
MAX_WAIT_MS = 2_000

_lives = itertools.count(1)


class Runner:
    """One machine's runner; each ``open`` begins a new incarnation."""

    def __init__(
        self, name: str, service: str, port: int, control_port: int, record: Record, cpu: int
    ) -> None:
        self.name = name
        self.service = service
        self.port = port
        self.cpu = cpu
        self.draining = False
        self.labels = ["a", "r1"]  # its kind and its rack
        self._control_port = control_port
        self._record = record
        self._server: WebServer | None = None
        self._tasks: list[asyncio.Task] = []
        self._begin_life()

    def _begin_life(self) -> None:
        self.id = f"i-{next(_lives):08x}"
        self.runs: dict[str, dict] = {}
        self._began_s = time.monotonic()
        self._lease_ms = 0
        self._fence = 0
        self._highest: dict[str, int] = {}
        self._ended: list[list] = []
        self._last_end = 0
        self._sequence = 0
        self._news = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the reading of the runner's steady clock."""
        return 1_000 + int((time.monotonic() - self._began_s) * 1_000)

    async def open(self) -> None:
        """Begin a new incarnation."""
        self._begin_life()
        self._server = WebServer(self._handle, self.port)
        await self._server.open()
        self._tasks = [asyncio.ensure_future(self._sweep()), asyncio.ensure_future(self._beat())]
        self._note("runner_up", service=self.service)

    def crash(self) -> None:
        """End without a word."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
            self._note("runner_down")

    async def drain_and_leave(self, least_s: float) -> None:
        """Report draining, serve on until all is done (``least_s`` at least), deregister, end."""
        self.draining = True
        await self._send_heartbeat()
        self._note("runner_draining")
        await asyncio.sleep(least_s)
        while self.runs:
            await asyncio.sleep(0.05)
        await call(self._control_port, "POST", f"/Instances.Deregister/{self.id}", {})
        self.crash()

    def _note(self, what: str, **fields: object) -> None:
        self._record.add(what, runner=self.name, life=self.id, **fields)

    # What runs.

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now_ms = self.clock_ms
            if now_ms >= self._lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
                if self._ended and self._lapsed_for != self._lease_ms:
                    self._lapsed_for = self._lease_ms
                    self._note("lease_lapsed", clock_ms=now_ms)
            for run in list(self.runs.values()):
                if now_ms >= run["ends_ms"]:
                    self._end(run, "failed" if run["fails"] else "done")

    _lapsed_for = -1

    def _end(self, run: dict, how: str) -> None:
        del self.runs[run["task"]]
        self._last_end += 1
        self._ended.append([self._last_end, run["task"], run["attempt"], how, ""])
        self._note("ended", task=run["task"], attempt=run["attempt"], how=how, n=self._last_end)
        self._news.set()
        self._news = asyncio.Event()

    def _extend(self, until_ms: object) -> None:
        if until_ms:
            self._lease_ms = max(self._lease_ms, min(until_ms, self.clock_ms + HOLD_MAX_MS))

    def _forget(self, seen_upto: int) -> None:
        for number, task, attempt, how, _ in self._ended:
            if number <= seen_upto:
                self._note("seen", task=task, attempt=attempt, how=how, n=number)
        self._ended = [row for row in self._ended if row[0] > seen_upto]

    # Calls.

    async def _handle(self, _method: str, path: str, headers: dict[str, str], body: bytes) -> Reply:
        if path == "/healthz":
            return 200, {}, {"X-Instance-Id": self.id}
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {}, {}
        document = json.loads(body)
        if document.get("fencing_token", 0) < self._fence:
            return self._reply(409, reason="fence")
        self._fence = document.get("fencing_token", 0)
        if path == "/run-start":
            return self._start(document)
        if path == "/run-stop":
            return self._stop(document)
        if path == "/hold":
            return await self._hold(document)
        return 404, {}, {}

    def _reply(self, status: int, **fields: object) -> Reply:
        return status, {"clock_ms": self.clock_ms, **fields}, {}

    def _start(self, order: dict) -> Reply:
        task, attempt = order["task"], order["attempt"]
        present = self.runs.get(task)
        if present is not None and present["attempt"] == attempt:
            return self._reply(200)
        if present is not None or attempt <= self._highest.get(task, 0):
            self._extend(order["deadline_ms"])
            return self._reply(409, reason="old")
        if order["deadline_ms"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(order["deadline_ms"])
        spec = json.loads(order["spec"])
        run_ms = spec["run_ms"]
        if isinstance(run_ms, list):
            run_ms = run_ms[int(task.split(".")[2])]
        self._highest[task] = attempt
        self.runs[task] = {
            "task": task,
            "attempt": attempt,
            "run_ms": run_ms,
            "ends_ms": self.clock_ms + run_ms,
            "fails": bool(spec.get("fail")) or attempt in spec.get("failing_runs", ()),
        }
        self._note("started", task=task, attempt=attempt)
        return self._reply(200)

    def _stop(self, order: dict) -> Reply:
        task, attempt = order["task"], order["attempt"]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run["attempt"] <= attempt:
            self._end(run, "stopped")
        return self._reply(200)

    async def _hold(self, order: dict) -> Reply:
        self._forget(order.get("seen_upto", 0))
        self._extend(order.get("deadline_ms"))
        wait_ms = min(MAX_WAIT_MS, order.get("wait_ms", 0))
        if wait_ms and not self._ended:
            waiting = asyncio.ensure_future(self._news.wait())
            await asyncio.wait({waiting}, timeout=wait_ms / 1_000)
            waiting.cancel()
        running = [
            [run["task"], run["attempt"], "", self._percent(run), 1_600]
            for run in self.runs.values()
        ]
        return self._reply(200, running=running, ended=self._ended[:MAX_ENDS])

    def _percent(self, run: dict) -> int:
        left_ms = run["ends_ms"] - self.clock_ms
        return max(0, min(99, 100 - 100 * left_ms // run["run_ms"]))

    # Heartbeats.

    async def _beat(self) -> None:
        while True:
            acknowledged = await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.3)

    async def _send_heartbeat(self) -> bool:
        self._sequence += 1
        report = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "plaine-nord",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "sequence": self._sequence,
        }
        path = f"/Instances.Heartbeat/{self.id}"
        status, _ = await call(self._control_port, "POST", path, report, timeout_s=1.0)
        return status == 200
