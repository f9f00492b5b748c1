"""Placement policies against their baselines, on a compact model of one site.

Run with ``python -m bench.placement_policies --site kruczek --scenario leave``.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from statistics import median

from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass, TaskState
from plantainhinge.placement.assignment import (
    AssignmentPolicy,
    AssignmentTables,
    SiteState,
    plan_assignments,
)
from plantainhinge.placement.cells import CellResources
from plantainhinge.placement.drain import DRAIN_POLICIES, DrainingAttempt
from plantainhinge.placement.mitigation import Evict
from plantainhinge.placement.occupancy import OccupancyTable
from plantainhinge.placement.preemption import (
    PreemptibleAttempt,
    PreemptibleWorker,
    plan_preemption,
)
from plantainhinge.placement.queue import Shape, WaitingQueue
from plantainhinge.placement.quotas import QuotaUsage
from plantainhinge.placement.ramp import RampLimits, RampTable
from plantainhinge.placement.replicas import ReplicaRow, plan_replicas
from plantainhinge.placement.reports import (
    learn_from_report,
    plan_mitigation,
    record_end,
)
from plantainhinge.placement.scores import Demand, hash_to_fraction
from plantainhinge.placement.workers import (
    CellPolicy,
    CellTables,
    WorkerResources,
    choose_worker,
)

from .placement_model import SITES, Job, Model

WARM_SECONDS = 900
LEAVE_AT, RETURN_AT, END_AT = 1500, 2100, 2700
WAVE_AT, WAVE_END = 900, 1500
BACKLOG = 150
PREEMPTIONS = 8
TEAM = "t"
PLENTY = Resources(10**9, 10**9, 10**9)
NO_RAMP = RampLimits(ramp_seconds=0.0)


@dataclass(frozen=True)
class Variant:
    """A policy, or a baseline that lacks a part of it."""

    cell: CellPolicy
    assignment: AssignmentPolicy
    ramp: RampLimits = RampLimits()
    surge: bool = True
    preempt: bool = True


POLICY = Variant(CellPolicy(), AssignmentPolicy())
VARIANTS = {
    "policy": POLICY,
    "policy, half headroom": replace(
        POLICY, assignment=AssignmentPolicy(headroom_share=0.5)
    ),
    "policy, no headroom": replace(
        POLICY, assignment=AssignmentPolicy(headroom_share=0.0)
    ),
    "no model": replace(
        POLICY, cell=CellPolicy(model="none", mitigation="evict-on-harm")
    ),
    "no model, throttle": replace(POLICY, cell=CellPolicy(model="none")),
    "least loaded": Variant(
        CellPolicy("least-loaded", "none", "evict-on-harm", "at-once"),
        AssignmentPolicy(choice="most-free", headroom_share=0.0, preempts=False),
        NO_RAMP,
        surge=False,
        preempt=False,
    ),
    "first fit": Variant(
        CellPolicy("first-fit", "none", "evict-on-harm", "at-once"),
        AssignmentPolicy(choice="first-fit", headroom_share=0.0, preempts=False),
        NO_RAMP,
        surge=False,
        preempt=False,
    ),
}


@dataclass
class Cell:
    """One cell's tables."""

    tables: CellTables = field(default_factory=CellTables)
    occupancy: OccupancyTable = field(default_factory=OccupancyTable)


class Run:
    """One variant on one seeded site."""

    def __init__(self, site: str, variant: Variant, scenario: str, seed: int) -> None:
        self.model = Model(SITES[site], seed)
        self.variant = variant
        self.scenario = scenario
        self.domains = sorted({w.domain for w in self.model.workers})
        self.cells = {domain: Cell() for domain in self.domains}
        self.queue = WaitingQueue()
        self.jobs: dict[str, Job] = {}
        self.where: dict[str, str] = {}
        self.ledger = AssignmentTables(ramp=RampTable(variant.ramp))
        self.indexes = dict.fromkeys(self.model.size.services, 0)
        self.by_name = {w.name: w for w in self.model.workers}

    def run(self) -> dict[str, float]:
        """Run the scenario; return what it is judged by."""
        steady_slow = 0
        while self.model.now < END_AT:
            if self.model.now == WARM_SECONDS:
                steady_slow = len(self.model.tally.slowdowns)
                self.model.tally.evictions = self.model.tally.drained = 0
                self.model.tally.lost = 0.0
                self.model.tally.missing = 0
            self._step()
        return self._judge(steady_slow)

    def _step(self) -> None:
        self._declare()
        self._supply()
        self._assign()
        self._drain()
        ended, told = self.model.step()
        for worker, row in ended:
            self._take_end(worker, row)
        for worker, reports in told:
            self._take_reports(worker, reports)

    def _list_in(self) -> list[str]:
        out = LEAVE_AT <= self.model.now < RETURN_AT and self.scenario == "leave"
        return self.domains[1:] if out else self.domains

    def _supply(self) -> None:
        while len(self.queue) < BACKLOG:
            self._submit(self.model.make_job())
        wave = self.scenario == "wave" and WAVE_AT <= self.model.now < WAVE_END
        if wave and self.model.now % 3 == 0:
            self._submit(self.model.make_job("noisy", priority=5))

    def _submit(self, job: Job) -> None:
        self.jobs[job.task] = job
        self.queue.add(job.task, make_shape(job), float(self.model.now))

    def _declare(self) -> None:
        for service, (count, cores) in self.model.size.services.items():
            rows = [
                ReplicaRow(
                    job.task, int(job.task.split("/")[1]), state, self._find_cell(job)
                )
                for job in self.jobs.values()
                if job.service == service
                for state in [
                    TaskState.WAITING if job.task in self.queue else TaskState.ASSIGNED
                ]
            ]
            cells_in = self._list_in() if self.variant.surge else self.domains
            plan = plan_replicas(rows, count, cells_in)
            for _ in range(plan.add):
                self._submit(self._make_replica(service, cores))
            for task in plan.cancel:
                self._cancel(task)
            present = sum(job.service == service for job in self.jobs.values())
            waiting = sum(
                self.jobs[t].service == service
                for t in self.queue
                if self.jobs[t].service
            )
            self.model.tally.missing += max(0, count - (present - waiting))

    def _make_replica(self, service: str, cores: int) -> Job:
        index = self.indexes[service]
        self.indexes[service] += 1
        need = Resources(cores * 1000, cores * 2048)
        critical = TaskClass.LATENCY_CRITICAL
        return Job(
            f"{service}/{index}", service, need, critical, 10**6, 0, service=service
        )

    def _cancel(self, task: str) -> None:
        if task in self.queue:
            self.queue.remove(task)
            del self.jobs[task]
        else:
            self.model.stop(self.by_name[self.where[task]], task)

    def _find_cell(self, job: Job) -> str | None:
        name = self.where.get(job.task)
        return self.by_name[name].domain if name else None

    def _assign(self) -> None:
        domains_in = self._list_in()
        rooms = {d: self._digest(d) for d in domains_in}
        replicas: dict = {}
        for job in self.jobs.values():
            if job.service and job.task in self.where:
                key = (job.service, self._find_cell(job))
                replicas[key] = replicas.get(key, 0) + 1
        now = float(self.model.now)
        short = frozenset("r") if len(domains_in) < len(self.domains) else frozenset()
        site = SiteState(
            rooms,
            {TEAM: PLENTY},
            QuotaUsage(),
            replicas,
            now,
            now,
            degraded_regions=short,
        )
        for step in plan_assignments(
            self.queue, site, self.ledger, self.variant.assignment
        ):
            self._offer(self.jobs[step.task], step.cell)

    def _digest(self, domain: str) -> CellResources:
        workers = [w for w in self.model.workers if w.domain == domain]
        critical = sum(
            (
                row.job.resources
                for w in workers
                for row in w.running.values()
                if row.job.service
            ),
            Resources(),
        )
        return CellResources(
            domain,
            "r",
            sum((w.free for w in workers), Resources()),
            Resources(
                max(w.free.millicores for w in workers),
                max(w.free.memory_mib for w in workers),
            ),
            sum((w.capacity for w in workers), Resources()),
            critical,
        )

    def _offer(self, job: Job, domain: str) -> None:
        cell = self.cells[domain]
        now = float(self.model.now)
        rooms = [
            WorkerResources(w.name, w.rack, w.capacity, w.free)
            for w in self.model.workers
            if w.domain == domain
        ]
        draw = hash_to_fraction(job.task, job.attempt)
        demand = Demand(job.kind, job.resources, job.task_class, job.service, draw)
        name = choose_worker(
            rooms, demand, cell.occupancy, cell.tables, self.variant.cell, now
        )
        if name is None:
            if job.service and self.variant.preempt:
                self._preempt(job, domain)
            else:
                self.ledger.backoff.record_decline(domain, job.resources, now)
            return
        self.queue.remove(job.task)
        job.attempt += 1
        self.where[job.task] = name
        worker = self.by_name[name]
        placed = self.model.start(job, worker)
        cell.occupancy.add(placed, worker.rack)
        cell.tables.changes.record_arrival(name, job.task, now)

    def _preempt(self, job: Job, domain: str) -> None:
        rooms = []
        for worker in self.model.workers:
            if worker.domain != domain:
                continue
            batch = [r for r in worker.running.values() if not r.job.service]
            stopping = [r.job.resources for r in batch if r.stops_at is not None]
            if stopping:
                continue
            rows = [
                PreemptibleAttempt(
                    r.job.task,
                    r.job.attempt,
                    r.job.priority,
                    r.job.resources,
                    r.job.done - r.job.saved,
                )
                for r in batch
            ]
            rooms.append(PreemptibleWorker(worker.name, worker.free, rows))
        plan = plan_preemption(
            rooms, job.resources, below_priority=job.priority, max_victims=PREEMPTIONS
        )
        for victim in plan.victims if plan else ():
            self._evict(self.by_name[plan.worker], victim.task)

    def _evict(self, worker, task: str) -> None:
        if self.model.stop(worker, task):
            self.model.tally.evictions += 1

    def _drain(self) -> None:
        now = float(self.model.now)
        for domain in self.domains:
            cell = self.cells[domain]
            is_out = domain not in self._list_in()
            cell.tables.drain.update(is_out, now)
            if not is_out:
                continue
            workers = [w for w in self.model.workers if w.domain == domain]
            rows = [
                DrainingAttempt(
                    r.job.task,
                    r.job.attempt,
                    r.job.task_class,
                    r.job.priority,
                    r.job.resources,
                )
                for w in workers
                for r in w.running.values()
                if r.stops_at is None
            ]
            room = sum((self._digest(d).free for d in self._list_in()), Resources())
            stop = DRAIN_POLICIES.find(self.variant.cell.drain)
            for task in stop(rows, room, cell.tables.drain, now):
                self.model.stop(self.by_name[self.where[task]], task)
                self.model.tally.drained += 1

    def _take_end(self, worker, row) -> None:
        cell = self.cells[worker.domain]
        job = row.job
        cell.occupancy.remove(row.placed, worker.rack)
        record_end(row.placed, worker.capacity, cell.tables, float(self.model.now))
        del self.where[job.task]
        if job.done >= job.run_seconds and not job.service:
            del self.jobs[job.task]
        else:
            self.queue.add(job.task, make_shape(job), 0.0)

    def _take_reports(self, worker, reports) -> None:
        cell = self.cells[worker.domain]
        now = float(self.model.now)
        placed = {
            task: row.placed
            for task, row in worker.running.items()
            if row.stops_at is None
        }
        args = (worker.name, worker.capacity, reports, placed)
        learn_from_report(*args, cell.tables, now)
        policy = self.variant.cell
        for step in plan_mitigation(*args, cell.occupancy, cell.tables, policy, now):
            if isinstance(step, Evict):
                self._evict(worker, step.task)
            else:
                row = worker.running[step.task]
                row.limit = step.millicores / row.job.resources.millicores

    def _judge(self, steady_slow: int) -> dict[str, float]:
        tally = self.model.tally
        slow = sorted(tally.slowdowns[steady_slow:])
        span = (LEAVE_AT, RETURN_AT + 300) if self.scenario == "leave" else (900, 1800)
        work = sum(w for t, w in tally.work.items() if span[0] <= t < span[1])
        before = sum(w for t, w in tally.work.items() if 1200 <= t < LEAVE_AT) / 300
        return {
            "work": work,
            "rate before": before,
            "evictions": tally.evictions,
            "drained": tally.drained,
            "lost": tally.lost,
            "missing": tally.missing,
            "p50": slow[len(slow) // 2],
            "p99": slow[int(len(slow) * 0.99)],
        }


def make_shape(job: Job) -> Shape:
    """Return the shape of a job of the model."""
    return Shape(
        TEAM,
        job.kind,
        job.resources,
        job.task_class,
        job.service,
        job.priority,
        bool(job.service),
    )


def find_batch_cores(site: str, out: int) -> float:
    """Return the cores that services leave with ``out`` domains away."""
    size = SITES[site]
    away = len(range(0, size.workers, size.domains)) * out
    services = sum(count * cores for count, cores in size.services.values())
    return (size.workers - away) * size.cores - services


def run_one(arguments: tuple[str, str, str, int]) -> dict[str, float]:
    """Run one variant on one seed."""
    site, name, scenario, seed = arguments
    return Run(site, VARIANTS[name], scenario, seed).run()


def main() -> None:
    """Run all variants over the seeds and print medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(SITES), default="kruczek")
    parser.add_argument("--scenario", choices=["leave", "wave"], default="leave")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--variants", nargs="*", default=list(VARIANTS))
    options = parser.parse_args()
    jobs = [
        (options.site, name, options.scenario, seed)
        for name in options.variants
        for seed in range(options.seeds)
    ]
    with ProcessPoolExecutor(3) as pool:
        results = dict(zip(jobs, pool.map(run_one, jobs), strict=True))
    print_table(options, results)


def print_table(options: argparse.Namespace, results: dict) -> None:
    """Print the medians; ``allowed`` is what the remaining capacity allows.

    That is the best rate before the leave, of any variant on the same seed, a core
    left to batch work, times the cores left to batch work over the span.
    """
    site = options.site
    full, less = find_batch_cores(site, 0), find_batch_cores(site, 1)
    core_seconds = 600 * less + 300 * full
    columns = ("evictions", "drained", "lost", "missing", "p50", "p99")
    print(f"{site}, {options.scenario}, medians of {options.seeds} seeds")
    print(
        f"{'variant':24}{'work':>9}{'allowed':>9}"
        + "".join(f"{c:>10}" for c in columns)
    )
    for name in options.variants:
        rows = [
            results[site, name, options.scenario, seed] for seed in range(options.seeds)
        ]
        shares = []
        for seed, row in enumerate(rows):
            best = max(
                results[site, n, options.scenario, seed]["rate before"]
                for n in options.variants
            )
            shares.append(row["work"] / (best / full * core_seconds))
        share = f"{median(shares):9.3f}" if options.scenario == "leave" else f"{'':9}"
        values = "".join(f"{median(r[c] for r in rows):10.2f}" for c in columns)
        print(f"{name:24}{median(r['work'] for r in rows):9.0f}{share}{values}")


if __name__ == "__main__":
    main()
