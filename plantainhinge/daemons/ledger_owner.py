"""The owner of one ledger partition: accepts jobs, assigns attempts, keeps claims."""

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
    accept_job,
    assign_waiting,
    build_attempt_end,
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
from .offers import Offers
from .stream_owner import StreamOwner

ASSIGN_PERIOD_SECONDS = 0.5
SETTLE_SECONDS = 3.0
PRUNE_PERIOD_SECONDS = 10.0
TIME_STEP_SECONDS = 1.0
CLOSURE_WAIT_SECONDS = 2.0
WAITERS_LIMIT = 2000

Settle = Callable[[Proposal, Call, bool], None]


@dataclass
class _Waiter:
    call: Call
    record: AnyRecord
    settle: Settle
    proposal: Proposal | None = None
    epoch: Epoch = NO_EPOCH


@dataclass(frozen=True)
class _Reporter:
    call: Call
    refs: list[AttemptRef]
    until: Seconds


class LedgerOwner(StreamOwner[LedgerState]):
    """Owns one ledger partition, or stands by to.

    What callers ask for waits for the next group of proposals, so that any number
    of calls takes one append.
    """

    def __init__(self, node: Node, replica: Replica[LedgerState]) -> None:
        super().__init__(node, replica)
        self.offers = Offers(node, replica)
        self._waiters: list[_Waiter] = []
        self._silent: list[AnyRecord] = []
        self._ended: dict[TaskId, AttemptEnded] = {}
        self._reporters: list[_Reporter] = []
        self._changed: dict[TaskId, None] = {}
        self._unjudged: dict[TaskId, None] = {}
        self._declared = Revision(0)
        self._assign_due = Seconds(0.0)
        self._settled_at = Seconds(0.0)
        self._placing = AssignmentTables()
        self._now = Seconds(0.0)
        self._prune_due = Seconds(0.0)

    def answer(self, call: Call, now: Seconds) -> None:
        """Answer a call about this partition, at once or when it is decided."""
        if not self.owns(now) or self._releasing:
            call.answer.set_exception(
                NotOwnerError(f"{self.replica.stream} is not owned", step="ledger.call")
            )
            return
        match call.request:
            case SubmitJob():
                self._submit(call, call.request)
            case CancelJob():
                self._propose_for(TaskCancelled(call.request.task), call, self._tell)
            case QueryJob() | ListJobs():
                self._answer_query(call)
            case ClaimRequest():
                self._claim(call, call.request)
            case FinishClaim():
                self._finish_claim(call, call.request)
            case ReportClosures():
                self._take_closures(call, call.request, now)

    def step(self, now: Seconds, rank: int | None) -> None:
        """Go on as any owner does, and answer what was decided."""
        self._now = now
        self._settle_waiters()
        super().step(now, rank)
        self._answer_reporters(now)

    def decide(self, now: Seconds) -> list[AnyRecord]:
        """Return what callers and cells asked for, new replicas and assignments."""
        configuration = self.node.current
        if configuration is None:
            return []
        changed = list(self._changed)
        self._changed.clear()
        self._unjudged.update(dict.fromkeys(changed))
        records = self._take_ended()
        record_declines(self.state, records, self._placing, now)
        records.extend(self._silent)
        self._silent.clear()
        records.extend(self._declare(configuration, changed))
        records.extend(self._assign(configuration, now, bool(changed)))
        wanted = [waiter for waiter in self._waiters if waiter.proposal is None]
        for record in self._keep_time(now, bool(records or wanted)):
            self.propose(record)
        for record in records:
            self.propose(record)
        for waiter in wanted:
            waiter.proposal = self.propose(waiter.record)
            waiter.epoch = self.epoch
        return []

    def act(self, now: Seconds) -> None:
        """Offer assigned attempts to the owners of their cells."""
        changed = self.state.take_changed()
        self._changed.update(dict.fromkeys(changed))
        self.offers.note_changed(changed, now)
        self.offers.send(now)

    def is_urgent(self, record: AnyRecord) -> bool:
        """Return whether the record is on the way of urgent work to its start."""
        if isinstance(record, TaskAccepted):
            return record.urgent
        if isinstance(record, AttemptAssigned):
            row = self.state.tasks.get(record.task)
            return row is not None and row.accepted.urgent
        return False

    def begin(self, now: Seconds) -> None:
        """Offer all assigned attempts again, and look at all that wait.

        Tasks are assigned once all cells have been heard of, or after a while, so
        that the first to be heard of does not get them all.
        """
        self.offers.note_changed(list(self.state.assigned), now)
        self._changed.update(self.state.waiting)
        self._declared = Revision(0)
        self._settled_at = Seconds(now + SETTLE_SECONDS)
        self._placing = AssignmentTables()

    def lapse(self) -> None:
        """Answer what was decided; tell the rest that it may have been."""
        self._settle_waiters()
        for waiter in self._waiters:
            waiter.call.answer.set_exception(_explain_lapse(waiter))
        for reporter in self._reporters:
            error = NotOwnerError("ownership was lost", step="ledger.call")
            reporter.call.answer.set_exception(error)
        self._waiters.clear()
        self._reporters.clear()
        self._ended.clear()

    def forget(self) -> None:
        """Drop offers and what waits to be decided."""
        self.lapse()
        self.offers.clear()
        self._silent.clear()
        self._changed.clear()
        self._unjudged.clear()

    def has_waiters(self) -> bool:
        """Return whether a caller waits for a record to be decided."""
        return bool(self._waiters)

    def _submit(self, call: Call, message: SubmitJob) -> None:
        configuration = self.node.current
        kind = configuration.kinds.get(message.kind) if configuration else None
        if kind is None:
            error = BadInputError(
                f"kind {message.kind!r} is unknown", step="job.submit"
            )
            call.answer.set_exception(error)
        elif message.task in self.state.tasks:
            self._tell_account(call)
        else:
            self.node.events.add("job.submitted", message.task)
            self._propose_for(accept_job(message, kind), call, self._tell)

    def _claim(self, call: Call, message: ClaimRequest) -> None:
        record = RequestClaimed(
            message.key, message.request, message.gateway, message.key_at
        )
        self._propose_for(record, call, self._tell_claim)

    def _finish_claim(self, call: Call, message: FinishClaim) -> None:
        finish = RequestSettled if message.ran else RequestReleased
        self._silent.append(finish(message.key, message.request))
        call.answer.set_result(Empty())

    def _propose_for(self, record: AnyRecord, call: Call, settle: Settle) -> None:
        if len(self._waiters) >= WAITERS_LIMIT:
            error = UnavailableError("too many calls wait", step="ledger.call")
            call.answer.set_exception(error)
            return
        self._waiters.append(_Waiter(call, record, settle))

    def _settle_waiters(self) -> None:
        waiting = []
        for waiter in self._waiters:
            proposal = waiter.proposal
            if proposal is not None and proposal.decided:
                fenced = waiter.epoch != self.epoch
                waiter.settle(proposal, waiter.call, fenced)
            else:
                waiting.append(waiter)
        self._waiters = waiting

    def _tell(self, proposal: Proposal, call: Call, fenced: bool) -> None:
        if proposal.rejection is not None and fenced:
            error = NotOwnerError(proposal.rejection, step="ledger.call")
            call.answer.set_exception(error)
        else:
            self._tell_account(call)

    def _answer_query(self, call: Call) -> None:
        if isinstance(call.request, ListJobs):
            jobs = list_jobs(self.state, call.request, self._placing, self._now)
            call.answer.set_result(jobs)
        else:
            self._tell_account(call)

    def _tell_account(self, call: Call) -> None:
        row = self.state.tasks.get(call.request.task)
        if row is None:
            error = BadInputError(
                f"task {call.request.task!r} is unknown", step="job.query"
            )
            call.answer.set_exception(error)
        else:
            account = describe_task(self.state, row, self._placing, self._now)
            call.answer.set_result(account)

    def _tell_claim(self, proposal: Proposal, call: Call, fenced: bool) -> None:
        granted = proposal.rejection is None
        if not granted and fenced:
            error = NotOwnerError(proposal.rejection or "", step="ledger.call")
            call.answer.set_exception(error)
            return
        self.node.events.add(
            "claim.granted" if granted else "claim.refused",
            call.request.request,
            key=call.request.key,
        )
        row = self.state.claims.get(call.request.key)
        answer = ClaimResponse(
            granted=granted,
            state=row.state if row else None,
            reason=proposal.rejection or "",
        )
        call.answer.set_result(answer)

    def _take_closures(self, call: Call, message: ReportClosures, now: Seconds) -> None:
        refs = []
        for closure in message.closures:
            refs.append(AttemptRef(task=closure.task, attempt=closure.attempt))
            if is_open(self.state, closure.task, closure.attempt):
                self._ended[closure.task] = build_attempt_end(closure)
        until = Seconds(now + CLOSURE_WAIT_SECONDS)
        self._reporters.append(_Reporter(call, refs, until))

    def _answer_reporters(self, now: Seconds) -> None:
        waiting = []
        for reporter in self._reporters:
            recorded = [
                ref
                for ref in reporter.refs
                if not is_open(self.state, ref.task, ref.attempt)
            ]
            if len(recorded) < len(reporter.refs) and now < reporter.until:
                waiting.append(reporter)
                continue
            answer = ClosuresAcknowledged(
                ledger_epoch=self.epoch,
                sequence=self.offers.next_sequence(),
                recorded=recorded,
            )
            reporter.call.answer.set_result(answer)
        self._reporters = waiting

    def _take_ended(self) -> list[AnyRecord]:
        records: list[AnyRecord] = []
        for record in self._ended.values():
            if is_open(self.state, record.task, record.attempt):
                records.append(record)
        self._ended.clear()
        return records

    def _declare(
        self, configuration: Configuration, changed: list[TaskId]
    ) -> list[AnyRecord]:
        revision = self.node.configuration.reducer.revision
        if revision == self._declared and not any(map(self._is_service, changed)):
            return []
        if revision != self._declared:
            self._unjudged.update(self.state.waiting)
        self._declared = revision
        return reconcile_replicas(self.state, configuration)

    def _is_service(self, task: TaskId) -> bool:
        row = self.state.tasks.get(task)
        return row is None or bool(row.accepted.service)

    def _assign(
        self, configuration: Configuration, now: Seconds, changed: bool
    ) -> list[AnyRecord]:
        if not self.state.waiting:
            self._unjudged.clear()
            return []
        if not self.node.is_fresh(now):
            return []
        if not changed and now < self._assign_due:
            return []
        self._assign_due = Seconds(now + ASSIGN_PERIOD_SECONDS)
        cells = self.node.collect_cells(now)
        shapes = collect_capacities(cells, configuration)
        if shapes is None and now < self._settled_at:
            return []
        hopeless = reject_infeasible(self.state, self._unjudged, cells, configuration)
        if shapes is not None:
            self._unjudged.clear()
        rejected = {record.task for record in hopeless}
        assigned = assign_waiting(
            self.state,
            cells,
            configuration,
            self._placing,
            now=now,
            wall=read_wall(),
        )
        return [*hopeless, *(r for r in assigned if r.task not in rejected)]

    def _keep_time(self, now: Seconds, has_others: bool) -> list[AnyRecord]:
        """Return the time, if it is wanted, and what is old enough to forget."""
        wall = read_wall()
        pruned = None
        if now >= self._prune_due:
            self._prune_due = Seconds(now + PRUNE_PERIOD_SECONDS)
            pruned = prune_rows(self.state, wall)
        is_late = wall >= self.state.time + TIME_STEP_SECONDS
        if pruned is not None:
            return [TimeRecorded(wall), pruned]
        return [TimeRecorded(wall)] if is_late and has_others else []


def _explain_lapse(waiter: _Waiter) -> PlantainhingeError:
    """Return what to tell a caller whose record may or may not be in the log."""
    if waiter.proposal is None:
        return NotOwnerError("ownership was lost", step="ledger.call")
    return UncertainError("the log did not decide in time", step="ledger.call")
