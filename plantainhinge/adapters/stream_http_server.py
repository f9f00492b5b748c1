"""An asyncio HTTP/1.1 server that drains its connections before it stops."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import httptools

from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.log_events import HandlerFailed, RequestRejected, RequestsGivenUp

logger = logging.getLogger(__name__)

BACKLOG = 512
BODY_BYTES_MAX = 1 << 20
HEADER_BYTES_MAX = 16384
PIPELINED_REQUESTS_MAX = 16
# share of a drain's time after which requests still in progress are answered anyway
DRAIN_WAIT_RATIO = 0.8
# of these, no value is picked if there are several
UNIQUE_HEADERS = frozenset({"authorization"})
REASONS = {
    200: "OK",
    401: "Unauthorized",
    404: "Not Found",
    410: "Gone",
    429: "Too Many Requests",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """A response to send."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, *, keep_alive: bool) -> bytes:
        """Return the response as bytes."""
        reason = REASONS.get(self.status, "Status")
        lines = [f"HTTP/1.1 {self.status} {reason}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        lines.append(f"Content-Length: {len(self.body)}")
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


Handler = Callable[[HttpRequest], Awaitable[HttpReply]]


class _Connection(asyncio.Protocol):
    """A client's connection; pipelined requests are answered in order."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: list[tuple[HttpRequest, bool]] = []
        self._task: asyncio.Task[None] | None = None
        self._receiving = False
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, _TooLargeError) as error:
            self._reject(error)

    def on_message_begin(self) -> None:
        self._receiving = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header(len(name) + len(value))
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        if key in UNIQUE_HEADERS and key in self._headers:
            text = f"{self._headers[key]}, {text}"
        self._headers[key] = text

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > BODY_BYTES_MAX:
            raise _TooLargeError(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._receiving = False
        if len(self._queue) >= PIPELINED_REQUESTS_MAX:
            raise _TooLargeError(429)
        request = HttpRequest(
            self._parser.get_method().decode(),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self._queue.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    @property
    def busy(self) -> bool:
        """Whether a request is being received or handled."""
        return self._receiving or self._task is not None

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

    async def _serve(self) -> None:
        while self._queue:
            request, keep_alive = self._queue[0]
            reply = await self._server.respond(request)
            is_last = len(self._queue) == 1 and not self._receiving
            keep_alive = keep_alive and not (self._server.draining and is_last)
            if self._transport is not None:
                self._transport.write(reply.encode(keep_alive=keep_alive))
            self._queue.pop(0)
            if not keep_alive:
                self._queue.clear()
                self.close()
        self._task = None

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > HEADER_BYTES_MAX:
            raise _TooLargeError(431)

    def _reject(self, error: Exception) -> None:
        # httptools raises an error of its own if a callback raised one
        cause = error.__context__ if error.__context__ else error
        status = cause.status if isinstance(cause, _TooLargeError) else 400
        write_event(logger, RequestRejected(status=status, cause=str(cause)))
        if self._transport is not None:
            self._transport.write(HttpReply(status=status).encode(keep_alive=False))
            self._transport.close()


class _TooLargeError(Exception):
    def __init__(self, status: int) -> None:
        super().__init__(f"over the limit for status {status}")
        self.status = status


@dataclass
class HttpServer:
    """A server that listens on one address and passes requests to a handler.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handle : callable
        Returns the reply to a request.
    """

    address: str
    handle: Handler
    draining: bool = False
    connections: set[_Connection] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, int(port), backlog=BACKLOG
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
