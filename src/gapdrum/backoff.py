"""Exponential backoff between the attempts of a failing call."""

import asyncio

import attrs

from gapdrum.timers import MS_PER_S


@attrs.define
class Backoff:
    """A pause that doubles with each consecutive failure, up to a maximum.

    ::

        backoff = Backoff(first_ms=10, max_ms=160)
        while not await try_it():
            await backoff.pause()
        backoff.reset()
    """

    first_ms: int
    max_ms: int
    _failures: int = 0

    async def pause(self) -> None:
        """Wait after a failed attempt."""
        pause_ms = min(self.max_ms, self.first_ms << self._failures)
        if pause_ms < self.max_ms:
            self._failures += 1
        await asyncio.sleep(pause_ms / MS_PER_S)

    def reset(self) -> None:
        """Return to the first pause, after a success."""
        self._failures = 0
