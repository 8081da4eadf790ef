"""Steps on rows and heartbeats of other programs, which are validated one by one on arrival."""

import asyncio
import json
from collections import Counter
from types import SimpleNamespace

import hypothesis.strategies as st
import msgpack
from behave import given, then, when
from core_model import ManualTimers
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as for_all
from platform_core_steps import FakeStore, new_lease, new_log
from silence_steps import ADDRESS, HOST, new_registry, post_heartbeat

from gapdrum.agent.entry_directory import EntryDirectory
from gapdrum.agent.entry_links import EntryLinks
from gapdrum.background import Background
from gapdrum.codec import decode
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, Step
from gapdrum.core.records import (
    LEASE_TABLE,
    EndedJob,
    EntryAddress,
    EntryLease,
    JobProgress,
    OpenJob,
    address_row,
    dump_record,
    lease_row,
    load_record,
    open_row,
    step_row,
)
from gapdrum.core.rows import Put, Row, Transaction
from gapdrum.core.runner_ledger import RunnerLedger
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.takeover import Takeover
from gapdrum.exceptions import FrameError, InvalidInputError, RecordError, StoreError
from gapdrum.platform.configuration import decode_configuration
from gapdrum.platform.heartbeats import decode_heartbeat
from gapdrum.platform.machine_list import decode_page
from gapdrum.platform.operator_table import CONFIGURATION_ROW
from gapdrum.platform.rows import RowStore
from gapdrum.platform.runner_calls import RunnerCalls, RunnerRejectedError
from gapdrum.platform.submissions import decode_job
from gapdrum.transport.http_client import NoReplyError
from gapdrum.transport.http_messages import HttpReply, HttpRequest

OTHER_ADDRESS = f"{HOST}:2"
STORE = Endpoint(HOST, 1)
GOOD_HEARTBEAT = {
    "service": "workers",
    "address": OTHER_ADDRESS,
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "sequence": 4,
}


# Heartbeats.


def heartbeat_request(runner, body):
    return HttpRequest("POST", f"/Instances.Heartbeat/{runner}", {}, body, 0, None)


def play_bodies(context, *heartbeats):
    """Send heartbeats to an agent that knows the runner "i-2"; record the last status."""

    async def play():
        registry = new_registry(context, ["i-2"])
        known = {**GOOD_HEARTBEAT, "address": ADDRESS}
        await post_heartbeat(registry, heartbeat_request("i-2", json.dumps(known).encode()))
        for runner, body in heartbeats:
            context.status = await post_heartbeat(registry, heartbeat_request(runner, body))
        context.known = list(context.controllers)
        context.lines = [json.loads(line) for line in registry._log._lines]

    asyncio.run(play())


@when('a heartbeat of "{runner}" comes from another address with {field} = {value}')
def odd_heartbeat(context, runner, field, value):
    body = dict(GOOD_HEARTBEAT)
    if value == "missing":
        del body[field]
    else:
        body[field] = json.loads(value)
    play_bodies(context, (runner, json.dumps(body).encode()))


@when('a heartbeat of "{runner}" comes with the state "{state}"')
def odd_state(context, runner, state):
    body = {**GOOD_HEARTBEAT, "address": ADDRESS, "state": state, "sequence": 5}
    play_bodies(context, (runner, json.dumps(body).encode()))


@then('the runner "{runner}" is still ready')
def still_ready(context, runner):
    assert not context.controllers[runner].ledger.draining


@when('the body {body} comes as a heartbeat of "{runner}"')
def odd_body(context, body, runner):
    bodies = {
        '100000 times "["': b"[" * 100_000,
        "the bytes ff fe 00": b"\xff\xfe\x00",
        "nothing": b"",
    }
    play_bodies(context, (runner, bodies.get(body, body.encode())))


@then("the log names {field}")
def log_names(context, field):
    rejected = [line for line in context.lines if line["event"] == "heartbeat_rejected"]
    assert len(rejected) == 1, context.lines
    assert field in rejected[0]["reason"], rejected


# Replies of the store and of the machine list.


@given("a list of machines with a malformed one before the runner's")
def odd_list(context):
    good = {"id": "i-2", "pool": "workers", "capacity": {"cpu": 4_000}, "labels": ["a"]}
    context.page = {"machines": [7, {"id": ["i-2"]}, {}, None, good], "next_token": None}


@then("the runner is found in the list")
def found_listed(context):
    found = decode_page(context.page, "i-2").found
    assert found.capacity == Resources(4_000), found


class FixedClient:
    """Replies to each call with the same body."""

    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    async def call(self, *_arguments, **_options):
        return HttpReply(self.status, {}, self.body)


def store_answering(context, document):
    context.log = new_log(ManualTimers())
    store = RowStore(STORE, context.log)
    store._client = FixedClient(json.dumps(document).encode())
    return store


@given("a store whose answers hold malformed rows beside a good one")
def odd_rows(context):
    good = {"table": "t", "part": "", "key": "good", "value": "Z29vZA==", "ver": 7}
    rows = [
        7,
        None,
        {"table": "t", "key": 9, "value": "", "ver": 3},
        {"table": "t", "key": "bytes", "value": "%%%", "ver": 3},
        {"table": "t", "key": "version", "value": "Z29vZA==", "ver": "new"},
        good,
    ]
    context.rows_store = store_answering(context, {"rows": rows, "ver": 9})


@when("its rows are read twice")
def read_twice(context):
    read = context.rows_store.read
    context.pages = [asyncio.run(read("t", "", 100)) for _ in range(2)]


@then("the good row is read both times")
def good_row(context):
    for page in context.pages:
        assert {row.at.key: row.value for row in page.rows}["good"] == b"good", page


@then("a row whose value can't be decoded is returned and holds no record")
def unreadable_row(context):
    for row in context.pages[0].rows:
        if row.at.key in ("bytes", "version"):
            assert refusal_of(lambda row=row: load_record(row.value, EntryAddress)) is RecordError


@then("each malformed row was logged once, with its place")
def logged_once(context):
    lines = [json.loads(line) for line in context.log._lines]
    places = Counter(line["place"] for line in lines if line["event"] == "row_unreadable")
    assert places == {"?": 1, "t//bytes": 1, "t//version": 1}, places


def refusal_of(call):
    """Return the class of the error that a call raises, None if it raises none."""
    try:
        call()
    except Exception as error:
        return type(error)
    return None


# Records.


OTHER_VALUES = {
    "text": b"text",
    "nothing": b"",
    "an address record": dump_record(EntryAddress("life", "zone", HOST, 1)),
}


@given("an entry that holds its lease in a store where another lease holds {value}")
def odd_lease(context, value):
    context.store = FakeStore()
    context.store.apply(Transaction(puts=(Put(lease_row("entry-9"), OTHER_VALUES[value]),)))
    context.timers = ManualTimers()
    context.lease = new_lease(context.store, context.timers, "entry-1")
    asyncio.run(context.lease.keep())


@when("it renews its lease for 6 s")
def renew_long(context):
    for _ in range(24):
        context.timers.time_ms += 250
        asyncio.run(context.lease.keep())
        assert context.lease.valid


@then("it still holds its lease")
def still_held(context):
    record = load_record(context.store.row(lease_row("entry-1")).value, EntryLease)
    assert record.incarnation == context.lease.incarnation


@then("the other lease is gone from the store")
def other_gone(context):
    rows = asyncio.run(context.store.read_all(LEASE_TABLE, ""))
    assert [row.at.key for row in rows] == ["entry-1"], rows


@given("an agent whose table of addresses holds text, a lease record and a good address")
def odd_addresses(context):
    timers = ManualTimers()
    log = new_log(timers)
    context.connected = []
    links = EntryLinks(lambda: None, timers, log, Counter(), Counter())
    links._connect = lambda link, listed=True: context.connected.append(link.entry)
    links.update_links = lambda: None
    context.links = links
    directory = EntryDirectory(None, links, log)
    values = {
        "entry-1": b"text",
        "entry-2": dump_record(EntryLease("life", 0, ())),
        "entry-3": dump_record(EntryAddress("life", "zone", HOST, 1)),
    }
    rows = [Row(address_row(name), value, 1) for name, value in values.items()]
    directory._take(tuple(rows))


@then("it connects to the good one only")
def good_address(context):
    assert list(context.links._listed) == ["entry-3"], context.links._listed


def open_record(owner):
    step = step_row(Step(1, Resources(100), 100))
    return OpenJob("flags", "inspect-desk", "{}", owner, 1, 0, (step,))


GOOD_JOB, ODD_JOB = "00000000000000a0", "00000000000000b0"


@given("a store with an open job of a lost owner, and one whose row can't be decoded")
def odd_jobs(context):
    context.store = FakeStore()
    puts = (
        Put(open_row(GOOD_JOB), dump_record(open_record("entry-8/life"))),
        Put(open_row(ODD_JOB), b"\xc1"),
    )
    context.store.apply(Transaction(puts=puts))


@when("an entry takes over the jobs without an owner")
def take_over(context):
    timers = ManualTimers()
    log = new_log(timers)
    context.lease = new_lease(context.store, timers, "entry-1")
    context.taken = []
    dispatch = SimpleNamespace(
        jobs={}, add_job=lambda job, _now_ms: context.taken.append(job.job_id)
    )
    takeover = Takeover(
        context.store,
        GroupCommitWriter(context.store, Background(log)),
        context.lease,
        dispatch,
        SimpleNamespace(broadcast=lambda _message: None),
        SimpleNamespace(is_insert_pending=lambda _job_id: False),
        SimpleNamespace(known_state=lambda _job_id: None),
        SimpleNamespace(known=True, current=SimpleNamespace(queue_named=lambda _name: None)),
        timers,
        log,
    )

    async def run():
        await context.lease.keep()
        await takeover.scan_if_due()

    asyncio.run(run())


@then("it owns the good job only")
def owns_good(context):
    assert context.taken == [GOOD_JOB], context.taken


# Generated inputs.


NUMBERS = st.integers() | st.floats()
SCALARS = st.none() | st.booleans() | NUMBERS | st.text(max_size=20) | st.just("\ud800")
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def mutated(document):
    """Return a strategy for documents that differ from a valid one in some fields, nested too."""
    if isinstance(document, dict) and document:
        return st.fixed_dictionaries(
            {}, optional={name: mutated(value) for name, value in document.items()}
        )
    if isinstance(document, list) and document:
        return st.lists(st.one_of(map(mutated, document)), max_size=len(document) + 1) | VALUES
    return st.just(document) | st.just(document) | VALUES


def as_json(documents):
    texts = documents.map(lambda document: json.dumps(document).encode())
    return texts | st.binary(max_size=60)


GOOD_MACHINES = {
    "machines": [{"id": "i-2", "pool": "workers", "capacity": {"cpu": 1}, "labels": ["a"]}],
    "next_token": "x",
}
GOOD_ROWS = {
    "rows": [{"table": "t", "part": "", "key": "k", "value": "Z29vZA==", "ver": 7}],
    "has_more": False,
    "ver": 9,
}
GOOD_CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "flags",
            "host": "h",
            "prefix": "/f/",
            "service": "workers",
            "priority": 0,
            "attempts": 2,
            "stretch": 1.6,
            "target_latency_ms": 60,
            "timeout_ms": 1_500,
        }
    ],
    "limits": {
        "max_header_bytes": 100,
        "max_body_bytes": 100,
        "header_timeout_ms": 100,
        "idle_timeout_ms": 100,
    },
}
GOOD_JOB_BODY = {
    "spec": "text",
    "steps": [{"count": 2, "cpu": 500, "after": [], "requires": "a"}],
    "best_effort": True,
}
GOOD_POLL_REPLY = {
    "clock_ms": 5,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 0]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
RECORDS = (
    open_record("o"),
    EntryLease("life", 1, ()),
    EntryAddress("life", "zone", HOST, 1),
    JobProgress(()),
    EndedJob("flags", "failed", "o", 1, ()),
)


def read_rows(body):
    store = RowStore(STORE, new_log(ManualTimers()))
    store._client = FixedClient(body)
    asyncio.run(store.read("t", "", 100))
    asyncio.run(store.watch("t", 1, 100))


def poll(body):
    calls = RunnerCalls(STORE, "i-2")
    calls._client = FixedClient(body)
    seen = asyncio.run(calls.poll(0, 0, 1, 0, 100))
    RunnerLedger("i-2", capacity=Resources(1)).apply_snapshot(seen, 10)


def load_any(value):
    for record in RECORDS:
        load_record(value, type(record))


def plain(record):
    return list(msgpack.unpackb(dump_record(record)))


DECODERS = {
    "heartbeats": (lambda body: decode_heartbeat("i-2", body), as_json(mutated(GOOD_HEARTBEAT))),
    "machines": (
        lambda body: decode_page(HttpReply(200, {}, body).document(), "i-2"),
        mutated(GOOD_MACHINES).map(lambda document: json.dumps(document).encode()),
    ),
    "rows": (read_rows, as_json(mutated(GOOD_ROWS))),
    "configurations": (
        lambda body: decode_configuration(Row(CONFIGURATION_ROW, body, 1)),
        as_json(mutated(GOOD_CONFIGURATION)),
    ),
    "jobs": (decode_job, as_json(mutated(GOOD_JOB_BODY))),
    "looks": (poll, as_json(mutated(GOOD_POLL_REPLY))),
    "records": (
        load_any,
        st.one_of([mutated(plain(record)) for record in RECORDS]).map(
            lambda value: (
                msgpack.packb(value, unicode_errors="surrogatepass") if not has_huge(value) else b""
            )
        )
        | st.binary(max_size=60),
    ),
    "stream frames": (decode, VALUES | st.one_of([mutated(plain(one)) for one in RECORDS])),
}
REFUSALS = {
    "ValueError": (ValueError,),
    "NoReplyError": (NoReplyError, RunnerRejectedError),
    "StoreError": (StoreError,),
    "InvalidInputError": (InvalidInputError,),
    "RecordError": (RecordError,),
    "FrameError": (FrameError,),
}


def has_huge(value):
    """Tell whether a value contains an integer that msgpack can't encode."""
    if isinstance(value, dict):
        return any(map(has_huge, value.values()))
    if isinstance(value, list):
        return any(map(has_huge, value))
    return isinstance(value, int) and not -(2**63) <= value < 2**64


@when("{count:d} generated inputs are given to the decoder of {name}")
def any_inputs(context, count, name):
    call, inputs = DECODERS[name]
    context.found = []

    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @for_all(inputs)
    def play(value):
        try:
            call(value)
        except Exception as error:
            context.found.append((error, value))

    play()


@then("each was decoded, or rejected with {refusal}")
def refused_well(context, refusal):
    odd = [(one, value) for one, value in context.found if not isinstance(one, REFUSALS[refusal])]
    assert not odd, (len(odd), repr(odd[0][0]), odd[0][1])
