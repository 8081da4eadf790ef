"""Forwards the streams of agents to one entry, and cuts single agents off."""

import asyncio
import re

from standins_2.web import HOST

CHUNK_BYTES = 65_536
NAME = re.compile(rb"side-[0-9]+")


class AgentCut:
    """A forwarder in front of an entry's port for agents.

    An agent is known by its name in its greeting. While it is cut off, nothing passes in either
    direction and no connection is reset. What was held is dropped at the end of the cut, with its
    connections, as both sides have given them up by then.
    """

    def __init__(self, port: int, target_port: int, cut_off: set[str]) -> None:
        self._port = port
        self._target_port = target_port
        self._cut_off = cut_off  # the names of agents that are cut off, shared by all forwarders
        self._open: dict[str, set[asyncio.StreamWriter]] = {}
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        for name in list(self._open):
            self.drop(name)

    def drop(self, agent: str) -> None:
        """Drop the connections of an agent."""
        for writer in self._open.pop(agent, set()):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = await _read(reader)
        found = NAME.search(first)
        name = found.group().decode() if found else ""
        try:
            while name in self._cut_off and first:
                if await _ends_within(reader, 0.05):
                    return
            target = await asyncio.open_connection(HOST, self._target_port)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            if name in self._cut_off or not first:
                writer.transport.abort()
        self._open.setdefault(name, set()).update((writer, target[1]))
        target[1].write(first)
        try:
            await asyncio.gather(
                self._forward(reader, target[1], name), self._forward(target[0], writer, name)
            )
        except asyncio.CancelledError:
            return  # the case has ended

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
    ) -> None:
        try:
            while chunk := await _read(reader):
                if name in self._cut_off:
                    while name in self._cut_off:
                        await asyncio.sleep(0.02)
                    break
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            while name in self._cut_off:  # an end of the connection does not pass either
                await asyncio.sleep(0.02)
            writer.transport.abort()


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        return b""


async def _ends_within(reader: asyncio.StreamReader, time_s: float) -> bool:
    """Return whether the connection ends within a time."""
    await asyncio.sleep(time_s)
    return reader.at_eof()
