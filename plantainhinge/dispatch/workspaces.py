"""Caps and shares of workspaces.

The load that this answers is workspaces that compete for too little capacity: none may
run more than its cap allows, and while not everything fits, each gets capacity in
proportion to its weight, by weighted dominant resource fairness (Ghodsi et al., 2011).
While there is capacity for all that waits, shares have no effect.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby

from ..core.ids import Seconds, WorkspaceId
from ..core.resources import Resources
from ..jobs.model import NO_WORKSPACE
from ..placement.quotas import QuotaUsage
from .model import OpenStep
from .queueing import rank_step
from .scheduling_state import SchedulingState
from .tasks import find_task

# of workspaces without a weight, so that they still come in turn
WEIGHT_MIN = 1e-6


class CapCheck:
    """Whether workspaces may start more, during one placement pass."""

    def __init__(self, cell: SchedulingState) -> None:
        self._workspaces = cell.workspaces
        self._usage = cell.usage
        self._unbound = measure_unbound(cell) if cell.workspaces else cell.usage

    def allows(self, step: OpenStep, *, tasks: int = 1) -> bool:
        """Return whether some more tasks of a step keep its workspace's cap.

        A workspace that has left the configuration has no cap any more.
        """
        name = step.job.record.workspace
        workspace = self._workspaces.get(name)
        if workspace is None:
            return True
        used = self._usage.get(name) + self._unbound.get(name)
        return (used + step.spec.request * tasks).fits_within(workspace.cap)


def measure_unbound(cell: SchedulingState) -> QuotaUsage[WorkspaceId]:
    """Return what workspaces may run beyond the attempts that are bound to workers.

    That is what an earlier owner may have started on workers that haven't reported yet,
    and attempts that workers still stop after their jobs have ended.
    """
    unbound: QuotaUsage[WorkspaceId] = QuotaUsage()
    possible = set(cell.list_withheld())
    if cell.recovering:
        possible.update(
            task.key
            for job in cell.jobs.values()
            if job.inherited
            for task in job.list_tasks()
            if not task.done
        )
    for key in possible:
        task = find_task(cell, key)
        if task is not None and not task.attempts:
            job = task.step.job
            unbound.add(job.record.workspace, task.step.spec.request)
    for worker in cell.workers.values():
        for key in worker.orphans:
            record = cell.find_record(key.job)
            if record is not None and key.step < len(record.spec.steps):
                unbound.add(record.workspace, record.spec.steps[key.step].request)
    return unbound


def order_by_share(
    cell: SchedulingState, steps: Iterable[OpenStep], *, wall: Seconds
) -> Iterator[OpenStep]:
    """Yield waiting steps in the order in which they should be placed.

    Among steps of one priority and urgency, that of the workspace with the smallest
    weighted share comes next. Shares are read anew for each step, as they grow by what
    was placed meanwhile.
    """
    ranked = sorted(
        ((rank_step(step, wall=wall), step) for step in steps), key=lambda row: row[0]
    )
    if not cell.workspaces:
        yield from (step for _, step in ranked)
        return
    shares = _Shares(cell)
    for _, rows in groupby(ranked, key=lambda row: row[0][:2]):
        yield from _interleave([step for _, step in rows], shares.measure)


def _interleave(
    steps: list[OpenStep], measure_share: Callable[[WorkspaceId], float]
) -> Iterator[OpenStep]:
    """Yield ordered steps, always the next one of the workspace with least share."""
    queues: dict[WorkspaceId, deque[tuple[int, OpenStep]]] = {}
    for position, step in enumerate(steps):
        queue = queues.setdefault(step.job.record.workspace, deque())
        queue.append((position, step))
    heap = [(measure_share(name), queue[0][0], name) for name, queue in queues.items()]
    heapq.heapify(heap)
    while heap:
        _, _, name = heapq.heappop(heap)
        queue = queues[name]
        yield queue.popleft()[1]
        if queue:
            heapq.heappush(heap, (measure_share(name), queue[0][0], name))


class _Shares:
    """Weighted dominant shares of workspaces."""

    def __init__(self, cell: SchedulingState) -> None:
        self._usage = cell.usage
        self._capacity = Resources()
        for worker in cell.workers.values():
            if worker.listed and worker.has_answered:
                self._capacity += worker.entry.capacity
        self._weights = {each.name: each.weight for each in cell.workspaces.values()}
        total = sum(self._weights.values())
        # jobs of callers without a key share as one workspace of average weight
        self._weights[NO_WORKSPACE] = total / max(1, len(self._weights))

    def measure(self, name: WorkspaceId) -> float:
        """Return a workspace's dominant share, divided by its weight."""
        used = self._usage.get(name)
        share = measure_dominant_share(used, self._capacity)
        return share / max(WEIGHT_MIN, self._weights.get(name, 0.0))


def measure_dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share of any resource that is in use."""
    return max(
        used.millicores / max(1, capacity.millicores),
        used.memory_mib / max(1, capacity.memory_mib),
        used.accelerators / max(1, capacity.accelerators),
    )
