"""Unsaved progress and processor limit of each open attempt."""

from dataclasses import dataclass, field

from ..core.ids import Seconds, TaskId
from ..core.messages import AttemptReport


@dataclass
class AttemptProgress:
    """Last checkpoint of an attempt and its processor limit.

    Parameters
    ----------
    limit : int or None
        In millicores; None if no limit was ever set.
    """

    checkpoint: str
    saved_at: Seconds
    limit: int | None = None


@dataclass
class ProgressTable:
    """Progress of open attempts by task, from the workers' reports."""

    rows: dict[TaskId, AttemptProgress] = field(default_factory=dict)

    def record_report(self, report: AttemptReport, now: Seconds) -> None:
        """Record a report; a new checkpoint resets the unsaved time to zero."""
        row = self.rows.get(report.task)
        if row is None:
            limit = report.limit or None
            self.rows[report.task] = AttemptProgress(report.checkpoint, now, limit)
        elif row.checkpoint != report.checkpoint:
            row.checkpoint = report.checkpoint
            row.saved_at = now

    def get_unsaved_seconds(self, task: TaskId, now: Seconds) -> float:
        """Return the seconds since the last checkpoint, or since the first report."""
        row = self.rows.get(task)
        return now - row.saved_at if row else 0.0

    def get_limit(self, task: TaskId, declared: int) -> int:
        """Return the processors that the attempt may use, in millicores.

        These are the ``declared`` ones if no limit was ever set.
        """
        row = self.rows.get(task)
        return declared if row is None or row.limit is None else row.limit

    def was_throttled(self, task: TaskId) -> bool:
        """Return whether a limit was ever set, even if it was lifted since."""
        row = self.rows.get(task)
        return row is not None and row.limit is not None

    def set_limit(self, task: TaskId, limit: int, now: Seconds) -> None:
        """Record the processor limit in millicores that the worker was sent."""
        row = self.rows.setdefault(task, AttemptProgress("", now))
        row.limit = limit

    def remove(self, task: TaskId) -> None:
        """Remove an attempt that ended."""
        self.rows.pop(task, None)
