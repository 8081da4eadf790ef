"""Steps on the admission of jobs by what waits at all entries."""

import attrs
from behave import given, then, when
from core_model import ManualTimers
from load_steps import late_share, mean
from platform_core_steps import Outside, add_job
from virtual_runner import SilentLog

from gapdrum.agent.entry_links import EntryLink
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.reports import Reports
from gapdrum.codec import Decoder, encode
from gapdrum.core import orders
from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.models import Resources, RunKey, Step, TaskName
from gapdrum.core.room_forecast import room_ending
from gapdrum.core.runner_ledger import Run, RunnerLedger
from gapdrum.entry.admission import Admission

UPSTREAM = "inspect-desk"
STEP = Step(1, Resources(500, 10, 0), 100)


@then("at most {most:d}% of the refusals come after a wait")
def few_late(context, most):
    found = mean(context.reports, late_share)
    assert found <= most / 100, found


@then("no less is earned than without it, within {most:g}")
def no_less_earned(context, most):
    found = mean(context.reports, lambda report: report.worth)
    without = mean(context.without, lambda report: report.worth)
    assert found >= without - most, (found, without)


# An entry and its agents.


@given("an entry whose 2 runners are full")
def entry_with_full_runners(context):
    context.timers = ManualTimers()
    context.now_ms = context.timers.now_ms()
    context.dispatch = build_dispatch("zone-1", Outside(), lambda: True, 0)
    context.elsewhere = []
    context.admission = Admission(context.dispatch.placer, context.timers, lambda: [])
    context.views = [join(context, number, "life-1") for number in (1, 2)]


def join(context, number, life):
    name = f"side-{number}"
    greeting = orders.AgentGreeting(name, life, f"zone-{number}", context.timers.now_ms())
    view = context.dispatch.fleet.agent_joined(greeting, context.timers.now_ms())
    report = orders.RunnerReport(name, UPSTREAM, orders.READY, (), 16_000, 64_000, 0)
    context.dispatch.take_report(view, report, context.timers.now_ms())
    context.dispatch.take_holdings(view, orders.Holdings(name, (), ()), context.timers.now_ms())
    tell_room(context, view)
    return view


def tell_room(context, view, *words):
    """Tell of a full runner, as it goes over a stream."""
    report = orders.RoomReport(view.agent, 0, 4_000, 0, 0, 0, *words)
    (message,) = Decoder().feed(encode(report))
    context.dispatch.take_room(view, message, context.timers.now_ms())


@when("the agents tell that {ending:d} end soon, and others for {room:d} of priority {priority:d}")
def agents_tell(context, ending, room, priority):
    for view in context.views:
        tell_room(context, view, ending, ((priority, room, 0),))


@when("nothing more is heard for {silent_ms:d} ms")
def nothing_heard(context, silent_ms):
    context.timers.time_ms += silent_ms
    for view in context.views:
        view.heard_ms = context.timers.time_ms  # beats go on


@when("the agents restart and join under a new life")
def agents_restart(context):
    context.views = [join(context, number, "life-2") for number in (1, 2)]


@when("the agents' streams end and they join anew")
def streams_end(context):
    for view in context.views:
        context.dispatch.fleet.agent_left(view)
    for number in (1, 2):
        greeting = orders.AgentGreeting(f"side-{number}", "life-1", f"zone-{number}", 1)
        context.dispatch.fleet.agent_joined(greeting, context.timers.now_ms())
        holdings = orders.Holdings(f"side-{number}", (), ())
        context.dispatch.take_holdings(context.views[number - 1], holdings, 1)


@when("the agents are of a version that tells only of room")
def old_agents(context):
    for view in context.views:
        tell_room(context, view)


@when("an agent tells rows of which 3 can't be read")
def foreign_rows(context):
    rows = ((0, 700, 0), (0, -1, 0), ("urgent", 3, 0), (0, 1, 2, 3))
    tell_room(context, context.views[0], 2_000, rows)


@when("no lease of another entry can be read")
def no_leases(context):
    assert context.admission._views_elsewhere() == []


@when("the zone of one of them is drained")
def drain_one(context):
    context.dispatch.fleet.closed_zones = frozenset(("zone-1",))


@when("the other agent's stream has ended")
def other_left(context):
    context.dispatch.fleet.agent_left(context.views[1])


def queue_of(priority):
    return Queue("flags", "h", "/", UPSTREAM, priority, 3, 1.6, 60, 0)


def judge(context, priority):
    return context.admission.judge(queue_of(priority), (STEP,))


def foresee(context, priority=0):
    now_ms = context.timers.now_ms()
    return context.admission.foresight.foresee(UPSTREAM, priority, now_ms + 60, (STEP,), now_ms)


@then(
    "a job of priority {priority:d} would wait for {wait_ms:d} ms behind {room:d}, and is refused"
)
def refused_after(context, priority, wait_ms, room):
    overload = judge(context, priority)
    assert overload is not None
    assert overload.outlook.others_cpu_milli == room, overload
    assert abs(overload.wait_ms - wait_ms) < 10, overload


@then("a job of priority {priority:d} is taken where the agents tell nothing of others")
def taken_alone(context, priority):
    for view in context.views:
        tell_room(context, view, 2_000, ())
    assert judge(context, priority) is None


@then("a job of priority {priority:d} is taken")
def is_taken(context, priority):
    assert judge(context, priority) is None


@then("a job of priority {priority:d} is refused")
def is_refused(context, priority):
    assert judge(context, priority) is not None


@then("the outlook is not known, and a job of priority {priority:d} is taken")
def not_known(context, priority):
    outlook = foresee(context, priority)
    assert not outlook.is_known, outlook
    assert judge(context, priority) is None


@then("the other row counts, and {count:d} rows are passed over")
def rows_passed_over(context, count):
    assert foresee(context).others_cpu_milli == 700
    assert context.dispatch.fleet.unreadable_rows == count


@then("{room:d} becomes free a second")
def becomes_free(context, room):
    assert foresee(context).freed_cpu_milli_per_s == room


# What an entry tells of its own backlog.


@when("a job of a queue waits that the configuration does not have any more")
def job_waits(context):
    add_job(context, 1, step=STEP)


@then("each of 2 agents is told of a part of {room:d} with priority {priority:d}")
def part_told(context, room, priority):
    (row,) = context.admission.foresight.part_of_backlog(UPSTREAM, 2, context.timers.now_ms())
    assert (row.waiting_cpu_milli, row.priority) == (room, priority), row


@when("the job is dropped")
def job_dropped(context):
    context.dispatch.drop_job(context.job.job_id, "ended")


@when("{passed_ms:d} ms pass")
def time_passes(context, passed_ms):
    context.timers.time_ms += passed_ms


@then("the agents are told of nothing")
def nothing_told(context):
    assert not context.admission.foresight.part_of_backlog(UPSTREAM, 2, context.timers.now_ms())


# An agent and its entries.


class TellingLinks(list):
    """Links to entries."""

    def of_owner(self, owner):
        return next((link for link in self if link.owner == owner), None)


@given('an agent of the entries "one", "two" and "three"')
def agent_of_entries(context):
    timers = ManualTimers()
    context.links = TellingLinks()
    for name in ("one", "two", "three"):
        link = EntryLink(name, None)
        link.owner = name
        context.links.append(link)
    context.reports = Reports(context.links, {}, timers)
    context.orders = EntryOrders(context.links, {}, None, context.reports, timers, SilentLog())


def tell_demand(context, entry, backlog):
    """Let an entry tell its demand, as it goes over a stream."""
    demand = orders.RoomDemand((orders.UpstreamDemand(UPSTREAM, 1, 1, 500, backlog),))
    (message,) = Decoder().feed(encode(demand))
    context.orders.take(context.links.of_owner(entry), message)


@when("each entry tells that it waits for {room:d} with priority {priority:d}")
def entries_tell(context, room, priority):
    for link in context.links:
        tell_demand(context, link.owner, ((priority, room, 0),))


@when('the stream of entry "{entry}" ends')
def stream_ends(context, entry):
    context.reports.backlog.forget(entry)


@when('entry "{entry}" tells of a backlog that can\'t be read')
def unreadable_backlog(context, entry):
    tell_demand(context, entry, ((0, "much", 0),))


@then('entry "{entry}" is told that others wait for {room:d}')
def others_wait(context, entry, room):
    rows = context.reports.backlog.beside(entry, UPSTREAM)
    assert sum(row.waiting_cpu_milli for row in rows) == room, rows


@then('entry "{entry}" is told that others wait for {room:d}, and the agent has passed over 1 row')
def others_wait_but_one(context, entry, room):
    others_wait(context, entry, room)
    assert context.orders.unreadable_rows == 1


# Which room ends soon.


@given("a runner with these runs")
def runner_with_runs(context):
    context.ledger = RunnerLedger("i-1", UPSTREAM, (), Resources(16_000, 64_000, 0))
    context.now_ms = 10_000
    for number, row in enumerate(context.table):
        age_ms, percent = int(row["age"]), int(row["percent"])
        key = RunKey(TaskName(f"{number:016x}", 0, 0, 0), 1)
        run = Run(key, "one", 1, Resources(int(row["room"]), 10, 0), 0, context.now_ms - age_ms)
        run.started_ms = run.since_ms
        run.estimate_ms = int(row["estimate"])
        run.percent, run.percent_ms = percent, context.now_ms
        context.ledger.begin(run)


@when("the runner is suspect")
def runner_suspect(context):
    context.ledger.health = attrs.evolve(context.ledger.health, resting_until_ms=20_000)


@then("{room:d} ends soon")
def ends_soon(context, room):
    assert room_ending(context.ledger, context.now_ms) == room
