"""Steps for the settings tree, its versions and its audit trail."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from command_steps import run
from local_system import OPERATOR_TOKEN
from whole_path_steps import TEAM, job_document, submit

from gapdrum.store import ANY_VERSION, StoreClient, TableWrite

POLLS_TO_AWAIT = 3
EVICTION_S = 4


def change(context, values, base_version=None, entry=0, token=OPERATOR_TOKEN):
    request = context.system.request
    if base_version is None:
        base_version = request("GET", "/v1/config", token=OPERATOR_TOKEN)[1]["version"]
    changes = [{"path": p, "name": n, "value": v} for p, n, v in values]
    document = {"base_version": base_version, "changes": changes, "reason": "scenario"}
    return request("POST", "/v1/config/changes", document, entry=entry, token=token)


@when('"{name}" of "{path}" is set to {value:d} at entry {entry:d}')
def set_value(context, name, path, value, entry):
    context.status, context.document = change(context, [(path, name, value)], entry=entry)
    assert context.status == 200, context.document


@given('the setting "{name}" of "" is {value:d}')
def given_value(context, name, value):
    set_value(context, name, "", value, 0)
    check_in_force(context, 1, 8_000)


@when("the owner has had time to evict its answer")
def wait_for_eviction(_context):
    time.sleep(EVICTION_S)


@when('two operators change "{name}" of "{path}" on the same version')
def change_concurrently(context, name, path):
    with ThreadPoolExecutor(2) as threads:
        calls = [
            threads.submit(change, context, [(path, name, 2 + entry)], 0, entry)
            for entry in range(2)
        ]
        context.answers = [call.result() for call in calls]


@when("a change with 3 faults is sent to entry 0")
def send_faults(context):
    faults = [("", "no_such", 1), ("team/a", "team_weight", 0), ("", "placement", "x")]
    context.status, context.document = change(context, faults)


@when('the settings are changed with the token "{token}"')
def change_with_token(context, token):
    context.status, context.document = change(context, [("", "team_weight", 2)], token=token)


@when("entry {entry:d} is started again")
def start_again(context, entry):
    process = context.system.entries[entry]
    process.start()
    context.system.wait_http(process, "/readyz")


@when("the store answers with the settings of version {version:d}")
def restore_old_row(context, version):
    """Set the tree's row back to an earlier version, as a lagging replica would return it."""
    client = StoreClient(context.system.url(context.system.platform, ""))
    row = client.read(["config/tree"])["config/tree"]
    old = {**row.value, "nodes": {"team/schools": {"team_weight": 3}}}
    client.transact([TableWrite("config/tree", ANY_VERSION, None)])
    for _ in range(version):
        client.transact([TableWrite("config/tree", ANY_VERSION, old)])
    reads = context.system.get(context.system.platform, "/stats")["reads"]
    polls = POLLS_TO_AWAIT * 10 * len(context.system.entries)
    context.system.wait_for(
        lambda: context.system.get(context.system.platform, "/stats")["reads"] > reads + polls,
        "the entries to have read the stale row",
    )


@then("version {version:d} is in force everywhere within {wait_ms:d} ms")
def check_in_force(context, version, wait_ms):
    path = f"/v1/config/status?version={version}&wait_ms={wait_ms}"
    _status, document = context.system.request("GET", path, token=OPERATOR_TOKEN)
    assert document["in_force"], document


@then('entry {entry:d} has {value:d} for "{name}" of "{path}" from "{origin}"')
def check_value(context, entry, value, name, path, origin):
    found = find_value(context, entry, name, path)
    assert (found["value"], found["origin"]) == (value, origin), found


@then('entry {entry:d} has {value:d} for "{name}" of "{path}" by default')
def check_default(context, entry, value, name, path):
    found = find_value(context, entry, name, path)
    assert (found["value"], found["origin"]) == (value, None), found


@then('one of them gets the code "{code}"')
def check_conflict(context, code):
    statuses = sorted(status for status, _document in context.answers)
    codes = [document.get("code") for _status, document in context.answers]
    assert statuses == [200, 409] and code in codes, context.answers


@then("the change is accepted as version {version:d}")
def check_version(context, version):
    assert context.document["version"] == version, context.document


@then("the audit trail has {count:d} change")
@then("the audit trail has {count:d} changes")
def check_audit(context, count):
    _status, document = context.system.request("GET", "/v1/config/history", token=OPERATOR_TOKEN)
    assert len(document["changes"]) == count, json.dumps(document)


@then("there are {count:d} findings")
def check_count(context, count):
    assert len(context.document["findings"]) == count, context.document


def find_value(context, entry, name, path):
    _status, document = context.system.request(
        "GET", f"/v1/config/effective/{path}", entry=entry, token=OPERATOR_TOKEN
    )
    return next(value for value in document["values"] if value["name"] == name)


# Drained availability zones. Agent 1 is the only one in its zone.

DRAINED_ZONE = "moka-hall"


def run_drain(context, *options):
    url = context.system.url(context.system.entries[0], "")
    environment = {"GAPDRUM_URL": url, "GAPDRUM_TOKEN": OPERATOR_TOKEN}
    done = run("gapdrum", ["drain-zone", DRAINED_ZONE, *options], **environment)
    assert done.returncode == 0, done


@when("an operator drains the zone of agent 1 by the command line")
def drain_zone(context):
    run_drain(context, "--reason", "repair")


@when("the operator restores that zone")
def restore_zone(context):
    run_drain(context, "--undo")


@when('a job "{key}" of {tasks:d} tasks is submitted')
def submit_many(context, key, tasks):
    submit(context, job_document(key, tasks, 30))


@when('a job "{key}" is submitted with twice as many tasks as the other runner has slots')
def submit_twice_the_slots(context, key):
    submit(context, job_document(key, 16, 150))


@then("its answer is complete, and no task of it was started at agent {number:d}")
def check_not_started_at(context, number):
    assert context.status == 200 and context.document["outcome"] == "complete", context.document
    agents = {step["subject"] for step in decisions_on(context, "zone-1", "placed")}
    assert agents == {f"agent-{1 - number}"}, agents


@then("tasks of it were started at agent {number:d}")
def check_started_at(context, number):
    agents = {step["subject"] for step in decisions_on(context, "zone-2", "placed")}
    assert f"agent-{number}" in agents, agents


def decisions_on(context, key, code):
    path = f"/v1/jobs/{TEAM}/{key}/decisions"
    _status, document = context.system.request("GET", path, token=OPERATOR_TOKEN)
    return [step for step in document["decisions"] if step["code"] == code]


@then('the placements of "{key}" are explained with a drained zone')
def check_placements_explained(context, key):
    for step in decisions_on(context, key, "placed"):
        assert {"name": "drained_zones", "value": 1} in step["figures"], step


@then('the explanation of "{key}" has tasks that waited while a zone was drained')
def check_held_explained(context, key):
    held = decisions_on(context, key, "held_zone_drained")
    assert held and all(step["subject"] == DRAINED_ZONE for step in held), held
