"""The state that an entry keeps for each job that callers have submitted or queried."""

import asyncio

import attrs

from gapdrum.claims import VersionedClaim
from gapdrum.scheduler import OpenJob


@attrs.define(eq=False)
class TrackedJob:
    """A job that this entry tracks: the future of its answer, and its progress."""

    job_id: str
    team: str
    body_hash: str | None
    result: asyncio.Future
    open_job: OpenJob | None = None
    claim: VersionedClaim | None = None
    kept_since_ms: int = 0
    answered_tasks: int = 0
    deadline: asyncio.TimerHandle | None = None

    def release(self) -> None:
        """Release the job and its timer, once it is answered or owned by another entry."""
        self.open_job = None
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
