"""The operators' configuration: queues, upstreams and limits of the HTTP interface."""

import math

import attrs

from gapdrum.exceptions import Finding
from gapdrum.structures import count_field, text_field

PERMILLE = 1_000


def check_factor(_instance: object, attribute: attrs.Attribute, value: object) -> None:
    """Validate a latency factor; raises ValueError."""
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{attribute.name} must be a number from 0 on")


@attrs.frozen
class Queue:
    """A queue: the host and path prefix of its submissions, and how its jobs are run.

    A job's latency objective is ``latency_factor`` times the work of its longest chain of steps,
    plus ``latency_slack_ms``. A job fails once a task has ``failure_limit`` failed attempts.
    ``upstream`` names the group of runners that its jobs use. The most urgent ``priority`` is 0.
    Queues of one priority share scarce room by their ``weight``;
    ``reserved_permille`` of the room is reserved for the queue while it is scarce, and the queue
    never uses more of a runner than ``ceiling_permille``.
    """

    name: str = text_field()
    host: str = text_field()
    prefix: str = text_field()
    upstream: str = text_field()
    priority: int = count_field()
    failure_limit: int = count_field()
    latency_factor: float = attrs.field(validator=check_factor)
    latency_slack_ms: int = count_field()
    timeout_ms: int = count_field()
    weight: int = count_field(minimum=1, default=1)
    reserved_permille: int = count_field(maximum=PERMILLE, default=0)
    ceiling_permille: int = count_field(maximum=PERMILLE, minimum=1, default=PERMILLE)
    version: int = count_field(default=0)  # of the configuration that the queue is from

    @property
    def has_own_share(self) -> bool:
        """Tell whether the queue has a reservation or a ceiling."""
        return bool(self.reserved_permille) or self.ceiling_permille < PERMILLE

    def objective_ms(self, chain_ms: int) -> int:
        """Return the latency objective of a job from the work of its longest chain."""
        return int(self.latency_factor * chain_ms) + self.latency_slack_ms


@attrs.frozen
class Configuration:
    """One version of the configuration; ``findings`` list its rejected values."""

    version: int = count_field()
    queues: tuple[Queue, ...] = attrs.field()
    max_header_bytes: int = count_field(minimum=1)
    max_body_bytes: int = count_field(minimum=1)
    header_timeout_ms: int = count_field(minimum=1)
    idle_timeout_ms: int = count_field(minimum=1)
    findings: tuple[Finding, ...] = ()
    _by_path: dict[tuple[str, str], Queue] = attrs.field(init=False, eq=False, repr=False)

    @_by_path.default
    def _index_by_path(self) -> dict[tuple[str, str], Queue]:
        return {(queue.host, queue.prefix): queue for queue in self.queues}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, None if there is none."""
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def queue_at(self, host: str, prefix: str) -> Queue | None:
        """Return the queue with exactly this path, whatever its name, None if there is none."""
        return self._by_path.get((host, prefix))

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of that name, None if it does not exist any more."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None
