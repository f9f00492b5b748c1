"""Sends the scheduler's commands to workers and reports their answers to it."""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..core.clock import read_monotonic
from ..core.log_events import write_event
from ..core.metrics import Counter, Metrics
from ..dispatch.cell import Cell
from ..dispatch.ordering import schedule_retry
from ..dispatch.orders import Command, Start, Stop, Throttle
from ..fleet.model import OrderOutcome
from ..fleet.protocols import WorkerCalls
from .owner_events import OrderFailed

logger = logging.getLogger(__name__)


async def send_command(
    calls: WorkerCalls,
    cell: Cell,
    command: Command,
    *,
    is_owner: Callable[[], bool],
    metrics: Metrics,
) -> bool:
    """Send a command; return whether a start was refused, so that decisions are due.

    An error concerns this command alone: the order counts as unanswered.

    Parameters
    ----------
    is_owner : callable
        Whether the cell is still owned; an answer that comes later is dropped.
    """
    with _contain_error(command):
        match command:
            case Start(attempt=attempt, order=order):
                answer = await calls.start(attempt.worker.entry, order)
                _count(metrics, "start", answer.outcome)
                if is_owner():
                    cell.handle_start_answer(attempt, answer, now=read_monotonic())
                    return answer.outcome is not OrderOutcome.ACCEPTED
            case Stop(worker=worker, order=order, attempt=stopped):
                answer = await calls.stop(worker.entry, order)
                _count(metrics, "stop", answer.outcome)
                if is_owner():
                    cell.handle_stop_answer(stopped, answer, now=read_monotonic())
            case Throttle(attempt=attempt, order=order):
                await calls.throttle(attempt.worker.entry, order)
    return False


@contextmanager
def _contain_error(command: Command) -> Iterator[None]:
    """Log an error of a command, and let its order be repeated."""
    try:
        yield
    except Exception as error:
        worker = command.worker if isinstance(command, Stop) else command.attempt.worker
        write_event(logger, OrderFailed(worker=worker.name), error=error)
        if not isinstance(command, Throttle) and command.attempt is not None:
            schedule_retry(command.attempt, now=read_monotonic())


def _count(metrics: Metrics, call: str, outcome: OrderOutcome) -> None:
    metrics.count(Counter.WORKER_CALLS, call=call, outcome=outcome.value)
