"""Which room of a runner becomes free soon, by the estimates of its runs and their progress."""

from gapdrum.core import orders
from gapdrum.core.runner_ledger import Run, RunnerLedger

# Progress is shown in whole percents and looked at now and then: less of it tells too little.
LEAST_PERCENT = 10
PERCENT = 100
PERMILLE = 1_000


def room_ending(ledger: RunnerLedger, now_ms: int) -> int:
    """Return the processor room that is likely to become free within ``orders.FORESEEN_MS``.

    Nothing becomes free where nothing new may start.
    """
    if ledger.state != orders.READY or not ledger.reachable:
        return 0
    slowness = (ledger.health.slowness_permille(now_ms) or PERMILLE) / PERMILLE
    return sum(
        run.room.cpu_milli
        for run in ledger.runs.values()
        if run.room is not None and left_of(run, slowness, now_ms) <= orders.FORESEEN_MS
    )


def left_of(run: Run, slowness: float, now_ms: int) -> float:
    """Return for how long a run is likely to go on, less than 0 if it should have ended."""
    since_ms = run.started_ms or run.since_ms
    if run.percent >= LEAST_PERCENT:
        rate = run.percent / max(1, run.percent_ms - since_ms)
        return since_ms + PERCENT / rate - now_ms
    return since_ms + run.estimate_ms * slowness - now_ms
