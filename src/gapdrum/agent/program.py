"""The agent process: its components, start and shutdown."""

import asyncio
import signal
import uuid
from collections import Counter
from collections.abc import Iterator

from gapdrum.agent.entry_directory import EntryDirectory
from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.agent.outcome_reporter import OutcomeReporter
from gapdrum.agent.reservation_log import RELEASE_DELAY_MS, ReservationLog
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.agent.runner_registry import RunnerRegistry
from gapdrum.agent.table_standby import TableStandby
from gapdrum.background import Background
from gapdrum.client_limits import derive_client_limits
from gapdrum.core import orders
from gapdrum.core.records import EntryAddress
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.run_bounds import RunBounds
from gapdrum.core.runner_ledger import HeldOwner
from gapdrum.event_log import EventLog, run_program, write_loop_errors
from gapdrum.operator_feed import OperatorFeed
from gapdrum.platform.boot import BootSettings, load_boot_settings
from gapdrum.platform.rows import RowStore
from gapdrum.stalls import CHECK_INTERVAL_MS, StallMonitor
from gapdrum.timers import Timers
from gapdrum.transport.http_addresses import HttpAddresses
from gapdrum.transport.metrics_listener import open_metrics
from gapdrum.transport.refusal_counts import WRITE_INTERVAL_MS, RefusalCounts
from gapdrum.zone_watch import ZoneWatch

# How often ends that no entry has stored are sent again.
RESEND_ENDS_INTERVAL_MS = 1_000
# How often the links are updated: a lost entry is replaced after 1 s and this interval.
UPDATE_LINKS_INTERVAL_MS = 250


class Agent:
    """The components of one agent process."""

    def __init__(self, boot: BootSettings, timers: Timers, log: EventLog) -> None:
        self.boot = boot
        self.timers = timers
        self.log = log
        self.incarnation = uuid.uuid4().hex[:12]
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.grants = Grants(RunBounds(boot.resubmit_ms))
        self.controllers: dict[str, RunnerController] = {}
        self.links = EntryLinks(
            self._greet, timers, log, self.sent, self.received, boot.instance, boot.zone
        )
        self.directory = EntryDirectory(RowStore(boot.store, log), self.links, log, _seeds(boot))
        self.reservation_log = ReservationLog(log)
        self.outcomes = OutcomeReporter(timers, log)
        self.notifier = EntryNotifier(
            self.links, self.controllers, timers, self.outcomes, self.reservation_log
        )
        self.shares = RoomShares()
        self.orders = EntryOrders(
            self.links, self.controllers, self.grants, self.notifier, timers, log, self.shares
        )
        self.links.held_owners = self._held_owners
        self.links.on_joined = self._handle_join
        self.links.on_renamed = self.orders.rename_owner
        self.links.on_disconnected = self.outcomes.disconnect
        self.links.on_owner_lost = self.orders.stop_nondurable_runs
        self.links.on_message = self.orders.take
        self.operators = OperatorFeed(RowStore(boot.store, log), timers, log)
        self.zones = ZoneWatch(log)
        self.operators.subscribe(self.zones.apply_table)
        self.standby = TableStandby(self.operators, self.links, timers, log)
        self.zones.on_change = self._apply_zones
        self.orders.zones = self.zones
        self.links.drained_zones = lambda: self.zones.drains.zones
        self.runners = RunnerRegistry(
            boot,
            self.controllers,
            self.grants,
            self.notifier,
            timers,
            log,
            self.zones,
            shares=self.shares,
        )
        self.refusals = RefusalCounts(log)
        self.addresses = HttpAddresses(
            derive_client_limits(boot.memory_mb, boot.max_fds), self.refusals, timers
        )
        self.control = self.addresses.add(self.runners.handle)
        self.stalls = StallMonitor(timers, log)
        self._background = Background(log)
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauges = self.log.measures.gauges
        gauges["runs"] = lambda: sum(len(one.ledger.runs) for one in self.controllers.values())
        gauges["free_cpu_milli"] = lambda: sum(
            one.ledger.free.cpu_milli for one in self.controllers.values()
        )
        gauges["slowness_permille"] = lambda: max(
            (
                one.ledger.speed.slowness_permille(self.timers.now_ms())
                for one in self.controllers.values()
            ),
            default=0,
        )
        gauges["entries_connected"] = lambda: sum(bool(link.owner) for link in self.links)
        self.log.measures.queue_gauges = self._queue_gauges
        self.log.measures.messages = {"sent": self.sent, "received": self.received}

    def _queue_gauges(self) -> Iterator[tuple[str, str, int]]:
        """Yield for each queue the room that it uses, and the free room that it may not use."""
        used: Counter[str] = Counter()
        kept: Counter[str] = Counter()
        for controller in self.controllers.values():
            used.update(controller.ledger.used_cpu_milli)
            kept.update(controller.kept_cpu_milli())
        yield from (("used_cpu_milli", queue, value) for queue, value in used.items())
        yield from (("kept_cpu_milli", queue, value) for queue, value in kept.items())

    def _greet(self) -> orders.AgentGreeting:
        now_ms = self.timers.now_ms()
        return orders.AgentGreeting(self.boot.instance, self.incarnation, self.boot.zone, now_ms)

    def _held_owners(self) -> Iterator[HeldOwner]:
        now_ms = self.timers.now_ms()
        for controller in self.controllers.values():
            yield from controller.ledger.held_owners(now_ms)
        yield from (HeldOwner(owner, durable=False) for owner in self.outcomes.list_owners())

    def _handle_join(self, link: EntryLink) -> None:
        """Send the held runs to an entry that has just joined, and have it claim its own."""
        if self.zones.drains.known:
            link.send(self.zones.drains_message())
        self.orders.require_claims(link)
        self.notifier.send_full_state(link)

    def _apply_zones(self) -> None:
        """Apply drained zones, and send them to the entries, which may lack access to the store."""
        self.runners.take_zones()
        self.links.update_links()
        drains = self.zones.drains_message()
        for link in self.links:
            link.send(drains)

    # Start and end.

    async def run(self) -> int:
        """Serve until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        self.log.write("started", role="agent", zone=self.boot.zone, life=self.incarnation)
        self.runners.start()
        self._background.keep(self.directory.follow)
        address = self.boot.heartbeat_address
        await self.control.open(address.host, address.port)
        await open_metrics(self.boot.host, self.log.measures, self.addresses)
        self.stalls.check_start()
        self.timers.subscribe(CHECK_INTERVAL_MS, self.stalls.check)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.links.beat)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.outcomes.expire)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.standby.check)
        self.timers.subscribe(UPDATE_LINKS_INTERVAL_MS, self.links.update_links)
        self.timers.subscribe(
            RELEASE_DELAY_MS, lambda: self.reservation_log.log_releases(self.timers.now_ms())
        )
        self.timers.subscribe(WRITE_INTERVAL_MS, self.refusals.write)
        self.timers.subscribe(RESEND_ENDS_INTERVAL_MS, self.notifier.resend_unstored_ends)
        await stopping.wait()
        self.log.write("stopping", open=len(self.controllers))
        await asyncio.gather(
            *(controller.renew_before_shutdown() for controller in self.controllers.values())
        )
        self.log.write("stopped", jobs_handed_over=0)
        self.log.flush()
        return 0

    def _log_reload(self) -> None:
        self.log.write("settings_signal", note="read again at the next start")


def _seeds(boot: BootSettings) -> tuple[EntryAddress, ...]:
    """Return the stream addresses of the entries in the settings, all with the same port."""
    return tuple(EntryAddress("", "", seed.host, boot.streams_port) for seed in boot.seeds)


async def main() -> int:
    """Run the agent process."""
    boot = load_boot_settings()
    timers = Timers()
    log = EventLog(boot.instance, timers)
    log.open()
    write_loop_errors(log)
    return await Agent(boot, timers, log).run()


def start() -> None:
    """Run the agent program."""
    run_program(main)
