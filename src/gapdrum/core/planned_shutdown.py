"""Which new jobs an entry that is about to end still takes, and which others serve better."""

import attrs

# Stated work is 40% off, and the slowest runners take a quarter longer than the stated time.
RUNTIME_MARGIN_FACTOR = 1.5
# The order to the agent, the look that shows the end, and the answer.
OVERHEAD_MS = 200


@attrs.frozen
class PlannedShutdown:
    """When an entry ends, and after how long a caller that is sent away submits its job again.

    A caller that hears before the end that its job did not run here loses ``resubmit_ms``. One
    whose job is cut off at the end loses the whole time until then as well.

    ::

        departure = PlannedShutdown(ends_ms=6_000, resubmit_ms=1_300)
        departure.has_time(received_ms=1_000, chain_ms=500, objective_ms=900)  # True
        departure.has_time(received_ms=1_000, chain_ms=4_000, objective_ms=6_500)  # False
    """

    ends_ms: int
    resubmit_ms: int

    def accepts_job(self, received_ms: int, chain_ms: int, objective_ms: int) -> bool:
        """Tell whether a job of so much stated work should be served here.

        One that other entries can't serve in time any more is tried if its stated work fits.
        """
        left_ms = self.ends_ms - received_ms
        if left_ms >= RUNTIME_MARGIN_FACTOR * chain_ms + OVERHEAD_MS:
            return True
        in_time_elsewhere = self.resubmit_ms + chain_ms + OVERHEAD_MS <= objective_ms
        return not in_time_elsewhere and left_ms >= chain_ms + OVERHEAD_MS
