"""The HTTP resources of an entry for operators: settings, runners, teams and open jobs."""

import asyncio

import attrs

from gapdrum.conversion import structure, unstructure
from gapdrum.credentials import OPERATOR, Credentials, require_subtree
from gapdrum.http import Request, Response, Router, run_on_loop
from gapdrum.settings import FIELD_NAMES
from gapdrum.settings_store import ChangeRequest

CALL_TIMEOUT_S = 30
MAX_WAIT_MS = 60_000
CHECK_INTERVAL_S = 0.1
MS_PER_S = 1000


@attrs.frozen
class EffectiveValue:
    """A setting in force at a node, and the node that sets it (None: built-in default)."""

    name: str
    value: int | str
    origin: str | None


@attrs.frozen
class RunnerRow:
    """The state and load of a runner, as known to this entry."""

    agent_id: str
    upstream: str
    zone: str
    worker: str
    state: str
    drained: bool
    slots: int
    free_slots: int
    outstanding: int
    failures_in_row: int
    settings_version: int


@attrs.frozen
class EntryRow:
    """An entry's lease row: the settings versions in force at the entry and at its agents."""

    entry_id: str
    zone: str
    settings_version: int
    agents_settings_version: int


class AdminResources:
    """Handlers that only operators may call."""

    def __init__(self, loop: asyncio.AbstractEventLoop, entry, credentials: Credentials) -> None:
        self._loop = loop
        self._entry = entry
        self._credentials = credentials

    def add_routes(self, router: Router) -> None:
        """Register the handlers."""
        router.route("GET", "/v1/config")(self.show_tree)
        router.route("GET", "/v1/config/history")(self.show_history)
        router.route("GET", "/v1/config/status")(self.show_status)
        router.route("POST", "/v1/config/changes")(self.change)
        router.route("GET", "/v1/config/effective/{path*}")(self.show_effective)
        router.route("GET", "/v1/runners")(self.list_runners)
        router.route("GET", "/v1/runners/{agent}/decisions")(self.explain_runner)
        router.route("GET", "/v1/teams")(self.list_teams)
        router.route("GET", "/v1/open-jobs")(self.list_jobs)
        router.route("GET", "/v1/status")(self.show_summary)

    def show_tree(self, request: Request) -> Response:
        """Return the settings tree in force at this entry, with its version."""
        self._credentials.require(request.token, OPERATOR)
        return Response(unstructure(self._entry.settings.tree))

    def show_effective(self, request: Request) -> Response:
        """Return the values in force at a node, each with the node that sets it."""
        self._credentials.require(request.token, OPERATOR)
        path = request.parts["path"]
        tree = self._entry.settings.tree
        settings = tree.effective(path)
        values = [
            EffectiveValue(name, getattr(settings, name), tree.origin(path, name))
            for name in FIELD_NAMES
        ]
        rows = [unstructure(value) for value in values]
        return Response({"path": path, "version": tree.version, "values": rows})

    def change(self, request: Request) -> Response:
        """Apply changes, or refuse them with all findings; a dry run only checks them."""
        operator = self._credentials.require(request.token, OPERATOR)
        change_request = structure(request.json(), ChangeRequest)
        for value in change_request.changes:
            require_subtree(operator, value.path)
        record = self._call(self._entry.settings_store.change(change_request, operator.name))
        return Response(unstructure(record))

    def show_history(self, request: Request) -> Response:
        """Return the audit trail, oldest first."""
        self._credentials.require(request.token, OPERATOR)
        records = self._call(self._entry.settings_store.history())
        return Response({"changes": [unstructure(record) for record in records]})

    def show_status(self, request: Request) -> Response:
        """Return whether a version is in force everywhere, after waiting for up to ``wait_ms``."""
        self._credentials.require(request.token, OPERATOR)
        version = request.int_option("version", self._entry.settings.version, 2**31)
        wait_ms = request.int_option("wait_ms", 0, MAX_WAIT_MS)
        rows, in_force = self._call(self._wait_in_force(version, wait_ms), MAX_WAIT_MS / MS_PER_S)
        entries = [unstructure(row) for row in rows]
        return Response({"version": version, "in_force": in_force, "entries": entries})

    def list_runners(self, request: Request) -> Response:
        """Return all runners known to this entry."""
        self._credentials.require(request.token, OPERATOR)
        rows = self._call(self._collect_runners())
        return Response({"runners": [unstructure(row) for row in rows]})

    def explain_runner(self, request: Request) -> Response:
        """Return the decisions that this entry made about a runner."""
        self._credentials.require(request.token, OPERATOR)
        coroutine = self._entry.dispatcher.explain(f"runner:{request.parts['agent']}")
        return Response({"decisions": [unstructure(row) for row in self._call(coroutine)]})

    def list_teams(self, request: Request) -> Response:
        """Return the running tasks and this entry's share of the limits, by team."""
        self._credentials.require(request.token, OPERATOR)
        return Response({"teams": self._call(self._collect_teams())})

    def list_jobs(self, request: Request) -> Response:
        """Return the progress of all jobs that this entry owns and has not answered."""
        self._credentials.require(request.token, OPERATOR)
        return Response({"jobs": self._call(self._collect_jobs())})

    def show_summary(self, request: Request) -> Response:
        """Return a summary of this entry's state."""
        self._credentials.require(request.token, OPERATOR)
        return Response(self._call(self._summarize()))

    async def _wait_in_force(self, version: int, wait_ms: int) -> tuple[list[EntryRow], bool]:
        deadline_ms = self._entry.timers.now_ms() + wait_ms
        while True:
            rows = [
                EntryRow(
                    record.entry_id,
                    record.zone,
                    record.settings_version,
                    record.agents_settings_version,
                )
                for record in self._entry.dispatcher.leases.alive()
            ]
            lowest = min(
                (min(row.settings_version, row.agents_settings_version) for row in rows),
                default=0,
            )
            if lowest >= version or self._entry.timers.now_ms() >= deadline_ms:
                return rows, lowest >= version
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _collect_runners(self) -> list[RunnerRow]:
        return [
            RunnerRow(
                view.agent.agent_id,
                view.upstream,
                view.zone,
                view.worker,
                view.state,
                view.drained,
                view.slots,
                view.free_slots,
                view.outstanding,
                view.failures_in_row,
                view.settings_version,
            )
            for view in self._entry.dispatcher.members
        ]

    async def _collect_teams(self) -> list[dict]:
        quotas = self._entry.dispatcher.scheduler.quotas
        return [
            {"team": team, "running": running, "share": round(quotas.share_of(team), 3)}
            for team, running in sorted(quotas.running().items())
        ]

    async def _collect_jobs(self) -> list[dict]:
        open_jobs = self._entry.dispatcher.scheduler.open_jobs.values()
        return [unstructure(open_job.job.progress()) for open_job in open_jobs]

    async def _summarize(self) -> dict:
        entry = self._entry
        scheduler = entry.dispatcher.scheduler
        return {
            "entry_id": entry.owner.entry_id,
            "incarnation": entry.owner.incarnation,
            "state": entry.state,
            "settings_version": entry.settings.version,
            "store": "down" if entry.committer.is_down else "up",
            "open_jobs": len(scheduler.open_jobs),
            "runners": sum(1 for _ in entry.dispatcher.members),
            "entries": len(entry.dispatcher.leases.alive()),
        }

    def _call(self, coroutine, timeout_s: float = CALL_TIMEOUT_S):
        return run_on_loop(self._loop, coroutine, timeout_s)
