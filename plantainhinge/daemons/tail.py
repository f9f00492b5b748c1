"""Follows one topic of the log.

A tail first reads the newest record of every key, page by page, and then all records
appended after the start of that read.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic
from ..core.errors import TrimmedError
from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.protocols import Entry, KeyedLog
from .view_events import RecordFailed, TopicTrimmed

logger = logging.getLogger(__name__)

NO_WAIT = Seconds(0.0)


@dataclass
class Tail:
    """Reads a topic and passes its records to ``apply`` in order.

    Parameters
    ----------
    apply : callable
        Called with each record.
    reset : callable
        Called when reading starts over; the newest record of each key follows.
    synced_at : float
        Monotonic time in seconds; all records appended before it were applied.
    position : int, optional
        Offset of the next record; None until the newest records were all read.
    """

    log: KeyedLog
    topic: str
    apply: Callable[[Entry], object]
    reset: Callable[[], None]
    synced_at: float = float("-inf")
    position: int | None = None
    _read_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _next_key: str = ""
    _restart_end: int | None = None
    _rewinds: int = 0

    async def advance(self, *, wait: Seconds = NO_WAIT) -> int:
        """Read once and apply the records; return their number.

        Parameters
        ----------
        wait : float
            Seconds that the log may wait for a first record.
        """
        if self.position is None:
            return await self._restart()
        start, asked_at = self.position, read_monotonic()
        try:
            page = await self.log.read(self.topic, start=start, wait=wait)
        except TrimmedError as error:
            event = TopicTrimmed(topic=self.topic, position=start, first=error.first)
            write_event(logger, event)
            if self.position == start:
                self.position = None
            return await self._restart()
        if self.position is None:
            return 0
        # skip records that a concurrent read has applied
        entries = page.entries[max(0, self.position - start) :]
        for entry in entries:
            self._apply(entry)
        self.position = max(page.end, self.position)
        if page.complete:
            self.synced_at = max(self.synced_at, asked_at)
        return len(entries)

    async def catch_up(self, *, since: float | None = None) -> None:
        """Read until all records appended before ``since`` have been applied.

        Calls made while a read is in progress share the next read.

        Parameters
        ----------
        since : float, optional
            Monotonic time in seconds; by default the time of the call.
        """
        since = read_monotonic() if since is None else since
        while self.synced_at < since:
            async with self._read_lock:
                while self.synced_at < since:
                    await self.advance()

    def rewind(self) -> None:
        """Reset the view; the next read starts over."""
        self.position = self._restart_end = None
        self._next_key = ""
        self._rewinds += 1
        self.synced_at = float("-inf")
        self.reset()

    def _apply(self, entry: Entry) -> None:
        """Apply a record; one that can't be applied is left out.

        Otherwise it would be read again and again, by each instance.
        """
        try:
            self.apply(entry)
        except Exception as error:
            event = RecordFailed(topic=self.topic, key=entry.key)
            write_event(logger, event, error=error)

    async def _restart(self) -> int:
        """Read one page of the newest records; the next call continues after it."""
        async with self._restart_lock:
            if self.position is not None:
                return 0
            rewinds = self._rewinds
            page = await self.log.read_newest(self.topic, after=self._next_key)
            if rewinds != self._rewinds:
                # the pages before this one were dropped meanwhile
                return 0
            if self._restart_end is None:
                self.reset()
                self._restart_end = page.end
            for entry in page.entries:
                self._apply(entry)
            self._next_key = page.next_key
            if not page.next_key:
                self.position, self._restart_end = self._restart_end, None
            return len(page.entries)
