"""Renewals of a worker that has restarted under its id since its last report."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from plantainhinge.adapters.stream_http_messages import HttpReply
from plantainhinge.adapters.stream_http_server import HttpServer
from plantainhinge.fleet.model import OrderResponse, Renewal, WorkerReport
from plantainhinge.platform import workers
from standins.addresses import find_free_address

FORMER, LATTER = 1000, 2000
ENTRY = {
    "service": "archive",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 8000, "memMb": 1000},
    "labels": [],
    "born": FORMER,
}


@asynccontextmanager
async def run_worker(address, born, received):
    """Run one life of a worker, which notes the renewals that it receives."""

    async def answer(request):
        body = msgspec.json.decode(request.body)
        received.append((body["lastSeen"], "deadlineMs" in body, "waitMs" in body))
        content = {"clockMs": 1, "running": [], "ended": [], "born": born}
        return HttpReply(status=200, body=msgspec.json.encode(content))

    server = HttpServer(address, answer)
    await server.start()
    try:
        yield
    finally:
        await server.drain(timeout=0.1)


def make_client(address):
    entry = workers.decode_entry("w", msgspec.json.encode(ENTRY | {"addr": address}))
    return workers.PlatformWorkerClient(), entry


def make_renewal(incarnation):
    return Renewal(
        epoch=1, incarnation=incarnation, acknowledged=131, wait=0.1, lease_end=500.0
    )


def test_what_refers_to_a_former_life_never_reaches_the_next_one():
    # review/6: the next life forgot ends that nobody had seen, and they ran again
    async def scenario():
        address = find_free_address()
        client, entry = make_client(address)
        former, latter, answers = [], [], []
        async with run_worker(address, FORMER, former):
            answers += [await client.renew(entry, make_renewal(FORMER))]
            answers += [await client.renew(entry, make_renewal(FORMER))]
        async with run_worker(address, LATTER, latter):
            for _ in range(3):
                answers += [await client.renew(entry, make_renewal(FORMER))]
            answers += [await client.renew(entry, make_renewal(LATTER))]
        return former, latter, answers

    former, latter, answers = asyncio.run(scenario())
    assert former == [(0, False, False), (131, True, True)]
    reports = [each for each in answers if isinstance(each, WorkerReport)]
    unsent = [each for each in answers if isinstance(each, OrderResponse)]
    assert len(unsent) <= 1
    assert [each.incarnation for each in reports[2:]] == [LATTER] * len(reports[2:])
    assert set(latter[:-1]) == {(0, False, False)}
    assert latter[-1] == (131, True, True)


@pytest.mark.parametrize("others", [1, 3])
def test_a_renewal_prefers_a_connection_that_proves_the_life(others):
    # review/6, its cost: orders use connections as well, which prove nothing
    async def scenario():
        address = find_free_address()
        client, entry = make_client(address)
        received = []
        async with run_worker(address, FORMER, received):
            await client.renew(entry, make_renewal(FORMER))
            http = client._clients[address]
            until = asyncio.get_running_loop().time() + 1
            proven = http._idle.pop()
            for _ in range(others):
                http._idle.append(await http._connect(until))
            http._idle.insert(0, proven)
            await client.renew(entry, make_renewal(FORMER))
            client.close_connections(entry)
        return received

    assert asyncio.run(scenario())[-1] == (131, True, True)
