"""Bounds of the gRPC server, against peers that don't keep to them."""

import socket
import time
from contextlib import contextmanager

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection

from plantainhinge.adapters import peers_server
from plantainhinge.adapters.peers_grpc import QUERY_EVENTS, Peers
from plantainhinge.core.errors import UncertainError
from plantainhinge.core.events import EventList
from plantainhinge.core.messages import QueryEvents
from plantainhinge.core.settings import PeerLimits

IP = "127.0.0.1"
RESPONSE = EventList(events=[])
TIMEOUT_SECONDS = 10.0
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", QUERY_EVENTS.path),
    (":authority", "peer"),
    ("te", "trailers"),
    ("content-type", "application/grpc+msgpack"),
]


@pytest.fixture
def client():
    peers = Peers()
    with peers.connect():
        yield peers


@contextmanager
def serve(**limits):
    """Serve; calls with the subject ``slow`` are never answered."""
    calls = []

    def on_call(call):
        calls.append(call)
        if call.request.subject != "slow":
            call.response.set_result(RESPONSE)

    with socket.create_server((IP, 0)) as listener:
        port = listener.getsockname()[1]
    with Peers(limits=PeerLimits(**limits)).serve(IP, port, on_call):
        yield f"{IP}:{port}", calls


def ask(client, address, subject=""):
    request = QueryEvents(subject=subject)
    return client.call(address, QUERY_EVENTS, request, timeout=TIMEOUT_SECONDS)


class RawPeer:
    """A connection whose frames the test chooses; it reads only what it is told to."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), TIMEOUT_SECONDS)
        self.h2 = H2Connection(H2Configuration(client_side=True))
        self.h2.initiate_connection()

    def send_part(self, stream, size):
        """Begin a call with a message of 1 GiB, and send some of it."""
        self.h2.send_headers(stream, HEADERS)
        self.h2.send_data(stream, b"\0" + (1 << 30).to_bytes(4, "big"))
        for _ in range(size // 10_000):
            self.h2.send_data(stream, b"x" * 10_000)
        self.flush()

    def flush(self):
        self.socket.sendall(self.h2.data_to_send())

    def is_closed(self):
        """Return whether the server has closed the connection, at once or soon."""
        self.socket.settimeout(0.5)
        try:
            while self.socket.recv(65_536):
                pass
        except TimeoutError:
            return False
        except OSError:
            pass
        return True


def test_a_message_over_the_limit_closes_its_connection_only(client):
    with serve(message_bytes=20_000) as (address, _):
        peer = RawPeer(address)
        peer.send_part(1, 40_000)
        assert peer.is_closed()
        large = ask(client, address, "x" * 30_000)
        assert isinstance(large.exception(TIMEOUT_SECONDS), UncertainError)
        assert ask(client, address).result(TIMEOUT_SECONDS) == RESPONSE


def test_the_peer_that_holds_most_is_closed_when_memory_is_spent(client):
    with serve(held_bytes=120_000) as (address, _):
        small, large = RawPeer(address), RawPeer(address)
        small.send_part(1, 20_000)
        large.send_part(1, 40_000)
        assert ask(client, address, "x" * 20_000).result(TIMEOUT_SECONDS) == RESPONSE
        assert large.is_closed()
        assert not small.is_closed()


def test_the_connection_that_is_idle_longest_gives_way(client):
    with serve(connections=3) as (address, calls):
        slow = ask(client, address, "slow")
        while not calls:
            time.sleep(0.01)
        idle = [RawPeer(address) for _ in range(4)]
        for peer in idle:
            peer.flush()
        other = Peers()
        with other.connect():
            assert ask(other, address).result(TIMEOUT_SECONDS) == RESPONSE
        assert idle[0].is_closed()
        assert not slow.done()
        calls[0].response.set_result(RESPONSE)
        assert slow.result(TIMEOUT_SECONDS) == RESPONSE


@pytest.mark.parametrize(
    "frames",
    [
        b"\x00\x40\x00\x01\x00\x00\x00\x00\x01" + b"\x00" * 0x4000,  # endless head
        b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + b"p" * 8,  # pings
    ],
    ids=["head", "pings"],
)
def test_frames_without_end_close_their_connection(client, frames):
    with serve() as (address, _):
        peer = RawPeer(address)
        peer.flush()
        block = frames.replace(b"\x01\x00\x00\x00\x00\x01", b"\x09\x00\x00\x00\x00\x01")
        try:
            peer.socket.sendall(frames)
            for _ in range(100):
                peer.socket.sendall(block * (400_000 // len(block)))
        except OSError:
            pass
        assert peer.is_closed()
        assert ask(client, address).result(TIMEOUT_SECONDS) == RESPONSE


def test_unknown_frames_are_ignored(client):
    with serve() as (address, _):
        peer = RawPeer(address)
        peer.flush()
        peer.socket.sendall(b"\x00\x00\x03\xee\x00\x00\x00\x00\x00abc")
        assert not peer.is_closed()


def test_a_peer_that_does_not_read_its_answer_is_closed(client, monkeypatch):
    monkeypatch.setattr(peers_server, "ANSWER_SECONDS_MAX", 0.2)
    with serve() as (address, calls):
        peer = RawPeer(address)
        peer.h2.update_settings({4: 0})  # no window for answers
        peer.h2.send_headers(1, HEADERS)
        peer.h2.send_data(1, b"\0\0\0\0\1\x80", end_stream=True)
        peer.flush()
        while not calls:
            time.sleep(0.01)
        time.sleep(0.3)
        assert peer.is_closed()
