"""Steps that send invalid HTTP requests."""

import json
import socket

from behave import then, when
from local_system import CALLER_TOKEN, HOST
from whole_path_steps import job_document

ANSWER_TIMEOUT_S = 30
OVERSIZED = 9 * 1024 * 1024


def head(length, token=CALLER_TOKEN, path="/v1/jobs"):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {token}",
        f"Content-Length: {length}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def whole(body, **options):
    return head(len(body), **options) + body


def build_request(name):
    """Return the bytes to send, and whether to close the sending side after them."""
    many = json.dumps(job_document("many", 1001, 1)).encode()
    requests = {
        "no JSON": (whole(b"{nonsense"), False),
        "deep JSON": (whole(b"[" * 200_000), False),
        "oversized": (head(OVERSIZED), False),
        "too many tasks": (whole(many), False),
        "no token": (whole(many, token=""), False),
        "unknown path": (whole(b"{}", path="/v1/nothing"), False),
        "half-closed body": (head(100) + b"{", True),
        "slow body": (head(100) + b"{", False),
    }
    return requests[name]


@then("these requests get these statuses")
@then("these requests get these statuses:")
def check_statuses(context):
    port = context.system.entries[0].port
    found = []
    for row in context.table:
        data, close = build_request(row["request"])
        with socket.create_connection((HOST, port)) as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(data)
            if close:
                connection.shutdown(socket.SHUT_WR)
            answer = connection.recv(65_536).decode()
        found.append((row["request"], answer.split(" ")[1] if answer else "none"))
    assert found == [(row["request"], row["status"]) for row in context.table], found


@when("{count:d} connections send half a request line")
def send_half_lines(context, count):
    port = context.system.entries[0].port
    context.half_open = []
    for _ in range(count):
        connection = socket.create_connection((HOST, port))
        context.add_cleanup(connection.close)
        connection.sendall(b"POST /v1/jo")
        context.half_open.append(connection)


@then("the half-open connections are still open after it")
def still_open(context):
    for connection in context.half_open:
        connection.setblocking(False)
        try:
            ended = connection.recv(1)
        except BlockingIOError:
            continue
        raise AssertionError(f"a half-open connection was closed: {ended}")
