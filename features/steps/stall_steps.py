"""Steps on processes that stand still, and on what they tell of it."""

import asyncio
import os
import signal
import sys
import time
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from core_model import ManualTimers
from play_verdicts import Slack, was_not_run

from gapdrum.process_metrics import ProcessMetrics
from gapdrum.stalls import CHECK_INTERVAL_MS, StallMonitor, Usage
from gapdrum.timers import MS_PER_S, Timers


class StallLog:
    """Records events, and has the metrics of a process."""

    def __init__(self):
        self.measures = ProcessMetrics()
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


def new_monitor(context, timers, read=None):
    context.log = StallLog()
    return StallMonitor(timers, context.log, read)


@given("a process that checks itself every {time_ms:d} ms")
def checks_itself(context, time_ms):
    assert time_ms == CHECK_INTERVAL_MS
    context.timers = ManualTimers()
    context.usage = Usage(100, 3, 50, 20)
    context.monitor = new_monitor(context, context.timers, lambda: context.usage)
    context.monitor.check_start()


@when(
    "a check comes {late_ms:d} ms late, after {cpu_ms:d} ms at work, {ready} ms ready to run, "
    "{asleep_ms:d} ms suspended"
)
def comes_late(context, late_ms, cpu_ms, ready, asleep_ms):
    former = context.usage
    not_run_ms = None if ready == "unknown" else former.not_run_ms + int(ready)
    context.usage = Usage(former.cpu_ms + cpu_ms, 4, 60, not_run_ms)
    context.timers.time_ms += CHECK_INTERVAL_MS + late_ms - asleep_ms
    context.timers.suspend(asleep_ms)
    context.monitor.check()


def stalls(context):
    return [fields for event, fields in context.log.events if event == "process_stalled"]


@then('its log tells of a stall of {late_ms:d} ms: "{cause}"')
def tells_stall(context, late_ms, cause):
    assert [(one["late_ms"], one["cause"]) for one in stalls(context)] == [(late_ms, cause)]


@then("its counter of stalls is {count:d}")
def counts_stalls(context, count):
    assert context.log.measures.counters["stalls"]() == count


@then("its log tells of no stall")
def tells_none(context):
    assert not stalls(context), stalls(context)


@when("a process {does} for {time_ms:d} ms")
def stands_still(context, does, time_ms):
    """Let this process stand still between two checks."""
    seconds = time_ms / MS_PER_S

    def compute():
        end_s = time.process_time() + seconds
        while time.process_time() < end_s:
            pass

    def stop():
        resume = f"import os, signal, time; time.sleep({seconds}); os.kill({os.getpid()}, 18)"
        os.spawnv(os.P_NOWAIT, sys.executable, [sys.executable, "-c", resume])
        os.kill(os.getpid(), signal.SIGSTOP)

    actions = {
        "computes": compute,
        "sleeps in a call": lambda: time.sleep(seconds),
        "is stopped by signal": stop,
    }

    async def run():
        monitor = new_monitor(context, Timers())
        monitor.check_start()
        context.log.events.clear()
        await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
        actions[does]()
        monitor.check()

    asyncio.run(run())


@then("its log tells of a stall of at least {late_ms:d} ms, and of at least {cpu_ms:d} ms at work")
def tells_work(context, late_ms, cpu_ms):
    (line,) = stalls(context)
    assert line["late_ms"] >= late_ms and line["cpu_ms"] >= cpu_ms, line


@then('its log tells of a stall of at least {late_ms:d} ms: "{cause}"')
def tells_long_stall(context, late_ms, cause):
    (line,) = stalls(context)
    assert line["late_ms"] >= late_ms and line["cause"] == cause, line


@given(
    'a log of a process with a stall: "{phase}", "{cause}", {late_ms:d} ms late, not run for '
    "{not_run_ms:d} ms"
)
def log_with_stall(context, phase, cause, late_ms, not_run_ms):
    line = {"t_ms": 5_000, "phase": phase, "cause": cause}
    line |= {"late_ms": late_ms, "not_run_ms": not_run_ms}
    context.plays = SimpleNamespace(
        events=lambda name, event: [line] if (name, event) == ("agent-0", "process_stalled") else []
    )


@given("a process that can't read how long it was not run")
def unknown_waits(context):
    with patch("gapdrum.stalls.SCHEDULER_FILE", "/nonexistent/schedstat"):
        context.timers = ManualTimers()
        context.monitor = new_monitor(context, context.timers)


@when("it checks itself {count:d} times")
def checks_often(context, count):
    context.monitor.check_start()
    for _ in range(count):
        context.timers.time_ms += CHECK_INTERVAL_MS
        context.monitor.check()


@then("its log tells once that this is unknown")
def told_unknown(context):
    named = [fields for event, fields in context.log.events if event == "stall_causes_unknown"]
    assert len(named) == 1 and named[0]["reason"], context.log.events


@then("a play that bears {running_ms:d} ms, and {starting_ms:d} ms of a start, {has} a verdict")
def has_verdict(context, running_ms, starting_ms, has):
    names, slack = ("entry-0", "agent-0"), Slack(running_ms, starting_ms)
    excused = was_not_run(context.plays, names, 4_000, slack)
    assert excused == (has == "has no"), excused
    assert not was_not_run(context.plays, names, 6_000, slack)
