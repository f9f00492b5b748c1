"""How often the owner looks at workers that run nothing, or that don't answer.

A worker with attempts is looked at all the time: a look renews its leases and returns
as soon as an attempt ends. One that runs nothing is only asked whether it still
answers. The load that this answers is a site of thousands of workers, most of them
idle, whose answers would keep the owner from everything else. One that has never
answered may be an entry of another writer, of which there may be thousands; calls to
all of them together are limited.
"""

from ..core.ids import Seconds
from .model import HandoverMark, Worker
from .scheduling_state import SchedulingState

# looks at idle workers; a site with fewer workers looks at each of them once a second
IDLE_LOOKS_PER_SECOND_MAX = 300.0
LOOK_INTERVAL_SECONDS_MIN = 1.0
RETRY_SECONDS = Seconds(0.3)
# repeated calls to workers that have never answered
UNKNOWN_LOOKS_PER_SECOND_MAX = 100.0


def plan_pause(cell: SchedulingState, worker: Worker) -> Seconds:
    """Return how long to wait before the next look at a worker that has just answered.

    The pause ends early when something is started there.
    """
    is_idle = (
        not worker.attempts
        and worker.handover is HandoverMark.OPEN
        and worker.last_end_sequence <= worker.acknowledged
        and not worker.orphans
    )
    interval = cell.answering_workers / IDLE_LOOKS_PER_SECOND_MAX
    if not is_idle or interval <= LOOK_INTERVAL_SECONDS_MIN:
        return Seconds(0.0)
    return Seconds(interval)


def plan_retry(cell: SchedulingState, worker: Worker, *, now: float) -> Seconds:
    """Return how long to wait before the next look at a worker that didn't answer."""
    if not is_unknown(worker, now=now):
        return RETRY_SECONDS
    unknown = len(cell.workers) - cell.answering_workers
    return Seconds(max(RETRY_SECONDS, unknown / UNKNOWN_LOOKS_PER_SECOND_MAX))


def is_unknown(worker: Worker, *, now: float) -> bool:
    """Return whether a worker can run nothing and may be another writer's entry."""
    may_run_attempts = worker.attempts or now < worker.latest_expiry
    return not worker.has_answered and not may_run_attempts
