"""gRPC calls between processes: bad messages, disconnects, time-outs and stops."""

import socket
import threading
from concurrent.futures import wait

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.adapters import peers_grpc
from plantainhinge.adapters.peers_grpc import (
    HEARTBEAT,
    QUERY_EVENTS,
    QUERY_JOB,
    Method,
    Peers,
)
from plantainhinge.core.clock import read_wall
from plantainhinge.core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.events import EventList, EventRing, Stamp
from plantainhinge.core.messages import QueryEvents

IP = "127.0.0.1"
RESPONSE = EventList(events=[])
TIMEOUT_SECONDS = 10.0


def find_port():
    with socket.create_server((IP, 0)) as listener:
        return listener.getsockname()[1]


@pytest.fixture
def server():
    calls, received = [], threading.Event()

    def on_call(call):
        calls.append(call)
        received.set()

    peers, port = Peers(), find_port()
    with peers.serve(IP, port, on_call):
        yield f"{IP}:{port}", calls, received


@pytest.fixture
def client():
    peers = Peers()
    with peers.connect():
        yield peers


def test_a_caller_that_disconnects_leaves_its_call_answerable(server, client):
    address, calls, received = server
    future = client.call(address, QUERY_EVENTS, QueryEvents(), timeout=0.2)
    assert isinstance(future.exception(TIMEOUT_SECONDS), UncertainError)
    assert received.wait(TIMEOUT_SECONDS)
    # Once a later call on the connection is received, so is the disconnect.
    received.clear()
    later = client.call(address, QUERY_EVENTS, QueryEvents(), timeout=TIMEOUT_SECONDS)
    assert received.wait(TIMEOUT_SECONDS)
    calls[1].response.set_result(RESPONSE)
    assert later.result(TIMEOUT_SECONDS) == RESPONSE
    calls[0].response.set_result(RESPONSE)
    assert calls[0].response.result() == RESPONSE


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (NotOwnerError("m", step="s"), NotOwnerError),
        (UnavailableError("m", step="s"), UnavailableError),
        (BadInputError("m", step="s"), BadInputError),
        (UncertainError("m", step="s"), UncertainError),
        (ValueError("a fault in a handler"), UncertainError),
    ],
)
def test_an_error_reaches_the_caller_and_the_server_keeps_serving(
    server, client, error, expected
):
    address, calls, received = server
    for answer in (error, None):
        received.clear()
        future = client.call(
            address, QUERY_EVENTS, QueryEvents(), timeout=TIMEOUT_SECONDS
        )
        assert received.wait(TIMEOUT_SECONDS)
        if answer is None:
            calls[-1].response.set_result(RESPONSE)
            assert future.result(TIMEOUT_SECONDS) == RESPONSE
        else:
            calls[-1].response.set_exception(answer)
            assert isinstance(future.exception(TIMEOUT_SECONDS), expected)


def test_a_call_that_is_never_answered_times_out(server, client, monkeypatch):
    monkeypatch.setattr(peers_grpc, "RESPONSE_TIMEOUT_SECONDS", 0.1)
    future = client.call(
        server[0], QUERY_EVENTS, QueryEvents(), timeout=TIMEOUT_SECONDS
    )
    assert isinstance(future.exception(TIMEOUT_SECONDS), UncertainError)


def test_an_error_in_on_call_reaches_the_caller(client):
    def on_call(call):
        raise ValueError("a fault in the daemon")

    peers, port = Peers(), find_port()
    with peers.serve(IP, port, on_call):
        for _ in range(2):
            future = client.call(f"{IP}:{port}", QUERY_EVENTS, QueryEvents())
            assert isinstance(future.exception(TIMEOUT_SECONDS), UncertainError)


def test_a_stopping_server_answers_the_calls_it_has_received(client):
    received, calls = threading.Event(), []

    def on_call(call):
        calls.append(call)
        received.set()

    peers, port = Peers(), find_port()
    with peers.serve(IP, port, on_call):
        future = client.call(
            f"{IP}:{port}", QUERY_EVENTS, QueryEvents(), timeout=TIMEOUT_SECONDS
        )
        assert received.wait(TIMEOUT_SECONDS)
        timer = threading.Timer(0.2, calls[0].response.set_result, [RESPONSE])
        timer.start()
    assert future.result(TIMEOUT_SECONDS) == RESPONSE


def test_the_stamp_of_a_response_orders_effects_after_their_causes():
    port, there, here = find_port(), EventRing("there"), EventRing("here")
    ahead = Stamp(read_wall() + 100.0, 0, "there")
    there.merge_stamp(ahead)

    def on_call(call):
        call.response.set_result(EventList(events=[there.add("cause", "s")]))

    client = Peers(here)
    with Peers(there).serve(IP, port, on_call), client.connect():
        future = client.call(f"{IP}:{port}", QUERY_EVENTS, QueryEvents())
        cause = future.result(TIMEOUT_SECONDS).events[0]
    assert here.add("effect", "s").stamp > cause.stamp > ahead


MESSAGES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**31), 2**31) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_any_message_from_a_peer_is_answered_with_a_code(server, client):
    address, calls, _ = server

    @settings(max_examples=50)
    @given(MESSAGES, st.sampled_from([HEARTBEAT, QUERY_JOB]))
    def send(message, method):
        raw = Method(method.name, object, method.response)
        future = client.call(address, raw, message, timeout=TIMEOUT_SECONDS)
        wait([future], TIMEOUT_SECONDS)
        assert isinstance(future.exception(0), PlantainhingeError)

    send()
    assert calls == []
