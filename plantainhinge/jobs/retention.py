"""Which finished jobs the log may forget."""

from dataclasses import dataclass, field

from ..core.ids import JobId, Seconds
from .table import JobTable

BATCH_JOBS_MAX = 200


@dataclass
class Retention:
    """Finished jobs by the time at which they were first seen finished.

    Parameters
    ----------
    keep : float
        Seconds for which a finished job's state can be asked for.
    """

    keep_seconds: Seconds
    _finished_at: dict[JobId, float] = field(default_factory=dict)

    def select_expired(self, table: JobTable, *, now: float) -> list[JobId]:
        """Return finished jobs whose time is over, oldest first."""
        final = {job for job, row in table.rows.items() if row.final}
        self._finished_at = {job: self._finished_at.get(job, now) for job in final}
        expired = [
            job for job, at in self._finished_at.items() if now - at > self.keep_seconds
        ]
        expired.sort(key=lambda job: self._finished_at[job])
        return expired[:BATCH_JOBS_MAX]
