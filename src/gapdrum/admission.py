"""Admission control: decides which submissions are refused on arrival, by registered checks."""

import math
from collections.abc import Callable, Sequence

import attrs

from gapdrum import reasons
from gapdrum.members import RunnerView
from gapdrum.models import Submission
from gapdrum.quotas import Quotas
from gapdrum.runtimes import RunTime
from gapdrum.settings import Settings


@attrs.frozen
class AdmissionInputs:
    """The inputs of the admission checks, all read at one moment."""

    known_runners: Sequence[RunnerView]
    ready_runners: Sequence[RunnerView]
    queued: int
    run_time: RunTime
    settings: Settings
    quotas: Quotas
    leaving: bool


@attrs.frozen
class Refusal:
    """Why a submission is refused, when to retry, and the figures behind the decision."""

    code: str
    message: str
    http_status: int
    retry_after_ms: int | None
    figures: dict[str, int]


Check = Callable[[Submission, AdmissionInputs], Refusal | None]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register an admission check; checks run in the order of registration."""
    CHECKS.append(function)
    return function


def find_refusal(submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Return the first refusal, None to admit the submission."""
    for function in CHECKS:
        refusal = function(submission, inputs)
        if refusal is not None:
            return refusal
    return None


@check
def check_leaving(_submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse while the entry shuts down; the caller may retry at another entry at once."""
    if not inputs.leaving:
        return None
    return Refusal(reasons.LEAVING, "this entry is shutting down", 503, 0, {})


@check
def check_upstream(submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse an upstream that no runner has announced."""
    if inputs.known_runners:
        return None
    message = f"no runner has announced the upstream {submission.upstream}"
    retry_ms = inputs.settings.refuse_retry_after_ms
    return Refusal(reasons.UPSTREAM_UNKNOWN, message, 404, retry_ms, {"runners": 0})


@check
def check_fit(submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse tasks that need more accelerators than any runner has, or more time than allowed."""
    most = max(view.accelerators for view in inputs.known_runners)
    if submission.accelerators > most:
        message = f"no runner has {submission.accelerators} accelerators"
        return Refusal(reasons.NEVER_FITS, message, 422, None, {"most_accelerators": most})
    if not inputs.run_time.is_learned:
        return None
    fastest_ms = inputs.run_time.percentile_ms(1)
    if submission.deadline_ms >= fastest_ms:
        return None
    message = "tasks of this kind have never ended within such a deadline"
    return Refusal(reasons.NEVER_FITS, message, 422, None, {"fastest_run_ms": fastest_ms})


@check
def check_ready(_submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse while no runner of the upstream accepts work."""
    if inputs.ready_runners:
        return None
    retry_ms = inputs.settings.refuse_retry_after_ms
    figures = {"runners_known": len(inputs.known_runners)}
    return Refusal(reasons.NO_RUNNER, "no runner accepts work now", 503, retry_ms, figures)


@check
def check_queue(submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse a submission that does not fit into the entry's queue."""
    limit = inputs.settings.queue_limit_tasks
    if inputs.queued + len(submission.tasks) <= limit:
        return None
    figures = {"queued_tasks": inputs.queued, "queue_limit_tasks": limit}
    retry_ms = max(inputs.settings.refuse_retry_after_ms, estimate_wait_ms(0, inputs))
    return Refusal(reasons.OVERLOADED, "the queue is full", 503, retry_ms, figures)


@check
def check_quota(submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse a submission that the team's rate limit can't start before its deadline."""
    tasks = len(submission.tasks)
    if inputs.quotas.can_ever_start(submission.team, tasks, submission.deadline_ms):
        return None
    message = "the team's rate limit is too low for this job and deadline"
    return Refusal(reasons.TEAM_QUOTA, message, 422, None, {"tasks": tasks})


@check
def check_deadline(submission: Submission, inputs: AdmissionInputs) -> Refusal | None:
    """Refuse a submission that would wait past its deadline behind the queued work."""
    if not inputs.run_time.is_learned:
        return None
    wait_ms = estimate_wait_ms(len(submission.tasks), inputs)
    needed_ms = wait_ms + inputs.run_time.percentile_ms(50)
    if needed_ms <= submission.deadline_ms:
        return None
    figures = {"estimated_wait_ms": wait_ms, "estimated_response_ms": needed_ms}
    retry_ms = needed_ms - submission.deadline_ms
    message = "the deadline can't be met behind the work already queued"
    return Refusal(reasons.DEADLINE_UNMEETABLE, message, 503, retry_ms, figures)


def estimate_wait_ms(tasks: int, inputs: AdmissionInputs) -> int:
    """Estimate how long the last of ``tasks`` more tasks would wait for a slot."""
    slots = sum(view.slots for view in inputs.ready_runners)
    free = sum(max(0, view.free_slots) for view in inputs.ready_runners)
    if slots == 0:
        return 0
    ahead = max(0, inputs.queued + tasks - free)
    return math.ceil(ahead / slots * inputs.run_time.mean_ms)
