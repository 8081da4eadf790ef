"""Steps that run the soak of ``tools/soak.py`` with a fixed seed."""

from behave import then, when
from soak import Soak


@when("the soak runs seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds):
    context.soak = Soak(seed, seconds)
    context.broken = context.soak.run()


@then("no promise was broken")
def nothing_broken(context):
    assert not context.broken, (context.broken, context.soak.faults, context.soak.system.folder)
    assert any(200 in job.statuses for job in context.soak.jobs)
