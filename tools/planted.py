"""Runs a program with one mechanism disabled, to check that the soak detects it.

    python tools/planted.py room gapdrum.agent

Each mechanism is needed for one of the promises that the soak checks; see docs/PROMISES.md.
"""

import importlib
import sys
from collections.abc import Callable

from gapdrum.agent.entry_links import EntryLinks
from gapdrum.agent.entry_orders import EntryOrders
from gapdrum.agent.grants import Grants
from gapdrum.agent.outcome_reporter import OutcomeReporter
from gapdrum.core import fleet
from gapdrum.core.jobs import Job
from gapdrum.core.models import ZERO_RESOURCES
from gapdrum.core.run_bounds import RunBounds
from gapdrum.core.runner_ledger import RunnerLedger
from gapdrum.core.zone_drains import ZoneDrains
from gapdrum.entry.acceptance import Acceptance, Acceptor
from gapdrum.entry.ended_jobs import EndedJobs, KnownEnd
from gapdrum.entry.ownership import OwnershipChecker
from gapdrum.entry.waiting_callers import WaitingCallers

MECHANISMS: dict[str, Callable[[], None]] = {}
FOREVER_MS = 10**9


def mechanism(switch_off: Callable[[], None]) -> Callable[[], None]:
    """Register a function that disables a mechanism; its name is the program's argument."""
    MECHANISMS[switch_off.__name__] = switch_off
    return switch_off


@mechanism
def room() -> None:
    """Make agents treat the whole capacity of a runner as free."""
    RunnerLedger.free = property(lambda self: self.capacity or ZERO_RESOURCES)


@mechanism
def grants() -> None:
    """Let agents act for unresponsive entries without a limit, so that a task may run twice."""
    Grants.until_ms = lambda _self, _owner, _durable: FOREVER_MS
    Grants.stop_due_ms = Grants.lease_limit_ms = lambda _self, _run: FOREVER_MS


@mechanism
def silence() -> None:
    """Let entries assume that a run has ended when its agent is silent for 300 ms."""
    fleet.run_bounds.SILENCE_LIMIT_MS = 300


@mechanism
def expiry() -> None:
    """Treat an unanswered start as one that had no effect, at the next poll."""
    RunnerLedger._never_started = staticmethod(
        lambda run, _clock_ms: run.phase == "starting" and not run.calling
    )


@mechanism
def leaving() -> None:
    """Let runs continue whose caller has left."""
    EntryOrders.stop_nondurable_runs = lambda _self, _owner: None
    WaitingCallers._leave = lambda _self, _job_id, _ended: None
    Grants.stop_due_ms = lambda _self, _run: FOREVER_MS


@mechanism
def refusal() -> None:
    """Refuse a job as not run when the insert of its row was not answered in time."""
    accept = Acceptor.accept

    async def refuse_unsettled(self, *arguments) -> Acceptance:
        outcome = await accept(self, *arguments)
        return Acceptance.REFUSED if outcome is Acceptance.UNSETTLED else outcome

    Acceptor.accept = refuse_unsettled


@mechanism
def ends() -> None:
    """Acknowledge ends at the runner before they are stored."""
    record_end = RunnerLedger._record_end

    def record_as_stored(self, ended, now_ms):
        recorded = record_end(self, ended, now_ms)
        self.ends[ended.number].acknowledgeable = True
        return recorded

    RunnerLedger._record_end = record_as_stored


@mechanism
def drains() -> None:
    """Ignore which availability zones are drained."""
    ZoneDrains.is_closed = lambda _self, _zone: False
    fleet.Fleet.open_runners = lambda self: self.runners.values()


@mechanism
def memory() -> None:
    """Let a restarted agent ignore the runs that it finds at its runner."""
    RunnerLedger.unknown_runs = property(lambda _self: 0, lambda _self, _count: None)
    RunnerLedger.held_runs = lambda _self, _jobs=None: ()


@mechanism
def identity() -> None:
    """Accept events of a run from any runner."""
    Job.owns_run = lambda *_arguments: True


@mechanism
def submission() -> None:
    """Apply events of an earlier submission's runs to the current submission."""
    owns_run = Job.owns_run
    Job.owns_run = lambda self, task, attempt, place, *_reported: owns_run(
        self, task, attempt, place, self.submission, ""
    )


@mechanism
def outcomes() -> None:
    """Let agents forget the outcomes of runs as soon as they have seen them."""
    OutcomeReporter.record = lambda *_arguments: []


@mechanism
def departures() -> None:
    """Let agents forget a runner that is gone, with the outcomes of its runs."""
    outcomes_of = OutcomeReporter.take_unreceived

    def take_present(self, owner):
        gone = self.list_departed()
        found = outcomes_of(self, owner)
        return {runner: rows for runner, rows in found.items() if runner not in gone}

    OutcomeReporter.take_unreceived = take_present
    OutcomeReporter.send_departed = lambda *_arguments: None


@mechanism
def names() -> None:
    """Let agents ignore the former names of an entry that has lost its lease."""
    greeted = EntryLinks._greeted
    EntryLinks._greeted = lambda self, link, owner, _former=(): greeted(self, link, owner)


@mechanism
def resubmission() -> None:
    """Give runs of non-durable jobs the lease duration of durable ones."""
    lease_bound_ms = RunBounds.lease_bound_ms
    RunBounds.lease_bound_ms = lambda self, _durable: lease_bound_ms(self, durable=True)


@mechanism
def deadline() -> None:
    """Let callers wait until they close their connection, past their deadline."""
    WaitingCallers._left_s = lambda _self, _caller: None


@mechanism
def succession() -> None:
    """Let agents ignore that an owner has lost its lease, and count any end of an ended job."""
    EntryLinks.record_ended_lease = lambda *_arguments, **_source: None
    KnownEnd.counted_attempt = lambda *_arguments: 0


@mechanism
def cancellation() -> None:
    """Notify nobody of a cancellation whose answer was lost, and let owners check nothing."""
    EndedJobs.apply = EndedJobs.remember
    OwnershipChecker.check_due = no_check


async def no_check(_self) -> None:
    """Check nothing."""


def main() -> None:
    """Disable the named mechanism and run the named program."""
    MECHANISMS[sys.argv[1]]()
    importlib.import_module(f"{sys.argv[2]}.program").start()


if __name__ == "__main__":
    main()
