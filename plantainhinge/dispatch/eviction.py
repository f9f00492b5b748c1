"""Attempts that have to leave their worker, and paces of those that may stay."""

import logging

from ..fleet.model import WorkerState
from . import health
from .cell_tables import CellTables
from .descriptions import describe_run
from .ordering import send_pace, stop_run
from .sharing import adjust_paces, learn_from_report
from .tables import Run, RunPhase, Worker

logger = logging.getLogger(__name__)


def evict_draining(cell: CellTables, *, now: float) -> None:
    """Move attempts off workers that leave soon."""
    for worker in cell.workers.values():
        if worker.entry.state is WorkerState.DRAINING:
            for run in list(worker.runs.values()):
                if run.phase is RunPhase.RUNNING and _should_move(run):
                    stop_run(cell, run, now=now)


def evict_stuck(cell: CellTables, *, now: float) -> None:
    """Stop attempts that make no progress, to try them elsewhere."""
    for run in health.find_stuck(cell.workers.values(), now=now):
        logger.warning("attempt makes no progress", extra=describe_run(run))
        run.task.avoid.add(run.worker.name)
        stop_run(cell, run, now=now)


def protect_serving(cell: CellTables, worker: Worker, *, now: float) -> None:
    """Learn how the images on a worker disturb each other, and set paces."""
    if not worker.serving:
        return
    learn_from_report(worker, cell.pairs, now=now)
    for change in adjust_paces(worker, cell.pairs, now=now):
        send_pace(cell, change.run, change.percent)


def _should_move(run: Run) -> bool:
    """Return whether a task loses less by moving off a worker that leaves."""
    spec = run.task.step.spec
    if spec.lasting:
        return True
    left = spec.estimate * (100 - run.percent) / 100
    return spec.checkpoints and left > run.worker.entry.remaining
