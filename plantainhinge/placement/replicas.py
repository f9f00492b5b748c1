"""Reconciliation of the replicas of a service with the declared count.

A replica in a failure domain out of service gets a replacement at once. The old replica
is cancelled after it has stopped, since the service has enough replicas by then.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..core.ids import DomainId, TaskId
from ..core.states import TaskState


@dataclass(frozen=True)
class ReplicaRow:
    """A replica that has not reached a final state.

    Parameters
    ----------
    index : int
        Its position among all replicas that the service ever had.
    """

    task: TaskId
    index: int
    state: TaskState
    cell: DomainId | None


@dataclass(frozen=True)
class ReplicaPlan:
    """The number of replicas to add, and the tasks to cancel."""

    add: int
    cancel: tuple[TaskId, ...]


def plan_replicas(
    replicas: Iterable[ReplicaRow], count: int, cells_in: Collection[DomainId]
) -> ReplicaPlan:
    """Return the changes that bring a service to ``count`` replicas.

    Replicas in a cell out of service aren't counted. They are left to the drain of that
    cell, unless ``count`` is 0. Of the others, assigned replicas are kept before
    waiting ones, and older before newer ones.
    """
    staying: list[ReplicaRow] = []
    leaving: list[ReplicaRow] = []
    for replica in replicas:
        is_leaving = (
            replica.state is TaskState.ASSIGNED and replica.cell not in cells_in
        )
        (leaving if is_leaving else staying).append(replica)
    staying.sort(key=lambda r: (r.state is not TaskState.ASSIGNED, r.index))
    cancel = [replica.task for replica in staying[count:]]
    if count == 0:
        cancel.extend(replica.task for replica in leaving)
    return ReplicaPlan(max(0, count - len(staying)), tuple(cancel))
