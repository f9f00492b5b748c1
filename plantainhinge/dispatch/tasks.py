"""What becomes of a task: started, done, failed, waiting again."""

import logging

from ..core.ids import AttemptNumber, JobId
from ..core.log_events import write_event
from ..jobs.model import FINAL_JOB_STATES, JobState
from . import book
from .cell_tables import CellTables
from .log_events import JobEnded
from .ordering import send_start, stop_run
from .tables import JobRun, Run, RunPhase, Task, Worker, bind, unbind

logger = logging.getLogger(__name__)

# the task of a gang that counts the failures of all its members
GANG_POSITION = 0


def start_task(
    cell: CellTables, task: Task, worker: Worker, attempt: int, *, now: float
) -> Run:
    """Bind a task to a worker under a new attempt and order its start."""
    task.attempt = attempt
    if task in task.step.waiting:
        task.step.waiting.remove(task)
    run = Run(task, AttemptNumber(attempt), worker, RunPhase.ORDERED, now)
    bind(run)
    job = task.step.job
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING
        cell.dirty[job.job] = job
    send_start(cell, run, now=now)
    return run


def finish_task(cell: CellTables, task: Task, *, now: float) -> None:
    """Note that a task is done, and what follows for its job."""
    step = task.step
    finished = step.tasks if step.spec.gang else [task]
    for member in finished:
        if member.done:
            continue
        member.done = True
        step.left -= 1
        if member in step.waiting:
            step.waiting.remove(member)
        for run in list(member.runs):
            if not step.spec.gang:
                stop_run(cell, run, now=now)
    job = step.job
    cell.dirty[job.job] = job
    if step.left == 0 and book.close_occurrences(job):
        end_job(cell, job, JobState.COMPLETED, now=now)


def fail_task(
    cell: CellTables, task: Task, worker: Worker, attempt: AttemptNumber, *, now: float
) -> None:
    """Count an attempt that failed; the last one that is allowed fails the job."""
    job = task.step.job
    task.avoid.add(worker.name)
    counted = task.step.tasks[GANG_POSITION] if task.step.spec.gang else task
    if attempt in counted.failed:
        return
    cell.dirty[job.job] = job
    if task.step.spec.lasting:
        return
    counted.failed.add(attempt)
    if len(counted.failed) >= job.record.policy.attempts:
        end_job(cell, job, JobState.FAILED, now=now)


def end_job(cell: CellTables, job: JobRun, state: JobState, *, now: float) -> None:
    """Close a job and stop what it still runs."""
    job.state = state
    cell.dirty[job.job] = job
    cell.jobs.pop(job.job, None)
    cell.ended.add(job.job)
    for task in job.list_tasks():
        task.step.waiting.clear()
        for run in list(task.runs):
            if run.phase is not RunPhase.STOPPING:
                stop_run(cell, run, now=now)
    write_event(logger, JobEnded(job=job.job, state=state))


def requeue_task(cell: CellTables, task: Task, *, now: float) -> None:
    """Make a task wait again unless it is done or bound elsewhere."""
    step = task.step
    if task.done or task.runs or task in step.waiting:
        return
    if step.job.state in FINAL_JOB_STATES:
        return
    if task.attempt > 1 or task.checkpoint:
        cell.dirty[step.job.job] = step.job
    step.waiting.append(task)


def release_run(cell: CellTables, run: Run, *, now: float) -> None:
    """Give up an attempt; its task waits again."""
    take_off(run, now=now)
    requeue_task(cell, run.task, now=now)


def find_task(cell: CellTables, key: tuple[JobId, int, int, int]) -> Task | None:
    """Return an open task, or None."""
    job_id, occurrence, step, index = key
    job = cell.jobs.get(job_id)
    steps = job.occurrences.get(occurrence) if job is not None else None
    if steps is None or step >= len(steps) or index >= len(steps[step].tasks):
        return None
    return steps[step].tasks[index]


def take_off(run: Run, *, now: float) -> None:
    """Take an attempt from its worker."""
    if run.task.step.spec.fills:
        run.worker.fills_changed_at = now
    unbind(run)
