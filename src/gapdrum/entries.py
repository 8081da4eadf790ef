"""The entry process: accepts jobs over HTTP and dispatches their tasks to agents."""

import asyncio
import signal
import uuid
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from gapdrum.administration import AdminResources
from gapdrum.claims import Owner
from gapdrum.commits import Committer
from gapdrum.config import EntryConfig, load_config
from gapdrum.credentials import Credentials
from gapdrum.dispatcher import Dispatcher
from gapdrum.exceptions import GapdrumError, StoreError
from gapdrum.http import HttpServer, Router, build_client_limits
from gapdrum.journal import FLUSH_INTERVAL_MS
from gapdrum.leases import RENEW_INTERVAL_MS, EntryRecord, build_renewal
from gapdrum.links import HEARTBEAT_INTERVAL_MS, AgentLinks
from gapdrum.logs import set_up_logs
from gapdrum.metrics import Metrics
from gapdrum.peers import PeerClient
from gapdrum.probes import add_probe_routes
from gapdrum.resources import JobResources
from gapdrum.settings import DRAINED, SettingsHolder
from gapdrum.settings_store import POLL_INTERVAL_MS, SettingsStore
from gapdrum.states import load_chart
from gapdrum.store import StoreClient
from gapdrum.timers import MS_PER_S, Timers

HEDGE_INTERVAL_MS = 50
PROBE_INTERVAL_MS = 250
PLACE_INTERVAL_MS = 100
EVICT_INTERVAL_MS = 1_000
DRAIN_CHECK_INTERVAL_MS = 20
ANSWER_DELIVERY_MS = 300
PROCESS_CHART = load_chart("process")


class Entry:
    """The components of one entry process and its periodic tasks."""

    def __init__(self, config: EntryConfig, timers: Timers) -> None:
        self.config = config
        self.timers = timers
        self.owner = Owner(config.entry_id, uuid.uuid4().hex[:12])
        self.metrics = Metrics()
        self.settings = SettingsHolder()
        self.committer = Committer(
            StoreClient(config.store_url), timers, self.settings.root.store_writes_per_s
        )
        self.settings_store = SettingsStore(self.committer, self.settings, timers)
        self.client_limits = build_client_limits(config.memory_mb, config.max_fds)
        self.links = AgentLinks(
            config.stream_token, self.metrics, self.client_limits.stranger_streams
        )
        self.dispatcher = Dispatcher(
            self.owner,
            config.zone,
            timers,
            self.settings,
            self.committer,
            self.metrics,
            PeerClient(config.entry_id, config.stream_token, self.metrics),
            self.links.send,
        )
        self.links.dispatcher = self.dispatcher
        self.settings.subscribe(self.settings_changed)
        self.state = PROCESS_CHART.initial
        self._renewal_count = 0

    def subscribe(self) -> None:
        """Subscribe the periodic tasks to the timer service."""
        dispatcher = self.dispatcher
        callbacks = (
            (RENEW_INTERVAL_MS, self.renew_lease),
            (RENEW_INTERVAL_MS, self.observe_leases),
            (POLL_INTERVAL_MS, self.settings_store.refresh),
            (HEARTBEAT_INTERVAL_MS, self.links.send_heartbeats),
            (HEDGE_INTERVAL_MS, dispatcher.scheduler.hedge),
            (PLACE_INTERVAL_MS, dispatcher.scheduler.place_all_waiting),
            (PROBE_INTERVAL_MS, dispatcher.scheduler.probe_ejected),
            (FLUSH_INTERVAL_MS, dispatcher.journal.flush),
            (EVICT_INTERVAL_MS, dispatcher.evict_answers),
            (EVICT_INTERVAL_MS, self.update_gauges),
        )
        for interval_ms, callback in callbacks:
            self.timers.subscribe(interval_ms, callback)

    async def renew_lease(self) -> None:
        """Write this entry's lease row; a failure is retried at the next interval."""
        self._renewal_count += 1
        try:
            write = build_renewal(self._build_lease())
            await self.committer.call(self.committer.client.transact, [write])
            self.committer.counts["writes"] += 1
        except StoreError:
            return

    async def observe_leases(self) -> None:
        """Read the leases of all entries, and divide quotas and the store budget between them."""
        try:
            await self.dispatcher.observe_leases()
        except StoreError:
            return
        alive = self.dispatcher.leases.alive()
        peers = [record for record in alive if record.owner != self.owner]
        self.dispatcher.scheduler.quotas.update_peer_demands([record.demand for record in peers])
        writes_per_s = self.settings.root.store_writes_per_s
        self.committer.budget.rate_per_s = max(1, writes_per_s / (1 + len(peers)))

    def settings_changed(self) -> None:
        """Apply settings that came into force, and send them to the agents."""
        logger.info("settings version {} in force", self.settings.version)
        self.metrics.settings_version.set(self.settings.version)
        self.dispatcher.members.apply_drains(self._is_drained)
        self.links.push_settings()

    def update_gauges(self) -> None:
        """Set the gauges to their current values."""
        scheduler = self.dispatcher.scheduler
        upstreams = {view.upstream for view in self.dispatcher.members}
        self.metrics.queue_depth.set(sum(scheduler.queued(name) for name in upstreams))
        self.metrics.running.set(sum(scheduler.quotas.running().values()))
        ready = sum(view.accepts_work for view in self.dispatcher.members)
        self.metrics.runners_ready.set(ready)
        self.metrics.open_jobs.set(len(scheduler.open_jobs))
        self.metrics.store_writes.set(self.committer.counts["writes"])

    def is_ready(self) -> bool:
        """Return whether a load balancer may send callers to this entry."""
        return self.state == "serving" and self.has_settings

    @property
    def has_settings(self) -> bool:
        """Return whether the settings are known, from the store or from agents."""
        return self.settings_store.is_loaded or self.settings.version > 0

    async def drain(self) -> None:
        """Shut down gracefully: refuse new jobs, answer the open ones, flush the journal."""
        self.state = PROCESS_CHART.next_state(self.state, "drain")
        self.dispatcher.leaving = True
        await self.renew_lease()
        deadline_ms = self.timers.now_ms() + self.config.drain_timeout_ms
        while self.dispatcher.scheduler.open_jobs and self.timers.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_MS / MS_PER_S)
        await asyncio.sleep(ANSWER_DELIVERY_MS / MS_PER_S)
        self.links.announce_leaving()
        await self.dispatcher.journal.flush()
        self.state = PROCESS_CHART.next_state(self.state, "stop")

    def _is_drained(self, agent_id: str, zone: str) -> bool:
        runner_mode = self.settings.for_runner(agent_id).runner_mode
        return runner_mode == DRAINED or self.settings.is_zone_drained(zone)

    def _build_lease(self) -> EntryRecord:
        agents = [view.settings_version for view in self.dispatcher.members]
        return EntryRecord(
            self.owner.entry_id,
            self.owner.incarnation,
            self.config.zone,
            self.config.streams.host,
            self.config.streams.port,
            self._renewal_count,
            self.state == "draining",
            self.settings.version,
            min(agents, default=self.settings.version),
            self.dispatcher.scheduler.quotas.snapshot_demand(),
        )


def build_router(entry: Entry, loop: asyncio.AbstractEventLoop) -> Router:
    """Return all HTTP routes of an entry."""
    router = Router()
    credentials = Credentials(entry.config.credentials)
    threads = entry.config.http_threads
    JobResources(loop, entry.dispatcher, credentials, threads).add_routes(router)
    AdminResources(loop, entry, credentials).add_routes(router)
    add_probe_routes(router, entry.metrics, entry.is_ready)
    return router


async def run_entry(config: EntryConfig) -> None:
    """Run an entry until SIGTERM or SIGINT, then shut it down gracefully."""
    loop = asyncio.get_running_loop()
    entry = Entry(config, Timers())
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    listener = await asyncio.start_server(
        entry.links.accept, config.streams.host, config.streams.port
    )
    server = HttpServer(
        config.http,
        build_router(entry, loop),
        config.http_threads,
        entry.client_limits,
        config.tls,
    )
    await entry.settings_store.refresh()
    # Renew before serving: peers treat the claims of an entry without a lease as a lost owner's.
    await entry.renew_lease()
    await entry.observe_leases()
    port = server.start()
    entry.subscribe()
    entry.state = PROCESS_CHART.next_state(entry.state, "serve")
    logger.info("entry {} listens on port {}", config.entry_id, port)
    await stopping.wait()
    await entry.drain()
    entry.timers.stop()
    await loop.run_in_executor(None, server.stop)
    listener.close()
    logger.info("entry {} stopped", config.entry_id)


def main() -> None:
    """Run the command ``gapdrum-entry``."""
    typer.run(start)


def start(settings: Annotated[Path, typer.Option(help="The entry's settings file.")]) -> None:
    """Start the entry process."""
    try:
        config = load_config(settings, EntryConfig)
    except GapdrumError as error:
        for finding in error.findings:
            typer.echo(f"{finding.place}: {finding.message}", err=True)
        raise typer.Exit(2) from error
    set_up_logs(config.log_json)
    asyncio.run(run_entry(config))
