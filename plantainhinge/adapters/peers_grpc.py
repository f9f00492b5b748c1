"""gRPC calls between the project's processes, with MessagePack instead of protobuf.

An asyncio event loop runs in a thread of its own; the rest of the process sees only
``concurrent.futures.Future``. grpclib accepts any codec, so the typed messages of
``core.messages`` are sent as they are, without generated code.
"""

import asyncio
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from ..core.clock import read_monotonic
from ..core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UnavailableError,
    UncertainError,
)
from ..core.events import EventList, EventRing, Stamp
from ..core.ids import ProcessId
from ..core.messages import (
    CancelJob,
    ClaimRequest,
    ClaimResponse,
    ClosuresAcknowledged,
    ConfigurationSnapshot,
    Empty,
    FinishClaim,
    Heartbeat,
    JobList,
    JobStatus,
    ListJobs,
    OfferAttempts,
    OffersAcknowledged,
    ProcessStatus,
    QueryEvents,
    QueryJob,
    QueryStatus,
    QueryTargets,
    ReportClosures,
    SubmitJob,
    TargetList,
)
from ..core.packing import DECODING_ERRORS
from ..core.settings import PeerLimits
from .peers_server import PeersServer

SERVICE = "plantainhinge.Peers"
STAMP_HEADER = "plantainhinge-stamp"
CALL_TIMEOUT_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 10.0
DRAIN_POLL_SECONDS = 0.02

Request = TypeVar("Request")
Response = TypeVar("Response")


@dataclass(frozen=True)
class Method(Generic[Request, Response]):
    """A unary gRPC method: its name and the types of its request and response."""

    name: str
    request: type[Request]
    response: type[Response]

    @property
    def path(self) -> str:
        """The request path of the method, as gRPC defines it."""
        return f"/{SERVICE}/{self.name}"


HEARTBEAT = Method("Heartbeat", Heartbeat, Heartbeat)
SUBMIT = Method("Submit", SubmitJob, JobStatus)
CANCEL = Method("Cancel", CancelJob, JobStatus)
QUERY_JOB = Method("QueryJob", QueryJob, JobStatus)
CLAIM = Method("Claim", ClaimRequest, ClaimResponse)
FINISH_CLAIM = Method("FinishClaim", FinishClaim, Empty)
OFFER = Method("Offer", OfferAttempts, OffersAcknowledged)
REPORT_CLOSURES = Method("ReportClosures", ReportClosures, ClosuresAcknowledged)
QUERY_TARGETS = Method("QueryTargets", QueryTargets, TargetList)
FETCH_CONFIGURATION = Method("FetchConfiguration", Empty, ConfigurationSnapshot)
QUERY_EVENTS = Method("QueryEvents", QueryEvents, EventList)
QUERY_STATUS = Method("QueryStatus", QueryStatus, ProcessStatus)
LIST_JOBS = Method("ListJobs", ListJobs, JobList)

METHODS: list[Method[Any, Any]] = [
    HEARTBEAT,
    SUBMIT,
    CANCEL,
    QUERY_JOB,
    CLAIM,
    FINISH_CLAIM,
    OFFER,
    REPORT_CLOSURES,
    QUERY_TARGETS,
    FETCH_CONFIGURATION,
    QUERY_EVENTS,
    QUERY_STATUS,
    LIST_JOBS,
]


def build_stamp_metadata(events: EventRing | None) -> dict[str, str]:
    """Return the gRPC metadata with the current stamp of the hybrid logical clock."""
    if events is None:
        return {}
    stamp = events.read_stamp()
    return {STAMP_HEADER: f"{stamp.wall!r} {stamp.counter}"}


def merge_stamp_metadata(events: EventRing | None, metadata: Any) -> None:
    """Advance the hybrid logical clock past a received stamp, unless malformed."""
    if events is None or not metadata or STAMP_HEADER not in metadata:
        return
    wall, _, counter = str(metadata[STAMP_HEADER]).partition(" ")
    with suppress(ValueError):
        events.merge_stamp(Stamp(float(wall), int(counter), ProcessId("")))


class MessageCodec(CodecBase):
    """Codec for grpclib that encodes typed messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: object, message_type: type) -> bytes:
        """Encode a message, unless it is already; ``message_type`` is unused."""
        if isinstance(message, bytes):
            return message
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: type[Response]) -> Response:
        """Decode a message of the given type."""
        return msgspec.msgpack.decode(data, type=message_type)


@dataclass
class Call:
    """A call received from a peer; setting the result of ``response`` answers it."""

    method: Method[Any, Any]
    request: Any
    response: Future[Any]


class Peers:
    """The gRPC server of a process and its channels to peers.

    Every request and response carries a stamp of the sender's hybrid logical clock, so
    that the timeline shows an effect in one process after its cause in another.

    Parameters
    ----------
    events : EventRing or None
        Holds the clock; if None, no stamps are sent or merged.
    limits : PeerLimits, optional
        What all connections to the server may use together.
    """

    def __init__(
        self, events: EventRing | None = None, *, limits: PeerLimits | None = None
    ) -> None:
        self.events = events
        self._limits = limits or PeerLimits()
        self._channels: dict[str, Channel] = {}
        self._loop = asyncio.new_event_loop()

    def call(
        self,
        address: str,
        method: Method[Request, Response],
        request: Request,
        *,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Future[Response]:
        """Call a peer at ``ip:port``; the future raises ``PlantainhingeError``."""
        coroutine = self._call(address, method, request, timeout)
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    @contextmanager
    def connect(self) -> Iterator[None]:
        """Run the event loop, so that peers can be called, until the block ends."""
        thread = threading.Thread(target=self._loop.run_forever, name="peers")
        thread.start()
        try:
            yield
        finally:
            asyncio.run_coroutine_threadsafe(
                self._close_channels(), self._loop
            ).result()
            self._loop.call_soon_threadsafe(self._loop.stop)
            thread.join()

    @contextmanager
    def serve(
        self, ip: str, port: int, on_call: Callable[[Call], None]
    ) -> Iterator[None]:
        """Serve peers at ``ip:port``, and allow calls, until the block ends.

        Parameters
        ----------
        on_call : callable
            Called with each received call, in the thread of the event loop; must not
            block.
        """
        with self.connect():
            service = _Service(self, on_call)
            starting = asyncio.run_coroutine_threadsafe(
                self._start(ip, port, service), self._loop
            )
            server = starting.result()
            try:
                yield
            finally:
                stopping = asyncio.run_coroutine_threadsafe(
                    _stop(server, service), self._loop
                )
                stopping.result()

    async def _start(self, ip: str, port: int, service: "_Service") -> PeersServer:
        server = PeersServer([service], codec=MessageCodec(), limits=self._limits)
        service.server = server
        server.listen(f"{ip}:{port}")
        return server

    async def _close_channels(self) -> None:
        for channel in self._channels.values():
            channel.close()

    async def _call(
        self,
        address: str,
        method: Method[Request, Response],
        request: Request,
        timeout: float,
    ) -> Response:
        step = f"peer.{method.name}"
        call = UnaryUnaryMethod(
            self._get_channel(address), method.path, method.request, method.response
        )
        try:
            return await self._exchange(call, request, timeout)
        except ConnectionRefusedError as error:
            raise UnavailableError(str(error), step=step, peer=address) from error
        except GRPCError as error:
            raise _convert_grpc_error(error, step, address) from error
        except _UNCERTAIN_ERRORS as error:
            message = str(error) or type(error).__name__
            raise UncertainError(message, step=step, peer=address) from error

    async def _exchange(
        self, call: UnaryUnaryMethod[Any, Response], request: Any, timeout: float
    ) -> Response:
        metadata = build_stamp_metadata(self.events)
        async with call.open(timeout=timeout, metadata=metadata) as stream:
            await stream.send_message(request, end=True)
            response = await stream.recv_message()
            await stream.recv_trailing_metadata()
            merge_stamp_metadata(self.events, stream.trailing_metadata)
        if response is None:
            raise ProtocolError("the answer has no message")
        return response

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            ip, _, port = address.rpartition(":")
            channel = Channel(ip, int(port), codec=MessageCodec())
            self._channels[address] = channel
        return channel


# after these, the peer may have executed the call
_UNCERTAIN_ERRORS = (
    OSError,
    TimeoutError,
    StreamTerminatedError,
    ProtocolError,
    *DECODING_ERRORS,
)


class _Service:
    """The handlers of all methods, in the form that grpclib's server expects."""

    def __init__(self, peers: Peers, on_call: Callable[[Call], None]) -> None:
        self.server: PeersServer | None = None
        self._peers = peers
        self._on_call = on_call
        self._pending = 0

    async def drain(self) -> None:
        """Wait until all received calls are answered, up to the response timeout."""
        deadline = read_monotonic() + RESPONSE_TIMEOUT_SECONDS
        while self._pending and read_monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    @contextmanager
    def _track(self) -> Iterator[None]:
        self._pending += 1
        try:
            yield
        finally:
            self._pending -= 1

    def __mapping__(self) -> dict[str, Handler]:
        return {
            method.path: Handler(
                self._make_handler(method),
                Cardinality.UNARY_UNARY,
                method.request,
                method.response,
            )
            for method in METHODS
        }

    def _make_handler(self, method: Method[Any, Any]) -> Callable[..., Any]:
        async def handle(stream: Stream[Any, Any]) -> None:
            request = await _receive(stream)
            merge_stamp_metadata(self._peers.events, stream.metadata)
            response: Future[Any] = Future()
            self._on_call(Call(method, request, response))
            with self._track():
                await self._send_response(stream, response)

        return handle

    async def _send_response(
        self, stream: Stream[Any, Any], response: Future[Any]
    ) -> None:
        """Send a future's result; a disconnect doesn't cancel the future."""
        shielded = asyncio.shield(asyncio.wrap_future(response))
        try:
            message = await asyncio.wait_for(shielded, RESPONSE_TIMEOUT_SECONDS)
        except PlantainhingeError as error:
            await _send_status(stream, _build_grpc_error(error))
        except TimeoutError:
            await _send_status(
                stream, GRPCError(Status.UNKNOWN, "not answered in time")
            )
        else:
            await self._send_message(stream, msgspec.msgpack.encode(message))

    async def _send_message(self, stream: Stream[Any, Any], message: bytes) -> None:
        assert self.server is not None
        # grpclib doesn't tell its connection otherwise
        connection = stream._stream.connection
        async with self.server.limit_answer(connection, len(message)):
            await stream.send_message(message)
            metadata = build_stamp_metadata(self._peers.events)
            await stream.send_trailing_metadata(metadata=metadata)


async def _receive(stream: Stream[Any, Any]) -> Any:
    try:
        request = await stream.recv_message()
    # the second: a compressed message; the third: one that ends early
    except (*DECODING_ERRORS, NotImplementedError, AssertionError) as error:
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
    return request


async def _send_status(stream: Stream[Any, Any], error: GRPCError) -> None:
    await stream.send_trailing_metadata(
        status=error.status, status_message=error.message
    )


async def _stop(server: PeersServer, service: "_Service") -> None:
    await service.drain()
    server.close()
    await server.wait_closed()


def _build_grpc_error(error: PlantainhingeError) -> GRPCError:
    if isinstance(error, NotOwnerError):
        return GRPCError(Status.FAILED_PRECONDITION, error.message)
    if isinstance(error, UnavailableError):
        return GRPCError(Status.UNAVAILABLE, error.message)
    if isinstance(error, BadInputError):
        return GRPCError(Status.INVALID_ARGUMENT, error.message)
    return GRPCError(Status.UNKNOWN, str(error))


def _convert_grpc_error(error: GRPCError, step: str, peer: str) -> PlantainhingeError:
    message = error.message or error.status.name
    if error.status is Status.FAILED_PRECONDITION:
        return NotOwnerError(message, step=step, peer=peer)
    if error.status is Status.UNAVAILABLE:
        return UnavailableError(message, step=step, peer=peer)
    if error.status is Status.INVALID_ARGUMENT:
        return BadInputError(message, step=step, peer=peer)
    return UncertainError(message, step=step, peer=peer)
