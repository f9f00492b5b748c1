"""Model workers and time for tests of a cell's owner, without a network."""

import itertools
from dataclasses import dataclass, field

from plantainhinge.core.ids import (
    DomainId,
    Epoch,
    JobId,
    QueueName,
    ServiceId,
    WorkerId,
)
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.cell import Cell
from plantainhinge.dispatch.leases import LeaseTerms
from plantainhinge.dispatch.orders import Start, Stop, Throttle
from plantainhinge.fleet.handover import Handover
from plantainhinge.fleet.model import (
    EndCause,
    EndedRow,
    OrderAnswer,
    OrderOutcome,
    RunningRow,
    WorkerEntry,
    WorkerReport,
)
from plantainhinge.jobs.model import JobRecord, JobSpec, QueuePolicy, Step

SERVICE = ServiceId("archive")
TERMS = LeaseTerms(length=6.0, length_max=6.0)
LEASE_BOUND = 6.0 / 0.97 + 0.2
STEP = 0.05
SMALL = Resources(1000, 100)


def make_policy(**changes):
    values = {
        "queue": QueueName("lookups"),
        "service": SERVICE,
        "priority": 0,
        "attempts": 2,
        "slack_factor": 2.0,
        "target_latency": 0.25,
    }
    return QueuePolicy(**(values | changes))


def make_job(job, *steps, accepted_at=0.0, policy=None):
    steps = steps or (Step(count=1, request=Resources(1000, 100), estimate=1.0),)
    spec = JobSpec(payload="work", steps=steps)
    return JobRecord(
        job=JobId(job),
        policy=policy or make_policy(),
        spec=spec,
        accepted_at=accepted_at,
    )


def make_step(**changes):
    """Return a step of a small task that takes a second."""
    return Step(**({"request": SMALL, "estimate": 1.0} | changes))


def make_entry(name, *, cores=8, **changes):
    values = {
        "worker": WorkerId(name),
        "born": 1,
        "service": SERVICE,
        "address": f"{name}:1",
        "domain": DomainId("a"),
        "capacity": Resources(cores * 1000, 64_000),
    }
    return WorkerEntry(**(values | changes))


@dataclass
class ModelRun:
    left: float
    estimate: float
    lasting: bool
    image: str
    started: float
    serving: bool
    pace: int = 100


@dataclass
class ModelWorker:
    """Runs what it is told, under a lease; remembers every start and stop.

    One that is silent gets nothing, one that is mute acts and doesn't answer, one
    that is deaf answers renewals and leaves starts alone.
    """

    entry: WorkerEntry
    now: float = 0.0
    silent: bool = False
    mute: bool = False
    deaf: bool = False
    lose_answers: int = 0
    fails: bool = False
    fails_at_once: bool = False
    speed: float = 1.0
    fence: int = 0
    lease_end: float = 0.0
    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    started: list = field(default_factory=list)
    stopped: list = field(default_factory=list)
    numbers: object = None
    tail: object = None

    def __post_init__(self):
        self.numbers = itertools.count(1)

    def start(self, order, step):
        if self.silent or self.deaf:
            return OrderAnswer(outcome=OrderOutcome.UNKNOWN)
        if order.epoch < self.fence:
            return OrderAnswer(outcome=OrderOutcome.FENCED)
        self.fence = order.epoch
        key = (order.task, order.attempt)
        self.lease_end = max(self.lease_end, order.lease_end)
        if key not in self.runs:
            self.started.append(key)
            self.runs[key] = ModelRun(
                step.estimate,
                step.estimate,
                step.lasting,
                step.image,
                self.now,
                bool(step.target_seconds),
            )
        if self.mute or self.lose_answers:
            self.lose_answers = max(0, self.lose_answers - 1)
            return OrderAnswer(outcome=OrderOutcome.UNKNOWN)
        return OrderAnswer(outcome=OrderOutcome.ACCEPTED)

    def stop(self, order):
        self.stopped.append((order.task, order.attempt))
        if self.silent:
            return OrderAnswer(outcome=OrderOutcome.UNKNOWN)
        if (order.task, order.attempt) in self.runs:
            self._end((order.task, order.attempt), EndCause.STOPPED)
        return OrderAnswer(outcome=OrderOutcome.ACCEPTED)

    def pace(self, order):
        run = self.runs.get((order.task, order.attempt))
        if run is not None and not self.silent:
            run.pace = order.percent

    def renew(self, renewal):
        if self.silent:
            return None
        if renewal.epoch < self.fence:
            return OrderAnswer(outcome=OrderOutcome.FENCED)
        self.fence = renewal.epoch
        if renewal.lease_end is not None:
            self.lease_end = max(self.lease_end, renewal.lease_end)
        self.ended = [row for row in self.ended if row.number > renewal.acknowledged]
        if self.mute:
            return None
        return self.report()

    def report(self):
        running = tuple(
            RunningRow(task, attempt, "", self._percent(run), self._gauge(run))
            for (task, attempt), run in self.runs.items()
        )
        return WorkerReport(
            clock=self.now,
            born=self.entry.born,
            running=running,
            ended=tuple(self.ended),
        )

    def advance(self, seconds):
        self.now += seconds
        for key, run in list(self.runs.items()):
            run.left -= seconds * self.speed * run.pace / 100
            if self.now > self.lease_end:
                self._end(key, EndCause.LAPSED)
            elif self.fails_at_once:
                self._end(key, EndCause.FAILED)
            elif run.left <= 0 and not run.lasting:
                self._end(key, EndCause.FAILED if self.fails else EndCause.DONE)

    def _end(self, key, cause):
        del self.runs[key]
        self.ended.append(EndedRow(next(self.numbers), *key, cause, ""))

    def _percent(self, run):
        return 100 if run.lasting else int(100 * (1 - run.left / run.estimate))

    def _gauge(self, run):
        return self.tail(self, run) if self.tail is not None else 1.0


class ModelSite:
    """An owner and its workers, moved on in small steps of time."""

    def __init__(self, *entries, epoch=1, log_up=True, terms=TERMS):
        self.now = 0.0
        self.log_up = log_up
        self.terms = terms
        self.handover = Handover()
        self.flush = None
        self.workers = {entry.worker: ModelWorker(entry) for entry in entries}
        self.states = {}
        self.log = {}
        self.cell = Cell(Epoch(epoch), terms, 0.0)
        self.see()

    def see(self, *, inherited=False):
        entries = [worker.entry for worker in self.workers.values()]
        self.cell.update_workers(entries, now=self.now, inherited=inherited)

    def submit(self, record, *, inherited=False):
        self.cell.open_job(
            record, self.log.get(record.job), wall=self.now, inherited=inherited
        )

    def take_over(self, records):
        """Replace the owner by another one that knows only the log."""
        self.cell = Cell(Epoch(self.cell.epoch + 1), self.terms, self.now)
        self.flush = None
        self.cell.apply_handover(self.handover, now=self.now)
        for record in records:
            self.submit(record, inherited=True)
        self.see(inherited=True)

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self._step()

    def run_until(self, condition, *, limit=60.0):
        end = self.now + limit
        while not condition():
            assert self.now < end, "the condition was never met"
            self._step()

    def state_of(self, job):
        progress = self.log.get(job)
        return progress.state.value if progress is not None else "queued"

    def count_starts(self):
        return sum(len(worker.started) for worker in self.workers.values())

    def list_running(self):
        return [
            (worker.entry.worker, *key)
            for worker in self.workers.values()
            for key in worker.runs
        ]

    def _step(self):
        self.now += STEP
        for worker in self.workers.values():
            worker.advance(STEP)
        for row in list(self.cell.workers.values()):
            self._renew(row)
        self.cell.decide(now=self.now, wall=self.now)
        for command in self.cell.take_commands():
            self._deliver(command)
        self._flush()

    def _renew(self, row):
        worker = self.workers[row.name]
        renewal = self.cell.prepare_renewal(row, now=self.now)
        report = worker.renew(renewal)
        if isinstance(report, WorkerReport):
            self.cell.handle_report(row, report, sent=self.now - STEP / 2, now=self.now)
        else:
            answer = report or OrderAnswer(outcome=OrderOutcome.UNKNOWN)
            self.cell.handle_failed_renewal(row, answer, now=self.now)

    def _deliver(self, command):
        match command:
            case Start(attempt=attempt, order=order):
                worker = self.workers[attempt.worker.name]
                answer = worker.start(order, attempt.task.step.spec)
                self.cell.handle_start_answer(attempt, answer, now=self.now)
            case Stop(worker=row, order=order, attempt=attempt):
                answer = self.workers[row.name].stop(order)
                self.cell.handle_stop_answer(attempt, answer, now=self.now)
            case Throttle(attempt=attempt, order=order):
                self.workers[attempt.worker.name].pace(order)

    def _flush(self):
        self.flush = self.flush or self.cell.take_flush(now=self.now)
        if self.flush is None or not self.log_up:
            return
        flush, self.flush = self.flush, None
        for progress in flush.progress:
            self.log[progress.job] = progress
        self.handover = flush.handover or self.handover
        self.cell.confirm_flush(flush)
