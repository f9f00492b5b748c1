"""Runs the cell while this instance owns it.

The loops here perform the I/O for the decisions of ``dispatch.cell``: they read jobs
and workers from the log, send commands and lease renewals to workers, and append
progress to the log.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..core.clock import read_monotonic, read_uptime, read_wall
from ..core.errors import (
    ConflictError,
    NotOwnerError,
    PlantainhingeError,
)
from ..core.ids import Epoch, JobId, Seconds
from ..core.log_events import write_event
from ..core.metrics import Counter, Metrics, NullMetrics
from ..dispatch.cell import Cell, Flush
from ..dispatch.leases import LeaseTerms
from ..dispatch.orders import Command, Start
from ..fleet.protocols import KeyedLog, WorkerCalls
from ..jobs.admission import MEMORY_BYTES_MAX, NO_DIGEST, AdmissionDigest
from ..jobs.model import JobRecord
from ..jobs.records import Cancellation
from ..jobs.retention import Retention
from .confirmation import Confirmation
from .job_view import JobView
from .load_report import LoadReports
from .logged_jobs import open_logged_job
from .operator_view import OperatorView
from .owner_events import (
    DecisionsFailed,
    DirectoryUnreadable,
    JobsUnreadable,
    LoopEnded,
    ProcessStoodStill,
    RecordsDeleted,
    RecordsNotDeleted,
)
from .ownership_events import CellOwned
from .progress_log import ProgressLog
from .renewals import Renewals
from .takeover import fence_and_load
from .worker_orders import send_command
from .worker_view import WorkerView

logger = logging.getLogger(__name__)

DECISION_INTERVAL_SECONDS = Seconds(0.1)
DIRECTORY_INTERVAL_SECONDS = Seconds(0.25)
JOB_WAIT_SECONDS = Seconds(1.0)
FAILURE_PAUSE_SECONDS = Seconds(0.2)
# pause before a flush, so that changes made close together share one append
FLUSH_BATCH_SECONDS = Seconds(0.004)
# after a longer gap between the starts of two rounds of decisions, another owner may
# have taken over
PROCESS_PAUSE_SECONDS = Seconds(0.7)
ADVICE_INTERVAL_SECONDS = Seconds(0.1)
DELETION_INTERVAL_SECONDS = Seconds(5.0)
# how long the records of a finished job stay in the log
RETENTION_SECONDS = Seconds(300.0)


@dataclass
class CellRunner:
    """Acts as the owner of the cell, from a claim until the cell is released or lost.

    Parameters
    ----------
    operator : OperatorView
        Tells the failure domains that take no new work.
    report_fenced : callable
        Called with the reason when a worker or the log has seen a higher epoch, or
        when a loop fails.
    check_ownership : callable
        Reads who owns the cell and drops it if that is another instance; returns
        whether the log answered that it is this one.
    ask_members : callable
        See ``Confirmation``.
    job_bytes_max : int
        Memory that jobs may take up.
    """

    log: KeyedLog
    calls: WorkerCalls
    view: JobView
    workers: WorkerView
    terms: LeaseTerms
    operator: OperatorView
    report_fenced: Callable[[str], None]
    check_ownership: Callable[[], Coroutine[Any, Any, bool]]
    ask_members: Callable[[float], Coroutine[Any, Any, float]]
    metrics: Metrics = field(default_factory=NullMetrics)
    job_bytes_max: int = MEMORY_BYTES_MAX
    cell: Cell | None = None
    _epoch: Epoch | None = None
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)
    _renewals: Renewals | None = None
    _flush_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _dirty: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.confirmation = Confirmation(self.check_ownership, self.ask_members)
        self.progress = ProgressLog(self.log, self.confirmation.note)
        self._reports = LoadReports(self.metrics)

    async def take_over(self, epoch: Epoch) -> None:
        """Fence earlier owners, load the state of the cell and start the loops."""
        started = read_monotonic()
        self._epoch = epoch
        cell = Cell(epoch, self.terms, started, find_record=self._find_record)
        tails = (self.view.job_tail, self.view.progress_tail, self.workers.tail)
        self.confirmation.reset()
        await fence_and_load(self.log, self.progress, tails, epoch)
        if self._epoch != epoch:
            return
        wall = read_wall()
        self._update_constraints(cell)
        rows = [
            (row.accepted, row.progress)
            for row in self.view.table.select_open()
            if row.accepted is not None
        ]
        for record, progress in sorted(rows, key=lambda row: row[0].accepted_at):
            open_logged_job(cell, record, progress, wall=wall, inherited=True)
        self.view.take_new_records()
        inherited = epoch > 1
        cell.apply_handover(self.view.handover, now=read_monotonic(), wall=wall)
        cell.update_workers(
            self.workers.entries.values(), now=read_monotonic(), inherited=inherited
        )
        self._reports = LoadReports(self.metrics)
        self.cell = cell
        self.metrics.count(Counter.OWNERSHIPS)
        event = CellOwned(
            epoch=epoch,
            jobs=len(cell.jobs),
            workers=len(cell.workers),
            took_s=read_monotonic() - started,
        )
        write_event(logger, event)
        self._renewals = Renewals(
            self.calls,
            cell,
            is_owner=lambda: self.cell is cell,
            wake=self.wake,
            count_report=self._reports.round_times.count_report,
            read_confirmation=self.confirmation.read,
        )
        self._spawn(self._poll_directory(cell, self._renewals))
        self._spawn(self.confirmation.run(epoch, is_owner=lambda: self.cell is cell))
        self._spawn(
            self.confirmation.rely_on_members(is_owner=lambda: self.cell is cell)
        )
        for loop in (
            self._tail_jobs,
            self._flush,
            self._decide,
            self._delete_expired_jobs,
            self._request_advice,
        ):
            self._spawn(loop(cell))

    def stop(self, reason: str) -> None:
        """Cancel all loops and calls without flushing."""
        self.cell = None
        self._epoch = None
        self._renewals = None
        for task in list(self._tasks):
            task.cancel()

    def is_recovering(self) -> bool:
        """Return whether the cell waits for workers that an earlier owner used."""
        cell = self.cell
        return cell is not None and bool(cell.recovering or cell.withheld_tasks)

    def measure_admission(self) -> AdmissionDigest:
        """Return how short the owned cell's capacity is."""
        if self.cell is None:
            return NO_DIGEST
        digest = self.cell.measure_admission(now=read_monotonic(), wall=read_wall())
        return msgspec.structs.replace(
            digest,
            memory_bytes=digest.memory_bytes + self.view.table.spec_bytes,
            memory_limit=self.job_bytes_max,
        )

    async def flush(self) -> None:
        """Log the pending progress; called before the cell is released."""
        if self.cell is not None:
            await self._flush_once(self.cell)

    def set_lease_terms(self, terms: LeaseTerms) -> None:
        """Use new terms for all leases granted from now on."""
        self.terms = terms
        if self.cell is not None:
            self.cell.change_terms(terms, now=read_monotonic())

    # Loops

    async def _tail_jobs(self, cell: Cell) -> None:
        while self.cell is cell:
            try:
                await self.view.job_tail.advance(wait=JOB_WAIT_SECONDS)
            except PlantainhingeError as error:
                write_event(logger, JobsUnreadable(cause=str(error)))
                await asyncio.sleep(FAILURE_PAUSE_SECONDS)
            self._apply_new_records(cell)

    def _apply_new_records(self, cell: Cell) -> None:
        records = self.view.take_new_records()
        if self.view.epoch > cell.epoch:
            self.report_fenced("the log marks a higher epoch among the jobs")
            return
        for record in records:
            match record:
                case JobRecord():
                    row = self.view.table.rows[record.job]
                    open_logged_job(
                        cell, record, row.progress, wall=read_wall(), inherited=False
                    )
                    if row.cancelled:
                        cell.cancel_job(record.job, now=read_monotonic())
                case Cancellation():
                    cell.cancel_job(record.job, now=read_monotonic())
        if records:
            self.wake()

    async def _poll_directory(self, cell: Cell, renewals: Renewals) -> None:
        while self.cell is cell:
            try:
                # one read may return less than was written since the last one
                await self.workers.tail.catch_up()
                cell.update_workers(self.workers.entries.values(), now=read_monotonic())
            except PlantainhingeError as error:
                write_event(logger, DirectoryUnreadable(cause=str(error)))
            for worker in renewals.list_new(cell.workers.values()):
                self._spawn(renewals.run(worker))
            await asyncio.sleep(DIRECTORY_INTERVAL_SECONDS)

    async def _decide(self, cell: Cell) -> None:
        decided_at = read_uptime()
        while self.cell is cell:
            await self._wait_for_round()
            elapsed = Seconds(read_uptime() - decided_at)
            if elapsed > PROCESS_PAUSE_SECONDS:
                write_event(logger, ProcessStoodStill(slept_s=elapsed))
                await self.confirmation.request()
                if self.cell is not cell:
                    return
            # the time of the check is no pause, but one during the round may be
            decided_at = read_uptime()
            try:
                with self._reports.round_times.measure():
                    self._decide_once(cell)
            except Exception as error:
                write_event(logger, DecisionsFailed(), error=error)
            if cell.fenced:
                self.report_fenced("a worker has seen a higher epoch")

    async def _wait_for_round(self) -> None:
        try:
            async with asyncio.timeout(DECISION_INTERVAL_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _decide_once(self, cell: Cell) -> None:
        now = read_monotonic()
        cell.confirmed_at = self.confirmation.read()
        self._update_constraints(cell)
        cell.decide(now=now, wall=read_wall())
        self._reports.write_due(cell, now=now)
        for command in cell.take_commands():
            if isinstance(command, Start) and self._renewals is not None:
                self._renewals.end_pause(command.attempt.worker)
            self._spawn(self._send_command(cell, command))
        self._dirty.set()

    def _find_record(self, job: JobId) -> JobRecord | None:
        row = self.view.table.rows.get(job)
        return row.accepted if row is not None else None

    def _update_constraints(self, cell: Cell) -> None:
        """Tell the cell what limits where work may start."""
        cell.closed_domains = self.operator.closed_domains
        cell.guarded_services = self.operator.guarded_services
        cell.workspaces = self.operator.workspaces
        cell.directory_synced_at = self.workers.tail.synced_at

    async def _flush(self, cell: Cell) -> None:
        while self.cell is cell:
            await self._dirty.wait()
            await asyncio.sleep(FLUSH_BATCH_SECONDS)
            self._dirty.clear()
            await self._flush_once(cell)

    async def _flush_once(self, cell: Cell) -> None:
        """Log the pending progress, then acknowledge the ended attempts in it."""
        async with self._flush_lock:
            flush = cell.take_flush(now=read_monotonic())
            if flush is None:
                return
            logged = await self._write_flush(cell, flush)
            if logged is None:
                return
            for progress in logged.progress:
                self.view.table.apply(progress)
            cell.confirm_flush(logged)
            if logged != flush:
                cell.handle_refusal(flush, logged, now=read_monotonic())
        if self._renewals is not None:
            self._renewals.note_flush()

    async def _write_flush(self, cell: Cell, flush: Flush) -> Flush | None:
        try:
            return await self.progress.write_flush(
                flush, is_owner=lambda: self.cell is cell
            )
        except (NotOwnerError, ConflictError) as error:
            self.report_fenced(str(error))
            return None

    async def _request_advice(self, cell: Cell) -> None:
        """Request advice for one step at a time, as the advice service requires."""
        while self.cell is cell:
            due = cell.find_advice_request(now=read_monotonic(), wall=read_wall())
            if due is None:
                await asyncio.sleep(ADVICE_INTERVAL_SECONDS)
                continue
            step, request = due
            answer = await self.calls.advise(request)
            cell.handle_advice(step, request, answer, now=read_monotonic())
            self.wake()

    async def _delete_expired_jobs(self, cell: Cell) -> None:
        """Delete the records of finished jobs after ``RETENTION_SECONDS``."""
        retention = Retention(RETENTION_SECONDS)
        while self.cell is cell:
            await asyncio.sleep(DELETION_INTERVAL_SECONDS)
            expired = retention.select_expired(self.view.table, now=read_monotonic())
            if not expired:
                continue
            await self._delete_records(cell, expired)

    async def _delete_records(self, cell: Cell, jobs: list[JobId]) -> None:
        try:
            done = await self.progress.delete(jobs, is_owner=lambda: self.cell is cell)
        except (NotOwnerError, ConflictError) as error:
            self.report_fenced(str(error))
            return
        except PlantainhingeError as error:
            write_event(logger, RecordsNotDeleted(cause=str(error)))
            return
        if not done:
            return
        for job in jobs:
            self.view.table.remove(job)
            cell.ended_jobs.discard(job)
        write_event(logger, RecordsDeleted(jobs=len(jobs)))

    async def _send_command(self, cell: Cell, command: Command) -> None:
        is_refused = await send_command(
            self.calls,
            cell,
            command,
            is_owner=lambda: self.cell is cell,
            metrics=self.metrics,
        )
        if is_refused:
            self.wake()

    def wake(self) -> None:
        """Trigger the next round of decisions without waiting for the interval."""
        self._wake.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            write_event(logger, LoopEnded(), error=task.exception())
            self.report_fenced("a loop ended by an error")
