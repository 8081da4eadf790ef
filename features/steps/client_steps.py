"""Steps in which a crowd of clients exceeds limits at one address of a process."""

import asyncio
import json
import os
import signal
import socket
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import urllib3
from behave import given, then, when
from client_crowd import Crowd, count_descriptors, read_peak_mb
from connection_model import FakeTransport
from core_model import ManualTimers
from local_system import HOST, wait_for
from platform_steps import start_platform
from platform_system import CALLER_HOST, MachineLimits

from gapdrum.codec import encode
from gapdrum.core import orders
from gapdrum.event_log import EventLog
from gapdrum.streams import StrangerStreams
from gapdrum.transport import http_server
from gapdrum.transport.client_buffers import ClientBuffers
from gapdrum.transport.http_server import HttpListener
from gapdrum.transport.request_reader import HttpLimits

# Clients may stay connected and unfinished for longer than a scenario takes.
PATIENT = {"max_body_bytes": 262_144, "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000}
REST_CHECK_S = 1.0
REST_LIMIT_S = 60
ANSWER_TIMEOUT_S = 60
LISTENING = "0A"  # the state of a listening socket, as the kernel lists it


@given("a platform on machines of {memory_mb:d} MB and {max_fds:d} descriptors")
def start_limited_platform(context, memory_mb, max_fds):
    context.machine = MachineLimits(memory_mb, max_fds)
    start_platform(context, 1, 1, machine=context.machine, http_limits=PATIENT)
    context.crowds = []


def find_process(context, address):
    entry, agent = context.system.entries[0], context.system.agents[0]
    return entry if address.startswith("an entry") else agent


def find_address_port(context, address):
    system = context.system
    return {
        "an entry's callers": system.entries[0].port,
        "an entry's readiness": system.ready_ports[0],
        "an entry's metrics": system.metrics_ports["entry-0"],
        "an entry's streams": system.streams_ports[0],
        "an agent's control": system.agents[0].port,
        "an agent's metrics": system.metrics_ports["agent-0"],
    }[address]


@when("{clients:d} clients send {form} to {address}")
def send_crowd(context, clients, form, address):
    context.crowded = find_process(context, address)
    crowd = Crowd((HOST, find_address_port(context, address)), form, clients)
    context.add_cleanup(crowd.close)
    context.crowds.append(crowd)
    crowd.send()
    wait_for_rest(context.crowded)


def read_cpu_s(process):
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def wait_for_rest(process):
    """Wait until a process has read what was sent, or for ``REST_LIMIT_S``."""
    end_s = time.monotonic() + REST_LIMIT_S
    while process.popen.poll() is None and time.monotonic() < end_s:
        used_s = read_cpu_s(process)
        time.sleep(REST_CHECK_S)
        if read_cpu_s(process) - used_s < REST_CHECK_S / 4:
            return


@then("the process lives, within its memory and descriptors")
def lives_within_limits(context):
    process = context.crowded
    assert process.popen.poll() is None, "the process has ended"
    descriptors, peak_mb = count_descriptors(process), read_peak_mb(process)
    assert peak_mb <= context.machine.memory_mb, f"{peak_mb:.0f} MB, {descriptors} descriptors"
    assert descriptors <= context.machine.max_fds, f"{descriptors} descriptors, {peak_mb:.0f} MB"


ORDINARY_PATHS = {
    "an entry's callers": "/flags/",
    "an entry's readiness": "/readyz",
    "an entry's metrics": "/metrics",
    "an agent's control": "/",
    "an agent's metrics": "/metrics",
}
ANSWERS = {"an agent's control": (404,)}


@then("an ordinary request to {address} is answered")
def is_answered(context, address):
    path = ORDINARY_PATHS.get(address)
    if path is None:
        return  # streams between gapdrum's processes: the job that is served after it shows them
    url = f"http://{HOST}:{find_address_port(context, address)}{path}"

    def answered():
        try:
            reply = urllib3.request("GET", url, headers={"Host": CALLER_HOST}, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status in ANSWERS.get(address, (200,))

    wait_for(answered, f"{address} answers")


@then("an ordinary job is served")
def job_is_served(context):
    steps = [{"count": 2, "cpu": 500}]

    def served():
        try:
            answer = context.system.submit("00000000000000c1", steps, run_ms=20, waits=True)
        except urllib3.exceptions.HTTPError:
            return False
        return answer == (200, {"state": "succeeded"})

    wait_for(served, "a job is served")


@when("the entry is {how} and starts again beside the crowd")
def start_again(context, how):
    entry = context.crowded
    if how == "killed":
        entry.kill()
    else:
        entry.signal(signal.SIGTERM)
        code = entry.wait()
        assert code == 0, f"the entry ended with {code}"
    entry.start()
    for crowd in context.crowds:
        crowd.send()
    wait_for_rest(entry)


@when("the entry is suspended while {clients:d} clients send {form}")
def send_while_suspended(context, clients, form):
    process = context.crowded = context.system.entries[0]
    port = process.port
    process.signal(signal.SIGSTOP)
    try:
        crowd = Crowd((HOST, port), form, clients)
        context.add_cleanup(crowd.close)
        crowd.send()
        context.unread_mb = read_unread_mb(port)
    finally:
        process.signal(signal.SIGCONT)
    wait_for_rest(process)


def read_unread_mb(port):
    """Return what the kernel holds for the connections to a port."""
    unread_bytes = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues = line.split()[:5]
        if state != LISTENING and int(local.partition(":")[2], 16) == port:
            unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes / 2**20


@then("what it had not read fits into its memory")
def unread_fits(context):
    peak_mb = read_peak_mb(context.crowded)
    assert context.unread_mb + peak_mb <= context.machine.memory_mb, (
        f"{context.unread_mb:.0f} MB unread, {peak_mb:.0f} MB"
    )


@given(
    "a platform on machines of {memory_mb:d} MB and {max_fds:d} descriptors, that closes idle "
    "connections after {idle_ms:d} ms"
)
def start_impatient_platform(context, memory_mb, max_fds, idle_ms):
    context.machine = MachineLimits(memory_mb, max_fds)
    limits = {**PATIENT, "idle_timeout_ms": idle_ms}
    start_platform(context, 1, 1, machine=context.machine, http_limits=limits)
    context.crowds = []


def connect_caller(context, number, run_ms, more=b""):
    """Connect a caller that submits a waiting job, and sends more behind it."""
    document = {
        "spec": json.dumps({"run_ms": run_ms}),
        "steps": [{"count": 1, "cpu": 1}],
        "best_effort": True,
    }
    body = json.dumps(document).encode()
    head = head_of(f"/flags/{number:016x}", (f"Content-Length: {len(body)}",))
    connection = socket.create_connection((HOST, context.system.entries[0].port))
    context.add_cleanup(connection.close)
    connection.sendall(head + body + more)
    return connection


@when("a caller sends a waiting job of 30,000 ms, and 1,000 requests behind it, and leaves")
def leave_behind_requests(context):
    connection = connect_caller(context, 1, 30_000, head_of("/flags/", (), "GET") * 1_000)
    wait_for(lambda: context.system.events("entry-0", "task_started"), "the job is at work")
    connection.close()


@then("the entry notices that the caller has gone")
def caller_noticed(context):
    wait_for(lambda: context.system.events("entry-0", "caller_gone"), "the caller has gone")


@then('the entry closes connections for "{reason}"')
def connections_closed(context, reason):
    def closed():
        lines = context.system.events("entry-0", "connections_closed")
        return any(line["reason"] == reason for line in lines)

    wait_for(closed, f"connections are closed: {reason}")


@when("{callers:d} callers wait for jobs of {run_ms:d} ms")
def callers_wait(context, callers, run_ms):
    for number in range(1, callers + 1):
        connect_caller(context, number, run_ms)

    def begun():
        return len(context.system.events("entry-0", "job_begun")) >= callers

    wait_for(begun, "all jobs have begun")


@when("one more caller connects")
def one_more(context):
    with socket.create_connection((HOST, context.system.entries[0].port)) as connection:
        connection.settimeout(ANSWER_TIMEOUT_S)
        context.refusal = connection.recv(65_536)


@then('it is answered 502 "{code}", with Retry-After and without "not_run"')
def refused_with_retry(context, code):
    head, _, body = context.refusal.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 502 ") and b"\r\nretry-after: " in head, context.refusal
    document = json.loads(body)
    assert document["code"] == code and "not_run" not in document, document


class WaitingRequest:
    """A request that waits for its answer, so that nothing of it can be dropped."""

    def droppable_bytes(self):
        return 0


@given("buffers that are full of requests which wait for answers")
def full_buffers(context):
    context.buffers = ClientBuffers(100_000)
    context.buffers.charge(WaitingRequest(), 100_000)


@when("a caller sends a body of 20,000 bytes and half a request behind it")
def send_large_behind(context):
    async def send():
        listener = HttpListener(None, HttpLimits(), ManualTimers(), context.buffers)
        connection = http_server._Connection(listener)
        context.transport = FakeTransport()
        connection.connection_made(context.transport)
        head = head_of("/flags/", ("Content-Length: 20000",))
        connection.data_received(head + b"x" * 20_000 + b"GET /fl")
        await asyncio.sleep(2 * http_server.DISCARD_S)

    asyncio.run(send())
    context.refusal = context.transport.written


@then("its connection is closed")
def connection_closed(context):
    assert context.transport.closed


@given("a stream whose peer sends its introduction and 3 frames of 40,000 bytes in one write")
def large_frames(context):
    large = orders.ConfigurationTold(b"x" * 40_000)
    context.frames = encode(orders.ConfigurationAsked()) + encode(large) * 3


@when("the introduction is received, and the frames after it")
def receive_large_frames(context):
    async def receive():
        reader = asyncio.StreamReader()
        reader.feed_data(context.frames)
        reader.feed_eof()
        writer = SimpleNamespace(is_closing=lambda: False, close=lambda: None)
        strangers = StrangerStreams(1)
        stream = strangers.accept(reader, writer, Counter(), Counter())
        messages = aiter(stream)
        introduction = await strangers.receive_introduction(stream, messages)
        return [introduction, *[message async for message in messages]]

    context.messages = asyncio.run(receive())


@then("all 4 messages have arrived")
def all_arrived(context):
    assert len(context.messages) == 4, context.messages


@then("its metrics page has at most 2,000 lines")
def metrics_are_short(context):
    lines = context.system.metrics("entry-0").count("\n")
    assert lines <= 2_000, f"{lines} lines"


@given("a log whose reader reads nothing")
def unread_log(context):
    context.log = EventLog("entry-0", ManualTimers())


@when("10,000 lines tell paths of 16,000 characters")
def tell_long_paths(context):
    for number in range(10_000):
        context.log._refill_rate_limit()
        context.log.write("queue_unknown", path=f"/{number}/".ljust(16_000, "x"))


@then("the lines that wait take at most 8 MB")
def few_lines_wait(context):
    waiting = sum(map(len, context.log._lines))
    assert waiting <= 8 * 1024 * 1024, f"{waiting} bytes"


@then("the lines that were dropped are counted")
def dropped_are_counted(context):
    written, dropped = len(context.log._lines), context.log.dropped["queue_unknown"]
    assert dropped + written >= 10_000, (dropped, written)


# The product's own interface.


@when("at the product's own {address} {clients:d} clients send {form}")
def send_own_crowd(context, address, clients, form):
    system = context.system
    context.crowded = system.agents[0] if address == "agent" else system.entries[0]
    port = system.streams_ports[0] if address == "streams" else context.crowded.port
    crowd = Crowd((HOST, port), form, clients)
    context.add_cleanup(crowd.close)
    crowd.send()
    wait_for_rest(context.crowded)


@then("the process lives, within {memory_mb:d} MB")
def lives_within_memory(context, memory_mb):
    assert context.crowded.popen.poll() is None, "the process has ended"
    peak_mb = read_peak_mb(context.crowded)
    assert peak_mb <= memory_mb, f"{peak_mb:.0f} MB"


# Requests at the limits.


def job_of(number, size=0):
    """Return a caller's path and body; the body is padded to a size."""
    document = {
        "spec": json.dumps({"run_ms": 1}),
        "steps": [{"count": 1, "cpu": 1, "estimate_ms": 1}],
        "best_effort": True,
    }
    return f"/flags/{number:016x}", json.dumps(document).encode().ljust(size)


def head_of(path, lines, method="POST"):
    return "\r\n".join(
        (f"{method} {path} HTTP/1.1", f"Host: {CALLER_HOST}", *lines, "", "")
    ).encode()


def plain(number=1, size=0, lines=()):
    path, body = job_of(number, size)
    return head_of(path, (f"Content-Length: {len(body)}", *lines)) + body


def chunked(size, chunk_bytes, extension="", trailers=""):
    path, body = job_of(1, size)
    parts = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    chunks = [b"%x%b\r\n%b\r\n" % (len(part), extension.encode(), part) for part in parts]
    end = f"0\r\n{trailers}\r\n".encode()
    return head_of(path, ("Transfer-Encoding: chunked",)) + b"".join(chunks) + end


def head_bytes(request):
    return request.index(b"\r\n\r\n") + 4


def with_head_of(limit, fields):
    """Return a request whose head has exactly ``limit`` bytes, with these fields in it."""
    rest = limit - head_bytes(plain(lines=(*fields, "X-Padding: ")))
    return plain(lines=(*fields, "X-Padding: " + "x" * rest))


def list_small_fields(limit):
    return tuple(f"{value:x}:" for value in range((limit - 500) // 6))


HEAD_LIMIT, BODY_LIMIT = 16_384, 262_144
SLOW_PARTS, SLOW_PAUSE_S = 20, 0.1
REQUESTS = {
    "a head of the most bytes": lambda: (with_head_of(HEAD_LIMIT, ()), 1),
    "a head of the most bytes, small fields": lambda: (
        with_head_of(HEAD_LIMIT, list_small_fields(HEAD_LIMIT)),
        1,
    ),
    "a body of the most bytes": lambda: (plain(size=BODY_LIMIT), 1),
    "a chunked body of the most bytes": lambda: (chunked(BODY_LIMIT, 16_384), 1),
    "small chunks of the most bytes": lambda: (chunked(BODY_LIMIT, 1), 1),
    "a body that comes slowly": lambda: (plain(size=4_000), 1),
    "trailer fields": lambda: (chunked(4_000, 100, trailers="X-Sum: 1\r\n" * 20), 1),
    "chunk extensions": lambda: (chunked(4_000, 10, extension=";name=value"), 1),
    "empty lines before the request": lambda: (b"\r\n" * 20 + plain(), 1),
    "200 requests at once": lambda: (head_of("/flags/", (), "GET") * 200, 200),
    "50 jobs at once": lambda: (b"".join(plain(number) for number in range(1, 51)), 50),
}


@when("a caller sends {request}, and reads the answers")
def send_and_read(context, request):
    data, context.expected_answers = REQUESTS[request]()
    context.answers = b""
    with socket.create_connection((HOST, context.system.entries[0].port)) as connection:
        connection.settimeout(ANSWER_TIMEOUT_S)
        part_bytes = len(data) // SLOW_PARTS + 1 if "slowly" in request else len(data)
        for start in range(0, len(data), part_bytes):
            connection.sendall(data[start : start + part_bytes])
            time.sleep(SLOW_PAUSE_S)
        while context.answers.count(b"HTTP/1.1 200") < context.expected_answers:
            received = connection.recv(65_536)
            context.answers += received
            if not received:
                break


@then("each of its requests is answered")
def each_is_answered(context):
    answered = context.answers.count(b"HTTP/1.1 200")
    assert answered == context.expected_answers, (answered, context.answers[-300:])
