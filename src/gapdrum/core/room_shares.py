"""Which part of a runner's room is kept for queues that cannot wait for it.

A task of a patient queue that takes the last room holds it for its whole run, and urgent work
that comes meanwhile is late. So a little room is kept free for the work that more urgent queues
are likely to bring next; what ends while that can wait is lent. Queues of one priority keep room
from one that asks for more than its fair part.
"""

import math
from collections.abc import Mapping

import attrs

from gapdrum.core import orders
from gapdrum.core.queue_demand import PPM

# Demand that was not told again for this long counts for nothing: three notices are missing.
TOLD_VALID_MS = 1_500
# Urgent queues keep room only until they use as much as they usually ask for, and so many standard
# deviations more: what a burst asks for beyond that is its own queue's to wait for.
USUAL_DEVIATIONS = 3.0
# Room for this part of a standard deviation is kept free: while an urgent job can wait, some of
# the room that its queue uses comes free by itself.
HEADROOM_DEVIATIONS = 0.2
# Queues keep no more than this from others, whatever they ask for, so that none starves.
MOST_KEPT_PPM = 750_000
PPM_PER_PERMILLE = 1_000

Used = Mapping[str, int]


@attrs.define
class QueueShare:
    """What all entries together have told of one queue."""

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
        """Add what one entry tells."""
        self.run_ms = max(self.run_ms, row.run_ms)
        self.patience_ms = max(self.patience_ms, row.patience_ms)
        self.asked_ppm += row.asked_ppm
        self.variance += row.deviation_ppm**2

    def reclaimable_share(self, other: "QueueShare") -> float:
        """Return which part of the room that another queue uses comes back in time."""
        return min(1.0, self.patience_ms / other.run_ms) if other.run_ms else 1.0


@attrs.frozen
class UpstreamShares:
    """The shares of all queues of an upstream; room is in thousandths of a core."""

    queues: Mapping[str, QueueShare]

    def kept_from(self, name: str, capacity: int, used: Used) -> int:
        """Return how much of a runner's free room is kept from a queue."""
        own = self.queues.get(name)
        if own is None:
            return 0
        headroom = max(self._urgent_ppm(own, capacity, used), self._fair_ppm(own, capacity, used))
        headroom = max(headroom, self._reserved_ppm(own, capacity, used))
        kept = int(min(headroom, MOST_KEPT_PPM) * capacity / PPM)
        above_ceiling = capacity - sum(used.values()) + used.get(name, 0)
        above_ceiling -= own.ceiling_ppm * capacity // PPM
        return max(0, kept, above_ceiling)

    def _urgent_ppm(self, own: QueueShare, capacity: int, used: Used) -> float:
        """Return what is kept for the next work of more urgent queues."""
        urgent = [one for one in self.queues.values() if one.priority < own.priority]
        if not urgent:
            return 0.0
        deviation = math.sqrt(sum(one.variance for one in urgent))
        usual = sum(one.asked_ppm for one in urgent) + USUAL_DEVIATIONS * deviation
        unused = usual - sum(_used_ppm(one, capacity, used) for one in urgent)
        lent = min(one.reclaimable_share(own) for one in urgent)
        return (1 - lent) * max(0.0, min(unused, HEADROOM_DEVIATIONS * deviation))

    def _fair_ppm(self, own: QueueShare, capacity: int, used: Used) -> float:
        """Return what is kept for queues of the same priority that stay in their fair part."""
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
        """Return what operators have reserved for queues that are no less urgent."""
        return sum(
            max(0.0, one.reserved_ppm - _used_ppm(one, capacity, used))
            for one in self.queues.values()
            if one is not own and one.priority <= own.priority
        )


def _used_ppm(share: QueueShare, capacity: int, used: Used) -> float:
    return used.get(share.queue, 0) * PPM / capacity


@attrs.define
class RoomShares:
    """The shares of all upstreams, by what entries tell that they are asked for.

    An agent forgets them when it restarts, and hears them again with the next notices. What an
    entry has told ends with it, so that it leaves no room held::

        shares.take("entry-1", notice.queues, now_ms)
        kept = shares.kept_from("reports", "nightly", 16_000, {"previews": 1_200}, now_ms)
    """

    _told: dict[str, tuple[int, tuple[orders.QueueDemand, ...]]] = attrs.Factory(dict)
    _upstreams: dict[str, UpstreamShares] = attrs.Factory(dict)
    _until_ms: int = 0

    def take(self, entry: str, rows: tuple[orders.QueueDemand, ...], now_ms: int) -> None:
        """Take what an entry is asked for; it replaces what it told before."""
        self._told[entry] = (now_ms + TOLD_VALID_MS, rows)
        self._sum(now_ms)

    def kept(self, upstream: str, capacity: int, used: Used, now_ms: int) -> dict[str, int]:
        """Return how much of a runner's free room is kept, by queue, where it is any."""
        shares = self._shares(upstream, now_ms)
        if shares is None or capacity <= 0:
            return {}
        rows = {name: shares.kept_from(name, capacity, used) for name in shares.queues}
        return {name: kept for name, kept in rows.items() if kept}

    def kept_from(self, upstream: str, queue: str, capacity: int, used: Used, now_ms: int) -> int:
        """Return how much of a runner's free room is kept from one queue."""
        shares = self._shares(upstream, now_ms)
        return shares.kept_from(queue, capacity, used) if shares and capacity > 0 else 0

    def _shares(self, upstream: str, now_ms: int) -> UpstreamShares | None:
        if self._told and now_ms >= self._until_ms:
            self._sum(now_ms)
        return self._upstreams.get(upstream)

    def _sum(self, now_ms: int) -> None:
        """Add up what the entries have told that still counts, the newest last."""
        self._told = {
            entry: (until_ms, rows)
            for entry, (until_ms, rows) in sorted(self._told.items(), key=lambda one: one[1][0])
            if now_ms < until_ms
        }
        self._until_ms = min((until_ms for until_ms, _ in self._told.values()), default=now_ms)
        upstreams: dict[str, dict[str, QueueShare]] = {}
        for _, rows in self._told.values():
            for row in rows:
                queues = upstreams.setdefault(row.upstream, {})
                share = queues.setdefault(row.queue, _new_share(row))
                _take_policy(share, row)
                share.add(row)
        self._upstreams = {name: UpstreamShares(queues) for name, queues in upstreams.items()}


def _new_share(row: orders.QueueDemand) -> QueueShare:
    return QueueShare(row.queue, row.priority, row.weight, 0, PPM)


def _take_policy(share: QueueShare, row: orders.QueueDemand) -> None:
    """Go by the configuration of the entry that was heard last."""
    share.priority = row.priority
    share.weight = row.weight
    share.reserved_ppm = row.reserved_permille * PPM_PER_PERMILLE
    share.ceiling_ppm = row.ceiling_permille * PPM_PER_PERMILLE
