"""Issues orders to workers, and issues unanswered ones again."""

import logging

from ..core.ids import AttemptNumber
from ..core.log_events import write_event
from ..fleet.model import StartOrder, StopOrder, ThrottleOrder, WorkerState
from .bindings import set_speed
from .health import note_stop
from .leases import grant_lease
from .log_events import StartRepeated, StartWithdrawn, describe_attempt
from .model import Attempt, AttemptPhase, Task, Worker
from .orders import Start, Stop, Throttle
from .scheduling_state import SchedulingState

logger = logging.getLogger(__name__)

RETRY_SECONDS_MAX = 1.0
# doubled with each order sent
RETRY_BASE_SECONDS = 0.15


def send_start(cell: SchedulingState, attempt: Attempt, *, now: float) -> None:
    """Order the start of an attempt, for the first time or again."""
    attempt.orders_sent += 1
    attempt.retry_at = float("inf")
    attempt.incarnation = attempt.worker.incarnation
    ticket = attempt.task.step.tickets.get(attempt.worker.name)
    order = StartOrder(
        task=attempt.task.key,
        attempt=attempt.number,
        payload=attempt.task.step.job.record.spec.payload,
        checkpoint=attempt.task.checkpoint,
        epoch=cell.epoch,
        lease_end=grant_lease(attempt.worker, cell.compute_lease(now=now), now=now),
        ticket=ticket.value if ticket is not None else "",
    )
    cell.commands.append(Start(attempt, order))


def send_stop(
    cell: SchedulingState,
    worker: Worker,
    task: Task,
    number: AttemptNumber,
    attempt: Attempt | None,
) -> None:
    """Order a stop; the worker then also refuses a start that arrives later."""
    order = StopOrder(task=task.key, attempt=number, epoch=cell.epoch)
    cell.commands.append(Stop(worker, order, attempt))


def stop_attempt(cell: SchedulingState, attempt: Attempt, *, now: float) -> None:
    """Stop an attempt; its resources are free once the worker reports the end."""
    note_stop(attempt)
    if attempt.phase is not AttemptPhase.STOPPING:
        # a report without the attempt releases it only after a stop was confirmed
        attempt.confirmed_at = float("inf")
    attempt.phase = AttemptPhase.STOPPING
    attempt.orders_sent += 1
    attempt.retry_at = float("inf")
    send_stop(cell, attempt.worker, attempt.task, attempt.number, attempt)


def send_throttle(cell: SchedulingState, attempt: Attempt, percent: int) -> None:
    """Throttle a best-effort attempt to a percentage of its full speed."""
    set_speed(attempt, percent)
    order = ThrottleOrder(
        task=attempt.task.key,
        attempt=attempt.number,
        speed_percent=percent,
        epoch=cell.epoch,
    )
    cell.commands.append(Throttle(attempt, order))


def resend_orders(cell: SchedulingState, *, now: float) -> None:
    """Send orders again whose answers are overdue, to reachable workers only.

    A start is repeated only if it could be ordered now: since it was decided the worker
    may have begun to drain or shrunk, or its failure domain may have been closed.
    Otherwise it is stopped, as the first order may still be carried out.
    """
    for worker in cell.workers.values():
        if not worker.reachable:
            continue
        for attempt in list(worker.attempts.values()):
            if attempt.retry_at > now:
                continue
            if attempt.phase is AttemptPhase.STOPPING:
                stop_attempt(cell, attempt, now=now)
            elif attempt.phase is AttemptPhase.ORDERED:
                _repeat_start(cell, attempt, now=now)


def _repeat_start(cell: SchedulingState, attempt: Attempt, *, now: float) -> None:
    if not cell.may_start(now=now):
        return
    if may_run(cell, attempt.worker):
        write_event(logger, StartRepeated(about=describe_attempt(attempt)))
        send_start(cell, attempt, now=now)
    else:
        write_event(logger, StartWithdrawn(about=describe_attempt(attempt)))
        stop_attempt(cell, attempt, now=now)


def may_run(cell: SchedulingState, worker: Worker) -> bool:
    """Return whether a worker may still start what is bound to it."""
    entry = worker.entry
    return (
        worker.listed
        and entry.state is WorkerState.READY
        and entry.domain not in cell.closed_domains
        and worker.committed.fits_within(entry.capacity)
    )


def schedule_retry(attempt: Attempt, *, now: float) -> None:
    """Schedule the repetition of an unanswered order, with exponential backoff."""
    delay = min(
        RETRY_SECONDS_MAX, RETRY_BASE_SECONDS * 2 ** min(attempt.orders_sent, 5)
    )
    attempt.retry_at = now + delay
