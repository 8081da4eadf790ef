"""The agent's records of task attempts: which may start, have started or never will.

This module does no I/O and receives the time as a parameter.  Its rules keep
a task from starting more often than allowed:

* an attempt starts only under the highest epoch seen for its job and only
  before its ``start_by_ms`` on this agent's clock;
* a declined attempt stays on record as ``never_started`` and can't be queued
  again under the same number;
* a record is kept until no order for its job could start any more.
"""

from collections import deque

import attrs

from gapdrum.messages import (
    AttemptKey,
    AttemptStatus,
    Fence,
    Inquire,
    JobHoldings,
    PlaceTasks,
    Withdraw,
)
from gapdrum.states import load_chart

CHART = load_chart("held_task")
QUEUED = "queued"
STARTED = "started"
DONE = "done"
FAILED = "failed"
NEVER_STARTED = "never_started"

REASON_LAPSED = "start_by_passed"
REASON_FENCED = "fenced"
REASON_WITHDRAWN = "withdrawn"
REASON_QUEUE_FULL = "queue_full"
REASON_LEAVING = "runner_leaving"
REASON_NEVER_RECEIVED = "never_received"
REASON_ZONE_DRAINED = "zone_drained"


@attrs.define
class AttemptRecord:
    """One attempt that this agent was ordered to start or asked about, and its state."""

    job_id: str
    key: AttemptKey
    payload: str
    state: str = CHART.initial
    reason: str = ""
    result: str = ""
    run_ms: int = 0

    def apply(self, event: str) -> None:
        """Apply an event of the state chart; raises ChartError if it is not allowed."""
        self.state = CHART.next_state(self.state, event)

    def row(self) -> AttemptStatus:
        """Return the attempt in its wire format."""
        return AttemptStatus(
            self.key.index, self.key.attempt, self.state, self.reason, self.result, self.run_ms
        )


@attrs.define
class JobAttempts:
    """All attempts of one job, under the highest epoch seen for it."""

    job_id: str
    epoch: int
    start_by_ms: int
    keep_until_ms: int
    tasks: dict[AttemptKey, AttemptRecord] = attrs.Factory(dict)

    def holdings(self) -> JobHoldings:
        """Return all rows of the job as one message."""
        return JobHoldings(self.job_id, self.epoch, [task.row() for task in self.tasks.values()])


class Ledger:
    """Decides which attempts start; a reported final state never changes.

    ``retention_ms`` must be at least the longest deadline of a job, so that an
    order delayed by the network still finds the record that forbids it.  The
    agent calls ``next_start`` whenever a slot is free, and reports the
    outcome with ``finish``::

        ledger.place(order, now_ms)
        task = ledger.next_start(now_ms)
        ledger.finish(task, DONE, "", result, run_ms)
    """

    def __init__(self, queue_limit: int, retention_ms: int) -> None:
        self.queue_limit = queue_limit
        self.retention_ms = retention_ms
        self.leaving = False
        self.zone_drained = False
        self._jobs: dict[str, JobAttempts] = {}
        self._queue: deque[AttemptRecord] = deque()
        self._queued = 0

    @property
    def queued(self) -> int:
        """Return how many attempts wait for a slot."""
        return self._queued

    @property
    def job_count(self) -> int:
        """Return how many jobs are on record."""
        return len(self._jobs)

    def epoch_of(self, job_id: str) -> int:
        """Return the highest epoch seen for the job, 0 if none."""
        job = self._jobs.get(job_id)
        return job.epoch if job else 0

    def place(self, order: PlaceTasks, now_ms: int, free_slots: int = 0) -> list[AttemptStatus]:
        """Apply start orders; return rows for those declined at once or known already.

        Beyond the free slots at most ``queue_limit`` attempts are queued.
        """
        job = self._job_for(order.job_id, order.epoch, order.start_by_ms, now_ms)
        rows = []
        for placed in order.tasks:
            key = AttemptKey(placed.index, placed.attempt)
            known = job.tasks.get(key)
            if known is None:
                known = AttemptRecord(order.job_id, key, placed.payload)
                self._admit(job, known, order, now_ms, free_slots)
            if known.state != QUEUED:
                rows.append(known.row())
        return rows

    def next_start(self, now_ms: int) -> tuple[AttemptRecord | None, list[AttemptRecord]]:
        """Return the next attempt to start, marked as started, and those that lapsed."""
        lapsed = []
        while self._queue:
            task = self._queue.popleft()
            if task.state != QUEUED:
                continue
            self._queued -= 1
            if now_ms > self._jobs[task.job_id].start_by_ms:
                self._end(task, REASON_LAPSED)
                lapsed.append(task)
                continue
            task.apply("start")
            return task, lapsed
        return None, lapsed

    def may_start(self, task: AttemptRecord, now_ms: int) -> bool:
        """Recheck an attempt immediately before the runner is called."""
        return not self.zone_drained and now_ms <= self._jobs[task.job_id].start_by_ms

    def finish(
        self, task: AttemptRecord, event: str, reason: str, result: str, run_ms: int
    ) -> AttemptStatus:
        """Record the outcome of a started attempt and return its row."""
        task.apply(event)
        task.reason = reason
        task.result = result
        task.run_ms = run_ms
        task.payload = ""
        return task.row()

    def withdraw(self, order: Withdraw) -> list[AttemptStatus]:
        """Decline attempts that are still queued; return the changed rows."""
        job = self._jobs.get(order.job_id)
        if job is None or order.epoch < job.epoch:
            return []
        keys = order.tasks or tuple(job.tasks)
        return self._decline(job, keys, REASON_WITHDRAWN)

    def fence(self, order: Fence, now_ms: int) -> JobHoldings:
        """Raise the epoch, decline queued attempts of lower epochs, and return all rows."""
        job = self._job_for(order.job_id, order.epoch, 0, now_ms)
        if order.epoch == job.epoch:
            self._decline(job, tuple(job.tasks), REASON_FENCED)
        return job.holdings()

    def inquire(self, order: Inquire, now_ms: int) -> JobHoldings:
        """Return all rows of a job; listed attempts never received are declined for good."""
        job = self._job_for(order.job_id, order.epoch, 0, now_ms)
        for key in order.tasks:
            if key not in job.tasks:
                task = AttemptRecord(order.job_id, key, "")
                job.tasks[key] = task
                self._end(task, REASON_NEVER_RECEIVED)
        return job.holdings()

    def decline_queue(self, reason: str) -> list[AttemptRecord]:
        """Decline all queued attempts; return them."""
        waiting = [task for task in self._queue if task.state == QUEUED]
        for task in waiting:
            self._end(task, reason)
        self._queue.clear()
        self._queued = 0
        return waiting

    def forget(self, now_ms: int) -> int:
        """Drop jobs past their retention; return how many were dropped."""
        expired = [job for job in self._jobs.values() if self._is_expired(job, now_ms)]
        for job in expired:
            del self._jobs[job.job_id]
        return len(expired)

    def _job_for(self, job_id: str, epoch: int, start_by_ms: int, now_ms: int) -> JobAttempts:
        """Return the job's record, created if needed, with epoch and limits raised as given."""
        job = self._jobs.get(job_id)
        if job is None:
            job = JobAttempts(job_id, epoch, start_by_ms, 0)
            self._jobs[job_id] = job
        if epoch > job.epoch:
            self._decline(job, tuple(job.tasks), REASON_FENCED)
            job.epoch = epoch
        job.start_by_ms = max(job.start_by_ms, start_by_ms)
        job.keep_until_ms = max(job.start_by_ms, now_ms) + self.retention_ms
        return job

    def _admit(
        self, job: JobAttempts, task: AttemptRecord, order: PlaceTasks, now_ms: int, free_slots: int
    ) -> None:
        job.tasks[task.key] = task
        if order.epoch < job.epoch:
            self._end(task, REASON_FENCED)
        elif self.leaving:
            self._end(task, REASON_LEAVING)
        elif self.zone_drained:
            self._end(task, REASON_ZONE_DRAINED)
        elif now_ms > order.start_by_ms:
            self._end(task, REASON_LAPSED)
        elif self._queued >= free_slots + self.queue_limit:
            self._end(task, REASON_QUEUE_FULL)
        else:
            self._queue.append(task)
            self._queued += 1

    def _decline(
        self, job: JobAttempts, keys: tuple[AttemptKey, ...], reason: str
    ) -> list[AttemptStatus]:
        rows = []
        for key in keys:
            task = job.tasks.get(key)
            if task is not None and task.state == QUEUED:
                self._end(task, reason)
                self._queued -= 1
                rows.append(task.row())
        return rows

    @staticmethod
    def _end(task: AttemptRecord, reason: str) -> None:
        task.apply("decline")
        task.reason = reason
        task.payload = ""

    def _is_expired(self, job: JobAttempts, now_ms: int) -> bool:
        if now_ms <= job.keep_until_ms:
            return False
        return all(task.state in CHART.final for task in job.tasks.values())
