"""Steps on who may start, stop and renew a run, in sequences of several failures."""

import asyncio
import contextlib
import json
from types import SimpleNamespace
from unittest.mock import patch

import resubmission_steps as base
from behave import given, then, when
from caller_deadline_steps import FakeDispatch, FakeLease, FakeLog
from core_model import ManualTimers
from platform_core_steps import JOB, OWNER, QUEUE, RUN, TASK, hold_nothing, join

from gapdrum.agent.entry_links import EntryLink
from gapdrum.core import orders
from gapdrum.core.models import JobState, Resources, RunEnd, RunKey, Step, TaskName
from gapdrum.core.planned_shutdown import PlannedShutdown
from gapdrum.core.runner_ledger import CLOCK_RATE_FLOOR
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask
from gapdrum.entry.admission import Overload
from gapdrum.entry.job_api import JobApi
from gapdrum.entry.open_tasks import OpenTaskLimit
from gapdrum.entry.waiting_callers import Caller, WaitingCallers
from gapdrum.exceptions import StreamClosedError
from gapdrum.platform.runner_calls import RunnerRejectedError
from gapdrum.platform.submissions import MAX_TASKS
from gapdrum.transport.http_client import NoReplyError
from gapdrum.transport.http_messages import HttpRequest

RENAMED = "entry-1/next-life"
BODY = json.dumps(
    {
        "spec": "{}",
        "steps": [{"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 900}],
        "best_effort": True,
    }
).encode()


@when("600 ms pass with echoes, and its owner is renamed and a poll comes before the next echo")
def renamed(context):
    base.let_time_pass(context, 600)
    context.agent.links._greeted(context.link, RENAMED)
    context.timers.time_ms += 100
    base.step(context)
    base.echo(context)
    base.step(context)


def join_renamed(context):
    """Connect the entry under another name; return the callbacks that are scheduled meanwhile."""
    context.agent.links._end_stream(context.link)
    context.timers.time_ms += 200
    context.link.stream = base.FakeStream()
    scheduled = []
    with patch.object(context.timers, "call_after", lambda *plan: scheduled.append(plan)):
        context.agent.links._greeted(context.link, RENAMED)
    base.echo(context)
    return scheduled


def run_scheduled(context, scheduled):
    for delay_ms, callback in scheduled:
        context.timers.time_ms += delay_ms
        callback()


@when("its stream ends, and the entry joins again under another name and claims the run")
def rejoined_renamed(context):
    context.agent.links._end_stream(context.link)
    context.timers.time_ms += 200
    context.link.stream = base.FakeStream()
    context.agent.links._greeted(context.link, RENAMED)
    base.echo(context)
    base.claim(context)
    base.let_time_pass(context, 600)


@when(
    "its stream ends, and the entry joins again under another name, claims the run, and the time "
    "for that ends"
)
def claimed_in_time(context):
    scheduled = join_renamed(context)
    base.claim(context)
    run_scheduled(context, scheduled)
    base.let_time_pass(context, 600)


@when("its stream ends, and the entry joins again under another name and claims nothing")
def rejoined_unclaimed(context):
    scheduled = join_renamed(context)
    context.joined_ms = context.timers.now_ms()
    assert not context.stops, context.stops
    run_scheduled(context, scheduled)


@then("the run has been stopped {time_ms:d} ms after the entry has joined")
def stopped_after_joining(context, time_ms):
    assert context.stops == [context.joined_ms + time_ms], (context.stops, context.joined_ms)


@when("its owner's stream is 400 ms late, a stop comes, and the runner leaves it unanswered")
def late_stop(context):
    def echo_late():
        message = orders.BeatEcho(context.timers.now_ms() - 400, True, False)
        context.agent.orders.take(context.link, message)

    for _ in range(2):
        context.timers.time_ms += 200
        echo_late()
        base.step(context)
    stop = orders.StopOrder("i-1", (orders.NamedRun(TASK.text, 1),))
    context.agent.orders.take(context.link, stop)
    for _ in range(10):
        context.timers.time_ms += 200
        echo_late()
        base.step(context)


@when("the runner deregisters, and the answer to that is lost")
def deregistered(context):
    base.let_time_pass(context, 200)
    context.link.stream.sent.clear()
    request = HttpRequest("POST", "/Instances.Deregister/i-1", {}, b"", 0, None)
    context.agent.runners.handle(request)


@then("the run is not reported as lost while its lease may last")
def not_reported_lost(context):
    left_ms = max(context.runner.renewals) - context.timers.now_ms()
    messages = [m for m in context.link.stream.sent if isinstance(m, orders.RunEvents)]
    kinds = [event.kind for message in messages for event in message.events]
    assert orders.LOST not in kinds or left_ms <= 0, (kinds, left_ms)


def build_front(context, state):
    timers = ManualTimers()
    context.timers = timers
    lease = SimpleNamespace(owner=OWNER, valid=True)
    dispatch = FakeDispatch()
    context.callers = WaitingCallers(dispatch, lease, timers, FakeLog())
    overload = Overload(9_000, 100, 50, 0) if state == "overloaded" else None
    admission = SimpleNamespace(
        is_unschedulable=lambda *_: False, check_overload=lambda *_: overload
    )
    context.front = JobApi(
        SimpleNamespace(current=SimpleNamespace(version=1)), dispatch, None, admission,
        context.callers, None, SimpleNamespace(known_state=lambda _job: None),
        SimpleNamespace(up=True), lease, SimpleNamespace(write=lambda *_a, **_k: None),
        OpenTaskLimit(MAX_TASKS, lambda: 0),
    )  # fmt: skip
    if state == "leaving":
        context.front.leave(PlannedShutdown(timers.now_ms() + 100, base.RESUBMIT_MS))
    context.dispatch = dispatch


@given("an entry at which a waiting job is at work, and that now is {state}")
def job_at_work(context, state):
    build_front(context, state)
    caller = Caller(None, context.timers.now_ms())
    context.callers._begin(JOB, QUEUE, "{}", (Step(1, Resources(500, 10, 0), 900),), caller)
    assert JOB in context.dispatch.jobs


@given("an entry at which a waiting job has ended, and that now is {state}")
def job_ended(context, state):
    build_front(context, state)
    context.callers._answers[JOB] = JobState.SUCCEEDED


@when("the caller sends the job again there")
def send_again(context):
    async def send():
        loop = asyncio.get_running_loop()
        request = HttpRequest("POST", "/", {}, BODY, context.timers.now_ms(), loop.create_future())
        asking = asyncio.ensure_future(context.front._submit(request, QUEUE, JOB))
        await asyncio.wait({asking}, timeout=0.1)
        return asking.result() if asking.done() else None

    context.reply = asyncio.run(send())


@then("it is not told that the job has not run")
def not_told_not_run(context):
    reply = context.reply
    assert reply is None or reply.status not in (429, 503), (reply.status, reply.body)


@given("a caller that waits for {limit_ms:d} ms for a job of 1 tasks")
def waits(context, limit_ms):
    context.limit_ms = limit_ms


@when("the entry is suspended for {time_ms:d} ms, gives up its agent, and the agent joins again")
def entry_suspended(context, time_ms):
    timers = ManualTimers()
    timers.time_ms = context.now_ms
    context.log = FakeLog()
    callers = WaitingCallers(context.dispatch, FakeLease(), timers, context.log)
    steps = (Step(1, Resources(500, 10, 0), 900),)

    async def run():
        closed = asyncio.get_running_loop().create_future()
        caller = Caller(closed, timers.now_ms(), context.limit_ms)
        asking = asyncio.ensure_future(callers.run(JOB, QUEUE, "{}", steps, caller))
        await asyncio.sleep(0)
        context.dispatch.placer.place_waiting(context.now_ms)
        assert any(isinstance(m, orders.StartOrder) for m in context.outside.sent)
        timers.suspend(time_ms)
        context.now_ms = timers.now_ms()
        context.outside.sent.clear()
        context.dispatch.expire_silent(context.now_ms)
        await asyncio.sleep(0.2)  # the entry has run for 200 ms since it resumed
        join(context)
        hold_nothing(context)
        asking.cancel()

    asyncio.run(run())


@then("no run is ordered for that caller any more")
def nothing_ordered(context):
    sent = [m for m in context.outside.sent if isinstance(m, orders.StartOrder)]
    assert not sent, (sent, context.log.events)


@when('its first call is rejected as "old"')
def rejected_old(context):
    (run,) = context.runs
    run.phase, run.calling = orders.HELD_STARTING, True
    context.link.stream.sent.clear()

    async def reject(*_arguments):
        raise RunnerRejectedError(409, "old", context.timers.now_ms())

    context.runner.start = reject
    asyncio.run(context.controller.starts._start(run, "{}", run.start_expires_ms))


@then("its owner is notified at once that it was not started")
def notified_not_started(context):
    messages = [m for m in context.link.stream.sent if isinstance(m, orders.RunEvents)]
    kinds = [event.kind for message in messages for event in message.events]
    context.runner.running = ()
    began_ms = context.timers.now_ms()
    while orders.NOT_STARTED not in kinds and context.timers.now_ms() < began_ms + 3_000:
        base.let_time_pass(context, 200)
        messages = [m for m in context.link.stream.sent if isinstance(m, orders.RunEvents)]
        kinds = [event.kind for message in messages for event in message.events]
    assert context.timers.now_ms() == began_ms, (kinds, context.timers.now_ms() - began_ms)


@when("another entry orders the same run, and its end is listed")
def ordered_twice(context):
    other = EntryLink("entry-2", base.ADDRESS)
    context.agent.links._links["entry-2"] = other
    other.stream = base.FakeStream()
    context.agent.links._greeted(other, "entry-2/life")
    row = orders.OrderedRun(0, 0, 1, 500, 10, 0, 100)
    order = orders.StartOrder("i-1", JOB, 1, "{}", context.timers.now_ms(), False, (row,))
    context.agent.orders.take(other, order)
    ended = EndedRun(1, RUN, RunEnd.STOPPED)
    poll = SimpleNamespace(clock_ms=context.timers.now_ms() + 5, running=(), ended=(ended,))
    context.controller._apply_snapshot(poll)


@then("no room is occupied")
def no_room_taken(context):
    ledger = context.controller.ledger
    assert not ledger.runs
    assert ledger.used.cpu_milli == 0, ledger.used


@then("work for a waiting caller may begin at all")
def may_begin(context):
    assert context.bounds.grant_ms(durable=False) > 0, context.bounds.grant_ms(durable=False)


OTHER_RUN = RunKey(TaskName("00000000000000f9", 0, 0, 0), 1)


@given("a controller of a runner with two runs of an earlier incarnation and 300 ms of lease left")
def two_present(context):
    base.new_agent(context, (RunningTask(RUN, 5), RunningTask(OTHER_RUN, 5)))
    context.lease_ends_ms = context.timers.now_ms() + 300


@when("the owner of one of them claims it within 100 ms, and nobody claims the other")
def one_claimed(context):
    base.step(context)
    base.step(context)
    context.timers.time_ms += 50
    base.join(context)
    base.echo(context)
    row = orders.AdoptedRun(TASK.text, 1, 1, True, 500, 10, 0)
    context.agent.orders.take(context.link, orders.AdoptRuns("i-1", (row,)))
    context.renewed_ms = None
    for _ in range(40):
        context.timers.time_ms += 20
        if context.stops:  # the runner ends it within 50 ms
            context.runner.running = (RunningTask(RUN, 5),)
            context.controller.ledger.drop(OTHER_RUN)
        base.echo(context)
        base.step(context)
        if context.runner.renewals[-1] and context.renewed_ms is None:
            context.renewed_ms = context.timers.now_ms()


@then("the lease of the claimed run has been renewed before it ended")
def renewed_in_time(context):
    assert context.renewed_ms is not None
    assert context.renewed_ms <= context.lease_ends_ms, (context.renewed_ms, context.lease_ends_ms)


@given("a caller that waits for 1000 ms at an entry that is then suspended for 5000 ms")
def wait_suspended(context):
    timers, context.log = ManualTimers(), FakeLog()
    callers = WaitingCallers(FakeDispatch(), FakeLease(), timers, context.log)
    steps = (Step(1, Resources(500, 10, 0), 900),)

    async def run():
        caller = Caller(asyncio.get_running_loop().create_future(), timers.now_ms(), 1_000)
        asking = asyncio.ensure_future(callers.run(JOB, QUEUE, "{}", steps, caller))
        await asyncio.sleep(0)
        timers.suspend(5_000)
        callers.tick()  # the first tick after the entry has resumed
        done, _ = await asyncio.wait({asking}, timeout=0.3)
        context.is_answered = bool(done)
        asking.cancel()

    asyncio.run(run())


@then("the entry knows within 300 ms after resuming that the caller's time is over")
def knows_over(context):
    assert context.is_answered, context.log.events


@when("the entry sends its demand each 250 ms for 1500 ms, and echoes no heartbeat")
def demand_only(context):
    links, timers = context.agent.links, context.timers
    context.cut_ms = None

    class TalkingStream(base.FakeStream):
        closed = False

        def close(self):
            self.closed = True
            context.cut_ms = context.cut_ms or timers.now_ms()

        async def __aiter__(self):
            yield orders.EntryGreeting(OWNER)
            links.beat()
            yield orders.BeatEcho(timers.now_ms(), True, False)
            context.until_ms = context.agent.grants.until_ms(OWNER, False)
            for _ in range(6):
                timers.time_ms += 250
                links.beat()
                if self.closed:
                    return
                yield orders.RoomDemand(())

    async def open_fake(*_arguments, **_names):
        return TalkingStream()

    async def serve():
        links._end_stream(context.link)
        context.agent.links._links["entry-1"] = context.link
        opened = patch("gapdrum.agent.entry_links.open_stream", open_fake)
        with opened, contextlib.suppress(StreamClosedError):
            await links._serve(context.link)

    asyncio.run(serve())


@then("the stream was closed while the entry's grant still lasted")
def cut_in_time(context):
    assert context.cut_ms is not None, (context.cut_ms, context.until_ms)
    assert context.cut_ms < context.until_ms, (context.cut_ms, context.until_ms)


@when("its first call is left unanswered, a poll shows it at work during the next, which is late")
def late_after_start(context):
    assert call_start(context, shown_at=2) == 2


@when("its first call is left unanswered, and a poll shows it at work meanwhile")
def shown_after_start(context):
    context.calls = call_start(context, shown_at=1)


@then("the start is not called again")
def not_called_again(context):
    assert context.calls == 1, context.calls


def call_start(context, shown_at):
    """Start a run with an unanswered first call and a late second; return the number of calls.

    During call ``shown_at``, a poll shows the run at work.
    """
    (run,) = context.runs
    run.phase, run.calling = orders.HELD_STARTING, True
    calls = []

    async def start(*_arguments):
        calls.append(1)
        if len(calls) == shown_at:
            poll = RunnerSnapshot(context.timers.now_ms(), (RunningTask(RUN, 5),), ())
            context.agent.notifier.report(
                context.controller, context.controller._apply_snapshot(poll)
            )
        if len(calls) == 1:
            raise NoReplyError("lost")
        raise RunnerRejectedError(409, "late", context.timers.now_ms() + 701)

    context.runner.start = start
    asyncio.run(context.controller.starts._start(run, "{}", run.start_expires_ms))
    return len(calls)


@then("its owner is not notified that it was not started")
def not_notified_not_started(context):
    messages = [m for m in context.link.stream.sent if isinstance(m, orders.RunEvents)]
    kinds = [event.kind for message in messages for event in message.events]
    assert orders.NOT_STARTED not in kinds, kinds


@given("an idle runner that grants leases of {lease_ms:d} ms and was polled just now")
def idle_runner(context, lease_ms):
    base.new_agent(context)
    context.controller._context.run_lease_ms = lease_ms
    base.join(context)
    base.step(context)
    base.step(context)
    context.timers.time_ms += 1_000
    base.step(context)


@when("an order for a waiting caller comes whose clock is {age_ms:d} ms old, and then nothing more")
def order_comes(context, age_ms):
    context.last_echo_ms = context.timers.now_ms() - age_ms
    row = orders.OrderedRun(0, 0, 1, 500, 10, 0, 100)
    order = orders.StartOrder("i-1", JOB, 1, "{}", context.last_echo_ms, False, (row,))
    context.agent.orders.take(context.link, order)
    assert len(context.runs) == 1


@then("its start may take effect for {time_ms:d} ms")
def start_window(context, time_ms):
    (run,) = context.runs
    left_ms = run.start_expires_ms - context.timers.now_ms()
    assert time_ms * CLOCK_RATE_FLOOR - 1 <= left_ms <= time_ms, left_ms


@then("the runner ends that run by itself {time_ms:d} ms after its owner's last echo")
def ends_by_itself(context, time_ms):
    ends_ms = max([*context.runner.renewals, context.runs[0].start_expires_ms])
    assert ends_ms - context.last_echo_ms <= time_ms, ends_ms - context.last_echo_ms


@when("its stream ends, the run ends as done, and the same owner joins again {time_ms:d} ms later")
def done_meanwhile(context, time_ms):
    context.agent.links._end_stream(context.link)
    ended = EndedRun(1, RUN, RunEnd.DONE)
    poll = RunnerSnapshot(context.timers.now_ms(), (), (ended,))
    context.agent.notifier.report(context.controller, context.controller._apply_snapshot(poll))
    context.timers.time_ms += time_ms
    base.join(context)


def sent_details(context):
    sent = context.link.stream.sent
    held = [row for m in sent if isinstance(m, orders.Holdings) for row in m.runs]
    reported = [event for m in sent if isinstance(m, orders.RunEvents) for event in m.events]
    return [one.detail for one in [*held, *reported]]


@then("its owner is told on the new stream that it is done")
def told_done(context):
    assert RunEnd.DONE.value in sent_details(context), sent_details(context)


@then("its owner is not notified of that end")
def end_not_sent(context):
    assert RunEnd.DONE.value not in sent_details(context), sent_details(context)


@when("one of them ends as done, and the agent joins again and holds only that end")
def end_sent_again(context):
    (order,) = (m for m in context.outside.sent if isinstance(m, orders.StartOrder))
    done, context.other = (order.key_of(row) for row in order.runs)
    task, kind = done.task.text, orders.ENDED
    event = orders.RunEvent(task, 1, 1, kind, RunEnd.DONE.value, 1, durable=False)
    context.dispatch.apply_events(context.view, orders.RunEvents("i-1", (event,)), context.now_ms)
    join(context)
    held = orders.HeldRun(task, 1, 1, orders.HELD_ENDED, RunEnd.DONE.value)
    context.dispatch.apply_holdings(
        context.view, orders.Holdings("i-1", (), (held,)), context.now_ms
    )
    context.outside.sent.clear()
    context.dispatch.placer.place_waiting(context.now_ms)


@then("only the other task is placed again")
def other_placed(context):
    sent = [m for m in context.outside.sent if isinstance(m, orders.StartOrder)]
    names = [order.key_of(row).task for order in sent for row in order.runs]
    assert names == [context.other.task], names


@given("an entry that was paused for {time_ms:d} ms")
def stood_still(context, time_ms):
    context.timers, context.log = ManualTimers(), FakeLog()
    context.callers = WaitingCallers(FakeDispatch(), FakeLease(), context.timers, context.log)
    context.callers.tick()
    context.timers.time_ms += time_ms


@when("it reads a request of a caller that waits for {limit_ms:d} ms, and {time_ms:d} ms pass")
def read_late(context, limit_ms, time_ms):
    timers, callers = context.timers, context.callers
    steps = (Step(1, Resources(500, 10, 0), 900),)

    async def run():
        caller = Caller(asyncio.get_running_loop().create_future(), timers.now_ms(), limit_ms)
        asking = asyncio.ensure_future(callers.run(JOB, QUEUE, "{}", steps, caller))
        await asyncio.sleep(0)
        timers.time_ms += time_ms
        callers.tick()
        done, _ = await asyncio.wait({asking}, timeout=0.1)
        context.is_over = bool(done)
        asking.cancel()

    asyncio.run(run())


@then("the caller's time is over")
def time_over(context):
    assert context.is_over, context.log.events


@then("the caller's time is not over")
def time_not_over(context):
    assert not context.is_over, context.log.events


@when("its runner rejects it, and another one has room")
def rejected_there(context):
    report = orders.RunnerReport("i-2", "inspect-desk", orders.READY, (), 4_000, 4_000, 0)
    context.dispatch.apply_report(context.view, report, context.now_ms)
    context.dispatch.apply_room(context.view, orders.RoomReport("i-2", 600, 4_000, 0, 0, 0))
    holdings = orders.Holdings("i-2", (), ())
    context.dispatch.apply_holdings(context.view, holdings, context.now_ms)
    context.outside.sent.clear()
    event = orders.RunEvent(TASK.text, 1, 1, orders.NOT_STARTED, orders.RUNNER_REJECTED)
    context.dispatch.apply_events(context.view, orders.RunEvents("i-1", (event,)), context.now_ms)
    context.dispatch.placer.place_waiting(context.now_ms)


@then("it is ordered at the other one")
def ordered_elsewhere(context):
    sent = [m.runner_id for m in context.outside.sent if isinstance(m, orders.StartOrder)]
    assert sent == ["i-2"], sent
