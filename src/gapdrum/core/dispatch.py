"""The owner of jobs: applies what agents report of runners and runs to the jobs."""

import random
from collections.abc import Callable

import attrs

from gapdrum.core import orders
from gapdrum.core.configuration import Configuration
from gapdrum.core.effects import Effects
from gapdrum.core.fleet import RUNNER_NOT_REPORTED, Fleet, LostRunner
from gapdrum.core.jobs import Job, Place, StoredEnd, Task, TaskPhase
from gapdrum.core.models import RunEnd, RunKey, TaskName
from gapdrum.core.placer import Placer
from gapdrum.core.records import first_attempt
from gapdrum.core.runner_views import AgentView
from gapdrum.core.task_durations import PERMILLE, TaskDurations

# Why an agent does not hold a run, as far as the owner knows.
AGENT_RESTARTED = "agent_restarted"  # since it last reported the run
UNREPORTED = "unreported"  # the agent never reported the run: its order was probably lost
OUTCOME_UNKNOWN = "outcome_unknown"  # the agent has reported the run at work, and no outcome


@attrs.define
class Dispatch:
    """The state of this entry's jobs and of their runs. Callers pass the time."""

    effects: Effects
    jobs: dict[str, Job]
    fleet: Fleet
    placer: Placer
    configuration: Configuration | None = None  # the newest one
    open_tasks: int = 0  # of all jobs

    @property
    def durations(self) -> TaskDurations:
        """Return the duration statistics of each queue's tasks."""
        return self.placer.durations

    # Jobs.

    def add_job(self, job: Job, now_ms: int) -> None:
        """Own a new job, or one that was taken over, and schedule its placement."""
        former = self.jobs.get(job.job_id)
        self.open_tasks += len(job.tasks) - (len(former.tasks) if former is not None else 0)
        self.jobs[job.job_id] = job
        self._follow_configuration(job, now_ms)
        self.placer.enqueue(job)
        self._check_outcome(job)
        self.effects.schedule_placement()

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> None:
        """Place the tasks of all jobs where a new configuration sends their queues."""
        self.configuration = configuration
        self.placer.meter.set_queues(configuration.queues)
        for job in self.jobs.values():
            self._follow_configuration(job, now_ms)
        self.effects.schedule_placement()

    def _follow_configuration(self, job: Job, now_ms: int) -> None:
        former = job.upstream
        if self.configuration is not None and job.follow(self.configuration, now_ms):
            self.effects.note(
                "job_rerouted",
                request=job.job_id,
                queue=job.queue,
                upstream=job.upstream,
                former=former,
                version=job.configuration_version,
            )

    def drop_job(self, job_id: str, reason: str) -> Job | None:
        """Forget a job that has ended, is refused or has a new owner; stop none of its runs."""
        job = self.jobs.pop(job_id, None)
        self.placer.waiting.discard(job_id)
        if job is not None:
            self.open_tasks -= len(job.tasks)
            for task in job.tasks:
                self.fleet.unassign(task)
            self.effects.note("job_dropped", request=job_id, epoch=job.epoch, reason=reason)
        return job

    def stop_runs(self, job: Job) -> None:
        """Stop all active runs of a job that has ended."""
        for task in list(job.active_tasks()):
            self._stop(task.place, task.run)

    def count_waiting(self) -> dict[str, int]:
        """Return how many open jobs of each queue have not begun, ordered ones included."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.begun and job.ending is None:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    def refuse_unmeetable(self, now_ms: int) -> None:
        """Refuse non-durable, unstarted jobs that are unlikely to meet their latency objective."""
        for job in self.placer.list_unmeetable(now_ms):
            self.effects.note(
                "job_given_up",
                request=job.job_id,
                waited_ms=now_ms - job.accepted_ms,
                objective_ms=job.objective_ms,
                begin_within_ms=job.begin_within_ms,
                waiting_jobs=len(self.placer.waiting),
                free_cpu_milli=self.fleet.free_cpu_milli(),
            )
            self.effects.job_refused(job)
            self.drop_job(job.job_id, "no_room_in_time")

    # Runners.

    def apply_report(self, view: AgentView, report: orders.RunnerReport, now_ms: int) -> None:
        """Apply a report of a runner's properties and state."""
        lost = self.fleet.apply_report(view, report, now_ms)
        if lost is not None:
            self._release_lost(lost, now_ms)
        self.effects.schedule_placement()

    def apply_room(self, view: AgentView, report: orders.RoomReport) -> None:
        """Apply a report of a runner's free room."""
        self.fleet.apply_room(view, report)
        self.effects.schedule_placement()

    def expire_silent(self, now_ms: int) -> None:
        """Requeue the tasks of runners that were silent until no run can be left there."""
        for lost in self.fleet.expire_silent(now_ms):
            self._release_lost(lost, now_ms)
            for task in lost.tasks:
                job = self.jobs.get(task.name.job_id)
                if job is not None and task.phase is TaskPhase.WAITING:
                    self._abandon(job, task, task.attempt)

    def agent_departed(self, view: AgentView, now_ms: int) -> None:
        """Remove an agent that has left for other entries, and requeue the tasks placed there.

        Their orders have crossed its decision to leave, and it does not start them.
        """
        for lost in self.fleet.agent_departed(view):
            self._release_lost(lost, now_ms)
        self.effects.schedule_placement()

    def _release_lost(self, lost: LostRunner, now_ms: int) -> None:
        for task in lost.tasks:
            is_unreported = lost.reason == RUNNER_NOT_REPORTED
            why = _why_not_held(lost.agent_incarnation, task) if is_unreported else ""
            job = self.jobs.get(task.name.job_id)
            was_running = job is not None and task.phase is TaskPhase.RUNNING
            if was_running and lost.reason == orders.RUNNER_GONE:
                self._record_crash(job, task, now_ms)
            self._release_unconfirmed(task, lost.reason, now_ms, why)
            if job is not None:
                self._check_outcome(job)

    @staticmethod
    def _abandon(job: Job, task: Task, attempt: int) -> None:
        """Give up attempts of which an end may still come, before the task is started again."""
        if job.durable:
            task.abandon(attempt)
            job.progress_is_urgent = True

    def confirm_abandoned(self, job: Job, tasks: list[Task]) -> None:
        """Start tasks again whose abandoned attempts are stored now."""
        for task in tasks:
            task.abandoned_is_stored = True
        if tasks and job.has_waiting_tasks:
            self.placer.enqueue(job)
            self.effects.schedule_placement()

    def _release_unconfirmed(self, task: Task, reason: str, now_ms: int, why: str = "") -> None:
        """Requeue a task whose run can no longer be at work; its end is unknown.

        The run may have begun, so the job counts as begun.
        """
        job = self.jobs.get(task.name.job_id)
        if job is not None:
            job.begun = True
            self.placer.release(job, task, reason, now_ms, why)

    # Runs.

    def apply_events(self, view: AgentView, message: orders.RunEvents, now_ms: int) -> None:
        """Apply events of runs at one runner."""
        place = Place(view.agent, message.runner_id)
        for event in message.events:
            self._apply_event(view, place, event, now_ms)
        view.received = max(view.received, message.number)
        self.effects.schedule_placement()

    def _apply_event(
        self, view: AgentView, place: Place, event: orders.RunEvent, now_ms: int
    ) -> None:
        name = TaskName.parse(event.task)
        job = self.jobs.get(name.job_id)
        if job is None:
            if event.kind == orders.ENDED and event.durable:
                self.effects.on_unowned_end(place, event)
            return
        task = job.by_name.get(name)
        if task is None:
            return
        if not job.owns_run(task, event.attempt, place, event.submission, view.incarnation):
            self._ignore_event(place, event)
        elif event.kind == orders.ENDED:
            self._apply_end(job, task, place, event, now_ms)
        elif event.attempt != task.attempt:
            return
        elif event.kind == orders.STARTED:
            self._mark_started(job, task, now_ms)
        elif event.kind == orders.STRAGGLING:
            self._mark_started(job, task, now_ms)
            self._handle_straggler(job, task, event, now_ms)
        elif event.detail == orders.JOB_SUPERSEDED:
            self.drop_job(job.job_id, event.detail)
        elif event.kind == orders.NOT_STARTED:
            # This attempt never ran here: an end with its name belongs to an earlier submission.
            task.place_by_attempt.pop(event.attempt, None)
            if event.detail in orders.REJECTED_THERE:
                task.avoided.add(place.runner_id)
            self.placer.release(job, task, event.detail, now_ms)
        else:
            job.begun = True
            if event.detail == orders.RUNNER_GONE:
                self._record_crash(job, task, now_ms)
            self.placer.release(job, task, event.detail, now_ms)
            self._check_outcome(job)

    def _record_crash(self, job: Job, task: Task, now_ms: int) -> None:
        """Record that a runner has crashed with a task, which may be the cause."""
        if task.phase not in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            return
        task.record_crash(task.attempt, now_ms)
        job.unstored_progress_since_ms = job.unstored_progress_since_ms or now_ms
        self.effects.note(
            "runner_crashed_under",
            request=job.job_id,
            task=task.name.text,
            attempt=task.attempt,
            runner=task.place.runner_id,
            crashes=task.crashes,
            alone=task.attempt in task.exclusive_attempts,
        )

    def _ignore_event(self, place: Place, event: orders.RunEvent) -> None:
        """Log an event of an earlier submission, and don't apply it to the job.

        Applied to this submission, it could make the task run twice. An agent that found the run
        after its own restart takes it for a durable one and keeps its end until an entry
        acknowledges it, so such an end is passed on to be acknowledged.
        """
        self.effects.note(
            "event_of_earlier_submission",
            request=event.task.partition(".")[0],
            task=event.task,
            attempt=event.attempt,
            kind=event.kind,
            reason=event.detail,
            runner=place.runner_id,
        )
        if event.kind == orders.ENDED and event.durable:
            self.effects.on_unowned_end(place, event)

    def drop_claimed_job(self, lost: orders.JobLost) -> None:
        """Forget a job that another entry has claimed under a higher epoch."""
        job = self.jobs.get(lost.job_id)
        if job is not None and job.epoch < lost.epoch:
            self.drop_job(lost.job_id, "claimed_by_another")

    def cancel_job(self, cancelled: orders.JobCancelled) -> None:
        """Stop a job that was cancelled at another entry, which has stored its final state."""
        job = self.jobs.get(cancelled.job_id)
        if job is not None and job.epoch < cancelled.epoch:
            self.stop_runs(job)
            self.drop_job(cancelled.job_id, "cancelled_elsewhere")

    def _mark_started(self, job: Job, task: Task, started_ms: int) -> None:
        if task.phase is TaskPhase.ORDERED:
            task.phase = TaskPhase.RUNNING
            task.started_ms = started_ms
            job.begun = True
            self.effects.note(
                "task_started",
                request=job.job_id,
                task=task.name.text,
                attempt=task.attempt,
                runner=task.place.runner_id,
            )

    def _apply_end(
        self, job: Job, task: Task, place: Place, event: orders.RunEvent, now_ms: int
    ) -> None:
        end = RunEnd(event.detail)
        self.effects.note(
            "task_ended",
            request=job.job_id,
            task=event.task,
            attempt=event.attempt,
            end=event.detail,
            runner=place.runner_id,
            ran_ms=now_ms - task.started_ms if task.started_ms else 0,
        )
        if task.phase is TaskPhase.UNKNOWN and event.attempt > task.abandoned_attempt:
            task.attempt = max(task.attempt, event.attempt)
        if job.durable and not job.counts_end(task, event.attempt, end):
            self._acknowledge_superseded_end(place, event.end_number)
            return
        if end is RunEnd.DONE and event.attempt != task.attempt:
            # An earlier attempt has done the work of a non-durable task: stop its newer run.
            self._stop_if_active(task)
        job.begun = True
        if end is RunEnd.DONE and event.attempt == task.attempt and task.started_ms:
            self._record_duration(job, task, now_ms)
        if task.phase is not TaskPhase.DONE:
            if end is RunEnd.DONE or event.attempt == task.attempt:
                self.fleet.unassign(task)
            if end is RunEnd.FAILED:
                task.avoided.add(place.runner_id)
        job.record_end(task, event.attempt, end, now_ms)
        if not job.durable and event.durable and event.end_number:
            # A restarted agent does not know the job, and keeps the end until it is acknowledged.
            self.acknowledge_ends(place, (event.end_number,))
        if job.durable and end in (RunEnd.DONE, RunEnd.FAILED):
            self._add_unstored_end(job, StoredEnd(place, event.end_number))
            job.unstored_progress_since_ms = job.unstored_progress_since_ms or now_ms
        if job.has_waiting_tasks:
            self.placer.enqueue(job)
        self._check_outcome(job)

    def _record_duration(self, job: Job, task: Task, now_ms: int) -> None:
        """Add a run to the queue's duration statistics if its slowness is known."""
        if task.slowness:
            ran_ms = now_ms - task.started_ms
            slowness_permille = int(task.slowness * PERMILLE)
            self.durations.note(job.queue, ran_ms, task.step.estimate_ms, slowness_permille)

    @staticmethod
    def _add_unstored_end(job: Job, end: StoredEnd) -> None:
        if end not in job.unstored_ends:
            job.unstored_ends.append(end)

    def acknowledge_ends(self, place: Place, numbers: tuple[int, ...]) -> None:
        """Let an agent acknowledge ends to its runner, by their numbers."""
        self.effects.send(place.agent, orders.EndsStored(place.runner_id, numbers, ()))

    def _acknowledge_superseded_end(self, place: Place, number: int) -> None:
        self.effects.send(place.agent, orders.EndsStored(place.runner_id, (), (number,)))

    def acknowledge_stored_ends(self, job: Job, ends: list[StoredEnd]) -> None:
        """Let the agents acknowledge ends of a job, which are stored now."""
        by_place: dict[Place, list[int]] = {}
        for end in ends:
            by_place.setdefault(end.place, []).append(end.number)
        for place, numbers in by_place.items():
            self.acknowledge_ends(place, tuple(numbers))
        job.unstored_ends = [end for end in job.unstored_ends if end not in ends]

    def _handle_straggler(self, job: Job, task: Task, event: orders.RunEvent, now_ms: int) -> None:
        """Stop a straggling run if it is to be moved; the stop's end requeues its task."""
        decision = self.placer.judge_straggler(job, task, event, now_ms)
        self.effects.note(
            "task_straggles",
            request=job.job_id,
            task=task.name.text,
            attempt=task.attempt,
            runner=task.place.runner_id,
            reason=event.detail,
            percent=event.percent,
            moved=decision.moved,
            ends_here_ms=decision.ends_here_ms,
            ends_elsewhere_ms=decision.ends_elsewhere_ms,
            others_permille=event.others_permille,
        )
        if decision.moved:
            self._stop(task.place, task.run)

    def _stop_if_active(self, task: Task) -> None:
        if task.phase in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            self._stop(task.place, task.run)

    def _stop(self, place: Place, run: RunKey) -> None:
        named = orders.NamedRun(run.task.text, run.attempt)
        self.effects.send(place.agent, orders.StopOrder(place.runner_id, (named,)))
        self.effects.note(
            "task_stop_ordered",
            request=run.task.job_id,
            task=run.task.text,
            attempt=run.attempt,
            runner=place.runner_id,
        )

    # Runs that agents hold.

    def apply_holdings(self, view: AgentView, holdings: orders.Holdings, now_ms: int) -> None:
        """Reconcile the runs that an agent holds with those that are expected there."""
        place = Place(view.agent, holdings.runner_id)
        held = set()
        adopted = []
        for row in holdings.runs:
            if self._is_current(view, place, row):
                held.add((row.task, row.attempt))
            adopted.extend(self._apply_held_run(view, place, row, now_ms))
        if adopted:
            message = orders.AdoptRuns(holdings.runner_id, tuple(adopted))
            self.effects.send(view.agent, message)
        runner = self.fleet.runners.get(place)
        if runner is not None and not holdings.jobs:
            for task in list(runner.out):
                if (task.name.text, task.attempt) not in held:
                    why = _why_not_held(view.incarnation, task)
                    self._release_unconfirmed(task, "not_held", now_ms, why)
            runner.synced = True
        self.effects.schedule_placement()

    def _apply_held_run(
        self, view: AgentView, place: Place, row: orders.HeldRun, now_ms: int
    ) -> list[orders.AdoptedRun]:
        name = TaskName.parse(row.task)
        job = self.jobs.get(name.job_id)
        task = job.by_name.get(name) if job is not None else None
        if row.phase == orders.HELD_ENDED:
            if job is not None:
                self._apply_held_end(view, place, row, now_ms)
            # An unowned end needs nothing here: the agent sends it to its owner too, or resends it
            # later to any entry.
            return []
        if task is None:
            if self.effects.has_ended(name.job_id):
                self._stop(place, RunKey(name, row.attempt))
            return []
        if not self._is_expected(task, place, row):
            self._stop(place, RunKey(name, row.attempt))
            return []
        self._record_held_run(job, task, place, row.attempt, now_ms)
        task.reported_by = view.incarnation
        if row.phase == orders.HELD_RUNNING:
            # The report of its start may have been lost, so its time is not known.
            self._mark_started(job, task, started_ms=0)
        return [_build_adopted_run(job, task, row)]

    def _apply_held_end(
        self, view: AgentView, place: Place, row: orders.HeldRun, now_ms: int
    ) -> None:
        event = orders.RunEvent(
            row.task,
            row.attempt,
            row.epoch,
            orders.ENDED,
            row.detail,
            row.end_number,
            submission=row.submission,
        )
        self._apply_event(view, place, event, now_ms)

    def _is_current(self, view: AgentView, place: Place, row: orders.HeldRun) -> bool:
        """Tell whether a held run or end is of the job's current submission, as far as is known.

        A run that has not ended always counts: a task must not start again beside an earlier run.
        """
        name = TaskName.parse(row.task)
        job = self.jobs.get(name.job_id)
        task = job.by_name.get(name) if job is not None else None
        if task is None or row.phase != orders.HELD_ENDED:
            return True
        return job.owns_run(task, row.attempt, place, row.submission, view.incarnation)

    @staticmethod
    def _is_expected(task: Task, place: Place, row: orders.HeldRun) -> bool:
        if task.phase is TaskPhase.UNKNOWN:
            return row.attempt >= task.attempt and row.attempt > task.abandoned_attempt
        if task.phase not in (TaskPhase.ORDERED, TaskPhase.RUNNING):
            return False
        same_runner = task.place.runner_id == place.runner_id
        return same_runner and task.attempt == row.attempt

    def _record_held_run(
        self, job: Job, task: Task, place: Place, attempt: int, now_ms: int
    ) -> None:
        if task.phase is TaskPhase.UNKNOWN:
            self.effects.note(
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
        task.assign_place(place)
        runner = self.fleet.runners.get(place)
        if runner is not None:
            runner.out.add(task)

    def requeue_unknown_tasks(self, now_ms: int) -> None:
        """Requeue tasks of taken-over jobs once no earlier run of them can be left."""
        for job in self.jobs.values():
            if not job.requeue_unknown_at_ms or now_ms < job.requeue_unknown_at_ms:
                continue
            job.requeue_unknown_at_ms = 0
            for task in job.tasks:
                if task.phase is TaskPhase.UNKNOWN:
                    job.release(task)
                    self._abandon(job, task, max(task.attempt, first_attempt(job.epoch) - 1))
            self.placer.enqueue(job)

    def _check_outcome(self, job: Job) -> None:
        if job.ending is not None:
            return
        outcome = job.outcome()
        if outcome is not None:
            job.ending = outcome
            self.placer.waiting.discard(job.job_id)
            self.effects.job_ended(job)


def _why_not_held(agent_incarnation: str, task: Task) -> str:
    """Return why an agent does not hold a task's run and has reported no outcome of it."""
    if task.reported_by != agent_incarnation:
        return AGENT_RESTARTED
    return OUTCOME_UNKNOWN if task.phase is TaskPhase.RUNNING else UNREPORTED


def _build_adopted_run(job: Job, task: Task, row: orders.HeldRun) -> orders.AdoptedRun:
    room = task.step.resources
    return orders.AdoptedRun(
        row.task,
        row.attempt,
        job.epoch,
        job.durable,
        room.cpu_milli,
        room.memory_mb,
        room.accelerators,
        job.submission,
    )


def build_dispatch(
    zone: str,
    effects: Effects,
    holds_lease: Callable[[], bool],
    now_ms: int,
    rng: random.Random | None = None,
    far_factor: float = 1.0,
) -> Dispatch:
    """Return a dispatch without jobs; ``holds_lease`` tells if the entry holds its lease."""
    jobs: dict[str, Job] = {}
    fleet = Fleet(effects)
    rng = rng or random.Random()
    placer = Placer(zone, effects, holds_lease, fleet, jobs, now_ms, rng, far_factor)
    return Dispatch(effects, jobs, fleet, placer)
