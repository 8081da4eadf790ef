"""Whether a runner does its work: failures, runs that stand still, and how slow it is."""

import attrs

# A sound runner fails one run in 500; two in a row without a run that is done are a sign.
STRIKES_UNTIL_SUSPECT = 2
# How long a suspect runner gets no work before a trial run. A trial that goes wrong costs one
# job its time, but each second of rest of a sound runner costs the work of all its cores: rests
# that doubled kept a runner of 32 cores away for 5 s after it worked again.
REST_MS = 1_500
# Weight of the newest run in the mean of slowness.
SLOWNESS_WEIGHT = 0.25
# A slowness without a newer run is not believed for longer: troubles last some seconds.
SLOWNESS_VALID_MS = 3_000
PERMILLE = 1_000


@attrs.define
class RunnerHealth:
    """Strikes and slowness of one runner, as its agent sees them.

    A suspect runner rests; after that it is tried with one run at a time until one is done.
    """

    strikes: int = 0
    resting_until_ms: int = 0
    on_trial: bool = False
    slowness: float = 1.0
    slowness_ms: int = 0

    def note_done(self, ran_ms: int, estimate_ms: int, now_ms: int) -> None:
        """Note a run that was done: the runner works."""
        self.strikes = 0
        self.on_trial = False
        self.resting_until_ms = 0
        if estimate_ms:
            self._note_slowness(ran_ms / estimate_ms, now_ms)

    def note_projection(self, total_ms: int, estimate_ms: int, now_ms: int) -> None:
        """Note how long a run that is under way would take in all."""
        if estimate_ms:
            self._note_slowness(total_ms / estimate_ms, now_ms)

    def _note_slowness(self, ratio: float, now_ms: int) -> None:
        if now_ms - self.slowness_ms > SLOWNESS_VALID_MS:
            self.slowness = ratio
        else:
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        self.slowness_ms = now_ms

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

    def slowness_permille(self, now_ms: int) -> int:
        """Return how long runs take against their estimates; 0 if nothing recent is known."""
        if not self.slowness_ms or now_ms - self.slowness_ms > SLOWNESS_VALID_MS:
            return 0
        return int(self.slowness * PERMILLE)
