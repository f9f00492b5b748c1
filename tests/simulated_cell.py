"""Simulated workers and time for tests of the scheduler, without a network."""

import itertools
from dataclasses import dataclass, field

import msgspec

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
from plantainhinge.fleet.credentials import digest_key
from plantainhinge.fleet.handover import Handover
from plantainhinge.fleet.model import (
    EndCause,
    EndedAttempt,
    OrderOutcome,
    OrderResponse,
    RunningAttempt,
    WorkerEntry,
    WorkerReport,
)
from plantainhinge.fleet.operator import Workspace
from plantainhinge.jobs.model import (
    NO_WORKSPACE,
    JobRecord,
    JobSpec,
    QueuePolicy,
    Step,
)

SERVICE = ServiceId("archive")
TERMS = LeaseTerms(length=6.0, length_max=6.0)
LEASE_SECONDS_MAX = 6.0 / 0.97 + 0.2
STEP_SECONDS = 0.05
# a job may have nothing running beside room for it for this long, counted from some
# seconds after the last fault
IDLE_SECONDS_MAX = 3.0
CALM_SECONDS = 4.0
SMALL_TASK = Resources(1000, 100)
UNLIMITED = 2**63 - 1


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


def make_job(job, *steps, accepted_at=0.0, policy=None, workspace=NO_WORKSPACE):
    steps = steps or (Step(count=1, request=Resources(1000, 100), estimate=1.0),)
    spec = JobSpec(payload="work", steps=steps)
    return JobRecord(
        job=JobId(job),
        policy=policy or make_policy(),
        spec=spec,
        accepted_at=accepted_at,
        workspace=workspace,
    )


def make_workspace(name, *, weight=1.0, cores=None, keys=()):
    """Return a workspace; without ``cores`` its cap is no limit."""
    return Workspace(
        name=name,
        key_digests=tuple(map(digest_key, keys)),
        weight=weight,
        cap=Resources(UNLIMITED if cores is None else cores * 1000, UNLIMITED, 0),
    )


def make_step(**changes):
    """Return a step of one small task that takes a second, unless changed."""
    return Step(**({"request": SMALL_TASK, "estimate": 1.0} | changes))


def make_entry(name, *, cores=8, **changes):
    values = {
        "worker": WorkerId(name),
        "incarnation": 1,
        "service": SERVICE,
        "address": f"{name}:1",
        "domain": DomainId("a"),
        "capacity": Resources(cores * 1000, 64_000),
    }
    return WorkerEntry(**(values | changes))


@dataclass
class SimulatedAttempt:
    time_left: float
    estimate: float
    long_running: bool
    image: str
    started: float
    serving: bool
    millicores: int
    saves: bool = False
    speed_percent: int = 100


@dataclass
class SimulatedWorker:
    """A worker that runs attempts under a lease and records every start and stop.

    Parameters
    ----------
    unreachable : bool
        Whether it receives nothing.
    drops_answers : bool
        Whether it carries orders out without answering.
    ignores_starts : bool
        Whether it answers renewals but ignores starts.
    answers_to_lose : int
        How many more answers to starts are lost.
    acknowledged_done : set of TaskKey
        Tasks whose end as done was acknowledged, with no lapse of the lease between the
        two. After a lapse an end counts for nothing.
    forgotten_done : set of TaskKey
        Tasks whose end as done was acknowledged, whether or not the lease had lapsed.
    lapsed_ends : set of int
        Sequence numbers of the ends before the last lapse of the lease.
    start_times, end_times : list, dict
        Seconds of each start, and of each end by its sequence number.
    done_times : dict
        Seconds of the ends in ``acknowledged_done``, by task.
    stop_outcomes : list of OrderOutcome
        Outcomes of the next stops, which do nothing.
    closed : dict
        Highest number of a stopped or ended attempt, by task; none up to it starts.
    overloads : list
        Starts that brought it over its capacity, which it doesn't guard.
    stopping : dict
        Attempts that are being stopped, with the seconds at which they end.
    orders : list of StartOrder
        Start orders that arrived, repeated ones too.
    stop_seconds : float
        How long a stop takes.
    tail_latency : callable, optional
        Returns the gauge of an attempt, given the worker and the attempt.
    """

    entry: WorkerEntry
    now: float = 0.0
    unreachable: bool = False
    drops_answers: bool = False
    ignores_starts: bool = False
    answers_to_lose: int = 0
    fails: bool = False
    fails_at_once: bool = False
    speed: float = 1.0
    fence: int = 0
    lease_end: float = 0.0
    attempts: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    started: list = field(default_factory=list)
    stopped: list = field(default_factory=list)
    stop_outcomes: list = field(default_factory=list)
    closed: dict = field(default_factory=dict)
    acknowledged_done: set = field(default_factory=set)
    forgotten_done: set = field(default_factory=set)
    lapsed_ends: set = field(default_factory=set)
    start_times: list = field(default_factory=list)
    end_times: dict = field(default_factory=dict)
    done_times: dict = field(default_factory=dict)
    overloads: list = field(default_factory=list)
    stopping: dict = field(default_factory=dict)
    orders: list = field(default_factory=list)
    stop_seconds: float = 0.0
    end_numbers: object = None
    tail_latency: object = None

    def __post_init__(self):
        self.end_numbers = itertools.count(1)

    def start(self, order, step):
        if self.unreachable or self.ignores_starts:
            return OrderResponse(outcome=OrderOutcome.UNKNOWN)
        if order.epoch < self.fence:
            return OrderResponse(outcome=OrderOutcome.FENCED)
        self.fence = order.epoch
        self.orders.append(order)
        key = (order.task, order.attempt)
        self.lease_end = max(self.lease_end, order.lease_end)
        if order.attempt <= self.closed.get(order.task, 0):
            return OrderResponse(outcome=OrderOutcome.SUPERSEDED)
        if key not in self.attempts:
            self.started.append(key)
            self.start_times.append(self.now)
            self.attempts[key] = SimulatedAttempt(
                step.estimate,
                step.estimate,
                step.long_running,
                step.image,
                self.now,
                bool(step.target_seconds),
                0 if step.best_effort else step.request.millicores,
                step.checkpoints,
            )
            if self.count_millicores() > self.entry.capacity.millicores:
                self.overloads.append(key)
        if self.drops_answers or self.answers_to_lose:
            self.answers_to_lose = max(0, self.answers_to_lose - 1)
            return OrderResponse(outcome=OrderOutcome.UNKNOWN)
        return OrderResponse(outcome=OrderOutcome.ACCEPTED)

    def count_millicores(self):
        return sum(attempt.millicores for attempt in self.attempts.values())

    def set_millicores(self, millicores):
        """Shrink or grow; the directory shows it once it is read."""
        capacity = Resources(millicores, self.entry.capacity.memory_mib)
        self.entry = msgspec.structs.replace(self.entry, capacity=capacity)

    def stop(self, order):
        self.stopped.append((order.task, order.attempt))
        if self.unreachable:
            return OrderResponse(outcome=OrderOutcome.UNKNOWN)
        if self.stop_outcomes:
            return OrderResponse(outcome=self.stop_outcomes.pop(0))
        key = (order.task, order.attempt)
        if key in self.attempts and self.stop_seconds:
            self.stopping.setdefault(key, self.now + self.stop_seconds)
        elif key in self.attempts:
            self._end(key, EndCause.STOPPED)
        self._close(order.task, order.attempt)
        return OrderResponse(outcome=OrderOutcome.ACCEPTED)

    def throttle(self, order):
        attempt = self.attempts.get((order.task, order.attempt))
        if attempt is not None and not self.unreachable:
            attempt.speed_percent = order.speed_percent

    def renew(self, renewal):
        if self.unreachable:
            return None
        if renewal.epoch < self.fence:
            return OrderResponse(outcome=OrderOutcome.FENCED)
        self.fence = renewal.epoch
        if renewal.lease_end is not None:
            self.lease_end = max(self.lease_end, renewal.lease_end)
        for row in self.ended:
            if row.cause is EndCause.DONE and row.sequence <= renewal.acknowledged:
                self.forgotten_done.add(row.task)
                if row.sequence not in self.lapsed_ends:
                    self.acknowledged_done.add(row.task)
                    self.done_times[row.task] = self.end_times[row.sequence]
        self.ended = [row for row in self.ended if row.sequence > renewal.acknowledged]
        if self.drops_answers:
            return None
        return self.report()

    def report(self):
        running = tuple(
            RunningAttempt(
                task,
                number,
                self._save(attempt),
                self._percent(attempt),
                self._gauge(attempt),
            )
            for (task, number), attempt in self.attempts.items()
        )
        return WorkerReport(
            clock=self.now,
            incarnation=self.entry.incarnation,
            running=running,
            ended=tuple(self.ended),
        )

    def advance(self, seconds):
        self.now += seconds
        if self.now > self.lease_end:
            self.lapsed_ends.update(row.sequence for row in self.ended)
        for key in [key for key, at in self.stopping.items() if self.now >= at]:
            del self.stopping[key]
            if key in self.attempts:
                self._end(key, EndCause.STOPPED)
        for key, attempt in list(self.attempts.items()):
            attempt.time_left -= seconds * self.speed * attempt.speed_percent / 100
            if self.now > self.lease_end:
                self._end(key, EndCause.LEASE_EXPIRED)
            elif self.fails_at_once:
                self._end(key, EndCause.FAILED)
            elif attempt.time_left <= 0 and not attempt.long_running:
                self._end(key, EndCause.FAILED if self.fails else EndCause.DONE)

    def _end(self, key, cause):
        saved = self._save(self.attempts.pop(key))
        number = next(self.end_numbers)
        self.ended.append(EndedAttempt(number, *key, cause, saved))
        self.end_times[number] = self.now
        self._close(*key)

    def _close(self, task, attempt):
        self.closed[task] = max(attempt, self.closed.get(task, 0))

    def _save(self, attempt):
        """Return the checkpoint of an attempt; each worker's are unlike others'."""
        worked = int(attempt.estimate - attempt.time_left)
        return f"{self.entry.worker}-{worked}" if attempt.saves and worked else ""

    def _percent(self, attempt):
        return (
            100
            if attempt.long_running
            else int(100 * (1 - attempt.time_left / attempt.estimate))
        )

    def _gauge(self, attempt):
        return (
            self.tail_latency(self, attempt) if self.tail_latency is not None else 1.0
        )


class SimulatedCell:
    """A scheduler and its workers, advanced in small steps of time."""

    def __init__(self, *entries, epoch=1, log_up=True, terms=TERMS):
        self.now = 0.0
        self.log_up = log_up
        self.terms = terms
        self.handover = Handover()
        self.pending_flush = None
        self.workers = {entry.worker: SimulatedWorker(entry) for entry in entries}
        self.states = {}
        self.log = {}
        self.records = {}
        self.cell = Cell(Epoch(epoch), terms, 0.0, find_record=self.records.get)
        self.update_workers()

    def update_workers(self, *, inherited=False):
        entries = [worker.entry for worker in self.workers.values()]
        self.cell.update_workers(entries, now=self.now, inherited=inherited)

    def set_workspaces(self, *workspaces):
        self.cell.workspaces = {each.name: each for each in workspaces}

    def submit(self, record, *, inherited=False):
        self.records[record.job] = record
        self.cell.open_job(
            record, self.log.get(record.job), wall=self.now, inherited=inherited
        )

    def take_over(self, records):
        """Replace the owner by a new one that knows only the log."""
        workspaces = self.cell.workspaces
        epoch = Epoch(self.cell.epoch + 1)
        self.cell = Cell(epoch, self.terms, self.now, find_record=self.records.get)
        self.cell.workspaces = workspaces
        self.pending_flush = None
        self.cell.apply_handover(self.handover, now=self.now, wall=self.now)
        for record in records:
            self.submit(record, inherited=True)
        self.update_workers(inherited=True)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
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
            for key in worker.attempts
        ]

    def _step(self):
        self.now += STEP_SECONDS
        for worker in self.workers.values():
            worker.advance(STEP_SECONDS)
        self.act()

    def act(self):
        """Let the owner renew, decide, order and log once."""
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
            self.cell.handle_report(
                row, report, sent=self.now - STEP_SECONDS / 2, now=self.now
            )
        else:
            answer = report or OrderResponse(outcome=OrderOutcome.UNKNOWN)
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
                self.workers[attempt.worker.name].throttle(order)

    def _flush(self):
        self.pending_flush = self.pending_flush or self.cell.take_flush(now=self.now)
        if self.log_up:
            self.cell.confirmed_at = self.now
        if self.pending_flush is None or not self.log_up:
            return
        flush, self.pending_flush = self.pending_flush, None
        for progress in flush.progress:
            self.log[progress.job] = progress
        self.handover = flush.handover or self.handover
        self.cell.confirm_flush(flush)


def start_one_task(**step):
    """Start one task on a site of two workers; return site, job and its worker."""
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(**step))
    site.submit(job)
    site.run(0.5)
    ((worker, _, _),) = site.list_running()
    return site, job, worker


def measure_late_share(site, seconds, *, target):
    """Run a site; return the share of time that serving attempts are over a target."""
    late = total = 0
    for _ in range(round(seconds / STEP_SECONDS)):
        site.run(STEP_SECONDS)
        for worker in site.workers.values():
            for attempt in worker.attempts.values():
                if attempt.serving:
                    total += 1
                    late += worker.tail_latency(worker, attempt) > target
    return late / total
