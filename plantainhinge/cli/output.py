"""Output of the commands: text for people or JSON for programs."""

from collections.abc import Sequence
from datetime import UTC, datetime
from enum import Enum
from typing import Protocol

import msgspec

COLUMN_SEPARATOR = "  "


class OutputFormat(Enum):
    """How a command prints its result."""

    TEXT = "text"
    JSON = "json"


class Result(Protocol):
    """The result of a command: a struct that can also be formatted as text."""

    def format_text(self) -> str:
        """Return the result as lines of text."""


def print_result(result: Result, output: OutputFormat) -> None:
    """Print a command's result to standard output."""
    if output is OutputFormat.JSON:
        print(msgspec.json.encode(result).decode())
    else:
        print(result.format_text())


def format_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with a header line and aligned columns."""
    lines = [list(headers), *[list(row) for row in rows]]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(headers))
    ]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_time(wall: float) -> str:
    """Format a Unix timestamp as date and time in UTC, with milliseconds."""
    moment = datetime.fromtimestamp(wall, tz=UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
