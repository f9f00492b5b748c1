"""Parses the processes' logs and selects the lines that explain one subject."""

import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any, TextIO

import msgspec

from ..core.errors import BadInputError

STEP = "logs.read"
STANDARD_INPUT = "-"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Lines about the site or a worker are selected from this long before the first line
# that mentions the subject until this long after the last one.
CONTEXT_PERIOD = timedelta(seconds=5)
COMMON_FIELDS = frozenset({"asctime", "levelname", "name", "message", "instance"})
# events that may affect everything in progress at that time
SITE_MESSAGES = frozenset(
    {
        "cell claimed",
        "cell given up",
        "cell handed over",
        "cell owned",
        "decisions failed",
        "failure domain closed",
        "failure domain opened",
        "log lost",
        "log regained",
        "loop ended by an error",
        "process stood still",
        "progress not logged",
        "stopping",
    }
)
# events that may affect the attempts on the worker that they name
WORKER_MESSAGES = frozenset(
    {
        "worker changed state",
        "worker left the list",
        "worker listed",
        "worker out of touch",
        "worker replaced",
        "worker restarted",
    }
)


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a process's log.

    Parameters
    ----------
    fields : dict
        The fields of the event besides time, level, logger, instance and message.
    """

    at: datetime
    instance: str
    message: str
    fields: dict[str, Any]

    def mentions(self, subject: str) -> bool:
        """Return whether a field names the subject or one of its tasks."""
        return any(_mentions(value, subject) for value in self.fields.values())


def parse_line(text: str) -> LogLine | None:
    """Parse a line; return None if it is not a log line of the project.

    A prefix that a log collector put before the JSON object is skipped.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = msgspec.json.decode(text[start:])
        return LogLine(
            at=datetime.strptime(content["asctime"], TIME_FORMAT),
            instance=str(content.get("instance", "")),
            message=str(content["message"]),
            fields={k: v for k, v in content.items() if k not in COMMON_FIELDS},
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files, ``-`` for standard input; skip other lines.

    Raises
    ------
    BadInputError
        If a file can't be read.
    """
    for path in paths:
        with _open(path) as stream:
            for text in stream:
                line = parse_line(text)
                if line is not None:
                    yield line


def select_lines(lines: Iterable[LogLine], subject: str) -> list[LogLine]:
    """Return the lines that explain a subject, in order of time.

    These are the lines that mention it, and around them the events of the workers
    that it ran on and of the whole site.
    """
    own: list[LogLine] = []
    others: list[LogLine] = []
    for line in lines:
        if line.mentions(subject):
            own.append(line)
        elif line.message in SITE_MESSAGES or line.message in WORKER_MESSAGES:
            others.append(line)
    if not own:
        return []
    first = min(line.at for line in own) - CONTEXT_PERIOD
    last = max(line.at for line in own) + CONTEXT_PERIOD
    workers = {name for line in own for name in _list_workers(line)}
    context = [
        line
        for line in others
        if first <= line.at <= last
        and (line.message in SITE_MESSAGES or line.fields.get("worker") in workers)
    ]
    return sorted([*own, *context], key=lambda line: line.at)


def _list_workers(line: LogLine) -> list[str]:
    workers = line.fields.get("workers")
    names = workers if isinstance(workers, list) else []
    worker = line.fields.get("worker")
    return [*names, worker] if isinstance(worker, str) else names


def _mentions(value: object, subject: str) -> bool:
    if isinstance(value, list):
        return any(_mentions(item, subject) for item in value)
    if not isinstance(value, str):
        return False
    return value == subject or value.startswith(f"{subject}.")


@contextmanager
def _open(path: str) -> Iterator[TextIO]:
    if path == STANDARD_INPUT:
        yield sys.stdin
        return
    try:
        with Path(path).open(encoding="utf-8", errors="replace") as stream:
            yield stream
    except OSError as error:
        raise BadInputError(str(error), step=STEP, peer=path) from error
