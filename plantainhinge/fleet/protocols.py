"""Protocols that the daemons require of the platform they run on."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ..core.ids import Epoch, MemberName, Seconds
from .model import (
    Advice,
    AdviceRequest,
    OrderResponse,
    Renewal,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerEntry,
    WorkerReport,
)


@dataclass(frozen=True, slots=True)
class Entry:
    """A record of a keyed topic; an empty value marks the key as deleted."""

    key: str
    value: bytes

    @property
    def size(self) -> int:
        """Return its size in the log, in bytes."""
        return 1 + len(self.key.encode()) + len(self.value)


@dataclass(frozen=True, slots=True)
class Page:
    """Result of a read: records in order and the offset at which to read on.

    Parameters
    ----------
    end : int
        Offset after the last of the records.
    complete : bool
        Whether the topic held no further records at the time of the read.
    next_key : str
        Key after which to read the next page of newest records; empty on the last
        page.
    """

    entries: tuple[Entry, ...]
    end: int
    complete: bool = True
    next_key: str = ""


@dataclass(frozen=True, slots=True)
class Fence:
    """Epoch and sequence number of an append by an owner.

    The log rejects appends under an older epoch than the newest that it has seen. An
    append that is repeated under the same sequence number takes effect once.
    """

    epoch: Epoch
    sequence: int


class Group(NamedTuple):
    """Members of the group of instances.

    Parameters
    ----------
    members : frozenset of MemberName
        Those whose membership has not expired.
    is_complete : bool
        Whether there can be no others.
    """

    members: frozenset[MemberName]
    is_complete: bool


class KeyedLog(Protocol):
    """An append-only log of topics that retains the newest record of each key.

    Parameters
    ----------
    record_bytes_max, append_bytes_max : int
        Maximum size of a record with its key, and of the records of one append.
    """

    record_bytes_max: int
    append_bytes_max: int

    async def append(
        self,
        topic: str,
        entries: Sequence[Entry],
        *,
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all entries or none and return the end offset of the topic after them.

        Raises
        ------
        ConflictError
            If the topic does not end at ``expected_end``.
        NotOwnerError
            If the log has seen a higher epoch than that of ``fence``.
        UnavailableError
            If nothing was appended.
        TooLargeError
            If a record or the append is too large. Nothing was appended, and a repeated
            call is refused too.
        UncertainError
            If the entries may have been appended or may still be appended later.
        """
        ...

    async def read(self, topic: str, *, start: int, wait: Seconds) -> Page:
        """Return the records from offset ``start`` on.

        If there are none yet, wait for the first for up to ``wait`` seconds.

        Raises
        ------
        TrimmedError
            If the records at ``start`` have been deleted from the log.
        """
        ...

    async def read_newest(self, topic: str, *, after: str = "") -> Page:
        """Return the newest record of each key after ``after``, ordered by key.

        The pages are not a consistent snapshot: a record that is appended between two
        reads may be in none of them. To miss no record, continue with ``read`` at the
        end offset of the first page.
        """
        ...

    async def join(self, member: MemberName, *, generation: int) -> int:
        """Join the group or renew the membership, and return the group's generation.

        The generation increases whenever a member joins or leaves.
        """
        ...

    async def leave(self, member: MemberName) -> None:
        """Leave the group without waiting for the membership to expire."""
        ...

    async def list_members(self) -> Group:
        """Return the members of the group."""
        ...


class WorkerCalls(Protocol):
    """Client for calls to workers and to the advice service."""

    async def start(self, entry: WorkerEntry, order: StartOrder) -> OrderResponse:
        """Order a worker to start an attempt."""
        ...

    async def stop(self, entry: WorkerEntry, order: StopOrder) -> OrderResponse:
        """Order a worker to stop an attempt."""
        ...

    async def throttle(self, entry: WorkerEntry, order: ThrottleOrder) -> OrderResponse:
        """Order a worker to change the speed limit of an attempt."""
        ...

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | OrderResponse:
        """Renew the leases of a worker and return its report.

        If the report is missing or cannot be decoded, an ``OrderResponse`` with the
        outcome is returned instead.
        """
        ...

    async def advise(self, request: AdviceRequest) -> Advice | None:
        """Return which workers may run a step, or None without a valid response."""
        ...

    def close_connections(self, entry: WorkerEntry) -> None:
        """Close the connections to a worker that has left the directory."""
        ...
