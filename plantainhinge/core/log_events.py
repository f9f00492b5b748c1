"""Typed lines of the log: one class an event, with its fields and their units."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from .registry import Registry


class LogFields(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that several events share; they stand in the line by themselves."""


class LogEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the log."""


E = TypeVar("E", bound=type[LogEvent])


@dataclass(frozen=True, slots=True)
class LogEventType:
    """How the lines of an event are written.

    Parameters
    ----------
    message : str
        The same in every line of the event, so that lines can be selected by it.
    level : int
        One of the levels of ``logging``.
    event : type
        The event's class.
    """

    message: str
    level: int
    event_class: type[LogEvent]


LOG_EVENT_TYPES: Registry[LogEventType] = Registry("log event")
_KINDS: dict[type[LogEvent], LogEventType] = {}


def log_event(message: str, *, level: int = logging.INFO) -> Callable[[E], E]:
    """Return a decorator that registers an event's class under its message."""

    def add(event: E) -> E:
        _KINDS[event] = LOG_EVENT_TYPES.register(message)(
            LogEventType(message, level, event)
        )
        return event

    return add


def write_event(
    logger: logging.Logger, event: LogEvent, *, error: BaseException | None = None
) -> None:
    """Write an event's line.

    Parameters
    ----------
    error : BaseException, optional
        Its traceback goes with the line.
    """
    kind = _KINDS[type(event)]
    logger.log(kind.level, kind.message, extra=flatten_fields(event), exc_info=error)


def flatten_fields(event: LogEvent) -> dict[str, Any]:
    """Return the fields of an event's line, in types that JSON knows."""
    fields: dict[str, Any] = {}
    for name in event.__struct_fields__:
        value = getattr(event, name)
        if isinstance(value, LogFields):
            fields.update(msgspec.to_builtins(value))
        else:
            fields[name] = msgspec.to_builtins(value)
    return fields
