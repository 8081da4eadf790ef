"""The agent process: runs beside one runner and starts its tasks."""

import asyncio
import signal
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from gapdrum import ledger as ledgers
from gapdrum.config import AgentConfig, load_config
from gapdrum.conversion import structure
from gapdrum.credentials import RUNNER, Credentials
from gapdrum.entrylinks import EntryLink, EntryLinks
from gapdrum.exceptions import GapdrumError, InvalidInputError
from gapdrum.http import HttpServer, Request, Response, Router, build_client_limits
from gapdrum.ledger import AttemptRecord, Ledger
from gapdrum.logs import set_up_logs
from gapdrum.messages import (
    STATE_LEAVING,
    AttemptStatus,
    Fence,
    Inquire,
    PlaceTasks,
    RunnerLoad,
    SettingsPush,
    TaskReport,
    Withdraw,
)
from gapdrum.metrics import Metrics
from gapdrum.models import MAX_DEADLINE_MS
from gapdrum.probes import add_probe_routes
from gapdrum.runners import MAX_SLOTS, Announcement, Runner, RunnerClient, RunOutcome
from gapdrum.settings import SettingsHolder, load_tree
from gapdrum.states import load_chart
from gapdrum.store import StoreClient
from gapdrum.task_set import TaskSet
from gapdrum.timers import Timers

HEARTBEAT_INTERVAL_MS = 1_000
EVICT_INTERVAL_MS = 1_000
RETENTION_MS = MAX_DEADLINE_MS + 30_000
HTTP_THREADS = 4
DRAIN_CHECK_INTERVAL_S = 0.05
PROCESS_CHART = load_chart("process")
SERVING = "serving"
DRAINING = "draining"


class Agent:
    """Holds the ledger, the runner and the links to the entries of one agent process."""

    def __init__(self, config: AgentConfig, timers: Timers) -> None:
        self.config = config
        self.timers = timers
        self.incarnation = uuid.uuid4().hex[:12]
        self.metrics = Metrics()
        self.settings = SettingsHolder()
        self.runner = Runner()
        self.ledger = Ledger(self.settings.root.agent_queue_limit_tasks, RETENTION_MS)
        self.links = EntryLinks(self, StoreClient(config.store_url))
        self.state = PROCESS_CHART.initial
        self.running = 0
        self._client = RunnerClient()
        self._threads = ThreadPoolExecutor(MAX_SLOTS, "run")
        self._tasks = TaskSet()

    @property
    def free_slots(self) -> int:
        """Return the number of free slots of the runner."""
        return max(0, self.runner.slots - self.running)

    # -- messages of entries ------------------------------------------------

    def handle_message(self, link: EntryLink, message: object) -> None:
        """Handle one message of an entry."""
        now_ms = self.timers.now_ms()
        if isinstance(message, PlaceTasks):
            self.links.record_orders(link, len(message.tasks))
            self._set_owner(message.job_id, message.epoch, link)
            rows = self.ledger.place(message, now_ms, self.free_slots)
            self._report_rows(link, message.job_id, rows)
            self._start_next()
            still_queued = min(self.ledger.queued, len(message.tasks))
            self.metrics.orders_queued.inc(still_queued)
            self.links.schedule_load_update()
        elif isinstance(message, Withdraw):
            self._report_rows(link, message.job_id, self.ledger.withdraw(message))
        elif isinstance(message, Fence):
            self._set_owner(message.job_id, message.epoch, link)
            link.send(self.ledger.fence(message, now_ms))
        elif isinstance(message, Inquire):
            self._set_owner(message.job_id, message.epoch, link)
            link.send(self.ledger.inquire(message, now_ms))
        elif isinstance(message, SettingsPush):
            self._apply_settings(message)

    def load_for(self, link: EntryLink) -> RunnerLoad:
        """Return the current load message for an entry."""
        now_ms = self.timers.now_ms()
        announcement = self.runner.announcement
        state = STATE_LEAVING if self.state == DRAINING else self.runner.state(now_ms)
        return RunnerLoad(
            announcement.upstream if announcement else "",
            state,
            self.runner.slots,
            announcement.accelerators if announcement else 0,
            self.links.free_for(link),
            link.received,
            now_ms,
            self.settings.version,
        )

    # -- starting tasks -------------------------------------------------------

    def _start_next(self) -> None:
        """Start queued tasks while slots are free."""
        while self.free_slots > 0:
            now_ms = self.timers.now_ms()
            task, expired = self.ledger.next_start(now_ms)
            for declined in expired:
                self._report(declined)
            if task is None:
                return
            self.running += 1
            self.metrics.starts.inc()
            self._tasks.spawn(self._run(task))

    async def _run(self, task: AttemptRecord) -> None:
        """Call the runner for one task in a thread and report the outcome."""
        loop = asyncio.get_running_loop()
        started_ms = self.timers.now_ms()
        outcome = await loop.run_in_executor(self._threads, self._call_runner, task)
        self.running -= 1
        run_ms = self.timers.now_ms() - started_ms
        self.ledger.finish(task, outcome.event, outcome.reason, outcome.result, run_ms)
        self._start_next()
        self._report(task)
        self.links.schedule_load_update()

    def _call_runner(self, task: AttemptRecord) -> RunOutcome:
        """Check the start deadline just before the call: the process may have been paused."""
        if not self.ledger.may_start(task, self.timers.now_ms()):
            drained = self.ledger.zone_drained
            reason = ledgers.REASON_ZONE_DRAINED if drained else ledgers.REASON_LAPSED
            return RunOutcome("not_sent", reason, "")
        address = self.runner.announcement.address
        return self._client.run(address, task.job_id, task.key.index, task.payload)

    def _set_owner(self, job_id: str, epoch: int, link: EntryLink) -> None:
        """Make the entry the job's owner, unless another entry has sent a higher epoch."""
        if epoch >= self.ledger.epoch_of(job_id):
            self.links.set_owner(job_id, link)

    def _report(self, task: AttemptRecord) -> None:
        """Report to the job's owner; after a lost stream the owner will inquire or fence."""
        link = self.links.owner_of(task.job_id)
        if link is not None:
            self._report_rows(link, task.job_id, [task.row()])

    def _report_rows(self, link: EntryLink, job_id: str, rows: list[AttemptStatus]) -> None:
        """Report with the highest epoch seen, so that a superseded owner learns of it."""
        epoch = self.ledger.epoch_of(job_id)
        for row in rows:
            link.send_report(
                TaskReport(
                    job_id,
                    epoch,
                    (row,),
                    self.links.free_for(link),
                    link.received,
                    self.timers.now_ms(),
                )
            )

    # -- the runner's announcements (called from HTTP threads, run on the loop) ----

    def announce(self, announcement: Announcement) -> None:
        """Apply an announcement of the runner."""
        previous = self.runner.announcement
        self.runner.announce(announcement, self.timers.now_ms())
        if previous != announcement:
            logger.info("runner announced: {}", announcement)
            self.links.send_loads()
        self.ledger.leaving = self.runner.leaving or self.state == DRAINING
        self._start_next()

    def leave(self) -> None:
        """Notify the entries at once that the runner leaves, and return the queued tasks."""
        self.runner.leaving = True
        self.ledger.leaving = True
        logger.info("runner is leaving")
        self.links.send_loads()
        self._decline_queued(ledgers.REASON_LEAVING)

    def _decline_queued(self, reason: str) -> None:
        """Decline the queued tasks, so that their entries place them elsewhere."""
        for task in self.ledger.decline_queue(reason):
            self._report(task)

    async def drain(self) -> None:
        """Shut down gracefully: accept no new tasks, finish and report the running ones."""
        self.state = PROCESS_CHART.next_state(self.state, "drain")
        self.leave()
        deadline_ms = self.timers.now_ms() + self.config.drain_timeout_ms
        while self.running and self.timers.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        await self.links.close()
        self.state = PROCESS_CHART.next_state(self.state, "stop")

    def evict_expired(self) -> None:
        """Remove records whose retention time has passed."""
        self.ledger.forget(self.timers.now_ms())
        self.links.forget_owners(self.ledger)

    def _apply_settings(self, message: SettingsPush) -> None:
        if message.version <= self.settings.version:
            return
        try:
            tree = load_tree(message.version, message.document)
        except InvalidInputError as error:
            logger.error("received settings are not valid: {}", error.message)
            return
        self.settings.apply_if_newer(tree)
        self.ledger.queue_limit = self.settings.root.agent_queue_limit_tasks
        self.ledger.zone_drained = self.settings.is_zone_drained(self.config.zone)
        if self.ledger.zone_drained:
            self._decline_queued(ledgers.REASON_ZONE_DRAINED)
        self.metrics.settings_version.set(tree.version)
        self.links.send_loads()


def build_router(agent: Agent, loop: asyncio.AbstractEventLoop) -> Router:
    """Return the routes that the runner and the platform call."""
    router = Router()
    credentials = Credentials(agent.config.credentials)

    @router.route("POST", "/v1/announce")
    def announce(request: Request) -> Response:
        credentials.require(request.token, RUNNER)
        announcement = structure(request.json(), Announcement)
        loop.call_soon_threadsafe(agent.announce, announcement)
        return Response({"accepted": True})

    @router.route("POST", "/v1/leave")
    def leave(request: Request) -> Response:
        credentials.require(request.token, RUNNER)
        loop.call_soon_threadsafe(agent.leave)
        return Response({"accepted": True})

    add_probe_routes(router, agent.metrics, lambda: agent.state == SERVING)
    return router


async def run_agent(config: AgentConfig) -> None:
    """Run an agent until SIGTERM or SIGINT, then shut it down gracefully."""
    loop = asyncio.get_running_loop()
    agent = Agent(config, Timers())
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    limits = build_client_limits(config.memory_mb, config.max_fds)
    server = HttpServer(config.http, build_router(agent, loop), HTTP_THREADS, limits)
    port = server.start()
    agent.state = PROCESS_CHART.next_state(agent.state, "serve")
    logger.info("agent {} listens on port {}", config.agent_id, port)
    agent.links.start()
    agent.timers.subscribe(HEARTBEAT_INTERVAL_MS, agent.links.send_loads)
    agent.timers.subscribe(EVICT_INTERVAL_MS, agent.evict_expired)
    await stopping.wait()
    await agent.drain()
    agent.timers.stop()
    server.stop()
    logger.info("agent {} stopped", config.agent_id)


def main() -> None:
    """Run the command ``gapdrum-agent``."""
    typer.run(start)


def start(settings: Annotated[Path, typer.Option(help="The agent's settings file.")]) -> None:
    """Start the agent process beside one runner."""
    try:
        config = load_config(settings, AgentConfig)
    except GapdrumError as error:
        for finding in error.findings:
            typer.echo(f"{finding.place}: {finding.message}", err=True)
        raise typer.Exit(2) from error
    set_up_logs(config.log_json)
    asyncio.run(run_agent(config))
