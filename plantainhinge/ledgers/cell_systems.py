"""Decisions of a cell's owner, as functions over its tables."""

from collections.abc import Iterable, Mapping

from ..core.ids import TaskId, WorkerId
from ..core.messages import (
    AttemptRef,
    AttemptReport,
    CellDigest,
    Instance,
    OfferAnswer,
    OfferAttempt,
    RenewLeases,
    StartTask,
    Target,
)
from ..core.records import AnyRecord, AttemptClosed, AttemptPlaced, WorkerJoined
from ..core.resources import Resources
from ..core.states import AttemptOutcome, InstanceRole, InstanceState
from ..placement.scores import Candidate, Demand, Score, pick_worker
from .cell import CellState, WorkerRow

LEASE_SECONDS = 15.0


def join_workers(state: CellState, instances: Iterable[Instance]) -> list[AnyRecord]:
    """Return the records that take listed workers into the cell."""
    return [
        WorkerJoined(WorkerId(row.instance), row.address, row.rack, row.capacity)
        for row in instances
        if row.role is InstanceRole.WORKER
        and row.domain == state.domain
        and row.state is InstanceState.LIVE
        and WorkerId(row.instance) not in state.workers
    ]


def place_offers(
    state: CellState, offers: Iterable[OfferAttempt], score: Score
) -> list[AnyRecord]:
    """Return a placement or a refusal for each offer that is not known yet."""
    candidates = {
        name: Candidate(name, row.rack, row.capacity, row.free)
        for name, row in state.workers.items()
    }
    records: list[AnyRecord] = []
    for offer in offers:
        if is_known(state, offer):
            continue
        records.append(_place(offer, candidates, score))
    return records


def is_known(state: CellState, offer: OfferAttempt) -> bool:
    """Return whether the cell has placed or closed the attempt, or a later one."""
    known = state.attempts.get(offer.task)
    return known is not None and known.attempt >= offer.attempt


def answer_offer(state: CellState, offer: OfferAttempt) -> OfferAnswer:
    """Return where the offered attempt stands."""
    known = state.attempts.get(offer.task)
    if known is None or known.attempt != offer.attempt or known.closed is None:
        return OfferAnswer(closed=False)
    closed = known.closed
    return OfferAnswer(
        closed=True,
        outcome=closed.outcome,
        checkpoint=closed.checkpoint,
        reason=closed.reason,
    )


def close_reported(
    state: CellState, reports: Iterable[AttemptReport]
) -> list[AttemptClosed]:
    """Return a closure for each open attempt that its worker says has ended."""
    records = []
    for report in reports:
        placed = state.open.get(report.task)
        if placed is None or placed.attempt != report.attempt:
            continue
        if report.outcome is not None:
            records.append(_close(placed, report, report.outcome))
    return records


def build_start(placed: AttemptPlaced, state: CellState, as_of: float) -> StartTask:
    """Return the message that starts a placed attempt."""
    return StartTask(
        task=placed.task,
        attempt=placed.attempt,
        kind=placed.kind,
        task_class=placed.task_class,
        resources=placed.resources,
        cell_epoch=state.ownership.epoch,
        lease_seconds=LEASE_SECONDS,
        as_of=as_of,
        service=placed.service,
        checkpoint=placed.checkpoint,
        run_seconds=placed.run_seconds,
    )


def build_renewal(worker: WorkerRow, state: CellState) -> RenewLeases:
    """Return the message that renews all leases of one worker."""
    return RenewLeases(
        cell_epoch=state.ownership.epoch,
        lease_seconds=LEASE_SECONDS,
        attempts=[
            AttemptRef(task=task, attempt=attempt)
            for task, attempt in worker.attempts.items()
        ],
    )


def list_targets(
    state: CellState, reports: Mapping[TaskId, AttemptReport]
) -> list[Target]:
    """Return the running service replicas of the cell."""
    targets = []
    for task, placed in state.open.items():
        report = reports.get(task)
        if not placed.service or report is None or not report.address:
            continue
        targets.append(
            Target(
                target=f"{task}.{placed.attempt}",  # type: ignore[arg-type]
                service=placed.service,
                address=report.address,
                domain=state.domain,
                rack=state.workers[placed.worker].rack,
                worker=placed.worker,
            )
        )
    return targets


def digest_cell(state: CellState) -> CellDigest:
    """Return what the cell can still take."""
    rows = list(state.workers.values())
    return CellDigest(
        domain=state.domain,
        free=sum((row.free for row in rows), Resources()),
        capacity=sum((row.capacity for row in rows), Resources()),
        largest_free=max(
            (row.free for row in rows),
            key=lambda free: free.millicores,
            default=Resources(),
        ),
        workers=len(rows),
    )


def _place(
    offer: OfferAttempt, candidates: dict[WorkerId, Candidate], score: Score
) -> AnyRecord:
    if offer.cancelled:
        return _decline(offer, AttemptOutcome.CANCELLED, "cancelled before its start")
    demand = Demand(offer.kind, offer.resources, offer.task_class, offer.service)
    worker = pick_worker(candidates, demand, score)
    if worker is None:
        return _decline(offer, AttemptOutcome.DECLINED, "no worker has room")
    chosen = candidates[worker]
    candidates[worker] = Candidate(
        worker, chosen.rack, chosen.capacity, chosen.free - offer.resources
    )
    return AttemptPlaced(
        task=offer.task,
        attempt=offer.attempt,
        worker=worker,
        kind=offer.kind,
        task_class=offer.task_class,
        resources=offer.resources,
        ledger=offer.ledger,
        service=offer.service,
        checkpoint=offer.checkpoint,
        run_seconds=offer.run_seconds,
    )


def _decline(
    offer: OfferAttempt, outcome: AttemptOutcome, reason: str
) -> AttemptClosed:
    return AttemptClosed(
        offer.task, offer.attempt, outcome, offer.checkpoint, offer.ledger, reason
    )


def _close(
    placed: AttemptPlaced, report: AttemptReport, outcome: AttemptOutcome
) -> AttemptClosed:
    return AttemptClosed(
        placed.task,
        placed.attempt,
        outcome,
        report.checkpoint or placed.checkpoint,
        placed.ledger,
        report.reason,
    )
