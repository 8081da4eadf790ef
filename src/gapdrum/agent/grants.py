"""For how long the agent may act for each entry, by the clocks that entries echo."""

from gapdrum.core.run_bounds import RESTART_ALLOWANCE_MS, STOP_ALLOWANCE_MS, RunBounds
from gapdrum.core.runner_ledger import Run


class Grants:
    """The last echoed clock of each owner.

    For jobs that are stored only the echoes count that were sent while the owner held its
    lease. After a start of the agent, the owners of what runs are unknown, and so is when they
    were heard last: none of that is renewed, and it is stopped unless its owner claims it soon.
    """

    def __init__(self, bounds: RunBounds) -> None:
        self._bounds = bounds
        self._echoed: dict[tuple[str, bool], int] = {}

    @property
    def bounds(self) -> RunBounds:
        """Return the spans that hold here."""
        return self._bounds

    def note(self, owner: str, clock_ms: int, lease_held: bool) -> None:
        """Note a clock of ours that an owner has echoed."""
        self._note_one((owner, False), clock_ms)
        if lease_held:
            self._note_one((owner, True), clock_ms)

    def _note_one(self, key: tuple[str, bool], clock_ms: int) -> None:
        self._echoed[key] = max(self._echoed.get(key, 0), clock_ms)

    def until_ms(self, owner: str, durable: bool) -> int:
        """Return until when the agent may act for an owner, 0 if it never was granted."""
        last_echo_ms = self.last_echo_ms(owner, durable)
        return last_echo_ms + self._bounds.grant_ms(durable) if last_echo_ms is not None else 0

    def last_echo_ms(self, owner: str, durable: bool) -> int | None:
        """Return the last clock that an owner has echoed, None if it never did."""
        return self._echoed.get((owner, durable))

    def lease_deadline_ms(self, owner: str, durable: bool) -> int:
        """Return when the lease of what runs for an owner must have ended at the latest."""
        return self.until_ms(owner, durable) + STOP_ALLOWANCE_MS

    def stop_due_ms(self, run: Run) -> int:
        """Return when a run must be stopped, unless its owner is heard before."""
        last_echo_ms = self._word_for(run)
        if last_echo_ms is None:
            return run.since_ms + RESTART_ALLOWANCE_MS
        return last_echo_ms + self._bounds.grant_ms(run.durable)

    def lease_limit_ms(self, run: Run) -> int:
        """Return when the lease of a run must have ended, 0 if it must not be renewed at all."""
        last_echo_ms = self._word_for(run)
        return (
            last_echo_ms + self._bounds.lease_duration_ms(run.durable)
            if last_echo_ms is not None
            else 0
        )

    def require_claim(self, run: Run) -> None:
        """Let no later word of a run's owner count for it, until the owner claims it anew."""
        if run.claimed:
            run.last_echo_ms = self.last_echo_ms(run.owner, run.durable)
            run.claimed = False

    def silent_ms(self, run: Run, now_ms: int) -> int | None:
        """Return how long ago the last word came that counts for a run, None if not known."""
        last_echo_ms = self._word_for(run)
        return now_ms - last_echo_ms if last_echo_ms is not None else None

    def _word_for(self, run: Run) -> int | None:
        """Return the last word that counts for a run: none of a stream where it isn't claimed."""
        return self.last_echo_ms(run.owner, run.durable) if run.claimed else run.last_echo_ms
