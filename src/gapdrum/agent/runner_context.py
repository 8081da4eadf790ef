"""State that the components for one incarnation of a runner share."""

from collections.abc import Callable

import attrs

from gapdrum.agent.grants import Grants
from gapdrum.agent.lease_bound import LeaseBound
from gapdrum.core.models import ZERO_RESOURCES, Resources
from gapdrum.core.orders import RunEvent
from gapdrum.core.poll_schedule import PollSchedule
from gapdrum.core.room_offers import RoomOffers
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.runner_ledger import Run, RunnerLedger
from gapdrum.event_log import EventLog
from gapdrum.platform.runner_calls import RunnerCalls
from gapdrum.timers import Timers

# A lease ends at the runner at most this much later than asked. Its clock may be up to 2% slow.
EXPIRY_MARGIN_MS = 150
# Nothing is started if the lease must end sooner: a start and one retry take this long.
MIN_START_LEASE_MS = 250


@attrs.define(eq=False)
class RunnerContext:
    """One incarnation of a runner: its ledger, the calls to it, and its lease for all its runs.

    ``report`` is called with the events of runs, and without events after a change of free room.
    ``latest_lease_end_ms`` is the latest end of a lease that was asked for, on the runner's clock.
    """

    ledger: RunnerLedger
    calls: RunnerCalls
    grants: Grants
    run_lease_ms: int
    timers: Timers
    log: EventLog
    report: Callable[[list[tuple[Run, RunEvent]]], None]
    fence: int = 0
    latest_lease_end_ms: int = 0
    offers: RoomOffers = attrs.Factory(RoomOffers)
    bound: LeaseBound = attrs.Factory(LeaseBound)
    schedule: PollSchedule = attrs.Factory(PollSchedule)
    shares: RoomShares = attrs.Factory(RoomShares)

    @property
    def runner_id(self) -> str:
        """Return the identity of this incarnation."""
        return self.ledger.runner_id

    def free_for(self, owner: str, now_ms: int) -> Resources:
        """Return the room that an owner may use now."""
        if not self.may_start(now_ms):
            return ZERO_RESOURCES
        return self.ledger.free - self.offers.withheld_from(owner, now_ms)

    def may_start(self, now_ms: int) -> bool:
        """Return whether a start can still take effect before the lease ends.

        All runs at a runner share one lease, which is not renewed beyond the limit of a run whose
        stop is unanswered. The runner rejects a start shortly before that limit as late.
        """
        return all(
            self.grants.lease_limit_ms(run) - now_ms >= MIN_START_LEASE_MS
            for run in self.ledger.runs.values()
            if run.stopping
        )

    def kept_cpu_milli(self, now_ms: int) -> dict[str, int]:
        """Return how much of the free room each queue may not use, as it is reserved for others."""
        ledger = self.ledger
        if ledger.capacity is None:
            return {}
        capacity = ledger.capacity.cpu_milli
        return self.shares.kept(ledger.upstream, capacity, ledger.used_cpu_milli, now_ms)

    def is_reserved_from(self, queue: str, room: Resources, free: Resources, now_ms: int) -> bool:
        """Return whether a task would use room that is reserved for other queues."""
        ledger = self.ledger
        kept = self.shares.withheld_from(
            ledger.upstream, queue, ledger.capacity.cpu_milli, ledger.used_cpu_milli, now_ms
        )
        return free.cpu_milli - room.cpu_milli < kept

    def renewal_ms(self, now_ms: int) -> int:
        """Return the duration to renew the lease by: a full lease, less if an owner is silent.

        It is 0 or less, for no renewal, while the lease must lapse for a superseded end (see
        ``EndsStored``), before the first poll, while the owner of a run is unknown, once the runner
        has deregistered, and while it is idle: a runner's lease is never shortened, and the next
        run's owner may allow only a shorter one.
        """
        ledger = self.ledger
        if ledger.awaits_lapse() or ledger.leaving or not ledger.polled:
            return 0
        if not ledger.runs and not ledger.has_unstored_ends:
            return 0
        return self.allowed_lease_ms(now_ms)

    def allowed_lease_ms(self, now_ms: int) -> int:
        """Return the longest lease that the last echoes of all runs' owners allow."""
        runs = self.ledger.runs.values()
        limits = [self.grants.lease_limit_ms(run) - now_ms for run in runs]
        return min([self.longest_lease_ms, *limits])

    @property
    def longest_lease_ms(self) -> int:
        """Return the longest lease that the agent asks for."""
        return self.grants.bounds.lease_ms(self.run_lease_ms)

    def lease_exceeds_grant(self, owner: str, durable: bool, now_ms: int) -> bool:
        """Return whether the runner's lease may last longer than an owner's last echo allows.

        Only a stop, which may be lost, could then end a new run of the owner in time.
        """
        allowed_ms = self.grants.lease_deadline_ms(owner, durable) - now_ms
        return (
            self.latest_lease_end_ms
            > self.ledger.clock_floor(self.timers.monotonic_ms()) + allowed_ms
        )

    def plan_renewal(self, left_ms: int) -> int:
        """Return and record the lease end to ask for, on the runner's clock; 0 for no renewal."""
        if left_ms <= 0:
            return 0
        until_ms = self.ledger.clock_floor(self.timers.monotonic_ms()) + left_ms
        self.latest_lease_end_ms = max(self.latest_lease_end_ms, until_ms)
        return until_ms

    def set_gone(self, reason: str) -> None:
        """Record that this incarnation is gone, and report its runs as lost."""
        if self.ledger.gone:
            return
        self.log.write("runner_gone", runner=self.runner_id, reason=reason)
        self.report(self.ledger.set_gone())
