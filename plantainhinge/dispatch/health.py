"""Which workers are set aside, and which attempts make no progress.

Answers workers that look healthy and fail, refuse or stall what they are given:
they are judged by results, set aside for a growing time and tried again.
"""

from collections.abc import Iterable

from ..fleet.model import OrderOutcome
from .tables import Run, RunPhase, Worker

REFUSAL_PAUSE_SECONDS = 0.5
NO_ROOM_PAUSE_SECONDS = 0.1
FAULTS_TOLERATED = 2
FAULT_PAUSE_SECONDS = 2.0
FAULT_PAUSE_SECONDS_MAX = 8.0
STUCK_SECONDS = 2.5
STUCK_ESTIMATES = 1.0


def note_refusal(worker: Worker, outcome: OrderOutcome, *, now: float) -> None:
    """Set a worker aside after it refused a start."""
    if outcome is OrderOutcome.REFUSED:
        worker.faults_in_a_row += 1
        pause = min(
            FAULT_PAUSE_SECONDS_MAX,
            REFUSAL_PAUSE_SECONDS * 2 ** min(worker.faults_in_a_row, 5),
        )
        worker.set_aside_until = max(worker.set_aside_until, now + pause)
    elif outcome is OrderOutcome.NO_ROOM:
        worker.set_aside_until = max(
            worker.set_aside_until, now + NO_ROOM_PAUSE_SECONDS
        )


def note_failure(worker: Worker, *, now: float) -> None:
    """Count an attempt that failed; several in a row set the worker aside."""
    worker.faults_in_a_row += 1
    excess = worker.faults_in_a_row - FAULTS_TOLERATED
    if excess >= 0:
        pause = min(FAULT_PAUSE_SECONDS_MAX, FAULT_PAUSE_SECONDS * 2 ** min(excess, 4))
        worker.set_aside_until = max(worker.set_aside_until, now + pause)


def note_success(worker: Worker) -> None:
    """Trust a worker again after an attempt that was done."""
    worker.faults_in_a_row = 0


def find_stuck(workers: Iterable[Worker], *, now: float) -> list[Run]:
    """Return the attempts that should be tried elsewhere."""
    return [
        run
        for worker in workers
        if worker.in_touch
        for run in worker.runs.values()
        if run.phase is RunPhase.RUNNING and is_stuck(run, now=now)
    ]


def is_stuck(run: Run, *, now: float) -> bool:
    """Return whether an attempt that should progress has stood still for long."""
    spec = run.task.step.spec
    if spec.lasting or spec.fills:
        return False
    return now - run.moved_at > STUCK_SECONDS + STUCK_ESTIMATES * spec.estimate
