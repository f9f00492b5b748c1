"""Workers that a task avoids, since an attempt of it failed or stalled there.

The fault may be the worker's, so the next attempt goes elsewhere if it can. It may also
be the task's own, so the task doesn't wait for other workers for good: they may be full
of work that never ends.
"""

from collections.abc import Collection

from .model import Task, Worker
from .preferences import is_lightly_used
from .worker_choice import fits_when_empty, may_fit_later

# how long a task waits for capacity on workers on which it hasn't failed
AVOIDANCE_SECONDS = 6.0
# the same if its next failure is the last one allowed
LAST_ATTEMPT_AVOIDANCE_SECONDS = 15.0
# the same for long-running tasks, which may fail any number of times
LONG_RUNNING_AVOIDANCE_SECONDS = 1.0
# the same if waiting is of little use: a job must not idle beside free capacity
SHORT_AVOIDANCE_SECONDS = 2.5


def avoid_worker(task: Task, worker: Worker) -> None:
    """Let a task avoid a worker for now."""
    task.avoided_workers |= {worker.name}


def readmit_workers(task: Task, workers: Collection[Worker], *, now: float) -> None:
    """Clear a task's avoided workers if it need not wait for others any longer.

    Parameters
    ----------
    workers : collection of Worker
        Workers of the task's service that accept new work.
    """
    if not task.avoided_workers:
        return
    others = [each for each in workers if each.name not in task.avoided_workers]
    has_waited = now - task.waiting_since >= _compute_wait_max(task, workers, others)
    if has_waited or not any(fits_when_empty(task.step, each) for each in others):
        task.avoided_workers = frozenset()


def _compute_wait_max(
    task: Task, workers: Collection[Worker], others: list[Worker]
) -> float:
    """Return the seconds for which a task should wait for other workers.

    Waiting is of little use while the workers are lightly used, since others are full
    for another reason than load then, and if none of them will have room.
    """
    if task.step.spec.long_running:
        return LONG_RUNNING_AVOIDANCE_SECONDS
    if is_lightly_used(workers) or not _will_fit(task, others):
        return SHORT_AVOIDANCE_SECONDS
    if _has_one_attempt_left(task):
        return LAST_ATTEMPT_AVOIDANCE_SECONDS
    return AVOIDANCE_SECONDS


def _will_fit(task: Task, workers: list[Worker]) -> bool:
    """Return whether any of some workers will have room once finite work has ended."""
    return any(may_fit_later(task.step, worker) for worker in workers)


def _has_one_attempt_left(task: Task) -> bool:
    policy = task.step.job.record.policy
    return len(task.failed_attempts) >= policy.attempts - 1
