"""Whether a runner does its work: failures, and runs that stand still."""

import attrs

# A sound runner fails one run in 500; two in a row without a run that is done are a sign.
FAILURES_UNTIL_SUSPECT = 2
# How long a suspect runner gets no work before a trial run. A trial that goes wrong costs one
# job its time, but each second of rest of a sound runner costs the work of all its cores: rests
# that doubled kept a runner of 32 cores away for 5 s after it worked again.
EJECTION_MS = 1_500


@attrs.define
class RunnerHealth:
    """Strikes of one runner, as its agent sees them.

    A suspect runner rests; after that it is tried with one run at a time until one is done.
    """

    consecutive_failures: int = 0
    ejected_until_ms: int = 0
    half_open: bool = False

    def record_run_success(self) -> None:
        """Note a run that was done: the runner works."""
        self.consecutive_failures = 0
        self.half_open = False
        self.ejected_until_ms = 0

    def record_run_failure(self, now_ms: int) -> None:
        """Note a run that failed or stands still."""
        self.consecutive_failures += 1
        if self.half_open or self.consecutive_failures >= FAILURES_UNTIL_SUSPECT:
            self.ejected_until_ms = now_ms + EJECTION_MS
            self.half_open = False
            self.consecutive_failures = 0

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether the runner gets no work now; the end of a rest begins a trial."""
        if not self.ejected_until_ms:
            return False
        if now_ms < self.ejected_until_ms:
            return True
        self.ejected_until_ms = 0
        self.half_open = True
        return False
