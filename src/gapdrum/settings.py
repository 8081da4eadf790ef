"""The operators' settings: a tree of nodes, each of which inherits values from its parent.

A node is identified by a path such as ``""`` (the root), ``team/inspect`` or
``upstream/deskbook``.  A node holds only the values that it overrides.
"""

import json
from collections.abc import Callable

import attrs

from gapdrum.exceptions import Finding, InvalidInputError
from gapdrum.structures import count_field, text_field

ROOT = ""
SEPARATOR = "/"
MAX_NODES = 5_000


@attrs.frozen
class Settings:
    """The effective values at one node.

    Field names end with the unit; for the limits of a team, 0 means no limit.
    """

    placement: str = text_field(default="two_choices")
    placement_choices: int = count_field(16, 1, default=4)
    queue_order: str = text_field(default="highest_response_ratio")
    queue_limit_tasks: int = count_field(1_000_000, default=20_000)
    agent_queue_limit_tasks: int = count_field(10_000, default=256)
    team_running_limit_tasks: int = count_field(1_000_000, default=0)
    team_starts_limit_per_s: int = count_field(1_000_000, default=0)
    team_weight: int = count_field(1_000, 1, default=1)
    retry_budget_percent: int = count_field(100, default=10)
    hedge_after_percent: int = count_field(10_000, 100, default=300)
    hedge_budget_percent: int = count_field(100, default=5)
    eject_after_failures: int = count_field(1_000, 1, default=5)
    eject_for_ms: int = count_field(600_000, 100, default=5_000)
    agent_silence_ms: int = count_field(60_000, 500, default=5_000)
    claim_timeout_ms: int = count_field(30_000, 50, default=2_000)
    answer_retention_ms: int = count_field(3_600_000, 1_000, default=300_000)
    store_writes_per_s: int = count_field(10_000, 1, default=300)
    refuse_retry_after_ms: int = count_field(600_000, 10, default=1_000)
    runner_mode: str = text_field(default="open")
    zone_mode: str = text_field(default="open")


OPEN = "open"
DRAINED = "drained"
MODES = (OPEN, DRAINED)
FIELD_NAMES = tuple(field.name for field in attrs.fields(Settings))


@attrs.frozen
class SettingsTree:
    """All overrides by node path, and the version of the tree."""

    version: int = 0
    nodes: dict[str, dict[str, int | str]] = attrs.Factory(dict)

    def effective(self, path: str) -> Settings:
        """Return the effective values at a node, with those inherited from its ancestors."""
        values: dict[str, int | str] = {}
        for ancestor in list_ancestors(path):
            values.update(self.nodes.get(ancestor, {}))
        return Settings(**values)

    def origin(self, path: str, name: str) -> str | None:
        """Return the path of the node that sets a value, or None for the built-in default."""
        for ancestor in reversed(list_ancestors(path)):
            if name in self.nodes.get(ancestor, {}):
                return ancestor
        return None


def list_ancestors(path: str) -> list[str]:
    """Return the paths from the root to the node: ``["", "team", "team/a"]``."""
    parts = path.split(SEPARATOR) if path else []
    return [ROOT] + [SEPARATOR.join(parts[: i + 1]) for i in range(len(parts))]


def check_tree(nodes: object, source: str = "$") -> dict[str, dict[str, int | str]]:
    """Return the nodes if all values are valid; raises InvalidInputError with all findings."""
    if not isinstance(nodes, dict):
        raise InvalidInputError(
            "the settings are not valid", findings=(Finding(source, "expected an object"),)
        )
    findings: list[Finding] = []
    if len(nodes) > MAX_NODES:
        findings.append(Finding(source, f"more than {MAX_NODES} nodes"))
    for path, values in nodes.items():
        findings.extend(_check_node(path, values, f"{source}[{path!r}]"))
    if findings:
        raise InvalidInputError("the settings are not valid", findings=tuple(findings))
    return nodes


def _check_node(path: str, values: object, place: str) -> list[Finding]:
    if not isinstance(values, dict):
        return [Finding(place, "expected an object")]
    findings = []
    if path and any(not part for part in path.split(SEPARATOR)):
        findings.append(Finding(place, "a node path must not have empty parts"))
    for name, value in values.items():
        where = f"{place}.{name}"
        if name not in FIELD_NAMES:
            findings.append(Finding(where, "unknown setting"))
            continue
        findings.extend(_check_value(name, value, where))
    return findings


def _check_value(name: str, value: object, place: str) -> list[Finding]:
    from gapdrum.placement import POLICIES
    from gapdrum.queues import QUEUE_ORDERS

    try:
        Settings(**{name: value})
    except (TypeError, ValueError) as error:
        return [Finding(place, str(error.args[0]))]
    registries = {
        "placement": sorted(POLICIES),
        "queue_order": sorted(QUEUE_ORDERS),
        "runner_mode": MODES,
        "zone_mode": MODES,
    }
    choices = registries.get(name)
    if choices is not None and value not in choices:
        return [Finding(place, f"must be one of {', '.join(choices)}")]
    return []


def dump_tree(tree: SettingsTree) -> str:
    """Return the nodes of the tree as JSON text with sorted keys."""
    return json.dumps(tree.nodes, sort_keys=True)


def load_tree(version: int, document: str) -> SettingsTree:
    """Return the tree that JSON text describes; raises InvalidInputError if it is not valid."""
    try:
        nodes = json.loads(document)
    except ValueError as error:
        raise InvalidInputError(f"not JSON: {error}") from error
    return SettingsTree(version, check_tree(nodes))


class SettingsHolder:
    """The settings tree in force in this process; its version never decreases."""

    def __init__(self) -> None:
        self.tree = SettingsTree()
        self._cache: dict[str, Settings] = {}
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each newer tree has come into force."""
        self._callbacks.append(callback)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.tree.version

    def apply_if_newer(self, tree: SettingsTree) -> bool:
        """Bring a tree into force if it is newer; return whether that happened."""
        if tree.version <= self.tree.version:
            return False
        self.tree = tree
        self._cache.clear()
        for callback in self._callbacks:
            callback()
        return True

    def at(self, path: str) -> Settings:
        """Return the effective values at a node, cached until the tree changes."""
        found = self._cache.get(path)
        if found is None:
            found = self.tree.effective(path)
            self._cache[path] = found
        return found

    @property
    def root(self) -> Settings:
        """Return the values of the root node."""
        return self.at(ROOT)

    def for_team(self, team: str) -> Settings:
        """Return the values in force for a team."""
        return self.at(f"team{SEPARATOR}{team}")

    def for_upstream(self, upstream: str) -> Settings:
        """Return the values in force for an upstream."""
        return self.at(f"upstream{SEPARATOR}{upstream}")

    def is_zone_drained(self, zone: str) -> bool:
        """Return whether an availability zone is drained, so that nothing new starts there."""
        return self.at(f"zone{SEPARATOR}{zone}").zone_mode == DRAINED

    def for_runner(self, agent_id: str) -> Settings:
        """Return the values in force for the runner of an agent."""
        return self.at(f"runner{SEPARATOR}{agent_id}")
