"""Token buckets: the budgets for store writes, retries, hedges and starts of a team."""

import attrs

MS_PER_S = 1000


@attrs.define
class TokenBucket:
    """A token bucket; ``rate_per_s`` may be changed at any time.

    ::

        bucket = TokenBucket(rate_per_s=300, burst=60)
        if bucket.take(1, timers.now_ms()): write()
    """

    rate_per_s: float
    burst: float
    level: float = attrs.field(init=False)
    updated_at_ms: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.level = self.burst

    def take(self, amount: float, now_ms: int) -> bool:
        """Take tokens if there are enough; return whether they were taken."""
        self._refill(now_ms)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def wait_ms(self, amount: float, now_ms: int) -> int:
        """Return how long until so many tokens are available."""
        self._refill(now_ms)
        missing = max(0.0, amount - self.level)
        return int(missing / self.rate_per_s * MS_PER_S) + 1 if missing else 0

    def _refill(self, now_ms: int) -> None:
        if self.updated_at_ms:
            elapsed_ms = max(0, now_ms - self.updated_at_ms)
            self.level = min(self.burst, self.level + elapsed_ms * self.rate_per_s / MS_PER_S)
        self.updated_at_ms = now_ms


@attrs.define
class RatioBudget:
    """A budget that limits extra work, such as retries, to a percentage of ordinary events.

    With ``percent`` 10, ten first starts earn one retry; ``floor`` is what an
    idle system may spend at once, enough for the tasks of two lost runners.
    """

    percent: int
    floor: float = 16.0
    ceiling: float = 200.0
    level: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start at the floor."""
        self.level = self.floor

    def earn(self, events: int = 1) -> None:
        """Credit ordinary events."""
        self.level = min(self.ceiling, self.level + events * self.percent / 100)

    def spend(self) -> bool:
        """Spend one unit if the budget allows; return whether it did."""
        if self.percent == 0 or self.level < 1:
            return False
        self.level -= 1
        return True
