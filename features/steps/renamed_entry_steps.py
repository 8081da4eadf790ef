"""Steps on an entry that loses its lease and goes on under another name, with real processes."""

import threading

from behave import given, then, when
from local_system import wait_for
from platform_system import PlatformSystem
from proxy import DELAY, PASS, SILENT
from soak_faults import Proxies

ENDED = ("entry-1", "lease_ended")
LOST = ("entry-0", "lease_lost")
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
    if delay_ms:
        context.stream_proxy.delay_s = delay_ms / MS_PER_S
        context.stream_proxy.mode = DELAY


@when(
    "a caller waits there for a job, the entry is cut off until its lease is ended, and its "
    "streams are reset as it returns"
)
def cut_off(context):
    """Play the fault until the agent has not stood still meanwhile.

    Runs lapse, or their owner's grant ends, if a busy machine does not run it for so long.
    """
    system = context.system
    for number in range(MAX_PLAYS):
        context.job = f"{number + 1:016x}"
        given_up = count_given_up(system)
        play_cut_off(context)
        if count_given_up(system) == given_up and not lapsed_before(context):
            return
    raise AssertionError(f"the agent stood still in each of {MAX_PLAYS} plays")


def count_given_up(system):
    """Return how often an entry has given the agent up, as it was silent for over 2,150 ms."""
    return sum(len(system.events(entry, "agent_lost")) for entry in ("entry-0", "entry-1"))


def play_cut_off(context):
    system = context.system
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


def submit_waiting(context):
    steps = [{"count": TASKS, "cpu": 500, "mem_mb": 10, "estimate_ms": RUN_MS}]
    context.answer = context.system.submit(context.job, steps, run_ms=RUN_MS, waits=True)


def starts(context):
    rows = context.system.history()
    return [row for row in rows if row["how"] == "started" and row["task"].startswith(context.job)]


def lapsed_before(context):
    """Tell whether a run of the job has lapsed before the entry returned under another name."""
    returned_ms = context.system.events(*LOST)[-1]["t_ms"]
    return any(
        line["request"] == context.job and line["end"] == "lapsed" and line["t_ms"] < returned_ms
        for line in context.system.events("agent-0", "run_cut_short")
    )


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
