"""Listening sockets; they need nothing of the rest of the program, so they can come first."""

import socket

BACKLOG_CONNECTIONS = 512  # bursts of new connections; a full queue costs the caller seconds


def listen(host: str, port: int) -> socket.socket:
    """Let connections queue at an address; raises OSError if it is taken."""
    return socket.create_server((host, port), backlog=BACKLOG_CONNECTIONS)
