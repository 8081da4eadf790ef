"""Steps on connections that go silent, and on heartbeats that arrive late."""

import asyncio
import json
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from core_model import ManualTimers
from platform_core_steps import BOUNDS

from gapdrum.agent.entry_directory import EntryDirectory
from gapdrum.agent.entry_links import EntryLink, EntryLinks
from gapdrum.agent.grants import Grants
from gapdrum.agent.runner_registry import RunnerRegistry
from gapdrum.core import orders
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.records import EntryAddress, address_row, dump_record
from gapdrum.core.rows import Page, Row
from gapdrum.entry.links import AgentLinks
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreRejectedError
from gapdrum.streams import open_stream
from gapdrum.timers import Timers
from gapdrum.transport.http_client import HttpClient, NoReplyError
from gapdrum.transport.http_messages import HttpRequest
from gapdrum.zone_watch import ZoneWatch

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CALL_TIMEOUT_MS = 100
BEAT_MS = orders.BEAT_INTERVAL_MS
OWNER = "entry-1/life"
ADDRESS = f"{HOST}:1"


class SilencingServer:
    """Replies to each request, except on the connections in ``silent``."""

    def __init__(self):
        self.writers = []
        self.silent = set()

    async def open(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if writer not in self.silent:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


async def call(client):
    """Call once; return whether a reply came."""
    try:
        await client.call("GET", "/", timeout_ms=CALL_TIMEOUT_MS)
    except NoReplyError:
        return False
    return True


@given("a server with {count:d} open connections of a client")
def known_connections(context, count):
    context.count = count

    async def open_all(server):
        client = HttpClient(HOST, await server.open())
        await asyncio.gather(*(call(client) for _ in range(count)))
        return client

    context.open_all = open_all


@when("all of them go silent, and the client calls {calls:d} times")
def all_silent(context, calls):
    async def run():
        server = SilencingServer()
        client = await context.open_all(server)
        server.silent.update(server.writers)
        return [await call(client) for _ in range(calls)]

    context.replies = asyncio.run(run())


@then("{count:d} of the calls gets no reply")
def unanswered(context, count):
    assert context.replies.count(False) == count, context.replies


@when("one of them goes silent, and the client calls on it and on another")
def one_silent(context):
    async def run():
        server = SilencingServer()
        client = await context.open_all(server)
        last = client._idle[-1]._transport.get_extra_info("sockname")
        server.silent.update(
            one for one in server.writers if one.get_extra_info("peername") == last
        )
        silent_call = asyncio.create_task(call(client))
        await asyncio.sleep(CALL_TIMEOUT_MS / 2_000)
        # The others receive replies while the call on the silent one still waits.
        await asyncio.gather(*(call(client) for _ in range(context.count - 1)))
        assert not await silent_call
        await asyncio.gather(*(call(client) for _ in range(context.count - 1)))
        return len(server.writers)

    context.opened = asyncio.run(run())


@then("the client has opened {count:d} connections")
def opened(context, count):
    assert context.opened == count, context.opened


class FakeStream:
    """Ignores messages, and records that it was closed."""

    def __init__(self):
        self.closed = False

    def send(self, _message):
        pass

    def close(self):
        self.closed = True


@given("an agent with a stream to an entry")
def agent_with_stream(context):
    context.timers = ManualTimers()
    log = EventLog("agent-1", context.timers)
    context.links = EntryLinks(None, context.timers, log, None, None)
    link = EntryLink("entry-1", None)
    link.owner, link.stream, link.heard_ms = OWNER, FakeStream(), context.timers.now_ms()
    context.links._links["entry-1"] = context.link = link
    context.grants = Grants(BOUNDS)
    context.grants.note(OWNER, context.timers.now_ms(), True)
    context.links.beat()


@when("it receives nothing from the entry for {silent_ms:d} ms")
def receive_nothing(context, silent_ms):
    # Earlier messages have been read by now.
    context.link.heard_ms = context.timers.now_ms()
    context.grants.note(OWNER, context.timers.now_ms(), True)
    for _ in range(silent_ms // BEAT_MS):
        context.timers.time_ms += BEAT_MS
        context.links.beat()


@when("the agent is suspended for {time_ms:d} ms")
def suspend_agent(context, time_ms):
    context.timers.time_ms += time_ms
    context.links.beat()


@then("the stream is closed while the entry's grant is still valid")
def stream_cut(context):
    assert context.link.stream.closed
    for durable in (False, True):
        assert context.timers.now_ms() < context.grants.until_ms(OWNER, durable)


@then("the stream is not closed")
def stream_kept(context):
    assert not context.link.stream.closed


class FakeReports:
    """Passes over what keepers report."""

    def report(self, _ensure_controller, _events):
        pass

    def broadcast_holdings(self, _ensure_controller):
        pass

    def send_room(self):
        pass


def heartbeat(runner_id, sequence=1, state="ready"):
    body = {
        "service": "workers",
        "address": ADDRESS,
        "zone": "zone-1",
        "state": state,
        "sequence": sequence,
        "capacity": {"cpu": 4_000, "mem_mb": 1_000},
    }
    path = f"/Instances.Heartbeat/{runner_id}"
    return HttpRequest("POST", path, {}, json.dumps(body).encode(), 0, None)


def new_registry(context, listening):
    async def identify(_address, _timeout_ms):
        if listening[0] is None:
            raise NoReplyError("nothing answers")
        return listening[0]

    timers = Timers()
    boot = SimpleNamespace(run_lease_ms=1_000, runner=None, machine_list=None, zone="zone-1")
    context.controllers = {}
    return RunnerRegistry(
        boot,
        context.controllers,
        Grants(BOUNDS),
        FakeReports(),
        timers,
        EventLog("agent-1", timers),
        ZoneWatch(EventLog("agent-1", timers)),
        identify,
    )


async def post_heartbeat(registry, request):
    """Send a heartbeat request to the registry; return the response's status."""
    result = registry.handle(request)
    response = await result if asyncio.iscoroutine(result) else result
    return response.status


def play_heartbeats(context, listening, *requests):
    """Register i-2, then send heartbeats while ``listening`` is at its address."""

    async def run():
        now_listening = ["i-2"]
        registry = new_registry(context, now_listening)
        assert await post_heartbeat(registry, heartbeat("i-2")) == 200
        now_listening[0] = listening
        for request in requests:
            context.status = await post_heartbeat(registry, request)
        context.known = [
            name for name, controller in context.controllers.items() if not controller.ledger.gone
        ]
        context.draining = [
            controller.ledger.draining for controller in context.controllers.values()
        ]

    asyncio.run(run())


@given('an agent that knows the runner "i-2", which listens at its address')
def known_runner(context):
    pass


@when('a heartbeat of "{runner}" comes from that address')
def delayed_heartbeat(context, runner):
    play_heartbeats(context, "i-2", heartbeat(runner, state="draining"))


@when('"{runner}" listens there instead, and its heartbeat comes')
def successor(context, runner):
    play_heartbeats(context, runner, heartbeat(runner))


@when('nothing answers there, and a heartbeat of "{runner}" comes')
def unverified(context, runner):
    play_heartbeats(context, None, heartbeat(runner))


@when("its heartbeat {newer:d} says that it drains, and its heartbeat {older:d} comes after that")
def overtaken(context, newer, older):
    requests = heartbeat("i-2", newer, "draining"), heartbeat("i-2", older)
    play_heartbeats(context, "i-2", *requests)


@then('the runners that the agent knows are "{names}"')
def known_runners(context, names):
    assert context.known == names.split(), context.known


@then("the heartbeat was answered with {status:d}")
def heartbeat_status(context, status):
    assert context.status == status, context.status


@then("it is known as draining")
def known_draining(context):
    assert context.draining == [True], context.draining


class QuietOutside:
    """Ignores the effects of decisions."""

    def __getattr__(self, _name):
        return lambda *_args, **_fields: None


@given("an entry with an open stream of an agent")
def entry_with_stream(context):
    context.errors = []


@when("its program ends")
def program_ends(context):
    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, details: context.errors.append(details))
        timers = Timers()
        counts = Counter()
        links = AgentLinks(timers, EventLog("entry-1", timers), counts, counts)
        links.dispatch = build_dispatch("zone", QuietOutside(), lambda: True, 0)
        server = await asyncio.start_server(links._accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        stream = await open_stream(HOST, port, counts, counts)
        stream.send(orders.AgentGreeting("agent-1", "life", "zone", 1))
        while not links.connected:
            await asyncio.sleep(0.01)

    asyncio.run(run())


@then("asyncio reports no errors")
def no_errors(context):
    assert not context.errors, context.errors


class UnavailableStore:
    """Rejects all reads until it is back; then it returns its rows."""

    def __init__(self):
        self.rows = ()
        self.back = asyncio.Event()

    async def read(self, _table, _part, _timeout_ms):
        if not self.back.is_set():
            raise StoreRejectedError("away")
        return Page(self.rows, False, 1)

    async def watch(self, _table, _after, _wait_ms):
        await asyncio.Event().wait()


@given("an entry that listens for agents, and a store that is unavailable")
def entry_and_away_store(context):
    context.streams = []


async def start_entry(context, timers):
    """Listen as an entry, and record each stream that an agent opens."""
    counts = Counter()
    links = AgentLinks(timers, EventLog("entry-1", timers), counts, counts)
    links.dispatch = build_dispatch("zone", QuietOutside(), lambda: True, 0)
    links.owner = lambda: OWNER

    async def accept(reader, writer):
        context.streams.append(writer)
        await links._accept(reader, writer)

    server = await asyncio.start_server(accept, HOST, 0)
    return links, server.sockets[0].getsockname()[1]


@when("an agent starts whose settings name the entry and one that is gone")
def agent_with_seeds(context):
    async def run():
        timers = Timers()
        counts = Counter()
        entry, port = await start_entry(context, timers)
        gone = EntryAddress("", "", "127.0.0.2", port)
        seeds = (EntryAddress("", "", HOST, port), gone)
        store = UnavailableStore()
        log = EventLog("agent-1", timers)
        links = EntryLinks(
            lambda: orders.AgentGreeting("agent-1", "life", "zone", 1), timers, log, counts, counts
        )
        directory = EntryDirectory(store, links, log, seeds)
        following = asyncio.create_task(directory.follow())
        await wait_until(lambda: links.of_owner(OWNER))
        context.joined = entry.connected
        address = dump_record(EntryAddress("life", "zone", HOST, port))
        store.rows = (Row(address_row("entry-1"), address, 1),)
        store.back.set()
        await wait_until(lambda: any(link.listed for link in links))
        await asyncio.sleep(0.1)
        context.connected = entry.connected
        context.names = [link.entry for link in links if link.owner]
        following.cancel()

    asyncio.run(run())


async def wait_until(is_true):
    for _ in range(300):
        if is_true():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met within 3 s")


@then("the agent joins the entry")
def agent_joined(context):
    assert context.joined == 1, context.joined


@when("the store is available again and lists the entry")
def store_returned(context):
    pass


@then("the agent still has one stream to the entry")
def one_stream(context):
    assert context.connected == 1 and len(context.streams) == 1, context.streams


@then("it knows the entry only by its name")
def known_by_name(context):
    assert context.names == ["entry-1"], context.names
