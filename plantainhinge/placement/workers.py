"""Choice of the worker in a cell, from all that its owner has learned."""

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
LIFT_SHARE = 0.8
MAX_REPLICA_SHARE = 0.25


@dataclass(frozen=True)
class CellPolicy:
    """Names of the policies in force in a cell."""

    score: str = "combined"
    model: str = "pairwise"
    mitigation: str = "throttle-then-evict"
    drain: str = "by-priority"


def select_policy(options: Placement) -> CellPolicy:
    """Return the policy that operators declared for cells."""
    return CellPolicy(
        score=options.score,
        model=options.interference,
        mitigation=options.relief,
        drain=options.drain,
    )


@dataclass
class CellTables:
    """What the owner of a cell learns; lost with the owner and learned again."""

    pairs: PairTable = field(default_factory=PairTable)
    usage: UsageTable = field(default_factory=UsageTable)
    changes: ChangeTable = field(default_factory=ChangeTable)
    health: HealthTable = field(default_factory=HealthTable)
    mitigation: MitigationTable = field(default_factory=MitigationTable)
    drain: DrainState = field(default_factory=DrainState)
    progress: ProgressTable = field(default_factory=ProgressTable)
    holds: HoldTable = field(default_factory=HoldTable)

    def set_limits(self, options: Placement) -> None:
        """Take up the limits that operators declared."""
        high = options.slowdown_limit
        low = 1.0 + LIFT_SHARE * (high - 1.0)
        self.mitigation.limits = replace(self.mitigation.limits, high=high, low=low)
        grace = options.grace_seconds
        self.drain.limits = replace(self.drain.limits, grace_seconds=grace)


@dataclass(frozen=True)
class WorkerResources:
    """A worker and what its open attempts leave free."""

    worker: WorkerId
    rack: RackId
    capacity: Resources
    free: Resources


def choose_worker(
    rooms: Iterable[WorkerResources],
    demand: Demand,
    occupancy: OccupancyTable,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> WorkerId | None:
    """Return the best worker that has room and is not in quarantine."""
    fitting = [
        room
        for room in rooms
        if demand.resources.fits_within(room.free)
        and tables.health.is_eligible(room.worker, now)
    ]
    candidates = {
        room.worker: _build_candidate(room, demand, occupancy, tables, policy, now)
        for room in _sample(fitting, demand)
    }
    return pick_worker(candidates, demand, SCORES.find(policy.score))


def _sample(rooms: list[WorkerResources], demand: Demand) -> list[WorkerResources]:
    """Return the workers to score: all for services, some for batch work.

    The cost of a batch placement then does not grow with the cell.
    """
    if demand.task_class is not TaskClass.BATCH or len(rooms) <= MAX_SCORED_WORKERS:
        return rooms
    first = int(demand.draw * len(rooms)) % len(rooms)
    return [*rooms[first:], *rooms[:first]][:MAX_SCORED_WORKERS]


def estimate_loads(
    worker: WorkerId, capacity: Resources, occupancy: OccupancyTable, usage: UsageTable
) -> dict[KindId, KindLoad]:
    """Return the load expected of each kind on a worker."""
    loads = {}
    for row in occupancy.kinds.get(worker, {}).values():
        each = Resources(row.millicores // row.count)
        used = row.count * usage.estimate(row.kind, each)
        share = used / max(1, capacity.millicores)
        loads[row.kind] = KindLoad(row.kind, row.task_class, share)
    return loads


def _build_candidate(
    room: WorkerResources,
    demand: Demand,
    occupancy: OccupancyTable,
    tables: CellTables,
    policy: CellPolicy,
    now: Seconds,
) -> Candidate:
    used = tables.usage.estimate(demand.kind, demand.resources)
    arriving = KindLoad(
        demand.kind, demand.task_class, used / max(1, room.capacity.millicores)
    )
    beside = estimate_loads(room.worker, room.capacity, occupancy, tables.usage)
    model = INTERFERENCE_MODELS.find(policy.model)
    return Candidate(
        room.worker,
        room.rack,
        room.capacity,
        room.free,
        interference_cost=estimate_interference_cost(
            model, tables.pairs, arriving, list(beside.values()), now
        ),
        rack_replicas=_count(occupancy.rack_replicas, demand, room.rack),
        excess_replicas=_count_excess_replicas(occupancy, demand, room.worker),
        suspicion=tables.health.compute_suspicion(room.worker, now),
    )


def _count_excess_replicas(
    occupancy: OccupancyTable, demand: Demand, worker: WorkerId
) -> int:
    """Return by how much a worker would pass its share of a service's replicas."""
    if not demand.service:
        return 0
    replicas = occupancy.replicas[demand.service] + 1
    share = max(1, math.ceil(replicas * MAX_REPLICA_SHARE))
    mine = occupancy.worker_replicas[demand.service, worker] + 1
    return max(0, mine - share)


def _count(counts: Mapping, demand: Demand, place: str) -> int:
    return counts.get((demand.service, place), 0) if demand.service else 0
