"""Gives the waiting tasks to workers, most urgent first."""

from ..core.ids import Attempt, Seconds, ServiceId
from ..jobs.model import FINAL_JOB_STATES
from .cell_tables import CellTables
from .placing import choose_worker
from .queueing import order_steps
from .tables import Run, RunPhase, StepRun, Worker, bind, unbind
from .tasks import start_task


def place_waiting(cell: CellTables, *, now: float, wall: Seconds) -> None:
    """Start what fits of the tasks that wait."""
    waiting = list_waiting(cell)
    if not waiting:
        return
    pools: dict[ServiceId, list[Worker]] = {}
    for worker in cell.workers.values():
        if worker.accepts(now) and worker.entry.domain not in cell.closed_domains:
            pools.setdefault(worker.entry.service, []).append(worker)
    for step in order_steps(waiting, wall=wall):
        pool = pools.get(step.job.record.policy.service, [])
        if step.spec.gang:
            _place_gang(cell, step, pool, now=now)
        else:
            _place_step(cell, step, pool, now=now)


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
) -> None:
    for task in list(step.waiting):
        worker = choose_worker(task, workers, cell.pairs, now=now)
        if worker is None and task.avoid:
            task.avoid.clear()
            worker = choose_worker(task, workers, cell.pairs, now=now)
        if worker is None:
            return
        start_task(cell, task, worker, task.attempt + 1, now=now)


def _place_gang(
    cell: CellTables, step: StepRun, workers: list[Worker], *, now: float
) -> None:
    if len(step.waiting) < len(step.tasks):
        return
    attempt = max(task.attempt for task in step.tasks) + 1
    for group in _group_for_gang(step, workers):
        runs: list[Run] = []
        for task in step.tasks:
            worker = choose_worker(task, group, cell.pairs, now=now)
            if worker is None:
                break
            run = Run(task, Attempt(attempt), worker, RunPhase.ORDERED, now)
            bind(run)
            runs.append(run)
        for run in runs:
            unbind(run)
        if len(runs) == len(step.tasks):
            for run in runs:
                start_task(cell, run.task, run.worker, attempt, now=now)
            return


def _group_for_gang(step: StepRun, workers: list[Worker]) -> list[list[Worker]]:
    """Return sets of workers to try in turn: single racks first, if that is faster."""
    if not step.spec.same_rack:
        return [workers]
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return [*racks.values(), workers]
