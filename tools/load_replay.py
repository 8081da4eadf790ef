"""Replays a load in virtual time through the real dispatch code of entries and agents.

Only the environment is replaced: the network (a fixed delay for each message), the runners, the
callers and the clock. Replaying a second of load takes less than half a second::

    report = replay(overload(seed=1))
    print(report.worth, report.worst_kind)
"""

import random
from collections import Counter

from load_report import Outcome, ReplayRecord, Report, summarize
from loads import Drain, Fault, Load, LoadJob, make_jobs
from platform_system import RESUBMIT_MS
from virtual_runner import UPSTREAM, SilentLog, VirtualController, VirtualRunner, VirtualTimers

from gapdrum.agent.entry_links import EntryLink
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.agent.outcome_reporter import OutcomeReporter
from gapdrum.codec import message_name
from gapdrum.core import orders
from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import LATE_FACTOR, Job, build_job
from gapdrum.core.models import Resources, RunKey, Step
from gapdrum.core.run_bounds import RunBounds
from gapdrum.core.runner_ledger import RunnerLedger
from gapdrum.core.subsets import Candidate, choose_entries
from gapdrum.entry.acceptance import initial_record, queue_policy
from gapdrum.entry.admission import Admission
from gapdrum.entry.queue_demand import QUEUE_DEMAND_INTERVAL_MS, QueueDemandPublisher
from gapdrum.entry.receipts import ReceiptSender
from gapdrum.entry.room_demand import RoomDemandPublisher

LATENCY_FACTOR = 1.6
LATENCY_SLACK_MS = 60
LATE_VALUE = 0.2
MESSAGE_MS = 1.3  # the delay of a message, as measured between processes
POLL_INTERVAL_MS = 200
TICK_INTERVAL_MS = 50
LINK_UPDATE_DELAY_MS = 250
MEMORY_MB = 64_000
WARM_UP_MS = 3_000  # before the load begins, for entries and agents to connect
FINISH_MS = 6_000
# The range of speeds of healthy runners.
SLOWEST, FASTEST = 0.8, 1.25


class VirtualLink(EntryLink):
    """The agent's end of a stream to a virtual entry."""

    def __init__(self, agent: "VirtualAgent", entry: "VirtualEntry") -> None:
        super().__init__(entry.name, None)
        self.owner = entry.name
        self._agent = agent
        self._entry = entry

    def send(self, message: object) -> None:
        """Send a message to the entry."""
        self._agent.fleet.count_message(message)
        self._agent.timers.call_after(MESSAGE_MS, lambda: self._entry.receive(self._agent, message))


class VirtualLinks(list):
    """The agent's links."""

    def of_owner(self, owner: str) -> VirtualLink | None:
        """Return the link of an owner."""
        return next((link for link in self if link.owner == owner), None)


class VirtualAgent:
    """The decision-making parts of an agent, with a virtual runner."""

    def __init__(
        self, fleet: "VirtualFleet", number: int, speed: float, capacity: Resources
    ) -> None:
        self.fleet = fleet
        self.timers = fleet.timers
        self.log = fleet.log
        self.name = f"agent-{number}"
        self.zone = f"zone-{number % fleet.load.zones}" if fleet.load.zones else "zone-0"
        self._rack = fleet.load.rack_of(number)
        self.grants = Grants(RunBounds(RESUBMIT_MS))
        self.links = VirtualLinks()
        self.controllers: dict[str, VirtualController] = {}
        self.notifier = EntryNotifier(
            self.links, self.controllers, self.timers, OutcomeReporter(self.timers, self.log)
        )
        self.orders = EntryOrders(
            self.links, self.controllers, self.grants, self.notifier, self.timers, self.log
        )
        self.controller = VirtualController(
            VirtualRunner(self.timers, speed),
            RunnerLedger(f"runner-{self.name}", UPSTREAM, ("kind", self._rack), capacity),
            self.grants,
            self.log,
            self.notifier.report,
            lambda key: fleet.work_of(key, self._rack),
            self.orders.shares,
        )
        self.controllers[self.controller.runner_id] = self.controller

    def open(self, entries: list["VirtualEntry"]) -> None:
        """Connect to the entries that it serves; start to poll and to send heartbeats."""
        self.controller.poll()
        self.update_links(entries, frozenset())
        self.timers.subscribe(POLL_INTERVAL_MS, self.controller.poll)
        self.timers.subscribe(orders.BEAT_INTERVAL_MS, self._send_heartbeats)

    def update_links(self, entries: list["VirtualEntry"], drained: frozenset[str]) -> None:
        """Connect to the entries that it should serve; existing links stay."""
        is_open = self.zone not in drained
        candidates = [
            Candidate(
                entry.name,
                entry.zone == self.zone,
                is_drained=is_open and entry.zone in drained,
            )
            for entry in entries
        ]
        chosen = choose_entries(self.name, candidates)
        joined = {link.entry for link in self.links}
        for entry in entries:
            if entry.name in chosen and entry.name not in joined:
                entry.join(self)
                self.links.append(VirtualLink(self, entry))
                self.notifier.send_full_state(self.links[-1])

    def _send_heartbeats(self) -> None:
        for link in self.links:
            link.send(orders.AgentBeat(self.timers.now_ms()))

    def receive(self, entry: str, message: object) -> None:
        """Process a message of an entry."""
        self.orders.take(self.links.of_owner(entry), message)


class VirtualEntry:
    """The decision-making parts of an entry; implements ``core.effects``."""

    def __init__(self, fleet: "VirtualFleet", number: int) -> None:
        self.fleet = fleet
        self.timers = fleet.timers
        self.name = f"entry-{number}"
        self.zone = f"zone-{number % fleet.load.zones if fleet.load.zones else number}"
        self.views: dict[str, object] = {}
        self._placing = False
        rng = random.Random(fleet.load.seed * 100 + number)
        now_ms = self.timers.now_ms()
        self.dispatch = build_dispatch(
            self.zone, self, lambda: True, now_ms, rng, fleet.load.far_factor
        )
        self.admission = Admission(self.dispatch.placer, self.timers)
        self.receipts = ReceiptSender(self.dispatch.fleet, self.send, self.timers)
        self.demand = RoomDemandPublisher(self, self.timers)
        notices = QueueDemandPublisher(self, self.dispatch.placer, self.timers)
        self.timers.subscribe(QUEUE_DEMAND_INTERVAL_MS, notices.publish)
        self.timers.subscribe(TICK_INTERVAL_MS, self._tick)

    def join(self, agent: VirtualAgent) -> None:
        """Accept an agent's stream."""
        greeting = orders.AgentGreeting(agent.name, "life", agent.zone, self.timers.now_ms())
        now_ms = self.timers.now_ms()
        self.views[agent.name] = self.dispatch.fleet.agent_joined(greeting, now_ms)

    def receive(self, agent: VirtualAgent, message: object) -> None:
        """Process a message of an agent."""
        now_ms = self.timers.now_ms()
        view = self.views[agent.name]
        if isinstance(message, orders.AgentBeat):
            view.heard_ms = now_ms
            view.clock_ms = message.clock_ms
            self.send(agent.name, orders.BeatEcho(message.clock_ms, True, True))
        elif isinstance(message, orders.RunEvents):
            self.dispatch.apply_events(view, message, now_ms)
            if message.number:
                self.receipts.schedule(agent.name)
        elif isinstance(message, orders.RoomReport):
            self.dispatch.apply_room(view, message)
        elif isinstance(message, orders.RunnerReport):
            self.dispatch.apply_report(view, message, now_ms)
        elif isinstance(message, orders.Holdings):
            self.dispatch.apply_holdings(view, message, now_ms)

    # Effects of decisions

    def send(self, agent: str, message: object) -> bool:
        """Send a message to an agent."""
        target = self.fleet.agents[agent]
        self.fleet.count_message(message)
        self.timers.call_after(MESSAGE_MS, lambda: target.receive(self.name, message))
        return True

    def broadcast(self, message: object) -> None:
        """Send a message to all agents that have joined."""
        for agent in self.views:
            self.send(agent, message)

    def job_ended(self, job: Job) -> None:
        """Answer the caller."""
        self.fleet.callers.record_end(job.job_id, self.timers.now_ms())
        self.dispatch.stop_runs(job)
        self.dispatch.drop_job(job.job_id, "ended")

    def job_refused(self, job: Job) -> None:
        """Refuse the job to its caller."""
        self.fleet.callers.refuse(job.job_id, "given_up")

    def has_ended(self, _job_id: str) -> bool:
        """Return ``False``: the entry keeps no record of ended jobs."""
        return False

    def on_unowned_end(self, place: object, event: object) -> None:
        """Ignore ends of jobs that have ended."""

    def note(self, event: str, **fields: object) -> None:
        """Count an event, and some events also by reason."""
        self.fleet.log.write(event, **fields)
        if event in ("task_released", "task_straggles"):
            self.fleet.log.events[f"{event}: {fields['reason']}"] += 1
        if fields.get("moved"):
            self.fleet.log.events[f"{event}: moved"] += 1

    def schedule_placement(self) -> None:
        """Place waiting tasks after the current event."""
        if not self._placing:
            self._placing = True
            self.timers.call_after(0, self._place)

    def _place(self) -> None:
        self._placing = False
        self._place_waiting()

    def _place_waiting(self) -> None:
        self.dispatch.placer.place_waiting(self.timers.now_ms())
        self.demand.publish(self.dispatch.placer.demand)

    def _tick(self) -> None:
        now_ms = self.timers.now_ms()
        self.dispatch.expire_silent(now_ms)
        self._place_waiting()
        self.dispatch.refuse_unmeetable(now_ms)

    # Callers

    def submit(self, given: LoadJob) -> None:
        """Accept a job or refuse it."""
        queue = Queue(
            given.kind.queue,
            "h",
            "/",
            UPSTREAM,
            given.kind.priority,
            3,
            LATENCY_FACTOR,
            LATENCY_SLACK_MS,
            0,
        )
        room = Resources(given.cpu_milli, 10, 0)
        step = Step(len(given.work_ms), room, given.estimate_ms, data_rack=given.data_rack)
        if self.admission.check_overload(queue, (step,)) is not None:
            self.fleet.callers.refuse(given.job_id, "refused")
            return
        record = initial_record(queue, "{}", (step,), self.name, 0)
        now_ms = self.timers.now_ms()
        job = build_job(given.job_id, record, 0, now_ms, durable=False, policy=queue_policy(queue))
        self.dispatch.add_job(job, now_ms)

    def leave(self, job_id: str) -> None:
        """Stop and drop a job whose caller has left."""
        job = self.dispatch.jobs.get(job_id)
        if job is not None:
            self.dispatch.stop_runs(job)
            self.dispatch.drop_job(job_id, "caller_gone")


class Callers:
    """Submits jobs and records their outcomes."""

    def __init__(self, fleet: "VirtualFleet", jobs: list[LoadJob]) -> None:
        self._fleet = fleet
        self._timers = fleet.timers
        self.outcomes = {job.job_id: Outcome(job) for job in jobs}

    def objective_ms(self, job: LoadJob) -> float:
        """Return the response time that the caller expects."""
        return LATENCY_FACTOR * job.chain_ms + LATENCY_SLACK_MS

    def submit(self, job: LoadJob) -> None:
        """Submit a job; its caller leaves when a late answer has no value any more."""
        entry = self._fleet.entries[job.entry]
        entry.submit(job)
        self._timers.call_after(
            LATE_FACTOR * self.objective_ms(job), lambda: self._leave(job, entry)
        )

    def _leave(self, job: LoadJob, entry: VirtualEntry) -> None:
        outcome = self.outcomes[job.job_id]
        if outcome.kind == "open":
            outcome.kind = "left"
            entry.leave(job.job_id)

    def record_end(self, job_id: str, now_ms: int) -> None:
        """Record an answer, in time or late."""
        outcome = self.outcomes[job_id]
        took_ms = now_ms - self._fleet.begin_ms - outcome.job.at_ms
        in_time = took_ms <= self.objective_ms(outcome.job)
        outcome.kind = "served" if in_time else "late"
        outcome.value = 1.0 if in_time else LATE_VALUE

    def refuse(self, job_id: str, kind: str) -> None:
        """Record a refusal, and the room that was free at that time."""
        outcome = self.outcomes[job_id]
        outcome.kind = kind
        outcome.free_cores = self._fleet.free_cores()
        outcome.open_cores = self._fleet.open_cores(outcome.job.kind.queue)


class VirtualFleet:
    """Entries, agents and runners under one load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.timers = VirtualTimers()
        self.begin_ms = self.timers.now_ms() + WARM_UP_MS
        self.log = SilentLog()
        self.messages: Counter[str] = Counter()  # by class, during the load
        self.jobs = make_jobs(load)
        self._by_id = {job.job_id: job for job in self.jobs}
        self.callers = Callers(self, self.jobs)
        rng = random.Random(load.seed)
        self.agents: dict[str, VirtualAgent] = {}
        for number, cpu_milli in enumerate(load.runners):
            speed = rng.uniform(SLOWEST, FASTEST)
            if load.speeds:
                speed = load.speeds[number]
            agent = VirtualAgent(self, number, speed, Resources(cpu_milli, MEMORY_MB, 0))
            self.agents[agent.name] = agent
        self.entries = [VirtualEntry(self, number) for number in range(len(load.shares))]
        self.busy_cores: dict[int, float] = {}

    def count_message(self, message: object) -> None:
        """Count a message that is sent during the load."""
        if 0 <= self.timers.now_ms() - self.begin_ms < self.load.duration_ms:
            self.messages[message_name(message)] += 1

    def work_of(self, key: RunKey, rack: str) -> float:
        """Return how long a task really runs on a rack."""
        job = self._by_id[key.task.job_id]
        is_near = job.data_rack in ("", rack)
        return job.work_ms[key.task.index] * (1 if is_near else self.load.far_factor)

    def free_cores(self) -> float:
        """Return the free cores of all runners."""
        ledgers = [agent.controller.ledger for agent in self.agents.values()]
        free = sum(one.capacity.cpu_milli - one.used.cpu_milli for one in ledgers if not one.gone)
        return free / 1_000

    def open_cores(self, queue: str) -> float:
        """Return the free cores of all runners that are not reserved against a queue."""
        controllers = [agent.controller for agent in self.agents.values()]
        return (
            sum(
                max(0, one.ledger.free.cpu_milli - one.kept_cpu_milli().get(queue, 0))
                for one in controllers
            )
            / 1_000
        )

    def run(self) -> None:
        """Replay the load to its end."""
        for agent in self.agents.values():
            agent.open(self.entries)
        for job in self.jobs:
            self.timers.call_after(WARM_UP_MS + job.at_ms, lambda job=job: self.callers.submit(job))
        for fault in self.load.faults:
            self._plan_fault(fault)
        for drain in self.load.drains:
            self._plan_drain(drain)
        self.timers.subscribe(100, self._sample)
        self.timers.run_until(self.begin_ms + self.load.duration_ms + FINISH_MS)

    def _plan_fault(self, fault: Fault) -> None:
        for number in fault.runners:
            controller = self.agents[f"agent-{number}"].controller
            at_ms = WARM_UP_MS + fault.at_ms
            if fault.gone:
                self.timers.call_after(at_ms, controller.lose)
                continue
            self.timers.call_after(at_ms, lambda k=controller: k.runner.set_pace(fault.pace))
            self.timers.call_after(
                at_ms + fault.for_ms, lambda k=controller: k.runner.set_pace(1.0)
            )

    def _plan_drain(self, drain: Drain) -> None:
        at_ms = WARM_UP_MS + drain.at_ms
        self.timers.call_after(at_ms, lambda: self._drain(frozenset((drain.zone,))))
        self.timers.call_after(at_ms + drain.for_ms, lambda: self._drain(frozenset()))

    def _drain(self, zones: frozenset[str]) -> None:
        """Publish the set of drained zones to all agents and entries."""
        for agent in self.agents.values():
            agent.controller.set_zone_closed(agent.zone in zones)
            self.timers.call_after(
                LINK_UPDATE_DELAY_MS, lambda agent=agent: agent.update_links(self.entries, zones)
            )
        for entry in self.entries:
            entry.dispatch.fleet.drained_zones = zones

    def _sample(self) -> None:
        at_ms = self.timers.now_ms() - self.begin_ms
        ledgers = [agent.controller.ledger for agent in self.agents.values()]
        total = sum(one.capacity.cpu_milli for one in ledgers if not one.gone)
        self.busy_cores[at_ms] = 1 - 1_000 * self.free_cores() / total


def replay(load: Load) -> Report:
    """Replay a load and return its report."""
    random.seed(load.seed)  # agents choose at random to which entry they offer room
    fleet = VirtualFleet(load)
    fleet.run()
    played = ReplayRecord(
        list(fleet.callers.outcomes.values()),
        load.duration_ms,
        fleet.busy_cores,
        fleet.log.events,
        fleet.messages,
    )
    return summarize(played)
