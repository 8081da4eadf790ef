"""Sums up from log lines what jobs were lost or late, when, and for what reason."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from gapdrum.timelines import LogLine

MS_PER_S = 1_000
# Seconds that are told of each reason, those with the most losses first.
WORST_SECONDS = 3
ENDED = "ended"
DONE = "done"
BAR_LENGTH = 60  # characters of the busiest second in the picture
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
        """Count jobs of a zone and a second, whose queue may not be known."""
        self.jobs += jobs
        self.zones[zone] += jobs
        self.seconds[second] += jobs

    def worst_seconds(self) -> str:
        """Return the seconds with most of these jobs, and how many."""
        most = self.seconds.most_common(WORST_SECONDS)
        return ", ".join(f"{second} s: {count}" for second, count in sorted(most))


@attrs.define
class JobHistory:
    """What one job went through."""

    queue: str
    entry: str
    submitted_ms: int
    objective_ms: int = 0
    chain_ms: int = 0
    latency_factor: float = 0.0
    ran_ms: dict[str, int] = attrs.Factory(dict)  # the longest run that was done, by step
    starts_ms: list[int] = attrs.Factory(list)
    released: Counter[str] = attrs.Factory(Counter)
    outcome: str = ""
    total_ms: int = 0
    is_resubmitted: bool = False  # its caller has handed it in again

    @property
    def due_ms(self) -> float:
        """Return within which time callers need the answer: by the work as it was.

        Stated work is 40% off: by that, 2,417 jobs of a day counted as late of which callers saw
        some 250.
        """
        chain_ms = sum(self.ran_ms.values())
        return self.objective_ms + self.latency_factor * (chain_ms - self.chain_ms)

    def reason(self) -> str:
        """Return why the job was lost or late; empty if it was neither."""
        if self.outcome == ENDED:
            return self._lateness() if self.total_ms > self.due_ms else ""
        if self.outcome:
            return self.outcome if not self.starts_ms else f"{self.outcome}, after it had begun"
        return "no end is logged" + (", it had begun" if self.starts_ms else "")

    def _lateness(self) -> str:
        """Return why the job ended later than its stated work lets expect."""
        if not self.starts_ms:
            return "late: no start is logged"
        first_ms = min(self.starts_ms) - self.submitted_ms
        last_ms = max(self.starts_ms) - self.submitted_ms
        over_ms = self.total_ms - self.due_ms
        if first_ms >= over_ms:
            return "late: its first task started late"
        if self.released:
            return f"late: a start came to nothing ({self.released.most_common(1)[0][0]})"
        if last_ms >= over_ms:
            return "late: its last task started late"
        return "late: its tasks began in time, and its answer came late"


def summarize_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the losses by reason, the most frequent first.

    ::

        for loss in summarize_losses(read_lines(paths)):
            print(loss.reason, loss.jobs, loss.worst_seconds())
    """
    day = _gather_day(lines)
    losses: dict[str, Loss] = {}
    for job in day.jobs.values():
        reason = job.reason()
        if reason:
            zone = day.zones.get(job.entry, job.entry)
            losses.setdefault(reason, Loss(reason)).count(job, zone, day.first_ms)
    for line in day.refusals:
        reason = f"refused unread: {line.fields['reason']}"
        zone = day.zones.get(line.instance, line.instance)
        second = (line.t_ms - day.first_ms) // MS_PER_S
        losses.setdefault(reason, Loss(reason)).add(line.fields["count"], zone, second)
    return sorted(losses.values(), key=lambda loss: -loss.jobs)


def draw_losses(losses: Iterable[Loss]) -> list[str]:
    """Return a line for each second with losses, as long as there are many."""
    seconds = sum((loss.seconds for loss in losses), Counter())
    most = max(seconds.values(), default=1)
    return [
        f"{second:>5} s {seconds[second]:>6} {'#' * math.ceil(BAR_LENGTH * seconds[second] / most)}"
        for second in sorted(seconds)
    ]


@attrs.define
class _Day:
    """All jobs that were handed in, and the availability zones of instances."""

    first_ms: int = 0
    jobs: dict[str, JobHistory] = attrs.Factory(dict)
    zones: dict[str, str] = attrs.Factory(dict)
    refusals: list[LogLine] = attrs.Factory(list)  # of requests that were not read as a job


def _gather_day(lines: Iterable[LogLine]) -> _Day:
    day = _Day()
    for line in lines:
        day.first_ms = min(day.first_ms or line.t_ms, line.t_ms)
        request = line.fields.get("request")
        if line.event == "started":
            day.zones[line.instance] = line.fields["zone"]
        elif line.event == "requests_refused":
            day.refusals.append(line)
        elif line.event == "job_submitted" and request not in day.jobs:
            day.jobs[request] = JobHistory(line.fields["queue"], line.instance, line.t_ms)
        elif request in day.jobs:
            _take_line(day.jobs[request], line)
    return day


def _take_line(job: JobHistory, line: LogLine) -> None:
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
        # The entry that ended it knows nothing of the time before its caller came back.
        job.total_ms = line.t_ms - job.submitted_ms if job.is_resubmitted else fields["total_ms"]
    elif line.event == "job_refused":
        job.outcome = f"refused at once: {fields['reason']}"
    elif line.event == "job_given_up":
        job.outcome = "refused after a wait"
    elif line.event == "job_dropped" and fields["reason"] not in (ENDED, GIVEN_UP):
        job.outcome = f"dropped: {fields['reason']}"
