"""Rebuilds a job after its owner died, from the holdings of its roster's agents.

This module does no I/O.  The agents are fenced first, so their records can
only change by the end of attempts that have started.
"""

from gapdrum import ledger, reasons
from gapdrum.jobs import LOST, AgentKey, Attempt, Job, Task
from gapdrum.messages import AttemptStatus, JobHoldings


class Recovery:
    """Collects the holdings of a fenced roster until each agent has answered or is missing.

    The records of ``missing`` agents are lost, so no task that they may have
    started is placed again.
    """

    def __init__(self, job: Job, roster: list[AgentKey], may_place: bool) -> None:
        self.job = job
        self.may_place = may_place
        self.awaited = set(roster)
        self.missing: set[AgentKey] = set()

    @property
    def is_complete(self) -> bool:
        """Tell whether every agent of the roster has answered or is missing."""
        return not self.awaited

    def add_holdings(self, agent: AgentKey, holdings: JobHoldings) -> None:
        """Add one agent's holdings to the job."""
        if agent not in self.awaited:
            return
        self.awaited.discard(agent)
        for row in holdings.tasks:
            if row.index < len(self.job.tasks):
                _add_row(self.job, self.job.tasks[row.index], agent, row)

    def mark_missing(self, agent: AgentKey) -> None:
        """Record that an agent's records are lost."""
        if agent in self.awaited:
            self.awaited.discard(agent)
            self.missing.add(agent)

    def finalize_tasks(self) -> list[Task]:
        """Set the state of each task; return the tasks to place again."""
        to_place = []
        for task in self.job.tasks:
            if task.is_final or task.outstanding_attempts():
                continue
            if self.missing:
                _count_possible_starts(task)
            if self.may_place and task.may_place():
                to_place.append(task)
                continue
            self.job.settle(task, reasons.TAKEN_OVER)
        if not self.may_place:
            self.job.placement_closed_reason = reasons.TAKEN_OVER
        return to_place


def _add_row(job: Job, task: Task, agent: AgentKey, row: AttemptStatus) -> None:
    attempt = Attempt(row.attempt, agent, job.created_at_ms)
    task.attempts.append(attempt)
    if row.state == ledger.STARTED:
        if not task.is_final and task.state != "placed":
            task.apply("place")
        return
    job.report(agent, row)


def _count_possible_starts(task: Task) -> None:
    """Count every start that a missing agent may have made."""
    unknown_agent = AgentKey("", "")
    while task.starts < task.starts_allowed:
        possible = Attempt(0, unknown_agent, 0, LOST, reasons.RECORDS_GONE)
        task.attempts.append(possible)
    task.reason = reasons.RECORDS_GONE
