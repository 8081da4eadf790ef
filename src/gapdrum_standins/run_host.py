"""Stand-in for a runner of the platform: leases, starts, stops, ends and fault injection.

A task's ``spec`` is JSON text: ``{"run_ms": 80, "fail": false}``, optionally with the ``"rack"`` of
its data: the task takes longer on another rack, and on a slow runner. With ``"crash": true`` the
runner crashes when the task would end. ``GET /history`` returns the
starts and ends of all runs with their times, so that a test can check that no task ran twice at
once and that the capacity was not exceeded. ``GET /lease`` returns the remaining time of the lease.
``POST /faults`` takes ``{"mode": "hang" | "errors" | "unanswered" | "late" | "answers_lost",
"count": N, "delay_ms": M}``; ``"paths": ["/run-stop"]`` limits the last three to these calls. With
"answers_lost" the runner executes the calls and drops the answer of each ``every``-th call,
``count`` times.
"""

import asyncio
import json
import os
import random
import time
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer

from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_client import HttpClient, NoReplyError, NotSentError
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.transport.http_server import HttpListener
from gapdrum.transport.request_reader import HttpLimits

LEASE_MAX_MS = 1_000
SWEEP_INTERVAL_MS = 5
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 900
FOREVER_S = 3_600
ENDS_PER_ANSWER = 500


@attrs.define(eq=False)
class HostedRun:
    """A run that is being executed."""

    task: str
    attempt: int
    run_ms: int
    fails: bool
    hangs: bool
    began_ms: int
    crashes: bool = False


@attrs.frozen
class Pace:
    """A runner's speed and rack, and the factor on the duration of tasks with remote data."""

    speed: float = 1.0
    rack: str = "r1"
    far_factor: float = 1.0

    def duration_ms(self, spec: dict[str, Any]) -> int:
        """Return how long a task runs on this runner."""
        is_far = spec.get("rack", self.rack) != self.rack
        return round(spec["run_ms"] * (self.far_factor if is_far else 1.0) / self.speed)


@attrs.define
class RunHost:
    """The state of one incarnation of a runner."""

    pace: Pace = attrs.Factory(Pace)
    started_ns: int = attrs.Factory(time.monotonic_ns)
    fence: int = 0
    lease_ms: int = 0
    runs: dict[str, HostedRun] = attrs.Factory(dict)
    ended: list[list[Any]] = attrs.Factory(list)
    last_end: int = 0
    highest: dict[str, int] = attrs.Factory(dict)
    history: list[dict[str, Any]] = attrs.Factory(list)
    history_path: Path | None = None
    lapsed_ms: int = 0
    ended_ms: dict[int, int] = attrs.Factory(dict)
    fault: dict[str, Any] = attrs.Factory(dict)

    @property
    def now_ms(self) -> int:
        """Return the reading of the runner's monotonic clock."""
        return 1_000 + (time.monotonic_ns() - self.started_ns) // 1_000_000

    def sweep(self) -> bool:
        """End the runs that are done or whose lease lapsed; return whether any run ended."""
        now_ms = self.now_ms
        before = self.last_end
        if now_ms >= self.lease_ms:
            self.lapsed_ms = now_ms
        for run in list(self.runs.values()):
            if now_ms >= self.lease_ms:
                self._end(run, "lapsed")
            elif not run.hangs and now_ms - run.began_ms >= run.run_ms:
                if run.crashes:
                    os._exit(1)
                self._end(run, "failed" if run.fails else "done")
        return self.last_end != before

    def _end(self, run: HostedRun, how: str) -> None:
        del self.runs[run.task]
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.attempt, how, ""])
        self.ended_ms[self.last_end] = self.now_ms
        self._record(run.task, run.attempt, how)

    def forget_ends(self, acknowledged_end: int) -> None:
        """Forget acknowledged ends; an end that a lapse of the lease followed does not count."""
        for number, task, attempt, how, _ in self.ended:
            if number <= acknowledged_end and how in ("done", "failed"):
                void = self.lapsed_ms >= self.ended_ms[number]
                self._record(task, attempt, "forgotten_after_lapse" if void else "forgotten")
        self.ended = [row for row in self.ended if row[0] > acknowledged_end]

    def _record(self, task: str, attempt: int, how: str) -> None:
        row = {
            "task": task,
            "attempt": attempt,
            "how": how,
            "wall_ms": time.time_ns() // 1_000_000,
            # Shared by all runners: it orders their events within a millisecond.
            "steady_ns": time.monotonic_ns(),
        }
        self.history.append(row)
        if self.history_path is not None:
            with self.history_path.open("a") as file:
                file.write(json.dumps({**row, "life": os.getpid()}) + "\n")

    def start(self, body: dict[str, Any]) -> str:
        """Start a run; return the reason if it is rejected, else an empty string."""
        task, attempt = body["task"], body["attempt"]
        running = self.runs.get(task)
        if running is not None and running.attempt == attempt:
            return ""
        if attempt <= self.highest.get(task, 0) or running is not None:
            return "old"
        if body["deadline_ms"] <= self.now_ms:
            return "late"
        self.extend(body["deadline_ms"])
        spec = json.loads(body["spec"])
        mode = self.use_fault("hang", "errors")
        run = HostedRun(
            task,
            attempt,
            5 if mode == "errors" else self.pace.duration_ms(spec),
            bool(spec.get("fail")) or mode == "errors" or _fails(task, attempt, spec),
            mode == "hang",
            self.now_ms,
            bool(spec.get("crash")),
        )
        self.runs[task] = run
        self.highest[task] = attempt
        self._record(task, attempt, "started")
        return ""

    def use_fault(self, *modes: str) -> str:
        """Return the injected fault and count it, if it is one of these modes."""
        if self.fault.get("mode") not in modes or self.fault.get("count", 1) <= 0:
            return ""
        self.fault["count"] = self.fault.get("count", 1) - 1
        return self.fault["mode"]

    def loses_answer(self) -> bool:
        """Tell whether the answer of this call must be dropped."""
        if self.fault.get("mode") != "answers_lost":
            return False
        self.fault["calls"] = self.fault.get("calls", 0) + 1
        due = self.fault["calls"] % self.fault.get("every", 1) == 0
        return due and bool(self.use_fault("answers_lost"))

    def extend(self, until_ms: int) -> None:
        """Extend the lease, which covers all runs; it is never shortened."""
        self.lease_ms = max(self.lease_ms, min(until_ms, self.now_ms + LEASE_MAX_MS))

    def stop(self, body: dict[str, Any]) -> None:
        """Stop a run; if it has not been started, later starts of the attempt are rejected."""
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(run, "stopped")

    def show(self) -> dict[str, Any]:
        """Return the active runs and the ends that are not acknowledged."""
        now_ms = self.now_ms
        running = [
            [run.task, run.attempt, "", _percent(run, now_ms), 0] for run in self.runs.values()
        ]
        return {"running": running, "ended": self.ended[:ENDS_PER_ANSWER]}


def _fails(task: str, attempt: int, spec: dict[str, Any]) -> bool:
    """Return whether a run fails of a task of which the share ``fail_share`` of runs does."""
    return random.Random(f"{task} {attempt}").random() < spec.get("fail_share", 0.0)


def _percent(run: HostedRun, now_ms: int) -> int:
    if run.hangs:
        return 0
    return min(99, (now_ms - run.began_ms) * 100 // max(1, run.run_ms))


class RunnerStandIn:
    """Serves the runner's HTTP calls and sends its heartbeats."""

    def __init__(
        self,
        host: str,
        port: int,
        control_port: int,
        report: dict[str, Any],
        history_path: Path | None = None,
        pace: Pace | None = None,
    ) -> None:
        self.state = RunHost(pace or Pace(), history_path=history_path)
        self.runner_id = f"i-{os.getpid():08x}"
        self._report = {**report, "address": f"{host}:{port}"}
        self._control = HttpClient(host, control_port)
        self._ended_event = asyncio.Event()
        self._sequence = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a call, or apply the injected fault."""
        if request.path == "/faults":
            self.state.fault = json.loads(request.body)
            return json_response(200, {})
        if request.path == "/history":
            return json_response(200, self.state.history)
        if request.path == "/lease":
            return json_response(200, {"left_ms": self.state.lease_ms - self.state.now_ms})
        if request.path == "/healthz":
            return HttpResponse(200, headers={"X-Instance-Id": self.runner_id})
        if request.path == "/machines":
            return json_response(200, {"machines": [self._describe_machine()], "next_token": None})
        if request.headers.get("x-target-instance", self.runner_id) != self.runner_id:
            return HttpResponse(421)
        return await self._command(request.path, json.loads(request.body))

    def _describe_machine(self) -> dict[str, Any]:
        """Return this runner as an item of the platform's list of machines."""
        return {
            "machine": f"m-{self.runner_id}",
            "pool": self._report["service"],
            "state": "up",
            "zone": self._report["zone"],
            "labels": self._report["labels"],
            "capacity": self._report["capacity"],
            "id": self.runner_id,
        }

    async def _command(self, path: str, body: dict[str, Any]) -> HttpResponse:
        state = self.state
        is_affected = path in state.fault.get("paths", (path,))
        if is_affected and state.use_fault("unanswered"):
            await asyncio.sleep(FOREVER_S)
        if is_affected and state.use_fault("late"):
            await asyncio.sleep(state.fault["delay_ms"] / MS_PER_S)
            self._execute(path, body)
            await asyncio.sleep(FOREVER_S)
        answer = await self._answer_command(path, body)
        if is_affected and state.loses_answer():
            await asyncio.sleep(FOREVER_S)
        return answer

    async def _answer_command(self, path: str, body: dict[str, Any]) -> HttpResponse:
        if body.get("fencing_token", 0) < self.state.fence:
            return self._answer(409, reason="fence")
        if path == "/hold":
            return await self._hold(body)
        reason = self._execute(path, body)
        return self._answer(409, reason=reason) if reason else self._answer(200)

    def _execute(self, path: str, body: dict[str, Any]) -> str:
        self.state.fence = max(self.state.fence, body.get("fencing_token", 0))
        self.sweep()
        if path == "/run-start":
            return self.state.start(body)
        if path == "/run-stop":
            self.state.stop(body)
            self._notify_end()
        return ""

    async def _hold(self, body: dict[str, Any]) -> HttpResponse:
        state = self.state
        state.fence = max(state.fence, body.get("fencing_token", 0))
        self.sweep()
        state.forget_ends(body.get("seen_upto", 0))
        state.extend(body.get("deadline_ms", 0))
        wait_s = body.get("wait_ms", 0) / MS_PER_S
        if not state.ended and wait_s:
            waiting = asyncio.ensure_future(self._ended_event.wait())
            await asyncio.wait({waiting}, timeout=wait_s)
            waiting.cancel()
        return self._answer(200, **state.show())

    def _answer(self, status: int, **fields: Any) -> HttpResponse:
        return json_response(status, {"clock_ms": self.state.now_ms, **fields})

    def sweep(self) -> None:
        """End finished and lapsed runs, and notify the calls that wait for an end."""
        if self.state.sweep():
            self._notify_end()

    def _notify_end(self) -> None:
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    async def send_heartbeat(self) -> None:
        """Send one heartbeat to this runner's agent."""
        if self.state.use_fault("no_heartbeats"):
            return
        self._sequence += 1
        body = json.dumps({**self._report, "sequence": self._sequence}).encode()
        path = f"/Instances.Heartbeat/{self.runner_id}"
        try:
            await self._control.call("POST", path, body, timeout_ms=HEARTBEAT_TIMEOUT_MS)
        except (NoReplyError, NotSentError):
            return  # the agent is unreachable; the next heartbeat has the same content


async def serve(
    host: str,
    port: int,
    control_port: int,
    report: dict[str, Any],
    history_path: Path | None,
    pace: Pace,
) -> None:
    """Serve until the process is stopped."""
    timers = Timers()
    runner = RunnerStandIn(host, port, control_port, report, history_path, pace)
    limits = HttpLimits(idle_timeout_ms=3_600_000)
    await HttpListener(runner.handle, limits, timers).open(host, port)
    timers.subscribe(SWEEP_INTERVAL_MS, runner.sweep)
    timers.subscribe(HEARTBEAT_INTERVAL_MS, runner.send_heartbeat)
    await runner.send_heartbeat()
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in runner."""

    def run(
        port: Annotated[int, typer.Option()],
        control_port: Annotated[int, typer.Option()],
        upstream: str = "inspect-desk",
        zone: str = "plaine-nord",
        cpu_milli: int = 16_000,
        host: str = "127.0.0.1",
        history: Path | None = None,
        speed: float = 1.0,
        rack: str = "r1",
        far_factor: float = 1.0,
    ) -> None:
        report = {
            "service": upstream,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": cpu_milli, "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", rack],
        }
        pace = Pace(speed, rack, far_factor)
        asyncio.run(serve(host, port, control_port, report, history, pace))

    typer.run(run)


if __name__ == "__main__":
    main()
