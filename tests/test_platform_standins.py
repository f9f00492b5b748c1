"""The stand-ins keep the limits of the platform's store and workers."""

import asyncio
import itertools
import json
import time
from collections import deque

import pytest

from plantainhinge.adapters.stream_http_messages import HttpRequest
from standins import platform_store, platform_worker
from standins.platform_group import StandInGroup
from standins.platform_store import (
    LENGTH_PREFIX,
    PAGE_HEADER,
    StandInStore,
    encode_keyed_record,
    split_records,
)
from standins.platform_worker import StandInWorker

PARTITIONS = [(f"members-{index}", 0) for index in range(8)]
KEPT_MS = 1000


def call_store(store, path, body=b"", method="POST", **query):
    text = "&".join(f"{name}={value}" for name, value in query.items())
    request = HttpRequest(method=method, path=f"{path}?{text}", headers={}, body=body)
    return asyncio.run(store.handle(request))


def append(store, *records, topic="own", **query):
    body = b"".join(LENGTH_PREFIX.pack(len(record)) + record for record in records)
    return call_store(store, "/-/log-append", body, topic=topic, part=0, **query)


def read(store, start=0, **query):
    query |= {"topic": "own", "part": 0, "from": start}
    return call_store(store, "/-/log-read", method="GET", **query)


def read_newest(store, **query):
    reply = call_store(
        store, "/-/log-newest", method="GET", topic="keyed.own", part=0, **query
    )
    return json.loads(reply.body)


def join(store, member, *, generation=0, ttl=60_000):
    body = {"group": "g", "memberId": member, "ttlMs": ttl, "generation": generation}
    body["topics"] = [topic for topic, _ in PARTITIONS]
    reply = call_store(store, "/-/log-join", json.dumps(body).encode())
    return reply.status, json.loads(reply.body)


def list_owners(store):
    reply = call_store(store, "/-/log-owners", method="GET", group="g")
    return {topic: member for topic, _, member, _ in json.loads(reply.body)["parts"]}


@pytest.fixture
def store():
    return StandInStore("127.0.0.1:1")


def test_each_of_the_last_five_appends_is_answered_again_as_at_first(store):
    replies = [
        append(store, b"x" * sequence, producer="p", epoch=3, seq=sequence, at=at)
        for at, sequence in enumerate(range(7, 14))
    ]
    for sequence, reply in list(enumerate(replies, 7))[-5:]:
        again = append(store, b"x", producer="p", epoch=3, seq=sequence, at=0)
        assert (again.status, again.body) == (200, reply.body)
    older = append(store, b"x", producer="p", epoch=3, seq=8)
    assert (older.status, json.loads(older.body)["reason"]) == (409, "seq")
    assert json.loads(older.body)["seq"] == 14
    assert len(store.topics["own"].records) == 7


def test_an_append_refused_for_its_offset_takes_no_sequence_number(store):
    assert append(store, b"x", producer="p", epoch=1, seq=4).status == 200
    assert append(store, b"x", producer="p", epoch=1, seq=5, at=9).status == 412
    assert append(store, b"x", producer="p", epoch=1, seq=5, at=1).status == 200


def test_an_empty_append_fences_older_epochs(store):
    append(store, b"x", producer="p", epoch=1, seq=1)
    assert append(store, producer="p", epoch=2, seq=1).status == 200
    refused = append(store, b"x", producer="p", epoch=1, seq=2)
    assert (refused.status, json.loads(refused.body)["reason"]) == (409, "fenced")
    assert len(store.topics["own"].records) == 1


def test_an_append_that_would_wait_for_over_two_seconds_is_refused(store):
    store.append_seconds = 1.1

    async def append_at_once():
        body = LENGTH_PREFIX.pack(1) + b"x"
        request = HttpRequest(
            method="POST",
            path="/-/log-append?topic=own&part=0",
            headers={},
            body=body,
        )
        replies = await asyncio.gather(*(store.handle(request) for _ in range(4)))
        return [reply.status for reply in replies]

    # the first ends at 1.1 s, the second at 2.2 s, and a third would begin then
    assert asyncio.run(append_at_once()) == [200, 200, 503, 503]


def test_appends_take_turns_in_order(store):
    store.append_seconds = 0.02

    async def append_at_once():
        requests = [
            HttpRequest(
                method="POST",
                path="/-/log-append?topic=own&part=0",
                headers={},
                body=LENGTH_PREFIX.pack(1) + bytes([number]),
            )
            for number in range(5)
        ]
        started = time.monotonic()
        await asyncio.gather(*(store.handle(request) for request in requests))
        return time.monotonic() - started

    assert asyncio.run(append_at_once()) >= 0.1
    assert store.topics["own"].records == [bytes([number]) for number in range(5)]


def test_calls_beyond_a_rate_are_refused_and_joins_count_a_tenth(store):
    store.writes_per_second, store.reads_per_second = 3.0, 2.0
    for _ in range(10):
        assert join(store, "a")[0] == 200
    assert [append(store, b"x").status for _ in range(3)] == [200, 200, 429]
    assert [read(store).status for _ in range(3)] == [200, 200, 429]
    assert len(store.topics["own"].records) == 2
    store._writes = deque((at - 1.1, cost) for at, cost in store._writes)
    assert append(store, b"x").status == 200


@pytest.mark.parametrize("topic", ["keyed.op", "keyed.servers"])
def test_the_topics_of_others_cannot_be_written(store, topic):
    assert append(store, b"x", topic=topic).status == 403
    assert call_store(store, "/-/log-trim", topic=topic, part=0, before=1).status == 403


def test_a_trimmed_offset_is_gone_and_the_newest_of_each_key_stays(store):
    for value in (b"1", b"2", b"3"):
        append(store, encode_keyed_record("k", value), topic="keyed.own")
        append(store, value)
    for topic in ("keyed.own", "own"):
        reply = call_store(store, "/-/log-trim", topic=topic, part=0, before=3)
        assert reply.status == 200
    gone = read(store, 2)
    assert (gone.status, json.loads(gone.body)) == (410, {"startOffset": 3})
    assert PAGE_HEADER.unpack(read(store, 3).body) == (3, 3)
    assert [item["key"] for item in read_newest(store)["items"]] == ["k"]


def test_a_read_returns_at_most_the_size_asked_for_but_one_record_at_least(store):
    append(store, *[b"x" * 600] * 5)
    for kib, count in ((1, 1), (2, 3), (100, 5)):
        body = read(store, maxKb=kib).body
        assert len(split_records(body[PAGE_HEADER.size :])) == count
    append(store, b"y" * 3000)
    assert len(split_records(read(store, 5, maxKb=1).body[PAGE_HEADER.size :])) == 1


def test_a_read_returns_at_most_one_mebibyte(store):
    append(store, *[b"x" * 200_000] * 5)
    append(store, *[b"x" * 200_000] * 5)
    assert len(read(store, maxKb=4096).body) <= 1024 * 1024 + PAGE_HEADER.size


def test_a_read_that_asks_to_wait_for_too_long_is_refused(store):
    append(store, b"x")
    assert read(store, waitMs=30_000).status == 200
    assert read(store, waitMs=30_001).status == 400


@pytest.mark.parametrize(
    ("count", "size", "pages"),
    [(500, 10, [500]), (1001, 10, [500, 500, 1]), (8, 200_000, [3, 3, 2])],
)
def test_newest_records_come_in_pages(store, count, size, pages):
    for index in range(count):
        store.put("keyed.own", f"k{index:05}", b"x" * size)
    found, after = [], ""
    while True:
        page = read_newest(store, dependsOn=after)
        found.append([item["key"] for item in page["items"]])
        after = found[-1][-1]
        if not page["more"]:
            break
    assert [len(keys) for keys in found] == pages
    keys = list(itertools.chain(*found))
    assert keys == [f"k{index:05}" for index in range(count)]


def test_a_join_for_a_shorter_time_than_the_least_is_refused(store):
    assert join(store, "a", ttl=999)[0] == 400
    assert join(store, "a", ttl=1000)[0] == 200


def test_a_new_member_is_listed_once_another_has_given_a_partition_up(store):
    _, first = join(store, "a")
    _, second = join(store, "b")
    assert (len(first["parts"]), second["parts"]) == (8, [])
    assert set(list_owners(store).values()) == {"a"}
    # this member's join shows what it is to give up, the next one gives it up
    _, told = join(store, "a", generation=first["generation"])
    assert set(list_owners(store).values()) == {"a"}
    assert len(told["parts"]) == 4
    join(store, "a", generation=told["generation"])
    assert sorted(list_owners(store).values()) == ["a"] * 4 + ["b"] * 4
    assert len(join(store, "b", generation=told["generation"])[1]["parts"]) == 4


def test_a_member_without_a_partition_is_not_listed():
    group = join_all(StandInGroup(), [f"i{index}" for index in range(9)])
    assert len({member for _, member in group.list_held()}) == 8


@pytest.mark.parametrize("count", range(1, 10))
def test_partitions_are_held_evenly_and_few_move_with_each_member(count):
    members = [f"i{index}" for index in range(count)]
    group = join_all(StandInGroup(), members)
    before = dict(group.list_held())
    shares = [list(before.values()).count(member) for member in members]
    assert sum(shares) == len(PARTITIONS)
    assert max(shares) - min(shares) <= 1
    group.leave(members[0])
    join_all(group, members[1:])
    after = dict(group.list_held())
    if count > 1:
        assert members[0] not in after.values()
        moved = [part for part in before if before[part] != after[part]]
        assert len(moved) == shares[0]


def test_all_partitions_are_reassigned_at_once():
    members = ["a", "b", "c"]
    group = join_all(StandInGroup(), members)
    before, generation = dict(group.list_held()), group.generation
    group.reassign_all()
    after = dict(group.list_held())
    assert group.generation == generation + 1
    assert all(before[part] != after[part] for part in before)
    assert set(after.values()) == set(members)


def test_a_silent_member_is_removed_and_its_partitions_reassigned():
    group = join_all(StandInGroup(), ["a", "b"], until=10.0)
    group.join("b", PARTITIONS, until=20.0, generation=group.generation)
    group.expire(11.0)
    group.join("b", PARTITIONS, until=20.0, generation=group.generation)
    assert {member for _, member in group.list_held()} == {"b"}


def join_all(group, members, until=10.0):
    for _ in range(3):
        for member in members:
            group.join(member, PARTITIONS, until=until, generation=group.generation)
    return group


def call_worker(worker, path, **body):
    request = HttpRequest(
        method="POST",
        path=path,
        headers={"x-expect-instance": worker.name},
        body=json.dumps(body).encode(),
    )
    reply = asyncio.run(worker.handle(request))
    return reply.status, json.loads(reply.body)


@pytest.fixture
def worker(store):
    return StandInWorker("w", "127.0.0.1:2", store, clock_offset=5e5, clock_rate=0.98)


def test_a_worker_tells_and_keeps_its_own_clock(worker):
    now = 5e5 + 0.98 * time.monotonic()
    _, first = call_worker(worker, "/-/hold", lastSeen=0)
    assert first["clockMs"] == pytest.approx(now * 1000, abs=KEPT_MS)
    late = {"task": "j.0.0.0", "attempt": 1, "spec": "1", "fencingToken": 1}
    status, reply = call_worker(
        worker, "/-/run-start", **late, deadlineMs=int(time.monotonic() * 1000)
    )
    assert (status, reply["reason"]) == (409, "late")


def test_a_worker_shortens_leases_to_the_longest(worker):
    now_ms = int(worker.read_clock() * 1000)
    call_worker(worker, "/-/hold", lastSeen=0, deadlineMs=now_ms + 60_000)
    assert worker.lease_end == pytest.approx(
        now_ms / 1000 + platform_worker.LEASE_SECONDS_MAX, abs=0.5
    )
    end = worker.lease_end
    call_worker(worker, "/-/hold", lastSeen=0, deadlineMs=now_ms + 100)
    assert worker.lease_end >= end


def test_a_worker_returns_at_most_500_ends_and_the_rest_once_these_are_noted(worker):
    worker.ended = [[index, "j.0.0.0", 1, "done", ""] for index in range(1, 801)]
    _, reply = call_worker(worker, "/-/hold", lastSeen=0)
    assert [row[0] for row in reply["ended"]] == list(range(1, 501))
    _, reply = call_worker(worker, "/-/hold", lastSeen=500)
    assert [row[0] for row in reply["ended"]] == list(range(501, 801))


def test_a_worker_refuses_a_look_that_waits_for_too_long(worker):
    worker.ended = [[1, "j.0.0.0", 1, "done", ""]]
    assert call_worker(worker, "/-/hold", lastSeen=0, waitMs=2000)[0] == 200
    assert call_worker(worker, "/-/hold", lastSeen=0, waitMs=2001)[0] == 400


def test_a_worker_carries_an_order_out_late_after_newer_calls(worker, monkeypatch):
    monkeypatch.setattr(platform_worker, "LATE_SECONDS", (0.2, 0.2))
    worker.late_orders = 1

    def make_call(path, **body):
        return HttpRequest(
            method="POST",
            path=path,
            headers={"x-expect-instance": "w"},
            body=json.dumps(body).encode(),
        )

    async def scenario():
        deadline = int(worker.read_clock() * 1000) + 3000
        start = {"task": "j.0.0.0", "attempt": 1, "spec": "1", "deadlineMs": deadline}
        order = asyncio.create_task(worker.handle(make_call("/-/run-start", **start)))
        await asyncio.sleep(0.05)
        hold = make_call("/-/hold", lastSeen=0, deadlineMs=deadline, fencingToken=0)
        running = json.loads((await worker.handle(hold)).body)["running"]
        await asyncio.sleep(0.3)
        later = json.loads((await worker.handle(hold)).body)["running"]
        answered = order.done()
        order.cancel()
        return running, len(later), answered

    assert asyncio.run(scenario()) == ([], 1, False)


def test_a_worker_tells_how_far_a_task_is():
    attempt = platform_worker.WorkerAttempt("j.0.0.0", 1, started_at=10.0, seconds=4.0)
    assert [attempt.measure_percent(now) for now in (10.0, 11.0, 15.0)] == [0, 25, 99]
    attempt.seconds = 0.0
    assert attempt.measure_percent(11.0) == 100


def test_limits_are_those_of_the_platform():
    assert platform_store.PAGE_ITEMS_MAX == platform_worker.ENDS_MAX == 500
    assert platform_store.READ_WAIT_MS_MAX == 30_000
    assert platform_worker.WAIT_MS_MAX == 2000


def test_the_entry_of_a_silent_worker_is_removed_after_three_heartbeats(
    worker, monkeypatch
):
    monkeypatch.setattr(platform_worker, "HEARTBEAT_INTERVAL_SECONDS", 0.01)

    async def list_workers():
        request = HttpRequest(
            method="GET",
            path="/-/log-newest?topic=keyed.servers&part=0",
            headers={},
            body=b"",
        )
        reply = await worker.store.handle(request)
        return [item["key"] for item in json.loads(reply.body)["items"]]

    async def wait_until_listed(names):
        async with asyncio.timeout(5):
            while await list_workers() != names:
                await asyncio.sleep(0.002)
        return len(worker.store.topics["keyed.servers"].records)

    async def scenario():
        publishing = asyncio.create_task(worker._publish_entry())
        await wait_until_listed(["w"])
        worker.hidden = 1
        removed = await wait_until_listed([])
        await asyncio.sleep(0.1)
        assert len(worker.store.topics["keyed.servers"].records) == removed
        worker.hidden = 0
        await wait_until_listed(["w"])
        publishing.cancel()

    asyncio.run(scenario())
