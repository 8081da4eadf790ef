"""The entry's queue of tasks that wait for a slot: fair between teams, ordered within a team.

Within a team, tasks are grouped into classes of similar expected run time.
Each class is first-in first-out, so a queue order compares only the heads of
a few classes, however many tasks wait.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

import attrs

from gapdrum.jobs import WAITING, Job

CLASS_RATIO = 1.5


@attrs.frozen
class QueuedTask:
    """A waiting task of a job."""

    job: Job
    index: int


@attrs.define(eq=False)
class RunTimeClass:
    """Waiting tasks with a similar expected run time, oldest first."""

    expected_ms: int
    tasks: deque[QueuedTask] = attrs.Factory(deque)

    @property
    def waiting_since_ms(self) -> int:
        """Return when the job of the oldest task was submitted."""
        return self.tasks[0].job.created_at_ms


Order = Callable[[Iterable[RunTimeClass], int], RunTimeClass]
QUEUE_ORDERS: dict[str, Order] = {}


def order(name: str) -> Callable[[Order], Order]:
    """Register a queue order under a value of the setting ``queue_order``."""

    def register(function: Order) -> Order:
        QUEUE_ORDERS[name] = function
        return function

    return register


@order("first_come")
def pick_oldest(classes: Iterable[RunTimeClass], _now_ms: int) -> RunTimeClass:
    """Pick the job that was submitted first."""
    return min(classes, key=lambda entry: entry.waiting_since_ms)


@order("highest_response_ratio")
def pick_highest_ratio(classes: Iterable[RunTimeClass], now_ms: int) -> RunTimeClass:
    """Pick the job with the highest ratio of waiting time to expected run time.

    Short jobs overtake long ones, but no job starves, as waiting raises its ratio.
    """
    return max(
        classes, key=lambda entry: (now_ms - entry.waiting_since_ms) / (entry.expected_ms + 1)
    )


class FairQueue:
    """Waiting tasks of one upstream: weighted round robin over teams, an order within one.

    A team gets as many consecutive turns as its weight.  Tasks cancelled
    meanwhile are skipped when they reach the head, so a cancellation itself
    costs nothing here.
    """

    def __init__(self, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        self._teams: OrderedDict[str, dict[int, RunTimeClass]] = OrderedDict()
        self._turns_left = 0
        self.length = 0

    def push(self, job: Job, index: int, expected_ms: int, front: bool = False) -> None:
        """Add a waiting task; ``front`` is for one that was dequeued before."""
        classes = self._teams.setdefault(job.submission.team, {})
        number = int(math.log(max(1, expected_ms), CLASS_RATIO))
        entry = classes.get(number)
        if entry is None:
            entry = classes[number] = RunTimeClass(expected_ms)
        if front:
            entry.tasks.appendleft(QueuedTask(job, index))
        else:
            entry.tasks.append(QueuedTask(job, index))
        self.length += 1

    def pop(self, blocked_teams: set[str], order_name: str, now_ms: int) -> QueuedTask | None:
        """Return the next waiting task of a team that is not blocked."""
        for _ in range(len(self._teams)):
            team, classes = next(iter(self._teams.items()))
            if team in blocked_teams:
                self._end_turn(team, keep=True)
                continue
            found = self._pop_waiting(classes, order_name, now_ms)
            if found is None:
                self._end_turn(team, keep=False)
                continue
            self._turns_left -= 1
            if self._turns_left <= 0:
                self._end_turn(team, keep=True)
            return found
        return None

    def _pop_waiting(
        self, classes: dict[int, RunTimeClass], order_name: str, now_ms: int
    ) -> QueuedTask | None:
        self._drop_settled(classes)
        if not classes:
            return None
        entry = QUEUE_ORDERS[order_name](classes.values(), now_ms)
        self.length -= 1
        return entry.tasks.popleft()

    def _drop_settled(self, classes: dict[int, RunTimeClass]) -> None:
        """Drop tasks at the heads that no longer wait, and empty classes."""
        for number, entry in list(classes.items()):
            while entry.tasks and not _is_waiting(entry.tasks[0]):
                entry.tasks.popleft()
                self.length -= 1
            if not entry.tasks:
                del classes[number]

    def _end_turn(self, team: str, keep: bool) -> None:
        if keep:
            self._teams.move_to_end(team)
        else:
            del self._teams[team]
        first = next(iter(self._teams), None)
        self._turns_left = self._weight_of(first) if first is not None else 0


def _is_waiting(queued: QueuedTask) -> bool:
    job = queued.job
    return job.tasks[queued.index].state == WAITING and not job.placement_closed_reason
