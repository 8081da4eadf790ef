"""Steps on a task that crashes each runner that starts it."""

import threading

import attrs
from behave import given, then, when
from platform_core_steps import JOB, OTHER_JOB, OWNER, add_job
from platform_system import PlatformSystem

from gapdrum.core import orders
from gapdrum.core.models import ZERO_RESOURCES, JobState, RunEnd


@when("each runner at which it is started crashes, {count:d} of them one after the other")
def runners_crash(context, count):
    context.starts = 1  # the start when the job was added
    runner = "i-1"
    for number in range(2, count + 1):
        state = orders.RunnerReport(runner, "inspect-desk", orders.GONE, (), 0, 0, 0)
        (task,) = context.job.tasks
        began = orders.RunEvent(task.name.text, task.attempt, 1, orders.STARTED)
        context.dispatch.apply_events(
            context.view, orders.RunEvents(runner, (began,)), context.now_ms
        )
        context.dispatch.apply_report(context.view, state, context.now_ms)
        runner = f"i-{number}"
        add_runner(context, runner)
        context.outside.sent.clear()
        context.dispatch.placer.place_waiting(context.now_ms)
        context.starts += sum(isinstance(one, orders.StartOrder) for one in context.outside.sent)


def add_runner(context, runner):
    report = orders.RunnerReport(runner, "inspect-desk", orders.READY, (), 4_000, 4_000, 0)
    context.dispatch.apply_report(context.view, report, context.now_ms)
    context.dispatch.apply_room(context.view, orders.RoomReport(runner, 4_000, 4_000, 0, 0, 0))
    context.dispatch.apply_holdings(context.view, orders.Holdings(runner, (), ()), context.now_ms)


@then("it has been started {count:d} times at most")
def started_at_most(context, count):
    assert context.starts <= count, context.starts


# Two jobs, one of which may crash its runners.

MAX_ROUNDS = 20


@given("two jobs of 1 task each")
def two_jobs(context):
    for name in (JOB, OTHER_JOB):
        add_job(context, 1, job_id=name)
    context.jobs = [context.dispatch.jobs[name] for name in (JOB, OTHER_JOB)]
    context.runner = "i-1"
    context.starts = {JOB: 0, OTHER_JOB: 0}
    note_orders(context)


def note_orders(context):
    """Place waiting tasks; return the orders, and let their runs be reported as started."""
    context.view.heard_ms = context.now_ms
    context.dispatch.placer.place_waiting(context.now_ms)
    sent = [one for one in context.outside.sent if isinstance(one, orders.StartOrder)]
    context.outside.sent.clear()
    for order in sent:
        context.starts[order.job_id] += 1
        rows = [order.key_of(row) for row in order.runs]
        events = tuple(
            orders.RunEvent(key.task.text, key.attempt, 1, orders.STARTED) for key in rows
        )
        message = orders.RunEvents(order.runner_id, events)
        context.dispatch.apply_events(context.view, message, context.now_ms)
    context.ordered = sent
    return sent


def end_runner(context, *states):
    """Let the runner report states, the last one that it is gone; add the next one."""
    for state in states:
        report = orders.RunnerReport(context.runner, "inspect-desk", state, (), 0, 0, 0)
        context.dispatch.apply_report(context.view, report, context.now_ms)
    number = int(context.runner.removeprefix("i-")) + 1
    context.runner = f"i-{number}"
    add_runner(context, context.runner)


def end_done(context, order):
    """Let the runs of an order end as done, which leaves their runner idle."""
    events = tuple(
        orders.RunEvent(key.task.text, key.attempt, 1, orders.ENDED, "done", 1)
        for key in map(order.key_of, order.runs)
    )
    message = orders.RunEvents(order.runner_id, events)
    context.dispatch.apply_events(context.view, message, context.now_ms)
    room = orders.RoomReport(order.runner_id, 4_000, 4_000, 0, order_count(context), 0, 0)
    context.dispatch.apply_room(context.view, room)


def order_count(context):
    return max(runner.orders_sent for runner in context.dispatch.fleet.runners.values())


@when(
    "the runners crash under the task of one job, wherever both are started, until that has ended"
)
def crash_under_one(context):
    culprit, innocent = context.jobs
    for _ in range(MAX_ROUNDS):
        if culprit.ending is not None and innocent.ending is not None:
            return
        at_work = {order.job_id: order for order in context.ordered}
        if JOB in at_work:
            end_runner(context, orders.GONE)
        elif OTHER_JOB in at_work:
            end_done(context, at_work[OTHER_JOB])
        note_orders(context)
    raise AssertionError((context.starts, culprit.ending, innocent.ending))


@then("the one job has failed, after {count:d} starts at most, and the other has been done")
def one_failed(context, count):
    culprit, innocent = context.jobs
    assert culprit.ending is JobState.FAILED, culprit.ending
    assert innocent.ending is JobState.SUCCEEDED, innocent.ending
    assert context.starts[JOB] <= count, context.starts


def crash_together(context, count):
    """Let runners crash while both tasks are at work there."""
    for number in range(count):
        end_runner(context, orders.GONE)
        if number < count - 1:
            context.now_ms += 1_000
            note_orders(context)
            assert {order.job_id for order in context.ordered} == {JOB, OTHER_JOB}


@when("{count:d} runners crash under both, and {time_ms:d} ms pass")
def crashed_under_both(context, count, time_ms):
    crash_together(context, count)
    context.now_ms += time_ms


@when("{count:d} runners drain and end with both")
def drained(context, count):
    for _ in range(count):
        end_runner(context, orders.DRAINING, orders.GONE)
        note_orders(context)
        context.dispatch.effects.sent.clear()
    end_runner(context, orders.DRAINING, orders.GONE)


@then("both are ordered at the next runner {how}")
def ordered_how(context, how):
    ordered = note_orders(context)
    if how == "together":
        assert [order.exclusive for order in ordered] == [False, False], ordered
        return
    for _ in context.jobs:
        (order,) = context.ordered
        assert order.exclusive, order
        end_done(context, order)
        note_orders(context)
    assert all(job.ending is JobState.SUCCEEDED for job in context.jobs)


@when("{count:d} runners crash under both, and their progress is stored and read")
def crashes_stored(context, count):
    crash_together(context, count)
    for job in context.jobs:
        progress = job.progress()
        (task,) = job.tasks
        task.crashes = task.crashes_alone = 0
        job.restore(progress)


@then("their tasks must run alone")
def must_run_alone(context):
    for job in context.jobs:
        (task,) = job.tasks
        assert task.must_run_alone(context.now_ms + 60_000)


@when("an exclusive order comes, and again once nothing runs there, and a common one after it")
def exclusive_orders(context):
    pair, link = context.pair, context.link
    row = orders.OrderedRun(0, 0, 1, 500, 10, 0, 100)
    order = orders.StartOrder(
        "i-1", OTHER_JOB, 1, "{}", pair.timers.now_ms(), False, (row,), exclusive=True
    )
    pair.drain_sent()
    context.refused = []
    pair.agent.orders.take(link, order)
    context.refused.append(refusals(pair))
    for key in context.keys:
        context.controller.ledger.drop(key)
    pair.agent.orders.take(link, order)
    context.refused.append(refusals(pair))
    common = attrs.evolve(order, job_id=JOB, exclusive=False, submission=7)
    pair.agent.orders.take(link, common)
    context.refused.append(refusals(pair))
    assert link.owner == OWNER


def refusals(pair):
    sent = [one for one in pair.drain_sent() if isinstance(one, orders.RunEvents)]
    return [event.detail for one in sent for event in one.events]


@then("the first and the last one are refused for room")
def refused_for_room(context):
    assert context.refused == [[orders.NO_ROOM], [], [orders.NO_ROOM]], context.refused


@given("a job of a waiting caller under whose task {count:d} runners have crashed")
def suspect_job(context, count):
    (task,) = context.pair.submit(tasks=1)
    task.crashes = count


@when("its task is started, and has been done")
def started_and_done(context):
    pair = context.pair
    (view,) = pair.dispatch.fleet.runners.values()
    (key,) = pair.start_all()
    context.room_meanwhile = view.free
    context.runner.end(key, RunEnd.DONE)
    pair.poll()
    pair.deliver_to_owner()
    context.view = view


@then("the owner saw no room there meanwhile, and sees all of it again")
def room_given_back(context):
    assert context.room_meanwhile == ZERO_RESOURCES, context.room_meanwhile
    assert context.view.free == context.view.capacity, context.view


@when("its runner is gone before its start is reported")
def gone_before_start(context):
    gone = orders.RunnerReport("i-1", "inspect-desk", orders.GONE, (), 0, 0, 0)
    context.dispatch.apply_report(context.view, gone, context.now_ms)


@then("no crash counts for its task")
def no_crash(context):
    (task,) = context.job.tasks
    assert not task.crashes, task.crashes


# With real processes.

CHECK_S = 0.5
CRASH_AFTER_MS = 150
OTHERS = tuple(f"{number:016x}" for number in range(1, 7))
OTHER_TASKS, OTHER_RUN_MS = 4, 400


@given("a system with two runners that are back half a second after each crash")
def restarted_runners(context):
    context.system = PlatformSystem(1, 2).__enter__()
    context.ended = threading.Event()
    context.restarting = threading.Thread(target=restart_crashed, args=(context,))
    context.restarting.start()


def restart_crashed(context):
    while not context.ended.wait(CHECK_S):
        for runner in context.system.runners:
            if runner.popen.poll() is not None:
                runner.start()


@when("a stored job with a task that crashes its runners is accepted, and jobs of others besides")
def crashing_job(context):
    system = context.system
    step = {"cpu": 500, "mem_mb": 10}
    crashing = [{"count": 1, "estimate_ms": CRASH_AFTER_MS, **step}]
    common = [{"count": OTHER_TASKS, "estimate_ms": OTHER_RUN_MS, **step}]
    assert system.submit(JOB, crashing, run_ms=CRASH_AFTER_MS, crash=True)[0] == 200
    for job in OTHERS:
        assert system.submit(job, common, run_ms=OTHER_RUN_MS)[0] == 200
    try:
        context.state = system.wait_final_state(JOB)
        context.others = {job: system.wait_final_state(job) for job in OTHERS}
    finally:
        context.ended.set()
        context.restarting.join()


@then("that job has failed, after {count:d} starts of its task at most")
def failed_after(context, count):
    rows = [row for history in context.system.histories() for row in history]
    starts = [row for row in rows if row["task"].startswith(JOB) and row["how"] == "started"]
    assert context.state == "failed", context.state
    assert len(starts) <= count, (len(starts), context.system.folder)


@then("all tasks of the others have been done")
def others_done(context):
    assert set(context.others.values()) == {"succeeded"}, context.others
