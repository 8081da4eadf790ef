"""Admission: which submissions are refused at once, by checks that a registry holds."""

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
    """The figures that admission decides on, taken at one moment."""

    known: Sequence[RunnerView]
    ready: Sequence[RunnerView]
    queued: int
    run_time: RunTime
    settings: Settings
    quotas: Quotas
    leaving: bool


@attrs.frozen
class Refusal:
    """Why a submission is refused, when to come back, and the figures it rests on."""

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


def find_refusal(submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Return the first refusal, None to admit the submission."""
    for function in CHECKS:
        refusal = function(submission, situation)
        if refusal is not None:
            return refusal
    return None


@check
def check_leaving(_submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse while the entry shuts down; another entry takes the submission at once."""
    if not situation.leaving:
        return None
    return Refusal(reasons.LEAVING, "this entry is shutting down", 503, 0, {})


@check
def check_upstream(submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse an upstream that no runner has announced."""
    if situation.known:
        return None
    message = f"no runner has announced the upstream {submission.upstream}"
    retry_ms = situation.settings.refuse_retry_after_ms
    return Refusal(reasons.UPSTREAM_UNKNOWN, message, 404, retry_ms, {"runners": 0})


@check
def check_fit(submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse tasks that need more accelerators than any runner has, or more time than allowed."""
    most = max(view.accelerators for view in situation.known)
    if submission.accelerators > most:
        message = f"no runner has {submission.accelerators} accelerators"
        return Refusal(reasons.NEVER_FITS, message, 422, None, {"most_accelerators": most})
    if not situation.run_time.is_learned:
        return None
    fastest_ms = situation.run_time.percentile_ms(1)
    if submission.deadline_ms >= fastest_ms:
        return None
    message = "tasks of this kind have never ended within such a deadline"
    return Refusal(reasons.NEVER_FITS, message, 422, None, {"fastest_run_ms": fastest_ms})


@check
def check_ready(_submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse while no runner of the upstream takes work."""
    if situation.ready:
        return None
    retry_ms = situation.settings.refuse_retry_after_ms
    figures = {"runners_known": len(situation.known)}
    return Refusal(reasons.NO_RUNNER, "no runner takes work now", 503, retry_ms, figures)


@check
def check_queue(submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse what the entry's queue has no room for."""
    limit = situation.settings.queue_limit_tasks
    if situation.queued + len(submission.tasks) <= limit:
        return None
    figures = {"queued_tasks": situation.queued, "queue_limit_tasks": limit}
    retry_ms = max(situation.settings.refuse_retry_after_ms, estimate_wait_ms(0, situation))
    return Refusal(reasons.OVERLOADED, "the queue is full", 503, retry_ms, figures)


@check
def check_quota(submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse what the team's rate limit can't start before the deadline."""
    tasks = len(submission.tasks)
    if situation.quotas.can_ever_start(submission.team, tasks, submission.deadline_ms):
        return None
    message = "the team's rate limit is too low for this job and deadline"
    return Refusal(reasons.TEAM_QUOTA, message, 422, None, {"tasks": tasks})


@check
def check_deadline(submission: Submission, situation: AdmissionInputs) -> Refusal | None:
    """Refuse what would wait past its deadline behind the work already queued."""
    if not situation.run_time.is_learned:
        return None
    wait_ms = estimate_wait_ms(len(submission.tasks), situation)
    needed_ms = wait_ms + situation.run_time.percentile_ms(50)
    if needed_ms <= submission.deadline_ms:
        return None
    figures = {"estimated_wait_ms": wait_ms, "estimated_response_ms": needed_ms}
    retry_ms = needed_ms - submission.deadline_ms
    message = "the deadline can't be met behind the work already queued"
    return Refusal(reasons.DEADLINE_UNMEETABLE, message, 503, retry_ms, figures)


def estimate_wait_ms(tasks: int, situation: AdmissionInputs) -> int:
    """Return how long the last of so many tasks would wait for a slot."""
    slots = sum(view.slots for view in situation.ready)
    free = sum(max(0, view.free_slots) for view in situation.ready)
    if slots == 0:
        return 0
    ahead = max(0, situation.queued + tasks - free)
    return math.ceil(ahead / slots * situation.run_time.mean_ms)
