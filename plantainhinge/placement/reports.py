"""Processing of workers' reports by the owner of a cell."""

from collections.abc import Iterable, Mapping

from ..core.ids import KindId, Seconds, TaskId, WorkerId
from ..core.messages import AttemptReport
from ..core.records import AttemptPlaced
from ..core.resources import Resources
from ..core.states import TaskClass
from .attribution import build_observations
from .interference import (
    INTERFERENCE_MODELS,
    KindLoad,
    estimate_caused_slowdown,
    update_weights,
)
from .mitigation import (
    AttemptView,
    Evict,
    Mitigation,
    Throttle,
    WorkerView,
    mitigate_workers,
)
from .occupancy import OccupancyTable
from .workers import CellPolicy, CellTables, estimate_loads


def learn_from_report(
    worker: WorkerId,
    capacity: Resources,
    reports: Iterable[AttemptReport],
    placed: Mapping[TaskId, AttemptPlaced],
    tables: CellTables,
    now: Seconds,
) -> None:
    """Update usage, progress and interference weights from one worker's report.

    The usage of throttled attempts is ignored, since it is less than they need.
    """
    rows = [r for r in reports if r.task in placed and r.outcome is None]
    for row in rows:
        tables.progress.record_report(row, now)
        declared = placed[row.task].resources.millicores
        throttled = tables.progress.get_limit(row.task, declared) < declared
        if row.usage.millicores and not throttled:
            tables.usage.record(placed[row.task].kind, row.usage)
    seen = build_observations(worker, capacity, rows, placed, tables.changes, now)
    for observation in seen:
        update_weights(tables.pairs, observation, now)


def plan_mitigation(
    worker: WorkerId,
    capacity: Resources,
    reports: Iterable[AttemptReport],
    placed: Mapping[TaskId, AttemptPlaced],
    occupancy: OccupancyTable,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> list[Mitigation]:
    """Return the mitigations for one worker and record them as done.

    Each throttles an attempt, lifts a limit or evicts an attempt.
    """
    rows = [r for r in reports if r.task in placed and r.outcome is None]
    if not _needs_mitigation(rows, placed, tables):
        return []
    oldest = max(row.usage_age for row in rows)
    loads = estimate_loads(worker, capacity, occupancy, tables.usage)
    victims = [
        load.kind
        for load in loads.values()
        if load.task_class is TaskClass.LATENCY_CRITICAL
    ]
    view = WorkerView(
        worker,
        [
            _build_attempt_view(
                row, placed[row.task], capacity, victims, tables, now, policy
            )
            for row in rows
        ],
        Seconds(now - oldest - tables.changes.window_seconds),
    )
    actions = mitigate_workers([view], tables.mitigation, policy.mitigation, now)
    for action in actions:
        record_mitigation(action, tables, now)
    return actions


def _needs_mitigation(
    reports: Iterable[AttemptReport],
    placed: Mapping[TaskId, AttemptPlaced],
    tables: CellTables,
) -> bool:
    """Return whether any service is slow or any batch attempt was throttled."""
    for report in reports:
        row = placed[report.task]
        if row.task_class is TaskClass.LATENCY_CRITICAL:
            if report.slowdown >= tables.mitigation.limits.high:
                return True
        elif tables.progress.was_throttled(row.task):
            return True
    return False


def record_mitigation(action: Mitigation, tables: CellTables, now: Seconds) -> None:
    """Record a mitigation as a change of the load on its worker."""
    tables.changes.record_arrival(action.worker, action.task, now)
    match action:
        case Throttle():
            tables.progress.set_limit(action.task, action.millicores, now)
        case Evict():
            tables.progress.remove(action.task)


def record_end(
    placed: AttemptPlaced, capacity: Resources, tables: CellTables, now: Seconds
) -> None:
    """Record that an attempt ended, with the load that its kind is expected to have."""
    used = tables.usage.estimate(placed.kind, placed.resources)
    share = used / max(1, capacity.millicores)
    load = KindLoad(placed.kind, placed.task_class, share)
    tables.changes.record_departure(placed.worker, placed.task, load, now)
    tables.progress.remove(placed.task)


def _build_attempt_view(
    report: AttemptReport,
    placed: AttemptPlaced,
    capacity: Resources,
    victims: Iterable[KindId],
    tables: CellTables,
    now: Seconds,
    policy: CellPolicy,
) -> AttemptView:
    share = report.usage.millicores / max(1, capacity.millicores)
    load = KindLoad(placed.kind, placed.task_class, share)
    model = INTERFERENCE_MODELS.find(policy.model)
    declared = placed.resources.millicores
    return AttemptView(
        placed.task,
        placed.attempt,
        placed.task_class,
        placed.priority,
        declared,
        tables.progress.get_limit(placed.task, declared),
        slowdown=report.slowdown,
        caused_slowdown=estimate_caused_slowdown(
            model, tables.pairs, load, victims, now
        ),
        unsaved_seconds=tables.progress.get_unsaved_seconds(placed.task, now),
    )
