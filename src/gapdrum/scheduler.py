"""Places waiting tasks on runners and processes the reports of their agents."""

import random
from collections.abc import Callable

import attrs

from gapdrum import ledger, reasons
from gapdrum.budgets import RatioBudget
from gapdrum.decisions import DecisionLog
from gapdrum.ejection import Ejector
from gapdrum.exceptions import StreamClosedError
from gapdrum.hedging import Straggler, find_stragglers
from gapdrum.jobs import PLACED, WAITING, AgentKey, Job, ReportEffect, Task
from gapdrum.members import Members, RunnerView
from gapdrum.messages import (
    AttemptKey,
    AttemptStatus,
    EntryHeartbeat,
    Inquire,
    PlacedTask,
    PlaceTasks,
    Withdraw,
)
from gapdrum.metrics import Metrics
from gapdrum.placement import choose_runner
from gapdrum.queues import FairQueue
from gapdrum.quotas import Quotas
from gapdrum.runtimes import RunTimes
from gapdrum.settings import SettingsHolder
from gapdrum.timers import Timers

WAITING_NOTICE_INTERVAL_MS = 20

Sender = Callable[[AgentKey, object], None]


@attrs.define(eq=False)
class OpenJob:
    """A job that this entry owns and has not answered, with the roster of its claim."""

    job: Job
    roster: frozenset[AgentKey]
    drain_holds_recorded: set[int] = attrs.Factory(set)  # indexes of tasks


@attrs.define(eq=False)
class _Batch:
    """Start orders for one job at one runner."""

    open_job: OpenJob
    view: RunnerView
    tasks: list[PlacedTask] = attrs.Factory(list)


class Scheduler:
    """Binds tasks to runners.

    ``on_settled`` is called with each job whose tasks are all final, and
    ``on_superseded`` with one that another entry owns under a higher epoch;
    ``send`` sends a message to an agent and raises StreamClosedError.
    """

    def __init__(
        self,
        zone: str,
        timers: Timers,
        settings: SettingsHolder,
        members: Members,
        decisions: DecisionLog,
        metrics: Metrics,
        send: Sender,
        on_settled: Callable[[OpenJob], None],
        on_superseded: Callable[[OpenJob, int], None],
    ) -> None:
        self.zone = zone
        self.timers = timers
        self.settings = settings
        self.members = members
        self.decisions = decisions
        self.metrics = metrics
        self.quotas = Quotas(settings)
        self.run_times = RunTimes()
        self.open_jobs: dict[str, OpenJob] = {}
        self.rng = random.Random()
        self._send = send
        self._ejector = Ejector(members, settings, decisions, timers.wall_ms)
        self._on_settled = on_settled
        self._on_superseded = on_superseded
        self._queues: dict[str, FairQueue] = {}
        self._sent_waiting: dict[str, tuple[int, int]] = {}
        self._retries = RatioBudget(settings.root.retry_budget_percent)
        self._hedges = RatioBudget(settings.root.hedge_budget_percent)

    def queued(self, upstream: str) -> int:
        """Return how many tasks wait for a slot of an upstream."""
        queue = self._queues.get(upstream)
        return queue.length if queue else 0

    def open(self, open_job: OpenJob, waiting: list[Task]) -> None:
        """Open a claimed job: queue its waiting tasks and place those that fit."""
        job = open_job.job
        self.open_jobs[job.job_id] = open_job
        self.quotas.record_demand(job.submission.team, len(waiting))
        for task in waiting:
            self._enqueue(job, task.index)
        self.place_waiting(job.submission.upstream)

    def resume(self, open_job: OpenJob, waiting: list[Task]) -> None:
        """Open a recovered job, some of whose tasks may run already.

        Attempts that ended while the recovery collected holdings were reported
        to nobody, so the agents are asked once more for all outstanding ones.
        """
        job = open_job.job
        for task in job.tasks:
            for attempt in task.outstanding_attempts():
                self._count_start(job, attempt.agent)
        self.open(open_job, waiting)
        for agent in job.outstanding_agents():
            self._inquire(job, agent)

    def close(self, open_job: OpenJob) -> None:
        """Stop work on a job and withdraw what its agents still hold."""
        job = open_job.job
        self.open_jobs.pop(job.job_id, None)
        job.placement_closed_reason = job.placement_closed_reason or reasons.SUPERSEDED
        for agent in job.outstanding_agents():
            self._try_send(agent, Withdraw(job.job_id, job.epoch, ()))
        for task in job.tasks:
            for attempt in task.outstanding_attempts():
                self._count_end(job, attempt.agent)

    def cancel(self, open_job: OpenJob) -> None:
        """Stop placing a job, with one message to each agent that holds attempts of it."""
        job = open_job.job
        job.reason = reasons.CANCELLED
        job.stop_placing(reasons.CANCELLED)
        for agent in job.outstanding_agents():
            self._try_send(agent, Withdraw(job.job_id, job.epoch, ()))
        self._settle_if_done(open_job)

    def place_waiting(self, upstream: str) -> None:
        """Place waiting tasks of an upstream while runners accept them."""
        queue = self._queues.get(upstream)
        if queue is None or not queue.length and not self._sent_waiting.get(upstream, (0, 0))[0]:
            return
        runners = self.members.accepting_work(upstream)
        blocked: set[str] = set()
        batches: dict[tuple[str, AgentKey], _Batch] = {}
        order = self.settings.for_upstream(upstream).queue_order
        now_ms = self.timers.now_ms()
        while queued := queue.pop(blocked, order, now_ms):
            job, index = queued.job, queued.index
            view = self._choose(job, job.tasks[index], runners)
            if view is None:
                self._enqueue(job, index, front=True)
                self._record_hold(job, index)
                blocked.add(job.submission.team)
                continue
            self._order(batches, job, index, view)
        for batch in batches.values():
            self._send_batch(batch)
        self._send_waiting(upstream, runners)

    def report(self, view: RunnerView, job_id: str, epoch: int, row: AttemptStatus) -> None:
        """Apply an agent's row about one task of a job."""
        open_job = self.open_jobs.get(job_id)
        if open_job is not None and epoch > open_job.job.epoch:
            self._on_superseded(open_job, epoch)
            return
        known = open_job is not None and epoch == open_job.job.epoch
        if not known or not self._apply_row(open_job, view, row):
            self.metrics.wasted["TaskReport"] += 1
            return
        self._settle_if_done(open_job)

    def mark_agent_lost(self, agent: AgentKey, reason: str) -> None:
        """Mark an agent's outstanding attempts as lost: its incarnation is over or unresponsive."""
        for open_job in list(self.open_jobs.values()):
            concerned = open_job.job.mark_agent_lost(agent, reason)
            for task in concerned:
                self._count_end(open_job.job, agent)
                self._requeue(open_job.job, task, reason, started=True)
            if concerned:
                self._settle_if_done(open_job)
        self.place_all_waiting()

    def inquire(self, agent: AgentKey) -> None:
        """Ask a reconnected agent for all attempts that are outstanding there."""
        for open_job in self.open_jobs.values():
            self._inquire(open_job.job, agent)

    def hedge(self) -> None:
        """Start stragglers once more on other runners, within the hedge budget."""
        percent = self.settings.root.hedge_after_percent
        self._hedges.percent = self.settings.root.hedge_budget_percent
        jobs = [open_job.job for open_job in self.open_jobs.values()]
        for straggler in find_stragglers(jobs, self.run_times, percent, self.timers.now_ms()):
            self._hedge_one(straggler)

    def probe_ejected(self) -> None:
        """Put runners whose ejection is over on probation."""
        if self._ejector.probe(self.timers.now_ms()):
            self.place_all_waiting()

    def _inquire(self, job: Job, agent: AgentKey) -> None:
        keys = [AttemptKey(index, number) for index, number in job.outstanding_at(agent)]
        if keys:
            self._try_send(agent, Inquire(job.job_id, job.epoch, keys))

    def place_all_waiting(self) -> None:
        """Place waiting tasks of all upstreams; called periodically, as limits refill with time."""
        for upstream in list(self._queues):
            self.place_waiting(upstream)

    def _enqueue(self, job: Job, index: int, front: bool = False) -> None:
        submission = job.submission
        run_time = self.run_times.for_kind(submission.upstream, submission.kind)
        expected_ms = run_time.expected_longest_ms(len(job.tasks))
        self._queue(submission.upstream).push(job, index, expected_ms, front)

    def _queue(self, upstream: str) -> FairQueue:
        queue = self._queues.get(upstream)
        if queue is None:
            queue = FairQueue(lambda team: self.settings.for_team(team).team_weight)
            self._queues[upstream] = queue
        return queue

    def _choose(self, job: Job, task: Task, runners: list[RunnerView]) -> RunnerView | None:
        """Return a runner for a task, None to keep it waiting; untried runners are preferred."""
        submission = job.submission
        roster = self.open_jobs[job.job_id].roster
        fitting = [
            view
            for view in runners
            if view.agent in roster
            and view.accepts_work
            and view.accelerators >= submission.accelerators
        ]
        tried = {attempt.agent for attempt in task.attempts if attempt.may_have_started}
        untried = [view for view in fitting if view.agent not in tried]
        settings = self.settings.for_upstream(submission.upstream)
        view = choose_runner(
            settings.placement, untried or fitting, self.zone, settings.placement_choices, self.rng
        )
        if view is None or not self.quotas.may_start(submission.team, self.timers.now_ms()):
            return None
        return view

    def _order(
        self,
        batches: dict[tuple[str, AgentKey], _Batch],
        job: Job,
        index: int,
        view: RunnerView,
        code: str = reasons.PLACED,
    ) -> None:
        """Record one start order and add it to the batch for its runner."""
        free_before = view.free_slots
        number = job.place(index, view.agent, self.timers.now_ms())
        view.sent += 1
        self._count_start(job, view.agent)
        self._retries.earn()
        self._hedges.earn()
        self.metrics.starts.inc()
        key = (job.job_id, view.agent)
        if key not in batches:
            batches[key] = _Batch(self.open_jobs[job.job_id], view)
        payload = job.tasks[index].payload
        batches[key].tasks.append(PlacedTask(index, number, payload))
        figures = {"free_slots": free_before, "attempt": number}
        drained = self.members.drained_zones(job.submission.upstream)
        if drained:
            figures["drained_zones"] = len(drained)  # may explain the choice of runner
        self._record(job, index, code, view.agent.agent_id, **figures)

    def _record_hold(self, job: Job, index: int) -> None:
        """Record once that a task waits while zones of its upstream are drained."""
        recorded = self.open_jobs[job.job_id].drain_holds_recorded
        drained = self.members.drained_zones(job.submission.upstream)
        if drained and index not in recorded:
            recorded.add(index)
            subject = ",".join(drained)
            self._record(job, index, reasons.HELD_ZONE_DRAINED, subject, zones=len(drained))

    def _send_batch(self, batch: _Batch) -> None:
        job = batch.open_job.job
        now_ms = self.timers.now_ms()
        start_by_ms = batch.view.agent_clock_ms(now_ms) + max(0, job.deadline_at_ms - now_ms)
        order = PlaceTasks(job.job_id, job.epoch, start_by_ms, self.settings.version, batch.tasks)
        self._try_send(batch.view.agent, order)

    def _send_waiting(self, upstream: str, runners: list[RunnerView]) -> None:
        """Notify agents when the number of waiting tasks changes much, so they divide slots."""
        waiting = self._queues[upstream].length
        sent, sent_at_ms = self._sent_waiting.get(upstream, (0, 0))
        now_ms = self.timers.now_ms()
        changed = (waiting > 0) != (sent > 0) or waiting > 2 * sent or waiting * 2 < sent
        if not changed or waiting and now_ms - sent_at_ms < WAITING_NOTICE_INTERVAL_MS:
            return
        self._sent_waiting[upstream] = (waiting, now_ms)
        for view in runners:
            self._try_send(view.agent, EntryHeartbeat(self.settings.version, waiting))

    def _try_send(self, agent: AgentKey, message: object) -> None:
        """Send a message; the loss of a stream is handled where it closes, not here."""
        try:
            self._send(agent, message)
        except StreamClosedError:
            self.metrics.wasted[type(message).__name__] += 1

    def _apply_row(self, open_job: OpenJob, view: RunnerView, row: AttemptStatus) -> bool:
        job = open_job.job
        effect = job.report(view.agent, row)
        if effect is ReportEffect.NOTHING:
            return False
        if effect is ReportEffect.ENDED:
            self._count_end(job, view.agent)
        if row.state != ledger.NEVER_STARTED:
            self._ejector.observe_outcome(view, row.state == ledger.FAILED, self.timers.now_ms())
        if row.reason == ledger.REASON_QUEUE_FULL:
            self.metrics.wasted["PlaceTasks"] += 1
            self.metrics.wasted["TaskReport"] += 1
        if row.state == ledger.DONE:
            self.run_times.for_kind(view.upstream, job.submission.kind).add(row.run_ms)
        task = job.tasks[row.index]
        if not task.is_final:
            started = row.state != ledger.NEVER_STARTED
            self._requeue(job, task, row.reason, started)
        return True

    def _requeue(self, job: Job, task: Task, reason: str, started: bool) -> None:
        """Requeue a task after an attempt that did not make it final."""
        if task.state != WAITING:
            return
        if started and not self._spend_retry():
            job.settle(task, reasons.RETRY_BUDGET)
            self._record(job, task.index, reasons.RETRY_BUDGET, starts=task.starts)
            return
        code = reasons.RETRIED if started else reasons.RETURNED
        self._record(job, task.index, code, reason, starts=task.starts)
        self._enqueue(job, task.index, front=True)

    def _spend_retry(self) -> bool:
        self._retries.percent = self.settings.root.retry_budget_percent
        return self._retries.spend()

    def _settle_if_done(self, open_job: OpenJob) -> None:
        if open_job.job.is_settled and open_job.job.job_id in self.open_jobs:
            self._on_settled(open_job)

    def _count_start(self, job: Job, agent: AgentKey) -> None:
        view = self.members.find_incarnation(agent)
        if view is not None:
            view.outstanding += 1
        self.quotas.started(job.submission.team)

    def _count_end(self, job: Job, agent: AgentKey) -> None:
        view = self.members.find_incarnation(agent)
        if view is not None:
            view.outstanding -= 1
        self.quotas.ended(job.submission.team)

    def _hedge_one(self, straggler: Straggler) -> None:
        job, task = straggler.job, straggler.task
        busy = {attempt.agent for attempt in task.attempts}
        runners = self.members.accepting_work(job.submission.upstream)
        free = [view for view in runners if view.agent not in busy and view.free_slots > 0]
        view = self._choose(job, task, free)
        if view is None or task.state != PLACED or not self._hedges.spend():
            return
        batches: dict[tuple[str, AgentKey], _Batch] = {}
        self._order(batches, job, task.index, view, reasons.HEDGED)
        for batch in batches.values():
            self._send_batch(batch)

    def _record(self, job: Job, index: int, code: str, subject: str = "", **figures: int) -> None:
        self.decisions.record(
            self.timers.wall_ms(),
            job.job_id,
            code,
            self.settings.version,
            task=index,
            subject=subject,
            **figures,
        )
