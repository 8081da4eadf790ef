"""When a play of faults on real processes has no verdict: if its machine did not run them."""

import time
from collections.abc import Callable, Collection
from typing import Protocol

import attrs

from gapdrum.stalls import AT_START, NOT_RUN
from gapdrum.timers import MS_PER_S


class LoggedSystem(Protocol):
    """A system whose log lines can be read."""

    def events(self, name: str, event: str) -> list[dict]:
        """Return the log lines of one event of a process."""


@attrs.frozen
class Slack:
    """How long a process of a play may wait to be run, at once and in all until it has started."""

    running_ms: int
    starting_ms: int

    def bears(self, stall: dict) -> bool:
        """Return whether a play has a verdict in spite of a stall, a line ``process_stalled``.

        Only the process's own measure counts, not what followed: one that was busy, or waited in a
        call, looks the same from outside.
        """
        not_run_ms = stall["not_run_ms"] or 0
        if stall["cause"] != NOT_RUN:
            return True
        if stall["phase"] == AT_START:
            return not_run_ms < self.starting_ms
        # Many short waits may add up to as much within one interval, and none of them is late.
        return min(not_run_ms, stall["late_ms"]) < self.running_ms


def was_not_run(
    system: LoggedSystem, processes: Collection[str], since_ms: int, slack: Slack
) -> bool:
    """Return whether the machine did not run one of the processes for longer than a play bears.

    ``since_ms`` is the time of day at which the play began.
    """
    return any(
        line["t_ms"] >= since_ms and not slack.bears(line)
        for name in processes
        for line in system.events(name, "process_stalled")
    )


def play_until_run(
    system: LoggedSystem,
    processes: Collection[str],
    slack: Slack,
    play: Callable[[int], None],
    max_plays: int,
) -> None:
    """Play a fault, and once more if it fails while the machine did not run the processes.

    ``play`` is called with its number, from 1 on, and raises AssertionError if it fails. A failure
    that no process explains, or that has come each time, is raised.
    """
    for number in range(1, max_plays + 1):
        began_ms = round(time.time() * MS_PER_S)
        try:
            play(number)
        except AssertionError:
            if number == max_plays or not was_not_run(system, processes, began_ms, slack):
                raise
        else:
            return
