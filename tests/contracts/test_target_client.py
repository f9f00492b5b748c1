"""Contract of ``TargetClient``, against a target that injects faults."""

import time
from contextlib import suppress

import pytest

from plantainhinge.adapters.targets_http import HttpTargetClient
from plantainhinge.core.errors import UnavailableError, UncertainError
from plantainhinge.core.messages import TargetRequest
from standins.target import Fault, Target, serve_target

SHORT_TIMEOUT_SECONDS = 0.5
TIMEOUT_SECONDS = 20.0


@pytest.fixture
def target():
    return Target("t")


@pytest.fixture
def address(target):
    with serve_target(target, "127.0.0.1") as address:
        yield address


def build(request="r1", *, timeout=TIMEOUT_SECONDS):
    return TargetRequest(
        request=request,
        method="POST",
        path="/x",
        headers={},
        body=b"{}",
        timeout=timeout,
    )


def exchange(client, address, request="r1", *, timeout=TIMEOUT_SECONDS):
    return client.send(address, build(request, timeout=timeout)).receive()


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.005)
    assert condition()


UNCERTAIN_FAULTS = [
    Fault.CUT_BEFORE_RESPONSE,
    Fault.CUT_AFTER_HEADERS,
    Fault.CUT_IN_BODY,
    Fault.NO_LENGTH,
    Fault.CROSSED,
    Fault.GARBAGE,
    Fault.TOO_LONG,
]


@pytest.mark.parametrize("fault", UNCERTAIN_FAULTS)
def test_an_incomplete_response_is_uncertain(fault, target, address):
    client = HttpTargetClient()
    target.planned_faults = [fault]
    with pytest.raises(UncertainError):
        exchange(client, address, "r1")
    answer = exchange(client, address, "r2")
    assert b'"r2"' in answer.body
    assert target.executed == ["r1", "r2"]


@pytest.mark.parametrize("fault", [Fault.FROZEN, Fault.DRIP])
def test_the_whole_exchange_ends_by_its_timeout(fault, target, address):
    target.planned_faults = [fault]
    started_at = time.monotonic()
    with pytest.raises(UncertainError):
        exchange(HttpTargetClient(), address, timeout=SHORT_TIMEOUT_SECONDS)
    assert time.monotonic() - started_at < TIMEOUT_SECONDS / 2
    target.unfreeze.set()


def test_a_late_response_reaches_no_other_request(target, address):
    client = HttpTargetClient()
    target.planned_faults = [Fault.FROZEN]
    with pytest.raises(UncertainError):
        exchange(client, address, "late", timeout=0.1)
    target.unfreeze.set()
    for number in range(5):
        assert f'"r{number}"'.encode() in exchange(client, address, f"r{number}").body


def test_an_unsolicited_response_is_never_returned(target, address):
    client = HttpTargetClient()
    target.fault = Fault.TWICE
    target.service_seconds = 0.0
    for number in range(20):
        with suppress(UncertainError):
            answer = exchange(client, address, f"r{number}")
            assert f'"r{number}"'.encode() in answer.body


@pytest.mark.parametrize(
    ("fault", "refused", "leaving", "status"),
    [
        (Fault.NONE, False, False, 200),
        (Fault.REFUSES, True, False, 503),
        (Fault.LEAVING, False, True, 200),
        (Fault.FAILS, False, False, 500),
    ],
)
def test_a_complete_response_reports_refusal_leaving_and_status(
    fault, refused, leaving, status, target, address
):
    target.planned_faults = [fault]
    answer = exchange(HttpTargetClient(), address)
    assert (answer.refused, answer.leaving, answer.status) == (refused, leaving, status)
    assert target.executed == ([] if refused else ["r1"])


def test_no_connection_means_nothing_was_sent(target):
    with serve_target(target, "127.0.0.1") as address:
        pass
    with pytest.raises(UnavailableError):
        exchange(HttpTargetClient(), address)
    assert target.executed == []


def test_a_connection_closed_while_idle_is_replaced_without_an_error(target, address):
    client = HttpTargetClient()
    exchange(client, address, "r1")
    target.shut_down_reads()
    wait_for(lambda: not target.count_connections())
    assert b'"r2"' in exchange(client, address, "r2").body


def test_connections_stay_within_the_limit_idle_or_not(target, address):
    client = HttpTargetClient(per_target=2)
    target.service_seconds = 0.0
    sent = [client.send(address, build(f"r{n}")) for n in range(2)]
    with pytest.raises(UnavailableError):
        client.send(address, build("r3"))
    for one in sent:
        one.receive()
    for number in range(6):
        exchange(client, address, f"s{number}")
    assert target.max_connections_seen == 2


def test_wait_returns_the_exchange_that_has_its_response(target, address):
    client = HttpTargetClient()
    target.planned_faults = [Fault.FROZEN]
    frozen = client.send(address, build("r1"))
    wait_for(lambda: target.in_flight == 1)
    quick = client.send(address, build("r2"))
    assert client.wait([frozen, quick], TIMEOUT_SECONDS) == [quick]
    assert b'"r2"' in quick.receive().body
    assert client.wait([frozen], 0.0) == []
    frozen.abandon()
