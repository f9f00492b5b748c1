"""Pool of persistent HTTP/1.1 connections, each carrying one exchange at a time.

A connection is closed instead of reused after an exchange that failed, timed out,
was truncated or returned the response to another request, so that no response can
reach the wrong request.
"""

import http.client
import select
import socket
import struct
import threading
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ..core.clock import read_monotonic
from ..core.errors import UnavailableError, UncertainError

CONNECTIONS_PER_PEER = 64
IDLE_CONNECTIONS_PER_PEER = 8
IDLE_TIMEOUT_SECONDS = 10.0
MICROSECONDS_PER_SECOND = 1_000_000
CONNECT_TIMEOUT_SECONDS = 0.5
BODY_BYTES_MAX = 4 * 1024 * 1024


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _DeadlineSocket(socket.socket):
    """A blocking socket whose reads and writes share one deadline.

    It uses the kernel's socket timeouts: a timeout of Python's socket module would
    cost an additional system call and release of the GIL for each wait.
    """

    deadline = 0.0

    def recv_into(self, *arguments: Any, **options: Any) -> int:
        self._set_timeout(socket.SO_RCVTIMEO)
        try:
            return super().recv_into(*arguments, **options)
        except BlockingIOError as error:
            raise TimeoutError("the deadline passed") from error

    def sendall(self, data: Any, flags: int = 0) -> None:
        rest = memoryview(data)
        while rest:
            self._set_timeout(socket.SO_SNDTIMEO)
            sent = self.send(rest, flags)
            rest = rest[sent:]

    def _set_timeout(self, option: int) -> None:
        remaining = self.deadline - read_monotonic()
        if remaining <= 0.0:
            raise TimeoutError("the deadline passed")
        microseconds = max(1, int(remaining * MICROSECONDS_PER_SECOND))
        timeval = struct.pack("ll", *divmod(microseconds, MICROSECONDS_PER_SECOND))
        self.setsockopt(socket.SOL_SOCKET, option, timeval)


class _Connection(http.client.HTTPConnection):
    sock: _DeadlineSocket
    idle_since = 0.0

    def connect(self) -> None:
        super().connect()
        plain: socket.socket = self.sock
        plain.settimeout(None)
        self.sock = _DeadlineSocket(
            plain.family, plain.type, plain.proto, fileno=plain.detach()
        )


class HttpExchange:
    """A request that was sent; end it with one call of ``receive`` or ``abandon``."""

    def __init__(
        self, pool: "HttpPool", address: str, connection: _Connection, step: str
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._step = step

    def fileno(self) -> int:
        """Return the socket's file descriptor, so that the exchange can be polled."""
        return self._connection.sock.fileno()

    def receive(
        self, matches: Callable[[HttpResponse], bool] = lambda response: True
    ) -> HttpResponse:
        """Return the complete response and release the connection.

        Parameters
        ----------
        matches : callable
            Returns whether a response belongs to this request.

        Raises
        ------
        UncertainError
            If no complete response arrives before the deadline, or it belongs to
            another request.
        """
        reusable = False
        try:
            response = self._read()
            if not matches(response):
                raise self._make_error("the answer belongs to another request")
            # http.client drops the socket if the server closes after the response
            reusable = self._connection.sock is not None
            return response
        except (OSError, http.client.HTTPException) as error:
            raise self._make_error(str(error) or type(error).__name__) from error
        finally:
            self._pool.release(self._address, self._connection, reusable=reusable)

    def abandon(self) -> None:
        """Close the connection, so that a late response is discarded."""
        self._pool.release(self._address, self._connection, reusable=False)

    def _read(self) -> HttpResponse:
        response = self._connection.getresponse()
        length = response.length
        if length is None and not response.chunked:
            raise self._make_error("the end of the answer cannot be known")
        content = response.read(BODY_BYTES_MAX)
        if length is not None and length > len(content):
            raise self._make_error(f"{len(content)} of {length} bytes came")
        if not response.isclosed():
            raise self._make_error(f"the answer is longer than {BODY_BYTES_MAX} bytes")
        headers = {name.lower(): value for name, value in response.getheaders()}
        return HttpResponse(response.status, headers, content)

    def _make_error(self, message: str) -> UncertainError:
        return UncertainError(message, step=self._step, peer=self._address)


class HttpPool:
    """A pool of connections by peer address; thread-safe.

    Parameters
    ----------
    per_peer : int
        Maximum number of connections to one peer, idle ones included.
    idle_per_peer : int
        Maximum number of idle connections kept to one peer.
    """

    def __init__(
        self,
        *,
        per_peer: int = CONNECTIONS_PER_PEER,
        idle_per_peer: int = IDLE_CONNECTIONS_PER_PEER,
    ) -> None:
        self._per_peer = per_peer
        self._idle_per_peer = idle_per_peer
        self._idle: dict[str, list[_Connection]] = {}
        self._open: dict[str, int] = {}
        self._lock = threading.Lock()

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        *,
        step: str,
        timeout: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Send one request and return its complete response; see ``send``.

        Raises
        ------
        UnavailableError
            If no connection could be established: nothing was sent.
        UncertainError
            If anything failed later: the request may have been executed.
        """
        return self.send(
            address,
            method,
            path,
            step=step,
            timeout=timeout,
            body=body,
            headers=headers,
        ).receive()

    def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        step: str,
        timeout: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpExchange:
        """Send one request without waiting for the response.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.
        timeout : float
            Seconds for the whole exchange, including the response.

        Raises
        ------
        UnavailableError
            If no connection could be established: nothing was sent.
        UncertainError
            If sending failed: the request may have been executed.
        """
        deadline = read_monotonic() + timeout
        connection = self._acquire(address, step) or self._connect(
            address, step, timeout
        )
        connection.sock.deadline = deadline
        try:
            connection.request(method, path, body=body or None, headers=headers or {})
        except (OSError, http.client.HTTPException) as error:
            self.release(address, connection, reusable=False)
            message = str(error) or type(error).__name__
            raise UncertainError(message, step=step, peer=address) from error
        return HttpExchange(self, address, connection, step)

    def release(self, address: str, connection: _Connection, *, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if reusable and self._keep_idle(address, connection):
            return
        connection.close()
        self._count_closed(address)

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_SECONDS) -> None:
        """Close connections that have been idle for at least ``older_than`` seconds."""
        oldest = read_monotonic() - older_than
        with self._lock:
            closing = [
                (address, connection)
                for address, connections in self._idle.items()
                for connection in connections
                if connection.idle_since <= oldest
            ]
            for address, connection in closing:
                self._idle[address].remove(connection)
            self._idle = {a: kept for a, kept in self._idle.items() if kept}
        for address, connection in closing:
            connection.close()
            self._count_closed(address)

    def close(self) -> None:
        """Close all idle connections."""
        self.close_idle(older_than=0.0)

    def count_open(self, address: str) -> int:
        """Return the number of connections to a peer, idle ones included."""
        return self._open.get(address, 0)

    def _keep_idle(self, address: str, connection: _Connection) -> bool:
        connection.idle_since = read_monotonic()
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) >= self._idle_per_peer:
                return False
            idle.append(connection)
            return True

    def _acquire(self, address: str, step: str) -> _Connection | None:
        """Return a usable idle connection, or None if the caller is to open one.

        In the latter case the new connection is already counted as open.
        """
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    self._count_opened(address, step)
                    return None
                connection = idle.pop()
            if not _is_readable(connection.sock):
                return connection
            connection.close()
            self._count_closed(address)

    def _connect(self, address: str, step: str, timeout: float) -> _Connection:
        connection = _Connection(address, timeout=min(timeout, CONNECT_TIMEOUT_SECONDS))
        try:
            connection.connect()
        except OSError as error:
            self._count_closed(address)
            raise UnavailableError(str(error), step=step, peer=address) from error
        return connection

    def _count_opened(self, address: str, step: str) -> None:
        """Count a connection that is about to be opened; the lock must be held."""
        count = self._open.get(address, 0)
        if count >= self._per_peer:
            raise UnavailableError(
                f"all {self._per_peer} connections are in use", step=step, peer=address
            )
        self._open[address] = count + 1

    def _count_closed(self, address: str) -> None:
        with self._lock:
            remaining = self._open[address] - 1
            if remaining:
                self._open[address] = remaining
            else:
                del self._open[address]


def _is_readable(sock: socket.socket) -> bool:
    """Return whether the peer closed an idle connection or sent unsolicited bytes."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
