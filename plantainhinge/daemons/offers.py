"""Offers of a ledger's assigned attempts to the owners of the cells."""

from collections import defaultdict
from concurrent.futures import Future

from ..adapters.peers_grpc import OFFER
from ..core.due_queue import DueQueue
from ..core.ids import DomainId, Seconds, TaskId
from ..core.messages import OfferAttempts, OffersAcknowledged
from ..core.states import TaskState
from ..ledgers.ledger import LedgerState
from ..ledgers.ledger_decisions import build_offer
from ..streams.names import name_cell_stream
from ..streams.replica import Replica
from .node import Node

OFFERS_PER_STEP_MAX = 200
RETRY_PERIOD_SECONDS = 1.0
RECONCILE_PERIOD_SECONDS = 600.0
CANCEL_RETRY_PERIOD_SECONDS = 5.0


class OfferSender:
    """Offers each attempt repeatedly until its cell has recorded it.

    Recorded attempts are offered again at long intervals, to repair differences between
    ledger and cell; the cell reports their ends without being asked.
    """

    def __init__(self, node: Node, replica: Replica[LedgerState]) -> None:
        self._node = node
        self._replica = replica
        self._due: DueQueue[TaskId] = DueQueue()
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the next sequence number for a fenced message of this ledger."""
        self._sequence += 1
        return self._sequence

    def update_tasks(self, tasks: list[TaskId], now: Seconds) -> None:
        """Schedule offers for tasks that are assigned, and drop those of all others."""
        for task in tasks:
            row = self._replica.reducer.tasks.get(task)
            if row is not None and row.state is TaskState.ASSIGNED:
                self._due.set(task, now)
            else:
                self._due.discard(task)

    def send(self, now: Seconds) -> None:
        """Send the offers that are due, in one message per cell."""
        by_cell: dict[DomainId, list[TaskId]] = defaultdict(list)
        for task in self._due.take(now, OFFERS_PER_STEP_MAX):
            cell = self._replica.reducer.tasks[task].cell
            assert cell is not None
            by_cell[cell].append(task)
            self._due.set(task, now + RETRY_PERIOD_SECONDS)
        for cell, tasks in by_cell.items():
            self._send(cell, tasks, now)

    def clear(self) -> None:
        """Drop all scheduled offers; sequence numbers continue."""
        self._due.clear()

    def _send(self, cell: DomainId, tasks: list[TaskId], now: Seconds) -> None:
        owner = self._node.peer_table.find_owner(name_cell_stream(cell), now)
        if owner is None:
            return
        state = self._replica.reducer
        message = OfferAttempts(
            ledger=state.partition,
            ledger_epoch=state.ownership.epoch,
            sequence=self.next_sequence(),
            cell=cell,
            offers=[build_offer(state, task) for task in tasks],
        )
        future = self._node.peers.call(owner.address, OFFER, message)

        def handle_result(done: Future[OffersAcknowledged], at: Seconds) -> None:
            if done.exception() is None:
                self._handle_acknowledged(done.result(), at)

        self._node.executor.add_callback(future, callback=handle_result)

    def _handle_acknowledged(self, response: OffersAcknowledged, now: Seconds) -> None:
        for ref in response.known:
            row = self._replica.reducer.tasks.get(ref.task)
            if row is None or row.attempt != ref.attempt or ref.task not in self._due:
                continue
            delay = (
                CANCEL_RETRY_PERIOD_SECONDS
                if row.cancelling
                else RECONCILE_PERIOD_SECONDS
            )
            self._due.set(ref.task, now + delay)
