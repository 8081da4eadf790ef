"""Which waiting task goes where, and how long a new one would wait."""

import random
from collections import Counter
from collections.abc import Callable

import attrs

from gapdrum.core import orders
from gapdrum.core.backlog import (
    OWN_WORK_SHARE,
    Backlog,
    tasks_ahead,
    waiting_work,
    work_of,
    work_of_task,
)
from gapdrum.core.effects import Effects
from gapdrum.core.expected_end import distance
from gapdrum.core.fleet import Fleet
from gapdrum.core.fleet_speeds import measure_speeds
from gapdrum.core.jobs import Job, Place, Task, TaskPhase
from gapdrum.core.models import Step
from gapdrum.core.placement_rules import (
    RunnerPool,
    build_pool,
    choose_runner,
    could_hold,
    may_ever_fit,
    urgency_of,
    waiting_order,
    waits_for_better,
)
from gapdrum.core.queue_demand import DemandMeter
from gapdrum.core.runner_views import RunnerView
from gapdrum.core.stragglers import MoveContext, MoveDecision, StragglerPolicy
from gapdrum.core.task_durations import TaskDurations

# How many jobs of an upstream that find no room are looked at before its others are left to the
# next change: smaller ones may still fit, but under overload all would be looked at in vain. Jobs
# that no runner could ever hold do not count, or a few of them would hold up all others.
HELD_JOBS_TRIED = 8
# While no runner has room, all waiting jobs are judged anew this often.
TRY_INTERVAL_MS = 20
TYPICAL = 0.5  # the quantile of durations that is expected of a task
# Agents that start together with an entry are there after 0.7 s, their runners' room 1.5 s later.
WARM_UP_MS = 2_500


@attrs.define
class Placer:
    """The jobs that wait, and the orders that they lead to. The time is given."""

    zone: str
    effects: Effects
    holds_lease: Callable[[], bool]  # for stored jobs: whether the lease in the store is held
    fleet: Fleet
    jobs: dict[str, Job]
    started_ms: int
    rng: random.Random
    far_factor: float = 1.0  # how much longer a task takes away from its data's rack
    durations: TaskDurations = attrs.Factory(TaskDurations)
    stragglers: StragglerPolicy = attrs.Factory(
        lambda self: StragglerPolicy(self.far_factor), takes_self=True
    )
    waiting: set[str] = attrs.Factory(set)
    backlog: Backlog = attrs.Factory(Backlog)
    meter: DemandMeter = attrs.Factory(DemandMeter)
    _untried: bool = False
    _tried_ms: int = 0
    demand: tuple[orders.UpstreamDemand, ...] = ()  # of the jobs that found no room, lately

    def expected_wait_ms(
        self, steps: tuple[Step, ...], priority: int, begin_by_ms: int, now_ms: int
    ) -> int:
        """Return how long a new job would wait for room behind those that go before it."""
        if not self.waiting:
            return 0
        jobs = (self.jobs[job_id] for job_id in self.waiting)
        ahead = waiting_work(jobs, priority, begin_by_ms) + OWN_WORK_SHARE * work_of(steps)
        return self.backlog.wait_ms(ahead, now_ms)

    def fits_now(
        self,
        upstream: str,
        steps: tuple[Step, ...],
        priority: int,
        begin_by_ms: int,
        now_ms: int,
    ) -> bool:
        """Tell whether the free room holds a new job, and all that waits for it before that job.

        Room counts in whole tasks of the new job: what is left over at full runners is of no use.
        """
        largest_cpu_milli = max(step.resources.cpu_milli for step in steps)
        if not largest_cpu_milli:
            return False
        jobs = [job for job in map(self.jobs.get, self.waiting) if job.upstream == upstream]
        ahead = tasks_ahead(jobs, priority, begin_by_ms)
        needed = sum(task.step.resources.cpu_milli for task in ahead)
        needed += sum(step.tasks * step.resources.cpu_milli for step in steps)
        field = self._build_field(upstream, largest_cpu_milli)
        free = sum(
            view.free.cpu_milli // largest_cpu_milli
            for view in field.with_room
            if view.state == orders.READY and not view.agent.is_stale(now_ms)
        )
        return free * largest_cpu_milli >= needed

    def is_unschedulable(self, upstream: str, steps: tuple[Step, ...]) -> bool:
        """Tell whether a job could run in drained zones only, by the runners that are known.

        Such a job would wait until it is given up, half of its slack later, and then be refused.
        """
        if not self.fleet.drained_zones:
            return False
        known = [one for one in self.fleet.runners.values() if one.upstream == upstream]
        opened = [one for one in self.fleet.open_runners() if one.upstream == upstream]
        return any(
            any(could_hold(one, step) for one in known)
            and not any(could_hold(one, step) for one in opened)
            for step in steps
        )

    def list_unmeetable(self, now_ms: int) -> list[Job]:
        """Return waiting jobs that no longer can meet their objective and have not begun.

        While the runners are still being found, room may come any moment, so these jobs wait
        for as long as they are of use.
        """
        warming_up = now_ms < self.started_ms + WARM_UP_MS
        return [
            job
            for job in (self.jobs[job_id] for job_id in self.waiting)
            if not job.durable
            and job.is_unstarted
            and now_ms > (job.firm_deadline_ms if warming_up else job.begin_by_ms)
        ]

    def enqueue(self, job: Job) -> None:
        """Let a job wait whose tasks have not been tried yet."""
        self.waiting.add(job.job_id)
        self._untried = True

    def place_waiting(self, now_ms: int) -> None:
        """Place the waiting tasks that find room, the most urgent first."""
        if not self.waiting:
            self.demand = ()
            return
        jobs = [self.jobs[job_id] for job_id in self.waiting]
        fields = self._build_fields(jobs)
        if self._may_skip(fields, now_ms):
            return
        self._untried = False
        self._tried_ms = now_ms
        self._try_all(jobs, fields, now_ms)

    def _build_fields(self, jobs: list[Job]) -> dict[str, RunnerPool]:
        """Return the runners of each upstream for which a job waits."""
        least_cpu_milli: dict[str, int] = {}
        for job in jobs:
            least = least_cpu_milli.get(job.upstream, job.least_cpu_milli)
            least_cpu_milli[job.upstream] = min(least, job.least_cpu_milli)
        return {name: self._build_field(name, least) for name, least in least_cpu_milli.items()}

    def _build_field(self, upstream: str, least_cpu_milli: int = 0) -> RunnerPool:
        runners = self.fleet.open_runners()
        return build_pool(runners, upstream, least_cpu_milli, self.far_factor)

    def _may_skip(self, fields: dict[str, RunnerPool], now_ms: int) -> bool:
        """Tell whether trying all jobs would be in vain: under overload most reports bring none."""
        has_room = any(field.with_room for field in fields.values())
        return not has_room and not self._untried and now_ms - self._tried_ms < TRY_INTERVAL_MS

    def _try_all(self, jobs: list[Job], fields: dict[str, RunnerPool], now_ms: int) -> None:
        holds_lease = self.holds_lease()
        first_held: dict[str, Job] = {}
        held: Counter[str] = Counter()
        for job in sorted(jobs, key=lambda job: waiting_order(job, now_ms)):
            if job.durable and not holds_lease or held[job.upstream] >= HELD_JOBS_TRIED:
                continue
            if not job.may_start(now_ms):
                continue
            field = fields[job.upstream]
            if job.ending is not None or not self._place_job(job, field, now_ms):
                self.waiting.discard(job.job_id)
                continue
            ready = job.ready_tasks()
            if any(waits_for_better(job, task, field, now_ms) for task in ready):
                continue  # it leaves room unused where it would end late, and holds up nobody
            if any(may_ever_fit(task, field) for task in ready):
                held[job.upstream] += 1
                first_held.setdefault(job.upstream, job)  # the most urgent one
        waiting = Counter(job.upstream for job in jobs)
        least = self._least_waiting(jobs)
        self.demand = tuple(
            orders.UpstreamDemand(
                name, urgency_of(job, now_ms), waiting[name], least[name], job.queue
            )
            for name, job in first_held.items()
        )

    def _least_waiting(self, jobs: list[Job]) -> dict[str, int]:
        """Return the processor room of the smallest task that waits, by upstream."""
        least: dict[str, int] = {}
        for job in jobs:
            if job.job_id in self.waiting:
                known = least.get(job.upstream, job.least_cpu_milli)
                least[job.upstream] = min(known, job.least_cpu_milli)
        return least

    def _place_job(self, job: Job, field: RunnerPool, now_ms: int) -> bool:
        """Place what can be placed of a job; return whether some of it still waits."""
        chosen: dict[Place, list[Task]] = {}
        held = False
        refused = None
        ready = job.ready_tasks()
        for task in ready:
            runner = choose_runner(job, task, field, self.zone, now_ms, self.rng)
            if runner is None:
                held = True
                self._note_held(job, task, field, now_ms)
                if task.step.resources == refused:
                    break
                refused = task.step.resources
                continue
            task.slowness = field.speeds.of(runner) * distance(task.step, runner, self.far_factor)
            self._assign(job, task, runner, now_ms)
            chosen.setdefault(runner.place, []).append(task)
        for key, tasks in chosen.items():
            self._send_order(job, self.fleet.runners[key], tasks, now_ms)
        return held or any(task.phase is TaskPhase.WAITING for task in ready)

    def _note_held(self, job: Job, task: Task, field: RunnerPool, now_ms: int) -> None:
        if not task.hold_logged:
            task.hold_logged = True
            reason = self._why_held(job, task, field, now_ms)
            self.effects.note("task_held", request=job.job_id, task=task.name.text, reason=reason)

    @staticmethod
    def _why_held(job: Job, task: Task, field: RunnerPool, now_ms: int) -> str:
        """Return why a task waits: it leaves room unused, the room is kept, or there is none."""
        if waits_for_better(job, task, field, now_ms):
            return "late_where_room_is"
        room = task.step.resources
        kept = any(view.is_kept_from(job.queue, room) for view in field.with_room)
        return orders.ROOM_KEPT if kept else orders.NO_ROOM

    def _assign(self, job: Job, task: Task, runner: RunnerView, now_ms: int) -> None:
        task.attempt = job.next_attempt(task)
        task.phase = TaskPhase.ORDERED
        task.assign_place(runner.place)
        task.incarnation_by_attempt[task.attempt] = runner.agent.incarnation
        task.started_ms = 0
        runner.order(task.step.resources)
        self.backlog.record_placed(work_of_task(task), now_ms)
        self.stragglers.budget.earn()
        runner.out.add(task)

    def _send_order(self, job: Job, runner: RunnerView, tasks: list[Task], now_ms: int) -> None:
        runs = tuple(
            _ordered_run(task, distance(task.step, runner, self.far_factor)) for task in tasks
        )
        order = orders.StartOrder(
            runner.place.runner_id,
            job.job_id,
            job.epoch,
            job.spec,
            runner.agent.clock_ms,
            job.durable,
            runs,
            job.queue,
            job.priority,
            job.submission,
        )
        sent = self.effects.send(runner.place.agent, order)
        for task in tasks:
            self.effects.note(
                "task_placed",
                request=job.job_id,
                task=task.name.text,
                attempt=task.attempt,
                runner=runner.place.runner_id,
                free_cpu_milli=runner.free.cpu_milli,
                heard_ms_ago=now_ms - runner.agent.heard_ms,
                slowness_permille=runner.slowness_permille,
                near=distance(task.step, runner, self.far_factor) == 1.0,
                expected_ms=self._expected_ms(job, task),
            )
            if not sent:
                self.release(job, task, "stream_closed", now_ms)

    def _expected_ms(self, job: Job, task: Task) -> int:
        """Return how long a task is expected to take where it was placed."""
        typical = self.durations.factor(job.queue, TYPICAL)
        return int(task.step.estimate_ms * task.slowness * typical)

    def release(self, job: Job, task: Task, reason: str, now_ms: int) -> None:
        """Let a task wait again whose last start came to nothing."""
        if task.phase not in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            return
        self.effects.note(
            "task_released",
            request=job.job_id,
            task=task.name.text,
            attempt=task.attempt,
            runner=task.place.runner_id,
            reason=reason,
        )
        if task.phase is TaskPhase.ORDERED:
            self.backlog.record_returned(work_of_task(task), now_ms)
        self.fleet.unassign(task)
        job.release(task)
        self.waiting.add(job.job_id)

    def count_uneven_runners(self) -> int:
        """Return how many runners are known to differ in speed so far that placement heeds it."""
        by_upstream: dict[str, list[RunnerView]] = {}
        for runner in self.fleet.open_runners():
            by_upstream.setdefault(runner.upstream, []).append(runner)
        return sum(len(measure_speeds(views).relative) for views in by_upstream.values())

    def judge_straggler(
        self, job: Job, task: Task, event: orders.RunEvent, now_ms: int
    ) -> MoveDecision:
        """Tell whether a run that straggles is to be placed anew, and count the move."""
        task.avoided.add(task.place.runner_id)
        field = self._build_field(job.upstream)
        there = choose_runner(job, task, field, self.zone, now_ms, self.rng)
        if there is not None and there.place.runner_id in task.avoided:
            there = None
        here = self.fleet.runners.get(task.place)
        sight = MoveContext(here, there, field.speeds)
        return self.stragglers.judge(job.queue, task, event, sight)


def _ordered_run(task: Task, distance_factor: float) -> orders.OrderedRun:
    room = task.step.resources
    return orders.OrderedRun(
        task.name.step,
        task.name.index,
        task.attempt,
        room.cpu_milli,
        room.memory_mb,
        room.accelerators,
        int(task.step.estimate_ms * distance_factor),
    )
