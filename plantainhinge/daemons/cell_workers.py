"""A cell's calls to its workers: lease renewals, starts and stops, and the reports."""

from collections.abc import Callable, Container
from concurrent.futures import Future
from typing import Any, TypeVar

from ..core.clock import read_monotonic
from ..core.due_queue import DueQueue
from ..core.errors import PlantainhingeError, UnavailableError
from ..core.ids import AttemptNumber, Seconds, TaskId, WorkerId
from ..core.messages import (
    AttemptRef,
    AttemptReport,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerReport,
)
from ..core.protocols import WorkerClient
from ..core.records import AttemptClosed, AttemptPlaced
from ..ledgers.cell import CellState
from ..ledgers.cell_decisions import (
    build_ended_closure,
    build_lost_closure,
    build_renewal,
    build_start,
    build_unstarted_closure,
)
from ..ledgers.leases import (
    READING_AGE_SECONDS_MAX,
    ClockReading,
    Takeover,
    compute_latest_expiry,
    is_newer,
)
from ..ledgers.reconciliation import AttemptAction, SentStarts, plan_absent_attempt
from ..streams.replica import Replica
from .node import Node

RENEW_PERIOD_SECONDS = 1.0
RENEW_PERIOD_SECONDS_MAX = 3.0
RENEWALS_PER_SECOND = 20.0
START_RETRY_SECONDS = 1.0
STOP_RETRY_SECONDS = 1.0
START_TRIES_MAX = 5
SERVICE_DRAIN_SECONDS = 3.0
CALLS_TO_UNREACHABLE_WORKERS_MAX = 2
NO_MEMBERSHIP_VERSION = -1

T = TypeVar("T")
ReportHandler = Callable[[WorkerId, list[AttemptReport], Seconds], None]


class CellWorkers:
    """Tracks a cell's workers for the owner of the cell, and calls them.

    Calls are scheduled in queues by due time, so that the cost of one iteration of the
    owner's loop depends only on the number of calls that are due.

    Parameters
    ----------
    on_report : callable
        Called with the attempts in each report from a worker.
    """

    def __init__(
        self,
        node: Node,
        replica: Replica[CellState],
        client: WorkerClient,
        on_report: ReportHandler,
    ) -> None:
        self._on_report = on_report
        self.reports: dict[TaskId, AttemptReport] = {}
        self.readings: dict[WorkerId, ClockReading] = {}
        self._node = node
        self._replica = replica
        self._client = client
        self._takeover = Takeover(Seconds(0.0))
        self._membership_version = NO_MEMBERSHIP_VERSION
        self._sent_starts: dict[TaskId, SentStarts] = {}
        self._pending_closures: dict[TaskId, AttemptClosed] = {}
        self._attempts_to_forget: dict[WorkerId, list[AttemptRef]] = {}
        self._renewals: DueQueue[WorkerId] = DueQueue()
        self._latest_expiries: DueQueue[WorkerId] = DueQueue()
        self._starts: DueQueue[TaskId] = DueQueue()
        self._stops: DueQueue[TaskId] = DueQueue()
        self._renewing: set[WorkerId] = set()
        self._renew_failed: set[WorkerId] = set()
        self._calls_in_flight = 0

    @property
    def state(self) -> CellState:
        """The replayed state of the cell."""
        return self._replica.reducer

    def activate(self, takeover: Takeover, now: Seconds) -> None:
        """Schedule renewals for all workers and starts for open attempts."""
        self._takeover = takeover
        self._update_workers(now)
        self.update_attempts(list(self.state.open_attempts), now)

    def update_takeover(self, takeover: Takeover) -> None:
        """Update the latest expiries after learning that predecessors have ended."""
        self._takeover = takeover
        for worker in self.state.workers:
            if worker not in self.readings:
                self._latest_expiries.set(worker, compute_latest_expiry(None, takeover))

    def update_attempts(self, tasks: list[TaskId], now: Seconds) -> None:
        """Schedule starts of attempts that were placed; remove closed attempts.

        Attempts placed in an earlier epoch may have been started already; they are
        reconciled with the next report of their worker.
        """
        for task in tasks:
            placed = self.state.open_attempts.get(task)
            if placed is None:
                self._remove_attempt(task)
            elif self.state.attempts[task].epoch == self.state.ownership.epoch:
                self._starts.add(task, now)

    def renew(self, now: Seconds) -> None:
        """Renew the leases that are due."""
        if self._membership_version != self.state.membership_version:
            self._update_workers(now)
        for worker in self._renewals.take(now):
            if worker in self.state.workers:
                self._renewals.set(worker, now + self._compute_renew_period())
                self._renew(worker, now)

    def start(self, now: Seconds, deadline: Seconds) -> None:
        """Start the attempts that are due.

        Parameters
        ----------
        deadline : Seconds
            No start may be sent at or after this time.
        """
        for task in self._starts.take(now):
            placed = self.state.open_attempts.get(task)
            if placed is not None and task not in self._pending_closures:
                self._start(placed, now, deadline)

    def stop(self, now: Seconds) -> None:
        """Send the stops that are due; each is repeated until its attempt has ended."""
        for task in self._stops.take(now):
            placed = self.state.open_attempts.get(task)
            if placed is not None and task not in self._pending_closures:
                self._stops.set(task, now + STOP_RETRY_SECONDS)
                self._stop(placed)

    def schedule_stop(self, task: TaskId, now: Seconds) -> None:
        """Schedule the stop of an attempt, which is repeated until it has ended.

        The attempt is checkpointed. A service replica is listed as leaving for
        ``SERVICE_DRAIN_SECONDS`` before the stop is sent, so that new requests go
        elsewhere and those in flight complete.
        """
        placed = self.state.open_attempts.get(task)
        is_serving = placed is not None and placed.service and task in self.reports
        delay = SERVICE_DRAIN_SECONDS if is_serving else 0.0
        self._stops.add(task, now + delay)
        self._starts.discard(task)

    def throttle(
        self, placed: AttemptPlaced, millicores: int, on_failure: Callable[[], None]
    ) -> None:
        """Limit an attempt's CPU; ``on_failure`` is called if the call fails."""
        reading = self.readings[placed.worker]
        self._node.events.add(
            "attempt.throttling", placed.task, millicores=str(millicores)
        )
        message = ThrottleTask(
            task=placed.task,
            attempt=placed.attempt,
            cell_epoch=self.state.ownership.epoch,
            millicores=millicores,
            as_of=reading.clock,
            incarnation=reading.incarnation,
        )

        def handle_result(future: Future[AttemptReport], now: Seconds) -> None:
            if future.exception() is not None:
                on_failure()

        address = self.state.workers[placed.worker].address
        self._call_worker(
            self._client.throttle, address, message, callback=handle_result
        )

    def list_stopping(self) -> Container[TaskId]:
        """Return the tasks that have a stop scheduled."""
        return self._stops

    def is_stopping(self, task: TaskId) -> bool:
        """Return whether a task has a stop scheduled."""
        return task in self._stops

    def collect_closures(self, now: Seconds) -> list[AttemptClosed]:
        """Return the closures to propose, for reported ends and for expired leases."""
        for worker in self._latest_expiries.take(now):
            self._add_expired_closures(worker)
        return [
            c
            for task, c in self._pending_closures.items()
            if task in self.state.open_attempts
        ]

    def list_usable(self, now: Seconds) -> set[WorkerId]:
        """Return the workers that may get attempts: those that answered recently."""
        return {
            worker
            for worker in self.readings
            if worker in self.state.workers and self._is_reachable(worker, now)
        }

    def is_busy(self) -> bool:
        """Return whether any call is in flight."""
        return self._calls_in_flight > 0

    def reset(self) -> None:
        """Discard all state that belongs to the epoch that ended."""
        self.reports.clear()
        self.readings.clear()
        self._sent_starts.clear()
        self._pending_closures.clear()
        self._attempts_to_forget.clear()
        self._renewing.clear()
        self._renew_failed.clear()
        self._renewals.clear()
        self._latest_expiries.clear()
        self._starts.clear()
        self._stops.clear()
        self._membership_version = NO_MEMBERSHIP_VERSION

    def _update_workers(self, now: Seconds) -> None:
        self._membership_version = self.state.membership_version
        for worker in self.state.workers:
            self._renewals.add(worker, now)
            end = compute_latest_expiry(self.readings.get(worker), self._takeover)
            self._latest_expiries.add(worker, end)
        for worker in self.readings.keys() - self.state.workers.keys():
            del self.readings[worker]
            self._latest_expiries.discard(worker)
            self._renewals.discard(worker)

    def _compute_renew_period(self) -> float:
        """Return the renewal period, longer in large cells to limit the call rate."""
        period = len(self.state.workers) / RENEWALS_PER_SECOND
        return min(RENEW_PERIOD_SECONDS_MAX, max(RENEW_PERIOD_SECONDS, period))

    def _is_reachable(self, worker: WorkerId, now: Seconds) -> bool:
        reading = self.readings.get(worker)
        is_recent = (
            reading is not None and now < reading.received_at + READING_AGE_SECONDS_MAX
        )
        return is_recent and worker not in self._renew_failed

    def _remove_attempt(self, task: TaskId) -> None:
        self.reports.pop(task, None)
        self._sent_starts.pop(task, None)
        self._pending_closures.pop(task, None)
        self._starts.discard(task)
        self._stops.discard(task)

    def _add_expired_closures(self, worker: WorkerId) -> None:
        row = self.state.workers.get(worker)
        for task in row.attempts if row else ():
            self._add_lost_closure(
                self.state.open_attempts[task],
                f"worker {worker} stayed silent",
                crashed=False,
            )

    def _add_lost_closure(
        self, placed: AttemptPlaced, reason: str, *, crashed: bool
    ) -> None:
        self._pending_closures.setdefault(
            placed.task, build_lost_closure(placed, reason, crashed=crashed)
        )

    def _renew(self, worker: WorkerId, now: Seconds) -> None:
        is_limited = (
            len(self._renew_failed & self._renewing) >= CALLS_TO_UNREACHABLE_WORKERS_MAX
        )
        if worker in self._renewing or (is_limited and worker in self._renew_failed):
            return
        self._renewing.add(worker)
        row = self.state.workers[worker]
        message = build_renewal(
            row,
            self.state,
            self.readings.get(worker),
            forget=self._attempts_to_forget.pop(worker, []),
            closing=self._pending_closures,
        )

        def handle_result(future: Future[WorkerReport], at: Seconds) -> None:
            self._renewing.discard(worker)
            if message.cell_epoch == self.state.ownership.epoch:
                self._handle_renewal(worker, future, now, at)

        self._call_worker(
            self._client.renew, row.address, message, callback=handle_result
        )

    def _handle_renewal(
        self,
        worker: WorkerId,
        future: Future[WorkerReport],
        asked_at: Seconds,
        now: Seconds,
    ) -> None:
        if future.exception() is not None or future.result().worker != worker:
            self._renew_failed.add(worker)
            return
        self._renew_failed.discard(worker)
        report = future.result()
        reading = ClockReading(report.incarnation, report.now, now)
        if worker in self.state.workers and is_newer(
            self.readings.get(worker), reading
        ):
            self.readings[worker] = reading
            self._latest_expiries.set(
                worker, compute_latest_expiry(reading, self._takeover)
            )
            self._reconcile(report, asked_at, now)
            self._on_report(worker, report.attempts, now)

    def _reconcile(self, report: WorkerReport, asked_at: Seconds, now: Seconds) -> None:
        reported = set()
        for attempt in report.attempts:
            placed = self._find_open(attempt, report.worker)
            if placed is None:
                self._handle_unknown_attempt(attempt, report.worker)
            else:
                reported.add(attempt.task)
                self._handle_attempt_report(placed, attempt, now, report.incarnation)
        for task in self.state.workers[report.worker].attempts:
            if task not in reported:
                self._reconcile_absent(task, report, asked_at, now)

    def _find_open(
        self, report: AttemptReport, worker: WorkerId
    ) -> AttemptPlaced | None:
        placed = self.state.open_attempts.get(report.task)
        if placed is None or placed.worker != worker:
            return None
        return placed if placed.attempt == report.attempt else None

    def _handle_unknown_attempt(self, report: AttemptReport, worker: WorkerId) -> None:
        if report.outcome is None:
            self._send_stop(
                worker, report.task, report.attempt, callback=_ignore_result
            )
        else:
            ref = AttemptRef(task=report.task, attempt=report.attempt)
            self._attempts_to_forget.setdefault(worker, []).append(ref)

    def _reconcile_absent(
        self, task: TaskId, report: WorkerReport, asked_at: Seconds, now: Seconds
    ) -> None:
        action = plan_absent_attempt(
            self._sent_starts.get(task),
            placed_under=self.state.attempts[task].epoch,
            epoch=self.state.ownership.epoch,
            incarnation=report.incarnation,
            asked_at=asked_at,
        )
        if action is AttemptAction.STOP:
            self.schedule_stop(task, now)
        elif action is AttemptAction.LOST:
            self._add_lost_closure(
                self.state.open_attempts[task],
                f"worker {report.worker} restarted",
                crashed=True,
            )
        elif action is AttemptAction.START and not self.is_stopping(task):
            self._starts.add(task, now)

    def _handle_attempt_report(
        self,
        placed: AttemptPlaced,
        report: AttemptReport,
        now: Seconds,
        incarnation: int,
    ) -> None:
        starts = self._sent_starts.setdefault(placed.task, SentStarts(incarnation))
        if report.outcome is None:
            starts.confirmed_at = starts.confirmed_at or now
            self.reports[placed.task] = report
            self._starts.discard(placed.task)
        elif starts.confirmed_at is None and starts.tries >= START_TRIES_MAX:
            reason = f"worker {placed.worker} failed {starts.tries} starts"
            self._pending_closures.setdefault(
                placed.task, build_unstarted_closure(placed, reason)
            )
        else:
            closed = build_ended_closure(placed, report)
            self._pending_closures.setdefault(placed.task, closed)

    def _start(self, placed: AttemptPlaced, now: Seconds, deadline: Seconds) -> None:
        task = placed.task
        self._starts.set(task, now + START_RETRY_SECONDS)
        reading = self.readings.get(placed.worker)
        if reading is None or not self._is_reachable(placed.worker, now):
            return
        starts = self._sent_starts.setdefault(task, SentStarts(reading.incarnation))
        if starts.incarnation != reading.incarnation:
            return
        if starts.tries >= START_TRIES_MAX:
            self.schedule_stop(task, now)
            return
        starts.tries += 1
        self._node.events.add("attempt.starting", task, worker=placed.worker)
        message = build_start(placed, self.state, reading, deadline)

        def handle_result(future: Future[AttemptReport], at: Seconds) -> None:
            self._handle_call_result(placed, future, at, reading.incarnation)

        address = self.state.workers[placed.worker].address
        self._call_worker(
            self._send_start, address, message, deadline, callback=handle_result
        )

    def _send_start(
        self, address: str, message: StartTask, deadline: Seconds
    ) -> AttemptReport:
        if read_monotonic() >= deadline:
            raise UnavailableError(
                "the start was not sent before its deadline",
                step="worker.start",
                peer=address,
            )
        return self._client.start(address, message)

    def _stop(self, placed: AttemptPlaced) -> None:
        if placed.worker in self._renew_failed:
            return
        self._node.events.add("attempt.stopping", placed.task, worker=placed.worker)
        reading = self.readings.get(placed.worker)
        incarnation = reading.incarnation if reading else 0

        def handle_result(future: Future[AttemptReport], at: Seconds) -> None:
            self._handle_call_result(placed, future, at, incarnation)

        self._send_stop(
            placed.worker, placed.task, placed.attempt, callback=handle_result
        )

    def _send_stop(
        self,
        worker: WorkerId,
        task: TaskId,
        attempt: AttemptNumber,
        *,
        callback: Callable[[Future[AttemptReport], Seconds], None],
    ) -> None:
        epoch = self.state.ownership.epoch
        message = StopTask(task=task, attempt=attempt, cell_epoch=epoch)
        address = self.state.workers[worker].address
        self._call_worker(self._client.stop, address, message, callback=callback)

    def _handle_call_result(
        self,
        placed: AttemptPlaced,
        future: Future[AttemptReport],
        now: Seconds,
        incarnation: int,
    ) -> None:
        try:
            report = future.result()
        except PlantainhingeError as error:
            self._node.events.add(
                "worker.error", error.peer, code=error.code, step=error.step
            )
            return
        if self._find_open(report, placed.worker) == placed:
            self._handle_attempt_report(placed, report, now, incarnation)

    def _call_worker(
        self,
        function: Callable[..., T],
        *arguments: Any,
        callback: Callable[[Future[T], Seconds], None],
    ) -> None:
        self._calls_in_flight += 1

        def handle_result(future: Future[T], now: Seconds) -> None:
            self._calls_in_flight -= 1
            callback(future, now)

        self._node.executor.submit(function, *arguments, callback=handle_result)


def _ignore_result(future: Future[AttemptReport], now: Seconds) -> None:
    """Ignore a result; the worker's next report shows whether the call took effect."""
