"""Counts the refusals of requests that were not read as a job."""

from collections import Counter

from gapdrum.event_log import EventLog

WRITE_INTERVAL_MS = 1_000


class RefusalCounts:
    """Refusals by status and reason, written once a second.

    No line of a job tells of them, and a line for each would crowd out those of jobs when all
    callers are turned away::

        counts.count(503, "no_configuration")
        counts.count(503, "no_configuration")
        counts.write()  # one line with count=2
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._counts: Counter[tuple[int, str]] = Counter()

    def count(self, status: int, reason: str) -> None:
        """Count one refusal."""
        self._counts[status, reason] += 1

    def write(self) -> None:
        """Write a line for each status and reason counted since the last time."""
        counts, self._counts = self._counts, Counter()
        for (status, reason), count in counts.items():
            self._log.write("requests_refused", reason=reason, status=status, count=count)
            # The line has counted as one.
            self._log.measures.events["requests_refused", reason] += count - 1
