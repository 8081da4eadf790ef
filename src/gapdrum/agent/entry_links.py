"""The agent's streams to the entries that it serves."""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from functools import partial

from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.records import EntryAddress, entry_of_owner, owner_name
from gapdrum.core.runner_ledger import UNKNOWN_OWNER, HeldOwner
from gapdrum.core.subsets import SUCCESSION_MS, Candidate, choose_entries, choose_successors
from gapdrum.event_log import EventLog
from gapdrum.exceptions import FrameError, StreamClosedError
from gapdrum.streams import Stream, open_stream
from gapdrum.timers import MS_PER_S, Timers

RETRY_INTERVAL_MS = 200
CONNECT_TIMEOUT_S = 0.6
# An owner that does not reconnect within this time has probably died; its callers submit their
# jobs again 1.3 s after their connections broke.
OWNER_LOSS_DELAY_MS = 600
# The agent reconnects to an entry that has not echoed two of its heartbeats (AgentBeat) when the
# third is due. So a silent stream is replaced before the grants end, and the entry's runs go on.
SILENT_ENTRY_MS = 3 * orders.BEAT_INTERVAL_MS - orders.BEAT_INTERVAL_MS // 2
# A heartbeat that the agent sends so long after the last one shows that it was paused.
PAUSE_LIMIT_MS = 2 * orders.BEAT_INTERVAL_MS
# Prefix of the name of a link to a seed, until the entry there has sent its greeting.
SEED_PREFIX = "seed/"
# The agent retries an entry without a row for so long after its last sign of life: the entry may
# be cut off from the store only, and still serve its callers.
UNLISTED_RETRY_MS = 10_000
# Another entry replaces one that is disconnected for longer; a restart takes 0.7 s.
DOWN_AFTER_MS = 1_000
# A link that is not needed any more is closed after this time, so that short faults of other
# entries do not open and close links.
UNNEEDED_KEPT_MS = 4_000
# Owners without a lease are remembered until their jobs have long been taken over.
MAX_ENDED_LEASES = 1_000
# Work that no successor has claimed after this time may be claimed by any entry soon.
UNCLAIMED_MS = SUCCESSION_MS - 500
# How long an agent that leaves reads and drops messages that the entry may have sent before.
LEAVE_DELAY_MS = 500


class EntryLink:
    """One entry, and the stream to it while there is one."""

    def __init__(self, entry: str, address: EntryAddress) -> None:
        self.entry = entry
        self.address = address
        self.owner = ""
        self.stream: Stream | None = None
        self.orders = 0  # runs ordered on this stream
        self.demand: dict[
            str, orders.UpstreamDemand
        ] = {}  # by upstream at which its jobs wait for room
        self.short_ms = 0  # when the entry was last short of room
        self.sent_room: dict[str, orders.RoomReport] = {}  # the last report of each runner
        self.follows_table = False  # by its last echo
        self.heard_ms = 0
        self.disconnected_ms = 0  # since when the entry is disconnected
        self.last_chosen_ms = 0  # when the entry was last chosen to be served
        self.listed = True
        self.leaving = False
        self.task: asyncio.Task | None = None

    def send(self, message: object) -> None:
        """Send a message if the entry is connected and has sent its greeting."""
        if self.stream is None or not self.owner or self.leaving:
            return
        try:
            self.stream.send(message)
        except StreamClosedError:
            self.stream.close()

    def disconnected_for_ms(self, now_ms: int) -> int:
        """Return for how long the entry has been disconnected, 0 while it is connected."""
        return 0 if self.owner else now_ms - self.disconnected_ms


class EntryLinks:
    """Keeps a stream to each entry that this agent should serve.

    The agent always serves an entry of which it holds runs or ends. While it holds some of an
    unreachable owner, it serves all entries, as any of them may take the jobs over. While it holds
    some of an owner without an entry lease, it serves the successors, and all entries only if these
    do not claim the jobs in time.
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
        self._ended_leases: OrderedDict[str, int] = OrderedDict()  # when known, by owner
        self._last_heartbeat_ms = 0
        self.drained_zones: Callable[[], frozenset[str]] = frozenset
        self.held_owners: Callable[[], Iterable[HeldOwner]] = tuple
        self.on_joined: Callable[[EntryLink], None] = lambda _link: None
        self.on_renamed: Callable[[str, str], None] = lambda _former, _owner: None
        self.on_disconnected: Callable[[str], None] = lambda _owner: None
        self.on_owner_lost: Callable[[str], None] = lambda _owner: None
        self.on_message: Callable[[EntryLink, object], None] = lambda _link, _message: None

    def __iter__(self):
        return iter(self._links.values())

    def of_owner(self, owner: str) -> EntryLink | None:
        """Return the link to an owner, None if the owner is not connected."""
        link = self._links.get(entry_of_owner(owner))
        if link is not None and link.owner == owner and link.stream is not None:
            return link
        # A link to a seed may not be named after the entry yet.
        return next((one for one in self._links.values() if one.owner == owner), None)

    def beat(self) -> None:
        """Send the agent's clock to all entries, and close the streams of silent ones.

        After a pause of this process, the echoes that arrived meanwhile are still unread, so no
        stream is closed before the next heartbeat.
        """
        now_ms = self._timers.now_ms()
        was_paused = now_ms - self._last_heartbeat_ms > PAUSE_LIMIT_MS
        self._last_heartbeat_ms = now_ms
        for link in self._links.values():
            link.send(orders.AgentBeat(now_ms))
            is_silent = now_ms - link.heard_ms > SILENT_ENTRY_MS
            if link.stream is not None and is_silent and not was_paused:
                link.stream.close()

    # Known entries.

    def register_entry(self, entry: str, address: EntryAddress) -> None:
        """Add or update the address of an entry."""
        self._rename_seed(entry, address)
        known = self._listed.get(entry)
        self._listed[entry] = address
        if known is not None and known.incarnation != address.incarnation:
            self._record_row_gone(entry, known)
        link = self._links.get(entry)
        if link is not None and not _same_address(link.address, address):
            self._forget(link)
        elif link is not None:
            link.listed = True
        if known is None:
            self._log.write("entry_found", entry=entry, host=address.host)

    def retain_entries(self, entries: Iterable[str]) -> None:
        """Unregister all entries but these."""
        for entry in set(self._links) | set(self._listed):
            if entry not in entries:
                self.unregister_entry(entry)

    def unregister_entry(self, entry: str) -> None:
        """Drop an entry whose row is gone; it may have ended, or only lost access to the store."""
        known = self._listed.pop(entry, None)
        if known is not None:
            self._record_row_gone(entry, known)
        link = self._links.get(entry)
        if link is not None:
            link.listed = False

    def _record_row_gone(self, entry: str, address: EntryAddress) -> None:
        """Record the end of a lease: the row of the address is removed or replaced with it."""
        self.record_ended_lease(owner_name(entry, address.incarnation), source="table")

    def record_ended_lease(self, owner: str, source: str) -> None:
        """Record that an owner holds no entry lease any more, though it may be connected."""
        if owner in self._ended_leases:
            return
        self._ended_leases[owner] = self._timers.now_ms()
        if len(self._ended_leases) > MAX_ENDED_LEASES:
            self._ended_leases.popitem(last=False)
        self._log.write("owner_lease_ended", owner=owner, source=source)

    def join_seeds(self, seeds: Iterable[EntryAddress]) -> None:
        """Connect to the entries that the settings name, unless links exist."""
        if not self._links:
            for address in seeds:
                link = EntryLink(f"{SEED_PREFIX}{address.host}", address)
                self._log.write("entry_found", entry=link.entry, host=address.host)
                self._connect(link, listed=False)

    def _rename_seed(self, entry: str, address: EntryAddress) -> None:
        """Name the link to a seed after the entry there, or drop it if the entry has a link."""
        seed = self._links.get(f"{SEED_PREFIX}{address.host}")
        if seed is None or not _same_address(seed.address, address):
            return
        del self._links[seed.entry]
        if entry in self._links:
            seed.task.cancel()
            self._end_stream(seed)
            return
        seed.entry = entry
        self._links[entry] = seed

    # Served entries.

    def update_links(self) -> None:
        """Connect to the entries that should be served, and leave the others after a delay."""
        now_ms = self._timers.now_ms()
        held = tuple(self.held_owners())
        needed = {entry_of_owner(one.owner) for one in held} | self._list_successors(held)
        candidates = [self._candidate(name, needed, now_ms) for name in self._listed]
        chosen = choose_entries(self._agent, candidates, self._has_lost_owner(held, now_ms))
        for entry in chosen:
            if entry not in self._links:
                self._connect(EntryLink(entry, self._listed[entry]))
            self._links[entry].last_chosen_ms = now_ms
        for link in list(self._links.values()):
            is_over = now_ms - link.last_chosen_ms > UNNEEDED_KEPT_MS
            if link.listed and is_over and link.entry not in needed and not link.leaving:
                self._leave(link)

    def _candidate(self, entry: str, needed: set[str], now_ms: int) -> Candidate:
        address = self._listed[entry]
        link = self._links.get(entry)
        drained = self.drained_zones()
        return Candidate(
            entry,
            is_near=address.zone == self._zone,
            is_down=link is not None and link.disconnected_for_ms(now_ms) > DOWN_AFTER_MS,
            holds_work=entry in needed,
            wanted_permille=address.wanted_permille,
            is_drained=address.zone in drained and self._zone not in drained,
        )

    def _list_successors(self, held: Iterable[HeldOwner]) -> set[str]:
        """Return the entries that may take over jobs of which runs or ends are held."""
        owners = {one.owner for one in held if one.durable and one.owner in self._ended_leases}
        if not owners:
            return set()
        with_lease = [
            entry
            for entry, address in self._listed.items()
            if owner_name(entry, address.incarnation) not in self._ended_leases
        ]
        return {entry for owner in owners for entry in choose_successors(owner, with_lease)}

    def _has_lost_owner(self, held: Iterable[HeldOwner], now_ms: int) -> bool:
        """Return whether runs or ends are held that any entry may have to take over."""
        return any(self._may_change_owner(one, now_ms) for one in held)

    def _may_change_owner(self, held: HeldOwner, now_ms: int) -> bool:
        if held.owner == UNKNOWN_OWNER:
            return True
        if not held.durable:
            return False
        ended_ms = self._ended_leases.get(held.owner)
        if ended_ms is not None:
            return now_ms - ended_ms > UNCLAIMED_MS
        return self._is_lost(held.owner, now_ms)

    def _is_lost(self, owner: str, now_ms: int) -> bool:
        """Return whether an owner has probably died: it has been disconnected for too long.

        An entry that has joined under a new name is not the former owner any more.
        """
        if self.of_owner(owner) is not None:
            return False
        link = self._links.get(entry_of_owner(owner))
        return (
            link is None
            or bool(link.owner)
            or link.disconnected_for_ms(now_ms) >= OWNER_LOSS_DELAY_MS
        )

    def _connect(self, link: EntryLink, listed: bool = True) -> None:
        now_ms = self._timers.now_ms()
        link.listed = listed
        link.heard_ms = link.disconnected_ms = link.last_chosen_ms = now_ms
        self._links[link.entry] = link
        link.task = self._background.keep(lambda: self._keep(link))

    def _leave(self, link: EntryLink) -> None:
        """Cease to serve an entry of which nothing is held: send AgentLeaving, and close later.

        The log's ``entry_left`` is about this; the entry itself goes on.
        """
        self._log.write("entry_left", entry=link.entry)
        link.send(orders.AgentLeaving())
        link.leaving = True
        self._timers.call_after(LEAVE_DELAY_MS, partial(self._forget, link))

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
        self._rename_seed(entry_of_owner(owner), link.address)
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
            if not link.listed and silent_ms > UNLISTED_RETRY_MS:
                self._links.pop(link.entry, None)
                self._log.write("entry_forgotten", entry=link.entry)
                return
            await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    def _end_stream(self, link: EntryLink) -> None:
        if link.stream is not None:
            link.stream.close()
        if link.owner:
            link.disconnected_ms = self._timers.now_ms()
            self.on_disconnected(link.owner)
            self._timers.call_after(OWNER_LOSS_DELAY_MS, partial(self._check_lost, link.owner))
        link.stream = None
        link.owner = ""
        link.follows_table = False
        link.demand = {}
        link.sent_room.clear()

    def _check_lost(self, owner: str) -> None:
        # The stream may have been replaced and failed again since, which restarts the delay.
        if self._is_lost(owner, self._timers.now_ms()):
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
                link.heard_ms = self._timers.now_ms()  # other messages extend no grant
            if link.leaving:
                continue  # the entry places the tasks of dropped orders again (see AgentLeaving)
            if isinstance(message, orders.EntryGreeting):
                self._greeted(link, message.owner, message.former_owners)
            else:
                self.on_message(link, message)
        raise StreamClosedError("the entry closed the stream")


def _same_address(one: EntryAddress, other: EntryAddress) -> bool:
    """Return whether two records have the same address, for any incarnations of the entry."""
    return (one.host, one.port) == (other.host, other.port)
