"""Gives the waiting tasks to workers, most urgent first."""

import logging

from ..core.ids import AttemptNumber, Seconds, ServiceId
from ..core.log_events import write_event
from ..jobs.model import FINAL_JOB_STATES
from .cell_tables import CellTables
from .log_events import StepPlaced, StepWaits, describe_step
from .placing import choose_worker, may_hold
from .queueing import order_steps, rank_step
from .tables import Run, RunPhase, StepRun, Task, Worker, bind, unbind
from .tasks import start_task

logger = logging.getLogger(__name__)


def place_waiting(cell: CellTables, *, now: float, wall: Seconds) -> None:
    """Start what fits of the tasks that wait."""
    waiting = list_waiting(cell)
    if not waiting:
        return
    pools = list_pools(cell, now=now)
    for step in order_steps(waiting, wall=wall):
        pool = pools.get(step.job.record.policy.service, [])
        if step.spec.gang:
            placed = _place_gang(cell, step, pool, now=now)
        else:
            placed = _place_step(cell, step, pool, now=now)
        _log_placing(step, placed, len(pool), now=now, wall=wall)


def list_pools(cell: CellTables, *, now: float) -> dict[ServiceId, list[Worker]]:
    """Return the workers that take new work, by service."""
    pools: dict[ServiceId, list[Worker]] = {}
    for worker in cell.workers.values():
        if worker.accepts(now) and worker.entry.domain not in cell.closed_domains:
            pools.setdefault(worker.entry.service, []).append(worker)
    return pools


def list_waiting(cell: CellTables) -> list[StepRun]:
    """Return the steps whose turn has come and that have tasks waiting."""
    waiting: list[StepRun] = []
    for job in cell.jobs.values():
        if job.state in FINAL_JOB_STATES or (job.inherited and cell.recovering):
            continue
        for steps in job.occurrences.values():
            waiting.extend(step for step in steps if step.waiting and step.ready)
    return waiting


def _place_step(
    cell: CellTables, step: StepRun, workers: list[Worker], *, now: float
) -> list[Run]:
    """Start what fits of a step's tasks and return their attempts."""
    placed: list[Run] = []
    for task in list(step.waiting):
        _forgive(task, workers)
        worker = choose_worker(task, workers, cell.weights, now=now)
        if worker is None:
            break
        run = start_task(cell, task, worker, task.attempt + 1, now=now)
        placed.append(run)
    return placed


def _forgive(task: Task, workers: list[Worker]) -> None:
    """Let a task return to workers that failed it, if no others could take it.

    While another one is merely full it waits: it may have one attempt left.
    """
    if not task.avoid:
        return
    others = (worker for worker in workers if worker.name not in task.avoid)
    if not any(may_hold(task.step, worker) for worker in others):
        task.avoid.clear()


def _place_gang(
    cell: CellTables, step: StepRun, workers: list[Worker], *, now: float
) -> list[Run]:
    """Start all members of a gang, or none, and return their attempts."""
    if len(step.waiting) < len(step.tasks):
        return []
    attempt = max(task.attempt for task in step.tasks) + 1
    for group in _group_for_gang(step, workers):
        runs: list[Run] = []
        for task in step.tasks:
            worker = choose_worker(task, group, cell.weights, now=now)
            if worker is None:
                break
            run = Run(task, AttemptNumber(attempt), worker, RunPhase.ORDERED, now)
            bind(run)
            runs.append(run)
        for run in runs:
            unbind(run)
        if len(runs) == len(step.tasks):
            return [
                start_task(cell, run.task, run.worker, attempt, now=now) for run in runs
            ]
    return []


def _group_for_gang(step: StepRun, workers: list[Worker]) -> list[list[Worker]]:
    """Return sets of workers to try in turn: single racks first, if that is faster."""
    if not step.spec.same_rack:
        return [workers]
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return [*racks.values(), workers]


def _log_placing(
    step: StepRun, placed: list[Run], workers: int, *, now: float, wall: Seconds
) -> None:
    """Write what was placed, and once for each step that something found no room."""
    if placed:
        event = StepPlaced(
            about=describe_step(step),
            positions=tuple(run.task.key.position for run in placed),
            attempts=tuple(run.attempt for run in placed),
            workers=tuple(run.worker.name for run in placed),
            urgency=rank_step(step, wall=wall)[1].name.lower(),
            late_s=round(wall - step.due, 3),
            waiting=len(step.waiting),
        )
        write_event(logger, event)
    if step.waiting and step.waits_since == float("inf"):
        step.waits_since = now
        request = step.spec.request
        waits = StepWaits(
            about=describe_step(step),
            waiting=len(step.waiting),
            millicores=request.millicores,
            memory_mib=request.memory_mib,
            workers=workers,
            urgency=rank_step(step, wall=wall)[1].name.lower(),
        )
        write_event(logger, waits)
