"""The health of a runner: its ejection after failed or stalled runs, and its return."""

import attrs

# A healthy runner fails one run in 500, so two failures without a success between them are
# suspicious.
FAILURES_UNTIL_SUSPECT = 2
# How long an ejected runner gets no work before a trial run. It does not grow: a failed trial
# costs one job's time, but each second without a healthy runner costs the work of all its cores,
# and ejections that doubled kept a runner of 32 cores away for 5 s after it had recovered.
EJECTION_MS = 1_500


@attrs.define
class RunnerHealth:
    """The failures of one runner, as its agent sees them.

    While ``ejected_until_ms`` is set, the runner is ejected, and entries are told that it is
    suspect. After its ejection it is half-open: it gets one run at a time until one succeeds.
    """

    consecutive_failures: int = 0
    ejected_until_ms: int = 0
    half_open: bool = False

    def record_run_success(self) -> None:
        """Record a run that succeeded: the runner is healthy."""
        self.consecutive_failures = 0
        self.half_open = False
        self.ejected_until_ms = 0

    def record_run_failure(self, now_ms: int) -> None:
        """Record a run that failed or is stalled."""
        self.consecutive_failures += 1
        if self.half_open or self.consecutive_failures >= FAILURES_UNTIL_SUSPECT:
            self.ejected_until_ms = now_ms + EJECTION_MS
            self.half_open = False
            self.consecutive_failures = 0

    def update_ejection(self, now_ms: int) -> bool:
        """Return whether the runner is ejected; end an ejection that is over by half-opening it."""
        if not self.ejected_until_ms:
            return False
        if now_ms < self.ejected_until_ms:
            return True
        self.ejected_until_ms = 0
        self.half_open = True
        return False
