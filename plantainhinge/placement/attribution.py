"""Attribution of reported slowdowns to the kinds that ran on the worker.

A report covers a window that ended some time ago. Attempts that started after the
window didn't contribute to the measurement, and attempts that ended since did.
Windows during which attempts started or ended are not learned from.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds, TaskId, WorkerId
from ..core.messages import AttemptReport
from ..core.records import AttemptPlaced
from ..core.resources import Resources
from ..core.states import TaskClass
from .interference import KindLoad, Observation

WINDOW_SECONDS = 5.0
RETENTION_SECONDS = 60.0
MAX_CHANGES_PER_WORKER = 64


@dataclass(frozen=True)
class _Change:
    at: Seconds
    task: TaskId
    departed_load: KindLoad | None


@dataclass
class ChangeTable:
    """Recent starts and ends of attempts on each worker.

    Parameters
    ----------
    window_seconds : float
        Length of the window that a report covers.
    """

    window_seconds: float = WINDOW_SECONDS
    _changes: dict[WorkerId, deque[_Change]] = field(default_factory=dict)
    _window_ends: dict[WorkerId, Seconds] = field(default_factory=dict)

    def record_arrival(self, worker: WorkerId, task: TaskId, now: Seconds) -> None:
        """Record that an attempt started or that its processor limit changed."""
        self._add(worker, _Change(now, task, None))

    def record_departure(
        self, worker: WorkerId, task: TaskId, load: KindLoad, now: Seconds
    ) -> None:
        """Record that an attempt ended, with its last load."""
        self._add(worker, _Change(now, task, load))

    def list_since(self, worker: WorkerId, since: float) -> list[_Change]:
        """Return the changes on a worker at or after ``since``."""
        return [c for c in self._changes.get(worker, ()) if c.at >= since]

    def accept_window(self, worker: WorkerId, end: Seconds) -> bool:
        """Accept a window that ends at least half its length after the last one.

        Otherwise return False, so that a measurement isn't learned from twice.
        """
        if (
            end
            < self._window_ends.get(worker, -self.window_seconds)
            + self.window_seconds / 2
        ):
            return False
        self._window_ends[worker] = end
        return True

    def _add(self, worker: WorkerId, change: _Change) -> None:
        row = self._changes.setdefault(worker, deque(maxlen=MAX_CHANGES_PER_WORKER))
        while row and row[0].at < change.at - RETENTION_SECONDS:
            row.popleft()
        row.append(change)


def build_observations(
    worker: WorkerId,
    capacity: Resources,
    reports: Iterable[AttemptReport],
    placed: Mapping[TaskId, AttemptPlaced],
    changes: ChangeTable,
    now: Seconds,
) -> list[Observation]:
    """Return the slowdown observations in a worker's report.

    Empty if the mix of attempts changed within the window or if the window was
    already accounted for.
    """
    rows = [r for r in reports if r.task in placed and r.outcome is None]
    if not rows:
        return []
    end = now - max(row.usage_age for row in rows)
    recent = changes.list_since(worker, end - changes.window_seconds)
    if any(change.at <= end for change in recent):
        return []
    if not changes.accept_window(worker, Seconds(end)):
        return []
    arrived = {change.task for change in recent if change.departed_load is None}
    measured = [row for row in rows if row.task not in arrived]
    totals = _sum_by_kind(measured, placed, capacity)
    departed = [
        change.departed_load for change in recent if change.departed_load is not None
    ]
    return [
        Observation(
            total.kind, total.slowdown, _list_colocated(total, totals, departed)
        )
        for total in totals.values()
    ]


@dataclass
class _KindTotal:
    kind: KindId
    task_class: TaskClass
    count: int = 0
    load: float = 0.0
    slowdown_sum: float = 0.0

    @property
    def slowdown(self) -> float:
        return self.slowdown_sum / self.count


def _sum_by_kind(
    reports: Iterable[AttemptReport],
    placed: Mapping[TaskId, AttemptPlaced],
    capacity: Resources,
) -> dict[KindId, _KindTotal]:
    totals: dict[KindId, _KindTotal] = {}
    for report in reports:
        row = placed[report.task]
        total = totals.setdefault(row.kind, _KindTotal(row.kind, row.task_class))
        total.count += 1
        total.load += report.usage.millicores / max(1, capacity.millicores)
        total.slowdown_sum += report.slowdown
    return totals


def _list_colocated(
    measured: _KindTotal,
    totals: Mapping[KindId, _KindTotal],
    departed: Iterable[KindLoad],
) -> tuple[KindLoad, ...]:
    """Return the loads next to one attempt of a kind, including others of its kind."""
    loads = {t.kind: KindLoad(t.kind, t.task_class, t.load) for t in totals.values()}
    others = measured.load * (measured.count - 1) / measured.count
    loads[measured.kind] = KindLoad(measured.kind, measured.task_class, others)
    for ended in departed:
        known = loads.get(ended.kind)
        load = ended.load + (known.load if known else 0.0)
        loads[ended.kind] = KindLoad(ended.kind, ended.task_class, load)
    return tuple(load for load in loads.values() if load.load > 0.0)
