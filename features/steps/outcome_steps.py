"""Steps on the outcomes of runs that agents report while streams, runners and agents fail."""

import json
import threading
import time
from collections import Counter

from behave import given, then, when
from local_system import wait_for
from platform_system import PlatformSystem
from proxy import PASS, SILENT
from soak_faults import Proxies

from gapdrum.core import orders

TASKS = 4
RUN_MS = 800
CUT_AFTER_S = 0.3  # from the start of the tasks
POLLED_S = 0.1  # the agent reads an end from a poll that waits for it
CUT_S = 1.4  # the owner gives a silent agent up after 2,150 ms
MAX_PLAYS = 5


@given("a job of a waiting caller that is ordered there")
def job_ordered(context):
    context.pair.submit()


def rejoin(context, time_ms):
    """Let the owner join again, and deliver what both say."""
    pair = context.pair
    pair.timers.time_ms += time_ms
    pair.join()
    pair.deliver_to_owner()
    context.ordered = pair.deliver_to_agent()


@when("its stream ends, its order is lost, and the same owner joins again {time_ms:d} ms later")
def order_lost(context, time_ms):
    pair = context.pair
    pair.dispatch.placer.place_waiting(pair.timers.now_ms())
    assert any(isinstance(one, orders.StartOrder) for one in pair.effects.sent)
    pair.part()
    rejoin(context, time_ms)


@when(
    "its stream ends, the agent and the runner fail, and the same owner joins again {time_ms:d} ms "
    "later"
)
def both_fail(context, time_ms):
    pair = context.pair
    pair.part()
    context.runner.running = ()
    pair.restart_agent()
    rejoin(context, time_ms)


@then('the owner\'s log tells that the task waits again as not held: "{why}"')
def released_because(context, why):
    released = context.pair.effects.noted("task_released")
    assert {(one["reason"], one["why"]) for one in released} == {("not_held", why)}, released


# With real processes.


@given("a system with one entry and one agent, and a proxy between them")
def proxied_system(context):
    context.proxies = Proxies()
    context.system = PlatformSystem(1, 1, stream_ports=context.proxies.add_stream).__enter__()


@when(
    "the stream is cut while {tasks:d} tasks of a caller are at work, and once they are done {fault}"
)
def cut_while_at_work(context, tasks, fault):
    """Play the fault until the agent is back before the owner has given it up.

    A process that starts on a busy machine may need longer, and its tasks are then started again.
    """
    for number in range(MAX_PLAYS):
        given_up = len(context.system.events("entry-0", "agent_lost"))
        context.job = f"{number + 1:016x}"
        play_cut(context, tasks, fault)
        if len(context.system.events("entry-0", "agent_lost")) == given_up:
            return
    raise AssertionError(f"the agent was given up in each of {MAX_PLAYS} plays")


def play_cut(context, tasks, fault):
    system, (proxy,) = context.system, context.proxies.streams
    asking = threading.Thread(target=submit_waiting, args=(context, tasks))
    asking.start()
    wait_for(lambda: count_rows(context, "started") == tasks, "all tasks are at work")
    time.sleep(CUT_AFTER_S)
    proxy.mode = SILENT
    proxy.reset()
    cut_s = time.monotonic()
    wait_for(lambda: count_rows(context, "done") == tasks, "all tasks are done")
    time.sleep(POLLED_S)
    victims = {"the runner is replaced": system.runners, "the agent is killed": system.agents}
    for process in victims.get(fault, ()):
        process.kill()
        process.start()
    time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    proxy.mode = PASS
    asking.join()


def submit_waiting(context, tasks):
    steps = [{"count": tasks, "cpu": 500, "mem_mb": 10, "estimate_ms": RUN_MS}]
    context.answer = context.system.submit(context.job, steps, run_ms=RUN_MS, waits=True)


def rows_of_job(context):
    """Return what the runner's incarnations have recorded of the job, killed ones included."""
    lines = (context.system.folder / "runner-0.history").read_text().splitlines()
    rows = [json.loads(line) for line in lines if line.endswith("}")]
    return [row for row in rows if row["task"].startswith(context.job)]


def count_rows(context, how):
    if not (context.system.folder / "runner-0.history").exists():
        return 0
    return sum(row["how"] == how for row in rows_of_job(context))


@then("each task has been started once, and the caller has its answer")
def started_once(context):
    starts = Counter(row["task"] for row in rows_of_job(context) if row["how"] == "started")
    assert set(starts.values()) == {1}, (starts, context.system.folder)
    assert context.answer == (200, {"state": "succeeded"}), context.answer
