"""Handover of state from one owner of the cell to the next, through the log.

A new owner starts an inherited task only once it knows that no worker runs it. Workers
that answer tell it. Of a worker that was silent already, the handover tells it, since
the earlier owner started nothing more there; only what may run on that worker waits for
its report or for the end of its lease.
"""

from ..core.ids import KindId, Seconds
from ..fleet.handover import Handover, PairWeight, SilentWorker, StepLoad
from ..jobs.model import TaskKey
from .leases import assume_lease, compute_duration_max
from .model import HandoverMark, OpenJob, OpenStep, Worker
from .scheduling_state import SchedulingState

HANDOVER_INTERVAL_SECONDS = 3.0
# flushes can follow each other much faster than this
CHECK_INTERVAL_SECONDS = 0.02
# new workers that answer within this time of a handover share the next one
NEW_INTERVAL_SECONDS = 0.05
# least time between handovers that only differ in which workers are silent
SILENCE_INTERVAL_SECONDS = 0.3
# a worker is named as silent this long after a call without an answer, since most
# answer the next one
SILENT_SECONDS = 0.3
# tasks on silent workers in one handover, so that it stays a small record
SILENT_TASKS_MAX = 1000
# with a larger share of all workers silent, the owner itself is probably cut off
SILENT_SHARE_MAX = 0.5
# decimal places of a logged weight
WEIGHT_DIGITS = 2


def prepare_handover(cell: SchedulingState, *, now: float) -> Handover | None:
    """Return the handover to log, or None if none is due.

    The workers that it names as silent or not at all are closed to new attempts from
    here on, since the record may reach the log at any time.
    """
    if not cell.workers or now < cell.handover_checked_at + CHECK_INTERVAL_SECONDS:
        return None
    cell.handover_checked_at = now
    if not _is_due(cell, now=now):
        return None
    cell.handover_written_at = now
    for worker in cell.workers.values():
        if not _may_run_attempts(worker, now=now):
            worker.handover = HandoverMark.MISSING
    return Handover(
        workers=tuple(worker.entry for worker in _list_named_workers(cell, now=now)),
        pairs=tuple(
            PairWeight(serving, best_effort, round(estimate.weight, WEIGHT_DIGITS))
            for (serving, best_effort), estimate in cell.weights.estimates.items()
        ),
        lease_seconds=_compute_longest_lease(cell, now=now),
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
        epoch=cell.epoch,
        silent=_close_silent_workers(cell, now=now),
    )


def _may_run_attempts(worker: Worker, *, now: float) -> bool:
    """Return whether a worker may run attempts, now or before the next handover.

    The directory has other writers. Nothing was ever started on a worker that has never
    answered, unless an earlier owner knew it.
    """
    return (
        (worker.listed and worker.has_answered)
        or now < worker.latest_expiry
        or bool(worker.attempts)
    )


def _list_named_workers(cell: SchedulingState, *, now: float) -> list[Worker]:
    return [
        worker for worker in cell.workers.values() if _may_run_attempts(worker, now=now)
    ]


def _compute_longest_lease(cell: SchedulingState, *, now: float) -> Seconds:
    """Return the longest lease that may still be valid, whichever owner granted it."""
    if now >= cell.earlier_leases_end:
        return cell.terms.length
    return max(cell.earlier_lease_max, cell.terms.length)


def _is_due(cell: SchedulingState, *, now: float) -> bool:
    """Return whether to write a handover.

    One is due every ``HANDOVER_INTERVAL_SECONDS``, almost at once when a new worker
    answers, since nothing is started on it before, and soon after a worker falls silent
    or answers again. After one that the log refused, the next may well be refused too.
    """
    elapsed = now - cell.handover_written_at
    if elapsed >= HANDOVER_INTERVAL_SECONDS:
        return True
    if cell.handover_refused:
        return False
    if cell.terms.length > cell.logged_lease:
        return True
    if elapsed >= NEW_INTERVAL_SECONDS and any(
        worker.handover is HandoverMark.MISSING and _may_run_attempts(worker, now=now)
        for worker in cell.workers.values()
    ):
        return True
    return elapsed >= SILENCE_INTERVAL_SECONDS and _is_silence_misnamed(cell, now=now)


def _is_silence_misnamed(cell: SchedulingState, *, now: float) -> bool:
    """Return whether the logged handover is wrong about a worker's silence."""
    silent = {worker.name for worker in _list_silent_workers(cell, now=now)}
    return any(
        (worker.handover is HandoverMark.OPEN and worker.name in silent)
        or (worker.handover is HandoverMark.CLOSED and worker.reachable)
        for worker in cell.workers.values()
    )


def _list_silent_workers(cell: SchedulingState, *, now: float) -> list[Worker]:
    """Return the silent workers of which it is known what may run there.

    There are none if they are most of all, or run so much, that the owner itself is
    probably cut off: it must not close them until the log answers.
    """
    named = _list_named_workers(cell, now=now)
    silent = [
        worker
        for worker in named
        if not worker.reachable
        and worker.name not in cell.unverified_workers
        and now - worker.unreachable_since > SILENT_SECONDS
    ]
    total = sum(len(worker.attempts) for worker in silent)
    is_cut_off = len(silent) > SILENT_SHARE_MAX * len(named)
    return [] if is_cut_off or total > SILENT_TASKS_MAX else silent


def _close_silent_workers(
    cell: SchedulingState, *, now: float
) -> tuple[SilentWorker, ...]:
    """Close the silent workers to new attempts and return what may run there."""
    silent = _list_silent_workers(cell, now=now)
    for worker in silent:
        worker.handover = HandoverMark.CLOSED
    return tuple(
        SilentWorker(worker.name, tuple(_list_possible_tasks(cell, worker)))
        for worker in silent
    )


def _list_possible_tasks(cell: SchedulingState, worker: Worker) -> list[TaskKey]:
    """Return the tasks that a silent worker may run, whichever owner started them."""
    tasks = {attempt.task.key for attempt in worker.attempts.values()}
    return sorted(tasks | cell.withheld_tasks.get(worker.name, frozenset()))


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
    """Allow starts on the workers that a logged handover doesn't name as silent."""
    cell.handover_refused = False
    cell.logged_lease = handover.lease_seconds
    silent = {row.worker for row in handover.silent}
    for entry in handover.workers:
        worker = cell.workers.get(entry.worker)
        if worker is not None and entry.worker not in silent:
            worker.handover = HandoverMark.OPEN


def apply_handover(
    cell: SchedulingState, handover: Handover, *, now: float, wall: Seconds
) -> None:
    """Restore the previous owner's handover, before the worker directory is read.

    Each of its workers may still run attempts under leases of that owner. What silent
    workers may run is known only if that owner was the one immediately before: another
    one may have started more there without logging a handover.
    """
    cell.clock_offset = Seconds(wall - now)
    cell.is_handover_known = handover.epoch > 0
    if handover.lease_seconds:
        cell.earlier_lease_max = Seconds(handover.lease_seconds)
        cell.logged_lease = handover.lease_seconds
    cell.earlier_leases_end = now + compute_duration_max(cell.earlier_lease_max)
    for pair in handover.pairs:
        cell.weights.restore(
            KindId(pair.serving), KindId(pair.best_effort), pair.weight, Seconds(now)
        )
    is_current = handover.epoch == cell.epoch - 1
    silent = {row.worker: row.tasks for row in handover.silent} if is_current else {}
    for entry in handover.workers:
        is_silent = entry.worker in silent
        mark = HandoverMark.CLOSED if is_silent else HandoverMark.OPEN
        worker = Worker(entry, entry.incarnation, listed=False, handover=mark)
        worker.unreachable_since = float("-inf") if is_silent else now
        assume_lease(worker, cell.earlier_lease_max, now=now)
        cell.workers[entry.worker] = worker
        if is_silent:
            cell.withheld_tasks[entry.worker] = frozenset(silent[entry.worker])
        else:
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
