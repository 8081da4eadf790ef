"""Steps on the outcomes of runs that agents report while streams, runners and agents fail."""

import asyncio
import json
import re
import signal
import threading
import time
from collections import Counter
from functools import partial
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from local_system import wait_for
from platform_core_steps import BOUNDS, JOB, OWNER, QUEUE
from platform_system import PlatformSystem
from play_verdicts import Slack, play_until_run
from proxy import PASS, SILENT
from run_ownership_steps import RENAMED
from soak_faults import Proxies

from gapdrum.agent.entry_links import RETRY_INTERVAL_MS, UNNEEDED_KEPT_MS
from gapdrum.core import orders
from gapdrum.core.jobs import TaskPhase, build_job
from gapdrum.core.models import Resources, RunEnd, RunKey, Step, TaskName
from gapdrum.core.records import OpenJob, step_row
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS
from gapdrum.core.runner_ledger import Run
from gapdrum.core.runner_models import RunningTask
from gapdrum.entry.acceptance import queue_policy
from gapdrum.entry.receipts import ReceiptSender
from gapdrum.entry.waiting_callers import Caller
from gapdrum.timers import MS_PER_S

TASKS = 4
RUN_MS = 800
CUT_AFTER_S = 0.3  # from the start of the tasks
POLLED_S = 0.1  # the agent reads an end from a poll that waits for it
CUT_S = 1.4  # the owner gives a silent agent up after 2,150 ms
PROCESSES = ("agent-0", "entry-0")
MAX_PLAYS = 5
ENDS = ("done", "stopped", "lapsed")
OTHER_JOB = "00000000000000f2"
SILENT_BEFORE_S = 0.06
SILENT_S = 1.4  # the owner gives a silent agent up after 2,150 ms
# An agent that is killed, at the latest 0.6 s after a cut, starts in 0.7 s if it is run.
KILLED_AFTER_MS = 600
START_MS = 700
# How long a process may wait to be run in such plays: until the owner gives the agent up, or, if
# the stream is cut, a run's grant ends before the run.
GIVEN_UP_MS = SILENCE_LIMIT_MS - orders.BEAT_INTERVAL_MS - RETRY_INTERVAL_MS
STARTING_MS = GIVEN_UP_MS - KILLED_AFTER_MS - START_MS
SILENT_SLACK = Slack(GIVEN_UP_MS - round(SILENT_S * MS_PER_S), STARTING_MS)
GRANT_LEFT_MS = BOUNDS.grant_ms(durable=False) - orders.BEAT_INTERVAL_MS
CUT_SLACK = Slack(GRANT_LEFT_MS - RUN_MS + round(CUT_AFTER_S * MS_PER_S), STARTING_MS)


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


@given("a durable job that is at work there")
def durable_job_at_work(context):
    pair = context.pair
    steps = (Step(2, Resources(500, 10, 0), 900),)
    rows = tuple(step_row(step) for step in steps)
    record = OpenJob(QUEUE.name, QUEUE.upstream, "{}", OWNER, 1, 0, rows)
    now_ms = pair.timers.now_ms()
    job = build_job(JOB, record, 1, now_ms, durable=True, policy=queue_policy(QUEUE))
    pair.dispatch.add_job(job, pair.timers.now_ms())
    context.keys = pair.start_all()


@when(
    "its stream ends, one task is done, the runner is replaced, and the same owner joins again "
    "{times}"
)
def done_and_replaced(context, times):
    pair = context.pair
    pair.part()
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    pair.replace_runner()
    if times == "twice":
        pair.timers.time_ms += 200
        pair.join()
        pair.part()
    rejoin(context, 200)
    context.started = context.ordered
    context.ordered = [
        order for order in context.ordered if context.keys[0].task in tasks_of(order)
    ]


def tasks_of(order):
    return [order.key_of(row).task for row in order.runs]


@then("the other task is started at the next runner at once")
def other_started(context):
    placed = {task: order.runner_id for order in context.started for task in tasks_of(order)}
    assert placed == {context.keys[1].task: "i-2"}, placed


@when(
    "its stream ends, the order and the runner are lost, and the same owner joins again "
    "{time_ms:d} ms later"
)
def order_and_runner_lost(context, time_ms):
    pair = context.pair
    pair.dispatch.placer.place_waiting(pair.timers.now_ms())
    pair.part()
    pair.replace_runner()
    rejoin(context, time_ms)


@then('the owner\'s log tells that the tasks wait again: "{reason}"')
def released_for(context, reason):
    released = context.pair.effects.noted("task_released")
    assert [one["reason"] for one in released] == [reason] * 2, released


@when(
    "one task is done while its stream is down, which comes up and fails, again and again for "
    "{time_ms:d} ms"
)
def fails_repeatedly(context, time_ms):
    """Each stream fails when the owner has read the agent's greeting only."""
    pair = context.pair
    pair.part()
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    for _ in range(0, time_ms, 1_000):
        pair.timers.time_ms += 1_000
        pair.dispatch.expire_silent(pair.timers.now_ms())
        pair.join()
        pair.part()
    rejoin(context, 200)


@when("one task is done, the owner echoes a later heartbeat, and its stream is replaced")
def received(context):
    pair = context.pair
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    context.told = pair.drain_sent()
    pair.deliver(context.told)
    pair.timers.time_ms += orders.BEAT_INTERVAL_MS
    pair.echo()
    pair.part()
    pair.timers.time_ms += 200
    pair.join()
    context.told += pair.drain_sent()


@then("the agent reports that end once in all")
def reported_once(context):
    name = context.keys[0].task.text
    rows = [
        row
        for message in context.told
        for row in (*getattr(message, "events", ()), *getattr(message, "runs", ()))
        if row.task == name and row.detail == RunEnd.DONE.value
    ]
    assert len(rows) == 1, rows


@when("all tasks are done while its stream is down, and the agent is to serve other entries")
def not_chosen(context):
    pair = context.pair
    pair.part()
    for key in context.keys:
        context.runner.end(key, RunEnd.DONE)
    pair.poll()
    pair.link.last_chosen_ms = pair.timers.now_ms() - UNNEEDED_KEPT_MS - 1


@then("the agent keeps to the entry for as long as that counts on its runs, and leaves it then")
def kept_until_expired(context):
    agent, timers = context.agent, context.pair.timers
    agent.links.update_links()
    assert not context.link.leaving
    timers.time_ms += SILENCE_LIMIT_MS
    agent.outcomes.expire()
    agent.links.update_links()
    assert not context.link.leaving
    timers.time_ms += 1
    agent.outcomes.expire()
    agent.links.update_links()
    assert context.link.leaving


@when("{faults}, and the agent restarts before the same owner joins again")
def agent_restarts(context, faults):
    pair = context.pair
    if "stream ends" in faults:
        pair.part()
    elif "silent" in faults:
        pair.timers.time_ms += 400
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    pair.poll()
    pair.part()
    for _ in range(2 if "twice" in faults else 1):
        pair.timers.time_ms += 400
        pair.restart_agent()
        pair.poll()
    rejoin(context, 200)


@when("one task is done, its report is lost, the agent restarts, and the owner joins renamed")
def restarts_and_renamed(context):
    pair = context.pair
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    pair.poll()
    pair.part()
    pair.timers.time_ms += 400
    pair.restart_agent()
    pair.timers.time_ms += 200
    pair.join(RENAMED, (OWNER,))
    pair.deliver_to_owner()
    context.ordered = pair.deliver_to_agent()


@then("the runner may forget that end")
def may_forget(context):
    context.pair.poll()
    assert context.keys[0] not in [one.run for one in context.runner.ended], context.runner.ended


@when("one task is done, {time_ms:d} ms after the owner's last echo")
def done_after_echo(context, time_ms):
    pair = context.pair
    pair.echo()
    pair.timers.time_ms += time_ms
    context.runner.end(context.keys[0], RunEnd.DONE)
    pair.poll()
    pair.deliver_to_owner()


@when("the owner confirms it with a receipt")
def confirmed_by_receipt(context):
    pair = context.pair
    assert pair.view.received
    pair.agent.orders.take(pair.link, orders.OutcomesReceived(pair.view.received))


@when("the owner confirms it with a start order")
def confirmed_by_order(context):
    pair = context.pair
    steps = (Step(1, Resources(500, 10, 0), 900),)
    caller = Caller(asyncio.Future(loop=asyncio.new_event_loop()), pair.timers.now_ms())
    pair.callers._begin(OTHER_JOB, QUEUE, "{}", steps, caller)
    (order,) = pair.deliver_to_agent()
    assert order.received == pair.view.received == pair.view.confirmed


@when("one task is done and received, and the agent restarts before the receipt is sent")
def restarted_before_receipt(context):
    pair = context.pair
    scheduled = []
    with patch.object(pair.timers, "call_after", lambda *plan: scheduled.append(plan)):
        receipts = ReceiptSender(pair.dispatch.fleet, pair.effects.send, pair.timers)
        context.runner.end(context.keys[0], RunEnd.DONE)
        pair.poll()
        pair.deliver_to_owner()
        receipts.schedule(pair.view.agent)
    pair.part()
    pair.restart_agent()
    rejoin(context, 200)
    ((_, send_due),) = scheduled
    send_due()


@then("the owner confirms nothing on the next stream")
def nothing_confirmed(context):
    pair = context.pair
    assert (pair.view.received, pair.view.confirmed) == (0, 0), pair.view
    assert not any(isinstance(one, orders.OutcomesReceived) for one in pair.effects.sent)
    assert all(order.received == 0 for order in context.ordered), context.ordered


@when("{count:d} tasks of a waiting caller are done there, and the owner is silent")
def many_done(context, count):
    """End the tasks in ten polls."""
    pair = context.pair
    ledger = context.controller.ledger
    context.lines = []
    context.controller._log = SimpleNamespace(
        write=lambda event, **fields: context.lines.append((event, fields))
    )
    for number in range(count):
        key = RunKey(TaskName(JOB, 0, 0, number), 1)
        ledger.begin(Run(key, OWNER, 1, Resources(1, 1, 0), 0, pair.timers.now_ms(), durable=False))
        context.runner.end(key, RunEnd.DONE)
        if number % (count // 10) == 0:
            pair.poll()
    pair.poll()
    pair.poll()


@then("the runner keeps {kept:d} ends, and the agent's log names the other {count:d}")
def some_kept(context, kept, count):
    assert len(context.runner.ended) == kept, len(context.runner.ended)
    named = [fields["task"] for event, fields in context.lines if event == "end_not_withheld"]
    oldest = [TaskName(JOB, 0, 0, number).text for number in range(count)]
    assert named == oldest, named


@then("the runner is told to forget that end at the next poll")
def forgotten_at_once(context):
    assert context.runner.ended
    context.pair.poll()
    assert not context.runner.ended, context.runner.ended


@when("{count:d} polls later the owner echoes a later heartbeat")
def echoed_later(context, count):
    pair = context.pair
    for _ in range(count):
        pair.timers.time_ms += 20
        pair.poll()
    context.kept = list(context.runner.ended)
    pair.echo()
    pair.poll()


@then("the runner was told to forget that end at the next poll only")
def forgotten_once_received(context):
    assert [one.run for one in context.kept] == [context.keys[0]], context.kept
    assert not context.runner.ended, context.runner.ended


@when("one task is done while its stream is down, and no stream follows")
def no_stream_follows(context):
    pair = context.pair
    pair.part()
    context.runner.end(context.keys[0], RunEnd.DONE)
    began_ms = pair.timers.now_ms()
    while context.runner.ended:
        pair.poll()
        pair.timers.time_ms += 50
        context.agent.outcomes.expire()
    context.kept_ms = pair.timers.now_ms() - began_ms


@then("the runner was told to forget that end {time_ms:d} ms later")
def forgotten_after(context, time_ms):
    assert time_ms <= context.kept_ms <= time_ms + 100, context.kept_ms


@when("all tasks are done while its stream is down")
def all_done_unheard(context):
    pair = context.pair
    pair.part()
    for key in context.keys:
        context.runner.end(key, RunEnd.DONE)
    pair.poll()
    del context.runner.renewals[:]
    for _ in range(5):
        pair.timers.time_ms += 20
        pair.poll()


@then("no poll has renewed the lease since")
def not_renewed(context):
    assert context.runner.ended
    assert not any(context.runner.renewals), context.runner.renewals


@when(
    "its start is reported on a stream that fails, and the same owner joins again {time_ms:d} ms "
    "later"
)
def start_report_lost(context, time_ms):
    pair = context.pair
    keys = [order.key_of(row) for order in pair.deliver_to_agent() for row in order.runs]
    for run in context.runs:
        run.calling = False
    context.runner.running = tuple(RunningTask(key, 5) for key in keys)
    pair.poll()
    pair.part()
    rejoin(context, time_ms)


@then("its tasks count as started, and its job as begun")
def counts_as_started(context):
    job = context.pair.dispatch.jobs[JOB]
    assert {task.phase for task in job.tasks} == {TaskPhase.RUNNING}, job.tasks
    assert job.begun


# With real processes.


@given("a system with one entry and one agent, and a proxy between them")
def proxied_system(context):
    context.proxies = Proxies()
    context.system = PlatformSystem(1, 1, stream_ports=context.proxies.add_stream).__enter__()


@when(
    "the stream is cut while {tasks:d} tasks of a caller are at work, and once they are done "
    "{fault}"
)
def cut_while_at_work(context, tasks, fault):
    """Play the fault; a failure counts unless the agent or the entry was not run for so long."""
    play = partial(play_cut, context, tasks, fault)
    play_until_run(context.system, PROCESSES, CUT_SLACK, play, MAX_PLAYS)


def play_cut(context, tasks, fault, number):
    context.job = f"{number:016x}"
    system, (proxy,) = context.system, context.proxies.streams
    asking = threading.Thread(target=submit_waiting, args=(context, tasks))
    asking.start()
    wait_for(lambda: count_rows(context, "started") == tasks, "all tasks are at work")
    time.sleep(CUT_AFTER_S)
    proxy.mode = SILENT
    proxy.reset()
    cut_s = time.monotonic()
    wait_for(lambda: count_rows(context, *ENDS) == tasks, "all runs have ended")
    time.sleep(POLLED_S)
    victims = {"the runner is replaced": system.runners, "the agent is killed": system.agents}
    for process in victims.get(fault, ()):
        process.kill()
        process.start()
    time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    proxy.mode = PASS
    asking.join()
    started_once(context)


@when(
    "the link falls silent 60 ms before {tasks:d} tasks of a caller end, and after their ends "
    "{fault}"
)
def silent_before_ends(context, tasks, fault):
    """Play the fault; a failure counts unless the agent or the entry was not run for so long."""
    play = partial(play_silent, context, tasks, fault)
    play_until_run(context.system, PROCESSES, SILENT_SLACK, play, MAX_PLAYS)


def play_silent(context, tasks, fault, number):
    """Hold all that the link carries, and lose it when the link comes back."""
    (agent,), (proxy,) = context.system.agents, context.proxies.streams
    context.job = f"{number:016x}"
    asking = threading.Thread(target=submit_waiting, args=(context, tasks))
    asking.start()
    wait_for(lambda: count_rows(context, "started") == tasks, "all tasks are at work")
    time.sleep(RUN_MS / MS_PER_S - SILENT_BEFORE_S)
    proxy.mode = SILENT
    silent_s = time.monotonic()
    wait_for(lambda: count_rows(context, *ENDS) == tasks, "all runs have ended")
    ended_s = time.monotonic()
    for delay_ms in map(int, re.findall("([0-9]+) ms", fault)):
        time.sleep(max(0.0, ended_s + delay_ms / MS_PER_S - time.monotonic()))
        if "terminated" in fault:
            agent.signal(signal.SIGTERM)
            agent.wait()
        else:
            agent.kill()
        agent.start()
    time.sleep(max(0.0, silent_s + SILENT_S - time.monotonic()))
    proxy.reset()
    proxy.mode = PASS
    asking.join()
    started_once(context)


def submit_waiting(context, tasks):
    steps = [{"count": tasks, "cpu": 500, "mem_mb": 10, "estimate_ms": RUN_MS}]
    context.answer = context.system.submit(context.job, steps, run_ms=RUN_MS, waits=True)


def rows_of_job(context):
    """Return what the runner's incarnations have recorded of the job, killed ones included."""
    lines = (context.system.folder / "runner-0.history").read_text().splitlines()
    rows = [json.loads(line) for line in lines if line.endswith("}")]
    return [row for row in rows if row["task"].startswith(context.job)]


def count_rows(context, *kinds):
    if not (context.system.folder / "runner-0.history").exists():
        return 0
    return sum(row["how"] in kinds for row in rows_of_job(context))


@then("each task has been started once, and the caller has its answer")
def started_once(context):
    starts = Counter(row["task"] for row in rows_of_job(context) if row["how"] == "started")
    assert set(starts.values()) == {1}, (starts, context.system.folder)
    assert context.answer == (200, {"state": "succeeded"}), context.answer
