"""What the owner's decisions lead to outside of them."""

from typing import Protocol

from gapdrum.core import orders
from gapdrum.core.jobs import Job, Place


class Effects(Protocol):
    """What decisions lead to: messages to agents, and jobs that have come to an end."""

    def send(self, agent: str, message: object) -> bool:
        """Send a message to an agent; return whether its stream took it."""

    def job_ended(self, job: Job) -> None:
        """Store the end of a job."""

    def job_refused(self, job: Job) -> None:
        """Tell the callers of a job that it has not run and will not."""

    def on_unowned_end(self, place: Place, event: orders.RunEvent) -> None:
        """Find out about an end of a job that this entry does not own."""

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a job is known to have ended."""

    def schedule_placement(self) -> None:
        """Call ``place_waiting`` once, after what is being read now has been taken in."""

    def note(self, event: str, **fields: object) -> None:
        """Record a decision."""
