"""Messages of the platform's log."""

from ..ids import Offset
from .base import Message


class Entry(Message, frozen=True):
    """One log entry at its offset."""

    offset: Offset
    data: bytes


class Page(Message, frozen=True):
    """Entries from one offset on, and where to read next.

    Parameters
    ----------
    first : Offset
        The oldest offset that the log still holds.
    end : Offset
        The offset that the next append will get.
    """

    entries: list[Entry]
    first: Offset
    end: Offset
