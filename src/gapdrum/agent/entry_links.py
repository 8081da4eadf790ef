"""The agent's streams to the entries, which it finds in the store."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial

from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.records import (
    ADDRESS_TABLE,
    WHOLE_PART,
    EntryAddress,
    entry_of_owner,
    load_record,
)
from gapdrum.core.rows import Row
from gapdrum.event_log import EventLog
from gapdrum.exceptions import (
    FrameError,
    StoreError,
    StoreHistoryGoneError,
    StreamClosedError,
)
from gapdrum.platform.rows import RowStore
from gapdrum.streams import Stream, open_stream
from gapdrum.timers import MS_PER_S, Timers

# Entries come and go seldom; a feed that is cut silently is noticed after this and a bit.
FEED_WAIT_MS = 3_000
READ_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 200
CONNECT_TIMEOUT_S = 0.6
# An owner whose stream has ended and does not return within this time has probably died; the
# callers that waited there send their jobs again 1.3 s after their connections broke.
AWAY_ALLOWANCE_MS = 600
# An entry that does not echo for this long is connected anew: three beats. A stream that went
# silent for good is replaced before the grants end, so what runs for the entry goes on.
SILENT_ENTRY_MS = 3 * orders.BEAT_INTERVAL_MS
# A beat that comes so long after the last one shows that this process stood still.
PAUSED_MS = 2 * orders.BEAT_INTERVAL_MS
# The name of a link to a seed, until the entry there has told who it is.
SEED_PREFIX = "seed/"
# An entry without a row is tried for so long after it was last heard: it may be cut off from
# the store only, and then still serves callers that wait.
UNLISTED_KEPT_MS = 10_000


class EntryLink:
    """One entry, and the stream to it while there is one."""

    def __init__(self, entry: str, address: EntryAddress) -> None:
        self.entry = entry
        self.address = address
        self.owner = ""
        self.stream: Stream | None = None
        self.orders = 0
        self.demand: dict[str, orders.UpstreamDemand] = {}  # where its jobs wait for room
        self.told_room: dict[str, orders.RoomReport] = {}  # the last one of each runner
        self.heard_ms = 0
        self.listed = True
        self.task: asyncio.Task | None = None

    def send(self, message: object) -> None:
        """Send a message if the entry is connected and has told who it is."""
        if self.stream is None or not self.owner:
            return
        try:
            self.stream.send(message)
        except StreamClosedError:
            self.stream.close()


class EntryLinks:
    """Keeps a stream to each entry that has an address in the store."""

    def __init__(
        self, rows: RowStore, greeting: Callable[[], orders.AgentGreeting], timers: Timers,
        log: EventLog, sent: Counter, received: Counter, seeds: tuple[EntryAddress, ...] = (),
    ) -> None:  # fmt: skip
        self._rows = rows
        self._seeds = seeds
        self._greeting = greeting
        self._timers = timers
        self._log = log
        self._sent = sent
        self._received = received
        self._background = Background(log)
        self._links: dict[str, EntryLink] = {}
        self._beat_ms = 0
        self.on_joined: Callable[[EntryLink], None] = lambda _link: None
        self.on_renamed: Callable[[str, str], None] = lambda _former, _owner: None
        self.on_away: Callable[[str], None] = lambda _owner: None
        self.on_message: Callable[[EntryLink, object], None] = lambda _link, _message: None

    def __iter__(self):
        return iter(self._links.values())

    def of_owner(self, owner: str) -> EntryLink | None:
        """Return the link to an owner of jobs, None if it isn't connected."""
        for link in self._links.values():
            if link.owner == owner and link.stream is not None:
                return link
        return None

    def beat(self) -> None:
        """Tell all entries our clock, and cut streams that are silent.

        After a pause of this process what was sent meanwhile has not been read yet, so nothing
        is cut before the next beat.
        """
        now_ms = self._timers.now_ms()
        was_paused = now_ms - self._beat_ms > PAUSED_MS
        self._beat_ms = now_ms
        for link in self._links.values():
            link.send(orders.AgentBeat(now_ms))
            is_silent = now_ms - link.heard_ms > SILENT_ENTRY_MS
            if link.stream is not None and is_silent and not was_paused:
                link.stream.close()

    # Finding entries.

    async def follow(self) -> None:
        """Follow the table of addresses for ever."""
        after = None
        failing = False
        while True:
            try:
                after = await self._step(after)
                failing = False
            except StoreHistoryGoneError:
                after = None
            except StoreError as error:
                if not failing:
                    self._log.write("entry_feed_lost", code=error.code, reason=error.message)
                failing = True
                self._try_seeds()
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    def _try_seeds(self) -> None:
        """Connect to the entries that the settings name while the store tells of none.

        Without this, agents that start while the store is away find no entry until it returns:
        after a restart of all processes 182 of 3,071 jobs of a day were refused so.
        """
        if not self._links:
            for address in self._seeds:
                self._connect(EntryLink(f"{SEED_PREFIX}{address.host}", address), listed=False)

    async def _step(self, after: int | None) -> int:
        if after is None:
            page = await self._rows.read(ADDRESS_TABLE, WHOLE_PART, READ_TIMEOUT_MS)
            self._take(page.rows)
            for entry in set(self._links) - {row.at.key for row in page.rows}:
                self._unlist(entry)
            return page.version
        changes = await self._rows.watch(ADDRESS_TABLE, after, FEED_WAIT_MS)
        self._take(changes.rows)
        return max(after, changes.version)

    def _take(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                self._unlist(row.at.key)
                continue
            address = load_record(row.value)
            self._name_seed(row.at.key, address)
            link = self._links.get(row.at.key)
            if link is not None and _same_place(link.address, address):
                link.listed = True
                continue
            if link is not None:
                self._forget(row.at.key)
            self._connect(EntryLink(row.at.key, address))

    def _name_seed(self, entry: str, address: EntryAddress) -> None:
        """Give the link to a seed the name of the entry there, unless that has a link already."""
        seed = self._links.get(f"{SEED_PREFIX}{address.host}")
        if seed is None or not _same_place(seed.address, address):
            return
        del self._links[seed.entry]
        if entry in self._links:
            seed.task.cancel()
            self._end_stream(seed)
            return
        seed.entry = entry
        self._links[entry] = seed

    def _connect(self, link: EntryLink, listed: bool = True) -> None:
        link.listed = listed
        link.heard_ms = self._timers.now_ms()
        self._links[link.entry] = link
        self._log.write("entry_found", entry=link.entry, host=link.address.host)
        link.task = self._background.keep(lambda: self._keep(link))

    def _unlist(self, entry: str) -> None:
        """Note that an entry's row is gone: it ended, or can't reach the store but still serves."""
        link = self._links.get(entry)
        if link is not None:
            link.listed = False

    def _forget(self, entry: str) -> None:
        link = self._links.pop(entry, None)
        if link is not None:
            self._log.write("entry_forgotten", entry=entry)
            link.task.cancel()
            if link.stream is not None:
                link.stream.close()

    # Streams.

    def _greeted(self, link: EntryLink, owner: str) -> None:
        self._name_seed(entry_of_owner(owner), link.address)
        if self._links.get(link.entry) is not link:
            return
        former = link.owner
        link.owner = owner
        self._log.write("entry_joined", entry=link.entry, owner=owner)
        if former:
            self.on_renamed(former, owner)
        else:
            self.on_joined(link)

    async def _keep(self, link: EntryLink) -> None:
        while True:
            try:
                await self._serve(link)
            except (StreamClosedError, FrameError) as error:
                if link.owner:
                    self._log.write("entry_lost", entry=link.entry, code=error.code)
            finally:
                self._end_stream(link)
            silent_ms = self._timers.now_ms() - link.heard_ms
            if not link.listed and silent_ms > UNLISTED_KEPT_MS:
                self._links.pop(link.entry, None)
                self._log.write("entry_forgotten", entry=link.entry)
                return
            await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    def _end_stream(self, link: EntryLink) -> None:
        if link.stream is not None:
            link.stream.close()
        if link.owner:
            self._timers.call_after(AWAY_ALLOWANCE_MS, partial(self._check_away, link.owner))
        link.stream = None
        link.owner = ""
        link.demand = {}
        link.told_room.clear()

    def _check_away(self, owner: str) -> None:
        if self.of_owner(owner) is None:
            self.on_away(owner)

    async def _serve(self, link: EntryLink) -> None:
        address = link.address
        stream = await open_stream(
            address.host, address.port, self._sent, self._received, timeout_s=CONNECT_TIMEOUT_S
        )
        link.stream = stream
        link.orders = 0
        link.heard_ms = self._timers.now_ms()
        stream.send(self._greeting())
        async for message in stream:
            link.heard_ms = self._timers.now_ms()
            if isinstance(message, orders.EntryGreeting):
                self._greeted(link, message.owner)
            else:
                self.on_message(link, message)
        raise StreamClosedError("the entry ended the stream")


def _same_place(one: EntryAddress, other: EntryAddress) -> bool:
    """Tell whether two records name the same address, whatever life of the entry."""
    return (one.host, one.port) == (other.host, other.port)
