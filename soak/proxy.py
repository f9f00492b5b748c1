"""A loopback proxy that delays, cuts and resets the connections through it."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

CHUNK_BYTES = 65536
CONNECT_SECONDS = 1.0


class ProxyMode(Enum):
    """What the proxy does to bytes."""

    NORMAL = "clear"
    BLOCKED = "silent"
    NO_ANSWERS = "no-answers"
    SLOW = "slow"


@dataclass
class Proxy:
    """Forwards one address to another.

    Parameters
    ----------
    listen, target : str
        ``host:port``.
    delay : float
        Seconds that each chunk waits while the weather is slow.
    """

    listen: str
    target: str
    mode: ProxyMode = ProxyMode.NORMAL
    delay: float = 0.2
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _unblocked: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._unblocked.set()
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def set_mode(self, weather: ProxyMode) -> None:
        """Treat bytes in another way from now on."""
        self.mode = weather
        if weather in (ProxyMode.BLOCKED, ProxyMode.NO_ANSWERS):
            self._unblocked.clear()
        else:
            self._unblocked.set()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and drop what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        if self.mode is ProxyMode.BLOCKED:
            await self._unblocked.wait()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                onward, answers = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        self._writers |= {writer, answers}
        try:
            await asyncio.gather(
                self._forward(reader, answers, {ProxyMode.BLOCKED}),
                self._forward(
                    onward, writer, {ProxyMode.BLOCKED, ProxyMode.NO_ANSWERS}
                ),
            )
        finally:
            self._writers -= {writer, answers}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: set[ProxyMode],
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                while self.mode in held:
                    await self._unblocked.wait()
                if self.mode is ProxyMode.SLOW:
                    await asyncio.sleep(self.delay)
                writer.write(chunk)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.close()
