"""Records decisions, each with a reason code and the numbers that it is based on."""

from collections import OrderedDict

import attrs

MAX_DECISIONS = 60_000
MAX_PER_JOB = 2_000
NO_TASK = -1


@attrs.frozen
class Figure:
    """A named number that a decision is based on; the name includes the unit."""

    name: str
    value: int


@attrs.frozen
class Decision:
    """One decision: its subject, reason code, time, and the numbers that it is based on."""

    time_wall_ms: int
    job_id: str
    task: int
    code: str
    subject: str
    settings_version: int
    entry_id: str
    figures: tuple[Figure, ...] = ()


class DecisionLog:
    """Keeps recent decisions by job in memory, and those not yet written to the journal."""

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._by_job: OrderedDict[str, list[Decision]] = OrderedDict()
        self._unwritten: list[Decision] = []
        self._count = 0
        self.dropped = 0

    def record(
        self,
        wall_ms: int,
        job_id: str,
        code: str,
        settings_version: int,
        task: int = NO_TASK,
        subject: str = "",
        **figures: int,
    ) -> None:
        """Record a decision; the keyword arguments are its figures."""
        listed = tuple(Figure(name, value) for name, value in figures.items())
        decision = Decision(
            wall_ms, job_id, task, code, subject, settings_version, self._entry_id, listed
        )
        self._unwritten.append(decision)
        recorded = self._by_job.get(job_id)
        if recorded is None:
            recorded = self._by_job[job_id] = []
        if len(recorded) >= MAX_PER_JOB:
            self.dropped += 1
            return
        recorded.append(decision)
        self._count += 1
        while self._count > MAX_DECISIONS:
            _job_id, oldest = self._by_job.popitem(last=False)
            self._count -= len(oldest)

    def list_for(self, job_id: str) -> list[Decision]:
        """Return the decisions on a job that are still in memory, oldest first."""
        return list(self._by_job.get(job_id, ()))

    def take_unwritten(self) -> list[Decision]:
        """Return and clear the decisions that are not yet written to the journal."""
        unwritten = self._unwritten
        self._unwritten = []
        return unwritten

    def put_back(self, decisions: list[Decision]) -> None:
        """Return decisions whose journal write failed, so that the next write includes them."""
        self._unwritten = decisions + self._unwritten
