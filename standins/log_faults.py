"""Injection of faults and limits into an in-memory log."""

import threading
from collections import deque
from collections.abc import Callable
from enum import Enum

import msgspec

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.errors import RateLimitedError, UnavailableError, UncertainError
from plantainhinge.core.ids import Offset, Seconds, StreamName
from plantainhinge.core.messages import Page

RETRY_AFTER_SECONDS = 0.5
RATE_WINDOW_SECONDS = 1.0


class LogFault(Enum):
    """Kinds of faults of a call to the log."""

    REFUSE = "refuse"
    LOSE_CALL = "lose-call"
    LOSE_RESPONSE = "lose-answer"
    DELAY = "delay"
    READ_BEHIND = "read-behind"
    CORRUPT = "corrupt"


class LogOperation(Enum):
    """Operations that a fault rule applies to."""

    APPEND = "append"
    READ = "read"
    ANY = "any"


class FaultRule(msgspec.Struct, kw_only=True):
    """One fault rule; the first rule that matches a call applies to it.

    Parameters
    ----------
    stream : StreamName
        Stream that the rule applies to; empty for all streams.
    calls : int or None
        Number of calls that it still applies to; None for no limit.
    seconds : float
        Seconds by which the call is delayed.
    entries : int
        Number of the newest entries that ``READ_BEHIND`` hides from a read.
    """

    fault: LogFault
    operation: LogOperation = LogOperation.ANY
    stream: StreamName = StreamName("")
    calls: int | None = None
    seconds: float = 0.0
    entries: int = 1

    def matches(self, operation: LogOperation, stream: StreamName) -> bool:
        """Return whether the rule applies to a call."""
        matches = self.operation in (LogOperation.ANY, operation)
        return matches and self.stream in ("", stream) and self.calls != 0


class LogLimits(msgspec.Struct, kw_only=True):
    """Limits of the log; zero means no limit."""

    appends_per_second: int = 0
    retention_seconds: float = 0.0


class FaultyLog:
    """A log whose calls fail according to a list of fault rules.

    Parameters
    ----------
    clock, sleep : callable
        Functions that return the time in seconds, and sleep for a number of seconds.
    """

    def __init__(
        self,
        log: MemoryLog,
        *,
        clock: Callable[[], Seconds],
        sleep: Callable[[float], None],
    ) -> None:
        self.log = log
        self.limits = LogLimits()
        self.faults: list[FaultRule] = []
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._append_times: deque[Seconds] = deque()
        self._retained: deque[tuple[Seconds, StreamName, Offset]] = deque()

    def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append one entry, subject to the rate limit and to fault rules."""
        self._check_rate()
        fault = self._take_fault(LogOperation.APPEND, stream)
        self._apply_before_call(fault)
        if fault is not None and fault.fault is LogFault.CORRUPT:
            data = _corrupt(data)
        offset = self.log.append(stream, data)
        self._retained.append((self._clock(), stream, offset))
        if fault is not None and fault.fault is LogFault.LOSE_RESPONSE:
            raise UncertainError("the response was lost", step="log.append")
        return offset

    def read(self, stream: StreamName, start: Offset, max_bytes: int) -> Page:
        """Return entries, subject to the retention time and to fault rules."""
        self._trim_expired()
        fault = self._take_fault(LogOperation.READ, stream)
        self._apply_before_call(fault)
        page = self.log.read(stream, start, max_bytes)
        if fault is None:
            return page
        if fault.fault is LogFault.LOSE_RESPONSE:
            raise UncertainError("the response was lost", step="log.read")
        if fault.fault is LogFault.READ_BEHIND:
            return _hide_newest(page, fault.entries)
        if fault.fault is LogFault.CORRUPT:
            return _corrupt_page(page)
        return page

    def _take_fault(
        self, operation: LogOperation, stream: StreamName
    ) -> FaultRule | None:
        with self._lock:
            for rule in self.faults:
                if rule.matches(operation, stream):
                    if rule.calls is not None:
                        rule.calls -= 1
                    return rule
        return None

    def _apply_before_call(self, fault: FaultRule | None) -> None:
        if fault is None:
            return
        self._sleep(fault.seconds)
        if fault.fault is LogFault.REFUSE:
            raise UnavailableError(
                "the log is down", step="log", retry_after=RETRY_AFTER_SECONDS
            )
        if fault.fault is LogFault.LOSE_CALL:
            raise UncertainError("the call was lost", step="log")

    def _check_rate(self) -> None:
        now = self._clock()
        with self._lock:
            while (
                self._append_times
                and self._append_times[0] <= now - RATE_WINDOW_SECONDS
            ):
                self._append_times.popleft()
            limit = self.limits.appends_per_second
            if limit and len(self._append_times) >= limit:
                wait = self._append_times[0] + RATE_WINDOW_SECONDS - now
                raise RateLimitedError(
                    "too many appends", step="log.append", retry_after=wait
                )
            self._append_times.append(now)

    def _trim_expired(self) -> None:
        retention = self.limits.retention_seconds
        oldest = self._clock() - retention
        while retention and self._retained and self._retained[0][0] < oldest:
            _, stream, offset = self._retained.popleft()
            self.log.trim(stream, Offset(offset + 1))


def _hide_newest(page: Page, entries: int) -> Page:
    end = Offset(max(page.first, page.end - entries))
    visible = [entry for entry in page.entries if entry.offset < end]
    return Page(entries=visible, first=page.first, end=end)


def _corrupt_page(page: Page) -> Page:
    entries = [
        msgspec.structs.replace(entry, data=_corrupt(entry.data))
        for entry in page.entries
    ]
    return Page(entries=entries, first=page.first, end=page.end)


def _corrupt(data: bytes) -> bytes:
    middle = len(data) // 2
    return data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :]
