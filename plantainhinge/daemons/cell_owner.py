"""The owner of one cell: places attempts, renews their leases and closes them."""

from concurrent.futures import Future
from dataclasses import dataclass

from ..adapters.peers_grpc import REPORT_CLOSURES, Call
from ..core.due_queue import DueQueue
from ..core.errors import NotOwnerError
from ..core.ids import ProcessId, Seconds, TaskId, WorkerId
from ..core.messages import (
    AttemptOffer,
    AttemptRef,
    AttemptReport,
    CellDigest,
    ClosuresAcknowledged,
    Instance,
    OfferAttempts,
    OffersAcknowledged,
    QueryTargets,
)
from ..core.protocols import WorkerClient
from ..core.records import (
    AnyRecord,
    AttemptPlaced,
    ClosureAcknowledged,
    PredecessorsEnded,
)
from ..core.states import DomainState
from ..ledgers.cell import CellState, Fence
from ..ledgers.cell_decisions import (
    build_closures,
    digest_cell,
    list_changed_workers,
    list_targets,
    reconcile_workers,
)
from ..ledgers.cell_placement import decline_offers, is_known, place_offers
from ..ledgers.leases import Takeover, compute_predecessors_end, may_renew
from ..routing.target_lists import answer_target_query
from ..streams.names import name_ledger_stream
from ..streams.ownership import OWNER_LEASE_SECONDS
from ..streams.replica import Replica
from .cell_learning import CellLearning
from .cell_workers import CellWorkers
from .node import Node
from .stream_owner import StreamOwner

REPORT_RETRY_SECONDS = 1.0
CLOSURES_PER_REPORT_MAX = 100
OFFER_TIMEOUT_SECONDS = 2.0
PREDECESSORS_CHECK_PERIOD_SECONDS = 1.0


@dataclass(frozen=True)
class _PendingOffer:
    offer: AttemptOffer
    fence: Fence


@dataclass(frozen=True)
class _Waiter:
    call: Call
    offers: list[AttemptOffer]
    deadline: Seconds


class CellOwner(StreamOwner[CellState]):
    """Owns one cell, or stands by to own it."""

    def __init__(
        self, node: Node, replica: Replica[CellState], client: WorkerClient
    ) -> None:
        super().__init__(node, replica)
        self.workers = CellWorkers(node, replica, client, self._handle_report)
        self.learning = CellLearning(node, replica)
        self._offers: dict[TaskId, _PendingOffer] = {}
        self._urgent: set[TaskId] = set()
        self._waiters: list[_Waiter] = []
        self._acknowledged: dict[TaskId, ClosureAcknowledged] = {}
        self._reports_due: DueQueue[int] = DueQueue()
        self._instances_seen: list[Instance] = []
        self._owner_since = Seconds(0.0)
        self._now = Seconds(0.0)
        self._predecessors_due = Seconds(0.0)
        self._predecessor_ends: dict[ProcessId, Seconds] = {}

    def build_digest(self) -> CellDigest:
        """Return a summary of the cell, without the capacity of quarantined workers."""
        quarantined = self.learning.tables.health.list_quarantined(self._now)
        return digest_cell(self.state, skip=quarantined)

    def handle_call(self, call: Call, now: Seconds) -> None:
        """Answer a call about this cell, or refuse it if the cell is not owned here."""
        if not self.owns(now) or self._releasing:
            call.response.set_exception(
                NotOwnerError(f"{self.replica.stream} is not owned", step="cell.call")
            )
            return
        match call.request:
            case OfferAttempts():
                self._handle_offers(call, call.request, now)
            case QueryTargets(service=service):
                targets = list_targets(
                    self.state,
                    service,
                    self.workers.reports,
                    leaving=self.workers.list_stopping(),
                )
                call.response.set_result(answer_target_query(targets, call.request))

    def step(self, now: Seconds, rank: int | None) -> None:
        """Step the stream, and renew leases even while the log is unavailable."""
        self._now = now
        if self.node.current_configuration is not None:
            self.learning.apply_configuration(self.node.current_configuration)
        super().step(now, rank)
        self._respond_to_offers(now)
        if self._may_renew(now):
            self.workers.renew(now)

    def decide(self, now: Seconds) -> list[AnyRecord]:
        """Return records of workers, ended predecessors, closures and placements."""
        records: list[AnyRecord] = []
        if self.node.instances is not self._instances_seen:
            self._instances_seen = self.node.instances
            records.extend(reconcile_workers(self.state, self.node.instances))
        records.extend(self._end_predecessors(now))
        records.extend(self.workers.collect_closures(now))
        records.extend(self._drain_acknowledged())
        records.extend(self._place(now))
        return records

    def act(self, now: Seconds) -> None:
        """Start placed attempts, stop those that must end, and report closures."""
        changed = self.state.take_changed()
        self.learning.record_changes(changed, now)
        self.workers.update_attempts(changed, now)
        for task in self.learning.select_for_drain(
            self._is_domain_in(), self.workers, now
        ):
            self.workers.schedule_stop(task, now)
        for task in changed:
            self._schedule_closure_report(task, now)
        if self._is_domain_in() and self.node.has_fresh_configuration(now):
            self.workers.start(now, self._compute_start_deadline())
        self.workers.stop(now)
        for ledger in self._reports_due.take(now):
            self._report_closures(ledger, now)

    def is_urgent(self, record: AnyRecord) -> bool:
        """Return whether the record places an urgent task."""
        return isinstance(record, AttemptPlaced) and record.task in self._urgent

    def activate(self, now: Seconds) -> None:
        """Take over all open attempts and all closures not acknowledged yet."""
        self._owner_since = now
        self.learning.activate(now)
        self.workers.activate(self._build_takeover(), now)
        for ledger in self.state.closures:
            self._reports_due.set(ledger, now)

    def deactivate(self) -> None:
        """Reject the pending offers; leases are still renewed."""
        self._offers.clear()
        self._acknowledged.clear()
        self._reject_waiters()

    def reset(self) -> None:
        """Drop offers, reports of workers and timers."""
        self.deactivate()
        self.workers.reset()
        self._reports_due.clear()
        self._predecessor_ends.clear()

    def is_busy(self) -> bool:
        """Return whether a call to a worker is in flight."""
        return self.workers.is_busy()

    def _handle_offers(self, call: Call, message: OfferAttempts, now: Seconds) -> None:
        fence = Fence(message.ledger_epoch, message.sequence)
        if self.state.is_superseded(message.ledger, fence):
            call.response.set_result(OffersAcknowledged(known=[]))
            return
        for offer in message.offers:
            if not is_known(self.state, offer):
                self._offers[offer.task] = _PendingOffer(offer, fence)
            elif offer.cancelled and offer.task in self.state.open_attempts:
                self.workers.schedule_stop(offer.task, now)
        deadline = Seconds(now + OFFER_TIMEOUT_SECONDS)
        self._waiters.append(_Waiter(call, message.offers, deadline))

    def _respond_to_offers(self, now: Seconds) -> None:
        waiting = []
        for waiter in self._waiters:
            known = [o for o in waiter.offers if is_known(self.state, o)]
            if len(known) < len(waiter.offers) and now < waiter.deadline:
                waiting.append(waiter)
                continue
            refs = [AttemptRef(task=o.task, attempt=o.attempt) for o in known]
            waiter.call.response.set_result(OffersAcknowledged(known=refs))
        self._waiters = waiting

    def _reject_waiters(self) -> None:
        for waiter in self._waiters:
            error = NotOwnerError("ownership was lost", step="cell.call")
            waiter.call.response.set_exception(error)
        self._waiters.clear()

    def _place(self, now: Seconds) -> list[AnyRecord]:
        if not self._offers or not self.node.has_fresh_configuration(now):
            return []
        fences = self._compute_fences()
        offers = [
            pending.offer
            for pending in self._offers.values()
            if pending.fence >= fences.get(pending.offer.ledger, Fence())
        ]
        pending_offers, self._offers = self._offers, {}
        self._urgent = {offer.task for offer in offers if offer.urgent}
        if not self._is_domain_in():
            return decline_offers(self.state, offers, "the failure domain is out")
        changed = list_changed_workers(self.state, self.node.instances)
        plan = place_offers(
            self.state,
            offers,
            self.learning.tables,
            self.learning.policy,
            usable=self.workers.list_usable(now) - changed,
            now=now,
        )
        for task in plan.evictions:
            self.node.events.add("attempt.evicting", task)
            self.workers.schedule_stop(task, now)
        self._offers = {
            task: pending
            for task, pending in pending_offers.items()
            if self.learning.tables.holds.is_held(task, now)
        }
        return plan.records

    def _compute_fences(self) -> dict[int, Fence]:
        """Return the fences, including those of the acknowledgements to propose."""
        fences = dict(self.state.fences)
        for record in self._acknowledged.values():
            fence = Fence(record.ledger_epoch, record.sequence)
            fences[record.ledger] = max(fence, fences.get(record.ledger, Fence()))
        return fences

    def _is_domain_in(self) -> bool:
        configuration = self.node.current_configuration
        domain = self.state.domain
        if configuration is None or domain not in configuration.domains:
            return False
        return configuration.domains[domain].state is DomainState.IN

    def _handle_report(
        self, worker: WorkerId, reports: list[AttemptReport], now: Seconds
    ) -> None:
        self.learning.handle_report(worker, reports, self.workers, now)

    def _compute_start_deadline(self) -> Seconds:
        confirmed_at = self.replica.confirmed_at or 0.0
        owned_until = confirmed_at + OWNER_LEASE_SECONDS
        return Seconds(min(self.node.configuration_fresh_until(), owned_until))

    def _may_renew(self, now: Seconds) -> bool:
        is_owner = self.state.ownership.owner == self.node.process
        is_active = (
            is_owner and self._active_epoch == self.epoch and not self._releasing
        )
        return is_active and may_renew(self.replica.confirmed_at, now)

    def _schedule_closure_report(self, task: TaskId, now: Seconds) -> None:
        row = self.state.attempts.get(task)
        if row is not None and row.closed is not None:
            self._reports_due.add(row.closed.ledger, now)

    def _report_closures(self, ledger: int, now: Seconds) -> None:
        message = build_closures(self.state, ledger, limit=CLOSURES_PER_REPORT_MAX)
        if message is None:
            return
        self._reports_due.set(ledger, now + REPORT_RETRY_SECONDS)
        owner = self.node.peer_table.find_owner(name_ledger_stream(ledger), now)
        if owner is None:
            return
        future = self.node.peers.call(owner.address, REPORT_CLOSURES, message)

        def handle_result(done: Future[ClosuresAcknowledged], at: Seconds) -> None:
            if done.exception() is None:
                self._handle_closures_response(ledger, done.result())

        self.node.executor.add_callback(future, callback=handle_result)

    def _handle_closures_response(
        self, ledger: int, response: ClosuresAcknowledged
    ) -> None:
        for ref in response.recorded:
            row = self.state.attempts.get(ref.task)
            if row is None or row.closed is None or row.attempt != ref.attempt:
                continue
            self._acknowledged[ref.task] = ClosureAcknowledged(
                ref.task, ref.attempt, ledger, response.ledger_epoch, response.sequence
            )

    def _drain_acknowledged(self) -> list[AnyRecord]:
        records: list[AnyRecord] = []
        for record in self._acknowledged.values():
            row = self.state.attempts.get(record.task)
            if row is not None and row.closed and row.attempt == record.attempt:
                records.append(record)
        self._acknowledged.clear()
        return records

    def _build_takeover(self) -> Takeover:
        predecessors = self.state.ownership.predecessors
        ends = [self._predecessor_ends.get(row.process) for row in predecessors]
        known = [at for at in ends if at is not None]
        ended_at = max(known) if len(known) == len(ends) and known else None
        return Takeover(
            self._owner_since, released=not predecessors, predecessors_ended_at=ended_at
        )

    def _end_predecessors(self, now: Seconds) -> list[AnyRecord]:
        predecessors = self.state.ownership.predecessors
        if not predecessors or now < self._predecessors_due:
            return []
        self._predecessors_due = Seconds(now + PREDECESSORS_CHECK_PERIOD_SECONDS)
        for row in predecessors:
            if row.process in self._predecessor_ends:
                continue
            if self.node.peer_table.is_replaced(row.process, row.address):
                self._predecessor_ends[row.process] = now
                self.workers.update_takeover(self._build_takeover())
        ended = all(row.process in self._predecessor_ends for row in predecessors)
        if ended or now >= compute_predecessors_end(Takeover(self._owner_since)):
            return [PredecessorsEnded(self.epoch)]
        return []
