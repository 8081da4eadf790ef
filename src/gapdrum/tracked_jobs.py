"""What an entry keeps of each job that it was asked about."""

import asyncio

import attrs

from gapdrum.claims import VersionedClaim
from gapdrum.scheduler import OpenJob


@attrs.define(eq=False)
class TrackedJob:
    """A job this entry knows: the future of its answer, and what may be asked meanwhile."""

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
        """Let go of the job and its timer: it is answered, or another entry has it."""
        self.open_job = None
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
