"""Replayed state of one cell: its workers and the attempts placed on them.

``apply`` rejects a placement that the worker has no room for, so that no order
of records commits a worker beyond its processors, memory or accelerators.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..core.ids import (
    Attempt,
    DomainId,
    Epoch,
    Offset,
    ProcessId,
    RackId,
    Seconds,
    TaskId,
    WorkerId,
)
from ..core.records import (
    AnyRecord,
    AttemptClosed,
    AttemptPlaced,
    ClosureAcknowledged,
    OwnershipClaimed,
    OwnershipConfirmed,
    OwnershipReleased,
    WorkerJoined,
    WorkerLeft,
)
from ..core.resources import Resources
from ..streams.ownership import Ownership


class WorkerRow(msgspec.Struct):
    """A worker with what its open attempts leave free."""

    address: str
    rack: RackId
    capacity: Resources
    free: Resources
    attempts: dict[TaskId, Attempt] = {}


class AttemptRow(msgspec.Struct):
    """An attempt that the cell has placed or closed."""

    attempt: Attempt
    placed: AttemptPlaced | None = None
    closed: AttemptClosed | None = None


class _Dump(msgspec.Struct, array_like=True):
    epoch: Epoch
    owner: ProcessId | None
    address: str
    workers: dict[WorkerId, WorkerRow]
    attempts: dict[TaskId, AttemptRow]


@dataclass
class CellState:
    """The tables of one cell.

    Parameters
    ----------
    open : dict
        Index over ``attempts`` that are placed and not closed.
    """

    domain: DomainId
    ownership: Ownership = field(default_factory=Ownership)
    workers: dict[WorkerId, WorkerRow] = field(default_factory=dict)
    attempts: dict[TaskId, AttemptRow] = field(default_factory=dict)
    open: dict[TaskId, AttemptPlaced] = field(default_factory=dict)

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Apply a record; return why it is rejected, or None."""
        if isinstance(
            record, OwnershipClaimed | OwnershipReleased | OwnershipConfirmed
        ):
            rejection = self.ownership.apply(record)
        else:
            rejection = self.ownership.reject_epoch(epoch)
            rejection = rejection or self._dispatch(record)
        if rejection is None:
            self.ownership.read_at = now
        return rejection

    def dump(self) -> bytes:
        """Return all tables."""
        dump = _Dump(
            self.ownership.epoch,
            self.ownership.owner,
            self.ownership.address,
            self.workers,
            self.attempts,
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, state: bytes, now: Seconds) -> None:
        """Replace all tables by those of a snapshot."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        self.ownership = Ownership(dump.epoch, dump.owner, dump.address, now)
        self.workers = dump.workers
        self.attempts = dump.attempts
        self.open = {
            task: row.placed
            for task, row in self.attempts.items()
            if row.placed is not None and row.closed is None
        }

    def _dispatch(self, record: AnyRecord) -> str | None:
        handler = _HANDLERS.get(type(record))
        if handler is None:
            return f"a cell takes no {type(record).__name__}"
        return handler(self, record)

    def _join(self, record: WorkerJoined) -> str | None:
        if record.worker in self.workers:
            return f"worker {record.worker} is in the cell already"
        self.workers[record.worker] = WorkerRow(
            record.address, record.rack, record.capacity, record.capacity
        )
        return None

    def _leave(self, record: WorkerLeft) -> str | None:
        row = self.workers.get(record.worker)
        if row is None:
            return f"worker {record.worker} is not in the cell"
        if row.attempts:
            return f"worker {record.worker} has {len(row.attempts)} open attempts"
        del self.workers[record.worker]
        return None

    def _place(self, record: AttemptPlaced) -> str | None:
        known = self.attempts.get(record.task)
        if known is not None and record.attempt <= known.attempt:
            return f"attempt {record.attempt} is not newer than {known.attempt}"
        if record.task in self.open:
            return f"attempt {self.open[record.task].attempt} is still open"
        worker = self.workers.get(record.worker)
        if worker is None:
            return f"worker {record.worker} is not in the cell"
        if not record.resources.fits_within(worker.free):
            return f"worker {record.worker} has {worker.free}, not {record.resources}"
        worker.free = worker.free - record.resources
        worker.attempts = {**worker.attempts, record.task: record.attempt}
        self.attempts[record.task] = AttemptRow(record.attempt, placed=record)
        self.open[record.task] = record
        return None

    def _close(self, record: AttemptClosed) -> str | None:
        known = self.attempts.get(record.task)
        if known is not None and record.attempt < known.attempt:
            return f"attempt {record.attempt} is older than {known.attempt}"
        if known is None or record.attempt > known.attempt:
            if record.task in self.open:
                return f"attempt {self.open[record.task].attempt} is still open"
            self.attempts[record.task] = AttemptRow(record.attempt, closed=record)
            return None
        if known.closed is not None:
            return f"attempt {record.attempt} is closed already"
        known.closed = record
        self._free(self.open.pop(record.task))
        return None

    def _free(self, placed: AttemptPlaced) -> None:
        worker = self.workers[placed.worker]
        worker.free = worker.free + placed.resources
        worker.attempts = {
            task: attempt
            for task, attempt in worker.attempts.items()
            if task != placed.task
        }

    def _acknowledge(self, record: ClosureAcknowledged) -> str | None:
        known = self.attempts.get(record.task)
        if known is None or known.attempt != record.attempt or known.closed is None:
            return f"attempt {record.attempt} of {record.task} is not closed"
        del self.attempts[record.task]
        return None


_HANDLERS: dict[type, Callable[[CellState, Any], str | None]] = {
    WorkerJoined: CellState._join,
    WorkerLeft: CellState._leave,
    AttemptPlaced: CellState._place,
    AttemptClosed: CellState._close,
    ClosureAcknowledged: CellState._acknowledge,
}
