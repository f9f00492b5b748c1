"""Placement of offered attempts on the workers of a cell."""

import math
from collections.abc import Collection, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..core.ids import Seconds, TaskId, WorkerId
from ..core.messages import AttemptOffer
from ..core.records import AnyRecord, AttemptClosed, AttemptPlaced
from ..core.states import AttemptOutcome, TaskClass
from ..placement.holds import MOST_VICTIMS
from ..placement.preemption import Preemptible, PreemptionRoom, plan_preemption
from ..placement.scores import Demand, draw_share
from ..placement.workers import CellPolicy, CellTables, WorkerRoom, choose_worker
from .cell import CellState


@dataclass
class PlacementPlan:
    """Placements being made, on top of the replayed state.

    Parameters
    ----------
    records : list
        Placements and refusals to propose.
    evictions : list of TaskId
        Batch attempts to stop, so that held offers get room.
    """

    workers: dict[WorkerId, WorkerRoom]
    records: list[AnyRecord] = field(default_factory=list)
    placed: list[AttemptPlaced] = field(default_factory=list)
    evictions: list[TaskId] = field(default_factory=list)


def place_offers(
    state: CellState,
    offers: Iterable[AttemptOffer],
    tables: CellTables,
    policy: CellPolicy,
    *,
    usable: Collection[WorkerId],
    now: Seconds,
) -> PlacementPlan:
    """Place each offer that is not known yet, refuse it, or make room for it.

    An offer that cannot wait is neither placed nor refused while batch attempts
    give way to it; the ledger repeats it.

    Parameters
    ----------
    usable : collection of WorkerId
        The workers that have answered this owner lately.
    """
    placing = PlacementPlan(
        {
            name: WorkerRoom(name, row.rack, row.capacity, row.free)
            for name, row in state.workers.items()
            if name in usable
        }
    )
    with _restore_residents(state, placing):
        for offer in sorted(offers, key=lambda o: (not _cannot_wait(o), -o.priority)):
            if not is_known(state, offer):
                _place(offer, state, placing, tables, policy, now)
    return placing


def is_known(state: CellState, offer: AttemptOffer) -> bool:
    """Return whether the cell has placed or closed the attempt, or a later one."""
    known = state.attempts.get(offer.task)
    return known is not None and known.attempt >= offer.attempt


def decline_offers(
    state: CellState, offers: Iterable[AttemptOffer], reason: str
) -> list[AnyRecord]:
    """Return a refusal for each offer that is not known yet."""
    return [
        _decline(offer, AttemptOutcome.DECLINED, reason)
        for offer in offers
        if not is_known(state, offer)
    ]


@contextmanager
def _restore_residents(state: CellState, placing: PlacementPlan) -> Iterator[None]:
    """Count what is being placed among the residents, until it is done."""
    try:
        yield
    finally:
        for placed in placing.placed:
            state.residents.remove(placed, placing.workers[placed.worker].rack)


def _place(
    offer: AttemptOffer,
    state: CellState,
    placing: PlacementPlan,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> None:
    if offer.cancelled:
        reason = "cancelled before its start"
        placing.records.append(_decline(offer, AttemptOutcome.CANCELLED, reason))
        return
    worker = _choose(offer, state, placing, tables, policy, now)
    if worker is not None:
        _take(offer, worker, state, placing, tables)
    elif not _make_room(offer, state, placing, tables, now):
        reason = "no worker has room"
        placing.records.append(_decline(offer, AttemptOutcome.DECLINED, reason))


def _choose(
    offer: AttemptOffer,
    state: CellState,
    placing: PlacementPlan,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> WorkerId | None:
    reserved = frozenset() if _cannot_wait(offer) else tables.holds.list_reserved(now)
    rooms = [room for room in placing.workers.values() if room.worker not in reserved]
    demand = Demand(
        offer.kind,
        offer.resources,
        offer.task_class,
        offer.service,
        draw_share(offer.task, offer.attempt),
        frozenset(offer.avoid),
    )
    return choose_worker(rooms, demand, state.residents, tables, policy, now)


def _take(
    offer: AttemptOffer,
    worker: WorkerId,
    state: CellState,
    placing: PlacementPlan,
    tables: CellTables,
) -> None:
    room = placing.workers[worker]
    placed = AttemptPlaced(
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
        priority=offer.priority,
        urgent=offer.urgent,
    )
    free = room.free - offer.resources
    placing.workers[worker] = WorkerRoom(worker, room.rack, room.capacity, free)
    state.residents.add(placed, room.rack)
    placing.placed.append(placed)
    placing.records.append(placed)
    tables.holds.release(offer.task)


def _make_room(
    offer: AttemptOffer,
    state: CellState,
    placing: PlacementPlan,
    tables: CellTables,
    now: Seconds,
) -> bool:
    """Return whether room is being made for the offer."""
    if not _cannot_wait(offer):
        return False
    if tables.holds.is_held(offer.task, now):
        return True
    if offer.task in tables.holds.rows:
        tables.holds.release(offer.task)
        return False
    reserved = tables.holds.list_reserved(now)
    rooms = [
        PreemptionRoom(
            room.worker, room.free, _list_batch(offer, room, state, tables, now)
        )
        for room in placing.workers.values()
        if room.worker not in reserved and tables.health.may_take(room.worker, now)
    ]
    plan = plan_preemption(
        rooms, offer.resources, below_priority=math.inf, most=MOST_VICTIMS
    )
    if plan is None or not tables.holds.budget.take(now, len(plan.victims)):
        return False
    tables.holds.hold(offer.task, plan.worker, now)
    placing.evictions.extend(victim.task for victim in plan.victims)
    return True


def _list_batch(
    offer: AttemptOffer,
    room: WorkerRoom,
    state: CellState,
    tables: CellTables,
    now: Seconds,
) -> list[Preemptible]:
    critical = offer.task_class is TaskClass.LATENCY_CRITICAL
    placed = [state.open_attempts[task] for task in state.workers[room.worker].attempts]
    return [
        Preemptible(
            row.task,
            row.attempt,
            row.priority,
            row.resources,
            tables.progress.find_unsaved(row.task, now)
            * row.resources.millicores
            / 1000,
        )
        for row in placed
        if row.task_class is TaskClass.BATCH and (critical or not row.urgent)
    ]


def _cannot_wait(offer: AttemptOffer) -> bool:
    return offer.urgent or offer.task_class is TaskClass.LATENCY_CRITICAL


def _decline(
    offer: AttemptOffer, outcome: AttemptOutcome, reason: str
) -> AttemptClosed:
    return AttemptClosed(
        offer.task, offer.attempt, outcome, offer.checkpoint, offer.ledger, reason
    )
