"""Mechanisms that replays of loads can disable or replace by alternatives.

Each function returns the patches that make the change while they are entered::

    with changed("begun_first"):
        report = replay(overload(seed=1))
"""

from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import attrs
import load_replay
import virtual_runner
from loads import COMPETING_KINDS, KINDS, LONG_KINDS

from gapdrum.agent import notifier as agent_notifier
from gapdrum.agent.notifier import EntryNotifier
from gapdrum.core import (
    expected_end,
    fleet_speeds,
    jobs,
    placement_rules,
    placer,
    runner_health,
    stragglers,
)
from gapdrum.core import room_shares as core_room_shares
from gapdrum.core import subsets as core_subsets
from gapdrum.core.placement_rules import PriorityClass
from gapdrum.core.placer import Placer
from gapdrum.core.room_offers import RoomOffers
from gapdrum.core.stragglers import MoveDecision, StragglerPolicy
from gapdrum.entry import admission

Patches = list[Any]

SWITCHES: dict[str, Callable[[], Patches]] = {}
ALTERNATIVES: dict[str, Callable[[], Patches]] = {}
NEVER = 10**9


def switch(function: Callable[[], Patches]) -> Callable[[], Patches]:
    """Register a function that disables a mechanism, under its name."""
    SWITCHES[function.__name__] = function
    return function


def alternative(function: Callable[[], Patches]) -> Callable[[], Patches]:
    """Register a function that replaces a mechanism, under its name."""
    ALTERNATIVES[function.__name__] = function
    return function


@contextmanager
def changed(name: str) -> Iterator[None]:
    """Apply a change within the context; an empty name changes nothing."""
    with ExitStack() as stack:
        for patch in {**SWITCHES, **ALTERNATIVES, "": list}[name]():
            stack.enter_context(patch)
        yield


@switch
def subsets() -> Patches:
    """Let each agent serve all entries."""
    return [mock.patch.object(core_subsets, "ENTRIES_PER_AGENT", NEVER)]


@switch
def begun_first() -> Patches:
    """Give jobs that have begun no precedence over new ones."""
    return [mock.patch.object(placement_rules, "priority_class", lambda *_: PriorityClass.NEW)]


@switch
def begin_by() -> Patches:
    """Begin jobs as long as their estimated work can end in time."""
    return [mock.patch.object(jobs, "BEGIN_SHARE", 1.0)]


@switch
def time_left() -> Patches:
    """Order new jobs by arrival instead of by the time left."""

    def order(job: jobs.Job, now_ms: int) -> tuple:
        return (placement_rules.priority_class(job, now_ms), job.accepted_ms, job.job_id)

    return [mock.patch.object(placer, "waiting_order", order)]


@switch
def priority() -> Patches:
    """Ignore the priorities of queues."""
    return [mock.patch.object(placement_rules, "PRIORITY_WEIGHT", 1.0)]


@switch
def urgency() -> Patches:
    """Offer room to any entry with waiting work, whatever its urgency."""
    return [mock.patch.object(placer, "urgency_of", lambda *_: 1)]


@switch
def offers() -> Patches:
    """Make no offers of freed room."""
    return [mock.patch.object(RoomOffers, "make", lambda *_: None)]


@switch
def demand_size() -> Patches:
    """Offer room without checking that a waiting task fits."""
    return [mock.patch.object(Placer, "_least_waiting", lambda *_: _Zeros())]


class _Zeros(dict):
    def __missing__(self, _key: str) -> int:
        return 0


@switch
def offering_on() -> Patches:
    """Do not offer the unused rest of an offer to the next entry."""
    return [mock.patch.object(EntryNotifier, "reoffer_room", lambda *_: None)]


@switch
def refusing_at_once() -> Patches:
    """Refuse no job on arrival."""
    return [mock.patch.object(admission, "WAIT_TOLERANCE_FACTOR", NEVER)]


@switch
def runner_speeds() -> Patches:
    """Assume the usual speed for all runners, except for runners that are much slower."""
    measure = fleet_speeds.measure_speeds

    def measure_usual(views: Sequence) -> fleet_speeds.FleetSpeeds:
        return fleet_speeds.FleetSpeeds(measure(views).usual_permille)

    return [mock.patch.object(placement_rules, "measure_speeds", measure_usual)]


@switch
def waiting_for_better() -> Patches:
    """Start tasks wherever there is room, even if they end late there."""
    return [
        mock.patch.object(expected_end.CompletionForecast, "is_worth_waiting", lambda *_: False)
    ]


@switch
def candidates() -> Patches:
    """Consider only one candidate runner."""
    return [mock.patch.object(placement_rules, "CANDIDATES", 1)]


@switch
def ejection() -> Patches:
    """Do not eject runners that fail or stall."""
    return [mock.patch.object(runner_health, "FAILURES_UNTIL_SUSPECT", NEVER)]


@switch
def short_rests() -> Patches:
    """Eject suspect runners for only 5 s."""
    return [mock.patch.object(runner_health, "EJECTION_MS", 5_000)]


@switch
def moves() -> Patches:
    """Do not move stragglers."""
    return [mock.patch.object(StragglerPolicy, "judge", lambda *_: MoveDecision(False, None, None))]


@switch
def move_costs() -> Patches:
    """Move slow runs without checking that they would end sooner."""
    return [mock.patch.object(stragglers, "_is_sooner", lambda there_ms, _: there_ms is not None)]


@switch
def room_shares() -> Patches:
    """Reserve no room for urgent work."""
    return [mock.patch.object(core_room_shares, "HEADROOM_DEVIATIONS", 0.0)]


@switch
def drained_served() -> Patches:
    """Let agents serve no extra entries of drained zones."""
    return [mock.patch.object(core_subsets, "EXTRA_DRAINED_ENTRIES", 0)]


@alternative
def most_worth_first() -> Patches:
    """Order new jobs by the worth per core-second of their queue's usual job."""
    return [
        mock.patch.object(placer, "waiting_order", _order_by(lambda job: -_worth_per_work(job)))
    ]


@alternative
def least_work_first() -> Patches:
    """Order new jobs by their estimated work, the smallest first."""
    return [mock.patch.object(placer, "waiting_order", _order_by(_estimated_work))]


@alternative
def shortest_first() -> Patches:
    """Order new jobs by their estimated duration, the shortest first."""
    return [mock.patch.object(placer, "waiting_order", _order_by(lambda job: job.chain_ms))]


def _order_by(key: Callable[[jobs.Job], float]) -> Callable[[jobs.Job, int], tuple]:
    def order(job: jobs.Job, now_ms: int) -> tuple:
        return (placement_rules.priority_class(job, now_ms), key(job), job.accepted_ms, job.job_id)

    return order


def _estimated_work(job: jobs.Job) -> float:
    return sum(
        task.step.resources.cpu_milli * task.step.estimate_ms
        for task in job.tasks
        if task.phase is jobs.TaskPhase.WAITING
    )


def _worth_per_work(job: jobs.Job) -> float:
    kind = next(one for one in (*KINDS, *LONG_KINDS, *COMPETING_KINDS) if one.queue == job.queue)
    return kind.worth / (kind.tasks * kind.work_ms * kind.cpu_milli)


def _set(target: object, **values: object) -> Callable[[], Patches]:
    return lambda: [mock.patch.object(target, name, value) for name, value in values.items()]


# Other values of constants, to compare with the current ones.
ALTERNATIVES.update(
    begin_by_30=_set(jobs, BEGIN_SHARE=0.3),
    begin_by_70=_set(jobs, BEGIN_SHARE=0.7),
    doubt_100=_set(admission, WAIT_TOLERANCE_FACTOR=1.0),
    doubt_250=_set(admission, WAIT_TOLERANCE_FACTOR=2.5),
    drained_served_2=_set(core_subsets, EXTRA_DRAINED_ENTRIES=2),
    candidates_2=_set(placement_rules, CANDIDATES=2),
    candidates_8=_set(placement_rules, CANDIDATES=8),
    serve_6=_set(core_subsets, ENTRIES_PER_AGENT=6),
    serve_8=_set(core_subsets, ENTRIES_PER_AGENT=8),
    reports_10=_set(agent_notifier, SCARCE_INTERVAL_MS=10, RELAXED_INTERVAL_MS=25),
    reports_50=_set(agent_notifier, SCARCE_INTERVAL_MS=50, RELAXED_INTERVAL_MS=100),
    priority_60=_set(placement_rules, PRIORITY_WEIGHT=0.6),
    priority_15=_set(placement_rules, PRIORITY_WEIGHT=0.15),
)


@alternative
def fastest_for_long() -> Patches:
    """Place tasks of a second and more where runs are fastest relative to their estimates."""
    score = placement_rules._score

    def prefer_fast(view, task, forecast, pool, zone):
        base_score = score(view, task, forecast, pool, zone)
        if task.step.estimate_ms < 1_000 or not view.slowness_permille:
            return base_score
        usual = pool.speeds.usual_permille or view.slowness_permille
        return (*base_score[:4], -round(view.slowness_permille / usual, 1), *base_score[4:])

    return [mock.patch.object(placement_rules, "_score", prefer_fast)]


@alternative
def best_fit() -> Patches:
    """Place each task at the runner with the least free room that fits."""

    def choose(job, task, pool, _zone, now_ms, _rng):
        views = [
            view
            for view in pool.with_room
            if placement_rules._may_take(view, job, task, pool, now_ms)
        ]
        return min(views, key=lambda view: view.free.cpu_milli, default=None)

    return [mock.patch.object(placer, "choose_runner", choose)]


@alternative
def whole_jobs() -> Patches:
    """Begin a job only if all its tasks find room at once."""
    place_job = Placer._place_job

    def place_whole(self, job, pool, now_ms):
        ready = job.ready_tasks()
        if job.is_unstarted and ready:
            need = ready[0].step.resources.cpu_milli
            room = sum(max(0, view.free.cpu_milli) // need for view in pool.with_room)
            if room < len(ready):
                return True
        return place_job(self, job, pool, now_ms)

    return [mock.patch.object(Placer, "_place_job", place_whole)]


@alternative
def one_place_without_delays() -> Patches:
    """Use one entry without delays: an upper bound of what can be served."""
    build = load_replay.VirtualFleet

    def build_one(load):
        return build(attrs.evolve(load, shares=(1.0,)))

    return [
        mock.patch.object(load_replay, "VirtualFleet", build_one),
        mock.patch.object(load_replay, "MESSAGE_MS", 0.05),
        mock.patch.object(virtual_runner, "CALL_MS", 0.05),
        mock.patch.object(virtual_runner, "START_MS", 0.1),
    ]
