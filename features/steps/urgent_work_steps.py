"""Steps on room that is reserved for urgent work, and on the queues' shares of it."""

import json
from types import SimpleNamespace

import attrs
from behave import given, then, when

from gapdrum.agent.reservation_log import ReservationLog
from gapdrum.agent.runner_context import RunnerContext
from gapdrum.core import orders
from gapdrum.core.configuration import Queue
from gapdrum.core.models import Resources, RunKey, Step, TaskName
from gapdrum.core.queue_demand import PPM, DemandMeter
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.rows import Row
from gapdrum.core.runner_ledger import Run, RunnerLedger
from gapdrum.core.runner_views import RunnerView
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.operator_feed import TableUpdate
from gapdrum.platform.operator_table import CONFIGURATION_ROW

UPSTREAM = "workers"
MILLI = 1_000


def demand_row(queue, **values):
    fields = {
        "priority": 0,
        "run_ms": 100,
        "patience_ms": 0,
        "asked_ppm": 0,
        "deviation_ppm": 0,
        "weight": 1,
        "reserved_permille": 0,
        "ceiling_permille": 1_000,
    }
    return orders.QueueDemand(UPSTREAM, queue, **{**fields, **values})


@given("an agent that receives the demand of queues")
def receive_demand(context):
    context.now_ms = 1_000
    context.shares = RoomShares()
    context.rows = {}
    for row in context.table:
        values = {name: int(row[name]) for name in context.table.headings[2:]}
        context.rows.setdefault(row["entry"], []).append(demand_row(row["queue"], **values))
    for entry, rows in context.rows.items():
        context.shares.take(entry, tuple(rows), context.now_ms)


@when("{passed_ms:d} ms have passed")
def pass_time(context, passed_ms):
    context.now_ms += passed_ms


@when("the agent restarts")
def restart(context):
    context.shares = RoomShares()


@when('the entry sends the queue "{queue}" only')
def send_one_queue(context, queue):
    rows = tuple(row for row in context.rows["entry-1"] if row.queue == queue)
    context.shares.take("entry-1", rows, context.now_ms)


@then("of a runner of {capacity:d} with these uses, this much is reserved")
def check_kept(context, capacity):
    for row in context.table:
        used = {name: int(row[name]) for name in context.table.headings[:-2]}
        kept = context.shares.withheld_from(UPSTREAM, row["from"], capacity, used, context.now_ms)
        assert kept == int(row["kept"]), (dict(row.items()), kept)
        by_queue = context.shares.kept(UPSTREAM, capacity, used, context.now_ms)
        assert by_queue.get(row["from"], 0) == kept, by_queue


def new_queue(name, **values):
    queue = Queue(name, "h", "/", UPSTREAM, 0, 1, 1.6, 60, 0)
    return attrs.evolve(queue, **values)


@given(
    "an entry where {per_s:d} jobs a second of {tasks:d} tasks of {run_ms:d} ms on {room:d} "
    "come for {seconds:d} s"
)
def submit_evenly(context, per_s, tasks, run_ms, room, seconds):
    context.meter = DemandMeter()
    steps = (Step(tasks, Resources(room, 10, 0), run_ms),)
    for number in range(per_s * seconds):
        context.meter.note(new_queue("previews"), steps, number * 1_000 // per_s)
    context.now_ms = seconds * 1_000


def asked_rows(context):
    return context.meter.rows({UPSTREAM: 1_000 * MILLI}, context.now_ms)


@then(
    "it asks for {asked:d} cores, to {asked_off:d}, with a deviation of {deviation:d} cores, "
    "to {off:d}"
)
def check_asked(context, asked, asked_off, deviation, off):
    (row,) = asked_rows(context)
    cores = PPM / 1_000
    assert abs(row.asked_ppm / cores - asked) <= asked_off, row
    assert abs(row.deviation_ppm / cores - deviation) <= off, row


@when("the queue vanishes from the configuration")
def drop_queue(context):
    context.meter.set_queues(())


@then("it asks for nothing")
def asks_nothing(context):
    assert asked_rows(context) == ()


class Grants:
    """Grants that allow every run for a fixed time."""

    def until_ms(self, _owner, _kept):
        return 10_000

    lease_deadline_ms = until_ms


@given('a runner of {capacity:d} with demand for previews, and runs of "{queue}" on {room:d}')
def busy_runner(context, capacity, queue, room):
    now_ms = 1_000
    timers = SimpleNamespace(now_ms=lambda: now_ms, monotonic_ms=lambda: now_ms)
    ledger = RunnerLedger("i-1", UPSTREAM, (), Resources(capacity, 64_000, 0), polled=True)
    context.runner = RunnerContext(ledger, None, Grants(), 1_000, timers, None, list)
    key = RunKey(TaskName("job-0", 0, 0, 0), 1)
    ledger.begin(Run(key, "e", 1, Resources(room, 10, 0), 0, now_ms, queue=queue, priority=2))
    rows = (
        demand_row("previews", run_ms=120, asked_ppm=250_000, deviation_ppm=250_000),
        demand_row(queue, priority=2, run_ms=1_800, asked_ppm=900_000),
    )
    context.runner.shares.take("entry-1", rows, now_ms)


@when('an order of "{queue}" for {room:d} comes')
def order_comes(context, queue, room):
    from gapdrum.agent.run_launcher import RunLauncher

    row = orders.OrderedRun(0, 0, 1, room, 10, 0, 100)
    order = orders.StartOrder("i-1", f"job-{queue}", 1, "{}", 1_000, False, (row,), queue, 0)
    context.reason = RunLauncher._refuse(
        SimpleNamespace(ledger=context.runner.ledger, _context=context.runner),
        "entry-1",
        order,
        row,
        1_000,
    )


@then('it is rejected as "{reason}"')
def rejected_as(context, reason):
    assert context.reason == reason, context.reason


@then("it is started")
def started(context):
    assert context.reason is None, context.reason


@given('a view of a runner with {free:d} free, of which {kept:d} are reserved from "{queue}"')
def view_runner(context, free, kept, queue):
    context.view = RunnerView(None, None, 0)
    rows = (orders.KeptRoom(queue, kept),)
    context.view.apply_room(orders.RoomReport("i-1", free, 100, 0, 0, 0, kept=rows))


@then('a task of "{queue}" on {room:d} does not fit, and one of "{other}" does')
def fits(context, queue, room, other):
    assert not context.view.may_use(queue, Resources(room, 10, 0))
    assert context.view.may_use(other, Resources(room, 10, 0))


class Lines(list):
    """Records log lines."""

    def write(self, event, **fields):
        self.append((event, fields))


def configure(context, shares):
    """Apply the next configuration."""
    context.version = getattr(context, "version", 0) + 1
    routes = [
        {"name": name, "host": "h", "prefix": f"/{name}/", "service": UPSTREAM, **values}
        for name, values in shares.items()
    ]
    limits = dict.fromkeys(
        ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"), 1_000
    )
    document = {"version": context.version, "routes": routes, "limits": limits}
    row = Row(CONFIGURATION_ROW, json.dumps(document).encode(), context.version)
    context.watch.apply_table(TableUpdate((row,), context.version, is_snapshot=True))


@given("a configuration with these shares is in force")
def shares_in_force(context):
    context.lines = Lines()
    context.watch = ConfigurationWatch(context.lines)
    names = context.table.headings[1:]
    context.given = {
        row["queue"]: {name: int(row[name]) for name in names} for row in context.table
    }
    configure(context, context.given)


@given("a configuration without shares is in force")
def no_shares(context):
    context.watch = ConfigurationWatch(Lines())
    configure(context, {"previews": {}, "payroll": {}})


@when('the next one has {field} {value} for "{queue}", and {ceiling:d} as ceiling of "{other}"')
def configure_badly(context, field, value, queue, ceiling, other):
    shares = {name: dict(values) for name, values in context.given.items()}
    shares[queue][field] = json.loads(value)
    shares[other]["ceiling_permille"] = ceiling
    configure(context, shares)


@when('the next one reserves {first:d} for "{queue}" and {second:d} for "{other}"')
def reserve_too_much(context, first, queue, second, other):
    configure(context, {queue: {"reserved_permille": first}, other: {"reserved_permille": second}})


@then('a finding names "{place}"')
def finding_named(context, place):
    found = [fields for event, fields in context.lines if event == "configuration_finding"]
    assert place in [one["place"] for one in found], found
    assert context.watch.current.version == context.version


@then(
    '"{queue}" has {weight:d}, {reserved:d} and {ceiling:d}, and "{other}" has the ceiling {its:d}'
)
def shares_are(context, queue, weight, reserved, ceiling, other, its):
    one = context.watch.current.queue_named(queue)
    assert (one.weight, one.reserved_permille, one.ceiling_permille) == (
        weight,
        reserved,
        ceiling,
    ), one
    assert context.watch.current.queue_named(other).ceiling_permille == its


@given('room of a runner is reserved from "{queue}" a hundred times in 2 s')
def reserve_often(context, queue):
    context.lines = Lines()
    context.reservation_log = ReservationLog(context.lines)
    ledger = RunnerLedger("i-1", UPSTREAM)
    for count in range(100):
        context.now_ms = 20 * count
        context.reservation_log.note(ledger, (orders.KeptRoom(queue, 500),), context.now_ms)
        context.reservation_log.log_releases(context.now_ms)


@when("{passed_ms:d} ms pass without it")
def pass_without(context, passed_ms):
    context.reservation_log.log_releases(context.now_ms + passed_ms)


@then('one line "{event}" is written')
def one_line(context, event):
    assert [name for name, _ in context.lines].count(event) == 1, context.lines
