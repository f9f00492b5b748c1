"""A view of one topic that reads on from where it stood."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic
from ..core.errors import TrimmedError
from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.protocols import Entry, KeyedLog
from .view_events import TopicTrimmed

logger = logging.getLogger(__name__)

NO_WAIT = Seconds(0.0)


@dataclass
class Tail:
    """Replays a topic's records in order.

    Parameters
    ----------
    apply : callable
        Takes in one record.
    reset : callable
        Forgets what records said; the newest of each key follow.
    synced_at : float
        Monotonic seconds before which nothing in the topic was missed.
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

    async def advance(self, *, wait: Seconds = NO_WAIT) -> int:
        """Read once and take the records in; returns how many came."""
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
        # another read may have taken some of them in meanwhile
        entries = page.entries[max(0, self.position - start) :]
        for entry in entries:
            self.apply(entry)
        self.position = max(page.end, self.position)
        if page.complete:
            self.synced_at = max(self.synced_at, asked_at)
        return len(entries)

    async def catch_up(self, *, since: float | None = None) -> None:
        """Return once all records appended before ``since`` were taken in.

        Parameters
        ----------
        since : float, optional
            Monotonic seconds; by default the time of the call. Calls that come
            while a read is under way share the next one.
        """
        since = read_monotonic() if since is None else since
        while self.synced_at < since:
            async with self._read_lock:
                while self.synced_at < since:
                    await self.advance()

    def rewind(self) -> None:
        """Begin anew with the next read."""
        self.position = self._restart_end = None
        self._next_key = ""
        self.synced_at = float("-inf")
        self.reset()

    async def _restart(self) -> int:
        """Read one page of the newest records; go on after it the next time."""
        async with self._restart_lock:
            if self.position is not None:
                return 0
            page = await self.log.read_newest(self.topic, after=self._next_key)
            if self._restart_end is None:
                self.reset()
                self._restart_end = page.end
            for entry in page.entries:
                self.apply(entry)
            self._next_key = page.next_key
            if not page.next_key:
                self.position, self._restart_end = self._restart_end, None
            return len(page.entries)
