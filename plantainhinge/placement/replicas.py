"""Which replicas of a service are declared, and which go.

A replica in a failure domain that is out gets a replacement beside it. The old one
is cancelled once it has stopped, since the service then has its count without it.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..core.ids import DomainId, TaskId
from ..core.states import TaskState


@dataclass(frozen=True)
class ReplicaRow:
    """A replica that has not come to its end.

    Parameters
    ----------
    index : int
        Its place in the row of all replicas that the service ever had.
    """

    task: TaskId
    index: int
    state: TaskState
    cell: DomainId | None


@dataclass(frozen=True)
class ReplicaPlan:
    """How many replicas to add, and which to cancel."""

    add: int
    cancel: tuple[TaskId, ...]


def plan_replicas(
    rows: Iterable[ReplicaRow], count: int, cells_in: Collection[DomainId]
) -> ReplicaPlan:
    """Return the change that brings a service to ``count`` replicas that stay.

    Replicas assigned to a cell that is in are kept before waiting ones, and older
    before newer. Those in a cell that is out are left to its drain, unless the
    service shrinks.
    """
    staying: list[ReplicaRow] = []
    leaving: list[ReplicaRow] = []
    for row in rows:
        is_leaving = row.state is TaskState.ASSIGNED and row.cell not in cells_in
        (leaving if is_leaving else staying).append(row)
    staying.sort(key=lambda r: (r.state is not TaskState.ASSIGNED, r.index))
    cancel = [row.task for row in staying[count:]]
    if count == 0:
        cancel.extend(row.task for row in leaving)
    return ReplicaPlan(max(0, count - len(staying)), tuple(cancel))
