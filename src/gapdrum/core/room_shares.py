"""Which part of a runner's room is reserved for queues that cannot wait for it.

If a task of a less urgent queue takes the last room, urgent work that arrives during its run is
late. So a little room is reserved for the next work of more urgent queues, except for tasks that
end while that work can wait. Among queues of one priority, room is reserved from a queue that asks
for more than its fair share.
"""

import math
from collections.abc import Mapping

import attrs

from gapdrum.core import orders
from gapdrum.core.queue_demand import PPM

# An entry's demand expires after this time, when three messages are missing.
DEMAND_VALID_MS = 1_500
# Room is reserved for urgent queues until they use their mean demand and this many standard
# deviations; larger bursts have to wait.
USUAL_DEVIATIONS = 3.0
# At most this part of a standard deviation is reserved: while an urgent job can wait, some of the
# room that its queue uses becomes free anyway.
HEADROOM_DEVIATIONS = 0.2
# The limit of what is reserved from a queue, whatever the others ask for, so that none starves.
MAX_RESERVED_PPM = 750_000
PPM_PER_PERMILLE = 1_000

Used = Mapping[str, int]


@attrs.define
class QueueShare:
    """The demand of one queue, summed over all entries, and its policy.

    A job of the queue may wait for ``patience_ms`` until it begins.
    """

    queue: str
    priority: int
    weight: int
    reserved_ppm: int
    ceiling_ppm: int
    run_ms: int = 0
    patience_ms: int = 0
    asked_ppm: int = 0
    variance: float = 0.0

    def add(self, row: orders.QueueDemand) -> None:
        """Add the demand of one entry."""
        self.run_ms = max(self.run_ms, row.run_ms)
        self.patience_ms = max(self.patience_ms, row.patience_ms)
        self.asked_ppm += row.asked_ppm
        self.variance += row.deviation_ppm**2

    def reclaimable_share(self, other: "QueueShare") -> float:
        """Return which part of another queue's used room becomes free while a job can wait."""
        return min(1.0, self.patience_ms / other.run_ms) if other.run_ms else 1.0


@attrs.frozen
class UpstreamShares:
    """The shares of all queues of an upstream; room is in thousandths of a core."""

    queues: Mapping[str, QueueShare]

    def withheld_from(self, name: str, capacity: int, used: Used) -> int:
        """Return how much of a runner's free room a queue may not use, for others' sake."""
        own = self.queues.get(name)
        if own is None:
            return 0
        headroom = max(self._priority_ppm(own, capacity, used), self._fair_ppm(own, capacity, used))
        headroom = max(headroom, self._reserved_ppm(own, capacity, used))
        kept = int(min(headroom, MAX_RESERVED_PPM) * capacity / PPM)
        above_ceiling = capacity - sum(used.values()) + used.get(name, 0)
        above_ceiling -= own.ceiling_ppm * capacity // PPM
        return max(0, kept, above_ceiling)

    def _priority_ppm(self, own: QueueShare, capacity: int, used: Used) -> float:
        """Return the room reserved for the next work of more urgent queues."""
        urgent = [one for one in self.queues.values() if one.priority < own.priority]
        if not urgent:
            return 0.0
        deviation = math.sqrt(sum(one.variance for one in urgent))
        usual = sum(one.asked_ppm for one in urgent) + USUAL_DEVIATIONS * deviation
        unused = usual - sum(_used_ppm(one, capacity, used) for one in urgent)
        reclaimable = min(one.reclaimable_share(own) for one in urgent)
        return (1 - reclaimable) * max(0.0, min(unused, HEADROOM_DEVIATIONS * deviation))

    def _fair_ppm(self, own: QueueShare, capacity: int, used: Used) -> float:
        """Return the room reserved for queues of the same priority within their fair share."""
        equals = [one for one in self.queues.values() if one.priority == own.priority]
        urgent = [one for one in self.queues.values() if one.priority < own.priority]
        left = max(0, PPM - sum(one.asked_ppm for one in urgent))
        weights = sum(one.weight for one in equals)
        if sum(one.asked_ppm for one in equals) <= left:
            return 0.0
        if own.asked_ppm <= left * own.weight / weights:
            return 0.0
        kept = 0.0
        for one in equals:
            part = min(one.asked_ppm, left * one.weight / weights)
            unused = part - _used_ppm(one, capacity, used)
            headroom = HEADROOM_DEVIATIONS * math.sqrt(one.variance)
            if one is not own:
                kept += (1 - one.reclaimable_share(own)) * max(0.0, min(unused, headroom))
        return kept

    def _reserved_ppm(self, own: QueueShare, capacity: int, used: Used) -> float:
        """Return the unused room that operators have reserved for queues at least as urgent."""
        return sum(
            max(0.0, one.reserved_ppm - _used_ppm(one, capacity, used))
            for one in self.queues.values()
            if one is not own and one.priority <= own.priority
        )


def _used_ppm(share: QueueShare, capacity: int, used: Used) -> float:
    return used.get(share.queue, 0) * PPM / capacity


@attrs.define
class RoomShares:
    """The shares of all upstreams, computed from the demand that entries send.

    A restarted agent begins without demand and receives it with the next messages. The
    demand of an entry that has gone expires, so that no room stays reserved for it::

        shares.take("entry-1", demands.queues, now_ms)
        kept = shares.withheld_from("reports", "nightly", 16_000, {"previews": 1_200}, now_ms)
    """

    _demands: dict[str, tuple[int, tuple[orders.QueueDemand, ...]]] = attrs.Factory(dict)
    _upstreams: dict[str, UpstreamShares] = attrs.Factory(dict)
    _until_ms: int = 0

    def take(self, entry: str, rows: tuple[orders.QueueDemand, ...], now_ms: int) -> None:
        """Replace the demand of an entry."""
        self._demands[entry] = (now_ms + DEMAND_VALID_MS, rows)
        self._update_shares(now_ms)

    def kept(self, upstream: str, capacity: int, used: Used, now_ms: int) -> dict[str, int]:
        """Return how much of a runner's free room each queue may not use, where any is reserved."""
        shares = self._shares(upstream, now_ms)
        if shares is None or capacity <= 0:
            return {}
        rows = {name: shares.withheld_from(name, capacity, used) for name in shares.queues}
        return {name: kept for name, kept in rows.items() if kept}

    def withheld_from(
        self, upstream: str, queue: str, capacity: int, used: Used, now_ms: int
    ) -> int:
        """Return how much of a runner's free room one queue may not use."""
        shares = self._shares(upstream, now_ms)
        return shares.withheld_from(queue, capacity, used) if shares and capacity > 0 else 0

    def _shares(self, upstream: str, now_ms: int) -> UpstreamShares | None:
        if self._demands and now_ms >= self._until_ms:
            self._update_shares(now_ms)
        return self._upstreams.get(upstream)

    def _update_shares(self, now_ms: int) -> None:
        """Sum the demands that have not expired, the newest last."""
        self._demands = {
            entry: (until_ms, rows)
            for entry, (until_ms, rows) in sorted(self._demands.items(), key=lambda one: one[1][0])
            if now_ms < until_ms
        }
        self._until_ms = min((until_ms for until_ms, _ in self._demands.values()), default=now_ms)
        upstreams: dict[str, dict[str, QueueShare]] = {}
        for _, rows in self._demands.values():
            for row in rows:
                queues = upstreams.setdefault(row.upstream, {})
                share = queues.setdefault(row.queue, _new_share(row))
                _apply_policy(share, row)
                share.add(row)
        self._upstreams = {name: UpstreamShares(queues) for name, queues in upstreams.items()}


def _new_share(row: orders.QueueDemand) -> QueueShare:
    return QueueShare(row.queue, row.priority, row.weight, 0, PPM)


def _apply_policy(share: QueueShare, row: orders.QueueDemand) -> None:
    """Apply the configuration of the entry whose demand is newest."""
    share.priority = row.priority
    share.weight = row.weight
    share.reserved_ppm = row.reserved_permille * PPM_PER_PERMILLE
    share.ceiling_ppm = row.ceiling_permille * PPM_PER_PERMILLE
