"""Workers that a task avoids, since an attempt of it failed or stalled there.

The fault may be the worker's, so the next attempt goes elsewhere if it can. It may also
be the task's own, so the task doesn't wait for other workers for good: they may be full
of work that never ends.
"""

from collections.abc import Iterable

from .model import Task, Worker
from .worker_choice import fits_when_empty

# how long a task waits for capacity on workers on which it hasn't failed, unless its
# next failure is the last one allowed
AVOIDANCE_SECONDS = 6.0
# the same for long-running tasks, which may fail any number of times
LONG_RUNNING_AVOIDANCE_SECONDS = 1.0


def avoid_worker(task: Task, worker: Worker) -> None:
    """Let a task avoid a worker for now."""
    task.avoided_workers.add(worker.name)


def readmit_workers(task: Task, workers: Iterable[Worker], *, now: float) -> None:
    """Clear a task's avoided workers if it need not wait for others any longer.

    Parameters
    ----------
    workers : iterable of Worker
        Workers of the task's service that accept new work.
    """
    if not task.avoided_workers:
        return
    if _has_waited(task, now=now) or not _fits_elsewhere(task, workers):
        task.avoided_workers.clear()


def _has_waited(task: Task, *, now: float) -> bool:
    """Return whether a task has waited for others for as long as it should."""
    waited = now - task.waiting_since
    if task.step.spec.long_running:
        return waited >= LONG_RUNNING_AVOIDANCE_SECONDS
    return waited >= AVOIDANCE_SECONDS and not _has_one_attempt_left(task)


def _has_one_attempt_left(task: Task) -> bool:
    policy = task.step.job.record.policy
    return len(task.failed_attempts) >= policy.attempts - 1


def _fits_elsewhere(task: Task, workers: Iterable[Worker]) -> bool:
    """Return whether a worker that the task doesn't avoid could ever run it."""
    return any(
        fits_when_empty(task.step, worker)
        for worker in workers
        if worker.name not in task.avoided_workers
    )
