"""Why a task waits, and when its caller should poll again."""

from dataclasses import dataclass

from ..core.ids import Seconds, TaskId
from .assignment import AssignmentTables, WaitReason
from .queue import WaitingQueue

MIN_POLL_SECONDS = 1.0
MAX_POLL_SECONDS = 60.0
RELEASED_BY_OTHER_TASKS = frozenset(
    {WaitReason.QUOTA, WaitReason.CAPACITY, WaitReason.HEADROOM, WaitReason.TURN}
)


@dataclass(frozen=True)
class Wait:
    """The reason why a task waits, and the seconds until it is worth polling again."""

    reason: WaitReason
    poll_after_seconds: float


def explain_wait(
    task: TaskId, queue: WaitingQueue, tables: AssignmentTables, now: Seconds
) -> Wait:
    """Return why a task waits, as of the last plan.

    If it waits for other tasks to end, the time until the next poll is estimated
    from the recent rate of assignments and the number of tasks before it.
    """
    shape = queue.get_shape(task)
    reason = (
        tables.wait_reasons.get(shape, WaitReason.TURN) if shape else WaitReason.TURN
    )
    if reason not in RELEASED_BY_OTHER_TASKS or task not in queue:
        return Wait(reason, MIN_POLL_SECONDS)
    ahead = queue.count_ahead(task) + 1
    seconds = ahead * tables.rate.estimate_interval(now)
    poll_after = min(max(seconds, MIN_POLL_SECONDS), MAX_POLL_SECONDS)
    return Wait(reason, poll_after)
