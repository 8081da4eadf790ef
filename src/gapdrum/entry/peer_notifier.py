"""Notifies peers (the other entries) of cancellations of jobs that they own."""

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
RETRY_MIN_MS = 100
RETRY_MAX_MS = 800
CONNECT_TIMEOUT_S = 0.6
# The peer closes the stream once it has read the message.
READ_TIMEOUT_MS = 500


class PeerNotifier:
    """Sends messages to peers, each on its own stream, as they are rare."""

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
        """Notify an owner that its job was cancelled here, under a higher epoch.

        The owner's agents may not be connected here, so only the owner can stop the job's runs.
        """
        self._background.spawn(self._notify(owner, JobCancelled(job_id, epoch)))

    async def _notify(self, owner: str, message: JobCancelled) -> None:
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        for _ in range(TRIES):
            try:
                await self._send_once(owner, message)
            except (StoreError, StreamClosedError, FrameError, TimeoutError) as error:
                reason = getattr(error, "code", "timed_out")
                self._log.write(
                    "owner_not_told", request=message.job_id, owner=owner, reason=reason
                )
                await backoff.pause()
            else:
                return

    async def _send_once(self, owner: str, message: JobCancelled) -> None:
        row = await self._store.read_row(address_row(entry_of_owner(owner)))
        if row is None:
            return  # the owner has ended, and its runs are stopped soon
        address = load_record(row.value, EntryAddress)
        stream = await open_stream(
            address.host, address.port, self._sent, self._received, timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            stream.send(message)
            await asyncio.wait_for(anext(aiter(stream), None), READ_TIMEOUT_MS / MS_PER_S)
        finally:
            stream.close()
