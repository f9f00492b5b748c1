"""Stand-in for the platform's store: log, keyed topics, fences and a group.

It follows PROTOCOL.md, "The platform's metadata store". Calls take ``delay`` seconds.
"""

import asyncio
import base64
import struct
import time
from urllib.parse import parse_qs, urlsplit

from .wire import Reply, Server

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
ITEMS_MAX = 500
PARTS = 12
OWN_TOPICS = ("keyed.op", "keyed.servers")


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epochs = {}
        self.last = {}
        self.recent = {}
        self.changed = asyncio.Event()

    def append(self, records, keyed):
        for record in records:
            if keyed:
                key = record[1 : 1 + record[0]].decode("utf-8", "replace")
                value = record[1 + record[0] :]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()


class Store:
    """The store, served on a loopback address."""

    def __init__(self, *, delay=0.004):
        self.delay = delay
        self.topics = {}
        self.members = {}
        self.generation = 0
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()

    @property
    def address(self):
        return self.server.address

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a keyed record as the operator or a worker."""
        self.put_bytes(topic, key.encode(), value)

    def put_bytes(self, topic, key, value):
        self.topic(topic).append([bytes([len(key)]) + key + value], True)

    def drop(self, topic, key):
        self.put(topic, key, b"")

    async def handle(self, request):
        await asyncio.sleep(self.delay)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/log-read":
            return await self.read(query)
        calls = {
            "/-/log-append": lambda: self.append(query, request.body),
            "/-/log-newest": lambda: self.read_newest(query),
            "/-/log-join": lambda: self.join(request.json()),
            "/-/log-leave": lambda: self.leave(request.json()),
            "/-/log-owners": lambda: Reply(content={"parts": self.share_parts()}),
        }
        call = calls.get(parts.path)
        return Reply(404) if call is None else call()

    def append(self, query, body):
        name = query["topic"]
        if name in OWN_TOPICS:
            return Reply(403)
        topic = self.topic(name)
        records = split_records(body)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return Reply(412, {"endOffset": end})
        if "producer" in query:
            refusal = check_fence(topic, query, len(records))
            if refusal is not None:
                return refusal
        topic.append(records, name.startswith("keyed."))
        content = {"offset": end, "endOffset": len(topic.records)}
        if "producer" in query and records:
            topic.last[query["producer"]] = int(query["seq"])
            recent = topic.recent.setdefault(query["producer"], [])
            recent.append((int(query["seq"]), content))
            del recent[:-5]
        return Reply(content=content)

    async def read(self, query):
        topic, start = self.topic(query["topic"]), int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < end:
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    await topic.changed.wait()
            except TimeoutError:
                break
        data = [HEADER.pack(len(topic.records), 0)]
        room = int(query.get("maxKb", 1024)) * 1024
        for record in topic.records[start:]:
            room -= len(record) + LENGTH.size
            if room < 0 and len(data) > 1:
                break
            data.append(LENGTH.pack(len(record)) + record)
        return Reply(raw=b"".join(data))

    def read_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("dependsOn", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:ITEMS_MAX]
        ]
        more = len(keys) > ITEMS_MAX
        return Reply(
            content={"items": items, "more": more, "endOffset": len(topic.records)}
        )

    def join(self, body):
        self.expire()
        name = body["memberId"]
        if name not in self.members:
            self.generation += 1
        self.members[name] = (
            time.monotonic() + body["ttlMs"] / 1000,
            tuple(body["topics"]),
        )
        rows = [[row[0], row[1], 0] for row in self.share_parts() if row[2] == name]
        return Reply(content={"generation": self.generation, "parts": rows})

    def leave(self, body):
        if self.members.pop(body["memberId"], None) is not None:
            self.generation += 1
        return Reply()

    def expire(self):
        now = time.monotonic()
        for name in [name for name, row in self.members.items() if row[0] < now]:
            del self.members[name]
            self.generation += 1

    def share_parts(self):
        """Return rows of topic, partition, member and offset, spread evenly."""
        self.expire()
        names = sorted(self.members)
        topics = sorted({topic for _, row in self.members.values() for topic in row})
        places = [(topic, part) for topic in topics for part in range(PARTS)]
        return [
            [topic, part, names[index % len(names)], 0]
            for index, (topic, part) in enumerate(places)
        ]


def check_fence(topic, query, count):
    producer, epoch = query["producer"], int(query["epoch"])
    known = topic.epochs.get(producer, -1)
    if epoch < known:
        return Reply(409, {"reason": "fenced"})
    if epoch > known:
        topic.epochs[producer] = epoch
        topic.last.pop(producer, None)
        topic.recent[producer] = []
    if not count:
        return None
    sequence = int(query["seq"])
    for number, content in topic.recent.get(producer, ()):
        if number == sequence:
            return Reply(content=content)
    last = topic.last.get(producer)
    if last is not None and sequence != last + 1:
        return Reply(409, {"reason": "seq", "seq": last + 1})
    return None


def split_records(body):
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
