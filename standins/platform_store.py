"""Stand-in for the platform's store: topics, fencing, keyed records and a group."""

import asyncio
import base64
import json
import math
import struct
import time
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import parse_qs, urlsplit

from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from plantainhinge.adapters.stream_http_server import HttpServer

from .platform_group import StandInGroup

LENGTH_PREFIX = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")
RECENT_APPENDS_MAX = 5
PAGE_ITEMS_MAX = 500
RECORD_BYTES_MAX = 262_144
APPEND_BYTES_MAX = 2_097_152
PAGE_BYTES_MAX = 1_000_000
READ_KIB_MAX = 1024
READ_WAIT_MS_MAX = 30_000
MEMBER_MS_MIN = 1000
# an append that would wait for longer is refused
QUEUE_SECONDS_MAX = 2.0
APPEND_SECONDS = 0.001
APPEND_BYTES_PER_SECOND = 20_000_000
# what a call counts for its rate, if not 1
CALL_COSTS = {"/-/log-join": 0.1}
READ_PATHS = frozenset({"/-/log-read", "/-/log-newest", "/-/log-owners"})
FOREIGN_TOPICS = frozenset({"keyed.op", "keyed.servers"})
T = TypeVar("T", bytes, str)
READ_POLL_SECONDS = 0.002


@dataclass
class Topic:
    """One topic with a single partition.

    Parameters
    ----------
    start_offset : int
        Offset of the first record that is not trimmed.
    epochs, sequences : dict of str to int
        Newest epoch and last sequence number of each producer.
    recent_appends : dict of str to deque
        Sequence number and first response of the latest appends of each producer.
    busy_until : float
        Monotonic time in seconds at which the appends so far are done.
    """

    records: list[bytes] = field(default_factory=list)
    start_offset: int = 0
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    recent_appends: dict[str, deque[tuple[int, dict[str, int]]]] = field(
        default_factory=dict
    )
    busy_until: float = 0.0

    def trim(self, before: int) -> None:
        """Delete the records before an offset; the newest of each key stays known."""
        before = min(before, len(self.records))
        self.start_offset = max(self.start_offset, before)


@dataclass
class StandInStore:
    """Serves the calls of the store from memory.

    Parameters
    ----------
    down : bool
        Whether every call is refused with status 503.
    lost_responses : int
        Number of appends that still take effect without a response.
    record_bytes_max, append_bytes_max : int
        Largest record and append; larger ones are refused with status 413.
    append_seconds : float
        Time that each append takes, beside that for its bytes.
    reads_per_second, writes_per_second : float
        Calls of all instances together beyond which the store refuses with status 429.
    """

    address: str
    down: bool = False
    lost_responses: int = 0
    topics: dict[str, Topic] = field(default_factory=dict)
    record_bytes_max: int = RECORD_BYTES_MAX
    append_bytes_max: int = APPEND_BYTES_MAX
    group: StandInGroup = field(default_factory=StandInGroup)
    append_seconds: float = APPEND_SECONDS
    reads_per_second: float = math.inf
    writes_per_second: float = math.inf
    _reads: deque[tuple[float, float]] = field(default_factory=deque)
    _writes: deque[tuple[float, float]] = field(default_factory=deque)

    async def start(self) -> None:
        """Start listening."""
        await HttpServer(self.address, self.handle).start()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as operators and workers do."""
        self._get_topic(topic).records.append(encode_keyed_record(key, value))

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Handle one request."""
        parts = urlsplit(request.path)
        if self.down or self._is_over_rate(parts.path):
            return HttpReply(status=503 if self.down else 429)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/-/log-append":
                return await self._append(query, request.body)
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-newest":
                return self._read_newest(query)
            case "/-/log-trim":
                return self._trim(query)
        return self._handle_group(parts.path, request.body)

    def _is_over_rate(self, path: str) -> bool:
        """Return whether a call exceeds its rate; if it doesn't, it is counted."""
        if path in READ_PATHS:
            calls, limit = self._reads, self.reads_per_second
        else:
            calls, limit = self._writes, self.writes_per_second
        now = time.monotonic()
        while calls and calls[0][0] < now - 1.0:
            calls.popleft()
        cost = CALL_COSTS.get(path, 1.0)
        if cost + sum(cost for _, cost in calls) > limit:
            return True
        calls.append((now, cost))
        return False

    def _handle_group(self, path: str, body: bytes) -> HttpReply:
        self.group.expire(time.monotonic())
        match path:
            case "/-/log-join":
                return self._join(json.loads(body))
            case "/-/log-leave":
                self.group.leave(json.loads(body)["memberId"])
                return build_json_reply({})
            case "/-/log-owners":
                held = self.group.list_held()
                return build_json_reply(
                    {"parts": [[*part, member, 0] for part, member in held]}
                )
        return HttpReply(status=404)

    async def _append(self, query: dict[str, str], body: bytes) -> HttpReply:
        topic = self._get_topic(query["topic"])
        records = split_records(body)
        refusal = self._refuse_append(query, records)
        if refusal is not None:
            return refusal
        if not await self._take_turn(topic, len(body)):
            return build_json_reply({}, 503)
        if "epoch" in query:
            early_reply = self._find_early_reply(topic, query)
            if early_reply is not None:
                return early_reply
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return build_json_reply({"endOffset": end}, 412)
        content = {"offset": end, "endOffset": end + len(records)}
        if "epoch" in query and not self._take_sequence(topic, query, content):
            expected = topic.sequences[query["producer"]] + 1
            return build_json_reply({"reason": "seq", "seq": expected}, 409)
        topic.records.extend(records)
        if self.lost_responses > 0:
            self.lost_responses -= 1
            await asyncio.sleep(60)
        return build_json_reply(content)

    def _refuse_append(
        self, query: dict[str, str], records: list[bytes]
    ) -> HttpReply | None:
        """Return the reply to an append that is never accepted, else None."""
        sizes = [len(record) for record in records]
        is_too_large = max(sizes, default=0) > self.record_bytes_max
        if is_too_large or sum(sizes) > self.append_bytes_max:
            return build_json_reply({}, 413)
        if query["topic"] in FOREIGN_TOPICS:
            return build_json_reply({}, 403)
        return None

    async def _take_turn(self, topic: Topic, size: int) -> bool:
        """Wait until the appends before are done; return False if they take too long.

        Parameters
        ----------
        size : int
            Bytes to append.
        """
        now = time.monotonic()
        begin = max(now, topic.busy_until)
        if begin - now > QUEUE_SECONDS_MAX:
            return False
        topic.busy_until = begin + self.append_seconds + size / APPEND_BYTES_PER_SECOND
        await asyncio.sleep(topic.busy_until - now)
        return True

    def _find_early_reply(
        self, topic: Topic, query: dict[str, str]
    ) -> HttpReply | None:
        """Return the refusal of an old epoch, or the first reply to a repeat."""
        producer, epoch = query["producer"], int(query["epoch"])
        newest_epoch = topic.epochs.get(producer, 0)
        if epoch < newest_epoch:
            return build_json_reply({"reason": "fenced"}, 409)
        if epoch == newest_epoch:
            for sequence, content in topic.recent_appends.get(producer, ()):
                if sequence == int(query.get("seq", 0)):
                    return build_json_reply(content)
        return None

    def _take_sequence(
        self, topic: Topic, query: dict[str, str], content: dict[str, int]
    ) -> bool:
        """Note the epoch and sequence number; return whether the number follows."""
        producer, epoch = query["producer"], int(query["epoch"])
        sequence = int(query.get("seq", 0))
        if epoch > topic.epochs.get(producer, 0):
            topic.epochs[producer] = epoch
            topic.sequences[producer] = sequence - 1
            topic.recent_appends[producer] = deque(maxlen=RECENT_APPENDS_MAX)
        if content["offset"] == content["endOffset"]:
            return True
        if sequence != topic.sequences[producer] + 1:
            return False
        topic.sequences[producer] = sequence
        topic.recent_appends[producer].append((sequence, content))
        return True

    def _trim(self, query: dict[str, str]) -> HttpReply:
        if query["topic"] in FOREIGN_TOPICS:
            return build_json_reply({}, 403)
        self._get_topic(query["topic"]).trim(int(query["before"]))
        return build_json_reply({})

    async def _read(self, query: dict[str, str]) -> HttpReply:
        topic, start = self._get_topic(query["topic"]), int(query["from"])
        if start < topic.start_offset:
            return build_json_reply({"startOffset": topic.start_offset}, 410)
        wait_ms = int(query.get("waitMs", 0))
        if wait_ms > READ_WAIT_MS_MAX:
            return build_json_reply({}, 400)
        end = time.monotonic() + wait_ms / 1000
        while len(topic.records) <= start and time.monotonic() < end:
            await asyncio.sleep(READ_POLL_SECONDS)
        header = PAGE_HEADER.pack(len(topic.records), topic.start_offset)
        size_max = min(int(query.get("maxKb", READ_KIB_MAX)), READ_KIB_MAX) * 1024
        rows = (LENGTH_PREFIX.pack(len(row)) + row for row in topic.records[start:])
        body = b"".join(take_up_to(rows, size_max))
        return HttpReply(status=200, body=header + body)

    def _read_newest(self, query: dict[str, str]) -> HttpReply:
        topic = self._get_topic(query["topic"])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(topic.records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        after = query.get("dependsOn", "")
        keys = sorted(
            key for key, (_, value) in newest.items() if value and key > after
        )
        rows = (
            json.dumps(
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][1]).decode(),
                    "offset": newest[key][0],
                }
            )
            for key in keys[:PAGE_ITEMS_MAX]
        )
        items = list(take_up_to(rows, PAGE_BYTES_MAX))
        content = {"more": len(keys) > len(items), "endOffset": len(topic.records)}
        page = json.dumps(content).removeprefix("{")
        body = f'{{"items": [{", ".join(items)}], {page}'
        return HttpReply(status=200, body=body.encode())

    def _join(self, body: dict[str, Any]) -> HttpReply:
        if body["ttlMs"] < MEMBER_MS_MIN:
            return build_json_reply({}, 400)
        parts = self.group.join(
            body["memberId"],
            [(topic, 0) for topic in body["topics"]],
            until=time.monotonic() + body["ttlMs"] / 1000,
            generation=body["generation"],
        )
        rows = [[*part, 0] for part in parts]
        return build_json_reply({"generation": self.group.generation, "parts": rows})

    def _get_topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())


def take_up_to(rows: Iterable[T], size_max: int) -> Iterator[T]:
    """Yield the first row, and further ones while the total length allows it."""
    size = 0
    for row in rows:
        size += len(row)
        if size > size_max and size > len(row):
            return
        yield row


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encode a keyed record, without the length prefix of an append."""
    return bytes([len(key)]) + key.encode() + value


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append into its records."""
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH_PREFIX.unpack_from(body, position)
        position += LENGTH_PREFIX.size
        records.append(body[position : position + length])
        position += length
    return records


def build_json_reply(content: object, status: int = 200) -> HttpReply:
    """Build a reply with a JSON body."""
    return HttpReply(status=status, body=json.dumps(content).encode())
