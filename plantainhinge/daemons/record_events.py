"""Events and metrics that follow from accepted records of a stream."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..core.metrics import Counter, Metrics
from ..core.records import (
    AnyRecord,
    AttemptAssigned,
    AttemptClosed,
    AttemptEnded,
    AttemptPlaced,
    RequestReleased,
    RequestSettled,
    TaskAccepted,
    TaskCancelled,
    TaskRejected,
    WorkerJoined,
    WorkerLeft,
)
from ..core.states import AttemptOutcome

CLOSURE_COUNTERS = {
    AttemptOutcome.EVICTED: Counter.EVICTIONS,
    AttemptOutcome.LOST: Counter.LOST_ATTEMPTS,
}


@dataclass(frozen=True)
class EventDescription:
    """An event before it is stamped: its name, subject and details."""

    name: str
    subject: str
    detail: dict[str, str] = field(default_factory=dict)


def describe_record(record: AnyRecord) -> EventDescription | None:
    """Return the event to add for a record, or None if it needs none."""
    describe = _DESCRIPTIONS.get(type(record))
    return describe(record) if describe else None


def count_record(record: AnyRecord, metrics: Metrics) -> None:
    """Update the counters for an accepted record."""
    if isinstance(record, AttemptPlaced):
        metrics.count(Counter.STARTS, kind=record.kind)
    if isinstance(record, AttemptClosed) and record.outcome in CLOSURE_COUNTERS:
        metrics.count(CLOSURE_COUNTERS[record.outcome], reason=record.reason)


def _describe_accepted(record: TaskAccepted) -> EventDescription:
    detail = {"team": record.team, "kind": record.kind}
    return EventDescription("task.accepted", record.task, detail)


def _describe_cancelled(record: TaskCancelled) -> EventDescription:
    return EventDescription("task.cancelled", record.task)


def _describe_rejected(record: TaskRejected) -> EventDescription:
    return EventDescription("task.rejected", record.task, {"reason": record.reason})


def _describe_assigned(record: AttemptAssigned) -> EventDescription:
    detail = {"attempt": str(record.attempt), "domain": record.cell}
    return EventDescription("attempt.assigned", record.task, detail)


def _describe_placed(record: AttemptPlaced) -> EventDescription:
    detail = {"attempt": str(record.attempt), "worker": record.worker}
    return EventDescription("attempt.placed", record.task, detail)


def _describe_end(name: str) -> Callable[[Any], EventDescription]:
    def describe(record: AttemptClosed | AttemptEnded) -> EventDescription:
        detail = {
            "attempt": str(record.attempt),
            "outcome": record.outcome.value,
            "checkpoint": record.checkpoint,
            "reason": record.reason,
        }
        return EventDescription(name, record.task, detail)

    return describe


def _describe_claim(name: str) -> Callable[[Any], EventDescription]:
    def describe(record: RequestSettled | RequestReleased) -> EventDescription:
        return EventDescription(name, record.request, {"key": record.key})

    return describe


def _describe_worker(name: str) -> Callable[[Any], EventDescription]:
    def describe(record: WorkerJoined | WorkerLeft) -> EventDescription:
        return EventDescription(name, record.worker)

    return describe


_DESCRIPTIONS: dict[type, Callable[[Any], EventDescription]] = {
    TaskAccepted: _describe_accepted,
    TaskCancelled: _describe_cancelled,
    TaskRejected: _describe_rejected,
    AttemptAssigned: _describe_assigned,
    AttemptPlaced: _describe_placed,
    AttemptClosed: _describe_end("attempt.closed"),
    AttemptEnded: _describe_end("attempt.ended"),
    RequestSettled: _describe_claim("claim.settled"),
    RequestReleased: _describe_claim("claim.released"),
    WorkerJoined: _describe_worker("worker.joined"),
    WorkerLeft: _describe_worker("worker.left"),
}
