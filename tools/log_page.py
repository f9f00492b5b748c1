"""Generates the reference of log events from their classes."""

import inspect
import logging
import typing
from collections.abc import Iterator
from pathlib import Path

import msgspec

from plantainhinge.core.log_events import LOG_EVENT_TYPES, LogEventType, LogFields
from plantainhinge.daemons import (
    call_events,
    owner_events,
    ownership_events,
    process_events,
    view_events,
)
from plantainhinge.dispatch import (
    load,
    log_events as dispatch_events,
    step_events,
    worker_events,
)
from plantainhinge.fleet import log_events as fleet_events

from .descriptions import read_descriptions

# importing these modules registers their events
EVENT_MODULES = (
    call_events,
    dispatch_events,
    load,
    fleet_events,
    owner_events,
    ownership_events,
    process_events,
    step_events,
    view_events,
    worker_events,
)
PAGE = Path(__file__).parent.parent / "docs" / "operators" / "logs.md"
HEADER = """# Lines of the log

An entry instance writes one JSON object a line to standard output. `message` names
the event, and is the same in each of its lines. Every line also has `asctime`,
`levelname`, `name`, `instance` and `domain`. `left_out` counts lines of the same event
that were over its rate in the second before, `dropped` lines that nobody read in time.
[OPERATIONS.md](../OPERATIONS.md) shows how to get from a request to its cause.

This page is written by `make docs` from the classes of the events.

"""


def build_page() -> str:
    """Return the page as Markdown."""
    event_types = sorted(
        (LOG_EVENT_TYPES.find(name) for name in LOG_EVENT_TYPES), key=_sort_key
    )
    return HEADER + "\n".join(_describe(event_type) for event_type in event_types)


def _sort_key(event_type: LogEventType) -> str:
    return event_type.message


def _describe(event_type: LogEventType) -> str:
    summary = inspect.cleandoc(event_type.event_class.__doc__ or "").splitlines()[0]
    level = logging.getLevelName(event_type.level)
    lines = [f"## {event_type.message}", "", f"{level}. {summary}"]
    rows = [
        f"- `{name}`: {text}" for name, text in _list_fields(event_type.event_class)
    ]
    return "\n".join([*lines, *([""] if rows else []), *rows, ""])


def _list_fields(model: type[msgspec.Struct]) -> Iterator[tuple[str, str]]:
    hints = typing.get_type_hints(model)
    texts = read_descriptions(model)
    for field in msgspec.structs.fields(model):
        hint = hints[field.name]
        if isinstance(hint, type) and issubclass(hint, LogFields):
            yield from _list_fields(hint)
        else:
            yield field.encode_name, texts[field.name]


def main() -> None:
    """Write the page to ``docs/``."""
    PAGE.write_text(build_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
