"""The agent process: its parts, what entries tell it, its start and its shutdown."""

import asyncio
import signal
import uuid
from collections import Counter

from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.reports import Reports
from gapdrum.agent.runner_keeper import RunnerKeeper
from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.endpoints import Endpoint
from gapdrum.event_log import EventLog, run_program
from gapdrum.platform.boot import Boot, load_boot
from gapdrum.platform.machine_list import find_listed_runner
from gapdrum.platform.rows import RowStore
from gapdrum.platform.runner_calls import (
    DEREGISTER_PREFIX,
    HEARTBEAT_PREFIX,
    decode_heartbeat,
    fetch_identity,
)
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_client import NoReplyError, NotSentError
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.transport.http_server import HttpLimits, HttpListener
from gapdrum.transport.metrics_listener import open_metrics

IDENTITY_TIMEOUT_MS = 300
IDENTITY_RETRY_MS = 250
LIST_TIMEOUT_MS = 500
# All agents may start at once, and share what the list answers a second.
LIST_RETRY_MS = 500
REPORT_INTERVAL_MS = 25  # room is told to all entries this often at most
# How often ends that nobody has stored are told to all entries again.
ORPHAN_INTERVAL_MS = 1_000


class Agent:
    """The parts of one agent process."""

    def __init__(self, boot: Boot, timers: Timers, log: EventLog) -> None:
        self.boot = boot
        self.timers = timers
        self.log = log
        self.incarnation = uuid.uuid4().hex[:12]
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.grants = Grants(timers.now_ms())
        self.keepers: dict[str, RunnerKeeper] = {}
        self.links = EntryLinks(
            RowStore(boot.store), self._greet, timers, log, self.sent, self.received
        )
        self.reports = Reports(self.links, self.keepers, timers)
        self.orders = EntryOrders(self.links, self.keepers, self.grants, self.reports, timers, log)
        self.links.on_joined = self._welcome
        self.links.on_renamed = self.orders.rename_owner
        self.links.on_away = self.orders.stop_unwaited
        self.links.on_message = self.orders.take
        self.control = HttpListener(self._take_report, HttpLimits(), timers)
        self._background = Background(log)
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauges = self.log.measures.gauges
        gauges["runs"] = lambda: sum(len(one.ledger.runs) for one in self.keepers.values())
        gauges["free_cpu_milli"] = lambda: sum(
            one.ledger.free.cpu_milli for one in self.keepers.values()
        )
        gauges["entries_connected"] = lambda: sum(bool(link.owner) for link in self.links)
        self.log.measures.counters["messages_sent"] = self.sent.total
        self.log.measures.counters["messages_received"] = self.received.total

    def _greet(self) -> orders.AgentGreeting:
        now_ms = self.timers.now_ms()
        return orders.AgentGreeting(self.boot.instance, self.incarnation, self.boot.zone, now_ms)

    def _welcome(self, link: EntryLink) -> None:
        """Tell an entry that has just joined what is held here; its earlier lives are over."""
        self.orders.end_former_lives(link)
        self.reports.tell_everything(link)

    # The runner's reports.

    def _take_report(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith(HEARTBEAT_PREFIX):
            return self._take_heartbeat(request)
        if request.path.startswith(DEREGISTER_PREFIX):
            keeper = self.keepers.get(request.path[len(DEREGISTER_PREFIX) :])
            if keeper is not None:
                keeper.set_gone("deregistered")
            return json_response(200, {})
        return json_response(404, {"code": "no_such_path"})

    def _take_heartbeat(self, request: HttpRequest) -> HttpResponse:
        runner_id = request.path[len(HEARTBEAT_PREFIX) :]
        try:
            heartbeat = decode_heartbeat(runner_id, request.body)
        except ValueError as error:
            self.log.write("heartbeat_rejected", runner=runner_id, reason=str(error))
            return json_response(400, {"code": "malformed_heartbeat"})
        keeper = self._keeper(runner_id, heartbeat.address)
        keeper.take_heartbeat(heartbeat)
        return json_response(200, {})

    def _keeper(self, runner_id: str, address: Endpoint) -> RunnerKeeper:
        keeper = self.keepers.get(runner_id)
        if keeper is not None:
            return keeper
        for other in list(self.keepers.values()):
            if other.address == address:
                other.set_gone("replaced")
        keeper = RunnerKeeper(
            runner_id,
            address,
            self.grants,
            self.boot.run_lease_ms,
            self.timers,
            self.log,
            self.reports.report,
            self.reports.tell_holdings,
        )
        self.keepers[runner_id] = keeper
        self.log.write("runner_found", runner=runner_id, address=str(address))
        self._background.keep(lambda: self._keep_runner(keeper))
        return keeper

    async def _keep_runner(self, keeper: RunnerKeeper) -> None:
        await keeper.keep()
        self.reports.send_room()
        if self.keepers.get(keeper.runner_id) is keeper:
            del self.keepers[keeper.runner_id]

    async def _find_runner(self) -> None:
        """Ask the runner who it is, without waiting for its next heartbeat."""
        address = self.boot.runner
        while address is not None and not self.keepers:
            try:
                runner_id = await fetch_identity(address, IDENTITY_TIMEOUT_MS)
            except (NotSentError, NoReplyError) as error:
                # Its heartbeat will tell; until then it is asked again.
                self.log.write("runner_not_found", address=str(address), code=error.code)
                runner_id = ""
            if runner_id and not self.keepers:
                await self._learn_room(self._keeper(runner_id, address))
                return
            await asyncio.sleep(IDENTITY_RETRY_MS / MS_PER_S)

    async def _learn_room(self, keeper: RunnerKeeper) -> None:
        """Look the runner's room up, as its next heartbeat may be a second or more away."""
        machines = self.boot.machine_list
        while machines is not None and keeper.ledger.capacity is None and not keeper.ledger.gone:
            try:
                listed = await find_listed_runner(machines, keeper.runner_id, LIST_TIMEOUT_MS)
            except (NotSentError, NoReplyError) as error:
                self.log.write(
                    "runner_not_listed",
                    runner=keeper.runner_id,
                    code=error.code,
                    reason=error.message,
                )
                listed = None
            if listed is not None:
                keeper.take_listed(listed)
                return
            await asyncio.sleep(LIST_RETRY_MS / MS_PER_S)

    # Start and end.

    async def run(self) -> int:
        """Serve until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self.log.write("started", role="agent", zone=self.boot.zone, life=self.incarnation)
        self._background.keep(self._find_runner)
        self._background.keep(self.links.follow)
        address = self.boot.runner_reports
        await self.control.open(address.host, address.port)
        await open_metrics(self.boot.host, self.log.measures, self.timers)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.links.beat)
        self.timers.subscribe(REPORT_INTERVAL_MS, self.reports.send_room)
        self.timers.subscribe(ORPHAN_INTERVAL_MS, self.reports.tell_orphans)
        await stopping.wait()
        self.log.write("stopping", open=len(self.keepers))
        await asyncio.gather(*(keeper.renew_fully() for keeper in self.keepers.values()))
        self.log.write("stopped", jobs_handed_over=0)
        self.log.flush()
        return 0

    def _note_reload(self) -> None:
        self.log.write("settings_signal", note="read again at the next start")


async def main() -> int:
    """Run the agent process."""
    boot = load_boot()
    timers = Timers()
    log = EventLog(boot.instance, timers)
    log.open()
    return await Agent(boot, timers, log).run()


def start() -> None:
    """Run the agent program."""
    run_program(main)
