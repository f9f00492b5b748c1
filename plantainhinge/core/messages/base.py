"""The base class of messages."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages."""
