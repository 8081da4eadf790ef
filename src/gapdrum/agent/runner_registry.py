"""The runners of this machine: found by their heartbeats, by asking, and in the platform's list."""

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
# All agents may start at once, and share what the list answers a second.
LIST_RETRY_MS = 500

Identify = Callable[[Endpoint, int], Awaitable[str]]


class RunnerRegistry:
    """Takes the runners' reports, and keeps a ``RunnerController`` for each incarnation.

    Whoever listens at an address is asked who it is before a heartbeat of another runner is
    believed: a heartbeat that a cut has delayed may come after its sender's successor has
    registered there.
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
        self._keepers = controllers
        self._grants = grants
        self._reports = notifier
        self._timers = timers
        self._log = log
        self._zones = zones
        self._identify = identify
        self._shares = shares
        self._background = Background(log)

    def start(self) -> None:
        """Begin to look for the runner, without waiting for its next heartbeat."""
        self._background.keep(self._find_runner)

    # The runners' reports.

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        """Take a heartbeat, or a runner's word that it ends."""
        if request.path.startswith(HEARTBEAT_PREFIX):
            return self._take_heartbeat(request)
        if request.path.startswith(DEREGISTER_PREFIX):
            controller = self._keepers.get(request.path[len(DEREGISTER_PREFIX) :])
            if controller is not None:
                controller.set_leaving()
            return json_response(200, {})
        return json_response(404, {"code": "no_such_path"})

    def _take_heartbeat(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        runner_id = request.path[len(HEARTBEAT_PREFIX) :]
        try:
            heartbeat = decode_heartbeat(runner_id, request.body)
        except ValueError as error:
            self._log.write("heartbeat_rejected", runner=runner_id, reason=str(error))
            return json_response(400, {"code": "malformed_heartbeat"})
        present = self._keeper_at(heartbeat.address)
        if runner_id in self._keepers or present is None:
            self._ensure_controller(runner_id, heartbeat.address).apply_heartbeat(heartbeat)
            return json_response(200, {})
        return self._judge_newcomer(heartbeat, present)

    def _keeper_at(self, address: Endpoint) -> RunnerController | None:
        for controller in self._keepers.values():
            if controller.address == address and not controller.ledger.gone:
                return controller
        return None

    async def _judge_newcomer(
        self, heartbeat: Heartbeat, present: RunnerController
    ) -> HttpResponse:
        """Take the heartbeat of an unknown runner if it is the one that listens there now."""
        try:
            listening = await self._identify(heartbeat.address, IDENTITY_TIMEOUT_MS)
        except (NotSentError, NoReplyError) as error:
            # It beats again, and a look tells by then whether the one that was known is gone.
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
        controller = self._keepers.get(runner_id)
        if controller is not None:
            return controller
        controller = RunnerController(
            runner_id,
            address,
            self._grants,
            self._boot.run_lease_ms,
            self._timers,
            self._log,
            self._reports.report,
            self._reports.broadcast_holdings,
            self._shares,
        )
        self._keepers[runner_id] = controller
        self.take_zones()
        self._log.write("runner_found", runner=runner_id, address=str(address))
        self._background.keep(lambda: self._keep_runner(controller))
        return controller

    def take_zones(self) -> None:
        """Close the runners, or open them, as operators drain this zone or restore it."""
        closed = self._zones.drains.is_closed(self._boot.zone)
        for controller in self._keepers.values():
            controller.set_zone_closed(closed)

    async def _keep_runner(self, controller: RunnerController) -> None:
        await controller.keep()
        self._reports.send_room()
        if self._keepers.get(controller.runner_id) is controller:
            del self._keepers[controller.runner_id]

    # Asking.

    async def _find_runner(self) -> None:
        """Ask the runner who it is."""
        address = self._boot.runner
        while address is not None and not self._keepers:
            try:
                runner_id = await self._identify(address, IDENTITY_TIMEOUT_MS)
            except (NotSentError, NoReplyError) as error:
                # Its heartbeat will tell; until then it is asked again.
                self._log.write("runner_not_found", address=str(address), code=error.code)
                runner_id = ""
            if runner_id and not self._keepers:
                await self._learn_room(self._ensure_controller(runner_id, address))
                return
            await asyncio.sleep(IDENTITY_RETRY_MS / MS_PER_S)

    async def _learn_room(self, controller: RunnerController) -> None:
        """Look the runner's room up, as its next heartbeat may be a second or more away."""
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
