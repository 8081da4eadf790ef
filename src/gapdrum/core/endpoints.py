"""Addresses of processes."""

import attrs


@attrs.frozen
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint in ``host:port``; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"expected host:port, got {text!r}")
    return Endpoint(host, int(port))
