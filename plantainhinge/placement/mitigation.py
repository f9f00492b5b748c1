"""Mitigation of interference on workers whose services are slowed down.

The batch attempt that causes the greatest slowdown is throttled first, in steps.
Only when all relevant attempts are at their lowest limit is one evicted, the one
that is cheapest to stop. Reports whose window began before the last change took
effect are ignored. A limit is lifted only after a delay, which doubles whenever
services slowed down again after a limit was lifted.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..core.ids import AttemptNumber, Seconds, TaskId, WorkerId
from ..core.registry import Registry
from ..core.states import TaskClass
from .budget import EvictionBudget


@dataclass(frozen=True)
class MitigationLimits:
    """Thresholds and delays of the mitigation.

    Parameters
    ----------
    high, low : float
        Slowdowns of services. From ``high`` on, batch work is throttled or evicted.
        A limit is lifted if the slowdown expected afterwards is at most ``low``.
    settle_seconds : float
        Time until a change shows in the reports, in addition to their lag.
    lift_delay_seconds, max_lift_delay_seconds : float
        Time since the last change before a limit is lifted, at first and at most.
    throttle_factor, throttle_floor : float
        Each step multiplies the limit by the factor, down to the floor, which is a
        fraction of the declared processors.
    relevant_share : float
        Attempts that cause less than this fraction of the greatest slowdown caused
        by any attempt are not acted on.
    """

    high: float = 2.0
    low: float = 1.8
    settle_seconds: float = 5.0
    lift_delay_seconds: float = 30.0
    max_lift_delay_seconds: float = 960.0
    throttle_factor: float = 0.7
    throttle_floor: float = 0.25
    relevant_share: float = 0.3


@dataclass(frozen=True)
class AttemptView:
    """An attempt on a worker, as seen by the mitigation policies.

    Parameters
    ----------
    millicores : int
        Declared processors.
    limit : int
        Processors that it may use now, in millicores; equal to ``millicores``
        unless throttled.
    slowdown : float
        Reported slowdown; only that of latency-critical attempts is used.
    caused_slowdown : float
        Slowdown that the attempt is expected to cause to the services on its worker.
    unsaved_seconds : float
        Run time lost if it is stopped without another checkpoint.
    """

    task: TaskId
    attempt: AttemptNumber
    task_class: TaskClass
    priority: int
    millicores: int
    limit: int
    slowdown: float = 1.0
    caused_slowdown: float = 0.0
    unsaved_seconds: float = 0.0

    @property
    def unsaved_work(self) -> float:
        """Core-seconds lost if the attempt is stopped."""
        return self.unsaved_seconds * self.millicores / 1000


@dataclass(frozen=True)
class WorkerView:
    """The attempts on one worker and the start of the window they were measured in."""

    worker: WorkerId
    attempts: Sequence[AttemptView]
    window_start: Seconds


@dataclass(frozen=True)
class Throttle:
    """Limit an attempt to ``millicores``; the declared amount lifts the limit."""

    task: TaskId
    attempt: AttemptNumber
    worker: WorkerId
    millicores: int


@dataclass(frozen=True)
class Evict:
    """Checkpoint and stop an attempt, so that it resumes elsewhere."""

    task: TaskId
    attempt: AttemptNumber
    worker: WorkerId


Mitigation = Throttle | Evict


@dataclass
class LastMitigation:
    """The last change on a worker: a throttle, an eviction or a lifted limit."""

    changed_at: Seconds
    lift_delay_seconds: float
    lifted: bool = False


@dataclass
class MitigationTable:
    """Last change by worker, and the eviction budget of the failure domain."""

    limits: MitigationLimits = MitigationLimits()
    budget: EvictionBudget = field(default_factory=EvictionBudget)
    rows: dict[WorkerId, LastMitigation] = field(default_factory=dict)


MitigationPolicy = Callable[[WorkerView, MitigationTable, Seconds], list[Mitigation]]
MITIGATION_POLICIES: Registry[MitigationPolicy] = Registry("relief policy")


@MITIGATION_POLICIES.register("none")
def do_nothing(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    """Leave all attempts as they are."""
    return []


@MITIGATION_POLICIES.register("evict-on-harm")
def evict_newest(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    """Evict the last listed batch attempt when a service is slow, without a model."""
    batch = _list_batch(view)
    settled = _is_settled(view, table)
    if not batch or not settled or _find_max_slowdown(view) < table.limits.high:
        return []
    table.rows[view.worker] = LastMitigation(now, table.limits.lift_delay_seconds)
    return [Evict(batch[-1].task, batch[-1].attempt, view.worker)]


@MITIGATION_POLICIES.register("throttle-then-evict")
def throttle_then_evict(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    """Throttle the attempt that causes most slowdown, or lift a limit after a delay.

    Evicts an attempt when none of the relevant ones can be throttled further.
    """
    if not _is_settled(view, table):
        return []
    slowdown = _find_max_slowdown(view)
    if slowdown >= table.limits.high:
        return _throttle_or_evict(view, table, now)
    if slowdown <= table.limits.low:
        return _lift_limit(view, table, now)
    return []


def mitigate_workers(
    views: Iterable[WorkerView], table: MitigationTable, policy: str, now: Seconds
) -> list[Mitigation]:
    """Return the actions of the named policy for workers with new reports."""
    act = MITIGATION_POLICIES.find(policy)
    return [action for view in views for action in act(view, table, now)]


def _is_settled(view: WorkerView, table: MitigationTable) -> bool:
    row = table.rows.get(view.worker)
    if row is None:
        return True
    return view.window_start >= row.changed_at + table.limits.settle_seconds


def _throttle_or_evict(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    limits = table.limits
    causes = _list_relevant(view, limits)
    if not causes:
        return []
    throttleable = [r for r in causes if _compute_lower_limit(r, limits) < r.limit]
    if throttleable:
        worst = max(throttleable, key=lambda r: (r.caused_slowdown, -r.priority))
        _record_action(view.worker, table, now)
        limit = _compute_lower_limit(worst, limits)
        return [Throttle(worst.task, worst.attempt, view.worker, limit)]
    if not table.budget.take(now):
        return []
    _record_action(view.worker, table, now)
    cheapest = min(causes, key=lambda r: (r.priority, r.unsaved_work))
    return [Evict(cheapest.task, cheapest.attempt, view.worker)]


def _record_action(worker: WorkerId, table: MitigationTable, now: Seconds) -> None:
    limits = table.limits
    row = table.rows.get(worker)
    delay = limits.lift_delay_seconds
    if row is not None:
        delay = row.lift_delay_seconds
        if row.lifted:
            delay = min(delay * 2, limits.max_lift_delay_seconds)
    table.rows[worker] = LastMitigation(now, delay)


def _lift_limit(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    limited = [r for r in _list_batch(view) if r.limit < r.millicores]
    row = table.rows.get(view.worker)
    if not limited:
        _remove_when_recovered(view.worker, table, now)
        return []
    delay = row.lift_delay_seconds if row else table.limits.lift_delay_seconds
    if row is not None and now < row.changed_at + delay:
        return []
    mildest = min(limited, key=lambda r: (r.caused_slowdown, -r.priority))
    limit = _compute_higher_limit(mildest, table.limits)
    growth = limit / mildest.limit - 1.0
    if _find_max_slowdown(view) + mildest.caused_slowdown * growth > table.limits.low:
        return []
    table.rows[view.worker] = LastMitigation(now, delay, lifted=True)
    return [Throttle(mildest.task, mildest.attempt, view.worker, limit)]


def _remove_when_recovered(
    worker: WorkerId, table: MitigationTable, now: Seconds
) -> None:
    row = table.rows.get(worker)
    if row is not None and now >= row.changed_at + table.limits.max_lift_delay_seconds:
        del table.rows[worker]


def _compute_lower_limit(attempt: AttemptView, limits: MitigationLimits) -> int:
    floor = round(attempt.millicores * limits.throttle_floor)
    return max(floor, round(attempt.limit * limits.throttle_factor))


def _compute_higher_limit(attempt: AttemptView, limits: MitigationLimits) -> int:
    return min(attempt.millicores, round(attempt.limit / limits.throttle_factor))


def _list_relevant(view: WorkerView, limits: MitigationLimits) -> list[AttemptView]:
    batch = _list_batch(view)
    greatest = max((r.caused_slowdown for r in batch), default=0.0)
    return [r for r in batch if r.caused_slowdown >= greatest * limits.relevant_share]


def _list_batch(view: WorkerView) -> list[AttemptView]:
    return [r for r in view.attempts if r.task_class is TaskClass.BATCH]


def _find_max_slowdown(view: WorkerView) -> float:
    return max(
        (
            r.slowdown
            for r in view.attempts
            if r.task_class is TaskClass.LATENCY_CRITICAL
        ),
        default=1.0,
    )
