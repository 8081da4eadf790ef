"""The agent process: its parts, what entries tell it, its start and its shutdown."""

import asyncio
import signal
import uuid
from collections import Counter
from collections.abc import Iterator

from gapdrum.agent.entry_directory import EntryDirectory
from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.reports import Reports
from gapdrum.agent.runner_keeper import RunnerKeeper
from gapdrum.agent.runner_registry import RunnerRegistry
from gapdrum.agent.table_standby import TableStandby
from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.records import EntryAddress
from gapdrum.core.run_bounds import RunBounds
from gapdrum.core.runner_ledger import HeldOwner
from gapdrum.event_log import EventLog, run_program, write_loop_errors
from gapdrum.operator_feed import OperatorFeed
from gapdrum.platform.boot import Boot, load_boot
from gapdrum.platform.rows import RowStore
from gapdrum.timers import Timers
from gapdrum.transport.http_server import HttpLimits, HttpListener
from gapdrum.transport.metrics_listener import open_metrics
from gapdrum.zone_watch import ZoneWatch

# How often ends that nobody has stored are told again.
ORPHAN_INTERVAL_MS = 1_000
# How often it is judged which entries to serve: a lost one is replaced after 1 s and this.
ARRANGE_INTERVAL_MS = 250


class Agent:
    """The parts of one agent process."""

    def __init__(self, boot: Boot, timers: Timers, log: EventLog) -> None:
        self.boot = boot
        self.timers = timers
        self.log = log
        self.incarnation = uuid.uuid4().hex[:12]
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.grants = Grants(RunBounds(boot.resubmit_ms))
        self.keepers: dict[str, RunnerKeeper] = {}
        self.links = EntryLinks(
            self._greet, timers, log, self.sent, self.received, boot.instance, boot.zone
        )
        self.directory = EntryDirectory(RowStore(boot.store, log), self.links, log, _seeds(boot))
        self.reports = Reports(self.links, self.keepers, timers)
        self.orders = EntryOrders(self.links, self.keepers, self.grants, self.reports, timers, log)
        self.links.held_owners = self._held_owners
        self.links.on_joined = self._welcome
        self.links.on_renamed = self.orders.rename_owner
        self.links.on_away = self.orders.stop_unwaited
        self.links.on_stream_ended = lambda link: self.reports.backlog.forget(link.entry)
        self.links.on_message = self.orders.take
        self.operators = OperatorFeed(RowStore(boot.store, log), timers, log)
        self.zones = ZoneWatch(log)
        self.operators.subscribe(self.zones.take_table)
        self.standby = TableStandby(self.operators, self.links, timers, log)
        self.zones.on_change = self._take_zones
        self.orders.zones = self.zones
        self.links.drained_zones = lambda: self.zones.drains.zones
        self.runners = RunnerRegistry(
            boot, self.keepers, self.grants, self.reports, timers, log, self.zones
        )
        self.control = HttpListener(self.runners.handle, HttpLimits(), timers)
        self._background = Background(log)
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauges = self.log.measures.gauges
        gauges["runs"] = lambda: sum(len(one.ledger.runs) for one in self.keepers.values())
        gauges["free_cpu_milli"] = lambda: sum(
            one.ledger.free.cpu_milli for one in self.keepers.values()
        )
        gauges["entries_connected"] = lambda: sum(bool(link.owner) for link in self.links)
        gauges["fleet_backlog_cpu_milli"] = self.reports.backlog.waiting_cpu_milli
        counters = self.log.measures.counters
        counters["backlog_rows_passed_over"] = lambda: self.orders.unreadable_rows
        self.log.measures.messages = {"sent": self.sent, "received": self.received}

    def _greet(self) -> orders.AgentGreeting:
        now_ms = self.timers.now_ms()
        return orders.AgentGreeting(self.boot.instance, self.incarnation, self.boot.zone, now_ms)

    def _held_owners(self) -> Iterator[HeldOwner]:
        now_ms = self.timers.now_ms()
        for keeper in self.keepers.values():
            yield from keeper.ledger.held_owners(now_ms)

    def _welcome(self, link: EntryLink) -> None:
        """Tell an entry that has just joined what is held here, and let it claim its runs."""
        if self.zones.drains.known:
            link.send(self.zones.drains_told())
        self.orders.await_claims(link)
        self.reports.tell_everything(link)

    def _take_zones(self) -> None:
        """Start nothing in a drained zone, and tell the entries, which may not hear the store."""
        self.runners.take_zones()
        self.links.arrange()
        told = self.zones.drains_told()
        for link in self.links:
            link.send(told)

    # Start and end.

    async def run(self) -> int:
        """Serve until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self.log.write("started", role="agent", zone=self.boot.zone, life=self.incarnation)
        self.runners.start()
        self._background.keep(self.directory.follow)
        address = self.boot.runner_reports
        await self.control.open(address.host, address.port)
        await open_metrics(self.boot.host, self.log.measures, self.timers)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.links.beat)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.standby.check)
        self.timers.subscribe(ARRANGE_INTERVAL_MS, self.links.arrange)
        self.timers.subscribe(ORPHAN_INTERVAL_MS, self.reports.tell_orphans)
        await stopping.wait()
        self.log.write("stopping", open=len(self.keepers))
        await asyncio.gather(*(keeper.renew_fully() for keeper in self.keepers.values()))
        self.log.write("stopped", jobs_handed_over=0)
        self.log.flush()
        return 0

    def _note_reload(self) -> None:
        self.log.write("settings_signal", note="read again at the next start")


def _seeds(boot: Boot) -> tuple[EntryAddress, ...]:
    """Return where the entries that the settings name take streams: at the same port on each."""
    return tuple(EntryAddress("", "", seed.host, boot.streams_port) for seed in boot.seeds)


async def main() -> int:
    """Run the agent process."""
    boot = load_boot()
    timers = Timers()
    log = EventLog(boot.instance, timers)
    log.open()
    write_loop_errors(log)
    return await Agent(boot, timers, log).run()


def start() -> None:
    """Run the agent program."""
    run_program(main)
