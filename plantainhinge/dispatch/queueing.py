"""Order in which waiting steps are placed.

It matters in an overload, when not all waiting tasks fit. Within a priority, jobs that
can still finish by their due time go first: started jobs before the others, since an
unfinished job is worth nothing, then by due time. Long-running tasks, which lose
little by a short wait, follow: those that wait for capacity in the order of their jobs,
then new ones grouped by image, so that few images share a worker. Then come jobs that
will be late in any case, shortest remaining critical path first, then those that a
workspace submitted beyond its rate and that haven't begun, and last those so late that
their callers hardly gain from them.
"""

from collections.abc import Iterable
from enum import IntEnum

from ..core.ids import Seconds
from ..jobs.admission import OVERDUE_FACTOR
from ..jobs.model import JobState, compute_critical_path
from .batching import is_new_long_running
from .model import OpenJob, OpenStep

# a job that hasn't started is in time only if this multiple of its estimate fits
FIRST_START_FACTOR = 1.6


# order within an urgency
Order = tuple[float] | tuple[float, str, bool, int]


class Urgency(IntEnum):
    """Classes of steps within a priority; the lowest goes first.

    Their names are written to the log in lower case.
    """

    BEGUN = 0
    IN_TIME = 1
    LASTING = 2
    LATE = 3
    SURPLUS = 4
    OVERDUE = 5


def order_steps(steps: Iterable[OpenStep], *, wall: Seconds) -> list[OpenStep]:
    """Return the steps in the order in which they should be placed."""
    return sorted(steps, key=lambda step: rank_step(step, wall=wall))


def rank_step(step: OpenStep, *, wall: Seconds) -> tuple[int, Urgency, Order]:
    """Return a step's sort key: priority, urgency and the order within these."""
    priority = step.job.record.policy.priority
    if step.job.surplus and step.job.state is JobState.QUEUED:
        return (priority, Urgency.SURPLUS, (step.due,))
    if step.spec.long_running:
        return (priority, Urgency.LASTING, _order_long_running(step))
    urgency, order = _rank_finite(step, wall=wall)
    return (priority, urgency, (order,))


def _order_long_running(step: OpenStep) -> Order:
    """Order new steps by image, those that must be spread over workers first."""
    if not is_new_long_running(step):
        return (step.job.record.accepted_at,)
    is_packed = step.spec.per_worker_max == 0
    return (float("inf"), step.spec.image, is_packed, -len(step.waiting))


def _rank_finite(step: OpenStep, *, wall: Seconds) -> tuple[Urgency, float]:
    job = step.job
    remaining = estimate_remaining(job, step.occurrence)
    if job.state is JobState.RUNNING and wall + remaining <= step.due:
        return (Urgency.BEGUN, step.due)
    if wall + FIRST_START_FACTOR * remaining <= step.due:
        return (Urgency.IN_TIME, step.due)
    if is_overdue(step, wall=wall):
        return (Urgency.OVERDUE, job.record.accepted_at)
    return (Urgency.LATE, remaining)


def is_overdue(step: OpenStep, *, wall: Seconds) -> bool:
    """Return whether a step is so late that its caller hardly gains from it."""
    allowed = step.job.due - step.job.record.accepted_at
    return wall - step.due > (OVERDUE_FACTOR - 1) * allowed


def estimate_remaining(job: OpenJob, occurrence: int) -> Seconds:
    """Return the length of the critical path of an occurrence's unfinished steps."""
    remaining = job.remaining_paths.get(occurrence)
    if remaining is None:
        steps = job.occurrences[occurrence]
        open_ = {index for index, step in enumerate(steps) if step.unfinished}
        remaining = compute_critical_path(job.record.spec.steps, only=open_)
        job.remaining_paths[occurrence] = remaining
    return remaining
