"""What one instance knows of all jobs, replayed from the log."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..core.ids import JobId, QueueName
from .model import FINAL_JOB_STATES, JobRecord, JobState
from .records import Cancellation, Progress, Record


@dataclass(slots=True)
class JobRow:
    """A job; a part is None until its record was read."""

    accepted: JobRecord | None = None
    cancelled: bool = False
    progress: Progress | None = None

    @property
    def state(self) -> JobState:
        """Return what a caller is told."""
        if self.progress is not None and self.progress.state in FINAL_JOB_STATES:
            return self.progress.state
        if self.cancelled:
            return JobState.CANCELLED
        return self.progress.state if self.progress is not None else JobState.QUEUED

    @property
    def final(self) -> bool:
        """Whether nothing will change any more."""
        return self.state in FINAL_JOB_STATES


@dataclass
class JobTable:
    """Jobs by id; records may be applied in any order and more than once."""

    rows: dict[JobId, JobRow] = field(default_factory=dict)

    def apply(self, record: Record) -> None:
        """Take in one record."""
        row = self.rows.setdefault(record.job, JobRow())
        match record:
            case JobRecord():
                row.accepted = row.accepted or record
            case Cancellation():
                row.cancelled = True
            case Progress():
                row.progress = record

    def find(self, job: JobId) -> JobRow | None:
        """Return a job that was accepted, or None."""
        row = self.rows.get(job)
        return row if row is not None and is_known(row) else None

    def select_open(self) -> Iterator[JobRow]:
        """Return the accepted jobs that aren't final."""
        for row in self.rows.values():
            if row.accepted is not None and not row.final:
                yield row

    def count_queued(self, queue: QueueName) -> int:
        """Return how many jobs of a queue have started no task."""
        return sum(
            row.accepted is not None
            and row.accepted.policy.queue == queue
            and row.state is JobState.QUEUED
            for row in self.rows.values()
        )

    def remove(self, job: JobId) -> None:
        """Drop a job whose records were deleted."""
        self.rows.pop(job, None)


def is_known(row: JobRow) -> bool:
    """Return whether the job was ever accepted."""
    return row.accepted is not None or row.progress is not None
