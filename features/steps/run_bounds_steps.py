"""Steps that compute by how much a task's last run ends before the task may start anew."""

from behave import given, then

from gapdrum.agent.entry_links import RETRY_INTERVAL_MS, SILENT_ENTRY_MS
from gapdrum.agent.runner_context import EXPIRY_MARGIN_MS as RUNNER_EXPIRY_MARGIN_MS
from gapdrum.core.orders import BEAT_INTERVAL_MS
from gapdrum.core.run_bounds import SILENCE_LIMIT_MS, RunBounds
from gapdrum.core.runner_ledger import CLOCK_RATE_FLOOR
from gapdrum.entry.lease import EXPIRY_MARGIN_MS

RUNNER_STOP_MS = 50  # how long a stop may take at a runner, as the platform states


@given("callers that submit again after {resubmit_ms:d} ms, and leases of at most {lease_ms:d} ms")
def new_bounds(context, resubmit_ms, lease_ms):
    context.bounds = RunBounds(resubmit_ms)
    context.resubmit_ms, context.lease_ms = resubmit_ms, lease_ms


def max_run_end_ms(context, durable):
    """Return the greatest real time from the owner's last echo to the end of a run."""
    lease_bound_ms = context.bounds.lease_bound_ms(durable)
    lease_ms = context.bounds.lease_ms(context.lease_ms)
    return lease_bound_ms - lease_ms + lease_ms / CLOCK_RATE_FLOOR + RUNNER_STOP_MS


@then(
    "a waiting caller's run ends by itself at least {margin_ms:d} ms before that, "
    "on a runner's slow clock"
)
def waiting_run_ends(context, margin_ms):
    assert context.resubmit_ms - max_run_end_ms(context, False) >= margin_ms, max_run_end_ms(
        context, False
    )


@then("two missed heartbeats do not make its stop due")
def grant_outlives_beats(context):
    assert context.bounds.grant_ms(False) > 3 * BEAT_INTERVAL_MS


@then("a durable job's run ends by itself at least {margin_ms:d} ms before the silence limit")
def durable_run_ends(context, margin_ms):
    assert SILENCE_LIMIT_MS - max_run_end_ms(context, True) >= margin_ms, max_run_end_ms(
        context, True
    )


@then("a silent stream is closed at least {margin_ms:d} ms before the first stop is due")
def stream_replaced(context, margin_ms):
    beats = SILENT_ENTRY_MS // BEAT_INTERVAL_MS + 1
    close_ms = beats * BEAT_INTERVAL_MS
    assert context.bounds.grant_ms(False) - close_ms >= margin_ms, close_ms


@then("it does so over links of up to {delay_ms:d} ms in each direction, whenever its stream fails")
def claims_in_time(context, delay_ms):
    # The last echo is as old as a heartbeat's interval and two delays when the stream fails. The
    # connection, the greetings, and the holdings with their claim take two delays each.
    rest_ms = context.bounds.grant_ms(False) - BEAT_INTERVAL_MS - RETRY_INTERVAL_MS
    assert 8 * delay_ms < rest_ms <= 8 * (delay_ms + 1), rest_ms


@then("a runner's slow clock has passed the end of the lease at least {margin_ms:d} ms before")
def lapse_assumed(context, margin_ms):
    late_ms = context.lease_ms / CLOCK_RATE_FLOOR - context.lease_ms
    assert RUNNER_EXPIRY_MARGIN_MS - late_ms >= margin_ms, late_ms


@then("it has stopped at least {margin_ms:d} ms before")
def entry_stopped(_context, margin_ms):
    assert margin_ms <= EXPIRY_MARGIN_MS
