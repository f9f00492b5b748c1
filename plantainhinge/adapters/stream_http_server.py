"""An asyncio HTTP/1.1 server that drains its connections before it stops."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.log_events import HandlerFailed, RequestsGivenUp
from .stream_http_connection import Connection
from .stream_http_limits import ReceiveBudget, ServerLimits
from .stream_http_messages import Handler, HttpReply, HttpRequest

logger = logging.getLogger(__name__)

BACKLOG = 512
BODY_BYTES_MAX = 1 << 20
# share of a drain's time after which requests still in progress are answered anyway
DRAIN_WAIT_RATIO = 0.8


@dataclass
class HttpServer:
    """A server that listens on one address and passes requests to a handler.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handle : callable
        Returns the reply to a request.
    get_body_bytes_max : callable
        Returns the size of the largest body that is read.
    limits : ServerLimits
        What all connections may use together.
    """

    address: str
    handle: Handler
    get_body_bytes_max: Callable[[], int] = lambda: BODY_BYTES_MAX
    limits: ServerLimits = ServerLimits()
    draining: bool = False
    connections: set[Connection] = field(default_factory=set)
    _server: asyncio.Server | None = None

    def __post_init__(self) -> None:
        self.budget = ReceiveBudget(self.limits.received_bytes)

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), host, int(port), backlog=BACKLOG
        )

    async def respond(self, request: HttpRequest) -> HttpReply:
        """Return the handler's reply; log an exception and reply with status 500."""
        try:
            return await self.handle(request)
        except Exception as error:
            write_event(logger, HandlerFailed(path=request.path), error=error)
            return HttpReply(status=500)

    async def drain(self, *, timeout: Seconds) -> None:
        """Stop listening, close idle connections and wait for requests in progress.

        A request is in progress until its whole answer has left the process. One that
        takes too long is answered with status 504: its caller must not find the
        connection closed.
        """
        self.draining = True
        if self._server is not None:
            self._server.close()
        started = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if not connection.busy:
                connection.close()
        await self._wait_until_closed(started + DRAIN_WAIT_RATIO * timeout)
        unanswered = sum(connection.give_up() for connection in list(self.connections))
        if unanswered:
            write_event(logger, RequestsGivenUp(requests=unanswered))
        await self._wait_until_closed(started + timeout)

    async def _wait_until_closed(self, deadline: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while self.connections:
                    await asyncio.sleep(0.01)
