"""Steps that test single policies, without processes."""

import random

from behave import given, then, when

from gapdrum.admission import AdmissionInputs, find_refusal
from gapdrum.claims import Owner
from gapdrum.conversion import unstructure
from gapdrum.ejection import record_outcome
from gapdrum.hedging import find_stragglers
from gapdrum.jobs import AgentKey, Job
from gapdrum.leases import EntryRecord, LeaseTable
from gapdrum.members import EJECTED, READY, RunnerView
from gapdrum.models import Submission, TaskSpec
from gapdrum.queues import QUEUE_ORDERS, FairQueue
from gapdrum.quotas import Quotas
from gapdrum.runtimes import RunTimes
from gapdrum.settings import SettingsHolder, SettingsTree
from gapdrum.slot_allocation import SlotAllocator, SlotRequester
from gapdrum.store import Row

UPSTREAM = "inspect-desk"
SEED = 7
LEASE_STEP_MS = 1_000


def make_submission(team="t", tasks=1, **more):
    fields = {"key": "k", "team": team, "upstream": UPSTREAM, "deadline_ms": 60_000}
    return Submission(tasks=[TaskSpec("")] * tasks, **{**fields, **more})


def make_view(number=0, slots=8):
    view = RunnerView(AgentKey(f"agent-{number}", "life"), "zone", "worker", UPSTREAM, READY)
    view.slots = view.reported_free = slots
    return view


def learned_run_times(run_ms, kind=""):
    run_times = RunTimes()
    for _ in range(200):
        run_times.for_kind(UPSTREAM, kind).add(run_ms)
    return run_times


@given(
    '{count:d} waiting tasks of each of the teams "{one}" with weight {weight_one:d}'
    ' and "{other}" with weight {weight_other:d}'
)
def fill_queue(context, count, one, weight_one, other, weight_other):
    weights = {one: weight_one, other: weight_other}
    context.queue = FairQueue(lambda team: weights[team])
    context.jobs = {team: Job(make_submission(team, count), 1, 0) for team in weights}
    for job in context.jobs.values():
        for task in job.tasks:
            context.queue.push(job, task.index, 100)


@when('all jobs of team "{team}" are cancelled')
def cancel_team(context, team):
    context.jobs[team].stop_placing("cancelled")


@when("{count:d} tasks are taken from the queue")
def take_tasks(context, count):
    context.taken = [context.queue.pop(set(), "first_come", 0) for _ in range(count)]


@then('{count_one:d} of them are of team "{one}" and {count_other:d} of team "{other}"')
def check_taken(context, count_one, one, count_other, other):
    teams = [queued.job.submission.team for queued in context.taken]
    assert (teams.count(one), teams.count(other)) == (count_one, count_other), teams


@given(
    "a long job of {long_ms:d} ms that waits for {long_wait_ms:d} ms"
    " and a short job of {short_ms:d} ms for {short_wait_ms:d} ms"
)
def two_jobs(context, long_ms, long_wait_ms, short_ms, short_wait_ms):
    context.expected = {"long": long_ms, "short": short_ms}
    set_waits(context, long_wait_ms, short_wait_ms)


@when("the long job has waited for {long_wait_ms:d} ms and the short job for {short_wait_ms:d} ms")
def set_waits(context, long_wait_ms, short_wait_ms):
    context.waits = {"long": long_wait_ms, "short": short_wait_ms}


@then('"{order}" takes the {name:w} job first')
def check_order(context, order, name):
    now_ms = 10_000
    queue = FairQueue(lambda _team: 1)
    for kind, wait_ms in context.waits.items():
        job = Job(make_submission(kind=kind), 1, now_ms - wait_ms)
        queue.push(job, 0, context.expected[kind])
    assert order in QUEUE_ORDERS
    assert queue.pop(set(), order, now_ms).job.submission.kind == name


@given("{count:d} entries that hold {waiting:d} tasks each")
def make_requesters(context, count, waiting):
    context.requesters = [SlotRequester(waiting=waiting) for _ in range(count)]
    context.allocator = SlotAllocator(random.Random(SEED))
    context.now_ms = 0


@when("{count:d} slot becomes free")
def free_slot(context, count):
    context.free = count
    context.allocator.allocate(context.requesters, count, context.now_ms)


@when("the offer is not used for {elapsed_ms:d} ms")
def expire_offer(context, elapsed_ms):
    context.offered_before = list_offered(context)
    context.now_ms += elapsed_ms
    context.allocator.allocate(context.requesters, context.free, context.now_ms)


def list_offered(context):
    allocator = context.allocator
    return [
        number
        for number, requester in enumerate(context.requesters)
        if allocator.free_for(requester, context.requesters, context.free) > 0
    ]


@then("exactly {count:d} entry is offered a free slot")
def check_offered(context, count):
    assert len(list_offered(context)) == count


@then("it is another one")
def check_other(context):
    assert list_offered(context) != context.offered_before


@given("a limit of {limit:d} running tasks and entries with a demand of {one:d} and {other:d}")
def make_quotas(context, limit, one, other):
    context.quotas = []
    for own, peer in ((one, other), (other, one)):
        settings = SettingsHolder()
        settings.apply_if_newer(SettingsTree(1, {"": {"team_running_limit_tasks": limit}}))
        quotas = Quotas(settings)
        quotas.record_demand("t", own)
        quotas.update_peer_demands([{"t": peer}])
        context.quotas.append(quotas)


@then("they may run {one:d} and {other:d} tasks")
def check_shares(context, one, other):
    found = []
    for quotas in context.quotas:
        started = 0
        while quotas.may_start("t", 0):
            quotas.started("t")
            started += 1
        found.append(started)
    assert found == [one, other], found


@given("{count:d} runners that fail everything")
def failing_runners(context, count):
    context.views = [make_view(number) for number in range(count)]


@when("each has failed {count:d} times")
def fail_all(context, count):
    for _ in range(count):
        for view in context.views:
            record_outcome(view, True, 5, context.views)


@then("{count:d} of them are ejected")
def check_ejected(context, count):
    assert [view.state for view in context.views].count(EJECTED) == count


@given("tasks of a kind that takes {run_ms:d} ms, one with 1 start allowed and one with 2")
def straggling(context, run_ms):
    context.run_times = learned_run_times(run_ms)
    context.jobs = [Job(make_submission(starts_allowed=allowed), 1, 0) for allowed in (1, 2)]
    for job in context.jobs:
        job.place(0, AgentKey("agent-0", "life"), 0)


@when("both have run for {elapsed_ms:d} ms")
def let_run(context, elapsed_ms):
    context.stragglers = list(find_stragglers(context.jobs, context.run_times, 300, elapsed_ms))


@then("only the one with 2 starts is a straggler")
def check_stragglers(context):
    assert [found.job for found in context.stragglers] == [context.jobs[1]]


@given("1 runner with {slots:d} slots and {queued:d} queued tasks of {run_ms:d} ms")
def make_inputs(context, slots, queued, run_ms):
    views = [make_view(slots=slots)]
    settings = SettingsHolder()
    run_time = learned_run_times(run_ms).for_kind(UPSTREAM, "")
    context.inputs = AdmissionInputs(
        views, views, queued, run_time, settings.root, Quotas(settings), False
    )


@when(
    "a job of {tasks:d} tasks with deadline {deadline_ms:d} and {accelerators:d} accelerators comes"
)
def admit(context, tasks, deadline_ms, accelerators):
    submission = make_submission(tasks=tasks, deadline_ms=deadline_ms, accelerators=accelerators)
    context.refusal = find_refusal(submission, context.inputs)


@then('it is refused with "{code}"')
def check_refusal(context, code):
    assert context.refusal is not None and context.refusal.code == code, context.refusal


@given("an entry whose lease was read")
def read_lease(context):
    record = EntryRecord("e", "life", "zone", "127.0.0.1", 1, 1, False, 0, 0, {})
    context.owner = Owner("e", "life")
    context.row = Row("entry/e", 1, unstructure(record))
    context.leases = LeaseTable()
    context.now_ms = 0
    context.leases.observe([context.row], context.now_ms)


@when("the table could not be read for {elapsed_ms:d} ms and shows the same row again")
def read_again(context, elapsed_ms):
    context.now_ms += elapsed_ms
    context.leases.observe([context.row], context.now_ms)


@when("the row stays the same through {elapsed_ms:d} ms of reads")
def keep_reading(context, elapsed_ms):
    for _ in range(elapsed_ms // LEASE_STEP_MS):
        read_again(context, LEASE_STEP_MS)


@then("the entry's lease is valid")
def check_valid(context):
    assert context.leases.find_alive(context.owner) is not None


@then("the entry's lease has lapsed")
def check_lapsed(context):
    assert context.leases.find_alive(context.owner) is None
