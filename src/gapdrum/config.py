"""The start-up configuration of a process, read from a file of JSON with comments.

It holds the identity, availability zone, addresses and credentials of an
instance.  The settings that operators change at run time are in ``settings``.
"""

from pathlib import Path
from typing import TypeVar

import attrs
import json5
from json5.loader import ModelLoader
from json5.model import JSONArray, JSONObject

from gapdrum.conversion import structure
from gapdrum.exceptions import Finding, InvalidInputError
from gapdrum.structures import count_field, text_field

T = TypeVar("T")
MAX_PORT = 65_535


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str = text_field()
    port: int = count_field(MAX_PORT, 0)


@attrs.frozen
class Tls:
    """Paths of the certificate and the private key of the HTTP listener."""

    certificate: str = text_field(4_096)
    key: str = text_field(4_096)


@attrs.frozen
class Credential:
    """A token, its holder's name and what the holder may do.

    ``role`` is ``caller``, ``operator``, ``agent``, ``peer`` or ``runner``;
    ``teams`` limits the teams of callers and operators, ``subtrees`` the
    settings nodes that an operator may change; an empty list means no limit.
    """

    name: str = text_field()
    token: str = text_field(repr=False)
    role: str = attrs.field(
        validator=attrs.validators.in_(("caller", "operator", "agent", "peer", "runner"))
    )
    teams: list[str] = attrs.Factory(list)
    subtrees: list[str] = attrs.Factory(list)


@attrs.frozen
class EntryConfig:
    """The configuration of an entry process."""

    entry_id: str = text_field()
    zone: str = text_field()
    http: Address
    streams: Address
    store_url: str = text_field()
    stream_token: str = text_field(repr=False)
    credentials: list[Credential]
    tls: Tls | None = None
    http_threads: int = count_field(1_000, 4, default=96)
    memory_mb: int = count_field(1_048_576, 128, default=512)
    max_fds: int = count_field(1_048_576, 256, default=4_096)
    drain_timeout_ms: int = count_field(600_000, default=20_000)
    log_json: bool = False


@attrs.frozen
class AgentConfig:
    """The configuration of an agent process."""

    agent_id: str = text_field()
    zone: str = text_field()
    worker: str = text_field()
    http: Address
    store_url: str = text_field()
    stream_token: str = text_field(repr=False)
    credentials: list[Credential]
    entries_limit: int = count_field(64, 1, default=4)
    memory_mb: int = count_field(1_048_576, 128, default=512)
    max_fds: int = count_field(1_048_576, 256, default=4_096)
    drain_timeout_ms: int = count_field(600_000, default=20_000)
    log_json: bool = False


def load_config(path: Path, target: type[T]) -> T:
    """Return the file's content as a ``target``; raises InvalidInputError with all findings.

    The place of a finding has the form ``file:line path``: ``entry.json:7 $.http.port``.
    """
    try:
        source = path.read_text()
    except OSError as error:
        raise InvalidInputError(f"can't read {path}: {error.strerror}") from error
    try:
        data = json5.loads(source)
        lines = _map_lines(json5.loads(source, loader=ModelLoader()).value, "$")
    except Exception as error:  # json5 raises several exception types for invalid input
        finding = Finding(str(path), f"not JSON with comments: {error}")
        raise InvalidInputError("the file is not valid", findings=(finding,)) from error
    try:
        return structure(data, target)
    except InvalidInputError as error:
        findings = tuple(_locate(finding, path, lines) for finding in error.findings)
        raise InvalidInputError("the file is not valid", findings=findings) from error


def _locate(finding: Finding, path: Path, lines: dict[str, int]) -> Finding:
    place = finding.place
    while place and place not in lines:
        place = place[: max(place.rfind("."), place.rfind("["), 0)]
    line = lines.get(place, 1)
    return Finding(f"{path}:{line} {finding.place}", finding.message)


def _map_lines(node: object, place: str) -> dict[str, int]:
    """Return the line number of each path in a parsed document."""
    lines = {place: getattr(node, "lineno", 1) or 1}
    if isinstance(node, JSONObject):
        for key, value in zip(node.keys, node.values, strict=True):
            name = getattr(key, "characters", None) or getattr(key, "name", "")
            lines |= _map_lines(value, f"{place}.{name}")
            lines[f"{place}.{name}"] = key.lineno
    elif isinstance(node, JSONArray):
        for position, value in enumerate(node.values):
            lines |= _map_lines(value, f"{place}[{position}]")
    return lines
