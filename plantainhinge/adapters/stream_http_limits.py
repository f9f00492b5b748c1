"""What the clients of the asyncio HTTP/1.1 server may use, all together."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class RejectionCause(Enum):
    """Why a server refuses a request before its handler sees it."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    TOO_MANY_AHEAD = "too-many-ahead"
    NO_MEMORY = "no-memory"
    NO_CONNECTION = "no-connection"
    TOO_SLOW = "too-slow"


STATUSES = {
    RejectionCause.MALFORMED: 400,
    RejectionCause.TOO_SLOW: 408,
    RejectionCause.BODY_TOO_LARGE: 413,
    RejectionCause.TOO_MANY_AHEAD: 429,
    RejectionCause.HEAD_TOO_LARGE: 431,
    RejectionCause.NO_CONNECTION: 503,
    RejectionCause.NO_MEMORY: 503,
}


class RequestRejectedError(Exception):
    """What was received is no request, or over a limit."""

    def __init__(self, cause: RejectionCause, message: str) -> None:
        super().__init__(message)
        self.cause = cause


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits of one server for all of its connections together.

    Parameters
    ----------
    connections : int
        Open connections.
    received_bytes : int
        Memory for requests, from their first byte until they are answered.
    """

    connections: int = 1000
    received_bytes: int = 64 * 1024 * 1024


class Holder(Protocol):
    """A connection that holds requests in memory."""

    @property
    def unfinished_bytes(self) -> int:
        """Memory of the request that is being received; it can be given up."""

    @property
    def held_bytes(self) -> int:
        """Memory of all its requests."""

    def give_way(self) -> None:
        """Refuse the request that is being received."""


@dataclass
class ReceiveBudget:
    """Shares a server's memory for requests among its connections.

    When it is spent, the connection whose unfinished request is largest gives way. A
    request that has been read whole never does.

    Parameters
    ----------
    limit : int
        Bytes that all connections may hold together.
    held : int
        Bytes that they hold.
    may_one_exceed : bool
        Whether one alone may hold more, so that any request within its own limits can
        be read in calm.
    """

    limit: int
    held: int = 0
    may_one_exceed: bool = True

    def make_room(
        self, asking: Holder, size: int, connections: Iterable[Holder]
    ) -> bool:
        """Let others give way until a connection can hold more; return whether it can.

        Parameters
        ----------
        asking : Holder
            The connection.
        size : int
            Bytes that it is going to hold in addition.
        connections : iterable of Holder
            All connections.
        """
        while self.held + size > self.limit:
            if self.may_one_exceed and self.held == asking.held_bytes:
                return True
            largest = max(connections, key=lambda holder: holder.unfinished_bytes)
            if largest.unfinished_bytes <= asking.unfinished_bytes + size:
                return False
            before = self.held
            largest.give_way()
            if self.held >= before:
                return False
        return True
