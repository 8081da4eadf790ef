"""The agents and runners that an entry sees, and what their silence means."""

from collections import Counter
from collections.abc import Collection

import attrs

from gapdrum.core import orders, run_bounds
from gapdrum.core.effects import Effects
from gapdrum.core.jobs import Place, Task
from gapdrum.core.runner_views import AgentView, RunnerView

PERMILLE = 1_000


@attrs.frozen
class LostRunner:
    """A runner that is not seen any more, and the tasks that were placed there."""

    runner_id: str
    tasks: tuple[Task, ...]
    reason: str


@attrs.define
class Fleet:
    """All agents and runners by name. The time is given."""

    effects: Effects
    agents: dict[str, AgentView] = attrs.Factory(dict)
    runners: dict[Place, RunnerView] = attrs.Factory(dict)
    drained_zones: frozenset[str] = frozenset()  # where operators want nothing to be started

    def open_runners(self) -> Collection[RunnerView]:
        """Return the runners outside of drained zones."""
        if not self.drained_zones:
            return self.runners.values()
        closed = self.drained_zones
        return [one for one in self.runners.values() if one.agent.zone not in closed]

    def count_open_agents(self) -> int:
        """Return how many agents outside of drained zones are connected."""
        closed = self.drained_zones
        return sum(one.connected and one.zone not in closed for one in self.agents.values())

    def free_cpu_milli(self) -> int:
        """Return the processor room that is seen as free, in thousandths of a core."""
        return sum(max(0, runner.free.cpu_milli) for runner in self.open_runners())

    def room_cpu_milli(self) -> dict[str, int]:
        """Return all the processor room that is seen, by upstream."""
        room: Counter[str] = Counter()
        for runner in self.open_runners():
            if runner.state in (orders.READY, orders.SUSPECT):
                room[runner.upstream] += runner.capacity.cpu_milli
        return room

    def free_permille(self) -> int:
        """Return the share of the processor room that is seen as free."""
        total = sum(runner.capacity.cpu_milli for runner in self.open_runners())
        return PERMILLE * self.free_cpu_milli() // total if total else 0

    def agent_joined(self, greeting: orders.AgentGreeting, now_ms: int) -> AgentView:
        """Take an agent's new stream."""
        view = self.agents.get(greeting.agent)
        if view is None or view.incarnation != greeting.incarnation:
            view = AgentView(
                greeting.agent, greeting.incarnation, greeting.zone, greeting.clock_ms, now_ms
            )
            self.agents[greeting.agent] = view
        view.connected = True
        view.clock_ms = greeting.clock_ms
        view.heard_ms = now_ms
        for runner in self._runners_of(greeting.agent):
            runner.agent = view
            runner.reset_orders(now_ms)
        self.effects.note("agent_joined", agent=greeting.agent, incarnation=greeting.incarnation)
        return view

    def agent_left(self, view: AgentView) -> None:
        """Note that an agent's stream has ended; what runs there goes on for a while."""
        view.connected = False
        self.effects.note("agent_disconnected", agent=view.agent)

    def agent_departed(self, view: AgentView) -> list[LostRunner]:
        """Note that an agent serves other entries from now on, and holds nothing for this one."""
        self.agents.pop(view.agent, None)
        self.effects.note("agent_departed", agent=view.agent)
        return [self._lose(one, "agent_departed") for one in self._runners_of(view.agent)]

    def apply_report(
        self, view: AgentView, report: orders.RunnerReport, now_ms: int
    ) -> LostRunner | None:
        """Take what a runner is, and its state; return the runner if it is gone."""
        place = Place(view.agent, report.runner_id)
        runner = self.runners.get(place)
        if runner is None:
            if report.state == orders.GONE:
                return None
            runner = RunnerView(place, view, unsynced_ms=now_ms)
            self.runners[place] = runner
        if runner.state != report.state:
            self.effects.note("runner_state", runner=report.runner_id, state=report.state)
        runner.apply_report(report)
        return self._lose(runner, "runner_gone") if report.state == orders.GONE else None

    def apply_room(self, view: AgentView, report: orders.RoomReport) -> None:
        """Take a runner's free room; of one that was lost meanwhile, nothing is known."""
        runner = self.runners.get(Place(view.agent, report.runner_id))
        if runner is not None:
            runner.apply_room(report)

    def expire_silent(self, now_ms: int) -> list[LostRunner]:
        """Give up agents, and runners, that were silent until nothing can run there any more."""
        lost = []
        for view in list(self.agents.values()):
            silent_ms = now_ms - view.heard_ms
            if silent_ms > run_bounds.SILENCE_LIMIT_MS:
                del self.agents[view.agent]
                self.effects.note("agent_lost", agent=view.agent, silent_ms=silent_ms)
                lost += [self._lose(one, "agent_lost") for one in self._runners_of(view.agent)]
        for runner in list(self.runners.values()):
            # Its agent is back and has not told of it: it is gone, or can't be reached.
            if not runner.synced and now_ms - runner.unsynced_ms > run_bounds.SILENCE_LIMIT_MS:
                lost.append(self._lose(runner, "runner_not_told"))
        return lost

    def _lose(self, runner: RunnerView, reason: str) -> LostRunner:
        del self.runners[runner.place]
        return LostRunner(runner.place.runner_id, tuple(runner.out), reason)

    def _runners_of(self, agent: str) -> list[RunnerView]:
        return [runner for place, runner in self.runners.items() if place.agent == agent]

    def unassign(self, task: Task) -> None:
        """Take a task off the runner that it was placed at."""
        runner = self.runners.get(task.place) if task.place is not None else None
        if runner is not None:
            runner.out.discard(task)
