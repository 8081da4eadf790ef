"""Whether a runner does its work: failures, and runs that stand still."""

import attrs

# A sound runner fails one run in 500; two in a row without a run that is done are a sign.
STRIKES_UNTIL_SUSPECT = 2
# How long a suspect runner gets no work before a trial run. A trial that goes wrong costs one
# job its time, but each second of rest of a sound runner costs the work of all its cores: rests
# that doubled kept a runner of 32 cores away for 5 s after it worked again.
REST_MS = 1_500


@attrs.define
class RunnerHealth:
    """Strikes of one runner, as its agent sees them.

    A suspect runner rests; after that it is tried with one run at a time until one is done.
    """

    strikes: int = 0
    resting_until_ms: int = 0
    on_trial: bool = False

    def note_done(self) -> None:
        """Note a run that was done: the runner works."""
        self.strikes = 0
        self.on_trial = False
        self.resting_until_ms = 0

    def note_strike(self, now_ms: int) -> None:
        """Note a run that failed or stands still."""
        self.strikes += 1
        if self.on_trial or self.strikes >= STRIKES_UNTIL_SUSPECT:
            self.resting_until_ms = now_ms + REST_MS
            self.on_trial = False
            self.strikes = 0

    def is_resting(self, now_ms: int) -> bool:
        """Tell whether the runner gets no work now; the end of a rest begins a trial."""
        if not self.resting_until_ms:
            return False
        if now_ms < self.resting_until_ms:
            return True
        self.resting_until_ms = 0
        self.on_trial = True
        return False
