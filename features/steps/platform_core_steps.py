"""Steps on the decisions of entries and agents, without processes and on a manual clock."""

import ast
import asyncio
import random
from collections import Counter
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from core_model import ManualTimers
from local_system import HOST, find_port

from gapdrum.agent.entry_links import EntryLink
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.lease_bound import LeaseBound
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.agent.outcome_reporter import OutcomeReporter
from gapdrum.agent.run_launcher import RunLauncher
from gapdrum.agent.runner_context import RunnerContext
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.background import Background
from gapdrum.codec import Decoder
from gapdrum.core import orders
from gapdrum.core.backlog import Backlog
from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.jobs import Place, TaskPhase, build_job
from gapdrum.core.models import Resources, RunEnd, RunKey, Step, TaskName
from gapdrum.core.placement_rules import build_pool, choose_runner, waiting_order
from gapdrum.core.placer import TRY_INTERVAL_MS
from gapdrum.core.records import EntryAddress, JobPolicy, OpenJob, step_row
from gapdrum.core.room_offers import OFFER_MS
from gapdrum.core.rows import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    Page,
    Put,
    Row,
    RowKey,
    Transaction,
)
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS, RunBounds
from gapdrum.core.runner_health import RunnerHealth
from gapdrum.core.runner_ledger import UNKNOWN_OWNER, ListedEnd, Run, RunnerLedger
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask
from gapdrum.core.runner_views import AgentView, RunnerView
from gapdrum.entry.acceptance import Acceptance, Acceptor
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.lease import Lease
from gapdrum.event_log import EventLog
from gapdrum.events import KINDS
from gapdrum.exceptions import GapdrumError, StoreOutcomeUnknownError, StoreRejectedError
from gapdrum.platform.rows import RowStore
from gapdrum.platform.runner_calls import RunnerCalls, RunnerRejectedError
from gapdrum.streams import Stream
from gapdrum.timers import Timers
from gapdrum.transport.http_client import NoReplyError
from gapdrum.transport.http_messages import HttpResponse
from gapdrum.transport.http_server import HttpListener
from gapdrum.transport.request_reader import HttpLimits

ROOT = Path(__file__).parent.parent.parent
JOB = "00000000000000f1"
OTHER_JOB = "00000000000000f2"
TASK = TaskName(JOB, 0, 0, 0)
RUN = RunKey(TASK, 1)
OWNER = "entry-1/life"
BOUNDS = RunBounds(resubmit_ms=1_300)
QUEUE = Queue("flags", "h", "/flags/", "inspect-desk", 0, 3, 1.6, 60, 1500)


# The agent's ledger.


@given("a ledger of a runner with {cpu:d} thousandths of a core")
def new_ledger(context, cpu):
    context.ledger = RunnerLedger("i-1", capacity=Resources(cpu, 100, 0))
    context.ledger.apply_snapshot(RunnerSnapshot(10, (), ()), 0)
    context.told = []


@when("a run of {cpu:d} is started that expires at {clock:d} on the runner's clock")
def begin_run(context, cpu, clock):
    context.run = Run(RUN, OWNER, 1, Resources(cpu), clock, 0, calling=True)
    context.ledger.begin(context.run)


@when("its call ends without an answer")
def call_ends(context):
    context.run.calling = False


def poll(context, clock, running=(), ended=()):
    snapshot = RunnerSnapshot(clock, tuple(running), tuple(ended))
    context.told += [event for _, event in context.ledger.apply_snapshot(snapshot, clock)]


@when("a poll at {clock:d} shows nothing")
def poll_empty(context, clock):
    poll(context, clock)


@when("a poll at {clock:d} shows the run at work")
def poll_running(context, clock):
    poll(context, clock, running=[RunningTask(RUN, 5)])


@when("a poll at {clock:d} shows the ends {first:d}, {second:d} and {third:d} of durable jobs")
def poll_ends(context, clock, first, second, third):
    ends = [
        EndedRun(number, RunKey(TaskName(JOB, 0, 0, number), 1), RunEnd.DONE)
        for number in (first, second, third)
    ]
    poll(context, clock, ended=ends)


@when("the owner adopts the run with {cpu:d}")
def adopt(context, cpu):
    context.ledger.adopt(RUN, OWNER, 1, True, Resources(cpu))


@when("the ends {first:d} and {second:d} are stored")
def ends_stored(context, first, second):
    context.ledger.mark_acknowledgeable((first, second), ())


@when("the end {number:d} was superseded")
def end_superseded(context, number):
    context.ledger.mark_acknowledgeable((), (number,))


@when("the lease has lapsed")
def lapse(context):
    context.ledger.record_lapse()


@then("the free room is {cpu:d}")
def free_room(context, cpu):
    assert context.ledger.free.cpu_milli == cpu, context.ledger.free


@then("the run is reported as {kind}")
def run_reported(context, kind):
    expected = kind.replace(" ", "_")
    assert [event.kind for event in context.told] == [expected], context.told


@then("ends up to {number:d} may be forgotten")
def forgotten(context, number):
    assert context.ledger.advance_acknowledged() == number, context.ledger.acknowledged_end


@then("the lease must lapse, and ends up to {number:d} may be forgotten")
def lapse_needed(context, number):
    assert context.ledger.awaits_lapse()
    forgotten(context, number)


@when("{later:d} ms later a poll at {clock:d} shows {percent:d} percent of it")
def poll_later(context, later, clock, percent):
    snapshot = RunnerSnapshot(clock, (RunningTask(RUN, percent),), ())
    context.ledger.mark_started(context.ledger.runs[RUN], 0)
    context.told += [event for _, event in context.ledger.apply_snapshot(snapshot, later)]


@then("the run is not reported as straggling")
def not_straggling(context):
    assert orders.STRAGGLING not in [event.kind for event in context.told], context.told


@given("a bound of leases")
def new_bound(context):
    context.bound = LeaseBound()


@when("a renewal until {sent:d} is sent, and one until {unsent:d} is not")
def renewals(context, sent, unsent):
    first, second = context.bound.begin_renewal(sent), context.bound.begin_renewal(unsent)
    context.bound.end_renewal(first, True)
    context.bound.end_renewal(second, False)


@when("a renewal until {ends:d} is under way")
def renewal_under_way(context, ends):
    context.bound.begin_renewal(ends)


@then("the lease ends at {ends:d}")
def lease_ends(context, ends):
    assert context.bound.ends_ms == ends, context.bound.ends_ms


@given("a runner's health")
def new_health(context):
    context.health = RunnerHealth()


@when("it fails {count:d} runs at {time:d}")
def fail_runs(context, count, time):
    for _ in range(count):
        context.health.record_run_failure(time)


@when("it completes a run at {time:d}")
def do_run(context, time):
    context.health.record_run_success()


@then("it is ejected at {first:d} and at {second:d}, and is half-open at {third:d}")
def is_ejected_then_half_open(context, first, second, third):
    assert context.health.update_ejection(first)
    assert context.health.update_ejection(second)
    assert not context.health.update_ejection(third)
    assert context.health.half_open


@then("it is not ejected at {time:d}")
def not_ejected(context, time):
    assert not context.health.update_ejection(time)


# The owner's dispatch.


class Effects:
    """Records the effects of decisions."""

    def __init__(self):
        self.sent = []
        self.ended = []
        self.notes = []

    def send(self, _agent, message):
        self.sent.append(message)
        return True

    def job_ended(self, job):
        self.ended.append(job)

    def job_refused(self, job):
        self.ended.append(job)

    def on_unowned_end(self, place, event):
        self.sent.append((place, event))

    def has_ended(self, _job_id):
        return False

    def schedule_placement(self):
        pass

    def note(self, event, **fields):
        assert event in KINDS, event
        self.notes.append((event, fields))

    def noted(self, event):
        """Return the fields of all notes of an event."""
        return [fields for name, fields in self.notes if name == event]


@given("an owner that sees one runner")
def new_dispatch(context):
    context.outside = Effects()
    context.dispatch = build_dispatch("plaine-nord", context.outside, lambda: True, 0)
    context.now_ms = 1_000
    join(context)


def join(context):
    greeting = orders.AgentGreeting("side-1", "life-1", "plaine-nord", context.now_ms)
    context.view = context.dispatch.fleet.agent_joined(greeting, context.now_ms)
    report = orders.RunnerReport("i-1", "inspect-desk", orders.READY, (), 4_000, 4_000, 0)
    context.dispatch.apply_report(context.view, report, context.now_ms)
    room = orders.RoomReport("i-1", 4_000, 4_000, 0, 0, 0)
    context.dispatch.apply_room(context.view, room)


@given("the agent tells that it holds nothing")
@when("the agent tells that it holds nothing")
def hold_nothing(context):
    holdings = orders.Holdings("i-1", (), ())
    context.dispatch.apply_holdings(context.view, holdings, context.now_ms)
    context.dispatch.placer.place_waiting(context.now_ms)


@when("the agent joins again and tells that it holds nothing")
def join_again(context):
    context.outside.sent.clear()
    join(context)
    hold_nothing(context)


def add_job(
    context,
    tasks,
    failures=3,
    epoch=1,
    requeue_unknown_at_ms=0,
    durable=True,
    job_id=JOB,
    step=None,
    upstream="inspect-desk",
):
    step = step or Step(tasks, Resources(500, 10, 0), 100)
    record = OpenJob("flags", upstream, "{}", OWNER, epoch, 0, (step_row(step),))
    job = build_job(
        job_id,
        record,
        7,
        context.now_ms,
        durable=durable,
        policy=JobPolicy(failures, 0, 1.6, 60),
    )
    if requeue_unknown_at_ms:
        job.requeue_unknown_at_ms = requeue_unknown_at_ms
        for task in job.tasks:
            task.phase = TaskPhase.UNKNOWN
    context.job = job
    context.dispatch.add_job(job, context.now_ms)
    context.dispatch.placer.place_waiting(context.now_ms)


@given("a job of {tasks:d} tasks")
def new_job(context, tasks):
    add_job(context, tasks)


@given('{count:d} jobs that wait for a runner of "{upstream}" without room')
def new_jobs_elsewhere(context, count, upstream):
    report = orders.RunnerReport("i-2", upstream, orders.READY, (), 4_000, 4_000, 0)
    context.dispatch.apply_report(context.view, report, context.now_ms)
    context.dispatch.apply_room(context.view, orders.RoomReport("i-2", 0, 4_000, 0, 0, 0))
    holdings = orders.Holdings("i-2", (), ())
    context.dispatch.apply_holdings(context.view, holdings, context.now_ms)
    for number in range(count):
        # They are accepted before the job behind them, and so are tried before it.
        add_job(context, 1, job_id=f"{number:016x}", upstream=upstream)
    context.now_ms += 20


@then('the published demand is {count:d} jobs that wait for "{upstream}"')
def demand_published(context, count, upstream):
    context.now_ms += TRY_INTERVAL_MS
    context.dispatch.placer.place_waiting(context.now_ms)
    demand = [(row.upstream, row.jobs) for row in context.dispatch.placer.demand]
    assert demand == [(upstream, count)], demand


@given("{count:d} jobs that need more than any runner has")
def new_impossible_jobs(context, count):
    step = Step(1, Resources(99_000, 10, 0), 100)
    for number in range(count):
        add_job(context, 1, job_id=f"{number:016x}", step=step)


@given("the runner has room for {cpu:d} thousandths of a core")
def has_room(context, cpu):
    context.dispatch.apply_room(context.view, orders.RoomReport("i-1", cpu, 4_000, 0, 0, 0))


@given("{count:d} jobs of one task of {cpu:d}")
def new_large_jobs(context, count, cpu):
    for number in range(count):
        step = Step(1, Resources(cpu, 10, 0), 100)
        add_job(context, 1, job_id=f"{number:016x}", step=step)


@given('a runner with the label "{label}" that has no room')
def labelled_runner(context, label):
    report = orders.RunnerReport("i-2", "inspect-desk", orders.READY, (label,), 4_000, 4_000, 0)
    context.dispatch.apply_report(context.view, report, context.now_ms)
    context.dispatch.apply_room(context.view, orders.RoomReport("i-2", 0, 4_000, 0, 0, 0))
    holdings = orders.Holdings("i-2", (), ())
    context.dispatch.apply_holdings(context.view, holdings, context.now_ms)


@given('{count:d} jobs of one task of {cpu:d} that need a runner with the label "{label}"')
def new_labelled_jobs(context, count, cpu, label):
    for number in range(count):
        step = Step(1, Resources(cpu, 10, 0), 100, required_label=label)
        add_job(context, 1, job_id=f"{number:016x}", step=step)


@when('a job has {first:d} tasks that need the label "{label}", and {second:d} that need none')
def two_steps(context, first, label, second):
    steps = (
        Step(first, Resources(500, 10, 0), 100, required_label=label),
        Step(second, Resources(500, 10, 0), 100),
    )
    record = OpenJob("flags", "inspect-desk", "{}", OWNER, 1, 0, tuple(map(step_row, steps)))
    policy = JobPolicy(3, 0, 1.6, 60)
    job = build_job(JOB, record, 7, context.now_ms, durable=True, policy=policy)
    context.dispatch.add_job(job, context.now_ms)
    context.dispatch.placer.place_waiting(context.now_ms)


@when("a job of {tasks:d} tasks is added behind them")
def job_behind(context, tasks):
    context.now_ms += 1
    add_job(context, tasks)


@given("a job of {tasks:d} tasks whose caller waits")
def new_waiting_job(context, tasks):
    add_job(context, tasks, durable=False)


@when("another job of {tasks:d} tasks whose caller waits")
def other_waiting_job(context, tasks):
    add_job(context, tasks, durable=False, job_id=OTHER_JOB)


@when("{time_ms:d} ms pass")
def time_passes(context, time_ms):
    context.now_ms += time_ms
    context.dispatch.refuse_unmeetable(context.now_ms)


@then("the other job is refused")
def other_refused(context):
    assert context.outside.ended[-1].job_id == OTHER_JOB, context.outside.ended


@given("a job of 1 tasks that may fail {failures:d} times")
def new_failing_job(context, failures):
    add_job(context, 1, failures=failures)


@given("a job of 1 tasks that was taken over with epoch {epoch:d}")
def new_taken_job(context, epoch):
    add_job(context, 1, epoch=epoch, requeue_unknown_at_ms=context.now_ms + SILENCE_LIMIT_MS)


@when("no run at an agent can be left any more")
def unknown_over(context):
    context.now_ms += SILENCE_LIMIT_MS
    context.view.heard_ms = context.now_ms
    context.dispatch.requeue_unknown_tasks(context.now_ms)
    context.dispatch.placer.place_waiting(context.now_ms)
    # The earlier attempts have to be stored as abandoned first.
    assert not list_orders(context), list_orders(context)
    context.dispatch.confirm_abandoned(context.job, context.job.tasks)
    context.now_ms += TRY_INTERVAL_MS
    context.dispatch.placer.place_waiting(context.now_ms)


@when("the agent is silent until just before the limit")
def silent_before(context):
    context.now_ms += SILENCE_LIMIT_MS
    context.dispatch.expire_silent(context.now_ms)


@when("the agent is silent beyond the limit")
def silent_beyond(context):
    context.now_ms += 1
    context.dispatch.expire_silent(context.now_ms)


@when("the agent's next incarnation joins and reports no runner")
def next_incarnation(context):
    greeting = orders.AgentGreeting("side-1", "life-2", "plaine-nord", 0)
    context.view = context.dispatch.fleet.agent_joined(greeting, context.now_ms)


@when("the agent sends heartbeats but no report of the runner until just before the limit")
def runner_unreported_before(context):
    pass_time_with_heartbeat(context, SILENCE_LIMIT_MS)


@when("the agent sends heartbeats but no report of the runner beyond the limit")
def runner_unreported_beyond(context):
    pass_time_with_heartbeat(context, 1)


def pass_time_with_heartbeat(context, time_ms):
    context.now_ms += time_ms
    context.view.heard_ms = context.now_ms
    context.dispatch.expire_silent(context.now_ms)


@when('the end "{end}" of attempt {attempt:d} is reported twice')
def report_end(context, end, attempt):
    context.outside.sent.clear()
    event = orders.RunEvent(TASK.text, attempt, 1, orders.ENDED, end, attempt)
    for _ in range(2):
        context.dispatch.apply_events(
            context.view, orders.RunEvents("i-1", (event,)), context.now_ms
        )
    context.dispatch.placer.place_waiting(context.now_ms)


@when("the end of an unknown non-durable job is reported")
def unknown_nondurable_end(context):
    report_unknown_end(context, durable=False)


@when("the end of an unknown durable job is reported")
def unknown_durable_end(context):
    report_unknown_end(context, durable=True)


def report_unknown_end(context, durable):
    event = orders.RunEvent(TASK.text, 1, 1, orders.ENDED, "done", 1, durable=durable)
    message = orders.RunEvents("i-1", (event,))
    context.dispatch.apply_events(context.view, message, context.now_ms)


@then("nothing is looked up")
def no_lookup(context):
    assert not context.outside.sent, context.outside.sent


@then("the end is looked up")
def lookup(context):
    assert len(context.outside.sent) == 1, context.outside.sent


def list_orders(context):
    return [
        row
        for message in context.outside.sent
        if isinstance(message, orders.StartOrder)
        for row in message.runs
    ]


@then("nothing is ordered")
def no_orders(context):
    assert not list_orders(context)


@then("{count:d} tasks are ordered")
def ordered(context, count):
    assert len(list_orders(context)) == count


@then("the task is ordered again with attempt {attempt:d}")
def ordered_again(context, attempt):
    assert [row.attempt for row in list_orders(context)] == [attempt], list_orders(context)


@then("the task is still at the agent")
def still_there(context):
    assert context.job.tasks[0].phase is TaskPhase.ORDERED


@then("the task waits")
def task_waits(context):
    assert context.job.tasks[0].phase is TaskPhase.WAITING


@then("the job is open")
def job_open(context):
    assert not context.outside.ended


@then('the job has "{state}"')
def job_has(context, state):
    assert [job.ending.value for job in context.outside.ended] == [state]


@then("the agent is told that the end was superseded")
def told_superseded(context):
    superseded = [
        message.superseded
        for message in context.outside.sent
        if isinstance(message, orders.EndsStored)
    ]
    assert (1,) in superseded, context.outside.sent


# What an agent refuses.


def new_starts(context, capacity, draining=False):
    timers = ManualTimers()
    ledger = RunnerLedger("i-1", capacity=Resources(capacity, 100, 0), draining=draining)
    ledger.apply_snapshot(RunnerSnapshot(10, (), ()), 0)
    grants = Grants(BOUNDS)
    grants.note(OWNER, timers.now_ms(), True)
    calls = RunnerCalls(Endpoint("127.0.0.1", 1), "i-1")
    runner = RunnerContext(ledger, calls, grants, 1_000, timers, new_log(timers), list)
    context.timers = timers
    context.starts = RunLauncher(runner)


@given("a draining runner with an agent")
def draining_runner(context):
    new_starts(context, 4_000, draining=True)


@given("a runner with an agent and {capacity:d} thousandths of a core")
def runner_with_agent(context, capacity):
    new_starts(context, capacity)


class FakeCalls:
    """Answers starts with the given errors in turn, and records the last expiry."""

    def __init__(self, outcomes):
        self.outcomes = outcomes
        self.expires_ms = 0

    async def start(self, _run, _spec, expires_ms, _fence, _timeout_ms):
        self.expires_ms = expires_ms
        await asyncio.sleep(0)
        raise self.outcomes.pop(0)


class PolledRunner:
    """Answers each poll but those of ``unanswered`` as an empty runner; counts the polls."""

    def __init__(self, unanswered):
        self.unanswered = unanswered
        self.polls = 0

    async def poll(self, _until_ms, _seen, fence, _wait_ms, _timeout_ms):
        await asyncio.sleep(0.001)
        self.polls += 1
        if fence and self.unanswered(self.polls):
            raise NoReplyError("reset")
        return RunnerSnapshot(self.polls, (), ())

    def close(self):
        pass


def new_controller(context, unanswered):
    timers = ManualTimers()
    context.room_told = []

    def report(controller, _events):
        context.room_told.append(bool(controller.ledger.free.cpu_milli))

    context.controller = RunnerController(
        "i-1", Endpoint("127.0.0.1", 1), Grants(BOUNDS), 1_000, timers, new_log(timers), report,
        lambda controller: report(controller, []),
    )  # fmt: skip
    context.controller.ledger.capacity = Resources(4_000, 100, 0)
    context.controller._context.calls = context.calls = PolledRunner(unanswered)


@given("a controller of a runner that resets every poll")
def resets_polls(context):
    new_controller(context, lambda _poll: True)


@given("a controller of a runner that leaves its second poll unanswered")
def second_unanswered(context):
    # The first call only reads the runner's clock.
    new_controller(context, lambda poll: poll == 3)


@given("a controller of a runner that leaves three polls in a row unanswered")
def three_unanswered(context):
    new_controller(context, lambda poll: 3 <= poll <= 5)


class TellingLinks(list):
    """Links to entries that record the sent messages; each is named like its owner."""

    def of_owner(self, owner):
        return next((link for link in self if link.owner == owner), None)


@given("an agent whose entries wait for room")
def agent_with_demand(context):
    context.links = TellingLinks()
    for row in context.table:
        link = EntryLink(row["entry"], None)
        link.owner = row["entry"]
        demand = orders.UpstreamDemand(row["upstream"], int(row["urgency"]), int(row["jobs"]))
        link.demand = {demand.upstream: demand} if demand.upstream else {}
        link.sent = []
        link.send = link.sent.append
        context.links.append(link)
    new_controller(context, lambda _poll: False)
    context.controller.ledger.upstream = "inspect-desk"
    context.controller.ledger.polled = True
    timers = ManualTimers()
    context.reports = EntryNotifier(
        context.links,
        {"i-1": context.controller},
        timers,
        OutcomeReporter(timers, new_log(timers)),
    )


@when('a run of entry "{owner}" has ended')
def run_of_entry_ended(context, owner):
    run = Run(RUN, owner, 1, Resources(500), 0, 0)
    event = orders.RunEvent(TASK.text, 1, 1, orders.ENDED, "done", 1)
    context.reports.report(context.controller, [(run, event)])


def kinds_told(context):
    return {link.owner: [type(one).__name__ for one in link.sent] for link in context.links}


@then('entry "{owner}" is told of the end and "{urgent}" of the room')
def told_first(context, owner, urgent):
    expected = {link.owner: [] for link in context.links}
    expected[owner] = ["RunEvents"]
    expected[urgent] = ["RoomReport"]
    assert kinds_told(context) == expected, kinds_told(context)


@then("all entries are told of the room at the next interval")
def told_all(context):
    context.reports.send_room()
    told = kinds_told(context)
    assert all(kinds.count("RoomReport") == 1 for kinds in told.values()), told


@when("the offer to it has expired")
def offer_to_it_lapsed(context):
    context.reports._timers.time_ms += OFFER_MS
    context.controller._timers.time_ms += OFFER_MS


def room_seen(context):
    """Return the room that each entry sees after the next interval, in milli-cores."""
    context.reports.send_room()
    return {link.owner: link.sent_room["i-1"].free_cpu_milli for link in context.links}


@then('at the next interval entry "{owner}" sees room, and the others none')
def one_sees_room(context, owner):
    seen = room_seen(context)
    assert seen == {link.owner: 4_000 * (link.owner == owner) for link in context.links}, seen


@then("at the next interval all entries see the room")
def all_see_room(context):
    seen = room_seen(context)
    assert set(seen.values()) == {4_000}, seen


@given("a run of a former owner has {ended}")
def former_run(context, ended):
    end = RunEnd.DONE if ended == "ended as done" else RunEnd.STOPPED
    ledger = context.controller.ledger
    ledger.begin(Run(RUN, "former/life", 1, Resources(500), 0, 0, phase=orders.HELD_RUNNING))
    ledger.apply_snapshot(RunnerSnapshot(10, (), (EndedRun(1, RUN, end),)), 10)
    ledger.advance_acknowledged()


@when('entry "{entry}" adopts the run')
def adopt_run(context, entry):
    timers = ManualTimers()
    entry_orders = EntryOrders(
        context.links,
        {"i-1": context.controller},
        Grants(BOUNDS),
        context.reports,
        timers,
        new_log(timers),
    )
    row = orders.AdoptedRun(TASK.text, 1, 2, True, 500, 10, 0)
    link = context.links.of_owner(entry)
    entry_orders.take(link, orders.AdoptRuns("i-1", (row,)))


@then('entry "{entry}" is told that the run is {kind}')
def run_is_told(context, entry, kind):
    link = context.links.of_owner(entry)
    events = [event for one in link.sent for event in getattr(one, "events", ())]
    assert [(event.task, event.kind) for event in events] == [(TASK.text, kind)], link.sent


@when("it polls for {duration:d} ms")
def keep_polling(context, duration):
    async def run():
        polling = asyncio.create_task(context.controller.keep())
        await asyncio.sleep(duration / 1_000)
        polling.cancel()

    asyncio.run(run())


@then("it has polled at most {count:d} times")
def polled_at_most(context, count):
    assert context.calls.polls <= count, context.calls.polls


@then("entries are told of its room, of none, and of its room again")
def told_of_room(context):
    assert context.room_told == [True, False, True], context.room_told


@then("entries are told of its room once, and never of none")
def told_of_room_once(context):
    assert context.room_told == [True], context.room_told


@given("a runner that leaves the first start unanswered and rejects the second")
def reject_second(context):
    rejection = RunnerRejectedError(503, "", None)
    context.calls = context.starts._context.calls = FakeCalls([NoReplyError("lost"), rejection])


@when("{time_ms:d} ms after its clock was read a run is started there")
def start_later(context, time_ms):
    context.timers.time_ms += time_ms

    async def run():
        give_order(context, context.timers.now_ms())
        while context.calls.outcomes or context.run.calling:
            await asyncio.sleep(0)

    context.starts._context.grants.note(OWNER, context.timers.now_ms(), True)
    asyncio.run(run())


@then("its room is held until the expiry that the runner was told")
def room_held(context):
    ledger = context.starts.ledger
    ledger.apply_snapshot(RunnerSnapshot(context.calls.expires_ms, (), ()), context.timers.now_ms())
    assert context.run.key in ledger.runs, "the room was released before its expiry"
    ledger.apply_snapshot(
        RunnerSnapshot(context.calls.expires_ms + 1, (), ()), context.timers.now_ms()
    )
    assert context.run.key not in ledger.runs


def give_order(context, sent_ms):
    row = orders.OrderedRun(0, 0, 1, 2_000, 10, 0, 100)
    order = orders.StartOrder("i-1", JOB, 1, "{}", sent_ms, True, (row,))
    refused = context.starts.order(OWNER, order, context.timers.now_ms())
    context.run = next(iter(context.starts.ledger.runs.values()), None)
    return refused


def refuse_order(context, sent_ms):
    return [event.detail for event in give_order(context, sent_ms)]


@then('an order is refused as "{reason}"')
def order_refused(context, reason):
    assert refuse_order(context, context.timers.now_ms()) == [reason]


@then('an order is refused as "{reason}" if it is older than a second')
def order_expired(context, reason):
    sent_ms = context.timers.now_ms()
    context.timers.time_ms += orders.ORDER_VALID_MS + 1
    assert refuse_order(context, sent_ms) == [reason]


def offers_of(context):
    return context.starts._context.offers


@when("{cpu:d} of them are offered to another entry")
def offer_to_another(context, cpu):
    offers_of(context).make("entry-2/life", Resources(cpu, 50, 0), context.timers.now_ms())


@when("{cpu:d} of them are offered to the entry itself")
def offer_to_itself(context, cpu):
    offers_of(context).make(OWNER, Resources(cpu, 50, 0), context.timers.now_ms())


@when("the offer has expired")
def offer_lapsed(context):
    context.timers.time_ms += OFFER_MS


@when("the entry reports that nothing waits there")
def decline_offers(context):
    offers_of(context).decline(OWNER)


@then("an order begins")
def order_begins(context):
    async def run():
        assert give_order(context, context.timers.now_ms()) == []

    asyncio.run(run())


@then("{cpu:d} of them are still withheld from others")
def withheld_from_others(context, cpu):
    kept = offers_of(context).withheld_from("entry-2/life", context.timers.now_ms())
    assert kept.cpu_milli == cpu, kept


# Malformed answers, and crashes.


@given("a server that answers {status:d} with {body}")
def malformed_server(context, status, body):
    context.malformed = HttpResponse(status, body.encode())


def call_malformed(context, call):
    """Call the server, and return the code of the error that the call raises."""

    async def run():
        port = find_port()
        limits = HttpLimits()
        await HttpListener(lambda _request: context.malformed, limits, Timers()).open(HOST, port)
        try:
            await call(Endpoint(HOST, port))
        except GapdrumError as error:
            return error.code
        return "no error"

    return asyncio.run(run())


@then('a read of rows fails as "{code}"')
def read_fails(context, code):
    found = call_malformed(
        context, lambda at: RowStore(at, new_log(Timers())).read("open", "", 1_000)
    )
    assert found == code, found


@then('a poll of a runner fails as "{code}"')
def poll_fails(context, code):
    found = call_malformed(context, lambda at: RunnerCalls(at, "i").poll(0, 0, 0, 0, 1_000))
    assert found == code, found


@given("background work that crashes once")
def crashing_work(context):
    context.runs = []

    async def work():
        context.runs.append(True)
        if len(context.runs) == 1:
            raise ValueError("the first run crashes")

    async def run():
        context.log = new_log(ManualTimers())
        await Background(context.log).keep(work)

    asyncio.run(run())


@then("it is restarted, and the crash is counted")
def restarted(context):
    assert len(context.runs) == 2, context.runs
    assert context.log.measures.events["task_crashed", ""] == 1


# Placement.


@given("an entry that places work of {work:d} a millisecond, from {begin:d} ms on")
def placing_entry(context, work, begin):
    context.work = work
    context.begin_ms = begin


@then("work of {ahead:d} waits {wait:d} ms at {now:d} ms")
def work_waits(context, ahead, wait, now):
    backlog = Backlog()
    for time_ms in range(context.begin_ms, now):
        backlog.record_placed(context.work, time_ms)
    assert abs(backlog.wait_ms(ahead, now) - wait) <= 1, backlog.wait_ms(ahead, now)


@given("runners of one upstream")
def new_runners(context):
    context.runners = []
    agent = AgentView("side", "life", "plaine-nord", 0, 1_000)
    for row in context.table:
        view = RunnerView(Place("side", row["runner"]), agent, 0)
        free = int(row["free"])
        labels = tuple(row["labels"].split())
        view.apply_report(
            orders.RunnerReport(
                row["runner"], "inspect-desk", row["state"], labels, 4_000, 4_000, 0
            )
        )
        view.apply_room(orders.RoomReport(row["runner"], free, 4_000, 0, 0, int(row["slowness"])))
        view.synced = True
        context.runners.append(view)


@then("a task goes to these runners")
def goes_to(context):
    for row in context.table:
        context.now_ms = 1_000
        context.outside = Effects()
        context.dispatch = build_dispatch("plaine-nord", context.outside, lambda: True, 0)
        step = Step(
            1,
            Resources(int(row["cpu"]), 10, 0),
            100,
            required_label=row["requires"],
            data_rack=row["rack"],
            runner_limit=1,
        )
        add_job(context, 1, step=step, durable=False)
        task = context.job.tasks[0]
        task.avoided = set(row["avoids"].split())
        pool = build_pool(context.runners, "inspect-desk")
        chosen = choose_runner(
            context.job, task, pool, "plaine-nord", context.now_ms, random.Random(1)
        )
        name = chosen.place.runner_id if chosen is not None else "none"
        assert name == row["runner"], (row, name)


@given("these jobs wait at {now_ms:d} ms, accepted at {accepted_ms:d} ms")
def waiting_jobs(context, now_ms, accepted_ms):
    context.now_ms = now_ms
    context.jobs = []
    for row in context.table:
        step = Step(int(row["tasks"]), Resources(500, 10, 0), int(row["estimate"]))
        record = OpenJob("flags", "inspect-desk", "{}", OWNER, 1, 0, (step_row(step),))
        job = build_job(
            row["job"],
            record,
            0,
            accepted_ms,
            durable=False,
            policy=JobPolicy(1, int(row["priority"]), 1.6, 100),
        )
        for task in job.tasks[: int(row["placed"])]:
            task.phase = TaskPhase.RUNNING
        context.jobs.append(job)


@then('they are placed in the order "{names}"')
def placed_in_order(context, names):
    context.jobs.sort(key=lambda job: waiting_order(job, context.now_ms))
    order = " ".join(job.job_id for job in context.jobs)
    assert order == names, order


@given("{count:d} equal runners of one upstream that {entries:d} entries see alike")
def equal_runners(context, count, entries):
    agent = AgentView("side", "life", "plaine-nord", 0, 1_000)
    context.fields = []
    for _ in range(entries):
        views = []
        for number in range(count):
            view = RunnerView(Place("side", f"i-{number}"), agent, 0, synced=True)
            view.apply_report(
                orders.RunnerReport(
                    f"i-{number}", "inspect-desk", orders.READY, (), 4_000 + number, 100, 0
                )
            )
            view.apply_room(orders.RoomReport(f"i-{number}", 4_000 + number, 100, 0, 0, 0))
            views.append(view)
        context.fields.append(build_pool(views, "inspect-desk"))


@then("one task of each entry goes to {runners:d} runners or more")
def spread(context, runners):
    context.now_ms = 1_000
    context.outside = Effects()
    context.dispatch = build_dispatch("plaine-nord", context.outside, lambda: True, 0)
    add_job(context, 1, durable=False)
    task = context.job.tasks[0]
    chosen = {
        choose_runner(context.job, task, pool, "plaine-nord", 1_000, random.Random(seed)).place
        for seed, pool in enumerate(context.fields)
    }
    assert len(chosen) >= runners, chosen


# The store.


class FakeStore:
    """Rows in memory; the next writes raise ``failures``; one of unknown outcome takes effect."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.failures = []
        self.away = False
        self.up = True
        self.reads = 0

    async def transact(self, transaction):
        await asyncio.sleep(0)
        if self.away:
            raise StoreRejectedError("away")
        if self.failures:
            failure = self.failures.pop(0)
            if isinstance(failure, StoreOutcomeUnknownError):
                self.apply(transaction)
            raise failure
        return self.apply(transaction)

    def apply(self, transaction):
        found = [self.row(item.at) for item in transaction.expectations]
        if any(
            row.version != item.version
            for row, item in zip(found, transaction.expectations, strict=True)
        ):
            return Conflict(tuple(found))
        self.version += 1
        for put in transaction.puts:
            self.rows[put.at] = Row(put.at, put.value, self.version)
        for at in transaction.removals:
            self.rows.pop(at, None)
        return Committed(self.version)

    def row(self, at):
        return self.rows.get(at) or Row(at, None, ABSENT)

    async def read_row(self, at):
        self.reads += 1
        if self.away:
            raise StoreRejectedError("away")
        return self.rows.get(at)

    async def read_all(self, table, part):
        if self.away:
            raise StoreRejectedError("away")
        rows = [row for at, row in self.rows.items() if (at.table, at.part) == (table, part)]
        return list(Page(tuple(rows), False, self.version).rows)


def row_at(name):
    return RowKey("t", "p", name)


@given('a writer on a fake store with the row "{name}" taken')
def new_writer(context, name):
    context.store = FakeStore()
    context.store.apply(Transaction(puts=(Put(row_at(name), b"taken"),)))
    context.writer = GroupCommitWriter(context.store, Background(new_log(ManualTimers())))


@when('the rows "{first}", "{second}" and "{third}" are inserted at once')
def insert_rows(context, first, second, third):
    async def insert():
        changes = [
            Transaction((Expectation(row_at(name), ABSENT),), (Put(row_at(name), b"new"),))
            for name in (first, second, third)
        ]
        # The first change occupies the part, so that the others share the next transaction.
        calls = [context.writer.write("p", Transaction(puts=(Put(row_at("x"), b""),)))]
        calls += [context.writer.write("p", change) for change in changes]
        return await asyncio.gather(*calls)

    results = asyncio.run(insert())[1:]
    context.results = dict(zip((first, second, third), results, strict=True))


@then('"{first}" and "{second}" are committed and "{third}" conflicts')
def settled(context, first, second, third):
    assert isinstance(context.results[first], Committed), context.results
    assert isinstance(context.results[second], Committed), context.results
    assert isinstance(context.results[third], Conflict), context.results


def new_log(timers):
    return EventLog("entry-1", timers)


def new_lease(store, timers, name):
    address = EntryAddress("", "plaine-nord", "10.0.0.1", 7_000)
    return Lease(name, address, store, timers, new_log(timers))


@given("an acceptor on a fake store")
def new_acceptor(context):
    context.store = FakeStore()
    context.timers = ManualTimers()
    context.lease = new_lease(context.store, context.timers, "entry-1")
    context.owned = []
    context.acceptor = Acceptor(
        context.store,
        GroupCommitWriter(context.store, Background(new_log(context.timers))),
        context.lease,
        context.timers,
        new_log(context.timers),
        context.owned.append,
    )


def accept(context, failures):
    async def run():
        await context.lease.register()
        context.store.failures = failures
        step = Step(1, Resources(1), 10)
        return await context.acceptor.accept(JOB, QUEUE, "{}", (step,))

    context.acceptance = asyncio.run(run())


@when("the store leaves the first insert unanswered and rejects the second")
def unanswered_then_rejected(context):
    accept(context, [StoreOutcomeUnknownError("lost"), StoreRejectedError("busy")])


@when("the store rejects every insert")
def always_rejected(context):
    accept(context, [StoreRejectedError("busy")] * 10)


@then("the job is accepted in the end")
def accepted(context):
    assert context.acceptance is Acceptance.ACCEPTED, context.acceptance
    assert [job.job_id for job in context.owned] == [JOB]


@then("the job is refused")
def refused(context):
    assert context.acceptance is Acceptance.REFUSED, context.acceptance
    assert not context.owned


@given("two entries with leases in a fake store")
def two_leases(context):
    context.store = FakeStore()
    context.timers = ManualTimers()
    context.first = new_lease(context.store, context.timers, "entry-1")
    context.second = new_lease(context.store, context.timers, "entry-2")
    context.second_owner = context.second.owner

    async def run():
        await context.second.keep()
        await context.first.keep()

    asyncio.run(run())


def pass_time(context, time_ms):
    async def run():
        for _ in range(time_ms // 100):
            context.timers.time_ms += 100
            await context.first.keep()

    asyncio.run(run())


@when("the second entry renews nothing for {time_ms:d} ms")
def no_renewals(context, time_ms):
    pass_time(context, time_ms)


@given("{count:d} jobs wait at the second entry")
def jobs_wait(context, count):
    context.second.count_waiting = lambda: {"flags": count}
    asyncio.run(context.second.keep())


@then("the first entry counts {count:d} jobs that wait at others")
def counts_at_others(context, count):
    asyncio.run(context.first.keep())
    assert context.first.waiting_at_peers("flags") == count


@when("the second entry is restarted")
def second_restarted(context):
    context.second = new_lease(context.store, context.timers, "entry-2")
    asyncio.run(context.second.keep())


@when("the second entry is restarted {times:d} times, once in {time_ms:d} ms")
def restarted_often(context, times, time_ms):
    for _ in range(times):
        passed_at_first(context, time_ms)
        second_restarted(context)
        asyncio.run(context.first.keep())


@then("the first entry keeps the counts of {count:d} former owner")
def keeps_counts(context, count):
    assert len(context.first._former_depths) == count, context.first._former_depths


@when("{time_ms:d} ms have passed at the first entry")
def passed_at_first(context, time_ms):
    for _ in range(time_ms // 1_000):
        pass_time(context, 1_000)
        asyncio.run(context.second.keep())


@given("a third entry that renews nothing for {time_ms:d} ms")
def third_silent(context, time_ms):
    context.third = new_lease(context.store, context.timers, "entry-3")
    asyncio.run(context.third.keep())
    context.ended = []
    context.first.on_orphaned_jobs = context.ended.extend
    asyncio.run(context.first.keep())
    context.timers.time_ms += time_ms


@when("the second entry leaves, and the store rejects the end of the third one's lease")
def second_leaves(context):
    asyncio.run(context.second.leave())
    with patch.object(context.first, "_end_lease", side_effect=StoreRejectedError("busy")):
        asyncio.run(context.first.keep())


@then("the first entry has reported that the second one has ended")
def second_reported(context):
    assert context.ended == [context.second_owner], context.ended


@when("the store is away for {time_ms:d} ms")
def store_away(context, time_ms):
    context.store.away = True
    pass_time(context, time_ms)
    context.store.away = False


@then("the first entry still counts it as an owner")
def still_owner(context):
    owners = asyncio.run(context.first.poll())
    assert context.second_owner in owners, owners


@then("the first entry has ended its lease")
def lease_ended(context):
    owners = asyncio.run(context.first.poll())
    assert context.second_owner not in owners, owners


@then("the second entry learns at its next renewal that it lost its lease")
def lease_lost(context):
    lost = []
    context.second.on_lease_lost = lambda: lost.append(True)
    asyncio.run(context.second.keep())
    assert lost
    assert not context.second.valid


@given("grants of an agent")
def new_grants(context):
    context.grants = Grants(BOUNDS)


@when("an owner without a lease echoes the clock {clock:d}")
def echo(context, clock):
    context.grants.note(OWNER, clock, False)


@then("non-durable jobs may run until {clock:d} and durable jobs not at all")
def granted(context, clock):
    assert context.grants.until_ms(OWNER, False) == clock
    assert context.grants.until_ms(OWNER, True) == 0


# The list of events.


def list_written_events():
    """Return each event that the sources log, with its place and fields."""
    found = []
    for path in (ROOT / "src" / "gapdrum").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                found.extend(read_call(path, node))
    return found


def read_call(path, node):
    owner = ast.unparse(node.func.value)
    is_log = node.func.attr == "write" and owner.endswith("log")
    is_note = node.func.attr == "note" and owner.endswith("effects")
    own_line = node.func.attr == "write" and path.name == "event_log.py" and owner == "self"
    if not (is_log or is_note or own_line) or not isinstance(node.args[0], ast.Constant):
        return []
    fields = {word.arg for word in node.keywords}
    return [(f"{path.name}:{node.lineno}", node.args[0].value, fields)]


@then("each event in the code is in the list, with exactly its fields")
def events_listed(_context):
    written = list_written_events()
    assert len(written) > 50, len(written)
    for place, event, fields in written:
        assert event in KINDS, f"{place}: {event} is not listed"
        assert fields <= set(KINDS[event].fields), f"{place}: {event} {fields}"
    unused = set(KINDS) - {event for _, event, _ in written} - {"note", "unexpected"}
    assert not unused, unused
    for event, kind in KINDS.items():
        given_fields = set().union(*(fields for _, name, fields in written if name == event))
        if given_fields:
            assert set(kind.fields) == given_fields, f"{event}: {set(kind.fields) ^ given_fields}"


@then("the page LOGS.md is as generated")
def logs_page(_context):
    from make_logs_page import PAGE, build_page

    assert PAGE.read_text() == build_page(), "run tools/make_logs_page.py"


# Streams.


class CountingWriter:
    """Replaces a connection's writer; ``writes`` are the chunks that were written."""

    def __init__(self):
        self.writes = []
        self.closing = False
        self.transport = self

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.closing

    def write(self, chunk):
        self.writes.append(chunk)

    def close(self):
        self.closing = True


@given("a stream whose writes are counted")
def counted_stream(context):
    context.writer = CountingWriter()
    context.stream = Stream(None, context.writer, Counter(), Counter())


def send_beats(context, first, count):
    for clock_ms in range(first, first + count):
        context.stream.send(orders.AgentBeat(clock_ms))


@when("{first:d} messages are sent in one turn and {second:d} in the next")
def send_in_turns(context, first, second):
    async def run():
        send_beats(context, 0, first)
        await asyncio.sleep(0)
        send_beats(context, first, second)
        await asyncio.sleep(0)

    asyncio.run(run())


@when("{count:d} messages are sent and the stream is closed at once")
def send_and_close(context, count):
    async def run():
        send_beats(context, 0, count)
        context.stream.close()

    asyncio.run(run())


@then("{writes:d} writes carry the {count:d} messages in order")
def written(context, writes, count):
    assert len(context.writer.writes) == writes, context.writer.writes
    messages = list(Decoder().feed(b"".join(context.writer.writes)))
    assert messages == [orders.AgentBeat(clock_ms) for clock_ms in range(count)], messages


@when("an end of an unknown owner is {age_ms:d} ms old")
def unowned_end(context, age_ms):
    ledger = context.controller.ledger
    now_ms = context.reports._timers.now_ms()
    ledger.ends = {1: ListedEnd(RUN, UNKNOWN_OWNER, 0, RunEnd.DONE, now_ms - age_ms)}
    context.reports.resend_unstored_ends()


@then("{count:d} entries are told of it")
def entries_told(context, count):
    told = [owner for owner, kinds in kinds_told(context).items() if kinds == ["RunEvents"]]
    assert len(told) == count, told


@then("the agent holds nothing that it must report to all entries")
def holds_no_unowned_end(context):
    assert not context.controller.ledger.held_owners(context.reports._timers.now_ms())


@then("the agent holds an end that it must report to all entries")
def holds_unowned_end(context):
    held = context.controller.ledger.held_owners(context.reports._timers.now_ms())
    assert [one.owner for one in held] == [UNKNOWN_OWNER], held


@when("the agent reports on a new stream an end of a job that the entry does not own")
def unowned_end_held(context):
    ended = orders.HeldRun(TASK.text, 1, 1, orders.HELD_ENDED, "done", 1)
    holdings = orders.Holdings("i-1", (), (ended,))
    context.dispatch.apply_holdings(context.view, holdings, context.now_ms)


@then("the entry does not look the job up")
def no_look_up(context):
    looked_up = [one for one in context.outside.sent if isinstance(one, tuple)]
    assert not looked_up, looked_up
