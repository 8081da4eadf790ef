"""How long a run may outlive the last word of its owner, and who may start it anew from when.

An owner's word is a reading of the agent's clock: an agent states its clock with each beat, and
an entry echoes it. Each span is counted by the agent on that one clock, so that the owner was
alive when it began. ``docs/RUN-BOUNDS.md`` lists all of them with their margins.
"""

import attrs

# How long an agent acts for an entry after the clock that the entry echoed: long enough for a
# restart of either (0.7 s) and short enough that lost work is placed again in time.
GRANT_MS = 1_300
# After a grant has ended, a run is stopped; its lease ends this much later at the latest.
STOP_ALLOWANCE_MS = 300
# An agent that has just started waits so long for owners to claim what runs, then stops it. Until
# then it renews nothing, as it can't know how long ago the owner was heard; what is claimed must
# not lapse meanwhile.
RESTART_ALLOWANCE_MS = 200
# Runners' clocks may be 2% slow, timers a little late, entries busy.
CLOCK_SLACK_MS = 350
# After this long without a word of an agent, nothing runs there for the entry any more.
SILENCE_LIMIT_MS = GRANT_MS + STOP_ALLOWANCE_MS + RESTART_ALLOWANCE_MS + CLOCK_SLACK_MS
# What runs for a caller is over this much before the caller may submit the job again: its owner
# notices late that the caller has gone (75 ms), the runner's clock is slow and stops take a while.
RESUBMIT_MARGIN_MS = 150
# A lease is one for all that runs at a runner and never shortens, so a run that starts has the one
# that is there. Leases are asked for so much shorter than a hold that orders of this age still fit:
# a beat and a busy entry.
ORDER_AGE_MS = 350


@attrs.frozen
class RunBounds:
    """The spans that follow from what the platform states.

    A job whose caller waits is submitted again, at an entry that has never heard of it,
    ``resubmit_ms`` after the caller's connection broke. Nothing but this time guards its tasks:

    ::

        bounds = RunBounds(resubmit_ms=1_300)
        bounds.hold_ms(kept=False)      # 1_150
        bounds.grant_ms(kept=False)     # 850
    """

    resubmit_ms: int

    def lease_duration_ms(self, durable: bool) -> int:
        """Return how long after its owner's last word a run's lease has ended."""
        longest_ms = GRANT_MS + STOP_ALLOWANCE_MS
        return longest_ms if durable else min(longest_ms, self.resubmit_ms - RESUBMIT_MARGIN_MS)

    def lease_ms(self, run_lease_ms: int) -> int:
        """Return the longest lease to ask for at a runner that grants so much."""
        return min(run_lease_ms, self.lease_duration_ms(durable=False) - ORDER_AGE_MS)

    def grant_ms(self, durable: bool) -> int:
        """Return how long after its owner's last word a run is to be stopped."""
        return self.lease_duration_ms(durable) - STOP_ALLOWANCE_MS
