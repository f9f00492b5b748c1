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

from .recorder import Recorder

SERVICE_SECONDS = 0.002
SERVICE_SECONDS_MAX = 10.0
MILLISECONDS = 1000
REQUEST_HEADER = "plantainhinge-request-id"
RESPONSE_HEAD = (
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


class ExecutedRequest(msgspec.Struct, kw_only=True):
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
    planned_faults: list[Fault] = field(default_factory=list)
    recorder: Recorder = field(default_factory=lambda: Recorder(""))
    executed: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    max_connections_seen: int = 0
    in_flight: int = 0
    max_in_flight_seen: int = 0

    def __post_init__(self) -> None:
        self.lock = threading.Lock()
        self.unfreeze = threading.Event()
        self._connections: set[socket.socket] = set()
        self._slots = threading.BoundedSemaphore(self.slots)

    def take_fault(self) -> Fault:
        """Return the fault of the next request."""
        with self.lock:
            return self.planned_faults.pop(0) if self.planned_faults else self.fault

    def add_connection(self, connection: socket.socket) -> None:
        """Count a connection that was opened."""
        with self.lock:
            self._connections.add(connection)
            self.max_connections_seen = max(
                self.max_connections_seen, len(self._connections)
            )

    def remove_connection(self, connection: socket.socket) -> None:
        """Count a connection that was closed."""
        with self.lock:
            self._connections.discard(connection)

    def count_connections(self) -> int:
        """Return the connections that are open."""
        with self.lock:
            return len(self._connections)

    def shut_down_reads(self) -> None:
        """Read no more from any connection; answers under way still go out."""
        self.unfreeze.set()
        with self.lock:
            for connection in self._connections:
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)

    def change_in_flight(self, change: int) -> int:
        """Count a request that came or was settled; return those in flight."""
        with self.lock:
            self.in_flight += change
            self.max_in_flight_seen = max(self.max_in_flight_seen, self.in_flight)
            return self.in_flight

    def execute(self, request: str, method: str, path: str) -> None:
        """Run a request in a slot, for as long as its path asks."""
        with self._slots:
            time.sleep(_read_service_time(path, self.service_seconds))
            with self.lock:
                self.executed.append(request)
            self.recorder.record_request(
                request, method, urlsplit(path).path, self.name
            )


@dataclass
class _RequestHandler:
    connection: socket.socket
    target: Target
    request: str
    method: str
    path: str
    fault: Fault

    def run(self) -> bool:
        """Answer one request; return whether the connection goes on."""
        self.target.change_in_flight(1)
        try:
            if self.fault is Fault.REFUSES:
                self.target.refused.append(self.request)
            else:
                if self.fault is Fault.FROZEN:
                    self.target.unfreeze.wait()
                self.target.execute(self.request, self.method, self.path)
        finally:
            self.in_flight = self.target.change_in_flight(-1)
        return _FAULT_RESPONSES.get(self.fault, _respond)(self)

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
        head = RESPONSE_HEAD.format(
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
            ExecutedRequest(
                request=self.request, path=self.path, target=self.target.name
            )
        )


def _respond(exchange: _RequestHandler) -> bool:
    exchange.send()
    return True


def _respond_slowly(exchange: _RequestHandler) -> bool:
    time.sleep(exchange.target.service_seconds * 20)
    exchange.send()
    return True


def _cut_before_response(exchange: _RequestHandler) -> bool:
    return False


def _cut_after_headers(exchange: _RequestHandler) -> bool:
    exchange.send(cut=0)
    return False


def _cut_in_body(exchange: _RequestHandler) -> bool:
    exchange.send(cut=10)
    return False


def _respond_without_length(exchange: _RequestHandler) -> bool:
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_HEADER}: {exchange.request}\r\n\r\n"
    exchange.connection.sendall(head.encode())
    return False


def _send_headers_slowly(exchange: _RequestHandler) -> bool:
    for byte in b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 80:
        exchange.connection.sendall(bytes([byte]))
        time.sleep(0.02)
    return False


def _respond_to_other_request(exchange: _RequestHandler) -> bool:
    other = ExecutedRequest(request="0" * 32, path="/", target=exchange.target.name)
    exchange.send(request=other.request, body=msgspec.json.encode(other))
    return True


def _respond_twice(exchange: _RequestHandler) -> bool:
    exchange.send()
    exchange.send()
    return True


def _send_garbage(exchange: _RequestHandler) -> bool:
    exchange.connection.sendall(b"\x00\xff garbage \r\n\r\n")
    return False


def _respond_error(exchange: _RequestHandler) -> bool:
    exchange.send(status="500 Internal Server Error", body=b"{}")
    return True


def _respond_refused(exchange: _RequestHandler) -> bool:
    extra = "Plantainhinge-Refused: 1\r\n"
    exchange.send(status="503 Service Unavailable", extra=extra, body=b"{}")
    return True


def _respond_leaving(exchange: _RequestHandler) -> bool:
    exchange.send(extra="Plantainhinge-Leaving: 1\r\n")
    return True


def _respond_too_long(exchange: _RequestHandler) -> bool:
    exchange.send(body=b"x" * (5 * 1024 * 1024))
    return True


_FAULT_RESPONSES: dict[Fault, Callable[[_RequestHandler], bool]] = {
    Fault.SLOW: _respond_slowly,
    Fault.CUT_BEFORE_ANSWER: _cut_before_response,
    Fault.CUT_AFTER_HEADERS: _cut_after_headers,
    Fault.CUT_IN_BODY: _cut_in_body,
    Fault.NO_LENGTH: _respond_without_length,
    Fault.DRIP: _send_headers_slowly,
    Fault.CROSSED: _respond_to_other_request,
    Fault.TWICE: _respond_twice,
    Fault.GARBAGE: _send_garbage,
    Fault.FAILS: _respond_error,
    Fault.REFUSES: _respond_refused,
    Fault.LEAVING: _respond_leaving,
    Fault.TOO_LONG: _respond_too_long,
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
        target.shut_down_reads()


def _accept(listener: socket.socket, target: Target) -> None:
    with suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=_serve_connection, args=(connection, target), daemon=True
            ).start()


def _serve_connection(connection: socket.socket, target: Target) -> None:
    target.add_connection(connection)
    try:
        with connection, connection.makefile("rb") as lines, suppress(OSError):
            while exchange := _read_request(connection, lines, target):
                if not exchange.run():
                    return
    finally:
        target.remove_connection(connection)


def _read_request(
    connection: socket.socket, lines: BufferedReader, target: Target
) -> _RequestHandler | None:
    first = lines.readline().decode("latin-1").split()
    if not first:
        return None
    headers = {}
    while line := lines.readline().decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    lines.read(int(headers.get("content-length", "0")))
    request = headers.get(REQUEST_HEADER, "")
    fault = target.take_fault()
    return _RequestHandler(connection, target, request, first[0], first[1], fault)


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
