"""Logs of bounded volume that never hold the process up.

A thread writes the lines; when its queue is full, because nobody reads the output,
lines are dropped and counted. Besides, each kind of line has a budget a second, so
that a flood of one kind can't push out the others.
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
# outcomes whose lines are always written: they say why a caller was turned away
EXEMPT_OUTCOMES = frozenset({"refused", "uncertain"})


@dataclass
class _Window:
    started: float
    written: int = 0
    suppressed: int = 0


@dataclass
class LineBudget(logging.Filter):
    """Lets so many lines a second pass of each kind.

    The first of a kind passes, and so do warnings and the causes of refusals.
    """

    per_second: int = LINES_PER_SECOND
    _windows: dict[str, _Window] = field(default_factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written; the next one tells what was left out."""
        window = self._windows.get(record.msg)
        if window is None or record.created - window.started >= 1.0:
            left_out = window.suppressed if window is not None else 0
            window = self._windows[record.msg] = _Window(record.created)
            if left_out:
                record.left_out = left_out
        if window.written < self.per_second or _is_exempt(record):
            window.written += 1
            return True
        window.suppressed += 1
        return False


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Hands lines to the writer's thread, or drops and counts them."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the line as it is; the writer's thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line without waiting."""
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
    """Write one JSON object a line until the block ends.

    Parameters
    ----------
    identity : mapping of str to str
        Fields of every line.
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
    """Let the last lines out, unless nobody reads them."""
    deadline = time.monotonic() + 1.0
    while not lines.empty() and time.monotonic() < deadline:
        time.sleep(0.01)
    if lines.empty():
        listener.stop()


def _is_exempt(record: logging.LogRecord) -> bool:
    outcome = getattr(record, "outcome", "")
    return record.levelno >= logging.WARNING or outcome in EXEMPT_OUTCOMES
