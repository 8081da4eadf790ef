"""The agent's streams to the entries: found in the table, opened, kept alive."""

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
SETTLED_INTERVAL_MS = 10_000
SILENCE_LIMIT_MS = 3_000
PUSH_DELAY_MS = 5
REDIAL_PAUSE_S = 0.2
LOAD_CHANGE_PERCENT = 25


class EntryLink:
    """One stream to one life of an entry, and the load that it was last told."""

    def __init__(self, record: EntryRecord) -> None:
        self.record = record
        self.stream: Stream | None = None
        self.received = 0
        self.heard_at_ms = 0
        self.last_sent_free_slots = -1
        self.requester = SlotRequester()

    @property
    def is_open(self) -> bool:
        """Tell whether messages can be sent."""
        return self.stream is not None and not self.stream.closed

    def send(self, message: object) -> None:
        """Send if the stream is open; what is lost is asked for again by the entry."""
        if not self.is_open:
            return
        try:
            self.stream.send(message)
        except StreamClosedError:
            self.stream.close()

    def send_report(self, report: TaskReport) -> None:
        """Send a report, which also tells the entry the load."""
        self.last_sent_free_slots = report.free_slots
        self.send(report)


class EntryLinks:
    """All entry links of an agent."""

    def __init__(self, agent, store: StoreClient) -> None:
        self._agent = agent
        self._store = store
        self._links: dict[tuple[str, str], EntryLink] = {}
        self._owners: dict[str, EntryLink] = {}
        self._leases = LeaseTable()
        self._shares = SlotAllocator(random.Random())
        self._read_at_ms = 0
        self._push_due: asyncio.TimerHandle | None = None
        self._threads = ThreadPoolExecutor(1, "discovery")
        self._tasks = TaskSet()

    def start(self) -> None:
        """Begin to look for entries."""
        self._agent.timers.subscribe(DISCOVERY_INTERVAL_MS, self.discover)

    def own(self, job_id: str, link: EntryLink) -> None:
        """Note which entry owns a job: it gets the reports."""
        self._owners[job_id] = link

    def owner_of(self, job_id: str) -> EntryLink | None:
        """Return the link of the entry that owns a job."""
        return self._owners.get(job_id)

    def forget_owners(self, ledger) -> None:
        """Drop the owners of jobs that the ledger has forgotten."""
        for job_id in [job_id for job_id in self._owners if not ledger.epoch_of(job_id)]:
            del self._owners[job_id]

    async def discover(self) -> None:
        """Read the entries' leases and open a stream to each that is new.

        While all streams stand, the table is read only now and then: at the
        design size all agents together must stay far below its reads.
        """
        now_ms = self._agent.timers.now_ms()
        settled = self._links and all(link.is_open for link in self._links.values())
        if settled and now_ms - self._read_at_ms < SETTLED_INTERVAL_MS:
            return
        self._read_at_ms = now_ms
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
                self._tasks.spawn(self._maintain(key, link))

    def free_for(self, link: EntryLink) -> int:
        """Return the free slots to state to an entry: fewer when entries compete."""
        open_links = [other.requester for other in self._links.values() if other.is_open]
        free = self._agent.free_slots - self._agent.ledger.queued
        self._shares.allocate(open_links, free, self._agent.timers.now_ms())
        return self._shares.free_for(link.requester, open_links, free)

    def record_orders(self, link: EntryLink, orders: int) -> None:
        """Note that an entry's orders came in."""
        link.received += orders
        self._shares.take(link.requester, orders)

    def schedule_load_update(self) -> None:
        """Tell entries soon if their picture of the free slots has become wrong.

        Changes within ``PUSH_DELAY_MS`` are told together, and nothing runs
        while nothing changes.
        """
        if self._push_due is None:
            self._push_due = self._agent.timers.call_after(PUSH_DELAY_MS, self._push_changed)

    def _push_changed(self) -> None:
        """Tell the entries concerned; small changes among many slots wait for the heartbeat."""
        self._push_due = None
        threshold = max(1, self._agent.runner.slots * LOAD_CHANGE_PERCENT // 100)
        for link in self._links.values():
            if not link.is_open:
                continue
            free = self.free_for(link)
            edge = (free > 0) != (link.last_sent_free_slots > 0)
            if edge or abs(free - link.last_sent_free_slots) >= threshold:
                self._tell(link)
        if any(link.requester.offered for link in self._links.values()):
            self.schedule_load_update()

    def send_loads(self) -> None:
        """Tell all entries the load: the heartbeat, and at changes of state."""
        limit_ms = self._agent.timers.now_ms() - SILENCE_LIMIT_MS
        for link in self._links.values():
            if link.is_open and link.heard_at_ms < limit_ms:
                link.stream.close()
            elif link.is_open:
                self._tell(link)

    async def close(self) -> None:
        """Flush and close all streams."""
        for link in self._links.values():
            if link.is_open:
                await link.stream.flush()
                link.stream.close()

    def _tell(self, link: EntryLink) -> None:
        load = self._agent.load_for(link)
        link.last_sent_free_slots = load.free_slots
        link.send(load)

    async def _maintain(self, key: tuple[str, str], link: EntryLink) -> None:
        """Keep a stream to one life of an entry as long as its lease stands."""
        while self._leases.find_alive(link.record.owner) is not None:
            try:
                await self._connect(link)
            except (StreamClosedError, FrameError) as error:
                logger.info("entry {}: {} {}", key[0], error.code, error.message)
            await asyncio.sleep(REDIAL_PAUSE_S)
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
        self._tell(link)
        try:
            async for message in stream:
                link.heard_at_ms = agent.timers.now_ms()
                self._take(link, message)
        finally:
            stream.close()

    def _take(self, link: EntryLink, message: object) -> None:
        settings = self._agent.settings
        if isinstance(message, EntryHello) and message.settings_version < settings.version:
            link.send(SettingsPush(settings.version, dump_tree(settings.tree)))
        elif isinstance(message, EntryHeartbeat):
            self._shares.record_waiting(link.requester, message.waiting)
            self.schedule_load_update()
        elif not isinstance(message, EntryHello | EntryLeaving):
            self._agent.take(link, message)
