"""Places offered attempts on the workers of a cell, by preemption if needed."""

import math
from collections.abc import Collection, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..core.ids import Seconds, TaskId, WorkerId
from ..core.messages import AttemptOffer
from ..core.records import AnyRecord, AttemptClosed, AttemptPlaced
from ..core.states import AttemptOutcome, TaskClass
from ..placement.holds import MAX_VICTIMS
from ..placement.preemption import (
    PreemptibleAttempt,
    PreemptibleWorker,
    plan_preemption,
)
from ..placement.scores import Demand, hash_to_fraction
from ..placement.workers import CellPolicy, CellTables, WorkerResources, choose_worker
from .cell import CellState


@dataclass
class PlacementPlan:
    """Placements decided in one pass, not yet part of the replayed state.

    Parameters
    ----------
    workers : dict
        Usable workers, with the resources that this pass leaves free.
    records : list
        Placements and declines to propose.
    placed : list of AttemptPlaced
        The placements among ``records``.
    evictions : list of TaskId
        Batch attempts to stop to free capacity for held offers.
    """

    workers: dict[WorkerId, WorkerResources]
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
    """Place or decline each offer that the cell doesn't know yet, or preempt for it.

    An urgent offer is neither placed nor declined while batch attempts are being
    evicted for it; the ledger keeps sending it until it is one or the other.

    Parameters
    ----------
    usable : collection of WorkerId
        Workers that have answered this owner recently.
    """
    plan = PlacementPlan(
        {
            name: WorkerResources(name, row.rack, row.capacity, row.free)
            for name, row in state.workers.items()
            if name in usable
        }
    )
    with _track_occupancy(state, plan):
        for offer in sorted(offers, key=lambda o: (not _is_urgent(o), -o.priority)):
            if not is_known(state, offer):
                _place(offer, state, plan, tables, policy, now)
    return plan


def is_known(state: CellState, offer: AttemptOffer) -> bool:
    """Return whether the cell has placed or closed this attempt or a later one."""
    known = state.attempts.get(offer.task)
    return known is not None and known.attempt >= offer.attempt


def decline_offers(
    state: CellState, offers: Iterable[AttemptOffer], reason: str
) -> list[AnyRecord]:
    """Build the record that declines each offer that the cell doesn't know yet."""
    return [
        _decline(offer, AttemptOutcome.DECLINED, reason)
        for offer in offers
        if not is_known(state, offer)
    ]


@contextmanager
def _track_occupancy(state: CellState, plan: PlacementPlan) -> Iterator[None]:
    """Remove the pass's placements from the occupancy table when the pass ends.

    During the pass they count as running, so that each choice sees the earlier
    ones; applying the proposed records adds them for good.
    """
    try:
        yield
    finally:
        for placed in plan.placed:
            state.occupancy.remove(placed, plan.workers[placed.worker].rack)


def _place(
    offer: AttemptOffer,
    state: CellState,
    plan: PlacementPlan,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> None:
    if offer.cancelled:
        reason = "cancelled before its start"
        plan.records.append(_decline(offer, AttemptOutcome.CANCELLED, reason))
        return
    worker = _choose_worker(offer, state, plan, tables, policy, now)
    if worker is not None:
        _place_on(offer, worker, state, plan, tables)
    elif not _preempt(offer, state, plan, tables, now):
        reason = "no worker has room"
        plan.records.append(_decline(offer, AttemptOutcome.DECLINED, reason))


def _choose_worker(
    offer: AttemptOffer,
    state: CellState,
    plan: PlacementPlan,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> WorkerId | None:
    reserved = frozenset() if _is_urgent(offer) else tables.holds.list_reserved(now)
    candidates = [row for row in plan.workers.values() if row.worker not in reserved]
    demand = Demand(
        offer.kind,
        offer.resources,
        offer.task_class,
        offer.service,
        hash_to_fraction(offer.task, offer.attempt),
        frozenset(offer.avoid),
    )
    return choose_worker(candidates, demand, state.occupancy, tables, policy, now)


def _place_on(
    offer: AttemptOffer,
    worker: WorkerId,
    state: CellState,
    plan: PlacementPlan,
    tables: CellTables,
) -> None:
    candidate = plan.workers[worker]
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
    free = candidate.free - offer.resources
    plan.workers[worker] = WorkerResources(
        worker, candidate.rack, candidate.capacity, free
    )
    state.occupancy.add(placed, candidate.rack)
    plan.placed.append(placed)
    plan.records.append(placed)
    tables.holds.release(offer.task)


def _preempt(
    offer: AttemptOffer,
    state: CellState,
    plan: PlacementPlan,
    tables: CellTables,
    now: Seconds,
) -> bool:
    """Return whether the offer is held while batch attempts are evicted for it."""
    if not _is_urgent(offer):
        return False
    if tables.holds.is_held(offer.task, now):
        return True
    if offer.task in tables.holds.rows:  # expired without freeing enough
        tables.holds.release(offer.task)
        return False
    reserved = tables.holds.list_reserved(now)
    candidates = [
        PreemptibleWorker(
            row.worker, row.free, _list_preemptible(offer, row, state, tables, now)
        )
        for row in plan.workers.values()
        if row.worker not in reserved and tables.health.is_eligible(row.worker, now)
    ]
    preemption = plan_preemption(
        candidates, offer.resources, below_priority=math.inf, max_victims=MAX_VICTIMS
    )
    if preemption is None or not tables.holds.budget.take(now, len(preemption.victims)):
        return False
    tables.holds.hold(offer.task, preemption.worker, now)
    plan.evictions.extend(victim.task for victim in preemption.victims)
    return True


def _list_preemptible(
    offer: AttemptOffer,
    candidate: WorkerResources,
    state: CellState,
    tables: CellTables,
    now: Seconds,
) -> list[PreemptibleAttempt]:
    critical = offer.task_class is TaskClass.LATENCY_CRITICAL
    placed = [
        state.open_attempts[task] for task in state.workers[candidate.worker].attempts
    ]
    return [
        PreemptibleAttempt(
            row.task,
            row.attempt,
            row.priority,
            row.resources,
            tables.progress.get_unsaved_seconds(row.task, now)
            * row.resources.millicores
            / 1000,
        )
        for row in placed
        if row.task_class is TaskClass.BATCH and (critical or not row.urgent)
    ]


def _is_urgent(offer: AttemptOffer) -> bool:
    return offer.urgent or offer.task_class is TaskClass.LATENCY_CRITICAL


def _decline(
    offer: AttemptOffer, outcome: AttemptOutcome, reason: str
) -> AttemptClosed:
    return AttemptClosed(
        offer.task, offer.attempt, outcome, offer.checkpoint, offer.ledger, reason
    )
