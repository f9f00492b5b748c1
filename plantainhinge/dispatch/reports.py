"""What a worker's lists say: ends, attempts that run, attempts that are gone."""

import logging

from ..core.log_events import write_event
from ..fleet.model import EndCause, EndedRow, RunningRow, StopOrder, WorkerReport
from . import health
from .cell_tables import CellTables
from .eviction import protect_serving
from .incarnations import begin_incarnation
from .leases import learn_clock
from .log_events import AttemptEnded, AttemptGone, describe_run
from .ordering import stop_run
from .orders import Stop
from .tables import Run, RunPhase, Task, Worker, bind
from .tasks import (
    fail_task,
    find_task,
    finish_task,
    release_run,
    requeue_task,
    take_off,
)

logger = logging.getLogger(__name__)

ENDS_PER_REPORT_MAX = 500


def take_report(
    cell: CellTables, worker: Worker, report: WorkerReport, *, sent: float, now: float
) -> None:
    """Take in a worker's answer to a renewal."""
    if report.born < worker.born:
        return
    if report.born > worker.born:
        begin_incarnation(cell, worker, report.born, now=now)
    learn_clock(worker, clock=report.clock, sent=sent, received=now)
    for end in report.ended:
        if end.number > worker.seen_number:
            _take_end(cell, worker, end, now=now)
            worker.seen_number = end.number
            cell.acks_due = True
    for row in report.running:
        _take_row(cell, worker, row, now=now)
    worker.pressures = None
    if len(report.ended) < ENDS_PER_REPORT_MAX:
        _find_vanished(cell, worker, report, sent=sent, now=now)
    cell.unseen.discard(worker.name)
    protect_serving(cell, worker, now=now)


def _take_end(cell: CellTables, worker: Worker, end: EndedRow, *, now: float) -> None:
    run = worker.runs.get((end.task, end.attempt))
    if run is not None:
        take_off(run, now=now)
    task = find_task(cell, end.task)
    if task is None or task.done:
        return
    task.attempt = max(task.attempt, end.attempt)
    if end.cause is EndCause.FAILED:
        health.note_failure(worker, now=now)
        fail_task(cell, task, worker, end.attempt, now=now)
    if run is not None and end.cause is not EndCause.DONE:
        event = AttemptEnded(
            about=describe_run(run), cause=end.cause, failures=len(task.failed)
        )
        write_event(logger, event)
    if run is None and not _counts_unknown(task):
        return
    if end.cause is EndCause.DONE and not task.step.spec.lasting:
        health.note_success(worker)
        finish_task(cell, task, now=now)
        return
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    requeue_task(cell, task, now=now)


def _counts_unknown(task: Task) -> bool:
    """Return whether an end counts whose attempt this owner never knew.

    It comes from an earlier owner; then a copy of it may be known and still run.
    """
    copied = task.step.spec.speculative
    return task.step.job.inherited and (copied or not task.runs)


def _take_row(cell: CellTables, worker: Worker, row: RunningRow, *, now: float) -> None:
    run = worker.runs.get((row.task, row.attempt))
    if run is None:
        _adopt(cell, worker, row, now=now)
        return
    if run.phase is RunPhase.ORDERED:
        run.phase = RunPhase.RUNNING
        run.confirmed_at = run.moved_at = now
        run.retry_at = float("inf")
    run.listed = True
    if row.percent != run.percent:
        run.percent = row.percent
        run.moved_at = now
    run.gauge = row.gauge
    if row.checkpoint and run.phase is RunPhase.RUNNING:
        run.task.checkpoint = row.checkpoint


def _adopt(cell: CellTables, worker: Worker, row: RunningRow, *, now: float) -> None:
    """Enter an attempt that an earlier owner started, or stop it."""
    task = find_task(cell, row.task)
    if task is None:
        bar_attempt(cell, worker, row)
        return
    task.attempt = max(task.attempt, row.attempt)
    run = Run(task, row.attempt, worker, RunPhase.RUNNING, now, now)
    run.percent, run.gauge, run.moved_at = row.percent, row.gauge, now
    run.listed = True
    others = [other for other in task.runs if other.phase is not RunPhase.STOPPING]
    bind(run)
    if task in task.step.waiting:
        task.step.waiting.remove(task)
    if task.done or (others and not task.step.spec.speculative):
        stop_run(cell, run, now=now)
    if row.checkpoint and not others:
        task.checkpoint = row.checkpoint


def bar_attempt(cell: CellTables, worker: Worker, row: RunningRow) -> None:
    """Stop an attempt of a task that is not open."""
    order = StopOrder(task=row.task, attempt=row.attempt, epoch=cell.epoch)
    cell.commands.append(Stop(worker, order, None))


def _find_vanished(
    cell: CellTables, worker: Worker, report: WorkerReport, *, sent: float, now: float
) -> None:
    present = {(row.task, row.attempt) for row in report.running}
    for key, run in list(worker.runs.items()):
        if key in present or run.phase is RunPhase.ORDERED:
            continue
        if run.confirmed_at < sent:
            write_event(logger, AttemptGone(about=describe_run(run)))
            release_run(cell, run, now=now)
