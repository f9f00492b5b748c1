"""Why a task waits, and when another look at it is worthwhile."""

from dataclasses import dataclass

from ..core.ids import Seconds, TaskId
from .assignment import AssignmentTables, HoldReason
from .queue import WaitingQueue

SHORTEST_LOOK_SECONDS = 1.0
LONGEST_LOOK_SECONDS = 60.0
LIMITS_OF_OTHERS = frozenset(
    {HoldReason.QUOTA, HoldReason.CAPACITY, HoldReason.HEADROOM, HoldReason.TURN}
)


@dataclass(frozen=True)
class Wait:
    """Which limit holds a task back, and the seconds until another look."""

    reason: HoldReason
    look_again: float


def explain_wait(
    task: TaskId, queue: WaitingQueue, tables: AssignmentTables, now: Seconds
) -> Wait:
    """Return what a waiting task waits for, as of the last plan.

    Where it waits for others to end, the pace of recent assignments and the tasks
    before it tell when to look again.
    """
    shape = queue.find_shape(task)
    reason = tables.held.get(shape, HoldReason.TURN) if shape else HoldReason.TURN
    if reason not in LIMITS_OF_OTHERS or task not in queue:
        return Wait(reason, SHORTEST_LOOK_SECONDS)
    ahead = queue.count_ahead(task) + 1
    seconds = ahead * tables.pace.find_gap(now)
    look = min(max(seconds, SHORTEST_LOOK_SECONDS), LONGEST_LOOK_SECONDS)
    return Wait(reason, look)
