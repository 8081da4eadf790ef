"""Steps on entries that the store rejects while it serves others, with real processes."""

import re
import time

from behave import given, then, when
from local_system import wait_for
from platform_system import PlatformSystem
from proxy import PASS
from soak_callers import SubmittedJob
from soak_checks import check_runs
from soak_faults import Proxies

TASK_CPU_MILLI = 2_000


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
