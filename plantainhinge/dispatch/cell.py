"""The owner's decisions over one cell: takes in what happened, gives out orders.

No network, no clock: the caller hands in the time, sends what ``take_commands``
returns and reports the answers.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.ids import JobId, Seconds, WorkerId
from ..fleet.handover import Handover
from ..fleet.model import (
    Advice,
    AdviceRequest,
    OrderAnswer,
    OrderOutcome,
    Renewal,
    WorkerEntry,
    WorkerReport,
)
from ..jobs.model import FINAL_JOB_STATES, JobRecord, JobState
from ..jobs.records import Progress
from . import (
    advice,
    answers,
    assignment,
    copies,
    eviction,
    handovers,
    incarnations,
    open_jobs,
    ordering,
    reports,
    tasks,
)
from .cell_state import CellState
from .leases import grant_lease
from .model import Attempt, OpenJob, OpenStep, Worker
from .orders import Command

RENEWAL_WAIT_SECONDS_MAX = Seconds(1.0)
MOVE_CHECK_INTERVAL_SECONDS = Seconds(0.3)
SHARED_RENEWAL_WAIT_SECONDS_MAX = Seconds(0.3)


@dataclass(frozen=True, slots=True)
class Flush:
    """Progress to be logged, and the ends that may be forgotten afterwards.

    Parameters
    ----------
    ends : tuple
        Worker, when it was born and the highest number of an end that was taken in.
    handover : Handover, optional
        What the next owner should know, if it is due.
    """

    jobs: tuple[OpenJob, ...]
    progress: tuple[Progress, ...]
    ends: tuple[tuple[WorkerId, int, int], ...]
    handover: Handover | None = None


@dataclass
class Cell(CellState):
    """One ownership of a cell."""

    def open_job(
        self,
        record: JobRecord,
        progress: Progress | None,
        *,
        wall: Seconds,
        inherited: bool,
    ) -> None:
        """Take on a job that the log holds."""
        if record.job in self.jobs or record.job in self.ended_jobs:
            return
        if progress is not None and progress.state in FINAL_JOB_STATES:
            return
        job = open_jobs.open_job(record, progress, wall=wall)
        job.inherited = inherited
        self.jobs[record.job] = job

    def cancel_job(self, job_id: JobId, *, now: float) -> None:
        """Stop a job's tasks and start none any more."""
        job = self.jobs.get(job_id)
        if job is not None:
            tasks.end_job(self, job, JobState.CANCELLED, now=now)

    def take_flush(self, *, now: float) -> Flush | None:
        """Return what should be logged now, or None."""
        handover = handovers.prepare_handover(self, now=now)
        if not self.dirty and not self.acks_due and handover is None:
            return None
        jobs = tuple(self.dirty.values())
        progress = tuple(open_jobs.describe_progress(job) for job in jobs)
        self.dirty.clear()
        self.acks_due = False
        ends = tuple(
            (worker.name, worker.incarnation, worker.last_end_number)
            for worker in self.workers.values()
            if worker.last_end_number > worker.acknowledged
        )
        return Flush(jobs, progress, ends, handover)

    def confirm_flush(self, flush: Flush) -> None:
        """Note that the log holds a flush."""
        if flush.handover is not None:
            handovers.confirm_handover(self, flush.handover)
        for name, born, number in flush.ends:
            worker = self.workers.get(name)
            if worker is not None and worker.incarnation == born:
                worker.acknowledged = max(worker.acknowledged, number)

    def prepare_renewal(self, worker: Worker, *, now: float) -> Renewal:
        """Return the next renewal for a worker."""
        at_once = not worker.reachable or worker.last_end_number > worker.acknowledged
        shared = worker.best_effort_millicores and worker.serving_millicores
        wait = SHARED_RENEWAL_WAIT_SECONDS_MAX if shared else RENEWAL_WAIT_SECONDS_MAX
        return Renewal(
            epoch=self.epoch,
            acknowledged=worker.acknowledged,
            wait=Seconds(0.0) if at_once else wait,
            lease_end=grant_lease(worker, self.terms, now=now)
            if worker.reachable
            else None,
        )

    def handle_failed_renewal(
        self, worker: Worker, answer: OrderAnswer, *, now: float
    ) -> None:
        """Take in that a renewal brought no lists."""
        if answer.outcome is OrderOutcome.FENCED:
            self.fenced = True
        incarnations.mark_unreachable(self, worker, now=now)

    def take_commands(self) -> list[Command]:
        """Return the orders that came due since the last call."""
        commands, self.commands = self.commands, []
        return commands

    def decide(self, *, now: float, wall: Seconds) -> None:
        """Place what waits, repeat what is due and adjust paces."""
        incarnations.release_expired(self, now=now)
        for job in self.jobs.values():
            if job.record.spec.recurrence is not None:
                open_jobs.open_due_occurrences(job, wall=wall)
        ordering.resend_orders(self, now=now)
        eviction.evict_from_draining(self, now=now)
        eviction.evict_stuck(self, now=now)
        if now >= self.moves_checked_at + MOVE_CHECK_INTERVAL_SECONDS:
            self.moves_checked_at = now
            eviction.move_throttled(self, now=now)
        assignment.place_waiting(self, now=now, wall=wall)
        copies.start_speculative_attempts(self, now=now)

    def list_waiting_steps(self) -> list[OpenStep]:
        """Return the steps whose turn has come and that have tasks waiting."""
        return assignment.list_waiting_steps(self)

    def update_workers(
        self, entries: Iterable[WorkerEntry], *, now: float, inherited: bool = False
    ) -> None:
        """Take in the directory of workers."""
        incarnations.update_workers(self, entries, now=now, inherited=inherited)

    def handle_report(
        self, worker: Worker, report: WorkerReport, *, sent: float, now: float
    ) -> None:
        """Take in a worker's answer to a renewal."""
        reports.handle_report(self, worker, report, sent=sent, now=now)

    def handle_start_answer(
        self, attempt: Attempt, answer: OrderAnswer, *, now: float
    ) -> None:
        """Take in what became of a start."""
        answers.handle_start_answer(self, attempt, answer, now=now)

    def handle_stop_answer(
        self, attempt: Attempt | None, answer: OrderAnswer, *, now: float
    ) -> None:
        """Take in what became of a stop."""
        answers.handle_stop_answer(self, attempt, answer, now=now)

    def apply_handover(self, handover: Handover, *, now: float) -> None:
        """Take in what the last owner left."""
        handovers.apply_handover(self, handover, now=now)

    def find_advice_request(
        self, *, now: float, wall: Seconds
    ) -> tuple[OpenStep, AdviceRequest] | None:
        """Return the most urgent step that needs advice, and what to ask."""
        workers = [
            worker
            for worker in self.workers.values()
            if worker.entry.domain not in self.closed_domains
        ]
        return advice.find_advice_request(
            self.list_waiting_steps(), workers, now=now, wall=wall
        )

    def handle_advice(
        self,
        step: OpenStep,
        request: AdviceRequest,
        answer: Advice | None,
        *,
        now: float,
    ) -> None:
        """Enter the tickets that came."""
        advice.handle_advice(step, request, answer, now=now)
