"""Since when what this process reads may have been waiting, as it may have stood still before."""

TICK_MS = 50
# A tick that comes this much late shows that the process stood still, or was very busy.
LATE_MS = 100
# What came during a pause is read within this time after it: connections are accepted first.
BACKLOG_MS = 200


class PauseDetector:
    """Remembers the last pause of this process, seen by a tick that came late.

    ::

        watch = PauseDetector(timers.now_ms())
        watch.tick(timers.now_ms())         # every TICK_MS
        watch.earliest_ms(read_ms)          # read_ms, or when the pause before it began
    """

    def __init__(self, now_ms: int) -> None:
        self._ticked_ms = now_ms
        self._began_ms = now_ms
        self._ended_ms = now_ms - BACKLOG_MS

    def tick(self, now_ms: int) -> None:
        """Note that the process is awake."""
        if now_ms - self._ticked_ms > TICK_MS + LATE_MS:
            self._began_ms, self._ended_ms = self._ticked_ms, now_ms
        self._ticked_ms = now_ms

    def earliest_ms(self, read_ms: int) -> int:
        """Return when that may have come at the earliest which was read at a time."""
        if read_ms - self._ticked_ms > TICK_MS + LATE_MS:
            return self._ticked_ms  # the pause has just ended
        is_backlog = read_ms - self._ended_ms < BACKLOG_MS
        return min(read_ms, self._began_ms) if is_backlog else read_ms
