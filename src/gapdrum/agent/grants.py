"""Until when the agent may act for each entry, by the readings of its clock that entries echo."""

from gapdrum.core.run_bounds import RESTART_ALLOWANCE_MS, STOP_ALLOWANCE_MS, RunBounds
from gapdrum.core.runner_ledger import Run


class Grants:
    """Each owner's last echo, and the grant from it: until when the agent acts for the owner.

    A last echo is the latest reading of the agent's clock that the owner sent back. For durable
    jobs, only echoes sent while the owner held its entry lease in the store count. After the agent
    has started, the owners of present runs and their last echoes are unknown: a runner's lease is
    not renewed while it has such runs, and they are stopped unless their owners have the agent
    adopt them soon. ``core/run_bounds.py`` has the durations.
    """

    def __init__(self, bounds: RunBounds) -> None:
        self._bounds = bounds
        self._last_echoes: dict[tuple[str, bool], int] = {}

    @property
    def bounds(self) -> RunBounds:
        """Return the time limits of runs on this platform."""
        return self._bounds

    def note(self, owner: str, clock_ms: int, lease_held: bool) -> None:
        """Record a reading of the agent's clock that an owner has echoed."""
        self._record_echo((owner, False), clock_ms)
        if lease_held:
            self._record_echo((owner, True), clock_ms)

    def _record_echo(self, key: tuple[str, bool], clock_ms: int) -> None:
        self._last_echoes[key] = max(self._last_echoes.get(key, 0), clock_ms)

    def until_ms(self, owner: str, durable: bool) -> int:
        """Return when the grant of an owner ends, 0 if it never had one."""
        last_echo_ms = self.last_echo_ms(owner, durable)
        return last_echo_ms + self._bounds.grant_ms(durable) if last_echo_ms is not None else 0

    def last_echo_ms(self, owner: str, durable: bool) -> int | None:
        """Return the last echo of an owner, None if there was none."""
        return self._last_echoes.get((owner, durable))

    def lease_deadline_ms(self, owner: str, durable: bool) -> int:
        """Return when the runner's lease must have ended for a new run of an owner.

        Without a grant it is ``STOP_ALLOWANCE_MS``; the owner's orders are then refused before.
        """
        return self.until_ms(owner, durable) + STOP_ALLOWANCE_MS

    def stop_due_ms(self, run: Run) -> int:
        """Return when a run must be stopped, unless its owner echoes before."""
        last_echo_ms = self._effective_echo_ms(run)
        if last_echo_ms is None:
            return run.since_ms + RESTART_ALLOWANCE_MS
        return last_echo_ms + self._bounds.grant_ms(run.durable)

    def lease_limit_ms(self, run: Run) -> int:
        """Return when the runner's lease must have ended for a run's sake, 0 for no renewal."""
        last_echo_ms = self._effective_echo_ms(run)
        return (
            last_echo_ms + self._bounds.lease_bound_ms(run.durable)
            if last_echo_ms is not None
            else 0
        )

    def require_claim(self, run: Run) -> None:
        """Ignore later echoes of a run's owner for this run until it is adopted."""
        if run.claimed:
            run.last_echo_ms = self.last_echo_ms(run.owner, run.durable)
            run.claimed = False

    def silent_ms(self, run: Run, now_ms: int) -> int | None:
        """Return the time since the last echo that counts for a run, None if not known."""
        last_echo_ms = self._effective_echo_ms(run)
        return now_ms - last_echo_ms if last_echo_ms is not None else None

    def _effective_echo_ms(self, run: Run) -> int | None:
        """Return the last echo that counts for a run: the recorded one until its adoption."""
        return self.last_echo_ms(run.owner, run.durable) if run.claimed else run.last_echo_ms
