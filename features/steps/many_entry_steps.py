"""Steps on entries that the store rejects while it serves others, with real processes."""

import re
import time

from behave import given, then, when
from local_system import wait_for
from platform_system import PlatformSystem
from proxy import PASS
from soak_callers import SubmittedJob
from soak_checks import CANCEL_MS, STOP_MS, check_runs, find_uncancelled
from soak_faults import Proxies

TASK_CPU_MILLI = 2_000
CANCEL_TRIES = 20
RETRY_S = 0.2
SLACK_MS = 250  # for a busy machine


@given("a platform of {entries:d} entries and {agents:d} agents with proxies before the store")
def start_platform(context, entries, agents):
    context.proxies = proxies = Proxies()
    context.system = PlatformSystem(entries, agents, store_ports=proxies.add_store).__enter__()


@given("{jobs:d} stored jobs of 2 steps of {tasks:d} tasks of {run_ms:d} ms at {owners}")
def submit_jobs(context, jobs, tasks, run_ms, owners):
    context.owners = [int(number) for number in re.findall(r"\d+", owners)]
    step = {"count": tasks, "cpu": TASK_CPU_MILLI}
    context.jobs = [f"{0xA0 + number:016x}" for number in range(jobs)]
    for number, job in enumerate(context.jobs):
        entry = context.owners[number % len(context.owners)]
        steps = [step, {**step, "after": [0]}]
        status, _ = context.system.submit(job, steps, entry=entry, run_ms=run_ms)
        assert status == 200, status


@when("the store rejects {rejected} for {seconds:d} s, by {answer}")
def reject(context, rejected, seconds, answer):
    entries = len(context.system.entries)
    stores = [context.proxies.stores[number] for number in context.owners]
    if "agent" in rejected:
        stores += context.proxies.stores[entries::2]
    for proxy in stores:
        proxy.mode = answer
    time.sleep(seconds)
    for proxy in stores:
        proxy.mode = PASS


@then('these jobs become "{state}" at all entries')
def all_become(context, state):
    system = context.system
    for job in context.jobs:
        for entry in range(len(system.entries)):
            wait_for(lambda: system.state(job, entry) == state, f"{job} at entry {entry}", 20)  # noqa: B023


@then("no task was started after an end of it that counts")
def none_twice(context):
    jobs = [SubmittedJob(job, True, [200]) for job in context.jobs]
    violations = check_runs(context.system.histories(), jobs, {})
    assert not violations, (violations, context.system.folder)


@when("each job is cancelled at entry {first:d}{lost}, and again at entry {again:d} if need be")
@when("each job is cancelled at entry {first:d}, and again at entry {again:d} if need be")
def cancel_all(context, first, again, lost=""):
    context.cancelled_ns = {}
    for job in context.jobs:
        if lost:
            context.system.set_store_fault(mode="lost", table="ended", count=1)
        for number in range(CANCEL_TRIES):
            entry = again if number else first
            status, _ = context.system.caller("DELETE", f"/flags/{job}", entry=entry)
            if status == 200:
                break
            assert lost and number < CANCEL_TRIES - 1, status
            time.sleep(RETRY_S)
        context.cancelled_ns[job] = time.monotonic_ns()


@then("after the time for that no task of these jobs starts or is at work")
def none_at_work(context):
    limit_ms = CANCEL_MS + STOP_MS + SLACK_MS
    left_ns = max(context.cancelled_ns.values()) + (limit_ms + 500) * 10**6 - time.monotonic_ns()
    time.sleep(left_ns / 10**9)
    found = find_uncancelled(context.system.histories(), context.cancelled_ns, {}, limit_ms)
    assert not found, (found, context.system.folder)
