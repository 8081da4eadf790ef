"""Steps that search for broken promises in the decision core."""

import contextlib
import io
import sys
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parent))

from core_model import CoreModel, TwoStartsModel, find_broken_promise

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
        "closing the claim": {"claim_closed_first": False},
        "counting what missing agents may have started": {"missing_counted": False},
    }
    search(context, 1, EXAMPLES_SWITCHED_OFF, **switches[mechanism])


@then("no promise is broken")
def check_unbroken(context):
    assert context.broken is None, context.broken


@then("a broken promise is found")
def check_broken(context):
    assert context.broken is not None
