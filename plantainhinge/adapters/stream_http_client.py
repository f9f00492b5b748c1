"""An asyncio HTTP/1.1 client with persistent connections to one peer."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import httptools

from ..core.errors import UnavailableError, UncertainError
from ..core.ids import Seconds

STEP = "http.call"
CONNECT_TIMEOUT_SECONDS = Seconds(1.0)
# of a whole answer with its headers; the platform's store sends at most some 1.5 MB
ANSWER_BYTES_MAX = 8 * 1024 * 1024
# the last two: an address that isn't one
CONNECT_ERRORS = (OSError, TimeoutError, OverflowError, ValueError)
CLOSED_EARLY_MESSAGE = "the connection closed before the whole answer"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpCall:
    """A request to send.

    Parameters
    ----------
    headers : tuple of (str, str)
        In addition to ``Host`` and ``Content-Length``.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, host: str) -> bytes:
        """Return the request as bytes.

        Raises
        ------
        UnavailableError
            If its path or a header has characters that can't be sent.
        """
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {host}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.body or self.method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        try:
            head = "\r\n".join(lines).encode("latin-1")
        except UnicodeEncodeError as error:
            message = f"cannot be sent: {error}"
            raise UnavailableError(message, step=STEP, peer=host) from error
        return head + b"\r\n\r\n" + self.body


class HttpConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Attributes
    ----------
    peer_incarnation : int, optional
        Incarnation of the peer that has answered on it; None if that isn't known. No
        other one can receive anything on this connection.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._answer_bytes = 0
        self.received_at = float("-inf")
        self.peer_incarnation: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio, like the next two methods."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Let an open exchange fail."""
        self.closed = True
        self._fail(CLOSED_EARLY_MESSAGE)

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response."""
        self.received_at = asyncio.get_running_loop().time()
        if self._parser is None:
            # bytes that no request asked for
            self.close()
            return
        self._answer_bytes += len(data)
        if self._answer_bytes > ANSWER_BYTES_MAX:
            self._fail(f"the answer is larger than {ANSWER_BYTES_MAX} bytes")
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"the answer is malformed: {error}")
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; called by the parser, like the next two methods."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the response."""
        parser, response = self._parser, self._response
        self._parser = self._response = None
        if parser is None or response is None:
            return
        if not parser.should_keep_alive():
            self.close()
        if not response.done():
            body = b"".join(self._body)
            response.set_result(
                HttpResponse(parser.get_status_code(), self._headers, body)
            )

    async def call(
        self, call: HttpCall, *, timeout: Seconds, deadline: float
    ) -> HttpResponse:
        """Send a request and return the response; see ``HttpClient.call``.

        Parameters
        ----------
        timeout : float
            Longest time in seconds without any received byte.
        deadline : float
            Time of the event loop by which the whole response must have arrived.
        """
        data = call.encode(self.peer)
        try:
            pending = self.exchange(data)
            return await _wait_for(pending, self, timeout, deadline=deadline)
        except TimeoutError:
            self.close()
            raise UncertainError(
                f"no answer to {call.path.partition('?')[0]} within {timeout} s",
                step=STEP,
                peer=self.peer,
            ) from None
        except BaseException:
            self.close()
            raise

    def exchange(self, data: bytes) -> "asyncio.Future[HttpResponse]":
        """Send a request and return a future for its response."""
        assert self._transport is not None
        self._headers = {}
        self._body = []
        self._answer_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._response

    def close(self) -> None:
        """Abort the connection immediately."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, message: str) -> None:
        response, self._response, self._parser = self._response, None, None
        if response is not None and not response.done():
            response.set_exception(UncertainError(message, step=STEP, peer=self.peer))


@dataclass
class ConnectionBudget:
    """Connections that several clients share.

    Parameters
    ----------
    limit : int
        Open connections beyond which idle ones should be closed.
    """

    limit: int = 10_000
    open: int = 0

    @property
    def exceeded(self) -> bool:
        """Whether idle connections should be closed."""
        return self.open > self.limit


@dataclass
class HttpClient:
    """A client for one peer that keeps its connections open between calls.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer.
    connections_max : int
        Maximum number of open connections; further calls wait for a free one.
    budget : ConnectionBudget
        Counts the open connections of this and other clients.
    """

    address: str
    connections_max: int = 8
    budget: ConnectionBudget = field(default_factory=ConnectionBudget)
    _idle: list[HttpConnection] = field(default_factory=list)
    _open: int = 0
    _waiters: deque["asyncio.Future[None]"] = field(default_factory=deque)

    async def call(
        self, call: HttpCall, *, timeout: Seconds, total_timeout: Seconds | None = None
    ) -> HttpResponse:
        """Send a request and return the response.

        Parameters
        ----------
        timeout : float
            Seconds until the complete response must have arrived.
        total_timeout : float, optional
            Overall limit in seconds for a large response over a slow link; ``timeout``
            then limits the time without any received byte.

        Raises
        ------
        UnavailableError
            If no connection was available, or the request or the address can't be
            encoded: the request was not sent.
        UncertainError
            If it was sent but no complete response arrived in time.
        """
        now = asyncio.get_running_loop().time()
        deadline = now + (total_timeout or timeout)
        async with self.borrow(until=now + timeout) as connection:
            return await connection.call(call, timeout=timeout, deadline=deadline)

    @asynccontextmanager
    async def borrow(
        self, *, until: float, incarnation: int | None = None
    ) -> AsyncIterator[HttpConnection]:
        """Keep a connection from other calls for a while.

        Parameters
        ----------
        until : float
            Time of the event loop by which there must be one.
        incarnation : int, optional
            Incarnation of the peer to which the connection should lead, if one is known
            to.

        Raises
        ------
        UnavailableError
            If no connection was available in time.
        """
        connection = await self._acquire(until, incarnation)
        try:
            yield connection
        finally:
            self._release(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
            self._count(-1)

    async def _acquire(
        self, deadline: float, incarnation: int | None
    ) -> HttpConnection:
        while True:
            while self._idle:
                connection = self._pop_idle(incarnation)
                if not connection.closed:
                    return connection
                self._count(-1)
            if self._open < self.connections_max:
                return await self._connect(deadline)
            await self._wait_for_connection(deadline)

    def _pop_idle(self, incarnation: int | None) -> HttpConnection:
        """Remove and return the newest idle connection, if possible a preferred one."""
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            if incarnation is not None and connection.peer_incarnation == incarnation:
                return self._idle.pop(index)
        return self._idle.pop()

    async def _connect(self, deadline: float) -> HttpConnection:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._count(1)
        try:
            async with asyncio.timeout_at(
                min(deadline, loop.time() + CONNECT_TIMEOUT_SECONDS)
            ):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(self.address), host, int(port)
                )
        except BaseException as error:
            self._count(-1)
            self._wake_waiter()
            if isinstance(error, CONNECT_ERRORS):
                raise UnavailableError(
                    f"cannot connect: {error or 'timeout'}",
                    step=STEP,
                    peer=self.address,
                ) from None
            raise
        return connection

    async def _wait_for_connection(self, deadline: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            raise UnavailableError(
                f"all {self.connections_max} connections stay busy",
                step=STEP,
                peer=self.address,
            ) from None

    def _release(self, connection: HttpConnection) -> None:
        if connection.closed:
            self._count(-1)
        else:
            self._idle.append(connection)
        self._wake_waiter()

    def _count(self, change: int) -> None:
        self._open += change
        self.budget.open += change

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


async def _wait_for(
    pending: "asyncio.Future[HttpResponse]",
    connection: HttpConnection,
    timeout: Seconds,
    *,
    deadline: float,
) -> HttpResponse:
    """Return the response if its bytes keep arriving until the deadline.

    Raises
    ------
    TimeoutError
        If no byte arrives for ``timeout`` seconds, or the response isn't complete by
        the deadline.
    """
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    try:
        while not pending.done():
            end = min(deadline, max(sent_at, connection.received_at) + timeout)
            if loop.time() >= end:
                raise TimeoutError
            await asyncio.wait({pending}, timeout=end - loop.time())
        return pending.result()
    finally:
        pending.cancel()
