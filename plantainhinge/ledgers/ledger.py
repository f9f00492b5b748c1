"""State of one ledger partition, replayed from its stream: tasks and claims.

Attempt n+1 of a task is assigned only after attempt n has ended, and a task
reaches exactly one final state. ``apply`` rejects every record that would violate
either rule.
"""

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..core.claims import CLAIM_WINDOW_SECONDS
from ..core.ids import (
    AttemptNumber,
    DomainId,
    Epoch,
    Offset,
    ProcessId,
    RequestId,
    RequestKey,
    Seconds,
    ServiceId,
    TaskId,
    TeamId,
    WorkerId,
)
from ..core.records import (
    AnyRecord,
    AttemptAssigned,
    AttemptEnded,
    OwnershipClaimed,
    OwnershipConfirmed,
    OwnershipReleased,
    PredecessorsEnded,
    RequestClaimed,
    RequestReleased,
    RequestSettled,
    RowsPruned,
    TaskAccepted,
    TaskCancelled,
    TaskRejected,
    TimeRecorded,
)
from ..core.states import (
    FINAL_TASK_STATES,
    AttemptOutcome,
    ClaimState,
    TaskState,
)
from ..placement.queue import Shape, WaitingQueue
from ..placement.quotas import QuotaUsage
from ..streams.ownership import Ownership, Predecessor

NO_ATTEMPT = AttemptNumber(0)
TASK_RETENTION_SECONDS = 86_400.0
KEY_SKEW_SECONDS_MAX = 300.0  # a key may be this far ahead of the ledger's time


class TaskRow(msgspec.Struct):
    """One task in the ledger.

    Parameters
    ----------
    attempt : AttemptNumber
        Number of the newest attempt; 0 before the first.
    cancelling : bool
        Whether a cancellation was recorded while the task was not final; an
        attempt that is still open then may yet finish.
    ended_at, accepted_at : float
        When the task reached its final state and when it was accepted, in seconds
        since the Unix epoch.
    failed_on : list of WorkerId
        The distinct workers on which an attempt failed.
    crashes : int
        Attempts that were lost because their workers restarted.
    crashed_on : list of WorkerId
        These distinct workers.
    """

    accepted: TaskAccepted
    state: TaskState = TaskState.WAITING
    attempt: AttemptNumber = NO_ATTEMPT
    cell: DomainId | None = None
    checkpoint: str = ""
    reason: str = ""
    failures: int = 0
    cancelling: bool = False
    ended_at: float = 0.0
    accepted_at: float = 0.0
    failed_on: list[WorkerId] = []
    crashes: int = 0
    crashed_on: list[WorkerId] = []


class ClaimRow(msgspec.Struct):
    """The claim on the key of a non-idempotent request.

    Parameters
    ----------
    key_at : float
        When the caller created the request key, in seconds since the Unix epoch.
    """

    request: RequestId
    state: ClaimState
    key_at: float


class _Dump(msgspec.Struct, array_like=True):
    epoch: Epoch
    owner: ProcessId | None
    address: str
    tasks: dict[TaskId, TaskRow]
    claims: dict[RequestKey, ClaimRow]
    predecessors: tuple[Predecessor, ...] = ()
    time: float = 0.0
    tasks_pruned_before: float = 0.0
    claims_pruned_before: float = 0.0


@dataclass
class LedgerState:
    """The tables of one ledger partition and the indexes over them.

    Parameters
    ----------
    waiting, assigned : dict
        Indexes of ``tasks`` by state, as ordered sets: values are unused.
    time : float
        The newest wall-clock time that an owner recorded. Rows take their times
        from it, so that every reader replays the same times.
    tasks_pruned_before, claims_pruned_before : float
        Final tasks that ended before the first time, and claims whose keys were
        created before the second, have been deleted.
    replicas : dict
        Index of the ``tasks`` that are service replicas and not final.
    changed : dict
        Tasks whose rows changed since the last ``take_changed``; values are unused.
    queue : WaitingQueue
        Index of ``waiting`` by shape.
    quota_usage : QuotaUsage
        What the ``assigned`` tasks use of their teams' quotas.
    replica_cells : Counter
        Number of assigned replicas by service and cell.
    """

    partition: int
    ownership: Ownership = field(default_factory=Ownership)
    tasks: dict[TaskId, TaskRow] = field(default_factory=dict)
    claims: dict[RequestKey, ClaimRow] = field(default_factory=dict)
    waiting: dict[TaskId, None] = field(default_factory=dict)
    assigned: dict[TaskId, None] = field(default_factory=dict)
    time: float = 0.0
    tasks_pruned_before: float = 0.0
    claims_pruned_before: float = 0.0
    replicas: dict[TaskId, None] = field(default_factory=dict)
    changed: dict[TaskId, None] = field(default_factory=dict)
    queue: WaitingQueue = field(default_factory=WaitingQueue)
    quota_usage: QuotaUsage[TeamId] = field(default_factory=QuotaUsage)
    replica_cells: Counter[tuple[ServiceId, DomainId]] = field(default_factory=Counter)
    _final_tasks: deque[TaskId] = field(default_factory=deque)
    _claim_keys: list[tuple[float, RequestKey]] = field(default_factory=list)

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
            rejection = rejection or self._dispatch(record)
        if rejection is None:
            self.ownership.last_read_at = now
        return rejection

    def dump(self) -> bytes:
        """Encode all tables for a snapshot."""
        dump = _Dump(
            self.ownership.epoch,
            self.ownership.owner,
            self.ownership.address,
            self.tasks,
            self.claims,
            self.ownership.predecessors,
            self.time,
            self.tasks_pruned_before,
            self.claims_pruned_before,
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, state: bytes, now: Seconds) -> None:
        """Replace all tables with those of a snapshot and rebuild the indexes."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        self.ownership = Ownership(
            dump.epoch, dump.owner, dump.address, now, dump.predecessors
        )
        self.tasks = dump.tasks
        self.claims = dump.claims
        self.time = dump.time
        self.tasks_pruned_before = dump.tasks_pruned_before
        self.claims_pruned_before = dump.claims_pruned_before
        self._build_indexes()

    def take_changed(self) -> list[TaskId]:
        """Return and clear the tasks that changed since the last call."""
        changed = list(self.changed)
        self.changed.clear()
        return changed

    def find_oldest_times(self) -> tuple[float, float]:
        """Return when the oldest final task ended and the oldest key was created.

        In seconds since the Unix epoch; each is infinity if there is none.
        """
        task_ended_at = (
            self.tasks[self._final_tasks[0]].ended_at if self._final_tasks else math.inf
        )
        key_created_at = self._claim_keys[0][0] if self._claim_keys else math.inf
        return task_ended_at, key_created_at

    def _build_indexes(self) -> None:
        self.waiting = {}
        self.assigned = {}
        self.replicas = {}
        self.queue = WaitingQueue()
        self.quota_usage = QuotaUsage()
        self.replica_cells = Counter()
        for task in self.tasks:
            self._index(task)
        final = [
            task for task, row in self.tasks.items() if row.state in FINAL_TASK_STATES
        ]
        self._final_tasks = deque(sorted(final, key=lambda t: self.tasks[t].ended_at))
        self._claim_keys = sorted((row.key_at, key) for key, row in self.claims.items())

    def _dispatch(self, record: AnyRecord) -> str | None:
        handler = _HANDLERS.get(type(record))
        if handler is None:
            return f"a ledger takes no {type(record).__name__}"
        return handler(self, record)

    def _record_time(self, record: TimeRecorded) -> str | None:
        if record.at <= self.time:
            return f"time {record.at} is not later than {self.time}"
        self.time = record.at
        return None

    def _prune(self, record: RowsPruned) -> str | None:
        if record.tasks_before > self.time - TASK_RETENTION_SECONDS:
            return f"tasks from {record.tasks_before} must be kept longer"
        if record.claims_before > self.time - CLAIM_WINDOW_SECONDS:
            return f"claims from {record.claims_before} must be kept longer"
        self.tasks_pruned_before = max(self.tasks_pruned_before, record.tasks_before)
        self.claims_pruned_before = max(self.claims_pruned_before, record.claims_before)
        self._prune_tasks()
        self._prune_claims()
        return None

    def _prune_tasks(self) -> None:
        while self._final_tasks:
            task = self._final_tasks[0]
            if self.tasks[task].ended_at >= self.tasks_pruned_before:
                return
            self._final_tasks.popleft()
            del self.tasks[task]

    def _prune_claims(self) -> None:
        while self._claim_keys and self._claim_keys[0][0] < self.claims_pruned_before:
            _, key = heapq.heappop(self._claim_keys)
            del self.claims[key]

    def _accept(self, record: TaskAccepted) -> str | None:
        known = self.tasks.get(record.task)
        if known is None:
            self.tasks[record.task] = TaskRow(record, accepted_at=self.time)
        elif record.service and known.state in FINAL_TASK_STATES:
            self._final_tasks.remove(record.task)
            self.tasks[record.task] = TaskRow(
                record, attempt=known.attempt, accepted_at=self.time
            )
        else:
            return f"task {record.task} is accepted already"
        self._index(record.task)
        return None

    def _cancel(self, record: TaskCancelled) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state in FINAL_TASK_STATES:
            return f"task {record.task} is not open"
        row.cancelling = True
        self.changed[record.task] = None
        if row.state is TaskState.WAITING:
            self._finish(record.task, TaskState.CANCELLED, "cancelled by caller")
        return None

    def _reject(self, record: TaskRejected) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state is not TaskState.WAITING:
            return f"task {record.task} is not waiting"
        self._finish(record.task, TaskState.FAILED, record.reason)
        return None

    def _assign(self, record: AttemptAssigned) -> str | None:
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

    def _end(self, record: AttemptEnded) -> str | None:
        row = self.tasks.get(record.task)
        if row is None or row.state is not TaskState.ASSIGNED:
            return f"task {record.task} is not assigned"
        if record.attempt != row.attempt:
            return f"attempt {record.attempt} is not the open one, {row.attempt}"
        row.checkpoint = record.checkpoint or row.checkpoint
        row.reason = record.reason
        if record.outcome is AttemptOutcome.FAILED:
            self._record_failure(row, record.worker)
        if record.crashed:
            self._record_crash(row, record.worker)
        self._apply_outcome(record, row)
        return None

    def _record_failure(self, row: TaskRow, worker: WorkerId) -> None:
        row.failures += 1
        if worker and worker not in row.failed_on:
            row.failed_on = [*row.failed_on, worker]

    def _record_crash(self, row: TaskRow, worker: WorkerId) -> None:
        row.crashes += 1
        if worker and worker not in row.crashed_on:
            row.crashed_on = [*row.crashed_on, worker]

    def _apply_outcome(self, record: AttemptEnded, row: TaskRow) -> None:
        if record.outcome is AttemptOutcome.FINISHED:
            self._finish(record.task, TaskState.FINISHED, record.reason)
        elif row.cancelling:
            self._finish(record.task, TaskState.CANCELLED, "cancelled by caller")
        else:
            row.state = TaskState.WAITING
            self._index(record.task)

    def _claim(self, record: RequestClaimed) -> str | None:
        key_at = record.key_at or self.time
        if key_at < self.claims_pruned_before:
            return f"key {record.key} is older than the claim window"
        if key_at > self.time + KEY_SKEW_SECONDS_MAX:
            return f"key {record.key} is from the future"
        row = self.claims.get(record.key)
        if row is None:
            heapq.heappush(self._claim_keys, (key_at, record.key))
        elif row.state is not ClaimState.RELEASED:
            return f"key {record.key} is {row.state.value} by request {row.request}"
        else:
            key_at = row.key_at
        self.claims[record.key] = ClaimRow(record.request, ClaimState.HELD, key_at)
        return None

    def _release(self, record: RequestReleased) -> str | None:
        return self._update_claim(record.key, record.request, ClaimState.RELEASED)

    def _settle_claim(self, record: RequestSettled) -> str | None:
        return self._update_claim(record.key, record.request, ClaimState.SETTLED)

    def _update_claim(
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
        row.ended_at = self.time
        self._final_tasks.append(task)
        self._index(task)

    def _index(self, task: TaskId) -> None:
        row = self.tasks[task]
        self.changed[task] = None
        self.waiting.pop(task, None)
        self.queue.remove(task)
        if task in self.assigned:
            del self.assigned[task]
            self._count_assigned(row, -1)
        self.replicas.pop(task, None)
        if row.state is TaskState.WAITING:
            self.waiting[task] = None
            self.queue.add(task, build_shape(row.accepted), row.accepted_at)
        elif row.state is TaskState.ASSIGNED:
            self.assigned[task] = None
            self._count_assigned(row, 1)
        if row.accepted.service and row.state not in FINAL_TASK_STATES:
            self.replicas[task] = None

    def _count_assigned(self, row: TaskRow, sign: int) -> None:
        accepted = row.accepted
        if sign > 0:
            self.quota_usage.add(accepted.team, accepted.resources)
        else:
            self.quota_usage.subtract(accepted.team, accepted.resources)
        if accepted.service and row.cell is not None:
            self.replica_cells[accepted.service, row.cell] += sign


def build_shape(accepted: TaskAccepted) -> Shape:
    """Return the properties of a task by which placement groups waiting tasks."""
    return Shape(
        accepted.team,
        accepted.kind,
        accepted.resources,
        accepted.task_class,
        accepted.service,
        accepted.priority,
        accepted.urgent,
    )


_HANDLERS: dict[type, Callable[[LedgerState, Any], str | None]] = {
    TaskAccepted: LedgerState._accept,
    TaskCancelled: LedgerState._cancel,
    TaskRejected: LedgerState._reject,
    AttemptAssigned: LedgerState._assign,
    AttemptEnded: LedgerState._end,
    RequestClaimed: LedgerState._claim,
    RequestReleased: LedgerState._release,
    RequestSettled: LedgerState._settle_claim,
    TimeRecorded: LedgerState._record_time,
    RowsPruned: LedgerState._prune,
}
