"""Handover of state from one owner of the cell to the next, through the log.

A new owner starts an inherited task only once it knows that no worker runs it. Workers
that answer tell it. Of a worker that was silent already, the handover tells it, since
the earlier owner then started nothing more there; only what may run on that worker has
to wait for the end of its lease. The load that this answers is a change of the owner
while workers are down.
"""

from ..core.ids import KindId, Seconds
from ..fleet.handover import Handover, PairWeight, SilentWorker, StepLoad
from .leases import assume_earlier_leases
from .model import (
    Attempt,
    AttemptPhase,
    HandoverMark,
    OpenJob,
    OpenStep,
    Worker,
    bind_attempt,
)
from .scheduling_state import SchedulingState

HANDOVER_INTERVAL_SECONDS = 3.0
# decimal places of a logged weight
WEIGHT_DIGITS = 2
# attempts on silent workers in one handover, so that it stays a small record
SILENT_ATTEMPTS_MAX = 1000


def prepare_handover(cell: SchedulingState, *, now: float) -> Handover | None:
    """Return the handover to log, or None if none is due.

    One is due every ``HANDOVER_INTERVAL_SECONDS``, and at once when a worker appears,
    falls silent or answers again. Silent workers are closed to new attempts from here
    on, since the record may reach the log at any time.
    """
    is_due = now - cell.handover_written_at >= HANDOVER_INTERVAL_SECONDS
    if not cell.workers or not (is_due or _is_any_misnamed(cell)):
        return None
    cell.handover_written_at = now
    silent = _close_silent_workers(cell)
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
        silent=silent,
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


def _is_any_misnamed(cell: SchedulingState) -> bool:
    """Return whether the logged handover should say something else of a worker."""
    silent = {worker.name for worker in _list_known_silent(cell)}
    return any(
        worker.handover is HandoverMark.MISSING
        or (worker.handover is HandoverMark.OPEN and worker.name in silent)
        or (worker.handover is HandoverMark.CLOSED and worker.reachable)
        for worker in cell.workers.values()
    )


def _list_known_silent(cell: SchedulingState) -> list[Worker]:
    """Return the silent workers of which all that may run there is bound to them.

    The list is empty if they are so many that the owner itself is probably cut off.
    """
    silent = [
        worker
        for worker in cell.workers.values()
        if not worker.reachable
        and worker.name not in cell.unverified_workers
        and (
            worker.answered_at > cell.started_at
            or worker.handover is HandoverMark.CLOSED
        )
    ]
    total = sum(len(worker.attempts) for worker in silent)
    return silent if total <= SILENT_ATTEMPTS_MAX else []


def _close_silent_workers(cell: SchedulingState) -> tuple[SilentWorker, ...]:
    """Close the silent workers to new attempts and return what may run there."""
    silent = _list_known_silent(cell)
    for worker in silent:
        worker.handover = HandoverMark.CLOSED
    return tuple(
        SilentWorker(
            worker.name,
            tuple(
                (attempt.task.key, attempt.number)
                for attempt in worker.attempts.values()
            ),
        )
        for worker in silent
    )


def confirm_handover(cell: SchedulingState, handover: Handover) -> None:
    """Allow starts on the workers that a logged handover doesn't name as silent."""
    silent = {row.worker for row in handover.silent}
    for entry in handover.workers:
        worker = cell.workers.get(entry.worker)
        if worker is not None and entry.worker not in silent:
            worker.handover = HandoverMark.OPEN


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
    silent = {row.worker: row.attempts for row in handover.silent}
    for entry in handover.workers:
        is_silent = entry.worker in silent
        mark = HandoverMark.CLOSED if is_silent else HandoverMark.OPEN
        worker = Worker(entry, entry.incarnation, listed=False, handover=mark)
        assume_earlier_leases(worker, cell.earlier_lease_max, now=now)
        cell.workers[entry.worker] = worker
        if not is_silent:
            cell.unverified_workers.add(entry.worker)
        for task, number in silent.get(entry.worker, ()):
            cell.silent_attempts.setdefault(task, []).append((worker, number))
    for load in handover.loads:
        cell.inherited_loads[load.job, load.occurrence, load.step] = load.curve
    for job in cell.jobs.values():
        restore_job(cell, job, now=now)


def restore_job(cell: SchedulingState, job: OpenJob, *, now: float) -> None:
    """Restore what the handover says of an inherited job."""
    bind_silent_attempts(cell, job, now=now)
    if not cell.inherited_loads:
        return
    for occurrence, steps in job.occurrences.items():
        for step in steps:
            key = (job.job_id, occurrence, step.index)
            curve = cell.inherited_loads.pop(key, None)
            if curve is not None and step.spec.target_seconds:
                offset = cell.clock_offset
                step.own_load.restore(curve, clock_offset=offset, now=now)


def bind_silent_attempts(cell: SchedulingState, job: OpenJob, *, now: float) -> None:
    """Bind a job's attempts that may run on workers that were silent already.

    They are released like any other: by a report of the worker, or by the end of its
    lease.
    """
    if not cell.silent_attempts:
        return
    for task in job.list_tasks():
        if task.done:
            continue
        for worker, number in cell.silent_attempts.pop(task.key, ()):
            task.last_attempt = max(task.last_attempt, number)
            bind_attempt(Attempt(task, number, worker, AttemptPhase.RUNNING, now, now))
            if task in task.step.waiting:
                task.step.waiting.remove(task)
