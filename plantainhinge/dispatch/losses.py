"""Attempts that end with their workers, and tasks that are given up for them.

A crash takes along all that ran on a worker, and at most one of these tasks caused it.
So a lost attempt makes its task a suspect, no more. The losses are part of a job's
progress and live as long as the task.
"""

import logging
from collections.abc import Iterable

import msgspec

from ..core.ids import AttemptNumber, WorkerId
from ..core.log_events import write_event
from ..fleet.model import WorkerState
from ..jobs.model import FINAL_JOB_STATES, JobState
from ..jobs.records import LostAttempt
from .log_events import (
    AttemptLost,
    LeaseExpired,
    LossFields,
    TaskGivenUp,
    WithheldLetGo,
    describe_attempt,
    name_key,
)
from .model import Attempt, Task, Worker
from .outages import LossCause, Outage
from .scheduling_state import SchedulingState
from .suspicion import is_on_trial, measure_suspicion
from .tasks import end_job, find_task, release_attempt

logger = logging.getLogger(__name__)

CRASH_CAUSES = frozenset({LossCause.RESTARTED, LossCause.REPLACED})
# workers that are lost within this time of each other probably have one cause
SHARED_SECONDS = 1.0
# at least so many of them, and such a share of all workers
SHARED_WORKERS_MIN = 3
SHARED_RATIO_MIN = 0.08
# an attempt that is lost sooner after its order may be the cause, however many workers
# are lost with it
FRESH_SECONDS = 1.0
# a task is given up if it is suspected so much, if a crash in a trial adds to that, or
# after so many losses in any case; at least so many of them are known to be crashes
SUSPICION_MAX = 4
SUSPICION_TRIED_MAX = 3
LOSSES_MAX = 5
CRASHES_MIN = 2
# after running for this long, a long-running task is no longer suspected
CLEARING_SECONDS = 600.0


def lose_attempts(
    cell: SchedulingState,
    worker: Worker,
    attempts: Iterable[Attempt],
    cause: LossCause,
    *,
    now: float,
) -> None:
    """Release attempts that ended with their worker, and count the losses."""
    if worker.entry.state is WorkerState.DRAINING:
        cause = LossCause.LEFT
    note_outage(cell, worker, now=now)
    shared = is_shared(cell, worker.name)
    lost = list(attempts)
    for attempt in lost:
        cell.losses[cause] += 1
        if cause is not LossCause.LEFT:
            record = LostAttempt(
                attempt=attempt.number,
                worker=worker.name,
                incarnation=attempt.incarnation,
                confirmed=cause in CRASH_CAUSES,
                shared=shared and not is_fresh(attempt, now=now),
                on_trial=is_on_trial(attempt),
            )
            add_loss(cell, attempt.task, record)
        _log_loss(cell, attempt, cause, now=now)
    for attempt in lost:
        release_attempt(cell, attempt, now=now)
    for attempt in lost:
        give_up(cell, attempt.task, now=now)


def lose_withheld(
    cell: SchedulingState, worker: Worker, cause: LossCause, *, now: float
) -> None:
    """Count the losses of tasks that an earlier owner's silent worker may have run."""
    withheld = cell.withheld_tasks.get(worker.name, frozenset())
    if withheld:
        event = WithheldLetGo(worker=worker.name, tasks=len(withheld), cause=cause)
        write_event(logger, event)
    if worker.entry.state is WorkerState.DRAINING:
        return
    note_outage(cell, worker, now=now)
    for key in withheld:
        task = find_task(cell, key)
        if task is None or task.attempts or _is_counted(task, worker):
            continue
        task.last_attempt = max(task.last_attempt, 1)
        record = LostAttempt(
            attempt=AttemptNumber(task.last_attempt),
            worker=worker.name,
            incarnation=worker.incarnation,
            confirmed=cause in CRASH_CAUSES,
            shared=is_shared(cell, worker.name),
        )
        add_loss(cell, task, record)
        give_up(cell, task, now=now)


def _is_counted(task: Task, worker: Worker) -> bool:
    """Return whether a task's loss on a worker is known from the log."""
    lost_on = {(loss.worker, loss.incarnation) for loss in task.losses}
    return (worker.name, worker.incarnation) in lost_on


def note_outage(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    """Note that a worker fell silent or restarted, unless that is known."""
    known = cell.outages.get(worker.name)
    if known is None or known.incarnation != worker.incarnation:
        cell.outages[worker.name] = Outage(now, worker.incarnation)
        _log_pending(cell, worker, now=now)


def _log_pending(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    """Let the log tell which suspects may be lost with a worker that fell silent."""
    if worker.entry.state is WorkerState.DRAINING:
        return
    shared = is_shared(cell, worker.name)
    for attempt in worker.attempts.values():
        job = attempt.task.step.job
        is_innocent = shared and not is_fresh(attempt, now=now)
        if not is_innocent and job.state not in FINAL_JOB_STATES:
            cell.dirty[job.job_id] = job


def is_fresh(attempt: Attempt, *, now: float) -> bool:
    """Return whether an attempt hadn't run for long when its worker was lost."""
    return measure_run(attempt, now=now) < FRESH_SECONDS


def add_loss(cell: SchedulingState, task: Task, record: LostAttempt) -> None:
    """Add a loss to its task, unless it is known already or no longer matters."""
    job = task.step.job
    if task.done or job.state in FINAL_JOB_STATES:
        return
    known = {(loss.attempt, loss.worker) for loss in task.losses}
    if (record.attempt, record.worker) not in known:
        task.losses.append(record)
        watch_unconfirmed(cell, task)
        cell.dirty[job.job_id] = job


def watch_unconfirmed(cell: SchedulingState, task: Task) -> None:
    """Remember the workers of which it isn't known whether they crashed."""
    for loss in task.losses:
        if not loss.confirmed:
            cell.unconfirmed_losses.setdefault(loss.worker, set()).add(task)


def explain_losses(
    cell: SchedulingState, worker: WorkerId, *, survivor: int | None, now: float
) -> None:
    """Judge the unconfirmed losses on a worker, which answers or was replaced.

    Parameters
    ----------
    survivor : int, optional
        The incarnation that answers: what it ran was stopped by the end of its lease.
        None if the worker was replaced.
    """
    for task in cell.unconfirmed_losses.pop(worker, ()):
        losses = [_explain(loss, worker, survivor) for loss in task.losses]
        task.losses = [loss for loss in losses if loss is not None]
        if task.step.job.state not in FINAL_JOB_STATES:
            cell.dirty[task.step.job.job_id] = task.step.job
            give_up(cell, task, now=now)


def _explain(
    loss: LostAttempt, worker: WorkerId, survivor: int | None
) -> LostAttempt | None:
    if loss.worker != worker or loss.confirmed:
        return loss
    if survivor is not None and loss.incarnation >= survivor:
        return None
    return msgspec.structs.replace(loss, confirmed=True)


def is_shared(cell: SchedulingState, worker: WorkerId) -> bool:
    """Return whether many workers were lost at about the same time as this one.

    They probably have a cause in common, so it says little about what each of them ran.
    """
    at = cell.outages[worker].at
    lost = sum(
        abs(outage.at - at) <= SHARED_SECONDS for outage in cell.outages.values()
    )
    known = sum(
        worker.has_answered
        or worker.listed_at == float("-inf")
        or worker.name in cell.outages
        for worker in cell.workers.values()
    )
    return lost >= max(SHARED_WORKERS_MIN, SHARED_RATIO_MIN * known)


def give_up(cell: SchedulingState, task: Task, *, now: float) -> None:
    """Fail the job of a task that is shown to crash its workers."""
    job = task.step.job
    if job.state in FINAL_JOB_STATES or task.done or not is_convicted(task.losses):
        return
    event = TaskGivenUp(
        job=job.job_id,
        task=name_key(task.key),
        attempts=tuple(loss.attempt for loss in task.losses),
        workers=tuple(loss.worker for loss in task.losses),
        crashes=sum(loss.confirmed for loss in task.losses),
    )
    write_event(logger, event)
    end_job(cell, job, JobState.FAILED, now=now)


def is_convicted(losses: list[LostAttempt]) -> bool:
    """Return whether the losses show that the task itself crashes its workers."""
    crashes = sum(loss.confirmed for loss in losses)
    if crashes < CRASHES_MIN:
        return False
    is_tried = any(
        loss.on_trial and loss.confirmed and not loss.shared for loss in losses
    )
    suspicion_max = SUSPICION_TRIED_MAX if is_tried else SUSPICION_MAX
    return measure_suspicion(losses) >= suspicion_max or len(losses) >= LOSSES_MAX


def clear_task(cell: SchedulingState, attempt: Attempt, *, now: float) -> None:
    """Forget the losses of a long-running task that has run for long enough."""
    task = attempt.task
    if task.losses and now - attempt.confirmed_at >= CLEARING_SECONDS:
        task.losses.clear()
        cell.dirty[task.step.job.job_id] = task.step.job


def _log_loss(
    cell: SchedulingState, attempt: Attempt, cause: LossCause, *, now: float
) -> None:
    about = describe_attempt(attempt)
    loss = LossFields(
        ran_s=round(measure_run(attempt, now=now), 3),
        beside=len(attempt.worker.attempts) - 1,
        losses=len(attempt.task.losses),
        epoch=cell.epoch,
        unconfirmed_s=round(cell.measure_unconfirmed(now=now), 3),
    )
    if cause is LossCause.SILENT:
        write_event(logger, LeaseExpired(about=about, loss=loss))
    else:
        write_event(logger, AttemptLost(about=about, loss=loss, cause=cause))


def measure_run(attempt: Attempt, *, now: float) -> float:
    """Return the seconds from an attempt's first order until its worker fell silent."""
    worker = attempt.worker
    end = now if worker.reachable else worker.unreachable_since
    return max(0.0, end - attempt.ordered_at)
