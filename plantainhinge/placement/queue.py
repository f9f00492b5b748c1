"""Queue of waiting tasks grouped by shape, and the orders it can be served in."""

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
    """The properties of a task that its assignment depends on.

    Parameters
    ----------
    service : ServiceId
        Service that the task is a replica of; empty for batch jobs.
    priority : int
        Higher values go first.
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
    """Rank by the time of acceptance only."""
    return (since,)


@QUEUE_ORDERS.register("strict-priority")
def order_by_priority(shape: Shape, since: float) -> tuple[float, ...]:
    """Rank urgent work first, then by priority; low priorities may starve."""
    return (not shape.urgent, -shape.priority, since)


@QUEUE_ORDERS.register("aged-priority")
def order_by_aged_priority(shape: Shape, since: float) -> tuple[float, ...]:
    """Rank by the time of acceptance, less a credit for urgency and priority.

    All tasks age at the same rate, so their order never changes and needs no clock.
    A task precedes another with more credit if it was accepted earlier by more than
    the difference between their credits.
    """
    credit = shape.priority * PRIORITY_CREDIT_SECONDS
    credit += URGENT_CREDIT_SECONDS if shape.urgent else 0.0
    return (since - credit,)


@dataclass(frozen=True, order=True)
class WaitingTask:
    """A waiting task and when it was accepted, in seconds of wall-clock time."""

    since: float
    task: TaskId


@dataclass
class WaitingQueue:
    """Waiting tasks by shape, the oldest first within each shape.

    A shape that cannot be assigned is skipped as a whole, so the cost of a plan
    grows with the number of shapes rather than the number of tasks.
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
        """Add a task, replacing any entry that it has."""
        self.remove(task)
        waiting = WaitingTask(since, task)
        self._tasks[task] = (shape, waiting)
        insort(self.shapes.setdefault(shape, []), waiting)

    def remove(self, task: TaskId) -> None:
        """Remove a task if it is waiting."""
        entry = self._tasks.pop(task, None)
        if entry is None:
            return
        shape, waiting = entry
        tasks = self.shapes[shape]
        del tasks[bisect_left(tasks, waiting)]
        if not tasks:
            del self.shapes[shape]

    def get_shape(self, task: TaskId) -> Shape | None:
        """Return the shape of a task, or None if it isn't waiting."""
        entry = self._tasks.get(task)
        return entry[0] if entry else None

    def count_ahead(self, task: TaskId) -> int:
        """Return the number of tasks of the same shape before this one."""
        shape, waiting = self._tasks[task]
        return bisect_left(self.shapes[shape], waiting)
