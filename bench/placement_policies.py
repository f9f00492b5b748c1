"""Compares placement policies with baselines, on a simulation of one site.

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

from .placement_model import SITES, Job, SiteModel

WARM_UP_SECONDS = 900
# Moments of simulated time. The first failure domain goes out and comes back in
# scenario "leave"; more urgent, interfering jobs arrive in scenario "wave".
DOMAIN_OUT_SECONDS, DOMAIN_BACK_SECONDS, END_SECONDS = 1500, 2100, 2700
WAVE_START_SECONDS, WAVE_END_SECONDS = 900, 1500
# The queue is refilled to this length, so that there is always batch work to place.
QUEUED_JOBS_MIN = 150
MAX_VICTIMS = 8
TEAM = "t"
UNLIMITED = Resources(10**9, 10**9, 10**9)
NO_RAMP = RampLimits(ramp_seconds=0.0)


@dataclass(frozen=True)
class Variant:
    """The placement policy, or a baseline with some of its parts turned off.

    Parameters
    ----------
    surge : bool
        Whether replicas lost with a failure domain are made up for in the others.
    preempt : bool
        Whether replicas that find no free capacity evict batch work.
    """

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
    """What the scheduler of one cell has learned and placed."""

    tables: CellTables = field(default_factory=CellTables)
    occupancy: OccupancyTable = field(default_factory=OccupancyTable)


class Simulation:
    """One variant on a site whose workload and interference come from a seed."""

    def __init__(self, site: str, variant: Variant, scenario: str, seed: int) -> None:
        self.model = SiteModel(SITES[site], seed)
        self.variant = variant
        self.scenario = scenario
        self.domains = sorted({w.domain for w in self.model.workers})
        self.cells = {domain: Cell() for domain in self.domains}
        self.queue = WaitingQueue()
        self.jobs: dict[str, Job] = {}
        self.worker_names: dict[str, str] = {}
        self.assignment_tables = AssignmentTables(ramp=RampTable(variant.ramp))
        self.next_replica_indexes = dict.fromkeys(self.model.size.services, 0)
        self.workers_by_name = {w.name: w for w in self.model.workers}

    def run(self) -> dict[str, float]:
        """Run the scenario to its end; return the measured figures by name."""
        warm_up_samples = 0
        while self.model.now < END_SECONDS:
            if self.model.now == WARM_UP_SECONDS:
                warm_up_samples = len(self.model.statistics.service_slowdowns)
                self.model.statistics.evictions = self.model.statistics.drained = 0
                self.model.statistics.lost_work = 0.0
                self.model.statistics.missing_replica_seconds = 0
            self._step()
        return self._compute_results(warm_up_samples)

    def _step(self) -> None:
        self._reconcile_replicas()
        self._submit_jobs()
        self._assign()
        self._drain()
        ended, delivered = self.model.step()
        for worker, attempt in ended:
            self._handle_end(worker, attempt)
        for worker, reports in delivered:
            self._handle_reports(worker, reports)

    def _list_domains_in(self) -> list[str]:
        is_out = (
            DOMAIN_OUT_SECONDS <= self.model.now < DOMAIN_BACK_SECONDS
            and self.scenario == "leave"
        )
        return self.domains[1:] if is_out else self.domains

    def _submit_jobs(self) -> None:
        while len(self.queue) < QUEUED_JOBS_MIN:
            self._submit(self.model.make_job())
        wave = (
            self.scenario == "wave"
            and WAVE_START_SECONDS <= self.model.now < WAVE_END_SECONDS
        )
        if wave and self.model.now % 3 == 0:
            self._submit(self.model.make_job("noisy", priority=5))

    def _submit(self, job: Job) -> None:
        self.jobs[job.task] = job
        self.queue.add(job.task, make_shape(job), float(self.model.now))

    def _reconcile_replicas(self) -> None:
        for service, (count, cores) in self.model.size.services.items():
            rows = [
                ReplicaRow(
                    job.task, int(job.task.split("/")[1]), state, self._get_domain(job)
                )
                for job in self.jobs.values()
                if job.service == service
                for state in [
                    TaskState.WAITING if job.task in self.queue else TaskState.ASSIGNED
                ]
            ]
            cells_in = self._list_domains_in() if self.variant.surge else self.domains
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
            self.model.statistics.missing_replica_seconds += max(
                0, count - (present - waiting)
            )

    def _make_replica(self, service: str, cores: int) -> Job:
        index = self.next_replica_indexes[service]
        self.next_replica_indexes[service] += 1
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
            self.model.stop(self.workers_by_name[self.worker_names[task]], task)

    def _get_domain(self, job: Job) -> str | None:
        name = self.worker_names.get(job.task)
        return self.workers_by_name[name].domain if name else None

    def _assign(self) -> None:
        domains_in = self._list_domains_in()
        cells = {d: self._summarize_cell(d) for d in domains_in}
        replicas: dict = {}
        for job in self.jobs.values():
            if job.service and job.task in self.worker_names:
                key = (job.service, self._get_domain(job))
                replicas[key] = replicas.get(key, 0) + 1
        now = float(self.model.now)
        degraded = (
            frozenset("r") if len(domains_in) < len(self.domains) else frozenset()
        )
        site = SiteState(
            cells,
            {TEAM: UNLIMITED},
            QuotaUsage(),
            replicas,
            now,
            now,
            degraded_regions=degraded,
        )
        for step in plan_assignments(
            self.queue, site, self.assignment_tables, self.variant.assignment
        ):
            self._place(self.jobs[step.task], step.cell)

    def _summarize_cell(self, domain: str) -> CellResources:
        workers = [w for w in self.model.workers if w.domain == domain]
        critical = sum(
            (
                attempt.job.resources
                for w in workers
                for attempt in w.attempts.values()
                if attempt.job.service
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

    def _place(self, job: Job, domain: str) -> None:
        cell = self.cells[domain]
        now = float(self.model.now)
        workers = [
            WorkerResources(w.name, w.rack, w.capacity, w.free)
            for w in self.model.workers
            if w.domain == domain
        ]
        draw = hash_to_fraction(job.task, job.attempt)
        demand = Demand(job.kind, job.resources, job.task_class, job.service, draw)
        name = choose_worker(
            workers, demand, cell.occupancy, cell.tables, self.variant.cell, now
        )
        if name is None:
            if job.service and self.variant.preempt:
                self._preempt(job, domain)
            else:
                self.assignment_tables.backoff.record_decline(
                    domain, job.resources, now
                )
            return
        self.queue.remove(job.task)
        job.attempt += 1
        self.worker_names[job.task] = name
        worker = self.workers_by_name[name]
        placement = self.model.start(job, worker)
        cell.occupancy.add(placement, worker.rack)
        cell.tables.changes.record_arrival(name, job.task, now)

    def _preempt(self, job: Job, domain: str) -> None:
        candidates = []
        for worker in self.model.workers:
            if worker.domain != domain:
                continue
            batch = [r for r in worker.attempts.values() if not r.job.service]
            stopping = [r.job.resources for r in batch if r.stops_at is not None]
            if stopping:
                continue
            rows = [
                PreemptibleAttempt(
                    r.job.task,
                    r.job.attempt,
                    r.job.priority,
                    r.job.resources,
                    r.job.done_seconds - r.job.saved_seconds,
                )
                for r in batch
            ]
            candidates.append(PreemptibleWorker(worker.name, worker.free, rows))
        plan = plan_preemption(
            candidates,
            job.resources,
            below_priority=job.priority,
            max_victims=MAX_VICTIMS,
        )
        for victim in plan.victims if plan else ():
            self._evict(self.workers_by_name[plan.worker], victim.task)

    def _evict(self, worker, task: str) -> None:
        if self.model.stop(worker, task):
            self.model.statistics.evictions += 1

    def _drain(self) -> None:
        now = float(self.model.now)
        for domain in self.domains:
            cell = self.cells[domain]
            is_out = domain not in self._list_domains_in()
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
                for r in w.attempts.values()
                if r.stops_at is None
            ]
            free = sum(
                (self._summarize_cell(d).free for d in self._list_domains_in()),
                Resources(),
            )
            select = DRAIN_POLICIES.find(self.variant.cell.drain)
            for task in select(rows, free, cell.tables.drain, now):
                self.model.stop(self.workers_by_name[self.worker_names[task]], task)
                self.model.statistics.drained += 1

    def _handle_end(self, worker, attempt) -> None:
        cell = self.cells[worker.domain]
        job = attempt.job
        cell.occupancy.remove(attempt.placement, worker.rack)
        record_end(
            attempt.placement, worker.capacity, cell.tables, float(self.model.now)
        )
        del self.worker_names[job.task]
        if job.done_seconds >= job.run_seconds and not job.service:
            del self.jobs[job.task]
        else:
            self.queue.add(job.task, make_shape(job), 0.0)

    def _handle_reports(self, worker, reports) -> None:
        cell = self.cells[worker.domain]
        now = float(self.model.now)
        placements = {
            task: attempt.placement
            for task, attempt in worker.attempts.items()
            if attempt.stops_at is None
        }
        args = (worker.name, worker.capacity, reports, placements)
        learn_from_report(*args, cell.tables, now)
        policy = self.variant.cell
        for step in plan_mitigation(*args, cell.occupancy, cell.tables, policy, now):
            if isinstance(step, Evict):
                self._evict(worker, step.task)
            else:
                attempt = worker.attempts[step.task]
                attempt.cpu_limit_ratio = (
                    step.millicores / attempt.job.resources.millicores
                )

    def _compute_results(self, warm_up_samples: int) -> dict[str, float]:
        statistics = self.model.statistics
        slowdowns = sorted(statistics.service_slowdowns[warm_up_samples:])
        span = (
            (DOMAIN_OUT_SECONDS, DOMAIN_BACK_SECONDS + 300)
            if self.scenario == "leave"
            else (900, 1800)
        )
        work = sum(
            w for t, w in statistics.work_by_second.items() if span[0] <= t < span[1]
        )
        rate_before = (
            sum(
                w
                for t, w in statistics.work_by_second.items()
                if 1200 <= t < DOMAIN_OUT_SECONDS
            )
            / 300
        )
        return {
            "work": work,
            "rate before": rate_before,
            "evictions": statistics.evictions,
            "drained": statistics.drained,
            "lost": statistics.lost_work,
            "missing": statistics.missing_replica_seconds,
            "p50": slowdowns[len(slowdowns) // 2],
            "p99": slowdowns[int(len(slowdowns) * 0.99)],
        }


def make_shape(job: Job) -> Shape:
    """Return the properties of a simulated job that its assignment depends on."""
    return Shape(
        TEAM,
        job.kind,
        job.resources,
        job.task_class,
        job.service,
        job.priority,
        bool(job.service),
    )


def compute_batch_cores(site: str, domains_out: int) -> float:
    """Return the cores left to batch work while ``domains_out`` domains are out."""
    size = SITES[site]
    workers_out = len(range(0, size.workers, size.domains)) * domains_out
    services = sum(count * cores for count, cores in size.services.values())
    return (size.workers - workers_out) * size.cores - services


def run_simulation(arguments: tuple[str, str, str, int]) -> dict[str, float]:
    """Run one simulation in a worker process of the pool."""
    site, name, scenario, seed = arguments
    return Simulation(site, VARIANTS[name], scenario, seed).run()


def main() -> None:
    """Run each variant with each seed and print the medians."""
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
        results = dict(zip(jobs, pool.map(run_simulation, jobs), strict=True))
    print_table(options, results)


def print_table(options: argparse.Namespace, results: dict) -> None:
    """Print the medians of each variant over the seeds.

    ``allowed`` is the batch work done, as a share of what the remaining capacity
    allows. That capacity is the best rate per batch core of any variant with the same
    seed before the failure domain goes out, times the core seconds left to batch work.
    """
    site = options.site
    all_cores, fewer_cores = compute_batch_cores(site, 0), compute_batch_cores(site, 1)
    core_seconds = 600 * fewer_cores + 300 * all_cores
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
            shares.append(row["work"] / (best / all_cores * core_seconds))
        share = f"{median(shares):9.3f}" if options.scenario == "leave" else f"{'':9}"
        values = "".join(f"{median(r[c] for r in rows):10.2f}" for c in columns)
        print(f"{name:24}{median(r['work'] for r in rows):9.0f}{share}{values}")


if __name__ == "__main__":
    main()
