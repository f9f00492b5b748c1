"""Builds open jobs from their log records, and progress records from open jobs."""

from collections.abc import Iterator

from ..core.ids import AttemptNumber, Seconds
from ..jobs.model import (
    JobRecord,
    JobState,
    Recurrence,
    TaskKey,
    compute_critical_path,
)
from ..jobs.record_sizes import count_occurrences_max
from ..jobs.records import (
    LostAttempt,
    OccurrenceProgress,
    Progress,
    StepProgress,
    TaskProgress,
    pack_bits,
    unpack_bits,
)
from .checkpoints import find_checkpoint, note_checkpoint
from .model import OpenJob, OpenStep, Task
from .suspicion import is_on_trial

# tasks of a recurring job that are open at a time, unless one occurrence has more
OPEN_TASKS_MAX = 2000
SINGLE_OCCURRENCE = Recurrence(1, 0.0, 0.0)


def open_job(record: JobRecord, progress: Progress | None, *, wall: Seconds) -> OpenJob:
    """Return an open job with its logged progress restored."""
    policy = record.policy
    critical_path = compute_critical_path(record.spec.steps)
    due = (
        record.accepted_at + policy.slack_factor * critical_path + policy.target_latency
    )
    job = OpenJob(record, due)
    if progress is not None:
        job.state = progress.state
        job.finished_below = progress.finished_below
        job.created_below = progress.finished_below
        for number, occurrence in progress.occurrences.items():
            _open_occurrence(job, number)
            _restore_progress(job.occurrences[number], occurrence)
        _skip_attempt_numbers(job, progress.earlier_attempts)
    open_due_occurrences(job, wall=wall)
    return job


def open_due_occurrences(job: OpenJob, *, wall: Seconds) -> list[OpenStep]:
    """Create the steps of each occurrence that is due, and return the new ones.

    Of a job with many occurrences due at once, most wait until others have finished.
    """
    recurrence = job.record.spec.recurrence or SINGLE_OCCURRENCE
    opened: list[OpenStep] = []
    # one that a worker's report opened may be finished before it is due
    job.created_below = max(job.created_below, job.finished_below)
    if not _is_another_due(job, recurrence, wall=wall):
        return opened
    for _ in range(_count_room(job)):
        opened.extend(_open_occurrence(job, job.created_below))
        job.created_below += 1
        if not _is_another_due(job, recurrence, wall=wall):
            break
    return opened


def _is_another_due(job: OpenJob, recurrence: Recurrence, *, wall: Seconds) -> bool:
    number = job.created_below
    due = recurrence.first + number * recurrence.interval
    return number < recurrence.times and due <= wall


def open_started_occurrence(job: OpenJob, number: int) -> list[OpenStep]:
    """Create the steps of an occurrence of which a worker reports an attempt.

    An earlier owner opened it, whose log record may lack it, and by whose clock it may
    have been due earlier. Returns the new steps; none if it is finished or unknown.
    """
    recurrence = job.record.spec.recurrence or SINGLE_OCCURRENCE
    if not job.inherited or not job.finished_below <= number < recurrence.times:
        return []
    return _open_occurrence(job, number)


def _count_room(job: OpenJob) -> int:
    """Return how many more occurrences of a job may be open.

    Finished ones stay until all before them have finished, as many as the record of
    the job's progress can hold.
    """
    spec = job.record.spec
    tasks = sum(step.count for step in spec.steps)
    open_max = max(1, OPEN_TASKS_MAX // max(1, tasks))
    kept_max = max(open_max, count_occurrences_max(spec))
    unfinished = sum(
        any(step.unfinished for step in steps) for steps in job.occurrences.values()
    )
    return max(0, min(open_max - unfinished, kept_max - len(job.occurrences)))


def close_occurrences(job: OpenJob) -> bool:
    """Drop the finished occurrences, and return whether the whole job is done."""
    for number in sorted(job.occurrences):
        if any(step.unfinished for step in job.occurrences[number]):
            continue
        if number == job.finished_below:
            del job.occurrences[number]
            job.finished_below += 1
    recurrence = job.record.spec.recurrence or SINGLE_OCCURRENCE
    return job.finished_below >= recurrence.times


def describe_progress(job: OpenJob) -> Progress:
    """Return the record from which a later owner resumes the job."""
    return Progress(
        job=job.job_id,
        queue=job.record.policy.queue,
        state=job.state,
        finished_below=job.finished_below,
        occurrences={}
        if job.state in (JobState.COMPLETED, JobState.CANCELLED, JobState.FAILED)
        else {
            number: OccurrenceProgress(tuple(_describe_step(step) for step in steps))
            for number, steps in job.occurrences.items()
        },
    )


def _open_occurrence(job: OpenJob, number: int) -> list[OpenStep]:
    if number in job.occurrences:
        return []
    steps = []
    for index, spec in enumerate(job.record.spec.steps):
        step = OpenStep(job, number, index, spec, unfinished=spec.count)
        step.due = _compute_due(job, number)
        step.tasks = [
            Task(TaskKey(job.job_id, number, index, position), step)
            for position in range(spec.count)
        ]
        step.waiting = list(step.tasks)
        steps.append(step)
    job.occurrences[number] = steps
    return steps


def _compute_due(job: OpenJob, number: int) -> float:
    """Return the due time of an occurrence, in seconds since the Unix epoch."""
    recurrence = job.record.spec.recurrence
    if recurrence is None:
        return job.due
    allowed = job.due - job.record.accepted_at
    return recurrence.first + number * recurrence.interval + allowed


def _restore_progress(steps: list[OpenStep], occurrence: OccurrenceProgress) -> None:
    for step, progress in zip(steps, occurrence.steps, strict=False):
        for index in unpack_bits(progress.done):
            if index < len(step.tasks):
                step.tasks[index].done = True
        step.unfinished = sum(not task.done for task in step.tasks)
        step.waiting = [task for task in step.tasks if not task.done]
        for index, task_progress in progress.tasks.items():
            task = step.tasks[index]
            task.last_attempt = task_progress.last_attempt
            task.failed_attempts = frozenset(task_progress.failed_attempts)
            note_checkpoint(task, task_progress.checkpoint)
            task.losses = list(task_progress.losses)
            task.losses.extend(task_progress.pending)


def _skip_attempt_numbers(job: OpenJob, last: int) -> None:
    """Number new attempts of all unfinished tasks after those of an earlier owner."""
    for task in job.list_tasks():
        if not task.done:
            task.last_attempt = max(task.last_attempt, last)


def _describe_step(step: OpenStep) -> StepProgress:
    done = {task.key.position for task in step.tasks if task.done}
    return StepProgress(pack_bits(done), dict(_list_task_progress(step)))


def _list_task_progress(step: OpenStep) -> Iterator[tuple[int, TaskProgress]]:
    for task in step.tasks:
        if task.done:
            continue
        pending = _describe_pending(task)
        numbers = [task.last_attempt, *(attempt.attempt for attempt in pending)]
        progress = TaskProgress(
            max(numbers),
            tuple(sorted(task.failed_attempts)),
            find_checkpoint(task),
            tuple(task.losses),
            pending,
        )
        if progress != TaskProgress(min(task.last_attempt, 1)):
            yield task.key.position, progress


def _describe_pending(task: Task) -> tuple[LostAttempt, ...]:
    """Return the attempts that count as lost unless their workers say otherwise."""
    pending = [
        LostAttempt(
            attempt=attempt.number,
            worker=attempt.worker.name,
            incarnation=attempt.incarnation,
            on_trial=is_on_trial(attempt),
        )
        for attempt in task.attempts
        if task.losses or attempt.worker.may_have_crashed
    ]
    if task.trial is not None and task.trial.attempt is None:
        reserved = LostAttempt(
            attempt=AttemptNumber(task.last_attempt + 1),
            worker=task.trial.worker.name,
            incarnation=task.trial.worker.incarnation,
            on_trial=True,
        )
        pending.append(reserved)
    return tuple(pending)
