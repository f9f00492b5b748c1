"""In-memory table of all jobs, built by replaying the log."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..core.ids import JobId, QueueName
from .model import FINAL_JOB_STATES, JobRecord, JobState
from .records import Cancellation, Progress, Record
from .spec_memory import estimate_memory


@dataclass(slots=True)
class JobRow:
    """The records of a job; those that have not been read yet are None."""

    accepted: JobRecord | None = None
    cancelled: bool = False
    progress: Progress | None = None

    @property
    def state(self) -> JobState:
        """State that is reported to callers.

        A recorded final state outweighs a cancellation that came too late.
        """
        if self.progress is not None and self.progress.state in FINAL_JOB_STATES:
            return self.progress.state
        if self.cancelled:
            return JobState.CANCELLED
        return self.progress.state if self.progress is not None else JobState.QUEUED

    @property
    def final(self) -> bool:
        """Whether the state can no longer change."""
        return self.state in FINAL_JOB_STATES


@dataclass
class JobTable:
    """Jobs by id.

    The records of a job under different keys may be applied in any order, and any of
    them more than once.
    """

    rows: dict[JobId, JobRow] = field(default_factory=dict)
    # about what the specs of all rows take up
    spec_bytes: int = 0

    def apply(self, record: Record) -> None:
        """Update the job that a record is about."""
        row = self.rows.setdefault(record.job, JobRow())
        match record:
            case JobRecord():
                if row.accepted is None:
                    row.accepted = record
                    self.spec_bytes += estimate_memory(record.spec)
            case Cancellation():
                row.cancelled = True
            case Progress():
                row.progress = record

    def find(self, job: JobId) -> JobRow | None:
        """Return a job, or None if it was never accepted."""
        row = self.rows.get(job)
        return row if row is not None and is_known(row) else None

    def select_open(self) -> Iterator[JobRow]:
        """Yield the accepted jobs that are not in a final state."""
        for row in self.rows.values():
            if row.accepted is not None and not row.final:
                yield row

    def count_queued(self, queue: QueueName) -> int:
        """Return the number of jobs in a queue of which no task has started."""
        return sum(
            row.accepted is not None
            and row.accepted.policy.queue == queue
            and row.state is JobState.QUEUED
            for row in self.rows.values()
        )

    def remove(self, job: JobId) -> None:
        """Remove a job whose records were deleted from the log."""
        row = self.rows.pop(job, None)
        if row is not None and row.accepted is not None:
            self.spec_bytes -= estimate_memory(row.accepted.spec)

    def clear(self) -> None:
        """Remove all jobs."""
        self.rows.clear()
        self.spec_bytes = 0


def is_known(row: JobRow) -> bool:
    """Return whether the job was ever accepted.

    Progress alone suffices, since only accepted jobs have any.
    """
    return row.accepted is not None or row.progress is not None
