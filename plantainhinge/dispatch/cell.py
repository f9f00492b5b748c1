"""The owner's decisions over one cell: takes in what happened, gives out orders.

No network, no clock: the caller hands in the time, sends what ``take_commands``
returns and reports the answers.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.ids import Attempt, DomainId, Epoch, JobId, Seconds, ServiceId, WorkerId
from ..fleet.model import (
    EndCause,
    EndedRow,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    Renewal,
    RunningRow,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from ..jobs.model import FINAL_JOB_STATES, JobRecord, JobState
from ..jobs.records import Progress
from ..placement.interference import PairTable
from . import book, health
from .leases import LeaseTerms, expect_unknown_leases, grant_lease, learn_clock
from .orders import Command, Pace, Start, Stop
from .placing import choose_worker
from .queueing import order_steps
from .sharing import PRIOR_WEIGHT, adjust_paces, learn_from_report
from .tables import (
    JobRun,
    Run,
    RunPhase,
    StepRun,
    Task,
    Worker,
    bind,
    change_pace,
    unbind,
)

logger = logging.getLogger(__name__)

RETRY_SECONDS = 0.15
RETRY_SECONDS_MAX = 1.0
ENDS_PER_REPORT_MAX = 500
RENEWAL_WAIT_SECONDS = Seconds(1.0)
SHARED_WAIT_SECONDS = Seconds(0.3)
GONE_FORGET_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class Flush:
    """Progress to be logged, and the ends that may be forgotten afterwards."""

    jobs: tuple[JobRun, ...]
    progress: tuple[Progress, ...]
    ends: tuple[tuple[WorkerId, int, int], ...]


@dataclass
class Cell:
    """All open jobs and all workers of one cell, under one epoch.

    Parameters
    ----------
    epoch : Epoch
        The fencing token of this ownership.
    terms : LeaseTerms
        How leases are given.
    started : float
        Monotonic seconds at which this ownership began.
    """

    epoch: Epoch
    terms: LeaseTerms
    started: float
    jobs: dict[JobId, JobRun] = field(default_factory=dict)
    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    closed_domains: frozenset[DomainId] = frozenset()
    fenced: bool = False
    pairs: PairTable = field(default_factory=lambda: PairTable(PRIOR_WEIGHT))
    _commands: list[Command] = field(default_factory=list)
    _dirty: dict[JobId, JobRun] = field(default_factory=dict)
    _unseen: set[WorkerId] = field(default_factory=set)
    _acks_due: bool = False

    # Jobs

    def open_job(
        self,
        record: JobRecord,
        progress: Progress | None,
        *,
        wall: Seconds,
        inherited: bool,
    ) -> None:
        """Take on a job that the log holds."""
        if record.job in self.jobs:
            return
        if progress is not None and progress.state in FINAL_JOB_STATES:
            return
        job = book.open_job(record, progress, wall=wall)
        job.inherited = inherited
        self.jobs[record.job] = job

    def cancel_job(self, job_id: JobId, *, now: float) -> None:
        """Stop a job's tasks and start none any more."""
        job = self.jobs.get(job_id)
        if job is not None:
            self._end_job(job, JobState.CANCELLED, now=now)

    def take_flush(self) -> Flush | None:
        """Return what should be logged now, or None."""
        if not self._dirty and not self._acks_due:
            return None
        jobs = tuple(self._dirty.values())
        progress = tuple(book.describe_progress(job) for job in jobs)
        self._dirty.clear()
        self._acks_due = False
        ends = tuple(
            (worker.name, worker.born, worker.seen_number)
            for worker in self.workers.values()
            if worker.seen_number > worker.acknowledged
        )
        return Flush(jobs, progress, ends)

    def confirm_flush(self, flush: Flush) -> None:
        """Note that the log holds a flush."""
        for name, born, number in flush.ends:
            worker = self.workers.get(name)
            if worker is not None and worker.born == born:
                worker.acknowledged = max(worker.acknowledged, number)

    def restore_flush(self, flush: Flush) -> None:
        """Make the jobs of a flush that failed due again."""
        self._acks_due = True
        self._dirty = {job.job: job for job in flush.jobs} | self._dirty

    # Workers

    def see_workers(
        self, entries: Iterable[WorkerEntry], *, now: float, inherited: bool = False
    ) -> None:
        """Take in the directory of workers."""
        listed = set()
        for entry in entries:
            listed.add(entry.worker)
            worker = self.workers.get(entry.worker)
            if worker is None:
                worker = Worker(entry, entry.born)
                self.workers[entry.worker] = worker
                if inherited:
                    expect_unknown_leases(worker, self.terms, now=now)
                    self._unseen.add(entry.worker)
                logger.info("worker listed", extra=_describe_worker(worker))
            elif entry.born > worker.born:
                self._begin_life(worker, entry.born, now=now)
            if entry.state is not worker.entry.state:
                logger.info(
                    "worker changed state",
                    extra=_describe_worker(worker) | {"state": entry.state.value},
                )
            worker.entry = entry
            worker.listed = True
        for name, worker in list(self.workers.items()):
            if name not in listed:
                self._unlist(worker, now=now)

    def prepare_renewal(self, worker: Worker, *, now: float) -> Renewal:
        """Return the next renewal for a worker."""
        first = worker.heard_at == float("-inf")
        pending = worker.seen_number > worker.acknowledged
        shared = worker.filling and worker.serving
        wait = SHARED_WAIT_SECONDS if shared else RENEWAL_WAIT_SECONDS
        return Renewal(
            epoch=self.epoch,
            acknowledged=worker.acknowledged,
            wait=Seconds(0.0) if first or pending else wait,
            lease_end=grant_lease(worker, self.terms, now=now)
            if worker.in_touch
            else None,
        )

    def take_report(
        self, worker: Worker, report: WorkerReport, *, sent: float, now: float
    ) -> None:
        """Take in a worker's answer to a renewal."""
        if report.born < worker.born:
            return
        if report.born > worker.born:
            self._begin_life(worker, report.born, now=now)
        learn_clock(worker, clock=report.clock, sent=sent, received=now)
        for end in report.ended:
            if end.number > worker.seen_number:
                self._take_end(worker, end, now=now)
                worker.seen_number = end.number
                self._acks_due = True
        for row in report.running:
            self._take_row(worker, row, now=now)
        worker.pressures = None
        if len(report.ended) < ENDS_PER_REPORT_MAX:
            self._find_vanished(worker, report, sent=sent, now=now)
        self._unseen.discard(worker.name)
        self._protect_serving(worker, now=now)

    def take_refused_renewal(
        self, worker: Worker, answer: OrderAnswer, *, now: float
    ) -> None:
        """Take in that a renewal brought no lists."""
        if answer.outcome is OrderOutcome.FENCED:
            self.fenced = True
        self.lose_touch(worker, now=now)

    def lose_touch(self, worker: Worker, *, now: float) -> None:
        """Note that a worker didn't answer."""
        if worker.in_touch:
            logger.warning(
                "worker out of touch",
                extra=_describe_worker(worker) | {"silent_s": now - worker.heard_at},
            )
        worker.in_touch = False

    # Answers

    def take_start_answer(self, run: Run, answer: OrderAnswer, *, now: float) -> None:
        """Take in what became of a start."""
        if run.worker.runs.get((run.task.key, run.attempt)) is not run:
            return
        if run.phase is not RunPhase.ORDERED:
            return
        match answer.outcome:
            case OrderOutcome.ACCEPTED:
                run.phase = RunPhase.RUNNING
                run.confirmed_at = run.moved_at = now
                run.retry_at = float("inf")
            case OrderOutcome.UNKNOWN:
                self._retry_later(run, now=now)
            case OrderOutcome.NOT_SENT if run.tries > 1:
                self._retry_later(run, now=now)
            case OrderOutcome.FENCED:
                self.fenced = True
                self._retry_later(run, now=now)
            case OrderOutcome.OTHER_LIFE:
                self.lose_touch(run.worker, now=now)
                self._release(run, now=now)
            case _:
                logger.info(
                    "start refused",
                    extra=_describe_run(run) | {"cause": answer.outcome.value},
                )
                health.note_refusal(run.worker, answer.outcome, now=now)
                self._release(run, now=now)

    def take_stop_answer(
        self, run: Run | None, answer: OrderAnswer, *, now: float
    ) -> None:
        """Take in what became of a stop."""
        if answer.outcome is OrderOutcome.FENCED:
            self.fenced = True
        if run is None or run.worker.runs.get((run.task.key, run.attempt)) is not run:
            return
        if answer.outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT):
            self._retry_later(run, now=now)
        else:
            run.confirmed_at = now
            run.retry_at = now + RETRY_SECONDS_MAX

    def take_commands(self) -> list[Command]:
        """Return the orders that came due since the last call."""
        commands, self._commands = self._commands, []
        return commands

    # Decisions

    def decide(self, *, now: float, wall: Seconds) -> None:
        """Place what waits, repeat what is due and adjust paces."""
        self._lapse(now=now)
        for job in self.jobs.values():
            if job.record.spec.recurrence is not None:
                book.open_due_occurrences(job, wall=wall)
        self._repeat_orders(now=now)
        self._evict_draining(now=now)
        self._evict_stuck(now=now)
        self._place(now=now, wall=wall)

    @property
    def recovering(self) -> bool:
        """Whether a worker may still run what an earlier owner started."""
        return bool(self._unseen)

    def _place(self, *, now: float, wall: Seconds) -> None:
        waiting = self.list_waiting()
        if not waiting:
            return
        pools: dict[ServiceId, list[Worker]] = {}
        for worker in self.workers.values():
            if worker.accepts(now) and worker.entry.domain not in self.closed_domains:
                pools.setdefault(worker.entry.service, []).append(worker)
        for step in order_steps(waiting, wall=wall):
            pool = pools.get(step.job.record.policy.service, [])
            if step.spec.gang:
                self._place_gang(step, pool, now=now)
            else:
                self._place_step(step, pool, now=now)

    def list_waiting(self) -> list[StepRun]:
        """Return the steps whose turn has come and that have tasks waiting."""
        waiting: list[StepRun] = []
        for job in self.jobs.values():
            if job.state in FINAL_JOB_STATES or (job.inherited and self.recovering):
                continue
            for steps in job.occurrences.values():
                waiting.extend(step for step in steps if step.waiting and step.ready)
        return waiting

    def _place_step(self, step: StepRun, workers: list[Worker], *, now: float) -> None:
        for task in list(step.waiting):
            if task.not_before > now:
                continue
            worker = choose_worker(task, workers, self.pairs, now=now)
            if worker is None and task.avoid:
                task.avoid.clear()
                worker = choose_worker(task, workers, self.pairs, now=now)
            if worker is None:
                return
            self._start(task, worker, task.attempt + 1, now=now)

    def _place_gang(self, step: StepRun, workers: list[Worker], *, now: float) -> None:
        if len(step.waiting) < len(step.tasks) or any(
            task.not_before > now for task in step.tasks
        ):
            return
        attempt = max(task.attempt for task in step.tasks) + 1
        for group in _group_for_gang(step, workers):
            runs: list[Run] = []
            for task in step.tasks:
                worker = choose_worker(task, group, self.pairs, now=now)
                if worker is None:
                    break
                run = Run(task, Attempt(attempt), worker, RunPhase.ORDERED, now)
                bind(run)
                runs.append(run)
            for run in runs:
                unbind(run)
            if len(runs) == len(step.tasks):
                for run in runs:
                    self._start(run.task, run.worker, attempt, now=now)
                return

    def _start(self, task: Task, worker: Worker, attempt: int, *, now: float) -> None:
        task.attempt = attempt
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        run = Run(task, Attempt(attempt), worker, RunPhase.ORDERED, now)
        bind(run)
        job = task.step.job
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self._dirty[job.job] = job
        self._send_start(run, now=now)

    def _send_start(self, run: Run, *, now: float) -> None:
        run.tries += 1
        run.retry_at = float("inf")
        order = StartOrder(
            task=run.task.key,
            attempt=run.attempt,
            payload=run.task.step.job.record.spec.payload,
            checkpoint=run.task.checkpoint,
            epoch=self.epoch,
            lease_end=grant_lease(run.worker, self.terms, now=now),
        )
        self._commands.append(Start(run, order))

    def stop_run(self, run: Run, *, now: float) -> None:
        """Stop an attempt; its room is free when the worker lists the end."""
        run.phase = RunPhase.STOPPING
        run.tries += 1
        run.retry_at = float("inf")
        run.confirmed_at = float("inf")
        self._send_stop(run.worker, run.task, run.attempt, run)

    def _send_stop(
        self, worker: Worker, task: Task, attempt: Attempt, run: Run | None
    ) -> None:
        order = StopOrder(task=task.key, attempt=attempt, epoch=self.epoch)
        self._commands.append(Stop(worker, order, run))

    def _repeat_orders(self, *, now: float) -> None:
        for worker in self.workers.values():
            if not worker.in_touch:
                continue
            for run in list(worker.runs.values()):
                if run.retry_at > now:
                    continue
                if run.phase is RunPhase.ORDERED:
                    self._send_start(run, now=now)
                elif run.phase is RunPhase.STOPPING:
                    self.stop_run(run, now=now)

    def _retry_later(self, run: Run, *, now: float) -> None:
        pause = min(RETRY_SECONDS_MAX, RETRY_SECONDS * 2 ** min(run.tries, 5))
        run.retry_at = now + pause

    def _evict_draining(self, *, now: float) -> None:
        for worker in self.workers.values():
            if worker.entry.state is WorkerState.DRAINING:
                for run in list(worker.runs.values()):
                    if run.phase is RunPhase.RUNNING and _should_move(run):
                        self.stop_run(run, now=now)

    def _evict_stuck(self, *, now: float) -> None:
        for run in health.find_stuck(self.workers.values(), now=now):
            logger.warning("attempt makes no progress", extra=_describe_run(run))
            run.task.avoid.add(run.worker.name)
            self.stop_run(run, now=now)

    def _protect_serving(self, worker: Worker, *, now: float) -> None:
        """Learn how the images on a worker disturb each other, and set paces."""
        if not worker.serving:
            return
        learn_from_report(worker, self.pairs, now=now)
        for change in adjust_paces(worker, self.pairs, now=now):
            self._send_pace(change.run, change.percent)

    def _send_pace(self, run: Run, percent: int) -> None:
        change_pace(run, percent)
        order = PaceOrder(
            task=run.task.key, attempt=run.attempt, percent=percent, epoch=self.epoch
        )
        self._commands.append(Pace(run, order))

    # What workers say

    def _take_end(self, worker: Worker, end: EndedRow, *, now: float) -> None:
        run = worker.runs.get((end.task, end.attempt))
        if run is not None:
            _take_off(run, now=now)
        task = self._find_task(end.task)
        if task is None or task.done:
            return
        task.attempt = max(task.attempt, end.attempt)
        if run is None and (task.runs or not task.step.job.inherited):
            return
        if end.cause is EndCause.DONE and not task.step.spec.lasting:
            health.note_success(worker)
            self._finish(task, now=now)
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.cause is EndCause.FAILED:
            health.note_failure(worker, now=now)
            self._fail(task, worker, now=now)
        self._requeue(task, now=now)

    def _finish(self, task: Task, *, now: float) -> None:
        step = task.step
        finished = step.tasks if step.spec.gang else [task]
        for member in finished:
            if member.done:
                continue
            member.done = True
            step.left -= 1
            if member in step.waiting:
                step.waiting.remove(member)
            for run in list(member.runs):
                if not step.spec.gang:
                    self.stop_run(run, now=now)
        job = step.job
        self._dirty[job.job] = job
        if step.left == 0 and book.close_occurrences(job):
            self._end_job(job, JobState.COMPLETED, now=now)

    def _fail(self, task: Task, worker: Worker, *, now: float) -> None:
        job = task.step.job
        task.failures += 1
        task.avoid.add(worker.name)
        self._dirty[job.job] = job
        if task.step.spec.lasting:
            return
        if task.failures >= job.record.policy.attempts:
            self._end_job(job, JobState.FAILED, now=now)

    def _end_job(self, job: JobRun, state: JobState, *, now: float) -> None:
        job.state = state
        self._dirty[job.job] = job
        self.jobs.pop(job.job, None)
        for task in job.list_tasks():
            task.step.waiting.clear()
            for run in list(task.runs):
                if run.phase is not RunPhase.STOPPING:
                    self.stop_run(run, now=now)
        logger.info("job ended", extra={"job": job.job, "state": state.value})

    def _requeue(self, task: Task, *, now: float) -> None:
        """Make a task wait again unless it is done or bound elsewhere."""
        step = task.step
        if task.done or task.runs or task in step.waiting:
            return
        if step.job.state in FINAL_JOB_STATES:
            return
        if task.attempt > 1 or task.checkpoint:
            self._dirty[step.job.job] = step.job
        step.waiting.append(task)

    def _release(self, run: Run, *, now: float) -> None:
        _take_off(run, now=now)
        self._requeue(run.task, now=now)

    def _take_row(self, worker: Worker, row: RunningRow, *, now: float) -> None:
        run = worker.runs.get((row.task, row.attempt))
        if run is None:
            self._adopt(worker, row, now=now)
            return
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = run.moved_at = now
            run.retry_at = float("inf")
        if row.percent != run.percent:
            run.percent = row.percent
            run.moved_at = now
        run.gauge = row.gauge
        if row.checkpoint and run.phase is RunPhase.RUNNING:
            run.task.checkpoint = row.checkpoint

    def _adopt(self, worker: Worker, row: RunningRow, *, now: float) -> None:
        """Enter an attempt that an earlier owner started, or stop it."""
        task = self._find_task(row.task)
        if task is None:
            self._bar(worker, row)
            return
        task.attempt = max(task.attempt, row.attempt)
        run = Run(task, row.attempt, worker, RunPhase.RUNNING, now, now)
        run.percent, run.gauge, run.moved_at = row.percent, row.gauge, now
        run.inherited = True
        others = [other for other in task.runs if other.phase is not RunPhase.STOPPING]
        bind(run)
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        if task.done or (others and not task.step.spec.speculative):
            self.stop_run(run, now=now)
        if row.checkpoint and not others:
            task.checkpoint = row.checkpoint

    def _bar(self, worker: Worker, row: RunningRow) -> None:
        order = StopOrder(task=row.task, attempt=row.attempt, epoch=self.epoch)
        self._commands.append(Stop(worker, order, None))

    def _find_vanished(
        self, worker: Worker, report: WorkerReport, *, sent: float, now: float
    ) -> None:
        present = {(row.task, row.attempt) for row in report.running}
        for key, run in list(worker.runs.items()):
            if key in present or run.phase is RunPhase.ORDERED:
                continue
            if run.confirmed_at < sent:
                logger.info("attempt is gone", extra=_describe_run(run))
                self._release(run, now=now)

    def _find_task(self, key: tuple[JobId, int, int, int]) -> Task | None:
        job_id, occurrence, step, index = key
        job = self.jobs.get(job_id)
        steps = job.occurrences.get(occurrence) if job is not None else None
        if steps is None or step >= len(steps) or index >= len(steps[step].tasks):
            return None
        return steps[step].tasks[index]

    # Workers that go

    def _begin_life(self, worker: Worker, born: int, *, now: float) -> None:
        logger.info(
            "worker began another life",
            extra=_describe_worker(worker) | {"attempts_lost": len(worker.runs)},
        )
        lost = list(worker.runs.values())
        worker.born = born
        worker.seen_number = worker.acknowledged = 0
        worker.heard_at = worker.lapse_at = float("-inf")
        worker.in_touch = False
        worker.set_aside_until = 0.0
        for run in lost:
            if run.phase is RunPhase.ORDERED:
                self._send_stop(worker, run.task, run.attempt, None)
            self._release(run, now=now)

    def _unlist(self, worker: Worker, *, now: float) -> None:
        if worker.listed:
            logger.info("worker left the list", extra=_describe_worker(worker))
        worker.listed = False
        silent = now - max(worker.heard_at, self.started)
        if not worker.runs and silent > GONE_FORGET_SECONDS:
            self._unseen.discard(worker.name)
            del self.workers[worker.name]

    def _lapse(self, *, now: float) -> None:
        for worker in self.workers.values():
            if worker.in_touch or now < worker.lapse_at:
                continue
            self._unseen.discard(worker.name)
            for run in list(worker.runs.values()):
                logger.info("lease lapsed", extra=_describe_run(run))
                self._release(run, now=now)


def _take_off(run: Run, *, now: float) -> None:
    if run.task.step.spec.fills:
        run.worker.fills_changed_at = now
    unbind(run)


def _should_move(run: Run) -> bool:
    """Return whether a task loses less by moving off a worker that leaves."""
    spec = run.task.step.spec
    if spec.lasting:
        return True
    left = spec.estimate * (100 - run.percent) / 100
    return spec.checkpoints and left > run.worker.entry.remaining


def _group_for_gang(step: StepRun, workers: list[Worker]) -> list[list[Worker]]:
    """Return sets of workers to try in turn: single racks first, if that is faster."""
    if not step.spec.same_rack:
        return [workers]
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return [*racks.values(), workers]


def _describe_worker(worker: Worker) -> dict[str, object]:
    return {
        "worker": worker.name,
        "domain": worker.entry.domain,
        "born": worker.born,
    }


def _describe_run(run: Run) -> dict[str, object]:
    return {
        "job": run.task.key.job,
        "task": ".".join(str(part) for part in run.task.key),
        "attempt": run.attempt,
        "worker": run.worker.name,
        "phase": run.phase.value,
        "tries": run.tries,
    }
