"""Attempts that have to leave their worker, and paces of those that may stay."""

import logging

from ..core.log_events import write_event
from ..fleet.model import WorkerState
from . import health
from .cell_tables import CellTables
from .log_events import (
    AttemptMoves,
    AttemptsPaced,
    AttemptStuck,
    describe_run,
    name_task,
)
from .ordering import send_pace, stop_run
from .placing import choose_worker
from .sharing import (
    PaceChange,
    adjust_paces,
    find_neighbours,
    learn_from_report,
    measure_pressure,
)
from .tables import Run, RunPhase, Worker

logger = logging.getLogger(__name__)

# what a stop, a start and the way back to a checkpoint take together
MOVE_SECONDS = 2.5
MOVE_AFTER_SECONDS = 0.8
PACE_FLOOR = 5


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
        event = AttemptStuck(about=describe_run(run), still_s=now - run.moved_at)
        write_event(logger, event)
        run.task.avoid.add(run.worker.name)
        stop_run(cell, run, now=now)


def move_slowed(cell: CellTables, *, now: float) -> None:
    """Move attempts that fill to where they disturb nobody, if that is quicker.

    One a worker at a time, and only those that resume from a checkpoint.
    """
    for worker in cell.workers.values():
        slowed = [run for run in worker.runs.values() if is_slowed(run, now=now)]
        if not slowed or not worker.in_touch:
            continue
        run = max(slowed, key=measure_delay)
        others = [
            other
            for other in cell.workers.values()
            if other is not worker
            and other.accepts(now)
            and other.entry.domain not in cell.closed_domains
            and other.entry.service == worker.entry.service
        ]
        target = choose_worker(run.task, others, cell.weights, now=now)
        if target is not None:
            event = AttemptMoves(
                about=describe_run(run), pace=run.pace, target=target.name
            )
            write_event(logger, event)
            stop_run(cell, run, now=now)


def is_slowed(run: Run, *, now: float) -> bool:
    """Return whether an attempt loses more by its pace than by a move."""
    spec = run.task.step.spec
    return (
        spec.fills
        and spec.checkpoints
        and run.phase is RunPhase.RUNNING
        and now - run.confirmed_at > MOVE_AFTER_SECONDS
        and measure_delay(run) > MOVE_SECONDS
    )


def measure_delay(run: Run) -> float:
    """Return the seconds that an attempt's pace will cost it at its estimate."""
    left = run.task.step.spec.estimate * (100 - run.percent) / 100
    return left * 100 / max(run.pace, PACE_FLOOR) - left


def protect_serving(cell: CellTables, worker: Worker, *, now: float) -> None:
    """Learn how the images on a worker disturb each other, and set paces."""
    if not worker.serving:
        return
    learn_from_report(worker, cell.weights, now=now)
    changes = adjust_paces(worker, cell.weights, now=now)
    for change in changes:
        send_pace(cell, change.run, change.percent)
    if changes:
        write_event(logger, _describe_paces(worker, changes, now=now))


def _describe_paces(
    worker: Worker, changes: list[PaceChange], *, now: float
) -> AttemptsPaced:
    serving = find_neighbours(worker).serving
    return AttemptsPaced(
        worker=worker.name,
        tasks=tuple(name_task(change.run) for change in changes),
        percents=tuple(change.percent for change in changes),
        pressure=max((measure_pressure(run) for run in serving), default=0.0),
        over_s=max((max(0.0, now - run.over_since) for run in serving), default=0.0),
    )


def _should_move(run: Run) -> bool:
    """Return whether a task loses less by moving off a worker that leaves."""
    spec = run.task.step.spec
    if spec.lasting:
        return True
    left = spec.estimate * (100 - run.percent) / 100
    return spec.checkpoints and left > run.worker.entry.remaining
