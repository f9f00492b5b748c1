"""What an owner leaves for the next one, and what it takes from the last one."""

from ..core.ids import KindId, Seconds
from ..fleet.handover import Handover, PairWeight
from .cell_tables import CellTables
from .leases import expect_unknown_leases
from .tables import Worker

HANDOVER_SECONDS = 3.0
WEIGHT_DIGITS = 2


def take_handover(cell: CellTables, *, now: float) -> Handover | None:
    """Return the record for the next owner if it is due.

    It is due at once when a worker came that has had no start yet.
    """
    waiting = any(not worker.on_record for worker in cell.workers.values())
    if not waiting and now - cell.handover_at < HANDOVER_SECONDS:
        return None
    if not cell.workers:
        return None
    cell.handover_at = now
    return Handover(
        workers=tuple(
            worker.entry
            for worker in cell.workers.values()
            if worker.listed or now < worker.lapse_at
        ),
        pairs=tuple(
            PairWeight(serving, filling, round(row.weight, WEIGHT_DIGITS))
            for (serving, filling), row in cell.weights.rows.items()
        ),
        lease_seconds=max(cell.earlier_lease, cell.terms.length),
    )


def confirm_handover(cell: CellTables, handover: Handover) -> None:
    """Allow starts on the workers that the log names now."""
    for entry in handover.workers:
        worker = cell.workers.get(entry.worker)
        if worker is not None:
            worker.on_record = True


def take_over(cell: CellTables, handover: Handover, *, now: float) -> None:
    """Take in the last owner's record, before the directory of workers."""
    if handover.lease_seconds:
        cell.earlier_lease = Seconds(handover.lease_seconds)
    for pair in handover.pairs:
        cell.weights.set(
            KindId(pair.serving), KindId(pair.filling), pair.weight, Seconds(now)
        )
    for entry in handover.workers:
        worker = Worker(entry, entry.born, listed=False, on_record=True)
        expect_unknown_leases(worker, cell.earlier_lease, now=now)
        cell.workers[entry.worker] = worker
        cell.unseen.add(entry.worker)
