"""Loopback proxy that can delay, block and reset the connections through it."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 1.0


class ProxyMode(Enum):
    """How the proxy treats traffic; blocked data is held back, not dropped."""

    NORMAL = "clear"
    BLOCKED = "silent"
    NO_REQUESTS = "no-requests"
    NO_RESPONSES = "no-answers"
    SLOW = "slow"


REQUEST_BLOCKING = frozenset({ProxyMode.BLOCKED, ProxyMode.NO_REQUESTS})
RESPONSE_BLOCKING = frozenset({ProxyMode.BLOCKED, ProxyMode.NO_RESPONSES})


@dataclass
class Proxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, upstream : str
        ``host:port``.
    delay : float
        Seconds by which each chunk is delayed in mode ``SLOW``.
    refusing : bool
        Whether new connections are reset, as if nothing listened there.
    """

    listen: str
    upstream: str
    delay: float = 0.2
    refusing: bool = False
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _modes: list[ProxyMode] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    @contextmanager
    def impose(self, mode: ProxyMode) -> Iterator[None]:
        """Treat traffic by a mode, beside those of other faults, until the exit."""
        self._modes.append(mode)
        try:
            yield
        finally:
            self._modes.remove(mode)
            self._changed.set()
            self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.upstream.rpartition(":")
        if self.refusing:
            writer.transport.abort()
            return
        await self._wait_unblocked(REQUEST_BLOCKING)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                upstream_reader, upstream_writer = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, REQUEST_BLOCKING),
                self._forward(upstream_reader, writer, RESPONSE_BLOCKING),
            )
        finally:
            self._writers -= {writer, upstream_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_modes: frozenset[ProxyMode],
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_unblocked(blocking_modes)
                if ProxyMode.SLOW in self._modes:
                    await asyncio.sleep(self.delay)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # the other side learns of a reset as such
            writer.transport.abort()
        with suppress(OSError, RuntimeError):
            writer.close()

    async def _wait_unblocked(self, blocking_modes: frozenset[ProxyMode]) -> None:
        while not blocking_modes.isdisjoint(self._modes):
            await self._changed.wait()
