"""Preferences, which keep a task off a worker only as long as it has a choice.

``placement_rules`` lists them. A job without a choice has nothing running, and the
workers that it prefers won't have room, or are full although all are lightly used.

A worker that was faulty runs one attempt at a time, its probe, until that one shows
that it is well. This keeps work from a worker that fails everything. A job that has
nothing running and finds no other worker must not wait for the probe, however long it
takes: its task starts there as well, and is the probe from then on. A trial, for which
a worker is kept as well, ends when another task starts beside it.
"""

from collections.abc import Collection, Iterable

from .model import OpenStep, Task, Trial, Worker
from .weights import ImageWeights
from .worker_choice import (
    Demand,
    choose_scored,
    holds_ticket,
    list_fitting_workers,
    may_fit_later,
    measure_demand,
    measure_spare_later,
    meets_constraints,
)

# how long a task waits for workers that it prefers, and the shortest time between the
# starts of two attempts on a worker that may be faulty
YIELD_SECONDS = 1.0
# pause after a search that found none, as there may be many waiting tasks
SEARCH_INTERVAL_SECONDS = 0.25
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
    """Return the workers that a task may take for want of others, given a ticket.

    A search that found none isn't repeated for ``SEARCH_INTERVAL_SECONDS``.
    """
    if not has_waited(task, now=now) or now < task.unpreferred_search_at:
        return []
    found = [
        *_list_kept(task, workers, now=now),
        *_list_tight(task, workers, now=now),
    ]
    if not found:
        task.unpreferred_search_at = now + SEARCH_INTERVAL_SECONDS
    return found


def _list_kept(task: Task, workers: Collection[Worker], *, now: float) -> list[Worker]:
    """Return the workers with probes or trials that a task may start beside."""
    kept = [
        worker
        for worker in workers
        if worker.probe is not None or worker.trial is not None
    ]
    yielding = [worker for worker in kept if _may_yield(worker, now=now)]
    fitting = list_fitting_workers(task.step, yielding, now=now)
    found = [each for each in fitting if each.name not in task.avoided_workers]
    if not found or not _is_idle(task) or _has_choice(task, workers, found):
        return []
    return found


def _list_tight(task: Task, workers: Collection[Worker], *, now: float) -> list[Worker]:
    """Return the workers where a task fits, though it leaves no headroom or is slow.

    New long-running tasks should leave some of a worker free for short-lived work, and
    best-effort tasks should find idle processors for most of their request. Neither is
    a reason to wait beside workers that are lightly used, or for processors that no
    worker will ever have.
    """
    step = task.step
    demand = measure_demand(step, now=now)
    if not demand.has_preferences or not _is_idle(task):
        return []
    needed = demand.drop_preferences().list_fitting(workers)
    found = [
        worker
        for worker in needed
        if worker.probe is None
        and worker.trial is None
        and worker.name not in task.avoided_workers
        and meets_constraints(step, worker)
    ]
    if not found or not (
        is_lightly_used(workers, best_effort=step.spec.best_effort)
        or _is_never_spare(step, demand, workers)
    ):
        return []
    return found


def _is_never_spare(
    step: OpenStep, demand: Demand, workers: Collection[Worker]
) -> bool:
    """Return whether no worker will have the idle processors that a task prefers."""
    if demand.spare_millicores is None:
        return False
    return not any(
        measure_spare_later(worker) >= demand.spare_millicores
        for worker in workers
        if meets_constraints(step, worker)
    )


def is_lightly_used(workers: Iterable[Worker], *, best_effort: bool = False) -> bool:
    """Return whether most processors of some workers are free.

    Parameters
    ----------
    best_effort : bool
        Whether what best-effort tasks use counts as well.
    """
    total = used = 0
    for worker in workers:
        total += worker.entry.capacity.millicores
        used += worker.committed.millicores
        if best_effort:
            used += worker.best_effort_millicores
    return used < LIGHT_USE_RATIO * total


def has_waited(task: Task, *, now: float) -> bool:
    """Return whether a task has waited for what it prefers for long enough."""
    waiting_since = max(task.waiting_since, task.step.unplaced_since)
    return now - waiting_since >= YIELD_SECONDS


def _may_yield(worker: Worker, *, now: float) -> bool:
    """Return whether a worker may take another attempt beside its probe or trial."""
    kept_since = float("-inf")
    if worker.probe is not None:
        kept_since = worker.probe.ordered_at
    if worker.trial is not None:
        kept_since = max(kept_since, _find_start(worker.trial))
    return now - kept_since >= YIELD_SECONDS


def _find_start(trial: Trial) -> float:
    """Return when a trial was ordered, or when its worker was reserved before that."""
    attempt = trial.attempt
    return attempt.ordered_at if attempt is not None else trial.reserved_at


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
