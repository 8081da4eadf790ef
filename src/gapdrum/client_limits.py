"""How much a process may hold for its clients, derived from its memory and descriptors."""

import resource

import attrs

MB = 1024 * 1024
# Limits of a machine whose settings state none.
DEFAULT_MEMORY_MB = 168
DEFAULT_MAX_FDS = 4_096

# Shares of the memory: received bytes and unread answers, open tasks, and connections.
BUFFER_SHARE = 1 / 8
TASK_SHARE = 1 / 3
CONNECTION_SHARE = 1 / 4
# Memory of one connection: its objects, and received bytes that wait in the kernel.
CONNECTION_BYTES = 32 * 1024
TASK_BYTES = 1_536  # of one open task, with its attempts
# Several requests at every limit fit into the buffers of any machine.
MIN_LARGEST_REQUESTS = 4

FILE_DESCRIPTORS = 200  # reserved for files
# Shares of the sockets; the others belong to known agents, and to the process's own calls.
CALLER_SHARE = 1 / 2
STRANGER_SHARE = 1 / 8
OTHER_SHARE = 1 / 16
MAX_OTHER_CONNECTIONS = 64
MIN_CONNECTIONS = 8


@attrs.frozen
class ClientLimits:
    """Limits on what all clients of a process together make it hold.

    ``buffer_bytes`` counts requests that are not answered yet and answers that are not read;
    ``caller_connections`` is for the address of callers, ``other_connections`` for each other
    HTTP address, and ``stranger_streams`` for streams whose peer has not introduced itself.
    """

    buffer_bytes: int
    caller_connections: int
    other_connections: int
    stranger_streams: int
    open_tasks: int


def derive_client_limits(
    memory_mb: int = DEFAULT_MEMORY_MB,
    max_fds: int = DEFAULT_MAX_FDS,
    largest_request_bytes: int = 0,
    largest_job_tasks: int = 0,
) -> ClientLimits:
    """Return the limits of a process on a machine with so much memory and so many descriptors.

    One job of the most tasks, and a few requests of the most bytes, are within any limits::

        derive_client_limits(memory_mb=300, max_fds=4_100)
    """
    memory_bytes = memory_mb * MB
    sockets = max(0, min(max_fds, _find_descriptor_limit(max_fds)) - FILE_DESCRIPTORS)
    by_memory = int(memory_bytes * CONNECTION_SHARE) // CONNECTION_BYTES
    return ClientLimits(
        buffer_bytes=max(
            int(memory_bytes * BUFFER_SHARE), MIN_LARGEST_REQUESTS * largest_request_bytes
        ),
        caller_connections=max(MIN_CONNECTIONS, min(by_memory, int(sockets * CALLER_SHARE))),
        other_connections=max(
            MIN_CONNECTIONS, min(MAX_OTHER_CONNECTIONS, int(sockets * OTHER_SHARE))
        ),
        stranger_streams=max(MIN_CONNECTIONS, int(sockets * STRANGER_SHARE)),
        open_tasks=max(int(memory_bytes * TASK_SHARE) // TASK_BYTES, largest_job_tasks),
    )


def _find_descriptor_limit(default: int) -> int:
    """Return how many descriptors the kernel grants this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return default if limit == resource.RLIM_INFINITY else limit
