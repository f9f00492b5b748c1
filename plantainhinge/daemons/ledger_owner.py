"""The owner of one ledger partition: accepts jobs, assigns attempts, grants claims."""

from collections.abc import Callable
from dataclasses import dataclass

from ..adapters.peers_grpc import Call
from ..core.clock import read_wall
from ..core.configuration import Configuration
from ..core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UnavailableError,
    UncertainError,
)
from ..core.ids import Epoch, Revision, Seconds, TaskId
from ..core.messages import (
    AttemptRef,
    CancelJob,
    ClaimRequest,
    ClaimResponse,
    ClosuresAcknowledged,
    Empty,
    FinishClaim,
    ListJobs,
    QueryJob,
    ReportClosures,
    SubmitJob,
)
from ..core.records import (
    AnyRecord,
    AttemptAssigned,
    AttemptEnded,
    RequestClaimed,
    RequestReleased,
    RequestSettled,
    TaskAccepted,
    TaskCancelled,
    TimeRecorded,
)
from ..ledgers.ledger import LedgerState
from ..ledgers.ledger_decisions import (
    assign_waiting,
    build_attempt_end,
    build_job_acceptance,
    collect_capacities,
    describe_task,
    is_open,
    list_jobs,
    prune_rows,
    reconcile_replicas,
    record_declines,
    reject_infeasible,
)
from ..placement.assignment import AssignmentTables
from ..streams.replica import Proposal, Replica
from .node import NO_EPOCH, Node
from .offers import OfferSender
from .stream_owner import StreamOwner

ASSIGN_PERIOD_SECONDS = 0.5
CAPACITY_WAIT_SECONDS = 3.0
PRUNE_PERIOD_SECONDS = 10.0
TIME_RECORD_PERIOD_SECONDS = 1.0
CLOSURE_TIMEOUT_SECONDS = 2.0
WAITERS_MAX = 2000

Respond = Callable[[Proposal, Call, bool], None]


@dataclass
class _Waiter:
    call: Call
    record: AnyRecord
    respond: Respond
    proposal: Proposal | None = None
    epoch: Epoch = NO_EPOCH


@dataclass(frozen=True)
class _ClosureReport:
    call: Call
    refs: list[AttemptRef]
    deadline: Seconds


class LedgerOwner(StreamOwner[LedgerState]):
    """Owns one ledger partition, or stands by to own it.

    Records requested by callers are proposed in groups, so that concurrent calls share
    one append to the log.
    """

    def __init__(self, node: Node, replica: Replica[LedgerState]) -> None:
        super().__init__(node, replica)
        self.offers = OfferSender(node, replica)
        self._waiters: list[_Waiter] = []
        self._unawaited_records: list[AnyRecord] = []
        self._pending_ends: dict[TaskId, AttemptEnded] = {}
        self._closure_reports: list[_ClosureReport] = []
        self._changed: dict[TaskId, None] = {}
        self._feasibility_unchecked: dict[TaskId, None] = {}
        self._reconciled_revision = Revision(0)
        self._assign_due = Seconds(0.0)
        self._capacity_deadline = Seconds(0.0)
        self._assignment_tables = AssignmentTables()
        self._now = Seconds(0.0)
        self._prune_due = Seconds(0.0)

    def handle_call(self, call: Call, now: Seconds) -> None:
        """Answer a call about this partition, at once or when its record is decided."""
        if not self.owns(now) or self._releasing:
            call.response.set_exception(
                NotOwnerError(f"{self.replica.stream} is not owned", step="ledger.call")
            )
            return
        match call.request:
            case SubmitJob():
                self._submit(call, call.request)
            case CancelJob():
                self._propose_for(
                    TaskCancelled(call.request.task), call, self._respond_with_status
                )
            case QueryJob() | ListJobs():
                self._answer_query(call)
            case ClaimRequest():
                self._claim(call, call.request)
            case FinishClaim():
                self._finish_claim(call, call.request)
            case ReportClosures():
                self._handle_closures(call, call.request, now)

    def step(self, now: Seconds, rank: int | None) -> None:
        """Step the stream, and answer the calls whose records were decided."""
        self._now = now
        self._respond_to_waiters()
        super().step(now, rank)
        self._respond_to_closure_reports(now)

    def decide(self, now: Seconds) -> list[AnyRecord]:
        """Propose the records of callers and cells, new replicas and assignments.

        Nothing is returned, because each waiter keeps the proposal of its record.
        """
        configuration = self.node.current_configuration
        if configuration is None:
            return []
        changed = list(self._changed)
        self._changed.clear()
        self._feasibility_unchecked.update(dict.fromkeys(changed))
        records = self._drain_ends()
        record_declines(self.state, records, self._assignment_tables, now)
        records.extend(self._unawaited_records)
        self._unawaited_records.clear()
        records.extend(self._reconcile_replicas(configuration, changed))
        records.extend(self._assign(configuration, now, bool(changed)))
        new_waiters = [waiter for waiter in self._waiters if waiter.proposal is None]
        for record in self._build_time_records(now, bool(records or new_waiters)):
            self.propose(record)
        for record in records:
            self.propose(record)
        for waiter in new_waiters:
            waiter.proposal = self.propose(waiter.record)
            waiter.epoch = self.epoch
        return []

    def act(self, now: Seconds) -> None:
        """Offer assigned attempts to the owners of their cells."""
        changed = self.state.take_changed()
        self._changed.update(dict.fromkeys(changed))
        self.offers.update_tasks(changed, now)
        self.offers.send(now)

    def is_urgent(self, record: AnyRecord) -> bool:
        """Return whether the record accepts or assigns an urgent task."""
        if isinstance(record, TaskAccepted):
            return record.urgent
        if isinstance(record, AttemptAssigned):
            row = self.state.tasks.get(record.task)
            return row is not None and row.accepted.urgent
        return False

    def activate(self, now: Seconds) -> None:
        """Offer all assigned attempts again, and check whether waiting tasks fit.

        Tasks are assigned once every cell has reported its capacity, or after
        ``CAPACITY_WAIT_SECONDS``, so that the first cell to report does not get them
        all.
        """
        self.offers.update_tasks(list(self.state.assigned), now)
        self._changed.update(self.state.waiting)
        self._reconciled_revision = Revision(0)
        self._capacity_deadline = Seconds(now + CAPACITY_WAIT_SECONDS)
        self._assignment_tables = AssignmentTables()

    def deactivate(self) -> None:
        """Answer the calls whose records were decided, and fail all others."""
        self._respond_to_waiters()
        for waiter in self._waiters:
            waiter.call.response.set_exception(_build_undecided_error(waiter))
        for report in self._closure_reports:
            error = NotOwnerError("ownership was lost", step="ledger.call")
            report.call.response.set_exception(error)
        self._waiters.clear()
        self._closure_reports.clear()
        self._pending_ends.clear()

    def reset(self) -> None:
        """Drop the offers and the records that wait to be proposed."""
        self.deactivate()
        self.offers.clear()
        self._unawaited_records.clear()
        self._changed.clear()
        self._feasibility_unchecked.clear()

    def has_waiters(self) -> bool:
        """Return whether any caller waits for its record to be decided."""
        return bool(self._waiters)

    def _submit(self, call: Call, message: SubmitJob) -> None:
        configuration = self.node.current_configuration
        kind = configuration.kinds.get(message.kind) if configuration else None
        if kind is None:
            error = BadInputError(
                f"kind {message.kind!r} is unknown", step="job.submit"
            )
            call.response.set_exception(error)
        elif message.task in self.state.tasks:
            self._send_job_status(call)
        else:
            self.node.events.add("job.submitted", message.task)
            self._propose_for(
                build_job_acceptance(message, kind), call, self._respond_with_status
            )

    def _claim(self, call: Call, message: ClaimRequest) -> None:
        record = RequestClaimed(
            message.key, message.request, message.gateway, message.key_at
        )
        self._propose_for(record, call, self._respond_to_claim)

    def _finish_claim(self, call: Call, message: FinishClaim) -> None:
        finish = RequestSettled if message.ran else RequestReleased
        self._unawaited_records.append(finish(message.key, message.request))
        call.response.set_result(Empty())

    def _propose_for(self, record: AnyRecord, call: Call, respond: Respond) -> None:
        if len(self._waiters) >= WAITERS_MAX:
            error = UnavailableError("too many calls wait", step="ledger.call")
            call.response.set_exception(error)
            return
        self._waiters.append(_Waiter(call, record, respond))

    def _respond_to_waiters(self) -> None:
        waiting = []
        for waiter in self._waiters:
            proposal = waiter.proposal
            if proposal is not None and proposal.decided:
                fenced = waiter.epoch != self.epoch
                waiter.respond(proposal, waiter.call, fenced)
            else:
                waiting.append(waiter)
        self._waiters = waiting

    def _respond_with_status(
        self, proposal: Proposal, call: Call, fenced: bool
    ) -> None:
        if proposal.rejection is not None and fenced:
            error = NotOwnerError(proposal.rejection, step="ledger.call")
            call.response.set_exception(error)
        else:
            self._send_job_status(call)

    def _answer_query(self, call: Call) -> None:
        if isinstance(call.request, ListJobs):
            jobs = list_jobs(
                self.state, call.request, self._assignment_tables, self._now
            )
            call.response.set_result(jobs)
        else:
            self._send_job_status(call)

    def _send_job_status(self, call: Call) -> None:
        row = self.state.tasks.get(call.request.task)
        if row is None:
            error = BadInputError(
                f"task {call.request.task!r} is unknown", step="job.query"
            )
            call.response.set_exception(error)
        else:
            status = describe_task(self.state, row, self._assignment_tables, self._now)
            call.response.set_result(status)

    def _respond_to_claim(self, proposal: Proposal, call: Call, fenced: bool) -> None:
        granted = proposal.rejection is None
        if not granted and fenced:
            error = NotOwnerError(proposal.rejection or "", step="ledger.call")
            call.response.set_exception(error)
            return
        self.node.events.add(
            "claim.granted" if granted else "claim.refused",
            call.request.request,
            key=call.request.key,
        )
        row = self.state.claims.get(call.request.key)
        response = ClaimResponse(
            granted=granted,
            state=row.state if row else None,
            reason=proposal.rejection or "",
        )
        call.response.set_result(response)

    def _handle_closures(
        self, call: Call, message: ReportClosures, now: Seconds
    ) -> None:
        refs = []
        for closure in message.closures:
            refs.append(AttemptRef(task=closure.task, attempt=closure.attempt))
            if is_open(self.state, closure.task, closure.attempt):
                self._pending_ends[closure.task] = build_attempt_end(closure)
        deadline = Seconds(now + CLOSURE_TIMEOUT_SECONDS)
        self._closure_reports.append(_ClosureReport(call, refs, deadline))

    def _respond_to_closure_reports(self, now: Seconds) -> None:
        waiting = []
        for report in self._closure_reports:
            recorded = [
                ref
                for ref in report.refs
                if not is_open(self.state, ref.task, ref.attempt)
            ]
            if len(recorded) < len(report.refs) and now < report.deadline:
                waiting.append(report)
                continue
            response = ClosuresAcknowledged(
                ledger_epoch=self.epoch,
                sequence=self.offers.next_sequence(),
                recorded=recorded,
            )
            report.call.response.set_result(response)
        self._closure_reports = waiting

    def _drain_ends(self) -> list[AnyRecord]:
        records: list[AnyRecord] = []
        for record in self._pending_ends.values():
            if is_open(self.state, record.task, record.attempt):
                records.append(record)
        self._pending_ends.clear()
        return records

    def _reconcile_replicas(
        self, configuration: Configuration, changed: list[TaskId]
    ) -> list[AnyRecord]:
        revision = self.node.configuration.reducer.revision
        if revision == self._reconciled_revision and not any(
            map(self._is_service, changed)
        ):
            return []
        if revision != self._reconciled_revision:
            self._feasibility_unchecked.update(self.state.waiting)
        self._reconciled_revision = revision
        return reconcile_replicas(self.state, configuration)

    def _is_service(self, task: TaskId) -> bool:
        row = self.state.tasks.get(task)
        return row is None or bool(row.accepted.service)

    def _assign(
        self, configuration: Configuration, now: Seconds, changed: bool
    ) -> list[AnyRecord]:
        if not self.state.waiting:
            self._feasibility_unchecked.clear()
            return []
        if not self.node.has_fresh_configuration(now):
            return []
        if not changed and now < self._assign_due:
            return []
        self._assign_due = Seconds(now + ASSIGN_PERIOD_SECONDS)
        cells = self.node.collect_cells(now)
        capacities = collect_capacities(cells, configuration)
        if capacities is None and now < self._capacity_deadline:
            return []
        infeasible = reject_infeasible(
            self.state, self._feasibility_unchecked, cells, configuration
        )
        if capacities is not None:
            self._feasibility_unchecked.clear()
        rejected = {record.task for record in infeasible}
        assigned = assign_waiting(
            self.state,
            cells,
            configuration,
            self._assignment_tables,
            now=now,
            wall=read_wall(),
        )
        return [*infeasible, *(r for r in assigned if r.task not in rejected)]

    def _build_time_records(self, now: Seconds, has_others: bool) -> list[AnyRecord]:
        """Return a time record if one is due, and the record that prunes old rows."""
        wall = read_wall()
        pruned = None
        if now >= self._prune_due:
            self._prune_due = Seconds(now + PRUNE_PERIOD_SECONDS)
            pruned = prune_rows(self.state, wall)
        is_time_due = wall >= self.state.time + TIME_RECORD_PERIOD_SECONDS
        if pruned is not None:
            return [TimeRecorded(wall), pruned]
        return [TimeRecorded(wall)] if is_time_due and has_others else []


def _build_undecided_error(waiter: _Waiter) -> PlantainhingeError:
    """Return the error for a caller whose record was not decided in time.

    A record that was proposed may be in the log or not.
    """
    if waiter.proposal is None:
        return NotOwnerError("ownership was lost", step="ledger.call")
    return UncertainError("the log did not decide in time", step="ledger.call")
