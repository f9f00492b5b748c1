"""Who is let in, who waits and in which order, and when to come back."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds
from ..core.registry import Registry
from ..core.states import TaskClass

KIND_SHARE_MAX = 0.75
BATCH_SHARE_MAX = 0.5
RESERVED_THREADS = 2
QUEUE_SHARE_OF_DEADLINE = 0.5
RATE_SECONDS = 1.0
SHORTEST_RETURN_SECONDS = 1.0
LONGEST_RETURN_SECONDS = 30.0


# Bulkheads: how many threads each kind may hold.


@dataclass
class BulkheadTable:
    """Threads that requests hold, by kind and class.

    Parameters
    ----------
    threads : int
        Threads that answer callers.
    """

    threads: int
    kinds: dict[KindId, int] = field(default_factory=dict)
    classes: dict[TaskClass, int] = field(default_factory=dict)


Bulkhead = Callable[[BulkheadTable, KindId, TaskClass], bool]
BULKHEADS: Registry[Bulkhead] = Registry("bulkhead")


@BULKHEADS.register("none")
def let_all_in(table: BulkheadTable, kind: KindId, task_class: TaskClass) -> bool:
    """Let every request in."""
    return True


@BULKHEADS.register("per-kind")
def has_thread(table: BulkheadTable, kind: KindId, task_class: TaskClass) -> bool:
    """Return whether a kind may hold one more thread.

    One kind never holds all, batch holds at most half, and some threads are
    left for health checks.
    """
    open_to_requests = max(1, table.threads - RESERVED_THREADS)
    if table.kinds.get(kind, 0) >= max(1, int(table.threads * KIND_SHARE_MAX)):
        return False
    batch = table.classes.get(TaskClass.BATCH, 0)
    batch_max = max(1, int(table.threads * BATCH_SHARE_MAX))
    if task_class is TaskClass.BATCH and batch >= batch_max:
        return False
    return sum(table.classes.values()) < open_to_requests


def hold_thread(table: BulkheadTable, kind: KindId, task_class: TaskClass) -> None:
    """Count a thread as held by a kind."""
    table.kinds[kind] = table.kinds.get(kind, 0) + 1
    table.classes[task_class] = table.classes.get(task_class, 0) + 1


def free_thread(table: BulkheadTable, kind: KindId, task_class: TaskClass) -> None:
    """Count a thread as free again."""
    table.kinds[kind] -= 1
    table.classes[task_class] -= 1


# The queue for a place at a target.


@dataclass(frozen=True)
class QueueView:
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
    typical: float
    has_free_permit: bool


Admission = Callable[[QueueView, float], bool]
ADMISSIONS: Registry[Admission] = Registry("admission")


@ADMISSIONS.register("none")
def admit_all(view: QueueView, left: float) -> bool:
    """Let every request wait until its deadline."""
    return True


@ADMISSIONS.register("deadline")
def admit_in_time(view: QueueView, left: float) -> bool:
    """Admit a request that can expect its answer in the ``left`` seconds."""
    if left <= 0.0:
        return False
    if view.has_free_permit:
        return True
    if not view.permits:
        return False
    return estimate_queue_wait(view) + view.typical <= left * QUEUE_SHARE_OF_DEADLINE


def estimate_queue_wait(view: QueueView) -> float:
    """Return the expected seconds until a further request gets a place."""
    if view.has_free_permit:
        return 0.0
    return (view.ahead + 1) * view.typical / max(1, view.permits)


def bound_queue_wait(left: float) -> float:
    """Return the seconds that a request with ``left`` seconds may wait."""
    return left * QUEUE_SHARE_OF_DEADLINE


def rank_waiter(task_class: TaskClass, order: int) -> tuple[bool, int]:
    """Return the key by which waiting requests get places, lowest first."""
    return (task_class is TaskClass.BATCH, order)


# When to come back.


@dataclass
class Rate:
    """Events a second, forgotten exponentially."""

    count: float = 0.0
    at: Seconds = Seconds(0.0)

    def add(self, now: Seconds) -> None:
        """Count one event."""
        self.count = self._decay(now) + 1.0
        self.at = now

    def read(self, now: Seconds) -> float:
        """Return events a second."""
        return self._decay(now) / RATE_SECONDS

    def _decay(self, now: Seconds) -> float:
        return self.count * math.exp(-max(0.0, now - self.at) / RATE_SECONDS)


def estimate_return(
    view: QueueView, *, refused: float, answered: float, draw: float
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
    spread = draw * (SHORTEST_RETURN_SECONDS + work_off)
    return _bound_return(wait + spread)


def estimate_outage(down_for: float, draw: float) -> float:
    """Return seconds after which something down for ``down_for`` may be back.

    An outage is expected to last about as long again as it has lasted.
    """
    expected = max(SHORTEST_RETURN_SECONDS, down_for)
    return _bound_return(expected * (0.5 + draw))


def _bound_return(seconds: float) -> float:
    return min(LONGEST_RETURN_SECONDS, max(SHORTEST_RETURN_SECONDS, seconds))
