"""Speculative execution: a second attempt beside a slow or unreachable one.

The latency of short jobs is dominated by their last task, whose worker may have become
slow or unreachable, or may not have answered the order. Where a step allows it, a
speculative attempt starts on another worker, and the first to finish counts. Waiting
tasks are placed first.
"""

import logging
from statistics import median

from ..core.log_events import write_event
from .assignment import list_available_workers
from .log_events import SpeculativeAttemptOrdered, describe_attempt
from .model import Attempt, AttemptPhase
from .scheduling_state import SchedulingState
from .tasks import start_task
from .worker_choice import choose_worker
from .workspaces import CapCheck

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.1
# the slow attempt must need this many times as long as a new one
TIME_LEFT_RATIO_MIN = 1.5
# an attempt without known progress is slow this long after its estimate
NO_PROGRESS_SECONDS = 1.2
# an order unanswered for this long may be carried out much later
UNANSWERED_SECONDS = 0.3


def start_speculative_attempts(cell: SchedulingState, *, now: float) -> None:
    """Start a speculative attempt for each task that would finish earlier by it."""
    if now < cell.speculation_checked_at + CHECK_INTERVAL_SECONDS:
        return
    cell.speculation_checked_at = now
    slow = [
        attempt
        for worker in cell.workers.values()
        for attempt in worker.attempts.values()
        if allows_speculation(attempt) and gains_by_speculation(attempt, now=now)
    ]
    if not slow:
        return
    pools = list_available_workers(cell, now=now)
    caps = CapCheck(cell)
    for attempt in slow:
        if not caps.allows(attempt.task.step):
            continue
        pool = pools.get(attempt.task.step.job.record.policy.service, [])
        others = [worker for worker in pool if worker is not attempt.worker]
        destination = choose_worker(attempt.task, others, cell.weights, now=now)
        if destination is None:
            continue
        event = SpeculativeAttemptOrdered(
            about=describe_attempt(attempt),
            target=destination.name,
            left_s=estimate_time_left(attempt, now=now),
            fresh_s=estimate_new_attempt(attempt),
        )
        write_event(logger, event)
        start_task(
            cell, attempt.task, destination, attempt.task.last_attempt + 1, now=now
        )


def allows_speculation(attempt: Attempt) -> bool:
    """Return whether an attempt's task may have a second attempt and has none.

    A task of which attempts were lost with their workers may be what crashes them, so
    it runs in one place at a time.
    """
    spec = attempt.task.step.spec
    return (
        spec.speculative
        and not spec.long_running
        and not spec.gang
        and not attempt.task.losses
        and len(attempt.task.attempts) == 1
        and attempt.phase is not AttemptPhase.STOPPING
    )


def gains_by_speculation(attempt: Attempt, *, now: float) -> bool:
    """Return whether a new attempt would likely finish before this one."""
    if not attempt.worker.reachable:
        return True
    if attempt.phase is AttemptPhase.ORDERED:
        return now - attempt.ordered_at > UNANSWERED_SECONDS
    return estimate_time_left(
        attempt, now=now
    ) > TIME_LEFT_RATIO_MIN * estimate_new_attempt(attempt)


def estimate_time_left(attempt: Attempt, *, now: float) -> float:
    """Return the seconds that an attempt still needs at its average speed so far.

    Without known progress that is its estimate, or infinite once it is overdue.
    """
    total = project_duration(attempt)
    elapsed = now - attempt.confirmed_at
    if total is not None:
        return total - elapsed
    estimate = attempt.task.step.spec.estimate
    return float("inf") if elapsed > estimate + NO_PROGRESS_SECONDS else estimate


def estimate_new_attempt(attempt: Attempt) -> float:
    """Return the seconds that a new attempt is expected to take.

    If most tasks of a step are slow, its estimate is wrong rather than the workers
    slow, so the median over the step's tasks counts.
    """
    step = attempt.task.step
    totals = [step.spec.estimate]
    for task in step.tasks:
        if task.done:
            totals.append(step.spec.estimate)
        totals.extend(
            total
            for other in task.attempts
            if other.worker is not attempt.worker
            and (total := project_duration(other)) is not None
        )
    return max(step.spec.estimate, median(totals))


def project_duration(attempt: Attempt) -> float | None:
    """Return the total seconds an attempt takes at its speed so far, if known."""
    worked = attempt.progressed_at - attempt.confirmed_at
    if attempt.progress_percent <= 0 or worked <= 0:
        return None
    # workers round the percentage down
    return worked * 100 / (attempt.progress_percent + 1)
