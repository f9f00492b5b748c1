"""Admission control: thread bulkheads, queueing for permits and Retry-After times."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds
from ..core.registry import Registry
from ..core.states import TaskClass

KIND_THREADS_RATIO_MAX = 0.75
BATCH_THREADS_RATIO_MAX = 0.5
RESERVED_THREADS = 2
QUEUE_WAIT_RATIO_MAX = 0.5
RATE_WINDOW_SECONDS = 1.0
RETRY_AFTER_SECONDS_MIN = 1.0
RETRY_AFTER_SECONDS_MAX = 30.0


# Bulkheads: bounds on the threads that one kind or class of requests may hold.


@dataclass
class BulkheadUsage:
    """The threads that requests occupy at the moment, by kind and by class.

    Parameters
    ----------
    threads : int
        Size of the pool of threads that answer callers.
    """

    threads: int
    threads_by_kind: dict[KindId, int] = field(default_factory=dict)
    threads_by_class: dict[TaskClass, int] = field(default_factory=dict)


Bulkhead = Callable[[BulkheadUsage, KindId, TaskClass], bool]
BULKHEADS: Registry[Bulkhead] = Registry("bulkhead")


@BULKHEADS.register("none")
def allow_all(usage: BulkheadUsage, kind: KindId, task_class: TaskClass) -> bool:
    """Accept every request; there is no bulkhead."""
    return True


@BULKHEADS.register("per-kind")
def allow_within_shares(
    usage: BulkheadUsage, kind: KindId, task_class: TaskClass
) -> bool:
    """Return whether a request of a kind may occupy one more thread.

    No kind can occupy all threads, batch kinds together occupy at most half of
    them, and a few threads stay free for health checks.
    """
    available = max(1, usage.threads - RESERVED_THREADS)
    if usage.threads_by_kind.get(kind, 0) >= max(
        1, int(usage.threads * KIND_THREADS_RATIO_MAX)
    ):
        return False
    batch = usage.threads_by_class.get(TaskClass.BATCH, 0)
    batch_max = max(1, int(usage.threads * BATCH_THREADS_RATIO_MAX))
    if task_class is TaskClass.BATCH and batch >= batch_max:
        return False
    return sum(usage.threads_by_class.values()) < available


def acquire_thread(usage: BulkheadUsage, kind: KindId, task_class: TaskClass) -> None:
    """Count one more thread as occupied by a kind."""
    usage.threads_by_kind[kind] = usage.threads_by_kind.get(kind, 0) + 1
    usage.threads_by_class[task_class] = usage.threads_by_class.get(task_class, 0) + 1


def release_thread(usage: BulkheadUsage, kind: KindId, task_class: TaskClass) -> None:
    """Count a thread that a kind occupied as free again."""
    usage.threads_by_kind[kind] -= 1
    usage.threads_by_class[task_class] -= 1


# The queue for permits at the targets of a service.


@dataclass(frozen=True)
class QueueState:
    """Load and capacity of one service when admission is decided.

    Parameters
    ----------
    ahead : int
        Requests that wait for a permit and would get one earlier.
    permits : int
        Permits available to the request's class over all serving targets.
    permit_seconds : float
        Seconds for which one request typically holds a permit.
    has_free_permit : bool
        Whether a permit is free now.
    """

    ahead: int
    permits: int
    permit_seconds: float
    has_free_permit: bool


Admission = Callable[[QueueState, float], bool]
ADMISSIONS: Registry[Admission] = Registry("admission")


@ADMISSIONS.register("none")
def admit_all(queue: QueueState, remaining: float) -> bool:
    """Admit every request; it may wait until its deadline."""
    return True


@ADMISSIONS.register("deadline")
def admit_before_deadline(queue: QueueState, remaining: float) -> bool:
    """Admit a request if its response is expected well before its deadline.

    If it has to wait for a permit, wait and response together must fit into
    ``QUEUE_WAIT_RATIO_MAX`` of the remaining time.

    Parameters
    ----------
    remaining : float
        Seconds to the deadline.
    """
    if remaining <= 0.0:
        return False
    if queue.has_free_permit:
        return True
    if not queue.permits:
        return False
    return (
        estimate_queue_wait(queue) + queue.permit_seconds
        <= remaining * QUEUE_WAIT_RATIO_MAX
    )


def estimate_queue_wait(queue: QueueState) -> float:
    """Return the expected seconds until one more request gets a permit."""
    if queue.has_free_permit:
        return 0.0
    return (queue.ahead + 1) * queue.permit_seconds / max(1, queue.permits)


def compute_max_queue_wait(remaining: float) -> float:
    """Return the seconds that a request may wait for a permit.

    Parameters
    ----------
    remaining : float
        Seconds to the request's deadline.
    """
    return remaining * QUEUE_WAIT_RATIO_MAX


# Retry-After times for callers whose request was refused.


@dataclass
class DecayingRate:
    """Events per second, as an exponentially decaying average.

    ``RATE_WINDOW_SECONDS`` is its time constant.
    """

    count: float = 0.0
    updated_at: Seconds = Seconds(0.0)

    def add(self, now: Seconds) -> None:
        """Record one event."""
        self.count = self._decay(now) + 1.0
        self.updated_at = now

    def read(self, now: Seconds) -> float:
        """Return the rate in events per second."""
        return self._decay(now) / RATE_WINDOW_SECONDS

    def _decay(self, now: Seconds) -> float:
        return self.count * math.exp(
            -max(0.0, now - self.updated_at) / RATE_WINDOW_SECONDS
        )


def estimate_retry_after(
    queue: QueueState, *, refused: float, answered: float, jitter: float
) -> float:
    """Return the seconds after which a refused caller may expect a permit.

    Recently refused callers are spread over the time that it takes to serve them
    all, so that they do not retry at the same moment.

    Parameters
    ----------
    refused, answered : float
        Requests per second that were recently refused and answered.
    jitter : float
        Uniform in [0, 1).
    """
    wait = estimate_queue_wait(queue)
    backlog = refused / max(answered, 1.0)
    spread = jitter * (RETRY_AFTER_SECONDS_MIN + backlog)
    return _clamp_retry_after(wait + spread)


def estimate_recovery(down_for: float, jitter: float) -> float:
    """Return the expected seconds until an outage ends, for Retry-After.

    An outage is expected to last about as long again as it has lasted so far, which
    is ``down_for`` seconds.
    """
    expected = max(RETRY_AFTER_SECONDS_MIN, down_for)
    return _clamp_retry_after(expected * (0.5 + jitter))


def _clamp_retry_after(seconds: float) -> float:
    return min(RETRY_AFTER_SECONDS_MAX, max(RETRY_AFTER_SECONDS_MIN, seconds))
