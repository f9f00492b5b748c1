"""Event loop that calls a tick function with batches of queued events."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

from .clock import read_monotonic
from .ids import Seconds

T = TypeVar("T")

logger = logging.getLogger(__name__)


class TickLoop(Generic[T]):
    """Loop that ticks when an event arrives, and at least once per period.

    Parameters
    ----------
    period : Seconds
        Maximum time between two ticks.
    """

    def __init__(self, *, period: Seconds) -> None:
        self._period = period
        self._inbox: queue.SimpleQueue[T | None] = queue.SimpleQueue()
        self._stopping = threading.Event()

    def post(self, event: T) -> None:
        """Queue an event and wake the loop; thread-safe."""
        self._inbox.put(event)

    def stop(self) -> None:
        """Make ``run`` return after the current tick."""
        self._stopping.set()
        self._inbox.put(None)

    def run(self, tick: Callable[[list[T], Seconds], None]) -> None:
        """Tick until stopped; an exception in a tick is logged and the loop goes on.

        Parameters
        ----------
        tick : callable
            Called with the queued events and the monotonic time in seconds.
        """
        while not self._stopping.is_set():
            events = self._drain()
            try:
                tick(events, read_monotonic())
            except Exception:
                logger.exception("tick failed")

    def _drain(self) -> list[T]:
        events = []
        try:
            events.append(self._inbox.get(timeout=self._period))
            while True:
                events.append(self._inbox.get_nowait())
        except queue.Empty:
            pass
        return [event for event in events if event is not None]
