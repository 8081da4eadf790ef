"""The runners that an entry knows from its agents' streams."""

from collections.abc import Callable

import attrs

from gapdrum.jobs import AgentKey
from gapdrum.messages import AgentHello, RunnerLoad
from gapdrum.states import load_chart

CHART = load_chart("runner")
READY = "ready"
PROBATION = "probation"
EJECTED = "ejected"
SILENT = "silent"
LEAVING = "leaving"
ACCEPTING_STATES = frozenset({READY, PROBATION})


@attrs.define(eq=False)
class RunnerView:
    """A runner in the view of this entry.

    ``reported_free`` is the agent's last statement; ``sent`` and ``received``
    count the orders sent since the stream began and those the agent has received.
    """

    agent: AgentKey
    zone: str
    worker: str
    upstream: str = ""
    state: str = CHART.initial
    slots: int = 0
    accelerators: int = 0
    reported_free: int = 0
    sent: int = 0
    received: int = 0
    outstanding: int = 0
    failures_in_row: int = 0
    settings_version: int = 0
    agent_time_ms: int = 0
    heard_at_ms: int = 0
    ejected_at_ms: int = 0
    drained: bool = False

    @property
    def free_slots(self) -> int:
        """Return the reported free slots less the orders that the report does not include."""
        return self.reported_free - (self.sent - self.received)

    @property
    def accepts_work(self) -> bool:
        """Tell whether new tasks may be placed here."""
        if self.drained:
            return False
        if self.state == PROBATION:
            return self.outstanding == 0
        return self.state in ACCEPTING_STATES

    def apply(self, event: str) -> bool:
        """Apply an event of the state chart; return whether the state changed."""
        before = self.state
        self.state = CHART.next_state(before, event)
        return self.state != before

    def update_load(self, free: int, received: int, time_ms: int, now_ms: int) -> None:
        """Update load and clock from a message of the agent."""
        self.reported_free = free
        self.received = max(self.received, received)
        self.update_clock(time_ms, now_ms)

    def update_clock(self, agent_time_ms: int, now_ms: int) -> None:
        """Update the clock from a message of the agent."""
        self.agent_time_ms = agent_time_ms
        self.heard_at_ms = now_ms

    def agent_clock_ms(self, now_ms: int) -> int:
        """Return a lower bound of the agent's clock now.

        The agent read its clock before this entry received the message, so a
        limit computed from this bound can only lapse too early.
        """
        return self.agent_time_ms + (now_ms - self.heard_at_ms)


class Members:
    """All runners by agent, where each incarnation of an agent has its own view."""

    def __init__(self) -> None:
        self._views: dict[str, RunnerView] = {}
        self._by_upstream: dict[str, list[RunnerView]] = {}
        self._any_drained = False
        self._is_drained: Callable[[str, str], bool] = lambda _agent_id, _zone: False

    def apply_drains(self, is_drained: Callable[[str, str], bool]) -> None:
        """Apply the operators' settings on which runners, by agent and zone, get no new work."""
        self._is_drained = is_drained
        for view in self._views.values():
            view.drained = is_drained(view.agent.agent_id, view.zone)
        self._any_drained = any(view.drained for view in self._views.values())

    def __iter__(self):
        return iter(self._views.values())

    def find(self, agent_id: str) -> RunnerView | None:
        """Return the view of an agent's current or last incarnation."""
        return self._views.get(agent_id)

    def find_incarnation(self, agent: AgentKey) -> RunnerView | None:
        """Return the view of exactly this incarnation of an agent."""
        view = self._views.get(agent.agent_id)
        return view if view is not None and view.agent == agent else None

    def join(self, hello: AgentHello, now_ms: int) -> tuple[RunnerView, RunnerView | None]:
        """Apply an agent's hello; return its view and that of a former incarnation, if any."""
        agent = AgentKey(hello.agent_id, hello.incarnation)
        known = self._views.get(hello.agent_id)
        if known is not None and known.agent == agent:
            if known.state == SILENT:
                known.apply("return")
            known.update_clock(hello.agent_time_ms, now_ms)
            known.sent = known.received = 0
            return known, None
        view = RunnerView(agent, hello.zone, hello.worker)
        view.update_clock(hello.agent_time_ms, now_ms)
        view.drained = self._is_drained(hello.agent_id, hello.zone)
        self._any_drained = self._any_drained or view.drained
        self._views[hello.agent_id] = view
        if known is not None:
            self._drop_from_upstream(known)
        return view, known

    def update_load(self, view: RunnerView, load: RunnerLoad, now_ms: int) -> bool:
        """Apply a runner's load message; return whether its state changed."""
        if load.upstream != view.upstream:
            self._drop_from_upstream(view)
            view.upstream = load.upstream
            self._by_upstream.setdefault(load.upstream, []).append(view)
        view.slots = load.slots
        view.accelerators = load.accelerators
        view.settings_version = load.settings_version
        view.update_load(load.free_slots, load.received, load.agent_time_ms, now_ms)
        events = {"ready": "ready", "leaving": "leave", "absent": "absent"}
        event = events.get(load.state, "absent")
        return CHART.allows(view.state, event) and view.apply(event)

    def forget(self, view: RunnerView) -> None:
        """Remove a runner that will not return."""
        if self._views.get(view.agent.agent_id) is view:
            del self._views[view.agent.agent_id]
        self._drop_from_upstream(view)

    def of_upstream(self, upstream: str) -> list[RunnerView]:
        """Return all runners that announced this upstream, in any state."""
        return self._by_upstream.get(upstream, [])

    def accepting_work(self, upstream: str, accelerators: int = 0) -> list[RunnerView]:
        """Return the runners that accept new work."""
        return [
            view
            for view in self.of_upstream(upstream)
            if view.accepts_work and view.accelerators >= accelerators
        ]

    def drained_zones(self, upstream: str) -> list[str]:
        """Return the availability zones in which runners of an upstream are drained."""
        if not self._any_drained:
            return []  # fast path, as every order calls this
        return sorted({view.zone for view in self.of_upstream(upstream) if view.drained})

    def _drop_from_upstream(self, view: RunnerView) -> None:
        views = self._by_upstream.get(view.upstream, [])
        if view in views:
            views.remove(view)
