"""Steps that drive a whole system over HTTP."""

import json
from pathlib import Path

from behave import given, then, when
from local_system import CALLER_TOKEN, LocalSystem

from gapdrum.replays import list_deviations, replay
from gapdrum.traces import load_trace

TRACES = Path(__file__).parent.parent.parent / "traces"
ZONES = ("plaine-nord", "moka-hall", "curepipe-hall")
TEAM = "schools"


def job_document(key, tasks, run_ms, **more):
    payload = json.dumps({"run_ms": run_ms})
    document = {
        "key": key,
        "team": TEAM,
        "upstream": "inspect-desk",
        "deadline_ms": 20_000,
        "tasks": [{"payload": payload}] * tasks,
    }
    return {**document, **more}


def submit(context, document, entry=0):
    context.status, context.document = context.system.request(
        "POST", "/v1/jobs", document, entry=entry
    )


@given("a system of {entries:d} entries and {runners:d} runners")
def start_system(context, entries, runners):
    placed = [("inspect-desk", ZONES[i % len(ZONES)], 8) for i in range(runners)]
    context.system = LocalSystem(entries=entries, runners=placed)
    context.system.__enter__()


@when('the job "{key}" of {tasks:d} tasks of {run_ms:d} ms is submitted to entry {entry:d}')
def submit_job(context, key, tasks, run_ms, entry):
    submit(context, job_document(key, tasks, run_ms), entry)


@when('the job "{key}" for upstream "{upstream}" is submitted')
def submit_elsewhere(context, key, upstream):
    submit(context, job_document(key, 1, 50, upstream=upstream))


@when("an invalid job is submitted")
def submit_invalid(context):
    document = job_document("bad", 2, 50, team=7)
    del document["upstream"]
    document["tasks"] = [{"payload": "x"}, {"payload": 1}]
    submit(context, document)


@when('the trace "{name}" is replayed')
def replay_trace(context, name):
    context.trace = load_trace(TRACES / name)
    urls = [context.system.url(entry, "") for entry in context.system.entries]
    context.report = replay(context.trace, urls, CALLER_TOKEN, progress=lambda _text: None)


@then("its stated outcome holds")
def check_outcome(context):
    deviations = list_deviations(context.trace, context.report)
    assert deviations == [], deviations


@then("the answer is complete")
def check_complete(context):
    assert context.status == 200, context.document
    assert context.document["outcome"] == "complete", context.document
    assert all(task["fate"] == "done" for task in context.document["tasks"])


@then('the job "{key}" can be fetched from entry {entry:d}')
def check_fetch(context, key, entry):
    status, document = context.system.request(
        "GET", f"/v1/jobs/{TEAM}/{key}?wait_ms=5000", entry=entry
    )
    assert (status, document) == (200, context.document), (status, document)


@then("every task started exactly once")
def check_starts(context):
    starts = context.system.count_starts()
    assert starts and set(starts.values()) == {1}, starts


@then('the call fails with status {status:d} and code "{code}"')
def check_failure(context, status, code):
    assert (context.status, context.document["code"]) == (status, code), context.document


@then('the findings name the places "{places}"')
def check_findings(context, places):
    found = {finding["place"] for finding in context.document["findings"]}
    assert found == set(places.split(", ")), found


@then('the refusal says "{run_state}"')
def check_run_state(context, run_state):
    assert context.document["run_state"] == run_state


@then('entry {entry:d} explains "{key}" with the codes "{codes}"')
def check_explanation(context, entry, key, codes):
    _status, document = context.system.request(
        "GET", f"/v1/jobs/{TEAM}/{key}/decisions", entry=entry
    )
    found = {decision["code"] for decision in document["decisions"]}
    assert set(codes.split(", ")) <= found, found
