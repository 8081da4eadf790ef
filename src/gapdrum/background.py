"""Background coroutines: references are kept until they finish, and failures are logged."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from gapdrum.event_log import EventLog
from gapdrum.task_set import TaskSet
from gapdrum.timers import MS_PER_S

RESTART_PAUSE_MS = 200  # limits the CPU use of a coroutine that crashes repeatedly
MAX_TRACE_LENGTH = 2_000


class Background:
    """Runs coroutines whose result no caller awaits.

    ::

        background.spawn(store_end(job))     # once
        background.keep(follow_feed)         # restarted if it crashes
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks = TaskSet()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine until it finishes."""
        task = self._tasks.spawn(work)
        task.add_done_callback(self._handle_done)
        return task

    def keep(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> asyncio.Task:
        """Run a coroutine function until it returns; restart it after an exception."""
        return self.spawn(self._restart_on_error(work))

    async def _restart_on_error(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # an internal error must not end the work
                self._log_crash(error)
                await asyncio.sleep(RESTART_PAUSE_MS / MS_PER_S)
            else:
                return

    def _handle_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log_crash(task.exception())

    def _log_crash(self, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))
        self._log.write("task_crashed", text=trace[-MAX_TRACE_LENGTH:])

    def stop(self) -> None:
        """Cancel all coroutines that still run."""
        self._tasks.cancel()
