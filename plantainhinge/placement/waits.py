"""Why a task waits, and when another look at it is worthwhile."""

from dataclasses import dataclass

from ..core.ids import Seconds, TaskId
from .assignment import AssignmentTables, HoldReason
from .queue import WaitingQueue

MIN_RECHECK_SECONDS = 1.0
MAX_RECHECK_SECONDS = 60.0
RELEASED_BY_OTHER_TASKS = frozenset(
    {HoldReason.QUOTA, HoldReason.CAPACITY, HoldReason.HEADROOM, HoldReason.TURN}
)


@dataclass(frozen=True)
class Wait:
    """Which limit holds a task back, and the seconds until another look."""

    reason: HoldReason
    recheck_seconds: float


def explain_wait(
    task: TaskId, queue: WaitingQueue, tables: AssignmentTables, now: Seconds
) -> Wait:
    """Return what a waiting task waits for, as of the last plan.

    Where it waits for others to end, the pace of recent assignments and the tasks
    before it tell when to look again.
    """
    shape = queue.get_shape(task)
    reason = (
        tables.hold_reasons.get(shape, HoldReason.TURN) if shape else HoldReason.TURN
    )
    if reason not in RELEASED_BY_OTHER_TASKS or task not in queue:
        return Wait(reason, MIN_RECHECK_SECONDS)
    ahead = queue.count_ahead(task) + 1
    seconds = ahead * tables.rate.estimate_interval(now)
    look = min(max(seconds, MIN_RECHECK_SECONDS), MAX_RECHECK_SECONDS)
    return Wait(reason, look)
