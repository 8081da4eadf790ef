"""The processor room that waiting work asks for, by priority: what entries and agents tell of it.

The rows go over streams as plain tuples. They only help to foresee a wait, so one that can't be
read is passed over and costs nothing else.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

from gapdrum.core.jobs import Job, TaskPhase
from gapdrum.structures import count_field

# What has begun goes before all that is new.
BEGUN_PRIORITY = 0
# Priorities that are told apart; all later ones count as the last of these.
MAX_PRIORITIES = 8


@attrs.frozen
class QueuedRoom:
    """What waiting work of one priority asks for, and what joins it each second."""

    priority: int = count_field()
    waiting_cpu_milli: int = count_field()
    arriving_cpu_milli_per_s: int = count_field()


Rows = tuple[QueuedRoom, ...]


@attrs.frozen
class RoomWord:
    """What an agent said last of a runner: which room ends soon, and what others wait for."""

    ending_cpu_milli: int
    others: Rows
    heard_ms: int


def count_priority(priority: int) -> int:
    """Return the priority that a queue's work is counted under."""
    return min(priority, MAX_PRIORITIES - 1)


def read_rows(wire: object) -> tuple[Rows, int]:
    """Return the rows that can be read, and how many can't."""
    if not isinstance(wire, list | tuple):
        return (), 1
    rows = []
    unreadable = max(0, len(wire) - MAX_PRIORITIES)
    for row in wire[:MAX_PRIORITIES]:
        try:
            rows.append(QueuedRoom(*row))
        except (TypeError, ValueError):
            unreadable += 1
    return tuple(rows), unreadable


def wire_rows(rows: Rows) -> tuple[tuple[int, int, int], ...]:
    """Return rows as they go over a stream."""
    return tuple(attrs.astuple(row) for row in rows)


def add_up(backlogs: Iterable[Rows]) -> Rows:
    """Return the sums by priority."""
    waiting: Counter[int] = Counter()
    arriving: Counter[int] = Counter()
    for backlog in backlogs:
        for row in backlog:
            priority = count_priority(row.priority)
            waiting[priority] += row.waiting_cpu_milli
            arriving[priority] += row.arriving_cpu_milli_per_s
    return tuple(QueuedRoom(one, waiting[one], arriving[one]) for one in sorted(waiting))


def room_waiting(job: Job) -> int:
    """Return the processor room that waiting tasks of a job ask for."""
    waiting = TaskPhase.WAITING
    return sum(task.step.resources.cpu_milli for task in job.tasks if task.phase is waiting)


def counted_priority(job: Job) -> int:
    """Return the priority that a waiting job is counted under."""
    return count_priority(job.priority) if job.untouched else BEGUN_PRIORITY
