"""Steps that run the soak of ``tools/soak.py`` with a fixed seed, and that test its checks."""

from behave import given, then, when
from soak import Soak
from soak_callers import SubmittedJob
from soak_checks import (
    NS_PER_MS,
    check_runs,
    find_earlier_ends,
    find_lost_outcomes,
    find_stopped_runs,
)

JOB = "00000000000000b1"


@when("the soak runs seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds):
    context.soak = Soak(seed, seconds)
    context.violations = context.soak.run()


@when(
    "the soak runs seed {seed:d} for {seconds:d} s with {entries:d} entries, {agents:d} agents "
    "and {callers:d} callers"
)
def run_larger_soak(context, seed, seconds, entries, agents, callers):
    context.soak = Soak(seed, seconds, entries=entries, agents=agents, callers=callers)
    context.violations = context.soak.run()


@when("the soak runs seed {seed:d} for {seconds:d} s with outages only")
def run_outages_only(context, seed, seconds):
    context.soak = Soak(seed, seconds, only="outages")
    context.violations = context.soak.run()


@when(
    "the soak runs seed {seed:d} for {seconds:d} s with {only} only, {entries:d} entries, "
    "{agents:d} agents and {callers:d} callers"
)
def run_one_kind(context, seed, seconds, only, entries, agents, callers):
    context.soak = Soak(seed, seconds, entries=entries, agents=agents, callers=callers, only=only)
    context.violations = context.soak.run()


@then("callers have cancelled jobs")
def cancelled(context):
    assert any(job.cancelled_ns for job in context.soak.jobs)


@then("no promise is violated")
def no_violations(context):
    assert not context.violations, (
        context.violations,
        context.soak.faults,
        context.soak.system.folder,
    )
    assert any(200 in job.statuses for job in context.soak.jobs)


@then("callers have resubmitted jobs")
def submitted_again(context):
    assert any(len(job.submissions) > 1 for job in context.soak.jobs if not job.durable)


# The checks on given histories, without processes.


@given('runner {number:d} recorded "{rows}"')
@given('its next incarnation recorded "{rows}"')
def add_incarnation(context, rows, number=0):
    histories = context.histories = getattr(context, "histories", [])
    killed_ns = context.killed_ns = getattr(context, "killed_ns", {})
    life = len(histories) + 1
    history = []
    for row in rows.split():
        how, _, time_ms = row.partition("@")
        time_ns = int(float(time_ms) * NS_PER_MS)
        if how == "killed":
            killed_ns[life] = time_ns
        else:
            history.append(row_of(f"{JOB}.0.0.0", how, time_ns, life))
    histories.append(history)


def row_of(task, how, time_ns, life):
    wall_ms = time_ns // NS_PER_MS
    row = {"task": task, "attempt": 1, "how": how, "steady_ns": time_ns, "life": life}
    return {**row, "wall_ms": wall_ms}


@given("runner 1 recorded {count:d} tasks at once")
def add_full_incarnation(context, count):
    rows = [row_of(f"{JOB}.0.0.{number}", "started", number + 1, 1) for number in range(count)]
    context.histories, context.killed_ns = [rows], {}


@when("the runs of a {kind} job are checked")
def check_histories(context, kind):
    job = SubmittedJob(JOB, kind == "durable", [200])
    context.violations = check_runs(context.histories, [job], context.killed_ns)


@when("the runs of a durable job that has failed are checked")
def check_failed(context):
    job = SubmittedJob(JOB, True, [200], state="failed")
    context.violations = check_runs(context.histories, [job], context.killed_ns)


@then("starts over the budget found: {count:d}")
def excess_found(context, count):
    assert_found(context, "budget: ", count)


@then("failures without cause found: {count:d}")
def without_cause_found(context, count):
    assert_found(context, "without cause", count)


@then("overlaps found: {count:d}")
def overlaps_found(context, count):
    assert_found(context, "overlap", count)


@then("starts after an end found: {count:d}")
def starts_found(context, count):
    assert_found(context, " after ", count)


@then("starts over the capacity found: {count:d}")
def over_capacity_found(context, count):
    assert_found(context, "room: ", count)


def assert_found(context, what, count):
    found = [text for text in context.violations if what in text]
    assert len(found) == count == len(context.violations), context.violations


@given("an entry began the job at {begun_ms:d} ms and counted that end at {counted_ms:d} ms")
def add_lines(context, begun_ms, counted_ms):
    end = {"task": f"{JOB}.0.0.0", "attempt": 1, "runner": "i-00000001", "end": "seen"}
    context.lines = [
        {"event": "job_begun", "request": JOB, "t_ms": begun_ms},
        {"event": "task_ended", "request": JOB, "t_ms": counted_ms, **end},
    ]


@when("the entry's log is checked")
def check_lines(context):
    context.violations = find_earlier_ends(context.lines, context.histories)


@then("ends of earlier submissions found: {count:d}")
def earlier_ends_found(context, count):
    assert_found(context, "earlier end: ", count)


@given('an entry placed a task again as "{reason}", "{why}"')
def placed_again(context, reason, why):
    task = {"task": f"{JOB}.0.0.0", "attempt": 1, "runner": "i-1", "t_ms": 1_000}
    context.lines = [{"event": "task_released", **task, "reason": reason, "why": why}]


@when("the entry's log is checked for outcomes")
def check_outcomes(context):
    context.violations = find_lost_outcomes(context.lines)


@then("lost outcomes found: {count:d}")
def lost_outcomes_found(context, count):
    assert_found(context, "lost outcome: ", count)


@given('an entry logged "{entry}", and an agent "{agent}"')
def logged(context, entry, agent):
    context.entry_lines, context.agent_lines = parse_lines(entry), parse_lines(agent)


def parse_lines(text):
    """Return log lines for EVENT@NAME words; NAME is an incarnation of entry-0."""
    lines = []
    for word in text.split():
        event, _, name = word.partition("@")
        owner = {"owner": f"entry-0/{name}", "life": name, "t_ms": 1_000}
        lines.append({"event": event, **owner, "task": f"{JOB}.0.0.0", "attempt": 1})
    return lines


@when("both logs are checked for runs that were stopped")
def check_stopped(context):
    context.violations = find_stopped_runs(context.agent_lines, context.entry_lines)


@then("runs stopped for a former name found: {count:d}")
def stopped_runs_found(context, count):
    assert_found(context, "renamed owner: ", count)
