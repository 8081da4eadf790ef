"""Coordinates recovery: follows a live owner's job, or takes over a dead owner's.

The rules are in ``claims`` and ``recovery``; this module applies them with
peers, agents and the store.
"""

import asyncio
import json

import attrs

from gapdrum import peers, reasons
from gapdrum.claims import Claim, ClaimAction, VersionedClaim, decide_claim_action
from gapdrum.conversion import structure
from gapdrum.exceptions import KeyConflictError, RefusedError, StoreError, StreamClosedError
from gapdrum.jobs import AgentKey, Job
from gapdrum.leases import EntryRecord
from gapdrum.members import SILENT
from gapdrum.messages import Fence, JobHoldings
from gapdrum.models import Answer, Submission, TaskSpec
from gapdrum.recovery import Recovery
from gapdrum.scheduler import Sender
from gapdrum.timers import MS_PER_S
from gapdrum.tracked_jobs import TrackedJob

RECOVERY_TIMEOUT_MS = 1_500
FOLLOW_CHECK_MS = 250
CLOCK_MARGIN_MS = 5_000


class RecoveryCoordinator:
    """Runs the recoveries of an entry, and resolves claims that other owners hold.

    ``core`` is the dispatcher, whose claims, leases, scheduler and peers it uses.
    """

    def __init__(self, core, send: Sender) -> None:
        self._core = core
        self._send = send
        self._running: dict[str, tuple[Recovery, asyncio.Event]] = {}

    def add_holdings(self, agent: AgentKey, holdings: JobHoldings) -> bool:
        """Add an agent's holdings to the recovery that waits for them; return whether one did."""
        waiting = self._running.get(holdings.job_id)
        if waiting is None or holdings.epoch != waiting[0].job.epoch:
            return False
        recovery, done = waiting
        recovery.add_holdings(agent, holdings)
        if recovery.is_complete:
            done.set()
        return True

    def mark_missing(self, agent: AgentKey) -> None:
        """Mark an agent's incarnation as missing in all recoveries."""
        for recovery, done in self._running.values():
            recovery.mark_missing(agent)
            if recovery.is_complete:
                done.set()

    async def resolve_claim(
        self, held: VersionedClaim, submission: Submission | None, tracked: TrackedJob
    ) -> Answer | None:
        """Resolve a claim of another owner, or one of this entry whose job it no longer knows."""
        claim = held.claim
        record = await self._find_owner(claim)
        body_hash = submission.body_hash if submission else None
        action = decide_claim_action(claim, body_hash, record is not None, self._core.owner, False)
        if action is ClaimAction.CONFLICT:
            raise KeyConflictError("the key was used before with another body")
        if action is ClaimAction.FOLLOW:
            answer = await self._follow(claim, record)
            if answer is not None:
                return answer
        return await self._take_over(held, submission, tracked)

    async def _find_owner(self, claim: Claim) -> EntryRecord | None:
        """Return the owner's lease if it is valid; leases are read again, as it may be new."""
        record = self._core.leases.find_alive(claim.owner)
        if record is None:
            try:
                await self._core.observe_leases()
            except StoreError as error:
                raise self._core.store_refusal(claim.job_id, error.message) from error
            record = self._core.leases.find_alive(claim.owner)
        return record

    async def _follow(self, claim: Claim, record: EntryRecord) -> Answer | None:
        """Return the owner's answer, None if its lease lapses or it does not know the job."""
        self._core.note(claim.job_id, reasons.FOLLOWED, subject=record.entry_id)
        left_ms = max(0, claim.deadline_wall_ms - self._core.timers.wall_ms()) + CLOCK_MARGIN_MS
        asking = asyncio.ensure_future(
            self._core.peers.send_request(record, peers.FOLLOW, claim.job_id, left_ms)
        )
        while not asking.done():
            await asyncio.wait((asking,), timeout=FOLLOW_CHECK_MS / MS_PER_S)
            if not asking.done() and self._core.leases.find_alive(claim.owner) is None:
                asking.cancel()
                return None
        try:
            document = asking.result()
        except StreamClosedError:
            if self._core.leases.find_alive(claim.owner) is None:
                return None
            raise RefusedError(
                reasons.OWNER_UNREACHABLE,
                "the owner of this job can't be reached now",
                not_run=False,
                retry_after_ms=self._core.settings.root.refuse_retry_after_ms,
            ) from None
        return structure(json.loads(document), Answer) if document else None

    async def _take_over(
        self, held: VersionedClaim, submission: Submission | None, tracked: TrackedJob
    ) -> Answer | None:
        """Recover a job whose owner is lost, from its journalled answer or its agents' records."""
        claim = held.claim
        batch = await self._find_journal(claim)
        if batch is not None and batch.answers:
            return batch.answers[-1]
        raised = attrs.evolve(claim, owner=self._core.owner, epoch=claim.epoch + 1)
        replaced = await self._replace(held, raised)
        if replaced.claim != raised:
            return await self.resolve_claim(replaced, submission, tracked)
        left_ms = claim.deadline_wall_ms - self._core.timers.wall_ms()
        self._core.note(
            claim.job_id, reasons.TOOK_OVER, epoch=raised.epoch, left_ms=max(0, left_ms)
        )
        may_place = submission is not None and left_ms > 0 and not claim.closed
        job = Job(
            submission or _build_without_payloads(claim), raised.epoch, self._core.timers.now_ms()
        )
        job.deadline_at_ms = self._core.timers.now_ms() + max(RECOVERY_TIMEOUT_MS, left_ms)
        await self._recover(tracked, replaced, job, may_place)
        return None

    async def _recover(
        self, tracked: TrackedJob, held: VersionedClaim, job: Job, may_place: bool
    ) -> None:
        """Fence the roster, collect its holdings, and continue the job."""
        recovery = Recovery(job, held.claim.roster, may_place)
        done = asyncio.Event()
        self._running[job.job_id] = (recovery, done)
        for agent in held.claim.roster:
            self._fence(recovery, agent)
        try:
            if not recovery.is_complete:
                await asyncio.wait_for(done.wait(), RECOVERY_TIMEOUT_MS / MS_PER_S)
        except TimeoutError:
            for agent in list(recovery.awaited):
                recovery.mark_missing(agent)
        finally:
            del self._running[job.job_id]
        waiting = recovery.finalize_tasks()
        self._core.note(
            job.job_id,
            reasons.TAKEN_OVER,
            agents_heard=len(held.claim.roster) - len(recovery.missing),
            agents_missing=len(recovery.missing),
            to_place=len(waiting),
        )
        self._core.adopt_job(tracked, held, job)
        self._core.scheduler.resume(tracked.open_job, waiting)
        if job.is_settled:
            self._core.on_settled(tracked.open_job)

    def _fence(self, recovery: Recovery, agent: AgentKey) -> None:
        view = self._core.members.find_incarnation(agent)
        if view is None or view.state == SILENT:
            recovery.mark_missing(agent)
            return
        try:
            self._send(agent, Fence(recovery.job.job_id, recovery.job.epoch))
        except StreamClosedError:
            recovery.mark_missing(agent)

    async def _replace(self, held: VersionedClaim, claim: Claim) -> VersionedClaim:
        try:
            return await self._core.claims.replace(
                held, claim, self._core.settings.root.claim_timeout_ms
            )
        except StoreError as error:
            raise self._core.store_refusal(claim.job_id, error.message) from error

    async def _find_journal(self, claim: Claim):
        try:
            return await self._core.journal.find(claim.owner, claim.job_id, claim.created_wall_ms)
        except StoreError:
            return None


def _build_without_payloads(claim: Claim) -> Submission:
    """Return a submission without payloads, for a job that was not resubmitted."""
    return Submission(
        key=claim.key,
        team=claim.team,
        upstream=claim.upstream,
        deadline_ms=max(10, claim.deadline_wall_ms - claim.created_wall_ms),
        tasks=[TaskSpec("")] * claim.task_count,
        starts_allowed=claim.starts_allowed,
    )
