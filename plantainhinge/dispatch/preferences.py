"""Preferences, which keep a task off a worker only as long as it has a choice.

A worker that was faulty runs one attempt at a time, its probe, until that one shows
that it is well. This keeps work from a worker that fails everything. A job that has
nothing running and finds no other worker must not wait for the probe, however long it
takes: its task starts there as well, and is the probe from then on.
"""

from collections.abc import Collection, Iterable

from .model import Task, Worker
from .weights import ImageWeights
from .worker_choice import (
    choose_scored,
    holds_ticket,
    list_fitting_workers,
    may_fit_later,
)

# how long a task waits for workers that it prefers, and the shortest time between the
# starts of two attempts on a worker that may be faulty
YIELD_SECONDS = 1.0
# share of all processors below which the workers are lightly used
LIGHT_USE_RATIO = 0.5


def choose_unpreferred(
    task: Task, workers: Collection[Worker], weights: ImageWeights, *, now: float
) -> Worker | None:
    """Return the best worker for a task that has no choice; None if it should wait.

    Parameters
    ----------
    workers : collection of Worker
        Workers of the task's service that accept new work, none of which it prefers.
    """
    candidates = [
        worker
        for worker in list_unpreferred(task, workers, now=now)
        if holds_ticket(task.step, worker, now=now)
    ]
    return choose_scored(task, candidates, weights, now=now)


def list_unpreferred(
    task: Task, workers: Collection[Worker], *, now: float
) -> list[Worker]:
    """Return the workers that a task may take for want of others, given a ticket."""
    if not has_waited(task, now=now):
        return []
    probed = [worker for worker in workers if worker.probe is not None]
    yielding = [worker for worker in probed if _may_yield(worker, now=now)]
    fitting = list_fitting_workers(task.step, yielding, now=now)
    unpreferred = [each for each in fitting if each.name not in task.avoided_workers]
    if not unpreferred or not _is_idle(task) or _has_choice(task, workers, unpreferred):
        return []
    return unpreferred


def is_lightly_used(workers: Iterable[Worker]) -> bool:
    """Return whether most processors of some workers are free."""
    total = used = 0
    for worker in workers:
        total += worker.entry.capacity.millicores
        used += worker.committed.millicores
    return used < LIGHT_USE_RATIO * total


def has_waited(task: Task, *, now: float) -> bool:
    """Return whether a task has waited for what it prefers for long enough."""
    waiting_since = max(task.waiting_since, task.step.unplaced_since)
    return now - waiting_since >= YIELD_SECONDS


def _may_yield(worker: Worker, *, now: float) -> bool:
    """Return whether a worker may take another attempt beside its probe."""
    probe = worker.probe
    return (
        probe is not None
        and worker.trial is None
        and now - probe.ordered_at >= YIELD_SECONDS
    )


def _is_idle(task: Task) -> bool:
    """Return whether a job has nothing running; each long-running task counts alone.

    The members of a gang are placed together, so they don't count for each other.
    """
    step = task.step
    if step.spec.long_running:
        return True
    together = step if step.spec.gang else None
    tasks = step.job.list_tasks()
    return not any(other.attempts for other in tasks if other.step is not together)


def _has_choice(
    task: Task, workers: Collection[Worker], unpreferred: list[Worker]
) -> bool:
    """Return whether a task should wait for one of the other workers.

    While the workers are lightly used, others are full for another reason than load.
    """
    if task.step.spec.long_running or is_lightly_used(workers):
        return False
    kept_off = {*task.avoided_workers, *(worker.name for worker in unpreferred)}
    return any(
        may_fit_later(task.step, worker)
        for worker in workers
        if worker.name not in kept_off
    )
