"""Which new jobs an entry still accepts before its planned shutdown."""

import attrs

# Stated work is off by 40%, and the slowest runners take a quarter longer than stated.
RUNTIME_MARGIN_FACTOR = 1.5
# Time for the order to the agent, the poll that shows the end, and the answer; more than is
# deducted from objectives (``jobs.OVERHEAD_MS``).
SHUTDOWN_OVERHEAD_MS = 200


@attrs.frozen
class PlannedShutdown:
    """When an entry ends, and how long a refused caller takes to submit its job again.

    A caller that is refused loses ``resubmit_ms``. One whose job is cut off by the shutdown loses
    the time until then as well.

    ::

        shutdown = PlannedShutdown(ends_ms=6_000, resubmit_ms=1_300)
        shutdown.accepts_job(received_ms=1_000, chain_ms=500, objective_ms=900)  # True
        shutdown.accepts_job(received_ms=1_000, chain_ms=4_000, objective_ms=6_500)  # False
    """

    ends_ms: int
    resubmit_ms: int

    def accepts_job(self, received_ms: int, chain_ms: int, objective_ms: int) -> bool:
        """Tell whether this entry should run a job of so much stated work.

        A job that no other entry could end in time is accepted if its stated work just fits.
        """
        left_ms = self.ends_ms - received_ms
        if left_ms >= RUNTIME_MARGIN_FACTOR * chain_ms + SHUTDOWN_OVERHEAD_MS:
            return True
        in_time_elsewhere = self.resubmit_ms + chain_ms + SHUTDOWN_OVERHEAD_MS <= objective_ms
        return not in_time_elsewhere and left_ms >= chain_ms + SHUTDOWN_OVERHEAD_MS
