"""Counts refused requests that were not read as a job, and connections without a response."""

from collections import Counter

from gapdrum.event_log import EventLog

WRITE_INTERVAL_MS = 1_000


class RefusalCounts:
    """Refusals by status and reason, logged once a second.

    They have no job to be logged with, and a line for each would crowd out the lines of jobs
    when all callers are refused::

        counts.count(503, "no_configuration")
        counts.count(503, "no_configuration")
        counts.write()  # one line with count=2
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._counts: Counter[tuple[int, str]] = Counter()
        self._closed: Counter[str] = Counter()

    def count(self, status: int, reason: str) -> None:
        """Count one refusal."""
        self._counts[status, reason] += 1

    def count_closed(self, reason: str) -> None:
        """Count one connection that was closed without a response."""
        self._closed[reason] += 1

    def write(self) -> None:
        """Log a line for each status and reason counted since the last call."""
        counts, self._counts = self._counts, Counter()
        for (status, reason), count in counts.items():
            self._log.write("requests_refused", reason=reason, status=status, count=count)
            # Writing the line has counted one event.
            self._log.measures.events["requests_refused", reason] += count - 1
        closed, self._closed = self._closed, Counter()
        for reason, count in closed.items():
            self._log.write("connections_closed", reason=reason, count=count)
            self._log.measures.events["connections_closed", reason] += count - 1
