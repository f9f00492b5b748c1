"""An asyncio HTTP/1.1 server that drains its connections before it stops."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.log_events import HandlerFailed, RequestsGivenUp
from .acceptor import Acceptor
from .stream_http_connection import Connection
from .stream_http_limits import ReceiveBudget, RejectionCause, ServerLimits
from .stream_http_messages import Handler, HttpReply, HttpRequest

logger = logging.getLogger(__name__)

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
    count_rejection : callable
        Counts a request that is refused before the handler sees it.
    """

    address: str
    handle: Handler
    get_body_bytes_max: Callable[[], int] = lambda: BODY_BYTES_MAX
    limits: ServerLimits = ServerLimits()
    count_rejection: Callable[[RejectionCause], None] = lambda cause: None
    draining: bool = False
    connections: set[Connection] = field(default_factory=set)
    # those that wait for their clients, the longest first
    _waiting: dict[Connection, None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.budget = ReceiveBudget(self.limits.received_bytes)
        self._acceptor = Acceptor(
            lambda: Connection(self), self._has_room, self._make_room
        )

    async def start(self) -> None:
        """Start listening."""
        self._acceptor.start(self.address)

    @property
    def bound_address(self) -> str:
        """``host:port`` on which it listens, whose port the system may have chosen."""
        return self._acceptor.bound_address

    def note_waiting(self, connection: Connection, *, waits: bool) -> None:
        """Note whether a connection waits for its client, so that it may give way."""
        self._waiting.pop(connection, None)
        if waits:
            self._waiting[connection] = None
        self._acceptor.resume()

    def add(self, connection: Connection) -> None:
        """Keep a connection that has been made."""
        self.connections.add(connection)
        self._acceptor.note_made()

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self._waiting.pop(connection, None)
        self._acceptor.resume()

    def _has_room(self) -> bool:
        """Return whether another connection may be opened."""
        opened = len(self.connections) + self._acceptor.opening
        return opened < self.limits.connections

    def _make_room(self) -> bool:
        """Close the connection that has waited longest for its client, if one does."""
        longest = next(iter(self._waiting), None)
        if longest is None:
            return False
        self._waiting.pop(longest)
        longest.make_way()
        return True

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
        self._acceptor.close()
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
