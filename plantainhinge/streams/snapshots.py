"""Snapshots: when they are due, their parts, and the search for the newest.

A stream's snapshots stand in a stream of their own. A snapshot is a pure function
of the records before ``covers``, so whoever wrote it, and however often, a reader
may restore it and replay from ``covers`` on.
"""

from collections.abc import Sequence as SequenceOf
from dataclasses import dataclass, field

import msgspec

from ..core.errors import CorruptRecordError, UnknownVersionError
from ..core.ids import Offset, Seconds, Sequence, WriterId
from ..core.messages import Entry, Page
from ..core.records import SnapshotTaken, decode_batch

PART_BYTES = 128 * 1024
SNAPSHOT_PERIOD_SECONDS = 1800.0
SNAPSHOT_ENTRIES = 20_000
WINDOW_ENTRIES = 8
WINDOW_GROWTH = 4
PAST_THE_END = Offset(2**62)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A replica's state before ``covers``, with the batches it has met.

    Parameters
    ----------
    writers : list of (WriterId, Sequence)
        In the order in which they will be forgotten.
    """

    covers: Offset
    writers: list[tuple[WriterId, Sequence]]
    state: bytes


def is_due(
    *,
    taken_at: Seconds,
    now: Seconds,
    covers: Offset,
    next_offset: Offset,
    period: Seconds,
) -> bool:
    """Return whether the next snapshot should be written.

    It is due after ``period``, even if nothing changed, because retention forgets
    snapshots too; and earlier if a takeover would replay too many entries.
    """
    if next_offset == 0:
        return False
    return now >= taken_at + period or next_offset - covers >= SNAPSHOT_ENTRIES


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot in ``data``; None if it is none."""
    try:
        return msgspec.msgpack.decode(data, type=Snapshot)
    except msgspec.MsgspecError:
        return None


def split_snapshot(snapshot: Snapshot) -> list[SnapshotTaken]:
    """Return the parts of a snapshot, each small enough for one entry."""
    data = encode_snapshot(snapshot)
    starts = range(0, len(data), PART_BYTES)
    return [
        SnapshotTaken(
            data[start : start + PART_BYTES], snapshot.covers, part, len(starts)
        )
        for part, start in enumerate(starts)
    ]


Key = tuple[WriterId, Offset, int]


@dataclass
class _Parts:
    parts_by_key: dict[Key, dict[int, bytes]] = field(default_factory=dict)

    def add(self, writer: WriterId, record: SnapshotTaken) -> None:
        key = (writer, record.covers, record.parts)
        self.parts_by_key.setdefault(key, {})[record.part] = record.state

    def find_newest(self) -> Snapshot | None:
        complete = [
            key for key, parts in self.parts_by_key.items() if len(parts) == key[2]
        ]
        for key in sorted(complete, key=lambda key: key[1], reverse=True):
            parts = self.parts_by_key[key]
            data = b"".join(parts[part] for part in sorted(parts))
            snapshot = decode_snapshot(data)
            if snapshot is not None:
                return snapshot
        return None


@dataclass
class SnapshotSearch:
    """Looks backwards from the end for the newest complete snapshot.

    Parameters
    ----------
    next_offset : Offset
        Where to read the stream of snapshots next.
    is_over : bool
        Whether ``found`` is final.
    """

    next_offset: Offset = PAST_THE_END
    is_over: bool = False
    found: Snapshot | None = None
    _window: int = WINDOW_ENTRIES
    _start: int | None = None
    _parts: _Parts = field(default_factory=_Parts)

    def handle_page(self, page: Page) -> None:
        """Take in what the log held at ``next_offset``."""
        if self._start is None:
            self._start_window(page)
            return
        self._collect(page.entries)
        if self.next_offset >= page.end:
            self._finish_window(page)

    def skip_to(self, first: Offset) -> None:
        """Go on behind entries that retention has forgotten."""
        self.next_offset = first
        self._start = first

    def _start_window(self, page: Page) -> None:
        self._start = max(page.first, page.end - self._window)
        self.next_offset = Offset(self._start)
        self.is_over = page.end == page.first

    def _collect(self, entries: SequenceOf[Entry]) -> None:
        for entry in entries:
            self.next_offset = Offset(entry.offset + 1)
            try:
                batch = decode_batch(entry.data)
            except (CorruptRecordError, UnknownVersionError):
                continue
            for record in batch.records:
                if isinstance(record, SnapshotTaken):
                    self._parts.add(batch.writer, record)

    def _finish_window(self, page: Page) -> None:
        self.found = self._parts.find_newest()
        self.is_over = self.found is not None or self._start == page.first
        if not self.is_over:
            self._window *= WINDOW_GROWTH
            self._start_window(page)
