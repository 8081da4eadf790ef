"""Steps on an entry that loses its lease and goes on under another name, with real processes."""

import threading
from functools import partial

from behave import given, then, when
from local_system import wait_for
from platform_core_steps import BOUNDS
from platform_system import PlatformSystem
from play_verdicts import Slack, play_until_run
from proxy import DELAY, PASS, SILENT
from soak_faults import Proxies

from gapdrum.agent.entry_links import RETRY_INTERVAL_MS
from gapdrum.core import orders

ENDED = ("entry-1", "lease_ended")
LOST = ("entry-0", "lease_lost")
PROCESSES = ("agent-0", "entry-0", "entry-1")
MAX_PLAYS = 3
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
    context.delay_ms = delay_ms
    if delay_ms:
        context.stream_proxy.delay_s = delay_ms / MS_PER_S
        context.stream_proxy.mode = DELAY


@when(
    "a caller waits there for a job, the entry is cut off until its lease is ended, and its "
    "streams are reset as it returns"
)
def cut_off(context):
    """Play the fault; a failure counts unless the agent or an entry was not run for so long."""
    play = partial(play_cut_off, context)
    play_until_run(context.system, PROCESSES, slack_of(context), play, MAX_PLAYS)


def slack_of(context):
    """Return how long a process may wait at the worst moment (RUN-BOUNDS.md); none starts."""
    claim_ms = orders.BEAT_INTERVAL_MS + RETRY_INTERVAL_MS + 8 * context.delay_ms
    return Slack(BOUNDS.grant_ms(durable=False) - claim_ms, 0)


def play_cut_off(context, number):
    system = context.system
    context.job = f"{number:016x}"
    ended, lost = (len(system.events(*event)) for event in (ENDED, LOST))
    asking = threading.Thread(target=submit_waiting, args=(context,))
    asking.start()
    wait_for(lambda: len(starts(context)) == TASKS, "all tasks are at work")
    context.store_proxy.mode = SILENT
    context.store_proxy.reset()
    wait_for(lambda: len(system.events(*ENDED)) > ended, "its lease is ended")
    context.store_proxy.mode = PASS
    wait_for(lambda: len(system.events(*LOST)) > lost, "it has another name")
    context.stream_proxy.reset()
    asking.join()
    not_stopped(context)


def submit_waiting(context):
    steps = [{"count": TASKS, "cpu": 500, "mem_mb": 10, "estimate_ms": RUN_MS}]
    context.answer = context.system.submit(context.job, steps, run_ms=RUN_MS, waits=True)


def starts(context):
    rows = context.system.history()
    return [row for row in rows if row["how"] == "started" and row["task"].startswith(context.job)]


@then("no run has been stopped, and the caller has its answer")
def not_stopped(context):
    system = context.system
    stopped = [
        line
        for event in ("run_stopped_for_owner", "run_stopped_for_silence")
        for line in system.events("agent-0", event)
        if line["request"] == context.job
    ]
    assert not stopped, (stopped, system.folder)
    assert len(starts(context)) == TASKS, (starts(context), system.folder)
    assert context.answer == (200, {"state": "succeeded"}), context.answer
