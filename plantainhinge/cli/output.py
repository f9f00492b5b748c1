"""What commands print: text for people or JSON for programs."""

from collections.abc import Sequence
from datetime import UTC, datetime
from enum import Enum
from typing import Protocol

import msgspec

GAP = "  "


class OutputFormat(Enum):
    """How a command prints its result."""

    TEXT = "text"
    JSON = "json"


class Result(Protocol):
    """The result of a command: a structure that can also be read as text."""

    def format_text(self) -> str:
        """Return lines for a person to read."""


def print_result(result: Result, output: OutputFormat) -> None:
    """Print a command's result on standard output."""
    if output is OutputFormat.JSON:
        print(msgspec.json.encode(result).decode())
    else:
        print(result.format_text())


def format_table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows under their heads in aligned columns."""
    lines = [list(heads), *[list(row) for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(heads))]
    return "\n".join(
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_time(wall: float) -> str:
    """Return a time since the Unix epoch as date and time of day in UTC."""
    moment = datetime.fromtimestamp(wall, tz=UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
