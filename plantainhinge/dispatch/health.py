"""Which workers are set aside, and which attempts make no progress.

Answers workers that look healthy and fail, refuse or stall what they are given:
they are judged by results, set aside for a growing time and tried again.
"""

from collections.abc import Iterable

from ..fleet.model import OrderOutcome
from .model import Attempt, AttemptPhase, Worker

REFUSAL_QUARANTINE_SECONDS = 0.5
NO_CAPACITY_QUARANTINE_SECONDS = 0.1
CONSECUTIVE_FAULTS_MAX = 2
FAULT_QUARANTINE_SECONDS = 2.0
QUARANTINE_SECONDS_MAX = 8.0
STUCK_SECONDS = 2.5
STUCK_ESTIMATE_RATIO = 1.0


def record_refusal(worker: Worker, outcome: OrderOutcome, *, now: float) -> None:
    """Set a worker aside after it refused a start."""
    if outcome is OrderOutcome.REFUSED:
        worker.consecutive_faults += 1
        pause = min(
            QUARANTINE_SECONDS_MAX,
            REFUSAL_QUARANTINE_SECONDS * 2 ** min(worker.consecutive_faults, 5),
        )
        worker.quarantined_until = max(worker.quarantined_until, now + pause)
    elif outcome is OrderOutcome.NO_ROOM:
        worker.quarantined_until = max(
            worker.quarantined_until, now + NO_CAPACITY_QUARANTINE_SECONDS
        )


def record_failure(worker: Worker, *, now: float) -> None:
    """Count an attempt that failed; several in a row set the worker aside."""
    worker.consecutive_faults += 1
    excess = worker.consecutive_faults - CONSECUTIVE_FAULTS_MAX
    if excess >= 0:
        pause = min(
            QUARANTINE_SECONDS_MAX, FAULT_QUARANTINE_SECONDS * 2 ** min(excess, 4)
        )
        worker.quarantined_until = max(worker.quarantined_until, now + pause)


def record_success(worker: Worker) -> None:
    """Trust a worker again after an attempt that was done."""
    worker.consecutive_faults = 0


def find_stuck(workers: Iterable[Worker], *, now: float) -> list[Attempt]:
    """Return the attempts that should be tried elsewhere."""
    return [
        attempt
        for worker in workers
        if worker.reachable
        for attempt in worker.attempts.values()
        if attempt.phase is AttemptPhase.RUNNING and is_stuck(attempt, now=now)
    ]


def is_stuck(attempt: Attempt, *, now: float) -> bool:
    """Return whether an attempt that should progress has stood still for long."""
    spec = attempt.task.step.spec
    if spec.lasting or spec.fills:
        return False
    return (
        now - attempt.progressed_at
        > STUCK_SECONDS + STUCK_ESTIMATE_RATIO * spec.estimate
    )
