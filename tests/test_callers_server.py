"""The server for callers over real sockets: malformed requests, limits and drain."""

import http.client
import io
import socket
import threading
import time

import msgspec
import pytest

from plantainhinge.adapters.callers_channel import CallersChannel
from plantainhinge.adapters.callers_server import CallersServer, serve_callers
from plantainhinge.core.settings import Callers

IP = "127.0.0.1"
TIMEOUT_SECONDS = 10.0
CLOSING_REQUEST = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
LIMITS = Callers(
    threads=4,
    connections=50,
    body_bytes=1000,
    header_bytes=1000,
    linger_seconds=0.1,
    drain_seconds=5.0,
)


class Application:
    """Responds to ``/slow`` once ``released`` is set, and to ``/large`` with 6 MB."""

    def __init__(self):
        self.entered = threading.Event()
        self.released = threading.Event()

    def __call__(self, environ, start_response):
        environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/slow":
            self.entered.set()
            self.released.wait(TIMEOUT_SECONDS)
        answer = b"x" * 6_000_000 if environ["PATH_INFO"] == "/large" else b"ok"
        start_response("200 OK", [("Content-Length", str(len(answer)))])
        return [answer]


def find_port():
    with socket.create_server((IP, 0)) as listener:
        return listener.getsockname()[1]


def read_status(port, data):
    """Send raw bytes and return the status line of the response."""
    return read_answer(port, data).split(b"\r\n")[0].decode()


def read_answer(port, data):
    """Send raw bytes and return all that comes back."""
    with socket.create_connection((IP, port), timeout=TIMEOUT_SECONDS) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        answer = b""
        while part := connection.recv(4096):
            answer += part
    return answer


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\xff\r\n\r\n", "400"),
        (b"GET / HTTP/9.9\r\n\r\n", "200"),
        (b"\r\n" * 100 + b"GET / HTTP/9.9\r\n\r\n", "200"),
        (b"\r\n" * 10_000, "400"),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 5000 + b"\r\n\r\n", "431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + b"y" * 5000, "413"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "200"),
    ],
)
def test_malformed_bytes_are_refused_and_the_server_keeps_serving(data, status):
    port = find_port()
    with serve_callers(Application(), IP, port, LIMITS):
        found = read_status(port, data)
        good = read_status(port, CLOSING_REQUEST)
    assert found.split()[1] == status
    assert good == "HTTP/1.1 200 OK"


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff\r\n\r\n",
        b"GET / HTTP/1.1\r\nX: " + b"y" * 5000 + b"\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
    ],
)
def test_a_refusal_says_that_the_request_was_not_run(data):
    port = find_port()
    with serve_callers(Application(), IP, port, LIMITS):
        answer = read_answer(port, data)
    assert answer.count(b"Plantainhinge-Outcome: not-run\r\n") == 1


# the connection was reset, and the answer lost with it
def test_a_client_that_sends_on_gets_its_refusal():
    port = find_port()
    with (
        serve_callers(Application(), IP, port, LIMITS),
        socket.create_connection((IP, port), timeout=TIMEOUT_SECONDS) as connection,
    ):
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n")
        for _ in range(9):
            connection.sendall(b"x" * 100_000)
            time.sleep(0.01)
        answer = connection.recv(4096)
        assert connection.recv(4096) == b""
    assert b" 413 " in answer


def test_a_drain_answers_requests_in_flight_and_closes_idle_connections():
    application, port = Application(), find_port()
    idle = http.client.HTTPConnection(IP, port, timeout=TIMEOUT_SECONDS)
    busy = http.client.HTTPConnection(IP, port, timeout=TIMEOUT_SECONDS)
    with serve_callers(application, IP, port, LIMITS) as server:
        idle.request("GET", "/")
        idle.getresponse().read()
        busy.request("GET", "/slow")
        assert application.entered.wait(TIMEOUT_SECONDS)
        closer = threading.Thread(target=server.drain)
        closer.start()
        assert idle.sock.recv(1) == b""
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((IP, port), timeout=TIMEOUT_SECONDS)
        application.released.set()
        response = busy.getresponse()
        assert (response.read(), response.will_close) == (b"ok", True)
        closer.join(TIMEOUT_SECONDS)
    assert not closer.is_alive()


def test_a_drain_ends_at_its_timeout_despite_a_hanging_request():
    application, port = Application(), find_port()
    limits = Callers(threads=1, linger_seconds=0.0, drain_seconds=0.2)
    server = CallersServer(application, IP, port, limits)
    thread = threading.Thread(target=server.run)
    thread.start()
    stuck = http.client.HTTPConnection(IP, port, timeout=TIMEOUT_SECONDS)
    stuck.request("GET", "/slow")
    assert application.entered.wait(TIMEOUT_SECONDS)
    server.drain()
    assert not application.released.is_set()
    server.stop()
    thread.join(TIMEOUT_SECONDS)
    assert not thread.is_alive()
    application.released.set()
    server.task_dispatcher.shutdown()


# silent connections kept everyone else out until they had been idle for two minutes
def test_the_connection_that_has_waited_longest_gives_way_to_a_new_one():
    application, port = Application(), find_port()
    limits = msgspec.structs.replace(LIMITS, connections=3)
    with serve_callers(application, IP, port, limits):
        busy = http.client.HTTPConnection(IP, port, timeout=TIMEOUT_SECONDS)
        busy.request("GET", "/slow")
        assert application.entered.wait(TIMEOUT_SECONDS)
        silent = [socket.create_connection((IP, port)) for _ in range(2)]
        silent[1].sendall(b"GET /half")
        answers = [read_status(port, CLOSING_REQUEST) for _ in range(3)]
        application.released.set()
        assert busy.getresponse().read() == b"ok"
        assert silent[0].recv(1) == b""
        for connection in (busy, *silent):
            connection.close()
    assert answers == ["HTTP/1.1 200 OK"] * 3


def test_the_largest_incomplete_request_gives_way_when_memory_is_spent():
    port = find_port()
    limits = msgspec.structs.replace(LIMITS, body_bytes=50_000, received_bytes=60_000)
    head = b"POST / HTTP/1.1\r\nContent-Length: 40000\r\n\r\n"
    with serve_callers(Application(), IP, port, limits) as server:
        large, small = (socket.create_connection((IP, port)) for _ in range(2))
        large.sendall(head + b"x" * 39_000)
        small.sendall(head + b"x" * 5_000)
        whole = read_status(port, head + b"x" * 40_000)
        refusal = large.recv(4096)
        small.sendall(b"x" * 35_000)
        answer = small.recv(4096)
        large.close()
        small.close()
        while server.budget.held:
            time.sleep(0.01)
    assert whole == "HTTP/1.1 200 OK"
    assert b" 503 " in refusal
    assert b"Retry-After: 1\r\n" in refusal
    assert b"Plantainhinge-Outcome: not-run\r\n" in refusal
    assert b" 200 " in answer


# each body over half a megabyte took a descriptor, and room on a disk
def test_a_large_body_is_not_written_to_a_file():
    port = find_port()
    limits = msgspec.structs.replace(LIMITS, body_bytes=1_000_000)
    with (
        serve_callers(Application(), IP, port, limits) as server,
        socket.create_connection((IP, port)) as connection,
    ):
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n")
        connection.sendall(b"x" * 800_000)
        while server.budget.held < 800_000:
            time.sleep(0.01)
        (channel,) = server.active_channels.values()
        body = channel.request.body_rcv.getfile()
    assert isinstance(body, io.BytesIO)


@pytest.fixture
def stalled_clients():
    """Return a function that opens clients which ask for large answers."""
    opened = []

    def open_clients(port, count, *, requests=1):
        for _ in range(count):
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((IP, port))
            client.sendall(b"GET /large HTTP/1.1\r\n\r\n" * requests)
            opened.append(client)

    yield open_clients
    for client in opened:
        client.close()


def test_a_client_that_reads_no_answer_gives_way(stalled_clients):
    port = find_port()
    limits = msgspec.structs.replace(LIMITS, connections=1)
    with serve_callers(Application(), IP, port, limits) as server:
        stalled_clients(port, 1)
        while not sum_unread(server):
            time.sleep(0.01)
        answers = [read_status(port, CLOSING_REQUEST) for _ in range(3)]
    assert answers == ["HTTP/1.1 200 OK"] * 3


# a thread waited for ever for the client to read
def test_a_client_that_reads_no_answers_is_closed_once_it_has_been_idle(
    stalled_clients,
):
    port = find_port()
    limits = msgspec.structs.replace(LIMITS, threads=1, idle_seconds=1)
    with serve_callers(Application(), IP, port, limits):
        stalled_clients(port, 1, requests=8)
        time.sleep(0.2)
        answer = read_status(port, CLOSING_REQUEST)
    assert answer == "HTTP/1.1 200 OK"


def test_answers_that_nobody_reads_are_bounded(stalled_clients):
    port = find_port()
    limits = msgspec.structs.replace(LIMITS, unread_bytes=7_000_000)
    with serve_callers(Application(), IP, port, limits) as server:
        stalled_clients(port, 4)
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while len(server.active_channels) < 4 or not sum_unread(server):
            time.sleep(0.01)
        while sum_unread(server) > limits.unread_bytes:
            assert time.monotonic() < deadline
            time.sleep(0.1)
        left = len(server.active_channels)
        answer = read_status(port, CLOSING_REQUEST)
    assert 0 < left < 4
    assert answer == "HTTP/1.1 200 OK"


def sum_unread(server):
    return sum(c.total_outbufs_len for c in list(server.active_channels.values()))


def test_a_connection_that_breaks_while_it_is_refused_is_closed():
    here, there = socket.socketpair()
    port = find_port()
    with here, there, serve_callers(Application(), IP, port, LIMITS) as server:
        channel = CallersChannel(server, here, ("", 0), server.adj, map={})
        channel.is_refused = True
        channel.handle_close()  # as on an error of its socket
        channel.will_close = True
        channel.handle_close()  # as after its last answer
        assert channel.socket is None


@pytest.mark.parametrize(("idle_seconds", "idle"), [(0.0, False), (60.0, True)])
def test_a_connection_is_idle_only_after_the_grace_period(idle_seconds, idle):
    here, there = socket.socketpair()
    with here, there:
        channel = CallersChannel.__new__(CallersChannel)
        channel.last_activity = time.time() - idle_seconds
        channel.requests_lock = threading.Lock()
        channel.requests = []
        channel.request = None
        channel.total_outbufs_len = 0
        channel.socket = here
        assert channel.is_idle() is idle
