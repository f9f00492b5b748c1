"""Events of a process, kept in ring buffers and ordered by a hybrid logical clock.

The clock follows Kulkarni et al., "Logical Physical Clocks" (2014): the larger
of wall time and the last stamp seen, with a counter that breaks ties.
"""

import threading
from collections import deque

import msgspec

from .clock import read_wall
from .ids import ProcessId

RING_EVENTS = 4096
CLOCK_SKEW_SECONDS_MAX = 3600.0


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A timestamp of the hybrid logical clock, comparable across processes.

    Parameters
    ----------
    wall : float
        Seconds since the Unix epoch.
    """

    wall: float
    counter: int
    process: ProcessId


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """An event that concerns a subject, such as a request or task, in one process."""

    stamp: Stamp
    name: str
    subject: str
    detail: dict[str, str] = {}


class EventList(msgspec.Struct, frozen=True, kw_only=True):
    """The events of one process, for all subjects or one."""

    events: list[Event]


class EventRing:
    """The most recent events of one process; thread-safe.

    Routine events are kept in a separate ring buffer of the same size, so that many
    read requests cannot displace the events needed to trace a task or claim.
    """

    def __init__(self, process: ProcessId, *, size: int = RING_EVENTS) -> None:
        self.process = process
        self._events: deque[Event] = deque(maxlen=size)
        self._routine: deque[Event] = deque(maxlen=size)
        self._last = Stamp(0.0, 0, process)
        self._lock = threading.Lock()

    def add(
        self, name: str, subject: str, *, routine: bool = False, **detail: str
    ) -> Event:
        """Record an event with the current stamp and return it."""
        with self._lock:
            stamp = self._advance(read_wall())
            event = Event(stamp=stamp, name=name, subject=subject, detail=detail)
            (self._routine if routine else self._events).append(event)
        return event

    def read_stamp(self) -> Stamp:
        """Return the newest stamp, to be sent with a message."""
        with self._lock:
            return self._last

    def merge_stamp(self, stamp: Stamp) -> None:
        """Advance the clock past a stamp received with a message.

        Ignores stamps that are not positive or too far ahead of the wall clock, so
        that a peer with a faulty clock cannot make this clock run ahead as well.
        """
        if not 0 < stamp.wall < read_wall() + CLOCK_SKEW_SECONDS_MAX:
            return
        with self._lock:
            if stamp > self._last:
                self._last = Stamp(stamp.wall, stamp.counter, self.process)

    def select(self, subject: str = "") -> list[Event]:
        """Return the events that concern ``subject``, oldest first; all if empty."""
        with self._lock:
            events = [*self._events, *self._routine]
        events.sort(key=lambda event: event.stamp)
        if not subject:
            return events
        return [e for e in events if _matches(e, subject)]

    def _advance(self, wall: float) -> Stamp:
        if wall > self._last.wall:
            self._last = Stamp(wall, 0, self.process)
        else:
            counter = self._last.counter + 1
            self._last = Stamp(self._last.wall, counter, self.process)
        return self._last


def _matches(event: Event, subject: str) -> bool:
    return event.subject == subject or subject in event.detail.values()
