"""A stand-in for a target: answers after a service time, with a fault table.

A caller asks for a longer service time by ``?service_ms=`` in the path.

It speaks HTTP over plain sockets, so that a fault can cut an answer anywhere,
and it counts connections and runs as a witness of its own.
"""

import argparse
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from io import BufferedReader
from urllib.parse import parse_qs, urlsplit

import msgspec

from .witness import Witness

SERVICE_SECONDS = 0.002
SERVICE_SECONDS_MAX = 10.0
MILLISECONDS = 1000
REQUEST_HEADER = "plantainhinge-request-id"
ANSWER = (
    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
    "Content-Length: {length}\r\nPlantainhinge-Request-Id: {request}\r\n"
    "Plantainhinge-In-Flight: {in_flight}\r\n{extra}\r\n"
)


class Fault(Enum):
    """What a target does to a request instead of answering it well."""

    NONE = "none"
    SLOW = "slow"
    FROZEN = "frozen"
    CUT_BEFORE_ANSWER = "cut-before-answer"
    CUT_AFTER_HEADERS = "cut-after-headers"
    CUT_IN_BODY = "cut-in-body"
    NO_LENGTH = "no-length"
    DRIP = "drip"
    CROSSED = "crossed"
    TWICE = "twice"
    GARBAGE = "garbage"
    FAILS = "fails"
    REFUSES = "refuses"
    LEAVING = "leaving"
    TOO_LONG = "too-long"


class Executed(msgspec.Struct, kw_only=True):
    """What a target says of a request it ran."""

    request: str
    path: str
    target: str


@dataclass
class Target:
    """Runs any request and keeps what it saw.

    Parameters
    ----------
    service_seconds : float
        How long a slot is held by one request.
    plan : list of Fault
        Faults of the next requests, first come first; then ``fault`` holds.
    """

    name: str
    slots: int = 8
    service_seconds: float = SERVICE_SECONDS
    fault: Fault = Fault.NONE
    plan: list[Fault] = field(default_factory=list)
    witness: Witness = field(default_factory=lambda: Witness(""))
    executed: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    most_connections: int = 0
    in_flight: int = 0
    most_in_flight: int = 0

    def __post_init__(self) -> None:
        self.lock = threading.Lock()
        self.thaw = threading.Event()
        self._open: set[socket.socket] = set()
        self._running = threading.BoundedSemaphore(self.slots)

    def pick_fault(self) -> Fault:
        """Return the fault of the next request."""
        with self.lock:
            return self.plan.pop(0) if self.plan else self.fault

    def open(self, connection: socket.socket) -> None:
        """Count a connection that was opened."""
        with self.lock:
            self._open.add(connection)
            self.most_connections = max(self.most_connections, len(self._open))

    def close(self, connection: socket.socket) -> None:
        """Count a connection that was closed."""
        with self.lock:
            self._open.discard(connection)

    def count_open(self) -> int:
        """Return the connections that are open."""
        with self.lock:
            return len(self._open)

    def hang_up(self) -> None:
        """Read no more from any connection; answers under way still go out."""
        self.thaw.set()
        with self.lock:
            for connection in self._open:
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)

    def enter(self, change: int) -> int:
        """Count a request that came or was settled; return those in flight."""
        with self.lock:
            self.in_flight += change
            self.most_in_flight = max(self.most_in_flight, self.in_flight)
            return self.in_flight

    def execute(self, request: str, method: str, path: str) -> None:
        """Run a request in a slot, for as long as its path asks."""
        with self._running:
            time.sleep(_read_service_time(path, self.service_seconds))
            with self.lock:
                self.executed.append(request)
            self.witness.note_request(request, method, urlsplit(path).path, self.name)


@dataclass
class _Exchange:
    connection: socket.socket
    target: Target
    request: str
    method: str
    path: str
    fault: Fault

    def run(self) -> bool:
        """Answer one request; return whether the connection goes on."""
        self.target.enter(1)
        try:
            if self.fault is Fault.REFUSES:
                self.target.refused.append(self.request)
            else:
                if self.fault is Fault.FROZEN:
                    self.target.thaw.wait()
                self.target.execute(self.request, self.method, self.path)
        finally:
            self.in_flight = self.target.enter(-1)
        return _ANSWERS.get(self.fault, _answer_well)(self)

    def send(
        self,
        *,
        status: str = "200 OK",
        request: str = "",
        extra: str = "",
        body: bytes | None = None,
        cut: int | None = None,
    ) -> None:
        """Send an answer, or the first ``cut`` bytes of its body."""
        content = self.describe() if body is None else body
        head = ANSWER.format(
            status=status,
            length=len(content),
            request=request or self.request,
            in_flight=self.in_flight,
            extra=extra,
        )
        self.connection.sendall(head.encode() + content[:cut])

    def describe(self) -> bytes:
        """Return the body of a good answer."""
        return msgspec.json.encode(
            Executed(request=self.request, path=self.path, target=self.target.name)
        )


def _answer_well(exchange: _Exchange) -> bool:
    exchange.send()
    return True


def _answer_slowly(exchange: _Exchange) -> bool:
    time.sleep(exchange.target.service_seconds * 20)
    exchange.send()
    return True


def _cut_before(exchange: _Exchange) -> bool:
    return False


def _cut_after_headers(exchange: _Exchange) -> bool:
    exchange.send(cut=0)
    return False


def _cut_in_body(exchange: _Exchange) -> bool:
    exchange.send(cut=10)
    return False


def _answer_without_length(exchange: _Exchange) -> bool:
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_HEADER}: {exchange.request}\r\n\r\n"
    exchange.connection.sendall(head.encode())
    return False


def _drip(exchange: _Exchange) -> bool:
    for byte in b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 80:
        exchange.connection.sendall(bytes([byte]))
        time.sleep(0.02)
    return False


def _answer_another(exchange: _Exchange) -> bool:
    other = Executed(request="0" * 32, path="/", target=exchange.target.name)
    exchange.send(request=other.request, body=msgspec.json.encode(other))
    return True


def _answer_twice(exchange: _Exchange) -> bool:
    exchange.send()
    exchange.send()
    return True


def _answer_garbage(exchange: _Exchange) -> bool:
    exchange.connection.sendall(b"\x00\xff garbage \r\n\r\n")
    return False


def _fail(exchange: _Exchange) -> bool:
    exchange.send(status="500 Internal Server Error", body=b"{}")
    return True


def _refuse(exchange: _Exchange) -> bool:
    extra = "Plantainhinge-Refused: 1\r\n"
    exchange.send(status="503 Service Unavailable", extra=extra, body=b"{}")
    return True


def _say_leaving(exchange: _Exchange) -> bool:
    exchange.send(extra="Plantainhinge-Leaving: 1\r\n")
    return True


def _answer_at_length(exchange: _Exchange) -> bool:
    exchange.send(body=b"x" * (5 * 1024 * 1024))
    return True


_ANSWERS: dict[Fault, Callable[[_Exchange], bool]] = {
    Fault.SLOW: _answer_slowly,
    Fault.CUT_BEFORE_ANSWER: _cut_before,
    Fault.CUT_AFTER_HEADERS: _cut_after_headers,
    Fault.CUT_IN_BODY: _cut_in_body,
    Fault.NO_LENGTH: _answer_without_length,
    Fault.DRIP: _drip,
    Fault.CROSSED: _answer_another,
    Fault.TWICE: _answer_twice,
    Fault.GARBAGE: _answer_garbage,
    Fault.FAILS: _fail,
    Fault.REFUSES: _refuse,
    Fault.LEAVING: _say_leaving,
    Fault.TOO_LONG: _answer_at_length,
}


@contextmanager
def serve_target(target: Target, ip: str, port: int = 0) -> Iterator[str]:
    """Serve until the block ends; give ``ip:port``."""
    listener = socket.create_server((ip, port), backlog=256)
    address = f"{ip}:{listener.getsockname()[1]}"
    thread = threading.Thread(target=_accept, args=(listener, target), daemon=True)
    thread.start()
    try:
        yield address
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(timeout=2.0)
        target.hang_up()


def _accept(listener: socket.socket, target: Target) -> None:
    with suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=_converse, args=(connection, target), daemon=True
            ).start()


def _converse(connection: socket.socket, target: Target) -> None:
    target.open(connection)
    try:
        with connection, connection.makefile("rb") as lines, suppress(OSError):
            while exchange := _read_exchange(connection, lines, target):
                if not exchange.run():
                    return
    finally:
        target.close(connection)


def _read_exchange(
    connection: socket.socket, lines: BufferedReader, target: Target
) -> _Exchange | None:
    first = lines.readline().decode("latin-1").split()
    if not first:
        return None
    headers = {}
    while line := lines.readline().decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    lines.read(int(headers.get("content-length", "0")))
    request = headers.get(REQUEST_HEADER, "")
    fault = target.pick_fault()
    return _Exchange(connection, target, request, first[0], first[1], fault)


def _read_service_time(path: str, default: float) -> float:
    values = parse_qs(urlsplit(path).query).get("service_ms")
    if not values:
        return default
    return min(SERVICE_SECONDS_MAX, int(values[0]) / MILLISECONDS)


def main() -> None:
    """Serve one target until a signal asks to stop."""
    parser = argparse.ArgumentParser(prog="python -m standins.target")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--seconds", type=float, default=SERVICE_SECONDS)
    options = parser.parse_args()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    with ExitStack() as stack:
        for port in options.ports:
            target = Target(str(port), service_seconds=options.seconds)
            stack.enter_context(serve_target(target, options.ip, port))
        stopped.wait()


if __name__ == "__main__":
    main()
