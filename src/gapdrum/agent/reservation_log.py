"""Tells operators when room of a runner begins and ceases to be kept from a queue."""

from gapdrum.core import orders
from gapdrum.core.runner_ledger import RunnerLedger
from gapdrum.event_log import EventLog

# Room counts as kept from a queue until it was not for so long: it comes and goes with each task.
BOUND_AGAIN_MS = 2_000


class ReservationLog:
    """Writes a line for each change, however often room is counted."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._last_ms: dict[tuple[str, str], int] = {}  # by runner and queue

    def note(self, ledger: RunnerLedger, rows: tuple[orders.KeptRoom, ...], now_ms: int) -> None:
        """Note from which queues room of a runner is kept now."""
        for row in rows:
            key = (ledger.runner_id, row.queue)
            if key not in self._last_ms:
                self._log.write(
                    "room_kept",
                    runner=ledger.runner_id,
                    queue=row.queue,
                    kept_cpu_milli=row.cpu_milli,
                    free_cpu_milli=ledger.free.cpu_milli,
                    used_cpu_milli=dict(ledger.used_cpu_milli),
                )
            self._last_ms[key] = now_ms

    def log_releases(self, now_ms: int) -> None:
        """Note what is not kept any more."""
        for (runner_id, queue), last_ms in list(self._last_ms.items()):
            if now_ms - last_ms >= BOUND_AGAIN_MS:
                del self._last_ms[runner_id, queue]
                self._log.write("room_released", runner=runner_id, queue=queue)
