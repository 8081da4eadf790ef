"""The settings file that the platform places on each instance."""

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from gapdrum.client_limits import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
from gapdrum.core.endpoints import Endpoint, parse_endpoint

SETTINGS_VARIABLE = "GAPDRUM_SETTINGS"
DEFAULT_RESUBMIT_MS = 1_300  # used if the settings file does not state it


@attrs.frozen
class StoreLimits:
    """Limits of the platform's store, shared by all instances."""

    writes_per_s: float
    reads_per_s: float
    row_bytes: int


@attrs.frozen
class BootSettings:
    """The settings of a process, decoded from its settings file."""

    instance: str
    zone: str
    host: str
    streams_port: int
    store: Endpoint
    store_limits: StoreLimits
    run_lease_ms: int
    resubmit_ms: int
    shutdown_grace_ms: int
    callers: Endpoint | None
    readiness: Endpoint | None
    heartbeat_address: Endpoint | None
    runner: Endpoint | None
    machine_list: Endpoint | None
    seeds: tuple[Endpoint, ...] = ()
    far_factor: float = 1.0
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS


def load_boot_settings(path: str | None = None) -> BootSettings:
    """Read the settings file; raises OSError, or ValueError if a field is missing or invalid."""
    source = Path(path or os.environ[SETTINGS_VARIABLE])
    with source.open("rb") as file:
        document = tomllib.load(file)
    try:
        return decode_boot_settings(document)
    except (LookupError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"{source}: missing or invalid field: {error}") from error


def decode_boot_settings(document: dict[str, Any]) -> BootSettings:
    """Return the settings from the parsed file; raises KeyError or ValueError."""
    listen = document.get("listen", {})
    bounds = document["bounds"]
    platform = document["platform"]
    machine = document.get("limits", {})
    return BootSettings(
        instance=document["node_name"],
        zone=document["zone"],
        host=document["ip"],
        # The range is reserved for traffic between gapdrum's processes; streams use its first port.
        streams_port=int(document["port_range"][0]),
        # ``platform.address`` is the store's.
        store=parse_endpoint(platform["address"]),
        store_limits=StoreLimits(
            float(platform["writes_per_s"]),
            float(platform["reads_per_s"]),
            int(platform["row_bytes"]),
        ),
        # ``hold_max_ms`` is the longest lease that a runner grants its tasks.
        run_lease_ms=int(bounds["hold_max_ms"]),
        # ``retransmit_ms`` is the interval after which a waiting caller resubmits its job.
        resubmit_ms=int(bounds.get("retransmit_ms", DEFAULT_RESUBMIT_MS)),
        # ``grace_s`` is the time from SIGTERM to SIGKILL.
        shutdown_grace_ms=int(bounds["grace_s"] * 1000),
        callers=_optional(listen.get("front")),
        readiness=_optional(listen.get("ready")),
        # ``control`` is where the runner on the same machine sends its heartbeats.
        heartbeat_address=_optional(listen.get("control")),
        # ``app`` is the address of the runner on the same machine.
        runner=_optional(document.get("app")),
        # ``cloud_api`` is the service that lists the runners' machines.
        machine_list=_optional(document.get("cloud_api", {}).get("address")),
        # ``far_x`` is the factor by which a task takes longer on a rack without its data.
        far_factor=max(1.0, float(bounds.get("far_x", 1.0))),
        # ``seeds`` are the ``control`` addresses of some entries, which may be stale or down.
        seeds=tuple(parse_endpoint(text) for text in document.get("seeds", ())),
        # ``limits`` are those of the process's machine.
        memory_mb=int(machine.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_fds=int(machine.get("max_fds", DEFAULT_MAX_FDS)),
    )


def _optional(text: str | None) -> Endpoint | None:
    return parse_endpoint(text) if text else None
