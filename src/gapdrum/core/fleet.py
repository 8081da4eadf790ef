"""The agents and runners that an entry sees, and when silent ones are given up."""

from collections import Counter
from collections.abc import Collection

import attrs

from gapdrum.core import orders, run_bounds
from gapdrum.core.effects import Effects
from gapdrum.core.jobs import Place, Task
from gapdrum.core.runner_views import AgentView, RunnerView

PERMILLE = 1_000
# Why a runner is given up whose agent has joined without reporting it, as it appears in the logs.
RUNNER_NOT_REPORTED = "runner_not_told"


@attrs.frozen
class LostRunner:
    """A runner that the entry has given up, and the tasks that were placed there.

    ``agent_incarnation`` is the present one of its agent, as far as known.
    """

    runner_id: str
    tasks: tuple[Task, ...]
    reason: str
    agent_incarnation: str


@attrs.define
class Fleet:
    """All agents and runners by name. The caller passes the time."""

    effects: Effects
    agents: dict[str, AgentView] = attrs.Factory(dict)
    runners: dict[Place, RunnerView] = attrs.Factory(dict)
    drained_zones: frozenset[str] = frozenset()  # by operators: no task is placed there

    def open_runners(self) -> Collection[RunnerView]:
        """Return the runners outside of drained zones."""
        if not self.drained_zones:
            return self.runners.values()
        drained = self.drained_zones
        return [one for one in self.runners.values() if one.agent.zone not in drained]

    def count_open_agents(self) -> int:
        """Return how many agents outside of drained zones are connected."""
        drained = self.drained_zones
        return sum(one.connected and one.zone not in drained for one in self.agents.values())

    def free_cpu_milli(self) -> int:
        """Return the free processor room that the entry sees, in thousandths of a core."""
        return sum(max(0, runner.free.cpu_milli) for runner in self.open_runners())

    def room_cpu_milli(self) -> dict[str, int]:
        """Return the whole processor room that the entry sees, by upstream."""
        room: Counter[str] = Counter()
        for runner in self.open_runners():
            if runner.state in (orders.READY, orders.SUSPECT):
                room[runner.upstream] += runner.capacity.cpu_milli
        return room

    def free_permille(self) -> int:
        """Return the free share of the processor room that the entry sees."""
        total = sum(runner.capacity.cpu_milli for runner in self.open_runners())
        return PERMILLE * self.free_cpu_milli() // total if total else 0

    def agent_joined(self, greeting: orders.AgentGreeting, now_ms: int) -> AgentView:
        """Register an agent's new stream."""
        view = self.agents.get(greeting.agent)
        if view is None or view.incarnation != greeting.incarnation:
            view = AgentView(
                greeting.agent, greeting.incarnation, greeting.zone, greeting.clock_ms, now_ms
            )
            self.agents[greeting.agent] = view
        view.connected = True
        view.clock_ms = greeting.clock_ms
        view.heard_ms = now_ms
        view.received = view.confirmed = 0
        for runner in self._runners_of(greeting.agent):
            runner.agent = view
            runner.reset_orders(now_ms)
        self.effects.note("agent_joined", agent=greeting.agent, incarnation=greeting.incarnation)
        return view

    def agent_stream_ended(self, view: AgentView) -> None:
        """Record that an agent's stream has ended; its runs continue until their grant ends."""
        view.connected = False
        self.effects.note("agent_disconnected", agent=view.agent)

    def agent_departed(self, view: AgentView) -> list[LostRunner]:
        """Remove an agent that has left for other entries and holds nothing for this one."""
        self.agents.pop(view.agent, None)
        self.effects.note("agent_departed", agent=view.agent)
        return [self._remove(one, "agent_departed") for one in self._runners_of(view.agent)]

    def apply_report(
        self, view: AgentView, report: orders.RunnerReport, now_ms: int
    ) -> LostRunner | None:
        """Apply a runner's description and state; return the runner if it is gone."""
        place = Place(view.agent, report.runner_id)
        runner = self.runners.get(place)
        if runner is None:
            if report.state == orders.GONE:
                return None
            runner = RunnerView(place, view, unsynced_since_ms=now_ms)
            self.runners[place] = runner
        former_state = runner.state
        if former_state != report.state:
            self.effects.note("runner_state", runner=report.runner_id, state=report.state)
        runner.apply_report(report)
        if report.state != orders.GONE:
            return None
        planned = former_state == orders.DRAINING
        return self._remove(runner, orders.RUNNER_ENDED if planned else orders.RUNNER_GONE)

    def apply_room(self, view: AgentView, report: orders.RoomReport) -> None:
        """Apply a report of a runner's free room; ignore it if the runner was lost meanwhile."""
        runner = self.runners.get(Place(view.agent, report.runner_id))
        if runner is not None:
            runner.apply_room(report)

    def expire_silent(self, now_ms: int) -> list[LostRunner]:
        """Remove agents and runners silent for so long that no run of this entry is left there."""
        lost = []
        for view in list(self.agents.values()):
            silent_ms = now_ms - view.heard_ms
            if silent_ms > run_bounds.SILENCE_LIMIT_MS:
                del self.agents[view.agent]
                self.effects.note("agent_lost", agent=view.agent, silent_ms=silent_ms)
                lost += [self._remove(one, "agent_lost") for one in self._runners_of(view.agent)]
        for runner in list(self.runners.values()):
            # The agent has joined again without sending its holdings at the runner, which is gone
            # or unreachable.
            if (
                not runner.synced
                and now_ms - runner.unsynced_since_ms > run_bounds.SILENCE_LIMIT_MS
            ):
                lost.append(self._remove(runner, RUNNER_NOT_REPORTED))
        return lost

    def _remove(self, runner: RunnerView, reason: str) -> LostRunner:
        del self.runners[runner.place]
        tasks, incarnation = tuple(runner.out), runner.agent.incarnation
        return LostRunner(runner.place.runner_id, tasks, reason, incarnation)

    def _runners_of(self, agent: str) -> list[RunnerView]:
        return [runner for place, runner in self.runners.items() if place.agent == agent]

    def unassign(self, task: Task) -> None:
        """Remove a task from the runner that it was placed at."""
        runner = self.runners.get(task.place) if task.place is not None else None
        if runner is not None:
            runner.out.discard(task)
