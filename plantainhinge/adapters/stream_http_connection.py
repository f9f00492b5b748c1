"""One client's connection to the asyncio HTTP/1.1 server."""

import asyncio
import logging
from typing import Protocol

from ..core.log_events import write_event
from ..fleet.log_events import RequestRejected
from .stream_http_messages import HttpReply, HttpRequest
from .stream_http_reader import RequestReader, RequestRejectedError

logger = logging.getLogger(__name__)

PIPELINED_REQUESTS_MAX = 16


class Server(Protocol):
    """What a connection needs of its server.

    Attributes
    ----------
    draining : bool
        Whether connections are closed once their requests are answered.
    connections : set of Connection
        The open ones.
    """

    draining: bool
    connections: "set[Connection]"

    async def respond(self, request: HttpRequest) -> HttpReply:
        """Return the reply to a request."""

    def get_body_bytes_max(self) -> int:
        """Return the size of the largest body that is read."""


class Connection(asyncio.Protocol):
    """A client's connection; pipelined requests are answered in order."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self._take, server.get_body_bytes_max)
        self._queue: list[tuple[HttpRequest, bool]] = []
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio, like the next two methods."""
        self._transport = transport  # type: ignore[assignment]
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport."""
        self._server.connections.discard(self)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Read requests."""
        try:
            self._reader.feed(data)
        except RequestRejectedError as error:
            self._reject(error)

    @property
    def busy(self) -> bool:
        """Whether a request is being received or handled."""
        return self._reader.receiving or self._task is not None

    def close(self) -> None:
        """Close the connection once the written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def give_up(self) -> int:
        """Answer the requests that were read and have no answer; return their number.

        They may have been carried out.
        """
        unanswered, self._queue = len(self._queue), []
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if unanswered and self._transport is not None:
            last = HttpReply(status=504).encode(keep_alive=False)
            others = HttpReply(status=504).encode(keep_alive=True)
            self._transport.write(others * (unanswered - 1) + last)
        self.close()
        return unanswered

    def _take(self, request: HttpRequest, keep_alive: bool) -> None:
        if len(self._queue) >= PIPELINED_REQUESTS_MAX:
            raise RequestRejectedError(429, "too many pipelined requests")
        self._queue.append((request, keep_alive))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        while self._queue:
            request, keep_alive = self._queue[0]
            reply = await self._server.respond(request)
            is_last = len(self._queue) == 1 and not self._reader.receiving
            keep_alive = keep_alive and not (self._server.draining and is_last)
            if self._transport is not None:
                self._transport.write(reply.encode(keep_alive=keep_alive))
            self._queue.pop(0)
            if not keep_alive:
                self._queue.clear()
                self.close()
        self._task = None

    def _reject(self, error: RequestRejectedError) -> None:
        write_event(logger, RequestRejected(status=error.status, cause=str(error)))
        if self._transport is not None:
            reply = HttpReply(status=error.status)
            self._transport.write(reply.encode(keep_alive=False))
            self._transport.close()
