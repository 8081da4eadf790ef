"""Summarizes from log lines which jobs were lost or late, when, and why."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from gapdrum.timelines import LogLine

MS_PER_S = 1_000
# Seconds that are shown for each reason: those with the most losses.
WORST_SECONDS = 3
ENDED = "ended"
DONE = "done"
BAR_LENGTH = 60  # characters of the longest bar in the chart
GIVEN_UP = "no_room_in_time"


@attrs.define
class Loss:
    """The jobs that were lost or late for one reason."""

    reason: str
    jobs: int = 0
    queues: Counter[str] = attrs.Factory(Counter)
    zones: Counter[str] = attrs.Factory(Counter)
    seconds: Counter[int] = attrs.Factory(Counter)  # since the first line

    def count(self, job: "JobHistory", zone: str, first_ms: int) -> None:
        """Count a job."""
        self.queues[job.queue] += 1
        self.add(1, zone, (job.submitted_ms - first_ms) // MS_PER_S)

    def add(self, jobs: int, zone: str, second: int) -> None:
        """Count jobs of a zone and a second; their queue may be unknown."""
        self.jobs += jobs
        self.zones[zone] += jobs
        self.seconds[second] += jobs

    def worst_seconds(self) -> str:
        """Return the seconds with the most of these jobs, and their counts."""
        most = self.seconds.most_common(WORST_SECONDS)
        return ", ".join(f"{second} s: {count}" for second, count in sorted(most))


@attrs.define
class JobHistory:
    """The logged events of one job."""

    queue: str
    entry: str
    submitted_ms: int
    objective_ms: int = 0
    chain_ms: int = 0
    latency_factor: float = 0.0
    ran_ms: dict[str, int] = attrs.Factory(dict)  # the longest successful run, by step
    starts_ms: list[int] = attrs.Factory(list)
    released: Counter[str] = attrs.Factory(Counter)
    outcome: str = ""
    total_ms: int = 0
    is_resubmitted: bool = False  # its caller has submitted it again

    @property
    def due_ms(self) -> float:
        """Return the time within which callers need the answer, from the measured work.

        Stated work is 40% off: with it, 2,417 jobs of a day counted as late, while callers saw
        some 250 late answers.
        """
        chain_ms = sum(self.ran_ms.values())
        return self.objective_ms + self.latency_factor * (chain_ms - self.chain_ms)

    def reason(self) -> str:
        """Return why the job was lost or late, or an empty text if it was neither."""
        if self.outcome == ENDED:
            return self._lateness() if self.total_ms > self.due_ms else ""
        if self.outcome:
            return self.outcome if not self.starts_ms else f"{self.outcome}, after it had begun"
        return "no end is logged" + (", it had begun" if self.starts_ms else "")

    def _lateness(self) -> str:
        """Return why the job ended after its due time."""
        if not self.starts_ms:
            return "late: no start is logged"
        first_ms = min(self.starts_ms) - self.submitted_ms
        last_ms = max(self.starts_ms) - self.submitted_ms
        overrun_ms = self.total_ms - self.due_ms
        if first_ms >= overrun_ms:
            return "late: its first task started late"
        if self.released:
            return f"late: a start came to nothing ({self.released.most_common(1)[0][0]})"
        if last_ms >= overrun_ms:
            return "late: its last task started late"
        return "late: its tasks began in time, and its answer came late"


def summarize_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the losses by reason, the most frequent first.

    ::

        for loss in summarize_losses(read_lines(paths)):
            print(loss.reason, loss.jobs, loss.worst_seconds())
    """
    logged = _collect_jobs(lines)
    losses: dict[str, Loss] = {}
    for job in logged.jobs.values():
        reason = job.reason()
        if reason:
            zone = logged.zones.get(job.entry, job.entry)
            losses.setdefault(reason, Loss(reason)).count(job, zone, logged.first_ms)
    for line in logged.refusals:
        reason = f"refused unread: {line.fields['reason']}"
        zone = logged.zones.get(line.instance, line.instance)
        second = (line.t_ms - logged.first_ms) // MS_PER_S
        losses.setdefault(reason, Loss(reason)).add(line.fields["count"], zone, second)
    return sorted(losses.values(), key=lambda loss: -loss.jobs)


def draw_losses(losses: Iterable[Loss]) -> list[str]:
    """Return a bar chart: one line for each second with losses, its length by their number."""
    seconds = sum((loss.seconds for loss in losses), Counter())
    most = max(seconds.values(), default=1)
    return [
        f"{second:>5} s {seconds[second]:>6} {'#' * math.ceil(BAR_LENGTH * seconds[second] / most)}"
        for second in sorted(seconds)
    ]


@attrs.define
class _LoggedJobs:
    """All submitted jobs, and the availability zones of instances."""

    first_ms: int = 0
    jobs: dict[str, JobHistory] = attrs.Factory(dict)
    zones: dict[str, str] = attrs.Factory(dict)
    refusals: list[LogLine] = attrs.Factory(list)  # of requests refused before they were parsed


def _collect_jobs(lines: Iterable[LogLine]) -> _LoggedJobs:
    logged = _LoggedJobs()
    for line in lines:
        logged.first_ms = min(logged.first_ms or line.t_ms, line.t_ms)
        request = line.fields.get("request")
        if line.event == "started":
            logged.zones[line.instance] = line.fields["zone"]
        elif line.event == "requests_refused":
            logged.refusals.append(line)
        elif line.event == "job_submitted" and request not in logged.jobs:
            logged.jobs[request] = JobHistory(line.fields["queue"], line.instance, line.t_ms)
        elif request in logged.jobs:
            _apply_line(logged.jobs[request], line)
    return logged


def _apply_line(job: JobHistory, line: LogLine) -> None:
    fields = line.fields
    if line.event == "job_submitted":
        job.outcome = ""
        job.is_resubmitted = True
    elif line.event == "job_begun":
        job.objective_ms = fields["objective_ms"]
        job.chain_ms = fields["chain_ms"]
        job.latency_factor = fields["latency_factor"]
    elif line.event == "task_ended" and fields["end"] == DONE:
        step = fields["task"].rsplit(".", 1)[0]
        job.ran_ms[step] = max(job.ran_ms.get(step, 0), fields["ran_ms"])
    elif line.event == "task_started":
        job.starts_ms.append(line.t_ms)
    elif line.event == "task_released":
        job.released[fields["reason"]] += 1
    elif line.event == "job_ended":
        job.outcome = ENDED
        job.objective_ms = fields["objective_ms"]
        # The entry that ended a resubmitted job doesn't know when it was first submitted.
        job.total_ms = line.t_ms - job.submitted_ms if job.is_resubmitted else fields["total_ms"]
    elif line.event == "job_refused":
        job.outcome = f"refused at once: {fields['reason']}"
    elif line.event == "job_given_up":
        job.outcome = "refused after a wait"
    elif line.event == "job_dropped" and fields["reason"] not in (ENDED, GIVEN_UP):
        job.outcome = f"dropped: {fields['reason']}"
