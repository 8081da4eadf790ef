"""Pauses between the tries of a call that fails."""

import asyncio

import attrs

from gapdrum.timers import MS_PER_S


@attrs.define
class Backoff:
    """A pause that doubles with each failure in a row, up to a bound.

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
        """Wait after a failure."""
        pause_ms = min(self.max_ms, self.first_ms << self._failures)
        if pause_ms < self.max_ms:
            self._failures += 1
        await asyncio.sleep(pause_ms / MS_PER_S)

    def reset(self) -> None:
        """Begin with the first pause again, after a success."""
        self._failures = 0
