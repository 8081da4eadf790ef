"""Claims: the one row per job that says which entry owns it, and under which epoch.

The rules are pure; ``Claims`` carries them out through group commit.
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
    """One life of an entry process."""

    entry_id: str
    incarnation: str


@attrs.frozen
class Claim:
    """The claim row of a job.

    ``roster`` names all agents that may hold its tasks.  A ``closed`` job is
    never placed again, so that "not run" stays true once it was answered.
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
    """What an entry is to do about a claim that it finds."""

    CONFLICT = "conflict"
    FOLLOW = "follow"
    TAKE_OVER = "take_over"


def decide_claim_action(
    claim: Claim, body_hash: str | None, owner_alive: bool, me: Owner, known_here: bool
) -> ClaimAction:
    """Return the stance towards a claim; ``body_hash`` is None for a mere fetch.

    A claim of this very process that it does not know any more is taken over
    like a dead owner's, since it may have been forgotten after its retention.
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
    """A claim with the version of its row, for the next compare-and-set."""

    claim: Claim
    version: int


class Claims:
    """Reads and writes claim rows."""

    def __init__(self, committer: Committer) -> None:
        self._committer = committer

    async def insert(self, claim: Claim, timeout_ms: int) -> VersionedClaim:
        """Insert a claim if there is none; return it, or the one that is there.

        Raises StoreError if it certainly was not inserted and
        StoreOutcomeUnknownError if that is not settled.
        """
        return await self._write(claim, ABSENT, timeout_ms)

    async def replace(self, held: VersionedClaim, claim: Claim, timeout_ms: int) -> VersionedClaim:
        """Replace a claim by compare-and-set; return the claim that stands after it."""
        return await self._write(claim, held.version, timeout_ms)

    async def read(self, job_id: str) -> VersionedClaim | None:
        """Return the claim of a job, None if there is none; raises StoreError."""
        key = KEY_PREFIX + job_id
        row = (await self._committer.read([key]))[key]
        return _hold(row) if row is not None else None

    async def _write(self, claim: Claim, expected_version: int, timeout_ms: int) -> VersionedClaim:
        key = KEY_PREFIX + claim.job_id
        write = TableWrite(key, expected_version, unstructure(claim), CLAIM_TTL_MS)
        try:
            await self._committer.commit(write, timeout_ms)
        except ConditionFailedError as error:
            row = error.rows[key]
            if row is None:
                return await self.insert(claim, timeout_ms)
            return _hold(row)
        return VersionedClaim(claim, expected_version + 1)


def _hold(row: Row) -> VersionedClaim:
    return VersionedClaim(structure(row.value, Claim), row.version)
