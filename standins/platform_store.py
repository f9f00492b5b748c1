"""Stand-in for the platform's store: topics, fencing, keyed records and a group."""

import asyncio
import base64
import json
import struct
import time
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from plantainhinge.adapters.stream_http_server import (
    HttpReply,
    HttpRequest,
    HttpServer,
)

LENGTH_PREFIX = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")
RECENT_APPENDS_MAX = 5
PAGE_ITEMS_MAX = 500
RECORD_BYTES_MAX = 262_144
APPEND_BYTES_MAX = 2_097_152
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
        Sequence number and end offset of the latest appends of each producer, from
        which a repeated append is answered.
    """

    records: list[bytes] = field(default_factory=list)
    start_offset: int = 0
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    recent_appends: dict[str, deque[tuple[int, int]]] = field(default_factory=dict)


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
    """

    address: str
    down: bool = False
    lost_responses: int = 0
    topics: dict[str, Topic] = field(default_factory=dict)
    members: dict[str, float] = field(default_factory=dict)
    generation: int = 0
    record_bytes_max: int = RECORD_BYTES_MAX
    append_bytes_max: int = APPEND_BYTES_MAX

    async def start(self) -> None:
        """Start listening."""
        await HttpServer(self.address, self.handle).start()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as operators and workers do."""
        self._get_topic(topic).records.append(encode_keyed_record(key, value))

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Handle one request."""
        if self.down:
            return HttpReply(status=503)
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/-/log-append":
                return await self._append(query, request.body)
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-newest":
                return self._read_newest(query)
        return self._handle_group(parts.path, request.body)

    def _handle_group(self, path: str, body: bytes) -> HttpReply:
        self._expire()
        match path:
            case "/-/log-join":
                return self._join(json.loads(body))
            case "/-/log-leave":
                self.members.pop(json.loads(body)["memberId"], None)
                self.generation += 1
                return build_json_reply({})
            case "/-/log-owners":
                rows = [["members-0", 0, name, 0] for name in self.members]
                return build_json_reply({"parts": rows})
        return HttpReply(status=404)

    async def _append(self, query: dict[str, str], body: bytes) -> HttpReply:
        topic = self._get_topic(query["topic"])
        records = split_records(body)
        sizes = [len(record) for record in records]
        is_too_large = max(sizes, default=0) > self.record_bytes_max
        if is_too_large or sum(sizes) > self.append_bytes_max:
            return build_json_reply({}, 413)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return build_json_reply({"endOffset": end}, 412)
        if "epoch" in query:
            early_reply = self._check_fence(topic, query, len(records))
            if early_reply is not None:
                return early_reply
        topic.records.extend(records)
        if self.lost_responses > 0:
            self.lost_responses -= 1
            await asyncio.sleep(60)
        return build_json_reply({"offset": end, "endOffset": len(topic.records)})

    def _check_fence(
        self, topic: Topic, query: dict[str, str], count: int
    ) -> HttpReply | None:
        producer, epoch = query["producer"], int(query["epoch"])
        sequence = int(query.get("seq", 0))
        newest_epoch = topic.epochs.get(producer, 0)
        if epoch < newest_epoch:
            return build_json_reply({"reason": "fenced"}, 409)
        if epoch > newest_epoch:
            topic.epochs[producer] = epoch
            topic.sequences[producer] = sequence - 1
            topic.recent_appends[producer] = deque(maxlen=RECENT_APPENDS_MAX)
        if count == 0:
            return None
        for known_sequence, end in topic.recent_appends[producer]:
            if known_sequence == sequence:
                return build_json_reply({"offset": end - count, "endOffset": end})
        if sequence != topic.sequences[producer] + 1:
            return build_json_reply({"reason": "seq"}, 409)
        topic.sequences[producer] = sequence
        topic.recent_appends[producer].append((sequence, len(topic.records) + count))
        return None

    async def _read(self, query: dict[str, str]) -> HttpReply:
        topic, start = self._get_topic(query["topic"]), int(query["from"])
        if start < topic.start_offset:
            return build_json_reply({"startOffset": topic.start_offset}, 410)
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < end:
            await asyncio.sleep(READ_POLL_SECONDS)
        header = PAGE_HEADER.pack(len(topic.records), topic.start_offset)
        body = b"".join(
            LENGTH_PREFIX.pack(len(record)) + record for record in topic.records[start:]
        )
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
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE_ITEMS_MAX]
        ]
        more = len(keys) > PAGE_ITEMS_MAX
        return build_json_reply(
            {"items": items, "more": more, "endOffset": len(topic.records)}
        )

    def _join(self, body: dict[str, object]) -> HttpReply:
        name, ttl = str(body["memberId"]), int(str(body["ttlMs"])) / 1000
        if name not in self.members:
            self.generation += 1
        self.members[name] = time.monotonic() + ttl
        first = next(iter(self.members)) == name
        rows = [["members-0", 0, 0]] if first else []
        return build_json_reply(
            {"generation": self.generation, "ttlMs": ttl, "parts": rows}
        )

    def _expire(self) -> None:
        now = time.monotonic()
        for name in [name for name, end in self.members.items() if end < now]:
            del self.members[name]
            self.generation += 1

    def _get_topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())


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
