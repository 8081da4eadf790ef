"""Steps on callers that submit a job again after their connection broke."""

import asyncio
import signal
import time
from unittest.mock import patch

from behave import given, then, when
from core_model import ManualTimers
from local_system import READY_TIMEOUT_S
from platform_core_steps import JOB, OWNER, RUN, TASK, FakeStore, new_lease
from platform_steps import steps_of
from platform_system import RESUBMIT_MS
from urllib3.exceptions import NewConnectionError

from gapdrum.agent.entry_links import EntryLink
from gapdrum.agent.program import Agent
from gapdrum.agent.run_launcher import START_EXPIRY_MS
from gapdrum.agent.runner_controller import POLL_WAIT_MS, RunnerController
from gapdrum.core import orders
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources
from gapdrum.core.orders import BEAT_INTERVAL_MS
from gapdrum.core.records import EntryAddress
from gapdrum.core.run_bounds import RESTART_ALLOWANCE_MS
from gapdrum.core.runner_models import RunnerSnapshot, RunningTask
from gapdrum.event_log import EventLog
from gapdrum.platform.boot import BootSettings, StoreLimits
from gapdrum.timers import Timers
from gapdrum.transport.http_client import NoReplyError

TASKS, RUN_MS = 8, 4_000
ADDRESS = EntryAddress("life", "plaine-nord", "127.0.0.1", 1)
RENEWED_LEFT_MS = 700
RENEWAL_LIMIT_S = 3
REFUSED_PAUSE_S = 0.005


def lease_left_ms(system):
    """Return the least remaining time of the leases at all runners."""
    return min(system.call(runner.port, "GET", "/lease")[1]["left_ms"] for runner in system.runners)


@when(
    "all entries and agents are killed just after a renewal, and start again after "
    "{entry_pause_ms:d} ms and {agent_pause_ms:d} ms"
)
def kill_all(context, entry_pause_ms, agent_pause_ms):
    system = context.system
    limit_s = time.monotonic() + RENEWAL_LIMIT_S
    while lease_left_ms(system) < RENEWED_LEFT_MS:
        assert time.monotonic() < limit_s, "the agents renew at different times"
    context.broken_s = time.monotonic()
    for process in [*system.entries, *system.agents]:
        process.popen.kill()
    for processes, pause_ms in ((system.entries, entry_pause_ms), (system.agents, agent_pause_ms)):
        wait_until(context.broken_s + pause_ms / 1_000)
        for process in processes:
            process.kill()
            process.start()


@when("entry 0 is paused, and the caller's connection breaks")
def pause_entry(context):
    context.broken_s = time.monotonic()
    context.system.entries[0].signal(signal.SIGSTOP)


@when("the caller submits the job again at entry 1, as soon as it may")
def submit_again(context):
    job = context.submitted
    wait_until(context.broken_s + RESUBMIT_MS / 1_000)
    limit_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            context.answer = context.system.submit(
                job, steps_of(TASKS), entry=1, run_ms=RUN_MS, waits=True
            )
        except NewConnectionError:
            # On a busy machine an entry may start later than the pause; the job was not sent.
            assert time.monotonic() < limit_s, "entry 1 takes no connections"
            time.sleep(REFUSED_PAUSE_S)
        else:
            return


def wait_until(time_s):
    time.sleep(max(0.0, time_s - time.monotonic()))


# Without processes: an owner that receives events of earlier submissions.


@when(
    'an agent reports that attempt 1 of an earlier submission, at another runner, ended as "{end}"'
)
def report_earlier_end(context, end):
    report_earlier(context, orders.ENDED, end)


@when("an agent reports that attempt 1 of an earlier submission, at another runner, was lost")
def report_earlier_loss(context):
    report_earlier(context, orders.LOST, orders.RUNNER_GONE)


def report_earlier(context, kind, detail):
    event = orders.RunEvent(TASK.text, 1, 1, kind, detail, 1)
    message = orders.RunEvents("i-earlier", (event,))
    context.dispatch.apply_events(context.view, message, context.now_ms)


# Without processes: an agent with one runner, in manual time.


class LeasedRunner:
    """Answers polls and records the end of each renewal; its clock is the agent's."""

    def __init__(self, timers, running=()):
        self.read_clock = timers.now_ms
        self.running = running
        self.renewals = []

    async def poll(self, until_ms, _seen, _fence, _wait_ms, _timeout_ms):
        self.renewals.append(until_ms)
        return RunnerSnapshot(self.read_clock(), self.running, ())


class FakeStream:
    """Records the messages that were sent."""

    def __init__(self):
        self.sent = []
        self.send = self.sent.append

    def close(self):
        """Do nothing."""


def new_agent(context, running=()):
    """Build a whole agent that is not started, with one runner and an entry that has joined."""
    context.timers = timers = ManualTimers()
    store = Endpoint("127.0.0.1", 1)
    boot = BootSettings(
        instance="side-1", zone="plaine-nord", host="127.0.0.1", streams_port=1, store=store,
        store_limits=StoreLimits(800, 2_000, 65_536), run_lease_ms=1_000,
        resubmit_ms=RESUBMIT_MS, shutdown_grace_ms=6_000,
        callers=None, readiness=None, heartbeat_address=None, runner=None, machine_list=None,
    )  # fmt: skip
    context.agent = Agent(boot, timers, EventLog("side-1", timers))
    context.runs, context.stops = [], []
    add_controller(context, "i-1", LeasedRunner(timers, running))
    context.agent.links._links["entry-1"] = context.link = EntryLink("entry-1", ADDRESS)


def add_controller(context, runner_id, runner):
    """Let the agent find a runner; the calls to it are answered by ``runner``."""
    agent = context.agent
    context.controller = controller = RunnerController(
        runner_id, agent.boot.store, agent.grants, agent.boot.run_lease_ms, agent.timers, agent.log,
        agent.notifier.report, agent.notifier.broadcast_holdings,
    )  # fmt: skip
    controller.ledger.capacity = Resources(4_000, 100, 0)
    controller._context.calls = context.runner = runner
    controller.starts._call_start = lambda run, _spec, _ends_ms: context.runs.append(run)
    controller.starts._send_stop = lambda key, now_ms: context.stops.append(now_ms)
    agent.controllers[runner_id] = controller


def join(context):
    """Connect the entry, and answer the greeting as an entry does."""
    context.link.stream = FakeStream()
    context.agent.links._greeted(context.link, OWNER)


def echo(context):
    """Have the owner echo the agent's present clock."""
    message = orders.BeatEcho(context.timers.now_ms(), True, False)
    context.agent.orders.take(context.link, message)


def step(context):
    """Run the controller from one poll to the next."""
    asyncio.run(context.controller._step())


@given("a controller of a runner that holds a run of an earlier incarnation of the agent")
def controller_after_restart(context):
    new_agent(context, (RunningTask(RUN, 5),))


@when("it polls twice")
def poll_twice(context):
    for _ in range(3):  # the first call only reads the runner's clock
        step(context)


@when("it polls once")
def poll_once(context):
    step(context)


@when("an entry joins, echoes the greeting's clock and claims the run")
def entry_claims(context):
    join(context)
    echo(context)
    claim(context)


def claim(context):
    row = orders.AdoptedRun(TASK.text, 1, 1, False, 500, 10, 0)
    context.agent.orders.take(context.link, orders.AdoptRuns("i-1", (row,)))


@then("that poll has renewed the lease by {time_ms:d} ms")
def renewed_by(context, time_ms):
    assert context.runner.renewals[-1] - context.timers.now_ms() == time_ms


@then("no poll has renewed the lease")
def nothing_renewed(context):
    assert not any(context.runner.renewals), context.runner.renewals


@given("a run for a waiting caller, whose owner has just been heard")
def run_for_caller(context):
    new_agent(context)
    join(context)
    step(context)
    step(context)
    row = orders.OrderedRun(0, 0, 1, 500, 10, 0, 100)
    order = orders.StartOrder("i-1", JOB, 1, "{}", context.timers.now_ms(), False, (row,))
    context.agent.orders.take(context.link, order)
    (run,) = context.runs
    run.calling = False
    context.controller.ledger.mark_started(run, context.timers.now_ms())
    context.runner.running = (RunningTask(RUN, 5),)
    context.since_ms = context.timers.now_ms()


def let_time_pass(context, time_ms):
    """Have the owner echo each heartbeat, and the controller poll; the run stays at work."""
    for _ in range(0, time_ms, POLL_WAIT_MS):
        context.timers.time_ms += POLL_WAIT_MS
        echo(context)
        step(context)


def replace_stream(context):
    context.agent.links._end_stream(context.link)
    context.timers.time_ms += 200
    join(context)


@when("its stream ends, and the same owner joins again 200 ms later and echoes on")
def stream_replaced(context):
    replace_stream(context)
    let_time_pass(context, 2_000)


@when("its stream ends, and the same owner joins again 200 ms later, claims it and echoes on")
def stream_replaced_and_claimed(context):
    replace_stream(context)
    claim(context)
    let_time_pass(context, 2_000)


@when("its entry loses its lease, and greets with the name of a new incarnation on the same stream")
def entry_renamed(context):
    context.timers.time_ms += BEAT_INTERVAL_MS + RESTART_ALLOWANCE_MS
    echo(context)
    context.agent.links._greeted(context.link, "entry-1/next-life")


@then("the run has not been stopped")
def not_stopped(context):
    assert not context.stops, context.stops
    last_ms = max(context.runner.renewals)
    assert last_ms > context.timers.now_ms(), (last_ms, context.timers.now_ms())


@when("its owner stops it, the runner leaves that unanswered, and the owner echoes on")
def stop_unanswered(context):
    named = orders.NamedRun(TASK.text, 1)
    context.agent.orders.take(context.link, orders.StopOrder("i-1", (named,)))
    let_time_pass(context, 2_000)


@when("its start is left unanswered, and its owner stops it")
def stop_unanswered_start(context):
    (run,) = context.runs
    run.phase, run.calling = orders.HELD_STARTING, True
    context.runner.starts = 0
    stop = orders.StopOrder("i-1", (orders.NamedRun(TASK.text, 1),))

    async def leave_unanswered(*_arguments):
        context.runner.starts += 1
        context.agent.orders.take(context.link, stop)
        raise NoReplyError("lost")

    context.runner.start = leave_unanswered
    ends_ms = context.timers.now_ms() + START_EXPIRY_MS
    asyncio.run(asyncio.wait_for(context.controller.starts._start(run, "{}", ends_ms), 1.0))


@then("its start was called once")
def called_once(context):
    assert context.runner.starts == 1, context.runner.starts


@then("the run is over {time_ms:d} ms after its owner's last echo on the earlier stream")
@then("the run is over {time_ms:d} ms after its stop")
def over_in_time(context, time_ms):
    last_ms = max(context.runner.renewals)
    assert last_ms - context.since_ms <= time_ms, (last_ms, context.since_ms)


# Instances that are suspended.


@when("the agent is suspended for {time_ms:d} ms and then polls once")
def suspended(context, time_ms):
    context.timers.suspend(time_ms)
    context.runner.renewals.clear()
    step(context)


@then("the run has been stopped, and not been renewed since the agent resumed")
def stopped_on_resume(context):
    assert context.stops == [context.timers.now_ms()], context.stops
    assert not any(context.runner.renewals), context.runner.renewals


@when("agent and runner are suspended for {time_ms:d} ms, and then the owner claims the run")
def both_suspended(context, time_ms):
    context.runner.read_clock = context.timers.monotonic_ms
    context.timers.suspend(time_ms)
    replace_stream(context)
    echo(context)
    claim(context)


@then("that poll has renewed the lease by at most {time_ms:d} ms on the runner's clock")
def renewed_by_at_most(context, time_ms):
    assert 0 < context.runner.renewals[-1] - context.timers.monotonic_ms() <= time_ms


@given("an entry that holds its lease")
def entry_with_lease(context):
    context.timers = ManualTimers()
    context.lease = new_lease(FakeStore(), context.timers, "entry-1")
    asyncio.run(context.lease.keep())
    assert context.lease.valid


@when("its instance is suspended for {time_ms:d} ms")
def instance_suspended(context, time_ms):
    context.timers.suspend(time_ms)


@then("it does not act for its jobs")
def does_not_act(context):
    assert not context.lease.valid


@then("one clock of a process counts suspended time, the other does not")
def clocks_count(_context):
    with (
        patch("time.clock_gettime_ns", {time.CLOCK_BOOTTIME: 7_000_000_000}.get),
        patch("time.monotonic_ns", lambda: 5_000_000_000),
    ):
        assert (Timers.now_ms(), Timers.monotonic_ms()) == (7_000, 5_000)
