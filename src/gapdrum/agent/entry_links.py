"""The agent's streams to the entries that it serves."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.records import EntryAddress, entry_of_owner
from gapdrum.core.runner_ledger import UNKNOWN_OWNER, HeldOwner
from gapdrum.core.subsets import Candidate, choose_entries
from gapdrum.event_log import EventLog
from gapdrum.exceptions import FrameError, StreamClosedError
from gapdrum.streams import Stream, open_stream
from gapdrum.timers import MS_PER_S, Timers

RETRY_INTERVAL_MS = 200
CONNECT_TIMEOUT_S = 0.6
# An owner whose stream has ended and does not return within this time has probably died; the
# callers that waited there send their jobs again 1.3 s after their connections broke.
AWAY_ALLOWANCE_MS = 600
# An entry that has not echoed two beats when the third is due is connected anew. A stream that
# went silent for good is replaced before the grants end, so what runs for the entry goes on.
SILENT_ENTRY_MS = 3 * orders.BEAT_INTERVAL_MS - orders.BEAT_INTERVAL_MS // 2
# A beat that comes so long after the last one shows that this process stood still.
PAUSED_MS = 2 * orders.BEAT_INTERVAL_MS
# The name of a link to a seed, until the entry there has told who it is.
SEED_PREFIX = "seed/"
# An entry without a row is tried for so long after it was last heard: it may be cut off from
# the store only, and then still serves callers that wait.
UNLISTED_KEPT_MS = 10_000
# Another entry takes the place of one without a stream after this: a restart takes 0.7 s.
DOWN_AFTER_MS = 1_000
# A link that is not needed any more stays for this long, so that none comes and goes with each
# short trouble of another entry.
UNNEEDED_KEPT_MS = 4_000
# What an entry had sent before it hears that the agent leaves is read, and dropped, until then.
LEAVING_MS = 500


class EntryLink:
    """One entry, and the stream to it while there is one."""

    def __init__(self, entry: str, address: EntryAddress) -> None:
        self.entry = entry
        self.address = address
        self.owner = ""
        self.stream: Stream | None = None
        self.orders = 0
        self.demand: dict[str, orders.UpstreamDemand] = {}  # where its jobs wait for room
        self.short_ms = 0  # when it last was short of room
        self.sent_room: dict[str, orders.RoomReport] = {}  # the last one of each runner
        self.follows_table = False  # whether it told so last
        self.heard_ms = 0
        self.lost_ms = 0  # since when there has been no stream
        self.chosen_ms = 0  # when it was last one that the agent should serve
        self.listed = True
        self.leaving = False
        self.task: asyncio.Task | None = None

    def send(self, message: object) -> None:
        """Send a message if the entry is connected and has told who it is."""
        if self.stream is None or not self.owner or self.leaving:
            return
        try:
            self.stream.send(message)
        except StreamClosedError:
            self.stream.close()

    def away_ms(self, now_ms: int) -> int:
        """Return for how long there has been no stream to the entry, 0 while there is one."""
        return 0 if self.owner else now_ms - self.lost_ms


class EntryLinks:
    """Keeps a stream to each entry that this agent should serve.

    An agent that holds work of an entry serves it in any case. While it holds work of an owner
    that it can't reach, it serves all entries, as any of them may become its new owner.
    """

    def __init__(
        self, greeting: Callable[[], orders.AgentGreeting], timers: Timers, log: EventLog,
        sent: Counter, received: Counter, agent: str = "", zone: str = "",
    ) -> None:  # fmt: skip
        self._greeting = greeting
        self._timers = timers
        self._log = log
        self._sent = sent
        self._received = received
        self._agent = agent
        self._zone = zone
        self._background = Background(log)
        self._links: dict[str, EntryLink] = {}
        self._listed: dict[str, EntryAddress] = {}
        self._beat_ms = 0
        self.drained_zones: Callable[[], frozenset[str]] = frozenset
        self.held_owners: Callable[[], Iterable[HeldOwner]] = tuple
        self.on_joined: Callable[[EntryLink], None] = lambda _link: None
        self.on_renamed: Callable[[str, str], None] = lambda _former, _owner: None
        self.on_owner_lost: Callable[[str], None] = lambda _owner: None
        self.on_message: Callable[[EntryLink, object], None] = lambda _link, _message: None

    def __iter__(self):
        return iter(self._links.values())

    def of_owner(self, owner: str) -> EntryLink | None:
        """Return the link to an owner of jobs, None if it isn't connected."""
        link = self._links.get(entry_of_owner(owner))
        if link is not None and link.owner == owner and link.stream is not None:
            return link
        # A link to a seed may not have the entry's name yet.
        return next((one for one in self._links.values() if one.owner == owner), None)

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

    # Which entries there are.

    def register_entry(self, entry: str, address: EntryAddress) -> None:
        """Take the address of an entry."""
        self._name_seed(entry, address)
        known = self._listed.get(entry)
        self._listed[entry] = address
        link = self._links.get(entry)
        if link is not None and not _same_place(link.address, address):
            self._forget(link)
        elif link is not None:
            link.listed = True
        if known is None:
            self._log.write("entry_found", entry=entry, host=address.host)

    def retain_entries(self, entries: Iterable[str]) -> None:
        """Note that no other entries have an address."""
        for entry in set(self._links) | set(self._listed):
            if entry not in entries:
                self.unregister_entry(entry)

    def unregister_entry(self, entry: str) -> None:
        """Note that an entry's row is gone: it ended, or can't reach the store but still serves."""
        self._listed.pop(entry, None)
        link = self._links.get(entry)
        if link is not None:
            link.listed = False

    def join_seeds(self, seeds: Iterable[EntryAddress]) -> None:
        """Connect to the entries that the settings name, unless others are known."""
        if not self._links:
            for address in seeds:
                link = EntryLink(f"{SEED_PREFIX}{address.host}", address)
                self._log.write("entry_found", entry=link.entry, host=address.host)
                self._connect(link, listed=False)

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

    # Which of them this agent serves.

    def update_links(self) -> None:
        """Connect to the entries that should be served, and leave others after a while."""
        now_ms = self._timers.now_ms()
        held = tuple(self.held_owners())
        needed = {entry_of_owner(one.owner) for one in held}
        candidates = [self._candidate(name, needed, now_ms) for name in self._listed]
        chosen = choose_entries(self._agent, candidates, self._has_stray(held, now_ms))
        for entry in chosen:
            if entry not in self._links:
                self._connect(EntryLink(entry, self._listed[entry]))
            self._links[entry].chosen_ms = now_ms
        for link in list(self._links.values()):
            is_over = now_ms - link.chosen_ms > UNNEEDED_KEPT_MS
            if link.listed and is_over and link.entry not in needed and not link.leaving:
                self._leave(link)

    def _candidate(self, entry: str, needed: set[str], now_ms: int) -> Candidate:
        address = self._listed[entry]
        link = self._links.get(entry)
        drained = self.drained_zones()
        return Candidate(
            entry,
            is_near=address.zone == self._zone,
            is_down=link is not None and link.away_ms(now_ms) > DOWN_AFTER_MS,
            holds_work=entry in needed,
            wanted_permille=address.wanted_permille,
            is_drained=address.zone in drained and self._zone not in drained,
        )

    def _has_stray(self, held: Iterable[HeldOwner], now_ms: int) -> bool:
        """Tell whether work is held that any entry may have to take over or to explain."""
        return any(self._is_stray(one, now_ms) for one in held)

    def _is_stray(self, held: HeldOwner, now_ms: int) -> bool:
        if held.owner == UNKNOWN_OWNER:
            return True
        return held.durable and self._is_away(held.owner, now_ms)

    def _is_away(self, owner: str, now_ms: int) -> bool:
        """Tell whether an owner has probably died: its stream has been down for too long.

        An entry that has joined under another name is not that owner any more.
        """
        if self.of_owner(owner) is not None:
            return False
        link = self._links.get(entry_of_owner(owner))
        return link is None or bool(link.owner) or link.away_ms(now_ms) >= AWAY_ALLOWANCE_MS

    def _connect(self, link: EntryLink, listed: bool = True) -> None:
        now_ms = self._timers.now_ms()
        link.listed = listed
        link.heard_ms = link.lost_ms = link.chosen_ms = now_ms
        self._links[link.entry] = link
        link.task = self._background.keep(lambda: self._keep(link))

    def _leave(self, link: EntryLink) -> None:
        """Leave an entry of which nothing is held here: it is told, and then the stream ends."""
        self._log.write("entry_left", entry=link.entry)
        link.send(orders.AgentLeaving())
        link.leaving = True
        self._timers.call_after(LEAVING_MS, partial(self._forget, link))

    def _forget(self, link: EntryLink) -> None:
        if self._links.get(link.entry) is not link:
            return
        del self._links[link.entry]
        self._log.write("entry_forgotten", entry=link.entry)
        link.task.cancel()
        if link.stream is not None:
            link.stream.close()

    # Streams.

    def _greeted(self, link: EntryLink, owner: str, former_owners: Iterable[str] = ()) -> None:
        self._name_seed(entry_of_owner(owner), link.address)
        if self._links.get(link.entry) is not link:
            return
        former = link.owner
        link.owner = owner
        self._log.write("entry_joined", entry=link.entry, owner=owner)
        if former:
            self.on_renamed(former, owner)
        else:
            for name in former_owners:
                self.on_renamed(name, owner)
            self.on_joined(link)

    async def _keep(self, link: EntryLink) -> None:
        while True:
            try:
                await self._serve(link)
            except (StreamClosedError, FrameError) as error:
                if isinstance(error, FrameError):
                    self._log.write("stream_rejected", code=error.code, reason=error.message)
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
            link.lost_ms = self._timers.now_ms()
            self._timers.call_after(AWAY_ALLOWANCE_MS, partial(self._check_away, link.owner))
        link.stream = None
        link.owner = ""
        link.follows_table = False
        link.demand = {}
        link.sent_room.clear()

    def _check_away(self, owner: str) -> None:
        # Its stream may have been replaced, and have failed again just now.
        if self._is_away(owner, self._timers.now_ms()):
            self.on_owner_lost(owner)

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
            if isinstance(message, (orders.BeatEcho, orders.EntryGreeting)):
                link.heard_ms = self._timers.now_ms()  # what else comes keeps no grant up
            if link.leaving:
                continue  # the entry has taken back by now whatever it had ordered here
            if isinstance(message, orders.EntryGreeting):
                self._greeted(link, message.owner, message.former_owners)
            else:
                self.on_message(link, message)
        raise StreamClosedError("the entry ended the stream")


def _same_place(one: EntryAddress, other: EntryAddress) -> bool:
    """Tell whether two records name the same address, whatever life of the entry."""
    return (one.host, one.port) == (other.host, other.port)
