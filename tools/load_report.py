"""Evaluates a replay: the worth earned for all callers and for the worst-served groups."""

from collections import Counter, defaultdict
from collections.abc import Callable

import attrs
from loads import LoadJob, worth_of

WINDOW_MS = 2_000
# Limits of size classes: the largest tenth of a queue's jobs, and the fifth below it.
LARGEST, LARGE = 0.1, 0.3


@attrs.define(eq=False)
class Outcome:
    """A job's outcome; ``value`` is the share of its worth that was earned."""

    job: LoadJob
    kind: str = "open"
    value: float = 0.0
    free_cores: float = 0.0
    open_cores: float = 0.0  # of these, not reserved against its queue


@attrs.frozen
class ReplayRecord:
    """What a replay recorded; ``busy`` is the used share of the capacity by time."""

    outcomes: list[Outcome]
    duration_ms: int
    busy: dict[int, float]
    events: Counter
    messages: Counter


@attrs.frozen
class Report:
    """The figures of a replay; shares are of the total worth of the jobs."""

    worth: float
    worst_kind: float
    worst_entry: float
    worst_windows: float
    outcomes: Counter
    refused_with_room: float
    busy: float
    events: Counter
    messages: Counter  # by class, between entries and agents
    tasks: int
    by_queue: dict[str, float]
    refused_with_open_room: float  # with enough room that was not reserved against the queue

    @property
    def messages_a_task(self) -> float:
        """Return how many messages entries and agents exchange for each task."""
        return self.messages.total() / self.tasks

    @property
    def mark(self) -> float:
        """Return the weighted score of the replay, reduced by false refusals."""
        parts = 0.4 * self.worth + 0.3 * self.worst_kind + 0.2 * self.worst_entry
        return parts + 0.1 * self.worst_windows - 0.5 * self.refused_with_room


def summarize(record: ReplayRecord) -> Report:
    """Compute the figures of a replay."""
    outcomes = record.outcomes
    refused = [one for one in outcomes if one.kind in ("refused", "given_up")]
    with_room = [one for one in refused if one.free_cores > _room_of(one.job)]
    with_open_room = [one for one in refused if one.open_cores > _room_of(one.job)]
    total_worth = _worth(outcomes)
    windows = sorted(_shares(outcomes, lambda one: one.job.at_ms // WINDOW_MS).values())
    end_ms = record.duration_ms
    busy_shares = [share for at_ms, share in record.busy.items() if 0 < at_ms < end_ms]
    return Report(
        _share(outcomes),
        min(_shares(outcomes, _size_classes(outcomes).__getitem__).values()),
        min(_shares(outcomes, lambda one: one.job.entry).values()),
        sum(windows[:2]) / 2,
        Counter(one.kind for one in outcomes),
        _worth(with_room) / total_worth,
        sum(busy_shares) / len(busy_shares),
        record.events,
        record.messages,
        sum(len(one.job.work_ms) for one in outcomes),
        _shares(outcomes, lambda one: one.job.kind.queue),
        _worth(with_open_room) / total_worth,
    )


def _room_of(job: LoadJob) -> float:
    return len(job.work_ms) * job.cpu_milli / 1_000


def _worth(outcomes: list[Outcome]) -> float:
    return sum(worth_of(one.job) for one in outcomes)


def _size_classes(outcomes: list[Outcome]) -> dict[Outcome, tuple[str, str]]:
    """Return each outcome's queue and size class."""
    classes = {}
    by_queue = defaultdict(list)
    for one in outcomes:
        by_queue[one.job.kind.queue].append(one)
    for queue, group in by_queue.items():
        group.sort(key=lambda one: -one.job.core_s)
        for place, one in enumerate(group):
            rank = place / len(group)
            size = "largest" if rank < LARGEST else "large" if rank < LARGE else "usual"
            classes[one] = (queue, size)
    return classes


def _share(outcomes: list[Outcome]) -> float:
    total_worth = sum(worth_of(one.job) for one in outcomes)
    return sum(one.value * worth_of(one.job) for one in outcomes) / total_worth


def _shares(outcomes: list[Outcome], key: Callable[[Outcome], object]) -> dict[object, float]:
    groups = defaultdict(list)
    for one in outcomes:
        groups[key(one)].append(one)
    return {name: _share(group) for name, group in groups.items()}
