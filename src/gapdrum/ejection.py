"""Ejection of runners that fail everything they start, with probation before return."""

import attrs

from gapdrum.members import EJECTED, PROBATION, RunnerView

MIN_SHARE_LEFT = 0.5


@attrs.frozen
class EjectionChange:
    """A runner that was ejected, put on probation or has passed it."""

    view: RunnerView
    event: str
    failures_in_row: int


def note_outcome(
    view: RunnerView, failed: bool, limit: int, peers: list[RunnerView]
) -> EjectionChange | None:
    """Count a task outcome at a runner; eject it, or let it pass its probation.

    Never more than half of an upstream's runners are ejected: if most of them
    fail, the tasks are at fault and not the runners.
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
    return ejected + 1 <= len(peers) * MIN_SHARE_LEFT
