"""A grpclib server whose connections share bounds, so that no peer can exhaust it.

grpclib itself bounds what a connection may have sent and nobody has read; but it reads
a message of any announced length, and accepts any number of connections.
"""

import asyncio
import resource
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from grpclib.protocol import Connection, EventsProcessor, H2Protocol, Stream
from grpclib.server import Server
from h2.events import Event, RequestReceived, StreamEnded

from ..core.ids import Seconds
from ..core.settings import PeerLimits
from .acceptor import Acceptor
from .stream_http_limits import ReceiveBudget

# share of the system's limit of open files that peers' connections may take
FILES_RATIO = 0.25
# beyond this, bytes without any event of HTTP/2 are an endless head
FRAMING_BYTES_MAX = 65_536
HEADER_BYTES_MAX = 8192
# memory that a call takes up beside its message, with its headers
CALL_OVERHEAD_BYTES = 16_384
# of answers to pings and settings, which are sent without flow control
UNREAD_BYTES_MAX = 1 << 20
# for a peer to read an answer
ANSWER_SECONDS_MAX = Seconds(10.0)


class PeersServer(Server):
    """A gRPC server that closes connections for the sake of others.

    Parameters
    ----------
    limits : PeerLimits
        What all connections may use together.
    """

    def __init__(self, *arguments: Any, limits: PeerLimits, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.limits = limits
        self.budget = ReceiveBudget(limits.held_bytes, may_one_exceed=False)
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._connections_max = min(limits.connections, int(FILES_RATIO * files))
        # the one whose last call is longest ago comes first
        self._connections: dict[Connection, PeerConnection] = {}
        self._acceptor = Acceptor(
            self._protocol_factory, self._has_room, self._close_idle
        )

    def listen(self, address: str) -> None:
        """Accept connections at ``host:port``."""
        self._acceptor.start(address)

    def close(self) -> None:
        """Stop listening, and cancel all calls."""
        self._acceptor.close()
        for handler in self._handlers:
            handler.close()

    async def wait_closed(self) -> None:
        """Wait until all calls have ended."""
        await asyncio.gather(*(handler.wait_closed() for handler in self._handlers))

    @asynccontextmanager
    async def limit_answer(
        self, connection: Connection, size: int
    ) -> AsyncIterator[None]:
        """Count an answer as memory of its connection while the block sends it.

        If the peer doesn't read it in time, the connection is closed.
        """
        peer = self._connections.get(connection)
        if peer is None:
            yield
            return
        peer.hold_answer(size)
        try:
            async with asyncio.timeout(ANSWER_SECONDS_MAX):
                yield
        except TimeoutError:
            peer.abort()
        finally:
            peer.hold_answer(-size)

    def add(self, connection: Connection, peer: "PeerConnection") -> None:
        """Keep a connection that has been made."""
        self._connections[connection] = peer
        self._acceptor.note_made()
        # there is one more that may give way
        self._acceptor.resume()

    def note_call(self, connection: Connection) -> None:
        """Note that a connection has just had a call."""
        peer = self._connections.pop(connection, None)
        if peer is not None:
            self._connections[connection] = peer

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self._connections.pop(connection, None)
        self._acceptor.resume()

    def note_release(self) -> None:
        """Note that a call has ended, so that its connection may be idle."""
        self._acceptor.resume()

    def make_room(self, asking: "PeerConnection", size: int) -> bool:
        """Return whether a connection may hold more, if need be at others' expense."""
        return self.budget.make_room(asking, size, list(self._connections.values()))

    def _protocol_factory(self) -> H2Protocol:
        base = super()._protocol_factory()
        return PeerConnection(self, base.handler, base.config, base.h2_config)

    def _has_room(self) -> bool:
        opened = len(self._connections) + self._acceptor.opening
        return opened < self._connections_max

    def _close_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is."""
        idle = (peer for peer in self._connections.values() if not peer.busy)
        longest = next(idle, None)
        if longest is None:
            return False
        longest.abort()
        return True


class PeerConnection(H2Protocol):
    """A peer's connection, whose calls and answers count in the server's budget."""

    def __init__(self, server: PeersServer, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.held_bytes = 0
        self._server = server
        self._is_closed = False
        self._framing_bytes = 0
        self._answer_bytes = 0
        self._transport: asyncio.Transport | None = None
        # ids of the streams whose request has been read whole
        self._whole: set[int] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by asyncio, like the next two methods."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        super().connection_made(transport)
        # heads of peers are small; HTTP/2 would let them have 64 KiB
        decoder = self.connection._connection.decoder
        decoder.max_header_list_size = HEADER_BYTES_MAX
        self.processor = _Events(self)
        self._server.add(self.connection, self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        super().connection_lost(exc)
        self._release()

    def data_received(self, data: bytes) -> None:
        """Handle received frames, as far as there is memory for them."""
        if self._is_closed:
            return
        if not self._server.make_room(self, len(data)):
            self.abort()
            return
        self._framing_bytes += len(data)
        super().data_received(data)
        self._update_budget()
        if self._is_over_a_limit():
            self.abort()

    @property
    def busy(self) -> bool:
        """Whether a call that was read whole is being handled."""
        return any(stream in self._whole for stream in self.processor.streams)

    @property
    def unfinished_bytes(self) -> int:
        """Memory that it holds because its peer doesn't send or read the rest."""
        return self._measure(whole=False) + self._answer_bytes

    def hold_answer(self, size: int) -> None:
        """Count an answer that is being sent; negative once it is not any more."""
        if self._is_closed:
            return
        self._answer_bytes += size
        self._update_budget()
        if size > 0 and not self._server.make_room(self, 0):
            self.abort()

    def give_way(self) -> None:
        """Close the connection, for the sake of others."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; its calls are cancelled."""
        self._is_closed = True
        self.processor.close("over a limit of the server")
        if self._transport is not None:
            self._transport.abort()
        self._release()

    def _release(self) -> None:
        self._is_closed = True
        self._server.remove(self.connection)
        self._server.budget.held -= self.held_bytes
        self.held_bytes = 0

    def _update_budget(self) -> None:
        if self._is_closed:
            return
        self._whole.intersection_update(self.processor.streams)
        held = self._measure(whole=True) + self.unfinished_bytes
        self._server.budget.held += held - self.held_bytes
        self.held_bytes = held

    def _measure(self, *, whole: bool) -> int:
        """Return the memory of the calls that were read whole, or of the others."""
        return sum(
            CALL_OVERHEAD_BYTES + stream.data_received
            for number, stream in self.processor.streams.items()
            if (number in self._whole) is whole
        )

    def _is_over_a_limit(self) -> bool:
        if self._is_closed or self._transport is None:
            return False
        largest = max(
            (stream.data_received for stream in self.processor.streams.values()),
            default=0,
        )
        return (
            largest > self._server.limits.message_bytes
            or self._framing_bytes > FRAMING_BYTES_MAX
            or self._transport.get_write_buffer_size() > UNREAD_BYTES_MAX
        )

    def note_release(self) -> None:
        """Note that a call has ended."""
        self._update_budget()
        self._server.note_release()

    def note_event(self, event: Event) -> None:
        """Note that the peer makes progress."""
        self._framing_bytes = 0
        if isinstance(event, StreamEnded):
            self._whole.add(event.stream_id)
        if isinstance(event, RequestReceived):
            self._server.note_call(self.connection)


class _Events(EventsProcessor):
    def __init__(self, peer: PeerConnection) -> None:
        super().__init__(peer.handler, peer.connection)
        self._peer = peer

    def register(self, stream: Stream) -> Callable[[], None]:
        release = super().register(stream)

        def release_and_note() -> None:
            release()
            self._peer.note_release()

        return release_and_note

    def process(self, event: Event) -> None:
        self._peer.note_event(event)
        # others, such as unknown frames, are to be ignored
        if event.__class__ in getattr(self, "processors", {}):
            super().process(event)
