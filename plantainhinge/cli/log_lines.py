"""Lines of the processes' logs, and those of them that explain one request."""

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
# how long before and after a subject's own lines others may explain them
CONTEXT_PERIOD = timedelta(seconds=5)
COMMON_FIELDS = frozenset({"asctime", "levelname", "name", "message", "instance"})
# events that matter to whatever is under way at that time
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
# events that matter to what runs on the worker that they name
WORKER_MESSAGES = frozenset(
    {
        "worker changed state",
        "worker left the list",
        "worker listed",
        "worker out of touch",
        "worker restarted",
    }
)


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a process's log.

    Parameters
    ----------
    fields : dict
        What the event says besides time, instance and message.
    """

    at: datetime
    instance: str
    message: str
    fields: dict[str, Any]

    def mentions(self, subject: str) -> bool:
        """Return whether a field names the subject, or a task of it."""
        return any(_names(value, subject) for value in self.fields.values())


def parse_line(text: str) -> LogLine | None:
    """Return the line in a text; None if it is none of ours.

    What a collector put before the object is passed over.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(text[start:])
        return LogLine(
            at=datetime.strptime(found["asctime"], TIME_FORMAT),
            instance=str(found.get("instance", "")),
            message=str(found["message"]),
            fields={k: v for k, v in found.items() if k not in COMMON_FIELDS},
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines of files, ``-`` for standard input; others are passed over.

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
    """Return what explains a subject, in order.

    Those that name it, and near them those about the workers that it ran on and
    about the whole site.
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
    near = [
        line
        for line in others
        if first <= line.at <= last
        and (line.message in SITE_MESSAGES or line.fields.get("worker") in workers)
    ]
    return sorted([*own, *near], key=lambda line: line.at)


def _list_workers(line: LogLine) -> list[str]:
    several = line.fields.get("workers")
    names = several if isinstance(several, list) else []
    one = line.fields.get("worker")
    return [*names, one] if isinstance(one, str) else names


def _names(value: object, subject: str) -> bool:
    if isinstance(value, list):
        return any(_names(item, subject) for item in value)
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
