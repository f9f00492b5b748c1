"""Waiting tasks, grouped by shape, and the order in which shapes are served."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..core.ids import KindId, ServiceId, TaskId, TeamId
from ..core.registry import Registry
from ..core.resources import Resources
from ..core.states import TaskClass

PRIORITY_CREDIT_SECONDS = 60.0
URGENT_CREDIT_SECONDS = 3600.0


@dataclass(frozen=True)
class Shape:
    """What tasks have in common that placement treats alike.

    Parameters
    ----------
    service : ServiceId
        Empty for batch jobs.
    priority : int
        Higher goes first.
    """

    team: TeamId
    kind: KindId
    resources: Resources
    task_class: TaskClass = TaskClass.BATCH
    service: ServiceId = ServiceId("")
    priority: int = 0
    urgent: bool = False


QueueOrder = Callable[[Shape, float], tuple[float, ...]]
QUEUE_ORDERS: Registry[QueueOrder] = Registry("queue order")


@QUEUE_ORDERS.register("arrival")
def order_by_arrival(shape: Shape, since: float) -> tuple[float, ...]:
    """Rank by the time of acceptance alone."""
    return (since,)


@QUEUE_ORDERS.register("strict-priority")
def order_by_priority(shape: Shape, since: float) -> tuple[float, ...]:
    """Rank urgent work first, then by priority; patient work may starve."""
    return (not shape.urgent, -shape.priority, since)


@QUEUE_ORDERS.register("aged-priority")
def order_by_aged_priority(shape: Shape, since: float) -> tuple[float, ...]:
    """Rank by the time waited, with credit for urgency and priority.

    Two tasks age at the same pace, so that their order never changes and needs
    no clock: a task passes any other accepted later than the credit between them.
    """
    credit = shape.priority * PRIORITY_CREDIT_SECONDS
    credit += URGENT_CREDIT_SECONDS if shape.urgent else 0.0
    return (since - credit,)


@dataclass(frozen=True, order=True)
class WaitingTask:
    """One waiting task and when it was accepted, in seconds of wall time."""

    since: float
    task: TaskId


@dataclass
class WaitingQueue:
    """Waiting tasks by shape, each shape oldest first.

    A shape that cannot go on is passed over as a whole, so that a long queue
    costs no more than the number of its shapes.
    """

    shapes: dict[Shape, list[WaitingTask]] = field(default_factory=dict)
    _tasks: dict[TaskId, tuple[Shape, WaitingTask]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task: TaskId) -> bool:
        return task in self._tasks

    def __iter__(self) -> Iterator[TaskId]:
        return iter(self._tasks)

    def add(self, task: TaskId, shape: Shape, since: float) -> None:
        """Add a task, in the place of any entry it had."""
        self.remove(task)
        waiting = WaitingTask(since, task)
        self._tasks[task] = (shape, waiting)
        insort(self.shapes.setdefault(shape, []), waiting)

    def remove(self, task: TaskId) -> None:
        """Remove a task, if it is there."""
        known = self._tasks.pop(task, None)
        if known is None:
            return
        shape, waiting = known
        row = self.shapes[shape]
        del row[bisect_left(row, waiting)]
        if not row:
            del self.shapes[shape]

    def get_shape(self, task: TaskId) -> Shape | None:
        """Return the shape of a waiting task."""
        known = self._tasks.get(task)
        return known[0] if known else None

    def count_ahead(self, task: TaskId) -> int:
        """Return how many tasks of the same shape go before this one."""
        shape, waiting = self._tasks[task]
        return bisect_left(self.shapes[shape], waiting)
