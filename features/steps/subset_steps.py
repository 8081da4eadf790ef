"""Steps on the subset of entries that each agent serves."""

import asyncio
from collections import Counter

import attrs
from behave import given, then, when
from platform_core_steps import FakeStore, new_job, new_lease
from silence_steps import QuietOutside

from gapdrum.agent import entry_links
from gapdrum.agent.entry_links import EntryLinks
from gapdrum.core import orders
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import TaskPhase
from gapdrum.core.reach import Reach, VisibleCapacity
from gapdrum.core.records import EntryAddress, address_row, load_record
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS
from gapdrum.core.runner_ledger import UNKNOWN_OWNER, HeldOwner
from gapdrum.core.subsets import (
    ENTRIES_PER_AGENT,
    Candidate,
    choose_entries,
    choose_successors,
)
from gapdrum.entry.links import AgentLinks
from gapdrum.event_log import EventLog
from gapdrum.streams import open_stream
from gapdrum.timers import Timers

HOST = "127.0.0.1"
ADJUST_INTERVAL_MS = 50
HELD_OWNER = "edge-0/life"


# Which entries are chosen.


@given("{entries:d} entries and {agents:d} agents in {zones:d} zones")
def fleet(context, entries, agents, zones):
    context.entry_zones = {f"edge-{number}": number % zones for number in range(entries)}
    context.agent_zones = {f"side-{number}": number % zones for number in range(agents)}
    context.down = set()
    context.wanted = {}
    context.drained = None


def subsets_of(context, without=""):
    return {
        agent: choose_entries(
            agent,
            [
                Candidate(
                    entry,
                    of_entry == zone,
                    entry in context.down,
                    wanted_permille=context.wanted.get(entry, 0),
                    is_drained=of_entry == context.drained != zone,
                )
                for entry, of_entry in context.entry_zones.items()
                if entry != without
            ],
        )
        for agent, zone in context.agent_zones.items()
    }


@then("each agent serves {count:d} entries, at least {near:d} of them in its own zone")
def bounded(context, count, near):
    for agent, chosen in subsets_of(context).items():
        zone = context.agent_zones[agent]
        assert len(chosen) == count, chosen
        assert sum(context.entry_zones[one] == zone for one in chosen) >= near, chosen


@then("each entry is served by {least:d} to {most:d} agents")
def even(context, least, most):
    served = Counter(entry for chosen in subsets_of(context).values() for entry in chosen)
    counts = [served[entry] for entry in context.entry_zones]
    assert least <= min(counts) and max(counts) <= most, sorted(counts)


@then("a lost entry changes only the subsets that it was in")
def stable(context):
    before, after = subsets_of(context), subsets_of(context, without="edge-3")
    for agent, chosen in before.items():
        if "edge-3" not in chosen:
            assert after[agent] == chosen, agent
        else:
            assert len(after[agent] - chosen) == 1, agent


@when("the entries of a zone are down")
def zone_down(context):
    context.before = subsets_of(context)
    context.down = {entry for entry, zone in context.entry_zones.items() if zone == 0}


@then("each agent serves {count:d} entries that are not down")
def serves_live(context, count):
    for chosen in subsets_of(context).values():
        assert len(chosen - context.down) == count, chosen


@then("each agent still tries those that it would serve")
def tries_down(context):
    for agent, chosen in subsets_of(context).items():
        assert context.before[agent] <= chosen, agent


@when("a zone is drained")
def zone_drained(context):
    context.before = subsets_of(context)
    context.drained = 0


@then("each agent of an open zone serves one more of its entries, and other agents serve no more")
def serves_more(context):
    for agent, chosen in subsets_of(context).items():
        more = chosen - context.before[agent]
        zones = [context.entry_zones[entry] for entry in more]
        assert zones == ([] if context.agent_zones[agent] == 0 else [0]), (agent, more)


@then("its entries are served by {least:d} to {most:d} agents of open zones")
def drained_served(context, least, most):
    served = Counter(
        entry
        for agent, chosen in subsets_of(context).items()
        if context.agent_zones[agent] != 0
        for entry in chosen
    )
    counts = [served[entry] for entry, zone in context.entry_zones.items() if zone == 0]
    assert least <= min(counts) and max(counts) <= most, counts


@when("an entry requests {permille:d} thousandths of the agents")
def requests_agents(context, permille):
    context.wanted = {"edge-1": permille}


@when("each entry adjusts its requested share for {seconds:d} s by what the others see")
def adjust_all(context, seconds):
    reaches = {entry: Reach() for entry in context.entry_zones}
    for step in range(seconds * 2):
        served = Counter(entry for chosen in subsets_of(context).values() for entry in chosen)
        views = {entry: VisibleCapacity(served[entry], 300) for entry in reaches}
        for entry, reach in reaches.items():
            others = [view for name, view in views.items() if name != entry]
            reach.adjust(views[entry], others, False, 500 * step)
        context.wanted = {entry: reach.wanted_permille for entry, reach in reaches.items()}


@then("at most {most:d} entries request more")
def few_request(context, most):
    requesting = [entry for entry, permille in context.wanted.items() if permille]
    assert len(requesting) <= most, len(requesting)


@then("an agent serves {most:d} entries on average at most")
def serves_few(context, most):
    sizes = [len(chosen) for chosen in subsets_of(context).values()]
    assert sum(sizes) <= most * len(sizes), sum(sizes) / len(sizes)


@then("{least:d} to {most:d} agents serve it")
def served_by(context, least, most):
    found = sum("edge-1" in chosen for chosen in subsets_of(context).values())
    assert least <= found <= most, found


# Streams.


class ListeningEntry:
    """The parts of an entry that accept streams, and their address."""

    def __init__(self, name, timers):
        self.name = name
        self.owner = f"{name}/life"
        counts = Counter()
        self.links = AgentLinks(timers, EventLog(name, timers), counts, counts)
        self.links.owner = lambda: self.owner
        self.effects = Effects(self.links)
        self.links.dispatch = self.dispatch = build_dispatch("z", self.effects, lambda: True, 0)
        self.writers = []

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.append(writer)
        await self.links._accept(reader, writer)

    def die(self):
        self.server.close()
        for writer in self.writers:
            writer.close()


class Effects(QuietOutside):
    """Sends messages to agents, and records them."""

    def __init__(self, links):
        self.links = links
        self.sent = []

    def send(self, agent, message):
        self.sent.append(message)
        return self.links.send(agent, message)


class OpenStreams:
    """Accepts every message to agents."""

    @staticmethod
    def send(_agent, _message):
        return True


def run(context, work):
    return context.runner.run(work)


async def wait_until(is_true, within_s=5.0):
    for _ in range(int(within_s * 100)):
        if is_true():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met in time")


@given("an agent and {count:d} entries")
def agent_and_entries(context, count):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.held = set()
    context.taken = []
    unneeded_ms = entry_links.UNNEEDED_KEPT_MS
    entry_links.UNNEEDED_KEPT_MS = 300
    context.add_cleanup(setattr, entry_links, "UNNEEDED_KEPT_MS", unneeded_ms)
    run(context, start_all(context, count))


async def start_all(context, count):
    timers = Timers()
    context.entries = {
        f"edge-{number}": ListeningEntry(f"edge-{number}", timers) for number in range(count)
    }
    counts = Counter()
    links = context.links = EntryLinks(
        lambda: orders.AgentGreeting("side-1", "life", "zone", 1),
        timers,
        EventLog("side-1", timers),
        counts,
        counts,
        "side-1",
        "zone",
    )
    links.held_owners = lambda: context.held
    links.on_joined = describe_runner
    links.on_message = lambda _link, message: context.taken.append(message)
    for name, entry in context.entries.items():
        await entry.listen()
        links.register_entry(name, EntryAddress("life", "zone", HOST, entry.port))
    links.update_links()
    await wait_until(lambda: len(joined(context)) == min(count, ENTRIES_PER_AGENT))


def describe_runner(link):
    link.send(orders.RunnerReport("runner-1", "inspect-desk", orders.READY, (), 9_000, 900, 0))
    link.send(orders.RoomReport("runner-1", 9_000, 900, 0, 0, 0))
    link.send(orders.Holdings("runner-1", (), ()))


def joined(context):
    return {link.entry for link in context.links if link.owner and not link.leaving}


async def arrange_until(context, is_true, within_s=5.0):
    async def update_links():
        while True:
            context.links.update_links()
            await asyncio.sleep(0.05)

    updating = asyncio.create_task(update_links())
    try:
        await wait_until(is_true, within_s)
    finally:
        updating.cancel()


@when("it holds work of an entry that it would not serve")
def holds_unserved(context):
    context.unserved = next(iter(set(context.entries) - joined(context)))
    context.held = {HeldOwner(f"{context.unserved}/life", False)}


@when("it holds work of an unknown owner")
def holds_unknown_owner(context):
    context.held = {HeldOwner(UNKNOWN_OWNER, True)}
    run(context, arrange_until(context, lambda: len(joined(context)) == len(context.entries)))


@when("it holds work of a {kind} job of an entry, whose lease {ends}")
def holds_of_ended_lease(context, kind, ends):
    context.held = {HeldOwner(HELD_OWNER, kind == "durable")}
    run(context, end_lease(context, ends))


async def end_lease(context, ends):
    links, port = context.links, context.entries["edge-0"].port
    context.with_lease = set(context.entries) - {"edge-0"}
    if ends == "is removed from the table":
        links.unregister_entry("edge-0")
    elif ends == "is replaced in the table":
        context.with_lease.add("edge-0")
        links.register_entry("edge-0", EntryAddress("next-life", "zone", HOST, port))
    else:
        links.record_ended_lease(HELD_OWNER, "edge-1")


@then("it soon serves the entries that may take its jobs over, and at most {most:d} entries")
def serves_successors(context, most):
    successors = choose_successors(HELD_OWNER, context.with_lease)
    run(context, arrange_until(context, lambda: successors <= joined(context), 1.0))
    assert len(joined(context)) <= most, joined(context)


@when("it still holds that work after {time_ms:d} ms")
def still_holds(context, time_ms):
    run(context, arrange_for(context, time_ms))
    # Its own row, which may have been removed above, is there again.
    address = EntryAddress("next-life", "zone", HOST, context.entries["edge-0"].port)
    run(context, call(context.links.register_entry, "edge-0", address))


async def arrange_for(context, time_ms):
    for _ in range(time_ms // 50):
        context.links.update_links()
        await asyncio.sleep(0.05)


async def call(function, *arguments):
    return function(*arguments)


@then("it serves at most {most:d} entries")
def serves_at_most(context, most):
    assert len(joined(context)) <= most, joined(context)


@then("each owner has {count:d} successors, and each entry succeeds at most {most:d} owners")
def successors_even(context, count, most):
    names = set(context.entry_zones)
    chosen = {name: choose_successors(f"{name}/life", names - {name}) for name in names}
    assert {len(one) for one in chosen.values()} == {count}
    succeeded = Counter(entry for one in chosen.values() for entry in one)
    assert max(succeeded.values()) <= most, succeeded


@then("a lost entry changes only the successors of the owners that it succeeds")
def successors_stable(context):
    names = set(context.entry_zones)
    for name in names - {"edge-3"}:
        before = choose_successors(f"{name}/life", names - {name})
        after = choose_successors(f"{name}/life", names - {name, "edge-3"})
        assert len(after - before) == ("edge-3" in before), (name, before, after)


@when("it holds nothing any more for a while")
def holds_nothing(context):
    context.held = set()


@then("it serves {count:d} entries, that one among them")
def serves_needed(context, count):
    run(context, arrange_until(context, lambda: len(joined(context)) == count))
    assert context.unserved in joined(context)


@then("it serves {count:d} entries")
def serves(context, count):
    run(context, arrange_until(context, lambda: len(joined(context)) == count))


@then("the entries that it left have dropped its runners at once")
def dropped_runners(context):
    left = set(context.entries) - joined(context)
    entries = [context.entries[name] for name in left]
    within_s = SILENCE_LIMIT_MS / 4_000
    no_runners = lambda: not any(one.dispatch.fleet.runners for one in entries)  # noqa: E731
    run(context, wait_until(no_runners, within_s))


@when("it holds nothing any more, and an entry that it leaves sends an order")
def order_crosses(context):
    context.held = set()
    run(context, send_crossing_order(context))


async def send_crossing_order(context):
    served = {one for one in context.entries if context.entries[one].dispatch.fleet.runners}
    while not any(link.leaving for link in context.links):
        await asyncio.sleep(0.05)
        context.links.update_links()
    left = next(link.entry for link in context.links if link.leaving)
    assert left in served
    entry = context.entry = context.entries[left]
    # The entry has not read the agent's leaving message yet.
    assert entry.dispatch.fleet.runners
    context.dispatch = entry.dispatch
    context.now_ms = Timers.now_ms()
    new_job(context, 1)
    assert any(isinstance(one, orders.StartOrder) for one in entry.effects.sent)
    assert context.job.tasks[0].phase is TaskPhase.ORDERED
    await asyncio.sleep(0.2)


@then("the order is not executed")
def not_begun(context):
    assert not any(isinstance(one, orders.StartOrder) for one in context.taken), context.taken


@then("the entry takes the task back at once")
def taken_back(context):
    assert context.job.tasks[0].phase is TaskPhase.WAITING


@when("an entry that it serves dies")
def entry_dies(context):
    context.dead = sorted(joined(context))[0]
    context.entries[context.dead].die()
    run(context, wait_until(lambda: context.dead not in joined(context)))


@then("it serves {count:d} other entries within {seconds:d} s")
def serves_others(context, count, seconds):
    run(context, arrange_until(context, lambda: len(joined(context)) == count, seconds))
    assert context.dead not in joined(context)


# Wider shares.


@given("an entry that sees {agents:d} agents and {free:d} thousandths of room free")
def own_view(context, agents, free):
    context.own = VisibleCapacity(agents, free)
    context.reach = Reach()
    context.now_ms = 10_000


@given("others that see {agents:d} agents and {free:d} thousandths of room free")
def other_views(context, agents, free):
    context.others = [VisibleCapacity(agents, free)] * 3


@when("work {waits} for {time_ms:d} ms")
def work_waits(context, waits, time_ms):
    own = context.own
    if waits == "does not wait" and own.agents == context.others[0].agents:
        own = attrs.evolve(own, free_permille=context.others[0].free_permille)
    for _ in range(time_ms // ADJUST_INTERVAL_MS):
        context.reach.adjust(own, context.others, waits == "waits", context.now_ms)
        context.now_ms += ADJUST_INTERVAL_MS


@then("it requests {wanted:d} thousandths of all agents")
def requests_share(context, wanted):
    assert context.reach.wanted_permille == wanted, context.reach


class Clock:
    """A clock with a fixed time."""

    @staticmethod
    def now_ms():
        return 1_000

    wall_ms = now_ms


@given("an entry whose lease is held")
def lease_held(context):
    context.store = FakeStore()
    context.lease = new_lease(context.store, Clock(), "entry-1")
    asyncio.run(context.lease.register())


@when("it requests {wanted:d} thousandths while the store answers nothing")
def requests_without_answer(context, wanted):
    context.store.away = True
    context.lease.request_agents(wanted)
    asyncio.run(context.lease.keep())


@when("the store answers again")
def answers_again(context):
    context.store.away = False
    asyncio.run(context.lease.keep())


@then("its address requests {wanted:d} thousandths")
def address_requests(context, wanted):
    record = load_record(context.store.row(address_row("entry-1")).value, EntryAddress)
    assert record.wanted_permille == wanted, record


# Jobs that are cancelled at another entry.


@given("an entry that owns a job whose task runs")
def owns_running(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    run(context, start_owner(context))


async def start_owner(context):
    context.entry = entry = ListeningEntry("edge-1", Timers())
    await entry.listen()
    entry.effects.links = OpenStreams
    context.dispatch = entry.dispatch
    fleet = entry.dispatch.fleet
    view = fleet.agent_joined(orders.AgentGreeting("side-1", "life", "z", 1), 1_000)
    fleet.apply_report(
        view,
        orders.RunnerReport("runner-1", "inspect-desk", orders.READY, (), 9_000, 900, 0),
        1_000,
    )
    fleet.apply_room(view, orders.RoomReport("runner-1", 9_000, 900, 0, 0, 0))
    entry.dispatch.apply_holdings(view, orders.Holdings("runner-1", (), ()), 1_000)
    context.now_ms = 1_000
    new_job(context, 1)
    task = context.job.tasks[0]
    started = orders.RunEvent(task.name.text, task.attempt, 1, orders.STARTED)
    entry.dispatch.apply_events(view, orders.RunEvents("runner-1", (started,)), 1_010)
    assert task.phase is TaskPhase.RUNNING


@when("another entry tells it that the job was cancelled under a higher epoch")
def tells_cancelled(context):
    async def tell():
        counts = Counter()
        stream = await open_stream(HOST, context.entry.port, counts, counts)
        stream.send(orders.JobCancelled(context.job.job_id, context.job.epoch + 1))
        context.read = await asyncio.wait_for(anext(aiter(stream), "ended"), 2)

    run(context, tell())


@then("it stops the run and drops the job")
def stopped_and_dropped(context):
    kinds = [type(one) for one in context.entry.effects.sent]
    assert orders.StopOrder in kinds, kinds
    assert context.job.job_id not in context.dispatch.jobs


@then("the other entry learns that its message was read")
def heard_read(context):
    assert context.read == "ended", context.read
