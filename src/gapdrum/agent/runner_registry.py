"""Finds this machine's runner and its successors by heartbeats, calls and the platform's list."""

import asyncio
from collections.abc import Awaitable, Callable

from gapdrum.agent.grants import Grants
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.background import Background
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.runner_models import Heartbeat
from gapdrum.event_log import EventLog
from gapdrum.platform.boot import BootSettings
from gapdrum.platform.heartbeats import decode_heartbeat
from gapdrum.platform.machine_list import find_listed_runner
from gapdrum.platform.runner_calls import (
    DEREGISTER_PREFIX,
    HEARTBEAT_PREFIX,
    fetch_identity,
)
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_client import NoReplyError, NotSentError
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.zone_watch import ZoneWatch

IDENTITY_TIMEOUT_MS = 300
IDENTITY_RETRY_MS = 250
LIST_TIMEOUT_MS = 500
# All agents may start at once, and share the call rate that the list allows.
LIST_RETRY_MS = 500
# One runner, and former ones whose end is not known yet.
MAX_RUNNERS = 16

Identify = Callable[[Endpoint, int], Awaitable[str]]


class RunnerRegistry:
    """Handles heartbeats, and has a ``RunnerController`` for each incarnation of a runner.

    Before a heartbeat replaces a known runner at the same address, the process that listens there
    is asked for its identity: a delayed heartbeat may arrive after the sender's successor has
    registered.
    """

    def __init__(
        self,
        boot: BootSettings,
        controllers: dict[str, RunnerController],
        grants: Grants,
        notifier: EntryNotifier,
        timers: Timers,
        log: EventLog,
        zones: ZoneWatch,
        identify: Identify = fetch_identity,
        shares: RoomShares | None = None,
    ) -> None:
        self._boot = boot
        self._controllers = controllers
        self._grants = grants
        self._notifier = notifier
        self._timers = timers
        self._log = log
        self._zones = zones
        self._identify = identify
        self._shares = shares
        self._background = Background(log)

    def start(self) -> None:
        """Start to find the runner, without waiting for its next heartbeat."""
        self._background.keep(self._find_runner)

    # Heartbeats.

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        """Handle a heartbeat or a deregistration."""
        if request.path.startswith(HEARTBEAT_PREFIX):
            return self._handle_heartbeat(request)
        if request.path.startswith(DEREGISTER_PREFIX):
            controller = self._controllers.get(request.path[len(DEREGISTER_PREFIX) :])
            if controller is not None:
                controller.set_leaving()
            return json_response(200, {})
        return json_response(404, {"code": "no_such_path"})

    def _handle_heartbeat(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        runner_id = request.path[len(HEARTBEAT_PREFIX) :]
        try:
            heartbeat = decode_heartbeat(runner_id, request.body)
        except ValueError as error:
            self._log.write("heartbeat_rejected", runner=runner_id, reason=str(error))
            return json_response(400, {"code": "malformed_heartbeat"})
        present = self._controller_at(heartbeat.address)
        if runner_id not in self._controllers and len(self._controllers) >= MAX_RUNNERS:
            self._log.write("heartbeat_rejected", runner=runner_id, reason="too_many_runners")
            return json_response(503, {"code": "too_many_runners"})
        if runner_id in self._controllers or present is None:
            self._ensure_controller(runner_id, heartbeat.address).apply_heartbeat(heartbeat)
            return json_response(200, {})
        return self._identify_unknown(heartbeat, present)

    def _controller_at(self, address: Endpoint) -> RunnerController | None:
        for controller in self._controllers.values():
            if controller.address == address and not controller.ledger.gone:
                return controller
        return None

    async def _identify_unknown(
        self, heartbeat: Heartbeat, present: RunnerController
    ) -> HttpResponse:
        """Apply the heartbeat of an unknown runner if that one listens at its address now."""
        try:
            listening = await self._identify(heartbeat.address, IDENTITY_TIMEOUT_MS)
        except (NotSentError, NoReplyError) as error:
            # The runner repeats its heartbeat; by then a poll shows whether the known one is gone.
            self._log.write("runner_not_found", address=str(heartbeat.address), code=error.code)
            return json_response(503, {"code": "runner_not_reached"})
        if listening == heartbeat.runner_id:
            present.set_gone("replaced")
            self._ensure_controller(heartbeat.runner_id, heartbeat.address).apply_heartbeat(
                heartbeat
            )
        else:
            self._log.write(
                "heartbeat_outdated", runner=heartbeat.runner_id, sequence=heartbeat.sequence
            )
        return json_response(200, {})

    def _ensure_controller(self, runner_id: str, address: Endpoint) -> RunnerController:
        controller = self._controllers.get(runner_id)
        if controller is not None:
            return controller
        controller = RunnerController(
            runner_id,
            address,
            self._grants,
            self._boot.run_lease_ms,
            self._timers,
            self._log,
            self._notifier.report,
            self._notifier.broadcast_holdings,
            self._shares,
        )
        self._controllers[runner_id] = controller
        self.take_zones()
        self._log.write("runner_found", runner=runner_id, address=str(address))
        self._background.keep(lambda: self._run_controller(controller))
        return controller

    def take_zones(self) -> None:
        """Close the zone of the runners to new runs if operators have drained it, or reopen it."""
        closed = self._zones.drains.is_closed(self._boot.zone)
        for controller in self._controllers.values():
            controller.set_zone_closed(closed)

    async def _run_controller(self, controller: RunnerController) -> None:
        await controller.keep()
        self._notifier.send_room()
        self._notifier.outcomes.record_departure(controller.runner_id)
        if self._controllers.get(controller.runner_id) is controller:
            del self._controllers[controller.runner_id]

    # Discovery.

    async def _find_runner(self) -> None:
        """Ask the runner for its identity until it is found."""
        address = self._boot.runner
        while address is not None and not self._controllers:
            try:
                runner_id = await self._identify(address, IDENTITY_TIMEOUT_MS)
            except (NotSentError, NoReplyError) as error:
                # The call is repeated until the runner answers or sends a heartbeat.
                self._log.write("runner_not_found", address=str(address), code=error.code)
                runner_id = ""
            if runner_id and not self._controllers:
                await self._fetch_capacity(self._ensure_controller(runner_id, address))
                return
            await asyncio.sleep(IDENTITY_RETRY_MS / MS_PER_S)

    async def _fetch_capacity(self, controller: RunnerController) -> None:
        """Read the capacity from the list, as the next heartbeat may be a second away or more."""
        machines = self._boot.machine_list
        while (
            machines is not None
            and controller.ledger.capacity is None
            and not controller.ledger.gone
        ):
            try:
                listed = await find_listed_runner(machines, controller.runner_id, LIST_TIMEOUT_MS)
            except (NotSentError, NoReplyError) as error:
                self._log.write(
                    "runner_not_listed",
                    runner=controller.runner_id,
                    code=error.code,
                    reason=error.message,
                )
                listed = None
            if listed is not None:
                controller.apply_listing(listed)
                return
            await asyncio.sleep(LIST_RETRY_MS / MS_PER_S)
