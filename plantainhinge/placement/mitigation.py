"""What to do on a worker whose services are measurably slowed down.

The batch attempt that harms most is throttled first, step by step; only when all
that matter are throttled as far as they go is the cheapest evicted. Nothing is
decided on a report whose window began before the last change took effect, and a
limit is lifted only after a calm time that doubles whenever lifting it did harm.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..core.ids import AttemptNumber, Seconds, TaskId, WorkerId
from ..core.registry import Registry
from ..core.states import TaskClass
from .budget import EvictionBudget


@dataclass(frozen=True)
class MitigationLimits:
    """When to act, as slowdowns of services, and how patiently.

    Parameters
    ----------
    high, low : float
        Above ``high`` batch work is held back. A limit is lifted if the slowdown
        then expected is below ``low``.
    settle_seconds : float
        Time in which a change shows in the reports, beyond their lag.
    calm_seconds, longest_calm_seconds : float
        How long it must be calm before a limit is lifted.
    throttle_step, throttle_floor : float
        Each step leaves this share; below the floor there is no further step.
    matter_share : float
        Attempts that cause less than this share of the greatest harm are left.
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
class RunningAttempt:
    """An attempt on a worker, as harm is judged by.

    Parameters
    ----------
    millicores : int
        What it was declared with.
    limit : int
        The processors it may use now; equal to ``millicores`` without throttle.
    slowdown : float
        As reported; counts for latency-critical attempts.
    harm : float
        Expected part in the slowdown of the services beside it.
    unsaved_seconds : float
        Work lost by stopping it without another checkpoint.
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
        """Core-seconds lost by stopping it."""
        return self.unsaved_seconds * self.millicores / 1000


@dataclass(frozen=True)
class WorkerView:
    """One worker's residents and when their report's window began and ended."""

    worker: WorkerId
    attempts: Sequence[RunningAttempt]
    window_start: Seconds


@dataclass(frozen=True)
class Throttle:
    """Limit an attempt to ``millicores``; all it declared lifts the limit."""

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
    """What was last done on a worker."""

    changed_at: Seconds
    lift_delay_seconds: float
    lifted: bool = False


@dataclass
class MitigationTable:
    """Workers on which something was done, and the domain's eviction budget."""

    limits: MitigationLimits = MitigationLimits()
    budget: EvictionBudget = field(default_factory=EvictionBudget)
    rows: dict[WorkerId, LastMitigation] = field(default_factory=dict)


MitigationPolicy = Callable[[WorkerView, MitigationTable, Seconds], list[Mitigation]]
MITIGATION_POLICIES: Registry[MitigationPolicy] = Registry("relief policy")


@MITIGATION_POLICIES.register("none")
def do_nothing(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    """Do nothing."""
    return []


@MITIGATION_POLICIES.register("evict-on-harm")
def evict_newest(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    """Evict some batch attempt whenever a service is slow; knows no model."""
    batch = _list_batch(view)
    settled = _is_settled(view, table)
    if not batch or not settled or _find_slowdown(view) < table.limits.high:
        return []
    table.rows[view.worker] = LastMitigation(now, table.limits.lift_delay_seconds)
    return [Evict(batch[-1].task, batch[-1].attempt, view.worker)]


@MITIGATION_POLICIES.register("throttle-then-evict")
def throttle_then_evict(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    """Hold back the attempt that harms most, or lift a limit after a calm time."""
    if not _is_settled(view, table):
        return []
    slowdown = _find_slowdown(view)
    if slowdown >= table.limits.high:
        return _throttle_or_evict(view, table, now)
    if slowdown <= table.limits.low:
        return _lift_limit(view, table, now)
    return []


def mitigate_workers(
    views: Iterable[WorkerView], table: MitigationTable, policy: str, now: Seconds
) -> list[Mitigation]:
    """Return what to do on workers with fresh reports."""
    act = MITIGATION_POLICIES.find(policy)
    return [step for view in views for step in act(view, table, now)]


def _is_settled(view: WorkerView, table: MitigationTable) -> bool:
    row = table.rows.get(view.worker)
    if row is None:
        return True
    return view.window_start >= row.changed_at + table.limits.settle_seconds


def _throttle_or_evict(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    limits = table.limits
    causes = _list_causes(view, limits)
    if not causes:
        return []
    softer = [r for r in causes if _next_limit(r, limits) < r.limit]
    if softer:
        worst = max(softer, key=lambda r: (r.caused_slowdown, -r.priority))
        _record_action(view.worker, table, now)
        limit = _next_limit(worst, limits)
        return [Throttle(worst.task, worst.attempt, view.worker, limit)]
    if not table.budget.take(now):
        return []
    _record_action(view.worker, table, now)
    cheapest = min(causes, key=lambda r: (r.priority, r.unsaved_work))
    return [Evict(cheapest.task, cheapest.attempt, view.worker)]


def _record_action(worker: WorkerId, table: MitigationTable, now: Seconds) -> None:
    limits = table.limits
    row = table.rows.get(worker)
    calm = limits.lift_delay_seconds
    if row is not None:
        calm = row.lift_delay_seconds
        if row.lifted:
            calm = min(calm * 2, limits.max_lift_delay_seconds)
    table.rows[worker] = LastMitigation(now, calm)


def _lift_limit(
    view: WorkerView, table: MitigationTable, now: Seconds
) -> list[Mitigation]:
    limited = [r for r in _list_batch(view) if r.limit < r.millicores]
    row = table.rows.get(view.worker)
    if not limited:
        _forget_when_recovered(view.worker, table, now)
        return []
    calm = row.lift_delay_seconds if row else table.limits.lift_delay_seconds
    if row is not None and now < row.changed_at + calm:
        return []
    gentlest = min(limited, key=lambda r: (r.caused_slowdown, -r.priority))
    limit = _previous_limit(gentlest, table.limits)
    growth = limit / gentlest.limit - 1.0
    if _find_slowdown(view) + gentlest.caused_slowdown * growth > table.limits.low:
        return []
    table.rows[view.worker] = LastMitigation(now, calm, lifted=True)
    return [Throttle(gentlest.task, gentlest.attempt, view.worker, limit)]


def _forget_when_recovered(
    worker: WorkerId, table: MitigationTable, now: Seconds
) -> None:
    row = table.rows.get(worker)
    if row is not None and now >= row.changed_at + table.limits.max_lift_delay_seconds:
        del table.rows[worker]


def _next_limit(resident: RunningAttempt, limits: MitigationLimits) -> int:
    floor = round(resident.millicores * limits.throttle_floor)
    return max(floor, round(resident.limit * limits.throttle_factor))


def _previous_limit(resident: RunningAttempt, limits: MitigationLimits) -> int:
    return min(resident.millicores, round(resident.limit / limits.throttle_factor))


def _list_causes(view: WorkerView, limits: MitigationLimits) -> list[RunningAttempt]:
    batch = _list_batch(view)
    greatest = max((r.caused_slowdown for r in batch), default=0.0)
    return [r for r in batch if r.caused_slowdown >= greatest * limits.relevant_share]


def _list_batch(view: WorkerView) -> list[RunningAttempt]:
    return [r for r in view.attempts if r.task_class is TaskClass.BATCH]


def _find_slowdown(view: WorkerView) -> float:
    return max(
        (
            r.slowdown
            for r in view.attempts
            if r.task_class is TaskClass.LATENCY_CRITICAL
        ),
        default=1.0,
    )
