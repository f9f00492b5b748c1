"""Eviction, migration and throttling of running attempts."""

import logging

from ..core.log_events import write_event
from ..fleet.model import WorkerState
from . import health
from .avoidance import avoid_worker
from .interference import (
    FULL_SPEED_PERCENT,
    SpeedChange,
    adjust_speeds,
    find_neighbours,
    measure_pressure,
    update_weights,
)
from .log_events import (
    AttemptMoved,
    AttemptsThrottled,
    AttemptStuck,
    describe_attempt,
    name_task,
)
from .model import Attempt, AttemptPhase, Worker
from .ordering import send_throttle, stop_attempt
from .scheduling_state import SchedulingState
from .trials import needs_trial
from .worker_choice import choose_worker

logger = logging.getLogger(__name__)

# duration of a stop, a start and the work repeated since the checkpoint
MOVE_COST_SECONDS = 2.5
MOVE_RUNTIME_SECONDS_MIN = 0.8
# assumed speed of attempts that are paused or nearly so, to bound their delay
SPEED_PERCENT_FLOOR = 5


def evict_from_draining(cell: SchedulingState, *, now: float) -> None:
    """Stop the attempts on draining workers that should restart elsewhere."""
    for worker in cell.workers.values():
        if worker.entry.state is WorkerState.DRAINING:
            for attempt in list(worker.attempts.values()):
                if attempt.phase is AttemptPhase.RUNNING and _should_leave(attempt):
                    stop_attempt(cell, attempt, now=now)


def evict_stuck(cell: SchedulingState, *, now: float) -> None:
    """Stop attempts that make no progress, so that they restart on other workers."""
    for attempt in health.find_stuck(cell.workers.values(), now=now):
        event = AttemptStuck(
            about=describe_attempt(attempt), still_s=now - attempt.progressed_at
        )
        write_event(logger, event)
        avoid_worker(attempt.task, attempt.worker)
        stop_attempt(cell, attempt, now=now)


def move_throttled(cell: SchedulingState, *, now: float) -> None:
    """Move throttled attempts to other workers, if that makes them finish earlier.

    At most one attempt per worker is moved at a time, and only those that resume from
    a checkpoint.
    """
    for worker in cell.workers.values():
        candidates = [
            attempt
            for attempt in worker.attempts.values()
            if is_worth_moving(attempt, now=now)
        ]
        if not candidates or not worker.reachable:
            continue
        attempt = max(candidates, key=estimate_throttle_delay)
        others = [
            other
            for other in cell.workers.values()
            if other is not worker
            and other.accepts_work(now)
            and other.entry.domain not in cell.closed_domains
            and other.entry.service == worker.entry.service
        ]
        destination = choose_worker(attempt.task, others, cell.weights, now=now)
        if destination is not None:
            event = AttemptMoved(
                about=describe_attempt(attempt),
                pace=attempt.speed_percent,
                target=destination.name,
            )
            write_event(logger, event)
            stop_attempt(cell, attempt, now=now)


def is_worth_moving(attempt: Attempt, *, now: float) -> bool:
    """Return whether throttling delays an attempt by more than a move costs."""
    spec = attempt.task.step.spec
    return (
        spec.best_effort
        and spec.checkpoints
        and attempt.phase is AttemptPhase.RUNNING
        and now - attempt.confirmed_at > MOVE_RUNTIME_SECONDS_MIN
        and estimate_throttle_delay(attempt) > MOVE_COST_SECONDS
        and not needs_trial(attempt.task)
    )


def estimate_throttle_delay(attempt: Attempt) -> float:
    """Return the estimated seconds by which throttling delays an attempt."""
    time_left = attempt.task.step.spec.estimate * (100 - attempt.progress_percent) / 100
    return time_left * 100 / max(attempt.speed_percent, SPEED_PERCENT_FLOOR) - time_left


def protect_serving(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    """Throttle best-effort attempts on a worker to protect its serving tasks.

    This also updates the learned interference between the worker's images. Where no
    serving task is left, the attempts return to full speed.
    """
    if not worker.serving_millicores and not _has_throttled(worker):
        return
    update_weights(worker, cell.weights, now=now)
    changes = adjust_speeds(worker, cell.weights, now=now)
    for change in changes:
        send_throttle(cell, change.attempt, change.percent)
    if changes:
        write_event(logger, _describe_throttling(worker, changes, now=now))


def _has_throttled(worker: Worker) -> bool:
    return any(
        attempt.speed_percent < FULL_SPEED_PERCENT
        for attempt in worker.attempts.values()
    )


def _describe_throttling(
    worker: Worker, changes: list[SpeedChange], *, now: float
) -> AttemptsThrottled:
    serving = find_neighbours(worker).serving
    return AttemptsThrottled(
        worker=worker.name,
        tasks=tuple(name_task(change.attempt) for change in changes),
        percents=tuple(change.percent for change in changes),
        pressure=max((measure_pressure(attempt) for attempt in serving), default=0.0),
        over_s=max(
            (max(0.0, now - attempt.over_target_since) for attempt in serving),
            default=0.0,
        ),
    )


def _should_leave(attempt: Attempt) -> bool:
    """Return whether an attempt should leave a draining worker before it has finished.

    Long-running tasks always leave; others do if they have checkpoints and would not
    finish while the worker is certain to stay available.
    """
    spec = attempt.task.step.spec
    if spec.long_running:
        return True
    time_left = spec.estimate * (100 - attempt.progress_percent) / 100
    return spec.checkpoints and time_left > attempt.worker.entry.remaining
