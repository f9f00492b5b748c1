"""Persistent HTTP/1.1 connections, one exchange at a time each.

A connection on which an exchange failed, timed out or came back short is closed
and never reused, so no answer can reach another request.
"""

import http.client
import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

import msgspec

from ..core.errors import UnavailableError, UncertainError

IDLE_CONNECTIONS_PER_PEER = 8
BODY_BYTES_MAX = 16 * 1024 * 1024


class HttpAnswer(msgspec.Struct, frozen=True):
    """A whole HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpPool:
    """Idle connections by peer address; safe to use from any thread."""

    def __init__(self, *, idle_per_peer: int = IDLE_CONNECTIONS_PER_PEER) -> None:
        self._idle_per_peer = idle_per_peer
        self._idle: dict[str, list[http.client.HTTPConnection]] = {}
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
    ) -> HttpAnswer:
        """Send one request and return its whole answer.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.
        timeout : float
            Seconds for connecting and for each wait on the socket.

        Raises
        ------
        UnavailableError
            If no connection could be made, so that nothing was sent.
        UncertainError
            If anything failed after that.
        """
        with self._borrow(address, step, timeout) as connection:
            return _converse(
                connection, address, method, path, step, body, headers or {}
            )

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    @contextmanager
    def _borrow(
        self, address: str, step: str, timeout: float
    ) -> Iterator[http.client.HTTPConnection]:
        connection = self._take(address) or _connect(address, step, timeout)
        if connection.sock is not None:
            connection.sock.settimeout(timeout)
        reusable = False
        try:
            yield connection
            reusable = connection.sock is not None
        finally:
            if reusable:
                self._give_back(address, connection)
            else:
                connection.close()

    def _take(self, address: str) -> http.client.HTTPConnection | None:
        with self._lock:
            idle = self._idle.get(address)
            return idle.pop() if idle else None

    def _give_back(self, address: str, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < self._idle_per_peer:
                idle.append(connection)
                return
        connection.close()


def _connect(address: str, step: str, timeout: float) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.connect()
    except OSError as error:
        raise UnavailableError(str(error), step=step, peer=address) from error
    return connection


def _converse(
    connection: http.client.HTTPConnection,
    address: str,
    method: str,
    path: str,
    step: str,
    body: bytes,
    headers: Mapping[str, str],
) -> HttpAnswer:
    try:
        connection.request(method, path, body=body or None, headers=dict(headers))
        response = connection.getresponse()
        content = response.read(BODY_BYTES_MAX)
        whole = response.isclosed()
    except (OSError, http.client.HTTPException) as error:
        raise UncertainError(
            str(error) or type(error).__name__, step=step, peer=address
        ) from error
    if not whole:
        raise UncertainError(
            f"answer is longer than {BODY_BYTES_MAX} bytes", step=step, peer=address
        )
    names = {name.lower(): value for name, value in response.getheaders()}
    return HttpAnswer(response.status, names, content)
