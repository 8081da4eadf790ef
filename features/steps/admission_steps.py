"""Steps on the admission of jobs at an entry that has placed little lately."""

from behave import given, then
from core_model import ManualTimers
from platform_core_steps import QUEUE, build_job, step_row

from gapdrum.core.models import Resources, Step
from gapdrum.core.records import JobPolicy, OpenJob
from gapdrum.entry.admission import Admission

LITTLE_WORK = 1_000


@given("{count:d} jobs of 1 tasks that have just come, at an entry that has placed little lately")
def jobs_come(context, count):
    context.dispatch.placer.backlog.record_placed(LITTLE_WORK, context.now_ms - 200)
    for number in range(count):
        record = OpenJob(
            "flags", "inspect-desk", "{}", "entry-1/life", 1, 0, (step_row(one_step(1)),)
        )
        job = build_job(
            f"{number:016x}", record, 7, context.now_ms, durable=False,
            policy=JobPolicy(3, 0, 1.6, 60),
        )  # fmt: skip
        context.dispatch.add_job(job, context.now_ms)


def one_step(tasks):
    return Step(tasks, Resources(500, 10, 0), 900)


@then("a new job of {tasks:d} tasks is {fate}")
def judged(context, tasks, fate):
    timers = ManualTimers()
    timers.time_ms = context.now_ms
    overload = Admission(context.dispatch.placer, timers).check_overload(QUEUE, (one_step(tasks),))
    assert (overload is None) == (fate == "admitted"), overload
