"""Choice of the worker for a task within a cell, from what its owner has learned."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..core.configuration import Placement
from ..core.ids import KindId, RackId, Seconds, WorkerId
from ..core.resources import Resources
from ..core.states import TaskClass
from .attribution import ChangeTable
from .drain import DrainState
from .health import HealthTable
from .holds import HoldTable
from .interference import (
    INTERFERENCE_MODELS,
    KindLoad,
    PairTable,
    estimate_interference_cost,
)
from .mitigation import MitigationTable
from .occupancy import OccupancyTable
from .progress import ProgressTable
from .scores import SCORES, Candidate, Demand, pick_worker
from .usage import UsageTable

MAX_SCORED_WORKERS = 16
# Throttled attempts get their processors back once the slowdown exceeds 1.0 by at
# most this share of what the configured limit allows.
LIFT_RATIO = 0.8
# Share of a service's replicas that one worker should hold at most.
MAX_REPLICA_RATIO = 0.25


@dataclass(frozen=True)
class CellPolicy:
    """Names of the policies in force in a cell, as registered."""

    score: str = "combined"
    model: str = "pairwise"
    mitigation: str = "throttle-then-evict"
    drain: str = "by-priority"


def build_cell_policy(options: Placement) -> CellPolicy:
    """Build the policy of cells from the configured placement options."""
    return CellPolicy(
        score=options.score,
        model=options.interference,
        mitigation=options.relief,
        drain=options.drain,
    )


@dataclass
class CellTables:
    """What the owner of a cell has learned about its workers and kinds.

    The tables aren't replicated: a new owner learns them again.
    """

    pairs: PairTable = field(default_factory=PairTable)
    usage: UsageTable = field(default_factory=UsageTable)
    changes: ChangeTable = field(default_factory=ChangeTable)
    health: HealthTable = field(default_factory=HealthTable)
    mitigation: MitigationTable = field(default_factory=MitigationTable)
    drain: DrainState = field(default_factory=DrainState)
    progress: ProgressTable = field(default_factory=ProgressTable)
    holds: HoldTable = field(default_factory=HoldTable)

    def set_limits(self, options: Placement) -> None:
        """Apply the configured limits."""
        high = options.slowdown_limit
        low = 1.0 + LIFT_RATIO * (high - 1.0)
        self.mitigation.limits = replace(self.mitigation.limits, high=high, low=low)
        grace = options.grace_seconds
        self.drain.limits = replace(self.drain.limits, grace_seconds=grace)


@dataclass(frozen=True)
class WorkerResources:
    """A worker and the resources that its open attempts leave free."""

    worker: WorkerId
    rack: RackId
    capacity: Resources
    free: Resources


def choose_worker(
    workers: Iterable[WorkerResources],
    demand: Demand,
    occupancy: OccupancyTable,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> WorkerId | None:
    """Return the best worker with enough free resources that isn't quarantined.

    None if there is no such worker.
    """
    fitting = [
        worker
        for worker in workers
        if demand.resources.fits_within(worker.free)
        and tables.health.is_eligible(worker.worker, now)
    ]
    candidates = {
        worker.worker: _build_candidate(worker, demand, occupancy, tables, policy, now)
        for worker in _sample(fitting, demand)
    }
    return pick_worker(candidates, demand, SCORES.find(policy.score))


def _sample(workers: list[WorkerResources], demand: Demand) -> list[WorkerResources]:
    """Return the workers to score: all for services, a few for batch work.

    Sampling keeps the cost of a batch placement independent of the cell's size.
    """
    if demand.task_class is not TaskClass.BATCH or len(workers) <= MAX_SCORED_WORKERS:
        return workers
    first = int(demand.draw * len(workers)) % len(workers)
    return [*workers[first:], *workers[:first]][:MAX_SCORED_WORKERS]


def estimate_loads(
    worker: WorkerId, capacity: Resources, occupancy: OccupancyTable, usage: UsageTable
) -> dict[KindId, KindLoad]:
    """Return the expected load of each kind on a worker."""
    loads = {}
    for row in occupancy.kinds.get(worker, {}).values():
        declared = Resources(row.millicores // row.count)
        used = row.count * usage.estimate(row.kind, declared)
        share = used / max(1, capacity.millicores)
        loads[row.kind] = KindLoad(row.kind, row.task_class, share)
    return loads


def _build_candidate(
    worker: WorkerResources,
    demand: Demand,
    occupancy: OccupancyTable,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> Candidate:
    used = tables.usage.estimate(demand.kind, demand.resources)
    arriving = KindLoad(
        demand.kind, demand.task_class, used / max(1, worker.capacity.millicores)
    )
    colocated = estimate_loads(worker.worker, worker.capacity, occupancy, tables.usage)
    model = INTERFERENCE_MODELS.find(policy.model)
    return Candidate(
        worker.worker,
        worker.rack,
        worker.capacity,
        worker.free,
        interference_cost=estimate_interference_cost(
            model, tables.pairs, arriving, list(colocated.values()), now
        ),
        rack_replicas=_count(occupancy.rack_replicas, demand, worker.rack),
        excess_replicas=_count_excess_replicas(occupancy, demand, worker.worker),
        suspicion=tables.health.compute_suspicion(worker.worker, now),
    )


def _count_excess_replicas(
    occupancy: OccupancyTable, demand: Demand, worker: WorkerId
) -> int:
    """Return how far a worker would exceed its share of a service's replicas."""
    if not demand.service:
        return 0
    replicas = occupancy.replicas[demand.service] + 1
    share = max(1, math.ceil(replicas * MAX_REPLICA_RATIO))
    on_worker = occupancy.worker_replicas[demand.service, worker] + 1
    return max(0, on_worker - share)


def _count(counts: Mapping, demand: Demand, location: str) -> int:
    return counts.get((demand.service, location), 0) if demand.service else 0
