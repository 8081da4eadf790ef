"""Steps on streams that fail, and on entries that join an agent as another incarnation."""

import asyncio
import json
from unittest.mock import patch

import resubmission_steps as base
from behave import then, when
from core_model import ManualTimers
from platform_core_steps import JOB, OWNER

from gapdrum.core import orders
from gapdrum.core.jobs import TaskPhase
from gapdrum.core.models import RunEnd
from gapdrum.core.runner_models import RunningTask
from gapdrum.exceptions import FrameError

NEXT_INCARNATION = "entry-1/next-life"
STEP_MS = 50


class PlannedTimers(ManualTimers):
    """Calls planned callbacks when they are due."""

    def __init__(self, time_ms):
        super().__init__()
        self.time_ms = time_ms
        self.planned = []

    def call_after(self, delay_ms, callback):
        self.planned.append((self.time_ms + delay_ms, callback))

    def run_due(self):
        due = [one for one in self.planned if one[0] <= self.time_ms]
        self.planned = [one for one in self.planned if one[0] > self.time_ms]
        for _, callback in due:
            callback()


def pass_time(context, time_ms):
    """Let time pass: the runs make progress, and their owner echoes heartbeats and claims none."""
    pair, timers = context.pair, context.planned
    for passed_ms in range(STEP_MS, time_ms + 1, STEP_MS):
        timers.time_ms = pair.timers.time_ms = pair.timers.time_ms + STEP_MS
        timers.run_due()
        context.runner.running = tuple(
            RunningTask(one.run, one.percent + 1) for one in context.runner.running
        )
        if passed_ms % orders.BEAT_INTERVAL_MS == 0:
            pair.echo()
        pair.poll()


@when("the entry loses its lease while its stream is down, and joins as another incarnation")
def joins_as_next_incarnation(context):
    pair = context.pair
    context.last_echo_ms = pair.timers.now_ms()
    pair.part()
    pair.timers.time_ms += 200
    context.planned = PlannedTimers(pair.timers.time_ms)
    pair.agent.orders._timers = context.planned
    pair.join(NEXT_INCARNATION, (OWNER,))
    context.told = pair.drain_sent()


@when("its claim takes {delay_ms:d} ms")
def claim_late(context, delay_ms):
    pair = context.pair
    pass_time(context, delay_ms)
    pair.deliver(context.told)
    pair.deliver(pair.drain_sent())
    pair.deliver_to_agent()


@then("the runs continue, and have not been stopped")
def continue_running(context):
    pass_time(context, 1_000)
    assert not context.stops, context.stops
    assert max(context.runner.renewals) > context.pair.timers.now_ms()


@then("all runs were stopped {time_ms:d} ms after the owner's last echo at the latest")
def stopped_in_time(context, time_ms):
    first_ms = min(context.stops)
    assert first_ms - context.last_echo_ms <= time_ms + STEP_MS, (
        context.stops,
        context.last_echo_ms,
    )
    assert {run.stopping for run in context.runs} == {True}


@when("one task is done before the claim comes")
def done_before_claim(context):
    pair = context.pair
    context.runner.end(context.keys[0], RunEnd.DONE)
    pass_time(context, 100)
    pair.deliver(context.told)
    pair.deliver_to_agent()
    pair.deliver(pair.drain_sent())
    context.ordered = pair.deliver_to_agent()


@then("that task counts as done, and is not started again")
def counts_as_done(context):
    task = context.pair.dispatch.jobs[JOB].by_name[context.keys[0].task]
    assert task.phase is TaskPhase.DONE, task.phase
    assert not context.ordered, context.ordered


@when("its stream ends, one task is done, and {more}")
def done_meanwhile(context, more):
    pair = context.pair
    pair.part()
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    pair.timers.time_ms += 200
    if "another incarnation" in more:
        pair.join(NEXT_INCARNATION, (OWNER,))
    else:
        pair.join()
        pair.part()
        pair.timers.time_ms += 200
        pair.join()
    pair.deliver_to_owner()
    context.ordered = pair.deliver_to_agent()


def plan_timers(context):
    """Call the agent's timers when they are due."""
    context.planned = PlannedTimers(context.pair.timers.time_ms)
    context.pair.agent.links._timers = context.pair.agent.orders._timers = context.planned


def stay_away(context, time_ms):
    """Let time pass without a stream."""
    pair = context.pair
    for _ in range(0, time_ms, STEP_MS):
        context.planned.time_ms = pair.timers.time_ms = pair.timers.time_ms + STEP_MS
        context.planned.run_due()


@when("its stream fails, comes back after 200 ms, and fails again 300 ms later for 200 ms")
def fails_twice(context):
    pair = context.pair
    plan_timers(context)
    for up_ms in (300, 0):
        pair.part()
        stay_away(context, 200)
        pair.join()
        pair.deliver_to_owner()
        pair.deliver_to_agent()
        pass_time(context, up_ms)


@when("its stream fails, and stays away for {time_ms:d} ms")
def stays_away(context, time_ms):
    plan_timers(context)
    context.failed_ms = context.pair.timers.now_ms()
    context.pair.part()
    stay_away(context, time_ms)


@then("the runs were stopped {time_ms:d} ms after the stream had failed")
def stopped_after_failing(context, time_ms):
    assert {stop - context.failed_ms for stop in context.stops} == {time_ms}, context.stops


@when("its entry's next stream begins with a greeting that can't be read")
def unreadable_greeting(context):
    links, link = context.agent.links, context.link
    links._end_stream(link)

    class UnreadableStream(base.FakeStream):
        async def __aiter__(self):
            raise FrameError("EntryGreeting: too many fields")
            yield

    async def open_unreadable(*_arguments, **_names):
        return UnreadableStream()

    async def keep():
        with patch("gapdrum.agent.entry_links.open_stream", open_unreadable):
            keeping = asyncio.ensure_future(links._keep(link))
            await asyncio.sleep(0.05)
            keeping.cancel()

    asyncio.run(keep())


@then('the agent\'s log tells "{event}" with the reason')
def log_tells(context, event):
    lines = [json.loads(line) for line in context.agent.log._lines]
    told = [line for line in lines if line["event"] == event]
    assert told and told[0]["reason"] == "EntryGreeting: too many fields", lines
