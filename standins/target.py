"""Stand-in for a target: responds after a service time, or with an injected fault.

A caller can ask for a longer service time with ``?service_ms=`` in the path.

It speaks HTTP over plain sockets, so that a fault can truncate a response at any
byte. It counts connections and executions itself, independently of the gateway.
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

DEFAULT_SERVICE_SECONDS = 0.002
SERVICE_SECONDS_MAX = 10.0
MS_PER_SECOND = 1000
REQUEST_HEADER = "plantainhinge-request-id"
RESPONSE_HEAD = (
    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
    "Content-Length: {length}\r\nPlantainhinge-Request-Id: {request}\r\n"
    "Plantainhinge-In-Flight: {in_flight}\r\n{extra}\r\n"
)


class Fault(Enum):
    """Faults that a target can apply to a request."""

    NONE = "none"
    SLOW = "slow"
    FROZEN = "frozen"
    CUT_BEFORE_RESPONSE = "cut-before-answer"
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
    """Response body for a request that was executed."""

    request: str
    path: str
    target: str


@dataclass
class Target:
    """Executes any request and records it.

    Parameters
    ----------
    service_seconds : float
        Default time for which a request occupies a slot.
    planned_faults : list of Fault
        Faults of the next requests, in order; afterwards ``fault`` applies.
    executed, refused : list of str
        Ids of the requests, in order.
    """

    name: str
    slots: int = 8
    service_seconds: float = DEFAULT_SERVICE_SECONDS
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
        """Return the fault of the next request and remove it from the plan."""
        with self.lock:
            return self.planned_faults.pop(0) if self.planned_faults else self.fault

    def add_connection(self, connection: socket.socket) -> None:
        """Register an open connection."""
        with self.lock:
            self._connections.add(connection)
            self.max_connections_seen = max(
                self.max_connections_seen, len(self._connections)
            )

    def remove_connection(self, connection: socket.socket) -> None:
        """Remove a closed connection."""
        with self.lock:
            self._connections.discard(connection)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        with self.lock:
            return len(self._connections)

    def shut_down_reads(self) -> None:
        """Stop reading from all connections; pending responses are still sent."""
        self.unfreeze.set()
        with self.lock:
            for connection in self._connections:
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)

    def change_in_flight(self, change: int) -> int:
        """Add ``change`` to the requests in flight and return their new number."""
        with self.lock:
            self.in_flight += change
            self.max_in_flight_seen = max(self.max_in_flight_seen, self.in_flight)
            return self.in_flight

    def execute(self, request: str, method: str, path: str) -> None:
        """Execute a request in a slot for the service time that its path asks for."""
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
        """Handle one request; return whether the connection stays open."""
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
        """Send a response, truncated after ``cut`` bytes of its body if given."""
        content = self.build_body() if body is None else body
        head = RESPONSE_HEAD.format(
            status=status,
            length=len(content),
            request=request or self.request,
            in_flight=self.in_flight,
            extra=extra,
        )
        self.connection.sendall(head.encode() + content[:cut])

    def build_body(self) -> bytes:
        """Return the body of a normal response."""
        return msgspec.json.encode(
            ExecutedRequest(
                request=self.request, path=self.path, target=self.target.name
            )
        )


def _respond(handler: _RequestHandler) -> bool:
    handler.send()
    return True


def _respond_slowly(handler: _RequestHandler) -> bool:
    time.sleep(handler.target.service_seconds * 20)
    handler.send()
    return True


def _cut_before_response(handler: _RequestHandler) -> bool:
    return False


def _cut_after_headers(handler: _RequestHandler) -> bool:
    handler.send(cut=0)
    return False


def _cut_in_body(handler: _RequestHandler) -> bool:
    handler.send(cut=10)
    return False


def _respond_without_length(handler: _RequestHandler) -> bool:
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_HEADER}: {handler.request}\r\n\r\n"
    handler.connection.sendall(head.encode())
    return False


def _send_headers_slowly(handler: _RequestHandler) -> bool:
    for byte in b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 80:
        handler.connection.sendall(bytes([byte]))
        time.sleep(0.02)
    return False


def _respond_to_other_request(handler: _RequestHandler) -> bool:
    other = ExecutedRequest(request="0" * 32, path="/", target=handler.target.name)
    handler.send(request=other.request, body=msgspec.json.encode(other))
    return True


def _respond_twice(handler: _RequestHandler) -> bool:
    handler.send()
    handler.send()
    return True


def _send_garbage(handler: _RequestHandler) -> bool:
    handler.connection.sendall(b"\x00\xff garbage \r\n\r\n")
    return False


def _respond_error(handler: _RequestHandler) -> bool:
    handler.send(status="500 Internal Server Error", body=b"{}")
    return True


def _respond_refused(handler: _RequestHandler) -> bool:
    extra = "Plantainhinge-Refused: 1\r\n"
    handler.send(status="503 Service Unavailable", extra=extra, body=b"{}")
    return True


def _respond_leaving(handler: _RequestHandler) -> bool:
    handler.send(extra="Plantainhinge-Leaving: 1\r\n")
    return True


def _respond_too_long(handler: _RequestHandler) -> bool:
    handler.send(body=b"x" * (5 * 1024 * 1024))
    return True


_FAULT_RESPONSES: dict[Fault, Callable[[_RequestHandler], bool]] = {
    Fault.SLOW: _respond_slowly,
    Fault.CUT_BEFORE_RESPONSE: _cut_before_response,
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
    """Serve a target until the block ends; yield ``ip:port``."""
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
            while handler := _read_request(connection, lines, target):
                if not handler.run():
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
    return min(SERVICE_SECONDS_MAX, int(values[0]) / MS_PER_SECOND)


def main() -> None:
    """Serve one target on each port until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="python -m standins.target")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SERVICE_SECONDS)
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
