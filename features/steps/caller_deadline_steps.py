"""Steps on callers that state for how long they wait."""

import asyncio
import json
import socket
import time

from behave import given, then, when
from local_system import HOST, wait_for
from platform_core_steps import JOB, QUEUE
from platform_steps import list_running, steps_of
from platform_system import CALLER_HOST, RESUBMIT_MS

from gapdrum.core.models import JobState, Resources, Step
from gapdrum.entry.waiting_callers import Caller, WaitingCallers, WaitOutcome
from gapdrum.platform.submissions import decode_wait_limit_ms
from gapdrum.timers import MS_PER_S, Timers

HEADER = "X-Deadline"
LATE_MS = 400  # how late a busy machine may notice that a time is over
STEPS = (Step(1, Resources(500, 0, 0), 0),)


def waiting_body(tasks, run_ms):
    spec = json.dumps({"run_ms": run_ms})
    return {"spec": spec, "steps": steps_of(tasks), "best_effort": True}


def submit(context, job, document, limit):
    headers = {"Host": CALLER_HOST, HEADER: limit}
    port = context.system.entries[0].port
    return context.system.call(port, "POST", f"/flags/{job}", document, headers)


# With processes.


@when(
    'the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms is sent to entry 0 by one who '
    "waits for {limit_ms:d} ms and falls silent"
)
def send_and_fall_silent(context, job, tasks, run_ms, limit_ms):
    context.silent_job = (job, tasks, run_ms)
    body = json.dumps(waiting_body(tasks, run_ms))
    head = f"POST /flags/{job} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n{HEADER}: {limit_ms}\r\n"
    # The connection stays open to the end of the scenario: no end and no reset reaches the entry.
    caller = socket.create_connection((HOST, context.system.entries[0].port))
    context.add_cleanup(caller.close)
    context.over_s = time.monotonic() + limit_ms / MS_PER_S
    caller.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())


@then("nothing runs {time_ms:d} ms after the caller's time is over")
def nothing_runs_after(context, time_ms):
    assert time.monotonic() < context.over_s, "the tasks started too late to tell"
    wait_until(context.over_s + time_ms / MS_PER_S)
    assert not list_running(context), list_running(context)


@when("the silent caller submits its job again at entry 1, as soon as it may")
def submit_again(context):
    job, tasks, run_ms = context.silent_job
    wait_until(context.over_s + RESUBMIT_MS / MS_PER_S)
    context.answer = context.system.submit(job, steps_of(tasks), entry=1, run_ms=run_ms, waits=True)


def wait_until(time_s):
    time.sleep(max(0.0, time_s - time.monotonic()))


@when(
    'the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms is submitted by one who waits '
    'for "{limit}" ms'
)
def submit_with_limit(context, job, tasks, run_ms, limit):
    context.answer = submit(context, job, waiting_body(tasks, run_ms), limit)


@when(
    'the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms is submitted by one who waits '
    'for "" ms'
)
def submit_with_empty_limit(context, job, tasks, run_ms):
    submit_with_limit(context, job, tasks, run_ms, "")


@when(
    'the stored job "{job}" of {tasks:d} tasks of {run_ms:d} ms is submitted by one who waits '
    'for "{limit}" ms'
)
def submit_stored_with_limit(context, job, tasks, run_ms, limit):
    document = waiting_body(tasks, run_ms)
    del document["best_effort"]
    context.answer = submit(context, job, document, limit)


@when(
    'the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms is on its way from one who '
    'waits for "{limit}" ms'
)
def submit_in_background(context, job, tasks, run_ms, limit):
    document = waiting_body(tasks, run_ms)
    context.in_flight_call = context.threads.submit(submit, context, job, document, limit)


@then("{count:d} tasks are at work")
def at_work(context, count):
    assert len(list_running(context)) == count, list_running(context)


@then("the waiting caller is told that nothing is known")
def told_nothing(context):
    status, document = context.in_flight_call.result()
    assert (status, document["code"]) == (504, "unsettled"), (status, document)


def callers_gone(context):
    return context.system.events("entry-0", "caller_gone")


@then('entry 0 has logged that the caller of "{job}" has waited for {limit_ms:d} ms')
def logged_waited_out(context, job, limit_ms):
    def latest_ms():
        return max((row["waited_ms"] for row in callers_gone(context)), default=0)

    # The line of an earlier caller of the same job may come first.
    wait_for(lambda: latest_ms() >= limit_ms, "the line")
    assert latest_ms() <= limit_ms + LATE_MS, callers_gone(context)
    for row in callers_gone(context):
        assert (row["request"], row["reason"]) == (job, "waited_out"), row


@then('entry 0 has logged that the caller of "{job}" has closed its connection')
def logged_closed(context, job):
    wait_for(lambda: callers_gone(context), "the line")
    (row,) = callers_gone(context)
    assert (row["request"], row["reason"]) == (job, "closed"), row


@then("entry 0 has logged no caller that has gone")
def logged_none(context):
    # The line on the job's end is written after any on its callers.
    wait_for(lambda: len(context.system.events("entry-0", "job_ended")) > 1, "the job's end")
    assert not callers_gone(context), callers_gone(context)


# Without processes.


@then('a header "{text}" states a waiting time of {limit}')
def header_states(_context, text, limit):
    expected = None if limit == "none" else int(limit.removesuffix(" ms"))
    assert decode_wait_limit_ms({HEADER.lower(): text}) == expected


@then('a header "" states a waiting time of none')
def empty_header_states(_context):
    assert decode_wait_limit_ms({HEADER.lower(): ""}) is None


@then("a request without the header states no waiting time")
def no_header(_context):
    assert decode_wait_limit_ms({"host": CALLER_HOST}) is None


@then("a header of {count:d} blanks states no waiting time")
def blank_header(_context, count):
    assert decode_wait_limit_ms({HEADER.lower(): " " * count}) is None


@then("a header of {count:d} digits states no waiting time")
def long_header(_context, count):
    assert decode_wait_limit_ms({HEADER.lower(): "1" * count}) is None


class FakeDispatch:
    """Records the jobs that are added, stopped and dropped; runs nothing."""

    def __init__(self):
        self.jobs = {}
        self.begun = []
        self.stopped = []
        self.dropped = []
        self.stop_runs = self.stopped.append

    def add_job(self, job, _now_ms):
        self.jobs[job.job_id] = job
        self.begun.append(job)

    def drop_job(self, job_id, reason):
        del self.jobs[job_id]
        self.dropped.append((job_id, reason))


class FakeLease:
    """Stands in for the entry's lease."""

    owner = "entry-1/life"


class FakeLog:
    """Records the events that are written."""

    def __init__(self):
        self.events = []

    def write(self, event, **_fields):
        self.events.append(event)


@given("callers of an entry that decides without processes")
def new_callers(context):
    context.dispatch, context.log = FakeDispatch(), FakeLog()
    context.callers = WaitingCallers(context.dispatch, FakeLease(), Timers(), context.log)


def ask(context, limit_ms, waited_ms, meanwhile=lambda: None):
    """Let a caller submit a job, and call ``meanwhile`` as soon as the job has begun."""

    async def run():
        closed = asyncio.get_running_loop().create_future()
        caller = Caller(closed, Timers.now_ms() - waited_ms, limit_ms)
        asking = asyncio.ensure_future(context.callers.run(JOB, QUEUE, "{}", STEPS, caller))
        await asyncio.sleep(0)
        meanwhile()
        return await asking

    context.end = asyncio.run(run())


@when(
    "a caller that waits for {limit_ms:d} ms asks for a job, whose end is known just when its "
    "time is over"
)
def end_in_time(context, limit_ms):
    def end_late():
        # The event loop is blocked beyond the limit: end and time-out come in the same turn.
        time.sleep(2 * limit_ms / MS_PER_S)
        job = context.dispatch.jobs[JOB]
        job.ending = JobState.SUCCEEDED
        context.callers.complete_job(job)
        context.dispatch.stopped.clear()

    ask(context, limit_ms, 0, end_late)


@when("the same job is asked for by a caller whose time is over already")
@when("a job is asked for by a caller whose time is over already")
def ask_too_late(context):
    ask(context, 50, 60)


@when("a caller that waits for {limit_ms:d} ms asks for a job, and the entry gives up")
def give_up(context, limit_ms):
    ask(context, limit_ms, 0, context.callers.give_up)


@then('the caller is told "{state}", and no run was stopped')
def told_end(context, state):
    assert context.end == WaitOutcome(JobState(state)), context.end
    assert not context.dispatch.stopped
    assert "caller_gone" not in context.log.events


@then("the caller is told that nothing is known, and no job was begun")
def told_nothing_begun(context):
    assert context.end == WaitOutcome(), context.end
    assert not context.dispatch.begun
    assert context.log.events == ["caller_gone"], context.log.events


@then("the caller is told that nothing is known, and the job was stopped once")
def told_nothing_stopped(context):
    assert context.end == WaitOutcome(), context.end
    assert len(context.dispatch.stopped) == 1
    assert not context.dispatch.jobs


@then("no caller was logged as gone")
def none_gone(context):
    assert "caller_gone" not in context.log.events
