"""Which mix of kinds a lagging report was measured beside.

A report tells of a window that ended some time ago. What joined the worker after
the window had no part in it; what left since had one. A window in which the mix
itself changed is not learned from.
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
KEEP_SECONDS = 60.0
KEEP_CHANGES = 64


@dataclass(frozen=True)
class _Change:
    at: Seconds
    task: TaskId
    left: KindLoad | None


@dataclass
class ChangeTable:
    """Recent arrivals and departures on each worker.

    Parameters
    ----------
    window : float
        Length in seconds of the window that a report covers.
    """

    window: float = WINDOW_SECONDS
    _changes: dict[WorkerId, deque[_Change]] = field(default_factory=dict)

    def note_arrival(self, worker: WorkerId, task: TaskId, now: Seconds) -> None:
        """Note that an attempt began to run, or that its limit changed."""
        self._add(worker, _Change(now, task, None))

    def note_departure(
        self, worker: WorkerId, task: TaskId, load: KindLoad, now: Seconds
    ) -> None:
        """Note that an attempt ended, with the load it last had."""
        self._add(worker, _Change(now, task, load))

    def list_since(self, worker: WorkerId, since: float) -> list[_Change]:
        """Return the changes at or after ``since``."""
        return [c for c in self._changes.get(worker, ()) if c.at >= since]

    def _add(self, worker: WorkerId, change: _Change) -> None:
        row = self._changes.setdefault(worker, deque(maxlen=KEEP_CHANGES))
        while row and row[0].at < change.at - KEEP_SECONDS:
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
    """Return what a worker's report teaches about pairs of kinds."""
    rows = [r for r in reports if r.task in placed and r.outcome is None]
    if not rows:
        return []
    end = now - max(row.usage_age for row in rows)
    recent = changes.list_since(worker, end - changes.window)
    if any(change.at <= end for change in recent):
        return []
    arrived = {change.task for change in recent if change.left is None}
    present = [row for row in rows if row.task not in arrived]
    loads = [(row, _find_load(row, placed[row.task], capacity)) for row in present]
    departed = [change.left for change in recent if change.left is not None]
    return [
        Observation(
            load.kind,
            row.slowdown,
            _merge([*(x for r, x in loads if r is not row), *departed]),
        )
        for row, load in loads
    ]


def _find_load(
    report: AttemptReport, placed: AttemptPlaced, capacity: Resources
) -> KindLoad:
    share = report.usage.millicores / max(1, capacity.millicores)
    return KindLoad(placed.kind, placed.task_class, share)


def _merge(loads: Iterable[KindLoad]) -> tuple[KindLoad, ...]:
    sums: dict[KindId, float] = {}
    classes: dict[KindId, TaskClass] = {}
    for row in loads:
        sums[row.kind] = sums.get(row.kind, 0.0) + row.load
        classes[row.kind] = row.task_class
    return tuple(KindLoad(kind, classes[kind], load) for kind, load in sums.items())
