"""The agent's streams to the entries: discovered by their leases, opened and kept alive."""

import asyncio
import random
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from gapdrum.exceptions import FrameError, StoreError, StreamClosedError
from gapdrum.leases import KEY_PREFIX, EntryRecord, LeaseTable
from gapdrum.messages import (
    AgentHello,
    EntryHeartbeat,
    EntryHello,
    EntryLeaving,
    SettingsPush,
    TaskReport,
)
from gapdrum.settings import dump_tree
from gapdrum.slot_allocation import SlotAllocator, SlotRequester
from gapdrum.store import StoreClient
from gapdrum.streams import Stream, open_stream
from gapdrum.task_set import TaskSet

DISCOVERY_INTERVAL_MS = 1_000
CONNECTED_SCAN_INTERVAL_MS = 10_000
HEARTBEAT_TIMEOUT_MS = 3_000
LOAD_UPDATE_DELAY_MS = 5
RECONNECT_PAUSE_S = 0.2
LOAD_CHANGE_PERCENT = 25


class EntryLink:
    """A stream to one incarnation of an entry, and the load that was last sent on it."""

    def __init__(self, record: EntryRecord) -> None:
        self.record = record
        self.stream: Stream | None = None
        self.received = 0
        self.heard_at_ms = 0
        self.last_sent_free_slots = -1
        self.requester = SlotRequester()

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self.stream is not None and not self.stream.closed

    def send(self, message: object) -> None:
        """Send if the stream is open; the entry asks again for messages that were lost."""
        if not self.is_open:
            return
        try:
            self.stream.send(message)
        except StreamClosedError:
            self.stream.close()

    def send_report(self, report: TaskReport) -> None:
        """Send a report, which also carries the current load."""
        self.last_sent_free_slots = report.free_slots
        self.send(report)


class EntryLinks:
    """The links of an agent to all entries."""

    def __init__(self, agent, store: StoreClient) -> None:
        self._agent = agent
        self._store = store
        self._links: dict[tuple[str, str], EntryLink] = {}
        self._owners: dict[str, EntryLink] = {}
        self._leases = LeaseTable()
        self._allocator = SlotAllocator(random.Random())
        self._last_scan_ms = 0
        self._update_timer: asyncio.TimerHandle | None = None
        self._threads = ThreadPoolExecutor(1, "discovery")
        self._tasks = TaskSet()

    def start(self) -> None:
        """Start the periodic discovery of entries."""
        self._agent.timers.subscribe(DISCOVERY_INTERVAL_MS, self.discover)

    def set_owner(self, job_id: str, link: EntryLink) -> None:
        """Record which entry owns a job: it gets the reports on the job."""
        self._owners[job_id] = link

    def owner_of(self, job_id: str) -> EntryLink | None:
        """Return the link of the entry that owns a job."""
        return self._owners.get(job_id)

    def forget_owners(self, ledger) -> None:
        """Remove the owners of jobs that the ledger no longer knows."""
        for job_id in [job_id for job_id in self._owners if not ledger.epoch_of(job_id)]:
            del self._owners[job_id]

    async def discover(self) -> None:
        """Read the entries' leases and open a stream to each new entry.

        While all streams are open, the store is read at a longer interval: all
        agents of a full-size system must use only a small part of its reads.
        """
        now_ms = self._agent.timers.now_ms()
        all_open = self._links and all(link.is_open for link in self._links.values())
        if all_open and now_ms - self._last_scan_ms < CONNECTED_SCAN_INTERVAL_MS:
            return
        self._last_scan_ms = now_ms
        loop = asyncio.get_running_loop()
        try:
            rows = await loop.run_in_executor(self._threads, self._store.scan, KEY_PREFIX)
        except StoreError:
            return
        self._leases.observe(rows, self._agent.timers.now_ms())
        for record in self._leases.alive()[: self._agent.config.entries_limit]:
            key = (record.entry_id, record.incarnation)
            if key not in self._links:
                link = self._links[key] = EntryLink(record)
                self._tasks.spawn(self._keep_connected(key, link))

    def free_for(self, link: EntryLink) -> int:
        """Return the free slots to report to an entry: fewer if entries compete for them."""
        open_links = [other.requester for other in self._links.values() if other.is_open]
        free = self._agent.free_slots - self._agent.ledger.queued
        self._allocator.allocate(open_links, free, self._agent.timers.now_ms())
        return self._allocator.free_for(link.requester, open_links, free)

    def record_orders(self, link: EntryLink, orders: int) -> None:
        """Record that start orders arrived from an entry."""
        link.received += orders
        self._allocator.take(link.requester, orders)

    def schedule_load_update(self) -> None:
        """Schedule a load update to the entries whose last report is outdated.

        Changes within ``LOAD_UPDATE_DELAY_MS`` are sent together; no timer runs
        while the load stays the same.
        """
        if self._update_timer is None:
            self._update_timer = self._agent.timers.call_after(
                LOAD_UPDATE_DELAY_MS, self._send_changed_loads
            )

    def _send_changed_loads(self) -> None:
        """Send the load to the entries concerned; small changes wait for the heartbeat."""
        self._update_timer = None
        threshold = max(1, self._agent.runner.slots * LOAD_CHANGE_PERCENT // 100)
        for link in self._links.values():
            if not link.is_open:
                continue
            free = self.free_for(link)
            availability_changed = (free > 0) != (link.last_sent_free_slots > 0)
            if availability_changed or abs(free - link.last_sent_free_slots) >= threshold:
                self._send_load(link)
        if any(link.requester.offered for link in self._links.values()):
            self.schedule_load_update()

    def send_loads(self) -> None:
        """Send the load to all entries, as the heartbeat and after a change of state.

        Links that have been silent for too long are closed.
        """
        limit_ms = self._agent.timers.now_ms() - HEARTBEAT_TIMEOUT_MS
        for link in self._links.values():
            if link.is_open and link.heard_at_ms < limit_ms:
                link.stream.close()
            elif link.is_open:
                self._send_load(link)

    async def close(self) -> None:
        """Flush all streams, then close them."""
        for link in self._links.values():
            if link.is_open:
                await link.stream.flush()
                link.stream.close()

    def _send_load(self, link: EntryLink) -> None:
        load = self._agent.load_for(link)
        link.last_sent_free_slots = load.free_slots
        link.send(load)

    async def _keep_connected(self, key: tuple[str, str], link: EntryLink) -> None:
        """Keep a stream open to one incarnation of an entry while its lease is valid."""
        while self._leases.find_alive(link.record.owner) is not None:
            try:
                await self._connect(link)
            except (StreamClosedError, FrameError) as error:
                logger.info("stream to entry {} closed: {} {}", key[0], error.code, error.message)
            await asyncio.sleep(RECONNECT_PAUSE_S)
        self._links.pop(key, None)

    async def _connect(self, link: EntryLink) -> None:
        agent = self._agent
        record = link.record
        metrics = agent.metrics
        stream = await open_stream(record.host, record.stream_port, metrics.sent, metrics.received)
        link.stream = stream
        link.received = 0
        link.heard_at_ms = agent.timers.now_ms()
        config = agent.config
        stream.send(
            AgentHello(
                config.agent_id,
                agent.incarnation,
                config.zone,
                config.worker,
                config.stream_token,
                agent.timers.now_ms(),
            )
        )
        self._send_load(link)
        try:
            async for message in stream:
                link.heard_at_ms = agent.timers.now_ms()
                self._handle_message(link, message)
        finally:
            stream.close()

    def _handle_message(self, link: EntryLink, message: object) -> None:
        settings = self._agent.settings
        if isinstance(message, EntryHello) and message.settings_version < settings.version:
            link.send(SettingsPush(settings.version, dump_tree(settings.tree)))
        elif isinstance(message, EntryHeartbeat):
            self._allocator.record_waiting(link.requester, message.waiting)
            self.schedule_load_update()
        elif not isinstance(message, EntryHello | EntryLeaving):
            self._agent.handle_message(link, message)
