"""Client of a runner: start, stop and poll calls, and the decoding of their replies."""

import json
from typing import Any

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import RunEnd, RunKey, TaskName
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask
from gapdrum.exceptions import GapdrumError
from gapdrum.transport.http_client import HttpClient, NoReplyError
from gapdrum.transport.http_messages import HttpReply

HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
IDENTITY_HEADER = "x-instance-id"
TARGET_HEADER = "X-Target-Instance"


class RunnerReplacedError(GapdrumError):
    """Another incarnation of the runner listens at the address."""

    code = "runner_replaced"


class RunnerRejectedError(GapdrumError):
    """The runner rejected a call; ``reason`` says why, ``clock_ms`` is the runner's clock."""

    code = "runner_rejected"

    def __init__(self, status: int, reason: str, clock_ms: int | None) -> None:
        super().__init__(f"the runner answered {status} {reason}")
        self.status = status
        self.reason = reason
        self.clock_ms = clock_ms


# The errors that decoding raises if fields are missing or have another type.
MALFORMED = (LookupError, ValueError, TypeError, AttributeError, OverflowError)

# Reasons of a rejection.
REASON_FENCED = "fence"


class RunnerCalls:
    """Client of one incarnation of a runner. Calls may also raise NotSentError and NoReplyError."""

    def __init__(self, address: Endpoint, runner_id: str) -> None:
        self.runner_id = runner_id
        self._client = HttpClient(address.host, address.port)
        self._headers = {TARGET_HEADER: runner_id}

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def start(
        self, run: RunKey, spec: str, expires_ms: int, fence: int, timeout_ms: int
    ) -> int:
        """Start a run unless the runner's clock is past ``expires_ms``; returns that clock."""
        body = {
            "task": run.task.text,
            "attempt": run.attempt,
            "spec": spec,
            # Also extends the lease of all runs at the runner, and never shortens it.
            "deadline_ms": expires_ms,
            "fencing_token": fence,
        }
        return _clock(await self._post("/run-start", body, timeout_ms))

    async def stop(self, run: RunKey, fence: int, timeout_ms: int) -> int:
        """Stop a run; a start of it that arrives later is rejected. Returns the runner's clock."""
        body = {"task": run.task.text, "attempt": run.attempt, "fencing_token": fence}
        return _clock(await self._post("/run-stop", body, timeout_ms))

    async def poll(
        self,
        lease_until_ms: int,
        acknowledged_end: int,
        fence: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> RunnerSnapshot:
        """Renew the lease until a time on the runner's clock, and return its runs and ends.

        The runner drops ends up to ``acknowledged_end``, and waits up to ``wait_ms`` for a new
        one. ``lease_until_ms`` of 0 renews nothing.
        """
        body = {"fencing_token": fence, "seen_upto": acknowledged_end, "wait_ms": wait_ms}
        if lease_until_ms:
            body["deadline_ms"] = lease_until_ms
        document = await self._post("/hold", body, timeout_ms)
        clock_ms = _clock(document)
        try:
            running = tuple(_decode_running(row) for row in document["running"])
            ended = tuple(_decode_ended(row) for row in document["ended"])
        except MALFORMED as error:
            raise NoReplyError(f"the poll reply is malformed: {error!r}") from error
        return RunnerSnapshot(clock_ms, running, ended)

    async def _post(self, path: str, body: dict[str, Any], timeout_ms: int) -> dict[str, Any]:
        encoded = json.dumps(body).encode()
        reply = await self._client.call("POST", path, encoded, self._headers, timeout_ms=timeout_ms)
        return _check(reply)


async def fetch_identity(address: Endpoint, timeout_ms: int) -> str:
    """Return the identity of the runner that listens at an address, empty if it states none."""
    client = HttpClient(address.host, address.port)
    try:
        reply = await client.call("GET", "/healthz", timeout_ms=timeout_ms)
    finally:
        client.close()
    return reply.headers.get(IDENTITY_HEADER, "")


def _check(reply: HttpReply) -> dict[str, Any]:
    if reply.status == 421:
        raise RunnerReplacedError("another incarnation of the runner answered")
    try:
        document = reply.document() if reply.body else {}
    except ValueError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    if reply.status != 200:
        clock_ms = document.get("clock_ms")
        known_clock_ms = clock_ms if type(clock_ms) is int else None
        raise RunnerRejectedError(reply.status, str(document.get("reason", "")), known_clock_ms)
    return document


def _clock(document: dict[str, Any]) -> int:
    try:
        return int(document["clock_ms"])
    except (KeyError, ValueError, TypeError, OverflowError) as error:
        raise NoReplyError(f"the reply has no valid clock: {error!r}") from error


def _decode_running(row: list[Any]) -> RunningTask:
    # [task, run, saved, percent, ...]: ``run`` is the attempt's number.
    return RunningTask(RunKey(TaskName.parse(row[0]), int(row[1])), int(row[3]))


def _decode_ended(row: list[Any]) -> EndedRun:
    # [number, task, run, how, saved]: ``run`` is the attempt's number.
    run = RunKey(TaskName.parse(row[1]), int(row[2]))
    return EndedRun(int(row[0]), run, RunEnd(row[3]))
