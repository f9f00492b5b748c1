"""Crowds of clients that don't behave: they send without end, too much, or nothing.

Each kind of client is registered with the size of its crowd. A client sends what its
kind sends, as far as the server lets it, and then stays until the crowd is closed.
"""

import asyncio
import json
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

from h2.config import H2Configuration
from h2.connection import H2Connection

from plantainhinge.core.ids import JobId, QueueName, ServiceId
from plantainhinge.core.registry import Registry
from plantainhinge.jobs.forwarding import PassedJob, encode_call
from plantainhinge.jobs.model import JobRecord, JobSpec, QueuePolicy, Step

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
PIECE_BYTES = 64 * KIBIBYTE
# after this the crowd counts as having sent what the server lets it send
SENDING_SECONDS_MAX = 20.0
# the kernel's table of connections, with the bytes in their receive queues
TCP_TABLE = Path("/proc/net/tcp")
POLL_SECONDS = 0.05
UNCHANGED_POLLS_MAX = 10
# small, so that answers which nobody reads stay at the server
RECEIVE_BUFFER_BYTES = 4 * KIBIBYTE
# as many requests as a server may keep for one connection, or more
PIPELINED_REQUESTS = 16
STEPS = 87_000


SendPieces = Callable[[int], Iterator[bytes]]
RunClient = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients of one kind.

    Parameters
    ----------
    connections : int
        Number of clients, with one connection each.
    run : callable
        Sends what one client sends, and returns once all of it is sent.
    """

    connections: int
    run: RunClient


CROWDS: Registry[Crowd] = Registry("crowd")


def crowd(name: str, *, connections: int) -> Callable[[SendPieces], SendPieces]:
    """Return a decorator that registers what each client of a crowd sends in pieces.

    Parameters
    ----------
    name : str
        Name of the kind of client.
    connections : int
        Number of clients.
    """

    def register(send: SendPieces) -> SendPieces:
        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
        ) -> None:
            for piece in send(number):
                writer.write(piece)
                await writer.drain()

        CROWDS.register(name)(Crowd(connections=connections, run=run))
        return send

    return register


@asynccontextmanager
async def open_crowd(name: str, address: str) -> AsyncIterator[None]:
    """Let a crowd send; its connections stay open until the block ends.

    The block begins once each client has sent all or was turned away, and the server
    has read that or doesn't go on reading.

    Parameters
    ----------
    address : str
        ``host:port`` of the server.
    """
    kind = CROWDS.find(name)
    closing = asyncio.Event()
    sent = [asyncio.Event() for _ in range(kind.connections)]
    clients = [
        asyncio.create_task(_keep_client(kind, address, number, sent[number], closing))
        for number in range(kind.connections)
    ]
    try:
        with suppress(TimeoutError):
            async with asyncio.timeout(SENDING_SECONDS_MAX):
                for event in sent:
                    await event.wait()
                await _wait_until_read(address)
        yield
    finally:
        closing.set()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _keep_client(
    kind: Crowd, address: str, number: int, sent: asyncio.Event, closing: asyncio.Event
) -> None:
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=RECEIVE_BUFFER_BYTES
        )
        with suppress(OSError):
            await kind.run(reader, writer, number)
        sent.set()
        await closing.wait()
        writer.transport.abort()
    except OSError:
        connection.close()
    finally:
        sent.set()


async def _wait_until_read(address: str) -> None:
    """Wait until a server has nothing left to read, or has stopped reading."""
    before, unchanged = -1, 0
    while unchanged < UNCHANGED_POLLS_MAX:
        unread = _count_unread_bytes(address)
        if unread == 0:
            return
        unchanged = unchanged + 1 if unread == before else 0
        before = unread
        await asyncio.sleep(POLL_SECONDS)


def _count_unread_bytes(address: str) -> int:
    """Return what a server's connections have received and it hasn't read.

    What waits at its listener, connections that it hasn't accepted, counts too.
    """
    host, _, port = address.rpartition(":")
    local = (
        f"{int.from_bytes(socket.inet_aton(host), sys.byteorder):08X}:{int(port):04X}"
    )
    rows = [line.split() for line in TCP_TABLE.read_text().splitlines()[1:]]
    return sum(int(row[4].partition(":")[2], 16) for row in rows if row[1] == local)


def _build_head(number: int, *headers: str) -> bytes:
    lines = [f"POST /jobs/{number:016x} HTTP/1.1", "Host: archive.example", *headers]
    return "".join(f"{line}\r\n" for line in lines).encode()


def _repeat(piece: bytes, size: int) -> Iterator[bytes]:
    """Yield a piece over and over until ``size`` bytes are reached."""
    block = piece * max(1, PIECE_BYTES // len(piece))
    for _ in range(size // len(block)):
        yield block
    yield block[: size % len(block)]


@crowd("small-chunks", connections=40)
def send_small_chunks(number: int) -> Iterator[bytes]:
    """Send a body in chunks of two bytes, and stop short of its end."""
    yield _build_head(number, "Transfer-Encoding: chunked") + b"\r\n"
    yield from _repeat(b"2\r\n  \r\n", 130_000 * 7)


@crowd("large-chunk", connections=100)
def send_large_chunk(number: int) -> Iterator[bytes]:
    """Send a chunk of 1 MiB, and stop short of its end."""
    yield _build_head(number, "Transfer-Encoding: chunked") + b"\r\n100000\r\n"
    yield from _repeat(b" ", MEBIBYTE - 1)


@crowd("bodies-within-the-limit", connections=300)
def send_body_within_the_limit(number: int) -> Iterator[bytes]:
    """Send a body of 256 KiB, and stop short of its end."""
    size = 256 * KIBIBYTE
    yield _build_head(number, f"Content-Length: {size}") + b"\r\n"
    yield from _repeat(b" ", size - 1)


@crowd("announced-over-the-limit", connections=100)
def announce_large_body(number: int) -> Iterator[bytes]:
    """Announce a body far over the limit, send some of it, and stop."""
    yield _build_head(number, "Content-Length: 100000000") + b"\r\n"
    yield from _repeat(b" ", 1_000_000)


@crowd("sent-over-the-limit", connections=100)
def send_large_body(number: int) -> Iterator[bytes]:
    """Send a body far over the limit without a word about its size."""
    yield _build_head(number, "Transfer-Encoding: chunked") + b"\r\n"
    for _ in range(64):
        yield b"10000\r\n" + b" " * PIECE_BYTES + b"\r\n"


@crowd("header-value", connections=30)
def send_header_value(number: int) -> Iterator[bytes]:
    """Send a header's value without end."""
    yield _build_head(number) + b"X: "
    yield from _repeat(b"v", 4 * MEBIBYTE)


@crowd("header-name", connections=30)
def send_header_name(number: int) -> Iterator[bytes]:
    """Send a header's name without end."""
    yield _build_head(number)
    yield from _repeat(b"n", 4 * MEBIBYTE)


@crowd("trailer", connections=30)
def send_trailer(number: int) -> Iterator[bytes]:
    """Send a trailer's value without end after a complete body."""
    head = _build_head(number, "Transfer-Encoding: chunked")
    yield head + b"\r\n2\r\n{}\r\n0\r\nX: "
    yield from _repeat(b"v", 4 * MEBIBYTE)


@crowd("many-headers", connections=300)
def send_many_headers(number: int) -> Iterator[bytes]:
    """Send many short headers, in all below the usual limit, and stop."""
    names = (f"{name:x}:\r\n" for name in range(3000))
    yield _build_head(number) + "".join(names).encode()


@crowd("pipelined-bodies", connections=30)
def pipeline_bodies(number: int) -> Iterator[bytes]:
    """Send many good jobs with large bodies, one behind the other."""
    job = json.dumps({"spec": "0.1", "steps": [{"cpu": 100}]}).encode()
    body = job.ljust(250 * KIBIBYTE)
    for index in range(2 * PIPELINED_REQUESTS):
        head = _build_head(1000 * (number + 1) + index, f"Content-Length: {len(body)}")
        yield head + b"\r\n" + body


@crowd("many-steps", connections=100)
def send_many_steps(number: int) -> Iterator[bytes]:
    """Send a body within the limit with more steps than a job may have."""
    body = b'{"spec":"","steps":[' + b"{}," * (STEPS - 1) + b"{}]}"
    yield _build_head(number, f"Content-Length: {len(body)}") + b"\r\n" + body


@crowd("largest-jobs", connections=60)
def send_largest_job(number: int) -> Iterator[bytes]:
    """Submit a good job with as many steps as a job may have."""
    body = b'{"spec":"0.1","steps":[' + b"{}," * 19_999 + b"{}]}"
    yield _build_head(number + 1000, f"Content-Length: {len(body)}") + b"\r\n" + body


@crowd("many-tasks", connections=12)
def send_many_tasks(number: int) -> Iterator[bytes]:
    """Submit good jobs of one step with as many tasks as a job may have."""
    body = b'{"spec":"0.1","steps":[{"count":20000,"cpu":100}]}'
    for index in range(8):
        head = _build_head(1000 * (number + 1) + index, f"Content-Length: {len(body)}")
        yield head + b"\r\n" + body


@crowd("forwarded-steps", connections=5)
def forward_many_steps(number: int) -> Iterator[bytes]:
    """Forward a job of very many steps, as one instance does to another."""
    steps = (Step(),) * 340_000
    policy = QueuePolicy(
        queue=QueueName("jobs"),
        service=ServiceId("archive"),
        priority=0,
        attempts=1,
        slack_factor=1.0,
        target_latency=1.0,
    )
    record = JobRecord(
        job=JobId(f"{number:016x}"),
        policy=policy,
        spec=JobSpec(payload="", steps=steps),
        accepted_at=0.0,
    )
    body = encode_call(PassedJob(record))
    yield f"POST /jobs HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    yield body


@crowd("silent", connections=200)
def send_nothing(number: int) -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


@crowd("silent-peers", connections=500)
def send_nothing_to_a_daemon(number: int) -> Iterator[bytes]:
    """Send nothing, from more clients than a process may have file descriptors."""
    return iter(())


@crowd("half-a-head", connections=200)
def send_half_a_head(number: int) -> Iterator[bytes]:
    """Send the beginning of a request, and stop."""
    yield _build_head(number)


@crowd("stalled-body", connections=200)
def send_part_of_a_body(number: int) -> Iterator[bytes]:
    """Send a request without the last byte of a small body."""
    yield _build_head(number, "Content-Length: 10") + b"\r\n" + b" " * 9


@crowd("empty-lines", connections=200)
def send_empty_lines(number: int) -> Iterator[bytes]:
    """Send empty lines instead of a request."""
    yield from _repeat(b"\r\n", 256 * KIBIBYTE)


@crowd("chunk-extension", connections=200)
def send_chunk_extension(number: int) -> Iterator[bytes]:
    """Send a chunk's extension without end."""
    yield _build_head(number, "Transfer-Encoding: chunked") + b"\r\n2;x="
    yield from _repeat(b"e", 256 * KIBIBYTE)


@crowd("half-megabyte-bodies", connections=200)
def send_half_a_megabyte(number: int) -> Iterator[bytes]:
    """Send a body of 500 kB, and stop short of its end."""
    yield _build_head(number, "Content-Length: 500000") + b"\r\n"
    yield from _repeat(b" ", 499_999)


@crowd("spooled-bodies", connections=200)
def send_body_for_a_file(number: int) -> Iterator[bytes]:
    """Send a body so large that a server may write it to a file, short of its end."""
    yield _build_head(number, "Content-Length: 600000") + b"\r\n"
    yield from _repeat(b" ", 599_999)


async def send_endless_message(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
) -> None:
    """Announce a gRPC message of 1 GiB, and send 200 MiB of it."""
    connection = H2Connection(H2Configuration(client_side=True))
    connection.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/plantainhinge.Peers/Heartbeat"),
        (":authority", "peer"),
        ("te", "trailers"),
        ("content-type", "application/grpc+msgpack"),
    ]
    connection.send_headers(1, headers)
    connection.send_data(1, b"\0" + (1024 * MEBIBYTE).to_bytes(4, "big"))
    left = 200 * MEBIBYTE
    while left > 0:
        writer.write(connection.data_to_send())
        await writer.drain()
        size = min(
            connection.local_flow_control_window(1), connection.max_outbound_frame_size
        )
        if size > 0:
            connection.send_data(1, b"x" * size)
            left -= size
            continue
        data = await reader.read(PIECE_BYTES)
        if not data:
            return
        connection.receive_data(data)


CROWDS.register("endless-message")(Crowd(connections=1, run=send_endless_message))
