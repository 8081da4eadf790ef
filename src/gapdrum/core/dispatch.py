"""The owner's decisions: where tasks of its jobs run, and what their ends mean."""

from collections.abc import Callable
from typing import Protocol

import attrs

from gapdrum.budgets import RatioBudget
from gapdrum.core import orders
from gapdrum.core.backlog import OWN_SHARE, Backlog, waiting_work, work_of
from gapdrum.core.jobs import Job, Place, StoredEnd, Task, TaskPhase
from gapdrum.core.models import Resources, RunEnd, RunKey, Step, TaskName
from gapdrum.core.placement_rules import Field, build_field, choose_runner, waiting_order
from gapdrum.core.runner_views import AgentView, RunnerView

# How many jobs that find no room are looked at before the rest is left to the next change:
# smaller ones may still fit, but under overload all of them would be looked at in vain.
HELD_JOBS_TRIED = 8
# How often a task is moved away from where it straggles, and the share of all starts that
# moves may take, so that a slow day does not become a flood of restarts.
MAX_MOVES = 3
MOVE_BUDGET_PERCENT = 15
# How long a job that can't meet its objective any more still waits for room that others leave.
HOPE_MS = 50


class Outside(Protocol):
    """What decisions lead to: messages to agents, and jobs that have come to an end."""

    def send(self, agent: str, message: object) -> bool:
        """Send a message to an agent; return whether its stream took it."""

    def job_ended(self, job: Job) -> None:
        """Store the end of a job."""

    def job_refused(self, job: Job) -> None:
        """Tell the callers of a job that it has not run and will not."""

    def foreign_end(self, place: Place, event: orders.RunEvent) -> None:
        """Find out about an end of a job that this entry does not own."""

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a job is known to have ended."""

    def place_soon(self) -> None:
        """Call ``place_waiting`` once, after what is being read now has been taken in."""

    def note(self, event: str, **fields: object) -> None:
        """Record a decision."""


@attrs.define
class Dispatch:
    """The jobs of this entry and the runners that it sees. The time is given."""

    zone: str
    outside: Outside
    may_act: Callable[[], bool]  # for stored jobs: whether the lease in the store is held
    jobs: dict[str, Job] = attrs.Factory(dict)
    agents: dict[str, AgentView] = attrs.Factory(dict)
    runners: dict[tuple[str, str], RunnerView] = attrs.Factory(dict)
    waiting: set[str] = attrs.Factory(set)
    backlog: Backlog = attrs.Factory(Backlog)
    move_budget: RatioBudget = attrs.Factory(lambda: RatioBudget(MOVE_BUDGET_PERCENT))

    # Jobs.

    def add_job(self, job: Job, now_ms: int) -> None:
        """Take a job over as its owner, and place what can be placed."""
        self.jobs[job.job_id] = job
        self.waiting.add(job.job_id)
        self._check_outcome(job)
        self.outside.place_soon()

    def drop_job(self, job_id: str, reason: str) -> Job | None:
        """Let go of a job that is another's or has ended; its runs are stopped or another's."""
        job = self.jobs.pop(job_id, None)
        self.waiting.discard(job_id)
        if job is not None:
            for task in job.tasks:
                self._take_away(task)
            self.outside.note("job_dropped", request=job_id, epoch=job.epoch, reason=reason)
        return job

    def stop_runs(self, job: Job) -> None:
        """Stop all that runs of a job that has come to its end."""
        for task in list(job.runs_out()):
            self._stop(task.place, task.run)

    def count_waiting(self) -> dict[str, int]:
        """Return how many jobs of each queue have not begun."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.begun and job.ending is None:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    def free_cpu_milli(self) -> int:
        """Return the processor room that is seen as free, in thousandths of a core."""
        return sum(max(0, runner.free.cpu_milli) for runner in self.runners.values())

    # Agents and runners.

    def agent_joined(self, greeting: orders.AgentGreeting, now_ms: int) -> AgentView:
        """Take an agent's new stream."""
        view = self.agents.get(greeting.agent)
        if view is None or view.incarnation != greeting.incarnation:
            view = AgentView(
                greeting.agent, greeting.incarnation, greeting.zone, greeting.clock_ms, now_ms
            )
            self.agents[greeting.agent] = view
        view.connected = True
        view.clock_ms = greeting.clock_ms
        view.heard_ms = now_ms
        for runner in self._runners_of(greeting.agent):
            runner.agent = view
            runner.restart_count()
        self.outside.note("agent_joined", agent=greeting.agent, incarnation=greeting.incarnation)
        return view

    def agent_left(self, view: AgentView) -> None:
        """Note that an agent's stream has ended; what runs there goes on for a while."""
        view.connected = False
        self.outside.note("agent_disconnected", agent=view.agent)

    def take_report(self, view: AgentView, report: orders.RunnerReport, now_ms: int) -> None:
        """Take a runner's state and room."""
        key = (view.agent, report.runner_id)
        runner = self.runners.get(key)
        if runner is None:
            if report.state == orders.GONE:
                return
            place = Place(view.agent, view.incarnation, report.runner_id)
            runner = RunnerView(
                place,
                view,
                report.upstream,
                report.state,
                report.labels,
                report.capacity,
                report.free,
            )
            self.runners[key] = runner
        changed = runner.state != report.state
        runner.take_report(report)
        if changed:
            self.outside.note("runner_state", runner=report.runner_id, state=report.state)
        if report.state == orders.GONE:
            del self.runners[key]
            self._release_all(runner, "runner_gone", now_ms)
        self.outside.place_soon()

    def check_silence(self, now_ms: int) -> None:
        """Give up agents that were silent for so long that nothing runs there any more."""
        for view in list(self.agents.values()):
            if now_ms - view.heard_ms <= orders.SILENCE_LIMIT_MS:
                continue
            del self.agents[view.agent]
            silent_ms = now_ms - view.heard_ms
            self.outside.note("agent_lost", agent=view.agent, silent_ms=silent_ms)
            for runner in self._runners_of(view.agent):
                del self.runners[view.agent, runner.place.runner_id]
                self._release_all(runner, "agent_lost", now_ms)

    def _runners_of(self, agent: str) -> list[RunnerView]:
        return [view for (name, _), view in self.runners.items() if name == agent]

    def _release_all(self, runner: RunnerView, reason: str, now_ms: int) -> None:
        for task in list(runner.out):
            self._release_unproven(task, reason, now_ms)

    def _release_unproven(self, task: Task, reason: str, now_ms: int) -> None:
        """Let a task wait again whose last run is over, and may have begun."""
        job = self.jobs.get(task.name.job_id)
        if job is not None:
            job.begun = True
        self._release(task, reason, now_ms)

    # Runs.

    def take_events(self, view: AgentView, message: orders.RunEvents, now_ms: int) -> None:
        """Take what happened to runs."""
        place = Place(view.agent, view.incarnation, message.runner_id)
        for event in message.events:
            self._take_event(place, event, now_ms)
        self.outside.place_soon()

    def _take_event(self, place: Place, event: orders.RunEvent, now_ms: int) -> None:
        name = TaskName.parse(event.task)
        job = self.jobs.get(name.job_id)
        if job is None:
            if event.kind == orders.ENDED:
                self.outside.foreign_end(place, event)
            return
        task = job.by_name.get(name)
        if task is None:
            return
        if event.kind == orders.ENDED:
            self._take_end(job, task, place, event, now_ms)
        elif event.attempt != task.attempt:
            return
        elif event.kind == orders.STARTED:
            self._note_started(job, task, now_ms)
        elif event.kind == orders.STRAGGLING:
            self._note_started(job, task, now_ms)
            self._move(job, task, event, now_ms)
        elif event.detail == orders.JOB_SUPERSEDED:
            self.drop_job(job.job_id, event.detail)
        elif event.kind == orders.NOT_STARTED:
            self._release(task, event.detail, now_ms)
        else:
            job.begun = True
            self._release(task, event.detail, now_ms)

    def lose_job(self, lost: orders.JobLost) -> None:
        """Let go of a job that another entry has claimed."""
        job = self.jobs.get(lost.job_id)
        if job is not None and job.epoch < lost.epoch:
            self.drop_job(lost.job_id, "claimed_by_another")

    def _note_started(self, job: Job, task: Task, now_ms: int) -> None:
        if task.phase is TaskPhase.ORDERED:
            task.phase = TaskPhase.RUNNING
            task.started_ms = now_ms
            job.begun = True
            self.outside.note(
                "task_started",
                request=job.job_id,
                task=task.name.text,
                attempt=task.attempt,
                runner=task.place.runner_id,
            )

    def _take_end(
        self, job: Job, task: Task, place: Place, event: orders.RunEvent, now_ms: int
    ) -> None:
        end = RunEnd(event.detail)
        self.outside.note(
            "task_ended",
            request=job.job_id,
            task=event.task,
            attempt=event.attempt,
            end=event.detail,
            runner=place.runner_id,
            ran_ms=now_ms - task.started_ms if task.started_ms else 0,
        )
        if event.attempt != task.attempt and end is RunEnd.DONE:
            if job.kept:
                self._let_go_outrun(place, event.end_number)
                return
            self._stop_if_out(task)
        job.begun = True
        if task.phase is not TaskPhase.DONE:
            if end is RunEnd.DONE or event.attempt == task.attempt:
                self._take_away(task)
            if end is RunEnd.FAILED:
                task.avoided.add(place.runner_id)
            job.take_end(task, event.attempt, end, now_ms)
        if job.kept and end in (RunEnd.DONE, RunEnd.FAILED):
            self._remember_end(job, StoredEnd(place, event.end_number))
        self.waiting.add(job.job_id)
        self._check_outcome(job)

    @staticmethod
    def _remember_end(job: Job, end: StoredEnd) -> None:
        if end not in job.unstored_ends:
            job.unstored_ends.append(end)

    def let_go(self, place: Place, numbers: tuple[int, ...]) -> None:
        """Tell an agent that ends need not be kept at the runner."""
        self.outside.send(place.agent, orders.EndsStored(place.runner_id, numbers, ()))

    def _let_go_outrun(self, place: Place, number: int) -> None:
        self.outside.send(place.agent, orders.EndsStored(place.runner_id, (), (number,)))

    def let_go_stored(self, job: Job, ends: list[StoredEnd]) -> None:
        """Tell the agents that ends of a job are stored."""
        by_place: dict[Place, list[int]] = {}
        for end in ends:
            by_place.setdefault(end.place, []).append(end.number)
        for place, numbers in by_place.items():
            self.let_go(place, tuple(numbers))
        job.unstored_ends = [end for end in job.unstored_ends if end not in ends]

    def _release(self, task: Task, reason: str, now_ms: int) -> None:
        job = self.jobs.get(task.name.job_id)
        if job is None or task.phase not in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            return
        self.outside.note(
            "task_released",
            request=job.job_id,
            task=task.name.text,
            attempt=task.attempt,
            runner=task.place.runner_id,
            reason=reason,
        )
        if task.phase is TaskPhase.ORDERED:
            self.backlog.note_returned(_work(task), now_ms)
        self._take_away(task)
        job.release(task, now_ms)
        self.waiting.add(job.job_id)

    def _take_away(self, task: Task) -> None:
        """Take a task off the runner that it was placed at."""
        if task.place is None:
            return
        runner = self.runners.get((task.place.agent, task.place.runner_id))
        if runner is not None:
            runner.out.discard(task)

    def _move(self, job: Job, task: Task, event: orders.RunEvent, now_ms: int) -> None:
        """Stop a run that straggles, so that it is placed anew, if that is likely to help."""
        task.avoided.add(task.place.runner_id)
        field = build_field(self.runners.values(), job.upstream)
        target = choose_runner(job, task, field, self.zone, now_ms)
        has_room = target is not None and target.place.runner_id not in task.avoided
        # A run that stands still may as well wait: it would not end where it is.
        worth_it = has_room or event.detail == orders.STANDS_STILL
        may_move = task.moves < MAX_MOVES and worth_it and self.move_budget.spend()
        self.outside.note(
            "task_straggles",
            request=job.job_id,
            task=task.name.text,
            attempt=task.attempt,
            runner=task.place.runner_id,
            reason=event.detail,
            percent=event.percent,
            moved=may_move,
        )
        if may_move:
            task.moves += 1
            self._stop(task.place, task.run)

    def _stop_if_out(self, task: Task) -> None:
        if task.phase in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            self._stop(task.place, task.run)

    def _stop(self, place: Place, run: RunKey) -> None:
        named = orders.NamedRun(run.task.text, run.attempt)
        self.outside.send(place.agent, orders.StopOrder(place.runner_id, (named,)))
        self.outside.note(
            "task_stop_ordered",
            request=run.task.job_id,
            task=run.task.text,
            attempt=run.attempt,
            runner=place.runner_id,
        )

    # What agents hold.

    def take_holdings(self, view: AgentView, holdings: orders.Holdings, now_ms: int) -> None:
        """Compare what an agent holds with what is expected there."""
        place = Place(view.agent, view.incarnation, holdings.runner_id)
        held = {(row.task, row.attempt) for row in holdings.runs}
        adopted = []
        for row in holdings.runs:
            adopted.extend(self._take_held(place, row, now_ms))
        if adopted:
            message = orders.AdoptRuns(holdings.runner_id, tuple(adopted))
            self.outside.send(view.agent, message)
        runner = self.runners.get((view.agent, holdings.runner_id))
        if runner is not None and not holdings.jobs:
            for task in list(runner.out):
                if (task.name.text, task.attempt) not in held:
                    self._release_unproven(task, "not_held", now_ms)
            runner.synced = True
        self.outside.place_soon()

    def _take_held(self, place: Place, row: orders.HeldRun, now_ms: int) -> list[orders.AdoptedRun]:
        name = TaskName.parse(row.task)
        job = self.jobs.get(name.job_id)
        task = job.by_name.get(name) if job is not None else None
        if row.phase == orders.HELD_ENDED:
            event = orders.RunEvent(
                row.task, row.attempt, row.epoch, orders.ENDED, row.detail, row.end_number
            )
            if task is not None and task.phase is TaskPhase.UNKNOWN:
                task.attempt = max(task.attempt, row.attempt)
            self._take_event(place, event, now_ms)
            return []
        if task is None:
            if self.outside.has_ended(name.job_id):
                self._stop(place, RunKey(name, row.attempt))
            return []
        if not self._is_expected(task, place, row):
            self._stop(place, RunKey(name, row.attempt))
            return []
        self._place_at(job, task, place, row.attempt, now_ms)
        room = task.step.resources
        return [
            orders.AdoptedRun(
                row.task,
                row.attempt,
                job.epoch,
                job.kept,
                room.cpu_milli,
                room.memory_mb,
                room.accelerators,
            )
        ]

    @staticmethod
    def _is_expected(task: Task, place: Place, row: orders.HeldRun) -> bool:
        if task.phase is TaskPhase.UNKNOWN:
            return row.attempt >= task.attempt
        if task.phase not in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            return False
        same_runner = task.place.runner_id == place.runner_id
        return same_runner and task.attempt == row.attempt

    def _place_at(self, job: Job, task: Task, place: Place, attempt: int, now_ms: int) -> None:
        if task.phase is TaskPhase.UNKNOWN:
            self.outside.note(
                "task_adopted",
                request=job.job_id,
                task=task.name.text,
                attempt=attempt,
                runner=place.runner_id,
            )
            task.phase = TaskPhase.RUNNING
            task.started_ms = now_ms
            job.begun = True
        task.attempt = attempt
        task.place = place
        runner = self.runners.get((place.agent, place.runner_id))
        if runner is not None:
            runner.out.add(task)

    def settle_unknown(self, now_ms: int) -> None:
        """Let tasks of taken-over jobs wait again once no run of them can be left."""
        for job in self.jobs.values():
            if not job.unknown_until_ms or now_ms < job.unknown_until_ms:
                continue
            job.unknown_until_ms = 0
            for task in job.tasks:
                if task.phase is TaskPhase.UNKNOWN:
                    job.release(task, now_ms)
            self.waiting.add(job.job_id)

    # Overload.

    def expected_wait_ms(self, steps: tuple[Step, ...], latest_start_ms: int, now_ms: int) -> int:
        """Return how long a new job would wait for room behind those that must start before it."""
        if not self.waiting:
            return 0
        jobs = (self.jobs[job_id] for job_id in self.waiting)
        ahead = waiting_work(jobs, latest_start_ms) + OWN_SHARE * work_of(steps)
        return self.backlog.wait_ms(ahead, now_ms)

    def refuse_hopeless(self, now_ms: int) -> None:
        """Give up waiting jobs that no longer can meet their objective and have not begun."""
        for job_id in list(self.waiting):
            job = self.jobs[job_id]
            if job.kept or not job.untouched or now_ms <= job.latest_start_ms + HOPE_MS:
                continue
            waited_ms = now_ms - job.accepted_ms
            self.outside.note(
                "job_given_up", request=job_id, waited_ms=waited_ms, objective_ms=job.objective_ms
            )
            self.outside.job_refused(job)
            self.drop_job(job_id, "no_room_in_time")

    # Placement.

    def place_waiting(self, now_ms: int) -> None:
        """Place the waiting tasks that find room, the most urgent first."""
        if not self.waiting:
            return
        may_act = self.may_act()
        fields: dict[str, Field] = {}
        jobs = [self.jobs[job_id] for job_id in self.waiting]
        jobs.sort(key=lambda job: waiting_order(job, now_ms))
        held = 0
        for job in jobs:
            if job.kept and not may_act:
                continue
            if job.upstream not in fields:
                fields[job.upstream] = build_field(self.runners.values(), job.upstream)
            if job.ending is not None or not self._place_job(job, fields[job.upstream], now_ms):
                self.waiting.discard(job.job_id)
                continue
            held += 1
            if held >= HELD_JOBS_TRIED:
                return

    def _place_job(self, job: Job, field: Field, now_ms: int) -> bool:
        """Place what can be placed of a job; return whether some of it still waits."""
        chosen: dict[tuple[str, str], list[Task]] = {}
        held = False
        refused = None
        ready = job.ready_tasks()
        for task in ready:
            runner = choose_runner(job, task, field, self.zone, now_ms)
            if runner is None:
                held = True
                self._note_held(job, task)
                if task.step.resources == refused:
                    break
                refused = task.step.resources
                continue
            self._assign(job, task, runner, now_ms)
            chosen.setdefault((runner.place.agent, runner.place.runner_id), []).append(task)
        for key, tasks in chosen.items():
            self._send_order(job, self.runners[key], tasks, now_ms)
        return held or any(task.phase is TaskPhase.WAITING for task in ready)

    def _note_held(self, job: Job, task: Task) -> None:
        if not task.held_noted:
            task.held_noted = True
            self.outside.note(
                "task_held", request=job.job_id, task=task.name.text, reason="no_room"
            )

    def _assign(self, job: Job, task: Task, runner: RunnerView, now_ms: int) -> None:
        task.attempt = job.next_attempt(task)
        task.phase = TaskPhase.ORDERED
        task.place = runner.place
        task.changed_ms = now_ms
        task.started_ms = 0
        runner.order(task.step.resources)
        self.backlog.note_placed(_work(task), now_ms)
        self.move_budget.earn()
        runner.out.add(task)

    def _send_order(self, job: Job, runner: RunnerView, tasks: list[Task], now_ms: int) -> None:
        runs = tuple(_ordered_run(task, task.step.resources) for task in tasks)
        order = orders.StartOrder(
            runner.place.runner_id,
            job.job_id,
            job.epoch,
            job.spec,
            runner.agent.clock_ms,
            job.kept,
            runs,
        )
        sent = self.outside.send(runner.place.agent, order)
        for task in tasks:
            self.outside.note(
                "task_placed",
                request=job.job_id,
                task=task.name.text,
                attempt=task.attempt,
                runner=runner.place.runner_id,
                free_cpu_milli=runner.free.cpu_milli,
                heard_ms_ago=now_ms - runner.agent.heard_ms,
            )
            if not sent:
                self._release(task, "stream_closed", now_ms)

    def _check_outcome(self, job: Job) -> None:
        if job.ending is not None:
            return
        outcome = job.outcome()
        if outcome is not None:
            job.ending = outcome
            self.waiting.discard(job.job_id)
            self.outside.job_ended(job)


def _work(task: Task) -> int:
    return task.step.resources.cpu_milli * task.step.estimate_ms


def _ordered_run(task: Task, room: Resources) -> orders.OrderedRun:
    return orders.OrderedRun(
        task.name.step,
        task.name.index,
        task.attempt,
        room.cpu_milli,
        room.memory_mb,
        room.accelerators,
        task.step.estimate_ms,
    )
