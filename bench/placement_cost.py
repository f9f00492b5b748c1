"""Measures the processor time of one placement decision as the site grows.

Run with ``python -m bench.placement_cost``. Scale 1 is the larger of the two present
sites: 35 workers in 4 failure domains, 14 tasks per worker and 300 waiting tasks.
"""

import argparse
import math
from itertools import count
from random import Random
from statistics import median
from time import perf_counter

from plantainhinge.core.messages import AttemptReport
from plantainhinge.core.records import AttemptPlaced
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from plantainhinge.placement.assignment import (
    AssignmentPolicy,
    AssignmentTables,
    SiteState,
    plan_assignments,
)
from plantainhinge.placement.cells import CellResources
from plantainhinge.placement.occupancy import OccupancyTable
from plantainhinge.placement.queue import Shape, WaitingQueue
from plantainhinge.placement.quotas import QuotaUsage
from plantainhinge.placement.ramp import RampLimits, RampTable
from plantainhinge.placement.reports import learn_from_report, plan_mitigation
from plantainhinge.placement.scores import Demand
from plantainhinge.placement.workers import (
    CellPolicy,
    CellTables,
    WorkerResources,
    choose_worker,
)

WORKERS, DOMAINS, WAITING_TASKS, TASKS_PER_WORKER, TEAMS, KINDS = 35, 4, 300, 14, 4, 6
CAPACITY = Resources(64_000, 256_000)
UNLIMITED = Resources(10**9, 10**9)
NEED = Resources(4000, 8000)
BATCH, CRITICAL = TaskClass.BATCH, TaskClass.LATENCY_CRITICAL


def measure_median(function, repeats: int) -> float:
    """Return the median duration of a call in microseconds."""
    times = []
    for _ in range(repeats):
        started = perf_counter()
        function()
        times.append((perf_counter() - started) * 1e6)
    return median(times)


def measure_assignment(scale: int, free: int, teams: int, repeats: int) -> float:
    """Return the microseconds of one plan with free capacity for ``free`` tasks."""
    queue = WaitingQueue()
    for number in range(WAITING_TASKS * scale):
        team, kind = f"t{number % teams}", f"k{number % KINDS}"
        queue.add(f"task-{number}", Shape(team, kind, NEED), float(number))
    domains = DOMAINS * scale
    quotas = {f"t{number}": UNLIMITED for number in range(teams)}

    def plan() -> None:
        cell_free = Resources(NEED.millicores * math.ceil(free / domains), 10**9)
        cells = {
            f"d{n}": CellResources(
                f"d{n}", f"r{n // 4}", cell_free, CAPACITY, UNLIMITED
            )
            for n in range(domains)
        }
        site = SiteState(cells, quotas, QuotaUsage(), {}, 0.0, 0.0)
        tables = AssignmentTables(ramp=RampTable(RampLimits(ramp_seconds=0.0)))
        plan_assignments(queue, site, tables, AssignmentPolicy())

    return measure_median(plan, repeats)


def make_cell(
    worker_count: int, seed: int
) -> tuple[list, OccupancyTable, CellTables, dict]:
    """Create a cell whose workers each run two service replicas and batch tasks."""
    random = Random(seed)
    occupancy, tables, workers, placed = OccupancyTable(), CellTables(), [], {}
    for number in range(worker_count):
        name, rack = f"w{number}", f"rack{number // 8}"
        free = Resources(random.randrange(4000, 16_000), 64_000)
        workers.append(WorkerResources(name, rack, CAPACITY, free))
        for task in range(TASKS_PER_WORKER):
            critical = task < 2
            row = AttemptPlaced(
                f"{name}-{task}",
                1,
                name,
                f"s{task}" if critical else f"k{random.randrange(KINDS)}",
                CRITICAL if critical else BATCH,
                NEED,
                0,
                service=f"s{task}" if critical else "",
            )
            occupancy.add(row, rack)
            placed[row.task] = row
    return workers, occupancy, tables, placed


def measure_cell(worker_count: int, seed: int, repeats: int) -> tuple[float, float]:
    """Return the microseconds of choosing a worker and of handling one's report."""
    workers, occupancy, tables, placed = make_cell(worker_count, seed)
    policy = CellPolicy()
    demand = Demand("k0", NEED, draw=0.5)
    choice = measure_median(
        lambda: choose_worker(workers, demand, occupancy, tables, policy, 100.0),
        repeats,
    )
    local = {task: row for task, row in placed.items() if row.worker == "w0"}
    reports = [
        AttemptReport(
            task=task, attempt=1, usage=Resources(2000), slowdown=1.4, usage_age=3.0
        )
        for task in local
    ]

    times = count(100.0, 5.0)

    def handle_report() -> None:
        now = next(times)
        learn_from_report("w0", CAPACITY, reports, local, tables, now)
        plan_mitigation("w0", CAPACITY, reports, local, occupancy, tables, policy, now)

    return choice, measure_median(handle_report, repeats)


def main() -> None:
    """Print the times in microseconds for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeats", type=int, default=50)
    options = parser.parse_args()
    repeats = options.repeats
    print("scale  waiting  cells  plan_0_us  plan_50_us")
    for scale in (1, 4, 16):
        idle = measure_assignment(scale, 0, TEAMS, repeats)
        busy = measure_assignment(scale, 50, TEAMS, repeats)
        sizes = f"{scale:5}{WAITING_TASKS * scale:9}{DOMAINS * scale:7}"
        print(f"{sizes}{idle:11.0f}{busy:12.0f}")
    print("workers_in_cell  choose_worker_us  take_report_us")
    for workers in (9, 36, 144):
        choice, report = measure_cell(workers, options.seed, repeats)
        print(f"{workers:15}{choice:18.0f}{report:16.0f}")


if __name__ == "__main__":
    main()
