"""Steps on an entry that loses its lease and goes on under another name, with real processes."""

import threading

from behave import given, then, when
from local_system import wait_for
from platform_system import PlatformSystem
from proxy import DELAY, PASS, SILENT
from soak_faults import Proxies

JOB = "00000000000000c1"
TASKS = 4
RUN_MS = 10_000
MS_PER_S = 1_000


@given(
    "two entries and one agent, with proxies that delay what the first entry exchanges by "
    "{delay_ms:d} ms"
)
def delayed_system(context, delay_ms):
    context.proxies = proxies = Proxies()
    context.system = PlatformSystem(
        2, 1, store_ports=proxies.add, stream_ports=proxies.add_stream
    ).__enter__()
    context.store_proxy, context.stream_proxy = proxies.all[0], proxies.streams[0]
    if delay_ms:
        context.stream_proxy.delay_s = delay_ms / MS_PER_S
        context.stream_proxy.mode = DELAY


@given("a job of a caller that waits at the first entry")
def waiting_job(context):
    context.asking = threading.Thread(target=submit_waiting, args=(context,))
    context.asking.start()
    wait_for(lambda: len(starts(context)) == TASKS, "all tasks are at work")


def submit_waiting(context):
    steps = [{"count": TASKS, "cpu": 500, "mem_mb": 10, "estimate_ms": RUN_MS}]
    context.answer = context.system.submit(JOB, steps, run_ms=RUN_MS, waits=True)


def starts(context):
    return [row for row in context.system.history() if row["how"] == "started"]


@when("that entry is cut off until its lease is ended, and its streams are reset as it returns")
def cut_off(context):
    system = context.system
    context.store_proxy.mode = SILENT
    context.store_proxy.reset()
    wait_for(lambda: system.events("entry-1", "lease_ended"), "its lease is ended")
    context.store_proxy.mode = PASS
    wait_for(lambda: system.events("entry-0", "lease_lost"), "it has another name")
    context.stream_proxy.reset()
    context.asking.join()


@then("no run has been stopped, and the caller has its answer")
def not_stopped(context):
    system = context.system
    stopped = [
        line
        for event in ("run_stopped_for_owner", "run_stopped_for_silence")
        for line in system.events("agent-0", event)
    ]
    assert not stopped, (stopped, system.folder)
    assert len(starts(context)) == TASKS, (starts(context), system.folder)
    assert context.answer == (200, {"state": "succeeded"}), context.answer
