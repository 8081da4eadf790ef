"""Decodes the operators' configuration: queues, upstreams and limits of the HTTP interface."""

import json
from typing import Any

from gapdrum.core.configuration import Configuration, Queue
from gapdrum.core.rows import Row
from gapdrum.platform.queue_shares import apply_shares


def decode_configuration(row: Row, former: Configuration | None = None) -> Configuration:
    """Decode the configuration from its row; raises ValueError.

    Invalid shares of queues add a finding, and the ``former`` shares stay in force.
    """
    try:
        return _decode(json.loads(row.value), former)
    except (LookupError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ValueError(f"the configuration is malformed: {error}") from error


def _decode(document: dict[str, Any], former: Configuration | None) -> Configuration:
    limits = document["limits"]
    routes = document["routes"]
    version = int(document["version"])
    queues = tuple(_decode_queue(route, version) for route in routes)
    shared = apply_shares(queues, routes, former)
    return Configuration(
        version=version,
        queues=shared.queues,
        max_header_bytes=int(limits["max_header_bytes"]),
        max_body_bytes=int(limits["max_body_bytes"]),
        header_timeout_ms=int(limits["header_timeout_ms"]),
        idle_timeout_ms=int(limits["idle_timeout_ms"]),
        findings=shared.findings,
    )


def _decode_queue(route: dict[str, Any], version: int) -> Queue:
    return Queue(
        name=route["name"],
        host=route["host"].lower(),
        prefix=route["prefix"],
        upstream=route["service"],
        priority=int(route.get("priority", 0)),
        # ``attempts`` counts only runs that ended as failed, not starts.
        failure_limit=max(1, int(route.get("attempts", 1))),
        latency_factor=float(route.get("stretch", 1.0)),
        # The latency target is ``stretch`` times the work plus ``target_latency_ms``.
        latency_slack_ms=int(route.get("target_latency_ms", 0)),
        timeout_ms=int(route.get("timeout_ms", 0)),
        version=version,
    )
