"""Selection of the finished jobs whose records may be deleted from the log."""

from dataclasses import dataclass, field

from ..core.ids import JobId, Seconds
from .table import JobTable

BATCH_JOBS_MAX = 200


@dataclass
class Retention:
    """Tracks when each job was first seen in a final state.

    Parameters
    ----------
    keep_seconds : float
        Seconds for which the state of a finished job can still be queried.
    """

    keep_seconds: Seconds
    _finished_at: dict[JobId, float] = field(default_factory=dict)

    def select_expired(self, table: JobTable, *, now: float) -> list[JobId]:
        """Return jobs that have been final for longer than the retention time.

        At most ``BATCH_JOBS_MAX`` jobs are returned, those that finished first.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        final = {job for job, row in table.rows.items() if row.final}
        self._finished_at = {job: self._finished_at.get(job, now) for job in final}
        expired = [
            job for job, at in self._finished_at.items() if now - at > self.keep_seconds
        ]
        expired.sort(key=lambda job: self._finished_at[job])
        return expired[:BATCH_JOBS_MAX]
