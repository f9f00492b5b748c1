"""Builds the records and messages of a cell's owner from the cell's tables."""

from collections.abc import Container, Iterable, Mapping
from itertools import islice

import msgspec

from ..core.ids import Seconds, ServiceId, TaskId, WorkerId
from ..core.messages import (
    AttemptRef,
    AttemptReport,
    CellDigest,
    Closure,
    Instance,
    RenewLeases,
    ReportClosures,
    StartTask,
    Target,
)
from ..core.records import (
    AnyRecord,
    AttemptClosed,
    AttemptPlaced,
    WorkerJoined,
    WorkerLeft,
)
from ..core.resources import Resources
from ..core.states import AttemptOutcome, InstanceRole, InstanceState
from .cell import CellState, WorkerRow
from .leases import LEASE_SECONDS, ClockReading, compute_start_limit


def reconcile_workers(
    state: CellState, instances: Iterable[Instance]
) -> list[AnyRecord]:
    """Return the records that bring the cell's workers in line with ``instances``.

    These are from the platform's list. A worker that is no longer listed, or is
    listed with another address, rack or capacity, is removed once it has no open
    attempt.
    """
    listed = {
        WorkerId(row.instance): row
        for row in instances
        if row.role is InstanceRole.WORKER and row.domain == state.domain
    }
    records: list[AnyRecord] = []
    for name, worker in state.workers.items():
        if not worker.attempts and not _is_same(worker, listed.get(name)):
            records.append(WorkerLeft(name))
    left = {record.worker for record in records if isinstance(record, WorkerLeft)}
    for name, row in listed.items():
        is_new = name not in state.workers or name in left
        if is_new and row.state is InstanceState.LIVE:
            records.append(WorkerJoined(name, row.address, row.rack, row.capacity))
    return records


def list_changed_workers(
    state: CellState, instances: Iterable[Instance]
) -> set[WorkerId]:
    """Return the workers that the platform lists otherwise than the cell has them.

    They get nothing new: a smaller capacity is recorded only once they are empty.
    """
    listed = {WorkerId(row.instance): row for row in instances}
    return {
        name
        for name, worker in state.workers.items()
        if name in listed and not _is_same(worker, listed[name])
    }


def _is_same(worker: WorkerRow, listed: Instance | None) -> bool:
    return listed is not None and (
        worker.address == listed.address
        and worker.rack == listed.rack
        and worker.capacity == listed.capacity
    )


def build_ended_closure(placed: AttemptPlaced, report: AttemptReport) -> AttemptClosed:
    """Build the closure of an attempt that its worker reports as ended."""
    assert report.outcome is not None
    return AttemptClosed(
        placed.task,
        placed.attempt,
        report.outcome,
        report.checkpoint or placed.checkpoint,
        placed.ledger,
        report.reason,
    )


def build_lost_closure(
    placed: AttemptPlaced, reason: str, *, crashed: bool
) -> AttemptClosed:
    """Build the closure of an attempt that must have ended, with outcome unknown.

    Its lease has expired, or its worker process was restarted: it ``crashed``.
    """
    closure = _build_unfinished_closure(placed, AttemptOutcome.LOST, reason)
    return msgspec.structs.replace(closure, crashed=crashed)


def build_unstarted_closure(placed: AttemptPlaced, reason: str) -> AttemptClosed:
    """Build the closure of an attempt that its worker never started.

    The outcome is declined, so the ledger backs off from the cell for a while.
    """
    return _build_unfinished_closure(placed, AttemptOutcome.DECLINED, reason)


def build_start(
    placed: AttemptPlaced, state: CellState, reading: ClockReading, deadline: Seconds
) -> StartTask:
    """Build the message that starts a placed attempt.

    Parameters
    ----------
    deadline : Seconds
        Time on the owner's clock from which the worker must refuse the start.
    """
    return StartTask(
        task=placed.task,
        attempt=placed.attempt,
        kind=placed.kind,
        task_class=placed.task_class,
        resources=placed.resources,
        cell_epoch=state.ownership.epoch,
        lease_seconds=LEASE_SECONDS,
        as_of=reading.clock,
        incarnation=reading.incarnation,
        start_before=compute_start_limit(reading, deadline),
        service=placed.service,
        checkpoint=placed.checkpoint,
        run_seconds=placed.run_seconds,
    )


def build_renewal(
    worker: WorkerRow,
    state: CellState,
    reading: ClockReading | None,
    *,
    forget: list[AttemptRef],
    closing: Container[TaskId] = (),
) -> RenewLeases:
    """Build the message that renews the leases of one worker's attempts.

    Parameters
    ----------
    forget : list of AttemptRef
        Ended attempts that the worker need not report any more.
    closing : container of TaskId
        Tasks whose closure has been proposed to the log; their leases are not
        renewed.
    """
    return RenewLeases(
        cell_epoch=state.ownership.epoch,
        lease_seconds=LEASE_SECONDS,
        attempts=[
            AttemptRef(task=task, attempt=attempt)
            for task, attempt in worker.attempts.items()
            if task not in closing
        ],
        as_of=reading.clock if reading else 0.0,
        incarnation=reading.incarnation if reading else 0,
        forget=forget,
    )


def build_closures(
    state: CellState, ledger: int, *, limit: int
) -> ReportClosures | None:
    """Build a report of the oldest unacknowledged closures of a ledger, if any."""
    tasks = list(islice(state.closures.get(ledger, ()), limit))
    if not tasks:
        return None
    closed = [state.attempts[task].closed for task in tasks]
    closures = [
        Closure(
            task=record.task,
            attempt=record.attempt,
            outcome=record.outcome,
            checkpoint=record.checkpoint,
            reason=record.reason,
            worker=_find_worker(state, record),
            crashed=record.crashed,
        )
        for record in closed
        if record is not None
    ]
    return ReportClosures(ledger=ledger, cell=state.domain, closures=closures)


def _find_worker(state: CellState, closed: AttemptClosed) -> WorkerId:
    placed = state.attempts[closed.task].placed
    return placed.worker if placed else WorkerId("")


def list_targets(
    state: CellState,
    service: ServiceId,
    reports: Mapping[TaskId, AttemptReport],
    *,
    leaving: Container[TaskId] = (),
) -> list[Target]:
    """Return the replicas of a service that run in the cell.

    Replicas for which no worker has reported an address are left out.

    Parameters
    ----------
    leaving : container of TaskId
        Replicas that are about to stop and take no new requests.
    """
    targets = []
    for task in state.replicas.get(service, ()):
        placed = state.open_attempts[task]
        report = reports.get(task)
        if report is None or not report.address:
            continue
        targets.append(
            Target(
                target=f"{task}.{placed.attempt}",  # type: ignore[arg-type]
                service=service,
                address=report.address,
                domain=state.domain,
                rack=state.workers[placed.worker].rack,
                worker=placed.worker,
                leaving=task in leaving,
            )
        )
    return targets


def digest_cell(state: CellState, *, skip: Container[WorkerId] = ()) -> CellDigest:
    """Summarize the cell's capacity and free resources for the ledgers.

    Parameters
    ----------
    skip : container of WorkerId
        Workers whose free resources are not counted.
    """
    rows = list(state.workers.values())
    free = [row.free for name, row in state.workers.items() if name not in skip]
    return CellDigest(
        domain=state.domain,
        free=sum(free, Resources()),
        capacity=sum((row.capacity for row in rows), Resources()),
        largest_free=_find_largest(free),
        workers=len(rows),
        worker_capacities=list(dict.fromkeys(row.capacity for row in rows)),
        critical=state.occupancy.critical,
    )


def _find_largest(amounts: list[Resources]) -> Resources:
    """Return the maximum per resource; the maxima may come from different workers."""
    return Resources(
        max((amount.millicores for amount in amounts), default=0),
        max((amount.memory_mib for amount in amounts), default=0),
        max((amount.accelerators for amount in amounts), default=0),
    )


def _build_unfinished_closure(
    placed: AttemptPlaced, outcome: AttemptOutcome, reason: str
) -> AttemptClosed:
    return AttemptClosed(
        placed.task,
        placed.attempt,
        outcome,
        placed.checkpoint,
        placed.ledger,
        reason,
    )
