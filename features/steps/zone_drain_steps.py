"""Steps on availability zones that operators drain."""

import asyncio
import time
from types import SimpleNamespace

import urllib3
from behave import given, then, when
from core_model import ManualTimers
from local_system import find_port, wait_for
from platform_core_steps import BOUNDS, JOB, OWNER, Effects, TellingLinks, add_job, new_log
from platform_steps import start_platform, steps_of
from platform_system import ZONES
from proxy import PASS, SILENT, Proxy

from gapdrum.agent.entry_links import EntryLink
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.agent.outcome_reporter import OutcomeReporter
from gapdrum.agent.runner_registry import RunnerRegistry
from gapdrum.agent.table_standby import TableStandby
from gapdrum.core import orders
from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.jobs import TaskPhase
from gapdrum.core.models import Resources, Step
from gapdrum.core.reach import VisibleCapacity
from gapdrum.core.rows import Row, RowKey
from gapdrum.core.runner_models import RunnerSnapshot
from gapdrum.entry.admission import Admission
from gapdrum.operator_feed import TableUpdate
from gapdrum.platform.operator_table import OPERATOR_TABLE, ZONE_DRAIN_PREFIX
from gapdrum.transport.http_client import NoReplyError
from gapdrum.zone_watch import ZoneWatch

RETRY_DELAY_S = 0.05
QUEUE = Queue("flags", "h", "/flags/", "inspect-desk", 0, 3, 1.6, 60, 1_500)


def operator_row(key, version, value=b"{}"):
    return Row(RowKey(OPERATOR_TABLE, "", key), value, version)


def drain_row(zone, version, value=b"{}"):
    return operator_row(ZONE_DRAIN_PREFIX + zone, version, value)


# The known version of the table.


@given("a process that knows no drained zones")
def nothing_known(context):
    context.watch = ZoneWatch(new_log(ManualTimers()))
    context.notified_times = 0

    def tell():
        context.notified_times += 1

    context.watch.on_change = tell


@then("it has notified others {count:d} time")
@then("it has notified others {count:d} times")
def notified_times(context, count):
    assert context.notified_times == count, context.notified_times


class CountedFeed:
    """A feed that counts how often it was started and ended."""

    def __init__(self):
        self.begun = 0
        self.ended = 0

    async def follow(self):
        self.begun += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.ended += 1


@given("an agent whose entry follows the operators' table")
def agent_with_entry(context):
    context.timers = ManualTimers()
    context.feed = CountedFeed()
    context.link = SimpleNamespace(owner=OWNER, follows_table=True)
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    log = new_log(context.timers)
    context.standby = TableStandby(context.feed, [context.link], context.timers, log)


@when("it sends heartbeats for {duration:d} ms")
def beats_pass(context, duration):
    async def beat():
        for _ in range(duration // 50):
            context.timers.time_ms += 50
            context.standby.check()
            await asyncio.sleep(0)
        await asyncio.sleep(0)

    context.loop.run_until_complete(beat())


@when("its entry is cut off from the store, and {duration:d} ms pass")
def entry_cut(context, duration):
    context.link.follows_table = False
    beats_pass(context, duration)


@when("its entry follows the table again, and {duration:d} ms pass")
def entry_back(context, duration):
    context.link.follows_table = True
    beats_pass(context, duration)


@then("the agent does not ask the store")
def not_asking(context):
    assert context.feed.begun == 0


@then("the agent asks the store")
def asking(context):
    assert (context.feed.begun, context.feed.ended) == (1, 0)


@then("the agent has stopped asking")
def stopped_asking(context):
    assert (context.feed.begun, context.feed.ended) == (1, 1)


@when('version {version:d} of the table drains "{zone}"')
def table_drains(context, version, zone):
    context.watch.apply_table(TableUpdate((drain_row(zone, version),), version, is_snapshot=True))


@when("another process sends version {version:d} without drained zones")
def told(context, version):
    context.watch.apply_from_peer(orders.ZoneDrainsTold(version, ()), "entry-2")


@when("the whole table is read as of version {version:d}, without drained zones")
def stale_read(context, version):
    context.watch.apply_table(TableUpdate((), version, is_snapshot=True))


@when('the feed goes on to version {version:d}, where "{zone}" is {state}')
def feed_goes_on(context, version, zone, state):
    value = b"{}" if state == "drained" else None
    row = drain_row(zone, version, value)
    context.watch.apply_table(TableUpdate((row,), version, is_snapshot=False))


@when('version {version:d} of the table holds "config", "wave/3", "evacuate/" and "{last}"')
def table_holds(context, version, last):
    rows = tuple(operator_row(key, version) for key in ("config", "wave/3", "evacuate/", last))
    context.watch.apply_table(TableUpdate(rows, version, is_snapshot=True))


@then('the zone "{zone}" is closed')
def is_closed(context, zone):
    assert context.watch.drains.is_closed(zone), context.watch.drains


@then('the zone "{zone}" is open')
def is_open(context, zone):
    assert not context.watch.drains.is_closed(zone), context.watch.drains


@then('the drained zones are "{zones}"')
def drained_are(context, zones):
    assert context.watch.drains.zones == set(zones.split()), context.watch.drains


# The agent.


class CountingCalls:
    """Counts start calls, and answers them or not."""

    def __init__(self, answers):
        self.answers = answers
        self.starts = 0

    async def start(self, *_arguments):
        self.starts += 1
        await asyncio.sleep(0)
        if not self.answers:
            raise NoReplyError("no answer")
        return 20


def new_agent(context, zone, answers=True):
    context.timers = ManualTimers()
    log = new_log(context.timers)
    context.grants = Grants(BOUNDS)
    context.links = TellingLinks()
    link = EntryLink("entry-1", None)
    link.owner = OWNER
    link.sent = []
    link.send = link.sent.append
    context.links.append(link)
    context.link = link
    context.watch = ZoneWatch(log)
    controllers = {}
    outcomes = OutcomeReporter(context.timers, log)
    notifier = EntryNotifier(context.links, controllers, context.timers, outcomes)
    boot = SimpleNamespace(run_lease_ms=1_000, runner=None, machine_list=None, zone=zone)
    registry = RunnerRegistry(
        boot, controllers, context.grants, notifier, context.timers, log, context.watch
    )
    registry._background = SimpleNamespace(keep=lambda _work: None)
    context.watch.on_change = registry.take_zones
    context.orders = EntryOrders(
        context.links, controllers, context.grants, notifier, context.timers, log
    )
    context.orders.zones = context.watch
    context.notifier = notifier
    controller = registry._ensure_controller("i-1", Endpoint("127.0.0.1", 1))
    controller.ledger.capacity = Resources(4_000, 100, 0)
    controller.ledger.apply_snapshot(RunnerSnapshot(10, (), ()), context.timers.now_ms())
    context.calls = controller._context.calls = CountingCalls(answers)
    context.controller = controller
    context.attempt = 0


@given('an agent whose runner has room, in the zone "{zone}"')
def agent_in_zone(context, zone):
    new_agent(context, zone)
    context.watch.apply_from_peer(orders.ZoneDrainsTold(1, ()), "entry-1")


@given('an agent that has just started, in the zone "{zone}"')
def fresh_agent(context, zone):
    new_agent(context, zone)


@given('an agent whose runner answers no start, in the zone "{zone}"')
def unanswering_agent(context, zone):
    new_agent(context, zone, answers=False)
    context.watch.apply_from_peer(orders.ZoneDrainsTold(1, ()), "entry-1")


@when('it learns that "{zone}" is drained')
def agent_learns(context, zone):
    version = context.watch.drains.version + 1
    context.watch.apply_table(TableUpdate((drain_row(zone, version),), version, is_snapshot=True))


@when("it learns that no zone is drained")
def agent_learns_restored(context):
    context.link.sent.clear()
    version = context.watch.drains.version + 1
    context.watch.apply_table(TableUpdate((), version, is_snapshot=True))


@when("an entry sends that no zone is drained")
def entry_tells(context):
    context.orders.take(context.link, orders.ZoneDrainsTold(3, ()))


@when("an order to start a task comes")
def order_comes(context):
    context.attempt += 1
    context.link.sent.clear()
    clock_ms = context.timers.now_ms()
    run = orders.OrderedRun(0, 0, context.attempt, 500, 10, 0, 100)
    order = orders.StartOrder("i-1", JOB, 1, "{}", clock_ms, False, (run,))

    async def take():
        context.orders.take(context.link, order)
        await asyncio.sleep(0)
        if not context.calls.answers:
            # The zone is drained while the first call is unanswered.
            agent_learns(context, "moka-hall")
        for _ in range(5):
            await asyncio.sleep(0.02)

    asyncio.run(take())


@then('nothing is started, as "{reason}"')
def refused(context, reason):
    assert context.calls.starts == 0, context.calls.starts
    events = [event for one in context.link.sent for event in getattr(one, "events", ())]
    assert [(event.kind, event.detail) for event in events] == [(orders.NOT_STARTED, reason)]


@then("the task is started")
def started(context):
    assert context.calls.starts == 1, context.calls.starts


@then('entries are told that its runner is "{state}" and has {room} room')
@then('entries are told that its runner is "{state}" and has room')
def told_state(context, state, room=""):
    context.notifier.send_room()
    reports = [one for one in context.link.sent if isinstance(one, orders.RunnerReport)]
    rooms = [one for one in context.link.sent if isinstance(one, orders.RoomReport)]
    assert reports[-1].state == state, reports
    assert bool(rooms[-1].free_cpu_milli) == (room != "no"), rooms


@then("the task is still held, and its lease is renewed")
def still_held(context):
    assert len(context.controller.ledger.runs) == 1
    assert context.controller._context.renewal_ms(context.timers.now_ms()) > 0


@then("the start was called once, and its room is held until it can't take effect any more")
def called_once(context):
    assert context.calls.starts == 1, context.calls.starts
    ledger = context.controller.ledger
    (run,) = ledger.runs.values()
    assert ledger.used == run.room
    ledger.apply_snapshot(RunnerSnapshot(run.start_expires_ms + 1, (), ()), context.timers.now_ms())
    assert not ledger.runs


# The entry.


@given('an owner that sees a runner with room in each of "{first}" and "{second}"')
def owner_with_zones(context, first, second):
    context.outside = Effects()
    context.dispatch = build_dispatch("plaine-nord", context.outside, lambda: True, 0)
    context.now_ms = 1_000
    context.zones = {}
    for zone in (first, second):
        agent, runner = f"agent-{zone}", f"i-{zone}"
        context.zones[runner] = zone
        greeting = orders.AgentGreeting(agent, "life", zone, context.now_ms)
        view = context.dispatch.fleet.agent_joined(greeting, context.now_ms)
        report = orders.RunnerReport(
            runner, "inspect-desk", orders.READY, (f"in-{zone}",), 6_000, 4_000, 0
        )
        context.dispatch.apply_report(view, report, context.now_ms)
        context.dispatch.apply_room(view, orders.RoomReport(runner, 6_000, 4_000, 0, 0, 0))
        context.dispatch.apply_holdings(view, orders.Holdings(runner, (), ()), context.now_ms)


@when('"{first}" and "{second}" are drained')
def drain_two(context, first, second):
    context.dispatch.fleet.drained_zones = frozenset((first, second))


@when('"{zone}" is drained')
def drain_one(context, zone):
    context.dispatch.fleet.drained_zones = frozenset((zone,))


@when('"{zone}" is restored')
def restore_one(context, zone):
    context.dispatch.fleet.drained_zones -= {zone}
    context.now_ms += 100
    context.dispatch.placer.place_waiting(context.now_ms)


@when("a job of {tasks:d} tasks of half a core comes")
def job_comes(context, tasks):
    add_job(context, tasks, job_id=f"{int(time.monotonic_ns()) & 0xFFFFFFFF:016x}")


@then('all {tasks:d} tasks go to "{zone}"')
def go_to(context, tasks, zone):
    places = [task.place for task in context.job.tasks]
    assert len(places) == tasks
    assert {context.zones[place.runner_id] for place in places} == {zone}, places


@then("none of its tasks is placed")
def not_placed(context):
    assert all(task.phase is TaskPhase.WAITING for task in context.job.tasks)


@then("the room that peers are told is {permille:d} thousandths, at {agents:d} agents")
def room_told(context, permille, agents):
    fleet = context.dispatch.fleet
    assert (fleet.free_permille(), fleet.count_open_agents()) == (permille, agents)


def unschedulable(context, label="", elsewhere=()):
    admission = Admission(context.dispatch.placer, ManualTimers(), lambda: elsewhere)
    step = Step(1, Resources(500, 10, 0), 100, required_label=label)
    return admission.is_unschedulable(QUEUE, (step,))


@then("a submitted job is unschedulable, unless other entries see agents in open zones")
def is_unschedulable(context):
    assert unschedulable(context)
    assert unschedulable(context, elsewhere=[VisibleCapacity(0, 0)])
    assert not unschedulable(context, elsewhere=[VisibleCapacity(0, 0), VisibleCapacity(3, 0)])


@then("a submitted job is schedulable")
def is_schedulable(context):
    assert not unschedulable(context)


@then('a job that needs a label of "{zone}" is unschedulable')
def label_is_unschedulable(context, zone):
    assert unschedulable(context, label=f"in-{zone}")


# Real processes.


@when('operators drain the zones "{zones}"')
def drain_zones(context, zones):
    context.drained = set(zones.split())
    context.system.drain_zones(context.drained)
    context.drained_ms = time.time_ns() // 1_000_000


@when("operators restore all zones")
def restore_zones(context):
    context.drained = set()
    context.system.drain_zones(context.drained)
    context.drained_ms = time.time_ns() // 1_000_000


def knows(context, name):
    lines = context.system.events(name, "zones_drained")
    return bool(lines) and set(lines[-1]["zones"]) == context.drained


@when("entries and agents know of it")
def all_know(context):
    for process in [*context.system.entries, *context.system.agents]:
        wait_for(lambda name=process.name: knows(context, name), f"{process.name} knows")
    context.drained_ms = time.time_ns() // 1_000_000


@when("entries know of it")
def entries_know(context):
    for process in context.system.entries:
        wait_for(lambda name=process.name: knows(context, name), f"{process.name} knows")


@when("{seconds:d} s have passed")
def time_passes(context, seconds):
    time.sleep(seconds)


@when("{kind} jobs come without pause for {duration:d} ms")
def jobs_come(context, kind, duration):
    end_s = time.monotonic() + duration / 1_000
    context.count = getattr(context, "count", 0)
    while time.monotonic() < end_s:
        context.count += 1
        job = f"{0xA00000 + context.count:016x}"
        entry = context.count % len(context.system.entries)
        try:
            context.system.submit(job, steps_of(3), entry=entry, run_ms=40, waits=kind == "waiting")
        except urllib3.exceptions.HTTPError:
            time.sleep(RETRY_DELAY_S)  # the entry is being started again


def starts_since(context, zone):
    """Return the tasks that have started in a zone since it was last drained or restored."""
    numbers = [n for n, _ in enumerate(context.system.runners) if ZONES[n % len(ZONES)] == zone]
    return [
        row
        for number in numbers
        for row in context.system.call(context.system.runners[number].port, "GET", "/history")[1]
        if row["how"] == "started" and row["wall_ms"] > context.drained_ms
    ]


@then('no task has started in "{zone}" since it was drained')
def none_started(context, zone):
    assert not starts_since(context, zone), starts_since(context, zone)


@then('tasks have started in "{zone}" again')
def started_again(context, zone):
    assert starts_since(context, zone)


@then("tasks have started elsewhere since then")
def started_elsewhere(context):
    assert starts_since(context, "plaine-nord") or starts_since(context, "curepipe-hall")


@then('nobody has started a task of "{job}"')
def never_started(context, job):
    assert not [row for row in context.system.history() if row["task"].startswith(job)]


@given(
    "a platform with {entries:d} entries and {agents:d} agents,"
    " of which {kind:w} {number:d} is cut off from the store"
)
def platform_with_cut(context, entries, agents, kind, number):
    proxies = []

    def add_proxy(port):
        proxies.append(Proxy(find_port(), port))
        context.add_cleanup(proxies[-1].close)
        return proxies[-1].port

    start_platform(context, entries, agents, store_ports=add_proxy)
    # The proxies are created for the entries first, then for the agents.
    cut = proxies[number if kind == "entry" else entries + number]
    cut.mode = SILENT
    context.add_cleanup(setattr, cut, "mode", PASS)


def told_by(context, name, kind):
    lines = context.system.events(name, "zones_drained")
    return bool(lines) and lines[-1]["zones"] and lines[-1]["source"].startswith(kind)


@then("agent {number:d} was told of the drain by an entry")
def agent_told(context, number):
    wait_for(lambda: told_by(context, f"agent-{number}", "entry"), "the agent is told")


@then("an agent learns of the drain from the operators' table, and all are told")
def agent_learns_itself(context):
    names = [process.name for process in context.system.agents]
    wait_for(lambda: any(told_by(context, name, "table") for name in names), "one reads the table")
    all_know(context)


@then("entry {number:d} is told of the drain by an agent")
def entry_told(context, number):
    wait_for(lambda: told_by(context, f"entry-{number}", "agent"), "the entry is told")
