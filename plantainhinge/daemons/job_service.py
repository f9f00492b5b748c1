"""Serves callers' requests about jobs on any instance.

Changes are confirmed once they are in the log. Reads are answered by the owner of the
cell, or from the log while the cell has no owner. An instance that has lost the log
forwards changes to its peers.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic, read_wall
from ..core.ids import JobId, MemberName, QueueName, Seconds
from ..core.log_events import write_event
from ..core.metrics import Counter, Distribution, Metrics, NullMetrics
from ..fleet.operator import SchedulingConfiguration, Workspace
from ..fleet.protocols import KeyedLog
from ..jobs.admission import Refusal, RefusalCause
from ..jobs.forwarding import (
    PassedCancellation,
    PassedCountQuery,
    PassedJob,
    PassedJobCall,
    PassedResponse,
    PassedStateQuery,
)
from ..jobs.model import (
    NO_WORKSPACE,
    Caller,
    JobRecord,
    JobSpec,
    JobState,
    QueuePolicy,
    fits_cap,
)
from ..jobs.outcomes import CallOutcome
from ..jobs.records import Cancellation
from ..jobs.spec_memory import SpecBudget
from ..jobs.table import JobRow
from .admission import AdmissionControl
from .call_events import (
    CallAnswered,
    CancelAnswered,
    StateAnswered,
    SubmitAnswered,
)
from .instance_peers import InstancePeers
from .job_lookup import JobLookup
from .job_view import JobView
from .job_writer import ANSWER_MARGIN_SECONDS, JobWriter

logger = logging.getLogger(__name__)

RETRY_AFTER_SECONDS = 1.0
SPEC_BYTES_MAX = 16_000_000
NO_MEMORY_CAUSE = "no memory for the job"
TIMEOUT_SECONDS_MIN = Seconds(0.1)
# how long an instance works on a call that another one forwarded
FORWARDED_TIMEOUT_SECONDS = Seconds(0.7)
# timeout of a call to the owner, and the pause before the next one
OWNER_TIMEOUT_SECONDS = Seconds(0.4)
OWNER_PAUSE_SECONDS = Seconds(0.1)
# share of a caller's timeout for reaching the owner; the rest is for the log
OWNER_TIMEOUT_RATIO = 0.5
# outcomes that another instance may still settle
UNSETTLED = frozenset({CallOutcome.REFUSED, CallOutcome.UNCERTAIN})
# values of the metrics' label ``call``
CALL_NAMES: dict[type[CallAnswered], str] = {
    SubmitAnswered: "submit",
    CancelAnswered: "cancel",
    StateAnswered: "state",
}


@dataclass
class JobService:
    """Submits jobs, cancels them and reports their state.

    Parameters
    ----------
    get_configuration : callable
        Returns the configuration in force, or None before the first.
    owns_cell : callable
        Returns whether this instance owns the cell; the owner's view is current.
    is_log_lost : callable
        Returns whether the log has stopped answering this instance.
    get_owner : callable
        Returns the owner's name in the group; empty if none is known.
    peers : InstancePeers, optional
        Client for the other instances; without it, calls are never forwarded.
    admission : AdmissionControl
        Decides which jobs to refuse while capacity is short.
    retry_after : float
        Seconds after which a refused caller should try again.
    specs : SpecBudget
        Bounds the memory of the jobs that are being submitted.
    """

    log: KeyedLog
    view: JobView
    get_configuration: Callable[[], SchedulingConfiguration | None]
    owns_cell: Callable[[], bool]
    is_log_lost: Callable[[], bool] = lambda: False
    get_owner: Callable[[], MemberName] = lambda: MemberName("")
    peers: InstancePeers | None = None
    metrics: Metrics = field(default_factory=NullMetrics)
    admission: AdmissionControl = field(default_factory=AdmissionControl)
    retry_after: float = RETRY_AFTER_SECONDS
    specs: SpecBudget = field(default_factory=lambda: SpecBudget(SPEC_BYTES_MAX))

    def __post_init__(self) -> None:
        self.writer = JobWriter(self.log, self.is_log_lost)
        self.lookup = JobLookup(self.view, self.owns_cell)

    @property
    def configuration(self) -> SchedulingConfiguration | None:
        """Return the configuration in force, or None before the first."""
        return self.get_configuration()

    async def submit(
        self,
        job: JobId,
        policy: QueuePolicy,
        spec: JobSpec,
        *,
        workspace: Workspace | None = None,
        timeout: Seconds,
    ) -> CallOutcome | Refusal:
        """Submit a job; the outcome is DONE once the log has its record.

        Parameters
        ----------
        workspace : Workspace, optional
            The caller's workspace; None if it needs none.
        """
        started = read_monotonic()
        name = workspace.name if workspace is not None else NO_WORKSPACE
        outcome, cause = CallOutcome.OVERLOADED, NO_MEMORY_CAUSE
        with self.specs.hold(spec) as has_room:
            if workspace is not None and not fits_cap(spec, workspace.cap):
                outcome, cause = CallOutcome.OVER_CAP, str(name)
            elif has_room:
                record = JobRecord(
                    job=job,
                    policy=policy,
                    spec=spec,
                    accepted_at=read_wall(),
                    workspace=name,
                )
                decided = await self._admit(record, timeout)
                if isinstance(decided, Refusal):
                    return decided
                outcome = decided or await self._write_job(record, started, timeout)
                cause = NO_MEMORY_CAUSE if decided else policy.queue
        return self._report_outcome(SubmitAnswered, job, outcome, started, cause=cause)

    async def _admit(
        self, record: JobRecord, timeout: Seconds
    ) -> Refusal | CallOutcome | None:
        """Return why a job must not be written, or None.

        A job that was accepted before isn't refused, as it may be running. If that
        can't be found out, it is written again, which is harmless unless there is no
        memory for it.
        """
        policy, name = record.policy, record.workspace
        refusal = self.admission.decide(policy, record.spec, name)
        if refusal is None:
            return None
        known = await self._find_known(record.job, timeout)
        if known is CallOutcome.UNKNOWN_JOB:
            self.admission.record(policy, name, refusal)
            return refusal
        if known in UNSETTLED and refusal.cause is RefusalCause.NO_MEMORY:
            return CallOutcome.UNCERTAIN
        return None

    async def _write_job(
        self, record: JobRecord, started: float, timeout: Seconds
    ) -> CallOutcome:
        """Append a job here, or let another instance do it."""
        outcome = CallOutcome.REFUSED
        if not self.is_log_lost():
            outcome = await self._append_record(record, timeout=timeout)
        if outcome in UNSETTLED:
            forwarded = await self._forward(PassedJob(record), started, timeout)
            outcome = combine_outcomes(outcome, forwarded.outcome)
        return outcome

    async def _find_known(self, job: JobId, timeout: Seconds) -> CallOutcome:
        """Return whether a job was accepted before: DONE, UNKNOWN_JOB or unsettled."""
        answer = await self._ask_owner(PassedStateQuery(job), timeout)
        if answer.outcome in UNSETTLED and self.owns_cell():
            row = await self.lookup.find_row(job, timeout=FORWARDED_TIMEOUT_SECONDS)
            return row if isinstance(row, CallOutcome) else CallOutcome.DONE
        return answer.outcome

    async def cancel(
        self, job: JobId, *, caller: Caller | None = None, timeout: Seconds
    ) -> CallOutcome:
        """Cancel a job.

        The outcome is DONE once the log has the cancellation, or if the job has already
        ended.

        Parameters
        ----------
        caller : Caller, optional
            Who cancels it; None where all callers may see all jobs.
        """
        started = read_monotonic()
        call = PassedCancellation(job, caller)
        answer = await self._ask_owner(call, timeout)
        outcome, cause = answer.outcome, "told by the owner"
        if outcome in UNSETTLED and not self.is_log_lost():
            local, cause = await self._cancel_locally(
                call, timeout=self._compute_time_left(started, timeout)
            )
            outcome = combine_outcomes(outcome, local)
        if outcome in UNSETTLED:
            forwarded = await self._forward(call, started, timeout)
            outcome = combine_outcomes(outcome, forwarded.outcome)
        return self._report_outcome(CancelAnswered, job, outcome, started, cause=cause)

    async def get_job_state(
        self, job: JobId, *, caller: Caller | None = None, timeout: Seconds
    ) -> JobState | CallOutcome:
        """Return a job's state as recorded in the log, or why there is none.

        Parameters
        ----------
        caller : Caller, optional
            Who asks; None where all callers may see all jobs.
        """
        started = read_monotonic()
        query = PassedStateQuery(job, caller)
        answer = await self._ask_owner(query, timeout)
        if answer.outcome in UNSETTLED:
            time_left = self._compute_time_left(started, timeout)
            answer = _build_response(
                await self.lookup.find_visible(query, timeout=time_left)
            )
        if answer.state is None:
            outcome = answer.outcome
            return self._report_outcome(
                StateAnswered, job, outcome, started, cause="not found"
            )
        self._record_call(CALL_NAMES[StateAnswered], CallOutcome.DONE, started)
        return answer.state

    async def count_queued(
        self, queue: QueueName, *, timeout: Seconds
    ) -> int | CallOutcome:
        """Return how many jobs of a queue have not started, or why that is unknown."""
        started = read_monotonic()
        answer = await self._ask_owner(PassedCountQuery(queue), timeout)
        if answer.outcome in UNSETTLED:
            answer = await self.lookup.count_queued(
                queue, timeout=self._compute_time_left(started, timeout)
            )
        return answer.outcome if answer.count is None else answer.count

    async def handle_forwarded_call(self, call: PassedJobCall) -> PassedResponse:
        """Serve a call that another instance forwarded; it isn't forwarded again."""
        match call:
            case PassedJob() | PassedCancellation():
                return PassedResponse(await self._apply_forwarded_change(call))
            case PassedStateQuery():
                if self.is_log_lost() and not self.owns_cell():
                    return PassedResponse(CallOutcome.REFUSED)
                return _build_response(
                    await self.lookup.find_visible(
                        call, timeout=FORWARDED_TIMEOUT_SECONDS
                    )
                )
            case PassedCountQuery(queue=queue):
                return await self.lookup.count_queued(
                    queue, timeout=FORWARDED_TIMEOUT_SECONDS
                )

    async def _apply_forwarded_change(
        self, call: PassedJob | PassedCancellation
    ) -> CallOutcome:
        if self.is_log_lost():
            return CallOutcome.REFUSED
        if isinstance(call, PassedJob):
            return await self._write_forwarded_job(call.record)
        outcome, _ = await self._cancel_locally(call, timeout=FORWARDED_TIMEOUT_SECONDS)
        return outcome

    async def _write_forwarded_job(self, record: JobRecord) -> CallOutcome:
        with self.specs.hold(record.spec) as has_room:
            if not has_room:
                return CallOutcome.REFUSED
            return await self._append_record(record, timeout=FORWARDED_TIMEOUT_SECONDS)

    async def _ask_owner(self, call: PassedJobCall, timeout: Seconds) -> PassedResponse:
        """Ask the owner, whose view of the jobs is the most recent.

        While no owner answers, for example during a takeover, it is asked again for
        ``OWNER_TIMEOUT_RATIO`` of the caller's timeout; then the answer is REFUSED.
        """
        until = read_monotonic() + OWNER_TIMEOUT_RATIO * timeout
        while self.peers is not None and not self.owns_cell():
            owner = self.get_owner()
            if owner and owner != self.peers.member:
                answer = await self.peers.ask(
                    owner, call, timeout=OWNER_TIMEOUT_SECONDS
                )
                if answer.outcome not in UNSETTLED:
                    return answer
            if read_monotonic() >= until:
                break
            await asyncio.sleep(OWNER_PAUSE_SECONDS)
        return PassedResponse(CallOutcome.REFUSED)

    async def _cancel_locally(
        self, call: PassedCancellation, *, timeout: Seconds
    ) -> tuple[CallOutcome, str]:
        """Cancel a job without forwarding; return the outcome and its cause."""
        row = await self.lookup.find_visible(call, timeout=timeout)
        if isinstance(row, CallOutcome):
            return row, "not found"
        if row.final:
            return CallOutcome.DONE, row.state.value
        record = Cancellation(job=call.job)
        return await self._append_record(record, timeout=timeout), "open"

    async def _append_record(
        self, record: JobRecord | Cancellation, *, timeout: Seconds
    ) -> CallOutcome:
        outcome = await self.writer.write(record, timeout=timeout)
        if outcome is CallOutcome.DONE and self.owns_cell():
            self.view.table.apply(record)
        return outcome

    async def _forward(
        self, call: PassedJob | PassedCancellation, started: float, timeout: Seconds
    ) -> PassedResponse:
        """Forward a call within what is left of the caller's timeout."""
        if self.peers is None:
            return PassedResponse(CallOutcome.REFUSED)
        return await self.peers.forward(
            call, timeout=self._compute_time_left(started, timeout)
        )

    @staticmethod
    def _compute_time_left(started: float, timeout: Seconds) -> Seconds:
        """Return the time left for a call, in seconds; never zero or less."""
        time_left = timeout - ANSWER_MARGIN_SECONDS - (read_monotonic() - started)
        return Seconds(max(TIMEOUT_SECONDS_MIN, time_left))

    def _report_outcome(
        self,
        call: type[CallAnswered],
        job: JobId,
        outcome: CallOutcome,
        started: float,
        *,
        cause: str,
    ) -> CallOutcome:
        self._record_call(CALL_NAMES[call], outcome, started)
        elapsed = round(read_monotonic() - started, 4)
        write_event(logger, call(job=job, outcome=outcome, cause=cause, took_s=elapsed))
        return outcome

    def _record_call(self, call: str, outcome: CallOutcome, started: float) -> None:
        self.metrics.count(Counter.JOB_CALLS, call=call, outcome=outcome.value)
        self.metrics.observe(
            Distribution.JOB_CALL, read_monotonic() - started, call=call
        )


def combine_outcomes(local: CallOutcome, remote: CallOutcome) -> CallOutcome:
    """Return the outcome of a call that this instance tried and then forwarded.

    Parameters
    ----------
    local : CallOutcome
        REFUSED or UNCERTAIN; returned if forwarding was refused.
    """
    if remote is CallOutcome.REFUSED:
        return local
    return remote


def _build_response(row: JobRow | CallOutcome) -> PassedResponse:
    if isinstance(row, CallOutcome):
        return PassedResponse(row)
    return PassedResponse(CallOutcome.DONE, state=row.state)
