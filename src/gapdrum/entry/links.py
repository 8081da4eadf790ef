"""The entry's stream listener: each agent connects here on one stream."""

import asyncio
from collections import Counter
from collections.abc import Callable

from gapdrum.core import orders
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.runner_views import AgentView
from gapdrum.entry.receipts import ReceiptSender
from gapdrum.event_log import EventLog
from gapdrum.exceptions import FrameError, StreamClosedError
from gapdrum.streams import StrangerStreams, Stream
from gapdrum.timers import Timers
from gapdrum.zone_watch import ZoneWatch

# A stream without an AgentBeat for this long is closed; the agent reconnects.
STREAM_TIMEOUT_MS = 2_000
DEFAULT_STRANGERS = 64  # streams without a greeting


class AgentLinks:
    """The streams of all agents; passes their messages on to the dispatch."""

    def __init__(
        self,
        timers: Timers,
        log: EventLog,
        sent: Counter,
        received: Counter,
        max_strangers: int = DEFAULT_STRANGERS,
    ) -> None:
        self.strangers = StrangerStreams(max_strangers)
        self._timers = timers
        self._log = log
        self._sent = sent
        self._received = received
        self._streams: dict[str, Stream] = {}
        self.dispatch: Dispatch | None = None
        self.receipts: ReceiptSender | None = None
        self.owner: Callable[[], str] = str
        self.former_owners: Callable[[], tuple[str, ...]] = tuple
        self.holds_lease: Callable[[], bool] = lambda: False
        self.pending_claims: Callable[[], tuple[orders.JobEpoch, ...]] = tuple
        self.zones = ZoneWatch(log)
        self.follows_table: Callable[[], bool] = lambda: False
        self.configuration_value: Callable[[], bytes | None] = lambda: None
        self.on_cancelled: Callable[[orders.JobCancelled], None] = self._cancel_job

    @property
    def connected(self) -> int:
        """Return how many agents are connected."""
        return len(self._streams)

    async def listen(self, host: str, port: int) -> None:
        """Listen for agents; raises OSError if the address is taken."""
        await asyncio.start_server(self._accept, host, port)

    def send(self, agent: str, message: object) -> bool:
        """Send to an agent; return whether its stream accepted the message."""
        stream = self._streams.get(agent)
        if stream is None:
            return False
        try:
            stream.send(message)
        except StreamClosedError:
            return False
        return True

    def broadcast(self, message: object) -> None:
        """Send to all connected agents."""
        for agent in list(self._streams):
            self.send(agent, message)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = self.strangers.accept(reader, writer, self._sent, self._received)
        try:
            await self._serve(stream)
        except FrameError as error:
            self._log.write("stream_rejected", code=error.code, reason=error.message)
        except asyncio.CancelledError:
            # The program ends. asyncio prints a traceback for a stream's task that ends as
            # cancelled, and only structured lines may be written.
            return
        finally:
            stream.close()

    async def _serve(self, stream: Stream) -> None:
        messages = aiter(stream)
        greeting = await self.strangers.receive_introduction(stream, messages)
        if isinstance(greeting, orders.JobCancelled):
            self.on_cancelled(greeting)
            return
        if isinstance(greeting, orders.ConfigurationAsked):
            self._send_configuration(stream)
            return
        if not isinstance(greeting, orders.AgentGreeting):
            raise FrameError("a stream must start with an agent's greeting")
        previous = self._streams.pop(greeting.agent, None)
        if previous is not None:
            previous.close()
        view = self.dispatch.fleet.agent_joined(greeting, self._timers.now_ms())
        self._streams[greeting.agent] = stream
        stream.send(self.greeting())
        if self.zones.drains.known:
            # Before any order, so that an agent in a drained zone starts no run.
            stream.send(self.zones.drains_message())
        # Without it, runs of claimed jobs would be stopped before the first AgentBeat is echoed.
        stream.send(self._echo(greeting.clock_ms))
        claims = self.pending_claims()
        if claims:
            stream.send(orders.JobsClaimed(claims))
        try:
            async for message in messages:
                if self._streams.get(greeting.agent) is not stream:
                    return
                self._handle(view, message)
        finally:
            if self._streams.get(greeting.agent) is stream:
                del self._streams[greeting.agent]
                self.dispatch.fleet.agent_stream_ended(view)

    def greeting(self) -> orders.EntryGreeting:
        """Return this entry's owner name and former ones, as sent to agents."""
        return orders.EntryGreeting(self.owner(), self.former_owners())

    def _send_configuration(self, stream: Stream) -> None:
        value = self.configuration_value()
        if value is not None:
            stream.send(orders.ConfigurationTold(value))

    def _echo(self, clock_ms: int) -> orders.BeatEcho:
        """Return the echo of a heartbeat that carries a reading of the agent's clock."""
        return orders.BeatEcho(clock_ms, self.holds_lease(), self.follows_table())

    def _handle(self, view: AgentView, message: object) -> None:
        now_ms = self._timers.now_ms()
        dispatch = self.dispatch
        if isinstance(message, orders.AgentBeat):
            view.heard_ms = now_ms
            view.clock_ms = message.clock_ms
            self.send(view.agent, self._echo(message.clock_ms))
        elif isinstance(message, orders.RunEvents):
            dispatch.apply_events(view, message, now_ms)
            if message.number:
                self.receipts.schedule(view.agent)
        elif isinstance(message, orders.RoomReport):
            dispatch.apply_room(view, message)
        elif isinstance(message, orders.RunnerReport):
            dispatch.apply_report(view, message, now_ms)
        elif isinstance(message, orders.Holdings):
            dispatch.apply_holdings(view, message, now_ms)
        elif isinstance(message, orders.JobLost):
            dispatch.drop_claimed_job(message)
        elif isinstance(message, orders.JobCancelled):
            self.on_cancelled(message)
        elif isinstance(message, orders.ZoneDrainsTold):
            self.zones.apply_from_peer(message, source=view.agent)
        elif isinstance(message, orders.AgentLeaving):
            del self._streams[view.agent]
            dispatch.agent_departed(view, now_ms)
        else:
            raise FrameError(f"unexpected message {type(message).__name__}")

    def _cancel_job(self, cancelled: orders.JobCancelled) -> None:
        self.dispatch.cancel_job(cancelled)

    def close_silent_streams(self) -> None:
        """Close streams on which no AgentBeat came for ``STREAM_TIMEOUT_MS``."""
        limit_ms = self._timers.now_ms() - STREAM_TIMEOUT_MS
        for agent, stream in list(self._streams.items()):
            view = self.dispatch.fleet.agents.get(agent)
            if view is None or view.heard_ms < limit_ms:
                stream.close()
