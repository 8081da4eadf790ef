"""A runner in virtual time, and the agent's side of it: the real ledger, offers and launcher."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from gapdrum.agent.grants import Grants
from gapdrum.agent.run_launcher import RunLauncher
from gapdrum.agent.runner_context import RunnerContext
from gapdrum.core import orders
from gapdrum.core.models import Resources, RunEnd, RunKey
from gapdrum.core.room_shares import RoomShares
from gapdrum.core.runner_ledger import Run, RunnerLedger
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask

UPSTREAM = "workers"
RUN_LEASE_MS = 1_000
# A call to the local runner, until it begins the run and until it has answered, as measured between
# processes.
CALL_MS = 0.7
START_MS = 1.5
STOP_MS = 30  # until a run ends after a stop


Report = Callable[["VirtualController", list], None]


class VirtualTimers:
    """A timer service in virtual time, which advances from one event to the next."""

    def __init__(self) -> None:
        self.time_ms = 1_000.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def now_ms(self) -> int:
        """Return the virtual time."""
        return int(self.time_ms)

    wall_ms = now_ms
    monotonic_ms = now_ms

    def left_ms(self, interval_ms: int) -> int:
        """Return the time until the next multiple of an interval."""
        return interval_ms - self.now_ms() % interval_ms

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call a function once after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.time_ms + delay_ms, self._count, callback))

    def subscribe(self, interval_ms: int, callback: Callable[[], object]) -> None:
        """Call a function at a fixed interval."""

        def step() -> None:
            callback()
            self.call_after(interval_ms, step)

        self.call_after(interval_ms, step)

    def run_until(self, end_ms: float) -> None:
        """Advance the time and process all events up to an end."""
        while self._events and self._events[0][0] <= end_ms:
            self.time_ms, _, callback = heapq.heappop(self._events)
            callback()


class SilentLog:
    """Replaces the event log and only counts events."""

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()

    def write(self, event: str, **_fields: object) -> None:
        """Count an event."""
        self.events[event] += 1


@attrs.define(eq=False)
class VirtualRun:
    """A run at a virtual runner; a new ``plan_number`` invalidates an earlier planned end."""

    key: RunKey
    work_ms: float
    left_ms: float
    since_ms: float
    plan_number: int = 0


class VirtualRunner:
    """Executes runs at a speed that can change; calls ``on_change`` when a run has ended."""

    def __init__(self, timers: VirtualTimers, speed: float) -> None:
        self.timers = timers
        self.speed = speed
        self.pace = 1.0
        self.runs: dict[RunKey, VirtualRun] = {}
        self.ended: list[EndedRun] = []
        self.count = 0
        self.gone = False
        self.on_change: Callable[[], None] = lambda: None

    def start(self, key: RunKey, work_ms: int) -> None:
        """Begin a run."""
        run = VirtualRun(key, work_ms, work_ms, self.timers.time_ms)
        self.runs[key] = run
        self._plan(run)

    def _plan(self, run: VirtualRun) -> None:
        run.plan_number += 1
        rate = self.speed * self.pace
        if rate:
            plan_number = run.plan_number
            self.timers.call_after(run.left_ms / rate, lambda: self._finish(run, plan_number))

    def _finish(self, run: VirtualRun, plan_number: int) -> None:
        if self.runs.get(run.key) is run and run.plan_number == plan_number:
            self._end(run, RunEnd.DONE)

    def _end(self, run: VirtualRun, end: RunEnd) -> None:
        if self.runs.pop(run.key, None) is None:
            return
        self.count += 1
        self.ended.append(EndedRun(self.count, run.key, end))
        self.on_change()

    def stop(self, key: RunKey) -> None:
        """Stop a run; it ends after ``STOP_MS``."""
        run = self.runs.get(key)
        if run is not None:
            self.timers.call_after(STOP_MS, lambda: self._end(run, RunEnd.STOPPED))

    def set_pace(self, pace: float) -> None:
        """Change the pace, a factor on the runner's speed; at 0 all runs stall."""
        for run in self.runs.values():
            self._count_work(run)
        self.pace = pace
        for run in self.runs.values():
            self._plan(run)

    def _count_work(self, run: VirtualRun) -> None:
        now_ms = self.timers.time_ms
        run.left_ms -= (now_ms - run.since_ms) * self.speed * self.pace
        run.since_ms = now_ms

    def poll(self, seen: int) -> RunnerSnapshot:
        """Return the active runs and the ends that are not acknowledged."""
        self.ended = [end for end in self.ended if end.number > seen]
        rows = []
        for run in self.runs.values():
            self._count_work(run)
            progress_percent = int(100 * (1 - max(0.0, run.left_ms) / run.work_ms))
            rows.append(RunningTask(run.key, min(99, progress_percent)))
        return RunnerSnapshot(self.timers.now_ms(), tuple(rows), tuple(self.ended))


class VirtualLauncher(RunLauncher):
    """The real decisions on start orders, with a virtual runner in place of the calls."""

    def __init__(self, context: RunnerContext, runner: VirtualRunner, work_of: Callable) -> None:
        super().__init__(context)
        self._runner = runner
        self._work_of = work_of

    def _call_start(self, run: Run, spec: str, lease_ends_ms: int) -> None:
        self._context.timers.call_after(CALL_MS, lambda: self._begin_run(run))

    def _begin_run(self, run: Run) -> None:
        if not self._runner.gone:
            self._runner.start(run.key, self._work_of(run.key))
            self._context.timers.call_after(START_MS - CALL_MS, lambda: self._answer(run))

    def _answer(self, run: Run) -> None:
        run.calling = False
        self._settle_start(run, orders.STARTED)

    def _send_stop(self, key: RunKey, now_ms: int) -> None:
        self._stops_sent[key] = now_ms
        self._context.timers.call_after(CALL_MS, lambda: self._runner.stop(key))


class VirtualController:
    """The agent's side of one virtual runner.

    ``report`` is called with the controller and the events of its runs; ``work_of`` returns how
    long a task really runs.
    """

    def __init__(
        self,
        runner: VirtualRunner,
        ledger: RunnerLedger,
        grants: Grants,
        log: SilentLog,
        report: Report,
        work_of: Callable[[RunKey], int],
        shares: RoomShares,
    ) -> None:
        self.runner = runner
        self.ledger = ledger
        self._timers = runner.timers
        self._report = lambda events: report(self, events)
        self._context = RunnerContext(
            ledger, None, grants, RUN_LEASE_MS, self._timers, log, self._report, shares=shares
        )
        self.starts = VirtualLauncher(self._context, runner, work_of)
        runner.on_change = lambda: self._timers.call_after(CALL_MS, self.poll)

    @property
    def runner_id(self) -> str:
        """Return the runner's id."""
        return self.ledger.runner_id

    @property
    def offers(self):
        """Return the offers of freed room to single entries."""
        return self._context.offers

    def kept_cpu_milli(self) -> dict[str, int]:
        """Return how much of the free room is reserved against each queue."""
        return self._context.kept_cpu_milli(self._timers.now_ms())

    def free_for(self, owner: str) -> Resources:
        """Return the free room that an owner may use now."""
        return self._context.free_for(owner, self._timers.now_ms())

    def poll(self) -> None:
        """Poll the runner and report what has changed."""
        if self.ledger.gone:
            return
        now_ms = self._timers.now_ms()
        self.starts.stop_overdue_runs(now_ms)
        was_ejected = bool(self.ledger.health.ejected_until_ms)
        if was_ejected and not self.ledger.health.update_ejection(now_ms):
            self._report([])
        events = self.ledger.apply_snapshot(
            self.runner.poll(self.ledger.advance_acknowledged()), now_ms
        )
        if events:
            self._report(events)

    def withhold_ends(self, numbers: Iterable[int]) -> None:
        """Let the runner keep ends until their owners have received them."""
        self.ledger.withhold_ends(numbers)

    def release_end(self, number: int) -> None:
        """Let the runner forget an end."""
        self.ledger.mark_acknowledgeable((number,), ())

    def set_zone_closed(self, closed: bool) -> None:
        """Set whether the runner's zone is closed to starts."""
        if self.ledger.zone_closed != closed:
            self.ledger.zone_closed = closed
            self._report([])

    def lose(self) -> None:
        """Let the runner crash for good."""
        self.runner.gone = True
        self.runner.runs.clear()
        self._context.set_gone("crashed")
