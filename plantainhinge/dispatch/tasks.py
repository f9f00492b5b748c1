"""State transitions of tasks and jobs: start, completion, failure and requeueing."""

import logging

from ..core.ids import AttemptNumber, JobId
from ..core.log_events import write_event
from ..jobs.model import FINAL_JOB_STATES, JobState
from . import health, open_jobs
from .admission import note_finished
from .avoidance import avoid_worker
from .bindings import bind_attempt, close_trial, unbind_attempt
from .log_events import JobEnded
from .model import Attempt, AttemptPhase, OpenJob, Task, Worker
from .ordering import send_start, stop_attempt
from .scheduling_state import SchedulingState

logger = logging.getLogger(__name__)

# position of the task that counts the failures of all members of its gang
GANG_COUNTER_POSITION = 0


def start_task(
    cell: SchedulingState, task: Task, worker: Worker, number: int, *, now: float
) -> Attempt:
    """Bind a new attempt of a task to a worker and order its start."""
    task.last_attempt = number
    if task in task.step.waiting:
        task.step.waiting.remove(task)
    attempt = Attempt(
        task,
        AttemptNumber(number),
        worker,
        AttemptPhase.ORDERED,
        now,
        incarnation=worker.incarnation,
    )
    _end_other_trial(task, worker)
    bind_attempt(attempt)
    health.note_start(attempt, now=now)
    if task.losses:
        cell.dirty[task.step.job.job_id] = task.step.job
    send_start(cell, attempt, now=now)
    return attempt


def _end_other_trial(task: Task, worker: Worker) -> None:
    """End a trial beside which a task starts, unless it is of its own gang."""
    trial = worker.trial
    if trial is None or trial.task is task:
        return
    if trial.task.step is not task.step or not task.step.spec.gang:
        close_trial(trial)


def note_begun(cell: SchedulingState, job: OpenJob) -> None:
    """Note that a worker has shown that it began a task of a job.

    An order shows nothing: it may be refused, or lost with its worker.
    """
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING
        cell.dirty[job.job_id] = job


def finish_task(
    cell: SchedulingState, task: Task, number: AttemptNumber, *, now: float
) -> None:
    """Mark a task as done, and complete its job if it was the last one.

    The other members of its gang are marked as well. Other attempts are stopped, except
    for those of the gang's run that is done: they end by themselves.

    Parameters
    ----------
    number : AttemptNumber
        The attempt that ended as done.
    """
    step = task.step
    finished = step.tasks if step.spec.gang else [task]
    for member in finished:
        if member.done:
            continue
        member.done = True
        step.unfinished -= 1
        note_finished(cell, member, now=now)
        if member in step.waiting:
            step.waiting.remove(member)
        for attempt in list(member.attempts):
            if not step.spec.gang or attempt.number != number:
                stop_attempt(cell, attempt, now=now)
    job = step.job
    cell.dirty[job.job_id] = job
    if step.unfinished:
        return
    job.remaining_paths.pop(step.occurrence, None)
    if open_jobs.close_occurrences(job):
        end_job(cell, job, JobState.COMPLETED, now=now)


def fail_task(
    cell: SchedulingState,
    task: Task,
    worker: Worker,
    number: AttemptNumber,
    *,
    now: float,
) -> None:
    """Count a failed attempt; too many of them fail the job.

    Long-running tasks may fail any number of times.
    """
    job = task.step.job
    avoid_worker(task, worker)
    counted = task.step.tasks[GANG_COUNTER_POSITION] if task.step.spec.gang else task
    if number in counted.failed_attempts:
        return
    cell.dirty[job.job_id] = job
    if task.step.spec.long_running:
        return
    counted.failed_attempts |= {number}
    if len(counted.failed_attempts) >= job.record.policy.attempts:
        end_job(cell, job, JobState.FAILED, now=now)


def end_job(
    cell: SchedulingState, job: OpenJob, state: JobState, *, now: float
) -> None:
    """Close a job and stop its remaining attempts."""
    job.state = state
    cell.dirty[job.job_id] = job
    cell.jobs.pop(job.job_id, None)
    cell.ended_jobs.add(job.job_id)
    for task in job.list_tasks():
        task.step.waiting.clear()
        for attempt in list(task.attempts):
            if attempt.phase is not AttemptPhase.STOPPING:
                stop_attempt(cell, attempt, now=now)
    write_event(logger, JobEnded(job=job.job_id, state=state))


def requeue_task(cell: SchedulingState, task: Task, *, now: float) -> None:
    """Add a task to the waiting ones, unless it is done or has another attempt."""
    step = task.step
    if task.done or task.attempts or task in step.waiting:
        return
    if step.job.state in FINAL_JOB_STATES:
        return
    if task.last_attempt > 1 or task.checkpoint:
        cell.dirty[step.job.job_id] = step.job
    task.waiting_since = now
    step.waiting.append(task)
    cell.unplaced[step] = None


def release_attempt(cell: SchedulingState, attempt: Attempt, *, now: float) -> None:
    """Remove an attempt and requeue its task."""
    remove_attempt(attempt, now=now)
    requeue_task(cell, attempt.task, now=now)
    break_gang(cell, attempt.task, attempt.number, now=now)


def break_gang(
    cell: SchedulingState, task: Task, number: AttemptNumber, *, now: float
) -> None:
    """Stop a gang's run of which a member has ended or won't start.

    The others would hold their workers in vain, and end alone.
    """
    if not task.step.spec.gang or task.done:
        return
    for member in task.step.tasks:
        for attempt in list(member.attempts):
            if attempt.number == number and attempt.phase is not AttemptPhase.STOPPING:
                stop_attempt(cell, attempt, now=now)


def find_task(cell: SchedulingState, key: tuple[JobId, int, int, int]) -> Task | None:
    """Return the task of an open job, or None if there is none."""
    job_id, occurrence, step, index = key
    job = cell.jobs.get(job_id)
    steps = job.occurrences.get(occurrence) if job is not None else None
    if steps is None or step >= len(steps) or index >= len(steps[step].tasks):
        return None
    return steps[step].tasks[index]


def remove_attempt(attempt: Attempt, *, now: float) -> None:
    """Remove an attempt from its worker without requeueing its task."""
    if attempt.task.step.spec.best_effort:
        attempt.worker.best_effort_changed_at = now
    unbind_attempt(attempt)
