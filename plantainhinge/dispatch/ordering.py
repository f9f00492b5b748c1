"""Orders to workers: sent, repeated while unanswered, and what answers mean."""

import logging

from ..core.ids import AttemptNumber
from ..fleet.model import PaceOrder, StartOrder, StopOrder
from .cell_tables import CellTables
from .leases import grant_lease
from .orders import Pace, Start, Stop
from .tables import Run, RunPhase, Task, Worker, change_pace

logger = logging.getLogger(__name__)

RETRY_SECONDS_MAX = 1.0
RETRY_SECONDS = 0.15


def send_start(cell: CellTables, run: Run, *, now: float) -> None:
    """Order a start, or order it again."""
    run.tries += 1
    run.retry_at = float("inf")
    order = StartOrder(
        task=run.task.key,
        attempt=run.attempt,
        payload=run.task.step.job.record.spec.payload,
        checkpoint=run.task.checkpoint,
        epoch=cell.epoch,
        lease_end=grant_lease(run.worker, cell.terms, now=now),
        ticket=run.task.step.tickets.get(run.worker.name, ("", 0.0))[0],
    )
    cell.commands.append(Start(run, order))


def send_stop(
    cell: CellTables,
    worker: Worker,
    task: Task,
    attempt: AttemptNumber,
    run: Run | None,
) -> None:
    """Order a stop; it also bars a start that is still on its way."""
    order = StopOrder(task=task.key, attempt=attempt, epoch=cell.epoch)
    cell.commands.append(Stop(worker, order, run))


def stop_run(cell: CellTables, run: Run, *, now: float) -> None:
    """Stop an attempt; its room is free when the worker lists the end."""
    run.phase = RunPhase.STOPPING
    run.tries += 1
    run.retry_at = float("inf")
    run.confirmed_at = float("inf")
    send_stop(cell, run.worker, run.task, run.attempt, run)


def send_pace(cell: CellTables, run: Run, percent: int) -> None:
    """Order another pace of an attempt that fills."""
    change_pace(run, percent)
    order = PaceOrder(
        task=run.task.key, attempt=run.attempt, percent=percent, epoch=cell.epoch
    )
    cell.commands.append(Pace(run, order))


def repeat_orders(cell: CellTables, *, now: float) -> None:
    """Send again the orders whose answers were lost."""
    for worker in cell.workers.values():
        if not worker.in_touch:
            continue
        for run in list(worker.runs.values()):
            if run.retry_at > now:
                continue
            if run.phase is RunPhase.ORDERED:
                send_start(cell, run, now=now)
            elif run.phase is RunPhase.STOPPING:
                stop_run(cell, run, now=now)


def retry_later(run: Run, *, now: float) -> None:
    """Let an unanswered order go out again, after a growing pause."""
    pause = min(RETRY_SECONDS_MAX, RETRY_SECONDS * 2 ** min(run.tries, 5))
    run.retry_at = now + pause
