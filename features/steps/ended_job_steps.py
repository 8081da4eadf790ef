"""Steps on what entries do once they know that a job has ended, on a fake store."""

import asyncio
from types import SimpleNamespace
from unittest.mock import patch

import resubmission_steps as base
from behave import given, then, when
from core_model import ManualTimers
from platform_core_steps import JOB, TASK, Effects, FakeStore, new_log

from gapdrum.agent.entry_links import EntryLink
from gapdrum.background import Background
from gapdrum.core import orders, placer
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import Place, TaskPhase, build_job
from gapdrum.core.models import JobState, Resources, RunEnd, Step
from gapdrum.core.placer import TRY_INTERVAL_MS
from gapdrum.core.records import (
    EndedJob,
    JobPolicy,
    JobProgress,
    OpenJob,
    dump_record,
    ended_row,
    load_end,
    load_record,
    open_row,
    progress_row,
    step_row,
)
from gapdrum.core.rows import Put, Transaction
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS
from gapdrum.entry import job_ends, ownership
from gapdrum.entry.ended_jobs import EndedJobs
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.job_api import JobApi
from gapdrum.entry.job_ends import PROGRESS_DELAY_MS, JobEndRecorder
from gapdrum.entry.open_tasks import OpenTaskLimit
from gapdrum.entry.ownership import CONFIRM_AFTER_MS, OwnershipChecker
from gapdrum.exceptions import StoreError, StoreOutcomeUnknownError
from gapdrum.platform.submissions import MAX_TASKS

PLACE = Place("side-1", "i-1")
FORMER, OWNER = "edge-1/life", "edge-2/life"
OTHER_JOB = "00000000000000f2"
TURNS = 50  # of the event loop, for background work on the fake store


class Links:
    """Records the messages to agents."""

    def __init__(self):
        self.sent = []
        self.broadcasts = []

    def send(self, agent, message):
        self.sent.append((agent, message))
        return True

    def broadcast(self, message):
        self.broadcasts.append(message)


class Peers:
    """Records the messages to other entries."""

    def __init__(self):
        self.told = []

    def notify_cancelled(self, owner, job_id, epoch):
        self.told.append((owner, job_id, epoch))


class EntryEffects(Effects):
    """The effects of an entry's decisions: ends of jobs are stored, unowned ends looked up."""

    recorder: JobEndRecorder
    ended_jobs: EndedJobs

    def send(self, agent, message):
        return self.links.send(agent, message)

    def job_ended(self, job):
        self.recorder.store_end(job)

    def on_unowned_end(self, place, event):
        self.ended_jobs.resolve_unowned_end(place, event)

    def has_ended(self, job_id):
        return self.ended_jobs.known_state(job_id) is not None


class StoredJobsEntry:
    """The parts of an entry that store and read the rows of jobs."""

    def __init__(self, store, instance="edge-2"):
        timers = ManualTimers()
        log = new_log(timers)
        effects = EntryEffects()
        self.timers, self.links, self.peers = timers, Links(), Peers()
        effects.links = self.links
        self.dispatch = build_dispatch("plaine-nord", effects, lambda: True, 0)
        writer = GroupCommitWriter(store, Background(log))
        self.ended_jobs = effects.ended_jobs = EndedJobs(
            instance, store, self.dispatch, self.links, self.peers, log
        )
        self.ownership = OwnershipChecker(store, self.dispatch, self.ended_jobs, timers, log)
        self.recorder = effects.recorder = JobEndRecorder(
            store, writer, self.dispatch, self.ended_jobs, self.ownership, timers, log
        )
        self.api = JobApi(
            None, self.dispatch, None, None, SimpleNamespace(has_ended=lambda _job: False),
            self.recorder, self.ended_jobs, store, SimpleNamespace(valid=True), log,
            OpenTaskLimit(MAX_TASKS, lambda: 0),
        )  # fmt: skip
        greeting = orders.AgentGreeting(PLACE.agent, "life-1", "plaine-nord", 1)
        self.view = self.dispatch.fleet.agent_joined(greeting, 1_000)

    def report(self, event):
        """Apply an event that an agent reports."""
        message = orders.RunEvents(PLACE.runner_id, (event,))
        self.dispatch.apply_events(self.view, message, self.timers.now_ms())


def run(context, work):
    """Run a coroutine, and then what it has left in the background."""

    async def run_all():
        result = await work
        for _ in range(TURNS):
            await asyncio.sleep(0)
        return result

    if getattr(context, "runner", None) is None:
        context.runner = asyncio.Runner()
        context.add_cleanup(context.runner.close)
    return context.runner.run(run_all())


async def call(function, *arguments):
    return function(*arguments)


def open_record(owner, epoch, tasks=1):
    step = step_row(Step(tasks, Resources(500, 10, 0), 100))
    return OpenJob("flags", "inspect-desk", "{}", owner, epoch, 0, (step,))


def own_job(context, owner, epoch, tasks=1):
    """Store a job's row, and let the entry own the job."""
    record = open_record(owner, epoch, tasks)
    put = Put(open_row(JOB), dump_record(record))
    version = context.store.apply(Transaction(puts=(put,))).version
    context.job = build_job(
        JOB,
        record,
        version,
        1_000,
        durable=True,
        policy=JobPolicy(3, 0, 1.6, 60),
    )
    return context.job


def end_of(detail, attempt):
    return orders.RunEvent(TASK.text, attempt, 1, orders.ENDED, detail, end_number=7)


@given("an entry that has taken over a job and done its task as attempt {attempt:d}")
def taken_over_and_done(context, attempt):
    context.store = FakeStore()
    context.entry = entry = StoredJobsEntry(context.store)
    job = own_job(context, OWNER, 2)
    task = job.tasks[0]
    assert job.next_attempt(task) == attempt
    task.attempt, task.phase = attempt, TaskPhase.RUNNING
    task.assign_place(PLACE)
    run(context, call(entry.dispatch.add_job, job, 1_000))
    run(context, call(entry.report, end_of("done", attempt)))
    entry.links.sent.clear()


@given("an entry that has taken over a job whose only task was done as attempt {attempt:d}")
def taken_over_done(context, attempt):
    context.store = FakeStore()
    context.entry = StoredJobsEntry(context.store)
    job = own_job(context, OWNER, 2)
    former = own_job(context, FORMER, 1)
    former.tasks[0].attempt = attempt
    former.record_end(former.tasks[0], attempt, RunEnd.DONE, 1_000)
    job.version = context.store.version
    job.restore(load_record(dump_record(former.progress()), JobProgress))
    run(context, call(context.entry.dispatch.add_job, job, 1_000))


@given("an entry that has taken over a job whose task may be at work")
def taken_over_unknown(context):
    context.store = FakeStore()
    context.entry = StoredJobsEntry(context.store)
    job = own_job(context, OWNER, 2)
    job.requeue_unknown_at_ms = 9_000
    job.tasks[0].phase = TaskPhase.UNKNOWN
    run(context, call(context.entry.dispatch.add_job, job, 1_000))


@when('it is sent the end "{detail}" of attempt {attempt:d}')
def sent_end(context, detail, attempt):
    run(context, call(context.entry.report, end_of(detail, attempt)))


@when('another entry is sent the end "{detail}" of attempt {attempt:d}')
def another_sent_end(context, detail, attempt):
    context.entry = StoredJobsEntry(context.store)
    sent_end(context, detail, attempt)


@then("the agent learns that the end was superseded")
def told_superseded(context):
    assert_told(context, orders.EndsStored(PLACE.runner_id, (), (7,)))


@then("the agent learns that the end is stored")
def told_stored(context):
    assert_told(context, orders.EndsStored(PLACE.runner_id, (7,), ()))


def assert_told(context, message):
    assert context.entry.links.sent == [(PLACE.agent, message)], context.entry.links.sent


@then('the job is stored as "{state}"')
def stored_as(context, state):
    row = context.store.row(ended_row(JOB))
    assert row.value is not None, context.store.rows
    assert load_record(row.value, EndedJob).state == state, row


# Jobs that are cancelled at another entry than their owner.


@given("an entry that owns a job of {tasks:d} tasks, one of them at work")
def owns_job(context, tasks):
    context.store = FakeStore()
    context.owner = context.entry = entry = StoredJobsEntry(context.store, "edge-1")
    job = own_job(context, FORMER, 1, tasks)
    task = job.tasks[0]
    task.attempt, task.phase = 1, TaskPhase.RUNNING
    task.assign_place(PLACE)
    run(context, call(entry.dispatch.add_job, job, 1_000))


def cancel_at(context, entry):
    """Cancel the job at an entry; return whether that is acknowledged."""

    async def cancel():
        try:
            return (await entry.api._cancel(JOB)).status == 200
        except StoreError:
            return False

    return run(context, cancel())


@when("another entry cancels it{more}")
def another_cancels(context, more):
    context.other = StoredJobsEntry(context.store, "edge-3")
    answer_is_lost = "is lost" in more
    if answer_is_lost:
        context.store.failures = [StoreOutcomeUnknownError("lost")]
    lookups = 0 if "repeats" in more else 1
    with patch.object(job_ends, "CANCELLATION_LOOKUPS", lookups):
        assert cancel_at(context, context.other) != answer_is_lost
        if "repeats" in more:
            assert cancel_at(context, context.other)


@when("a third entry {learns}")
def third_learns(context, learns):
    context.other = other = StoredJobsEntry(context.store, "edge-4")
    if "cancels" in learns:
        assert cancel_at(context, other)
    elif "shows" in learns:
        assert run(context, other.api._find_state(JOB)) is JobState.CANCELLED
    else:
        run(context, call(other.report, end_of("done", 1)))


@then("that entry has notified its agents and the owner, once")
def notified(context):
    row = orders.JobEpoch(JOB, 2)
    assert context.other.links.broadcasts == [orders.JobsCancelled((row,))]
    assert context.other.peers.told == [(FORMER, JOB, 2)], context.other.peers.told


@when("the owner learns of it by {way}")
def owner_learns(context, way):
    owner = context.owner
    if way == "a message":
        run(context, call(owner.ended_jobs.apply_cancellation, orders.JobCancelled(JOB, 2)))
    elif way == "its own check":
        owner.timers.time_ms += CONFIRM_AFTER_MS
        run(context, owner.ownership.check_due())
    elif way == "a conflict of its progress":
        run(context, call(owner.report, end_of("failed", 1)))
        owner.links.sent.clear()
        owner.timers.time_ms += PROGRESS_DELAY_MS
        run(context, owner.recorder.store_progress())
    else:
        cancel_at(context, owner)


@then("it has ordered the run to stop, and has dropped the job")
def stopped(context):
    stop = orders.StopOrder(PLACE.runner_id, (orders.NamedRun(TASK.text, 1),))
    assert (PLACE.agent, stop) in context.owner.links.sent, context.owner.links.sent
    assert_dropped(context)


@then("it has dropped the job")
def assert_dropped(context):
    assert JOB not in context.owner.dispatch.jobs
    assert context.owner.ended_jobs.known_state(JOB) is JobState.CANCELLED


@when("its run is reported as held after that")
def reported_held(context):
    context.owner.links.sent.clear()
    row = orders.HeldRun(TASK.text, 1, 1, orders.HELD_RUNNING)
    holdings = orders.Holdings(PLACE.runner_id, (), (row,))
    run(context, call(context.owner.dispatch.apply_holdings, context.owner.view, holdings, 2_000))


@when("the owner checks its job after {time_ms:d} ms")
def owner_checks(context, time_ms):
    context.owner.timers.time_ms += time_ms
    context.reads = context.store.reads
    run(context, context.owner.ownership.check_due())
    context.reads = context.store.reads - context.reads


@then("it has read {count:d} rows, and the job goes on")
def has_read(context, count):
    assert context.reads == count, context.reads
    assert JOB in context.owner.dispatch.jobs


@when("another entry claims the job")
def another_claims(context):
    put = Put(open_row(JOB), dump_record(open_record(OWNER, 2, 2)))
    context.store.apply(Transaction(puts=(put,)))


@then("it has dropped the job, and has stopped no run")
def dropped_unstopped(context):
    assert JOB not in context.owner.dispatch.jobs
    assert not context.owner.links.sent, context.owner.links.sent


@when("the job's row {is_lost}")
def row_lost(context, is_lost):
    store, at = context.store, open_row(JOB)
    if is_lost == "is removed":
        store.apply(Transaction(removals=(at,)))
    elif is_lost == "is overwritten":
        store.apply(Transaction(puts=(Put(at, b"other"),)))
    else:
        store.apply(Transaction(puts=(Put(at, store.row(at).value),)))


@when("the owner checks its rows")
def checks_rows(context):
    owner_learns(context, "its own check")


@when("the owner is asked to cancel it")
def asked_to_cancel(context):
    owner = context.owner
    context.job.ending = JobState.CANCELLED
    run(context, asyncio.wait_for(owner.recorder.finish(context.job), 5))


@then('it has ordered the run to stop, and has forgotten the job as "{reason}"')
def stopped_for(context, reason):
    stop = orders.StopOrder(PLACE.runner_id, (orders.NamedRun(TASK.text, 1),))
    assert (PLACE.agent, stop) in context.owner.links.sent, context.owner.links.sent
    assert JOB not in context.owner.dispatch.jobs
    notes = context.owner.dispatch.effects.noted("job_dropped")
    assert [fields["reason"] for fields in notes] == [reason], notes


@when("the first task ends, and its progress is stored within {tries:d} tries")
def progress_stored_within(context, tries):
    with patch.object(ownership, "RETRY_INTERVAL_MS", 0):
        end_task(context, 0)
        for _ in range(tries - 1):
            context.owner.timers.time_ms += PROGRESS_DELAY_MS
            run(context, context.owner.recorder.store_progress())


@when(
    "another entry is asked {times:d} times to cancel it while the store loses all answers and "
    "executes nothing"
)
def cancel_in_vain(context, times):
    context.other = StoredJobsEntry(context.store, "edge-3")

    async def lose(_transaction):
        raise StoreOutcomeUnknownError("lost")

    with patch.object(context.store, "transact", lose):
        for _ in range(times):
            assert not cancel_at(context, context.other)


@then("it looks up one job")
def looks_up_one(context):
    assert context.other.recorder._looked_up == {JOB}, context.other.recorder._looked_up


# An agent that is told of a cancellation.


@given("an agent that runs a task of a stored job")
def agent_runs(context):
    base.new_agent(context)
    base.join(context)
    base.step(context)
    base.step(context)
    order_run(context)
    assert len(context.controller.ledger.runs) == 1
    context.link.stream.sent.clear()


def order_run(context, attempt=1):
    row = orders.OrderedRun(0, 0, attempt, 500, 10, 0, 100)
    now_ms = context.timers.now_ms()
    order = orders.StartOrder("i-1", JOB, 1, "{}", now_ms, True, (row,))
    context.agent.orders.take(context.link, order)


@when("another entry tells it that the job was cancelled")
def tells_agent(context):
    context.other_link = EntryLink("edge-2", base.ADDRESS)
    message = orders.JobsCancelled((orders.JobEpoch(JOB, 2),))
    context.agent.orders.take(context.other_link, message)


@then("it stops the run, and has notified the owner before")
def agent_stops(context):
    assert context.stops, context.controller.ledger.runs
    assert context.link.stream.sent == [orders.JobCancelled(JOB, 2)], context.link.stream.sent


@when("the owner orders another run of the job")
def orders_another(context):
    context.link.stream.sent.clear()
    order_run(context, attempt=2)


@then("it starts nothing, and notifies the owner of the cancellation")
def starts_nothing(context):
    assert len(context.controller.ledger.runs) == 1
    first = context.link.stream.sent[0]
    assert first == orders.JobCancelled(JOB, 2), context.link.stream.sent


# Writes that take effect late.


def end_task(context, index):
    """Let a task of the job end as done, and its end be stored as progress."""
    owner = context.owner
    task = context.job.tasks[index]
    task.attempt, task.phase = 1, TaskPhase.RUNNING
    task.assign_place(PLACE)
    number = index + 1
    event = orders.RunEvent(task.name.text, 1, 1, orders.ENDED, "done", end_number=number)
    run(context, call(owner.report, event))
    owner.timers.time_ms += PROGRESS_DELAY_MS
    run(context, owner.recorder.store_progress())


@when("the first task ends, and the store executes the write of that late")
def first_ends(context):
    store = context.store

    async def execute_late(transaction):
        context.late = transaction
        raise StoreOutcomeUnknownError("lost")

    with patch.object(store, "transact", execute_late):
        end_task(context, 0)


@when("the second task ends, and the store answers")
def second_ends(context):
    end_task(context, 1)


@when("the store executes the first write")
def execute_first(context):
    context.store.apply(context.late)


@then("the progress in the store has {count:d} tasks that are done")
def progress_done(context, count):
    record = load_record(context.store.row(progress_row(JOB)).value, JobProgress)
    assert sum(row.done for row in record.tasks) == count, record


@then("the agent may acknowledge both ends")
def both_acknowledged(context):
    numbers = {
        number
        for _, message in context.owner.links.sent
        if isinstance(message, orders.EndsStored)
        for number in message.numbers
    }
    assert numbers == {1, 2}, context.owner.links.sent


# Attempts that were abandoned.


@when("its agent is lost, and another one has room")
def agent_lost(context):
    entry = context.entry
    report_runner(entry, entry.view, "i-1")
    runner = entry.dispatch.fleet.runners[PLACE]
    runner.out.add(context.job.tasks[0])
    entry.timers.time_ms += SILENCE_LIMIT_MS + 1
    run(context, call(entry.dispatch.expire_silent, entry.timers.now_ms()))
    add_room(context)


def add_room(context):
    entry = context.entry
    greeting = orders.AgentGreeting("side-2", "life-1", "plaine-nord", 1)
    view = entry.dispatch.fleet.agent_joined(greeting, entry.timers.now_ms())
    report_runner(entry, view, "i-2")
    place(context)


def report_runner(entry, view, runner_id):
    now_ms = entry.timers.now_ms()
    view.heard_ms = now_ms
    report = orders.RunnerReport(runner_id, "inspect-desk", orders.READY, (), 4_000, 4_000, 0)
    entry.dispatch.apply_report(view, report, now_ms)
    entry.dispatch.apply_room(view, orders.RoomReport(runner_id, 4_000, 4_000, 0, 0, 0))
    entry.dispatch.fleet.runners[Place(view.agent, runner_id)].synced = True


def place(context):
    entry = context.entry
    entry.timers.time_ms += TRY_INTERVAL_MS
    run(context, call(entry.dispatch.placer.place_waiting, entry.timers.now_ms()))


@when("nobody has told of the task in time, and an agent has room")
def nobody_told(context):
    entry = context.entry
    context.owner = entry
    now_ms = context.job.requeue_unknown_at_ms
    entry.timers.time_ms = now_ms
    run(context, call(entry.dispatch.requeue_unknown_tasks, now_ms))
    add_room(context)


def list_ordered(context):
    """Return the attempts of the first task that were ordered."""
    return [
        row.attempt
        for _, message in context.entry.links.sent
        if isinstance(message, orders.StartOrder)
        for row in message.runs
        if row.index == 0
    ]


@then("attempt {attempt:d} of the task is not ordered")
def not_ordered(context, attempt):
    assert attempt not in list_ordered(context), context.entry.links.sent


@when("the entry stores the progress of the job")
def stores_progress(context):
    run(context, context.entry.recorder.store_progress())
    place(context)


@then("attempt {attempt:d} of the task is ordered")
def is_ordered(context, attempt):
    assert list_ordered(context) == [attempt], context.entry.links.sent


@when('another entry takes the job over and is sent the end "{detail}" of attempt {attempt:d}')
def next_owner_sent_end(context, detail, attempt):
    take_over(context)
    run(context, call(context.entry.report, end_of(detail, attempt)))


def take_over(context):
    """Let another entry take the job over, and be told of none of its tasks."""
    tasks = len(context.job.tasks)
    stored = load_record(context.store.row(progress_row(JOB)).value, JobProgress)
    context.entry = entry = StoredJobsEntry(context.store, "edge-3")
    job = own_job(context, "edge-3/life", 3, tasks)
    job.failure_limit = getattr(context, "failure_limit", job.failure_limit)
    job.requeue_unknown_at_ms = 99_000
    for task in job.tasks:
        task.phase = TaskPhase.UNKNOWN
    job.restore(stored)
    run(context, call(entry.dispatch.add_job, job, 1_000))


@then("the agent learns that the end is not needed yet")
def not_needed_yet(context):
    assert not context.entry.links.sent, context.entry.links.sent
    assert context.job.tasks[0].phase is TaskPhase.DONE


# Jobs that are cancelled elsewhere after an attempt was abandoned.


@when("the job is cancelled at another entry{more}")
def cancels_after_that(context, more):
    """Cancel the job while its progress is stored, or end before the attempts are moved."""
    context.other = other = StoredJobsEntry(context.store, "edge-3")
    moves = 0 if "which ends" in more else 1
    read_row = context.store.read_row

    async def read_and_store(at):
        row = await read_row(at)
        context.store.read_row = read_row
        await context.owner.recorder.store_progress()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        return row

    if "stores that between" in more:
        context.store.read_row = read_and_store
    with patch.object(job_ends, "CANCELLATION_LOOKUPS", moves):
        assert cancel_at(context, other)


@when("the job {goes} while the entry stores its progress")
def dropped_meanwhile(context, goes):
    entry, store = context.entry, context.store

    async def execute(transaction):
        result = store.apply(transaction)
        if goes == "is cancelled elsewhere":
            entry.ended_jobs.apply_cancellation(orders.JobCancelled(JOB, 2))
        elif goes == "is claimed elsewhere":
            entry.dispatch.drop_claimed_job(orders.JobLost(JOB, 2))
        else:
            entry.dispatch.drop_job(JOB, "lease_lost")
        return result

    with patch.object(store, "transact", execute):
        run(context, entry.recorder.store_progress())
    assert JOB not in entry.dispatch.jobs


@then("the job is not queued for placement")
def not_queued(context):
    assert context.entry.dispatch.placer.waiting <= context.entry.dispatch.jobs.keys()
    place(context)


@when("the placement of the job fails")
def placement_fails(context):
    entry = context.entry
    report_runner(entry, entry.view, "i-1")
    choose = placer.choose_runner

    def fail(job, *arguments):
        if job.job_id == JOB:
            raise KeyError("planted")
        return choose(job, *arguments)

    patched = patch.object(placer, "choose_runner", fail)
    patched.start()
    context.add_cleanup(patch.stopall)
    entry.dispatch.placer.enqueue(context.job)


@then("a new job is ordered at once")
def new_job_ordered(context):
    entry = context.entry
    now_ms = entry.timers.now_ms()
    policy = JobPolicy(3, 0, 1.6, 60)
    job = build_job(OTHER_JOB, open_record(FORMER, 1), 0, now_ms, durable=False, policy=policy)
    run(context, call(entry.dispatch.add_job, job, now_ms))
    place(context)
    place(context)
    assert OTHER_JOB in list_ordered_jobs(context), entry.links.sent


def list_ordered_jobs(context):
    sent = context.entry.links.sent
    return [message.job_id for _, message in sent if isinstance(message, orders.StartOrder)]


@then("the failed placement is logged once")
def failure_logged(context):
    notes = context.entry.dispatch.effects.noted("placement_failed")
    assert [note["request"] for note in notes] == [JOB], notes


@then("the job is ordered a second later")
def ordered_later(context):
    patch.stopall()
    context.entry.timers.time_ms += placer.FAILED_RETRY_MS
    report_runner(context.entry, context.entry.view, "i-1")
    place(context)
    assert JOB in list_ordered_jobs(context), context.entry.links.sent


@given("the job allows {attempts:d} attempts")
def allows_attempts(context, attempts):
    context.job.failure_limit = context.failure_limit = attempts


@given("attempt 1 has failed, which is stored, and attempt 2 is at work")
def failed_before(context):
    task = context.job.tasks[0]
    task.failed_attempts, task.attempt = {1}, 2
    task.assign_place(PLACE)


@when("another entry takes the job over, and nobody tells of the task in time")
def taken_over_untold(context):
    take_over(context)
    requeue(context)


def requeue(context):
    """Let the time pass in which agents tell a new owner of its tasks."""
    entry = context.entry
    job = entry.dispatch.jobs[JOB]
    entry.timers.time_ms = job.requeue_unknown_at_ms
    run(context, call(entry.dispatch.requeue_unknown_tasks, entry.timers.now_ms()))


@when("nobody has told of the task in time, and its end is sent again")
def sent_again(context):
    requeue(context)
    sent_end(context, "done", 1)


@then("the agent learns twice that the end was superseded")
def superseded_twice(context):
    message = (PLACE.agent, orders.EndsStored(PLACE.runner_id, (), (7,)))
    assert context.entry.links.sent == [message] * 2, context.entry.links.sent


@when("attempt 2 {goes}")
def second_attempt_goes(context, goes):
    if goes != "goes on":
        event = orders.RunEvent(TASK.text, 2, 1, orders.ENDED, "failed", end_number=8)
        message = orders.RunEvents("i-2", (event,))
        entry = context.entry
        view = entry.dispatch.fleet.runners[context.job.tasks[0].place].agent
        run(context, call(entry.dispatch.apply_events, view, message, entry.timers.now_ms()))
        add_other_room(context)
        assert context.job.tasks[0].attempt == 3, context.job.tasks[0]
    context.entry.links.sent.clear()


def add_other_room(context):
    """Let another runner have room, as the task avoids the one where it failed."""
    entry = context.entry
    greeting = orders.AgentGreeting("side-3", "life-1", "plaine-nord", 1)
    report_runner(entry, entry.dispatch.fleet.agent_joined(greeting, entry.timers.now_ms()), "i-3")
    place(context)


@then('the end of attempt 1 {told}, and the task has failed as "{failed}"')
def late_failure(context, told, failed):
    superseded = (PLACE.agent, orders.EndsStored(PLACE.runner_id, (), (7,)))
    sent = context.entry.links.sent
    assert (superseded in sent) == (told == "was superseded"), sent
    task = context.entry.dispatch.jobs[JOB].tasks[0]
    assert task.failed_attempts == set(map(int, failed.split())), task.failed_attempts


@then('the end of attempt 1 {told}, and the task has failed as ""')
def late_failure_only(context, told):
    late_failure(context, told, "")


@when("the job is cancelled at its owner")
def cancels_at_owner(context):
    assert cancel_at(context, context.owner)
    context.owner.links.sent.clear()


@when('{entry} then is sent the end "{detail}" of attempt {attempt:d}')
def then_sent_end(context, entry, detail, attempt):
    entries = {"it": getattr(context, "other", None), "the owner": context.owner}
    receiver = entries.get(entry) or StoredJobsEntry(context.store, "edge-4")
    if entry == "an entry that was told":
        run(context, call(receiver.ended_jobs.apply_cancellation, orders.JobCancelled(JOB, 2)))
    elif entry == "the owner":
        owner_learns(context, "a message")
    receiver.links.sent.clear()
    context.entry = receiver
    sent_end(context, detail, attempt)


@when("the new owner cancels it before it was told of the task")
def new_owner_cancels(context):
    stored = load_record(context.store.row(progress_row(JOB)).value, JobProgress)
    context.other = entry = StoredJobsEntry(context.store, "edge-3")
    job = own_job(context, "edge-3/life", 2, 2)
    job.has_progress_row = True
    for task in job.tasks:
        task.phase = TaskPhase.UNKNOWN
    job.restore(stored)
    run(context, call(entry.dispatch.add_job, job, 1_000))
    assert cancel_at(context, entry)


@when("the job's progress row is overwritten")
def progress_overwritten(context):
    context.store.apply(Transaction(puts=(Put(progress_row(JOB), b"other"),)))


@then("the progress row is {kept}")
def progress_kept(context, kept):
    assert (context.store.row(progress_row(JOB)).value is None) == (kept == "removed")


# The size of rows.


@given("a job of {tasks:d} tasks, each of them done as its 3rd attempt after a failure")
def large_job(context, tasks):
    context.store = FakeStore()
    job = own_job(context, OWNER, 2, tasks)
    for task in job.tasks:
        task.attempt, task.phase, task.failed_attempts = (
            1_003,
            TaskPhase.DONE,
            {1_001 + task.name.index % 2},
        )


@then(
    "its progress and its end take at most {limit:d} bytes each, and are read as they were written"
)
def fits(context, limit):
    job = context.job
    progress = dump_record(job.progress())
    assert load_record(progress, JobProgress) == job.progress()
    job.ending = JobState.SUCCEEDED
    end = job_ends.build_end(job)
    assert load_end(end.dump()) == end
    for value in (progress, end.dump()):
        assert len(value) <= limit, len(value)
