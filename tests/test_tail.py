"""A view of a topic over a log that answers in pages, fails and forgets."""

import asyncio

import pytest

from plantainhinge.core.errors import UnavailableError
from plantainhinge.daemons.tail import Tail
from plantainhinge.fleet.protocols import Entry

from .keyed_log import MemoryKeyedLog

TOPIC = "t"


class Site:
    """A topic of some keys, and a view of it."""

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
    """Have each second read of newest records fail, as over a link that stalls."""
    read = log.read_newest
    calls = []

    async def read_newest(topic, *, after=""):
        calls.append(after)
        if len(calls) % 2:
            raise UnavailableError("stalled", step="log.read")
        return await read(topic, after=after)

    log.read_newest = read_newest
    return calls


def test_a_large_topic_is_read_on_where_a_read_failed():
    site = Site(50, page_size=10)
    calls = fail_each_second_read(site.log)

    async def play():
        for _ in range(20):
            try:
                await site.tail.catch_up()
                return
            except UnavailableError:
                continue

    asyncio.run(play())
    assert [entry.key for entry in site.seen] == [f"k{index:03}" for index in range(50)]
    assert len(calls) == 10
    assert site.resets == 1


def test_records_appended_between_pages_are_read_after_them():
    site = Site(20, page_size=10)

    async def play():
        await site.tail.advance()
        await site.append("k000")
        await site.tail.catch_up()

    asyncio.run(play())
    assert [entry for entry in site.seen if entry.key == "k000"][-1].value == b"2"


def test_two_reads_at_once_take_each_record_in_once():
    site = Site(5, page_size=10)

    async def play():
        await site.tail.catch_up()
        site.seen.clear()
        waiting = asyncio.create_task(site.tail.advance(wait=1.0))
        await asyncio.sleep(0)
        await site.append("a")
        await site.append("b")
        await site.tail.catch_up()
        await waiting

    asyncio.run(play())
    assert [entry.key for entry in site.seen] == ["a", "b"]


def test_a_topic_that_was_trimmed_is_read_anew():
    site = Site(5, page_size=2)

    async def play():
        await site.tail.catch_up()
        await site.append("z")
        site.log.trim(TOPIC)
        await site.tail.catch_up()

    asyncio.run(play())
    assert len(site.seen) == 6
    assert site.resets == 2


@pytest.mark.parametrize("pages", [0, 1, 3])
def test_what_is_forgotten_is_read_again(pages):
    site = Site(5, page_size=2)

    async def play():
        for _ in range(pages):
            await site.tail.advance()
        site.tail.rewind()
        await site.tail.catch_up()

    asyncio.run(play())
    assert len(site.seen) == 5
