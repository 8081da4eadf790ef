"""A job at its owning entry: which tasks may be placed, and the state of each attempt.

This module does no I/O.  ``Task.may_place`` enforces the limit on starts: an
attempt counts as a start from the moment it is sent until its agent has
confirmed that it never started.
"""

import enum

import attrs

from gapdrum import ledger, reasons
from gapdrum.messages import AttemptStatus
from gapdrum.models import Answer, Progress, Submission, TaskOutcome, summarize_outcome
from gapdrum.states import load_chart

CHART = load_chart("task")
WAITING = "waiting"
PLACED = "placed"
NOT_RUN = "not_run"
UNKNOWN = "unknown"

OUTSTANDING = "out"
LOST = "lost"

# Failures that leave it unknown whether the runner did the work.
AMBIGUOUS_REASONS = frozenset({reasons.CONNECTION_LOST})


class ReportEffect(enum.Enum):
    """The effect of a row: none, end of an outstanding attempt, or of one marked lost."""

    NOTHING = "nothing"
    ENDED = "ended"
    LATE = "late"


@attrs.frozen
class AgentKey:
    """One incarnation of an agent; a restarted agent has lost its records, so it is another."""

    agent_id: str
    incarnation: str


@attrs.define
class Attempt:
    """One order to start a task, and its known outcome."""

    number: int
    agent: AgentKey
    placed_at_ms: int
    state: str = OUTSTANDING
    reason: str = ""

    @property
    def may_have_started(self) -> bool:
        """Tell whether this attempt counts as a start."""
        return self.state != ledger.NEVER_STARTED


@attrs.define
class Task:
    """One task of the job with all its attempts."""

    index: int
    payload: str
    starts_allowed: int
    state: str = CHART.initial
    attempts: list[Attempt] = attrs.Factory(list)
    reason: str = ""
    result: str = ""

    @property
    def starts(self) -> int:
        """Return how many times the task may have started."""
        return sum(attempt.may_have_started for attempt in self.attempts)

    @property
    def is_final(self) -> bool:
        """Tell whether the task has reached a final state."""
        return self.state in CHART.final

    def may_place(self) -> bool:
        """Tell whether one more start is within the limit of the submission."""
        return not self.is_final and self.starts < self.starts_allowed

    def apply(self, event: str, reason: str = "") -> None:
        """Apply an event of the state chart, and record the reason."""
        self.state = CHART.next_state(self.state, event)
        self.reason = reason or self.reason

    def outstanding_attempts(self) -> list[Attempt]:
        """Return the attempts whose outcome is not known yet."""
        return [attempt for attempt in self.attempts if attempt.state == OUTSTANDING]

    def find_attempt(self, agent: AgentKey, number: int) -> Attempt | None:
        """Return the attempt of this number at this agent."""
        for attempt in self.attempts:
            if attempt.number == number and attempt.agent == agent:
                return attempt
        return None


class Job:
    """All tasks of one claimed submission under one epoch.

    The scheduler places waiting tasks and applies the reports of agents::

        number = job.place(0, agent, now_ms)
        job.report(agent, row)
        if job.is_settled: answer = job.answer(now_ms)
    """

    def __init__(self, submission: Submission, epoch: int, now_ms: int) -> None:
        self.submission = submission
        self.job_id = submission.job_id
        self.epoch = epoch
        self.created_at_ms = now_ms
        self.deadline_at_ms = now_ms + submission.deadline_ms
        self.reason = ""
        self.placement_closed_reason = ""
        allowed = submission.starts_allowed
        self.tasks = [Task(i, spec.payload, allowed) for i, spec in enumerate(submission.tasks)]
        self.unsettled = len(self.tasks)

    @property
    def is_settled(self) -> bool:
        """Tell whether every task is final."""
        return self.unsettled == 0

    @property
    def has_not_run_tasks(self) -> bool:
        """Tell whether an answer would report any task as not run."""
        return any(task.state == NOT_RUN for task in self.tasks)

    def mark_not_run_unknown(self, reason: str) -> None:
        """Change not-run tasks to unknown: another owner may have taken the job over."""
        for task in self.tasks:
            if task.state == NOT_RUN:
                task.state = UNKNOWN
                task.reason = reason

    def place(self, index: int, agent: AgentKey, now_ms: int) -> int:
        """Record that a start order is sent; return the number of the attempt."""
        task = self.tasks[index]
        if not task.may_place():
            raise AssertionError(f"task {index} of {self.job_id} has no start left")
        number = len(task.attempts) + 1
        task.attempts.append(Attempt(number, agent, now_ms))
        task.apply("place")
        return number

    def report(self, agent: AgentKey, row: AttemptStatus) -> ReportEffect:
        """Apply an agent's row; a duplicate changes nothing."""
        task = self.tasks[row.index] if row.index < len(self.tasks) else None
        attempt = task.find_attempt(agent, row.attempt) if task else None
        if attempt is None or attempt.state not in (OUTSTANDING, LOST):
            return ReportEffect.NOTHING
        if row.state in (ledger.QUEUED, ledger.STARTED):
            return ReportEffect.NOTHING
        effect = ReportEffect.ENDED if attempt.state == OUTSTANDING else ReportEffect.LATE
        attempt.reason = row.reason
        attempt.state = LOST if row.reason in AMBIGUOUS_REASONS else row.state
        if not task.is_final:
            self._apply_end(task, row)
        return effect

    def mark_agent_lost(self, agent: AgentKey, reason: str) -> list[Task]:
        """Mark all outstanding attempts at an agent as lost; return their tasks."""
        affected = []
        for task in self.tasks:
            for attempt in task.outstanding_attempts():
                if attempt.agent == agent:
                    attempt.state = LOST
                    attempt.reason = reason
                    affected.append(task)
                    self._retry_or_settle(task, reason)
        return affected

    def outstanding_at(self, agent: AgentKey) -> list[tuple[int, int]]:
        """Return task index and number of each attempt outstanding at an agent."""
        return [
            (task.index, attempt.number)
            for task in self.tasks
            for attempt in task.outstanding_attempts()
            if attempt.agent == agent
        ]

    def outstanding_agents(self) -> list[AgentKey]:
        """Return the agents with outstanding attempts of the job, each once, in order."""
        agents = (attempt.agent for task in self.tasks for attempt in task.outstanding_attempts())
        return list(dict.fromkeys(agents))

    def stop_placing(self, reason: str) -> None:
        """Settle every waiting task; outstanding attempts may still report."""
        self.placement_closed_reason = reason
        for task in self.tasks:
            if task.state == WAITING:
                self.settle(task, reason)

    def give_up(self, reason: str) -> None:
        """Settle every task now; tasks with outstanding attempts become unknown."""
        self.stop_placing(reason)
        for task in self.tasks:
            if not task.is_final:
                self._finish(task, "lose", reason)

    def settle(self, task: Task, reason: str) -> None:
        """Set the final state, as its attempts prove it, of a task that won't be placed again."""
        states = [attempt.state for attempt in task.attempts if attempt.may_have_started]
        if not states:
            self._finish(task, "give_up", reason)
        elif LOST in states or OUTSTANDING in states:
            self._finish(task, "lose", task.reason or reason)
        else:
            self._finish(task, "fail", task.reason or reason)

    def answer(self, now_ms: int) -> Answer:
        """Return the answer of a settled job."""
        outcomes = [
            TaskOutcome(task.index, task.state, task.reason, task.result, task.starts)
            for task in self.tasks
        ]
        submission = self.submission
        return Answer(
            self.job_id,
            submission.team,
            submission.key,
            summarize_outcome(outcomes),
            self.reason,
            self.epoch,
            now_ms - self.created_at_ms,
            outcomes,
        )

    def progress(self) -> Progress:
        """Return the counts of tasks by state."""
        counts = dict.fromkeys(("waiting", "placed", "done", "failed", "not_run", "unknown"), 0)
        for task in self.tasks:
            counts[task.state] += 1
        state = "settled" if self.is_settled else "open"
        return Progress(self.job_id, self.submission.team, state, **counts)

    def _apply_end(self, task: Task, row: AttemptStatus) -> None:
        if row.state == ledger.DONE:
            task.result = row.result
            self._finish(task, "finish", "")
        elif row.state == ledger.NEVER_STARTED:
            self._retry_or_settle(task, row.reason)
        else:
            task.result = row.result
            self._retry_or_settle(task, row.reason)

    def _retry_or_settle(self, task: Task, reason: str) -> None:
        """Handle an attempt without success: wait for other attempts, retry, or settle."""
        if task.is_final:
            return
        task.reason = reason
        if task.outstanding_attempts():
            return
        if task.may_place() and not self.placement_closed_reason:
            task.apply("return", reason)
            return
        self.settle(task, self.placement_closed_reason or reason)

    def _finish(self, task: Task, event: str, reason: str) -> None:
        task.apply(event, reason)
        if event == "finish":
            task.reason = ""
        task.payload = ""
        self.unsettled -= 1
