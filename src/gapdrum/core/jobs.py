"""A job at its owner: the phase of each task, its failures, and which ends are stored."""

import enum
from collections.abc import Iterator

import attrs

from gapdrum.core.models import JobState, RunEnd, RunKey, Step, TaskName
from gapdrum.core.records import JobProgress, OpenJob, TaskProgress, task_name

# Attempts of one epoch lie above those of all earlier ones, so that a new owner, who does not
# know how often a task was started, never numbers a start as an earlier one.
ATTEMPTS_PER_EPOCH = 1_000
# Callers value a job that ends within this many times its objective as late, later not at all.
LATE_FACTOR = 3
# What a job needs beside waiting and working: its way here and back, the order to the agent,
# the look that shows its end.
OVERHEAD_MS = 30
# Of the time that a job may wait by its stated work, so much is counted on. Stated work is 40%
# off, and the last of its tasks starts after the first: of the jobs begun later most end late,
# and take room from others. Replays of overload (six seeds): 1.5% of the jobs end late with this
# share, 4.8% with the whole time.
BEGIN_SHARE = 0.5


class TaskPhase(enum.Enum):
    """Where a task is."""

    UNKNOWN = "unknown"  # taken over: a run of it may be at an agent that has not answered yet
    WAITING = "waiting"
    ORDERED = "ordered"
    RUNNING = "running"
    DONE = "done"


@attrs.frozen
class Place:
    """A runner, and the agent beside it."""

    agent: str
    runner_id: str


@attrs.frozen
class StoredEnd:
    """An end at a runner that waits to be stored."""

    place: Place
    number: int


@attrs.define(eq=False)
class Task:
    """One task of a job; ``attempt`` is the number of its last start.

    ``place_by_attempt`` tells where each attempt was ordered or adopted, and ``slowness`` how many
    times as long as usual the last one was expected to take there, 0 if not known.
    ``incarnation_by_attempt`` tells in which life of its agent each attempt was ordered.
    """

    name: TaskName
    step: Step
    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    failed_attempts: set[int] = attrs.Factory(set)
    place: Place | None = None
    place_by_attempt: dict[int, Place] = attrs.Factory(dict)
    incarnation_by_attempt: dict[int, str] = attrs.Factory(dict)
    started_ms: int = 0
    slowness: float = 0.0
    moves: int = 0
    avoided: set[str] = attrs.Factory(set)
    hold_logged: bool = False

    @property
    def run(self) -> RunKey:
        """Return the key of the last start."""
        return RunKey(self.name, self.attempt)

    def assign_place(self, place: Place) -> None:
        """Note where the last start is."""
        self.place = place
        self.place_by_attempt[self.attempt] = place


@attrs.define(eq=False)
class Job:
    """An open job that this entry owns.

    ``chain_ms`` is the stated work of its longest chain of steps. One that is ``durable`` has a
    row in the store, at ``version``, and another entry takes it over if this one is lost. Of
    others only the caller knows, who waits for the end, and may submit the job again: each time
    has a ``submission`` of its own.
    """

    job_id: str
    queue: str
    upstream: str
    spec: str
    owner: str
    epoch: int
    version: int
    durable: bool
    accepted_wall_ms: int
    accepted_ms: int
    failures_allowed: int
    priority: int
    chain_ms: int
    objective_ms: int
    begin_within_ms: int
    steps: tuple[Step, ...]
    tasks: list[Task]
    by_name: dict[TaskName, Task]
    least_cpu_milli: int  # of its smallest task
    submission: int = 0
    begun: bool = False
    ending: JobState | None = None
    has_progress_row: bool = False
    progress_dirty_ms: int = 0
    unstored_ends: list[StoredEnd] = attrs.Factory(list)
    unknown_deadline_ms: int = 0
    caller_deadline_ms: int | None = (
        None  # when its last caller will have stopped waiting, if known
    )

    @property
    def latest_start_ms(self) -> int:
        """Return until when its tasks must have started for the job to meet its objective."""
        return self.accepted_ms + self.objective_ms - self.chain_ms - OVERHEAD_MS

    @property
    def begin_by_ms(self) -> int:
        """Return until when the job should begin to be likely to meet its objective."""
        return self.accepted_ms + self.begin_within_ms

    @property
    def has_waiting_tasks(self) -> bool:
        """Tell whether a task is to be placed, now or once other steps are done."""
        return any(task.phase is TaskPhase.WAITING for task in self.tasks)

    @property
    def is_unstarted(self) -> bool:
        """Tell whether none of its tasks has started or may yet start."""
        return not self.begun and all(task.phase is TaskPhase.WAITING for task in self.tasks)

    @property
    def firm_deadline_ms(self) -> int:
        """Return from when on an end of the job is worth nothing to its caller."""
        return self.accepted_ms + LATE_FACTOR * self.objective_ms

    def extend_caller_deadline(self, until_ms: int | None) -> None:
        """Note one more caller that waits, for ever if it has not said until when."""
        if until_ms is None or self.caller_deadline_ms is None:
            self.caller_deadline_ms = None
        else:
            self.caller_deadline_ms = max(self.caller_deadline_ms, until_ms)

    def may_start(self, now_ms: int) -> bool:
        """Tell whether somebody may still wait for what would start now.

        Callers whose time is over may have submitted the job again elsewhere.
        """
        return self.caller_deadline_ms is None or now_ms < self.caller_deadline_ms

    def owns_run(
        self, task: Task, attempt: int, place: Place, submission: int, agent_life: str
    ) -> bool:
        """Tell whether a run at a place is one of this job's.

        Attempts of stored jobs are unique over all owners. Those of others begin at 1 with each
        submission, so a run of an earlier one may have the same name, also at the same place. An
        agent does not know the submission (0) of what was ordered before its present life.
        """
        if self.durable:
            return True
        if task.place_by_attempt.get(attempt) != place:
            return False
        if submission == self.submission:
            return True
        return submission == 0 and task.incarnation_by_attempt.get(attempt) != agent_life

    def ready_tasks(self) -> list[Task]:
        """Return the waiting tasks whose turn has come."""
        open_steps = {task.name.step for task in self.tasks if task.phase is not TaskPhase.DONE}
        return [
            task
            for task in self.tasks
            if task.phase is TaskPhase.WAITING and not open_steps.intersection(task.step.after)
        ]

    def next_attempt(self, task: Task) -> int:
        """Return the number of the next start of a task: it rises over starts and owners."""
        floor = (self.epoch - 1) * ATTEMPTS_PER_EPOCH
        return max(task.attempt, floor) + 1

    def record_end(self, task: Task, attempt: int, end: RunEnd, now_ms: int) -> None:
        """Note how a run ended; a task that is done stays done, whichever run did it."""
        if task.phase is TaskPhase.DONE:
            return
        if end is RunEnd.DONE:
            task.phase = TaskPhase.DONE
            self.progress_dirty_ms = self.progress_dirty_ms or now_ms
        elif end is RunEnd.FAILED:
            task.failed_attempts.add(attempt)
            self.progress_dirty_ms = self.progress_dirty_ms or now_ms
        # A later run of a task that was taken over may be where nobody has told of it yet.
        open_phases = (TaskPhase.ORDERED, TaskPhase.RUNNING)
        if task.phase in open_phases and attempt == task.attempt:
            self.release(task)

    def release(self, task: Task) -> None:
        """Let a task wait again, as its last start came to nothing."""
        if task.phase is TaskPhase.DONE:
            return
        task.phase = TaskPhase.WAITING
        task.place = None
        task.hold_logged = False

    def outcome(self) -> JobState | None:
        """Return the final state that the tasks' ends make up, None while it is open."""
        if any(len(task.failed_attempts) >= self.failures_allowed for task in self.tasks):
            return JobState.FAILED
        if all(task.phase is TaskPhase.DONE for task in self.tasks):
            return JobState.SUCCEEDED
        return None

    def active_tasks(self) -> Iterator[Task]:
        """Yield the tasks that may be at work somewhere."""
        for task in self.tasks:
            if task.phase in (TaskPhase.ORDERED, TaskPhase.RUNNING):
                yield task

    def progress(self) -> JobProgress:
        """Return what is known for good of the tasks."""
        return JobProgress(
            tuple(
                TaskProgress(
                    task.name.step,
                    task.name.index,
                    task.phase is TaskPhase.DONE,
                    sorted(task.failed_attempts),
                )
                for task in self.tasks
                if task.phase is TaskPhase.DONE or task.failed_attempts
            )
        )

    def restore(self, progress: JobProgress) -> None:
        """Take over what an earlier owner stored of the tasks."""
        for row in progress.tasks:
            task = self.by_name[task_name(self.job_id, row.step, row.index)]
            task.failed_attempts = set(row.failed_attempts)
            if row.done:
                task.phase = TaskPhase.DONE


def build_job(
    job_id: str,
    record: OpenJob,
    version: int,
    now_ms: int,
    *,
    durable: bool,
    failures_allowed: int,
    priority: int,
    latency_factor: float,
    latency_slack_ms: int,
) -> Job:
    """Return a job as its row describes it, with all tasks waiting."""
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
        spec=record.spec,
        owner=record.owner,
        epoch=record.epoch,
        version=version,
        durable=durable,
        accepted_wall_ms=record.accepted_wall_ms,
        accepted_ms=now_ms,
        failures_allowed=failures_allowed,
        priority=priority,
        chain_ms=chain_ms,
        objective_ms=int(chain_ms * latency_factor) + latency_slack_ms,
        begin_within_ms=begin_within_ms(chain_ms, latency_factor, latency_slack_ms),
        steps=steps,
        tasks=tasks,
        by_name={task.name: task for task in tasks},
        least_cpu_milli=min(step.resources.cpu_milli for step in steps),
    )


def begin_within_ms(chain_ms: int, latency_factor: float, latency_slack_ms: int) -> int:
    """Return how long a job may wait to begin and still be likely to meet its objective.

    Only a share of the time that depends on its stated work is counted on.
    """
    spare_ms = BEGIN_SHARE * (latency_factor - 1) * chain_ms
    return max(0, int(spare_ms) + latency_slack_ms - OVERHEAD_MS)


def longest_chain_ms(steps: tuple[Step, ...]) -> int:
    """Return the estimate of the longest chain of steps that must follow each other."""
    ends: list[int] = []
    for step in steps:
        begin = max((ends[other] for other in step.after), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)
