"""A compact step model of one site, which feeds the placement policies.

Each worker slows its tasks down by a hidden pairwise table; reports lag. The model
holds no daemon, network or log: one ledger and its cells decide once a second.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from plantainhinge.core.messages import AttemptReport
from plantainhinge.core.records import AttemptPlaced
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass

WINDOW_SECONDS = 5
LAG_SECONDS = 3
CHECKPOINT_SECONDS = 120
STOP_SECONDS = 2
CHECKPOINT_FAILS = 0.1
WORKERS_PER_RACK = 8


@dataclass(frozen=True)
class SiteSize:
    """How large a site is and what it runs."""

    name: str
    workers: int
    domains: int
    cores: int
    memory_gib: int
    services: dict[str, tuple[int, int]]


KRUCZEK = SiteSize("kruczek", 35, 4, 64, 250, {"reader": (18, 12), "author": (12, 8)})
LOCHBRAE = SiteSize("lochbrae", 25, 3, 30, 125, {"lookup": (18, 6), "licence": (6, 4)})
SITES = {site.name: site for site in (KRUCZEK, LOCHBRAE)}

# Cores, GiB, seconds and share of the jobs of each batch kind.
BATCH_KINDS = {
    "index": (2, 8, 240, 0.35),
    "tag": (4, 8, 400, 0.25),
    "check": (1, 4, 120, 0.2),
    "translate": (6, 24, 1200, 0.12),
    "noisy": (4, 8, 300, 0.08),
}


@dataclass
class Job:
    """A task with its progress in seconds of running alone."""

    task: str
    kind: str
    resources: Resources
    task_class: TaskClass
    priority: int
    run_seconds: float
    done: float = 0.0
    saved: float = 0.0
    checkpoint: str = ""
    attempt: int = 0
    service: str = ""


@dataclass
class Running:
    """An attempt on a worker, with sums over the window that is being measured."""

    job: Job
    placed: AttemptPlaced
    limit: float
    since: int
    stops_at: int | None = None
    slowdown: float = 1.0
    slowdown_sum: float = 0.0
    usage_sum: float = 0.0
    seconds: int = 0


@dataclass
class Worker:
    """One worker of the model."""

    name: str
    domain: str
    rack: str
    capacity: Resources
    free: Resources
    offset: int
    running: dict[str, Running] = field(default_factory=dict)
    reports: deque = field(default_factory=deque)


@dataclass
class Tally:
    """What a run is judged by."""

    work: dict[int, float] = field(default_factory=dict)
    lost: float = 0.0
    evictions: int = 0
    drained: int = 0
    missing: int = 0
    slowdowns: list[float] = field(default_factory=list)


class Model:
    """The site's workers, stepped once a second."""

    def __init__(self, size: SiteSize, seed: int) -> None:
        self.size = size
        self.random = Random(seed)
        self.now = 0
        self.tally = Tally()
        self.workers = [self._make_worker(n) for n in range(size.workers)]
        self.hidden = self._draw_hidden()
        self.use_share = {kind: self.random.uniform(0.4, 1.0) for kind in BATCH_KINDS}
        self._count = 0

    def make_job(self, kind: str | None = None, priority: int = 0) -> Job:
        """Return a new batch job of a random or given kind."""
        if kind is None:
            weights = [row[3] for row in BATCH_KINDS.values()]
            kind = self.random.choices(list(BATCH_KINDS), weights)[0]
        cores, gib, seconds, _ = BATCH_KINDS[kind]
        self._count += 1
        return Job(
            f"{kind}-{self._count}",
            kind,
            Resources(cores * 1000, gib * 1024),
            TaskClass.BATCH,
            priority,
            seconds * self.random.uniform(0.5, 2.0),
        )

    def start(self, job: Job, worker: Worker) -> AttemptPlaced:
        """Run a job on a worker that has room for it."""
        assert job.resources.fits_within(worker.free)
        worker.free = worker.free - job.resources
        placed = AttemptPlaced(
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
        worker.running[job.task] = Running(job, placed, 1.0, self.now)
        return placed

    def stop(self, worker: Worker, task: str) -> bool:
        """Begin to checkpoint and stop an attempt; return whether it is news."""
        row = worker.running[task]
        if row.stops_at is not None:
            return False
        row.stops_at = self.now + STOP_SECONDS
        return True

    def step(self) -> tuple[list, list]:
        """Advance one second; return the ended attempts and the reports told."""
        self.now += 1
        ended: list[tuple[Worker, Running]] = []
        told: list[tuple[Worker, list[AttemptReport]]] = []
        for worker in self.workers:
            self._run(worker)
            ended.extend((worker, row) for row in self._end(worker))
            if (self.now + worker.offset) % WINDOW_SECONDS == 0:
                self._measure(worker)
            while worker.reports and worker.reports[0][0] <= self.now:
                told.append((worker, worker.reports.popleft()[1]))
        return ended, told

    def _make_worker(self, number: int) -> Worker:
        size = self.size
        capacity = Resources(size.cores * 1000, size.memory_gib * 1024)
        domain = f"d{number % size.domains}"
        place = number // size.domains
        rack = f"{domain}-r{place // WORKERS_PER_RACK}"
        offset = number % WINDOW_SECONDS
        return Worker(f"w{number}", domain, rack, capacity, capacity, offset)

    def _draw_hidden(self) -> dict[tuple[str, str], float]:
        kinds = [*self.size.services, *BATCH_KINDS]
        hidden = {(a, b): self.random.uniform(0.0, 0.3) for a in kinds for b in kinds}
        for service in self.size.services:
            for kind in self.random.sample(list(BATCH_KINDS)[:4], 1):
                hidden[service, kind] = self.random.uniform(1.5, 4.0)
            hidden[service, "noisy"] = self.random.uniform(3.0, 8.0)
        for kind in self.random.sample(list(BATCH_KINDS), 2):
            hidden[kind, "noisy"] = self.random.uniform(1.0, 3.0)
        return hidden

    def _find_usage(self, row: Running) -> float:
        if row.job.service:
            wave = math.sin(self.now / 600 * 2 * math.pi)
            return row.job.resources.millicores * (0.4 + 0.2 * wave)
        return row.job.resources.millicores * self.use_share[row.job.kind] * row.limit

    def _run(self, worker: Worker) -> None:
        rows = list(worker.running.values())
        usages = [self._find_usage(row) for row in rows]
        loads: dict[str, float] = {}
        for row, usage in zip(rows, usages, strict=True):
            share = usage / worker.capacity.millicores
            loads[row.job.kind] = loads.get(row.job.kind, 0.0) + share
        for row, usage in zip(rows, usages, strict=True):
            own = usage / worker.capacity.millicores
            kind = row.job.kind
            slowdown = sum(self.hidden[kind, k] * load for k, load in loads.items())
            row.slowdown = 1.0 + max(0.0, slowdown - self.hidden[kind, kind] * own)
            row.slowdown *= self.random.gauss(1.0, 0.03)
            row.slowdown_sum += row.slowdown
            row.usage_sum += usage
            row.seconds += 1
            self._advance(row)

    def _advance(self, row: Running) -> None:
        job = row.job
        if job.service:
            self.tally.slowdowns.append(row.slowdown)
            return
        if row.stops_at is not None:
            return
        gain = min(row.limit / max(1.0, row.slowdown), job.run_seconds - job.done)
        job.done += gain
        work = gain * job.resources.millicores / 1000
        self.tally.work[self.now] = self.tally.work.get(self.now, 0.0) + work
        if (self.now - row.since) % CHECKPOINT_SECONDS == 0:
            self._save(job)

    def _end(self, worker: Worker) -> list[Running]:
        ended = []
        for row in list(worker.running.values()):
            finished = not row.job.service and row.job.done >= row.job.run_seconds
            stopped = row.stops_at is not None and self.now >= row.stops_at
            if finished or stopped:
                if not finished:
                    self._lose(row.job)
                del worker.running[row.job.task]
                worker.free = worker.free + row.job.resources
                ended.append(row)
        return ended

    def _lose(self, job: Job) -> None:
        if self.random.random() >= CHECKPOINT_FAILS:
            self._save(job)
            return
        lost = (job.done - job.saved) * job.resources.millicores / 1000
        job.done = job.saved
        self.tally.lost += lost
        self.tally.work[self.now] = self.tally.work.get(self.now, 0.0) - lost

    def _save(self, job: Job) -> None:
        job.saved = job.done
        job.checkpoint = f"{job.task}@{self.now}"

    def _measure(self, worker: Worker) -> None:
        reports = []
        for row in worker.running.values():
            reports.append(
                AttemptReport(
                    task=row.job.task,
                    attempt=row.job.attempt,
                    checkpoint=row.job.checkpoint,
                    usage=Resources(round(row.usage_sum / row.seconds)),
                    slowdown=row.slowdown_sum / row.seconds,
                    usage_age=float(LAG_SECONDS),
                )
            )
            row.slowdown_sum = row.usage_sum = 0.0
            row.seconds = 0
        worker.reports.append((self.now + LAG_SECONDS, reports))
