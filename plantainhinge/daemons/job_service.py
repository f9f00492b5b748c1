"""What callers ask about jobs, answered from the log on any instance."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic, read_wall
from ..core.errors import PlantainhingeError, UnavailableError, UncertainError
from ..core.ids import JobId, QueueName, Seconds
from ..core.log_events import write_event
from ..core.metrics import Counter, Distribution, Metrics, NoMetrics
from ..fleet.operator import SchedulingConfiguration
from ..fleet.protocols import Entry, KeyedLog
from ..jobs.model import JobRecord, JobSpec, JobState, QueuePolicy
from ..jobs.records import Cancellation, Record, encode_record, form_key
from ..jobs.table import JobRow
from .job_view import JOB_TOPIC, JobView
from .log_events import (
    AppendFailed,
    CallAnswered,
    CancelAnswered,
    CountFromOldView,
    StateAnswered,
    StateFromOldView,
    SubmitAnswered,
)
from .verdicts import Verdict

logger = logging.getLogger(__name__)

VIEW_SECONDS = Seconds(0.05)
QUEUE_VIEW_SECONDS = Seconds(1.0)
RETRY_AFTER_SECONDS = 1.0
APPEND_TRIES_MAX = 3
ANSWER_MARGIN_SECONDS = Seconds(0.2)
RETRY_PAUSE_SECONDS = 0.05
# how metrics name the calls
CALL_NAMES: dict[type[CallAnswered], str] = {
    SubmitAnswered: "submit",
    CancelAnswered: "cancel",
    StateAnswered: "state",
}


@dataclass
class JobService:
    """Takes jobs, takes them back and tells how far they are.

    Parameters
    ----------
    find_configuration : callable
        Returns the configuration in force, or None before the first.
    find_owned_state : callable
        Returns the logged state of a job if this instance owns its cell.
    """

    log: KeyedLog
    view: JobView
    find_configuration: Callable[[], SchedulingConfiguration | None]
    owns_cell: Callable[[], bool]
    metrics: Metrics = field(default_factory=NoMetrics)
    retry_after: float = RETRY_AFTER_SECONDS

    @property
    def configuration(self) -> SchedulingConfiguration | None:
        """Return the configuration in force, or None before the first."""
        return self.find_configuration()

    async def submit(
        self, job: JobId, policy: QueuePolicy, spec: JobSpec, *, timeout: Seconds
    ) -> Verdict:
        """Take a job; done once the log holds it."""
        started = read_monotonic()
        if self.view.table.find(job) is not None:
            return self._tell(SubmitAnswered, job, Verdict.DONE, started, cause="known")
        record = JobRecord(job=job, policy=policy, spec=spec, accepted_at=read_wall())
        verdict = await self._append(record, timeout=timeout)
        if verdict is Verdict.DONE:
            self.view.table.apply(record)
        return self._tell(SubmitAnswered, job, verdict, started, cause=policy.queue)

    async def cancel(self, job: JobId, *, timeout: Seconds) -> Verdict:
        """Take a job back; done once the log holds that."""
        started = read_monotonic()
        row = await self._find(job, timeout=timeout)
        if isinstance(row, Verdict):
            return self._tell(CancelAnswered, job, row, started, cause="not found")
        if row.final:
            return self._tell(
                CancelAnswered, job, Verdict.DONE, started, cause=row.state.value
            )
        record = Cancellation(job=job)
        verdict = await self._append(record, timeout=timeout)
        if verdict is Verdict.DONE:
            self.view.table.apply(record)
        return self._tell(CancelAnswered, job, verdict, started, cause="open")

    async def find_state(self, job: JobId, *, timeout: Seconds) -> JobState | Verdict:
        """Return a job's state as the log has it."""
        started = read_monotonic()
        row = await self._find(job, timeout=timeout)
        if isinstance(row, Verdict):
            return self._tell(StateAnswered, job, row, started, cause="not found")
        self._measure(CALL_NAMES[StateAnswered], Verdict.DONE, started)
        return row.state

    async def count_queued(self, queue: QueueName) -> int | Verdict:
        """Return how many jobs of a queue have started nothing."""
        since = read_monotonic() - QUEUE_VIEW_SECONDS
        try:
            await self._refresh(since)
        except PlantainhingeError as error:
            write_event(logger, CountFromOldView(cause=str(error)))
            if self.view.progress_tail.position is None:
                return Verdict.REFUSED
        return self.view.table.count_queued(queue)

    async def _find(self, job: JobId, *, timeout: Seconds) -> JobRow | Verdict:
        row = self.view.table.find(job)
        if row is not None and row.final:
            return row
        asked_at = read_monotonic()
        since = asked_at if row is None else asked_at - VIEW_SECONDS
        limit = max(0.1, timeout - ANSWER_MARGIN_SECONDS)
        try:
            async with asyncio.timeout(limit):
                await self._refresh(since, jobs=row is None)
        except (PlantainhingeError, TimeoutError) as error:
            event = StateFromOldView(
                job=job,
                cause=str(error) or "timeout",
                age_s=asked_at - self.view.progress_tail.current_at,
            )
            write_event(logger, event)
            return row if row is not None else Verdict.REFUSED
        return self.view.table.find(job) or Verdict.UNKNOWN_JOB

    async def _refresh(self, since: float, *, jobs: bool = True) -> None:
        if jobs:
            await self.view.job_tail.catch_up(since=since)
        if not self.owns_cell():
            await self.view.progress_tail.catch_up(since=since)

    async def _append(self, record: Record, *, timeout: Seconds) -> Verdict:
        """Append a record; repeating it is harmless, so a lost answer is retried."""
        deadline = read_monotonic() + timeout - ANSWER_MARGIN_SECONDS
        entry = Entry(form_key(record), encode_record(record))
        uncertain = False
        for _ in range(APPEND_TRIES_MAX):
            try:
                async with asyncio.timeout(max(0.05, deadline - read_monotonic())):
                    await self.log.append(JOB_TOPIC, [entry])
                return Verdict.DONE
            except UnavailableError as error:
                self._log_append_failure(record, error)
                if not uncertain:
                    return Verdict.REFUSED
            except (UncertainError, TimeoutError) as error:
                uncertain = True
                self._log_append_failure(record, error)
            except PlantainhingeError as error:
                self._log_append_failure(record, error)
                return Verdict.UNCERTAIN if uncertain else Verdict.REFUSED
            if read_monotonic() >= deadline:
                break
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return Verdict.UNCERTAIN

    def _log_append_failure(self, record: Record, error: Exception) -> None:
        cause = str(error) or "timeout"
        write_event(logger, AppendFailed(job=record.job, cause=cause))

    def _tell(
        self,
        call: type[CallAnswered],
        job: JobId,
        verdict: Verdict,
        started: float,
        *,
        cause: str,
    ) -> Verdict:
        self._measure(CALL_NAMES[call], verdict, started)
        took = round(read_monotonic() - started, 4)
        write_event(logger, call(job=job, outcome=verdict, cause=cause, took_s=took))
        return verdict

    def _measure(self, call: str, verdict: Verdict, started: float) -> None:
        self.metrics.count(Counter.JOB_CALLS, call=call, outcome=verdict.value)
        self.metrics.observe(
            Distribution.JOB_CALL, read_monotonic() - started, call=call
        )
