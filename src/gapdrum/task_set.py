"""Asyncio tasks that no caller awaits."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """Keeps references to tasks until they are done, as the event loop holds only weak ones.

    ::

        tasks.spawn(store_end(job))
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, steps: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine until it finishes."""
        task = asyncio.get_running_loop().create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in self._tasks:
            task.cancel()
