"""Runs a program with one of its mechanisms switched off, to see that the soak notices.

    python tools/planted.py room gapdrum.agent

Each mechanism keeps one of the promises that the soak checks; see docs/PROMISES.md.
"""

import importlib
import sys
from collections.abc import Callable

from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.core import fleet
from gapdrum.core.jobs import Job
from gapdrum.core.models import ZERO_RESOURCES
from gapdrum.core.run_bounds import RunBounds
from gapdrum.core.runner_ledger import RunnerLedger
from gapdrum.core.zone_drains import ZoneDrains
from gapdrum.entry.acceptance import Acceptance, Acceptor
from gapdrum.entry.waiting_callers import WaitingCallers

MECHANISMS: dict[str, Callable[[], None]] = {}
FOREVER_MS = 10**9


def mechanism(switch_off: Callable[[], None]) -> Callable[[], None]:
    """Register a function that switches a mechanism off, under its name."""
    MECHANISMS[switch_off.__name__] = switch_off
    return switch_off


@mechanism
def room() -> None:
    """Take all room for free, at agents."""
    RunnerLedger.free = property(lambda self: self.capacity or ZERO_RESOURCES)


@mechanism
def grants() -> None:
    """Act for entries that are silent, so that a run may go on at two places."""
    Grants.until_ms = lambda _self, _owner, _kept: FOREVER_MS
    Grants.stop_due_ms = Grants.lease_limit_ms = lambda _self, _run: FOREVER_MS


@mechanism
def silence() -> None:
    """Take a run for over, at entries, as soon as its agent is silent."""
    fleet.run_bounds.SILENCE_LIMIT_MS = 300


@mechanism
def expiry() -> None:
    """Take a start without an answer for one that never took effect, at the next look."""
    RunnerLedger._never_started = staticmethod(
        lambda run, _clock_ms: run.phase == "starting" and not run.calling
    )


@mechanism
def leaving() -> None:
    """Let go on what runs for a caller who has left."""
    EntryOrders.stop_nondurable_runs = lambda _self, _owner: None
    WaitingCallers._leave = lambda _self, _job_id, _ended: None
    Grants.stop_due_ms = lambda _self, _run: FOREVER_MS


@mechanism
def refusal() -> None:
    """Tell a job whose insert was not answered in time as not run."""
    accept = Acceptor.accept

    async def guess(self, *arguments) -> Acceptance:
        outcome = await accept(self, *arguments)
        return Acceptance.REFUSED if outcome is Acceptance.UNSETTLED else outcome

    Acceptor.accept = guess


@mechanism
def ends() -> None:
    """Let ends go at the runner before they are stored."""
    note_end = RunnerLedger._record_end

    def forget(self, ended, now_ms):
        noted = note_end(self, ended, now_ms)
        self.ends[ended.number].stored = True
        return noted

    RunnerLedger._record_end = forget


@mechanism
def drains() -> None:
    """Pass over which availability zones are drained."""
    ZoneDrains.is_closed = lambda _self, _zone: False
    fleet.Fleet.open_runners = lambda self: self.runners.values()


@mechanism
def memory() -> None:
    """Count nothing of what an agent finds that has started anew."""
    RunnerLedger.unknown_runs = property(lambda _self: 0, lambda _self, _count: None)
    RunnerLedger.held_runs = lambda _self, _jobs=None: ()


@mechanism
def identity() -> None:
    """Take an event for a waiting caller's run whatever runner it comes from."""
    Job.owns_run = lambda *_arguments: True


@mechanism
def submission() -> None:
    """Take what is told of an earlier submission's run for the present one's."""
    owns_run = Job.owns_run
    Job.owns_run = lambda self, task, attempt, place, *_told: owns_run(
        self, task, attempt, place, self.submission, ""
    )


@mechanism
def resubmission() -> None:
    """Hold what runs for a waiting caller as long as what runs for a stored job."""
    lease_duration_ms = RunBounds.lease_duration_ms
    RunBounds.lease_duration_ms = lambda self, _kept: lease_duration_ms(self, durable=True)


@mechanism
def deadline() -> None:
    """Let callers wait for as long as their connection is open."""
    WaitingCallers._left_s = lambda _self, _caller: None


def main() -> None:
    """Switch the named mechanism off and run the named program."""
    MECHANISMS[sys.argv[1]]()
    importlib.import_module(f"{sys.argv[2]}.program").start()


if __name__ == "__main__":
    main()
