"""The HTTP addresses of a process, which share limits on what clients make it hold."""

from gapdrum.client_limits import MIN_LARGEST_REQUESTS, ClientLimits
from gapdrum.timers import Timers
from gapdrum.transport.client_buffers import ClientBuffers
from gapdrum.transport.http_server import Handler, HttpListener
from gapdrum.transport.refusal_counts import RefusalCounts
from gapdrum.transport.request_reader import HttpLimits


class HttpAddresses:
    """Builds the listeners of a process, for callers and for others.

    ::

        addresses = HttpAddresses(derive_client_limits(300, 4_100), refusals, timers)
        listener = addresses.add_callers(handle, HttpLimits())
        await listener.open("10.0.0.1", 8080)
    """

    def __init__(self, limits: ClientLimits, refusals: RefusalCounts, timers: Timers) -> None:
        self.buffers = ClientBuffers(limits.buffer_bytes)
        self._limits = limits
        self._refusals = refusals
        self._timers = timers

    def add_callers(self, handler: Handler, http_limits: HttpLimits) -> HttpListener:
        """Return a listener for callers."""
        return self._build(handler, http_limits, self._limits.caller_connections)

    def add(self, handler: Handler) -> HttpListener:
        """Return a listener for a few peers."""
        return self._build(handler, HttpLimits(), self._limits.other_connections)

    def fit_request(self, largest_bytes: int) -> None:
        """Let the buffers hold several requests of this size, whatever the memory."""
        self.buffers.limit_bytes = max(
            self._limits.buffer_bytes, MIN_LARGEST_REQUESTS * largest_bytes
        )

    def _build(
        self, handler: Handler, http_limits: HttpLimits, max_connections: int
    ) -> HttpListener:
        listener = HttpListener(handler, http_limits, self._timers, self.buffers, max_connections)
        listener.on_refused = self._refusals.count
        listener.on_closed = self._refusals.count_closed
        return listener
