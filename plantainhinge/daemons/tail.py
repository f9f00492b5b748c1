"""A view of one topic that reads on from where it stood."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import read_monotonic
from ..core.errors import TrimmedError
from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.protocols import Entry, KeyedLog, Page
from .log_events import TopicTrimmed

logger = logging.getLogger(__name__)

NOW = Seconds(0.0)


@dataclass
class Tail:
    """Replays a topic's records in order.

    Parameters
    ----------
    apply : callable
        Takes in one record.
    reset : callable
        Forgets what records said; the newest of each key follow.
    current_at : float
        Monotonic seconds before which nothing in the topic was missed.
    """

    log: KeyedLog
    topic: str
    apply: Callable[[Entry], object]
    reset: Callable[[], None]
    current_at: float = float("-inf")
    position: int | None = None
    _reading: asyncio.Lock | None = None

    async def advance(self, *, wait: Seconds = NOW) -> int:
        """Read once and take the records in; returns how many came."""
        asked_at = read_monotonic()
        page = await self._read(wait)
        for entry in page.entries:
            self.apply(entry)
        self.position = max(page.end, self.position or 0)
        if page.whole:
            self.current_at = max(self.current_at, asked_at)
        return len(page.entries)

    async def catch_up(self, *, since: float | None = None) -> None:
        """Return once all records appended before ``since`` were taken in.

        Parameters
        ----------
        since : float, optional
            Monotonic seconds; by default the time of the call. Calls that come
            while a read is under way share the next one.
        """
        since = read_monotonic() if since is None else since
        if self._reading is None:
            self._reading = asyncio.Lock()
        while self.current_at < since:
            async with self._reading:
                while self.current_at < since:
                    await self.advance()

    async def _read(self, wait: Seconds) -> Page:
        if self.position is not None:
            try:
                return await self.log.read(self.topic, start=self.position, wait=wait)
            except TrimmedError as error:
                event = TopicTrimmed(
                    topic=self.topic, position=self.position, first=error.first
                )
                write_event(logger, event)
        page = await self.log.read_newest(self.topic)
        self.position = None
        self.reset()
        return page
