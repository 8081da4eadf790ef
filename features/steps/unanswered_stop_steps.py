"""Steps on a runner that leaves stops unanswered, and on its room and the orders for it."""

import resubmission_steps as base
from behave import then, when
from platform_core_steps import OTHER_JOB

from gapdrum.agent.entry_links import EntryLink
from gapdrum.core import orders
from gapdrum.core.models import RunEnd

ORDERED = orders.OrderedRun(0, 0, 1, 500, 10, 0, 100)


@when("the caller leaves, and the runner leaves the stops unanswered for {time_ms:d} ms")
def stops_unanswered(context, time_ms):
    pair = context.pair
    pair.leave()
    pair.deliver_to_agent()
    pair.pass_time(time_ms)
    assert context.stops


@when("its lease lapses, and a poll shows that")
def lease_lapses(context):
    for key in context.keys:
        context.runner.end(key, RunEnd.LEASE_LAPSED)
    context.pair.poll()


@then("another entry is sent {room} there, and its order is {fate}")
def room_and_order(context, room, fate):
    pair, timers = context.pair, context.pair.timers
    other = EntryLink("entry-2", base.ADDRESS)
    pair.agent.links._links["entry-2"] = other
    other.stream = base.FakeStream()
    pair.agent.links._greeted(other, "entry-2/life")
    report = [one for one in other.stream.sent if isinstance(one, orders.RoomReport)][-1]
    assert (report.free_cpu_milli > 0) == (room == "room"), report
    order = orders.StartOrder("i-1", OTHER_JOB, 1, "{}", timers.now_ms(), False, (ORDERED,))
    before = len(context.runs)
    pair.agent.orders.take(other, order)
    assert (len(context.runs) > before) == (fate == "taken"), context.runs
