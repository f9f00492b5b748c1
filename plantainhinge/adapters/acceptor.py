"""Accepts connections at an address, no more than may be open."""

import asyncio
import logging
import socket
from collections.abc import Callable

from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.log_events import AcceptFailed

logger = logging.getLogger(__name__)

BACKLOG = 512
# so that a flood of new connections leaves the event loop time for the others
ACCEPTS_AT_ONCE_MAX = 16
# after an error of the system, such as too many open files
ERROR_PAUSE_SECONDS = Seconds(0.1)


class Acceptor:
    """Accepts connections as long as there is room; the others wait in the kernel.

    Parameters
    ----------
    build_protocol : callable
        Returns the protocol of a new connection.
    has_room : callable
        Returns whether another connection may be opened now.
    make_room : callable
        Closes a connection for a new one; returns False if none can be closed. Then
        ``resume`` must be called once there is room.

    Attributes
    ----------
    opening : int
        Connections that are accepted and not made yet, see ``note_made``.
    """

    def __init__(
        self,
        build_protocol: Callable[[], asyncio.Protocol],
        has_room: Callable[[], bool],
        make_room: Callable[[], bool],
    ) -> None:
        self.opening = 0
        self._build_protocol = build_protocol
        self._has_room = has_room
        self._make_room = make_room
        self._socket: socket.socket | None = None
        self._accepting = False
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, address: str) -> None:
        """Listen at ``host:port``.

        Raises
        ------
        OSError
            If the address can't be used.
        """
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        self.resume()

    @property
    def bound_address(self) -> str:
        """``host:port`` of the listener, whose port the system may have chosen."""
        assert self._socket is not None
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def resume(self) -> None:
        """Go on accepting connections, unless it does already or is closed."""
        if self._socket is not None and not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def note_made(self) -> None:
        """Note that an accepted connection has been made, so that it isn't counted."""
        self.opening -= 1

    def close(self) -> None:
        """Stop listening; connections that wait in the kernel are reset."""
        self._pause()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _pause(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self) -> None:
        assert self._socket is not None
        # called because a connection waits, so that it is worth closing another one
        if not self._has_room() and not self._make_room():
            self._pause()
        for _ in range(ACCEPTS_AT_ONCE_MAX):
            if not self._has_room():
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                write_event(logger, AcceptFailed(cause=str(error)))
                self._pause()
                loop = asyncio.get_running_loop()
                loop.call_later(ERROR_PAUSE_SECONDS, self.resume)
                return
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        self.opening += 1
        task = asyncio.get_running_loop().create_task(self._connect(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            accepted.setblocking(False)
            await asyncio.get_running_loop().connect_accepted_socket(
                self._build_protocol, accepted
            )
        except OSError as error:
            self.opening -= 1
            accepted.close()
            write_event(logger, AcceptFailed(cause=str(error)))
