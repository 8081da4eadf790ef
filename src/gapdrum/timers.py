"""Clocks and timers of a process.

The decision core gets the time only from here, so that tests can drive it by a
manual clock.  All durations are integer milliseconds.
"""

import asyncio
import random
import time
from collections.abc import Callable

from gapdrum.task_set import TaskSet

MS_PER_S = 1000
MAX_PHASE_MS = 1_000  # the longest interval of periodic work that all processes have


class Timers:
    """Clocks and timers on the running asyncio loop.

    Subscribe a periodic callback, or schedule a single call::

        timers = Timers()
        timers.subscribe(1000, renew_lease)
        timers.call_after(250, give_up)
    """

    def __init__(self) -> None:
        # Called with each exception that a subscriber raises.
        self.on_error: Callable[[Exception], None] = _log_error
        self._tasks = TaskSet()
        # A random phase: processes that start together must not do periodic work simultaneously.
        self._phase_ms = random.randrange(MAX_PHASE_MS)

    @staticmethod
    def now_ms() -> int:
        """Return a monotonic clock; its values have no meaning on other instances.

        The clock includes the time during which the instance was suspended, so that a resumed
        process detects that its leases and grants have expired.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    @staticmethod
    def monotonic_ms() -> int:
        """Return a monotonic clock that stops while the instance is suspended.

        It never runs ahead of the runner's clock, which may stop during a suspension, too.
        """
        return time.monotonic_ns() // 1_000_000

    @staticmethod
    def wall_ms() -> int:
        """Return the Unix time; only for records, never for lease decisions."""
        return time.time_ns() // 1_000_000

    def subscribe(self, interval_ms: int, callback: Callable[[], object]) -> None:
        """Call back every ``interval_ms``; a coroutine function is awaited.

        Callbacks with the same interval, or multiples of it, run in the same iteration of the event
        loop, so that their messages to a peer leave in one write.
        """
        self._tasks.spawn(self._repeat(interval_ms, callback))

    def left_ms(self, interval_ms: int) -> int:
        """Return the time until the next multiple of an interval, shifted by the random phase."""
        return interval_ms - (self.now_ms() + self._phase_ms) % interval_ms

    def call_after(self, delay_ms: int, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Call back once after ``delay_ms``; the handle's ``cancel`` prevents it."""
        return asyncio.get_running_loop().call_later(max(0, delay_ms) / MS_PER_S, callback)

    def stop(self) -> None:
        """End all periodic subscriptions."""
        self._tasks.cancel()

    async def _repeat(self, interval_ms: int, callback: Callable[[], object]) -> None:
        while True:
            await asyncio.sleep(self.left_ms(interval_ms) / MS_PER_S)
            try:
                result = callback()
                if asyncio.iscoroutine(result):
                    await result
            except Exception as error:
                self.on_error(error)


def _log_error(error: Exception) -> None:
    # Imported here, as the import takes a tenth of a program's start.
    from loguru import logger

    logger.opt(exception=error).error("a periodic callback failed")


class CoalescedCallback:
    """Coalesces requests into one callback at the next multiple of an interval.

    Unlike a subscription it costs nothing while idle, and callbacks with the same interval run
    together::

        flush = CoalescedCallback(timers, 50, log.flush)
        flush.schedule()
        flush.schedule()    # still one call
    """

    def __init__(self, timers: Timers, interval_ms: int, callback: Callable[[], object]) -> None:
        self._timers = timers
        self._interval_ms = interval_ms
        self._callback = callback
        self._scheduled = False

    def schedule(self) -> None:
        """Schedule the callback for the end of the interval, unless it is already scheduled."""
        if not self._scheduled:
            self._scheduled = True
            self._timers.call_after(self._timers.left_ms(self._interval_ms), self._run)

    def _run(self) -> None:
        self._scheduled = False
        self._callback()
