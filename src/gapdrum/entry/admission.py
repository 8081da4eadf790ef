"""Refuses jobs that would only wait: overload is told at once, with a time to come back."""

from gapdrum.core.configuration import Queue
from gapdrum.core.dispatch import Dispatch
from gapdrum.core.models import Step


class Admission:
    """Judges a new job by what waits already."""

    def __init__(self, dispatch: Dispatch) -> None:
        self._dispatch = dispatch

    def must_wait_ms(self, queue: Queue, steps: tuple[Step, ...]) -> int:
        """Return 0 to admit a job, else after how long it may be handed in again."""
        return 0
