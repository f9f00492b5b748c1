"""Simplified simulation of the workers of one site, for the placement benchmarks.

Tasks on the same worker slow each other down by a table of pairwise interference
that the policies can't see, and reports arrive with a delay. There are no daemons,
network or log: one ledger and its cells decide once per simulated second.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from plantainhinge.core.messages import AttemptReport
from plantainhinge.core.records import AttemptPlaced
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass

REPORT_INTERVAL_SECONDS = 5
REPORT_DELAY_SECONDS = 3
CHECKPOINT_INTERVAL_SECONDS = 120
STOP_SECONDS = 2
CHECKPOINT_FAILURE_RATIO = 0.1
WORKERS_PER_RACK = 8


@dataclass(frozen=True)
class SiteSize:
    """Size of a site; for each service its number of replicas and cores per replica."""

    name: str
    workers: int
    domains: int
    cores: int
    memory_gib: int
    services: dict[str, tuple[int, int]]


KRUCZEK = SiteSize("kruczek", 35, 4, 64, 250, {"reader": (18, 12), "author": (12, 8)})
LOCHBRAE = SiteSize("lochbrae", 25, 3, 30, 125, {"lookup": (18, 6), "licence": (6, 4)})
SITES = {site.name: site for site in (KRUCZEK, LOCHBRAE)}

# For each batch kind: cores, memory in GiB, nominal run time in seconds, share of jobs.
BATCH_KINDS = {
    "index": (2, 8, 240, 0.35),
    "tag": (4, 8, 400, 0.25),
    "check": (1, 4, 120, 0.2),
    "translate": (6, 24, 1200, 0.12),
    "noisy": (4, 8, 300, 0.08),
}


@dataclass
class Job:
    """A task; its progress counts in seconds of running without interference."""

    task: str
    kind: str
    resources: Resources
    task_class: TaskClass
    priority: int
    run_seconds: float
    done_seconds: float = 0.0
    saved_seconds: float = 0.0
    checkpoint: str = ""
    attempt: int = 0
    service: str = ""


@dataclass
class RunningAttempt:
    """An attempt on a worker, with sums over the current report interval."""

    job: Job
    placement: AttemptPlaced
    cpu_limit_ratio: float
    started_at: int
    stops_at: int | None = None
    slowdown: float = 1.0
    slowdown_sum: float = 0.0
    usage_sum: float = 0.0
    window_seconds: int = 0


@dataclass
class Worker:
    """A simulated worker, its free capacity and the reports still on their way."""

    name: str
    domain: str
    rack: str
    capacity: Resources
    free: Resources
    report_offset: int
    attempts: dict[str, RunningAttempt] = field(default_factory=dict)
    reports: deque = field(default_factory=deque)


@dataclass
class Statistics:
    """Counters over a simulation; work and lost work are in core seconds."""

    work_by_second: dict[int, float] = field(default_factory=dict)
    lost_work: float = 0.0
    evictions: int = 0
    drained: int = 0
    missing_replica_seconds: int = 0
    service_slowdowns: list[float] = field(default_factory=list)


class SiteModel:
    """The workers of a site, advanced in steps of one second."""

    def __init__(self, size: SiteSize, seed: int) -> None:
        self.size = size
        self.random = Random(seed)
        self.now = 0
        self.statistics = Statistics()
        self.workers = [self._make_worker(n) for n in range(size.workers)]
        self.interference = self._draw_interference()
        self.usage_ratios = {
            kind: self.random.uniform(0.4, 1.0) for kind in BATCH_KINDS
        }
        self._job_count = 0

    def make_job(self, kind: str | None = None, priority: int = 0) -> Job:
        """Create a batch job, of a random kind if none is given."""
        if kind is None:
            weights = [row[3] for row in BATCH_KINDS.values()]
            kind = self.random.choices(list(BATCH_KINDS), weights)[0]
        cores, gib, seconds, _ = BATCH_KINDS[kind]
        self._job_count += 1
        return Job(
            f"{kind}-{self._job_count}",
            kind,
            Resources(cores * 1000, gib * 1024),
            TaskClass.BATCH,
            priority,
            seconds * self.random.uniform(0.5, 2.0),
        )

    def start(self, job: Job, worker: Worker) -> AttemptPlaced:
        """Start a job on a worker that has enough free capacity."""
        assert job.resources.fits_within(worker.free)
        worker.free = worker.free - job.resources
        placement = AttemptPlaced(
            job.task,
            job.attempt,
            worker.name,
            job.kind,
            job.task_class,
            job.resources,
            0,
            service=job.service,
            priority=job.priority,
        )
        worker.attempts[job.task] = RunningAttempt(job, placement, 1.0, self.now)
        return placement

    def stop(self, worker: Worker, task: str) -> bool:
        """Start to checkpoint and stop an attempt; return False if it already stops."""
        attempt = worker.attempts[task]
        if attempt.stops_at is not None:
            return False
        attempt.stops_at = self.now + STOP_SECONDS
        return True

    def step(self) -> tuple[list, list]:
        """Advance one second; return the ended attempts and the reports that arrive."""
        self.now += 1
        ended: list[tuple[Worker, RunningAttempt]] = []
        delivered: list[tuple[Worker, list[AttemptReport]]] = []
        for worker in self.workers:
            self._run_worker(worker)
            ended.extend((worker, attempt) for attempt in self._remove_ended(worker))
            if (self.now + worker.report_offset) % REPORT_INTERVAL_SECONDS == 0:
                self._queue_report(worker)
            while worker.reports and worker.reports[0][0] <= self.now:
                delivered.append((worker, worker.reports.popleft()[1]))
        return ended, delivered

    def _make_worker(self, number: int) -> Worker:
        size = self.size
        capacity = Resources(size.cores * 1000, size.memory_gib * 1024)
        domain = f"d{number % size.domains}"
        position = number // size.domains
        rack = f"{domain}-r{position // WORKERS_PER_RACK}"
        report_offset = number % REPORT_INTERVAL_SECONDS
        return Worker(f"w{number}", domain, rack, capacity, capacity, report_offset)

    def _draw_interference(self) -> dict[tuple[str, str], float]:
        kinds = [*self.size.services, *BATCH_KINDS]
        interference = {
            (a, b): self.random.uniform(0.0, 0.3) for a in kinds for b in kinds
        }
        for service in self.size.services:
            for kind in self.random.sample(list(BATCH_KINDS)[:4], 1):
                interference[service, kind] = self.random.uniform(1.5, 4.0)
            interference[service, "noisy"] = self.random.uniform(3.0, 8.0)
        for kind in self.random.sample(list(BATCH_KINDS), 2):
            interference[kind, "noisy"] = self.random.uniform(1.0, 3.0)
        return interference

    def _compute_usage(self, attempt: RunningAttempt) -> float:
        if attempt.job.service:
            wave = math.sin(self.now / 600 * 2 * math.pi)
            return attempt.job.resources.millicores * (0.4 + 0.2 * wave)
        return (
            attempt.job.resources.millicores
            * self.usage_ratios[attempt.job.kind]
            * attempt.cpu_limit_ratio
        )

    def _run_worker(self, worker: Worker) -> None:
        attempts = list(worker.attempts.values())
        usages = [self._compute_usage(attempt) for attempt in attempts]
        loads: dict[str, float] = {}
        for attempt, usage in zip(attempts, usages, strict=True):
            share = usage / worker.capacity.millicores
            loads[attempt.job.kind] = loads.get(attempt.job.kind, 0.0) + share
        for attempt, usage in zip(attempts, usages, strict=True):
            own = usage / worker.capacity.millicores
            kind = attempt.job.kind
            slowdown = sum(
                self.interference[kind, k] * load for k, load in loads.items()
            )
            attempt.slowdown = 1.0 + max(
                0.0, slowdown - self.interference[kind, kind] * own
            )
            attempt.slowdown *= self.random.gauss(1.0, 0.03)
            attempt.slowdown_sum += attempt.slowdown
            attempt.usage_sum += usage
            attempt.window_seconds += 1
            self._advance_attempt(attempt)

    def _advance_attempt(self, attempt: RunningAttempt) -> None:
        job = attempt.job
        if job.service:
            self.statistics.service_slowdowns.append(attempt.slowdown)
            return
        if attempt.stops_at is not None:
            return
        gain = min(
            attempt.cpu_limit_ratio / max(1.0, attempt.slowdown),
            job.run_seconds - job.done_seconds,
        )
        job.done_seconds += gain
        work = gain * job.resources.millicores / 1000
        self.statistics.work_by_second[self.now] = (
            self.statistics.work_by_second.get(self.now, 0.0) + work
        )
        if (self.now - attempt.started_at) % CHECKPOINT_INTERVAL_SECONDS == 0:
            self._save_checkpoint(job)

    def _remove_ended(self, worker: Worker) -> list[RunningAttempt]:
        ended = []
        for attempt in list(worker.attempts.values()):
            finished = (
                not attempt.job.service
                and attempt.job.done_seconds >= attempt.job.run_seconds
            )
            stopped = attempt.stops_at is not None and self.now >= attempt.stops_at
            if finished or stopped:
                if not finished:
                    self._save_or_lose_progress(attempt.job)
                del worker.attempts[attempt.job.task]
                worker.free = worker.free + attempt.job.resources
                ended.append(attempt)
        return ended

    def _save_or_lose_progress(self, job: Job) -> None:
        if self.random.random() >= CHECKPOINT_FAILURE_RATIO:
            self._save_checkpoint(job)
            return
        lost_work = (
            (job.done_seconds - job.saved_seconds) * job.resources.millicores / 1000
        )
        job.done_seconds = job.saved_seconds
        self.statistics.lost_work += lost_work
        self.statistics.work_by_second[self.now] = (
            self.statistics.work_by_second.get(self.now, 0.0) - lost_work
        )

    def _save_checkpoint(self, job: Job) -> None:
        job.saved_seconds = job.done_seconds
        job.checkpoint = f"{job.task}@{self.now}"

    def _queue_report(self, worker: Worker) -> None:
        reports = []
        for attempt in worker.attempts.values():
            reports.append(
                AttemptReport(
                    task=attempt.job.task,
                    attempt=attempt.job.attempt,
                    checkpoint=attempt.job.checkpoint,
                    usage=Resources(round(attempt.usage_sum / attempt.window_seconds)),
                    slowdown=attempt.slowdown_sum / attempt.window_seconds,
                    usage_age=float(REPORT_DELAY_SECONDS),
                )
            )
            attempt.slowdown_sum = attempt.usage_sum = 0.0
            attempt.window_seconds = 0
        worker.reports.append((self.now + REPORT_DELAY_SECONDS, reports))
