"""Handover of state from one owner of the cell to the next, through the log."""

from ..core.ids import KindId, Seconds
from ..fleet.handover import Handover, PairWeight, StepLoad
from .leases import assume_earlier_leases
from .model import OpenJob, OpenStep, Worker
from .scheduling_state import SchedulingState

HANDOVER_INTERVAL_SECONDS = 3.0
# decimal places of a logged weight
WEIGHT_DIGITS = 2


def prepare_handover(cell: SchedulingState, *, now: float) -> Handover | None:
    """Return the handover to log, or None if none is due.

    One is due every ``HANDOVER_INTERVAL_SECONDS``, and at once when there is a new
    worker, since nothing is started on it until a logged handover names it.
    """
    any_new = any(not worker.in_handover for worker in cell.workers.values())
    if not any_new and now - cell.handover_written_at < HANDOVER_INTERVAL_SECONDS:
        return None
    if not cell.workers:
        return None
    cell.handover_written_at = now
    return Handover(
        workers=tuple(
            worker.entry
            for worker in cell.workers.values()
            if worker.listed or now < worker.latest_expiry
        ),
        pairs=tuple(
            PairWeight(serving, best_effort, round(estimate.weight, WEIGHT_DIGITS))
            for (serving, best_effort), estimate in cell.weights.estimates.items()
        ),
        lease_seconds=max(cell.earlier_lease_max, cell.terms.length),
        loads=tuple(
            StepLoad(
                step.job.job_id,
                step.occurrence,
                step.index,
                step.own_load.describe(cell.clock_offset),
            )
            for step in list_serving_steps(cell)
            if step.own_load.observed_at > float("-inf")
        ),
    )


def list_serving_steps(cell: SchedulingState) -> list[OpenStep]:
    """Return the open steps whose tasks serve requests."""
    return [
        step
        for job in cell.jobs.values()
        for steps in job.occurrences.values()
        for step in steps
        if step.spec.target_seconds
    ]


def confirm_handover(cell: SchedulingState, handover: Handover) -> None:
    """Allow starts on the workers of a handover that has been logged."""
    for entry in handover.workers:
        worker = cell.workers.get(entry.worker)
        if worker is not None:
            worker.in_handover = True


def apply_handover(
    cell: SchedulingState, handover: Handover, *, now: float, wall: Seconds
) -> None:
    """Restore the previous owner's handover, before the worker directory is read.

    Each of its workers may still run attempts under leases of that owner.
    """
    cell.clock_offset = Seconds(wall - now)
    if handover.lease_seconds:
        cell.earlier_lease_max = Seconds(handover.lease_seconds)
    for pair in handover.pairs:
        cell.weights.restore(
            KindId(pair.serving), KindId(pair.best_effort), pair.weight, Seconds(now)
        )
    for entry in handover.workers:
        worker = Worker(entry, entry.incarnation, listed=False, in_handover=True)
        assume_earlier_leases(worker, cell.earlier_lease_max, now=now)
        cell.workers[entry.worker] = worker
        cell.unverified_workers.add(entry.worker)
    for load in handover.loads:
        cell.inherited_loads[load.job, load.occurrence, load.step] = load.curve
    for job in cell.jobs.values():
        restore_loads(cell, job, now=now)


def restore_loads(cell: SchedulingState, job: OpenJob, *, now: float) -> None:
    """Restore the own loads of an inherited job's steps."""
    if not cell.inherited_loads:
        return
    for occurrence, steps in job.occurrences.items():
        for step in steps:
            key = (job.job_id, occurrence, step.index)
            curve = cell.inherited_loads.pop(key, None)
            if curve is not None and step.spec.target_seconds:
                offset = cell.clock_offset
                step.own_load.restore(curve, clock_offset=offset, now=now)
