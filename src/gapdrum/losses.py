"""Sums up from log lines what jobs were lost or late, when, and for what reason."""

from collections import Counter
from collections.abc import Iterable

import attrs

from gapdrum.timelines import LogLine

MS_PER_S = 1_000
# Seconds that are told of each reason, those with the most losses first.
WORST_SECONDS = 3
ENDED = "ended"
GIVEN_UP = "no_room_in_time"


@attrs.define
class Loss:
    """The jobs that were lost or late for one reason."""

    reason: str
    jobs: int = 0
    queues: Counter[str] = attrs.Factory(Counter)
    entries: Counter[str] = attrs.Factory(Counter)
    seconds: Counter[int] = attrs.Factory(Counter)

    def count(self, job: "JobHistory") -> None:
        """Count a job."""
        self.jobs += 1
        self.queues[job.queue] += 1
        self.entries[job.entry] += 1
        self.seconds[job.submitted_ms // MS_PER_S] += 1

    def worst_seconds(self) -> str:
        """Return the seconds of the day with most of these jobs, and how many."""
        most = self.seconds.most_common(WORST_SECONDS)
        return ", ".join(f"{second % 86_400} s: {count}" for second, count in sorted(most))


@attrs.define
class JobHistory:
    """What one job went through."""

    queue: str
    entry: str
    submitted_ms: int
    objective_ms: int = 0
    starts_ms: list[int] = attrs.Factory(list)
    released: Counter[str] = attrs.Factory(Counter)
    outcome: str = ""
    total_ms: int = 0

    def reason(self) -> str:
        """Return why the job was lost or late; empty if it was neither."""
        if self.outcome == ENDED:
            return self._lateness() if self.total_ms > self.objective_ms else ""
        if self.outcome:
            return self.outcome if not self.starts_ms else f"{self.outcome}, after it had begun"
        return "no end is logged" + (", it had begun" if self.starts_ms else "")

    def _lateness(self) -> str:
        """Return why the job ended later than its stated work lets expect."""
        if not self.starts_ms:
            return "late: no start is logged"
        first_ms = min(self.starts_ms) - self.submitted_ms
        last_ms = max(self.starts_ms) - self.submitted_ms
        over_ms = self.total_ms - self.objective_ms
        if first_ms >= over_ms:
            return "late: its first task started late"
        if self.released:
            return f"late: a start came to nothing ({self.released.most_common(1)[0][0]})"
        if last_ms >= over_ms:
            return "late: its last task started late"
        return "late: it ran longer than stated"


def sum_up_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the losses by reason, the most frequent first.

    ::

        for loss in sum_up_losses(read_lines(paths)):
            print(loss.reason, loss.jobs, loss.worst_seconds())
    """
    losses: dict[str, Loss] = {}
    for job in _gather_jobs(lines).values():
        reason = job.reason()
        if reason:
            losses.setdefault(reason, Loss(reason)).count(job)
    return sorted(losses.values(), key=lambda loss: -loss.jobs)


def _gather_jobs(lines: Iterable[LogLine]) -> dict[str, JobHistory]:
    jobs: dict[str, JobHistory] = {}
    for line in lines:
        request = line.fields.get("request")
        if line.event == "job_submitted" and request not in jobs:
            jobs[request] = JobHistory(line.fields["queue"], line.instance, line.t_ms)
        elif request in jobs:
            _take_line(jobs[request], line)
    return jobs


def _take_line(job: JobHistory, line: LogLine) -> None:
    fields = line.fields
    if line.event == "job_begun":
        job.objective_ms = fields["objective_ms"]
    elif line.event == "task_started":
        job.starts_ms.append(line.t_ms)
    elif line.event == "task_released":
        job.released[fields["reason"]] += 1
    elif line.event == "job_ended":
        job.outcome = ENDED
        job.objective_ms = fields["objective_ms"]
        job.total_ms = fields["total_ms"]
    elif line.event == "job_refused":
        job.outcome = f"refused at once: {fields['reason']}"
    elif line.event == "job_given_up":
        job.outcome = "refused after a wait"
    elif line.event == "job_dropped" and fields["reason"] not in (ENDED, GIVEN_UP):
        job.outcome = f"dropped: {fields['reason']}"
