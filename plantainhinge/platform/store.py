"""The platform's store behind the project's keyed log."""

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
from ..fleet.protocols import Entry, Fence, Page

T = TypeVar("T")

OK = 200
CONFLICT = 409
GONE = 410
REFUSALS: dict[int, type[PlantainhingeError]] = {
    CONFLICT: ConflictError,
    412: ConflictError,
    413: TooLargeError,
    429: RateLimitedError,
    503: UnavailableError,
    507: TooLargeError,
}
PRODUCER = "owner"
GROUP = "instances"
# enough partitions that each member holds one, since only holders are listed
GROUP_TOPICS = tuple(f"members-{index}" for index in range(8))
JSON_HEADERS = (("Content-Type", "application/json"),)
READ_KIB_MAX = 256
WRITE_SECONDS = Seconds(0.8)
READ_SECONDS = Seconds(0.8)
# for answers of up to a mebibyte over a link of 5 Mbit/s that others use as well
READ_SECONDS_IN_ALL = Seconds(6.0)
LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")


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
    # rows of topic, partition, member and offset
    parts: list[tuple[str, int, str, int]]


@dataclass
class Store:
    """Calls to the platform's store.

    Parameters
    ----------
    client : HttpClient
        For calls that are answered at once.
    waiting_client : HttpClient
        For reads that wait for a record.
    member_seconds : float
        How long a silent member stays in the group.
    """

    client: HttpClient
    waiting_client: HttpClient
    member_seconds: Seconds

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
        body = b"".join(_frame(entry) for entry in entries)
        answer = await self._post(f"/-/log-append?{urlencode(query)}", body, "append")
        return _decode(answer, _Appended, "store.append", self.client.address).end

    async def read(self, topic: str, *, start: int, wait: Seconds) -> Page:
        """Read from an offset on; see ``KeyedLog.read``."""
        query: dict[str, str | int] = {"topic": topic, "part": 0, "from": start}
        query["maxKb"] = READ_KIB_MAX
        client = self.client
        if wait > 0:
            query["waitMs"] = int(wait * 1000)
            client = self.waiting_client
        call = HttpCall(method="GET", path=f"/-/log-read?{urlencode(query)}")
        answer = await client.call(
            call,
            timeout=Seconds(wait + READ_SECONDS),
            total_timeout=Seconds(wait + READ_SECONDS_IN_ALL),
        )
        _check(answer, "store.read", client.address)
        return _parse_records(answer.body, start, client.address)

    async def read_newest(self, topic: str, *, after: str = "") -> Page:
        """Read the newest record of each key; see ``KeyedLog.read_newest``."""
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        if after:
            query["dependsOn"] = after  # here: the key to continue after
        call = HttpCall(method="GET", path=f"/-/log-newest?{urlencode(query)}")
        answer = await self.client.call(
            call, timeout=READ_SECONDS, total_timeout=READ_SECONDS_IN_ALL
        )
        _check(answer, "store.newest", self.client.address)
        page = _decode(answer, _Newest, "store.newest", self.client.address)
        entries = tuple(Entry(item.key, item.value) for item in page.items)
        more = page.more and bool(entries)
        return Page(
            entries, page.end, complete=False, next_key=entries[-1].key if more else ""
        )

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
        answer = await self._post("/-/log-join", body, "join")
        joined = _decode(answer, _Joined, "store.join", self.client.address)
        return joined.generation

    async def leave(self, member: MemberName) -> None:
        """Leave the group; see ``KeyedLog.leave``."""
        body = msgspec.json.encode({"group": GROUP, "memberId": member})
        await self._post("/-/log-leave", body, "leave")

    async def list_members(self) -> frozenset[MemberName]:
        """List the group; see ``KeyedLog.list_members``."""
        query = urlencode({"group": GROUP})
        call = HttpCall(method="GET", path=f"/-/log-owners?{query}")
        answer = await self.client.call(call, timeout=READ_SECONDS)
        _check(answer, "store.members", self.client.address)
        owners = _decode(answer, _Owners, "store.members", self.client.address)
        return frozenset(MemberName(row[2]) for row in owners.parts)

    async def _post(self, path: str, body: bytes, step: str) -> HttpResponse:
        call = HttpCall(method="POST", path=path, body=body, headers=JSON_HEADERS)
        answer = await self.client.call(call, timeout=WRITE_SECONDS)
        _check(answer, f"store.{step}", self.client.address)
        return answer


def _frame(entry: Entry) -> bytes:
    key = entry.key.encode()
    content = bytes([len(key)]) + key + entry.value
    return LENGTH.pack(len(content)) + content


def _parse_records(body: bytes, start: int, peer: str) -> Page:
    entries: list[Entry] = []
    position = READ_HEAD.size
    try:
        topic_end, _ = READ_HEAD.unpack_from(body)
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            entries.append(_parse_keyed(body, position, length))
            position += length
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise CorruptRecordError(
            f"records from offset {start}: {error}", step="store.read", peer=peer
        ) from error
    end = start + len(entries)
    return Page(tuple(entries), end, complete=end >= topic_end)


def _parse_keyed(body: bytes, start: int, length: int) -> Entry:
    key_start, end = start + 1, start + length
    key_end = key_start + body[start]
    if not key_end <= end <= len(body):
        raise IndexError(f"a record of {length} bytes at {start} is cut short")
    return Entry(body[key_start:key_end].decode("utf-8", "replace"), body[key_end:end])


def _decode(answer: HttpResponse, type_: type[T], step: str, peer: str) -> T:
    try:
        return msgspec.json.decode(answer.body, type=type_)
    except msgspec.MsgspecError as error:
        raise UncertainError(f"answer: {error}", step=step, peer=peer) from error


def _check(answer: HttpResponse, step: str, peer: str) -> None:
    """Raise what a refusal means."""
    if answer.status == OK:
        return
    try:
        refusal = msgspec.json.decode(answer.body, type=_Refusal)
    except msgspec.MsgspecError:
        refusal = _Refusal()
    message = f"status {answer.status} {refusal.reason}".strip()
    if answer.status == GONE:
        raise TrimmedError(message, step=step, peer=peer, first=refusal.first)
    if answer.status == CONFLICT and refusal.reason == "fenced":
        raise NotOwnerError(message, step=step, peer=peer)
    raise REFUSALS.get(answer.status, UnavailableError)(message, step=step, peer=peer)
