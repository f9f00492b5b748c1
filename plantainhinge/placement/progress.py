"""What each attempt would lose by a stop, and the limit it runs under."""

from dataclasses import dataclass, field

from ..core.ids import Seconds, TaskId
from ..core.messages import AttemptReport


@dataclass
class AttemptProgress:
    """When an attempt's progress was last saved, and its processor limit."""

    checkpoint: str
    saved_at: Seconds
    limit: int | None = None


@dataclass
class ProgressTable:
    """Progress of open attempts, from their reports."""

    rows: dict[TaskId, AttemptProgress] = field(default_factory=dict)

    def record_report(self, report: AttemptReport, now: Seconds) -> None:
        """Note a report; a new checkpoint means that nothing is unsaved."""
        row = self.rows.get(report.task)
        if row is None:
            limit = report.limit or None
            self.rows[report.task] = AttemptProgress(report.checkpoint, now, limit)
        elif row.checkpoint != report.checkpoint:
            row.checkpoint = report.checkpoint
            row.saved_at = now

    def get_unsaved_seconds(self, task: TaskId, now: Seconds) -> float:
        """Return the seconds since the last checkpoint or the start."""
        row = self.rows.get(task)
        return now - row.saved_at if row else 0.0

    def get_limit(self, task: TaskId, declared: int) -> int:
        """Return the processors that the attempt may use, in millicores."""
        row = self.rows.get(task)
        return declared if row is None or row.limit is None else row.limit

    def has_limit(self, task: TaskId) -> bool:
        """Return whether the attempt was ever told a limit."""
        row = self.rows.get(task)
        return row is not None and row.limit is not None

    def set_limit(self, task: TaskId, limit: int, now: Seconds) -> None:
        """Note that the attempt was told to use at most ``limit`` millicores."""
        row = self.rows.setdefault(task, AttemptProgress("", now))
        row.limit = limit

    def forget(self, task: TaskId) -> None:
        """Forget an attempt that ended."""
        self.rows.pop(task, None)
