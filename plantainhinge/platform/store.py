"""Implements the keyed log on the platform's store."""

import json
import re
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from ..adapters.stream_http_client import HttpCall, HttpClient, HttpResponse
from ..core.errors import (
    ConflictError,
    CorruptRecordError,
    NotOwnerError,
    PlantainhingeError,
    RateLimitedError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from ..core.ids import MemberName, Seconds
from ..core.packing import DECODING_ERRORS
from ..fleet.protocols import Entry, Fence, Group, Page

T = TypeVar("T")

OK = 200
CONFLICT = 409
GONE = 410
ERRORS_BY_STATUS: dict[int, type[PlantainhingeError]] = {
    CONFLICT: ConflictError,
    412: ConflictError,
    413: TooLargeError,
    429: RateLimitedError,
    503: UnavailableError,
    # the store is full, which changes once old records have expired
    507: UnavailableError,
}
# stands for bytes of a key that aren't UTF-8
UNREADABLE_CHARACTER = "\ufffd"
SURROGATES = re.compile("[\ud800-\udfff]")
PRODUCER = "owner"
GROUP = "instances"
# The store lists only members that hold a partition. Each topic has at least one, so
# that at least eight members can hold one.
GROUP_TOPICS = tuple(f"members-{index}" for index in range(8))
JSON_HEADERS = (("Content-Type", "application/json"),)
READ_KIB_MAX = 256
RECORD_BYTES_MAX = 262_144
APPEND_BYTES_MAX = 2_097_152
WRITE_TIMEOUT_SECONDS = Seconds(0.8)
READ_TIMEOUT_SECONDS = Seconds(0.8)
# enough for a response of 1 MiB over a shared link of 5 Mbit/s
READ_TOTAL_TIMEOUT_SECONDS = Seconds(6.0)
RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


class _Appended(msgspec.Struct):
    end: int = msgspec.field(name="endOffset")


class _Refusal(msgspec.Struct):
    reason: str = ""
    end: int = msgspec.field(name="endOffset", default=-1)
    first: int = msgspec.field(name="startOffset", default=0)


class _Item(msgspec.Struct):
    key: str
    value: bytes = b""  # base64 on the wire


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int = msgspec.field(name="endOffset")


class _Joined(msgspec.Struct):
    generation: int


class _Owners(msgspec.Struct):
    # on the wire "parts": rows of topic, partition, member and offset
    partitions: list[tuple[str, int, str, int]] = msgspec.field(name="parts")


@dataclass
class Store:
    """Client for the platform's store; implements ``KeyedLog``.

    Parameters
    ----------
    client : HttpClient
        For calls that return at once.
    waiting_client : HttpClient
        For reads that wait for a new record (long polling).
    member_seconds : float
        Seconds without contact after which the store removes a group member.
    record_bytes_max, append_bytes_max : int
        Largest record and append that the store takes.
    """

    client: HttpClient
    waiting_client: HttpClient
    member_seconds: Seconds
    record_bytes_max: int = RECORD_BYTES_MAX
    append_bytes_max: int = APPEND_BYTES_MAX

    async def append(
        self,
        topic: str,
        entries: Sequence[Entry],
        *,
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append entries; see ``KeyedLog.append``."""
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        if fence is not None:
            query |= {"producer": PRODUCER, "epoch": fence.epoch}
            query |= {"seq": fence.sequence}
        body = b"".join(_encode_record(entry) for entry in entries)
        response = await self._post(f"/-/log-append?{urlencode(query)}", body, "append")
        return _decode(response, _Appended, "store.append", self.client.address).end

    async def read(self, topic: str, *, start: int, wait: Seconds) -> Page:
        """Read from an offset on; see ``KeyedLog.read``."""
        query: dict[str, str | int] = {"topic": topic, "part": 0, "from": start}
        query["maxKb"] = READ_KIB_MAX
        client = self.client
        if wait > 0:
            query["waitMs"] = int(wait * 1000)
            client = self.waiting_client
        call = HttpCall(method="GET", path=f"/-/log-read?{urlencode(query)}")
        response = await client.call(
            call,
            timeout=Seconds(wait + READ_TIMEOUT_SECONDS),
            total_timeout=Seconds(wait + READ_TOTAL_TIMEOUT_SECONDS),
        )
        _check_status(response, "store.read", client.address)
        return _parse_records(response.body, start, client.address)

    async def read_newest(self, topic: str, *, after: str = "") -> Page:
        """Read the newest record of each key; see ``KeyedLog.read_newest``."""
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        if after:
            query["dependsOn"] = after  # in this call, the key to continue after
        call = HttpCall(method="GET", path=f"/-/log-newest?{urlencode(query)}")
        response = await self.client.call(
            call, timeout=READ_TIMEOUT_SECONDS, total_timeout=READ_TOTAL_TIMEOUT_SECONDS
        )
        _check_status(response, "store.newest", self.client.address)
        page = _decode_newest(response, self.client.address)
        entries = tuple(Entry(item.key, item.value) for item in page.items)
        next_key = _find_last_key(entries) if page.more else ""
        return Page(entries, page.end, complete=False, next_key=next_key)

    async def join(self, member: MemberName, *, generation: int) -> int:
        """Join the group or stay in it; see ``KeyedLog.join``."""
        body = msgspec.json.encode(
            {
                "group": GROUP,
                "memberId": member,
                "topics": GROUP_TOPICS,
                "ttlMs": int(self.member_seconds * 1000),
                "generation": generation,
            }
        )
        response = await self._post("/-/log-join", body, "join")
        joined = _decode(response, _Joined, "store.join", self.client.address)
        return joined.generation

    async def leave(self, member: MemberName) -> None:
        """Leave the group; see ``KeyedLog.leave``."""
        body = msgspec.json.encode({"group": GROUP, "memberId": member})
        await self._post("/-/log-leave", body, "leave")

    async def list_members(self) -> Group:
        """List the group; see ``KeyedLog.list_members``."""
        query = urlencode({"group": GROUP})
        call = HttpCall(method="GET", path=f"/-/log-owners?{query}")
        response = await self.client.call(call, timeout=READ_TIMEOUT_SECONDS)
        _check_status(response, "store.members", self.client.address)
        owners = _decode(response, _Owners, "store.members", self.client.address)
        members = frozenset(MemberName(row[2]) for row in owners.partitions)
        return Group(members, is_complete=len(members) < len(owners.partitions))

    async def _post(self, path: str, body: bytes, step: str) -> HttpResponse:
        call = HttpCall(method="POST", path=path, body=body, headers=JSON_HEADERS)
        response = await self.client.call(call, timeout=WRITE_TIMEOUT_SECONDS)
        _check_status(response, f"store.{step}", self.client.address)
        return response


def _encode_record(entry: Entry) -> bytes:
    key = entry.key.encode()
    content = bytes([len(key)]) + key + entry.value
    return RECORD_LENGTH.pack(len(content)) + content


def _parse_records(body: bytes, start: int, peer: str) -> Page:
    entries: list[Entry] = []
    position = READ_HEADER.size
    try:
        topic_end, _ = READ_HEADER.unpack_from(body)
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            entries.append(_parse_record(body, position, length))
            position += length
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise CorruptRecordError(
            f"records from offset {start}: {error}", step="store.read", peer=peer
        ) from error
    end = start + len(entries)
    return Page(tuple(entries), end, complete=end >= topic_end)


def _parse_record(body: bytes, start: int, length: int) -> Entry:
    key_start, end = start + 1, start + length
    key_end = key_start + body[start]
    if not key_end <= end <= len(body):
        raise IndexError(f"a record of {length} bytes at {start} is cut short")
    return Entry(body[key_start:key_end].decode("utf-8", "replace"), body[key_end:end])


def _decode(response: HttpResponse, type_: type[T], step: str, peer: str) -> T:
    try:
        return msgspec.json.decode(response.body, type=type_)
    except DECODING_ERRORS as error:
        raise UncertainError(f"bad response: {error}", step=step, peer=peer) from error


def _decode_newest(response: HttpResponse, peer: str) -> _Newest:
    """Decode a page, also one with keys that aren't UTF-8 or have lone surrogates.

    Other writers share some topics, and one key of theirs must not hide the others.
    """
    try:
        return msgspec.json.decode(response.body, type=_Newest)
    except DECODING_ERRORS:
        pass
    try:
        content = json.loads(response.body.decode("utf-8", "replace"))
        for item in content["items"]:
            item["key"] = SURROGATES.sub(UNREADABLE_CHARACTER, item["key"])
        return msgspec.convert(content, _Newest)
    except (*DECODING_ERRORS, ValueError, LookupError, TypeError, AttributeError) as e:
        message = f"bad response: {e}"
        raise UncertainError(message, step="store.newest", peer=peer) from e


def _find_last_key(entries: Sequence[Entry]) -> str:
    """Return the key to continue after: the last one spelled as in the store."""
    keys = [entry.key for entry in entries]
    exact = [key for key in keys if UNREADABLE_CHARACTER not in key]
    return (exact or keys or [""])[-1]


def _check_status(response: HttpResponse, step: str, peer: str) -> None:
    """Raise the error that corresponds to a status other than 200."""
    if response.status == OK:
        return
    try:
        refusal = msgspec.json.decode(response.body, type=_Refusal)
    except DECODING_ERRORS:
        refusal = _Refusal()
    message = f"status {response.status} {refusal.reason}".strip()
    if response.status == GONE:
        raise TrimmedError(message, step=step, peer=peer, first=refusal.first)
    if response.status == CONFLICT and refusal.reason == "fenced":
        raise NotOwnerError(message, step=step, peer=peer)
    raise ERRORS_BY_STATUS.get(response.status, UnavailableError)(
        message, step=step, peer=peer
    )
