"""Handles the reports of workers: ended, running and missing attempts."""

import logging

from ..core.log_events import write_event
from ..fleet.model import (
    EndCause,
    EndedAttempt,
    RunningAttempt,
    StopOrder,
    WorkerReport,
)
from ..jobs.model import TaskKey
from . import health, open_jobs
from .bindings import bind_attempt
from .checkpoints import note_checkpoint
from .eviction import protect_serving
from .incarnations import begin_incarnation
from .interference import infer_speed
from .leases import record_answer
from .log_events import (
    AttemptEnded,
    AttemptGone,
    DropReason,
    EndDropped,
    SecondAttemptFound,
    describe_attempt,
    name_key,
)
from .losses import clear_task, explain_losses, lose_attempts
from .model import Attempt, AttemptPhase, Task, Worker
from .ordering import send_throttle, stop_attempt
from .orders import Stop
from .outages import LossCause
from .scheduling_state import SchedulingState
from .tasks import (
    break_gang,
    fail_task,
    find_task,
    finish_task,
    note_begun,
    release_attempt,
    remove_attempt,
    requeue_task,
)
from .trials import check_trial

logger = logging.getLogger(__name__)

# a report with this many ends may not list all of them
ENDS_PER_REPORT_MAX = 500


def handle_report(
    cell: SchedulingState,
    worker: Worker,
    report: WorkerReport,
    *,
    sent: float,
    now: float,
) -> None:
    """Handle a worker's report; one of an earlier incarnation is ignored."""
    if report.incarnation < worker.incarnation:
        return
    if report.incarnation > worker.incarnation:
        begin_incarnation(cell, worker, report.incarnation, now=now)
    _note_survival(cell, worker, now=now)
    record_answer(worker, clock=report.clock, received=now)
    for end in report.ended:
        if end.sequence > worker.last_end_sequence:
            _handle_end(cell, worker, end, now=now)
            worker.last_end_sequence = end.sequence
            cell.unacknowledged[worker.name] = worker
    worker.orphans.clear()
    for running in report.running:
        _handle_running(cell, worker, running, now=now)
    health.check_probe(worker, now=now)
    check_trial(worker, now=now)
    worker.mark_changed()
    if len(report.ended) < ENDS_PER_REPORT_MAX:
        _release_missing(cell, worker, report, sent=sent, now=now)
        cell.mark_verified(worker.name)
    protect_serving(cell, worker, now=now)


def _note_survival(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    """Note that a worker answers, which may have been taken for crashed."""
    outage = cell.outages.get(worker.name)
    if outage is not None and outage.incarnation == worker.incarnation:
        del cell.outages[worker.name]
    explain_losses(cell, worker.name, survivor=worker.incarnation, now=now)


def _handle_end(
    cell: SchedulingState, worker: Worker, end: EndedAttempt, *, now: float
) -> None:
    attempt = worker.attempts.get((end.task, end.attempt))
    if attempt is not None:
        remove_attempt(attempt, now=now)
    task = _find_started_task(cell, end.task)
    _log_dropped_end(worker, end, attempt, task)
    if task is None or task.done:
        return
    note_begun(cell, task.step.job)
    task.last_attempt = max(task.last_attempt, end.attempt)
    if end.cause is EndCause.FAILED:
        health.record_failure(worker, now=now)
        fail_task(cell, task, worker, end.attempt, now=now)
    if attempt is not None and end.cause is not EndCause.DONE:
        event = AttemptEnded(
            about=describe_attempt(attempt),
            cause=end.cause,
            failures=len(task.failed_attempts),
        )
        write_event(logger, event)
    if _finishes(end, task):
        # whoever started it: the worker forgets the end, so it must count now
        health.record_success(worker)
        finish_task(cell, task, end.attempt, now=now)
        return
    if attempt is None and not _accepts_unknown_end(task):
        return
    note_checkpoint(task, end.checkpoint)
    requeue_task(cell, task, now=now)
    break_gang(cell, task, end.attempt, now=now)


def _finishes(end: EndedAttempt, task: Task) -> bool:
    return end.cause is EndCause.DONE and not task.step.spec.long_running


def _log_dropped_end(
    worker: Worker, end: EndedAttempt, attempt: Attempt | None, task: Task | None
) -> None:
    """Log an end that has no effect: its attempt is unknown, and it isn't accepted."""
    if attempt is not None:
        return
    if task is None:
        reason = DropReason.NOT_OPEN
    elif task.done:
        reason = DropReason.TASK_DONE
    elif _finishes(end, task) or _accepts_unknown_end(task):
        return
    elif task.step.job.inherited:
        reason = DropReason.OTHER_ATTEMPT
    else:
        reason = DropReason.NOT_INHERITED
    event = EndDropped(
        job=end.task.job,
        task=name_key(end.task),
        attempt=end.attempt,
        worker=worker.name,
        cause=end.cause,
        reason=reason,
    )
    write_event(logger, event)


def _find_started_task(cell: SchedulingState, key: TaskKey) -> Task | None:
    """Return the task of which a worker reports an attempt, or None.

    Its occurrence is opened if only an earlier owner had done so. Otherwise an end
    would be acknowledged and forgotten, and the task started again later.
    """
    job = cell.jobs.get(key.job)
    if job is not None:
        opened = open_jobs.open_started_occurrence(job, key.occurrence)
        cell.unplaced.update(dict.fromkeys(opened))
    return find_task(cell, key)


def _accepts_unknown_end(task: Task) -> bool:
    """Return whether to resume from an end, not as done, of an unknown attempt.

    It was started by an earlier owner. A speculative task may have another attempt
    that is known and still runs; any other task must have none.
    """
    speculative = task.step.spec.speculative
    return task.step.job.inherited and (speculative or not task.attempts)


def _handle_running(
    cell: SchedulingState, worker: Worker, running: RunningAttempt, *, now: float
) -> None:
    attempt = worker.attempts.get((running.task, running.attempt))
    if attempt is None:
        _adopt_attempt(cell, worker, running, now=now)
        return
    if attempt.phase is AttemptPhase.ORDERED:
        attempt.phase = AttemptPhase.RUNNING
        attempt.confirmed_at = attempt.progressed_at = now
        attempt.retry_at = float("inf")
    attempt.reported = True
    attempt.incarnation = worker.incarnation
    note_begun(cell, attempt.task.step.job)
    clear_task(cell, attempt, now=now)
    if running.progress_percent != attempt.progress_percent:
        attempt.progress_percent = running.progress_percent
        attempt.progressed_at = now
    attempt.gauge = running.gauge
    if attempt.phase is AttemptPhase.RUNNING:
        note_checkpoint(attempt.task, running.checkpoint)


def _adopt_attempt(
    cell: SchedulingState, worker: Worker, running: RunningAttempt, *, now: float
) -> None:
    """Add an attempt that an earlier owner started, or stop it.

    It is stopped if its task isn't open or is done already, or if the task has another
    attempt without being speculative.
    """
    task = _find_started_task(cell, running.task)
    if task is None:
        worker.orphans.append(running.task)
        stop_orphaned_attempt(cell, worker, running)
        return
    note_begun(cell, task.step.job)
    task.last_attempt = max(task.last_attempt, running.attempt)
    attempt = Attempt(
        task,
        running.attempt,
        worker,
        AttemptPhase.RUNNING,
        now,
        now,
        incarnation=worker.incarnation,
    )
    attempt.progress_percent, attempt.gauge, attempt.progressed_at = (
        running.progress_percent,
        running.gauge,
        now,
    )
    attempt.reported = True
    others = [
        other for other in task.attempts if other.phase is not AttemptPhase.STOPPING
    ]
    bind_attempt(attempt)
    if task.step.spec.best_effort:
        _restore_speed(cell, attempt)
    if task in task.step.waiting:
        task.step.waiting.remove(task)
    if task.done or (others and not task.step.spec.speculative):
        event = SecondAttemptFound(
            about=describe_attempt(attempt),
            others=tuple(other.worker.name for other in others),
        )
        write_event(logger, event)
        stop_attempt(cell, attempt, now=now)
    if not others:
        note_checkpoint(task, running.checkpoint)


def _restore_speed(cell: SchedulingState, attempt: Attempt) -> None:
    """Order the speed that a best-effort attempt seems to have.

    The earlier owner may have throttled it, and reports don't say so. It could stay
    paused for good if this owner took it to run at full speed.
    """
    percent = infer_speed(attempt.task.step.spec, attempt.gauge)
    if percent < attempt.speed_percent:
        send_throttle(cell, attempt, percent)


def stop_orphaned_attempt(
    cell: SchedulingState, worker: Worker, running: RunningAttempt
) -> None:
    """Stop an attempt whose task isn't open."""
    order = StopOrder(task=running.task, attempt=running.attempt, epoch=cell.epoch)
    cell.commands.append(Stop(worker, order, None))


def _release_missing(
    cell: SchedulingState,
    worker: Worker,
    report: WorkerReport,
    *,
    sent: float,
    now: float,
) -> None:
    """Release the confirmed attempts that a report lists neither as running nor ended.

    Attempts confirmed after the renewal was sent may be too new for the report. One
    whose start may still be carried out is stopped first: the worker then refuses it.
    So is one that was ordered before the worker restarted; it may be what crashed it.
    """
    present = {(running.task, running.attempt) for running in report.running}
    for key, attempt in list(worker.attempts.items()):
        if key in present:
            continue
        is_older = attempt.incarnation < worker.incarnation
        if attempt.phase is AttemptPhase.ORDERED:
            if is_older:
                stop_attempt(cell, attempt, now=now)
            continue
        if attempt.confirmed_at >= sent:
            continue
        if _may_start_late(attempt):
            stop_attempt(cell, attempt, now=now)
        elif is_older:
            lose_attempts(cell, worker, [attempt], LossCause.RESTARTED, now=now)
        else:
            write_event(logger, AttemptGone(about=describe_attempt(attempt)))
            release_attempt(cell, attempt, now=now)


def _may_start_late(attempt: Attempt) -> bool:
    return (
        attempt.unsettled
        and not attempt.reported
        and attempt.phase is AttemptPhase.RUNNING
    )
