"""Steps on runners that differ in speed, and on tasks whose data are on one rack."""

import random

import attrs
import msgpack
from behave import given, then, when
from platform_core_steps import JOB, OWNER, Effects, add_job

from gapdrum.codec import decode, encode
from gapdrum.core import orders
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import Place
from gapdrum.core.models import Resources, RunEnd, RunKey, Step, TaskName
from gapdrum.core.placement_rules import build_pool, choose_runner
from gapdrum.core.runner_ledger import Run, RunnerLedger
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask
from gapdrum.core.runner_views import AgentView, RunnerView
from gapdrum.core.task_durations import TaskDurations

ROOM = Resources(500, 10, 0)
NOW_MS = 10_000
SLOW, USUAL, FAST = 1_700, 1_100, 650
ZONE = "plaine-nord"
MANY_ORDERS = 1_000  # a report of so many orders includes all that were sent


# The agent's ledger.


@given("a runner whose agent has just started")
def new_runner(context):
    context.ledger = RunnerLedger("i-1", capacity=Resources(64_000, 64_000, 0))
    context.ended = 0


def next_key(context):
    context.ended += 1
    return RunKey(TaskName(JOB, 0, 0, context.ended), 1)


def start_run(context, key, estimate_ms, since_ms):
    run = Run(key, OWNER, 1, ROOM, since_ms + 700, since_ms, estimate_ms=estimate_ms)
    context.ledger.begin(run)
    context.ledger.mark_started(run, since_ms)


def poll(context, now_ms, running=(), ended=()):
    context.ledger.apply_snapshot(RunnerSnapshot(now_ms, running, ended), now_ms)


def end_runs(context, count, estimate_ms, ran_ms, until_ms, end):
    for _ in range(count):
        key = next_key(context)
        start_run(context, key, estimate_ms, until_ms - ran_ms)
        poll(context, until_ms, ended=(EndedRun(context.ended, key, end),))


@when("it does {count:d} runs of {work:d} ms each in {ran:d} ms, until {until:d} ms")
def do_runs(context, count, work, ran, until):
    end_runs(context, count, work, ran, until, RunEnd.DONE)


@when("it fails {count:d} runs of {work:d} ms each in {ran:d} ms, until {until:d} ms")
def fail_runs(context, count, work, ran, until):
    end_runs(context, count, work, ran, until, RunEnd.FAILED)


@when(
    "a run of {work:d} ms is projected to take {total:d} ms in all, five times, until {until:d} ms"
)
def project_slow_run(context, work, total, until):
    context.slow_run = next_key(context)
    begin_ms = until - 1_600
    start_run(context, context.slow_run, work, begin_ms)
    for turn in range(5):
        now_ms = begin_ms + 400 * turn
        percent = min(99, 100 * (now_ms - begin_ms) // total)
        poll(context, now_ms, running=(RunningTask(context.slow_run, percent),))


@when("it is stopped at {now:d} ms")
def stop_slow_run(context, now):
    end = EndedRun(context.ended, context.slow_run, RunEnd.STOPPED)
    poll(context, now, ended=(end,))


@when("a run that was found there ends at {now:d} ms")
def end_found(context, now):
    key = next_key(context)
    poll(context, now - 50, running=(RunningTask(key, 50),))
    poll(context, now, ended=(EndedRun(context.ended, key, RunEnd.DONE),))


@then("its slowness is {slowness:d} by {runs:d} runs at {now:d} ms")
def has_slowness(context, slowness, runs, now):
    speed = context.ledger.speed
    found = (speed.slowness_permille(now), speed.count(now))
    assert found == (slowness, runs), found


@then("it is suspect")
def is_suspect(context):
    assert context.ledger.state == orders.SUSPECT, context.ledger.state


@when("a room report comes without the number of runs")
def old_report(context):
    row = msgpack.unpackb(encode(orders.RoomReport("i-1", 1, 2, 3, 4, 5, 6)))
    fields = 1 + len(attrs.fields(orders.RoomReport))  # the kind of message goes first
    assert len(row) == fields, row
    known = 1 + [one.name for one in attrs.fields(orders.RoomReport)].index("speed_runs")
    context.report = decode(row[:known])


@then("it is taken with {runs:d} runs")
def taken_with(context, runs):
    assert context.report == orders.RoomReport("i-1", 1, 2, 3, 4, 5, runs), context.report


# Placement.


def new_views(slowness, runs=24, rack_size=0):
    agent = AgentView("side", "life", ZONE, 0, NOW_MS)
    views = []
    for number, permille in enumerate(slowness):
        name = f"i-{number}"
        labels = (f"rack-{number // rack_size}",) if rack_size else ()
        view = RunnerView(Place("side", name), agent, 0, synced=True)
        view.apply_report(
            orders.RunnerReport(name, "inspect-desk", orders.READY, labels, 8_000, 8_000, 0)
        )
        free_cpu_milli = 8_000 - 300 * (number % 4)
        view.apply_room(orders.RoomReport(name, free_cpu_milli, 8_000, 0, 0, permille, runs))
        views.append(view)
    return views


@given("{count:d} runners of which the slowest takes 1.5 times as long as the fastest")
def even_runners(context, count):
    context.views = new_views([1_000 + 500 * number // (count - 1) for number in range(count)])


@given("{count:d} runners of which nothing is known")
def unknown_runners(context, count):
    context.others = new_views([0] * count, 0)


@given("a quarter of {count:d} runners slow and a quarter fast, by {runs:d} runs each")
def uneven_runners(context, count, runs):
    speeds = [(SLOW, USUAL, FAST, USUAL)[number % 4] for number in range(count)]
    context.views = new_views(speeds, runs)


@given("{count:d} runners that all take {times:g} times as long as stated")
def slow_runners(context, count, times):
    context.views = new_views([int(1_000 * times)] * count)


@given("only the slow ones have room")
def only_slow(context):
    for view in context.views:
        if view.slowness_permille != SLOW:
            view.free = Resources()


@given(
    "{count:d} runners on racks of {size:d}, and tasks that take {far:g} times as long away from "
    "their data"
)
def racked_runners(context, count, size, far):
    context.views = new_views([0] * count, 0, size)
    context.far_factor = far


@given('on rack "{rack}" there is {room}')
def room_on_rack(context, rack, room):
    near = [view for view in context.views if rack in view.labels]
    if room == "nobody":
        context.views = [view for view in context.views if view not in near]
    for view in near if room == "no room" else ():
        view.free = Resources()


def build_runner_pool(context):
    far_factor = context.far_factor if "far_factor" in context else 1.0
    return build_pool(context.views, "inspect-desk", 0, far_factor)


def new_task(context, work_ms, rack="", waited_ms=0):
    """Return a job of one task that was accepted a while ago."""
    context.now_ms = NOW_MS - waited_ms
    context.outside = Effects()
    context.dispatch = build_dispatch(ZONE, context.outside, lambda: True, 0)
    step = Step(1, ROOM, work_ms, data_rack=rack)
    add_job(context, 1, step=step, durable=False)
    return context.job, context.job.tasks[0]


def choose(context, pool, work_ms, rack="", waited_ms=0, seed=1):
    job, task = new_task(context, work_ms, rack, waited_ms)
    return choose_runner(job, task, pool, ZONE, NOW_MS, random.Random(seed))


def choose_many(context, count, work_ms, pool=None):
    pool = pool or build_runner_pool(context)
    return [choose(context, pool, work_ms, seed=seed) for seed in range(count)]


@then("{count:d} tasks go to the same runners of both")
def same_runners(context, count):
    first = choose_many(context, count, 100)
    second = choose_many(context, count, 100, build_pool(context.others, "inspect-desk"))
    assert [one.place for one in first] == [one.place for one in second]


@then("placement {heeds} how fast they are")
def heeds_speeds(context, heeds):
    found = bool(build_runner_pool(context).speeds.relative)
    assert found == (heeds == "heeds"), found


@then("of {count:d} tasks of {work:d} ms {waiting:d} have to wait")
def have_to_wait(context, count, work, waiting):
    assert choose_many(context, count, work).count(None) == waiting


@then(
    "of {count:d} tasks of {work:d} ms at least {fast:d} go to fast runners and at most {slow:d} "
    "to slow ones"
)
def go_by_speed(context, count, work, fast, slow):
    speeds = [one.slowness_permille for one in choose_many(context, count, work)]
    assert speeds.count(FAST) >= fast and speeds.count(SLOW) <= slow, speeds


@then("a task of {work:d} ms that has waited for {waited:d} ms {goes}")
def slow_takes(context, work, waited, goes):
    found = choose(context, build_runner_pool(context), work, waited_ms=waited)
    went = "waits" if found is None else "goes to a slow runner"
    assert went == goes, (found, goes)


@then('a task of {work:d} ms with data on "{rack}" that has waited for {waited:d} ms {goes}')
def goes_near(context, work, rack, waited, goes):
    found = choose(context, build_runner_pool(context), work, rack, waited)
    if found is None:
        went = "waits"
    else:
        went = f'goes to rack "{rack}"' if rack in found.labels else "goes to another rack"
    assert went == goes, (found, goes)


# An entry.


def add_runner(context, name, rack, free_cpu_milli):
    report = orders.RunnerReport(name, "inspect-desk", orders.READY, (rack,), 8_000, 8_000, 0)
    context.dispatch.apply_report(context.view, report, NOW_MS)
    room = orders.RoomReport(name, free_cpu_milli, 8_000, 0, MANY_ORDERS, 0)
    context.dispatch.apply_room(context.view, room)
    context.dispatch.apply_holdings(context.view, orders.Holdings(name, (), ()), NOW_MS)


@given('an entry that sees one runner on "{rack}", far tasks taking {far:g} times as long')
def entry_with_far(context, rack, far):
    context.now_ms = NOW_MS
    context.outside = Effects()
    context.dispatch = build_dispatch(
        ZONE, context.outside, lambda: True, 0, random.Random(1), far_factor=far
    )
    greeting = orders.AgentGreeting("side-1", "life-1", ZONE, NOW_MS)
    context.view = context.dispatch.fleet.agent_joined(greeting, NOW_MS)
    add_runner(context, "i-1", rack, 8_000)


@given('a runner on "{rack}" without room')
def runner_without_room(context, rack):
    add_runner(context, "i-2", rack, 0)


@when('a task of {work:d} ms with data on "{rack}" is late for its rack and goes there')
def goes_far(context, work, rack):
    add_job(context, 1, step=Step(1, ROOM, work, data_rack=rack), durable=False)


def starts(context):
    return [one for one in context.outside.sent if isinstance(one, orders.StartOrder)]


@then("the agent is told that it takes {expected:d} ms")
def estimate_sent(context, expected):
    (order,) = starts(context)
    assert [run.estimate_ms for run in order.runs] == [expected], order


@when('{count:d} jobs of {work:d} ms with data on "{rack}" and one without data are submitted')
def submit_many(context, count, work, rack):
    step = Step(1, ROOM, work, data_rack=rack)
    for number in range(count):
        add_job(context, 1, step=step, durable=False, job_id=f"{number:016x}")
    add_job(context, 1, step=attrs.evolve(step, data_rack=""), durable=False)


@then("the one without data is ordered")
def one_ordered(context):
    assert [order.job_id for order in starts(context)] == [JOB], context.outside.sent


@then('the others are held as "{reason}"')
def held_as(context, reason):
    reasons = [fields["reason"] for event, fields in context.outside.notes if event == "task_held"]
    assert reasons == [reason] * 20, reasons


@when("{count:d} jobs of {work:d} ms end there, each {ran:d} ms after its start")
def jobs_end(context, count, work, ran):
    for number in range(count):
        context.now_ms = NOW_MS
        step = Step(1, ROOM, work)
        add_job(context, 1, step=step, durable=False, job_id=f"{number:016x}")
        task = context.job.tasks[0].name.text
        for kind, detail, now_ms in (
            (orders.STARTED, "", NOW_MS),
            (orders.ENDED, RunEnd.DONE.value, NOW_MS + ran),
        ):
            event = orders.RunEvent(task, 1, 1, kind, detail, durable=False)
            events = orders.RunEvents("i-1", (event,))
            context.dispatch.apply_events(context.view, events, now_ms)
        add_runner(context, "i-1", "rack-2", 8_000)
    context.durations = context.dispatch.durations


def about(found, expected):
    return abs(found / expected - 1) <= 0.06


@then("half of the tasks of the queue end within {times:g} times their stated work")
def typical_of_queue(context, times):
    found = context.durations.factor("flags", 0.5)
    assert about(found, times), found


@given(
    "ends of {usual:d} tasks of {work:d} ms and of {long:d} that take seven times as long, "
    "mostly at slow runners"
)
def many_ends(context, usual, work, long):
    context.durations = TaskDurations()
    for number in range(usual + long):
        slowness = (SLOW, SLOW, 1_000)[number % 3]
        times = 7 if number >= usual else 1
        context.durations.note("flags", work * times * slowness // 1_000, work, slowness)
    for _ in range(19):
        context.durations.note("tags", 7 * work, work, 1_000)


@then(
    "half of its tasks end within {half:g} times their stated work, and 99% within {most:g} times"
)
def quantiles(context, half, most):
    found = [context.durations.factor("flags", quantile) for quantile in (0.5, 0.99)]
    assert about(found[0], half) and about(found[1], most), found


@then("nothing is known of a queue with 19 ends")
def nothing_known(context):
    assert context.durations.factor("tags", 0.5) == 1.0
    assert context.durations.factor("none", 0.5) == 1.0
