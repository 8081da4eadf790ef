"""Logs when reservations for other queues begin and cease to limit a queue at a runner."""

from gapdrum.core import orders
from gapdrum.core.runner_ledger import RunnerLedger
from gapdrum.event_log import EventLog

# A reservation is over once there was none for so long; they come and go with each task.
RELEASE_DELAY_MS = 2_000


class ReservationLog:
    """Logs each begin and release of a reservation once, however often room is reported."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._last_ms: dict[tuple[str, str], int] = {}  # by runner and queue

    def note(self, ledger: RunnerLedger, rows: tuple[orders.KeptRoom, ...], now_ms: int) -> None:
        """Record the queues that may not use a part of a runner's free room now."""
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
        """Log the reservations that are over."""
        for (runner_id, queue), last_ms in list(self._last_ms.items()):
            if now_ms - last_ms >= RELEASE_DELAY_MS:
                del self._last_ms[runner_id, queue]
                self._log.write("room_released", runner=runner_id, queue=queue)
