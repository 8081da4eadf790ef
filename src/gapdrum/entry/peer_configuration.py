"""Fetches the configuration from other entries while the store is unavailable."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.orders import ConfigurationAsked, ConfigurationTold
from gapdrum.entry.configuration_watch import ConfigurationWatch
from gapdrum.event_log import EventLog
from gapdrum.exceptions import FrameError, StreamClosedError
from gapdrum.streams import open_stream
from gapdrum.timers import MS_PER_S

FETCH_INTERVAL_MS = 500
CONNECT_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_MS = 300


class PeerConfigurationFetcher:
    """Lets an entry that starts during an outage of the store serve callers.

    The entries in the settings are asked one by one, only while this one has no configuration
    and its feed of the operators' table fails. An entry cut off from the store may answer with an
    old configuration: the table replaces it as soon as it can be read.
    """

    def __init__(
        self,
        configuration: ConfigurationWatch,
        peers: tuple[Endpoint, ...],
        log: EventLog,
        sent: Counter,
        received: Counter,
    ) -> None:
        self.is_store_unavailable: Callable[[], bool] = lambda: False
        self._configuration = configuration
        self._peers = peers
        self._log = log
        self._sent = sent
        self._received = received
        self._failed_peers: set[Endpoint] = set()  # peers whose failure is logged

    async def fetch_if_needed(self) -> None:
        """Ask the other entries, if no configuration is in force and the store is unavailable."""
        for peer in random.sample(self._peers, len(self._peers)):
            if self._configuration.known or not self.is_store_unavailable():
                return
            try:
                await self._fetch(peer)
            except (StreamClosedError, FrameError, TimeoutError) as error:
                self._log_failure(peer, getattr(error, "code", "timed_out"))

    def _log_failure(self, peer: Endpoint, reason: str) -> None:
        if peer not in self._failed_peers:
            self._failed_peers.add(peer)
            self._log.write("configuration_not_told", peer=peer.host, reason=reason)

    async def _fetch(self, peer: Endpoint) -> None:
        stream = await open_stream(
            peer.host, peer.port, self._sent, self._received, timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            stream.send(ConfigurationAsked())
            answer = await asyncio.wait_for(
                anext(aiter(stream), None), ANSWER_TIMEOUT_MS / MS_PER_S
            )
        finally:
            stream.close()
        if isinstance(answer, ConfigurationTold):
            self._configuration.apply_from_peer(answer.value, source=peer.host)
