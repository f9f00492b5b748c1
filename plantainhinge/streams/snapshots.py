"""Snapshots of a stream: when to write one, its parts, and finding the newest.

The snapshots of a stream are stored in a stream of their own. A snapshot depends
only on the records before offset ``covers``, so a reader may restore any copy,
whichever process wrote it, and replay from ``covers`` on.
"""

from collections.abc import Sequence as SequenceOf
from dataclasses import dataclass, field

import msgspec

from ..core.errors import CorruptRecordError, UnknownVersionError
from ..core.ids import Offset, Seconds, Sequence, WriterId
from ..core.messages import Entry, Page
from ..core.packing import DECODING_ERRORS
from ..core.records import SnapshotTaken, decode_batch

PART_BYTES = 128 * 1024
SNAPSHOT_PERIOD_SECONDS = 1800.0
SNAPSHOT_ENTRIES = 20_000
WINDOW_ENTRIES = 8
WINDOW_GROWTH = 4
PAST_THE_END = Offset(2**62)  # a read there returns the log's bounds, no entries


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A replica's state before offset ``covers``.

    Parameters
    ----------
    writers : list of (WriterId, Sequence)
        The newest batch of each writer, in the order of eviction from
        ``WriterTable``.
    state : bytes
        The encoded state of the reducer.
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

    It is due after ``period`` even if nothing changed, because the retention limit
    deletes snapshots too, and earlier if a takeover would have to replay
    ``SNAPSHOT_ENTRIES`` entries or more.
    """
    if next_offset == 0:
        return False
    return now >= taken_at + period or next_offset - covers >= SNAPSHOT_ENTRIES


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot, to be split into parts."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Decode a snapshot; return None if ``data`` is not a valid one."""
    try:
        return msgspec.msgpack.decode(data, type=Snapshot)
    except DECODING_ERRORS:
        return None


def split_snapshot(snapshot: Snapshot) -> list[SnapshotTaken]:
    """Split a snapshot into records that each fit into one entry."""
    data = encode_snapshot(snapshot)
    starts = range(0, len(data), PART_BYTES)
    return [
        SnapshotTaken(
            data[start : start + PART_BYTES], snapshot.covers, part, len(starts)
        )
        for part, start in enumerate(starts)
    ]


SnapshotKey = tuple[WriterId, Offset, int]


@dataclass
class _PartTable:
    parts_by_key: dict[SnapshotKey, dict[int, bytes]] = field(default_factory=dict)

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
    """Searches a stream of snapshots for the newest complete one.

    It reads a window of entries at the end of the stream and, if no snapshot is
    complete in it, starts again with a window ``WINDOW_GROWTH`` times as large.

    Parameters
    ----------
    next_offset : Offset
        Where to read the stream of snapshots next.
    is_over : bool
        Whether the search has ended; ``found`` is None if there is no snapshot.
    """

    next_offset: Offset = PAST_THE_END
    is_over: bool = False
    found: Snapshot | None = None
    _window: int = WINDOW_ENTRIES
    _start: int | None = None
    _parts: _PartTable = field(default_factory=_PartTable)

    def handle_page(self, page: Page) -> None:
        """Handle the page that was read at ``next_offset``."""
        if self._start is None:
            self._start_window(page)
            return
        self._collect(page.entries)
        if self.next_offset >= page.end:
            self._finish_window(page)

    def skip_to(self, first: Offset) -> None:
        """Continue at ``first``: the entries before it were trimmed."""
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
