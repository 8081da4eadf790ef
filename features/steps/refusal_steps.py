"""Steps on what callers are told when a job does not run where it was submitted."""

import asyncio
import json
import random
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

import attrs
import msgpack
from behave import given, then, when
from caller_deadline_steps import FakeDispatch
from connection_model import FakeTransport
from core_model import ManualTimers
from platform_core_steps import JOB, OWNER, QUEUE
from platform_system import RESUBMIT_MS

from gapdrum.codec import Decoder, encode
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import JobState
from gapdrum.core.planned_shutdown import PlannedShutdown
from gapdrum.core.rows import Committed, Row
from gapdrum.entry import configuration_watch, peer_configuration
from gapdrum.entry.acceptance import Acceptor
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.entry.job_api import JobApi
from gapdrum.entry.links import AgentLinks
from gapdrum.entry.open_tasks import OpenTaskLimit
from gapdrum.entry.peer_configuration import PeerConfigurationFetcher
from gapdrum.entry.waiting_callers import WaitingCallers
from gapdrum.event_log import EventLog
from gapdrum.exceptions import StoreRejectedError, StreamClosedError
from gapdrum.losses import summarize_losses
from gapdrum.operator_feed import TableUpdate
from gapdrum.platform.operator_table import CONFIGURATION_ROW
from gapdrum.platform.submissions import MAX_TASKS
from gapdrum.timelines import LogLine
from gapdrum.transport import http_server
from gapdrum.transport.http_messages import HttpRequest
from gapdrum.transport.http_server import HttpListener
from gapdrum.transport.request_reader import HttpLimits

ANSWER_WAIT_S = 0.05
CONFIGURATION_TOLD = 76  # on the wire
LIMITS = {
    "max_header_bytes": 2_000,
    "max_body_bytes": 1_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


class LineLog(EventLog):
    """Records the lines that are written, and counts them."""

    def __init__(self, timers):
        super().__init__("entry-1", timers)
        self.lines = []

    def write(self, event, **fields):
        super().write(event, **fields)
        self.lines.append((event, fields))

    def fields_of(self, event):
        return [fields for name, fields in self.lines if name == event]


class FakeWriter:
    """Stores every row, or refuses all."""

    def __init__(self):
        self.refuses = False

    async def write(self, _part, _transaction):
        if self.refuses:
            raise StoreRejectedError("507")
        return Committed(1)


def build_entry(context):
    """Build an entry's HTTP API, with a store that answers and a dispatch that runs nothing."""
    context.timers = ManualTimers()
    context.log = LineLog(context.timers)
    context.lease = SimpleNamespace(owner=OWNER, valid=True)
    context.dispatch = FakeDispatch()
    context.writer = FakeWriter()
    context.callers = WaitingCallers(context.dispatch, context.lease, context.timers, context.log)
    context.configuration = ConfigurationWatch(context.log)
    take_configuration(context, 1)
    acceptor = Acceptor(
        None, context.writer, context.lease, context.timers, context.log, lambda _job: None
    )
    admission = SimpleNamespace(is_unschedulable=lambda *_: False, check_overload=lambda *_: None)
    context.front = JobApi(
        context.configuration, context.dispatch, acceptor, admission, context.callers,
        None, SimpleNamespace(known_state=lambda _job: None), SimpleNamespace(up=True),
        context.lease, context.log, OpenTaskLimit(MAX_TASKS, lambda: 0),
    )  # fmt: skip


def document_of(version):
    route = {
        "name": QUEUE.name, "host": QUEUE.host, "prefix": QUEUE.prefix, "service": QUEUE.upstream,
        "stretch": QUEUE.latency_factor, "target_latency_ms": QUEUE.latency_slack_ms,
    }  # fmt: skip
    return json.dumps({"version": version, "routes": [route], "limits": LIMITS}).encode()


def take_row(context, value):
    news = TableUpdate((Row(CONFIGURATION_ROW, value, 1),), 1, is_snapshot=True)
    context.configuration.apply_table(news)


def take_configuration(context, version):
    take_row(context, document_of(version))


def body_of(work_ms, waits):
    step = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": work_ms}
    return json.dumps({"spec": "{}", "steps": [step], "best_effort": waits}).encode()


def request_of(context, body, job_id=JOB, method="POST"):
    closed = asyncio.get_running_loop().create_future()
    headers = {"host": QUEUE.host}
    return HttpRequest(
        method, f"{QUEUE.prefix}{job_id}", headers, body, context.timers.now_ms(), closed
    )


async def ask(context, request, meanwhile=lambda: None):
    """Send a request; return the answer, None if there is none yet."""
    asking = asyncio.ensure_future(context.front.handle(request))
    await asyncio.sleep(0)
    meanwhile()
    await asyncio.wait({asking}, timeout=ANSWER_WAIT_S)
    return asking.result() if asking.done() else None


def submit_job(context, body, meanwhile=lambda: None):
    """Submit a job; return the answer, None if there is none yet."""

    async def send():
        return await ask(context, request_of(context, body), meanwhile)

    return asyncio.run(send())


@given("an entry that ends in {left_ms:d} ms")
def leaving_entry(context, left_ms):
    build_entry(context)
    context.front.leave(PlannedShutdown(context.timers.now_ms() + left_ms, RESUBMIT_MS))


@given("its lease is {state}")
def lease_state(context, state):
    context.lease.valid = state == "held"


@when("a caller submits a {kind} job of {work_ms:d} ms there")
def job_submitted(context, kind, work_ms):
    context.reply = submit_job(context, body_of(work_ms, waits=kind == "waiting"))


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


@then('a line "{event}" has the reason "{reason}" and the status {status:d}')
def line_written(context, event, reason, status):
    (fields,) = context.log.fields_of(event)
    assert (fields["reason"], fields["status"]) == (reason, status), fields
    assert fields["retry_after_s"] == context.reply.retry_after_s


# Entries that are stopped in turn.


@attrs.frozen
class LongJob:
    """A job that reaches an entry in shutdown: the time left, its stated and its real work."""

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
        shutdown = PlannedShutdown(job.left_ms, context.pause_ms)
        return shutdown.accepts_job(0, job.stated_ms, QUEUE.objective_ms(job.stated_ms))

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


# Refusals that are not logged with a job.


@given("an entry whose configuration {state}")
def entry_without_configuration(context, state):
    build_entry(context)
    context.configuration = ConfigurationWatch(context.log)
    context.configuration.is_expected = lambda: state == "is not read yet"
    context.front._configuration = context.configuration


@given("an entry with a configuration")
def entry_with_configuration(context):
    build_entry(context)


@given("an entry whose store refuses all rows")
def entry_without_store(context):
    build_entry(context)
    context.writer.refuses = True


@when("{count:d} callers submit a waiting job of {work_ms:d} ms there within a second")
def many_submit(context, count, work_ms):
    async def send():
        body = body_of(work_ms, waits=True)
        requests = [request_of(context, body, f"{number:016x}") for number in range(count)]
        return await asyncio.gather(*(ask(context, request) for request in requests))

    context.replies = asyncio.run(send())
    context.front.refusals.write()


@then("each is told at once {status:d} {code}, and that nothing has run")
def all_told(context, status, code):
    assert context.replies
    assert not context.dispatch.begun
    for reply in context.replies:
        document = json.loads(reply.body)
        assert (reply.status, document["code"]) == (status, code), reply
        assert document["not_run"] is True and reply.retry_after_s > 0, reply


@then('one line "{event}" has the reason "{reason}" and {count:d} refusals')
def refusals_written(context, event, reason, count):
    context.front.refusals.write()
    (fields,) = context.log.fields_of(event)
    assert (fields["reason"], fields["count"]) == (reason, count), fields


@then('the metrics count {count:d} of "{event}" for "{reason}"')
def refusals_counted(context, count, event, reason):
    assert context.log.measures.events[event, reason] == count, context.log.measures.events


@when("a caller submits a waiting job of {work_ms:d} ms, and the configuration comes")
def configuration_comes(context, work_ms):
    body = body_of(work_ms, waits=True)
    context.reply = submit_job(context, body, lambda: take_configuration(context, 1))


@when("a caller submits a waiting job of {work_ms:d} ms, and the configuration does not come")
def configuration_stays_away(context, work_ms):
    with patch.object(configuration_watch, "FIRST_WITHIN_MS", 5):
        context.reply = submit_job(context, body_of(work_ms, waits=True))


@when("the configuration's row is gone")
def row_gone(context):
    take_row(context, None)


@when("the configuration is malformed")
def row_malformed(context):
    take_row(context, b'{"version": 9}')


@when("an older configuration is read")
def row_older(context):
    take_row(context, json.dumps({**json.loads(document_of(0)), "routes": []}).encode())


@when("the feed of the table has failed")
def feed_failed(context):
    context.configuration.is_expected = lambda: False


@then("a caller that submits a waiting job of {work_ms:d} ms is not refused")
def not_refused(context, work_ms):
    context.reply = submit_job(context, body_of(work_ms, waits=True))
    no_answer_yet(context)


def connect(context):
    """Return a connection of a caller to the entry."""
    listener = HttpListener(context.front.handle, HttpLimits(**LIMITS), context.timers)
    listener.on_refused = context.front.refusals.count
    connection = http_server._Connection(listener)
    context.transport = FakeTransport()
    connection.connection_made(context.transport)
    return connection


def head_of(body, method="POST", job_id=JOB, headers=""):
    line = f"{method} {QUEUE.prefix}{job_id} HTTP/1.1\r\n"
    return f"{line}Host: {QUEUE.host}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode()


WAITING_JOB = body_of(100, waits=True)


def send_half(connection):
    connection.data_received(head_of(WAITING_JOB))
    connection.eof_received()


def send_slowly(connection):
    connection.data_received(head_of(WAITING_JOB))
    connection._listener.timers.time_ms += LIMITS["header_timeout_ms"] + 1
    connection.enforce_timeouts(connection._listener.timers.now_ms())


SENDERS = {
    "no HTTP": lambda connection: connection.data_received(b"nonsense\r\n\r\n"),
    "half a request": send_half,
    "a request too slowly": send_slowly,
    "too many headers": lambda connection: connection.data_received(
        head_of(b"", headers=f"X-Padding: {'x' * LIMITS['max_header_bytes']}\r\n")
    ),
    "too large a body": lambda connection: connection.data_received(
        head_of(b"x" * (LIMITS["max_body_bytes"] + 1))
    ),
    "an unknown method": lambda connection: connection.data_received(head_of(b"", "PUT")),
    "a name that is none": lambda connection: connection.data_received(head_of(b"", job_id="a")),
}


@when("a caller sends {request}")
def sends(context, request):
    async def send():
        SENDERS[request](connect(context))
        await asyncio.sleep(ANSWER_WAIT_S)

    asyncio.run(send())


@then("it is answered {status:d}")
def status_written(context, status):
    assert context.transport.written.startswith(f"HTTP/1.1 {status} ".encode()), (
        context.transport.written
    )


def send_behind(context, send):
    """Let a caller that waits for an answer send more, and end its job."""

    async def run():
        connection = connect(context)
        connection.data_received(head_of(WAITING_JOB) + WAITING_JOB)
        await asyncio.sleep(0)
        assert JOB in context.dispatch.jobs
        context.kept_open = send(connection)
        if not context.transport.closed:
            job = context.dispatch.jobs[JOB]
            job.ending = JobState.SUCCEEDED
            context.callers.complete_job(job)
        await asyncio.sleep(ANSWER_WAIT_S)

    asyncio.run(run())


@when("a caller that waits for an answer sends something malformed behind its request")
def sends_malformed_behind(context):
    send_behind(context, lambda connection: connection.data_received(b"nonsense\r\n\r\n"))


@then("its request is answered, and the connection ends after that")
def answered_and_ended(context):
    status_written(context, 200)
    assert context.transport.written.count(b"HTTP/1.1") == 1, context.transport.written
    assert b"connection: close" in context.transport.written
    assert context.transport.closed


@when("a caller that waits for an answer ends its connection in the middle of a second request")
def ends_connection(context):
    def send(connection):
        connection.data_received(head_of(WAITING_JOB))
        return connection.eof_received()

    send_behind(context, send)


@then("the entry ends the connection")
def connection_ended(context):
    # asyncio closes the transport if the protocol's ``eof_received`` returns a false value.
    assert not context.kept_open


@when("a caller waits for a job of {work_ms:d} ms until the entry ends")
def waits_until_end(context, work_ms):
    context.reply = submit_job(context, body_of(work_ms, waits=True), context.callers.give_up)


@then("the job is dropped, as the entry ends")
def dropped_at_end(context):
    assert context.dispatch.dropped == [(JOB, "entry_ends")], context.dispatch.dropped


# Losses, summed up from log lines.


def line(at_ms, entry, event, **fields):
    return LogLine(1_000 + at_ms, entry, event, fields)


@given("lines of {count:d} requests that were refused unread, and of a job that was sent elsewhere")
def lines_of_refusals(context, count):
    objective = {"objective_ms": 900, "chain_ms": 500, "latency_factor": 1.6}
    context.lines = [
        line(0, "entry-1", "started", zone="moka-hall"),
        line(2_100, "entry-1", "requests_refused", reason="no_configuration", count=count),
        line(3_000, "entry-1", "job_submitted", request=JOB, queue="flags"),
        line(3_000, "entry-1", "job_refused", request=JOB, reason="leaving"),
    ]
    context.later = [
        line(4_300, "entry-2", "job_submitted", request=JOB, queue="flags"),
        line(4_300, "entry-2", "job_begun", request=JOB, **objective),
        line(4_310, "entry-2", "task_started", request=JOB),
        line(
            4_900, "entry-2", "task_ended", request=JOB, task=f"{JOB}.0.0.0", end="done", ran_ms=500
        ),
        line(4_900, "entry-2", "job_ended", request=JOB, objective_ms=900, total_ms=600),
    ]


@when("its caller {returns}")
def caller_returns(context, returns):
    if returns == "comes back":
        context.lines += context.later


@then('the losses are {count:d} of "{first}", and 1 of "{second}"')
def losses_are(context, count, first, second):
    losses = {loss.reason: loss for loss in summarize_losses(context.lines)}
    assert {reason: loss.jobs for reason, loss in losses.items()} == {first: count, second: 1}
    assert losses[first].zones == {"moka-hall": count} and losses[first].seconds == {2: count}


# The configuration of another entry.


class PeerStream:
    """A stream to another entry, whose answers are encoded and decoded as on the wire."""

    def __init__(self, links):
        self.links = links
        self.answers = []

    def send(self, message):
        self.serving = self.links._serve(PeerSide(message, self.answers))

    async def __aiter__(self):
        await self.serving
        for answer in self.answers:
            for message in Decoder().feed(answer):
                yield message

    def close(self):
        pass


class PeerSide:
    """The other entry's side of a stream: receives one message, and records what is sent."""

    def __init__(self, message, answers):
        self.message = message
        self.answers = answers

    def send(self, message):
        self.answers.append(encode(message))

    def allow_large_frames(self):
        pass

    async def __aiter__(self):
        for message in Decoder().feed(encode(self.message)):
            yield message


class RawStream:
    """A stream that receives given bytes, or nothing."""

    def __init__(self, frame=None):
        self.frame = frame

    def send(self, message):
        pass

    def close(self):
        pass

    async def __aiter__(self):
        if self.frame is None:
            await asyncio.sleep(60)
        for message in Decoder().feed(self.frame):
            yield message


def build_inquiry(context, value):
    """Let the entry ask one other entry, which sends ``value`` as its configuration."""
    links = AgentLinks(context.timers, context.log, Counter(), Counter())
    links.configuration_value = lambda: value
    context.open_stream = lambda: PeerStream(links)
    peers = (Endpoint("10.0.0.2", 7720),)
    context.inquiry = PeerConfigurationFetcher(
        context.configuration, peers, context.log, Counter(), Counter()
    )
    context.inquiry.is_store_unavailable = lambda: not context.configuration.is_expected()


@given("another entry with version {version:d} of the configuration")
def other_entry(context, version):
    build_inquiry(context, document_of(version))


@given("another entry that {answers}")
def other_entry_that(context, answers):
    value = b"{}" if answers == "tells a malformed configuration" else b"x" * 2 * 1024 * 1024
    build_inquiry(context, value)
    if answers == "is away":
        context.open_stream = None
    elif answers == "does not answer":
        context.open_stream = RawStream
    elif answers == "tells more than may be told":
        context.open_stream = lambda: RawStream(msgpack.packb([CONFIGURATION_TOLD, value]))


@when("it asks the other entry")
def asks(context):
    async def open_fake(*_address, **_options):
        if context.open_stream is None:
            raise StreamClosedError("no connection")
        return context.open_stream()

    with (
        patch.object(peer_configuration, "open_stream", open_fake),
        patch.object(peer_configuration, "ANSWER_TIMEOUT_MS", 20),
    ):
        asyncio.run(context.inquiry.fetch_if_needed())


@when("it asks the other entry, and then the store returns version {version:d}")
def asks_and_reads(context, version):
    asks(context)
    assert context.configuration.current.version == 7
    take_configuration(context, version)


@when("the store returns version {version:d}, and the other entry's answer comes after that")
def reads_and_hears(context, version):
    take_configuration(context, version)
    context.configuration.apply_from_peer(document_of(7), "10.0.0.2")


@then("it has version {version:d} of the configuration")
def has_version(context, version):
    current = context.configuration.current
    assert (current.version if current is not None else 0) == version, current


@then('a line "{event}" tells why')
def line_tells_why(context, event):
    (fields,) = context.log.fields_of(event)
    assert fields["reason"], fields
