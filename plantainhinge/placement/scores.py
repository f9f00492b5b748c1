"""How well a worker suits a task; the highest score wins."""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..core.ids import AttemptNumber, KindId, RackId, ServiceId, TaskId, WorkerId
from ..core.registry import Registry
from ..core.resources import Resources
from ..core.states import TaskClass

EXPLORATION_SHARE = 0.02
INTERFERENCE_WEIGHT = 4.0
RACK_WEIGHT = 1.0
REPLICA_WEIGHT = 4.0
SUSPICION_WEIGHT = 2.0
FIT_WEIGHT = 0.5


@dataclass(frozen=True)
class Candidate:
    """A worker as the score functions see it.

    Parameters
    ----------
    interference_cost : float
        Weighted slowdown that the placement is expected to cause, both for the new
        task and for the tasks already on the worker.
    rack_replicas : int
        Replicas of the same service in its rack.
    crowding : int
        How many more replicas of the service it would have than its share.
    suspicion : float
        From 0 for a healthy worker to 1 for one about to be quarantined.
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
    """What is to be placed.

    Parameters
    ----------
    draw : float
        From 0 to 1; a small one lets a batch task explore other mixes.
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
    """Score all workers alike, so that the first with room wins."""
    return 0.0


@SCORES.register("least-loaded")
def score_least_loaded(candidate: Candidate, demand: Demand) -> float:
    """Score by the share of the scarcest resource left after the placement."""
    rest = candidate.free - demand.resources
    return min(
        _share(rest.millicores, candidate.capacity.millicores),
        _share(rest.memory_mib, candidate.capacity.memory_mib),
    )


@SCORES.register("combined")
def score_combined(candidate: Candidate, demand: Demand) -> float:
    """Score by expected interference, spread, health and fragmentation.

    Work fills a worker up on its scarcest resource, so that room for large tasks
    remains in one piece, and services leave workers to batch alone.
    """
    room = score_least_loaded(candidate, demand)
    if demand.task_class is TaskClass.BATCH and demand.draw < EXPLORATION_SHARE:
        return room - SUSPICION_WEIGHT * candidate.suspicion
    score = -FIT_WEIGHT * room
    score -= INTERFERENCE_WEIGHT * candidate.interference_cost
    score -= RACK_WEIGHT * candidate.rack_replicas
    score -= REPLICA_WEIGHT * candidate.excess_replicas
    score -= SUSPICION_WEIGHT * candidate.suspicion
    return score


def pick_worker(
    candidates: Mapping[WorkerId, Candidate], demand: Demand, score: Score
) -> WorkerId | None:
    """Return the best worker with room, or None if there is none.

    Workers that the demand avoids are taken only when no other has room.
    """
    fitting = [c for c in candidates.values() if demand.resources.fits_within(c.free)]
    wanted = [c for c in fitting if c.worker not in demand.avoid] or fitting
    if not wanted:
        return None
    return max(wanted, key=lambda c: score(c, demand)).worker


def hash_to_fraction(task: TaskId, attempt: AttemptNumber) -> float:
    """Return a number from 0 to 1 that is the same for an attempt everywhere."""
    digest = hashlib.blake2b(f"{task}.{attempt}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0
