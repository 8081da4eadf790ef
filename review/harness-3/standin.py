"""Starts a stand-in: ``standin.py store PORT`` or ``standin.py runner JSON``.

The project's stand-ins use typer for their command lines only, which the deployed packages don't
hold, so this program starts them without it. Both listen on 127.0.0.1.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import time
import types
from pathlib import Path
from typing import Any

sys.modules.setdefault("typer", types.ModuleType("typer"))

import attrs  # noqa: E402

from gapdrum.timers import Timers  # noqa: E402
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response  # noqa: E402
from gapdrum.transport.http_server import HttpListener  # noqa: E402
from gapdrum.transport.request_reader import HttpLimits  # noqa: E402
from gapdrum_standins import row_store  # noqa: E402
from gapdrum_standins.run_host import RunHost, RunnerStandIn  # noqa: E402

HOST = "127.0.0.1"
SWEEP_MS = 5
CALL_BYTES = 1024 * 1024
ROW_BYTES = 65_536


@attrs.define
class Host(RunHost):
    """A runner's state that records the identity of each of its lives.

    A task whose spec has ``dark_ms`` takes its runner down so long after its start.
    """

    runner_id: str = ""
    dark_at_ms: int = 0

    def _record(self, task: str, attempt: int, how: str) -> None:
        row = {"task": task, "attempt": attempt, "how": how, "runner": self.runner_id}
        row["steady_ms"] = time.monotonic_ns() // 1_000_000
        self.history.append(row)
        with self.history_path.open("a") as file:
            file.write(json.dumps(row) + "\n")

    def start(self, body: dict[str, Any]) -> str:
        """Start a run, and note when it takes the runner down."""
        before = self.runs.get(body["task"])
        reason = super().start(body)
        dark_ms = json.loads(body["spec"]).get("dark_ms")
        if not reason and dark_ms and self.runs[body["task"]] is not before:
            self.dark_at_ms = self.now_ms + dark_ms
        return reason


class Store(row_store.StoreStandIn):
    """The project's store, with the limits of the protocol on a call and on a row."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a call; a transaction beyond a limit is rejected as a whole."""
        if request.path == "/rows-tx" and _exceeds_limits(request.body):
            return json_response(400, {"reason": "a call holds at most 1 MB, a row 65,536 bytes"})
        return await super().handle(request)


def _exceeds_limits(body: bytes) -> bool:
    if len(body) > CALL_BYTES:
        return True
    values = [base64.b64decode(put["value"]) for put in json.loads(body).get("puts", ())]
    return any(len(value) > ROW_BYTES for value in values)


class Runner(RunnerStandIn):
    """The project's runner, with a room that shrinks and with lives that end without a sign.

    ``POST /room`` with ``cpu`` changes the room that its heartbeats tell. The list of machines
    tells the machine's room as before: "Rack and room stay with the machine".
    """

    def __init__(self, options: dict[str, Any]) -> None:
        report = {
            "service": options["service"],
            "zone": options["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": options["cpu_milli"], "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", options["rack"]],
        }
        super().__init__(HOST, options["port"], options["control_port"], report)
        self._listed_capacity = dict(report["capacity"])
        self._port = options["port"]
        self.runner_id = f"i-{options['name']}-{options['life']}"
        self.state = Host(self.state.pace, history_path=Path(options["history"]))
        self.state.runner_id = self.runner_id
        self.listening_fd = -1

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a call."""
        if request.path == "/room":
            self._report["capacity"]["cpu"] = json.loads(request.body)["cpu"]
            return json_response(200, {})
        return await super().handle(request)

    def _describe_machine(self) -> dict[str, Any]:
        return {**super()._describe_machine(), "capacity": self._listed_capacity}

    def sweep(self) -> None:
        """End runs that are due, and the runner's life if a task takes it down."""
        if self.state.dark_at_ms and self.state.now_ms >= self.state.dark_at_ms:
            self._go_dark()
        super().sweep()

    def _go_dark(self) -> None:
        """End this life as a loss of power does: nothing is answered, new connections hang.

        The process stops itself, its queue of new connections full. Whoever has started it kills
        it, and starts the next life.
        """
        for run in list(self.state.runs.values()):
            self.state._record(run.task, run.attempt, "crashed")
        listening = socket.socket(fileno=os.dup(self.listening_fd))
        listening.listen(0)
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self._port))
            fillers.append(filler)
        os.kill(os.getpid(), signal.SIGSTOP)
        os._exit(1)


async def serve_store(port: int) -> None:
    """Serve the store until the process is stopped."""
    limits = HttpLimits(max_body_bytes=4 * CALL_BYTES, idle_timeout_ms=3_600_000)
    await HttpListener(Store().handle, limits, Timers()).open(HOST, port)
    await asyncio.Event().wait()


async def serve_runner(options: dict[str, Any]) -> None:
    """Serve one runner until the process is stopped."""
    timers = Timers()
    runner = Runner(options)
    limits = HttpLimits(idle_timeout_ms=3_600_000)
    listener = HttpListener(runner.handle, limits, timers)
    await listener.open(HOST, options["port"])
    runner.listening_fd = listener._server.sockets[0].fileno()
    timers.subscribe(SWEEP_MS, runner.sweep)
    timers.subscribe(options["heartbeat_ms"], runner.send_heartbeat)
    await runner.send_heartbeat()
    await asyncio.Event().wait()


def main() -> None:
    """Start the stand-in that the arguments name."""
    if sys.argv[1] == "store":
        asyncio.run(serve_store(int(sys.argv[2])))
    else:
        asyncio.run(serve_runner(json.loads(sys.argv[2])))


if __name__ == "__main__":
    main()
