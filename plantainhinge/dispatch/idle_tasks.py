"""Explains why long-running tasks don't run: what keeps them off each worker.

This only describes the state that decisions are made from; it decides nothing.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..fleet.model import WorkerState
from .assignment import is_capacity_known
from .bindings import compute_committed_resources
from .cell import Cell
from .model import AttemptPhase, HandoverMark, OpenStep, Task, Worker
from .step_events import TasksIdle, describe_step
from .worker_choice import has_capacity, holds_ticket, meets_constraints

# tasks that have been idle for less are about to be started
IDLE_SECONDS_MIN = 2.0
# lines written at a time
STEPS_MAX = 10


class Obstacle(Enum):
    """Why a task with enough free resources on a worker isn't started there."""

    NONE = "none"
    UNLISTED = "unlisted"
    ENTRY_OUTDATED = "entry-outdated"
    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    NOT_IN_HANDOVER = "not-in-handover"
    QUARANTINED = "quarantined"
    PROBED = "probed"
    CAPACITY_UNKNOWN = "capacity-unknown"
    TRIED = "tried"
    CLOSED_DOMAIN = "closed-domain"
    CONSTRAINED = "constrained"
    NO_TICKET = "no-ticket"
    AVOIDED = "avoided"
    RESERVED = "reserved"


@dataclass
class IdleTasks:
    """Remembers since when long-running tasks have been seen idle.

    Parameters
    ----------
    seen : dict of Task to float
        Monotonic seconds of the first look at which a task was idle.
    """

    seen: dict[Task, float] = field(default_factory=dict)

    def observe(self, cell: Cell, *, now: float) -> list[TasksIdle]:
        """Look once; return events for the steps that have been idle for longest."""
        idle = list_idle_tasks(cell)
        self.seen = {task: self.seen.get(task, now) for task in idle}
        steps: dict[OpenStep, list[Task]] = {}
        for task, since in sorted(self.seen.items(), key=lambda item: item[1]):
            if now - since >= IDLE_SECONDS_MIN:
                steps.setdefault(task.step, []).append(task)
        return [
            self._describe(cell, step, tasks, now=now)
            for step, tasks in list(steps.items())[:STEPS_MAX]
        ]

    def measure_longest(self, *, now: float) -> float:
        """Return the seconds for which a task has been seen idle; zero if none is."""
        return now - min(self.seen.values(), default=now)

    def _describe(
        self, cell: Cell, step: OpenStep, tasks: list[Task], *, now: float
    ) -> TasksIdle:
        phases = Counter(attempt.phase for task in tasks for attempt in task.attempts)
        waiting = [task for task in tasks if not task.attempts]
        request = step.spec.request
        return TasksIdle(
            about=describe_step(step),
            positions=tuple(task.key.position for task in tasks),
            idle_s=now - self.seen[tasks[0]],
            waiting=len(waiting),
            ordered=phases[AttemptPhase.ORDERED],
            stopping=phases[AttemptPhase.STOPPING],
            millicores=request.millicores,
            memory_mib=request.memory_mib,
            obstacles=_count_obstacles(cell, waiting[0], now=now) if waiting else (),
            recovering=_is_recovering(cell, tasks),
        )


def _is_recovering(cell: Cell, tasks: list[Task]) -> bool:
    """Return whether tasks of a step wait for workers of an earlier owner."""
    if not tasks[0].step.job.inherited:
        return False
    withheld = cell.list_withheld()
    return cell.recovering or any(task.key in withheld for task in tasks)


def list_idle_tasks(cell: Cell) -> list[Task]:
    """Return the tasks of ready long-running steps that have no running attempt."""
    return [
        task
        for job in cell.jobs.values()
        for steps in job.occurrences.values()
        for step in steps
        if step.spec.long_running and step.ready
        for task in step.tasks
        if all(attempt.phase is not AttemptPhase.RUNNING for attempt in task.attempts)
    ]


def find_obstacle(cell: Cell, task: Task, worker: Worker, *, now: float) -> Obstacle:
    """Return the first reason why a task isn't started on a worker."""
    step = task.step
    checks: Iterable[tuple[Obstacle, bool]] = (
        (Obstacle.UNLISTED, worker.listed),
        (Obstacle.ENTRY_OUTDATED, worker.entry.incarnation >= worker.incarnation),
        (Obstacle.UNREACHABLE, worker.reachable),
        (Obstacle.DRAINING, worker.entry.state is WorkerState.READY),
        (Obstacle.NOT_IN_HANDOVER, worker.handover is HandoverMark.OPEN),
        (Obstacle.QUARANTINED, now >= worker.quarantined_until),
        (Obstacle.PROBED, worker.probe is None),
        (Obstacle.CAPACITY_UNKNOWN, is_capacity_known(cell, worker, now=now)),
        (Obstacle.TRIED, worker.trial is None),
        (Obstacle.CLOSED_DOMAIN, worker.entry.domain not in cell.closed_domains),
        (Obstacle.CONSTRAINED, meets_constraints(step, worker)),
        (Obstacle.NO_TICKET, holds_ticket(step, worker, now=now)),
        (Obstacle.AVOIDED, worker.name not in task.avoided_workers),
        (Obstacle.RESERVED, has_capacity(step, worker, now=now)),
    )
    return next((obstacle for obstacle, ok in checks if not ok), Obstacle.NONE)


def _count_obstacles(cell: Cell, task: Task, *, now: float) -> tuple[str, ...]:
    """Count the workers with enough free resources for a task, by obstacle."""
    needs = compute_committed_resources(task.step.spec)
    counts = Counter(
        find_obstacle(cell, task, worker, now=now)
        for worker in cell.workers.values()
        if worker.entry.service == task.step.job.record.policy.service
        and needs.fits_within(worker.free)
    )
    return tuple(
        f"{obstacle.value}={counts[obstacle]}"
        for obstacle in Obstacle
        if counts[obstacle]
    )
