"""The owner of one cell: places attempts, keeps leases, closes attempts."""

from concurrent.futures import Future

from ..adapters.peers_grpc import Call
from ..core.errors import NotOwnerError, PlantainhingeError
from ..core.ids import Seconds, TaskId, WorkerId
from ..core.messages import (
    AcknowledgeClosure,
    AttemptReport,
    CellDigest,
    OfferAttempt,
    QueryTargets,
    StopTask,
    WorkerReport,
)
from ..core.protocols import WorkerClient
from ..core.records import AnyRecord, AttemptPlaced, ClosureAcknowledged
from ..core.states import DomainState
from ..ledgers.cell import CellState
from ..ledgers.cell_systems import (
    answer_offer,
    build_renewal,
    build_start,
    close_reported,
    digest_cell,
    is_known,
    join_workers,
    list_targets,
    place_offers,
)
from ..placement.scores import SCORES
from ..routing.lists import answer_query
from ..streams.replica import Replica
from .node import Node, answer_empty
from .stream_owner import StreamOwner

RENEW_PERIOD_SECONDS = 1.0
STOP_PERIOD_SECONDS = 1.0


class CellOwner(StreamOwner[CellState]):
    """Owns one cell, or stands by to."""

    def __init__(
        self, node: Node, replica: Replica[CellState], workers: WorkerClient
    ) -> None:
        super().__init__(node, replica)
        self._workers = workers
        self._offers: dict[TaskId, OfferAttempt] = {}
        self._acknowledged: dict[TaskId, ClosureAcknowledged] = {}
        self._reports: dict[TaskId, AttemptReport] = {}
        self._clocks: dict[WorkerId, float] = {}
        self._renew_due: dict[WorkerId, Seconds] = {}
        self._stop_due: dict[TaskId, Seconds] = {}
        self._starting: set[TaskId] = set()

    def digest(self) -> CellDigest:
        """Return what the cell can still take."""
        return digest_cell(self.state)

    def answer(self, call: Call, now: Seconds) -> None:
        """Answer a call about this cell."""
        if not self.owns(now):
            call.answer.set_exception(
                NotOwnerError(f"{self.replica.stream} is not owned", step="cell.call")
            )
            return
        match call.request:
            case OfferAttempt():
                self._take_offer(call, call.request)
            case AcknowledgeClosure(task=task, attempt=attempt):
                self._acknowledged[task] = ClosureAcknowledged(task, attempt)
                answer_empty(call)
            case QueryTargets():
                targets = list_targets(self.state, self._reports)
                call.answer.set_result(answer_query(targets, call.request))

    def decide(self, now: Seconds) -> list[AnyRecord]:
        """Return workers joining, attempts placed and attempts closed."""
        records = join_workers(self.state, self.node.instances)
        records.extend(close_reported(self.state, self._reports.values()))
        records.extend(self._take_acknowledged())
        if self._may_start(now):
            score = SCORES.find("least-loaded")
            records.extend(place_offers(self.state, self._offers.values(), score))
            self._offers.clear()
        return records

    def act(self, now: Seconds) -> None:
        """Renew leases, start what is placed and stop what must not run."""
        for worker in self.state.workers:
            if now >= self._renew_due.get(worker, 0.0):
                self._renew(worker, now)
        if self._may_start(now):
            for placed in self.state.open.values():
                self._start(placed)
        for task, placed in self.state.open.items():
            if self._must_stop(task) and now >= self._stop_due.get(task, 0.0):
                self._stop(placed, now)

    def forget(self) -> None:
        """Drop offers, reports and timers."""
        self._offers.clear()
        self._acknowledged.clear()
        self._reports.clear()
        self._clocks.clear()
        self._renew_due.clear()
        self._stop_due.clear()
        self._starting.clear()

    def _take_offer(self, call: Call, offer: OfferAttempt) -> None:
        if not is_known(self.state, offer):
            self._offers[offer.task] = offer
        elif offer.cancelled:
            self._stop_due.setdefault(offer.task, Seconds(0.0))
        call.answer.set_result(answer_offer(self.state, offer))

    def _may_start(self, now: Seconds) -> bool:
        return self._is_in() and self.node.is_fresh(now)

    def _is_in(self) -> bool:
        configuration = self.node.current
        domain = self.state.domain
        if configuration is None or domain not in configuration.domains:
            return False
        return configuration.domains[domain].state is DomainState.IN

    def _must_stop(self, task: TaskId) -> bool:
        return task in self._stop_due or not self._is_in()

    def _take_acknowledged(self) -> list[ClosureAcknowledged]:
        taken = []
        for task, record in self._acknowledged.items():
            row = self.state.attempts.get(task)
            if row is not None and row.closed and row.attempt == record.attempt:
                taken.append(record)
        self._acknowledged.clear()
        return taken

    def _renew(self, worker: WorkerId, now: Seconds) -> None:
        self._renew_due[worker] = Seconds(now + RENEW_PERIOD_SECONDS)
        row = self.state.workers[worker]
        message = build_renewal(row, self.state)
        self.node.commander.run(
            self._workers.renew, row.address, message, then=self._take_renewal
        )

    def _take_renewal(self, future: Future[WorkerReport], now: Seconds) -> None:
        if future.exception() is not None:
            return
        report = future.result()
        self._clocks[report.worker] = report.now
        for attempt in report.attempts:
            self._note_report(attempt)

    def _note_report(self, report: AttemptReport) -> None:
        placed = self.state.open.get(report.task)
        if placed is not None and placed.attempt == report.attempt:
            self._reports[report.task] = report

    def _start(self, placed: AttemptPlaced) -> None:
        as_of = self._clocks.get(placed.worker)
        known = self._reports.get(placed.task)
        started = known is not None and known.attempt == placed.attempt
        if as_of is None or started or placed.task in self._starting:
            return
        if self._must_stop(placed.task):
            return
        self._starting.add(placed.task)
        self.node.events.add("attempt.starting", placed.task, worker=placed.worker)
        address = self.state.workers[placed.worker].address
        message = build_start(placed, self.state, as_of)

        def finish(future: Future[AttemptReport], now: Seconds) -> None:
            self._starting.discard(placed.task)
            self._take_report(future, now)

        self.node.commander.run(self._workers.start, address, message, then=finish)

    def _stop(self, placed: AttemptPlaced, now: Seconds) -> None:
        self._stop_due[placed.task] = Seconds(now + STOP_PERIOD_SECONDS)
        self.node.events.add("attempt.stopping", placed.task, worker=placed.worker)
        message = StopTask(
            task=placed.task,
            attempt=placed.attempt,
            cell_epoch=self.state.ownership.epoch,
        )
        address = self.state.workers[placed.worker].address

        def finish(future: Future[AttemptReport], at: Seconds) -> None:
            self._take_report(future, at)
            if future.exception() is None:
                self._stop_due.pop(placed.task, None)

        self.node.commander.run(self._workers.stop, address, message, then=finish)

    def _take_report(self, future: Future[AttemptReport], now: Seconds) -> None:
        try:
            self._note_report(future.result())
        except PlantainhingeError as error:
            self.node.events.add(
                "worker.error", error.peer, code=error.code, step=error.step
            )
