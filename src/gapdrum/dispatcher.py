"""The core of an entry: takes submissions to their answers and recovers those of others."""

import asyncio
import json
from collections import OrderedDict
from collections.abc import Coroutine

import attrs

from gapdrum import peers, reasons
from gapdrum.admission import Refusal, Situation, find_refusal
from gapdrum.claims import (
    MAX_ROSTER,
    Claim,
    Claims,
    HeldClaim,
    Owner,
    Stance,
    build_claim,
    decide_stance,
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
from gapdrum.jobs import AgentKey, Job
from gapdrum.journal import Journal
from gapdrum.leases import EntryRecord, LeaseTable
from gapdrum.members import SILENT, Members
from gapdrum.messages import Fence, JobHoldings
from gapdrum.metrics import Metrics
from gapdrum.models import Answer, Progress, Submission, TaskSpec
from gapdrum.peers import Peers
from gapdrum.recovery import Recovery
from gapdrum.scheduler import OpenJob, Scheduler, Sender
from gapdrum.settings import SettingsHolder
from gapdrum.timers import MS_PER_S, Timers

MAX_ANSWERS = 50_000
RECOVERY_TIMEOUT_MS = 1_500
FOLLOW_CHECK_MS = 250
CLOSE_TIMEOUT_MS = 500
CLOCK_MARGIN_MS = 5_000
MIN_RETRY_AFTER_MS = 200


@attrs.define(eq=False)
class Tracked:
    """A job this entry knows: the future of its answer, and what may be asked meanwhile."""

    job_id: str
    team: str
    body_hash: str | None
    result: asyncio.Future
    open_job: OpenJob | None = None
    claim: HeldClaim | None = None
    kept_since_ms: int = 0


class Dispatcher:
    """Owns the jobs that were submitted here, or taken over from dead owners.

    Every coroutine runs on the entry's loop::

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
        peer_links: Peers,
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
            self._on_settled,
            self._supersede,
        )
        self.leaving = False
        self._send = send
        self._tracked: OrderedDict[str, Tracked] = OrderedDict()
        self._recoveries: dict[str, tuple[Recovery, asyncio.Event]] = {}
        self._tasks: set[asyncio.Task] = set()

    # -- callers ---------------------------------------------------------

    async def submit(self, submission: Submission) -> Answer:
        """Return the whole answer of a submission, run here, followed or recovered."""
        tracked = self._tracked.get(submission.job_id)
        if tracked is None:
            tracked = self._track(submission.job_id, submission.team, submission.body_hash)
            self._run(tracked, self._start(submission, tracked))
        elif tracked.body_hash not in (None, submission.body_hash):
            raise KeyConflictError("the key was used before with another body")
        else:
            self._note(submission.job_id, reasons.ATTACHED)
        return await asyncio.shield(tracked.result)

    async def fetch(self, job_id: str, team: str) -> Answer:
        """Return the answer of a job submitted at any entry."""
        tracked = self._tracked.get(job_id)
        if tracked is None:
            tracked = self._track(job_id, team, None)
            self._run(tracked, self._resume_fetch(job_id, tracked))
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
        await self.peers.ask(record, peers.CANCEL, job_id, 0)

    def cancel_here(self, job_id: str) -> bool:
        """Cancel a job if this entry owns it."""
        open_job = self.scheduler.open_jobs.get(job_id)
        if open_job is None:
            tracked = self._tracked.get(job_id)
            return tracked is not None and tracked.result.done()
        self._note(job_id, reasons.CANCELLED, **_count_states(open_job.job))
        self.scheduler.cancel(open_job)
        return True

    def progress(self, job_id: str) -> Progress | None:
        """Return the progress of a job that this entry owns."""
        open_job = self.scheduler.open_jobs.get(job_id)
        return open_job.job.progress() if open_job else None

    async def explain(self, job_id: str) -> list[Decision]:
        """Return the decisions on a job: from memory, its owner, peers and the journal."""
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

    def take_holdings(self, agent: AgentKey, holdings: JobHoldings) -> None:
        """Take an agent's reply to Fence or Inquire."""
        waiting = self._recoveries.get(holdings.job_id)
        if waiting is not None and holdings.epoch == waiting[0].job.epoch:
            recovery, done = waiting
            recovery.take(agent, holdings)
            if recovery.is_complete:
                done.set()
            return
        open_job = self.scheduler.open_jobs.get(holdings.job_id)
        if open_job is not None and holdings.epoch > open_job.job.epoch:
            self._supersede(open_job, holdings.epoch)
            return
        view = self.members.find_life(agent)
        for row in holdings.tasks if view is not None else ():
            if self._is_awaited(open_job, agent, row):
                self.scheduler.report(view, holdings.job_id, holdings.epoch, row)

    def agent_gone(self, agent: AgentKey, reason: str) -> None:
        """Give up on an agent's life: its tasks and its part in recoveries."""
        for recovery, done in self._recoveries.values():
            recovery.give_up_on(agent)
            if recovery.is_complete:
                done.set()
        self.scheduler.lose_agent(agent, reason)

    def forget_answers(self) -> None:
        """Drop answers past their retention."""
        limit_ms = self.timers.now_ms() - self.settings.root.answer_retention_ms
        for job_id, tracked in list(self._tracked.items()):
            expired = tracked.kept_since_ms and tracked.kept_since_ms < limit_ms
            if expired or len(self._tracked) > MAX_ANSWERS and tracked.result.done():
                del self._tracked[job_id]
            elif len(self._tracked) <= MAX_ANSWERS and not expired and tracked.result.done():
                break

    # -- the life of a submission ----------------------------------------

    async def _start(self, submission: Submission, tracked: Tracked) -> Answer | None:
        """Admit and claim a submission; return an answer that is found elsewhere."""
        refusal = find_refusal(submission, self._situation(submission))
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
            return await self._meet(held, submission, tracked)
        self._note(submission.job_id, reasons.CLAIMED, claim_ms=latency_ms, roster=len(roster))
        job = Job(submission, 1, started_ms)
        self._own(tracked, held, job)
        self.scheduler.open(tracked.open_job, list(job.tasks))
        return None

    async def _resume_fetch(self, job_id: str, tracked: Tracked) -> Answer | None:
        held = await self._read_claim(job_id)
        if held is None:
            raise NotFoundError("no such job")
        return await self._meet(held, None, tracked)

    async def _meet(
        self, held: HeldClaim, submission: Submission | None, tracked: Tracked
    ) -> Answer | None:
        """Deal with a claim of another owner, or of an earlier time of this one."""
        claim = held.claim
        record = self.leases.find_alive(claim.owner)
        body_hash = submission.body_hash if submission else None
        stance = decide_stance(claim, body_hash, record is not None, self.owner, False)
        if stance is Stance.CONFLICT:
            raise KeyConflictError("the key was used before with another body")
        if stance is Stance.FOLLOW:
            answer = await self._follow(claim, record)
            if answer is not None:
                return answer
        return await self._take_over(held, submission, tracked)

    async def _follow(self, claim: Claim, record: EntryRecord) -> Answer | None:
        """Return the owner's answer; None if its lease lapses or it does not know the job."""
        self._note(claim.job_id, reasons.FOLLOWED, subject=record.entry_id)
        left_ms = max(0, claim.deadline_wall_ms - self.timers.wall_ms()) + CLOCK_MARGIN_MS
        asking = asyncio.ensure_future(self.peers.ask(record, peers.FOLLOW, claim.job_id, left_ms))
        while not asking.done():
            await asyncio.wait((asking,), timeout=FOLLOW_CHECK_MS / MS_PER_S)
            if not asking.done() and self.leases.find_alive(claim.owner) is None:
                asking.cancel()
                return None
        try:
            document = asking.result()
        except StreamClosedError:
            if self.leases.find_alive(claim.owner) is None:
                return None
            raise RefusedError(
                reasons.OWNER_UNREACHABLE,
                "the owner of this job can't be reached now",
                not_run=False,
                retry_after_ms=self.settings.root.refuse_retry_after_ms,
            ) from None
        return structure(json.loads(document), Answer) if document else None

    async def _take_over(
        self, held: HeldClaim, submission: Submission | None, tracked: Tracked
    ) -> Answer | None:
        """Recover a job whose owner is gone: its journalled answer, or its agents' records."""
        claim = held.claim
        batch = await self._find_journal(claim)
        if batch is not None and batch.answers:
            return batch.answers[-1]
        raised = attrs.evolve(claim, owner=self.owner, epoch=claim.epoch + 1)
        replaced = await self._replace(held, raised)
        if replaced.claim != raised:
            return await self._meet(replaced, submission, tracked)
        left_ms = claim.deadline_wall_ms - self.timers.wall_ms()
        self._note(claim.job_id, reasons.TOOK_OVER, epoch=raised.epoch, left_ms=max(0, left_ms))
        may_place = submission is not None and left_ms > 0 and not claim.closed
        job = Job(submission or _blank_submission(claim), raised.epoch, self.timers.now_ms())
        job.deadline_at_ms = self.timers.now_ms() + max(RECOVERY_TIMEOUT_MS, left_ms)
        await self._recover(tracked, replaced, job, may_place)
        return None

    async def _recover(self, tracked: Tracked, held: HeldClaim, job: Job, may_place: bool) -> None:
        """Fence the roster, gather what it holds, and go on with the job."""
        recovery = Recovery(job, held.claim.roster, may_place)
        done = asyncio.Event()
        self._recoveries[job.job_id] = (recovery, done)
        for agent in held.claim.roster:
            self._fence(recovery, agent)
        try:
            if not recovery.is_complete:
                await asyncio.wait_for(done.wait(), RECOVERY_TIMEOUT_MS / MS_PER_S)
        except TimeoutError:
            for agent in list(recovery.awaited):
                recovery.give_up_on(agent)
        finally:
            del self._recoveries[job.job_id]
        waiting = recovery.conclude()
        self._note(
            job.job_id,
            reasons.TAKEN_OVER,
            agents_heard=len(held.claim.roster) - len(recovery.missing),
            agents_missing=len(recovery.missing),
            to_place=len(waiting),
        )
        self._own(tracked, held, job)
        self.scheduler.open(tracked.open_job, waiting)
        if job.is_settled:
            self._on_settled(tracked.open_job)

    def _fence(self, recovery: Recovery, agent: AgentKey) -> None:
        view = self.members.find_life(agent)
        if view is None or view.state == SILENT:
            recovery.give_up_on(agent)
            return
        try:
            self._send(agent, Fence(recovery.job.job_id, recovery.job.epoch))
        except StreamClosedError:
            recovery.give_up_on(agent)

    def _own(self, tracked: Tracked, held: HeldClaim, job: Job) -> None:
        tracked.claim = held
        tracked.open_job = OpenJob(job, frozenset(held.claim.roster))
        delay_ms = job.deadline_at_ms - self.timers.now_ms()
        self.timers.call_after(delay_ms, lambda: self._on_deadline(tracked.open_job))

    def _on_deadline(self, open_job: OpenJob) -> None:
        if open_job.job.job_id not in self.scheduler.open_jobs or open_job.job.is_settled:
            return
        open_job.job.reason = open_job.job.reason or reasons.DEADLINE
        open_job.job.give_up(reasons.DEADLINE)
        self._on_settled(open_job)

    def _on_settled(self, open_job: OpenJob) -> None:
        """Answer a job all of whose tasks have their fate.

        Before it says of any task "not run", the claim is closed: else an
        entry that took the job over could run the task all the same.
        """
        self.scheduler.close(open_job)
        tracked = self._tracked[open_job.job.job_id]
        if open_job.job.has_not_run and not tracked.claim.claim.closed:
            self._spawn(self._close_claim(tracked, open_job))
            return
        self._answer(open_job)

    async def _close_claim(self, tracked: Tracked, open_job: OpenJob) -> None:
        """Close the claim, then answer; if that can't be settled, "not run" is not said."""
        held = tracked.claim
        closed = attrs.evolve(held.claim, closed=True)
        try:
            if self.committer.is_down:
                raise StoreError("the store is unavailable")
            replaced = await self.claims.replace(held, closed, CLOSE_TIMEOUT_MS)
        except StoreError:
            open_job.job.retract_not_run(reasons.STORE_UNSETTLED)
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
        self._note(job.job_id, reasons.ANSWERED, **_count_states(job))
        self.journal.add_answer(answer)
        self.metrics.jobs.labels(answer.outcome).inc()
        self._resolve(tracked, answer)

    def _supersede(self, open_job: OpenJob, epoch: int) -> None:
        """Another entry raised the epoch: stop here and follow it."""
        job = open_job.job
        self._note(job.job_id, reasons.SUPERSEDED, own_epoch=job.epoch, epoch=epoch)
        self.scheduler.close(open_job)
        tracked = self._tracked[job.job_id]
        tracked.open_job = None
        self._run(tracked, self._resume_fetch(job.job_id, tracked))

    # -- refusals and the store ------------------------------------------

    async def _refuse(
        self, submission: Submission, refusal: Refusal, tracked: Tracked
    ) -> Answer | None:
        """Refuse truthfully: a job that was claimed earlier is met and not refused."""
        self.metrics.refusals.labels(refusal.code).inc()
        try:
            held = await self._read_claim(submission.job_id)
        except RefusedError:
            held, proven = None, False
        else:
            proven = held is None
        if held is not None:
            return await self._meet(held, submission, tracked)
        self._note(submission.job_id, refusal.code, not_run=int(proven), **refusal.figures)
        raise RefusedError(
            refusal.code,
            refusal.message,
            not_run=proven,
            http_status=refusal.http_status,
            retry_after_ms=refusal.retry_after_ms,
        )

    async def _claim(self, claim: Claim, timeout_ms: int) -> HeldClaim:
        if self.committer.is_down:
            self._run_probe()
            raise self._store_refusal(claim.job_id, "the store is unavailable")
        try:
            return await self.claims.insert(claim, timeout_ms)
        except StoreError as error:
            raise self._store_refusal(claim.job_id, error.message) from error

    async def _replace(self, held: HeldClaim, claim: Claim) -> HeldClaim:
        try:
            return await self.claims.replace(held, claim, self.settings.root.claim_timeout_ms)
        except StoreError as error:
            raise self._store_refusal(claim.job_id, error.message) from error

    async def _read_claim(self, job_id: str) -> HeldClaim | None:
        try:
            return await self.claims.read(job_id)
        except StoreError as error:
            raise self._store_refusal(job_id, error.message) from error

    async def _find_journal(self, claim: Claim):
        try:
            return await self.journal.find(claim.owner, claim.job_id, claim.created_wall_ms)
        except StoreError:
            return None

    def _store_refusal(self, job_id: str, message: str) -> RefusedError:
        """Build the refusal for a job whose claim can't be settled.

        It never says "not run": an earlier submission of the key may have run.
        """
        self.metrics.refusals.labels(reasons.STORE_UNAVAILABLE).inc()
        self._note(job_id, reasons.STORE_UNAVAILABLE)
        retry_ms = max(MIN_RETRY_AFTER_MS, self.settings.root.refuse_retry_after_ms)
        return RefusedError(
            reasons.STORE_UNAVAILABLE, message, not_run=False, retry_after_ms=retry_ms
        )

    def _run_probe(self) -> None:
        """Let one read find out whether the store is back."""
        self._spawn(self._probe_store())

    async def _probe_store(self) -> None:
        try:
            await self.committer.read([f"probe/{self.owner.entry_id}"])
        except StoreError:
            return

    # -- bookkeeping -----------------------------------------------------

    def _track(self, job_id: str, team: str, body_hash: str | None) -> Tracked:
        result = asyncio.get_running_loop().create_future()
        result.add_done_callback(lambda future: future.exception())
        tracked = self._tracked[job_id] = Tracked(job_id, team, body_hash, result)
        return tracked

    def _run(self, tracked: Tracked, steps) -> None:
        self._spawn(self._drive(tracked, steps))

    def _spawn(self, steps: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drive(self, tracked: Tracked, steps) -> None:
        """Run the steps of a job; an error is its result, and the key stays free."""
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

    def _resolve(self, tracked: Tracked, answer: Answer) -> None:
        tracked.kept_since_ms = self.timers.now_ms()
        if not tracked.result.done():
            tracked.result.set_result(answer)

    def _situation(self, submission: Submission) -> Situation:
        upstream = submission.upstream
        return Situation(
            self.members.of_upstream(upstream),
            self.members.taking_work(upstream),
            self.scheduler.queued(upstream),
            self.scheduler.run_times.of(upstream, submission.kind),
            self.settings.for_upstream(upstream),
            self.scheduler.quotas,
            self.leaving,
        )

    def _choose_roster(self, upstream: str) -> list[AgentKey]:
        """Return the agents that may be given tasks of a new job."""
        views = self.members.taking_work(upstream)
        if len(views) > MAX_ROSTER:
            views = self.scheduler.rng.sample(views, MAX_ROSTER)
        return [view.agent for view in views]

    @staticmethod
    def _is_awaited(open_job: OpenJob | None, agent: AgentKey, row) -> bool:
        if open_job is None or row.index >= len(open_job.job.tasks):
            return False
        attempt = open_job.job.tasks[row.index].find_attempt(agent, row.attempt)
        return attempt is not None and attempt.state == "out"

    async def _ask_decisions(self, record: EntryRecord, job_id: str) -> list[Decision]:
        try:
            document = await self.peers.ask(record, peers.EXPLAIN, job_id, 0)
        except StreamClosedError:
            return []
        return structure(json.loads(document), list[Decision]) if document else []

    def _note(self, job_id: str, code: str, subject: str = "", **figures: int) -> None:
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


def _blank_submission(claim: Claim) -> Submission:
    """Return a submission without payloads, to answer for a job that nobody sent again."""
    return Submission(
        key=claim.key,
        team=claim.team,
        upstream=claim.upstream,
        deadline_ms=max(10, claim.deadline_wall_ms - claim.created_wall_ms),
        tasks=[TaskSpec("")] * claim.task_count,
        starts_allowed=claim.starts_allowed,
    )


@peers.peer_handler(peers.FOLLOW)
async def follow_here(dispatcher: Dispatcher, request: peers.PeerRequest) -> str:
    """Answer a peer with the whole answer once there is one; empty if the job is unknown."""
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
    """Give a peer the decisions that this entry remembers on a job."""
    return json.dumps(unstructure(dispatcher.decisions.list_for(request.job_id)))
