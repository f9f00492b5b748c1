"""Renews the leases of workers, each in a loop of its own, for the owner of a cell."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from contextlib import nullcontext
from dataclasses import dataclass, field

from ..core.clock import read_monotonic
from ..core.ids import Seconds, WorkerId
from ..core.log_events import write_event
from ..dispatch.cell import Cell
from ..dispatch.model import Worker
from ..dispatch.polling import is_unknown
from ..fleet.model import OrderOutcome, OrderResponse, WorkerReport
from ..fleet.protocols import WorkerCalls
from .owner_events import RenewalFailed

logger = logging.getLogger(__name__)

# the first failed renewal is retried almost at once, as one message may have been lost
FIRST_RETRY_SECONDS = Seconds(0.02)
# how long a worker's next renewal waits for the flush that acknowledges its ended
# attempts
FLUSH_WAIT_SECONDS = Seconds(0.25)
# calls at a time to workers that have never answered
UNKNOWN_CALLS_MAX = 100
NO_ANSWER = OrderResponse(outcome=OrderOutcome.UNKNOWN)


@dataclass
class Renewals:
    """The loops of one ownership.

    Parameters
    ----------
    is_owner : callable
        Returns whether the cell is still owned; the loops end once it isn't.
    wake : callable
        Triggers a round of decisions.
    count_report : callable
        Called with each report.
    read_confirmation : callable
        Returns the monotonic seconds at which the log last confirmed the ownership.
    """

    calls: WorkerCalls
    cell: Cell
    is_owner: Callable[[], bool]
    wake: Callable[[], None]
    count_report: Callable[[], None]
    read_confirmation: Callable[[], float]
    _running: set[WorkerId] = field(default_factory=set)
    _pauses: dict[WorkerId, asyncio.Event] = field(default_factory=dict)
    _flushed: asyncio.Event = field(default_factory=asyncio.Event)
    _unknown_calls: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(UNKNOWN_CALLS_MAX)
    )

    def list_new(self, workers: Iterable[Worker]) -> list[Worker]:
        """Return the workers without a loop, and end the pauses of silent ones."""
        new = []
        for worker in workers:
            if not worker.reachable:
                self.end_pause(worker)
            if worker.name not in self._running:
                self._running.add(worker.name)
                new.append(worker)
        return new

    async def run(self, worker: Worker) -> None:
        """Renew one worker's leases until it leaves the directory.

        An error concerns this worker alone: it counts as an unanswered renewal.
        """
        while self._is_known(worker):
            was_reachable = worker.reachable
            try:
                is_answered = await self._renew(worker)
            except Exception as error:
                write_event(logger, RenewalFailed(worker=worker.name), error=error)
                self._handle_failure(worker, NO_ANSWER)
                is_answered = False
            if not is_answered:
                retry = self.cell.plan_retry(worker, now=read_monotonic())
                await asyncio.sleep(FIRST_RETRY_SECONDS if was_reachable else retry)
        if self.is_owner():
            self._running.discard(worker.name)
            self.calls.close_connections(worker.entry)

    def _is_known(self, worker: Worker) -> bool:
        return self.is_owner() and self.cell.workers.get(worker.name) is worker

    async def _renew(self, worker: Worker) -> bool:
        """Renew a worker's leases once; return whether it answered with a report."""
        sent = read_monotonic()
        self.cell.confirmed_at = self.read_confirmation()
        renewal = self.cell.prepare_renewal(worker, now=sent)
        is_limited = is_unknown(worker, now=sent)
        async with self._unknown_calls if is_limited else nullcontext():
            answer = await self.calls.renew(worker.entry, renewal)
        if not self.is_owner():
            return True
        if not isinstance(answer, WorkerReport):
            self._handle_failure(worker, answer)
            return False
        self._handle_report(worker, answer, sent=sent)
        if worker.last_end_sequence > worker.acknowledged:
            await _wait(self._flushed, FLUSH_WAIT_SECONDS)
        await self._pause(worker)
        return True

    def _handle_failure(self, worker: Worker, answer: OrderResponse) -> None:
        was_unknown = is_unknown(worker, now=read_monotonic())
        self.cell.handle_failed_renewal(worker, answer, now=read_monotonic())
        if not was_unknown:
            self.wake()

    def end_pause(self, worker: Worker) -> None:
        """Look at a worker at once if it is only looked at now and then."""
        pause = self._pauses.get(worker.name)
        if pause is not None:
            pause.set()

    def note_flush(self) -> None:
        """Go on with the workers whose ended attempts are acknowledged now."""
        self._flushed.set()
        self._flushed.clear()

    def _handle_report(
        self, worker: Worker, report: WorkerReport, *, sent: float
    ) -> None:
        self.cell.handle_report(worker, report, sent=sent, now=read_monotonic())
        self.count_report()
        self.wake()

    async def _pause(self, worker: Worker) -> None:
        """Wait before the next look at an idle worker, or until it gets an order."""
        seconds = self.cell.plan_pause(worker)
        if seconds <= 0:
            return
        pause = self._pauses[worker.name] = asyncio.Event()
        await _wait(pause, seconds)
        self._pauses.pop(worker.name, None)


async def _wait(event: asyncio.Event, seconds: Seconds) -> None:
    """Wait for an event, or until the time is over."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
