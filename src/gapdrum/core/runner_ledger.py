"""An agent's record of one runner: the runs there, the room they take, and their ends.

Only the agent calls its runner, so this ledger is the authority on the runner's room. A run
takes room from the decision to start it until the runner lists its end, or until its start is
proven never to take effect.
"""

from collections import Counter, deque
from collections.abc import Iterable

import attrs

from gapdrum.core import orders
from gapdrum.core.models import COUNTED_ENDS, ZERO_RESOURCES, Resources, RunEnd, RunKey
from gapdrum.core.run_pace import MIN_AGE_MS, RECENT_MS, RECENT_RUNS, Pace, usual_permille
from gapdrum.core.runner_health import RunnerHealth
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot
from gapdrum.core.runner_speed import RunnerSpeed

UNKNOWN_OWNER = ""
# A run is stalled after this time without progress: runners report whole percents and are polled
# every 0.2 s.
STALL_MS = 450
STALL_SHARE = 0.05
# A run that has made progress is not stalled before this many more percents are due at its pace.
STALL_PERCENTS = 4
# The estimate of a run that the agent found at work after a restart is not known.
UNKNOWN_ESTIMATE_STALL_MS = 2_000
# A run is slow if at its pace it takes this many times its estimate. Estimates are 40% off, and
# the slowest healthy runners take a quarter longer.
SLOW_RUN_FACTOR = 3
SLOW_SLACK_MS = 100
# A straggler is reported again after this time, as its owner may have had no other room for it.
STRAGGLER_REPEAT_MS = 300
# Older ends without a known owner are sent to all entries, as any of them may own the job.
OWNERLESS_END_MS = 3_000
# The least rate of a runner's steady clock against the agent's.
CLOCK_RATE_FLOOR = 0.98
# A poll lists 500 ends at most, the oldest first, so later ones would be hidden behind more.
MAX_WITHHELD_ENDS = 400


@attrs.define(eq=False)
class Run:
    """A run at the runner; ``room`` is None after the agent's restart until its owner adopts it.

    The start can't take effect once the runner's clock has passed ``start_expires_ms``;
    ``calling`` is set while the start call is pending. Later echoes of the owner don't prolong a
    run that is not ``claimed``: one that the agent found at the runner, one whose owner has joined
    again without claiming it, and a stopped non-durable run. For the last two, ``last_echo_ms``
    is the last echo that counts; for the first it is None. ``since_ms`` is when the run entered
    the ledger.
    """

    key: RunKey
    owner: str
    epoch: int
    room: Resources | None
    start_expires_ms: int
    since_ms: int
    phase: str = orders.HELD_STARTING
    durable: bool = True
    claimed: bool = True
    last_echo_ms: int | None = None
    calling: bool = False
    stopping_ms: int | None = None  # when the agent decided to stop it
    percent: int = 0
    percent_ms: int = 0
    estimate_ms: int = 0
    queue: str = ""
    priority: int = 0
    submission: int = 0
    exclusive: bool = False
    started_ms: int = 0
    straggler_reported_ms: int = 0
    done_ms: int = 0

    @property
    def stopping(self) -> bool:
        """Return whether the run is to be stopped and its end is not listed yet."""
        return self.stopping_ms is not None

    @property
    def stall_ms(self) -> int:
        """Return how long the run may make no progress before it counts as stalled."""
        if not self.started_ms:
            return UNKNOWN_ESTIMATE_STALL_MS
        expected_gap_ms = 0
        if self.percent:
            expected_gap_ms = STALL_PERCENTS * (self.percent_ms - self.started_ms) // self.percent
        return max(STALL_MS, int(self.estimate_ms * STALL_SHARE), expected_gap_ms)

    def pace(self, now_ms: int) -> Pace:
        """Return the run's pace; it is unknown for a run that the agent found at work."""
        if not self.started_ms:
            return Pace(0, 0, 0)
        if self.done_ms:
            return Pace(self.done_ms - self.started_ms, 100, self.estimate_ms)
        return Pace(now_ms - self.started_ms, self.percent, self.estimate_ms)


@attrs.define
class ListedEnd:
    """An end that the runner lists until the agent acknowledges it.

    ``acknowledgeable`` is set once it may be. The end of a durable job's run that is done or has
    failed must be stored before; one of a non-durable job is withheld only if its owner may not
    receive it, as a waiting caller submits its job again. A stopped run is started anew in any
    case. An end that must not count has to be voided by a lapse of the lease. ``listed_ms`` is
    when the agent read it.
    """

    key: RunKey
    owner: str
    epoch: int
    end: RunEnd
    listed_ms: int
    submission: int = 0
    durable: bool = True
    acknowledgeable: bool = False
    superseded: bool = False

    @property
    def is_withheld(self) -> bool:
        """Return whether the end waits for its non-durable run's owner to receive it."""
        return not self.durable and not self.acknowledgeable

    def to_row(self, number: int) -> orders.HeldRun:
        """Return the end as a row of the agent's holdings."""
        return orders.HeldRun(
            self.key.task.text,
            self.key.attempt,
            self.epoch,
            orders.HELD_ENDED,
            self.end.value,
            number,
            self.submission,
        )

    def to_event(self, number: int) -> orders.RunEvent:
        """Return the end as an event, with its number at the runner."""
        return orders.RunEvent(
            self.key.task.text,
            self.key.attempt,
            self.epoch,
            orders.ENDED,
            self.end.value,
            number,
            submission=self.submission,
        )


@attrs.frozen
class HeldOwner:
    """An owner of runs or ends that the agent holds, and whether these are of durable jobs."""

    owner: str
    durable: bool


@attrs.define
class RunnerLedger:
    """The runs, ends and room of one incarnation of a runner."""

    runner_id: str
    upstream: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources | None = None
    draining: bool = False
    zone_closed: bool = False
    gone: bool = False
    leaving: bool = False  # the runner has announced its shutdown and may still execute runs
    polled: bool = False
    reachable: bool = True
    clock_ms: int = 0
    clock_read_ms: int = 0
    acknowledged_end: int = 0
    last_end: int = 0
    runs: dict[RunKey, Run] = attrs.Factory(dict)
    ends: dict[int, ListedEnd] = attrs.Factory(dict)
    used: Resources = ZERO_RESOURCES
    used_cpu_milli: Counter[str] = attrs.Factory(Counter)  # by queue
    health: RunnerHealth = attrs.Factory(RunnerHealth)
    speed: RunnerSpeed = attrs.Factory(RunnerSpeed)
    unknown_runs: int = 0  # runs that the agent found at work, whose room is not known yet
    # The runs that began last: twice as many as are compared, as a run is compared with runs of
    # other jobs only.
    recent_runs: deque[Run] = attrs.Factory(lambda: deque(maxlen=2 * RECENT_RUNS))

    @property
    def state(self) -> str:
        """Return the state of the runner that is reported to entries."""
        if self.gone:
            return orders.GONE
        if self.draining:
            return orders.DRAINING
        if self.zone_closed:
            return orders.ZONE_DRAINED
        return orders.SUSPECT if self.health.ejected_until_ms else orders.READY

    @property
    def free(self) -> Resources:
        """Return the room that no run holds.

        No room is free while a run's room is unknown, while the zone is drained, and while the
        runner's lease must lapse, as the lapse would end a new run too.
        """
        if self.awaits_lapse() or self.zone_closed:
            return ZERO_RESOURCES
        known = self.polled and self.reachable and self.capacity is not None
        if not known or self.unknown_runs or (self.health.half_open and self.runs):
            return ZERO_RESOURCES
        if any(run.exclusive for run in self.runs.values()):
            return ZERO_RESOURCES
        return self.capacity - self.used

    def clock_floor(self, monotonic_ms: int) -> int:
        """Return a lower bound of the runner's clock, valid also after both were suspended."""
        return self.clock_ms + int((monotonic_ms - self.clock_read_ms) * CLOCK_RATE_FLOOR)

    def update_clock(self, clock_ms: int | None, monotonic_ms: int) -> None:
        """Record a reading of the runner's clock from an answer received now.

        The runner took the reading earlier, so adding the time from now on gives a lower bound.
        """
        if clock_ms is not None and clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_ms = monotonic_ms

    def begin(self, run: Run) -> None:
        """Take room for a run that is about to be started."""
        self.runs[run.key] = run
        self.recent_runs.append(run)
        if run.room is None:
            self.unknown_runs += 1
        else:
            self._take_room(run)

    def _take_room(self, run: Run) -> None:
        self.used += run.room
        self.used_cpu_milli[run.queue] += run.room.cpu_milli

    def drop(self, key: RunKey) -> Run | None:
        """Remove a run and free its room; return None if it is not here."""
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self.speed.forget(key)
        if run.room is None:
            self.unknown_runs -= 1
        else:
            self.used -= run.room
            self.used_cpu_milli[run.queue] -= run.room.cpu_milli
        return run

    def adopt(
        self,
        key: RunKey,
        owner: str,
        epoch: int,
        durable: bool,
        room: Resources,
        submission: int = 0,
    ) -> None:
        """Let a run continue for the entry that claims it, and take the room that it states."""
        run = self.runs.get(key)
        if run is None:
            return
        if run.room is None:
            self.unknown_runs -= 1
            run.room = room
            self._take_room(run)
        run.owner = owner
        run.epoch = epoch
        run.durable = durable
        run.submission = submission
        run.claimed = True

    def apply_snapshot(
        self, snapshot: RunnerSnapshot, now_ms: int
    ) -> list[tuple[Run, orders.RunEvent]]:
        """Update the ledger from a poll's answer; return an event for each change of a run."""
        self.polled = True
        events = []
        for ended in snapshot.ended:
            if ended.number > self.last_end:
                events.append(self._record_end(ended, now_ms))
        shown = {running.run: running.percent for running in snapshot.running}
        for key, percent in shown.items():
            events.extend(self._record_running(key, percent, now_ms))
        for key in shown:  # once the progress of all runs is up to date, as they are compared
            events.extend(self._check_progress(self.runs[key], now_ms))
        for run in list(self.runs.values()):
            if run.key not in shown and self._never_started(run, snapshot.clock_ms):
                self.drop(run.key)
                events.append((run, _event(run, orders.NOT_STARTED, orders.START_UNANSWERED)))
        return events

    def _record_end(self, ended: EndedRun, now_ms: int) -> tuple[Run, orders.RunEvent]:
        if not self.ends and self.acknowledged_end < ended.number - 1:
            # The runner has forgotten all lower numbers.
            self.acknowledged_end = ended.number - 1
        self.last_end = ended.number
        run = self.drop(ended.run) or Run(ended.run, UNKNOWN_OWNER, 0, ZERO_RESOURCES, 0, now_ms)
        listed = ListedEnd(
            ended.run, run.owner, run.epoch, ended.end, now_ms, run.submission, run.durable
        )
        self._record_outcome(run, ended.end, now_ms)
        listed.acknowledgeable = not (run.durable and ended.end in COUNTED_ENDS)
        self.ends[ended.number] = listed
        event = _event(run, orders.ENDED, ended.end.value, ended.number)
        return run, event

    def _record_running(
        self, key: RunKey, percent: int, now_ms: int
    ) -> list[tuple[Run, orders.RunEvent]]:
        run = self.runs.get(key)
        if run is None:
            found = orders.HELD_RUNNING
            run = Run(key, UNKNOWN_OWNER, 0, None, 0, now_ms, phase=found, claimed=False)
            run.percent_ms = now_ms
            self.begin(run)
        if percent != run.percent:
            run.percent = percent
            run.percent_ms = now_ms
        if run.phase == orders.HELD_STARTING:
            self.mark_started(run, now_ms)
            return [(run, started(run))]
        return []

    @staticmethod
    def mark_started(run: Run, now_ms: int) -> None:
        """Record that a run is at work."""
        run.phase = orders.HELD_RUNNING
        run.started_ms = now_ms
        run.percent_ms = now_ms

    def _record_outcome(self, run: Run, end: RunEnd, now_ms: int) -> None:
        """Update the runner's health and speed from an end."""
        if end is RunEnd.DONE:
            run.done_ms = now_ms
            ran_ms = now_ms - run.started_ms if run.started_ms else 0
            self.health.record_run_success()
            self.speed.record_run(run.key, ran_ms, run.estimate_ms, now_ms)
        elif end is RunEnd.FAILED:
            self.health.record_run_failure(now_ms)

    def _check_progress(self, run: Run, now_ms: int) -> list[tuple[Run, orders.RunEvent]]:
        """Return an event for the owner if a run is stalled or slow, at a limited rate."""
        if run.stopping or run.phase == orders.HELD_STARTING:
            return []
        if now_ms - run.straggler_reported_ms < STRAGGLER_REPEAT_MS:
            return []
        pace = run.pace(now_ms)
        stalled_ms = now_ms - run.percent_ms
        reason = ""
        if stalled_ms > run.stall_ms:
            reason = orders.STALLED
            if not run.straggler_reported_ms:
                self.health.record_run_failure(now_ms)
        elif _is_slow(pace):
            reason = orders.SLOW
            self.speed.record_projection(run.key, pace.total_ms, run.estimate_ms, now_ms)
        if not reason:
            return []
        run.straggler_reported_ms = now_ms
        event = attrs.evolve(
            _event(run, orders.STRAGGLING, reason),
            percent=run.percent,
            ran_ms=pace.age_ms,
            left_ms=pace.left_ms,
            stalled_ms=stalled_ms if reason == orders.STALLED else 0,
            others_permille=self._others_permille(run, now_ms),
        )
        return [(run, event)]

    def _others_permille(self, run: Run, now_ms: int) -> int:
        """Return the ratio of run time to estimate for other jobs' runs here, 0 if not known.

        Runs of the same job are left out, as their estimates are off by the same factor.
        """
        job_id = run.key.task.job_id
        others = [
            other.pace(now_ms)
            for other in reversed(self.recent_runs)
            if other.key.task.job_id != job_id
            and MIN_AGE_MS < now_ms - other.started_ms < RECENT_MS
            and (other.done_ms or other.key in self.runs)
        ]
        return usual_permille(others[:RECENT_RUNS])

    @staticmethod
    def _never_started(run: Run, clock_ms: int) -> bool:
        """Return whether an unanswered start can no longer take effect."""
        unanswered = run.phase == orders.HELD_STARTING and not run.calling
        return unanswered and clock_ms > run.start_expires_ms

    def mark_acknowledgeable(self, numbers: tuple[int, ...], superseded: tuple[int, ...]) -> None:
        """Mark ends that may be acknowledged, and superseded ones, which may be after a lapse.

        A listed end counts once it is acknowledged, unless the runner's lease has lapsed after
        it. A superseded end must not count, so the agent renews no lease until it has lapsed.
        """
        for number in numbers:
            if number in self.ends:
                self.ends[number].acknowledgeable = True
        for number in superseded:
            if number in self.ends:
                self.ends[number].superseded = True

    def withhold_ends(self, numbers: Iterable[int]) -> list[ListedEnd]:
        """Keep ends at the runner until their owners have received them.

        A restarted agent finds in the runner's list what it can't remember. Returns the oldest ones
        if they are too many, which are not kept any more.
        """
        for number in numbers:
            if number in self.ends:
                self.ends[number].acknowledgeable = False
        withheld = [end for end in self.ends.values() if end.is_withheld]
        excess = withheld[: max(0, len(withheld) - MAX_WITHHELD_ENDS)]
        for end in excess:
            end.acknowledgeable = True
        return excess

    @property
    def has_withheld_ends(self) -> bool:
        """Return whether ends are listed that their owners have not received."""
        return any(end.is_withheld for end in self.ends.values())

    @property
    def has_unstored_ends(self) -> bool:
        """Return whether ends are listed that count only if they are stored under the lease."""
        return any(end.durable for end in self.ends.values())

    def awaits_lapse(self) -> bool:
        """Return whether the runner's lease must lapse before a superseded end is acknowledged."""
        return any(end.superseded and not end.acknowledgeable for end in self.ends.values())

    def record_lapse(self) -> None:
        """Record that the runner's lease has lapsed: superseded ends may be acknowledged."""
        for end in self.ends.values():
            if end.superseded:
                end.acknowledgeable = True

    def advance_acknowledged(self) -> int:
        """Advance and return the number up to which the runner may forget its ends."""
        while (
            self.acknowledged_end + 1 in self.ends
            and self.ends[self.acknowledged_end + 1].acknowledgeable
        ):
            self.acknowledged_end += 1
            del self.ends[self.acknowledged_end]
        return self.acknowledged_end

    def held_runs(self, job_ids: frozenset[str] | None = None) -> tuple[orders.HeldRun, ...]:
        """Return all runs and the ends that may not be acknowledged yet, or those of some jobs."""
        rows = [
            orders.HeldRun(
                run.key.task.text,
                run.key.attempt,
                run.epoch,
                run.phase,
                submission=run.submission,
            )
            for run in self.runs.values()
            if job_ids is None or run.key.task.job_id in job_ids
        ]
        for number, end in self.ends.items():
            if (job_ids is None or end.key.task.job_id in job_ids) and not end.acknowledgeable:
                rows.append(end.to_row(number))
        return tuple(rows)

    def held_owners(self, now_ms: int) -> frozenset[HeldOwner]:
        """Return the owners of all runs, and of all ends that may not be acknowledged yet.

        Recent ends without a known owner don't count: after a restart most are of jobs whose
        callers have disconnected, and any entry that receives them finds that out.
        """
        owners = {HeldOwner(run.owner, run.durable) for run in self.runs.values()}
        for end in self.ends.values():
            is_young = now_ms - end.listed_ms < OWNERLESS_END_MS
            if not end.acknowledgeable and not (end.owner == UNKNOWN_OWNER and is_young):
                owners.add(HeldOwner(end.owner, end.durable))
        return frozenset(owners)

    def assign_ends(self, job_ids: frozenset[str], owner: str) -> None:
        """Record that an entry has claimed jobs, and so waits for the ends of their runs."""
        for end in self.ends.values():
            if end.durable and end.key.task.job_id in job_ids:
                end.owner = owner

    def event_for_adopter(self, key: RunKey, submission: int) -> orders.RunEvent | None:
        """Return the event for a run's claimant if the run ended before it could be adopted."""
        if key in self.runs:
            return None
        for number, end in self.ends.items():
            is_same = end.key == key and end.submission in (0, submission)
            if is_same and not end.acknowledgeable:
                return attrs.evolve(end.to_event(number), submission=submission)
        task, kind = key.task.text, orders.LOST
        return orders.RunEvent(
            task, key.attempt, 0, kind, orders.ENDED_BEFORE, submission=submission
        )

    def set_gone(self) -> list[tuple[Run, orders.RunEvent]]:
        """Mark this incarnation as gone; return its runs as lost.

        A runner that has not announced its end has crashed.
        """
        self.gone = True
        planned = self.draining or self.leaving
        reason = orders.RUNNER_ENDED if planned else orders.RUNNER_GONE
        return self.lose(list(self.runs.values()), reason)

    def lose(self, runs: list[Run], reason: str) -> list[tuple[Run, orders.RunEvent]]:
        """Remove runs whose end the runner will not list; return them as lost."""
        for run in runs:
            self.drop(run.key)
        return [(run, _event(run, orders.LOST, reason)) for run in runs]


def _is_slow(pace: Pace) -> bool:
    limit_ms = SLOW_RUN_FACTOR * pace.estimate_ms + SLOW_SLACK_MS
    return bool(pace.estimate_ms) and pace.age_ms > MIN_AGE_MS and pace.total_ms > limit_ms


def _event(run: Run, kind: str, detail: str = "", end_number: int = 0) -> orders.RunEvent:
    return orders.RunEvent(
        run.key.task.text,
        run.key.attempt,
        run.epoch,
        kind,
        detail,
        end_number,
        durable=run.durable,
        submission=run.submission,
    )


def started(run: Run) -> orders.RunEvent:
    """Return the event for a run that is at work."""
    return _event(run, orders.STARTED)


def not_started(run_key: RunKey, epoch: int, reason: str, submission: int) -> orders.RunEvent:
    """Return the event for a run that was not started and never will be."""
    task, kind = run_key.task.text, orders.NOT_STARTED
    return orders.RunEvent(task, run_key.attempt, epoch, kind, reason, submission=submission)
