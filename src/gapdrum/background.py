"""Work in the background: kept until it is done, and heard of if it crashes."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from gapdrum.event_log import EventLog
from gapdrum.task_set import TaskSet
from gapdrum.timers import MS_PER_S

RESTART_PAUSE_MS = 200  # a loop that crashes again and again must not take the processor
MAX_TRACE_LENGTH = 2_000


class Background:
    """Runs coroutines that nobody waits for.

    ::

        background.spawn(store_end(job))     # once
        background.keep(follow_feed)         # begun anew if it crashes
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks = TaskSet()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine to its end."""
        task = self._tasks.spawn(work)
        task.add_done_callback(self._hear)
        return task

    def keep(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> asyncio.Task:
        """Run a coroutine function until it returns, and again if it crashes."""
        return self.spawn(self._repeat(work))

    async def _repeat(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # a fault of ours: it is logged, and the work goes on
                self._note(error)
                await asyncio.sleep(RESTART_PAUSE_MS / MS_PER_S)
            else:
                return

    def _hear(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._note(task.exception())

    def _note(self, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))
        self._log.write("task_crashed", text=trace[-MAX_TRACE_LENGTH:])

    def stop(self) -> None:
        """Cancel all that still runs."""
        self._tasks.cancel()
