"""The placement of waiting tasks on runners, and the expected wait of new jobs."""

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

# A placement pass skips the other jobs of an upstream that need the same labels once so many found
# no room: smaller ones may still fit, but under overload trying all is wasted work. Jobs that no
# runner could ever hold do not count, or a few of them would block all others.
MAX_DEFERRED_JOBS = 8
# A pass skips the other tasks of a step once so many found no room, as they ask for the same.
MAX_REFUSED_TASKS = 2
# Minimum interval of placement passes while no runner has room.
TRY_INTERVAL_MS = 20
# Interval of attempts to place a job whose placement has failed.
FAILED_RETRY_MS = 1_000
# Why a task is held that must run alone.
NO_IDLE_RUNNER = "no_idle_runner"
MEDIAN = 0.5  # the quantile of the queue's durations that a task is expected to take
# Agents that start together with an entry join after 0.7 s and report free room 1.5 s later.
WARM_UP_MS = 2_500


@attrs.define
class Placer:
    """Places waiting tasks on runners and sends the start orders. Callers pass the time."""

    zone: str
    effects: Effects
    holds_lease: Callable[[], bool]  # whether the entry holds its lease; else no durable job starts
    fleet: Fleet
    jobs: dict[str, Job]
    started_ms: int
    rng: random.Random
    far_factor: float = 1.0  # how many times as long a task takes off its data's rack
    durations: TaskDurations = attrs.Factory(TaskDurations)
    stragglers: StragglerPolicy = attrs.Factory(
        lambda self: StragglerPolicy(self.far_factor), takes_self=True
    )
    waiting: set[str] = attrs.Factory(set)  # jobs with tasks to place, begun jobs included
    backlog: Backlog = attrs.Factory(Backlog)
    meter: DemandMeter = attrs.Factory(DemandMeter)
    _has_new_jobs: bool = False
    _last_pass_ms: int = 0
    demand: tuple[orders.UpstreamDemand, ...] = ()  # of the jobs without room in the last pass

    def expected_wait_ms(
        self, steps: tuple[Step, ...], priority: int, begin_by_ms: int, now_ms: int
    ) -> int:
        """Return how long a new job would wait for room behind the jobs placed before it.

        The waiting work and its rate of placement are of all upstreams together.
        """
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
        """Tell whether an upstream's free room holds a new job and the waiting tasks before it.

        Free room counts in multiples of the job's largest task: smaller remainders are no use.
        """
        largest_cpu_milli = max(step.resources.cpu_milli for step in steps)
        if not largest_cpu_milli:
            return False
        jobs = [job for job in map(self.jobs.get, self.waiting) if job.upstream == upstream]
        ahead = tasks_ahead(jobs, priority, begin_by_ms)
        needed = sum(task.step.resources.cpu_milli for task in ahead)
        needed += sum(step.tasks * step.resources.cpu_milli for step in steps)
        pool = self._build_pool(upstream, largest_cpu_milli)
        free = sum(
            view.free.cpu_milli // largest_cpu_milli
            for view in pool.with_room
            if view.state == orders.READY and not view.agent.is_stale(now_ms)
        )
        return free * largest_cpu_milli >= needed

    def is_unschedulable(self, upstream: str, steps: tuple[Step, ...]) -> bool:
        """Tell whether only known runners in drained zones can hold one of a job's steps.

        Such a job would wait for half of its slack and then be refused.
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
        """Return the non-durable, unstarted jobs that are unlikely to meet their latency objective.

        While agents join after the entry's start, room may appear at any moment, so such jobs
        wait until their firm deadline.
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
        """Queue a job with tasks that no placement pass has tried yet, if it is still open."""
        if self._add_waiting(job):
            self._has_new_jobs = True

    def _add_waiting(self, job: Job) -> bool:
        """Queue a job; return whether it is open, as it may have been dropped meanwhile."""
        is_open = self.jobs.get(job.job_id) is job
        if is_open:
            self.waiting.add(job.job_id)
        return is_open

    def place_waiting(self, now_ms: int) -> None:
        """Place the waiting tasks that find room, those of the most urgent jobs first."""
        if not self.waiting:
            self.demand = ()
            return
        jobs = [self.jobs[job_id] for job_id in self.waiting]
        pools = self._build_pools(jobs)
        if self._can_skip_pass(pools, now_ms):
            return
        self._has_new_jobs = False
        self._last_pass_ms = now_ms
        self._place_all(jobs, pools, now_ms)

    def _build_pools(self, jobs: list[Job]) -> dict[str, RunnerPool]:
        """Return the runner pool of each upstream for which a job waits."""
        least_cpu_milli: dict[str, int] = {}
        for job in jobs:
            least = least_cpu_milli.get(job.upstream, job.least_cpu_milli)
            least_cpu_milli[job.upstream] = min(least, job.least_cpu_milli)
        return {name: self._build_pool(name, least) for name, least in least_cpu_milli.items()}

    def _build_pool(self, upstream: str, least_cpu_milli: int = 0) -> RunnerPool:
        runners = self.fleet.open_runners()
        return build_pool(runners, upstream, least_cpu_milli, self.far_factor)

    def _can_skip_pass(self, pools: dict[str, RunnerPool], now_ms: int) -> bool:
        """Tell whether a pass can place nothing: under overload most reports bring no room."""
        has_room = any(pool.with_room for pool in pools.values())
        return (
            not has_room
            and not self._has_new_jobs
            and now_ms - self._last_pass_ms < TRY_INTERVAL_MS
        )

    def _place_all(self, jobs: list[Job], pools: dict[str, RunnerPool], now_ms: int) -> None:
        holds_lease = self.holds_lease()
        most_urgent: dict[str, Job] = {}
        deferred: Counter[tuple[str, frozenset[str]]] = Counter()
        for job in sorted(jobs, key=lambda job: waiting_order(job, now_ms)):
            needs = job.upstream, job.labels
            if job.durable and not holds_lease or deferred[needs] >= MAX_DEFERRED_JOBS:
                continue
            if not job.may_start(now_ms) or now_ms < job.place_from_ms:
                continue
            try:
                lacks_room = self._place_or_keep(job, pools[job.upstream], now_ms)
            except Exception as error:  # a bug that one job reveals must not hold up the others
                job.place_from_ms = now_ms + FAILED_RETRY_MS
                self.effects.note("placement_failed", request=job.job_id, error=repr(error)[:300])
                continue
            if lacks_room:
                deferred[needs] += 1
                most_urgent.setdefault(job.upstream, job)  # jobs come in order of urgency
        waiting = Counter(job.upstream for job in jobs)
        least = self._least_waiting(jobs)
        self.demand = tuple(
            orders.UpstreamDemand(
                name, urgency_of(job, now_ms), waiting[name], least[name], job.queue
            )
            for name, job in most_urgent.items()
        )

    def _place_or_keep(self, job: Job, pool: RunnerPool, now_ms: int) -> bool:
        """Place the tasks of a job; return whether one of them waits for room that may come."""
        if job.ending is not None or not self._place_job(job, pool, now_ms):
            self.waiting.discard(job.job_id)
            return False
        # Freed room is of no use to a task that needs an idle runner.
        ready = [task for task in job.ready_tasks() if not task.must_run_alone(now_ms)]
        if any(waits_for_better(job, task, pool, now_ms) for task in ready):
            return False  # it could be placed where it would end late; others may use that room
        return any(may_ever_fit(task, pool) for task in ready)

    def _least_waiting(self, jobs: list[Job]) -> dict[str, int]:
        """Return the processor room of the smallest task that waits, by upstream."""
        least: dict[str, int] = {}
        for job in jobs:
            if job.job_id in self.waiting:
                known = least.get(job.upstream, job.least_cpu_milli)
                least[job.upstream] = min(known, job.least_cpu_milli)
        return least

    def _place_job(self, job: Job, pool: RunnerPool, now_ms: int) -> bool:
        """Place the ready tasks of a job that find room; return whether others still wait."""
        chosen: dict[Place, list[Task]] = {}
        deferred = False
        refused: Counter[int] = Counter()  # tasks without room, by step
        ready = job.ready_tasks()
        for task in ready:
            if task.must_run_alone(now_ms):
                deferred |= not self._place_alone(job, task, now_ms)
                continue
            if refused[task.name.step] >= MAX_REFUSED_TASKS:
                continue
            runner = choose_runner(job, task, pool, self.zone, now_ms, self.rng)
            if runner is None:
                deferred = True
                self._log_deferral(job, task, pool, now_ms)
                refused[task.name.step] += 1
                continue
            task.slowness = pool.speeds.of(runner) * distance(task.step, runner, self.far_factor)
            self._assign(job, task, runner, now_ms)
            chosen.setdefault(runner.place, []).append(task)
        for key, tasks in chosen.items():
            self._send_order(job, self.fleet.runners[key], tasks, now_ms)
        return deferred or any(task.phase is TaskPhase.WAITING for task in ready)

    def _place_alone(self, job: Job, task: Task, now_ms: int) -> bool:
        """Order a task at an idle runner that takes nothing else meanwhile; return whether one is.

        Runners crash under some tasks. Only one that runs alone shows which task it is.
        """
        idle = [view for view in self.fleet.open_runners() if view.is_idle]
        pool = build_pool(idle, job.upstream, task.step.resources.cpu_milli, self.far_factor)
        runner = choose_runner(job, task, pool, self.zone, now_ms, self.rng)
        if runner is None:
            if not task.hold_logged:
                task.hold_logged = True
                self._note_held(job, task, NO_IDLE_RUNNER)
            return False
        self._assign(job, task, runner, now_ms, exclusive=True)
        task.exclusive_attempts.add(task.attempt)
        self._send_order(job, runner, [task], now_ms, exclusive=True)
        return True

    def _note_held(self, job: Job, task: Task, reason: str) -> None:
        self.effects.note("task_held", request=job.job_id, task=task.name.text, reason=reason)

    def _log_deferral(self, job: Job, task: Task, pool: RunnerPool, now_ms: int) -> None:
        if not task.hold_logged:
            task.hold_logged = True
            self._note_held(job, task, self._deferral_reason(job, task, pool, now_ms))

    @staticmethod
    def _deferral_reason(job: Job, task: Task, pool: RunnerPool, now_ms: int) -> str:
        """Return why a task waits: it would end late, room is reserved, or there is none."""
        if waits_for_better(job, task, pool, now_ms):
            return "late_where_room_is"
        room = task.step.resources
        reserved = any(view.is_reserved_from(job.queue, room) for view in pool.with_room)
        return orders.ROOM_KEPT if reserved else orders.NO_ROOM

    def _assign(
        self, job: Job, task: Task, runner: RunnerView, now_ms: int, exclusive: bool = False
    ) -> None:
        task.attempt = job.next_attempt(task)
        task.phase = TaskPhase.ORDERED
        task.assign_place(runner.place)
        task.incarnation_by_attempt[task.attempt] = runner.agent.incarnation
        task.reported_by = runner.agent.incarnation
        task.started_ms = 0
        runner.order(runner.free if exclusive else task.step.resources)
        self.backlog.record_placed(work_of_task(task), now_ms)
        self.stragglers.budget.earn()
        runner.out.add(task)

    def _send_order(
        self,
        job: Job,
        runner: RunnerView,
        tasks: list[Task],
        now_ms: int,
        exclusive: bool = False,
    ) -> None:
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
            exclusive,
            runner.agent.received,
        )
        sent = self.effects.send(runner.place.agent, order)
        if sent:
            runner.agent.confirmed = order.received
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
        """Return the expected duration of a task on its runner."""
        median = self.durations.factor(job.queue, MEDIAN)
        return int(task.step.estimate_ms * task.slowness * median)

    def release(self, job: Job, task: Task, reason: str, now_ms: int, why: str = "") -> None:
        """Requeue a task that is ordered or running and whose run did not complete it.

        ``why`` explains the reason in the log where it has several causes.
        """
        if task.phase not in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            return
        self.effects.note(
            "task_released",
            request=job.job_id,
            task=task.name.text,
            attempt=task.attempt,
            runner=task.place.runner_id,
            reason=reason,
            why=why,
        )
        if task.phase is TaskPhase.ORDERED:
            self.backlog.record_returned(work_of_task(task), now_ms)
        self.fleet.unassign(task)
        job.release(task)
        self._add_waiting(job)

    def count_uneven_runners(self) -> int:
        """Return how many runners have a known speed, where speeds differ enough to matter."""
        by_upstream: dict[str, list[RunnerView]] = {}
        for runner in self.fleet.open_runners():
            by_upstream.setdefault(runner.upstream, []).append(runner)
        return sum(len(measure_speeds(views).relative) for views in by_upstream.values())

    def judge_straggler(
        self, job: Job, task: Task, event: orders.RunEvent, now_ms: int
    ) -> MoveDecision:
        """Decide whether a straggling run is moved to another runner, and count the move.

        Moved or not, the task avoids the run's runner from now on. There is no target if no
        runner has room or the best one is avoided.
        """
        task.avoided.add(task.place.runner_id)
        pool = self._build_pool(job.upstream)
        other = choose_runner(job, task, pool, self.zone, now_ms, self.rng)
        if other is not None and other.place.runner_id in task.avoided:
            other = None
        current = self.fleet.runners.get(task.place)
        context = MoveContext(current, other, pool.speeds)
        return self.stragglers.judge(job.queue, task, event, context)


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
