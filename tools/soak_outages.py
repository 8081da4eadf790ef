"""Outages of the soak: streams that fail in series, with what fails beside them."""

import random
import threading
import time
from collections.abc import Callable

from local_system import Process
from proxy import DELAY, PASS, SILENT, Proxy

# A stream is down for less than the silence limit of 2,150 ms, so that owners count on their runs,
# and long enough after a kill for the next incarnation to be seen.
BEFORE_KILL_S = (0.1, 0.4)
AFTER_KILL_S = (0.7, 1.3)
SHORT_S = (0.1, 0.6)
# Streams fall silent as often as they are reset: neither side then knows that they have failed.
SILENT_SHARE = 0.5
# An entry is cut off for longer than its lease lasts, and until another one has ended that.
CUT_OFF_S = (5.0, 6.0)
# Its streams delay all messages meanwhile, so that it claims its runs late.
CLAIM_DELAY_S = (0.1, 0.15)


class Outages:
    """Lets the streams of an entry fail in series while runners, agents or its lease are lost.

    ``kill`` ends a process, and ``start`` starts it again if it has ended.
    """

    def __init__(
        self,
        seed: int,
        streams: list[Proxy],
        stores: list[Proxy],
        kill: Callable[[Process], None],
        start: Callable[[Process], None],
    ) -> None:
        self._random = random.Random(f"outages {seed}")
        self._streams = streams
        self._stores = stores  # of the entries, in their order
        self._kill = kill
        self._start = start

    def inject_one(self, runners: list[Process], agents: list[Process]) -> str:
        """Inject one outage, which takes up to some seconds; return what it was."""
        number = self._random.randrange(len(self._streams))
        kind = self._random.choice(("runner", "agent", "lease"))
        if kind == "lease":
            return self._cut_off(number)
        victims = runners if kind == "runner" else agents
        return self._fail_streams(number, self._random.choice(victims))

    def _fail_streams(self, number: int, victim: Process) -> str:
        """Fail the streams of an entry several times; a runner or an agent fails meanwhile."""
        proxy = self._streams[number]
        times = self._random.randint(1, 3)
        fatal = self._random.randrange(times)
        for turn in range(times):
            self._interrupt(proxy, victim if turn == fatal else None)
            time.sleep(self._random.uniform(0.05, 0.6))
        return f"streams of entry-{number} down {times} times, kill {victim.name}"

    def _interrupt(self, proxy: Proxy, victim: Process | None) -> None:
        """Take the streams of an entry down for a while: by a reset, or silently.

        Streams that fall silent stay open at both ends, and lose what was sent on them.
        """
        proxy.mode = SILENT
        if self._random.random() < SILENT_SHARE:
            self._fail(victim)
            proxy.reset()
        else:
            proxy.reset()
            self._fail(victim)
        proxy.mode = PASS

    def _fail(self, victim: Process | None) -> None:
        """Wait for a while, in which a process is killed and started again if one is given."""
        if victim is None:
            time.sleep(self._random.uniform(*SHORT_S))
        else:
            time.sleep(self._random.uniform(*BEFORE_KILL_S))
            self._kill(victim)
            self._start(victim)
            time.sleep(self._random.uniform(*AFTER_KILL_S))

    def _cut_off(self, number: int) -> str:
        """Cut an entry off from the store until its lease is over; reset its streams then."""
        store = self._stores[number]
        store.mode = SILENT
        store.reset()
        time.sleep(self._random.uniform(*CUT_OFF_S))
        streams = self._streams[number]
        streams.delay_s = self._random.uniform(*CLAIM_DELAY_S)
        streams.mode = DELAY
        store.mode = PASS
        for _ in range(self._random.randint(1, 3)):
            time.sleep(self._random.uniform(0.0, 0.5))
            streams.reset()
        time.sleep(1.0)
        streams.mode = PASS
        return f"entry-{number} cut off from the store, and its streams reset"


def run_outages(
    outages: Outages,
    seconds: float,
    ended: threading.Event,
    record: Callable[[str], None],
    processes: Callable[[], tuple[list[Process], list[Process]]],
) -> None:
    """Inject outages for some time, with pauses between."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s and not ended.is_set():
        record(outages.inject_one(*processes()))
        time.sleep(0.3)
