"""Handles the answers of workers to start and stop orders."""

import logging

from ..core.log_events import write_event
from ..fleet.model import OrderOutcome, OrderResponse
from . import health
from .incarnations import mark_unreachable
from .log_events import StartRefused, StartUnsettled, describe_attempt
from .model import Attempt, AttemptPhase
from .ordering import RETRY_SECONDS_MAX, schedule_retry
from .scheduling_state import SchedulingState
from .tasks import note_begun, release_attempt

logger = logging.getLogger(__name__)

# after these, the worker may still carry out a start of the attempt
UNCONFIRMED_STOPS = frozenset(
    {OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT, OrderOutcome.REFUSED}
)


def handle_start_answer(
    cell: SchedulingState, attempt: Attempt, answer: OrderResponse, *, now: float
) -> None:
    """Handle the answer to a start order."""
    if answer.outcome is OrderOutcome.ACCEPTED:
        note_begun(cell, attempt.task.step.job)
    known = attempt.worker.attempts.get((attempt.task.key, attempt.number))
    if known is attempt and attempt.phase is AttemptPhase.ORDERED:
        _settle_start(cell, attempt, answer, now=now)


def _settle_start(
    cell: SchedulingState, attempt: Attempt, answer: OrderResponse, *, now: float
) -> None:
    """Handle the answer to a start order that is still open."""
    match answer.outcome:
        case OrderOutcome.ACCEPTED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.confirmed_at = attempt.progressed_at = now
            attempt.retry_at = float("inf")
        case OrderOutcome.UNKNOWN | OrderOutcome.FENCED:
            cell.fenced = cell.fenced or answer.outcome is OrderOutcome.FENCED
            schedule_retry(attempt, now=now)
        case OrderOutcome.NOT_SENT if attempt.orders_sent > 1:
            schedule_retry(attempt, now=now)
        case OrderOutcome.OTHER_INCARNATION:
            _handle_refusal(cell, attempt, answer.outcome, now=now)
        case _ if attempt.orders_sent > 1:
            _await_report(attempt, answer.outcome, now=now)
        case _:
            _handle_refusal(cell, attempt, answer.outcome, now=now)


def _await_report(attempt: Attempt, outcome: OrderOutcome, *, now: float) -> None:
    """Leave it to the worker's next report whether an attempt runs.

    Its first order was not answered and a repetition was refused. The first one may
    have been carried out, and the attempt may even be done, or may be carried out late.
    """
    write_event(logger, StartUnsettled(about=describe_attempt(attempt), cause=outcome))
    attempt.unsettled = True
    attempt.phase = AttemptPhase.RUNNING
    attempt.confirmed_at = attempt.progressed_at = now
    attempt.retry_at = float("inf")


def _handle_refusal(
    cell: SchedulingState, attempt: Attempt, outcome: OrderOutcome, *, now: float
) -> None:
    """Release an attempt that certainly won't start; its task waits again."""
    write_event(logger, StartRefused(about=describe_attempt(attempt), cause=outcome))
    if outcome is OrderOutcome.OTHER_INCARNATION:
        mark_unreachable(cell, attempt.worker, now=now)
    elif outcome is OrderOutcome.NO_TICKET:
        attempt.task.step.tickets.pop(attempt.worker.name, None)
    else:
        health.record_refusal(attempt.worker, outcome, now=now)
    release_attempt(cell, attempt, now=now)


def handle_stop_answer(
    cell: SchedulingState, attempt: Attempt | None, answer: OrderResponse, *, now: float
) -> None:
    """Handle the answer to a stop order; ``attempt`` is None if it isn't known."""
    if answer.outcome is OrderOutcome.FENCED:
        cell.fenced = True
    if (
        attempt is None
        or attempt.worker.attempts.get((attempt.task.key, attempt.number))
        is not attempt
    ):
        return
    if answer.outcome in UNCONFIRMED_STOPS:
        schedule_retry(attempt, now=now)
    else:
        # the first confirmation counts: the worker refuses the start from then on
        attempt.confirmed_at = min(attempt.confirmed_at, now)
        attempt.retry_at = now + RETRY_SECONDS_MAX
