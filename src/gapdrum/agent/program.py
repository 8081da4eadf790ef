"""The agent process: its parts, what entries tell it, its start and its shutdown."""

import asyncio
import signal
import uuid
from collections import Counter, OrderedDict
from collections.abc import Callable

from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.grants import Grants
from gapdrum.agent.runner_keeper import RunnerKeeper
from gapdrum.core import orders
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, RunKey, TaskName
from gapdrum.core.runner_ledger import Run, not_started
from gapdrum.event_log import EventLog, run_program
from gapdrum.platform.boot import Boot, load_boot
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
IDENTITY_RETRY_MS = 100
REPORT_INTERVAL_MS = 25  # room is told to all entries this often at most
# Ends that nobody has stored after this long are told to all entries again, this often.
ORPHAN_AFTER_MS = 1_500
ORPHAN_INTERVAL_MS = 1_000
# Epochs of jobs that are remembered: a job is over long before so many others were claimed.
KEPT_EPOCHS = 50_000


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
        self.links.on_joined = self._tell_everything
        self.links.on_renamed = self._rename_owner
        self.links.on_away = self._stop_unwaited
        self.links.on_message = self._take_message
        self.control = HttpListener(self._take_report, HttpLimits(), timers)
        self._epochs: OrderedDict[str, int] = OrderedDict()
        self._unreported: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
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
            self._report,
            self._tell_holdings,
        )
        self.keepers[runner_id] = keeper
        self.log.write("runner_found", runner=runner_id, address=str(address))
        self._spawn(self._keep_runner(keeper))
        return keeper

    async def _keep_runner(self, keeper: RunnerKeeper) -> None:
        await keeper.keep()
        self._send_reports()
        if self.keepers.get(keeper.runner_id) is keeper:
            del self.keepers[keeper.runner_id]

    async def _find_runner(self) -> None:
        """Ask the runner who it is, without waiting for its next heartbeat."""
        address = self.boot.runner
        while address is not None and not self.keepers:
            try:
                runner_id = await fetch_identity(address, IDENTITY_TIMEOUT_MS)
            except (NotSentError, NoReplyError):
                runner_id = ""
            if runner_id and not self.keepers:
                self._keeper(runner_id, address)
                return
            await asyncio.sleep(IDENTITY_RETRY_MS / MS_PER_S)

    # What is told to entries.

    def _report(self, keeper: RunnerKeeper, events: list[tuple[Run, orders.RunEvent]]) -> None:
        """Tell owners what happened to their runs, and all entries of the room soon."""
        by_owner: dict[str, list[orders.RunEvent]] = {}
        for run, event in events:
            by_owner.setdefault(run.owner, []).append(event)
        for owner, rows in by_owner.items():
            link = self.links.of_owner(owner)
            if link is not None:
                link.send(orders.RunEvents(keeper.runner_id, tuple(rows)))
                link.send(self._describe(keeper, link))
        self._unreported.add(keeper.runner_id)

    def _describe(self, keeper: RunnerKeeper, link: EntryLink) -> orders.RunnerReport:
        ledger = keeper.ledger
        capacity = ledger.capacity or Resources()
        free = ledger.free
        return orders.RunnerReport(
            ledger.runner_id,
            ledger.upstream,
            ledger.state,
            ledger.labels,
            capacity.cpu_milli,
            capacity.memory_mb,
            capacity.accelerators,
            free.cpu_milli,
            free.memory_mb,
            free.accelerators,
            link.orders,
            ledger.health.slowness_permille(self.timers.now_ms()),
        )

    def _send_reports(self) -> None:
        """Tell all entries of the room that has changed."""
        changed = self._unreported
        self._unreported = set()
        for runner_id in changed:
            keeper = self.keepers.get(runner_id)
            if keeper is None:
                continue
            for link in self.links:
                link.send(self._describe(keeper, link))

    def _tell_everything(self, link: EntryLink) -> None:
        """Tell an entry that has just joined what is held here; its earlier lives are over."""
        former = {
            run.owner
            for keeper in self.keepers.values()
            for run in keeper.ledger.runs.values()
            if run.owner.startswith(f"{link.entry}/") and run.owner != link.owner
        }
        for owner in former:
            self._stop_unwaited(owner)
        for keeper in self.keepers.values():
            self._tell_one(keeper, link)

    def _tell_holdings(self, keeper: RunnerKeeper) -> None:
        """Tell all entries what a runner holds, before any of them may order work there."""
        for link in self.links:
            self._tell_one(keeper, link)

    def _tell_one(self, keeper: RunnerKeeper, link: EntryLink) -> None:
        link.send(self._describe(keeper, link))
        if keeper.ledger.looked:
            link.send(orders.Holdings(keeper.runner_id, (), keeper.ledger.held_runs()))

    def _tell_orphans(self) -> None:
        """Tell all entries of ends that nobody has stored for long."""
        limit_ms = self.timers.now_ms() - ORPHAN_AFTER_MS
        for keeper in self.keepers.values():
            rows = tuple(
                orders.RunEvent(
                    end.key.task.text,
                    end.key.attempt,
                    end.epoch,
                    orders.ENDED,
                    end.end.value,
                    number,
                )
                for number, end in keeper.ledger.ends.items()
                if end.noted_ms < limit_ms and not end.stored and not end.outrun
            )
            for link in self.links if rows else ():
                link.send(orders.RunEvents(keeper.runner_id, rows))

    def _rename_owner(self, former: str, owner: str) -> None:
        """Let what runs for callers that wait go on for the same entry's new life."""
        for keeper in self.keepers.values():
            for run in keeper.ledger.runs.values():
                if run.owner == former and not run.kept:
                    run.owner = owner

    def _stop_unwaited(self, owner: str) -> None:
        """Stop what runs for callers that waited at a life of an entry that is gone."""
        for keeper in self.keepers.values():
            for run in list(keeper.ledger.runs.values()):
                if run.owner == owner and not run.kept:
                    self.log.write(
                        "run_stopped_for_owner",
                        request=run.key.task.job_id,
                        task=run.key.task.text,
                        attempt=run.key.attempt,
                        owner=owner,
                    )
                    keeper.stop(run.key)

    # What entries tell.

    def _take_message(self, link: EntryLink, message: object) -> None:
        handler = self._HANDLERS.get(type(message))
        if handler is None:
            self.log.write("message_unknown", kind=type(message).__name__)
            return
        handler(self, link, message)

    def _take_echo(self, link: EntryLink, echo: orders.BeatEcho) -> None:
        self.grants.note(link.owner, echo.clock_ms, echo.lease_held)

    def _take_order(self, link: EntryLink, order: orders.StartOrder) -> None:
        link.orders += len(order.runs)
        self.grants.note(link.owner, order.clock_ms, order.kept)
        keeper = self.keepers.get(order.runner_id)
        if self._epochs.get(order.job_id, 0) > order.epoch:
            refused = self._refuse_all(order, orders.JOB_SUPERSEDED)
        elif keeper is None:
            refused = self._refuse_all(order, orders.RUNNER_GONE)
        else:
            refused = keeper.order(link.owner, order, self.timers.now_ms())
            self._unreported.add(order.runner_id)
        if refused:
            link.send(orders.RunEvents(order.runner_id, tuple(refused)))
            self._log_refusals(refused)
            if keeper is not None:
                link.send(self._describe(keeper, link))

    @staticmethod
    def _refuse_all(order: orders.StartOrder, reason: str) -> list[orders.RunEvent]:
        return [
            not_started(
                RunKey(TaskName(order.job_id, 0, row.step, row.index), row.attempt),
                order.epoch,
                reason,
            )
            for row in order.runs
        ]

    def _log_refusals(self, refused: list[orders.RunEvent]) -> None:
        for event in refused:
            self.log.write(
                "order_refused",
                request=event.task.partition(".")[0],
                task=event.task,
                attempt=event.attempt,
                reason=event.detail,
            )

    def _take_stop(self, _link: EntryLink, message: orders.StopOrder) -> None:
        keeper = self.keepers.get(message.runner_id)
        if keeper is None:
            return
        for row in message.runs:
            keeper.stop(RunKey(TaskName.parse(row.task), row.attempt))

    def _take_stored(self, _link: EntryLink, message: orders.EndsStored) -> None:
        keeper = self.keepers.get(message.runner_id)
        if keeper is not None:
            keeper.ledger.store_ends(message.numbers, message.outrun)

    def _take_claims(self, link: EntryLink, message: orders.JobsClaimed) -> None:
        """Refuse lower epochs of the jobs from now on, and tell what is held of them."""
        for row in message.jobs:
            if row.epoch > self._epochs.get(row.job_id, 0):
                self._epochs[row.job_id] = row.epoch
        while len(self._epochs) > KEPT_EPOCHS:
            self._epochs.popitem(last=False)
        names = frozenset(row.job_id for row in message.jobs)
        epochs = {row.job_id: row.epoch for row in message.jobs}
        for keeper in self.keepers.values():
            self._tell_former_owners(keeper, epochs, link.owner)
            if keeper.ledger.looked:
                held = keeper.ledger.held_runs(names)
                link.send(orders.Holdings(keeper.runner_id, tuple(names), held))

    def _tell_former_owners(self, keeper: RunnerKeeper, epochs: dict[str, int], owner: str) -> None:
        for run in keeper.ledger.runs.values():
            job_id = run.key.task.job_id
            if job_id in epochs and run.owner not in ("", owner):
                former = self.links.of_owner(run.owner)
                if former is not None:
                    former.send(orders.JobLost(job_id, epochs[job_id]))

    def _take_adoption(self, link: EntryLink, message: orders.AdoptRuns) -> None:
        keeper = self.keepers.get(message.runner_id)
        if keeper is None:
            return
        for row in message.runs:
            if row.epoch < self._epochs.get(TaskName.parse(row.task).job_id, 0):
                continue
            room = Resources(row.cpu_milli, row.memory_mb, row.accelerators)
            key = RunKey(TaskName.parse(row.task), row.attempt)
            keeper.ledger.adopt(key, link.owner, row.epoch, row.kept, room)
        self._unreported.add(message.runner_id)

    _HANDLERS: dict[type, Callable] = {
        orders.BeatEcho: _take_echo,
        orders.StartOrder: _take_order,
        orders.StopOrder: _take_stop,
        orders.EndsStored: _take_stored,
        orders.JobsClaimed: _take_claims,
        orders.AdoptRuns: _take_adoption,
    }

    # Start and end.

    async def run(self) -> int:
        """Serve until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self.log.write("started", role="agent", zone=self.boot.zone, life=self.incarnation)
        self._spawn(self._find_runner())
        self._spawn(self.links.follow())
        address = self.boot.runner_reports
        await self.control.open(address.host, address.port)
        await open_metrics(self.boot.host, self.log.measures, self.timers)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self.links.beat)
        self.timers.subscribe(REPORT_INTERVAL_MS, self._send_reports)
        self.timers.subscribe(ORPHAN_INTERVAL_MS, self._tell_orphans)
        await stopping.wait()
        self.log.write("stopping", open=len(self.keepers))
        await asyncio.gather(*(keeper.renew_fully() for keeper in self.keepers.values()))
        self.log.write("stopped", jobs_handed_over=0)
        self.log.flush()
        return 0

    def _note_reload(self) -> None:
        self.log.write("settings_signal", note="read again at the next start")

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


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
