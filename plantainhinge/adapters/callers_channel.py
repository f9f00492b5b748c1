"""A caller's connection to the gateway: waitress's channel with bounds for a crowd."""

import select
import socket
import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import BadRequest, Error, InternalServerError

from ..core.clock import read_monotonic
from ..core.ids import Seconds
from ..core.states import Outcome

IDLE_GRACE_SECONDS = 0.5
# memory that a request takes up beside its bytes
REQUEST_OVERHEAD_BYTES = 4096
RETRY_AFTER_SECONDS = 1
# after a refusal, what the client still sends is thrown away for so long and so much: a
# connection that is closed with unread bytes is reset, and the client loses the answer
LINGER_SECONDS = Seconds(2.0)
LINGER_BYTES_MAX = 1 << 20


class _OverloadedError(Error):
    code = 503
    reason = "Service Unavailable"


class _Task(WSGITask):
    def build_response_header(self) -> Any:
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class _ErrorTask(ErrorTask):
    """Answers a request that was refused as it was read, or whose handler failed."""

    def execute(self) -> None:
        self.channel.is_refused = True
        error = self.request.error
        is_refused = not isinstance(error, InternalServerError)
        outcome = Outcome.NOT_RUN if is_refused else Outcome.UNKNOWN
        self.response_headers.append(("Plantainhinge-Outcome", outcome.value))
        if isinstance(error, _OverloadedError):
            self.response_headers.append(("Retry-After", str(RETRY_AFTER_SECONDS)))
        super().execute()

    def build_response_header(self) -> Any:
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class CallersChannel(HTTPChannel):
    """A connection whose requests count in its server's budget of memory.

    The server calls it in the thread of its loop only, except for ``service``.
    """

    task_class = _Task
    error_task_class = _ErrorTask
    request: HTTPRequestParser | None

    def __init__(self, *arguments: Any, **options: Any) -> None:
        # time at which it began to wait for its client: to send a request, or the rest
        self.waiting_since = read_monotonic()
        self.held_bytes = 0
        # whether its last answer is a refusal
        self.is_refused = False
        self._may_linger = True
        self._has_served = False
        self._linger_until: float | None = None
        self._lingered_bytes = 0
        self._empty_bytes = 0
        super().__init__(*arguments, **options)

    @property
    def unfinished_bytes(self) -> int:
        """Memory that the request that is being received takes up."""
        return 0 if self.request is None else _measure(self.request)

    def give_way(self) -> None:
        """Refuse the request that is being received, for the sake of others."""
        self._refuse(_OverloadedError("no memory for the request"))

    def _refuse(self, error: Error) -> None:
        with self.requests_lock:
            request = self.request or self.parser_class(self.adj)
            self.request = None
            request.close()
            request.body_rcv = None
            request.error = error
            request.completed = True
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)
        self._update_budget()

    def received(self, data: bytes) -> bool:
        """Read requests, if there is memory for them."""
        channels = self.server.active_channels.values()
        if not self.server.budget.make_room(self, len(data), channels):
            self.give_way()
            return False
        is_read = False
        if data := self._skip_empty_lines(data):
            is_read = super().received(data)
        elif self._empty_bytes > self.adj.max_request_header_size:
            self._refuse(BadRequest("empty lines instead of a request"))
        self._update_budget()
        return is_read

    def _skip_empty_lines(self, data: bytes) -> bytes:
        """Return what follows the empty lines before a request, which are counted."""
        if self.request is not None:
            return data
        rest = data.lstrip(b"\r\n")
        self._empty_bytes = 0 if rest else self._empty_bytes + len(data)
        return rest

    def service(self) -> None:
        """Answer one request; called in a thread of the dispatcher."""
        super().service()
        self.waiting_since = read_monotonic()
        self._has_served = True

    def readable(self) -> bool:
        """Return whether to read more; called before each poll."""
        if self._has_served:
            self._has_served = False
            self._update_budget()
        return self._linger_until is not None or bool(super().readable())

    def writable(self) -> bool:
        """Return whether to write or close; called before each poll."""
        if self._linger_until is not None:
            return read_monotonic() >= self._linger_until
        return bool(super().writable())

    def handle_read(self) -> None:
        """Read requests, or throw away what follows a refusal."""
        if self._linger_until is None:
            super().handle_read()
            return
        try:
            self._lingered_bytes += len(self.recv(self.adj.recv_bytes))
        except OSError:
            self.handle_close()
        if self._lingered_bytes > LINGER_BYTES_MAX:
            self.handle_close()

    def handle_write(self) -> None:
        """Send what is left, or close a connection that has lingered."""
        if self._linger_until is None:
            super().handle_write()
        else:
            self.handle_close()

    def make_way(self) -> None:
        """Close the connection at once, also if its client doesn't read its answers."""
        self._may_linger = False
        self.will_close = True
        self.handle_close()

    def handle_close(self) -> None:
        """Close the connection, and let go of its memory.

        After a refusal, its client is left time to read it.
        """
        is_answered = self.will_close and not self.total_outbufs_len
        if self.is_refused and is_answered and self._begin_to_linger():
            return
        super().handle_close()
        self.server.budget.held -= self.held_bytes
        self.held_bytes = 0

    def _begin_to_linger(self) -> bool:
        """Send the end of the stream; return False if it was sent or can't be."""
        if not self._may_linger or self.socket is None:
            return False
        self._may_linger = False
        self._linger_until = read_monotonic() + LINGER_SECONDS
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True

    def is_waiting(self) -> bool:
        """Return whether it waits for its client, with no request to answer."""
        with self.requests_lock:
            return not self.requests

    def is_idle(self) -> bool:
        """Return whether the connection has been idle for the grace period.

        A connection that was opened or used just before may still have a request
        in transit.
        """
        if time.time() < self.last_activity + IDLE_GRACE_SECONDS:
            return False
        with self.requests_lock:
            busy = self.requests or self.request is not None
        return not (busy or self.total_outbufs_len or is_readable(self.socket))

    def _update_budget(self) -> None:
        if not self.connected:
            return
        with self.requests_lock:
            whole = sum(_measure(request) for request in self.requests)
        held = whole + self.unfinished_bytes
        self.server.budget.held += held - self.held_bytes
        self.held_bytes = held


def is_readable(sock: socket.socket) -> bool:
    """Return whether a socket has something to read or to accept."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _measure(request: HTTPRequestParser) -> int:
    if request.error is not None:
        return REQUEST_OVERHEAD_BYTES
    received: int = request.header_bytes_received + request.body_bytes_received
    return REQUEST_OVERHEAD_BYTES + received
