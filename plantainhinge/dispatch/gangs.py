"""Placement of gangs, whose tasks start together or not at all."""

from ..core.ids import AttemptNumber
from ..jobs.model import TaskKey
from . import avoidance, trials
from .bindings import bind_attempt, unbind_attempt
from .checkpoints import share_checkpoint
from .model import Attempt, AttemptPhase, OpenStep, Task, Worker
from .preferences import choose_unpreferred, has_waited
from .scheduling_state import SchedulingState
from .tasks import start_task
from .worker_choice import choose_worker, holds_ticket, list_fitting_workers
from .worker_pool import WorkerPool


def place_gang(
    cell: SchedulingState,
    step: OpenStep,
    pool: WorkerPool,
    withheld: frozenset[TaskKey],
    *,
    now: float,
) -> list[Attempt]:
    """Start all members of a gang or none, and return their attempts."""
    if not _all_wait(step, withheld):
        return []
    for task in step.tasks:
        avoidance.readmit_workers(task, pool.workers, now=now)
    if not _prepare_trials(cell, step, pool, now=now):
        return []
    number = max(task.last_attempt for task in step.tasks) + 1
    for group in _list_gang_candidates(step, pool.workers):
        chosen = _choose_group(cell, step, group, pool, number, now=now)
        if len(chosen) == len(step.tasks):
            share_checkpoint(step)
            return [
                _start_member(cell, task, worker, number, now=now)
                for task, worker in zip(_order_members(step), chosen, strict=True)
            ]
    return []


def _choose_group(
    cell: SchedulingState,
    step: OpenStep,
    workers: list[Worker],
    pool: WorkerPool,
    number: int,
    *,
    now: float,
) -> list[Worker]:
    """Return workers for the members of a gang, as far as there are any."""
    attempts: list[Attempt] = []
    for task in _order_members(step):
        worker = _choose_for_member(cell, task, workers, now=now)
        if worker is None:
            break
        attempt = Attempt(
            task, AttemptNumber(number), worker, AttemptPhase.ORDERED, now
        )
        # bound for the moment, so that the next choice sees less free capacity
        bind_attempt(attempt)
        pool.note_change(worker)
        attempts.append(attempt)
    for attempt in attempts:
        unbind_attempt(attempt)
    return [attempt.worker for attempt in attempts]


def _choose_for_member(
    cell: SchedulingState, task: Task, workers: list[Worker], *, now: float
) -> Worker | None:
    if task.trial is not None:
        fitting = list_fitting_workers(task.step, [task.trial.worker], now=now)
        return fitting[0] if fitting else None
    worker = choose_worker(task, workers, cell.weights, now=now)
    if worker is None and has_waited(task, now=now):
        worker = _choose_beside_trial(task, workers, now=now)
    if worker is None:
        worker = choose_unpreferred(task, workers, cell.weights, now=now)
    return worker


def _choose_beside_trial(
    task: Task, workers: list[Worker], *, now: float
) -> Worker | None:
    """Return the emptiest worker that is kept for trials of a task's own gang."""
    kept = [
        worker
        for worker in workers
        if worker.trial is not None
        and worker.trial.task.step is task.step
        and holds_ticket(task.step, worker, now=now)
    ]
    return max(
        list_fitting_workers(task.step, kept, now=now),
        key=lambda worker: worker.free_millicores,
        default=None,
    )


def _order_members(step: OpenStep) -> list[Task]:
    """Return a gang's members, those that are bound to a worker by a trial first."""
    return sorted(step.tasks, key=lambda task: task.trial is None)


def _prepare_trials(
    cell: SchedulingState, step: OpenStep, pool: WorkerPool, *, now: float
) -> bool:
    """Return whether all members of a gang that need a trial can start one.

    Each has a worker of its own, or shares one if there are too few for too long.
    """
    suspects = [task for task in step.tasks if trials.needs_trial(task)]
    ready = [
        trials.prepare_trial(cell, task, pool.workers, limit=len(pool.workers), now=now)
        for task in suspects
    ]
    for task in suspects:
        if task.trial is None and has_waited(task, now=now):
            trials.join_trial(cell, task, pool.workers, now=now)
    return all(ready)


def _start_member(
    cell: SchedulingState, task: Task, worker: Worker, number: int, *, now: float
) -> Attempt:
    attempt = start_task(cell, task, worker, number, now=now)
    if task.trial is not None:
        task.trial.attempt = attempt
    return attempt


def _all_wait(step: OpenStep, withheld: frozenset[TaskKey]) -> bool:
    """Return whether all tasks of a step wait, and none may still run elsewhere."""
    is_withheld = any(task.key in withheld for task in step.tasks)
    return len(step.waiting) == len(step.tasks) and not is_withheld


def _list_gang_candidates(step: OpenStep, workers: list[Worker]) -> list[list[Worker]]:
    """Return the sets of workers to try in turn, single racks first if preferred."""
    if not step.spec.same_rack:
        return [workers]
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return [*racks.values(), workers]
