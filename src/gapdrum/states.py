"""State machines that are loaded from JSON files and validated once.

All objects of a kind share one chart; an object stores only the name of its
state.  A table look-up costs a fraction of a microsecond, where a state machine
object per task would cost more than a hundred (see docs/DESIGN.md).
"""

import functools
import json
from importlib import resources

import attrs

from gapdrum.exceptions import ChartError


@attrs.frozen
class Chart:
    """A validated state chart: its initial state, final states and transitions."""

    name: str
    initial: str
    final: frozenset[str]
    transitions: dict[tuple[str, str], str] = attrs.field(repr=False)

    def next_state(self, state: str, event: str) -> str:
        """Return the state after an event; raises ChartError if the chart has none."""
        target = self.transitions.get((state, event))
        if target is None:
            raise ChartError(f"{self.name}: no transition from {state} on {event}")
        return target

    def allows(self, state: str, event: str) -> bool:
        """Return whether the chart has a transition for the event in this state."""
        return (state, event) in self.transitions


@functools.cache
def load_chart(name: str) -> Chart:
    """Return the chart in ``charts/<name>.json``; raises ChartError if it is malformed."""
    source = resources.files("gapdrum").joinpath("charts", f"{name}.json").read_text()
    document = json.loads(source)
    states = document["states"]
    transitions = {
        (state, event): target
        for state, body in states.items()
        for event, target in body.get("on", {}).items()
    }
    unknown = {target for target in transitions.values() if target not in states}
    if unknown or document["initial"] not in states:
        raise ChartError(f"{name}: unknown states {sorted(unknown)}")
    final = frozenset(state for state, body in states.items() if not body.get("on"))
    return Chart(name, document["initial"], final, transitions)
