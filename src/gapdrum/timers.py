"""The timer service: clocks and timers that the other parts subscribe to.

Time is read and waited for here only, so that the decision core can be driven
by a manual clock.  All durations are integer milliseconds.
"""

import asyncio
import random
import time
from collections.abc import Callable

from gapdrum.task_set import TaskSet

MS_PER_S = 1000
MAX_PHASE_MS = 1_000  # the longest interval of what all processes do


class Timers:
    """Clocks and timers on the running asyncio loop.

    Subscribe a callable for a period, or for one call later::

        timers = Timers()
        timers.subscribe(1000, renew_lease)
        timers.call_after(250, give_up)
    """

    def __init__(self) -> None:
        # Told of what a subscriber lets pass.
        self.on_error: Callable[[Exception], None] = _log_error
        self._tasks = TaskSet()
        # Processes that started together must not all do the same at the same time.
        self._phase_ms = random.randrange(MAX_PHASE_MS)

    @staticmethod
    def now_ms() -> int:
        """Return this process's steady clock; it has no meaning elsewhere.

        It counts the time for which the instance was suspended, so that whoever wakes knows that
        leases and grants have ended: others have counted on.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    @staticmethod
    def monotonic_ms() -> int:
        """Return a steady clock that stands still while the instance is suspended.

        It never runs ahead of a clock beside it that may have stood still, too: the runner's.
        """
        return time.monotonic_ns() // 1_000_000

    @staticmethod
    def wall_ms() -> int:
        """Return the Unix time; only for records, never for decisions on leases."""
        return time.time_ns() // 1_000_000

    def subscribe(self, interval_ms: int, callback: Callable[[], object]) -> None:
        """Call back every ``interval_ms``; a coroutine function is awaited.

        What has the same interval, or a multiple of it, comes due in the same turn of the loop, so
        that what it sends to a peer goes out in one write.
        """
        self._tasks.spawn(self._repeat(interval_ms, callback))

    def left_ms(self, interval_ms: int) -> int:
        """Return how long it is until the next multiple of an interval, on this process's grid."""
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
    # Loading the library takes a tenth of a program's start.
    from loguru import logger

    logger.opt(exception=error).error("a periodic callback failed")


class CoalescedCallback:
    """Calls back once, at the next multiple of an interval after it was asked for.

    Unlike a subscription it costs nothing while there is nothing to do, and those of several
    parts come due together::

        flush = CoalescedCallback(timers, 50, log.flush)
        flush.ask()
        flush.ask()     # still one call
    """

    def __init__(self, timers: Timers, interval_ms: int, callback: Callable[[], object]) -> None:
        self._timers = timers
        self._interval_ms = interval_ms
        self._callback = callback
        self._asked = False

    def schedule(self) -> None:
        """Call back at the end of the interval, unless that is already planned."""
        if not self._asked:
            self._asked = True
            self._timers.call_after(self._timers.left_ms(self._interval_ms), self._run)

    def _run(self) -> None:
        self._asked = False
        self._callback()
