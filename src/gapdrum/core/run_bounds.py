"""How long a run may outlive its owner's last echo, and when its task may be started anew.

An agent sends its clock in each heartbeat, and an entry echoes it. The agent measures each time
from the last echoed reading on its own clock, so the owner was alive when the time began. "Lease"
here is the runner's lease, which the agent renews, not the entry's lease in the store.
``docs/RUN-BOUNDS.md`` lists all times with their margins.
"""

import attrs

# How long an agent acts for an entry after the clock reading that the entry last echoed: long
# enough for a restart of either process (0.7 s), short enough to place lost work again in time.
GRANT_MS = 1_300
# A run is stopped when its owner's grant ends, and the runner's lease ends at most this much later.
STOP_ALLOWANCE_MS = 300
# A restarted agent waits this long for owners to claim their runs, then stops unclaimed ones. It
# does not renew the lease of a runner with an unclaimed run, as it can't know the age of its
# owner's last echo. So the wait is short: the lease must outlast it for the runs that are claimed.
RESTART_ALLOWANCE_MS = 200
# For runners' clocks that are up to 2% slow, late timers and busy entries.
CLOCK_SLACK_MS = 350
# After this time without a message from an agent, no run of the entry is left there.
SILENCE_LIMIT_MS = GRANT_MS + STOP_ALLOWANCE_MS + RESTART_ALLOWANCE_MS + CLOCK_SLACK_MS
# A waiting caller's runs end this much before the caller may submit the job again: its owner
# notices the lost connection late (75 ms), the runner's clock is slow and stops take time.
RESUBMIT_MARGIN_MS = 150
# A runner has one lease for all runs, which is never shortened, so a new run starts with the
# present lease, whether its job is durable or not. The lease must end in time also for an order
# whose echo is this old (a heartbeat interval and the delay of a busy entry), so leases are
# requested this much shorter than the bound of non-durable runs.
MAX_ORDER_AGE_MS = 350


@attrs.frozen
class RunBounds:
    """The times that follow from the platform's resubmission delay.

    A waiting caller submits its job again ``resubmit_ms`` after its connection broke, possibly at
    an entry that doesn't know the job. Only this time keeps its tasks from running twice:

    ::

        bounds = RunBounds(resubmit_ms=1_300)
        bounds.lease_duration_ms(durable=False)     # 1_150
        bounds.grant_ms(durable=False)              # 850
    """

    resubmit_ms: int

    def lease_bound_ms(self, durable: bool) -> int:
        """Return how long after its owner's last echo the lease of a run's runner has ended."""
        longest_ms = GRANT_MS + STOP_ALLOWANCE_MS
        return longest_ms if durable else min(longest_ms, self.resubmit_ms - RESUBMIT_MARGIN_MS)

    def lease_ms(self, run_lease_ms: int) -> int:
        """Return the longest lease to request if runners grant at most ``run_lease_ms``."""
        return min(run_lease_ms, self.lease_bound_ms(durable=False) - MAX_ORDER_AGE_MS)

    def grant_ms(self, durable: bool) -> int:
        """Return how long after its owner's last echo a run is to be stopped."""
        return self.lease_bound_ms(durable) - STOP_ALLOWANCE_MS
