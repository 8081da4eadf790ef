"""Limits the open tasks of an entry: a short request may submit thousands, which take memory."""

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from gapdrum.core.models import Step


class OpenTaskLimit:
    """Tells whether another job may be open here, those that are being stored included.

    ::

        limit = OpenTaskLimit(20_000, lambda: dispatch.open_tasks)
        if limit.has_room(job.steps):
            with limit.storing(job.steps):
                await store(job)
    """

    def __init__(self, max_tasks: int, count_open: Callable[[], int]) -> None:
        self._max_tasks = max_tasks
        self._count_open = count_open
        self._storing = 0

    def has_room(self, steps: Sequence[Step]) -> bool:
        """Tell whether a job of these steps may be open beside the others."""
        return _count_tasks(steps) + self._count_open() + self._storing <= self._max_tasks

    @contextmanager
    def storing(self, steps: Sequence[Step]) -> Iterator[None]:
        """Count a job that is not open yet."""
        tasks = _count_tasks(steps)
        self._storing += tasks
        try:
            yield
        finally:
            self._storing -= tasks


def _count_tasks(steps: Sequence[Step]) -> int:
    return sum(step.tasks for step in steps)
