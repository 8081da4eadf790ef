"""Steps that run the whole path on stand-ins of the users' platform."""

import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from local_system import HOST, find_port, wait_for
from platform_system import CALLER_HOST, QUEUES, RUNNER_CPU_MILLI, PlatformSystem
from proxy import PASS, SILENT, Proxy

TASK_CPU_MILLI = 500
RUNS_CHANGED = {"started": 1, "done": -1, "failed": -1, "stopped": -1, "lapsed": -1}
NEWS = ("news", "/news/", 0, 2)
CALLERS = 8


@given("a platform with {entries:d} entries and {agents:d} agents")
def start_platform(context, entries, agents, **options):
    context.system = PlatformSystem(entries, agents, **options)
    context.system.__enter__()
    context.threads = ThreadPoolExecutor(CALLERS)
    context.add_cleanup(context.threads.shutdown, wait=False)
    # Agents find their runners within a second; a first job shows that they accept work.
    for entry in range(entries):
        answer = context.system.submit(
            f"ffffffffffffff{entry:02d}",
            [{"count": 1, "cpu": 1}],
            entry=entry,
            run_ms=1,
            waits=True,
        )
        assert answer == (200, {"state": "succeeded"}), answer


@given("a platform with {entries:d} entries and {agents:d} agents, and a proxy before its streams")
def start_platform_with_proxy(context, entries, agents):
    def add_proxy(port):
        context.proxy = Proxy(find_port(), port)
        context.add_cleanup(context.proxy.close)
        return context.proxy.port

    start_platform(context, entries, agents, stream_ports=add_proxy)


def steps_of(tasks):
    return [{"count": tasks, "cpu": TASK_CPU_MILLI}]


@when('the {kind} job "{job}" of {tasks:d} tasks of {run_ms:d} ms is submitted at entry {entry:d}')
def submit(context, kind, job, tasks, run_ms, entry):
    context.answer = context.system.submit(
        job, steps_of(tasks), entry=entry, run_ms=run_ms, waits=kind == "waiting"
    )


@when(
    'the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms that fail is submitted at entry 0'
)
def submit_failing(context, job, tasks, run_ms):
    context.answer = context.system.submit(
        job, steps_of(tasks), run_ms=run_ms, waits=True, fail=True
    )


@when(
    'the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms is on its way at entry {entry:d}'
)
def submit_in_background(context, job, tasks, run_ms, entry):
    context.submitted = job
    context.in_flight_call = context.threads.submit(
        context.system.submit, job, steps_of(tasks), entry=entry, run_ms=run_ms, waits=True
    )


@when('the waiting job "{job}" of {tasks:d} tasks of {run_ms:d} ms is sent by one who leaves')
def submit_and_leave(context, job, tasks, run_ms):
    body = json.dumps(
        {"spec": json.dumps({"run_ms": run_ms}), "steps": steps_of(tasks), "best_effort": True}
    )
    with socket.create_connection((HOST, context.system.entries[0].port)) as caller:
        head = f"POST /flags/{job} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
        caller.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        wait_started(context, tasks)


@when('the stored job "{job}" of 1 tasks of 10 ms goes to the queue "{queue}"')
def submit_to_queue(context, job, queue):
    context.answer = context.system.submit(job, steps_of(1), run_ms=10, queue=queue)


@when('version {version:d} of the configuration adds the queue "/news/"')
def add_queue(context, version):
    context.system.put_configuration(version, (*QUEUES, NEWS))


@when('version {version:d} of the configuration drops the queue "/news/"')
def drop_queue(context, version):
    context.system.put_configuration(version)


@when('the stored job "{job}" is soon accepted in the queue "{queue}"')
@then('the stored job "{job}" is soon accepted in the queue "{queue}"')
def accepted_soon(context, job, queue):
    for entry in range(len(context.system.entries)):
        wait_for(
            lambda entry=entry: (
                context.system.submit(job, steps_of(1), queue=queue, entry=entry)[0] == 200
            ),
            f"the queue {queue} at entry {entry}",
        )


@then('the stored job "{job}" is still accepted in the queue "{queue}"')
def accepted_still(context, job, queue):
    time.sleep(0.5)  # longer than the feed takes to deliver a change
    status, _ = context.system.submit(job, steps_of(1), queue=queue)
    assert status == 200, status


@when("stored jobs fill all runners for {run_ms:d} ms")
def fill_runners(context, run_ms):
    for number in range(len(context.system.agents)):
        step = {"count": 1, "cpu": RUNNER_CPU_MILLI}
        status, _ = context.system.submit(f"eeeeeeeeeeeeee{number:02d}", [step], run_ms=run_ms)
        assert status == 200, status
    wait_started(context, len(context.system.agents))


@then("entry 0 and entry 1 soon count {jobs:d} waiting job")
def count_waiting(context, jobs):
    for entry in (0, 1):
        wait_for(
            lambda entry=entry: (
                context.system.caller("GET", "/flags/", entry=entry) == (200, {"waiting": jobs})
            ),
            f"entry {entry} counts {jobs} waiting",
        )


@when('a caller cancels the job "{job}" at entry {entry:d}')
def cancel(context, job, entry):
    context.answer = context.system.caller("DELETE", f"/flags/{job}", entry=entry)


@when('the body {body} is submitted as job "{job}"')
def submit_body(context, body, job):
    context.answer = submit_raw(context, body.encode(), job)


@when('a body of {size:d} bytes is submitted as job "{job}"')
def submit_large(context, size, job):
    context.answer = submit_raw(context, b" " * size, job)


def submit_raw(context, body, job):
    url = f"http://{HOST}:{context.system.entries[0].port}/flags/{job}"
    response = context.system.pool.request("POST", url, body=body, headers={"Host": CALLER_HOST})
    return response.status, json.loads(response.data)


@when("a request's header never ends")
def slow_header(context):
    with socket.create_connection((HOST, context.system.entries[0].port)) as caller:
        caller.sendall(b"GET /flags/ HTTP/1.1\r\nHost: ")
        caller.settimeout(20)
        context.raw_answer = caller.recv(4_096)


@then("its connection ends with status {status:d}")
def connection_ended(context, status):
    assert context.raw_answer.startswith(f"HTTP/1.1 {status} ".encode()), context.raw_answer


@when('a stored job "{job}" has a step of 2 tasks after a step of 3 tasks')
def submit_steps(context, job):
    steps = [{"count": 3, "cpu": 100}, {"count": 2, "cpu": 100, "after": [0]}]
    assert context.system.submit(job, steps, run_ms=100)[0] == 200


@then('no task of step 1 of "{job}" started before all of step 0 were done')
def steps_in_order(context, job):
    rows = [row for row in context.system.history() if row["task"].startswith(job)]
    last = max(row["wall_ms"] for row in rows if ".0.0." in row["task"] and row["how"] == "done")
    first = min(row["wall_ms"] for row in rows if ".0.1." in row["task"])
    assert first >= last, (first, last)


# Faults of processes, runners and the store.


def processes_of(context, kind):
    return {"entry": context.system.entries, "agent": context.system.agents}.get(
        kind, context.system.runners
    )


@when("process {kind:w}-{number:d} is killed")
def kill(context, kind, number):
    processes_of(context, kind)[number].kill()


@when("process {kind:w}-{number:d} is killed and started again")
def restart(context, kind, number):
    process = processes_of(context, kind)[number]
    process.kill()
    process.start()


@when("all entries and agents are killed and started again")
def restart_all(context):
    processes = [*context.system.entries, *context.system.agents]
    for process in processes:
        process.kill()
    for process in processes:
        process.start()


@when("process {kind:w}-{number:d} is asked to stop")
def stop(context, kind, number):
    processes_of(context, kind)[number].signal(signal.SIGTERM)


@when("entry {number:d} has been stopping for {seconds:d} s")
def wait_stopping(context, number, seconds):
    wait_for(lambda: context.system.events(f"entry-{number}", "stopping"), "the entry stops")
    time.sleep(seconds)


@then("entry {number:d} ends the connection after its next answer")
def ends_connection(context, number):
    url = f"http://{HOST}:{context.system.entries[number].port}/flags/"
    response = context.system.pool.request("GET", url, headers={"Host": CALLER_HOST})
    assert response.headers.get("Connection", "").lower() == "close", dict(response.headers)


@when("process {kind:w}-{number:d} is asked to stop and started again")
def stop_and_restart(context, kind, number):
    process = processes_of(context, kind)[number]
    process.signal(signal.SIGTERM)
    assert process.wait() == 0
    process.start()


@when("process {kind:w}-{number:d} is frozen for {seconds:d} s")
def freeze(context, kind, number, seconds):
    process = processes_of(context, kind)[number]
    process.signal(signal.SIGSTOP)
    waker = threading.Timer(seconds, process.signal, (signal.SIGCONT,))
    waker.start()
    context.frozen = (process, waker)


@when("runner {number:d} leaves {count:d} calls unanswered")
def leave_unanswered(context, number, count):
    context.system.set_runner_fault(number, mode="unanswered", count=count)


@when("runner {number:d} leaves {count:d} calls unanswered and carries them out late")
def carry_out_late(context, number, count):
    context.system.set_runner_fault(number, mode="late", count=count, delay_ms=2_000)


@when("runner {number:d} executes {count:d} calls and loses the replies")
def lose_runner_replies(context, number, count):
    context.system.set_runner_fault(number, mode="late", count=count, delay_ms=0)


@then('each of the {count:d} tasks of "{job}" was started once')
def started_once(context, count, job):
    rows = [row for row in context.system.history() if row["task"].startswith(job)]
    starts = [row["task"] for row in rows if row["how"] == "started"]
    assert len(starts) == len(set(starts)) == count, starts


@then("no runner was suspected")
def none_suspected(context):
    for number in range(len(context.system.agents)):
        assert not context.system.events(f"agent-{number}", "runner_suspect")


@when("runner {number:d} stalls {count:d} tasks")
def let_hang(context, number, count):
    context.system.set_runner_fault(number, mode="hang", count=count)


@when("every second stream is silent")
def silence_streams(context):
    context.proxy.parity = 0
    context.proxy.mode = SILENT


@when("no stream is silent any more")
def end_silence(context):
    context.proxy.mode = PASS


@then('tasks of "{job}" soon start again')
def start_again(context, job):
    def restarted():
        starts = [row for row in context.system.history() if row["how"] == "started"]
        return any(row["task"].startswith(job) and row["attempt"] > 1 for row in starts)

    wait_for(restarted, "a second start")


@when("runner {number:d} sends no heartbeats")
def stop_heartbeats(context, number):
    context.system.set_runner_fault(number, mode="no_heartbeats", count=1_000_000)


@when('the store is in "{mode}"')
def set_store_fault(context, mode):
    context.system.set_store_fault(mode=mode)


@when('the store is in "lost" for {count:d} calls that write a job')
def lose_store_replies(context, count):
    context.system.set_store_fault(mode="lost", count=count, table="open")


@when("the store has recovered")
def heal_store(context):
    context.system.set_store_fault()


@when("the store's outage is noticed by entry {entry:d}")
def outage_noticed(context, entry):
    wait_for(lambda: context.system.events(f"entry-{entry}", "store_lost"), "the outage is noticed")


# Observations.


def count_rows(context, *hows):
    return sum(
        row["how"] in hows and not row["task"].startswith("f" * 14)
        for row in context.system.history()
    )


def wait_started(context, count):
    wait_for(lambda: count_rows(context, "started") >= count, f"{count} starts")


@when("{count:d} tasks have started")
def tasks_started(context, count):
    wait_started(context, count)


@when("{count:d} tasks have ended")
def tasks_ended(context, count):
    wait_for(lambda: count_rows(context, "done") >= count, f"{count} ends")


@then("the answer has status {status:d}")
def answer_status(context, status):
    assert context.answer[0] == status, context.answer


@then('the answer tells the state "{state}"')
def answer_state(context, state):
    assert context.answer == (200, {"state": state}), context.answer


@then('the waiting caller is told "{state}"')
def waiting_caller_told(context, state):
    assert context.in_flight_call.result() == (200, {"state": state})


@then('the job "{job}" becomes "{state}" at entry {entry:d}')
def job_becomes(context, job, state, entry):
    wait_for(lambda: context.system.state(job, entry) == state, f"{job} {state} at {entry}")


@then('the job "{job}" becomes "{state}" at entry {entry:d} within {seconds:d} s')
def job_becomes_within(context, job, state, entry, seconds):
    wait_for(
        lambda: context.system.state(job, entry) == state, f"{job} {state} at {entry}", seconds
    )


@then('the job "{job}" is not reported with another end at entry {entry:d}')
def job_told_same(context, job, entry):
    context.frozen[1].join()
    wait_for(lambda: context.system.state(job, entry) == "succeeded", f"{job} at {entry}")
    for row in context.system.events(f"entry-{entry}", "job_ended"):
        assert row["request"] != job or row["state"] == "succeeded", row


@then('the job "{job}" is unknown at entry {entry:d}')
def job_unknown(context, job, entry):
    wait_for(lambda: context.system.state(job, entry) != "503", "the entry reads the store")
    assert context.system.state(job, entry) == "410", context.system.state(job, entry)


def starts_by_task(context, job):
    counts = {}
    for row in context.system.history():
        if row["task"].startswith(job) and row["how"] == "started":
            counts[row["task"]] = counts.get(row["task"], 0) + 1
    return counts


@then('each task of "{job}" was started {count:d} time')
def started_times(context, job, count):
    counts = starts_by_task(context, job)
    assert counts, "no task was started"
    assert set(counts.values()) == {count}, counts


@then('no task of "{job}" was started more than {count:d} times')
def started_at_most(context, job, count):
    counts = starts_by_task(context, job)
    assert counts, "no task was started"
    assert max(counts.values()) <= count, counts


@then("soon nothing runs")
def nothing_runs(context):
    wait_for(lambda: not list_running(context), "nothing runs")


def list_running(context):
    """Return the active runs; fail if a task ran twice at the same time."""
    running = {}
    for row in context.system.history():
        if row["how"] == "started":
            assert row["task"] not in running, f"{row} beside {running[row['task']]}"
            running[row["task"]] = row["attempt"]
        elif row["how"] in RUNS_CHANGED and running.get(row["task"]) == row["attempt"]:
            del running[row["task"]]
    return running


@then("no task ran twice at the same time")
def never_twice(context):
    list_running(context)


@then("the room of no runner was exceeded")
def room_kept(context):
    most = RUNNER_CPU_MILLI // TASK_CPU_MILLI
    for runner in context.system.runners:
        running = 0
        for row in context.system.call(runner.port, "GET", "/history")[1]:
            running += RUNS_CHANGED.get(row["how"], 0)
            assert running <= most, row
