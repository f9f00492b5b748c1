"""Looks jobs up in an instance's view, as recent as the answer must be."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import read_monotonic
from ..core.errors import PlantainhingeError
from ..core.ids import JobId, QueueName, Seconds
from ..core.log_events import write_event
from ..jobs.forwarding import (
    PassedCancellation,
    PassedResponse,
    PassedStateQuery,
)
from ..jobs.outcomes import CallOutcome
from ..jobs.table import JobRow
from .call_events import CountFromOldView, StateFromOldView
from .job_view import JobView

logger = logging.getLogger(__name__)

# how old the view may be for the state of a known job, and for the length of a queue
VIEW_AGE_SECONDS_MAX = Seconds(0.05)
QUEUE_VIEW_AGE_SECONDS_MAX = Seconds(1.0)


@dataclass
class JobLookup:
    """Reads the view of jobs and brings it up to date where needed.

    Parameters
    ----------
    owns_cell : callable
        Returns whether this instance owns the cell; the owner's view is current.
    """

    view: JobView
    owns_cell: Callable[[], bool]

    async def count_queued(
        self, queue: QueueName, *, timeout: Seconds
    ) -> PassedResponse:
        """Count the jobs of a queue of which no task has started."""
        since = read_monotonic() - QUEUE_VIEW_AGE_SECONDS_MAX
        try:
            async with asyncio.timeout(timeout):
                await self._refresh_view(since)
        except (PlantainhingeError, TimeoutError) as error:
            write_event(logger, CountFromOldView(cause=str(error) or "timeout"))
            if self.view.progress_tail.position is None:
                return PassedResponse(CallOutcome.REFUSED)
        return PassedResponse(
            CallOutcome.DONE, count=self.view.table.count_queued(queue)
        )

    async def find_visible(
        self, call: PassedStateQuery | PassedCancellation, *, timeout: Seconds
    ) -> JobRow | CallOutcome:
        """Return a job's row; for a caller that may not see it there is none."""
        row = await self.find_row(call.job, timeout=timeout)
        if isinstance(row, CallOutcome) or call.caller is None:
            return row
        if row.accepted is None:
            # its progress was read before its record
            return CallOutcome.REFUSED
        return row if call.caller.may_see(row.accepted) else CallOutcome.UNKNOWN_JOB

    async def find_row(self, job: JobId, *, timeout: Seconds) -> JobRow | CallOutcome:
        """Return a job's row, or why there is none."""
        row = self.view.table.find(job)
        if row is not None and row.final:
            return row
        asked_at = read_monotonic()
        since = asked_at if row is None else asked_at - VIEW_AGE_SECONDS_MAX
        try:
            async with asyncio.timeout(timeout):
                await self._refresh_view(
                    since, jobs=row is None or not self.owns_cell()
                )
        except (PlantainhingeError, TimeoutError) as error:
            event = StateFromOldView(
                job=job,
                cause=str(error) or "timeout",
                age_s=asked_at - self.view.progress_tail.synced_at,
            )
            write_event(logger, event)
            return row if row is not None else CallOutcome.REFUSED
        return self.view.table.find(job) or CallOutcome.UNKNOWN_JOB

    async def _refresh_view(self, since: float, *, jobs: bool = True) -> None:
        """Read until the view holds all that was logged before ``since``.

        It may be cleared during a read, and must then be read anew: a job that is
        missing from it would otherwise be taken for one that was never accepted.
        """
        tails = [self.view.job_tail] if jobs else []
        if not self.owns_cell():
            tails.append(self.view.progress_tail)
        while any(tail.synced_at < since for tail in tails):
            for tail in tails:
                await tail.catch_up(since=since)
