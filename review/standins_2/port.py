"""The port of a worker whose machine can lose power, as its callers see it."""

import asyncio
import errno
import socket
from contextlib import suppress

from plantainhinge.adapters.stream_http_connection import Connection
from plantainhinge.adapters.stream_http_server import HttpServer

# with one more, the kernel drops the opening packets of further connections
BACKLOG = 1
FILL_SECONDS = 0.02
FILL_MAX = 8


class _Forgotten(asyncio.Protocol):
    """A connection of a former life: it is silent, and reset once data comes."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.abort()


class Port(HttpServer):
    """An HTTP server that can fall silent as a machine without power does.

    While it is silent, connections to it hang, new ones too. When it is back, it
    accepts new ones, and resets an old one as soon as anything arrives there.
    """

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._fillers: list[socket.socket] = []
        self._accepting = asyncio.create_task(self._accept())

    async def go_dark(self) -> None:
        """Answer nothing, and accept no connections."""
        self._accepting.cancel()
        for connection in self.connections:
            if connection._transport is not None:
                connection._transport.pause_reading()
        for _ in range(FILL_MAX):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            if filler.connect_ex(self._socket.getsockname()) != errno.EINPROGRESS:
                continue
            await asyncio.sleep(FILL_SECONDS)
            if filler.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                continue
            with suppress(OSError):
                filler.getpeername()
                continue
            break

    async def come_back(self) -> None:
        """Accept connections again; those of before are unknown."""
        for connection in list(self.connections):
            transport = connection._transport
            if transport is not None:
                transport.set_protocol(_Forgotten(transport))
                transport.resume_reading()
        self.connections.clear()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        with suppress(BlockingIOError):
            while True:
                self._socket.accept()[0].close()
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            await loop.connect_accepted_socket(lambda: Connection(self), accepted)
