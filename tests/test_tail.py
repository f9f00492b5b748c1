"""Tests of a tail over a log that answers in pages, fails and is trimmed."""

import asyncio

import pytest

from plantainhinge.core.errors import UnavailableError
from plantainhinge.daemons.tail import Tail
from plantainhinge.fleet.protocols import Entry

from .keyed_log import MemoryKeyedLog

TOPIC = "t"


class TailedTopic:
    """A topic with some keys, and a tail of it."""

    def __init__(self, keys, *, page_size):
        self.log = MemoryKeyedLog()
        self.log.page_size = page_size
        self.seen = []
        self.resets = 0
        self.tail = Tail(self.log, TOPIC, self.seen.append, self.reset)
        self.log.topics[TOPIC] = [Entry(f"k{index:03}", b"1") for index in range(keys)]

    def reset(self):
        self.resets += 1
        self.seen.clear()

    async def append(self, key):
        await self.log.append(TOPIC, [Entry(key, b"2")])


def fail_each_second_read(log):
    """Make every second read of newest records fail, as over an unreliable link."""
    read = log.read_newest
    calls = []

    async def read_newest(topic, *, after=""):
        calls.append(after)
        if len(calls) % 2:
            raise UnavailableError("stalled", step="log.read")
        return await read(topic, after=after)

    log.read_newest = read_newest
    return calls


def test_reading_continues_at_the_page_that_failed():
    topic = TailedTopic(50, page_size=10)
    calls = fail_each_second_read(topic.log)

    async def play():
        for _ in range(20):
            try:
                await topic.tail.catch_up()
                return
            except UnavailableError:
                continue

    asyncio.run(play())
    assert [entry.key for entry in topic.seen] == [
        f"k{index:03}" for index in range(50)
    ]
    assert len(calls) == 10
    assert topic.resets == 1


def test_records_appended_between_pages_are_applied_after_them():
    topic = TailedTopic(20, page_size=10)

    async def play():
        await topic.tail.advance()
        await topic.append("k000")
        await topic.tail.catch_up()

    asyncio.run(play())
    assert [entry for entry in topic.seen if entry.key == "k000"][-1].value == b"2"


def test_concurrent_reads_apply_each_record_once():
    topic = TailedTopic(5, page_size=10)

    async def play():
        await topic.tail.catch_up()
        topic.seen.clear()
        waiting = asyncio.create_task(topic.tail.advance(wait=1.0))
        await asyncio.sleep(0)
        await topic.append("a")
        await topic.append("b")
        await topic.tail.catch_up()
        await waiting

    asyncio.run(play())
    assert [entry.key for entry in topic.seen] == ["a", "b"]


def test_a_tail_starts_over_after_the_topic_is_trimmed():
    topic = TailedTopic(5, page_size=2)

    async def play():
        await topic.tail.catch_up()
        await topic.append("z")
        topic.log.trim(TOPIC)
        await topic.tail.catch_up()

    asyncio.run(play())
    assert len(topic.seen) == 6
    assert topic.resets == 2


@pytest.mark.parametrize("pages", [0, 1, 3])
def test_a_rewound_tail_reads_all_records_again(pages):
    topic = TailedTopic(5, page_size=2)

    async def play():
        for _ in range(pages):
            await topic.tail.advance()
        topic.tail.rewind()
        await topic.tail.catch_up()

    asyncio.run(play())
    assert len(topic.seen) == 5


def test_a_record_that_cannot_be_applied_is_left_out():
    async def scenario():
        topic = TailedTopic(3, page_size=2)
        apply = topic.tail.apply

        def apply_or_fail(entry):
            if entry.key in ("k001", "bad"):
                raise ValueError(entry.key)
            apply(entry)

        topic.tail.apply = apply_or_fail
        await topic.tail.catch_up()
        await topic.append("bad")
        await topic.append("good")
        await topic.tail.catch_up()
        return [entry.key for entry in topic.seen], topic.resets

    assert asyncio.run(scenario()) == (["k000", "k002", "good"], 1)


def test_a_tail_rewound_during_a_read_skips_no_page():
    topic = TailedTopic(6, page_size=2)
    read = topic.log.read_newest

    async def read_newest(topic_name, *, after=""):
        page = await read(topic_name, after=after)
        if after == "k001" and topic.resets == 1:
            topic.tail.rewind()
        return page

    topic.log.read_newest = read_newest
    asyncio.run(topic.tail.catch_up())
    assert {entry.key for entry in topic.seen} == {f"k{index:03}" for index in range(6)}
