"""Steps on what entries do once they know that a job has ended, on a fake store."""

import asyncio

from behave import given, then, when
from core_model import ManualTimers
from platform_core_steps import JOB, TASK, Effects, FakeStore, new_log

from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import Place, TaskPhase, build_job
from gapdrum.core.models import Resources, RunEnd, Step
from gapdrum.core.records import (
    EndedJob,
    JobProgress,
    OpenJob,
    dump_record,
    ended_row,
    load_record,
    open_row,
    step_row,
)
from gapdrum.core.rows import Put, Transaction
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.job_ends import JobEndRecorder

PLACE = Place("side-1", "i-1")
FORMER, OWNER = "edge-1/life", "edge-2/life"
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

    def send(self, agent, message):
        return self.links.send(agent, message)

    def job_ended(self, job):
        self.recorder.store_end(job)

    def on_unowned_end(self, place, event):
        self.recorder.resolve_unowned_end(place, event)

    def has_ended(self, job_id):
        return self.recorder.known_state(job_id) is not None


class StoredJobsEntry:
    """The parts of an entry that store and read the rows of jobs."""

    def __init__(self, store):
        timers = ManualTimers()
        log = new_log(timers)
        effects = EntryEffects()
        self.timers, self.links, self.peers = timers, Links(), Peers()
        effects.links = self.links
        self.dispatch = build_dispatch("plaine-nord", effects, lambda: True, 0)
        writer = GroupCommitWriter(store, Background(log))
        self.recorder = effects.recorder = JobEndRecorder(
            store, writer, self.dispatch, self.links, self.peers, timers, log
        )
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
        failure_limit=3,
        priority=0,
        latency_factor=1.6,
        latency_slack_ms=60,
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
