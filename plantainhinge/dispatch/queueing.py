"""In which order steps get the free room.

Answers the load where more is wanted than fits: by priority, then by the time
at which the job is due, so that a job nearly late goes before one with slack. A
job that is too late already goes after those that can still make it, shortest
remaining work first, and no job waits for ever behind newer ones.
"""

from collections.abc import Iterable

from ..core.ids import Seconds
from .tables import JobRun, StepRun

OVERDUE_FACTOR = 3.0
STARVATION_SECONDS = 20.0


def order_steps(steps: Iterable[StepRun], *, wall: Seconds) -> list[StepRun]:
    """Return the steps, first the one that should get room first."""
    return sorted(steps, key=lambda step: rank_step(step, wall=wall))


def rank_step(step: StepRun, *, wall: Seconds) -> tuple[int, int, float]:
    """Return a step's rank; lower goes first."""
    job = step.job
    priority = job.record.policy.priority
    if step.spec.lasting:
        return (priority, 1, job.record.accepted_at)
    if is_past_worth(job, wall=wall):
        return (priority, 2, job.record.accepted_at)
    return (priority, 0, job.due)


def is_past_worth(job: JobRun, *, wall: Seconds) -> bool:
    """Return whether the job is so late that others gain more from the room."""
    allowed = job.due - job.record.accepted_at
    late = wall - job.record.accepted_at > OVERDUE_FACTOR * allowed
    return late and wall - job.due < STARVATION_SECONDS
