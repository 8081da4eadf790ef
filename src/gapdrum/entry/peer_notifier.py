"""Tells other entries what was decided here about jobs that they own."""

import asyncio
from collections import Counter

from gapdrum.background import Background
from gapdrum.backoff import Backoff
from gapdrum.core.orders import JobCancelled
from gapdrum.core.records import EntryAddress, address_row, entry_of_owner, load_record
from gapdrum.entry.store_access import StoreAccess
from gapdrum.event_log import EventLog
from gapdrum.exceptions import FrameError, StoreError, StreamClosedError
from gapdrum.streams import open_stream
from gapdrum.timers import MS_PER_S

TRIES = 4
RETRY_FIRST_MS = 100
RETRY_MOST_MS = 800
CONNECT_TIMEOUT_S = 0.6
# The other entry ends the stream once it has read the message.
READ_TIMEOUT_MS = 500


class PeerNotifier:
    """Sends messages to other entries, each on a stream of its own, as there are few."""

    def __init__(
        self, store: StoreAccess, background: Background, log: EventLog,
        sent: Counter, received: Counter,
    ) -> None:  # fmt: skip
        self._store = store
        self._background = background
        self._log = log
        self._sent = sent
        self._received = received

    def notify_cancelled(self, owner: str, job_id: str, epoch: int) -> None:
        """Tell an owner that its job was cancelled here, under a higher epoch.

        The agents that it uses may be unknown here, so only the owner can stop what runs there.
        """
        self._background.spawn(self._tell(owner, JobCancelled(job_id, epoch)))

    async def _tell(self, owner: str, message: JobCancelled) -> None:
        backoff = Backoff(RETRY_FIRST_MS, RETRY_MOST_MS)
        for _ in range(TRIES):
            try:
                await self._try_once(owner, message)
            except (StoreError, StreamClosedError, FrameError, TimeoutError) as error:
                reason = getattr(error, "code", "timed_out")
                self._log.write(
                    "owner_not_told", request=message.job_id, owner=owner, reason=reason
                )
                await backoff.pause()
            else:
                return

    async def _try_once(self, owner: str, message: JobCancelled) -> None:
        row = await self._store.read_row(address_row(entry_of_owner(owner)))
        if row is None:
            return  # the owner has ended, and nothing runs in its name for long
        address = load_record(row.value, EntryAddress)
        stream = await open_stream(
            address.host, address.port, self._sent, self._received, timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            stream.send(message)
            await asyncio.wait_for(anext(aiter(stream), None), READ_TIMEOUT_MS / MS_PER_S)
        finally:
            stream.close()
