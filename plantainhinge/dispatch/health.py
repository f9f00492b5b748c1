"""Quarantine of faulty workers, and detection of attempts without progress.

Some workers answer as if healthy, yet fail, refuse or stall the attempts given to them.
So workers are judged by results: after faults they are quarantined with exponential
backoff and then tried again with one attempt.
"""

from collections.abc import Iterable

from ..fleet.model import OrderOutcome
from ..jobs.model import Step
from .model import Attempt, AttemptPhase, Worker

REFUSAL_QUARANTINE_SECONDS = 0.5
NO_CAPACITY_QUARANTINE_SECONDS = 0.1
# consecutive faults from which a failed attempt quarantines its worker
QUARANTINE_FAULTS_MIN = 2
FAULT_QUARANTINE_SECONDS = 2.0
QUARANTINE_SECONDS_MAX = 4.0
# after this time without a fault earlier ones no longer count
FAULT_MEMORY_SECONDS = 15.0
# a probe that has run for this long beyond its estimate shows that its worker is well
PROBE_SECONDS = 1.0
# an attempt is stuck after this time and this multiple of its estimate, added up
STUCK_SECONDS = 2.5
STUCK_ESTIMATE_RATIO = 1.0
# the next check is earlier by this time, so that rounding doesn't delay it
CHECK_MARGIN_SECONDS = 0.001


def record_refusal(worker: Worker, outcome: OrderOutcome, *, now: float) -> None:
    """Quarantine a worker that refused a start, briefly if it only lacks capacity.

    One that the start couldn't be sent to is no more likely to get the next one.
    """
    if outcome is OrderOutcome.REFUSED:
        _count_fault(worker, now=now)
        quarantine = min(
            QUARANTINE_SECONDS_MAX,
            REFUSAL_QUARANTINE_SECONDS * 2 ** min(worker.consecutive_faults, 5),
        )
        worker.quarantined_until = max(worker.quarantined_until, now + quarantine)
    elif outcome is OrderOutcome.NOT_SENT:
        worker.quarantined_until = max(
            worker.quarantined_until, now + REFUSAL_QUARANTINE_SECONDS
        )
    elif outcome is OrderOutcome.NO_CAPACITY:
        worker.quarantined_until = max(
            worker.quarantined_until, now + NO_CAPACITY_QUARANTINE_SECONDS
        )


def record_failure(worker: Worker, *, now: float) -> None:
    """Count a failed attempt; several in a row quarantine the worker.

    In quarantine only attempts from before it can fail, and they say nothing new.
    """
    if now < worker.quarantined_until:
        return
    _count_fault(worker, now=now)
    excess = worker.consecutive_faults - QUARANTINE_FAULTS_MIN
    if excess >= 0:
        quarantine = min(
            QUARANTINE_SECONDS_MAX, FAULT_QUARANTINE_SECONDS * 2 ** min(excess, 4)
        )
        worker.quarantined_until = max(worker.quarantined_until, now + quarantine)


def _count_fault(worker: Worker, *, now: float) -> None:
    worker.consecutive_faults = count_faults(worker, now=now) + 1
    worker.faulted_at = now


def count_faults(worker: Worker, *, now: float) -> int:
    """Return the faults in a row that still count."""
    if now - worker.faulted_at > FAULT_MEMORY_SECONDS:
        return 0
    return worker.consecutive_faults


def note_stop(attempt: Attempt) -> None:
    """Let another attempt probe the worker, as this one is stopped."""
    if attempt.worker.probe is attempt:
        attempt.worker.probe = None
        attempt.worker.revision += 1


def note_start(attempt: Attempt, *, now: float) -> None:
    """Make an attempt the probe of its worker, if that had been in quarantine."""
    if count_faults(attempt.worker, now=now) >= QUARANTINE_FAULTS_MIN:
        attempt.worker.probe = attempt


def check_probe(worker: Worker, *, now: float) -> None:
    """Take a worker for well once its probe has run for long enough."""
    probe = worker.probe
    if probe is None or probe.phase is not AttemptPhase.RUNNING or not probe.reported:
        return
    if now - probe.confirmed_at >= _compute_probe_seconds(probe.task.step.spec):
        record_success(worker)


def _compute_probe_seconds(spec: Step) -> float:
    """Return how long a probe must run; some workers fail tasks only at their end."""
    return PROBE_SECONDS + (0.0 if spec.long_running else spec.estimate)


def record_success(worker: Worker) -> None:
    """Reset a worker's consecutive faults after an attempt that finished."""
    worker.consecutive_faults = 0
    if worker.probe is not None:
        worker.probe = None
        worker.revision += 1


def find_stuck(workers: Iterable[Worker], *, now: float) -> list[Attempt]:
    """Return the attempts on reachable workers that make no progress.

    A worker is checked again only when one of its attempts may be stuck. So ``now``
    must never decrease, neither between calls nor from a call to a later report.
    """
    stuck: list[Attempt] = []
    for worker in workers:
        if not worker.reachable or now < worker.stuck_check_at:
            continue
        running = [
            attempt
            for attempt in worker.attempts.values()
            if attempt.phase is AttemptPhase.RUNNING
        ]
        stuck.extend(attempt for attempt in running if is_stuck(attempt, now=now))
        worker.stuck_check_at = _compute_next_check(running, now=now)
    return stuck


def _compute_next_check(running: list[Attempt], *, now: float) -> float:
    """Return the earliest time at which an attempt on a worker may be stuck.

    Attempts that start or progress from now on aren't stuck before ``STUCK_SECONDS``.
    """
    limits = [now + STUCK_SECONDS]
    limits.extend(
        attempt.progressed_at + _compute_still_max(attempt.task.step.spec)
        for attempt in running
    )
    return min(limits) - CHECK_MARGIN_SECONDS


def is_stuck(attempt: Attempt, *, now: float) -> bool:
    """Return whether an attempt has made no progress for longer than allowed."""
    still_seconds = now - attempt.progressed_at
    return still_seconds > _compute_still_max(attempt.task.step.spec)


def _compute_still_max(spec: Step) -> float:
    """Return the seconds for which an attempt may make no progress.

    Long-running tasks report no progress, and best-effort ones may be throttled.
    """
    if spec.long_running or spec.best_effort:
        return float("inf")
    return STUCK_SECONDS + STUCK_ESTIMATE_RATIO * spec.estimate
