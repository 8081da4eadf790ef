"""Steps on what callers are told when a job does not run where it was handed in."""

import asyncio
import json
import random
from types import SimpleNamespace

import attrs
from behave import given, then, when
from caller_deadline_steps import FakeDispatch
from core_model import ManualTimers
from platform_core_steps import JOB, OWNER, QUEUE
from platform_system import RESUBMIT_MS

from gapdrum.core.departure import Departure
from gapdrum.entry.acceptance import Acceptance
from gapdrum.entry.front import Front
from gapdrum.entry.waiting_callers import WaitingCallers
from gapdrum.transport.http_messages import HttpRequest

ANSWER_WAIT_S = 0.05


class LineLog:
    """Remembers the lines that were written."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def fields_of(self, event):
        return [fields for name, fields in self.lines if name == event]


class FakeAcceptor:
    """Stores every job."""

    async def accept(self, *_job):
        return Acceptance.ACCEPTED


def build_entry(context):
    """Build what answers callers, with a store that answers and runners that never start a job."""
    context.timers = ManualTimers()
    context.log = LineLog()
    context.lease = SimpleNamespace(owner=OWNER, valid=True)
    context.dispatch = FakeDispatch()
    callers = WaitingCallers(context.dispatch, context.lease, context.timers, context.log)
    context.configuration = SimpleNamespace(current=SimpleNamespace(version=1))
    admission = SimpleNamespace(is_shut_out=lambda *_: False, judge=lambda *_: None)
    context.front = Front(
        context.configuration, context.dispatch, FakeAcceptor(), admission, callers,
        SimpleNamespace(known_state=lambda _job: None), SimpleNamespace(up=True), context.lease,
        context.log,
    )  # fmt: skip


def body_of(work_ms, waits):
    step = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": work_ms}
    return json.dumps({"spec": "{}", "steps": [step], "best_effort": waits}).encode()


def hand_in(context, body):
    """Hand a job in; return the answer, None if there is none yet."""

    async def send():
        closed = asyncio.get_running_loop().create_future()
        request = HttpRequest("POST", "/", {}, body, context.timers.now_ms(), closed)
        asking = asyncio.ensure_future(context.front._submit(request, QUEUE, JOB))
        await asyncio.wait({asking}, timeout=ANSWER_WAIT_S)
        return asking.result() if asking.done() else None

    return asyncio.run(send())


@given("an entry that ends in {left_ms:d} ms")
def leaving_entry(context, left_ms):
    build_entry(context)
    context.front.leave(Departure(context.timers.now_ms() + left_ms, RESUBMIT_MS))


@given("its lease is {state}")
def lease_state(context, state):
    context.lease.valid = state == "held"


@when("a caller hands in a {kind} job of {work_ms:d} ms there")
def handed_in(context, kind, work_ms):
    context.reply = hand_in(context, body_of(work_ms, waits=kind == "waiting"))


@then("the answer is none yet")
def no_answer_yet(context):
    assert context.reply is None, context.reply
    assert JOB in context.dispatch.jobs


@then("the answer is 200 stored")
def answered_stored(context):
    assert context.reply.status == 200, context.reply


@then("the answer is {status:d} {code}")
def answered(context, status, code):
    document = json.loads(context.reply.body)
    assert (context.reply.status, document["code"]) == (status, code), context.reply


@then("nothing has begun, and the answer says so and when to come back")
def told_not_run(context):
    assert not context.dispatch.begun
    assert json.loads(context.reply.body)["not_run"] is True
    assert context.reply.retry_after_s > 0


@then('a line "{event}" tells the reason "{reason}" and the status {status:d}')
def line_written(context, event, reason, status):
    (fields,) = context.log.fields_of(event)
    assert (fields["reason"], fields["status"]) == (reason, status), fields
    assert fields["retry_after_s"] == context.reply.retry_after_s


# Entries that are stopped in turn.


@attrs.frozen
class LongJob:
    """A job that reaches a leaving entry: its time left there, its work as stated and as it is."""

    left_ms: int
    stated_ms: int
    work_ms: int

    @property
    def objective_ms(self):
        return QUEUE.objective_ms(self.work_ms)


@given(
    "{count:d} long jobs that reach an entry in its last {time_ms:d} ms, of callers that come back "
    "after {pause_ms:d} ms"
)
def long_jobs(context, count, time_ms, pause_ms):
    rng = random.Random(1)
    context.pause_ms = pause_ms
    context.long_jobs = []
    for _ in range(count):
        stated_ms = int(700 * (10_000 / 700) ** rng.random())
        work_ms = int(stated_ms * rng.uniform(0.6, 1.4))
        context.long_jobs.append(LongJob(rng.randrange(time_ms), stated_ms, work_ms))


@when("the entry takes those for which it has time")
def entry_takes(context):
    def takes(job):
        departure = Departure(job.left_ms, context.pause_ms)
        return departure.has_time(0, job.stated_ms, QUEUE.objective_ms(job.stated_ms))

    context.taken = [job for job in context.long_jobs if takes(job)]
    context.sent_away = [job for job in context.long_jobs if not takes(job)]
    assert len(context.taken) > 100 and len(context.sent_away) > 100


@then("of those that it sends elsewhere, 9 in 10 of the longest half end in time there")
def in_time_elsewhere(context):
    longest = sorted(context.sent_away, key=lambda job: job.work_ms)[len(context.sent_away) // 2 :]
    in_time = [job for job in longest if context.pause_ms + job.work_ms <= job.objective_ms]
    assert len(in_time) >= 0.9 * len(longest), (len(in_time), len(longest))


@then("of those that it takes, fewer than 1 in 20 are cut off at its end")
def few_cut_off(context):
    cut_off = [job for job in context.taken if job.work_ms > job.left_ms]
    assert len(cut_off) < len(context.taken) / 20, (len(cut_off), len(context.taken))
