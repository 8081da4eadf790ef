"""A model of the decision core under arbitrary orders of messages, crashes, pauses and expiries.

It drives the real scheduler, ledger and recovery against a runner that counts
starts.  The network may delay, reorder, duplicate and lose messages.
"""

import random
from collections import Counter

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from gapdrum import ledger as ledgers
from gapdrum import reasons
from gapdrum.decisions import DecisionLog
from gapdrum.jobs import AgentKey, Job
from gapdrum.ledger import Ledger
from gapdrum.members import Members
from gapdrum.messages import (
    AgentHello,
    Fence,
    Inquire,
    JobHoldings,
    PlaceTasks,
    RunnerLoad,
    TaskReport,
    Withdraw,
)
from gapdrum.metrics import Metrics
from gapdrum.models import Submission, TaskSpec
from gapdrum.recovery import Recovery
from gapdrum.scheduler import OpenJob, Scheduler
from gapdrum.settings import SettingsHolder

AGENTS = ("agent-0", "agent-1", "agent-2")
TASKS = 3
DEADLINE_MS = 2_000
STEPS = 60
SLOTS = 2


class ManualTimers:
    """A timer service whose clock the model advances."""

    def __init__(self):
        self.time_ms = 1_000
        self.suspended_ms = 0

    def now_ms(self):
        return self.time_ms

    def monotonic_ms(self):
        return self.time_ms - self.suspended_ms

    def suspend(self, time_ms):
        """Advance time as in a suspension of the host, which ``monotonic_ms`` does not count."""
        self.time_ms += time_ms
        self.suspended_ms += time_ms

    def wall_ms(self):
        return self.time_ms

    def left_ms(self, interval_ms):
        return interval_ms

    def call_after(self, _delay_ms, _callback):
        """Schedule nothing: the model triggers each event itself."""


class ModelAgent:
    """One incarnation of an agent with its ledger; a restart loses all records."""

    def __init__(self, name, number):
        self.key = AgentKey(name, f"life-{number}")
        self.ledger = Ledger(queue_limit=8, retention_ms=10 * DEADLINE_MS)
        self.called = []
        self.running = []
        self.received = 0


class ModelEntry:
    """One entry with the real scheduler; a paused one continues later with its old epoch."""

    def __init__(self, model, number):
        self.number = number
        self.model = model
        self.answer = None
        self.recovery = None
        self.open_job = None
        self.superseded = False
        members = Members()
        self.scheduler = Scheduler(
            "zone",
            model.timers,
            SettingsHolder(),
            members,
            DecisionLog(f"entry-{number}"),
            Metrics(),
            lambda agent, message: model.post(agent, self, message),
            self.settle,
            self.stop_owning,
        )
        self.scheduler.rng = random.Random(number)

    def settle(self, open_job):
        self.scheduler.close(open_job)
        if open_job.job.has_not_run_tasks and not self.model.close_claim(open_job.job.epoch):
            self.superseded = True
            return
        self.answer = open_job.job.answer(self.model.timers.now_ms())
        self.model.check_answer(self.answer)

    def stop_owning(self, open_job, _epoch):
        self.scheduler.close(open_job)
        self.superseded = True


class CoreModel(RuleBasedStateMachine):
    """The state machine; subclasses switch one mechanism off to show that it is needed."""

    starts_allowed = 1
    fence_works = True
    epoch_checked = True
    tombstones_kept = True
    missing_counted = True
    claim_closed_first = True

    def __init__(self):
        super().__init__()
        self.timers = ManualTimers()
        self.starts = Counter()
        self.never_again = set()
        self.incarnations = 0
        self.agents = {name: self._new_agent(name) for name in AGENTS}
        self.network = []
        self.submission = Submission(
            key="k",
            team="t",
            upstream="u",
            deadline_ms=DEADLINE_MS,
            tasks=[TaskSpec(str(i)) for i in range(TASKS)],
            starts_allowed=self.starts_allowed,
        )
        self.roster = [agent.key for agent in self.agents.values()]
        self.epoch = 1
        self.closed = False
        self.entries = [ModelEntry(self, 0)]
        self._join_all(self.entries[0])
        self._open(self.entries[0], Job(self.submission, 1, self.timers.now_ms()))

    # -- the network -------------------------------------------------------

    def post(self, agent, entry, message):
        self.network.append(("agent", agent, entry, message))

    def post_back(self, agent, entry, message):
        self.network.append(("entry", agent.key, entry, message))

    @rule(count=st.integers(1, 12), seed=st.integers(0, 2**16), copies=st.integers(1, 2))
    def deliver(self, count, seed, copies):
        """Deliver some of the messages in flight, reordered, once or twice."""
        order = random.Random(seed)
        for _ in range(min(count, len(self.network))):
            item = self.network.pop(order.randrange(len(self.network)))
            for _ in range(copies):
                self._deliver(*item)

    @rule()
    def deliver_in_order(self):
        """Deliver all that is in flight now, as a healthy network would."""
        items, self.network = self.network, []
        for item in items:
            self._deliver(*item)

    @rule(count=st.integers(1, 12))
    def deliver_newest(self, count):
        """Deliver the newest messages first, so that earlier ones arrive late."""
        for _ in range(min(count, len(self.network))):
            self._deliver(*self.network.pop())

    @rule(count=st.integers(1, 3), seed=st.integers(0, 2**16))
    def lose(self, count, seed):
        """Lose some messages in flight."""
        order = random.Random(seed)
        for _ in range(min(count, len(self.network))):
            self.network.pop(order.randrange(len(self.network)))

    # -- agents --------------------------------------------------------------

    @rule(name=st.sampled_from(AGENTS))
    def take_next(self, name):
        """Let an agent dequeue its next attempt; the runner is called after a possible pause."""
        agent = self.agents[name]
        if len(agent.called) + len(agent.running) >= SLOTS:
            return
        task, lapsed = agent.ledger.next_start(self.timers.now_ms())
        for declined in lapsed:
            self._report(agent, declined)
        if task is not None:
            agent.called.append(task)

    @rule(name=st.sampled_from(AGENTS))
    def call_runner(self, name):
        """Call the runner if the attempt may still start."""
        agent = self.agents[name]
        if not agent.called:
            return
        task = agent.called.pop(0)
        if not agent.ledger.may_start(task, self.timers.now_ms()):
            agent.ledger.finish(task, "not_sent", ledgers.REASON_LAPSED, "", 0)
            self._report(agent, task)
            return
        self.starts[task.key.index] += 1
        agent.running.append(task)

    @rule()
    def start_everywhere(self):
        """Let every agent start what it can, without a pause."""
        for name in AGENTS:
            for _ in range(SLOTS):
                self.take_next(name)
                self.call_runner(name)

    @rule(name=st.sampled_from(AGENTS), event=st.sampled_from(["finish", "fail"]))
    def end_task(self, name, event):
        """End a running task."""
        agent = self.agents[name]
        if agent.running:
            task = agent.running.pop(0)
            reason = "" if event == "finish" else reasons.RUNNER_ERROR
            agent.ledger.finish(task, event, reason, "r", 1)
            self._report(agent, task)

    @rule(name=st.sampled_from(AGENTS))
    def restart_agent(self, name):
        """Restart an agent: its records are lost, while its runner continues."""
        old = self.agents[name]
        self.agents[name] = self._new_agent(name)
        for entry in self.entries:
            entry.scheduler.mark_agent_lost(old.key, reasons.AGENT_GONE)
            if entry.recovery is not None:
                entry.recovery.mark_missing(old.key)
                self._conclude(entry)
            self._join(entry, self.agents[name])

    @rule(name=st.sampled_from(AGENTS))
    def reconnect(self, name):
        """Reconnect a stream: the entries ask for the outstanding attempts."""
        for entry in self.entries:
            entry.scheduler.inquire(self.agents[name].key)

    # -- entries -------------------------------------------------------------

    @rule()
    def take_over(self):
        """Another entry takes the job over; the old owner may still be alive."""
        if len(self.entries) >= 3:
            return
        entry = ModelEntry(self, len(self.entries))
        self.entries.append(entry)
        self._join_all(entry)
        self.epoch += 1
        job = Job(self.submission, self.epoch, self.timers.now_ms())
        entry.recovery = Recovery(job, self.roster, may_place=not self.closed)
        alive = {agent.key for agent in self.agents.values()}
        for key in self.roster:
            if key in alive:
                self.post(key, entry, Fence(job.job_id, job.epoch))
            else:
                entry.recovery.mark_missing(key)
        self._conclude(entry)

    @rule(data=st.data())
    def give_up_waiting(self, data):
        """Let a recovery stop waiting for an agent that does not answer."""
        recovering = [entry for entry in self.entries if entry.recovery is not None]
        if recovering:
            entry = data.draw(st.sampled_from(recovering))
            for key in list(entry.recovery.awaited):
                entry.recovery.mark_missing(key)
            self._conclude(entry)

    @rule()
    def silence(self):
        """Mark a live but silent agent as lost; it may return with results."""
        agent = self.agents[AGENTS[0]]
        for entry in self.entries:
            entry.scheduler.mark_agent_lost(agent.key, reasons.AGENT_SILENT)

    @rule()
    def cancel(self):
        """Cancel the job at its last owner."""
        entry = self.entries[-1]
        if entry.answer is None and entry.open_job is not None and not entry.superseded:
            entry.scheduler.cancel(entry.open_job)

    @rule(elapsed_ms=st.sampled_from([10, 500, DEADLINE_MS + 1]))
    def pass_time(self, elapsed_ms):
        """Let time pass; entries answer at their deadline."""
        self.timers.time_ms += elapsed_ms
        for entry in self.entries:
            job = entry.open_job.job if entry.open_job else None
            late = job is not None and self.timers.now_ms() > job.deadline_at_ms
            if late and entry.answer is None and not entry.superseded:
                job.give_up(reasons.DEADLINE)
                entry.settle(entry.open_job)

    # -- promises --------------------------------------------------------------

    @invariant()
    def starts_are_bounded(self):
        """No task starts more often than the submission allows."""
        for index, count in self.starts.items():
            assert count <= self.starts_allowed, f"task {index} started {count} times"

    @invariant()
    def not_run_stays_true(self):
        """Check that a task that an answer reported as not run never starts."""
        for index in self.never_again:
            assert self.starts[index] == 0, f"task {index} was said not to run"

    def check_answer(self, answer):
        """Check an answer against the starts that the runners counted."""
        for outcome in answer.tasks:
            started = self.starts[outcome.index]
            if outcome.fate == reasons.NOT_RUN:
                self.never_again.add(outcome.index)
            if outcome.fate in (reasons.DONE, reasons.FAILED):
                assert started >= 1, outcome
        whole = all(outcome.fate == reasons.DONE for outcome in answer.tasks)
        assert (answer.outcome == reasons.COMPLETE) == whole

    def close_claim(self, epoch):
        """Close the claim by compare-and-set; return whether the epoch still held it."""
        if not self.claim_closed_first:
            return True
        if epoch == self.epoch:
            self.closed = True
        return epoch == self.epoch

    # -- helpers ---------------------------------------------------------------

    def _new_agent(self, name):
        self.incarnations += 1
        return ModelAgent(name, self.incarnations)

    def _open(self, entry, job):
        entry.open_job = OpenJob(job, frozenset(self.roster))
        entry.scheduler.open(entry.open_job, list(job.tasks))

    def _join_all(self, entry):
        for agent in self.agents.values():
            self._join(entry, agent)

    def _join(self, entry, agent):
        now_ms = self.timers.now_ms()
        key = agent.key
        hello = AgentHello(key.agent_id, key.incarnation, "zone", "w", "t", now_ms)
        view, _ended = entry.scheduler.members.join(hello, now_ms)
        load = RunnerLoad("u", "ready", SLOTS, 0, 100, 0, now_ms, 0)
        entry.scheduler.members.update_load(view, load, now_ms)

    def _deliver(self, target, key, entry, message):
        agent = self.agents[key.agent_id]
        if target == "entry":
            self._deliver_to_entry(entry, key, message)
        elif agent.key == key:
            self._deliver_to_agent(agent, entry, message)

    def _deliver_to_agent(self, agent, entry, message):
        ledger = agent.ledger
        now_ms = self.timers.now_ms()
        if isinstance(message, PlaceTasks):
            if not self.epoch_checked:
                message = _with_epoch(message, max(message.epoch, ledger.epoch_of(message.job_id)))
            for row in ledger.place(message, now_ms):
                self._send_row(agent, entry, row)
        elif isinstance(message, Withdraw):
            for row in ledger.withdraw(message):
                self._send_row(agent, entry, row)
        elif isinstance(message, Fence):
            held = ledger.fence(message, now_ms) if self.fence_works else None
            self.post_back(agent, entry, held or JobHoldings(message.job_id, message.epoch, ()))
        elif isinstance(message, Inquire):
            held = ledger.inquire(message, now_ms)
            if not self.tombstones_kept:
                job = ledger._jobs[message.job_id]
                for task_key in message.tasks:
                    if job.tasks[task_key].reason == ledgers.REASON_NEVER_RECEIVED:
                        del job.tasks[task_key]
            self.post_back(agent, entry, held)

    def _deliver_to_entry(self, entry, key, message):
        view = entry.scheduler.members.find_incarnation(key)
        if isinstance(message, JobHoldings) and entry.recovery is not None:
            if message.epoch == entry.recovery.job.epoch:
                entry.recovery.add_holdings(key, message)
                self._conclude(entry)
            return
        if entry.answer is not None or entry.superseded or entry.recovery is not None:
            return
        if view is None:
            return
        rows = message.tasks if isinstance(message, JobHoldings) else message.task
        for row in rows:
            entry.scheduler.report(view, message.job_id, message.epoch, row)

    def _conclude(self, entry):
        recovery = entry.recovery
        if recovery is None or not recovery.is_complete:
            return
        entry.recovery = None
        if not self.missing_counted:
            recovery.missing.clear()
        waiting = recovery.finalize_tasks()
        entry.open_job = OpenJob(recovery.job, frozenset(self.roster))
        entry.scheduler.resume(entry.open_job, waiting)
        if recovery.job.is_settled and entry.answer is None:
            entry.settle(entry.open_job)

    def _report(self, agent, task):
        for entry in self.entries:
            self._send_row(agent, entry, task.row())

    def _send_row(self, agent, entry, row):
        job_id = self.submission.job_id
        epoch = agent.ledger.epoch_of(job_id)
        self.post_back(agent, entry, TaskReport(job_id, epoch, (row,), 100, 0, 0))


def _with_epoch(message, epoch):
    fields = (message.job_id, epoch, message.start_by_ms, message.settings_version, message.tasks)
    return PlaceTasks(*fields)


class TwoStartsModel(CoreModel):
    """The model with two starts allowed per task."""

    starts_allowed = 2


def find_broken_promise(model, examples, **switches):
    """Return the text of the first broken promise found, None if there is none."""
    tried = type("Tried", (model,), switches)
    options = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(tried, settings=options)
    except AssertionError as error:
        return str(error)
    return None
