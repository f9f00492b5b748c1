"""Who is let in, who waits and in which order, and when to come back."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds
from ..core.registry import Registry
from ..core.states import TaskClass

KIND_MAX_THREADS_RATIO = 0.75
BATCH_MAX_THREADS_RATIO = 0.5
RESERVED_THREADS = 2
QUEUE_MAX_WAIT_RATIO = 0.5
RATE_WINDOW_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


# Bulkheads: how many threads each kind may hold.


@dataclass
class BulkheadUsage:
    """Threads that requests hold, by kind and class.

    Parameters
    ----------
    threads : int
        Threads that answer callers.
    """

    threads: int
    threads_by_kind: dict[KindId, int] = field(default_factory=dict)
    threads_by_class: dict[TaskClass, int] = field(default_factory=dict)


Bulkhead = Callable[[BulkheadUsage, KindId, TaskClass], bool]
BULKHEADS: Registry[Bulkhead] = Registry("bulkhead")


@BULKHEADS.register("none")
def allow_all(table: BulkheadUsage, kind: KindId, task_class: TaskClass) -> bool:
    """Let every request in."""
    return True


@BULKHEADS.register("per-kind")
def allow_within_shares(
    table: BulkheadUsage, kind: KindId, task_class: TaskClass
) -> bool:
    """Return whether a kind may hold one more thread.

    One kind never holds all, batch holds at most half, and some threads are
    left for health checks.
    """
    open_to_requests = max(1, table.threads - RESERVED_THREADS)
    if table.threads_by_kind.get(kind, 0) >= max(
        1, int(table.threads * KIND_MAX_THREADS_RATIO)
    ):
        return False
    batch = table.threads_by_class.get(TaskClass.BATCH, 0)
    batch_max = max(1, int(table.threads * BATCH_MAX_THREADS_RATIO))
    if task_class is TaskClass.BATCH and batch >= batch_max:
        return False
    return sum(table.threads_by_class.values()) < open_to_requests


def acquire_thread(table: BulkheadUsage, kind: KindId, task_class: TaskClass) -> None:
    """Count a thread as held by a kind."""
    table.threads_by_kind[kind] = table.threads_by_kind.get(kind, 0) + 1
    table.threads_by_class[task_class] = table.threads_by_class.get(task_class, 0) + 1


def release_thread(table: BulkheadUsage, kind: KindId, task_class: TaskClass) -> None:
    """Count a thread as free again."""
    table.threads_by_kind[kind] -= 1
    table.threads_by_class[task_class] -= 1


# The queue for a place at a target.


@dataclass(frozen=True)
class QueueState:
    """What admission knows of one service.

    Parameters
    ----------
    ahead : int
        Requests that wait for a place and would be served earlier.
    places : int
        Places that the request's class has over all serving targets.
    typical : float
        Seconds that a place is held by one request.
    free : bool
        Whether a place is free now.
    """

    ahead: int
    permits: int
    permit_seconds: float
    has_free_permit: bool


Admission = Callable[[QueueState, float], bool]
ADMISSIONS: Registry[Admission] = Registry("admission")


@ADMISSIONS.register("none")
def admit_all(view: QueueState, left: float) -> bool:
    """Let every request wait until its deadline."""
    return True


@ADMISSIONS.register("deadline")
def admit_before_deadline(view: QueueState, left: float) -> bool:
    """Admit a request that can expect its answer in the ``left`` seconds."""
    if left <= 0.0:
        return False
    if view.has_free_permit:
        return True
    if not view.permits:
        return False
    return (
        estimate_queue_wait(view) + view.permit_seconds <= left * QUEUE_MAX_WAIT_RATIO
    )


def estimate_queue_wait(view: QueueState) -> float:
    """Return the expected seconds until a further request gets a place."""
    if view.has_free_permit:
        return 0.0
    return (view.ahead + 1) * view.permit_seconds / max(1, view.permits)


def compute_max_queue_wait(left: float) -> float:
    """Return the seconds that a request with ``left`` seconds may wait."""
    return left * QUEUE_MAX_WAIT_RATIO


def compute_queue_key(task_class: TaskClass, order: int) -> tuple[bool, int]:
    """Return the key by which waiting requests get places, lowest first."""
    return (task_class is TaskClass.BATCH, order)


# When to come back.


@dataclass
class DecayingRate:
    """Events a second, forgotten exponentially."""

    count: float = 0.0
    updated_at: Seconds = Seconds(0.0)

    def add(self, now: Seconds) -> None:
        """Count one event."""
        self.count = self._decay(now) + 1.0
        self.updated_at = now

    def read(self, now: Seconds) -> float:
        """Return events a second."""
        return self._decay(now) / RATE_WINDOW_SECONDS

    def _decay(self, now: Seconds) -> float:
        return self.count * math.exp(
            -max(0.0, now - self.updated_at) / RATE_WINDOW_SECONDS
        )


def estimate_retry_after(
    view: QueueState, *, refused: float, answered: float, draw: float
) -> float:
    """Return seconds after which a refused caller may expect a place.

    The callers refused of late are spread over the time in which they could be
    served, so that they do not return together.

    Parameters
    ----------
    refused, answered : float
        Requests a second that were refused and answered lately.
    draw : float
        Uniform in [0, 1).
    """
    wait = estimate_queue_wait(view)
    work_off = refused / max(answered, 1.0)
    spread = draw * (MIN_RETRY_AFTER_SECONDS + work_off)
    return _clamp_retry_after(wait + spread)


def estimate_recovery(down_for: float, draw: float) -> float:
    """Return seconds after which something down for ``down_for`` may be back.

    An outage is expected to last about as long again as it has lasted.
    """
    expected = max(MIN_RETRY_AFTER_SECONDS, down_for)
    return _clamp_retry_after(expected * (0.5 + draw))


def _clamp_retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
