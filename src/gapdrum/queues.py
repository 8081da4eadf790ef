"""The entry's queue of tasks that wait for a free slot, fair between teams."""

from collections import OrderedDict, deque
from collections.abc import Callable

from gapdrum.jobs import WAITING, Job


class FairQueue:
    """Waiting tasks of one upstream: weighted round robin over teams, in order within one.

    A team takes as many turns in a row as its weight.  Tasks that were
    cancelled meanwhile are passed over when their turn comes, so a wave of
    cancellations costs nothing here.
    """

    def __init__(self, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        self._teams: OrderedDict[str, deque[tuple[Job, int]]] = OrderedDict()
        self._turns_left = 0
        self.length = 0

    def push(self, job: Job, index: int, front: bool = False) -> None:
        """Add a waiting task, in front if it had its turn already."""
        tasks = self._teams.setdefault(job.submission.team, deque())
        if front:
            tasks.appendleft((job, index))
        else:
            tasks.append((job, index))
        self.length += 1

    def pop(self, blocked_teams: set[str]) -> tuple[Job, int] | None:
        """Return the next waiting task of a team that is not blocked."""
        for _ in range(len(self._teams)):
            team, tasks = next(iter(self._teams.items()))
            found = None if team in blocked_teams else self._pop_waiting(tasks)
            if found is None:
                self._end_turn(team, keep=bool(tasks))
                continue
            self._turns_left -= 1
            if self._turns_left <= 0:
                self._end_turn(team, keep=True)
            return found
        return None

    def _pop_waiting(self, tasks: deque[tuple[Job, int]]) -> tuple[Job, int] | None:
        while tasks:
            job, index = tasks.popleft()
            self.length -= 1
            if job.tasks[index].state == WAITING:
                return job, index
        return None

    def _end_turn(self, team: str, keep: bool) -> None:
        if keep:
            self._teams.move_to_end(team)
        else:
            del self._teams[team]
        first = next(iter(self._teams), None)
        self._turns_left = self._weight_of(first) if first is not None else 0
