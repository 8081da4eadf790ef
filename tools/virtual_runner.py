"""A runner in virtual time, and the agent's side of it: the real ledger, offers and judgement."""

import heapq
from collections import Counter
from collections.abc import Callable

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
# A call of the runner beside the agent, until it begins a run and until it has answered, as
# measured between processes; and how long a stop takes.
CALL_MS = 0.7
START_MS = 1.5
STOP_MS = 30


Report = Callable[["VirtualController", list], None]


class VirtualTimers:
    """A timer service whose time passes only from one event to the next."""

    def __init__(self) -> None:
        self.time_ms = 1_000.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def now_ms(self) -> int:
        """Return the time."""
        return int(self.time_ms)

    wall_ms = now_ms
    monotonic_ms = now_ms

    def left_ms(self, interval_ms: int) -> int:
        """Return how long it is until the next multiple of an interval."""
        return interval_ms - self.now_ms() % interval_ms

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call back once later."""
        self._count += 1
        heapq.heappush(self._events, (self.time_ms + delay_ms, self._count, callback))

    def subscribe(self, interval_ms: int, callback: Callable[[], object]) -> None:
        """Call back again and again."""

        def step() -> None:
            callback()
            self.call_after(interval_ms, step)

        self.call_after(interval_ms, step)

    def run_until(self, end_ms: float) -> None:
        """Let time pass until all events before an end have come."""
        while self._events and self._events[0][0] <= end_ms:
            self.time_ms, _, callback = heapq.heappop(self._events)
            callback()


class SilentLog:
    """Takes the place of the event log; counts events."""

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()

    def write(self, event: str, **_fields: object) -> None:
        """Count an event."""
        self.events[event] += 1


@attrs.define(eq=False)
class VirtualRun:
    """A run at a virtual runner; a new ``turn`` makes an earlier planned end void."""

    key: RunKey
    work_ms: float
    left_ms: float
    since_ms: float
    turn: int = 0


class VirtualRunner:
    """Works on runs at its pace; ``on_change`` is called when one has ended."""

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
        run.turn += 1
        rate = self.speed * self.pace
        if rate:
            turn = run.turn
            self.timers.call_after(run.left_ms / rate, lambda: self._finish(run, turn))

    def _finish(self, run: VirtualRun, turn: int) -> None:
        if self.runs.get(run.key) is run and run.turn == turn:
            self._end(run, RunEnd.DONE)

    def _end(self, run: VirtualRun, end: RunEnd) -> None:
        if self.runs.pop(run.key, None) is None:
            return
        self.count += 1
        self.ended.append(EndedRun(self.count, run.key, end))
        self.on_change()

    def stop(self, key: RunKey) -> None:
        """Stop a run, which takes a while."""
        run = self.runs.get(key)
        if run is not None:
            self.timers.call_after(STOP_MS, lambda: self._end(run, RunEnd.STOPPED))

    def set_pace(self, pace: float) -> None:
        """Work at another pace from now on."""
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
        """Return what runs and what has ended since."""
        self.ended = [end for end in self.ended if end.number > seen]
        rows = []
        for run in self.runs.values():
            self._count_work(run)
            percent = int(100 * (1 - max(0.0, run.left_ms) / run.work_ms))
            rows.append(RunningTask(run.key, min(99, percent)))
        return RunnerSnapshot(self.timers.now_ms(), tuple(rows), tuple(self.ended))


class VirtualLauncher(RunLauncher):
    """The real judgement of orders, with a virtual runner behind it."""

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

    ``report`` is called with the keeper and what happened to runs; ``work_of`` tells how long a
    task really works.
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
        """Return the runner's identity."""
        return self.ledger.runner_id

    @property
    def offers(self):
        """Return what freed room is kept for whom."""
        return self._context.offers

    def kept_cpu_milli(self) -> dict[str, int]:
        """Return how much of the free room is kept from which queues."""
        return self._context.kept_cpu_milli(self._timers.now_ms())

    def free_for(self, owner: str) -> Resources:
        """Return the room that an owner may use now."""
        return self._context.free_for(owner, self._timers.now_ms())

    def poll(self) -> None:
        """Look at the runner, and tell what has changed."""
        if self.ledger.gone:
            return
        now_ms = self._timers.now_ms()
        self.starts.stop_overdue_runs(now_ms)
        was_resting = bool(self.ledger.health.ejected_until_ms)
        if was_resting and not self.ledger.health.is_ejected(now_ms):
            self._report([])
        events = self.ledger.apply_snapshot(
            self.runner.poll(self.ledger.advance_acknowledged()), now_ms
        )
        if events:
            self._report(events)

    def set_zone_closed(self, closed: bool) -> None:
        """Note whether anything may be started in the runner's zone."""
        if self.ledger.zone_closed != closed:
            self.ledger.zone_closed = closed
            self._report([])

    def lose(self) -> None:
        """Note that the runner is gone."""
        self.runner.gone = True
        self.runner.runs.clear()
        self._context.set_gone("crashed")
