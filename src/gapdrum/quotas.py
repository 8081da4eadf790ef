"""Team limits, divided between the entries without a message per task.

Each entry publishes its demand per team in its lease row.  An entry's share of
a limit is its fraction of the demand last published by all live entries, so
the shares add up to the limit once the published demands are stable.
"""

from collections import Counter

from gapdrum.budgets import TokenBucket
from gapdrum.settings import SettingsHolder

BURST_S = 1.0
MIN_SHARE = 0.05


class Quotas:
    """Limits on running tasks and starts per second of teams at this entry."""

    def __init__(self, settings: SettingsHolder) -> None:
        self._settings = settings
        self._running: Counter[str] = Counter()
        self._demand: Counter[str] = Counter()
        self._buckets: dict[str, TokenBucket] = {}
        self._peer_demand: Counter[str] = Counter()
        self._live_entries = 1

    def record_demand(self, team: str, tasks: int) -> None:
        """Count tasks that a team asked to run at this entry."""
        self._demand[team] += tasks

    def snapshot_demand(self) -> dict[str, int]:
        """Return this entry's demand for its lease row, then halve it so that it decays."""
        published = {team: count for team, count in self._demand.items() if count}
        self._demand = Counter({team: count // 2 for team, count in published.items()})
        return published

    def update_peer_demands(self, demands: list[dict[str, int]]) -> None:
        """Update the demands that the other live entries published."""
        self._live_entries = 1 + len(demands)
        self._peer_demand = Counter()
        for demand in demands:
            self._peer_demand.update(demand)

    def share_of(self, team: str) -> float:
        """Return this entry's share of a team's limits, between 0 and 1."""
        own = self._demand[team]
        total = own + self._peer_demand[team]
        if total == 0 or own == 0:
            return 1 / self._live_entries
        return max(MIN_SHARE, own / total)

    def may_start(self, team: str, now_ms: int) -> bool:
        """Tell whether one more task of the team may start, and take its token if so."""
        settings = self._settings.for_team(team)
        limit = settings.team_running_limit_tasks
        if limit and self._running[team] >= max(1, int(limit * self.share_of(team))):
            return False
        rate = settings.team_starts_limit_per_s
        return not rate or self._bucket(team, rate).take(1, now_ms)

    def can_ever_start(self, team: str, tasks: int, deadline_ms: int) -> bool:
        """Tell whether the team's undivided limit allows so many starts within the deadline."""
        rate = self._settings.for_team(team).team_starts_limit_per_s
        return not rate or tasks <= rate * (BURST_S + deadline_ms / 1000)

    def started(self, team: str) -> None:
        """Count a task as running."""
        self._running[team] += 1

    def ended(self, team: str) -> None:
        """Count a task as no longer running."""
        self._running[team] -= 1

    def running(self) -> dict[str, int]:
        """Return the number of running tasks by team."""
        return {team: count for team, count in self._running.items() if count}

    def _bucket(self, team: str, limit_per_s: int) -> TokenBucket:
        rate = max(0.1, limit_per_s * self.share_of(team))
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = TokenBucket(rate, max(1.0, rate * BURST_S))
        bucket.rate_per_s = rate
        bucket.burst = max(1.0, rate * BURST_S)
        return bucket
