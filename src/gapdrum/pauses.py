"""Detects pauses of this process, during which its input waited without being read."""

TICK_MS = 50
# A tick that is late by more than this shows that the process was paused or overloaded.
LATE_MS = 100
# Input that arrived during a pause is read within this time after it, as connections are
# accepted first.
BACKLOG_MS = 200


class PauseDetector:
    """Detects the last pause of this process by a late tick.

    ::

        detector = PauseDetector(timers.now_ms())
        detector.tick(timers.now_ms())      # every TICK_MS
        detector.earliest_ms(read_ms)       # read_ms, or the begin of the pause before it
    """

    def __init__(self, now_ms: int) -> None:
        self._last_tick_ms = now_ms
        self._pause_began_ms = now_ms
        self._pause_ended_ms = now_ms - BACKLOG_MS

    def tick(self, now_ms: int) -> None:
        """Record that the process is running."""
        if now_ms - self._last_tick_ms > TICK_MS + LATE_MS:
            self._pause_began_ms, self._pause_ended_ms = self._last_tick_ms, now_ms
        self._last_tick_ms = now_ms

    def earliest_ms(self, read_ms: int) -> int:
        """Return the earliest time at which input that was read at ``read_ms`` may have arrived."""
        if read_ms - self._last_tick_ms > TICK_MS + LATE_MS:
            return self._last_tick_ms  # the pause has just ended
        is_backlog = read_ms - self._pause_ended_ms < BACKLOG_MS
        return min(read_ms, self._pause_began_ms) if is_backlog else read_ms
