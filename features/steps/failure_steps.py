"""Steps that kill, freeze and stop processes, and check the answers that callers get."""

import json
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import msgpack
from behave import given, then, when
from local_system import CALLER_TOKEN, HOST, OPERATOR_TOKEN, RUNNER_TOKEN, STREAM_TOKEN
from whole_path_steps import TEAM, TRACES, check_complete, job_document

from gapdrum.codec import encode
from gapdrum.messages import AgentHello, EntryHeartbeat
from gapdrum.replays import list_deviations, replay
from gapdrum.traces import load_trace

CALL_TIMEOUT_S = 60
INVALID_FRAMES = (
    b"\xc1\xc1\xc1",
    msgpack.packb([99, "x"]),
    msgpack.packb({"not": "an array"}),
    msgpack.packb([1, "too", "few"]),
    msgpack.packb([16, "text", 0]),
    b"\xdd\xff\xff\xff\xff",
    encode(AgentHello("a", "i", "z", "w", "wrong token", 0)),
    encode(AgentHello("a", "i", "z", "w", STREAM_TOKEN, 0)) + encode(EntryHeartbeat(0, 0)),
    encode(AgentHello("a", "i", "z", "w", STREAM_TOKEN, 0))[:9],
)


def send_in_background(context, document, entry):
    context.threads = ThreadPoolExecutor(8)
    context.add_cleanup(context.threads.shutdown, wait=False)
    arguments = ("POST", "/v1/jobs", document, entry)
    context.in_flight_call = context.threads.submit(context.system.request, *arguments)


def wait_started(context, count):
    context.system.wait_for(
        lambda: len(context.system.count_starts()) >= count, f"{count} tasks started"
    )


def start_job(context, key, tasks, run_ms, entry, **more):
    send_in_background(context, job_document(key, tasks, run_ms, **more), entry)
    wait_started(context, min(tasks, 24))


@given('the job "{key}" of {tasks:d} tasks of {run_ms:d} ms is in flight at entry {entry:d}')
def job_in_flight(context, key, tasks, run_ms, entry):
    start_job(context, key, tasks, run_ms, entry)


@given(
    'the job "{key}" of {tasks:d} tasks of {run_ms:d} ms with {starts:d} starts'
    " is in flight at entry {entry:d}"
)
def job_with_starts_in_flight(context, key, tasks, run_ms, starts, entry):
    start_job(context, key, tasks, run_ms, entry, starts_allowed=starts)


def find_process(context, kind, number):
    system = context.system
    groups = {"entry": system.entries, "agent": system.agents, "runner": system.upstreams}
    return groups[kind][number]


@when("{kind:w} {number:d} is killed")
def kill_process(context, kind, number):
    find_process(context, kind, number).kill()


@when("entry 0 and agent 0 and runner 0 are killed")
def kill_zone(context):
    for kind in ("entry", "agent", "runner"):
        find_process(context, kind, 0).kill()


@given("{kind:w} {number:d} is frozen")
@when("{kind:w} {number:d} is frozen")
def freeze(context, kind, number):
    find_process(context, kind, number).signal(signal.SIGSTOP)


@when("{kind:w} {number:d} resumes")
def resume(context, kind, number):
    find_process(context, kind, number).signal(signal.SIGCONT)


@when("agent 0 resumes and has caught up")
def resume_and_catch_up(context):
    agent = find_process(context, "agent", 0)
    agent.signal(signal.SIGCONT)
    context.system.wait_http(agent, "/readyz")
    runners = lambda: list_runners(context, 0)  # noqa: E731
    context.system.wait_for(lambda: runners().get("agent-0") == "ready", "agent 0 is back")


@when("{kind:w} {number:d} is told to shut down")
def shut_down(context, kind, number):
    find_process(context, kind, number).signal(signal.SIGTERM)


@then("{kind:w} {number:d} has ended with code {code:d}")
def check_ended(context, kind, number, code):
    assert find_process(context, kind, number).wait(CALL_TIMEOUT_S) == code


@given('the store has an outage for "{prefix}"')
@given('the store has an outage for ""')
def set_outage(context, prefix=""):
    context.system.set_fault(mode="outage", prefix=prefix, count=1_000_000)


@given('the store loses {count:d} answers for "{prefix}"')
def lose_answers(context, count, prefix):
    context.system.set_fault(mode="lost", prefix=prefix, count=count)


@when("the store works again")
def clear_fault(context):
    context.system.set_fault()


@when(
    'the job "{key}" of {tasks:d} tasks of {run_ms:d} ms is submitted to entry {entry:d}'
    " until it is answered"
)
def submit_until_answered(context, key, tasks, run_ms, entry):
    document = job_document(key, tasks, run_ms)

    def is_answered():
        context.status, context.document = context.system.request(
            "POST", "/v1/jobs", document, entry=entry
        )
        return context.status == 200

    context.system.wait_for(is_answered, f"the answer of {key}")


@when(
    'the job "{key}" of {tasks:d} tasks of {run_ms:d} ms with deadline {deadline_ms:d}'
    " is submitted to entry {entry:d}"
)
def submit_with_deadline(context, key, tasks, run_ms, deadline_ms, entry):
    document = job_document(key, tasks, run_ms, deadline_ms=deadline_ms)
    context.status, context.document = context.system.request(
        "POST", "/v1/jobs", document, entry=entry
    )


@when('the job "{key}" of {tasks:d} tasks of {run_ms:d} ms is submitted to all entries at once')
def submit_everywhere(context, key, tasks, run_ms):
    document = job_document(key, tasks, run_ms)
    with ThreadPoolExecutor(8) as threads:
        calls = [
            threads.submit(context.system.request, "POST", "/v1/jobs", document, entry)
            for entry in range(len(context.system.entries))
        ]
        context.answers = [call.result(CALL_TIMEOUT_S) for call in calls]


@when("{count:d} jobs of {tasks:d} tasks with {starts:d} starts are submitted to entry {entry:d}")
def submit_many(context, count, tasks, starts, entry):
    context.answers = [
        context.system.request(
            "POST",
            "/v1/jobs",
            job_document(f"many-{i}", tasks, 50, starts_allowed=starts),
            entry=entry,
        )
        for i in range(count)
    ]


@when('the job "{key}" is cancelled at entry {entry:d}')
def cancel_job(context, key, entry):
    path = f"/v1/jobs/{TEAM}/{key}/cancel"
    status, document = context.system.request("POST", path, {}, entry=entry)
    assert status == 202, document


@given("runner {number:d} announces that it leaves")
def leave(context, number):
    agent = find_process(context, "agent", number)
    headers = {"Authorization": f"Bearer {RUNNER_TOKEN}"}
    url = context.system.url(agent, "/v1/leave")
    assert context.system.pool.request("POST", url, headers=headers).status == 200


@given("{seconds:d} seconds have passed")
def wait_seconds(_context, seconds):
    time.sleep(seconds)


@given("runner {number:d} fails all tasks")
def fail_all_tasks(context, number):
    runner = find_process(context, "runner", number)
    body = json.dumps({"fail_all": True}).encode()
    context.system.pool.request("POST", context.system.url(runner, "/behaviour"), body=body)


@when("invalid frames of every kind are sent to the streams of entry {entry:d}")
def send_invalid_frames(context, entry):
    config = json.loads((context.system.folder / f"entry-{entry}.json").read_text())
    for frame in INVALID_FRAMES:
        with socket.create_connection((HOST, config["streams"]["port"])) as connection:
            connection.sendall(frame)
            connection.shutdown(socket.SHUT_WR)
            connection.settimeout(CALL_TIMEOUT_S)
            while connection.recv(4096):
                pass


@then("the call in flight is answered as {outcome:w}")
def check_in_flight(context, outcome):
    context.status, context.document = context.in_flight_call.result(CALL_TIMEOUT_S)
    check_outcome(context, outcome)


@then("the answer is failed")
def check_failed(context):
    check_outcome(context, "failed")


def check_outcome(context, outcome):
    assert context.status == 200, context.document
    assert context.document["outcome"] == outcome, context.document


@then('the tasks that are not done are "{fate}"')
def check_fates(context, fate):
    fates = {task["fate"] for task in context.document["tasks"]} - {"done"}
    assert fates == {fate}, context.document


@then("the tasks that are not done never started")
def check_never_started(context):
    starts = context.system.count_starts()
    job_id = context.document["job_id"]
    for task in context.document["tasks"]:
        count = starts.get(f"{job_id}/{task['index']}", 0)
        assert count == (1 if task["fate"] == "done" else 0), (task, count)


@then("no task started more than {limit:d} times")
def check_limit(context, limit):
    assert max(context.system.count_starts().values()) <= limit


@then("all answers are the same and complete")
def check_same(context):
    context.status, context.document = context.answers[0]
    check_complete(context)
    assert all(answer == context.answers[0] for answer in context.answers), context.answers


@then("all of them are complete")
def check_all(context):
    for answer in context.answers:
        context.status, context.document = answer
        check_complete(context)


@then("runner {number:d} started nothing")
def check_no_starts(context, number):
    runner = find_process(context, "runner", number)
    runner.signal(signal.SIGCONT)
    assert context.system.get(runner, "/starts")["starts"] == {}


@then('the runner of agent {number:d} has the state "{one}" or "{other}" at entry {entry:d}')
def check_runner_state(context, number, one, other, entry):
    assert list_runners(context, entry)[f"agent-{number}"] in (one, other)


@then('the runner of agent {number:d} comes to the state "{state}" at entry {entry:d}')
def wait_runner_state(context, number, state, entry):
    context.system.wait_for(
        lambda: list_runners(context, entry).get(f"agent-{number}") == state,
        f"the runner of agent {number} is {state}",
    )


def list_runners(context, entry):
    _status, document = context.system.request(
        "GET", "/v1/runners", entry=entry, token=OPERATOR_TOKEN
    )
    return {row["agent_id"]: row["state"] for row in document["runners"]}


@given('the trace "{name}" is being replayed')
def replay_in_background(context, name):
    context.trace = load_trace(TRACES / name)
    urls = [context.system.url(entry, "") for entry in context.system.entries]
    context.threads = ThreadPoolExecutor(1)
    context.add_cleanup(context.threads.shutdown, wait=False)
    context.replay = context.threads.submit(
        replay, context.trace, urls, CALLER_TOKEN, progress=lambda _text: None
    )
    wait_started(context, 30)


@when("every entry is told to shut down and started again, one after the other")
def replace_entries(context):
    for entry in context.system.entries:
        entry.signal(signal.SIGTERM)
        code = entry.wait(CALL_TIMEOUT_S)
        assert code == 0, (entry.name, code, entry.log_path.read_text()[-1500:])
        entry.start()
        context.system.wait_http(entry, "/readyz")
        context.system.wait_runners(len(context.system.agents))


@then("the replay reaches its stated outcome")
def check_replay(context):
    report = context.replay.result(2 * CALL_TIMEOUT_S)
    deviations = list_deviations(context.trace, report)
    assert deviations == [], deviations


@when('the store starts to lose {count:d} answers for "{prefix}"')
def start_losing_answers(context, count, prefix):
    lose_answers(context, count, prefix)


@given("{count:d} jobs of {tasks:d} tasks of {run_ms:d} ms are in flight at entry {entry:d}")
def many_in_flight(context, count, tasks, run_ms, entry):
    context.threads = ThreadPoolExecutor(count)
    context.add_cleanup(context.threads.shutdown, wait=False)
    context.keys = [f"wave-{i}" for i in range(count)]
    context.calls = [
        context.threads.submit(
            context.system.request, "POST", "/v1/jobs", job_document(key, tasks, run_ms), entry
        )
        for key in context.keys
    ]
    path = "/v1/open-jobs"
    context.system.wait_for(
        lambda: len(get_as_operator(context, path, entry)["jobs"]) == count, "all jobs are open"
    )


@when("all of them are cancelled at entry {entry:d}")
def cancel_all(context, entry):
    for key in context.keys:
        cancel_job(context, key, entry)


@then("all of them are answered as failed")
def check_all_failed(context):
    for call in context.calls:
        context.status, context.document = call.result(CALL_TIMEOUT_S)
        check_outcome(context, "failed")


@then('entry {entry:d} has sent at most {limit:d} "{kind}" messages')
def check_sent(context, entry, limit, kind):
    sent = context.system.count_messages()["sent"]
    assert 0 < sent.get(kind, 0) <= limit, sent


def get_as_operator(context, path, entry):
    return context.system.request("GET", path, entry=entry, token=OPERATOR_TOKEN)[1]
