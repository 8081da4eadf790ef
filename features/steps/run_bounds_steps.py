"""Steps that compute how long before a task may start anew its last run is over."""

from behave import given, then

from gapdrum.agent.entry_links import SILENT_ENTRY_MS
from gapdrum.agent.runner_context import EXPIRY_MARGIN_MS as RUNNER_LAPSE_SLACK_MS
from gapdrum.core.orders import BEAT_INTERVAL_MS
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS, RunBounds
from gapdrum.core.runner_ledger import CLOCK_RATE_FLOOR
from gapdrum.entry.lease import EXPIRY_MARGIN_MS

RUNNER_STOP_MS = 50  # how long a stop may take at a runner, as the platform states


@given("callers that submit again after {resubmit_ms:d} ms, and leases of at most {lease_ms:d} ms")
def new_bounds(context, resubmit_ms, lease_ms):
    context.bounds = RunBounds(resubmit_ms)
    context.resubmit_ms, context.lease_ms = resubmit_ms, lease_ms


def over_ms(context, durable):
    """Return when a run is over at the latest after its owner's last word, in real time."""
    lease_duration_ms = context.bounds.lease_duration_ms(durable)
    lease_ms = context.bounds.lease_ms(context.lease_ms)
    return lease_duration_ms - lease_ms + lease_ms / CLOCK_RATE_FLOOR + RUNNER_STOP_MS


@then(
    "a waiting caller's run ends by itself at least {margin_ms:d} ms before that, "
    "on a runner's slow clock"
)
def waiting_over(context, margin_ms):
    assert context.resubmit_ms - over_ms(context, False) >= margin_ms, over_ms(context, False)


@then("its stop is due while two beats may still be missed")
def grant_outlives_beats(context):
    assert context.bounds.grant_ms(False) > 3 * BEAT_INTERVAL_MS


@then("a stored job's run ends by itself at least {margin_ms:d} ms before the limit of silence")
def stored_over(context, margin_ms):
    assert SILENCE_LIMIT_MS - over_ms(context, True) >= margin_ms, over_ms(context, True)


@then("a silent stream is cut at least {margin_ms:d} ms before the first stop is due")
def stream_replaced(context, margin_ms):
    beats = SILENT_ENTRY_MS // BEAT_INTERVAL_MS + 1
    cut_ms = beats * BEAT_INTERVAL_MS
    assert context.bounds.grant_ms(False) - cut_ms >= margin_ms, cut_ms


@then("its slow clock has passed the end of the lease at least {margin_ms:d} ms before")
def lapse_believed(context, margin_ms):
    late_ms = context.lease_ms / CLOCK_RATE_FLOOR - context.lease_ms
    assert RUNNER_LAPSE_SLACK_MS - late_ms >= margin_ms, late_ms


@then("that is at least {margin_ms:d} ms before")
def lease_over(_context, margin_ms):
    assert margin_ms <= EXPIRY_MARGIN_MS
