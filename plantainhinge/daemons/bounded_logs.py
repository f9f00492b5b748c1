"""Rate-limited logging that never blocks the process.

A background thread writes the lines. When its queue is full because nobody reads the
output, lines are dropped and counted. Each message also has a limit per second, so
that a flood of one message doesn't crowd out the others.
"""

import logging
import logging.handlers
import queue
import sys
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TextIO

from .log_format import FORMAT, ErrorFormatter

QUEUE_LINES = 4096
LINES_PER_SECOND = 60
# the same for warnings, and for outcomes that say why a caller was refused
IMPORTANT_LINES_PER_SECOND = 500
IMPORTANT_OUTCOMES = frozenset({"refused", "uncertain"})
# windows that are kept; a message that isn't constant would fill the memory otherwise
WINDOWS_MAX = 1000


@dataclass
class _Window:
    started: float
    written: int = 0
    suppressed: int = 0


@dataclass
class LineBudget(logging.Filter):
    """Limits the lines per second of each message.

    Warnings and lines with an outcome in ``IMPORTANT_OUTCOMES`` have a higher limit of
    their own.
    """

    per_second: int = LINES_PER_SECOND
    important_per_second: int = IMPORTANT_LINES_PER_SECOND
    _windows: dict[tuple[str, bool], _Window] = field(default_factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a line.

        The first line after a window with suppressed lines carries their number as
        ``left_out``.
        """
        is_important = _is_important(record)
        window = self._find_window(record, is_important=is_important)
        limit = self.important_per_second if is_important else self.per_second
        if window.written < limit:
            window.written += 1
            return True
        window.suppressed += 1
        return False

    def _find_window(self, record: logging.LogRecord, *, is_important: bool) -> _Window:
        key = (record.msg, is_important)
        window = self._windows.get(key)
        if window is not None and record.created - window.started < 1.0:
            return window
        if window is not None and window.suppressed:
            record.left_out = window.suppressed
        if len(self._windows) >= WINDOWS_MAX:
            self._windows.clear()
        window = self._windows[key] = _Window(record.created)
        return window


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Queues lines for the writer thread; drops and counts them when it is full.

    The next line that is queued carries the number as ``dropped``.
    """

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unformatted, as the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line without blocking."""
        if self.dropped:
            record.dropped = self.dropped
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
        else:
            self.dropped = 0


@contextmanager
def open_bounded_logs(
    identity: Mapping[str, str], *, output: TextIO = sys.stdout
) -> Iterator[DroppingQueueHandler]:
    """Log one JSON object per line while the context is open.

    Parameters
    ----------
    identity : mapping of str to str
        Fields added to every line.
    """
    writer = logging.StreamHandler(output)
    writer.setFormatter(ErrorFormatter(FORMAT, style="{", static_fields=dict(identity)))
    lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES)
    handler = DroppingQueueHandler(lines)
    handler.addFilter(LineBudget())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    try:
        yield handler
    finally:
        _stop_listener(listener, lines)


def _stop_listener(
    listener: logging.handlers.QueueListener, lines: "queue.Queue[logging.LogRecord]"
) -> None:
    """Give the writer 1 s for the queued lines; stop it if it wrote them all.

    ``QueueListener.stop`` would block if nobody reads the output.
    """
    deadline = time.monotonic() + 1.0
    while not lines.empty() and time.monotonic() < deadline:
        time.sleep(0.01)
    if lines.empty():
        listener.stop()


def _is_important(record: logging.LogRecord) -> bool:
    outcome = getattr(record, "outcome", "")
    return record.levelno >= logging.WARNING or outcome in IMPORTANT_OUTCOMES
