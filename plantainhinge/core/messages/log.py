"""Entries of the platform's log and pages of them."""

from ..ids import Offset
from .base import Message


class Entry(Message, frozen=True):
    """A log entry and its offset."""

    offset: Offset
    data: bytes


class Page(Message, frozen=True):
    """Consecutive entries read from a stream, and the bounds of the stream.

    Parameters
    ----------
    first : Offset
        The oldest offset that the log still holds.
    end : Offset
        The offset that the next appended entry will get.
    """

    entries: list[Entry]
    first: Offset
    end: Offset
