"""Replayed state of one ledger partition: tasks, attempts and claims.

Attempt n+1 is assigned only after attempt n has ended, and a task has exactly
one final state; ``apply`` rejects every record that would break either.
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
    RequestId,
    RequestKey,
    Seconds,
    TaskId,
)
from ..core.records import (
    AnyRecord,
    AttemptAssigned,
    AttemptEnded,
    OwnershipClaimed,
    OwnershipConfirmed,
    OwnershipReleased,
    RequestClaimed,
    RequestReleased,
    RequestSettled,
    TaskAccepted,
    TaskCancelled,
    TaskRejected,
)
from ..core.states import (
    FINAL_TASK_STATES,
    AttemptOutcome,
    ClaimState,
    TaskState,
)
from ..streams.ownership import Ownership

NO_ATTEMPT = Attempt(0)


class TaskRow(msgspec.Struct):
    """One task in the ledger.

    Parameters
    ----------
    attempt : Attempt
        The newest attempt; 0 before the first.
    cancelling : bool
        A cancellation was recorded while an attempt was open.
    """

    accepted: TaskAccepted
    state: TaskState = TaskState.WAITING
    attempt: Attempt = NO_ATTEMPT
    cell: DomainId | None = None
    checkpoint: str = ""
    reason: str = ""
    failures: int = 0
    cancelling: bool = False


class ClaimRow(msgspec.Struct):
    """The claim of one non-idempotent request."""

    request: RequestId
    state: ClaimState
    claimed_at: Seconds


class _Dump(msgspec.Struct, array_like=True):
    epoch: Epoch
    owner: ProcessId | None
    address: str
    tasks: dict[TaskId, TaskRow]
    claims: dict[RequestKey, ClaimRow]


@dataclass
class LedgerState:
    """The tables of one ledger partition.

    Parameters
    ----------
    waiting, assigned : dict
        Indexes over ``tasks`` in order of arrival; values are unused.
    """

    partition: int
    ownership: Ownership = field(default_factory=Ownership)
    tasks: dict[TaskId, TaskRow] = field(default_factory=dict)
    claims: dict[RequestKey, ClaimRow] = field(default_factory=dict)
    waiting: dict[TaskId, None] = field(default_factory=dict)
    assigned: dict[TaskId, None] = field(default_factory=dict)

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
            rejection = rejection or self._dispatch(record, now)
        if rejection is None:
            self.ownership.read_at = now
        return rejection

    def dump(self) -> bytes:
        """Return all tables."""
        dump = _Dump(
            self.ownership.epoch,
            self.ownership.owner,
            self.ownership.address,
            self.tasks,
            self.claims,
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, state: bytes, now: Seconds) -> None:
        """Replace all tables by those of a snapshot."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        self.ownership = Ownership(dump.epoch, dump.owner, dump.address, now)
        self.tasks = dump.tasks
        self.claims = dump.claims
        self.waiting = {}
        self.assigned = {}
        for task in self.tasks:
            self._index(task)

    def _dispatch(self, record: AnyRecord, now: Seconds) -> str | None:
        handler = _HANDLERS.get(type(record))
        if handler is None:
            return f"a ledger takes no {type(record).__name__}"
        return handler(self, record, now)

    def _accept(self, record: TaskAccepted, now: Seconds) -> str | None:
        if record.task in self.tasks:
            return f"task {record.task} is accepted already"
        self.tasks[record.task] = TaskRow(record)
        self._index(record.task)
        return None

    def _cancel(self, record: TaskCancelled, now: Seconds) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state in FINAL_TASK_STATES:
            return f"task {record.task} is not open"
        row.cancelling = True
        if row.state is TaskState.WAITING:
            self._finish(record.task, TaskState.CANCELLED, "cancelled by caller")
        return None

    def _reject(self, record: TaskRejected, now: Seconds) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state is not TaskState.WAITING:
            return f"task {record.task} is not waiting"
        self._finish(record.task, TaskState.FAILED, record.reason)
        return None

    def _assign(self, record: AttemptAssigned, now: Seconds) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state is not TaskState.WAITING:
            return f"task {record.task} is not waiting"
        if record.attempt != row.attempt + 1:
            return f"attempt {record.attempt} does not follow {row.attempt}"
        row.attempt = record.attempt
        row.cell = record.cell
        row.state = TaskState.ASSIGNED
        self._index(record.task)
        return None

    def _end(self, record: AttemptEnded, now: Seconds) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state is not TaskState.ASSIGNED:
            return f"task {record.task} is not assigned"
        if record.attempt != row.attempt:
            return f"attempt {record.attempt} is not the open one, {row.attempt}"
        row.checkpoint = record.checkpoint or row.checkpoint
        row.reason = record.reason
        row.failures += record.outcome is AttemptOutcome.FAILED
        self._settle(record, row)
        return None

    def _settle(self, record: AttemptEnded, row: TaskRow) -> None:
        if record.outcome is AttemptOutcome.FINISHED:
            self._finish(record.task, TaskState.FINISHED, record.reason)
        elif row.cancelling:
            self._finish(record.task, TaskState.CANCELLED, "cancelled by caller")
        else:
            row.state = TaskState.WAITING
            self._index(record.task)

    def _claim(self, record: RequestClaimed, now: Seconds) -> str | None:
        row = self.claims.get(record.key)
        if row is not None and row.state is not ClaimState.RELEASED:
            return f"key {record.key} is {row.state.value} by request {row.request}"
        self.claims[record.key] = ClaimRow(record.request, ClaimState.HELD, now)
        return None

    def _release(self, record: RequestReleased, now: Seconds) -> str | None:
        return self._move_claim(record.key, record.request, ClaimState.RELEASED)

    def _settle_claim(self, record: RequestSettled, now: Seconds) -> str | None:
        return self._move_claim(record.key, record.request, ClaimState.SETTLED)

    def _move_claim(
        self, key: RequestKey, request: RequestId, state: ClaimState
    ) -> str | None:
        row = self.claims.get(key)
        if row is None or row.request != request or row.state is not ClaimState.HELD:
            return f"request {request} does not hold key {key}"
        row.state = state
        return None

    def _finish(self, task: TaskId, state: TaskState, reason: str) -> None:
        row = self.tasks[task]
        row.state = state
        row.reason = reason
        self._index(task)

    def _index(self, task: TaskId) -> None:
        state = self.tasks[task].state
        self.waiting.pop(task, None)
        self.assigned.pop(task, None)
        if state is TaskState.WAITING:
            self.waiting[task] = None
        elif state is TaskState.ASSIGNED:
            self.assigned[task] = None


_HANDLERS: dict[type, Callable[[LedgerState, Any, Seconds], str | None]] = {
    TaskAccepted: LedgerState._accept,
    TaskCancelled: LedgerState._cancel,
    TaskRejected: LedgerState._reject,
    AttemptAssigned: LedgerState._assign,
    AttemptEnded: LedgerState._end,
    RequestClaimed: LedgerState._claim,
    RequestReleased: LedgerState._release,
    RequestSettled: LedgerState._settle_claim,
}
