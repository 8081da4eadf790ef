"""Places waiting tasks on runners and takes back what the agents report."""

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
    EntryHeartbeat,
    Inquire,
    PlacedTask,
    PlaceTasks,
    TaskKey,
    TaskRow,
    Withdraw,
)
from gapdrum.metrics import Metrics
from gapdrum.placement import choose_runner
from gapdrum.queues import FairQueue
from gapdrum.quotas import Quotas
from gapdrum.runtimes import RunTimes
from gapdrum.settings import SettingsHolder
from gapdrum.timers import Timers

HINT_INTERVAL_MS = 20

Sender = Callable[[AgentKey, object], None]


@attrs.define(eq=False)
class OpenJob:
    """A job this entry owns and has not answered, with the roster that its claim names."""

    job: Job
    roster: frozenset[AgentKey]
    held_for_drain: set[int] = attrs.Factory(set)  # tasks of which that was noted


@attrs.define(eq=False)
class _Batch:
    """Start orders for one job at one runner."""

    open_job: OpenJob
    view: RunnerView
    tasks: list[PlacedTask] = attrs.Factory(list)


class Scheduler:
    """Binds tasks to runners.

    ``on_settled`` is called with each job whose tasks all have their fate, and
    ``on_superseded`` with one that another entry owns under a higher epoch;
    ``send`` brings a message to an agent and raises StreamClosedError.
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
        self._told_waiting: dict[str, tuple[int, int]] = {}
        self._retries = RatioBudget(settings.root.retry_budget_percent)
        self._hedges = RatioBudget(settings.root.hedge_budget_percent)

    def queued(self, upstream: str) -> int:
        """Return how many tasks wait for a slot of an upstream."""
        queue = self._queues.get(upstream)
        return queue.length if queue else 0

    def open(self, open_job: OpenJob, waiting: list[Task]) -> None:
        """Take a claimed job, queue its waiting tasks and place what can be."""
        job = open_job.job
        self.open_jobs[job.job_id] = open_job
        self.quotas.record_demand(job.submission.team, len(waiting))
        for task in waiting:
            self._enqueue(job, task.index)
        self.place_waiting(job.submission.upstream)

    def resume(self, open_job: OpenJob, waiting: list[Task]) -> None:
        """Take a recovered job, some of whose tasks run already.

        What ended while the recovery still gathered was reported to nobody, so
        the agents are asked once more after all that is out.
        """
        job = open_job.job
        for task in job.tasks:
            for attempt in task.outstanding_attempts():
                self._note_started(job, attempt.agent)
        self.open(open_job, waiting)
        for agent in job.outstanding_agents():
            self._inquire(job, agent)

    def close(self, open_job: OpenJob) -> None:
        """Stop work on a job: take back what its agents still hold."""
        job = open_job.job
        self.open_jobs.pop(job.job_id, None)
        job.placement_closed_reason = job.placement_closed_reason or reasons.SUPERSEDED
        for agent in job.outstanding_agents():
            self._try_send(agent, Withdraw(job.job_id, job.epoch, ()))
        for task in job.tasks:
            for attempt in task.outstanding_attempts():
                self._note_ended(job, attempt.agent)

    def cancel(self, open_job: OpenJob) -> None:
        """Place nothing more of a job; one message to each agent that holds some of it."""
        job = open_job.job
        job.reason = reasons.CANCELLED
        job.stop_placing(reasons.CANCELLED)
        for agent in job.outstanding_agents():
            self._try_send(agent, Withdraw(job.job_id, job.epoch, ()))
        self._settle_if_done(open_job)

    def place_waiting(self, upstream: str) -> None:
        """Place waiting tasks while there are runners for them."""
        queue = self._queues.get(upstream)
        if queue is None or not queue.length and not self._told_waiting.get(upstream, (0, 0))[0]:
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
                self._note_held(job, index)
                blocked.add(job.submission.team)
                continue
            self._order(batches, job, index, view)
        for batch in batches.values():
            self._send_batch(batch)
        self._tell_waiting(upstream, runners)

    def report(self, view: RunnerView, job_id: str, epoch: int, row: TaskRow) -> None:
        """Take one agent row about a task of a job."""
        open_job = self.open_jobs.get(job_id)
        if open_job is not None and epoch > open_job.job.epoch:
            self._on_superseded(open_job, epoch)
            return
        known = open_job is not None and epoch == open_job.job.epoch
        if not known or not self._take_row(open_job, view, row):
            self.metrics.wasted["TaskReport"] += 1
            return
        self._settle_if_done(open_job)

    def mark_agent_lost(self, agent: AgentKey, reason: str) -> None:
        """Give up on all that an agent holds: its life is over or it stays silent."""
        for open_job in list(self.open_jobs.values()):
            concerned = open_job.job.mark_agent_lost(agent, reason)
            for task in concerned:
                self._note_ended(open_job.job, agent)
                self._follow_up(open_job.job, task, reason, started=True)
            if concerned:
                self._settle_if_done(open_job)
        self.place_all_waiting()

    def inquire(self, agent: AgentKey) -> None:
        """Ask a reconnected agent after all attempts that are awaited from it."""
        for open_job in self.open_jobs.values():
            self._inquire(open_job.job, agent)

    def hedge(self) -> None:
        """Start stragglers once more elsewhere, under the hedge budget."""
        percent = self.settings.root.hedge_after_percent
        self._hedges.percent = self.settings.root.hedge_budget_percent
        jobs = [open_job.job for open_job in self.open_jobs.values()]
        for straggler in find_stragglers(jobs, self.run_times, percent, self.timers.now_ms()):
            self._hedge_one(straggler)

    def probe_ejected(self) -> None:
        """Put ejected runners whose time is over on probation."""
        if self._ejector.probe(self.timers.now_ms()):
            self.place_all_waiting()

    def _inquire(self, job: Job, agent: AgentKey) -> None:
        keys = [TaskKey(index, number) for index, number in job.outstanding_at(agent)]
        if keys:
            self._try_send(agent, Inquire(job.job_id, job.epoch, keys))

    def place_all_waiting(self) -> None:
        """Place what can be at every upstream; called at times, as limits refill with time."""
        for upstream in list(self._queues):
            self.place_waiting(upstream)

    def _enqueue(self, job: Job, index: int, front: bool = False) -> None:
        submission = job.submission
        run_time = self.run_times.of(submission.upstream, submission.kind)
        expected_ms = run_time.longest_of_ms(len(job.tasks))
        self._queue(submission.upstream).push(job, index, expected_ms, front)

    def _queue(self, upstream: str) -> FairQueue:
        queue = self._queues.get(upstream)
        if queue is None:
            queue = FairQueue(lambda team: self.settings.for_team(team).team_weight)
            self._queues[upstream] = queue
        return queue

    def _choose(self, job: Job, task: Task, runners: list[RunnerView]) -> RunnerView | None:
        """Return a runner for a task, None if it has to wait; new ones before those that failed."""
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
        """Note one start order and add it to the batch for its runner."""
        free_before = view.free_slots
        number = job.place(index, view.agent, self.timers.now_ms())
        view.sent += 1
        self._note_started(job, view.agent)
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
            figures["drained_zones"] = len(drained)  # why it may have gone elsewhere
        self._note(job, index, code, view.agent.agent_id, **figures)

    def _note_held(self, job: Job, index: int) -> None:
        """Note once that a task waits while zones are drained that might have taken it."""
        held = self.open_jobs[job.job_id].held_for_drain
        drained = self.members.drained_zones(job.submission.upstream)
        if drained and index not in held:
            held.add(index)
            subject = ",".join(drained)
            self._note(job, index, reasons.HELD_ZONE_DRAINED, subject, zones=len(drained))

    def _send_batch(self, batch: _Batch) -> None:
        job = batch.open_job.job
        now_ms = self.timers.now_ms()
        start_by_ms = batch.view.agent_clock_ms(now_ms) + max(0, job.deadline_at_ms - now_ms)
        order = PlaceTasks(job.job_id, job.epoch, start_by_ms, self.settings.version, batch.tasks)
        self._try_send(batch.view.agent, order)

    def _tell_waiting(self, upstream: str, runners: list[RunnerView]) -> None:
        """Tell the agents when tasks begin or cease to wait, so that they share their slots."""
        waiting = self._queues[upstream].length
        told, told_at_ms = self._told_waiting.get(upstream, (0, 0))
        now_ms = self.timers.now_ms()
        changed = (waiting > 0) != (told > 0) or waiting > 2 * told or waiting * 2 < told
        if not changed or waiting and now_ms - told_at_ms < HINT_INTERVAL_MS:
            return
        self._told_waiting[upstream] = (waiting, now_ms)
        for view in runners:
            self._try_send(view.agent, EntryHeartbeat(self.settings.version, waiting))

    def _try_send(self, agent: AgentKey, message: object) -> None:
        """Send; a broken stream is no news here, its loss is handled where it ends."""
        try:
            self._send(agent, message)
        except StreamClosedError:
            self.metrics.wasted[type(message).__name__] += 1

    def _take_row(self, open_job: OpenJob, view: RunnerView, row: TaskRow) -> bool:
        job = open_job.job
        effect = job.report(view.agent, row)
        if effect is ReportEffect.NOTHING:
            return False
        if effect is ReportEffect.ENDED:
            self._note_ended(job, view.agent)
        if row.state != ledger.NEVER_STARTED:
            self._ejector.observe_outcome(view, row.state == ledger.FAILED, self.timers.now_ms())
        if row.reason == ledger.REASON_QUEUE_FULL:
            self.metrics.wasted["PlaceTasks"] += 1
            self.metrics.wasted["TaskReport"] += 1
        if row.state == ledger.DONE:
            self.run_times.of(view.upstream, job.submission.kind).add(row.run_ms)
        task = job.tasks[row.index]
        if not task.is_final:
            started = row.state != ledger.NEVER_STARTED
            self._follow_up(job, task, row.reason, started)
        return True

    def _follow_up(self, job: Job, task: Task, reason: str, started: bool) -> None:
        """Queue a task again after an attempt that did not end it."""
        if task.state != WAITING:
            return
        if started and not self._spend_retry():
            job.settle(task, reasons.RETRY_BUDGET)
            self._note(job, task.index, reasons.RETRY_BUDGET, starts=task.starts)
            return
        code = reasons.RETRIED if started else reasons.RETURNED
        self._note(job, task.index, code, reason, starts=task.starts)
        self._enqueue(job, task.index, front=True)

    def _spend_retry(self) -> bool:
        self._retries.percent = self.settings.root.retry_budget_percent
        return self._retries.spend()

    def _settle_if_done(self, open_job: OpenJob) -> None:
        if open_job.job.is_settled and open_job.job.job_id in self.open_jobs:
            self._on_settled(open_job)

    def _note_started(self, job: Job, agent: AgentKey) -> None:
        view = self.members.find_incarnation(agent)
        if view is not None:
            view.outstanding += 1
        self.quotas.started(job.submission.team)

    def _note_ended(self, job: Job, agent: AgentKey) -> None:
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

    def _note(self, job: Job, index: int, code: str, subject: str = "", **figures: int) -> None:
        self.decisions.record(
            self.timers.wall_ms(),
            job.job_id,
            code,
            self.settings.version,
            task=index,
            subject=subject,
            **figures,
        )
