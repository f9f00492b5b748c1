"""Attempts that have to leave their worker, and paces of those that may stay."""

import logging

from ..core.log_events import write_event
from ..fleet.model import WorkerState
from . import health
from .cell_state import CellState
from .interference import (
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
from .worker_choice import choose_worker

logger = logging.getLogger(__name__)

# what a stop, a start and the way back to a checkpoint take together
MOVE_COST_SECONDS = 2.5
MOVE_RUNTIME_SECONDS_MIN = 0.8
SPEED_PERCENT_FLOOR = 5


def evict_from_draining(cell: CellState, *, now: float) -> None:
    """Move attempts off workers that leave soon."""
    for worker in cell.workers.values():
        if worker.entry.state is WorkerState.DRAINING:
            for attempt in list(worker.attempts.values()):
                if attempt.phase is AttemptPhase.RUNNING and _should_leave(attempt):
                    stop_attempt(cell, attempt, now=now)


def evict_stuck(cell: CellState, *, now: float) -> None:
    """Stop attempts that make no progress, to try them elsewhere."""
    for attempt in health.find_stuck(cell.workers.values(), now=now):
        event = AttemptStuck(
            about=describe_attempt(attempt), still_s=now - attempt.progressed_at
        )
        write_event(logger, event)
        attempt.task.avoided_workers.add(attempt.worker.name)
        stop_attempt(cell, attempt, now=now)


def move_throttled(cell: CellState, *, now: float) -> None:
    """Move attempts that fill to where they disturb nobody, if that is quicker.

    One a worker at a time, and only those that resume from a checkpoint.
    """
    for worker in cell.workers.values():
        slowed = [
            attempt
            for attempt in worker.attempts.values()
            if is_worth_moving(attempt, now=now)
        ]
        if not slowed or not worker.reachable:
            continue
        attempt = max(slowed, key=estimate_throttle_delay)
        others = [
            other
            for other in cell.workers.values()
            if other is not worker
            and other.accepts_work(now)
            and other.entry.domain not in cell.closed_domains
            and other.entry.service == worker.entry.service
        ]
        target = choose_worker(attempt.task, others, cell.weights, now=now)
        if target is not None:
            event = AttemptMoved(
                about=describe_attempt(attempt),
                pace=attempt.speed_percent,
                target=target.name,
            )
            write_event(logger, event)
            stop_attempt(cell, attempt, now=now)


def is_worth_moving(attempt: Attempt, *, now: float) -> bool:
    """Return whether an attempt loses more by its pace than by a move."""
    spec = attempt.task.step.spec
    return (
        spec.fills
        and spec.checkpoints
        and attempt.phase is AttemptPhase.RUNNING
        and now - attempt.confirmed_at > MOVE_RUNTIME_SECONDS_MIN
        and estimate_throttle_delay(attempt) > MOVE_COST_SECONDS
    )


def estimate_throttle_delay(attempt: Attempt) -> float:
    """Return the seconds that an attempt's pace will cost it at its estimate."""
    left = attempt.task.step.spec.estimate * (100 - attempt.progress_percent) / 100
    return left * 100 / max(attempt.speed_percent, SPEED_PERCENT_FLOOR) - left


def protect_serving(cell: CellState, worker: Worker, *, now: float) -> None:
    """Learn how the images on a worker disturb each other, and set paces."""
    if not worker.serving_millicores:
        return
    update_weights(worker, cell.weights, now=now)
    changes = adjust_speeds(worker, cell.weights, now=now)
    for change in changes:
        send_throttle(cell, change.attempt, change.percent)
    if changes:
        write_event(logger, _describe_throttling(worker, changes, now=now))


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
    """Return whether a task loses less by moving off a worker that leaves."""
    spec = attempt.task.step.spec
    if spec.lasting:
        return True
    left = spec.estimate * (100 - attempt.progress_percent) / 100
    return spec.checkpoints and left > attempt.worker.entry.remaining
