"""Scores of workers for a task; the worker with the highest score is chosen."""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..core.ids import AttemptNumber, KindId, RackId, ServiceId, TaskId, WorkerId
from ..core.registry import Registry
from ..core.resources import Resources
from ..core.states import TaskClass

EXPLORATION_RATIO = 0.02
INTERFERENCE_WEIGHT = 4.0
RACK_WEIGHT = 1.0
REPLICA_WEIGHT = 4.0
SUSPICION_WEIGHT = 2.0
FIT_WEIGHT = 0.5


@dataclass(frozen=True)
class Candidate:
    """A worker with the properties that it is scored by.

    Parameters
    ----------
    interference_cost : float
        Weighted slowdown that the placement is expected to cause, both for the new
        task and for the tasks already on the worker.
    rack_replicas : int
        Replicas of the same service in the worker's rack.
    excess_replicas : int
        Replicas of the service beyond the worker's share after the placement.
    suspicion : float
        From 0 for a healthy worker to 1 for one that should be quarantined.
    """

    worker: WorkerId
    rack: RackId
    capacity: Resources
    free: Resources
    interference_cost: float = 0.0
    rack_replicas: int = 0
    excess_replicas: int = 0
    suspicion: float = 0.0


@dataclass(frozen=True)
class Demand:
    """Requirements of a task to be placed.

    Parameters
    ----------
    draw : float
        Uniform number from 0 to 1. For a batch task, one below
        ``EXPLORATION_RATIO`` makes it explore other mixes of kinds.
    avoid : frozenset of WorkerId
        Workers to use only if no other has the capacity.
    """

    kind: KindId
    resources: Resources
    task_class: TaskClass = TaskClass.BATCH
    service: ServiceId = ServiceId("")
    draw: float = 1.0
    avoid: frozenset[WorkerId] = field(default_factory=frozenset)


Score = Callable[[Candidate, Demand], float]
SCORES: Registry[Score] = Registry("placement score")


@SCORES.register("first-fit")
def score_first_fit(candidate: Candidate, demand: Demand) -> float:
    """Score all workers the same, so that the first one that fits is chosen."""
    return 0.0


@SCORES.register("least-loaded")
def score_least_loaded(candidate: Candidate, demand: Demand) -> float:
    """Score by the free fraction of the scarcest resource after the placement."""
    remaining = candidate.free - demand.resources
    return min(
        _share(remaining.millicores, candidate.capacity.millicores),
        _share(remaining.memory_mib, candidate.capacity.memory_mib),
    )


@SCORES.register("combined")
def score_combined(candidate: Candidate, demand: Demand) -> float:
    """Score by expected interference, spread, health and fragmentation.

    Workers with less free capacity score higher, which leaves unfragmented capacity
    for large tasks and workers without services for batch work.
    """
    free_fraction = score_least_loaded(candidate, demand)
    if demand.task_class is TaskClass.BATCH and demand.draw < EXPLORATION_RATIO:
        return free_fraction - SUSPICION_WEIGHT * candidate.suspicion
    score = -FIT_WEIGHT * free_fraction
    score -= INTERFERENCE_WEIGHT * candidate.interference_cost
    score -= RACK_WEIGHT * candidate.rack_replicas
    score -= REPLICA_WEIGHT * candidate.excess_replicas
    score -= SUSPICION_WEIGHT * candidate.suspicion
    return score


def pick_worker(
    candidates: Mapping[WorkerId, Candidate], demand: Demand, score: Score
) -> WorkerId | None:
    """Return the best worker that fits, or None if none does.

    Workers that the demand avoids are chosen only if no other fits.
    """
    fitting = [c for c in candidates.values() if demand.resources.fits_within(c.free)]
    wanted = [c for c in fitting if c.worker not in demand.avoid] or fitting
    if not wanted:
        return None
    return max(wanted, key=lambda c: score(c, demand)).worker


def hash_to_fraction(task: TaskId, attempt: AttemptNumber) -> float:
    """Map an attempt to a number from 0 to 1, the same in every process."""
    digest = hashlib.blake2b(f"{task}.{attempt}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0
