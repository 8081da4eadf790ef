"""The core of an entry: answers submissions and recovers jobs of other entries."""

import asyncio
import json
from collections import OrderedDict

import attrs

from gapdrum import peers, reasons
from gapdrum.admission import AdmissionInputs, Refusal, find_refusal
from gapdrum.claims import (
    MAX_ROSTER,
    Claim,
    Claims,
    Owner,
    VersionedClaim,
    build_claim,
)
from gapdrum.commits import Committer
from gapdrum.conversion import structure, unstructure
from gapdrum.decisions import Decision, DecisionLog
from gapdrum.exceptions import (
    GapdrumError,
    KeyConflictError,
    NotFoundError,
    RefusedError,
    StoreError,
    StreamClosedError,
)
from gapdrum.jobs import OUTSTANDING, AgentKey, Job
from gapdrum.journal import Journal
from gapdrum.leases import KEY_PREFIX, EntryRecord, LeaseTable
from gapdrum.members import Members
from gapdrum.messages import JobHoldings
from gapdrum.metrics import Metrics
from gapdrum.models import Answer, Progress, Submission
from gapdrum.peers import PeerClient
from gapdrum.recovery_coordinator import RecoveryCoordinator
from gapdrum.scheduler import OpenJob, Scheduler, Sender
from gapdrum.settings import SettingsHolder
from gapdrum.task_set import TaskSet
from gapdrum.timers import MS_PER_S, Timers
from gapdrum.tracked_jobs import TrackedJob

MAX_ANSWERED_TASKS = 60_000
CLOSE_TIMEOUT_MS = 500
MIN_RETRY_AFTER_MS = 200


class Dispatcher:
    """Owns the jobs that were submitted here, or taken over from dead owners.

    All coroutines run on the entry's event loop::

        answer = await dispatcher.submit(submission)
    """

    def __init__(
        self,
        owner: Owner,
        zone: str,
        timers: Timers,
        settings: SettingsHolder,
        committer: Committer,
        metrics: Metrics,
        peer_links: PeerClient,
        send: Sender,
    ) -> None:
        self.owner = owner
        self.timers = timers
        self.settings = settings
        self.committer = committer
        self.metrics = metrics
        self.peers = peer_links
        self.members = Members()
        self.leases = LeaseTable()
        self.claims = Claims(committer)
        self.decisions = DecisionLog(owner.entry_id)
        self.journal = Journal(owner, committer, self.decisions, timers)
        self.scheduler = Scheduler(
            zone,
            timers,
            settings,
            self.members,
            self.decisions,
            metrics,
            send,
            self.on_settled,
            self._supersede,
        )
        self.leaving = False
        self._tracked: OrderedDict[str, TrackedJob] = OrderedDict()
        self._answered_tasks = 0
        self.recoveries = RecoveryCoordinator(self, send)
        self._tasks = TaskSet()

    # -- callers ---------------------------------------------------------

    async def submit(self, submission: Submission) -> Answer:
        """Return the answer of a submission, which is run here, followed or recovered."""
        tracked = self._tracked.get(submission.job_id)
        if tracked is None:
            tracked = self._track(submission.job_id, submission.team, submission.body_hash)
            self._run(tracked, self._start(submission, tracked))
        elif tracked.body_hash not in (None, submission.body_hash):
            raise KeyConflictError("the key was used before with another body")
        else:
            self.note(submission.job_id, reasons.ATTACHED)
        return await asyncio.shield(tracked.result)

    async def fetch(self, job_id: str, team: str) -> Answer:
        """Return the answer of a job submitted at any entry."""
        tracked = self._tracked.get(job_id)
        if tracked is None:
            tracked = self._track(job_id, team, None)
            self._run(tracked, self._resolve_claim(job_id, None, tracked))
        return await asyncio.shield(tracked.result)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job wherever it is owned; raises NotFoundError."""
        if self.cancel_here(job_id):
            return
        held = await self._read_claim(job_id)
        if held is None:
            raise NotFoundError("no such job")
        record = self.leases.find_alive(held.claim.owner)
        if record is None or record.owner == self.owner:
            raise NotFoundError("the job's owner is gone; fetch the job to recover it")
        await self.peers.send_request(record, peers.CANCEL, job_id, 0)

    def cancel_here(self, job_id: str) -> bool:
        """Cancel a job if this entry owns it."""
        open_job = self.scheduler.open_jobs.get(job_id)
        if open_job is None:
            tracked = self._tracked.get(job_id)
            return tracked is not None and tracked.result.done()
        self.note(job_id, reasons.CANCELLED, **_count_states(open_job.job))
        self.scheduler.cancel(open_job)
        return True

    def progress(self, job_id: str) -> Progress | None:
        """Return the progress of a job that this entry owns."""
        open_job = self.scheduler.open_jobs.get(job_id)
        return open_job.job.progress() if open_job else None

    async def explain(self, job_id: str) -> list[Decision]:
        """Return the decisions on a job from this entry, its peers and the journal."""
        found = dict.fromkeys(self.decisions.list_for(job_id))
        for record in self.leases.alive():
            if record.owner != self.owner:
                found.update(dict.fromkeys(await self._ask_decisions(record, job_id)))
        held = await self._read_claim(job_id)
        if held is not None and self.leases.find_alive(held.claim.owner) is None:
            claim = held.claim
            batch = await self.journal.find(claim.owner, job_id, claim.created_wall_ms)
            found.update(dict.fromkeys(batch.decisions))
        return sorted(found, key=lambda decision: decision.time_wall_ms)

    # -- agents ----------------------------------------------------------

    def apply_holdings(self, agent: AgentKey, holdings: JobHoldings) -> None:
        """Apply an agent's reply to Fence or Inquire."""
        if self.recoveries.add_holdings(agent, holdings):
            return
        open_job = self.scheduler.open_jobs.get(holdings.job_id)
        if open_job is not None and holdings.epoch > open_job.job.epoch:
            self._supersede(open_job, holdings.epoch)
            return
        view = self.members.find_incarnation(agent)
        for row in holdings.tasks if view is not None else ():
            if self._is_awaited(open_job, agent, row):
                self.scheduler.report(view, holdings.job_id, holdings.epoch, row)

    def agent_gone(self, agent: AgentKey, reason: str) -> None:
        """Mark an agent's incarnation as lost, in its jobs and in recoveries."""
        self.recoveries.mark_missing(agent)
        self.scheduler.mark_agent_lost(agent, reason)

    def evict_answers(self) -> None:
        """Evict answers past their retention, and the oldest if there are too many.

        An evicted answer is read from the journal when it is requested again.
        """
        limit_ms = self.timers.now_ms() - self.settings.root.answer_retention_ms
        for job_id, tracked in list(self._tracked.items()):
            if not tracked.result.done():
                continue
            is_over_limit = self._answered_tasks > MAX_ANSWERED_TASKS
            if tracked.kept_since_ms >= limit_ms and not is_over_limit:
                return
            self._answered_tasks -= tracked.answered_tasks
            del self._tracked[job_id]

    # -- processing of a submission --------------------------------------

    async def _start(self, submission: Submission, tracked: TrackedJob) -> Answer | None:
        """Admit and claim a submission; return its answer if another claim already has one."""
        refusal = find_refusal(submission, self._admission_inputs(submission))
        if refusal is not None:
            return await self._refuse(submission, refusal, tracked)
        roster = self._choose_roster(submission.upstream)
        claim = build_claim(submission, self.owner, roster, self.timers.wall_ms())
        started_ms = self.timers.now_ms()
        timeout_ms = min(self.settings.root.claim_timeout_ms, submission.deadline_ms)
        held = await self._claim(claim, timeout_ms)
        latency_ms = self.timers.now_ms() - started_ms
        self.metrics.claim_latency.observe(latency_ms / MS_PER_S)
        if held.claim != claim:
            return await self.recoveries.resolve_claim(held, submission, tracked)
        self.note(submission.job_id, reasons.CLAIMED, claim_ms=latency_ms, roster=len(roster))
        job = Job(submission, 1, started_ms)
        self.adopt_job(tracked, held, job)
        self.scheduler.open(tracked.open_job, list(job.tasks))
        return None

    async def observe_leases(self) -> None:
        """Read the leases of all entries; raises StoreError."""
        rows = await self.committer.call(self.committer.client.scan, KEY_PREFIX)
        self.leases.observe(rows, self.timers.now_ms())

    async def _resolve_claim(
        self, job_id: str, submission: Submission | None, tracked: TrackedJob
    ) -> Answer | None:
        """Read and resolve the claim of a job, whichever entry owns it."""
        held = await self._read_claim(job_id)
        if held is None:
            raise NotFoundError("no such job")
        return await self.recoveries.resolve_claim(held, submission, tracked)

    def adopt_job(self, tracked: TrackedJob, held: VersionedClaim, job: Job) -> None:
        """Become the owner of a claimed job until it is answered or its deadline passes."""
        tracked.claim = held
        open_job = OpenJob(job, frozenset(held.claim.roster))
        tracked.open_job = open_job
        delay_ms = job.deadline_at_ms - self.timers.now_ms()
        tracked.deadline = self.timers.call_after(delay_ms, lambda: self._on_deadline(open_job))

    def _on_deadline(self, open_job: OpenJob) -> None:
        if open_job.job.job_id not in self.scheduler.open_jobs or open_job.job.is_settled:
            return
        open_job.job.reason = open_job.job.reason or reasons.DEADLINE
        open_job.job.give_up(reasons.DEADLINE)
        self.on_settled(open_job)

    def on_settled(self, open_job: OpenJob) -> None:
        """Answer a job whose tasks are all final.

        Before the answer reports a task as "not run", the claim is closed:
        otherwise an entry that takes the job over could still run the task.
        """
        self.scheduler.close(open_job)
        tracked = self._tracked[open_job.job.job_id]
        if open_job.job.has_not_run_tasks and not tracked.claim.claim.closed:
            self._tasks.spawn(self._close_claim(tracked, open_job))
            return
        self._answer(open_job)

    async def _close_claim(self, tracked: TrackedJob, open_job: OpenJob) -> None:
        """Close the claim, then answer; if closing fails, report "unknown" for "not run"."""
        held = tracked.claim
        closed = attrs.evolve(held.claim, closed=True)
        try:
            if self.committer.is_down:
                raise StoreError("the store is unavailable")
            replaced = await self.claims.replace(held, closed, CLOSE_TIMEOUT_MS)
        except StoreError:
            open_job.job.mark_not_run_unknown(reasons.STORE_UNSETTLED)
            self._answer(open_job)
            return
        if replaced.claim.epoch > closed.epoch:
            self._supersede(open_job, replaced.claim.epoch)
            return
        tracked.claim = replaced
        self._answer(open_job)

    def _answer(self, open_job: OpenJob) -> None:
        job = open_job.job
        answer = job.answer(self.timers.now_ms())
        tracked = self._tracked[job.job_id]
        self.note(job.job_id, reasons.ANSWERED, **_count_states(job))
        self.journal.add_answer(answer)
        self.metrics.jobs.labels(answer.outcome).inc()
        self._resolve(tracked, answer)

    def _supersede(self, open_job: OpenJob, epoch: int) -> None:
        """Stop owning a job whose epoch another entry has raised, and follow that entry."""
        job = open_job.job
        self.note(job.job_id, reasons.SUPERSEDED, own_epoch=job.epoch, epoch=epoch)
        self.scheduler.close(open_job)
        tracked = self._tracked[job.job_id]
        tracked.release()
        # A job recovered for a fetch has no payloads, so this entry must not place it.
        has_payloads = job.submission.body_hash == tracked.claim.claim.body_hash
        submission = job.submission if has_payloads else None
        self._run(tracked, self._resolve_claim(job.job_id, submission, tracked))

    # -- refusals and the store ------------------------------------------

    async def _refuse(
        self, submission: Submission, refusal: Refusal, tracked: TrackedJob
    ) -> Answer | None:
        """Refuse a submission, unless its job has a claim already, which is resolved instead."""
        self.metrics.refusals.labels(refusal.code).inc()
        try:
            held = await self._read_claim(submission.job_id)
        except RefusedError:
            held, proven = None, False
        else:
            proven = held is None
        if held is not None:
            return await self.recoveries.resolve_claim(held, submission, tracked)
        self.note(submission.job_id, refusal.code, not_run=int(proven), **refusal.figures)
        raise RefusedError(
            refusal.code,
            refusal.message,
            not_run=proven,
            http_status=refusal.http_status,
            retry_after_ms=refusal.retry_after_ms,
        )

    async def _claim(self, claim: Claim, timeout_ms: int) -> VersionedClaim:
        if self.committer.is_down:
            self._run_probe()
            raise self.store_refusal(claim.job_id, "the store is unavailable")
        try:
            return await self.claims.insert(claim, timeout_ms)
        except StoreError as error:
            raise self.store_refusal(claim.job_id, error.message) from error

    async def _read_claim(self, job_id: str) -> VersionedClaim | None:
        try:
            return await self.claims.read(job_id)
        except StoreError as error:
            raise self.store_refusal(job_id, error.message) from error

    def store_refusal(self, job_id: str, message: str) -> RefusedError:
        """Build the refusal for a job whose claim could not be read or written.

        It never states "not run": an earlier submission of the key may have run.
        """
        self.metrics.refusals.labels(reasons.STORE_UNAVAILABLE).inc()
        self.note(job_id, reasons.STORE_UNAVAILABLE)
        retry_ms = max(MIN_RETRY_AFTER_MS, self.settings.root.refuse_retry_after_ms)
        return RefusedError(
            reasons.STORE_UNAVAILABLE, message, not_run=False, retry_after_ms=retry_ms
        )

    def _run_probe(self) -> None:
        """Check with one read whether the store is available again."""
        self._tasks.spawn(self._probe_store())

    async def _probe_store(self) -> None:
        try:
            await self.committer.read([f"probe/{self.owner.entry_id}"])
        except StoreError:
            return

    # -- bookkeeping -----------------------------------------------------

    def _track(self, job_id: str, team: str, body_hash: str | None) -> TrackedJob:
        result = asyncio.get_running_loop().create_future()
        result.add_done_callback(lambda future: future.exception())
        tracked = self._tracked[job_id] = TrackedJob(job_id, team, body_hash, result)
        return tracked

    def _run(self, tracked: TrackedJob, steps) -> None:
        self._tasks.spawn(self._drive(tracked, steps))

    async def _drive(self, tracked: TrackedJob, steps) -> None:
        """Run the steps of a job; an error becomes its result, and the key may be reused."""
        try:
            answer = await steps
        except GapdrumError as error:
            self._tracked.pop(tracked.job_id, None)
            if not tracked.result.done():
                tracked.result.set_exception(error)
            return
        except Exception as error:
            self._tracked.pop(tracked.job_id, None)
            if not tracked.result.done():
                tracked.result.set_exception(GapdrumError(f"internal: {error!r}"))
            raise
        if answer is not None:
            self._resolve(tracked, answer)

    def _resolve(self, tracked: TrackedJob, answer: Answer) -> None:
        tracked.kept_since_ms = self.timers.now_ms()
        tracked.answered_tasks = len(answer.tasks)
        self._answered_tasks += tracked.answered_tasks
        tracked.release()
        if not tracked.result.done():
            tracked.result.set_result(answer)

    def _admission_inputs(self, submission: Submission) -> AdmissionInputs:
        upstream = submission.upstream
        return AdmissionInputs(
            self.members.of_upstream(upstream),
            self.members.accepting_work(upstream),
            self.scheduler.queued(upstream),
            self.scheduler.run_times.for_kind(upstream, submission.kind),
            self.settings.for_upstream(upstream),
            self.scheduler.quotas,
            self.leaving,
        )

    def _choose_roster(self, upstream: str) -> list[AgentKey]:
        """Return the agents that may receive tasks of a new job."""
        views = self.members.accepting_work(upstream)
        if len(views) > MAX_ROSTER:
            views = self.scheduler.rng.sample(views, MAX_ROSTER)
        return [view.agent for view in views]

    @staticmethod
    def _is_awaited(open_job: OpenJob | None, agent: AgentKey, row) -> bool:
        if open_job is None or row.index >= len(open_job.job.tasks):
            return False
        attempt = open_job.job.tasks[row.index].find_attempt(agent, row.attempt)
        return attempt is not None and attempt.state == OUTSTANDING

    async def _ask_decisions(self, record: EntryRecord, job_id: str) -> list[Decision]:
        try:
            document = await self.peers.send_request(record, peers.EXPLAIN, job_id, 0)
        except StreamClosedError:
            return []
        return structure(json.loads(document), list[Decision]) if document else []

    def note(self, job_id: str, code: str, subject: str = "", **figures: int) -> None:
        """Record a decision on a job, with its figures."""
        self.decisions.record(
            self.timers.wall_ms(), job_id, code, self.settings.version, subject=subject, **figures
        )


def _count_states(job: Job) -> dict[str, int]:
    progress = job.progress()
    return {
        "done": progress.done,
        "failed": progress.failed,
        "not_run": progress.not_run,
        "unknown": progress.unknown,
    }


@peers.peer_handler(peers.FOLLOW)
async def follow_here(dispatcher: Dispatcher, request: peers.PeerRequest) -> str:
    """Send a peer the answer once there is one; empty if the job is unknown."""
    tracked = dispatcher._tracked.get(request.job_id)
    if tracked is None:
        return ""
    try:
        waited = asyncio.wait_for(asyncio.shield(tracked.result), request.wait_ms / MS_PER_S)
        return json.dumps(unstructure(await waited))
    except (GapdrumError, TimeoutError):
        return ""


@peers.peer_handler(peers.CANCEL)
async def cancel_here(dispatcher: Dispatcher, request: peers.PeerRequest) -> str:
    """Cancel a job owned here on behalf of a peer."""
    return json.dumps(dispatcher.cancel_here(request.job_id))


@peers.peer_handler(peers.EXPLAIN)
async def explain_here(dispatcher: Dispatcher, request: peers.PeerRequest) -> str:
    """Send a peer the decisions that this entry has recorded on a job."""
    return json.dumps(unstructure(dispatcher.decisions.list_for(request.job_id)))
