"""Calls between processes: bad messages, hang-ups, silence and stops."""

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
ANSWER = EventList(events=[])
LIMIT = 10.0


def find_port():
    with socket.create_server((IP, 0)) as listener:
        return listener.getsockname()[1]


@pytest.fixture
def server():
    calls, answered = [], threading.Event()

    def accept(call):
        calls.append(call)
        answered.set()

    peers, port = Peers(), find_port()
    with peers.serve(IP, port, accept):
        yield f"{IP}:{port}", calls, answered


@pytest.fixture
def client():
    peers = Peers()
    with peers.connect():
        yield peers


def test_a_caller_that_hangs_up_leaves_its_call_answerable(server, client):
    address, calls, arrived = server
    future = client.call(address, QUERY_EVENTS, QueryEvents(), timeout=0.2)
    assert isinstance(future.exception(LIMIT), UncertainError)
    assert arrived.wait(LIMIT)
    # Once a later call on the connection came, the hang-up has come as well.
    arrived.clear()
    later = client.call(address, QUERY_EVENTS, QueryEvents(), timeout=LIMIT)
    assert arrived.wait(LIMIT)
    calls[1].response.set_result(ANSWER)
    assert later.result(LIMIT) == ANSWER
    calls[0].response.set_result(ANSWER)
    assert calls[0].response.result() == ANSWER


@pytest.mark.parametrize(
    ("error", "told"),
    [
        (NotOwnerError("m", step="s"), NotOwnerError),
        (UnavailableError("m", step="s"), UnavailableError),
        (BadInputError("m", step="s"), BadInputError),
        (UncertainError("m", step="s"), UncertainError),
        (ValueError("a fault in a handler"), UncertainError),
    ],
)
def test_an_error_reaches_the_caller_and_the_server_goes_on(
    server, client, error, told
):
    address, calls, arrived = server
    for answer in (error, None):
        arrived.clear()
        future = client.call(address, QUERY_EVENTS, QueryEvents(), timeout=LIMIT)
        assert arrived.wait(LIMIT)
        if answer is None:
            calls[-1].response.set_result(ANSWER)
            assert future.result(LIMIT) == ANSWER
        else:
            calls[-1].response.set_exception(answer)
            assert isinstance(future.exception(LIMIT), told)


def test_a_call_that_is_never_answered_ends_all_the_same(server, client, monkeypatch):
    monkeypatch.setattr(peers_grpc, "RESPONSE_TIMEOUT_SECONDS", 0.1)
    future = client.call(server[0], QUERY_EVENTS, QueryEvents(), timeout=LIMIT)
    assert isinstance(future.exception(LIMIT), UncertainError)


def test_an_accept_that_fails_is_told_to_the_caller(client):
    def accept(call):
        raise ValueError("a fault in the daemon")

    peers, port = Peers(), find_port()
    with peers.serve(IP, port, accept):
        for _ in range(2):
            future = client.call(f"{IP}:{port}", QUERY_EVENTS, QueryEvents())
            assert isinstance(future.exception(LIMIT), UncertainError)


def test_a_server_that_stops_answers_the_calls_it_has(client):
    arrived, calls = threading.Event(), []

    def accept(call):
        calls.append(call)
        arrived.set()

    peers, port = Peers(), find_port()
    with peers.serve(IP, port, accept):
        future = client.call(f"{IP}:{port}", QUERY_EVENTS, QueryEvents(), timeout=LIMIT)
        assert arrived.wait(LIMIT)
        timer = threading.Timer(0.2, calls[0].response.set_result, [ANSWER])
        timer.start()
    assert future.result(LIMIT) == ANSWER


def test_an_answer_orders_what_follows_after_what_it_told_of():
    port, there, here = find_port(), EventRing("there"), EventRing("here")
    ahead = Stamp(read_wall() + 100.0, 0, "there")
    there.merge_stamp(ahead)

    def accept(call):
        call.response.set_result(EventList(events=[there.add("cause", "s")]))

    client = Peers(here)
    with Peers(there).serve(IP, port, accept), client.connect():
        future = client.call(f"{IP}:{port}", QUERY_EVENTS, QueryEvents())
        cause = future.result(LIMIT).events[0]
    assert here.add("effect", "s").stamp > cause.stamp > ahead


MESSAGES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**31), 2**31) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_any_message_of_a_peer_is_answered_with_a_code(server, client):
    address, calls, _ = server

    @settings(max_examples=50)
    @given(MESSAGES, st.sampled_from([HEARTBEAT, QUERY_JOB]))
    def send(message, method):
        raw = Method(method.name, object, method.response)
        future = client.call(address, raw, message, timeout=LIMIT)
        wait([future], LIMIT)
        assert isinstance(future.exception(0), PlantainhingeError)

    send()
    assert calls == []
