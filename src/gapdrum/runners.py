"""The agent's view of its runner: the last announcement, and the calls that start tasks."""

from http.client import HTTPException

import attrs
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from gapdrum import reasons
from gapdrum.config import Address
from gapdrum.messages import (
    MAX_PAYLOAD_LENGTH,
    STATE_ABSENT,
    STATE_LEAVING,
    STATE_READY,
)
from gapdrum.structures import count_field, text_field

ANNOUNCE_TIMEOUT_MS = 3_000
MAX_SLOTS = 512
CONNECT_TIMEOUT_S = 1
RUN_TIMEOUT_S = 600
MAX_ERROR_LENGTH = 200


@attrs.frozen
class Announcement:
    """A runner's periodic announcement of its upstream, capacity and address."""

    upstream: str = text_field()
    slots: int = count_field(MAX_SLOTS, 1)
    connections: int = count_field(4_096, 1)
    address: Address
    accelerators: int = count_field(64, default=0)


@attrs.define
class Runner:
    """The runner beside this agent, as last announced."""

    announcement: Announcement | None = None
    heard_at_ms: int = 0
    leaving: bool = False

    @property
    def slots(self) -> int:
        """Return how many tasks the runner can run at once."""
        if self.announcement is None:
            return 0
        return min(self.announcement.slots, self.announcement.connections)

    def announce(self, announcement: Announcement, now_ms: int) -> None:
        """Apply an announcement.

        A leaving runner may go on announcing until it ends.  Its leaving flag is
        reset only if announcements had stopped, or if this one differs from the last.
        """
        had_stopped = now_ms - self.heard_at_ms > ANNOUNCE_TIMEOUT_MS
        if had_stopped or announcement != self.announcement:
            self.leaving = False
        self.announcement = announcement
        self.heard_at_ms = now_ms

    def state(self, now_ms: int) -> str:
        """Return the state that the agent reports to the entries."""
        if self.announcement is None or now_ms - self.heard_at_ms > ANNOUNCE_TIMEOUT_MS:
            return STATE_ABSENT
        return STATE_LEAVING if self.leaving else STATE_READY


@attrs.frozen
class RunOutcome:
    """How a call to the runner ended: an event of the chart ``held_task`` and its reason."""

    event: str
    reason: str
    result: str


class RunnerClient:
    """Blocking HTTP calls to the runner; each has its own thread and connection."""

    @staticmethod
    def run(address: Address, job_id: str, index: int, payload: str) -> RunOutcome:
        """Start one task and wait for its end.

        Only a failure to connect proves that the task did not start; any other
        failed call may have reached the runner.  Connections are not reused, as
        the runner may close an idle one while a request is being sent on it.
        """
        connection = HTTPConnection(address.host, address.port, timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except (HTTPError, OSError):
            return RunOutcome("not_sent", reasons.CONNECTION_REFUSED, "")
        try:
            return _call(connection, job_id, index, payload)
        except (HTTPError, HTTPException, OSError) as error:
            return RunOutcome("fail", reasons.CONNECTION_LOST, repr(error)[:MAX_ERROR_LENGTH])
        finally:
            connection.close()


def _call(connection: HTTPConnection, job_id: str, index: int, payload: str) -> RunOutcome:
    connection.timeout = RUN_TIMEOUT_S
    headers = {"Connection": "close", "Gapdrum-Job": job_id, "Gapdrum-Task": str(index)}
    connection.request("POST", "/run", body=payload.encode(), headers=headers)
    response = connection.getresponse()
    text = response.data.decode(errors="replace")[:MAX_PAYLOAD_LENGTH]
    if response.status == 200:
        return RunOutcome("finish", "", text)
    return RunOutcome("fail", reasons.RUNNER_ERROR, text)
