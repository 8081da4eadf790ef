"""For how long the agent may act for each entry, by the clocks that entries echo."""

from gapdrum.core.run_bounds import RESTART_ALLOWANCE_MS, STOP_ALLOWANCE_MS, RunBounds
from gapdrum.core.runner_ledger import UNKNOWN_OWNER, Run


class Grants:
    """The last echoed clock of each owner.

    For jobs that are stored only the echoes count that were sent while the owner held its
    lease. After a start of the agent, owners of what runs are unknown; that is kept alive for a
    short time only, which entries allow for before they take a run for dead.
    """

    def __init__(self, bounds: RunBounds, now_ms: int) -> None:
        self._bounds = bounds
        unknown_ms = now_ms + RESTART_ALLOWANCE_MS - bounds.grant_ms(kept=True)
        self._echoed = {(UNKNOWN_OWNER, True): unknown_ms}

    def note(self, owner: str, clock_ms: int, lease_held: bool) -> None:
        """Note a clock of ours that an owner has echoed."""
        self._note_one((owner, False), clock_ms)
        if lease_held:
            self._note_one((owner, True), clock_ms)

    def _note_one(self, key: tuple[str, bool], clock_ms: int) -> None:
        self._echoed[key] = max(self._echoed.get(key, 0), clock_ms)

    def end(self, owner: str) -> None:
        """End the grants of an owner that is known to be gone."""
        for kept in (False, True):
            self._echoed.pop((owner, kept), None)

    def until_ms(self, owner: str, kept: bool) -> int:
        """Return until when the agent may act for an owner, 0 if it never was granted."""
        echoed_ms = self._echoed.get((owner, kept))
        return echoed_ms + self._bounds.grant_ms(kept) if echoed_ms is not None else 0

    def is_over(self, run: Run, now_ms: int) -> bool:
        """Tell whether a run must be stopped, as its owner is silent."""
        return now_ms >= self.until_ms(run.owner, run.kept)

    def lease_limit_ms(self, owner: str, kept: bool) -> int:
        """Return when a lease of a run of this owner must have ended at the latest."""
        return self.until_ms(owner, kept) + STOP_ALLOWANCE_MS
