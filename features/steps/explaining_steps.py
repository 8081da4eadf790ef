"""Steps that explain requests from logs and figures."""

import json
import os
import subprocess

from behave import given, then, when
from local_system import BIN, wait_for
from platform_core_steps import ManualTimers
from platform_system import CALLER_HOST

from gapdrum import event_log
from gapdrum.event_log import MAX_LINES_PER_S, MAX_WAITING_LINES, EventLog


def trace(context, request):
    logs = sorted(str(path) for path in context.system.folder.glob("*.log"))
    command = [str(BIN / "gapdrum"), "logs", "trace", request, *logs]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout


@then('the timeline of "{request}" says "{sentence}"')
def timeline_says(context, request, sentence):
    wait_for(lambda: sentence in trace(context, request), f"{request}: {sentence}")


@then('the timeline of the call "{call}" of "{request}" says "{sentence}"')
def call_timeline_says(context, call, request, sentence):
    headers = {"Host": CALLER_HOST, "Request-Id": call}
    document = {"spec": "{}", "steps": [{"count": 1}], "best_effort": True}
    port = context.system.entries[0].port
    context.system.call(port, "POST", f"/flags/{request}", document, headers)
    timeline_says(context, call, sentence)


@then('the figures of "{name}" have these lines')
def figures(context, name):
    for row in context.table:
        wait_for(lambda row=row: row["line"] in context.system.metrics(name), row["line"])


@given("an event log whose reader does not read")
def stuck_log(context):
    context.pipe = os.pipe()
    os.set_blocking(context.pipe[1], False)
    context.add_cleanup(os.close, context.pipe[0])
    standard_output = event_log.STDOUT
    event_log.STDOUT = context.pipe[1]
    context.add_cleanup(setattr, event_log, "STDOUT", standard_output)
    context.log = EventLog("entry-1", ManualTimers())


@when("{count:d} lines are written")
def write_lines(context, count):
    for number in range(count):
        if number % 1_000 == 0:
            context.log.flush()
        context.log.write("note", text=f"line {number} {'x' * 80}")


@then("writing took no wait, and dropped lines are counted by event")
def lines_counted(context):
    # A write that waited would never have come back: nobody reads.
    kept = min(MAX_LINES_PER_S, MAX_WAITING_LINES)
    assert context.log.dropped["note"] == 20_000 - kept, context.log.dropped


@when("the reader reads")
def read_pipe(context):
    chunks = []
    os.set_blocking(context.pipe[0], False)
    while True:
        context.log.flush()
        try:
            chunks.append(os.read(context.pipe[0], 65_536))
        except BlockingIOError:
            break
    context.read = b"".join(chunks)


@then("only whole lines were written")
def whole_lines(context):
    lines = context.read.decode().splitlines()
    assert len(lines) == min(MAX_LINES_PER_S, MAX_WAITING_LINES), len(lines)
    assert all(json.loads(line)["event"] == "note" for line in lines)
