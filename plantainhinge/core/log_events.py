"""Structured logging: one class per event, which documents its fields."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from .registry import Registry


class LogFields(msgspec.Struct, frozen=True, kw_only=True):
    """Base of groups of fields that events share; flattened into the log line."""


class LogEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all log events."""


E = TypeVar("E", bound=type[LogEvent])


@dataclass(frozen=True, slots=True)
class LogEventType:
    """Message, level and class of a registered log event.

    Parameters
    ----------
    message : str
        The constant message of the event, so that log lines can be filtered by it.
    level : int
        One of the levels of ``logging``.
    event_class : type
        The subclass of ``LogEvent``.
    """

    message: str
    level: int
    event_class: type[LogEvent]


LOG_EVENT_TYPES: Registry[LogEventType] = Registry("log event")
_EVENT_TYPES: dict[type[LogEvent], LogEventType] = {}


def log_event(message: str, *, level: int = logging.INFO) -> Callable[[E], E]:
    """Return a decorator that registers a ``LogEvent`` class under its message."""

    def register(event_class: E) -> E:
        _EVENT_TYPES[event_class] = LOG_EVENT_TYPES.register(message)(
            LogEventType(message, level, event_class)
        )
        return event_class

    return register


def write_event(
    logger: logging.Logger, event: LogEvent, *, error: BaseException | None = None
) -> None:
    """Log an event at its level, with its fields as ``extra``.

    Parameters
    ----------
    error : BaseException, optional
        Exception whose traceback is logged too.
    """
    event_type = _EVENT_TYPES[type(event)]
    logger.log(
        event_type.level,
        event_type.message,
        extra=flatten_fields(event),
        exc_info=error,
    )


def flatten_fields(event: LogEvent) -> dict[str, Any]:
    """Return the flat fields of an event, in types that JSON can encode."""
    fields: dict[str, Any] = {}
    for name in event.__struct_fields__:
        value = getattr(event, name)
        if isinstance(value, LogFields):
            fields.update(msgspec.to_builtins(value))
        else:
            fields[name] = msgspec.to_builtins(value)
    return fields
