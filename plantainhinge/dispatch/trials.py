"""Runs tasks that may crash their workers apart from all others.

A task of which several attempts were lost with their workers either crashes them or had
bad luck. Its next attempt is a trial: on a worker of its own choice, where nothing else
has just started or starts meanwhile, and with the attempt in the log before its order
goes out. If that worker crashes as well, the task is what crashes it.
"""

from collections.abc import Iterable

from ..jobs.model import FINAL_JOB_STATES
from .bindings import close_trial
from .model import Attempt, AttemptPhase, Task, Trial, Worker
from .preferences import has_waited, is_lightly_used, list_unpreferred
from .scheduling_state import SchedulingState
from .suspicion import measure_suspicion
from .tasks import start_task
from .worker_choice import (
    count_room,
    holds_ticket,
    list_candidates,
    may_fit_later,
    measure_demand,
)

# suspicion from which the next attempt is a trial
TRIAL_SUSPICION_MIN = 2
# share of a service's workers on which trials may be held at a time
TRIAL_RATIO_MAX = 0.1
# what started on a worker so shortly before a trial has shown that it doesn't crash it
SETTLE_SECONDS = 0.3
# a trial that has run for this long no longer keeps other tasks off its worker
TRIAL_SECONDS = 2.0
# a worker is steady this long after it was listed, and after its last outage
STEADY_SECONDS = 5.0
# after waiting this long, a trial is held on any worker
PATIENCE_SECONDS = 5.0
RESERVATION_SECONDS_MAX = 10.0


def needs_trial(task: Task) -> bool:
    """Return whether a task's next attempt must be a trial."""
    return measure_suspicion(task.losses) >= TRIAL_SUSPICION_MIN


def advance_trial(
    cell: SchedulingState, task: Task, workers: list[Worker], *, now: float
) -> Attempt | None:
    """Reserve a worker for a trial, or start it there once all is prepared.

    Parameters
    ----------
    workers : list of Worker
        Workers of the task's service that accept new work.
    """
    limit = max(1, int(TRIAL_RATIO_MAX * len(workers)))
    if not prepare_trial(cell, task, workers, limit=limit, now=now):
        return None
    trial = task.trial
    assert trial is not None
    trial.attempt = start_task(cell, task, trial.worker, task.last_attempt + 1, now=now)
    return trial.attempt


def prepare_trial(
    cell: SchedulingState,
    task: Task,
    workers: list[Worker],
    *,
    limit: int,
    now: float,
) -> bool:
    """Reserve a worker for a trial; return whether the trial can start there.

    An attempt that has waited for long isn't kept back by the limit while the workers
    are lightly used.

    Parameters
    ----------
    limit : int
        Number of trials that may be held or prepared at a time.
    """
    trial = task.trial
    if trial is not None and not _is_usable(trial, workers, now=now):
        close_trial(trial)
        trial = None
    if trial is None:
        if has_waited(task, now=now) and is_lightly_used(workers):
            limit = len(workers)
        _reserve_worker(cell, task, workers, limit=limit, now=now)
        return False
    return trial.logged and now >= trial.reserved_at + SETTLE_SECONDS


def _is_usable(trial: Trial, workers: list[Worker], *, now: float) -> bool:
    """Return whether a reserved worker can still take the trial."""
    step = trial.task.step
    demand = measure_demand(step, now=now).drop_preferences()
    return (
        trial.worker in workers
        and bool(demand.list_fitting([trial.worker]))
        and holds_ticket(step, trial.worker, now=now)
    )


def _reserve_worker(
    cell: SchedulingState,
    task: Task,
    workers: list[Worker],
    *,
    limit: int,
    now: float,
) -> None:
    held = sum(worker.trial is not None for worker in workers)
    if held >= limit:
        return
    candidates = list_candidates(task, workers, now=now)
    if _is_patient(cell, task, workers, now=now):
        candidates = [
            worker
            for worker in candidates
            if not worker.suspects and _is_steady(cell, worker, now=now)
        ]
    if not candidates:
        candidates = [
            worker
            for worker in list_unpreferred(task, workers, now=now)
            if worker.trial is None and holds_ticket(task.step, worker, now=now)
        ]
    if not candidates:
        return
    worker = min(candidates, key=_measure_risk)
    worker.trial = _open_trial(cell, task, worker, reserved_at=now)


def _open_trial(
    cell: SchedulingState, task: Task, worker: Worker, *, reserved_at: float
) -> Trial:
    """Return a new trial, of which the log is to tell."""
    task.trial = Trial(task, worker, reserved_at)
    cell.unlogged_trials.append(task.trial)
    cell.dirty[task.step.job.job_id] = task.step.job
    return task.trial


def _is_patient(
    cell: SchedulingState, task: Task, workers: list[Worker], *, now: float
) -> bool:
    """Return whether a trial should wait for a steady worker without other suspects."""
    if now - task.waiting_since >= PATIENCE_SECONDS:
        return False
    return not has_waited(task, now=now) or any(
        not worker.suspects
        and _is_steady(cell, worker, now=now)
        and worker.name not in task.avoided_workers
        and may_fit_later(task.step, worker)
        for worker in workers
    )


def join_trial(
    cell: SchedulingState, task: Task, workers: Iterable[Worker], *, now: float
) -> None:
    """Let a member of a gang share the worker of another one's trial.

    The gang is judged as a whole then, which is enough: it fails as a whole.
    """
    step = task.step
    room_by_worker = {
        worker: _count_room_beside(worker, worker.trial, now=now)
        for worker in workers
        if worker.trial is not None and worker.trial.task.step is step
    }
    worker = max(room_by_worker, key=room_by_worker.__getitem__, default=None)
    if worker is None or worker.trial is None or room_by_worker[worker] <= 0:
        return
    reserved_at = worker.trial.reserved_at
    trial = _open_trial(cell, task, worker, reserved_at=reserved_at)
    worker.trial.companions.append(trial)


def _count_room_beside(worker: Worker, trial: Trial, *, now: float) -> int:
    """Return how many more members of a gang have room on the worker of a trial."""
    step = trial.task.step
    room = count_room(step, worker, most=len(step.tasks), now=now)
    return room - 1 - len(trial.companions)


def _is_steady(cell: SchedulingState, worker: Worker, *, now: float) -> bool:
    """Return whether a worker has been up long enough not to crash by itself soon."""
    outage = cell.outages.get(worker.name)
    is_settled = outage is None or now - outage.at >= STEADY_SECONDS
    return is_settled and now - worker.listed_at >= STEADY_SECONDS


def _measure_risk(worker: Worker) -> tuple[int, int]:
    """Return what a crash of a worker would cost; long-running tasks count most."""
    attempts = worker.attempts.values()
    lasting = sum(attempt.task.step.spec.long_running for attempt in attempts)
    return lasting, len(attempts)


def close_stale_trials(workers: Iterable[Worker], *, now: float) -> None:
    """Free the workers that are reserved for trials that won't start any more."""
    for worker in workers:
        trial = worker.trial
        if trial is None or trial.attempt is not None:
            continue
        task = trial.task
        is_waiting = (
            task in task.step.waiting and task.step.job.state not in FINAL_JOB_STATES
        )
        if not is_waiting or now - trial.reserved_at > RESERVATION_SECONDS_MAX:
            close_trial(trial)


def check_trial(worker: Worker, *, now: float) -> None:
    """Open a worker to other tasks once its trial has run for long enough."""
    trial = worker.trial
    if trial is None or trial.attempt is None:
        return
    attempt = trial.attempt
    is_running = attempt.phase is AttemptPhase.RUNNING and attempt.reported
    if is_running and now - attempt.confirmed_at >= TRIAL_SECONDS:
        close_trial(trial)
