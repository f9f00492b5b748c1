"""An HTTP/1.1 client on the event loop with kept connections per peer."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import httptools

from ..core.errors import UnavailableError, UncertainError
from ..core.ids import Seconds

STEP = "http.call"
CONNECT_SECONDS = Seconds(1.0)
CLOSED_EARLY = "the connection closed before the whole answer"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpCall:
    """One request.

    Parameters
    ----------
    headers : tuple of (str, str)
        Besides the host and the length of the body.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, host: str) -> bytes:
        """Return the bytes to send."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {host}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.body or self.method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        head = "\r\n".join(lines).encode("latin-1")
        return head + b"\r\n\r\n" + self.body


class _Connection(asyncio.Protocol):
    """One connection that carries one exchange at a time."""

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self.received_at = float("-inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._fail(CLOSED_EARLY)

    def data_received(self, data: bytes) -> None:
        self.received_at = asyncio.get_running_loop().time()
        if self._parser is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"the answer is malformed: {error}")
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser, answer = self._parser, self._response
        self._parser = self._response = None
        if parser is None or answer is None:
            return
        if not parser.should_keep_alive():
            self.close()
        if not answer.done():
            body = b"".join(self._body)
            answer.set_result(
                HttpResponse(parser.get_status_code(), self._headers, body)
            )

    def exchange(self, data: bytes) -> "asyncio.Future[HttpResponse]":
        """Send a request and return the future of its answer."""
        assert self._transport is not None
        self._headers = {}
        self._body = []
        self._parser = httptools.HttpResponseParser(self)
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._response

    def close(self) -> None:
        """Drop the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, message: str) -> None:
        answer, self._response, self._parser = self._response, None, None
        if answer is not None and not answer.done():
            answer.set_exception(UncertainError(message, step=STEP, peer=self.peer))


@dataclass
class HttpClient:
    """Calls one peer over connections that are kept and used again.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer.
    connections_max : int
        Open connections at most; further calls wait for one.
    """

    address: str
    connections_max: int = 8
    _idle: list[_Connection] = field(default_factory=list)
    _open: int = 0
    _waiters: deque["asyncio.Future[None]"] = field(default_factory=deque)

    async def call(
        self, call: HttpCall, *, timeout: Seconds, total_timeout: Seconds | None = None
    ) -> HttpResponse:
        """Return the answer to ``call``.

        Parameters
        ----------
        total_timeout : float, optional
            Longest time in seconds for a large answer over a slow link; ``timeout``
            is then the longest without another byte of it.

        Raises
        ------
        UnavailableError
            If no connection could be had: the call was never sent.
        UncertainError
            If it was sent and no whole answer came in time.
        """
        started = asyncio.get_running_loop().time()
        last = started + (total_timeout or timeout)
        connection = await self._acquire(started + timeout)
        try:
            answering = connection.exchange(call.encode(self.address))
            answer = await _wait_for(answering, connection, timeout, last=last)
        except TimeoutError:
            connection.close()
            raise UncertainError(
                f"no answer to {call.path.partition('?')[0]} within {timeout} s",
                step=STEP,
                peer=self.address,
            ) from None
        except BaseException:
            connection.close()
            raise
        finally:
            self._release(connection)
        return answer

    def close(self) -> None:
        """Drop the idle connections."""
        while self._idle:
            self._idle.pop().close()
            self._open -= 1

    async def _acquire(self, deadline: float) -> _Connection:
        while True:
            while self._idle:
                connection = self._idle.pop()
                if not connection.closed:
                    return connection
                self._open -= 1
            if self._open < self.connections_max:
                return await self._connect(deadline)
            await self._wait_for_connection(deadline)

    async def _connect(self, deadline: float) -> _Connection:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._open += 1
        try:
            async with asyncio.timeout_at(min(deadline, loop.time() + CONNECT_SECONDS)):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self.address), host, int(port)
                )
        except BaseException as error:
            self._open -= 1
            self._wake_waiter()
            if isinstance(error, OSError | TimeoutError):
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

    def _release(self, connection: _Connection) -> None:
        if connection.closed:
            self._open -= 1
        else:
            self._idle.append(connection)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


async def _wait_for(
    answering: "asyncio.Future[HttpResponse]",
    connection: _Connection,
    timeout: Seconds,
    *,
    last: float,
) -> HttpResponse:
    """Return an answer, as long as bytes of it keep coming until ``last``.

    Raises
    ------
    TimeoutError
        If none came for ``timeout`` seconds, or it wasn't whole in time.
    """
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    try:
        while not answering.done():
            end = min(last, max(sent_at, connection.received_at) + timeout)
            if loop.time() >= end:
                raise TimeoutError
            await asyncio.wait({answering}, timeout=end - loop.time())
        return answering.result()
    finally:
        answering.cancel()
