"""A job at its owner: the phase and failures of each task, and the ends to be stored."""

import enum
from collections.abc import Iterator

import attrs

from gapdrum.core.configuration import Configuration
from gapdrum.core.models import JobState, RunEnd, RunKey, Step, TaskName
from gapdrum.core.records import (
    JobPolicy,
    JobProgress,
    JobRoute,
    OpenJob,
    TaskProgress,
    first_attempt,
    task_name,
)
from gapdrum.core.rows import ABSENT

# A job that ends after this many times its objective has no value to its caller.
LATE_FACTOR = 3
# Time that a job takes beside waiting and running: the request and its answer, the order to the
# agent and the poll that shows the end.
OVERHEAD_MS = 30
# A job's objective exceeds its stated work by ``(latency_factor - 1) * chain_ms`` and a constant:
# the share of the former that a job may wait before it begins. Stated work is off by 40% and a
# job's last task starts after its first: most jobs that begin later end late, and take room from
# others.
BEGIN_SHARE = 0.5


# A task at work on so many runners as they crashed is suspected to crash them: it runs alone next,
# to distinguish it from tasks that only ran beside it.
SUSPECT_CRASHES = 2
# For so long a suspect waits for an idle runner before it runs beside others once more.
SUSPECT_WAIT_MS = 1_000
# From so many crashes on it runs only alone. The platform allows two more starts after three.
ALONE_CRASHES = 3
# A task is given up once so many runners have crashed under it alone. One may be a coincidence.
GIVE_UP_CRASHES = 2


class TaskPhase(enum.Enum):
    """The phase of a task at its job's owner."""

    UNKNOWN = "unknown"  # taken over: an agent that has not answered yet may run it
    WAITING = "waiting"
    ORDERED = "ordered"
    RUNNING = "running"
    DONE = "done"


@attrs.frozen
class Place:
    """A runner and its agent."""

    agent: str
    runner_id: str


@attrs.frozen
class StoredEnd:
    """A listed end of a run, by its number at the runner, that is not stored yet."""

    place: Place
    number: int


@attrs.define(eq=False)
class Task:
    """One task of a job; ``attempt`` is the number of its last attempt, 0 before the first.

    ``place_by_attempt`` holds where each attempt was ordered or adopted, and
    ``incarnation_by_attempt`` the incarnation of the agent that each was ordered from;
    ``reported_by`` is the incarnation that the last attempt was ordered from, or that last held it.
    ``slowness`` is the expected duration of the last attempt at its runner, relative to a usual
    runner (not to the estimate), 0 if not known. ``avoided`` are the identities of runners where
    an attempt failed, straggled or was rejected; ``moves`` counts the moves for straggling.
    ``crashes`` counts the runners that crashed while they held an attempt, ``crashes_alone`` those
    at which it ran alone, as ``exclusive_attempts`` do; ``crashed_ms`` is when the last one did.
    ``abandoned_attempt`` is the last attempt that was given up although it may have done the task,
    at an agent that can't be reached. A durable task is not started again before that is stored:
    the next owner may hear of the end of this attempt, and nothing of the later one.
    """

    name: TaskName
    step: Step
    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    failed_attempts: set[int] = attrs.Factory(set)
    place: Place | None = None
    place_by_attempt: dict[int, Place] = attrs.Factory(dict)
    incarnation_by_attempt: dict[int, str] = attrs.Factory(dict)
    reported_by: str = ""
    started_ms: int = 0
    slowness: float = 0.0
    moves: int = 0
    avoided: set[str] = attrs.Factory(set)
    hold_logged: bool = False
    crashes: int = 0
    crashes_alone: int = 0
    exclusive_attempts: set[int] = attrs.Factory(set)
    crashed_ms: int = 0
    abandoned_attempt: int = 0
    abandoned_is_stored: bool = True

    @property
    def is_given_up(self) -> bool:
        """Tell whether the task is known to crash the runners that start it."""
        return self.crashes_alone >= GIVE_UP_CRASHES

    def must_run_alone(self, now_ms: int) -> bool:
        """Tell whether the task may only be placed on an idle runner now."""
        if self.crashes < SUSPECT_CRASHES:
            return False
        return self.crashes >= ALONE_CRASHES or now_ms - self.crashed_ms < SUSPECT_WAIT_MS

    def record_crash(self, attempt: int, now_ms: int) -> None:
        """Record that a runner has crashed while it held an attempt."""
        self.crashes += 1
        self.crashes_alone += attempt in self.exclusive_attempts
        self.crashed_ms = now_ms

    def abandon(self, attempt: int) -> None:
        """Give up all attempts up to this one, which is to be stored before the next one starts."""
        self.abandoned_attempt = attempt
        self.abandoned_is_stored = False

    @property
    def lowest_counted_attempt(self) -> int:
        """Return the lowest attempt whose end counts, 0 if that of any may count.

        No attempt may be known after a takeover but that earlier ones were abandoned.
        """
        is_last = self.attempt >= self.abandoned_attempt
        return self.attempt if is_last else self.abandoned_attempt + 1

    @property
    def run(self) -> RunKey:
        """Return the key of the last attempt's run."""
        return RunKey(self.name, self.attempt)

    def assign_place(self, place: Place) -> None:
        """Record the runner of the last attempt."""
        self.place = place
        self.place_by_attempt[self.attempt] = place


@attrs.define(eq=False)
class Job:
    """An open job that this entry owns.

    ``chain_ms`` is the stated work of its longest chain of steps: the sum of their estimates. A
    ``durable`` job has a row in the store, at ``version``, and another entry takes it over if this
    one is lost; ``confirmed_ms`` is when the row was last known to name this owner. The caller of a
    non-durable job waits for its end and may submit it again: each time gets its own
    ``submission``. ``host`` and ``prefix`` are the path at which it was submitted, and
    ``configuration_version`` tells from which configuration ``queue`` and ``upstream`` are;
    ``was_rerouted`` is set if that is not the one of its acceptance. ``begun`` is set once a run
    may have started, and ``ending`` is the final state from when it is known until it is stored and
    the job is dropped.
    """

    job_id: str
    queue: str
    upstream: str
    host: str
    prefix: str
    configuration_version: int
    spec: str
    owner: str
    epoch: int
    version: int
    durable: bool
    accepted_wall_ms: int
    accepted_ms: int  # accepted or taken over by this entry; objective counts from here
    failure_limit: int  # the job fails once a task has so many failed attempts, never if it is 0
    priority: int
    chain_ms: int
    objective_ms: int
    begin_within_ms: int
    steps: tuple[Step, ...]
    tasks: list[Task]
    by_name: dict[TaskName, Task]
    least_cpu_milli: int  # of its smallest task
    labels: frozenset[str]  # that its steps require of runners
    submission: int = 0
    was_rerouted: bool = False
    begun: bool = False
    ending: JobState | None = None
    has_progress_row: bool = False
    progress_version: int = ABSENT  # of the row with its progress
    unstored_progress_since_ms: int = (
        0  # since when there is progress that is not stored, 0 if none is
    )
    progress_is_urgent: bool = False  # a task waits for it to be stored
    unstored_ends: list[StoredEnd] = attrs.Factory(list)
    requeue_unknown_at_ms: int = 0  # when tasks that are still UNKNOWN are requeued, 0 if none is
    confirmed_ms: int = 0
    place_from_ms: int = 0  # later than now if its placement has failed
    caller_deadline_ms: int | None = None  # when its last caller stops waiting, if known

    @property
    def latest_start_ms(self) -> int:
        """Return the latest time for its first tasks to start if it is to meet its objective."""
        return self.accepted_ms + self.objective_ms - self.chain_ms - OVERHEAD_MS

    @property
    def begin_by_ms(self) -> int:
        """Return the latest time at which the job can begin and is likely to meet its objective."""
        return self.accepted_ms + self.begin_within_ms

    @property
    def has_waiting_tasks(self) -> bool:
        """Tell whether a task is to be placed, now or after other steps."""
        return any(task.phase is TaskPhase.WAITING for task in self.tasks)

    @property
    def is_unstarted(self) -> bool:
        """Tell whether none of its tasks has started, is ordered or is UNKNOWN."""
        return not self.begun and all(task.phase is TaskPhase.WAITING for task in self.tasks)

    @property
    def firm_deadline_ms(self) -> int:
        """Return the time after which a result has no value to the caller."""
        return self.accepted_ms + LATE_FACTOR * self.objective_ms

    def follow(self, configuration: Configuration, now_ms: int) -> bool:
        """Use the name and the upstream that a configuration gives the queue at the job's path.

        Returns whether one of them has changed. Without such a queue the former ones stay in
        force, as accepted jobs are to end, and so they do with an older configuration.
        """
        if configuration.version <= self.configuration_version:
            return False
        if self.prefix:
            queue = configuration.queue_at(self.host, self.prefix)
        else:  # the row of an earlier release does not tell the path
            queue = configuration.queue_named(self.queue)
        if queue is None:
            return False
        return self.reroute(JobRoute(queue.name, queue.upstream, configuration.version), now_ms)

    def reroute(self, route: JobRoute, now_ms: int) -> bool:
        """Use a queue's name and upstream unless they are older; return whether that is a change.

        A change is to be stored, for owners that know no configuration with this queue.
        """
        if route.version <= self.configuration_version:
            return False
        self.configuration_version = route.version
        if (route.queue, route.upstream) == (self.queue, self.upstream):
            return False
        self.queue, self.upstream = route.queue, route.upstream
        self.was_rerouted = True
        self.unstored_progress_since_ms = self.unstored_progress_since_ms or now_ms
        return True

    def extend_caller_deadline(self, until_ms: int | None) -> None:
        """Add a caller that waits until a time, or without a limit if that is None."""
        if until_ms is None or self.caller_deadline_ms is None:
            self.caller_deadline_ms = None
        else:
            self.caller_deadline_ms = max(self.caller_deadline_ms, until_ms)

    def may_start(self, now_ms: int) -> bool:
        """Tell whether tasks may start as far as the job's callers are concerned: one may wait.

        A caller that has stopped waiting may have submitted the job again to another entry.
        """
        return self.caller_deadline_ms is None or now_ms < self.caller_deadline_ms

    def owns_run(
        self, task: Task, attempt: int, place: Place, submission: int, agent_incarnation: str
    ) -> bool:
        """Tell whether a run at a runner belongs to this job's current submission.

        Attempts of durable jobs are unique over all owners. Those of others begin at 1 with each
        submission, so a run of an earlier one may have the same name, even at the same runner.
        An agent reports submission 0 for runs ordered before its current incarnation.
        """
        if self.durable:
            return True
        if task.place_by_attempt.get(attempt) != place:
            return False
        if submission == self.submission:
            return True
        return submission == 0 and task.incarnation_by_attempt.get(attempt) != agent_incarnation

    def ready_tasks(self) -> list[Task]:
        """Return the waiting tasks whose preceding steps are done."""
        open_steps = {task.name.step for task in self.tasks if task.phase is not TaskPhase.DONE}
        return [
            task
            for task in self.tasks
            if task.phase is TaskPhase.WAITING
            and task.abandoned_is_stored
            and not open_steps.intersection(task.step.after)
        ]

    def next_attempt(self, task: Task) -> int:
        """Return a task's next attempt number, above those of all owners' attempts so far."""
        return max(task.attempt + 1, first_attempt(self.epoch))

    def counts_end(self, task: Task, attempt: int, end: RunEnd) -> bool:
        """Tell whether an end of a durable job's run may count for its task.

        A success of an attempt that another start has followed, or may have, must not. A failure of
        one may as long as no start has come after as many failures as the job allows.
        """
        is_abandoned = task.phase is TaskPhase.UNKNOWN and attempt <= task.abandoned_attempt
        if attempt == task.attempt and not is_abandoned:
            return True
        if end is not RunEnd.FAILED:
            return end is not RunEnd.DONE
        if attempt in task.failed_attempts:
            return True
        # A former owner may have started attempts unknown to this one, after any of the failures.
        is_last = task.phase is not TaskPhase.UNKNOWN and task.attempt > task.abandoned_attempt
        before = [one for one in task.failed_attempts if one < task.attempt or not is_last]
        return len(before) + 1 < self.failure_limit

    def record_end(self, task: Task, attempt: int, end: RunEnd, now_ms: int) -> None:
        """Record how a run ended that counts for the task; a task that is done stays done."""
        if end is RunEnd.FAILED:
            task.failed_attempts.add(attempt)
            self.unstored_progress_since_ms = self.unstored_progress_since_ms or now_ms
        if task.phase is TaskPhase.DONE:
            return
        if end is RunEnd.DONE:
            task.phase = TaskPhase.DONE
            self.unstored_progress_since_ms = self.unstored_progress_since_ms or now_ms
        # A task of phase UNKNOWN is not requeued here: a later run of it may be at an agent that
        # has not reported yet.
        open_phases = (TaskPhase.ORDERED, TaskPhase.RUNNING)
        if task.phase in open_phases and attempt == task.attempt:
            self.release(task)

    def release(self, task: Task) -> None:
        """Set a task whose last run did not complete it to be placed again."""
        if task.phase is TaskPhase.DONE:
            return
        task.phase = TaskPhase.WAITING
        task.place = None
        task.hold_logged = False

    def outcome(self) -> JobState | None:
        """Return the final state that follows from its tasks, None while the job is open."""
        if any(self._has_failed(task) for task in self.tasks):
            return JobState.FAILED
        if all(task.phase is TaskPhase.DONE for task in self.tasks):
            return JobState.SUCCEEDED
        return None

    def _has_failed(self, task: Task) -> bool:
        if task.phase is TaskPhase.DONE:
            return False
        limit = self.failure_limit
        return task.is_given_up or 0 < limit <= len(task.failed_attempts)

    def active_tasks(self) -> Iterator[Task]:
        """Yield the tasks that are ordered or running."""
        for task in self.tasks:
            if task.phase in (TaskPhase.ORDERED, TaskPhase.RUNNING):
                yield task

    def progress_records(self) -> tuple[JobProgress] | tuple[JobProgress, JobRoute]:
        """Return the records of the job's progress row."""
        if not self.was_rerouted:
            return (self.progress(),)
        return self.progress(), JobRoute(self.queue, self.upstream, self.configuration_version)

    def progress(self) -> JobProgress:
        """Return the facts on its tasks that never change back: done, failed and crashed ones."""
        return JobProgress(
            tuple(
                TaskProgress(
                    task.name.step,
                    task.name.index,
                    task.phase is TaskPhase.DONE,
                    sorted(task.failed_attempts),
                    task.crashes,
                    task.crashes_alone,
                    task.attempt if task.phase is TaskPhase.DONE else task.abandoned_attempt,
                )
                for task in self.tasks
                if task.phase is TaskPhase.DONE
                or task.failed_attempts
                or task.crashes
                or task.abandoned_attempt
            )
        )

    def restore(self, progress: JobProgress) -> None:
        """Restore the progress of the tasks that an earlier owner stored."""
        for row in progress.tasks:
            task = self.by_name[task_name(self.job_id, row.step, row.index)]
            task.failed_attempts = set(row.failed_attempts)
            task.crashes = row.crashes
            task.crashes_alone = row.crashes_alone
            self.begun |= row.done or bool(row.failed_attempts)
            if row.done:
                task.phase = TaskPhase.DONE
                task.attempt = row.attempt
            else:
                task.abandoned_attempt = row.attempt


def build_job(
    job_id: str,
    record: OpenJob,
    version: int,
    now_ms: int,
    *,
    durable: bool,
    policy: JobPolicy,
) -> Job:
    """Return a job from its row, with all tasks waiting; its objective counts from ``now_ms``."""
    steps = tuple(row.to_step() for row in record.steps)
    chain_ms = longest_chain_ms(steps)
    tasks = [
        Task(task_name(job_id, number, index), step)
        for number, step in enumerate(steps)
        for index in range(step.tasks)
    ]
    return Job(
        job_id=job_id,
        queue=record.queue,
        upstream=record.upstream,
        host=policy.host,
        prefix=policy.prefix,
        configuration_version=policy.version,
        spec=record.spec,
        owner=record.owner,
        epoch=record.epoch,
        version=version,
        durable=durable,
        accepted_wall_ms=record.accepted_wall_ms,
        accepted_ms=now_ms,
        failure_limit=policy.failure_limit,
        priority=policy.priority,
        chain_ms=chain_ms,
        objective_ms=int(chain_ms * policy.latency_factor) + policy.latency_slack_ms,
        begin_within_ms=begin_within_ms(chain_ms, policy.latency_factor, policy.latency_slack_ms),
        steps=steps,
        tasks=tasks,
        by_name={task.name: task for task in tasks},
        least_cpu_milli=min(step.resources.cpu_milli for step in steps),
        labels=frozenset(step.required_label for step in steps),
        confirmed_ms=now_ms,
    )


def begin_within_ms(chain_ms: int, latency_factor: float, latency_slack_ms: int) -> int:
    """Return how long a job may wait to begin and still be likely to meet its objective.

    Of the slack that depends on its stated work only ``BEGIN_SHARE`` counts.
    """
    spare_ms = BEGIN_SHARE * (latency_factor - 1) * chain_ms
    return max(0, int(spare_ms) + latency_slack_ms - OVERHEAD_MS)


def longest_chain_ms(steps: tuple[Step, ...]) -> int:
    """Return the stated work of the longest chain of dependent steps."""
    ends: list[int] = []
    for step in steps:
        begin = max((ends[other] for other in step.after), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)
