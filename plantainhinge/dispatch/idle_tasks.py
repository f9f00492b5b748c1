"""Explains why tasks don't run: what keeps them off each worker.

Each long-running task counts, and of any other job that has nothing running one task.

This only describes the state that decisions are made from; it decides nothing.
"""

from collections import Counter
from dataclasses import dataclass, field

from .bindings import compute_committed_resources
from .cell import Cell
from .model import AttemptPhase, OpenJob, OpenStep, Task
from .placement_rules import find_obstacle
from .step_events import TasksIdle, describe_step

# tasks that have been idle for less are about to be started
IDLE_SECONDS_MIN = 2.0
# lines written at a time
STEPS_MAX = 10


@dataclass
class IdleTasks:
    """Remembers since when tasks have been seen idle.

    Parameters
    ----------
    seen : dict of Task to float
        Monotonic seconds of the first look at which a task was idle.
    kept : Counter of str
        How many of the steps in the last events each rule keeps off a worker.
    """

    seen: dict[Task, float] = field(default_factory=dict)
    kept: Counter[str] = field(default_factory=Counter)

    def observe(self, cell: Cell, *, now: float) -> list[TasksIdle]:
        """Look once; return events for the steps that have been idle for longest.

        A task that only waits for room isn't worth one, unless it should always run.
        """
        idle = [*list_idle_tasks(cell), *list_idle_jobs(cell)]
        self.seen = {task: self.seen.get(task, now) for task in idle}
        steps: dict[OpenStep, list[Task]] = {}
        for task, since in sorted(self.seen.items(), key=lambda item: item[1]):
            if now - since >= IDLE_SECONDS_MIN:
                steps.setdefault(task.step, []).append(task)
        events = [
            self._describe(cell, step, tasks, now=now)
            for step, tasks in list(steps.items())[:STEPS_MAX]
        ]
        self.kept = Counter(
            obstacle.partition("=")[0]
            for event in events
            for obstacle in event.obstacles
        )
        return [event for event in events if event.lasting or event.obstacles]

    def measure_longest(self, *, now: float) -> float:
        """Return for how long a long-running task has been seen idle, in seconds."""
        lasting = [
            since for task, since in self.seen.items() if task.step.spec.long_running
        ]
        return now - min(lasting, default=now)

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
            lasting=step.spec.long_running,
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


def list_idle_jobs(cell: Cell) -> list[Task]:
    """Return a waiting task of each job that has finite ones and runs nothing."""
    first_by_job: dict[OpenJob, Task] = {}
    for step in cell.list_waiting_steps():
        if not step.spec.long_running:
            first_by_job.setdefault(step.job, step.waiting[0])
    return [
        task
        for job, task in first_by_job.items()
        if not any(other.attempts for other in job.list_tasks())
    ]


def _count_obstacles(cell: Cell, task: Task, *, now: float) -> tuple[str, ...]:
    """Count the workers with enough free resources for a task, by obstacle."""
    needs = compute_committed_resources(task.step.spec)
    counts = Counter(
        find_obstacle(cell, task, worker, now=now)
        for worker in cell.workers.values()
        if worker.entry.service == task.step.job.record.policy.service
        and needs.fits_within(worker.free)
    )
    return tuple(f"{name}={count}" for name, count in sorted(counts.items()))
