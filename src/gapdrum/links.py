"""The entry's stream listener, to which agents and peers connect with one stream each."""

import asyncio
import hmac

from loguru import logger

from gapdrum import reasons
from gapdrum.dispatcher import Dispatcher
from gapdrum.exceptions import FrameError, GapdrumError, StreamClosedError, UnauthorizedError
from gapdrum.jobs import AgentKey
from gapdrum.members import SILENT, RunnerView
from gapdrum.messages import (
    AgentHello,
    EntryHeartbeat,
    EntryHello,
    EntryLeaving,
    JobHoldings,
    PeerHello,
    RunnerLoad,
    SettingsPush,
    TaskReport,
)
from gapdrum.metrics import Metrics
from gapdrum.peers import serve_peer
from gapdrum.settings import dump_tree, load_tree
from gapdrum.streams import StrangerStreams, Stream

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
DEFAULT_STRANGERS = 64  # streams without a first message


class AgentLinks:
    """The streams of all connected agents; passes their messages to the dispatcher."""

    def __init__(
        self, token: str, metrics: Metrics, max_strangers: int = DEFAULT_STRANGERS
    ) -> None:
        self._strangers = StrangerStreams(max_strangers)
        self._strangers.on_closed = lambda reason: metrics.stream_errors.labels(reason).inc()
        self._token = token.encode()
        self._metrics = metrics
        self._streams: dict[AgentKey, Stream] = {}
        self._heard_at_ms: dict[AgentKey, int] = {}
        self.dispatcher: Dispatcher | None = None

    def send(self, agent: AgentKey, message: object) -> None:
        """Send a message to one incarnation of an agent; raises StreamClosedError."""
        stream = self._streams.get(agent)
        if stream is None:
            raise StreamClosedError("the agent is not connected")
        stream.send(message)

    def broadcast(self, message: object) -> None:
        """Send a message to all connected agents."""
        for agent in list(self._streams):
            try:
                self.send(agent, message)
            except StreamClosedError:
                self._streams[agent].close()

    def push_settings(self) -> None:
        """Send the settings in force to all agents."""
        tree = self.dispatcher.settings.tree
        self.broadcast(SettingsPush(tree.version, dump_tree(tree)))

    def announce_leaving(self) -> None:
        """Notify all agents that this entry shuts down."""
        self.broadcast(EntryLeaving(self.dispatcher.owner.entry_id))

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each agent, and close streams that have been silent for too long."""
        for agent in list(self._streams):
            self._send_heartbeat(agent)
        limit_ms = self.dispatcher.timers.now_ms() - HEARTBEAT_TIMEOUT_MS
        for agent, heard_at_ms in list(self._heard_at_ms.items()):
            if heard_at_ms < limit_ms and agent in self._streams:
                self._streams[agent].close()

    def _send_heartbeat(self, agent: AgentKey) -> None:
        dispatcher = self.dispatcher
        view = dispatcher.members.find_incarnation(agent)
        waiting = dispatcher.scheduler.queued(view.upstream) if view is not None else 0
        try:
            self.send(agent, EntryHeartbeat(dispatcher.settings.version, waiting))
        except StreamClosedError:
            self._streams[agent].close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one incoming stream until it ends; an error closes only this stream."""
        stream = self._strangers.accept(reader, writer, self._metrics.sent, self._metrics.received)
        try:
            await self._serve(stream)
        except FrameError as error:
            self._metrics.stream_errors.labels(error.code).inc()
            logger.warning("stream closed: {} {}", error.code, error.message)
        except GapdrumError as error:
            self._metrics.stream_errors.labels(error.code).inc()
        finally:
            stream.close()

    async def _serve(self, stream: Stream) -> None:
        messages = aiter(stream)
        first = await self._strangers.receive_introduction(stream, messages)
        if isinstance(first, AgentHello):
            self._check_token(first.token)
            await self._serve_agent(stream, messages, first)
        elif isinstance(first, PeerHello):
            self._check_token(first.token)
            await serve_peer(stream, messages, self._build_hello(), self.dispatcher)
        elif first is not None:
            raise FrameError("the first message must be AgentHello or PeerHello")

    def _check_token(self, token: str) -> None:
        if not hmac.compare_digest(token.encode(), self._token):
            raise UnauthorizedError("the stream token is not valid")

    def _build_hello(self) -> EntryHello:
        dispatcher = self.dispatcher
        return EntryHello(
            dispatcher.owner.entry_id, dispatcher.owner.incarnation, dispatcher.settings.version
        )

    async def _serve_agent(self, stream: Stream, messages, hello: AgentHello) -> None:
        dispatcher = self.dispatcher
        view, ended = dispatcher.members.join(hello, dispatcher.timers.now_ms())
        agent = view.agent
        previous = self._streams.get(agent)
        if previous is not None:
            previous.close()
        self._streams[agent] = stream
        self._record_decision(agent, reasons.RUNNER_JOINED)
        if ended is not None:
            dispatcher.agent_gone(ended.agent, reasons.AGENT_GONE)
        stream.send(self._build_hello())
        tree = dispatcher.settings.tree
        stream.send(SettingsPush(tree.version, dump_tree(tree)))
        dispatcher.scheduler.inquire(agent)
        try:
            async for message in messages:
                self._heard_at_ms[agent] = dispatcher.timers.now_ms()
                self._handle_message(view, message)
        finally:
            if self._streams.get(agent) is stream:
                self._on_disconnect(view)

    def _handle_message(self, view: RunnerView, message: object) -> None:
        """Handle one message of an agent."""
        dispatcher = self.dispatcher
        now_ms = dispatcher.timers.now_ms()
        if isinstance(message, TaskReport):
            view.update_load(
                message.free_slots,
                message.received,
                message.agent_time_ms,
                now_ms,
            )
            for row in message.task:
                dispatcher.scheduler.report(view, message.job_id, message.epoch, row)
            dispatcher.scheduler.place_waiting(view.upstream)
        elif isinstance(message, RunnerLoad):
            if dispatcher.members.update_load(view, message, now_ms):
                self._record_decision(view.agent, f"runner_{view.state}")
            dispatcher.scheduler.place_waiting(view.upstream)
        elif isinstance(message, SettingsPush):
            self._apply_settings(message)
        elif isinstance(message, JobHoldings):
            dispatcher.apply_holdings(view.agent, message)
        else:
            raise FrameError(f"unexpected message {type(message).__name__}")

    def _apply_settings(self, message: SettingsPush) -> None:
        """Apply settings from an agent if they are newer: the store may be down or stale."""
        settings = self.dispatcher.settings
        if message.version > settings.version:
            settings.apply_if_newer(load_tree(message.version, message.document))

    def _on_disconnect(self, view: RunnerView) -> None:
        """Mark an agent whose stream closed as silent; it may reconnect within a time limit."""
        dispatcher = self.dispatcher
        agent = view.agent
        del self._streams[agent]
        self._heard_at_ms.pop(agent, None)
        if dispatcher.members.find_incarnation(agent) is not view:
            return
        view.apply("silent")
        self._record_decision(agent, reasons.RUNNER_SILENT)
        silence_ms = dispatcher.settings.for_upstream(view.upstream).agent_silence_ms
        dispatcher.timers.call_after(silence_ms, lambda: self._expire_silent(view))

    def _expire_silent(self, view: RunnerView) -> None:
        dispatcher = self.dispatcher
        if view.state != SILENT or dispatcher.members.find_incarnation(view.agent) is not view:
            return
        dispatcher.members.forget(view)
        dispatcher.agent_gone(view.agent, reasons.AGENT_SILENT)

    def _record_decision(self, agent: AgentKey, code: str) -> None:
        dispatcher = self.dispatcher
        dispatcher.decisions.record(
            dispatcher.timers.wall_ms(),
            f"runner:{agent.agent_id}",
            code,
            dispatcher.settings.version,
            subject=agent.agent_id,
        )
        logger.info("{} {}", agent.agent_id, code)
