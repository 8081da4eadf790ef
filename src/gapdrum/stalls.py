"""Reports when this process was late, and whether it was not run, was busy, or waited in a call."""

import os
import resource
from collections.abc import Callable

import attrs

from gapdrum.event_log import EventLog
from gapdrum.timers import MS_PER_S, Timers

CHECK_INTERVAL_MS = 250
# The run bounds allow for an order that is so much older than a heartbeat's interval, as its entry
# or agent was late (MAX_ORDER_AGE_MS).
STALL_MS = 100
SCHEDULER_FILE = "/proc/self/schedstat"  # "RAN_NS WAITED_NS SLICES", of the main thread
NS_PER_MS = 1_000_000

# Causes, as they appear in the log.
NOT_RUN = "not_run"  # the machine did not run it, though it was ready
BUSY = "busy"
BLOCKED = "blocked"  # it waited in a call, or was stopped by a signal
SUSPENDED = "suspended"  # the whole machine was

# Phases.
AT_START = "start"
RUNNING = "running"


@attrs.frozen
class Usage:
    """What this process has used since its start; ``not_run_ms`` is None if not known.

    ``not_run_ms`` is the time for which it was ready but not run. ``waits`` counts how often it
    waited by itself, ``preemptions`` how often it was interrupted.
    """

    cpu_ms: int = 0
    preemptions: int = 0
    waits: int = 0
    not_run_ms: int | None = 0

    def since(self, earlier: "Usage") -> "Usage":
        """Return what was used since an earlier reading."""
        known = self.not_run_ms is not None and earlier.not_run_ms is not None
        return Usage(
            self.cpu_ms - earlier.cpu_ms,
            self.preemptions - earlier.preemptions,
            self.waits - earlier.waits,
            self.not_run_ms - earlier.not_run_ms if known else None,
        )


class UsageReader:
    """Reads the usage of this process; a kernel without scheduler statistics tells no waiting."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._file: int | None = None
        try:
            self._file = os.open(SCHEDULER_FILE, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as error:
            self._give_up(error)

    def read(self) -> Usage:
        """Return the present usage."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_ms = int((usage.ru_utime + usage.ru_stime) * MS_PER_S)
        return Usage(cpu_ms, usage.ru_nivcsw, usage.ru_nvcsw, self._read_not_run_ms())

    def _read_not_run_ms(self) -> int | None:
        if self._file is None:
            return None
        try:
            return int(os.pread(self._file, 128, 0).split()[1]) // NS_PER_MS
        except (OSError, ValueError, IndexError) as error:
            self._give_up(error)
            return None

    def _give_up(self, error: Exception) -> None:
        """Log that the statistics can't be read, and read them no more."""
        self._file = None
        self._log.write("stall_causes_unknown", reason=str(error))


class StallMonitor:
    """Logs each interval in which this process came late or was not run for ``STALL_MS``.

    ::

        monitor = StallMonitor(timers, log)
        monitor.check_start()
        timers.subscribe(CHECK_INTERVAL_MS, monitor.check)
    """

    def __init__(
        self, timers: Timers, log: EventLog, read: Callable[[], Usage] | None = None
    ) -> None:
        self._timers = timers
        self._log = log
        self._read = read or UsageReader(log).read
        self._usage = Usage()
        self._checked_ms = 0
        self._suspended_ms = 0
        log.measures.counters["stalls"] = lambda: self.stalls
        self.stalls = 0

    def check_start(self) -> None:
        """Report if the process was not run for long before it was ready."""
        self._usage = self._read()
        self._checked_ms = self._timers.now_ms()
        self._suspended_ms = self._checked_ms - self._timers.monotonic_ms()
        if (self._usage.not_run_ms or 0) >= STALL_MS:
            self._report(AT_START, self._usage.not_run_ms, self._usage, NOT_RUN)

    def check(self) -> None:
        """Report if this check is late, or the process was not run meanwhile."""
        now_ms = self._timers.now_ms()
        suspended_ms = now_ms - self._timers.monotonic_ms()
        usage = self._read()
        used = usage.since(self._usage)
        late_ms = max(0, now_ms - self._checked_ms - CHECK_INTERVAL_MS)
        if max(late_ms, used.not_run_ms or 0) >= STALL_MS:
            cause = _find_cause(late_ms, used, suspended_ms - self._suspended_ms)
            self._report(RUNNING, late_ms, used, cause)
        self._usage = usage
        self._checked_ms = now_ms
        self._suspended_ms = suspended_ms

    def _report(self, phase: str, late_ms: int, used: Usage, cause: str) -> None:
        self.stalls += 1
        self._log.write(
            "process_stalled",
            phase=phase,
            late_ms=late_ms,
            cpu_ms=used.cpu_ms,
            not_run_ms=used.not_run_ms,
            preemptions=used.preemptions,
            waits=used.waits,
            cause=cause,
        )


def _find_cause(late_ms: int, used: Usage, suspended_ms: int) -> str:
    """Return what at least half of the time was spent on."""
    half_ms = late_ms / 2
    if late_ms and suspended_ms >= half_ms:
        return SUSPENDED
    if used.not_run_ms is not None and used.not_run_ms >= max(half_ms, used.cpu_ms):
        return NOT_RUN
    return BUSY if used.cpu_ms >= half_ms else BLOCKED
