"""The port through which decisions of an entry take effect."""

from typing import Protocol

from gapdrum.core import orders
from gapdrum.core.jobs import Job, Place


class Effects(Protocol):
    """What dispatch decisions cause: messages to agents, ends of jobs, log lines."""

    def send(self, agent: str, message: object) -> bool:
        """Send a message to an agent; return whether its stream took it."""

    def job_ended(self, job: Job) -> None:
        """Store the final state of a job."""

    def job_refused(self, job: Job) -> None:
        """Answer the callers of a job that it has not run and will not run."""

    def on_unowned_end(self, place: Place, event: orders.RunEvent) -> None:
        """Acknowledge a run's end that no job of this entry needs, if its job is no longer open.

        The job is not owned here, or the end belongs to an earlier submission of it.
        """

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a job is known to have ended."""

    def schedule_placement(self) -> None:
        """Call ``place_waiting`` once, after the messages read so far are applied."""

    def note(self, event: str, **fields: object) -> None:
        """Log a decision."""
