"""The operators' configuration: queues, upstreams and limits of the callers' interface."""

import attrs


@attrs.frozen
class Queue:
    """Where jobs are submitted: a host and a path prefix, and how its jobs are run.

    ``latency_slack_ms`` and ``latency_factor`` make up a job's objective: the factor times its
    longest chain of work, plus the slack.
    """

    name: str
    host: str
    prefix: str
    upstream: str
    priority: int
    failures_allowed: int
    latency_factor: float
    latency_slack_ms: int
    timeout_ms: int


@attrs.frozen
class Configuration:
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...]
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, None if there is none."""
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of that name, None if it is not there any more."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None
