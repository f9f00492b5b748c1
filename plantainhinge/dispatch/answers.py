"""What the answers to orders mean."""

import logging

from ..core.log_events import write_event
from ..fleet.model import OrderAnswer, OrderOutcome
from . import health
from .cell_tables import CellTables
from .incarnations import lose_touch
from .log_events import StartRefused, StartUnsettled, describe_run
from .ordering import RETRY_SECONDS_MAX, retry_later
from .tables import Run, RunPhase
from .tasks import release_run

logger = logging.getLogger(__name__)


def take_start_answer(
    cell: CellTables, run: Run, answer: OrderAnswer, *, now: float
) -> None:
    """Take in what became of a start."""
    if run.worker.runs.get((run.task.key, run.attempt)) is not run:
        return
    if run.phase is not RunPhase.ORDERED:
        return
    match answer.outcome:
        case OrderOutcome.ACCEPTED:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = run.moved_at = now
            run.retry_at = float("inf")
        case OrderOutcome.UNKNOWN | OrderOutcome.FENCED:
            cell.fenced = cell.fenced or answer.outcome is OrderOutcome.FENCED
            retry_later(run, now=now)
        case OrderOutcome.NOT_SENT if run.tries > 1:
            retry_later(run, now=now)
        case OrderOutcome.OTHER_INCARNATION:
            _take_refusal(cell, run, answer.outcome, now=now)
        case _ if run.tries > 1:
            _await_list(run, answer.outcome, now=now)
        case _:
            _take_refusal(cell, run, answer.outcome, now=now)


def _await_list(run: Run, outcome: OrderOutcome, *, now: float) -> None:
    """Let the next list say what became of an attempt whose first order had no answer.

    That order may have been carried out, and the attempt may even have been done.
    """
    write_event(logger, StartUnsettled(about=describe_run(run), cause=outcome))
    run.phase = RunPhase.RUNNING
    run.confirmed_at = run.moved_at = now
    run.retry_at = float("inf")


def _take_refusal(
    cell: CellTables, run: Run, outcome: OrderOutcome, *, now: float
) -> None:
    """Give an attempt up that surely won't start; its task waits again."""
    write_event(logger, StartRefused(about=describe_run(run), cause=outcome))
    if outcome is OrderOutcome.OTHER_INCARNATION:
        lose_touch(cell, run.worker, now=now)
    elif outcome is OrderOutcome.NO_TICKET:
        run.task.step.tickets.pop(run.worker.name, None)
    else:
        health.note_refusal(run.worker, outcome, now=now)
    release_run(cell, run, now=now)


def take_stop_answer(
    cell: CellTables, run: Run | None, answer: OrderAnswer, *, now: float
) -> None:
    """Take in what became of a stop."""
    if answer.outcome is OrderOutcome.FENCED:
        cell.fenced = True
    if run is None or run.worker.runs.get((run.task.key, run.attempt)) is not run:
        return
    if answer.outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT):
        retry_later(run, now=now)
    else:
        run.confirmed_at = now
        run.retry_at = now + RETRY_SECONDS_MAX
