"""Replays a trace against entries, checks the stated outcome and reports the figures."""

import json
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import attrs
import typer

from gapdrum.exceptions import GapdrumError, RefusedError
from gapdrum.messages import MAX_TASKS_PER_JOB
from gapdrum.models import Answer, Submission, TaskSpec
from gapdrum.sessions import Session
from gapdrum.traces import Trace, TracedJob, load_trace

MAX_THREADS = 400
CALIBRATION_JOBS = 15
CALIBRATION_RUN_MS = 50
PROGRESS_INTERVAL_S = 5
MS_PER_S = 1000
TIMEOUT_MS = 120_000


@attrs.frozen
class Sample:
    """The outcome and times of one job of a trace."""

    key: str
    at_ms: int
    outcome: str
    code: str
    ideal_ms: float
    response_ms: float
    starts_max: int

    @property
    def ratio(self) -> float:
        """Return the response time divided by the ideal time."""
        return self.response_ms / self.ideal_ms


@attrs.frozen
class Report:
    """The counts of a replay; the ratios are those of the answered jobs.

    The ideal time of a job is the longest run time of its tasks plus the least
    overhead of single jobs on the idle system before the replay.
    """

    jobs: int
    answered: int
    complete: int
    failed: int
    refused: int
    errors: int
    starts_max_per_task: int
    idle_overhead_ms: float
    response_over_ideal_p50: float
    response_over_ideal_p99: float
    samples: list[Sample]


def replay(
    trace: Trace,
    urls: list[str],
    token: str,
    speed: float = 1.0,
    progress: Callable[[str], None] = print,
    timeout_ms: int = TIMEOUT_MS,
) -> Report:
    """Replay a trace and return the report; each submission has a timeout."""
    prefix = uuid.uuid4().hex[:8] + "-"
    samples: list[Sample] = []
    lock = threading.Lock()
    with Session(urls, token) as session:
        overhead_ms = calibrate(session, trace, prefix)
        progress(f"overhead on the idle system: {overhead_ms:.1f} ms")
        with ThreadPoolExecutor(MAX_THREADS) as threads:
            started_s = time.monotonic()
            reported_s = started_s

            def run(job: TracedJob) -> None:
                sample = run_job(session, job, prefix, overhead_ms, timeout_ms)
                with lock:
                    samples.append(sample)

            for job in trace.jobs:
                due_s = started_s + job.at_ms / MS_PER_S / speed
                time.sleep(max(0.0, due_s - time.monotonic()))
                for _ in range(job.copies):
                    threads.submit(run, job)
                if time.monotonic() - reported_s > PROGRESS_INTERVAL_S:
                    reported_s = time.monotonic()
                    progress(f"{len(samples)} of {trace.calls} calls answered")
    return summarize(samples, overhead_ms)


def calibrate(session: Session, trace: Trace, prefix: str) -> float:
    """Return the least overhead of single jobs on the idle system, as part of the ideal time."""
    first = trace.jobs[0]
    overheads = []
    for number in range(CALIBRATION_JOBS):
        submission = Submission(
            key=f"{prefix}calibration-{number}",
            team=first.team,
            upstream=first.upstream,
            deadline_ms=10_000,
            tasks=[TaskSpec(json.dumps({"run_ms": CALIBRATION_RUN_MS}))],
            kind="calibration",
        )
        started_s = time.monotonic()
        session.submit(submission)
        overheads.append((time.monotonic() - started_s) * MS_PER_S - CALIBRATION_RUN_MS)
    return max(0.0, min(overheads))


def run_job(
    session: Session, job: TracedJob, prefix: str, overhead_ms: float, timeout_ms: int
) -> Sample:
    """Submit one job and measure its response time."""
    started_s = time.monotonic()
    starts_max = 0
    try:
        answer = session.submit(job.to_submission(prefix), timeout_ms)
        outcome, code = answer.outcome, _describe_reasons(answer)
        starts_max = _count_starts(answer)
    except RefusedError as error:
        outcome, code = "refused", error.code
    except GapdrumError as error:
        outcome, code = "error", error.code
    response_ms = (time.monotonic() - started_s) * MS_PER_S
    ideal_ms = job.ideal_ms + overhead_ms
    return Sample(job.key, job.at_ms, outcome, code, ideal_ms, response_ms, starts_max)


def summarize(samples: list[Sample], overhead_ms: float) -> Report:
    """Return the report on all samples."""
    answered = [sample for sample in samples if sample.outcome in ("complete", "failed")]
    ratios = sorted(sample.ratio for sample in answered) or [0.0]
    return Report(
        jobs=len(samples),
        answered=len(answered),
        complete=sum(sample.outcome == "complete" for sample in samples),
        failed=sum(sample.outcome == "failed" for sample in samples),
        refused=sum(sample.outcome == "refused" for sample in samples),
        errors=sum(sample.outcome == "error" for sample in samples),
        starts_max_per_task=max((sample.starts_max for sample in samples), default=0),
        idle_overhead_ms=round(overhead_ms, 2),
        response_over_ideal_p50=round(percentile(ratios, 50), 3),
        response_over_ideal_p99=round(percentile(ratios, 99), 3),
        samples=sorted(samples, key=lambda sample: sample.at_ms),
    )


def percentile(ordered: list[float], percent: float) -> float:
    """Return a percentile of values in ascending order (nearest rank)."""
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, min(len(ordered) - 1, int(rank) - 1))]


def list_deviations(trace: Trace, report: Report) -> list[str]:
    """Return the differences between a replay and the stated outcome; empty if there are none."""
    stated = trace.outcome
    failures = Counter(s.code for s in report.samples if s.outcome != "complete")
    deviations = [f"{count} jobs: {code}" for code, count in failures.items()]
    if stated.failed or stated.refused:
        deviations = []
    for name in ("jobs", "complete", "failed", "refused"):
        expected, actual = getattr(stated, name), getattr(report, name)
        if expected != actual:
            deviations.append(f"{name}: stated {expected}, got {actual}")
    if report.starts_max_per_task > stated.starts_max_per_task:
        deviations.append(f"starts_max_per_task: {report.starts_max_per_task}")
    return deviations


def _describe_reasons(answer: Answer) -> str:
    """Return the fates and reasons of the tasks that are not done, as ``unknown agent_gone``."""
    reasons = {
        f"{task.fate} {task.reason} {task.result}" for task in answer.tasks if task.fate != "done"
    }
    return ", ".join(sorted(reasons))


def _count_starts(answer: Answer) -> int:
    return max((task.starts for task in answer.tasks[:MAX_TASKS_PER_JOB]), default=0)


def main() -> None:
    """Run the command ``gapdrum-replay``."""
    typer.run(start)


def start(
    trace_path: Annotated[Path, typer.Argument(help="The trace file.")],
    url: Annotated[list[str], typer.Option(help="An entry's URL; may be given several times.")],
    token: Annotated[str, typer.Option(envvar="GAPDRUM_TOKEN", help="The caller's token.")],
    speed: Annotated[float, typer.Option(min=0.01, max=1000, help="Times as fast.")] = 1.0,
    report_path: Annotated[
        Path | None, typer.Option("--report", help="Write the report as JSON here.")
    ] = None,
    plot_path: Annotated[
        Path | None, typer.Option("--plot", help="Write a plot as PNG here.")
    ] = None,
) -> None:
    """Replay a trace; exit with 1 if its stated outcome was not reached."""
    trace = load_trace(trace_path)
    report = replay(trace, url, token, speed, typer.echo)
    if report_path is not None:
        report_path.write_text(json.dumps(attrs.asdict(report), indent=1))
    if plot_path is not None:
        from gapdrum.plots import plot_report

        plot_report(report, plot_path)
    deviations = list_deviations(trace, report)
    for deviation in deviations:
        typer.echo(f"deviation: {deviation}", err=True)
    raise typer.Exit(1 if deviations else 0)
