"""Stand-in for a runner: leases, starts, stops, lists of runs and ends, and heartbeats.

``runner.py NAME ZONE PORT CONTROL_PORT CPU HISTORY`` runs tasks whose ``spec`` is JSON text:
``{"run_ms": {"STEP.INDEX": 80}, "else_ms": 500}``. Each start, end and note of an end is a line of
the file HISTORY, with the steady clock that all processes of this machine share.
"""

import asyncio
import contextlib
import json
import secrets
import sys
from pathlib import Path
from typing import Any

from http_service import HOST, Request, serve, steady_ms

LEASE_MAX_MS = 1_000
SWEEP_S = 0.004
HEARTBEAT_S = 1.5
CLOCK_BASE_MS = 400_000
ENDS_PER_ANSWER = 500
MAX_WAIT_MS = 2_000
SERVICE = "palk-api"


class Runner:
    """One incarnation of a runner."""

    def __init__(
        self, name: str, zone: str, port: int, control_port: int, cpu: int, history: Path
    ) -> None:
        self.name = name
        self._zone = zone
        self.runner_id = f"i-{secrets.token_hex(4)}"
        self._port = port
        self._control_port = control_port
        self._cpu = cpu
        self._history = history.open("a")
        self._born_ms = steady_ms() - CLOCK_BASE_MS
        self._fence = 0
        self._lease_ms = 0
        self._lapsed_ms = 0
        self._runs: dict[str, dict[str, Any]] = {}
        self._ended: list[list[Any]] = []
        self._ended_ms: dict[int, int] = {}
        self._last_end = 0
        self._highest: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._sequence = 0
        self._record("up")

    def _clock_ms(self) -> int:
        return steady_ms() - self._born_ms

    def _record(self, event: str, **fields: Any) -> None:
        row = {"ms": steady_ms(), "runner": self.name, "life": self.runner_id, "event": event}
        self._history.write(json.dumps({**row, **fields}) + "\n")
        self._history.flush()

    # Time.

    def sweep(self) -> None:
        """End the runs that are done, and all of them once the lease has lapsed."""
        now_ms = self._clock_ms()
        for run in list(self._runs.values()):
            if min(run["until_ms"], self._lease_ms) <= now_ms:
                self._end(run, "done" if run["until_ms"] <= self._lease_ms else "lapsed")
        if now_ms >= self._lease_ms:
            self._lapsed_ms = now_ms

    def _end(self, run: dict[str, Any], how: str) -> None:
        del self._runs[run["task"]]
        self._last_end += 1
        self._ended.append([self._last_end, run["task"], run["attempt"], how, ""])
        self._ended_ms[self._last_end] = self._clock_ms()
        self._record("ended", task=run["task"], attempt=run["attempt"], how=how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # Calls.

    async def handle(self, request: Request) -> tuple[int, Any, dict[str, str]]:
        """Answer one call."""
        if request.path == "/healthz":
            return 200, {}, {"X-Instance-Id": self.runner_id}
        if request.headers.get("x-target-instance", self.runner_id) != self.runner_id:
            return 421, {}, {}
        body = request.body
        self.sweep()
        if body.get("fencing_token", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body.get("fencing_token", 0)
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/hold":
            return await self._hold(body)
        return 404, {}, {}

    def _answer(self, status: int, **fields: Any) -> tuple[int, Any, dict[str, str]]:
        return status, {"clock_ms": self._clock_ms(), **fields}, {}

    def _extend(self, until_ms: int) -> None:
        self._lease_ms = max(self._lease_ms, min(until_ms, self._clock_ms() + LEASE_MAX_MS))

    def _start(self, body: dict[str, Any]) -> tuple[int, Any, dict[str, str]]:
        task, attempt = body["task"], body["attempt"]
        present = self._runs.get(task)
        if present is not None and present["attempt"] == attempt:
            self._extend(body["deadline_ms"])
            return self._answer(200)
        if body["deadline_ms"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        if present is not None or attempt <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        run_ms = spec.get("run_ms", {}).get(task.split(".", 2)[2], spec["else_ms"])
        now_ms = self._clock_ms()
        run = {"task": task, "attempt": attempt, "from_ms": now_ms, "until_ms": now_ms + run_ms}
        self._runs[task] = run
        self._highest[task] = attempt
        self._record("started", task=task, attempt=attempt)
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any, dict[str, str]]:
        task, attempt = body["task"], body["attempt"]
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self._runs.get(task)
        if run is not None and run["attempt"] <= attempt:
            self._end(run, "stopped")
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any, dict[str, str]]:
        for number, task, attempt, how, _ in self._ended:
            if number <= body.get("seen_upto", 0):
                counts = self._lapsed_ms < self._ended_ms[number]
                self._record("noted", task=task, attempt=attempt, how=how, counts=counts)
        self._ended = [row for row in self._ended if row[0] > body.get("seen_upto", 0)]
        self._extend(body.get("deadline_ms", 0))
        wait_ms = min(body.get("wait_ms", 0), MAX_WAIT_MS)
        if wait_ms and not self._ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1_000)
        running = [
            [run["task"], run["attempt"], "", self._percent(run), 0] for run in self._runs.values()
        ]
        return self._answer(200, running=running, ended=self._ended[:ENDS_PER_ANSWER])

    def _percent(self, run: dict[str, Any]) -> int:
        whole_ms = max(1, run["until_ms"] - run["from_ms"])
        return min(99, 100 * (self._clock_ms() - run["from_ms"]) // whole_ms)

    # Heartbeats.

    async def beat(self) -> None:
        """Send one heartbeat to the agent on this machine."""
        self._sequence += 1
        body = json.dumps({
            "service": SERVICE, "address": f"{HOST}:{self._port}", "zone": self._zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": {"cpu": self._cpu, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1-1"],
            "clock_ms": self._clock_ms(), "sequence": self._sequence,
        }).encode()  # fmt: skip
        head = (
            f"POST /Instances.Heartbeat/{self.runner_id} HTTP/1.1\r\nhost: {HOST}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(HOST, self._control_port)
            writer.write(head.encode() + body)
            await asyncio.wait_for(reader.read(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return  # the agent is away; the next heartbeat says the same


async def _every(interval_s: float, call: Any) -> None:
    while True:
        result = call()
        if asyncio.iscoroutine(result):
            await result
        await asyncio.sleep(interval_s)


async def main() -> None:
    """Serve until the process is ended."""
    name, zone, port, control_port, cpu, history = sys.argv[1:]
    runner = Runner(name, zone, int(port), int(control_port), int(cpu), Path(history))
    await serve(int(port), runner.handle)
    await asyncio.gather(_every(SWEEP_S, runner.sweep), _every(HEARTBEAT_S, runner.beat))


if __name__ == "__main__":
    asyncio.run(main())
