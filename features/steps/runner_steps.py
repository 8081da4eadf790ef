"""Steps for the agent's calls to a runner, which is a small fake server on a socket."""

import socket
import threading
import time

from behave import given, then, when

from gapdrum.config import Address
from gapdrum.runners import RunnerClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok"


def read_request(connection):
    """Read one request whose payload is ``{}``; return False if the connection closes first."""
    data = b""
    while not data.endswith(b"{}"):
        chunk = connection.recv(4096)
        if not chunk:
            return False
        data += chunk
    return True


def serve(listener, answers_per_connection, delay_s=0.0):
    while True:
        try:
            connection, _address = listener.accept()
        except OSError:
            return
        with connection:
            for _ in range(answers_per_connection):
                if read_request(connection):
                    time.sleep(delay_s)
                    connection.sendall(ANSWER)
            read_request(connection)


def start_fake(context, answers_per_connection, delay_s=0.0):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.address = Address("127.0.0.1", listener.getsockname()[1])
    arguments = (listener, answers_per_connection, delay_s)
    threading.Thread(target=serve, args=arguments, daemon=True).start()


@given("a runner that closes each connection when a second request comes")
def fake_dropping(context):
    start_fake(context, 1)


@given("a runner that closes each connection before it answers")
def fake_dying(context):
    start_fake(context, 0)


@given("a runner that takes {delay_ms:d} ms for each task")
def fake_slow(context, delay_ms):
    start_fake(context, 1, delay_ms / 1000)


@given("a runner that does not listen")
def fake_absent(context):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        context.address = Address("127.0.0.1", listener.getsockname()[1])


@when("{count:d} tasks are run one after the other")
def run_tasks(context, count):
    client = RunnerClient()
    context.outcomes = [client.run(context.address, "job", i, "{}") for i in range(count)]


@then('every outcome is "{event}"')
def check_outcomes(context, event):
    assert {outcome.event for outcome in context.outcomes} == {event}, context.outcomes


@then('the reason is "{reason}"')
def check_reason(context, reason):
    assert {outcome.reason for outcome in context.outcomes} == {reason}
