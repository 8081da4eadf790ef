"""The entry process: its parts, their wiring, its start and its shutdown."""

import asyncio
import os
import signal
from collections import Counter
from collections.abc import Callable

from gapdrum.background import Background
from gapdrum.client_limits import derive_client_limits
from gapdrum.core import orders
from gapdrum.core.configuration import Configuration
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.jobs import Job, Place
from gapdrum.core.planned_shutdown import PlannedShutdown
from gapdrum.core.reach import Reach, VisibleCapacity
from gapdrum.core.records import EntryAddress
from gapdrum.entry.acceptance import Acceptor
from gapdrum.entry.admission import Admission
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.entry.ended_jobs import EndedJobs
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.job_api import JobApi
from gapdrum.entry.job_ends import PROGRESS_INTERVAL_MS, JobEndRecorder
from gapdrum.entry.lease import Lease
from gapdrum.entry.links import AgentLinks
from gapdrum.entry.open_tasks import OpenTaskLimit
from gapdrum.entry.ownership import CHECK_INTERVAL_MS as OWNERSHIP_INTERVAL_MS
from gapdrum.entry.ownership import OwnershipChecker
from gapdrum.entry.peer_configuration import FETCH_INTERVAL_MS, PeerConfigurationFetcher
from gapdrum.entry.peer_notifier import PeerNotifier
from gapdrum.entry.queue_demand import QUEUE_DEMAND_INTERVAL_MS, QueueDemandPublisher
from gapdrum.entry.receipts import ReceiptSender
from gapdrum.entry.room_demand import RoomDemandPublisher
from gapdrum.entry.store_access import StoreAccess
from gapdrum.entry.takeover import Takeover
from gapdrum.entry.waiting_callers import WaitingCallers
from gapdrum.event_log import EventLog, run_program, write_loop_errors
from gapdrum.operator_feed import OperatorFeed
from gapdrum.pauses import TICK_MS
from gapdrum.platform.boot import BootSettings, load_boot_settings
from gapdrum.platform.rows import RowStore
from gapdrum.platform.submissions import MAX_TASKS
from gapdrum.stalls import CHECK_INTERVAL_MS, StallMonitor
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.transport.http_addresses import HttpAddresses
from gapdrum.transport.http_messages import HttpRequest, HttpResponse, json_response
from gapdrum.transport.metrics_listener import open_metrics
from gapdrum.transport.refusal_counts import WRITE_INTERVAL_MS
from gapdrum.transport.request_reader import HttpLimits
from gapdrum.zone_watch import ZoneWatch

# The port advertised to agents where it differs from the listening port: behind a port mapping,
# or a proxy in a test.
ADVERTISED_PORT_VARIABLE = "GAPDRUM_STREAMS_ADVERTISED_PORT"
LINK_CHECK_INTERVAL_MS = 500
TAKEOVER_INTERVAL_MS = 100
REACH_INTERVAL_MS = 250
# The load balancer removes an instance after two failed checks, a second apart; until then,
# requests arrive.
KEEP_SERVING_MS = 2_500
# Durable jobs are handed over this long before the shutdown limit: peers need time to find them,
# and the lease must have been released before.
HAND_OVER_BEFORE_END_MS = 1_500
# Callers that still wait this long before the limit are answered that nothing is known.
ANSWER_BEFORE_END_MS = 500
# The process must exit before the limit, or it is killed.
EXIT_BEFORE_END_MS = 250
BUSY_POLL_MS = 20


class Entry:
    """The parts of one entry process."""

    def __init__(self, boot: BootSettings, timers: Timers, log: EventLog) -> None:
        self.boot = boot
        self.timers = timers
        self.log = log
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.leaving = False
        self._placing = False
        rows = RowStore(boot.store, log)
        self.store = StoreAccess(rows, timers, log)
        self.background = Background(log)
        self.writer = GroupCommitWriter(self.store, self.background)
        self.operators = OperatorFeed(RowStore(boot.store, log), timers, log)
        self.configuration = ConfigurationWatch(log)
        self.configuration_fetcher = PeerConfigurationFetcher(
            self.configuration, _peers(boot), log, self.sent, self.received
        )
        self.zones = ZoneWatch(log)
        address = EntryAddress("", boot.zone, boot.host, _advertised_port(boot))
        self.lease = Lease(boot.instance, address, self.store, timers, log)
        self.client_limits = derive_client_limits(
            boot.memory_mb, boot.max_fds, largest_job_tasks=MAX_TASKS
        )
        self.links = AgentLinks(
            timers, log, self.sent, self.received, self.client_limits.stranger_streams
        )
        self.demand = RoomDemandPublisher(self.links, timers)
        self.dispatch = build_dispatch(
            boot.zone,
            self,
            lambda: self.lease.valid,
            timers.now_ms(),
            far_factor=boot.far_factor,
        )
        self.queue_demand = QueueDemandPublisher(self.links, self.dispatch.placer, timers)
        peers = PeerNotifier(self.store, self.background, log, self.sent, self.received)
        self.ended_jobs = EndedJobs(
            boot.instance, self.store, self.dispatch, self.links, peers, log
        )
        self.ownership = OwnershipChecker(self.store, self.dispatch, self.ended_jobs, timers, log)
        self.job_ends = JobEndRecorder(
            self.store, self.writer, self.dispatch, self.ended_jobs, self.ownership, timers, log
        )
        self.reach = Reach()
        self.acceptor = Acceptor(
            self.store, self.writer, self.lease, timers, log, self._add_accepted_job
        )
        self.takeover = self._build_takeover()
        self.callers = WaitingCallers(self.dispatch, self.lease, timers, log)
        self.job_api = self._build_job_api()
        self.stalls = StallMonitor(timers, log)
        self.limits = HttpLimits()
        self.addresses = HttpAddresses(self.client_limits, self.job_api.refusals, timers)
        self.links.strangers.on_closed = self.job_api.refusals.count_closed
        self.listener = self.addresses.add_callers(self.job_api.handle, self.limits)
        self.readiness = self.addresses.add(self._show_readiness)
        self.control = self.addresses.add(self._reject_heartbeat)
        self._wire()
        self._add_gauges()

    def _build_takeover(self) -> Takeover:
        return Takeover(
            self.store,
            self.writer,
            self.lease,
            self.dispatch,
            self.links,
            self.acceptor,
            self.ended_jobs,
            self.configuration,
            self.timers,
            self.log,
        )

    def _build_job_api(self) -> JobApi:
        return JobApi(
            self.configuration,
            self.dispatch,
            self.acceptor,
            Admission(self.dispatch.placer, self.timers, self.lease.peer_views),
            self.callers,
            self.job_ends,
            self.ended_jobs,
            self.store,
            self.lease,
            self.log,
            OpenTaskLimit(self.client_limits.open_tasks, lambda: self.dispatch.open_tasks),
        )

    def _add_gauges(self) -> None:
        gauges = self.log.measures.gauges
        gauges["open_jobs"] = lambda: len(self.dispatch.jobs)
        gauges["waiting_jobs"] = lambda: len(self.dispatch.placer.waiting)
        gauges["agents_connected"] = lambda: self.links.connected
        gauges["runners_seen"] = lambda: len(self.dispatch.fleet.runners)
        gauges["free_cpu_milli"] = self.dispatch.fleet.free_cpu_milli
        gauges["runners_of_uneven_speed"] = self.dispatch.placer.count_uneven_runners
        gauges["lease_held"] = lambda: self.lease.valid
        gauges["store_up"] = lambda: self.store.up
        gauges["configuration_version"] = self._configuration_version
        self.log.measures.counters["store_calls"] = lambda: self.store.calls
        self.log.measures.messages = {"sent": self.sent, "received": self.received}

    def _configuration_version(self) -> int:
        current = self.configuration.current
        return current.version if current is not None else 0

    def _wire(self) -> None:
        self.operators.subscribe(self.zones.apply_table)
        self.operators.subscribe(self.configuration.apply_table)
        self.configuration.on_change = self._apply_configuration
        self.configuration.is_expected = lambda: not self.operators.is_failing
        self.configuration_fetcher.is_store_unavailable = lambda: self.operators.is_failing
        self.links.configuration_value = lambda: self.configuration.value
        self.zones.on_change = self._apply_zone_drains
        self.lease.count_waiting = self.dispatch.count_waiting
        self.lease.view_agents = self._visible_capacity
        self.lease.on_orphaned_jobs = self._handle_ended_leases
        self.lease.on_lease_lost = self._drop_durable_jobs
        self.links.dispatch = self.dispatch
        self.links.receipts = ReceiptSender(self.dispatch.fleet, self.links.send, self.timers)
        self.links.owner = lambda: self.lease.owner
        self.links.former_owners = lambda: tuple(self.lease.former_owners)
        self.links.holds_lease = lambda: self.lease.valid
        self.links.on_cancelled = self.ended_jobs.apply_cancellation
        self.links.pending_claims = self.takeover.pending_claims
        self.links.zones = self.zones
        self.links.follows_table = lambda: self.operators.is_current

    # Effects of the dispatch's decisions, see ``core.effects.Effects``.

    def send(self, agent: str, message: object) -> bool:
        """Send a message to an agent."""
        return self.links.send(agent, message)

    def job_ended(self, job: Job) -> None:
        """Store the end of a durable job, or answer the callers of a non-durable one."""
        if job.durable:
            self.job_ends.store_end(job)
        else:
            self.callers.complete_job(job)

    def job_refused(self, job: Job) -> None:
        """Answer the callers of a job that it has not run and will not run."""
        self.callers.refuse(job)

    def on_unowned_end(self, place: Place, event: orders.RunEvent) -> None:
        """Handle the end of a run whose job is not open at this entry."""
        self.ended_jobs.resolve_unowned_end(place, event)

    def has_ended(self, job_id: str) -> bool:
        """Return whether a job is known to have ended."""
        return self.ended_jobs.known_state(job_id) is not None

    def schedule_placement(self) -> None:
        """Schedule one placement of waiting tasks, after the event loop's present callbacks."""
        if not self._placing:
            self._placing = True
            asyncio.get_running_loop().call_soon(self._place)

    def _place(self) -> None:
        self._placing = False
        self._place_waiting()

    def _place_waiting(self) -> None:
        placer = self.dispatch.placer
        placer.place_waiting(self.timers.now_ms())
        self.demand.publish(placer.demand)

    def note(self, event: str, **fields: object) -> None:
        """Log a decision."""
        self.log.write(event, **fields)

    # Events.

    def _add_accepted_job(self, job: Job) -> None:
        if self.has_ended(job.job_id):  # cancelled elsewhere before its insertion was answered
            self.log.write(
                "job_dropped", request=job.job_id, epoch=job.epoch, reason="ended_elsewhere"
            )
            return
        self.dispatch.add_job(job, self.timers.now_ms())

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.limits.max_header_bytes = configuration.max_header_bytes
        self.limits.max_body_bytes = configuration.max_body_bytes
        self.limits.header_timeout_ms = configuration.header_timeout_ms
        self.limits.idle_timeout_ms = configuration.idle_timeout_ms
        self.addresses.fit_request(configuration.max_header_bytes + configuration.max_body_bytes)
        self.dispatch.apply_configuration(configuration, self.timers.now_ms())

    def _apply_zone_drains(self) -> None:
        """Stop placement in drained zones, and notify the agents."""
        self.dispatch.fleet.drained_zones = self.zones.drains.zones
        self.links.broadcast(self.zones.drains_message())
        self.schedule_placement()

    def _handle_ended_leases(self, owners: tuple[str, ...]) -> None:
        """Search for the jobs of owners without a lease, and notify the agents that may hold runs.

        An agent is told though it follows the table of addresses, as the store may turn it away.
        """
        self.links.broadcast(orders.LeasesEnded(owners))
        self.takeover.request_scan()

    def _drop_durable_jobs(self) -> None:
        """Drop all durable jobs: a peer has ended the lease and takes them over."""
        for job in list(self.dispatch.jobs.values()):
            if job.durable:
                self.dispatch.drop_job(job.job_id, "lease_lost")
        self.links.broadcast(self.links.greeting())
        self.takeover.request_scan()

    def _show_readiness(self, _request: HttpRequest) -> HttpResponse:
        ready = not self.leaving and self.configuration.known and self.lease.valid and self.store.up
        return json_response(200 if ready else 503, {"ready": ready})

    @staticmethod
    def _reject_heartbeat(_request: HttpRequest) -> HttpResponse:
        """Reject a runner's heartbeat, which belongs to the agent on its machine.

        Entries listen for heartbeats only so that the settings of others can list them as seeds.
        """
        return json_response(503, {"code": "not_an_agent"})

    def _tick(self) -> None:
        now_ms = self.timers.now_ms()
        self.callers.tick()
        self.dispatch.expire_silent(now_ms)
        self.dispatch.requeue_unknown_tasks(now_ms)
        self._place_waiting()
        self.dispatch.refuse_unmeetable(now_ms)

    def _visible_capacity(self) -> VisibleCapacity:
        fleet = self.dispatch.fleet
        return VisibleCapacity(fleet.count_open_agents(), fleet.free_permille())

    def _adjust_reach(self) -> None:
        """Have more or fewer agents connect: a share of all, by the room that entries see."""
        own, others = self._visible_capacity(), self.lease.peer_views()
        work_waits = bool(self.dispatch.placer.demand)
        if self.leaving or not self.reach.adjust(own, others, work_waits, self.timers.now_ms()):
            return
        self.log.write(
            "reach_changed",
            wanted_permille=self.reach.wanted_permille,
            agents=own.agents,
            free_permille=own.free_permille,
            others=len(others),
        )
        self.lease.request_agents(self.reach.wanted_permille)

    async def _keep_lease(self) -> None:
        while True:
            await self.lease.pause(await self.lease.keep())

    # Start and end.

    async def run(self) -> int:
        """Serve until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        boot = self.boot
        await self.links.listen(boot.host, boot.streams_port)
        await self.readiness.open(boot.readiness.host, boot.readiness.port)
        if boot.heartbeat_address is not None:
            await self.control.open(boot.heartbeat_address.host, boot.heartbeat_address.port)
        self.background.keep(self.operators.follow)
        self.background.keep(self._keep_lease)
        await self.listener.open(boot.callers.host, boot.callers.port)
        await open_metrics(boot.host, self.log.measures, self.addresses)
        self.stalls.check_start()
        self.timers.subscribe(CHECK_INTERVAL_MS, self.stalls.check)
        self.timers.subscribe(TICK_MS, self._tick)
        self.timers.subscribe(FETCH_INTERVAL_MS, self.configuration_fetcher.fetch_if_needed)
        self.timers.subscribe(WRITE_INTERVAL_MS, self.job_api.refusals.write)
        self.timers.subscribe(LINK_CHECK_INTERVAL_MS, self.links.close_silent_streams)
        self.timers.subscribe(REACH_INTERVAL_MS, self._adjust_reach)
        self.timers.subscribe(QUEUE_DEMAND_INTERVAL_MS, self.queue_demand.publish)
        self.timers.subscribe(TAKEOVER_INTERVAL_MS, self.takeover.scan_if_due)
        self.timers.subscribe(OWNERSHIP_INTERVAL_MS, self.ownership.check_due)
        self.timers.subscribe(PROGRESS_INTERVAL_MS, self.job_ends.store_progress)
        self.log.write("started", role="entry", zone=boot.zone, life=self.lease.incarnation)
        await stopping.wait()
        await self._shut_down()
        self.background.stop()
        return 0

    def _log_reload(self) -> None:
        self.log.write("settings_signal", note="read again at the next start")

    async def _shut_down(self) -> None:
        """Leave the load balancer, answer open requests, and hand the durable jobs over.

        Each connection is closed after its next answer, so that its caller reconnects elsewhere.
        Jobs that fit into the remaining time are still served.
        """
        began_ms = self.timers.now_ms()
        self.leaving = True
        self.log.write("stopping", open=len(self.dispatch.jobs))
        end_ms = began_ms + self.boot.shutdown_grace_ms
        answered_ms = end_ms - ANSWER_BEFORE_END_MS
        self.job_api.leave(PlannedShutdown(answered_ms, self.boot.resubmit_ms))
        self.listener.start_closing()
        await asyncio.sleep(KEEP_SERVING_MS / MS_PER_S)
        self.listener.close_idle()
        await self._wait_while(lambda: self.dispatch.jobs, end_ms - HAND_OVER_BEFORE_END_MS)
        jobs_left = sum(job.durable for job in self.dispatch.jobs.values())
        await self.lease.leave()
        await self._wait_while(self.listener.busy_connections, answered_ms)
        self.callers.give_up()
        # From here on no request may be read, as it would not be answered.
        self.listener.close()
        self.listener.close_idle()
        await self._wait_while(self.listener.busy_connections, end_ms - EXIT_BEFORE_END_MS)
        self.job_api.refusals.write()
        self.log.write("stopped", jobs_handed_over=jobs_left)
        self.log.flush()

    async def _wait_while(self, is_busy: Callable[[], object], limit_ms: int) -> None:
        while is_busy() and self.timers.now_ms() < limit_ms:
            await asyncio.sleep(BUSY_POLL_MS / MS_PER_S)


def _advertised_port(boot: BootSettings) -> int:
    """Return the port at which agents connect their streams."""
    return int(os.environ.get(ADVERTISED_PORT_VARIABLE, boot.streams_port))


def _peers(boot: BootSettings) -> tuple[Endpoint, ...]:
    """Return the stream endpoints of the other entries in the settings: all at the same port."""
    hosts = {seed.host for seed in boot.seeds} - {boot.host}
    return tuple(Endpoint(host, boot.streams_port) for host in sorted(hosts))


async def main() -> int:
    """Run the entry process."""
    boot = load_boot_settings()
    timers = Timers()
    log = EventLog(boot.instance, timers)
    log.open()
    write_loop_errors(log)
    return await Entry(boot, timers, log).run()


def start() -> None:
    """Run the entry program."""
    run_program(main)
