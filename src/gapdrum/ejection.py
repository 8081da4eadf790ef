"""Ejection of runners after consecutive failures, with probation before their return."""

from collections.abc import Callable

import attrs

from gapdrum import reasons
from gapdrum.decisions import DecisionLog
from gapdrum.members import EJECTED, PROBATION, Members, RunnerView
from gapdrum.settings import SettingsHolder

MAX_EJECTED_SHARE = 0.5


@attrs.frozen
class EjectionChange:
    """A change of a runner's ejection state."""

    view: RunnerView
    event: str
    failures_in_row: int


def record_outcome(
    view: RunnerView, failed: bool, limit: int, peers: list[RunnerView]
) -> EjectionChange | None:
    """Record a task outcome at a runner; eject the runner or end its probation if due.

    At most half of an upstream's runners are ejected: if most of them fail,
    the cause is the tasks and not the runners.
    """
    if not failed:
        view.failures_in_row = 0
        if view.state == PROBATION:
            view.apply("pass")
            return EjectionChange(view, "pass", 0)
        return None
    view.failures_in_row += 1
    failing = view.state == PROBATION or view.failures_in_row >= limit
    if view.state == EJECTED or not failing or not _may_eject(peers):
        return None
    view.apply("eject")
    return EjectionChange(view, "eject", view.failures_in_row)


def _may_eject(peers: list[RunnerView]) -> bool:
    ejected = sum(view.state == EJECTED for view in peers)
    return ejected + 1 <= len(peers) * MAX_EJECTED_SHARE


class Ejector:
    """Ejects and readmits runners by the settings of their upstream, and records why."""

    def __init__(
        self,
        members: Members,
        settings: SettingsHolder,
        decisions: DecisionLog,
        wall_ms: Callable[[], int],
    ) -> None:
        self._members = members
        self._settings = settings
        self._decisions = decisions
        self._wall_ms = wall_ms

    def observe_outcome(self, view: RunnerView, failed: bool, now_ms: int) -> None:
        """Apply the outcome of a task that started at a runner."""
        limit = self._settings.for_upstream(view.upstream).eject_after_failures
        peers = self._members.of_upstream(view.upstream)
        change = record_outcome(view, failed, limit, peers)
        if change is None:
            return
        view.ejected_at_ms = now_ms
        passed = change.event == "pass"
        code = reasons.RUNNER_PASSED if passed else reasons.RUNNER_EJECTED
        self._record(view, code, failures_in_row=change.failures_in_row)

    def probe(self, now_ms: int) -> bool:
        """Put runners whose ejection is over on probation; return whether any were."""
        over = [view for view in self._members if self._is_over(view, now_ms)]
        for view in over:
            view.apply("probe")
            self._record(view, reasons.RUNNER_PROBATION)
        return bool(over)

    def _is_over(self, view: RunnerView, now_ms: int) -> bool:
        if view.state != EJECTED:
            return False
        return (
            now_ms - view.ejected_at_ms >= self._settings.for_upstream(view.upstream).eject_for_ms
        )

    def _record(self, view: RunnerView, code: str, **figures: int) -> None:
        agent_id = view.agent.agent_id
        version = self._settings.version
        self._decisions.record(
            self._wall_ms(), f"runner:{agent_id}", code, version, subject=agent_id, **figures
        )
