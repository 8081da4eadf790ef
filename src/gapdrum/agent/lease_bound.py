"""The upper bound of a runner's lease, by the calls that renew it."""


class LeaseBound:
    """The latest possible end of a lease: pending calls count, calls that were never sent do not.

    ::

        call = bound.begin_renewal(ends_ms)
        ...
        bound.end_renewal(call, sent=False)   # connection refused: the lease was not renewed
    """

    def __init__(self) -> None:
        self._sent_ends_ms = 0
        self._pending: dict[int, int] = {}
        self._last_call = 0

    @property
    def ends_ms(self) -> int:
        """Return when the lease has ended at the latest, on the agent's clock."""
        return max([self._sent_ends_ms, *self._pending.values()])

    def begin_renewal(self, ends_ms: int) -> int:
        """Record a pending call that renews the lease until ``ends_ms``; return its number."""
        self._last_call += 1
        self._pending[self._last_call] = ends_ms
        return self._last_call

    def end_renewal(self, call: int, sent: bool) -> None:
        """Record whether a pending call was sent, answered or not."""
        ends_ms = self._pending.pop(call)
        if sent:
            self._sent_ends_ms = max(self._sent_ends_ms, ends_ms)
