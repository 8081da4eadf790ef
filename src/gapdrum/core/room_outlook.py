"""How long a new job would wait for room: what goes before it, and how fast room becomes free.

Each agent tells what other entries wait for there and which room ends soon. Summed up over an
entry's agents both concern the same runners, so their ratio is a time, whichever entries those
agents serve beside this one. The time is given.
"""

from collections import Counter, deque
from collections.abc import Iterable

import attrs

from gapdrum.core import orders
from gapdrum.core.jobs import Job
from gapdrum.core.models import Step
from gapdrum.core.placer import Placer
from gapdrum.core.queued_room import (
    QueuedRoom,
    RoomWord,
    Rows,
    count_priority,
    counted_priority,
    room_waiting,
)
from gapdrum.core.runner_views import RunnerView

MS_PER_S = 1_000
# Arrivals are counted over this time: longer than most tasks, shorter than bursts.
ARRIVALS_MS = 500
# A word counts for so long. While work waits, one comes with each change of room.
WORD_VALID_MS = 1_000
# An entry that has words of less than this share of its runners goes by its own view.
HEARD_SHARE = 0.5
# A wait without an end is told as this: bursts last about four seconds.
LONGEST_WAIT_MS = 5_000
# More urgent work that comes later goes first only until a job must begin itself: then what is new
# has more time left. So much of that work is counted as ahead.
URGENT_SHARE = 0.5
# Of a job's own room, so much must be there for it to begin: its tasks start one by one.
OWN_SHARE = 0.3
# A wait is foreseen only roughly: a job is taken while it comes to no more than this share of the
# time within which it must begin. Few are then given up after they have waited.
SURE_SHARE = 0.7
# Nothing is foreseen more exactly than this: words of agents are about as old.
MARGIN_MS = 30


@attrs.define
class Arrivals:
    """The processor room that jobs taken lately asked for, by upstream and priority."""

    _jobs: deque[tuple[int, tuple[str, int], int]] = attrs.Factory(deque)
    _sums: Counter[tuple[str, int]] = attrs.Factory(Counter)

    def note(self, upstream: str, priority: int, cpu_milli: int, now_ms: int) -> None:
        """Count a job that was taken."""
        key = (upstream, count_priority(priority))
        self._jobs.append((now_ms, key, cpu_milli))
        self._sums[key] += cpu_milli
        self._trim(now_ms)

    def _trim(self, now_ms: int) -> None:
        while self._jobs and self._jobs[0][0] <= now_ms - ARRIVALS_MS:
            _, key, cpu_milli = self._jobs.popleft()
            self._sums[key] -= cpu_milli

    def per_s(self, upstream: str, now_ms: int) -> dict[int, int]:
        """Return what was asked for a second, by priority."""
        self._trim(now_ms)
        return {
            priority: total * MS_PER_S // ARRIVALS_MS
            for (name, priority), total in self._sums.items()
            if name == upstream and total
        }


@attrs.frozen
class Outlook:
    """What a new job has to expect.

    ``age_ms`` is the age of the oldest word that counts, and ``heard`` of ``runners`` had one.
    """

    own_cpu_milli: int
    others_cpu_milli: int
    free_cpu_milli: int
    freed_cpu_milli_per_s: int
    urgent_cpu_milli_per_s: int
    heard: int
    runners: int
    age_ms: int

    @property
    def is_known(self) -> bool:
        """Tell whether enough was heard to go by."""
        return self.heard > 0 and self.heard >= HEARD_SHARE * self.runners

    def wait_ms(self, room_cpu_milli: int) -> int:
        """Return how long a job for so much room would wait behind what goes before it."""
        ahead = self.own_cpu_milli + self.others_cpu_milli - self.free_cpu_milli
        ahead += OWN_SHARE * room_cpu_milli
        if ahead <= 0:
            return 0
        left_per_s = self.freed_cpu_milli_per_s - URGENT_SHARE * self.urgent_cpu_milli_per_s
        if left_per_s * LONGEST_WAIT_MS <= MS_PER_S * ahead:
            return LONGEST_WAIT_MS
        return int(MS_PER_S * ahead / left_per_s)


def begins_in_time(wait_ms: int, begin_within_ms: int) -> bool:
    """Tell whether a job with such an outlook is to be taken."""
    return wait_ms <= SURE_SHARE * begin_within_ms + MARGIN_MS


@attrs.define
class Foresight:
    """What an entry knows of the room for new jobs: its own waiting jobs and its agents' words."""

    placer: Placer
    arrivals: Arrivals = attrs.Factory(Arrivals)

    def foresee(
        self, upstream: str, priority: int, begin_by_ms: int, steps: tuple[Step, ...], now_ms: int
    ) -> Outlook:
        """Return what a job that should begin by a time has to expect."""
        rank = count_priority(priority)
        runners = [one for one in self.placer.fleet.open_runners() if _takes(one, upstream, now_ms)]
        words = [one.word for one in runners if one.word and _counts(one.word, now_ms)]
        rows = [row for word in words for row in word.others]
        arriving = self.arrivals.per_s(upstream, now_ms)
        return Outlook(
            own_cpu_milli=self._own_ahead(upstream, priority, begin_by_ms),
            others_cpu_milli=sum(row.waiting_cpu_milli for row in rows if row.priority <= rank),
            free_cpu_milli=sum(_room_for(one, steps) for one in runners),
            freed_cpu_milli_per_s=sum(word.ending_cpu_milli for word in words)
            * MS_PER_S
            // orders.FORESEEN_MS,
            urgent_cpu_milli_per_s=sum(room for other, room in arriving.items() if other < rank)
            + sum(row.arriving_cpu_milli_per_s for row in rows if row.priority < rank),
            heard=len(words),
            runners=len(runners),
            age_ms=max((now_ms - word.heard_ms for word in words), default=0),
        )

    def fleet_backlog_cpu_milli(self, now_ms: int) -> int:
        """Return the room that all work asks for that waits for this entry's agents."""
        words = (one.word for one in self.placer.fleet.open_runners())
        others = (word.others for word in words if word and _counts(word, now_ms))
        own = (self.placer.jobs[job_id] for job_id in self.placer.waiting)
        return sum(row.waiting_cpu_milli for rows in others for row in rows) + sum(
            map(room_waiting, own)
        )

    def _waiting(self, upstream: str) -> list[Job]:
        jobs = (self.placer.jobs[job_id] for job_id in self.placer.waiting)
        return [job for job in jobs if job.upstream == upstream]

    def _own_ahead(self, upstream: str, priority: int, begin_by_ms: int) -> int:
        own = (priority, begin_by_ms)
        return sum(
            room_waiting(job)
            for job in self._waiting(upstream)
            if not job.untouched or (job.priority, job.begin_by_ms) <= own
        )

    def part_of_backlog(self, upstream: str, agents: int, now_ms: int) -> Rows:
        """Return what waits here, and what joins it, as the part of one of so many agents."""
        waiting: Counter[int] = Counter()
        for job in self._waiting(upstream):
            waiting[counted_priority(job)] += room_waiting(job)
        arriving = self.arrivals.per_s(upstream, now_ms)
        return tuple(
            QueuedRoom(one, waiting[one] // agents, arriving.get(one, 0) // agents)
            for one in sorted(waiting.keys() | arriving.keys())
        )


def _takes(view: RunnerView, upstream: str, now_ms: int) -> bool:
    is_ready = view.upstream == upstream and view.synced and view.state == orders.READY
    return is_ready and not view.agent.is_quiet(now_ms)


def _counts(word: RoomWord, now_ms: int) -> bool:
    return now_ms - word.heard_ms <= WORD_VALID_MS


def _room_for(view: RunnerView, steps: Iterable[Step]) -> int:
    """Return the room of the first tasks that would find a place at a runner now."""
    first = next(step for step in steps if not step.after)
    size = max(1, first.resources.cpu_milli)
    return max(0, view.free.cpu_milli) // size * size
