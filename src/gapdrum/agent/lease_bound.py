"""Until when a runner's lease may run, as far as the calls to it allow."""


class LeaseBound:
    """The latest end of a lease, counting calls under way and forgetting those never sent.

    ::

        call = bound.propose(ends_ms)
        ...
        bound.settle(call, sent=False)   # nobody listened: the lease was not renewed
    """

    def __init__(self) -> None:
        self._sent_ms = 0
        self._under_way: dict[int, int] = {}
        self._calls = 0

    @property
    def ends_ms(self) -> int:
        """Return when the lease has ended at the latest, on our clock."""
        return max([self._sent_ms, *self._under_way.values()])

    def begin_renewal(self, ends_ms: int) -> int:
        """Note a call that renews until a time; return its number."""
        self._calls += 1
        self._under_way[self._calls] = ends_ms
        return self._calls

    def end_renewal(self, call: int, sent: bool) -> None:
        """Note whether a call was sent, answered or not."""
        ends_ms = self._under_way.pop(call)
        if sent:
            self._sent_ms = max(self._sent_ms, ends_ms)
