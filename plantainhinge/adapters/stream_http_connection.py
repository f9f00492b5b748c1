"""One client's connection to the asyncio HTTP/1.1 server."""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.log_events import RequestRejected
from .stream_http_limits import (
    STATUSES,
    ReceiveBudget,
    RejectionCause,
    RequestRejectedError,
)
from .stream_http_messages import HttpReply, HttpRequest
from .stream_http_reader import RequestReader

logger = logging.getLogger(__name__)

PIPELINED_REQUESTS_MAX = 16
# after a refusal, what the client still sends is thrown away for so long and so much: a
# connection that is closed with unread bytes is reset, and the client loses the answer
LINGER_SECONDS = Seconds(2.0)
LINGER_BYTES_MAX = 1 << 20
# of answers that wait for the client to read; beyond it, no request is handled
UNREAD_BYTES_MAX = 16_384
# for a client to send the rest of a request, or to read its answers
CLIENT_SECONDS_MAX = Seconds(60.0)
RETRY_AFTER_SECONDS = 1
# of these, the client may send the same request again
RETRYABLE_STATUSES = frozenset({429, 503})


class Server(Protocol):
    """What a connection needs of its server.

    Attributes
    ----------
    draining : bool
        Whether connections are closed once their requests are answered.
    budget : ReceiveBudget
        Memory for the requests of all connections.
    connections : set of Connection
        The open ones.
    """

    draining: bool
    budget: ReceiveBudget
    connections: "set[Connection]"

    async def respond(self, request: HttpRequest) -> HttpReply:
        """Return the reply to a request."""

    def get_body_bytes_max(self) -> int:
        """Return the size of the largest body that is read."""

    def count_rejection(self, cause: RejectionCause) -> None:
        """Count a request that is refused before its handler sees it."""

    def note_waiting(self, connection: "Connection", *, waits: bool) -> None:
        """Note whether a connection waits for its client, so that it may give way."""

    def add(self, connection: "Connection") -> None:
        """Keep a connection that has been made."""

    def remove(self, connection: "Connection") -> None:
        """Forget a connection that is closed."""


class Phase(Enum):
    """What a connection does with the bytes that it receives."""

    READING = "reading"
    # it leaves them where they are until the answers that it owes are written
    REFUSED = "refused"
    LINGERING = "lingering"


@dataclass(slots=True)
class _Exchange:
    """A request to answer, or a refusal that waits for the answers before it.

    Parameters
    ----------
    size : int
        Bytes of memory that the request takes up.
    """

    request: HttpRequest | None
    size: int
    keep_alive: bool
    refusal: HttpReply | None = None


class Connection(asyncio.Protocol):
    """A client's connection; pipelined requests are answered in order.

    A refusal keeps that order too: it comes after the answers to all requests that were
    read before, so that it never speaks for one of them, and nothing is read after it.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self._take, server.get_body_bytes_max)
        self._held_bytes = 0
        self._queue: deque[_Exchange] = deque()
        self._task: asyncio.Task[None] | None = None
        self._phase = Phase.READING
        self._lingered_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()
        self._waits = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio, like the next two methods."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(UNREAD_BYTES_MAX, low=0)
        self._transport = transport
        self._server.add(self)
        self._update_waiting()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport and what was being received."""
        self._server.remove(self)
        self._transport = None
        self._reader.abandon()
        self._update_budget()
        self._stop_timer()
        self._writable.set()

    def pause_writing(self) -> None:
        """Wait until the client has read its answers; called by asyncio."""
        self._writable.clear()
        self._watch_client()
        self._update_budget()
        self._update_waiting()

    def resume_writing(self) -> None:
        """Go on with the requests that are left; called by asyncio."""
        self._writable.set()
        self._watch_client(progressed=True)
        self._update_budget()
        self._update_waiting()

    def data_received(self, data: bytes) -> None:
        """Read requests, or throw away what follows a refusal."""
        if self._phase is not Phase.READING:
            self._throw_away(data)
            return
        try:
            self._make_room(len(data))
            self._reader.feed(data)
        except RequestRejectedError as error:
            self._refuse(error)
        self._watch_client()
        self._update_budget()

    @property
    def held_bytes(self) -> int:
        """Memory that its requests take up, as the server's budget knows it."""
        return self._held_bytes

    @property
    def unfinished_bytes(self) -> int:
        """Memory that it holds because its client doesn't send or read the rest."""
        return self._reader.held_bytes if self._writable.is_set() else self._held_bytes

    def give_way(self) -> None:
        """Let go of that memory, for the sake of others.

        A request that is being received is refused. A client that doesn't read its
        answers can't be told anything.
        """
        if not self._writable.is_set():
            self._abort()
            self._update_budget()
            return
        self._refuse(
            RequestRejectedError(RejectionCause.NO_MEMORY, "no memory for the request")
        )
        self._update_budget()

    def make_way(self) -> None:
        """Close the connection, which waits for its client, for the sake of a new one.

        A request that isn't complete is refused, so that its client knows.
        """
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._abort()
            return
        if self._reader.receiving:
            self._server.count_rejection(RejectionCause.NO_CONNECTION)
            refusal = _build_refusal(RejectionCause.NO_CONNECTION)
            self._write(refusal, keep_alive=False)
        self.close()

    @property
    def busy(self) -> bool:
        """Whether a request is being received or handled."""
        return self._reader.receiving or self._task is not None

    def close(self) -> None:
        """Close the connection once the written data has been sent."""
        if self._transport is not None:
            self._transport.close()
            self._watch_client()

    def give_up(self) -> int:
        """Answer the requests that were read and have no answer; return their number.

        They may have been carried out.
        """
        exchanges, self._queue = self._queue, deque()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        last = len(exchanges) - 1
        for index, exchange in enumerate(exchanges):
            reply = exchange.refusal or HttpReply(status=504)
            self._write(reply, keep_alive=index < last)
        self.close()
        self._update_budget()
        return sum(exchange.request is not None for exchange in exchanges)

    def _take(self, request: HttpRequest, size: int, keep_alive: bool) -> None:
        if len(self._queue) >= PIPELINED_REQUESTS_MAX:
            raise RequestRejectedError(
                RejectionCause.TOO_MANY_AHEAD, "too many pipelined requests"
            )
        self._watch_client(progressed=self._writable.is_set())
        self._add(_Exchange(request, size, keep_alive))

    def _refuse(self, error: RequestRejectedError) -> None:
        event = RequestRejected(status=STATUSES[error.cause], cause=str(error))
        write_event(logger, event)
        self._server.count_rejection(error.cause)
        self._phase = Phase.REFUSED
        self._reader.abandon()
        if self._transport is not None:
            self._transport.pause_reading()
        refusal = _build_refusal(error.cause)
        self._add(_Exchange(None, 0, keep_alive=False, refusal=refusal))

    def _add(self, exchange: _Exchange) -> None:
        self._queue.append(exchange)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())
            self._update_waiting()

    async def _serve(self) -> None:
        try:
            while self._queue:
                await self._writable.wait()
                if self._queue:
                    await self._answer(self._queue[0])
        finally:
            self._task = None
            self._update_waiting()

    async def _answer(self, exchange: _Exchange) -> None:
        reply = exchange.refusal
        if exchange.request is not None:
            reply = await self._server.respond(exchange.request)
        assert reply is not None
        is_last = len(self._queue) == 1 and not self._reader.receiving
        keep_alive = exchange.keep_alive and not (self._server.draining and is_last)
        self._write(reply, keep_alive=keep_alive)
        self._queue.popleft()
        if not keep_alive:
            self._queue.clear()
            self._end()
        self._update_budget()

    def _watch_client(self, *, progressed: bool = False) -> None:
        """Limit the time that the client has for the rest of a request or its answers.

        Parameters
        ----------
        progressed : bool
            Whether the client has done its part, so that its time begins anew.
        """
        owes = self._reader.held_bytes > 0 or self._has_unread_answers()
        if progressed or not owes:
            self._stop_timer()
        if owes and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CLIENT_SECONDS_MAX, self._time_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self._has_unread_answers():
            self._abort()
        elif self._reader.held_bytes:
            self._refuse(
                RequestRejectedError(
                    RejectionCause.TOO_SLOW, "the rest didn't come in time"
                )
            )
            self._update_budget()

    def _has_unread_answers(self) -> bool:
        """Return whether it can't go on until its client reads."""
        if self._transport is None:
            return False
        is_blocked = self._transport.is_closing() or not self._writable.is_set()
        return is_blocked and self._transport.get_write_buffer_size() > 0

    def _make_room(self, size: int) -> None:
        server = self._server
        if not server.budget.make_room(self, size, server.connections):
            raise RequestRejectedError(
                RejectionCause.NO_MEMORY, "no memory for the request"
            )

    def _update_budget(self) -> None:
        queued = sum(exchange.size for exchange in self._queue)
        held = queued + self._reader.held_bytes
        if self._transport is not None and not self._writable.is_set():
            held += self._transport.get_write_buffer_size()
        self._server.budget.held += held - self._held_bytes
        self._held_bytes = held

    def _update_waiting(self) -> None:
        """Tell the server when waiting for the client begins or ends."""
        waits = self._task is None or not self._writable.is_set()
        if waits is not self._waits and self._transport is not None:
            self._waits = waits
            self._server.note_waiting(self, waits=waits)

    def _abort(self) -> None:
        """Close the connection with the answers that its client hasn't read."""
        self._queue.clear()
        self._reader.abandon()
        if self._transport is not None:
            self._transport.abort()

    def _write(self, reply: HttpReply, *, keep_alive: bool) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(reply.encode(keep_alive=keep_alive))

    def _end(self) -> None:
        """Close the connection; after a refusal, leave the client time to read it."""
        if self._phase is Phase.READING or self._transport is None:
            self.close()
            return
        self._phase = Phase.LINGERING
        try:
            self._transport.write_eof()
        except OSError:
            # the client is gone
            self._abort()
            return
        self._transport.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self.close)

    def _throw_away(self, data: bytes) -> None:
        self._lingered_bytes += len(data)
        if self._lingered_bytes > LINGER_BYTES_MAX:
            self.close()


def _build_refusal(cause: RejectionCause) -> HttpReply:
    status = STATUSES[cause]
    headers: tuple[tuple[str, str], ...] = ()
    if status in RETRYABLE_STATUSES:
        headers = (("Retry-After", str(RETRY_AFTER_SECONDS)),)
    return HttpReply(status=status, headers=headers)
