"""The loop that turns events into decisions and decisions into commands."""

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
    """Ticks when an event arrives or a period passes.

    Parameters
    ----------
    period : Seconds
        Longest time between two ticks.
    """

    def __init__(self, *, period: Seconds) -> None:
        self._period = period
        self._inbox: queue.SimpleQueue[T | None] = queue.SimpleQueue()
        self._stopping = threading.Event()

    def post(self, event: T) -> None:
        """Hand over an event from any thread and wake the loop."""
        self._inbox.put(event)

    def stop(self) -> None:
        """Make ``run`` return after the tick under way."""
        self._stopping.set()
        self._inbox.put(None)

    def run(self, tick: Callable[[list[T], Seconds], None]) -> None:
        """Tick until stopped; an error in a tick is logged, not fatal.

        Parameters
        ----------
        tick : callable
            Takes the drained events and the monotonic time in seconds.
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
