"""Counts attempts that are lost with their workers."""

from .log_events import LossFields
from .model import Attempt, LossCause
from .scheduling_state import SchedulingState


def record_loss(
    cell: SchedulingState, attempt: Attempt, cause: LossCause, *, now: float
) -> LossFields:
    """Count an attempt that ended with its worker; return what to log about it.

    Called before the attempt is released.
    """
    attempt.task.losses += 1
    cell.losses[cause] += 1
    return LossFields(
        ran_s=round(measure_run(attempt, now=now), 3),
        beside=len(attempt.worker.attempts) - 1,
        losses=attempt.task.losses,
    )


def measure_run(attempt: Attempt, *, now: float) -> float:
    """Return the seconds from an attempt's first order until its worker fell silent."""
    worker = attempt.worker
    end = now if worker.reachable else worker.unreachable_since
    return max(0.0, end - attempt.ordered_at)
