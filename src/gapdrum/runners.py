"""The agent's side of its runner: what it announced, and the calls that start tasks."""

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
    """What a runner says of itself, every second or so."""

    upstream: str = text_field()
    slots: int = count_field(MAX_SLOTS, 1)
    connections: int = count_field(4_096, 1)
    address: Address
    accelerators: int = count_field(64, default=0)


@attrs.define
class Runner:
    """The runner beside this agent as last announced."""

    announcement: Announcement | None = None
    heard_at_ms: int = 0
    leaving: bool = False

    @property
    def slots(self) -> int:
        """Return how many tasks the runner takes at once."""
        if self.announcement is None:
            return 0
        return min(self.announcement.slots, self.announcement.connections)

    def announce(self, announcement: Announcement, now_ms: int) -> None:
        """Take an announcement.

        A runner that said it leaves may announce until it is gone; only one
        that was away, or is another one, takes the leave back.
        """
        was_away = now_ms - self.heard_at_ms > ANNOUNCE_TIMEOUT_MS
        if was_away or announcement != self.announcement:
            self.leaving = False
        self.announcement = announcement
        self.heard_at_ms = now_ms

    def state(self, now_ms: int) -> str:
        """Return the state that the agent tells the entries."""
        if self.announcement is None or now_ms - self.heard_at_ms > ANNOUNCE_TIMEOUT_MS:
            return STATE_ABSENT
        return STATE_LEAVING if self.leaving else STATE_READY


@attrs.frozen
class RunOutcome:
    """How a call to the runner ended: an event of the chart ``held_task`` and why."""

    event: str
    reason: str
    result: str


class RunnerClient:
    """Blocking HTTP calls to the runner, one thread and one connection each."""

    @staticmethod
    def run(address: Address, job_id: str, index: int, payload: str) -> RunOutcome:
        """Start one task and wait for its end.

        Only a connection that was not made proves that the task did not start;
        any other broken call may have reached the runner.  A kept connection
        may be closed by the runner unseen, so each task has its own.
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
