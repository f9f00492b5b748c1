"""In-memory implementation of the platform's log, for tests and the stand-in."""

import threading
from dataclasses import dataclass, field

from ..core.errors import TooLargeError, TrimmedError
from ..core.ids import Offset, StreamName
from ..core.messages import Entry, Page
from .registry import LOGS

ENTRY_BYTES_MAX = 1024 * 1024


@dataclass
class _Stream:
    first: int = 0
    entries: list[bytes] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.entries)


@LOGS.register("memory")
class MemoryLog:
    """Streams of entries in memory; thread-safe.

    Parameters
    ----------
    entry_bytes_max : int
        Size limit of an entry; ``append`` raises ``TooLargeError`` beyond it.
    """

    def __init__(
        self, address: str = "", *, entry_bytes_max: int = ENTRY_BYTES_MAX
    ) -> None:
        self.address = address
        self._entry_bytes_max = entry_bytes_max
        self._streams: dict[StreamName, _Stream] = {}
        self._lock = threading.Lock()

    def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append one entry and return its offset."""
        if len(data) > self._entry_bytes_max:
            raise TooLargeError(
                f"{len(data)} bytes are more than {self._entry_bytes_max}",
                step="log.append",
                peer=stream,
            )
        with self._lock:
            stored = self._streams.setdefault(stream, _Stream())
            stored.entries.append(data)
            return Offset(stored.end - 1)

    def read(self, stream: StreamName, start: Offset, max_bytes: int) -> Page:
        """Return entries from ``start`` on; see ``PlatformLog.read``."""
        with self._lock:
            stored = self._streams.get(stream, _Stream())
            if start < stored.first:
                raise TrimmedError(
                    f"offset {start} is gone; the oldest is {stored.first}",
                    step="log.read",
                    peer=stream,
                    first=stored.first,
                )
            entries = self._collect(stored, start, max_bytes)
            return Page(
                entries=entries, first=Offset(stored.first), end=Offset(stored.end)
            )

    def trim(self, stream: StreamName, first: Offset) -> None:
        """Delete the entries before ``first``."""
        with self._lock:
            stored = self._streams.setdefault(stream, _Stream())
            count = max(0, min(first, stored.end) - stored.first)
            del stored.entries[:count]
            stored.first += count

    def _collect(self, stored: _Stream, start: int, max_bytes: int) -> list[Entry]:
        entries: list[Entry] = []
        size = 0
        for offset in range(start, stored.end):
            data = stored.entries[offset - stored.first]
            size += len(data)
            if entries and size > max_bytes:
                break
            entries.append(Entry(offset=Offset(offset), data=data))
        return entries
