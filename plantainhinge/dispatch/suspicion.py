"""How much the losses of a task speak for its crashing workers."""

from ..jobs.records import LostAttempt
from .model import Attempt, Task


def is_on_trial(attempt: Attempt) -> bool:
    """Return whether nothing but its gang had just started on an attempt's worker."""
    trial = attempt.task.trial
    return trial is not None and trial.attempt is attempt


def is_suspect(task: Task) -> bool:
    """Return whether a task may have crashed a worker, or the one that fell silent."""
    return measure_suspicion(task.losses) > 0 or any(
        attempt.worker.may_have_crashed for attempt in task.attempts
    )


def measure_suspicion(losses: list[LostAttempt]) -> int:
    """Return how much the losses of a task speak against it.

    Losses that it shares with tasks of many other workers count half.
    """
    shared = sum(loss.shared for loss in losses)
    return len(losses) - shared + shared // 2
