"""Steps for the explanation of requests from logs and metrics."""

import asyncio
import json
import os
import subprocess
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when
from local_system import BIN, wait_for
from platform_core_steps import ManualTimers
from platform_system import CALLER_HOST

from gapdrum import event_log
from gapdrum.event_log import MAX_LINES_PER_S, MAX_WAITING_LINES, EventLog
from gapdrum.losses import summarize_losses
from gapdrum.process_metrics import ProcessMetrics
from gapdrum.timelines import read_lines
from gapdrum.timers import Timers


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


@then('the metrics of "{name}" have these lines')
def metrics_have_lines(context, name):
    for row in context.table:
        wait_for(lambda row=row: row["line"] in context.system.metrics(name), row["line"])


@given("an event log whose reader is blocked")
def blocked_log(context):
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


@then("no write has blocked, and dropped lines are counted by event")
def lines_counted(context):
    # A blocking write would never return, as the pipe has no reader.
    accepted = min(MAX_LINES_PER_S, MAX_WAITING_LINES)
    assert context.log.dropped["note"] == 20_000 - accepted, context.log.dropped


@when("the reader continues")
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


@then("only complete lines were written")
def complete_lines(context):
    lines = context.read.decode().splitlines()
    assert len(lines) == min(MAX_LINES_PER_S, MAX_WAITING_LINES), len(lines)
    assert all(json.loads(line)["event"] == "note" for line in lines)


@when("a timer callback of its process fails twice")
def callback_fails(context):
    async def fail_twice():
        timers, log = Timers(), context.log
        log._timers = timers
        log.flush = lambda: None  # keeps the lines in the buffer, which the next step reads
        log.open()
        calls = []

        def fail():
            calls.append(1)
            raise LookupError("no such row")

        timers.subscribe(1, fail)
        while len(calls) < 2:
            await asyncio.sleep(0.001)
        timers.stop()

    asyncio.run(fail_twice())


@then('{count:d} lines "{event}" contain the traceback')
def traceback_written(context, count, event):
    lines = [json.loads(line) for line in context.log._lines]
    texts = [line["text"] for line in lines if line["event"] == event]
    assert len(texts) == count, lines
    assert all("no such row" in text and "in fail" in text for text in texts), texts


# Times of a job's events since its submission, in milliseconds.
COMPLETED = {"begun": 0, "started": [5, 6], "ended": 110}
LATE_FIRST = {"begun": 0, "started": [90, 91], "ended": 240}
LATE_LAST = {"begun": 0, "started": [5, 95], "ended": 240}
SLOW_ANSWER = {"begun": 0, "started": [5, 6], "ended": 260, "ran": 100}
# The job's work exceeds its stated work, which extends its due time accordingly.
LONG_WORK = {"begun": 0, "started": [5, 6], "ended": 260, "ran": 150}
RELEASED = {"begun": 0, "started": [5, 95], "released": 50, "ended": 240}
UNFINISHED = {"begun": 0, "started": [5]}
OBJECTIVE_MS = 200
CHAIN_MS, LATENCY_FACTOR = 100, 1.6


def lines_of(number, history):
    """Return the log lines of one job whose objective is ``OBJECTIVE_MS``."""
    request = f"{number:016x}"

    def line(at_ms, event, **fields):
        own = {"t_ms": 1_000 + at_ms, "at": "entry-1", "event": event, "request": request}
        return json.dumps({**own, **fields})

    lines = [line(0, "job_submitted", queue="checks")]
    if "begun" in history:
        stated = {"chain_ms": CHAIN_MS, "latency_factor": LATENCY_FACTOR}
        lines.append(line(0, "job_begun", queue="checks", objective_ms=OBJECTIVE_MS, **stated))
    lines += [line(at_ms, "task_started") for at_ms in history.get("started", ())]
    if "released" in history:
        lines.append(line(history["released"], "task_released", reason="no_room"))
    if "refused" in history:
        lines.append(line(1, "job_refused", queue="checks", reason=history["refused"]))
    if "given_up" in history:
        lines.append(line(history["given_up"], "job_given_up", waited_ms=history["given_up"]))
        lines.append(line(history["given_up"], "job_dropped", reason="no_room_in_time"))
    if "ended" in history:
        total_ms = history["ended"]
        ran_ms = history.get("ran", CHAIN_MS)
        task = f"{request}.0.0.0"
        lines.append(line(total_ms, "task_ended", task=task, end="done", ran_ms=ran_ms))
        lines.append(line(total_ms, "job_ended", total_ms=total_ms, objective_ms=OBJECTIVE_MS))
        lines.append(line(total_ms, "job_dropped", reason="ended"))
    return lines


@given("logs of jobs that were completed, refused, given up, late or have no logged end")
def logs_of_losses(context):
    refused = {"refused": "overloaded"}
    given_up = {"begun": 0, "given_up": 60}
    histories = [
        COMPLETED, COMPLETED, refused, refused, given_up, LATE_FIRST, LATE_LAST, SLOW_ANSWER,
        RELEASED, UNFINISHED, LONG_WORK,
    ]  # fmt: skip
    started = {"t_ms": 1_000, "at": "entry-1", "event": "started", "zone": "moka-hall"}
    lines = [json.dumps(started)]
    lines += [line for number, one in enumerate(histories) for line in lines_of(number, one)]
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_file = Path(folder.name) / "entry-1.log"
    context.log_file.write_text("\n".join(lines))


@then('"gapdrum logs losses" lists these jobs')
def losses_listed(context):
    found = {loss.reason: loss.jobs for loss in summarize_losses(read_lines([context.log_file]))}
    expected = {row["reason"]: int(row["jobs"]) for row in context.table}
    assert found == expected, found
    output = run_losses(context)
    assert all(reason in output for reason in expected), output


def run_losses(context, *options):
    command = [str(BIN / "gapdrum"), "logs", "losses", str(context.log_file), *options]
    environment = {**os.environ, "COLUMNS": "200"}
    return subprocess.run(
        command, capture_output=True, text=True, check=True, env=environment
    ).stdout


@then('"gapdrum logs losses" lists {jobs:d} jobs in "{zone}" in second {second:d}')
def losses_by_zone(context, jobs, zone, second):
    output = json.loads(run_losses(context, "--json"))
    assert sum(loss["zones"][zone] for loss in output) == jobs, output
    assert sum(loss["seconds"][str(second)] for loss in output) == jobs, output


@then("the chart shows {jobs:d} jobs in second {second:d}")
def losses_drawn(context, jobs, second):
    last = run_losses(context).splitlines()[-1].split()
    assert last[:3] == [str(second), "s", str(jobs)] and set(last[3]) == {"#"}, last


@given('a process that has sent {sent:d} "{sent_kind}" and received {received:d} "{kind}"')
def counted_messages(context, sent, sent_kind, received, kind):
    context.measures = ProcessMetrics()
    context.measures.messages = {
        "sent": Counter({sent_kind: sent}),
        "received": Counter({kind: received}),
    }


@then('its metrics count {count:d} "{kind}" that were {direction}')
def messages_counted(context, count, kind, direction):
    line = f'gapdrum_messages_total{{direction="{direction}",kind="{kind}"}} {count}.0'
    assert line in context.measures.expose().decode().splitlines()
