"""What the daemons need of the platform that they run on."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

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
    """A record of a keyed topic; without a value its key was deleted."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Records in order, and the offset after the last of them.

    Parameters
    ----------
    whole : bool
        Whether the topic held no further records.
    next_key : str
        Key after which the newest records go on; empty if these were the last.
    """

    entries: tuple[Entry, ...]
    end: int
    complete: bool = True
    next_key: str = ""


@dataclass(frozen=True, slots=True)
class Fence:
    """Under which epoch and sequence number an owner appends."""

    epoch: Epoch
    sequence: int


class KeyedLog(Protocol):
    """An append-only log whose newest record of each key is kept."""

    async def append(
        self,
        topic: str,
        entries: Sequence[Entry],
        *,
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all entries or none; return the end of the topic after them.

        Raises
        ------
        ConflictError
            If the topic doesn't end at ``expected_end``.
        NotOwnerError
            If a higher epoch was seen.
        UnavailableError
            If nothing was done.
        UncertainError
            If the entries may have been appended, or may yet be.
        """
        ...

    async def read(self, topic: str, *, start: int, wait: Seconds) -> Page:
        """Return the records from ``start``, waiting for the first of them.

        Raises
        ------
        TrimmedError
            If the records at ``start`` are gone.
        """
        ...

    async def read_newest(self, topic: str, *, after: str = "") -> Page:
        """Return the newest records of keys after one, in the order of the keys.

        Pages are no snapshot: a record appended meanwhile may be in none of them.
        The offset of the first page is the one to read on from.
        """
        ...

    async def join(self, member: MemberName, *, generation: int) -> int:
        """Join the group or stay in it; return its generation.

        It rises whenever a member comes or goes.
        """
        ...

    async def leave(self, member: MemberName) -> None:
        """Leave the group at once."""
        ...

    async def list_members(self) -> frozenset[MemberName]:
        """Return the members whose time hasn't run out."""
        ...


class WorkerCalls(Protocol):
    """Calls to workers."""

    async def start(self, entry: WorkerEntry, order: StartOrder) -> OrderResponse:
        """Start an attempt."""
        ...

    async def stop(self, entry: WorkerEntry, order: StopOrder) -> OrderResponse:
        """Stop an attempt."""
        ...

    async def throttle(self, entry: WorkerEntry, order: ThrottleOrder) -> OrderResponse:
        """Change the pace of an attempt."""
        ...

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | OrderResponse:
        """Renew the leases of a worker and return its lists."""
        ...

    async def advise(self, request: AdviceRequest) -> Advice | None:
        """Ask which workers may run a step; None if there was no answer."""
        ...

    def forget(self, entry: WorkerEntry) -> None:
        """Drop the connections to a worker that left."""
        ...
