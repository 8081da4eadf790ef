"""Claim rows: one row per job that states which entry owns it, and under which epoch.

The rules do no I/O; ``Claims`` reads and writes the rows through group commit.
"""

import enum

import attrs

from gapdrum.commits import Committer
from gapdrum.conversion import structure, unstructure
from gapdrum.jobs import AgentKey
from gapdrum.models import Submission
from gapdrum.store import ABSENT, ConditionFailedError, Row, TableWrite

KEY_PREFIX = "claim/"
CLAIM_TTL_MS = 24 * 3600 * 1000
MAX_ROSTER = 64


@attrs.frozen
class Owner:
    """One incarnation of an entry."""

    entry_id: str
    incarnation: str


@attrs.frozen
class Claim:
    """The claim row of a job.

    ``roster`` lists all agents that may hold its tasks.  A ``closed`` job is
    never placed again, so an answer of "not run" stays true.
    """

    job_id: str
    team: str
    key: str
    upstream: str
    body_hash: str
    task_count: int
    starts_allowed: int
    owner: Owner
    epoch: int
    created_wall_ms: int
    deadline_wall_ms: int
    roster: list[AgentKey]
    closed: bool = False


class ClaimAction(enum.Enum):
    """What an entry must do about an existing claim."""

    CONFLICT = "conflict"
    FOLLOW = "follow"
    TAKE_OVER = "take_over"


def decide_claim_action(
    claim: Claim, body_hash: str | None, owner_alive: bool, me: Owner, known_here: bool
) -> ClaimAction:
    """Return the action for a claim; ``body_hash`` is None for a fetch.

    A claim of this incarnation whose job it no longer knows is taken over like
    a dead owner's, since the job may have been evicted after its retention.
    """
    if body_hash is not None and claim.body_hash != body_hash:
        return ClaimAction.CONFLICT
    if claim.owner == me and not known_here:
        return ClaimAction.TAKE_OVER
    return ClaimAction.FOLLOW if owner_alive else ClaimAction.TAKE_OVER


def build_claim(
    submission: Submission, owner: Owner, roster: list[AgentKey], wall_ms: int
) -> Claim:
    """Return the first claim of a submission."""
    return Claim(
        submission.job_id,
        submission.team,
        submission.key,
        submission.upstream,
        submission.body_hash,
        len(submission.tasks),
        submission.starts_allowed,
        owner,
        1,
        wall_ms,
        wall_ms + submission.deadline_ms,
        roster,
    )


@attrs.frozen
class VersionedClaim:
    """A claim and the version of its row, which the next compare-and-set expects."""

    claim: Claim
    version: int


class Claims:
    """Reads and writes claim rows."""

    def __init__(self, committer: Committer) -> None:
        self._committer = committer

    async def insert(self, claim: Claim, timeout_ms: int) -> VersionedClaim:
        """Insert a claim if the job has none; return it, or the existing one.

        Raises StoreError if it was certainly not inserted and
        StoreOutcomeUnknownError if the outcome is not known.
        """
        return await self._write(claim, ABSENT, timeout_ms)

    async def replace(self, held: VersionedClaim, claim: Claim, timeout_ms: int) -> VersionedClaim:
        """Replace a claim by compare-and-set; return the claim in force after it."""
        return await self._write(claim, held.version, timeout_ms)

    async def read(self, job_id: str) -> VersionedClaim | None:
        """Return the claim of a job, None if there is none; raises StoreError."""
        key = KEY_PREFIX + job_id
        row = (await self._committer.read([key]))[key]
        return _decode_claim(row) if row is not None else None

    async def _write(self, claim: Claim, expected_version: int, timeout_ms: int) -> VersionedClaim:
        key = KEY_PREFIX + claim.job_id
        write = TableWrite(key, expected_version, unstructure(claim), CLAIM_TTL_MS)
        try:
            await self._committer.commit(write, timeout_ms)
        except ConditionFailedError as error:
            row = error.rows[key]
            if row is None:
                return await self.insert(claim, timeout_ms)
            return _decode_claim(row)
        return VersionedClaim(claim, expected_version + 1)


def _decode_claim(row: Row) -> VersionedClaim:
    return VersionedClaim(structure(row.value, Claim), row.version)
