"""Steps on runs that take too long."""

from behave import given, then, when
from platform_core_steps import JOB, OWNER, Effects, add_job

from gapdrum.core import orders
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import Place, TaskPhase
from gapdrum.core.models import Resources, RunEnd, RunKey, Step, TaskName
from gapdrum.core.runner_ledger import Run
from gapdrum.core.runner_models import RunnerSnapshot, RunningTask

ESTIMATE_MS = 500
BEGIN_MS = 100
REPEAT_MS = 300


# The agent's ledger.


@given(
    "{count:d} runs at work there that do 1 percent in {usual_ms:d} ms, and one that does "
    "1 percent in {slow_ms:d} ms"
)
def runs_at_work(context, count, usual_ms, slow_ms):
    context.pace_ms = {
        RunKey(TaskName(f"{number:016x}", 0, 0, number), 1): usual_ms if number else slow_ms
        for number in range(count + 1)
    }
    begin_all(context)


def begin_all(context):
    context.slow = next(iter(context.pace_ms))
    for key in context.pace_ms:
        run = Run(key, OWNER, 1, Resources(500), 0, BEGIN_MS, estimate_ms=ESTIMATE_MS)
        context.ledger.begin(run)
        context.ledger.mark_started(run, BEGIN_MS)


@given("all are of one job")
def of_one_job(context):
    paces = context.pace_ms.items()
    context.pace_ms = {RunKey(TaskName(JOB, 0, 0, key.task.index), 1): ms for key, ms in paces}
    context.ledger.runs.clear()
    context.ledger.recent_runs.clear()
    begin_all(context)


def poll_at(context, age_ms):
    """Poll when the runs have run for so long; keep the events of the slow run."""
    running = [
        RunningTask(key, min(99, age_ms // pace_ms)) for key, pace_ms in context.pace_ms.items()
    ]
    snapshot = RunnerSnapshot(BEGIN_MS + age_ms, tuple(running), ())
    events = context.ledger.apply_snapshot(snapshot, BEGIN_MS + age_ms)
    context.told += [event for run, event in events if run.key == context.slow]


@when("{time_ms:d} ms have passed since they began")
def passed(context, time_ms):
    for age_ms in range(50, time_ms + 1, 50):
        poll_at(context, age_ms)
    context.age_ms = time_ms


@when("{time_ms:d} more ms have passed without a further percent of it")
def passed_without(context, time_ms):
    context.pace_ms = {context.slow: 500 + context.age_ms % 500}
    percent = context.ledger.runs[context.slow].percent
    for age_ms in range(context.age_ms, context.age_ms + time_ms + 600, 50):
        snapshot = RunnerSnapshot(BEGIN_MS + age_ms, (RunningTask(context.slow, percent),), ())
        events = context.ledger.apply_snapshot(snapshot, BEGIN_MS + age_ms)
        context.told += [event for run, event in events if run.key == context.slow]


@then(
    "that one is reported as slow, with {ran_ms:d} ms gone and {left_ms:d} left, the others at "
    "{others:d} permille"
)
def told_slow(context, ran_ms, left_ms, others):
    event = context.told[-1]
    found = (event.kind, event.detail, event.ran_ms, event.left_ms, event.others_permille)
    assert found == (orders.STRAGGLING, orders.SLOW, ran_ms, left_ms, others), context.told


@then("that one is not reported as stalled")
def not_stalled(context):
    assert all(event.detail != orders.STALLED for event in context.told), context.told


@then("that one is reported as stalled for {time_ms:d} ms or more")
def told_stalled(context, time_ms):
    times_ms = [event.stalled_ms for event in context.told if event.detail == orders.STALLED]
    assert times_ms and max(times_ms) >= time_ms, context.told


# The owner.


def report_room(context, runner_id, free, slowness_permille=0, labels=()):
    dispatch = context.dispatch
    report = orders.RunnerReport(runner_id, "inspect-desk", orders.READY, labels, 4_000, 4_000, 0)
    dispatch.apply_report(context.view, report, context.now_ms)
    runner = dispatch.fleet.runners[Place("side-1", runner_id)]
    room = orders.RoomReport(runner_id, free, 4_000, 0, runner.orders_sent, slowness_permille)
    dispatch.apply_room(context.view, room)


@given("an owner with a task of 500 ms at one of two runners, and {room} at the other")
def owner_with_task(context, room):
    context.outside = Effects()
    context.dispatch = build_dispatch("plaine-nord", context.outside, lambda: True, 0)
    context.now_ms = 1_000
    greeting = orders.AgentGreeting("side-1", "life-1", "plaine-nord", context.now_ms)
    context.view = context.dispatch.fleet.agent_joined(greeting, context.now_ms)
    for runner_id in ("i-1", "i-2"):
        report_room(context, runner_id, 4_000)
        holdings = orders.Holdings(runner_id, (), ())
        context.dispatch.apply_holdings(context.view, holdings, context.now_ms)
    add_job(context, 1, step=Step(1, Resources(500, 10, 0), ESTIMATE_MS))
    (context.task,) = context.job.tasks
    context.here = context.task.place.runner_id
    context.there = "i-2" if context.here == "i-1" else "i-1"
    if room == "no room":
        report_room(context, context.there, 0)
    report_event(context, orders.STARTED)


def report_event(context, kind, detail="", **fields):
    task = context.task
    event = orders.RunEvent(task.name.text, task.attempt, 1, kind, detail, **fields)
    message = orders.RunEvents(task.place.runner_id, (event,))
    context.dispatch.apply_events(context.view, message, context.now_ms)


@given("the runner where it is was reported at {here:d} permille, the other at {there:d}")
def reported_pace(context, here, there):
    report_room(context, context.here, 3_500, here)
    report_room(context, context.there, 4_000, there)
    usual = orders.Holdings("i-3", (), ())
    report_room(context, "i-3", 0, there)
    context.dispatch.apply_holdings(context.view, usual, context.now_ms)


@given("tasks of its queue take up to {factor:d} times their estimates")
def max_duration_factor(context, factor):
    context.dispatch.placer.stragglers.max_duration_factor = lambda queue: factor


@given(
    "its data is on the rack of the runner where it is, and it takes {factor:d} times as long "
    "elsewhere"
)
def data_here(context, factor):
    context.dispatch.placer.stragglers.far_factor = factor
    context.task.step = Step(1, Resources(500, 10, 0), ESTIMATE_MS, data_rack="r1")
    report_room(context, context.here, 3_500, labels=("r1",))


@given("the budget of moves is spent")
def budget_spent(context):
    context.dispatch.placer.stragglers.budget.level = 0.0


@when(
    "its run is slow: {ran_ms:d} ms gone, {left_ms:d} left, the other runs there at "
    "{others:d} permille"
)
def run_is_slow(context, ran_ms, left_ms, others):
    context.now_ms += ran_ms
    context.view.heard_ms = context.now_ms
    report_event(
        context,
        orders.STRAGGLING,
        orders.SLOW,
        ran_ms=ran_ms,
        left_ms=left_ms,
        others_permille=others,
    )


@when("its run has stalled for {time_ms:d} ms")
def has_stalled(context, time_ms):
    report_event(context, orders.STRAGGLING, orders.STALLED, ran_ms=time_ms, stalled_ms=time_ms)


def last_decision(context):
    return [fields for event, fields in context.outside.notes if event == "task_straggles"][-1]


@then("it is moved")
def is_moved(context):
    assert last_decision(context)["moved"], context.outside.notes
    assert isinstance(context.outside.sent[-1], orders.StopOrder)


@then("it is not moved")
def is_not_moved(context):
    assert not last_decision(context)["moved"], context.outside.notes
    assert not any(isinstance(one, orders.StopOrder) for one in context.outside.sent)


@when("its runs stall for {time_s:d} s, wherever they are")
def stall(context, time_s):
    context.moved_after_ms = []
    since_ms = context.now_ms
    for _ in range(0, time_s * 1_000, REPEAT_MS):
        context.now_ms += REPEAT_MS
        context.view.heard_ms = context.now_ms
        stalled_ms = context.now_ms - since_ms
        if stalled_ms < 500:
            continue
        report_event(
            context, orders.STRAGGLING, orders.STALLED, ran_ms=stalled_ms, stalled_ms=stalled_ms
        )
        if last_decision(context)["moved"]:
            context.moved_after_ms.append(stalled_ms)
            report_event(
                context, orders.ENDED, RunEnd.STOPPED.value, end_number=context.task.attempt
            )
            context.dispatch.placer.place_waiting(context.now_ms)
            report_event(context, orders.STARTED)
            since_ms = context.now_ms


@then("it was moved at least 6 times, and from the fourth time on after 2, 4, 8 and 16 s")
def moved_again(context):
    moved_after = context.moved_after_ms
    assert len(moved_after) >= 6, moved_after
    assert max(moved_after[:3]) < 1_000, moved_after
    for pause_ms, found_ms in zip((2_000, 4_000, 8_000, 16_000), moved_after[3:], strict=False):
        assert pause_ms <= found_ms <= pause_ms + REPEAT_MS, moved_after


@when("its next run is done")
def next_done(context):
    report_event(context, orders.ENDED, RunEnd.DONE.value, end_number=99)


@then("its job ends")
def job_ends(context):
    assert context.task.phase is TaskPhase.DONE
    assert context.outside.ended == [context.job]
