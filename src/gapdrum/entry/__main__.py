"""Runs the entry program: ``python3 -m gapdrum.entry``."""

from gapdrum.platform.boot import load_boot
from gapdrum.transport.listening import listen


def run() -> None:
    """Listen for callers, then load the program and serve them.

    Most of a start is loading code. A caller whose connection is refused meanwhile comes back more
    than a second later; one whose connection waits here is served once the program runs.
    """
    boot = load_boot()
    callers = listen(boot.callers.host, boot.callers.port)
    from gapdrum.entry.program import start

    start(boot, callers)


if __name__ == "__main__":
    run()
