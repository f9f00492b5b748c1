"""The owner of one ledger partition: accepts jobs, assigns attempts, keeps claims."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from ..adapters.peers_grpc import ACKNOWLEDGE, OFFER, Call
from ..core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UncertainError,
)
from ..core.ids import Seconds, TaskId
from ..core.messages import (
    AcknowledgeClosure,
    CancelJob,
    ClaimAnswer,
    ClaimRequest,
    Empty,
    FinishClaim,
    OfferAnswer,
    OfferAttempt,
    QueryJob,
    SubmitJob,
)
from ..core.records import (
    AnyRecord,
    AttemptEnded,
    RequestClaimed,
    RequestReleased,
    RequestSettled,
    TaskCancelled,
)
from ..ledgers.ledger import LedgerState
from ..ledgers.ledger_systems import (
    accept_job,
    assign_waiting,
    build_offers,
    declare_replicas,
    describe_task,
)
from ..streams.names import name_cell
from ..streams.replica import Proposal, Replica
from .node import Node
from .stream_owner import StreamOwner

OFFER_PERIOD_SECONDS = 1.0


@dataclass
class _Waiter:
    proposal: Proposal
    call: Call
    settle: Callable[[Proposal, Call], None]


class LedgerOwner(StreamOwner[LedgerState]):
    """Owns one ledger partition, or stands by to."""

    def __init__(self, node: Node, replica: Replica[LedgerState]) -> None:
        super().__init__(node, replica)
        self._waiters: list[_Waiter] = []
        self._ended: dict[TaskId, AttemptEnded] = {}
        self._offer_due: dict[TaskId, Seconds] = {}

    def answer(self, call: Call, now: Seconds) -> None:
        """Answer a call about this partition, at once or when it is decided."""
        if not self.owns(now):
            call.answer.set_exception(
                NotOwnerError(f"{self.replica.stream} is not owned", step="ledger.call")
            )
            return
        match call.request:
            case SubmitJob():
                self._submit(call, call.request)
            case CancelJob():
                self._propose_for(TaskCancelled(call.request.task), call, self._tell)
            case QueryJob():
                self._tell_account(call)
            case ClaimRequest():
                self._claim(call, call.request)
            case FinishClaim():
                self._finish_claim(call, call.request)

    def step(self, now: Seconds, rank: int | None) -> None:
        """Answer what was decided, then go on as any owner does."""
        super().step(now, rank)
        self._settle_waiters()

    def decide(self, now: Seconds) -> list[AnyRecord]:
        """Return ends of attempts, new replicas and assignments."""
        configuration = self.node.current
        if configuration is None:
            return []
        records: list[AnyRecord] = list(self._take_ended())
        records.extend(declare_replicas(self.state, configuration))
        if self.node.is_fresh(now):
            cells = self.node.collect_cells(now)
            records.extend(assign_waiting(self.state, cells, configuration))
        return records

    def act(self, now: Seconds) -> None:
        """Offer assigned attempts to the owners of their cells."""
        for offer in build_offers(self.state):
            if now >= self._offer_due.get(offer.task, 0.0):
                self._offer(offer, now)

    def forget(self) -> None:
        """Answer what was decided; tell the rest that it may have been."""
        self._settle_waiters()
        for waiter in self._waiters:
            error = UncertainError("ownership was lost", step="ledger.call")
            waiter.call.answer.set_exception(error)
        self._waiters.clear()
        self._ended.clear()
        self._offer_due.clear()

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
        record = RequestClaimed(message.key, message.request, message.gateway)
        self._propose_for(record, call, self._tell_claim)

    def _finish_claim(self, call: Call, message: FinishClaim) -> None:
        finish = RequestSettled if message.ran else RequestReleased
        self.replica.propose(finish(message.key, message.request))
        call.answer.set_result(Empty())

    def _propose_for(
        self, record: AnyRecord, call: Call, settle: Callable[[Proposal, Call], None]
    ) -> None:
        self._waiters.append(_Waiter(self.replica.propose(record), call, settle))

    def _settle_waiters(self) -> None:
        waiting = []
        for waiter in self._waiters:
            if waiter.proposal.decided:
                waiter.settle(waiter.proposal, waiter.call)
            else:
                waiting.append(waiter)
        self._waiters = waiting

    def _tell(self, proposal: Proposal, call: Call) -> None:
        self._tell_account(call)

    def _tell_account(self, call: Call) -> None:
        row = self.state.tasks.get(call.request.task)
        if row is None:
            error = BadInputError(
                f"task {call.request.task!r} is unknown", step="job.query"
            )
            call.answer.set_exception(error)
        else:
            call.answer.set_result(describe_task(row))

    def _tell_claim(self, proposal: Proposal, call: Call) -> None:
        granted = proposal.rejection is None
        self.node.events.add(
            "claim.granted" if granted else "claim.refused",
            call.request.request,
            key=call.request.key,
        )
        call.answer.set_result(ClaimAnswer(granted=granted))

    def _offer(self, offer: OfferAttempt, now: Seconds) -> None:
        owner = self.node.table.find_owner(name_cell(offer.cell), now)
        if owner is None:
            return
        self._offer_due[offer.task] = Seconds(now + OFFER_PERIOD_SECONDS)
        future = self.node.peers.call(owner.address, OFFER, offer)

        def finish(done: Future[OfferAnswer], at: Seconds) -> None:
            self._take_answer(offer, done)

        self.node.commander.follow(future, then=finish)

    def _take_answer(self, offer: OfferAttempt, future: Future[Any]) -> None:
        try:
            answer = future.result()
        except PlantainhingeError:
            return
        if not answer.closed:
            return
        self._offer_due.pop(offer.task, None)
        self._ended[offer.task] = AttemptEnded(
            offer.task, offer.attempt, answer.outcome, answer.checkpoint, answer.reason
        )

    def _take_ended(self) -> list[AttemptEnded]:
        ended = []
        for task, record in self._ended.items():
            row = self.state.tasks[task]
            if task in self.state.assigned and row.attempt == record.attempt:
                ended.append(record)
            elif row.cell is not None:
                self._acknowledge(record)
        self._ended = {record.task: record for record in ended}
        for record in ended:
            self.node.events.add(
                "attempt.ended", record.task, outcome=record.outcome.value
            )
        return ended

    def _acknowledge(self, record: AttemptEnded) -> None:
        cell = self.state.tasks[record.task].cell
        assert cell is not None
        now = self.replica.caught_up_at or Seconds(0.0)
        owner = self.node.table.find_owner(name_cell(cell), now)
        if owner is None:
            return
        message = AcknowledgeClosure(
            ledger=self.state.partition,
            ledger_epoch=self.state.ownership.epoch,
            cell=cell,
            task=record.task,
            attempt=record.attempt,
        )
        self.node.peers.call(owner.address, ACKNOWLEDGE, message)
