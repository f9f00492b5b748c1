"""The asyncio HTTP client and server, against each other and faulty peers."""

import asyncio
import errno
import re
from contextlib import suppress

import pytest

from plantainhinge.adapters import stream_http_client, stream_http_connection
from plantainhinge.adapters.stream_http_client import HttpCall, HttpClient
from plantainhinge.adapters.stream_http_limits import RejectionCause, ServerLimits
from plantainhinge.adapters.stream_http_messages import HttpReply
from plantainhinge.adapters.stream_http_server import HttpServer
from plantainhinge.core.errors import UnavailableError, UncertainError
from standins.addresses import find_free_address

CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


async def echo(request):
    if request.path == "/slow":
        await asyncio.sleep(0.3)
    if request.path == "/broken":
        raise RuntimeError("a fault of the handler")
    return HttpReply(status=200, body=request.body + request.path.encode())


def serve(scenario):
    async def run():
        server = HttpServer(find_free_address(), echo)
        await server.start()
        client = HttpClient(server.address, connections_max=2)
        try:
            return await scenario(server, client)
        finally:
            client.close()
            await server.drain(timeout=0.1)

    return asyncio.run(run())


def post(path, body=b""):
    return HttpCall(method="POST", path=path, body=body)


def test_calls_share_connections_and_get_their_own_responses():
    async def scenario(server, client):
        calls = [client.call(post(f"/{i}", b"x" * i), timeout=2) for i in range(20)]
        answers = await asyncio.gather(*calls)
        return [answer.body for answer in answers], len(server.connections)

    bodies, connections = serve(scenario)
    assert bodies == [b"x" * i + f"/{i}".encode() for i in range(20)]
    assert connections <= 2


def test_a_late_response_is_uncertain_and_the_client_stays_usable():
    async def scenario(server, client):
        with pytest.raises(UncertainError):
            await client.call(post("/slow"), timeout=0.05)
        return (await client.call(post("/after"), timeout=2)).body

    assert serve(scenario) == b"/after"


@pytest.mark.parametrize("pad", [b"", b"X-Pad: "], ids=["body", "header"])
def test_an_answer_without_end_is_given_up_and_the_client_stays_usable(
    monkeypatch, pad
):
    monkeypatch.setattr(stream_http_client, "ANSWER_BYTES_MAX", 100_000)
    sent, ended = [], []

    async def pour(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\n" + (pad or b"Content-Length: 99999999\r\n\r\n")
        with suppress(OSError):
            writer.write(head)
            while len(sent) < 1000:
                writer.write(b"x" * 10_000)
                await writer.drain()
                sent.append(10_000)
        writer.close()
        ended.append(writer)

    async def run():
        address = find_free_address()
        host, _, port = address.rpartition(":")
        async with await asyncio.start_server(pour, host, int(port)):
            client = HttpClient(address)
            for _ in range(2):
                with pytest.raises(UncertainError, match="larger"):
                    await client.call(post("/a"), timeout=5)
            while len(ended) < 2:
                await asyncio.sleep(0.01)
            return client.budget.open

    assert asyncio.run(run()) == 0
    assert len(sent) < 1000


def test_a_refused_connection_means_the_call_was_not_sent():
    async def run():
        with pytest.raises(UnavailableError):
            await HttpClient(find_free_address()).call(post("/"), timeout=1)

    asyncio.run(run())


@pytest.mark.parametrize("address", ["127.0.0.1:70000", "127.0.0.1:x", "..:80"])
def test_an_address_that_is_none_means_the_call_was_not_sent(address):
    client = HttpClient(address)
    with pytest.raises(UnavailableError):
        asyncio.run(client.call(post("/a"), timeout=1))
    assert client.budget.open == 0


def test_a_header_that_cannot_be_encoded_means_the_call_was_not_sent():
    async def scenario(server, client):
        call = HttpCall(method="POST", path="/a", headers=(("X-Id", "w-\ufffd"),))
        with pytest.raises(UnavailableError):
            await client.call(call, timeout=2)
        return (await client.call(post("/b"), timeout=2)).body

    assert serve(scenario) == b"/b"


def test_an_error_in_the_handler_becomes_a_500():
    async def scenario(server, client):
        return (await client.call(post("/broken"), timeout=2)).status

    assert serve(scenario) == 500


# callers got part of a large answer, as the process ended once it was written
def test_a_draining_server_waits_until_a_slow_reader_has_the_whole_answer():
    size = 8_000_000

    async def answer(request):
        return HttpReply(status=200, body=b"x" * size)

    async def run():
        server = HttpServer(find_free_address(), answer)
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.2)
        drained = asyncio.create_task(server.drain(timeout=5.0))
        while not drained.done():
            await reader.read(65536)
            await asyncio.sleep(0.001)
        left = len(server.connections)
        writer.close()
        return left

    assert asyncio.run(asyncio.wait_for(run(), 10.0)) == 0


# callers were cut off when an instance stopped while the log was silent
def test_a_draining_server_answers_requests_that_it_can_no_longer_finish():
    async def wait_for_the_log(request):
        await asyncio.sleep(30.0)
        return HttpReply(status=200)

    async def run():
        server = HttpServer(find_free_address(), wait_for_the_log)
        await server.start()
        client = HttpClient(server.address)
        calls = [asyncio.create_task(client.call(post("/"), timeout=5)) for _ in "ab"]
        await asyncio.sleep(0.1)
        await server.drain(timeout=0.5)
        results = await asyncio.gather(*calls, return_exceptions=True)
        client.close()
        return [getattr(result, "status", result) for result in results]

    assert asyncio.run(run()) == [504, 504]


# an instance that stopped dropped requests that it had read behind another one
def test_a_draining_server_answers_each_pipelined_request_that_it_has_read():
    async def run():
        server = HttpServer(find_free_address(), echo)
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        requests = [b"GET /%s HTTP/1.1\r\n\r\n" % path for path in (b"slow", b"b")]
        writer.write(b"".join(requests))
        await asyncio.sleep(0.1)
        await server.drain(timeout=2.0)
        received = await reader.read()
        writer.close()
        await writer.wait_closed()
        return received

    received = asyncio.run(run())
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(b"Connection: close") == 1
    assert received.endswith(b"/b")


# a connection with half a request was taken for an idle one
@pytest.mark.parametrize("read", [5, 40, 62])
def test_a_draining_server_answers_a_request_that_is_still_arriving(read):
    request = b"POST /late HTTP/1.1\r\nHost: archive\r\nContent-Length: 12\r\n\r\n"
    request += b"x" * 12

    async def run():
        server = HttpServer(find_free_address(), echo)
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request[:read])
        await asyncio.sleep(0.1)
        drained = asyncio.create_task(server.drain(timeout=2.0))
        await asyncio.sleep(0.1)
        writer.write(request[read:])
        received = await reader.read()
        await drained
        writer.close()
        await writer.wait_closed()
        return received

    assert asyncio.run(run()).endswith(b"x" * 12 + b"/late")


def test_a_draining_server_finishes_requests_in_progress():
    async def scenario(server, client):
        slow = asyncio.create_task(client.call(post("/slow"), timeout=2))
        await asyncio.sleep(0.1)
        await server.drain(timeout=2)
        return (await slow).body

    assert serve(scenario) == b"/slow"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n" + b"b" * 1_100_000,
            b"413",
        ),
        (b"POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n", b"413"),
        (b"GET / HTTP/1.1\r\n" + b"X:\r\n" * 102, b"431"),
        # what the parser gathers by itself until it is complete
        (b"\r\n" * 10_000, b"431"),
        (b"GET /" + b"u" * 20_000, b"431"),
        (b"GET / HTTP/1.1\r\n" + b"n" * 20_000, b"431"),
        (b"GET / HTTP/1.1\r\nX: " + b"v" * 20_000, b"431"),
        (CHUNKED + b"2;" + b"e" * 25_000, b"431"),
        (CHUNKED + b"2\r\n{}\r\n0\r\nX: " + b"v" * 25_000, b"431"),
    ],
)
def test_a_malformed_request_is_refused_and_the_server_keeps_serving(data, status):
    async def scenario(server, client):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        status_line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        answer = await client.call(post("/still"), timeout=2)
        return status_line, answer.body

    status_line, body = serve(scenario)
    assert status in status_line
    assert body == b"/still"


async def read_statuses(reader):
    """Return the statuses of all answers until the connection ends."""
    received = await asyncio.wait_for(reader.read(), 10)
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+) ", received)]


# the only answer to 17 jobs was the refusal of the last one, and the others ran
@pytest.mark.parametrize(
    ("data", "ran", "refusal"),
    [
        (b"POST /a HTTP/1.1\r\n\r\n" * 17, 16, 429),
        (b"POST /a HTTP/1.1\r\n\r\n" * 30, 16, 429),
        (b"POST /a HTTP/1.1\r\n\r\nnonsense\r\n\r\n", 1, 400),
        (b"POST /a HTTP/1.1\r\n\r\n" * 2 + b"GET /" + b"u" * 20_000, 2, 431),
        (b"POST /slow HTTP/1.1\r\n\r\n" + CHUNKED + b"x\r\n", 1, 400),
        (b"POST /a HTTP/1.1\r\nConnection: close\r\n\r\nnonsense\r\n\r\n", 1, None),
        (b"GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 1, None),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\nother", 1, None),
    ],
)
def test_a_refusal_comes_after_the_answers_to_what_was_read_before(data, ran, refusal):
    async def scenario(server, client):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        statuses = await read_statuses(reader)
        writer.close()
        return statuses

    assert serve(scenario) == [200] * ran + ([refusal] if refusal else [])


# the connection was reset, and the answer lost with it
def test_a_client_that_sends_on_gets_its_refusal():
    async def run():
        server = HttpServer(find_free_address(), echo, get_body_bytes_max=lambda: 1000)
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n")
        for _ in range(9):
            writer.write(b"x" * 100_000)
            await writer.drain()
            await asyncio.sleep(0.01)
        statuses = await read_statuses(reader)
        writer.close()
        return statuses

    assert asyncio.run(run()) == [413]


async def connect(server, data=b""):
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await asyncio.sleep(0.05)
    return reader, writer


# connections that nobody used kept everyone else out
def test_the_connection_that_has_waited_longest_for_its_client_gives_way():
    async def run():
        limits = ServerLimits(connections=3)
        server = HttpServer(find_free_address(), echo, limits=limits)
        await server.start()
        opened = [
            await connect(server, data)
            for data in (b"GET /slow HTTP/1.1\r\n\r\n", b"POST /half", b"", b"", b"")
        ]
        readers = [reader for reader, _ in opened]
        half = await read_statuses(readers[1])
        idle = await read_statuses(readers[2])
        slow = await readers[0].readuntil(b"/slow")
        opened[4][1].write(b"GET /last HTTP/1.1\r\n\r\n")
        last = await readers[4].readuntil(b"/last")
        for _, writer in opened:
            writer.close()
        return half, idle, slow, last

    half, idle, slow, last = asyncio.run(asyncio.wait_for(run(), 10))
    assert half == [503]
    assert idle == []
    assert b" 200 " in slow
    assert b" 200 " in last


def test_no_connection_gives_way_as_long_as_no_other_one_comes():
    async def run():
        limits = ServerLimits(connections=2)
        server = HttpServer(find_free_address(), echo, limits=limits)
        await server.start()
        first, second = await connect(server), await connect(server)
        first[1].write(b"GET /a HTTP/1.1\r\n\r\n")
        answer = await first[0].read(1000)
        for _, writer in (first, second):
            writer.close()
        return answer

    assert asyncio.run(run()).endswith(b"/a")


def test_connections_that_come_together_close_no_more_than_needed():
    async def run():
        limits = ServerLimits(connections=8)
        server = HttpServer(find_free_address(), echo, limits=limits)
        await server.start()
        opened = await asyncio.gather(*(connect(server) for _ in range(12)))
        await asyncio.sleep(0.2)
        left = len(server.connections)
        for _, writer in opened:
            writer.close()
        return left

    assert asyncio.run(run()) == 8


def test_a_connection_waits_while_all_others_are_being_answered():
    async def run():
        limits = ServerLimits(connections=1)
        server = HttpServer(find_free_address(), echo, limits=limits)
        await server.start()
        first = await connect(server, b"GET /slow HTTP/1.1\r\n\r\n")
        second = await connect(server, b"GET /second HTTP/1.1\r\n\r\n")
        open_before = len(server.connections)
        answers = [
            await reader.readuntil(path)
            for (reader, _), path in ((first, b"/slow"), (second, b"/second"))
        ]
        for _, writer in (first, second):
            writer.close()
        return open_before, answers

    open_before, answers = asyncio.run(asyncio.wait_for(run(), 10))
    assert open_before == 1
    assert all(b" 200 " in answer for answer in answers)


# answers that nobody read piled up in the process
def test_a_client_that_reads_nothing_gets_no_further_answers_until_it_does():
    size, requests = 1_000_000, 16
    handled = []

    async def answer(request):
        handled.append(request)
        return HttpReply(status=200, body=b"x" * size)

    async def run():
        server = HttpServer(find_free_address(), answer)
        await server.start()
        _, writer = opened = await connect(server)
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * requests)
        before = -1
        while len(handled) != before:
            before = len(handled)
            await asyncio.sleep(0.2)
        (connection,) = server.connections
        unread = connection._transport.get_write_buffer_size()
        writer.transport.resume_reading()
        reader, received = opened[0], 0
        while received < requests * size:
            received += len(await reader.read(1 << 20))
        writer.close()
        return before, unread

    before, unread = asyncio.run(asyncio.wait_for(run(), 30))
    assert before < requests
    assert unread <= size + 16_384
    assert len(handled) == requests


# the second pair of limits made the server look for memory for ever
@pytest.mark.parametrize(
    "limits",
    [ServerLimits(connections=1), ServerLimits(connections=2, received_bytes=100_000)],
    ids=["connections", "memory"],
)
def test_a_client_that_reads_nothing_gives_way(limits):
    async def answer(request):
        return HttpReply(status=200, body=b"x" * 20_000_000)

    async def run():
        server = HttpServer(find_free_address(), answer, limits=limits)
        await server.start()
        _, first = await connect(server)
        first.transport.pause_reading()
        first.write(b"GET / HTTP/1.1\r\n\r\n" * 3 + b"GET /unfinished")
        await asyncio.sleep(0.2)
        reader, writer = await connect(server, b"GET / HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        for opened in (first, writer):
            opened.close()

    asyncio.run(asyncio.wait_for(run(), 10))


@pytest.mark.parametrize(
    ("data", "cause"),
    [
        (b"nonsense\r\n\r\n", RejectionCause.MALFORMED),
        (b"GET /" + b"u" * 20_000, RejectionCause.HEAD_TOO_LARGE),
        (b"GET / HTTP/1.1\r\n\r\n" * 17, RejectionCause.TOO_MANY_AHEAD),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n",
            RejectionCause.BODY_TOO_LARGE,
        ),
    ],
)
def test_refusals_are_counted_by_cause(data, cause):
    async def scenario(server, client):
        counted = []
        server.count_rejection = counted.append
        reader, writer = await connect(server, data)
        await read_statuses(reader)
        writer.close()
        return counted

    assert serve(scenario) == [cause]


def test_a_client_that_never_sends_the_rest_is_told_so_and_an_idle_one_stays(
    monkeypatch,
):
    monkeypatch.setattr(stream_http_connection, "CLIENT_SECONDS_MAX", 0.3)

    async def scenario(server, client):
        idle = await connect(server, b"GET /idle HTTP/1.1\r\n\r\n")
        halves = [
            await connect(server, data)
            for data in (b"\r\n", b"GET /a", CHUNKED + b"2\r\n{}\r\n")
        ]
        statuses = [await read_statuses(reader) for reader, _ in halves]
        reader, writer = idle
        await reader.readuntil(b"/idle")
        writer.write(b"GET /again HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"/again")
        for _, opened in (idle, *halves):
            opened.close()
        return statuses

    assert serve(scenario) == [[408]] * 3


def test_a_client_that_sends_one_request_after_the_other_is_not_cut_off(monkeypatch):
    monkeypatch.setattr(stream_http_connection, "CLIENT_SECONDS_MAX", 0.3)
    request = b"GET /a HTTP/1.1\r\n\r\n"

    async def scenario(server, client):
        reader, writer = await connect(server, request[:5])
        for _ in range(12):
            writer.write(request[5:] + request[:5])
            await reader.readuntil(b"/a")
            await asyncio.sleep(0.05)
        writer.close()
        return True

    assert serve(scenario)


def test_connections_that_are_gone_hold_nothing():
    parts = [
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET /slow HTTP/1.1\r\n\r\n" * 3,
        b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + b"x" * 50,
        b"POST / HTTP/1.1\r\nX: " + b"x" * 1000,
        b"nonsense\r\n\r\n",
        CHUNKED + b"5;" + b"x" * 1000,
        b"\r\n" * 20_000,
        b"",
    ]

    async def run():
        limits = ServerLimits(received_bytes=8000)
        server = HttpServer(find_free_address(), echo, limits=limits)
        await server.start()
        opened = [
            await connect(server, first + second) for first in parts for second in parts
        ]
        for _, writer in opened:
            writer.transport.abort()
        while server.connections or server.budget.held:
            await asyncio.sleep(0.01)
        return server.budget.held, server._waiting

    assert asyncio.run(asyncio.wait_for(run(), 30)) == (0, {})


# such connections stayed for ever, until the listener accepted no more
def test_a_client_that_resets_while_it_is_refused_leaves_nothing_behind(monkeypatch):
    def fail(transport):
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    transport = asyncio.selector_events._SelectorSocketTransport
    monkeypatch.setattr(transport, "write_eof", fail)

    async def scenario(server, client):
        _, writer = await connect(server, b"nonsense\r\n\r\n")
        left = len(server.connections)
        writer.close()
        return left

    assert serve(scenario) == 0


@pytest.mark.parametrize("chunk", [1, 2, 100_000])
def test_a_body_of_the_largest_size_is_read_in_chunks_of_any_size(chunk):
    size = 300_000
    body = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk) * (size // chunk) + b"0\r\n\r\n"

    async def run():
        server = HttpServer(find_free_address(), echo, get_body_bytes_max=lambda: size)
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(CHUNKED + body)
        head = await reader.readuntil(b"\r\n\r\n")
        answer = await reader.readexactly(size + 1)
        writer.close()
        return head, answer

    head, answer = asyncio.run(asyncio.wait_for(run(), 30))
    assert b" 200 " in head
    assert answer == b"x" * size + b"/"


@pytest.mark.parametrize("answer", [b"nonsense\r\n", b"HTTP/1.1 200 OK\r\n", b""])
def test_a_malformed_response_is_uncertain(answer):
    async def run():
        async def reply(reader, writer):
            await reader.read(100)
            writer.write(answer)
            writer.close()

        address = find_free_address()
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(reply, host, int(port))
        with pytest.raises(UncertainError):
            await HttpClient(address).call(post("/"), timeout=1)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("pause", [0.1, 0.6])
def test_a_large_response_may_take_long_while_bytes_keep_arriving(pause):
    async def play():
        async def drip(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
            for _ in range(8):
                await asyncio.sleep(pause)
                writer.write(b"x")
            writer.close()

        address = find_free_address()
        host, _, port = address.rpartition(":")
        async with await asyncio.start_server(drip, host, int(port)):
            call = HttpCall(method="GET", path="/large")
            return await HttpClient(address).call(call, timeout=0.3, total_timeout=3.0)

    if pause < 0.3:
        assert asyncio.run(play()).body == b"x" * 8
    else:
        with pytest.raises(UncertainError):
            asyncio.run(play())
