"""The scheduler of one cell: handles events and issues orders to workers.

It uses no network and no clock, so that tests control both. The caller passes the time
(``now`` in monotonic seconds, ``wall`` in seconds since the Unix epoch), sends the
commands that ``take_commands`` returns and reports the answers.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.ids import JobId, Seconds, WorkerId
from ..fleet.handover import Handover
from ..fleet.model import (
    Advice,
    AdviceRequest,
    OrderOutcome,
    OrderResponse,
    Renewal,
    WorkerEntry,
    WorkerReport,
)
from ..jobs.admission import AdmissionDigest
from ..jobs.model import FINAL_JOB_STATES, JobRecord, JobState
from ..jobs.records import Progress
from . import (
    admission,
    advice,
    answers,
    assignment,
    consolidation,
    copies,
    eviction,
    handovers,
    incarnations,
    losses,
    open_jobs,
    ordering,
    polling,
    reports,
    tasks,
)
from .forecast import select_periods
from .leases import LeaseTerms, compute_duration_max, grant_lease
from .model import Attempt, OpenStep, Trial, Worker
from .orders import Command
from .scheduling_state import SchedulingState

RENEWAL_WAIT_SECONDS_MAX = Seconds(1.0)
PERIOD_INTERVAL_SECONDS = Seconds(1.0)
MOVE_CHECK_INTERVAL_SECONDS = Seconds(0.3)
# rounds of decisions can follow each other much faster than this
TEND_INTERVAL_SECONDS = 0.02
SHARED_RENEWAL_WAIT_SECONDS_MAX = Seconds(0.3)


@dataclass(frozen=True, slots=True)
class Flush:
    """Progress to write to the log, and ends of attempts to acknowledge afterwards.

    Parameters
    ----------
    ends : tuple
        Worker, its incarnation and the highest sequence number of a processed end.
    handover : Handover, optional
        State for the next owner, if it is due to be written.
    trials : tuple of Trial
        Trials that the progress tells of.
    """

    progress: tuple[Progress, ...]
    ends: tuple[tuple[WorkerId, int, int], ...]
    handover: Handover | None = None
    trials: tuple[Trial, ...] = ()


@dataclass
class Cell(SchedulingState):
    """Scheduling state of a cell during one ownership, and the entry points."""

    def open_job(
        self,
        record: JobRecord,
        progress: Progress | None,
        *,
        wall: Seconds,
        inherited: bool,
    ) -> None:
        """Add a job from the log; jobs that are known or have ended are ignored."""
        if record.job in self.jobs or record.job in self.ended_jobs:
            return
        if progress is not None and progress.state in FINAL_JOB_STATES:
            return
        job = open_jobs.open_job(record, progress, wall=wall)
        job.inherited = inherited
        job.usage = self.usage
        job.surplus = admission.note_submission(self, record)
        self.jobs[record.job] = job
        for steps in job.occurrences.values():
            self.unplaced.update(dict.fromkeys(steps))
        if inherited:
            handovers.restore_loads(self, job, now=self.started_at)
            for task in job.list_tasks():
                losses.watch_unconfirmed(self, task)

    def cancel_job(self, job_id: JobId, *, now: float) -> None:
        """Stop a job's attempts and start no more of its tasks."""
        job = self.jobs.get(job_id)
        if job is not None:
            tasks.end_job(self, job, JobState.CANCELLED, now=now)

    def take_flush(self, *, now: float) -> Flush | None:
        """Return the changes since the last flush, or None if there are none."""
        handover = handovers.prepare_handover(self, now=now)
        if not self.dirty and not self.unacknowledged and handover is None:
            return None
        progress = tuple(map(open_jobs.describe_progress, self.dirty.values()))
        self.dirty.clear()
        ends = tuple(
            (worker.name, worker.incarnation, worker.last_end_sequence)
            for worker in self.unacknowledged.values()
            if worker.last_end_sequence > worker.acknowledged
        )
        self.unacknowledged.clear()
        trials = tuple(self.unlogged_trials)
        self.unlogged_trials.clear()
        return Flush(progress, ends, handover, trials)

    def confirm_flush(self, flush: Flush) -> None:
        """Acknowledge the ends of a flush once it has been written to the log."""
        if flush.handover is not None:
            handovers.confirm_handover(self, flush.handover)
        for trial in flush.trials:
            trial.logged = True
        for name, incarnation, sequence in flush.ends:
            worker = self.workers.get(name)
            if worker is not None and worker.incarnation == incarnation:
                worker.acknowledged = max(worker.acknowledged, sequence)

    def handle_refusal(self, flush: Flush, logged: Flush, *, now: float) -> None:
        """Handle records of a flush that the log will never take as they are.

        A job without logged progress could run again under a later owner, so it ends.
        Its ends wait with all others of the flush for the next one, which says so.
        """
        if flush.handover is not None and logged.handover is None:
            self.handover_refused = True
        kept = {progress.job for progress in logged.progress}
        refused = [each.job for each in flush.progress if each.job not in kept]
        if not refused:
            return
        for job_id in refused:
            job = self.jobs.get(job_id)
            if job is not None:
                tasks.end_job(self, job, JobState.FAILED, now=now)
        for name, _, _ in flush.ends:
            if name in self.workers:
                self.unacknowledged[name] = self.workers[name]
        self.unlogged_trials.extend(flush.trials)

    def prepare_renewal(self, worker: Worker, *, now: float) -> Renewal:
        """Return the next renewal for a worker.

        An unreachable worker gets no new lease, only a probe, and so does any worker
        while the log doesn't confirm the ownership. Workers that run serving beside
        best-effort tasks are polled more often, to throttle in time.
        """
        length = self.compute_lease(now=now)
        at_once = not worker.reachable or worker.last_end_sequence > worker.acknowledged
        shared = worker.best_effort_millicores and worker.serving_millicores
        wait = SHARED_RENEWAL_WAIT_SECONDS_MAX if shared else RENEWAL_WAIT_SECONDS_MAX
        return Renewal(
            epoch=self.epoch,
            incarnation=worker.incarnation,
            acknowledged=worker.acknowledged,
            wait=Seconds(0.0) if at_once else wait,
            lease_end=grant_lease(worker, length, now=now)
            if worker.reachable and length > 0
            else None,
        )

    def change_terms(self, terms: LeaseTerms, *, now: float) -> None:
        """Use new terms from now on; leases granted before may still last longer."""
        granted = self.terms.length
        if now < self.earlier_leases_end < float("inf"):
            granted = max(granted, self.earlier_lease_max)
        end = now + compute_duration_max(granted)
        self.earlier_lease_max = Seconds(granted)
        self.earlier_leases_end = max(self.earlier_leases_end, end)
        self.terms = terms

    def plan_pause(self, worker: Worker) -> Seconds:
        """Return how long to wait before the next renewal of a worker that answered."""
        return polling.plan_pause(self, worker)

    def plan_retry(self, worker: Worker, *, now: float) -> Seconds:
        """Return how long to wait before the next renewal of a silent worker."""
        return polling.plan_retry(self, worker, now=now)

    def handle_failed_renewal(
        self, worker: Worker, answer: OrderResponse, *, now: float
    ) -> None:
        """Mark a worker unreachable whose renewal returned no report."""
        if answer.outcome is OrderOutcome.FENCED:
            self.fenced = True
        incarnations.mark_unreachable(self, worker, now=now)
        if answer.outcome is OrderOutcome.OTHER_INCARNATION:
            incarnations.end_worker(self, worker, now=now)

    def take_commands(self) -> list[Command]:
        """Return the commands issued since the last call."""
        commands, self.commands = self.commands, []
        return commands

    def decide(self, *, now: float, wall: Seconds) -> None:
        """Run one scheduling pass.

        Expired attempts are released, unanswered orders sent again, attempts evicted or
        moved, waiting tasks placed and speculative attempts started, in this order.
        """
        self.clock_offset = Seconds(wall - now)
        for job in self.jobs.values():
            if job.record.spec.recurrence is not None:
                opened = open_jobs.open_due_occurrences(job, wall=wall)
                self.unplaced.update(dict.fromkeys(opened))
        if now >= self.tended_at + TEND_INTERVAL_SECONDS:
            self.tended_at = now
            self._tend_attempts(now=now)
        if not self.may_start(now=now):
            return
        assignment.place_waiting_tasks(self, now=now, wall=wall)
        copies.start_speculative_attempts(self, now=now)

    def _tend_attempts(self, *, now: float) -> None:
        """Look at all workers and the attempts on them."""
        incarnations.release_expired(self, now=now)
        self._select_periods(now=now)
        ordering.resend_orders(self, now=now)
        if self.may_start(now=now):
            self._move_attempts(now=now)

    def _move_attempts(self, *, now: float) -> None:
        """Stop the attempts that should run elsewhere or again."""
        eviction.evict_from_draining(self, now=now)
        eviction.evict_stuck(self, now=now)
        if now >= self.moves_checked_at + MOVE_CHECK_INTERVAL_SECONDS:
            self.moves_checked_at = now
            eviction.move_throttled(self, now=now)
        consolidation.consolidate(self, now=now)

    def _select_periods(self, *, now: float) -> None:
        if now < self.periods_selected_at + PERIOD_INTERVAL_SECONDS:
            return
        self.periods_selected_at = now
        select_periods([step.own_load for step in handovers.list_serving_steps(self)])

    def measure_admission(self, *, now: float, wall: Seconds) -> AdmissionDigest:
        """Return how short capacity is, for the instances' admission control."""
        waiting = self.list_waiting_steps()
        return admission.measure_admission(self, waiting, now=now, wall=wall)

    def list_waiting_steps(self) -> list[OpenStep]:
        """Return the steps that are ready and have waiting tasks."""
        return assignment.list_waiting_steps(self)

    def update_workers(
        self, entries: Iterable[WorkerEntry], *, now: float, inherited: bool = False
    ) -> None:
        """Update the workers from the directory."""
        incarnations.update_workers(self, entries, now=now, inherited=inherited)

    def handle_report(
        self, worker: Worker, report: WorkerReport, *, sent: float, now: float
    ) -> None:
        """Handle a worker's report, its answer to a renewal."""
        reports.handle_report(self, worker, report, sent=sent, now=now)

    def handle_start_answer(
        self, attempt: Attempt, answer: OrderResponse, *, now: float
    ) -> None:
        """Handle the answer to a start order."""
        answers.handle_start_answer(self, attempt, answer, now=now)

    def handle_stop_answer(
        self, attempt: Attempt | None, answer: OrderResponse, *, now: float
    ) -> None:
        """Handle the answer to a stop order; ``attempt`` is None if it isn't known."""
        answers.handle_stop_answer(self, attempt, answer, now=now)

    def apply_handover(self, handover: Handover, *, now: float, wall: Seconds) -> None:
        """Restore the state that the previous owner wrote for its successor."""
        handovers.apply_handover(self, handover, now=now, wall=wall)

    def find_advice_request(
        self, *, now: float, wall: Seconds
    ) -> tuple[OpenStep, AdviceRequest] | None:
        """Return the most urgent step that needs advice, and the request for it."""
        pools = assignment.list_available_workers(self, now=now)
        workers = [worker for pool in pools.values() for worker in pool]
        return advice.find_advice_request(
            self.list_waiting_steps(), workers, self.weights, now=now, wall=wall
        )

    def handle_advice(
        self,
        step: OpenStep,
        request: AdviceRequest,
        answer: Advice | None,
        *,
        now: float,
    ) -> None:
        """Store the tickets of an answer; None means that no answer arrived."""
        advice.handle_advice(step, request, answer, self.workers, now=now)
