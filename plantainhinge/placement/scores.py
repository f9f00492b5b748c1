"""How well a worker suits a task; the highest score wins."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..core.ids import RackId, WorkerId
from ..core.registry import Registry
from ..core.resources import Resources


@dataclass(frozen=True)
class Candidate:
    """A worker as the score functions see it."""

    worker: WorkerId
    rack: RackId
    capacity: Resources
    free: Resources


Score = Callable[[Candidate, Resources], float]
SCORES: Registry[Score] = Registry("placement score")


@SCORES.register("first-fit")
def score_first_fit(candidate: Candidate, need: Resources) -> float:
    """Score all workers alike, so that the first with room wins."""
    return 0.0


@SCORES.register("least-loaded")
def score_least_loaded(candidate: Candidate, need: Resources) -> float:
    """Score by the share of the scarcest resource left after the placement."""
    rest = candidate.free - need
    return min(
        _share(rest.millicores, candidate.capacity.millicores),
        _share(rest.memory_mib, candidate.capacity.memory_mib),
    )


def pick_worker(
    candidates: Mapping[WorkerId, Candidate], need: Resources, score: Score
) -> WorkerId | None:
    """Return the best worker with room for ``need``, or None if there is none."""
    fitting = [c for c in candidates.values() if need.fits_within(c.free)]
    if not fitting:
        return None
    return max(fitting, key=lambda c: score(c, need)).worker


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0
