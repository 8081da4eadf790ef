"""Steps that search the decision core for broken promises."""

import contextlib
import io
import sys
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent))

from core_model import AGENTS, SLOTS, CoreModel, TwoStartsModel, find_broken_promise

from gapdrum.messages import Fence

MODELS = {1: CoreModel, 2: TwoStartsModel}
EXAMPLES = 300
EXAMPLES_SWITCHED_OFF = 3_000


def search(context, allowed, examples, **switches):
    with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(io.StringIO()):
        context.broken = find_broken_promise(MODELS[allowed], examples, **switches)


@when("arbitrary failures are tried with {allowed:d} start allowed per task")
@when("arbitrary failures are tried with {allowed:d} starts allowed per task")
def try_failures(context, allowed):
    search(context, allowed, EXAMPLES)


@when("the same is tried with {mechanism} switched off")
def try_switched_off(context, mechanism):
    switches = {
        "fencing": {"fence_works": False},
        "the epoch check": {"epoch_checked": False},
        "tombstones": {"tombstones_kept": False},
        "counting what missing agents may have started": {"missing_counted": False},
    }
    search(context, 1, EXAMPLES_SWITCHED_OFF, **switches[mechanism])


@then("no promise is broken")
def check_unbroken(context):
    assert context.broken is None, context.broken


@then("a broken promise is found")
def check_broken(context):
    assert context.broken is not None


@given("a job taken over while one of its tasks runs at an agent")
def take_over_running(context):
    model = context.model = CoreModel()
    model.deliver_in_order()
    model.start_everywhere()
    model.take_over()
    fences = [item for item in model.network if isinstance(item[3], Fence)]
    model.network = [item for item in model.network if item not in fences]
    context.last_fence = fences.pop()
    for item in fences:
        model._deliver(*item)
    model.deliver_in_order()


@when("the task ends before the recovery is complete")
def end_early(context):
    model = context.model
    for name in AGENTS:
        for _ in range(SLOTS):
            model.end_task(name, "finish")
    model.deliver_in_order()
    model._deliver(*context.last_fence)
    model.deliver_in_order()


@then("the new owner learns that it is done")
def check_learned(context):
    model = context.model
    model.deliver_in_order()
    model.deliver_in_order()
    assert model.entries[1].answer is not None
    assert model.entries[1].answer.outcome == "complete", model.entries[1].answer


@when("the found sequence of a takeover after a cancellation is replayed with closing {state:w}")
def replay_found_sequence(context, state):
    model = type("Found", (CoreModel,), {"claim_closed_first": state == "on"})()
    steps = (model.cancel, model.take_over, *[model.deliver_in_order] * 3, model.start_everywhere)
    context.broken = None
    try:
        for step in steps:
            step()
            model.starts_are_bounded()
            model.not_run_stays_true()
    except AssertionError as error:
        context.broken = str(error)
