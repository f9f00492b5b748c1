"""State of one cell, replayed from its stream: workers and placed attempts.

``apply`` rejects a placement that doesn't fit the worker's free resources, so no
order of records can overcommit a worker's processors, memory or accelerators.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..core.ids import (
    AttemptNumber,
    DomainId,
    Epoch,
    Offset,
    ProcessId,
    RackId,
    Seconds,
    ServiceId,
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
    PredecessorsEnded,
    WorkerJoined,
    WorkerLeft,
)
from ..core.resources import Resources
from ..placement.occupancy import OccupancyTable
from ..streams.ownership import Ownership, Predecessor


class WorkerRow(msgspec.Struct):
    """A worker, its open attempts and the resources they leave free."""

    address: str
    rack: RackId
    capacity: Resources
    free: Resources
    attempts: dict[TaskId, AttemptNumber] = {}


class AttemptRow(msgspec.Struct):
    """The newest attempt of a task that the cell has placed or closed.

    Parameters
    ----------
    placed : AttemptPlaced or None
        None if the attempt was declined or cancelled without being placed.
    epoch : Epoch
        Epoch of the record that created the row.
    """

    attempt: AttemptNumber
    placed: AttemptPlaced | None = None
    closed: AttemptClosed | None = None
    epoch: Epoch = Epoch(0)


class Fence(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The newest acknowledgement of a ledger; offers sent before it are ignored."""

    ledger_epoch: Epoch = Epoch(0)
    sequence: int = 0


class _Dump(msgspec.Struct, array_like=True):
    epoch: Epoch
    owner: ProcessId | None
    address: str
    workers: dict[WorkerId, WorkerRow]
    attempts: dict[TaskId, AttemptRow]
    fences: dict[int, Fence] = {}
    predecessors: tuple[Predecessor, ...] = ()


@dataclass
class CellState:
    """The tables of one cell and the indexes over them.

    Parameters
    ----------
    fences : dict
        By ledger partition; kept after acknowledgements have removed the rows.
    open_attempts : dict
        Index of the ``attempts`` that are placed and not closed.
    closures : dict
        Index of the ``attempts`` that are closed, by the ledger to notify.
    replicas : dict
        Index of ``open_attempts`` by service.
    changed : dict
        Tasks whose rows changed since the last ``take_changed``; an ordered set,
        so the values are unused.
    membership_version : int
        Incremented whenever a worker joins or leaves.
    occupancy : OccupancyTable
        Index of ``open_attempts`` by worker and kind.
    """

    domain: DomainId
    ownership: Ownership = field(default_factory=Ownership)
    workers: dict[WorkerId, WorkerRow] = field(default_factory=dict)
    attempts: dict[TaskId, AttemptRow] = field(default_factory=dict)
    fences: dict[int, Fence] = field(default_factory=dict)
    open_attempts: dict[TaskId, AttemptPlaced] = field(default_factory=dict)
    closures: dict[int, dict[TaskId, None]] = field(default_factory=dict)
    replicas: dict[ServiceId, dict[TaskId, None]] = field(default_factory=dict)
    changed: dict[TaskId, None] = field(default_factory=dict)
    membership_version: int = 0
    occupancy: OccupancyTable = field(default_factory=OccupancyTable)

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Apply a record; return the reason if it is rejected, else None."""
        if isinstance(
            record,
            OwnershipClaimed
            | OwnershipReleased
            | OwnershipConfirmed
            | PredecessorsEnded,
        ):
            rejection = self.ownership.apply(record)
        else:
            rejection = self.ownership.check_epoch(epoch)
            rejection = rejection or self._dispatch(record, epoch)
        if rejection is None:
            self.ownership.last_read_at = now
        return rejection

    def dump(self) -> bytes:
        """Encode all tables for a snapshot."""
        dump = _Dump(
            self.ownership.epoch,
            self.ownership.owner,
            self.ownership.address,
            self.workers,
            self.attempts,
            self.fences,
            self.ownership.predecessors,
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, state: bytes, now: Seconds) -> None:
        """Replace all tables with those of a snapshot and rebuild the indexes."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        self.ownership = Ownership(
            dump.epoch, dump.owner, dump.address, now, dump.predecessors
        )
        self.workers = dump.workers
        self.attempts = dump.attempts
        self.fences = dump.fences
        self.membership_version += 1
        self._build_indexes()

    def take_changed(self) -> list[TaskId]:
        """Return and clear the tasks that changed since the last call."""
        changed = list(self.changed)
        self.changed.clear()
        return changed

    def is_superseded(self, ledger: int, fence: Fence) -> bool:
        """Return whether a newer acknowledgement outdates an offer of the ledger.

        Such an offer may describe an attempt that has ended and been forgotten;
        placing it would run the attempt again.
        """
        return fence < self.fences.get(ledger, Fence())

    def _build_indexes(self) -> None:
        self.open_attempts = {}
        self.closures = {}
        self.replicas = {}
        self.occupancy = OccupancyTable()
        self.changed = dict.fromkeys(self.attempts)
        for row in self.attempts.values():
            if row.closed is not None:
                self._index_closure(row.closed)
            elif row.placed is not None:
                self._index_open(row.placed)

    def _index_open(self, placed: AttemptPlaced) -> None:
        self.open_attempts[placed.task] = placed
        self.occupancy.add(placed, self.workers[placed.worker].rack)
        if placed.service:
            self.replicas.setdefault(placed.service, {})[placed.task] = None

    def _index_closure(self, closed: AttemptClosed) -> None:
        self.closures.setdefault(closed.ledger, {})[closed.task] = None

    def _dispatch(self, record: AnyRecord, epoch: Epoch) -> str | None:
        handler = _HANDLERS.get(type(record))
        if handler is None:
            return f"a cell takes no {type(record).__name__}"
        return handler(self, record, epoch)

    def _add_worker(self, record: WorkerJoined, epoch: Epoch) -> str | None:
        if record.worker in self.workers:
            return f"worker {record.worker} is in the cell already"
        self.workers[record.worker] = WorkerRow(
            record.address, record.rack, record.capacity, record.capacity
        )
        self.membership_version += 1
        return None

    def _remove_worker(self, record: WorkerLeft, epoch: Epoch) -> str | None:
        row = self.workers.get(record.worker)
        if row is None:
            return f"worker {record.worker} is not in the cell"
        if row.attempts:
            return f"worker {record.worker} has {len(row.attempts)} open attempts"
        del self.workers[record.worker]
        self.membership_version += 1
        return None

    def _place(self, record: AttemptPlaced, epoch: Epoch) -> str | None:
        known = self.attempts.get(record.task)
        if known is not None and record.attempt <= known.attempt:
            return f"attempt {record.attempt} is not newer than {known.attempt}"
        if record.task in self.open_attempts:
            return f"attempt {self.open_attempts[record.task].attempt} is still open"
        worker = self.workers.get(record.worker)
        if worker is None:
            return f"worker {record.worker} is not in the cell"
        if not record.resources.fits_within(worker.free):
            return f"worker {record.worker} has {worker.free}, not {record.resources}"
        worker.free = worker.free - record.resources
        worker.attempts[record.task] = record.attempt
        self._replace_row(record.task, AttemptRow(record.attempt, record, None, epoch))
        self._index_open(record)
        return None

    def _close(self, record: AttemptClosed, epoch: Epoch) -> str | None:
        known = self.attempts.get(record.task)
        if known is not None and record.attempt < known.attempt:
            return f"attempt {record.attempt} is older than {known.attempt}"
        if known is None or record.attempt > known.attempt:
            if record.task in self.open_attempts:
                return (
                    f"attempt {self.open_attempts[record.task].attempt} is still open"
                )
            row = AttemptRow(record.attempt, None, record, epoch)
            self._replace_row(record.task, row)
        elif known.closed is not None:
            return f"attempt {record.attempt} is closed already"
        else:
            known.closed = record
            self._release_resources(self.open_attempts.pop(record.task))
            self.changed[record.task] = None
        self._index_closure(record)
        return None

    def _replace_row(self, task: TaskId, row: AttemptRow) -> None:
        known = self.attempts.get(task)
        if known is not None and known.closed is not None:
            self.closures[known.closed.ledger].pop(task, None)
        self.attempts[task] = row
        self.changed[task] = None

    def _release_resources(self, placed: AttemptPlaced) -> None:
        worker = self.workers[placed.worker]
        worker.free = worker.free + placed.resources
        del worker.attempts[placed.task]
        self.occupancy.remove(placed, worker.rack)
        if placed.service:
            self.replicas[placed.service].pop(placed.task, None)

    def _acknowledge(self, record: ClosureAcknowledged, epoch: Epoch) -> str | None:
        known = self.attempts.get(record.task)
        if known is None or known.attempt != record.attempt or known.closed is None:
            return f"attempt {record.attempt} of {record.task} is not closed"
        fence = Fence(record.ledger_epoch, record.sequence)
        newest = self.fences.get(record.ledger, Fence())
        self.fences[record.ledger] = max(newest, fence)
        del self.closures[known.closed.ledger][record.task]
        del self.attempts[record.task]
        self.changed[record.task] = None
        return None


_HANDLERS: dict[type, Callable[[CellState, Any, Epoch], str | None]] = {
    WorkerJoined: CellState._add_worker,
    WorkerLeft: CellState._remove_worker,
    AttemptPlaced: CellState._place,
    AttemptClosed: CellState._close,
    ClosureAcknowledged: CellState._acknowledge,
}
