"""Steps on what is known of a job to its next owner, on a fake store."""

import asyncio
import json

import attrs
from behave import given, then, when
from ended_job_steps import StoredJobsEntry, call, run
from platform_core_steps import JOB, FakeStore, new_lease, new_log
from refusal_steps import LIMITS

from gapdrum.background import Background
from gapdrum.core import orders
from gapdrum.core.jobs import Place, TaskPhase
from gapdrum.core.models import Resources, RunEnd, Step
from gapdrum.core.placer import TRY_INTERVAL_MS
from gapdrum.core.records import OpenJob, dump_record, lease_row, load_record, open_row
from gapdrum.core.rows import Put, Transaction
from gapdrum.entry.acceptance import Acceptor
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.entry.group_commit import GroupCommitWriter
from gapdrum.entry.job_ends import PROGRESS_DELAY_MS
from gapdrum.entry.takeover import Takeover

HOST = "inspections.example"
ESTIMATE_MS = 100
OTHER_JOB = JOB[:-2] + "00"


class OwnerEntry(StoredJobsEntry):
    """An entry that accepts jobs, owns them and takes over those of lost entries."""

    def __init__(self, store, instance, route_rows, version):
        super().__init__(store, instance)
        log = new_log(self.timers)
        writer = GroupCommitWriter(store, Background(log))
        self.configuration = ConfigurationWatch(log)
        self.configuration.on_change = self.apply_configuration
        self.configure(version, route_rows)
        self.lease = new_lease(store, self.timers, instance)
        self.acceptor = Acceptor(store, writer, self.lease, self.timers, log, self.add_job)
        self.takeover = Takeover(
            store, writer, self.lease, self.dispatch, self.links, self.acceptor, self.ended_jobs,
            self.configuration, self.timers, log,
        )  # fmt: skip

    def add_job(self, job):
        self.dispatch.add_job(job, self.timers.now_ms())

    def apply_configuration(self, configuration):
        self.dispatch.apply_configuration(configuration, self.timers.now_ms())

    def configure(self, version, route_rows):
        """Apply a version of the configuration."""
        document = {"version": version, "routes": route_rows, "limits": LIMITS}
        self.configuration.apply_from_peer(json.dumps(document).encode(), "test")

    @property
    def job(self):
        return self.dispatch.jobs[JOB]


def route_of(name, prefix, service="inspect-desk", **settings):
    return {"name": name, "host": HOST, "prefix": prefix, "service": service, **settings}


@given('an entry that has accepted a job at "{prefix}" of the route "{name}" with these settings')
def accepted(context, prefix, name):
    settings = {key: json.loads(value) for key, value in context.table[0].items()}
    context.store = FakeStore()
    context.version = 1
    context.routes = context.first_routes = [route_of(name, prefix, **settings)]
    context.owner = owner = OwnerEntry(context.store, "edge-1", context.routes, 1)
    queue = owner.configuration.current.find_queue(HOST, prefix)
    steps = (Step(1, Resources(500, 10, 0), ESTIMATE_MS),)

    async def accept():
        await owner.lease.keep()
        return await owner.acceptor.accept(JOB, queue, "{}", steps)

    run(context, accept())
    assert owner.job.durable


@when("a run of the job fails, which is stored")
def fails_once(context):
    owner, job = context.owner, context.owner.job
    task = job.tasks[0]
    task.attempt, task.phase = 1, TaskPhase.RUNNING
    job.record_end(task, 1, RunEnd.FAILED, owner.timers.now_ms())
    owner.timers.time_ms += PROGRESS_DELAY_MS
    run(context, owner.recorder.store_progress())


@when("the configuration stays as it is")
def stays(context):
    pass


@when('the configuration gives the route the name "{name}"')
def renamed(context, name):
    change_routes(context, {**context.routes[0], "name": name})


@when("the configuration has no such route")
def removed(context):
    change_routes(context, route_of("tags", "/tags/"))


@when('the configuration gives the path to a route "{name}" with {attempts:d} attempts')
def path_given(context, name, attempts):
    change_routes(context, {**context.routes[0], "name": name, "attempts": attempts})


@when('the configuration gives the name "{name}" to the path "{prefix}" with {attempts:d} attempts')
def name_given(context, name, prefix, attempts):
    change_routes(context, route_of(name, prefix, "other-desk", attempts=attempts))


@when('the configuration sends the route to "{upstream}"')
def sent_to(context, upstream):
    change_routes(context, {**context.routes[0], "service": upstream})


@when('the configuration gives the path to "{name}" at "{upstream}"')
def path_given_to(context, name, upstream):
    change_routes(context, {**context.routes[0], "name": name, "service": upstream})


@when("a second passes")
def second_passes(context):
    context.owner.timers.time_ms += 1_000


@when("the entry stores the progress of its job")
def progress_stored(context):
    context.owner.timers.time_ms += PROGRESS_DELAY_MS
    run(context, context.owner.recorder.store_progress())


@when("an entry that knows only the first version takes the job over")
def outdated_takes_over(context):
    context.version, context.routes = 1, context.first_routes
    taken_over(context)


@given('an entry that accepts a job at "{prefix}" while its route is sent to "{upstream}"')
def accepted_meanwhile(context, prefix, upstream):
    context.store = FakeStore()
    context.version = 1
    context.routes = [route_of("certs", prefix)]
    context.owner = owner = OwnerEntry(context.store, "edge-1", context.routes, 1)
    queue = owner.configuration.current.find_queue(HOST, prefix)
    steps = (Step(1, Resources(500, 10, 0), ESTIMATE_MS),)

    async def accept():
        await owner.lease.keep()
        accepting = asyncio.ensure_future(owner.acceptor.accept(JOB, queue, "{}", steps))
        await asyncio.sleep(0)
        sent_to(context, upstream)
        await accepting

    run(context, accept())


@then('the task waits for room at "{upstream}", and counts for "{queue}"')
def waits_at(context, upstream, queue):
    owner = context.owner
    assert (owner.job.upstream, owner.job.queue) == (upstream, queue), owner.job
    for task in owner.job.tasks:  # nobody has told of it
        owner.job.release(task)
    owner.dispatch.placer.enqueue(owner.job)
    for number, name in enumerate(("inspect-desk", "inspect-desk-2", "other-desk")):
        add_runner(owner, f"side-{number}", f"i-{number}", name)
    owner.timers.time_ms += TRY_INTERVAL_MS
    run(context, call(owner.dispatch.placer.place_waiting, owner.timers.now_ms()))
    runner = owner.dispatch.fleet.runners[owner.job.tasks[0].place]
    assert runner.upstream == upstream, runner


def add_runner(owner, agent, runner_id, upstream):
    now_ms = owner.timers.now_ms()
    view = owner.dispatch.fleet.agent_joined(
        orders.AgentGreeting(agent, "life-1", "plaine-nord", 1), now_ms
    )
    report = orders.RunnerReport(runner_id, upstream, orders.READY, (), 4_000, 4_000, 0)
    owner.dispatch.apply_report(view, report, now_ms)
    owner.dispatch.apply_room(view, orders.RoomReport(runner_id, 4_000, 4_000, 0, 0, 0))
    owner.dispatch.fleet.runners[Place(agent, runner_id)].synced = True


# What is known of each field.


@when("each field of its first task that is stored has a value of its own")
def stored_values(context):
    job = context.owner.job
    task = job.tasks[0]
    task.failed_attempts = {1, 2}
    task.crashes, task.crashes_alone, task.attempt = 4, 1, 3
    task.abandon(3)
    job.begun = True
    job.unstored_progress_since_ms = context.owner.timers.now_ms()
    context.former = job


@then("these fields of the {kind} are as the owner before knew them")
def fields_known(context, kind):
    former, found = both_owners(context, kind)
    context.kept = context.text.split()
    for name in context.kept:
        assert getattr(found, name) == getattr(former, name), (name, former, found)


@then("these begin anew, and the {kind} has no other field")
def no_other_field(context, kind):
    _, found = both_owners(context, kind)
    names = [field.name for field in attrs.fields(type(found))]
    assert sorted([*context.kept, *context.text.split()]) == sorted(names), names


def both_owners(context, kind):
    jobs = context.former, context.owner.job
    return jobs if kind == "job" else [job.tasks[0] for job in jobs]


@then("the job has begun")
def has_begun(context):
    assert context.owner.job.begun


@when("the configuration changes the attempts of the route to {attempts:d}")
def attempts_changed(context, attempts):
    change_routes(context, {**context.routes[0], "attempts": attempts})


def change_routes(context, *routes):
    context.version += 1
    context.routes = list(routes)
    context.owner.configure(context.version, context.routes)


@when("the entry is lost, and another one takes the job over")
def taken_over(context):
    context.store.apply(Transaction(removals=(lease_row(context.owner.lease.instance),)))
    number = int(context.owner.lease.instance.rpartition("-")[2]) + 1
    context.owner = owner = OwnerEntry(
        context.store, f"edge-{number}", context.routes, context.version
    )

    async def take_over():
        await owner.lease.keep()
        await owner.takeover.scan_if_due()

    run(context, take_over())


@then(
    "the job goes on with {failed:d} failed run of {attempts:d}, priority {priority:d} and the "
    "objective {objective_ms:d} ms"
)
def goes_on(context, failed, attempts, priority, objective_ms):
    job = context.owner.job
    assert job.ending is None, job.ending
    assert len(job.tasks[0].failed_attempts) == failed, job.tasks[0]
    found = (job.failure_limit, job.priority, job.objective_ms)
    assert found == (attempts, priority, objective_ms), found


@given("its row is as an earlier release writes it")
def earlier_release(context):
    owner = context.owner
    record = load_record(context.store.row(open_row(JOB)).value, OpenJob)
    put = Put(open_row(JOB), dump_record(record))
    owner.job.version = context.store.apply(Transaction(puts=(put,))).version


@then("the first record of its row is what an earlier release writes")
def earlier_reads(context):
    record = load_record(context.store.row(open_row(JOB)).value, OpenJob)
    assert (record.queue, record.owner, record.epoch) == ("certs", context.owner.lease.owner, 1)


@given("a job beside it whose row has a malformed policy")
def malformed_policy(context):
    row = context.store.row(open_row(JOB))
    record = load_record(row.value, OpenJob)
    put = Put(open_row(OTHER_JOB), dump_record(record) + b"\x01")
    context.store.apply(Transaction(puts=(put,)))


@then("it has taken over that job only")
def that_job_only(context):
    assert list(context.owner.dispatch.jobs) == [JOB]
