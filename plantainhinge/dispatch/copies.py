"""Second attempts of tasks whose first one is slow or out of sight.

Answers the load of short jobs that wait for their last task: its worker turned slow,
fell silent or left the order unanswered. Where a step allows copies, one more attempt
starts on another worker, and the first that is done counts. Tasks that wait for room
go first.
"""

import logging
from statistics import median

from ..core.log_events import write_event
from .assignment import list_pools
from .cell_tables import CellTables
from .log_events import CopyOrdered, describe_run
from .placing import choose_worker
from .tables import Run, RunPhase
from .tasks import start_task

logger = logging.getLogger(__name__)

LOOK_SECONDS = 0.1
# how many times as long as a new attempt the slow one must need still
GAIN_FACTOR = 1.5
# time beyond its estimate after which an attempt without known progress is slow
UNSEEN_SECONDS = 1.2
# time after which an order without an answer may be carried out much later
UNANSWERED_SECONDS = 0.3


def copy_slow(cell: CellTables, *, now: float) -> None:
    """Order a second attempt for each task that would gain by it."""
    if now < cell.copied_at + LOOK_SECONDS:
        return
    cell.copied_at = now
    slow = [
        run
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if may_copy(run) and needs_copy(run, now=now)
    ]
    if not slow:
        return
    pools = list_pools(cell, now=now)
    for run in slow:
        pool = pools.get(run.task.step.job.record.policy.service, [])
        others = [worker for worker in pool if worker is not run.worker]
        target = choose_worker(run.task, others, cell.weights, now=now)
        if target is None:
            continue
        event = CopyOrdered(
            about=describe_run(run),
            target=target.name,
            left_s=estimate_left(run, now=now),
            fresh_s=expect_fresh(run),
        )
        write_event(logger, event)
        start_task(cell, run.task, target, run.task.attempt + 1, now=now)


def may_copy(run: Run) -> bool:
    """Return whether a task may have a second attempt and has none yet."""
    spec = run.task.step.spec
    return (
        spec.speculative
        and not spec.lasting
        and not spec.gang
        and len(run.task.runs) == 1
        and run.phase is not RunPhase.STOPPING
    )


def needs_copy(run: Run, *, now: float) -> bool:
    """Return whether a new attempt would surely be done before this one."""
    if not run.worker.in_touch:
        return True
    if run.phase is RunPhase.ORDERED:
        return now - run.ordered_at > UNANSWERED_SECONDS
    return estimate_left(run, now=now) > GAIN_FACTOR * expect_fresh(run)


def estimate_left(run: Run, *, now: float) -> float:
    """Return the seconds that an attempt needs at its speed so far."""
    total = project_total(run)
    unseen = now - run.confirmed_at
    if total is not None:
        return total - unseen
    estimate = run.task.step.spec.estimate
    return float("inf") if unseen > estimate + UNSEEN_SECONDS else estimate


def expect_fresh(run: Run) -> float:
    """Return the seconds that a new attempt is expected to need.

    Where most tasks of a step are slow, its estimate is wrong, not their workers.
    """
    step = run.task.step
    totals = [step.spec.estimate]
    for task in step.tasks:
        if task.done:
            totals.append(step.spec.estimate)
        totals.extend(
            total
            for other in task.runs
            if other.worker is not run.worker
            and (total := project_total(other)) is not None
        )
    return max(step.spec.estimate, median(totals))


def project_total(run: Run) -> float | None:
    """Return the seconds that an attempt takes in all at its speed so far."""
    worked = run.moved_at - run.confirmed_at
    if run.percent <= 0 or worked <= 0:
        return None
    # the percent is rounded down
    return worked * 100 / (run.percent + 1)
