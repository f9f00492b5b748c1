"""Sends the scheduler's commands to workers and reports their answers to it."""

from collections.abc import Callable

from ..core.clock import read_monotonic
from ..core.metrics import Counter, Metrics
from ..dispatch.cell import Cell
from ..dispatch.orders import Command, Start, Stop, Throttle
from ..fleet.model import OrderOutcome
from ..fleet.protocols import WorkerCalls


async def send_command(
    calls: WorkerCalls,
    cell: Cell,
    command: Command,
    *,
    is_owner: Callable[[], bool],
    metrics: Metrics,
) -> bool:
    """Send a command; return whether a start was refused, so that decisions are due.

    Parameters
    ----------
    is_owner : callable
        Whether the cell is still owned; an answer that comes later is dropped.
    """
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


def _count(metrics: Metrics, call: str, outcome: OrderOutcome) -> None:
    metrics.count(Counter.WORKER_CALLS, call=call, outcome=outcome.value)
