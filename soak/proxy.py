"""Loopback proxy that can delay, block and reset the connections through it."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 1.0


class ProxyMode(Enum):
    """How the proxy treats traffic; blocked data is held back, not dropped."""

    NORMAL = "clear"
    BLOCKED = "silent"
    NO_RESPONSES = "no-answers"
    SLOW = "slow"


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
    mode: ProxyMode = ProxyMode.NORMAL
    delay: float = 0.2
    refusing: bool = False
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _unblocked: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._unblocked.set()
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode, also for connections that are open."""
        self.mode = mode
        if mode in (ProxyMode.BLOCKED, ProxyMode.NO_RESPONSES):
            self._unblocked.clear()
        else:
            self._unblocked.set()

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
        if self.mode is ProxyMode.BLOCKED:
            await self._unblocked.wait()
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
                self._forward(reader, upstream_writer, {ProxyMode.BLOCKED}),
                self._forward(
                    upstream_reader, writer, {ProxyMode.BLOCKED, ProxyMode.NO_RESPONSES}
                ),
            )
        finally:
            self._writers -= {writer, upstream_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_modes: set[ProxyMode],
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                while self.mode in blocking_modes:
                    await self._unblocked.wait()
                if self.mode is ProxyMode.SLOW:
                    await asyncio.sleep(self.delay)
                writer.write(chunk)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.close()
