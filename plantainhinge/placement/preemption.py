"""Choice of batch attempts to evict for work that cannot wait."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..core.ids import AttemptNumber, TaskId, WorkerId
from ..core.resources import Resources


@dataclass(frozen=True)
class PreemptibleAttempt:
    """A batch attempt that may be evicted.

    Parameters
    ----------
    unsaved_work : float
        Core-seconds lost by the eviction.
    """

    task: TaskId
    attempt: AttemptNumber
    priority: int
    resources: Resources
    unsaved_work: float


@dataclass(frozen=True)
class PreemptibleWorker:
    """A worker with its free resources and the batch attempts on it."""

    worker: WorkerId
    free: Resources
    batch: Sequence[PreemptibleAttempt]


@dataclass(frozen=True)
class Preemption:
    """The attempts to evict on one worker."""

    worker: WorkerId
    victims: tuple[PreemptibleAttempt, ...]

    @property
    def unsaved_work(self) -> float:
        """Core-seconds lost over all victims."""
        return sum(victim.unsaved_work for victim in self.victims)


def plan_preemption(
    workers: Iterable[PreemptibleWorker],
    need: Resources,
    *,
    below_priority: float,
    max_victims: int,
) -> Preemption | None:
    """Return the cheapest evictions on one worker that free ``need``, if there are any.

    The plan with the fewest victims is the cheapest, then the one that loses the least
    unsaved work.

    Parameters
    ----------
    below_priority : float
        Only attempts of lower priority may be evicted.
    max_victims : int
        Maximum number of attempts to evict.
    """
    plans = [_plan_on(worker, need, below_priority) for worker in workers]
    feasible = [plan for plan in plans if plan and len(plan.victims) <= max_victims]
    return min(feasible, key=lambda p: (len(p.victims), p.unsaved_work), default=None)


def _plan_on(
    worker: PreemptibleWorker, need: Resources, below_priority: float
) -> Preemption | None:
    free = worker.free
    victims: list[PreemptibleAttempt] = []
    lower = [row for row in worker.batch if row.priority < below_priority]
    for row in sorted(lower, key=lambda r: (r.priority, r.unsaved_work)):
        if need.fits_within(free):
            break
        free = free + row.resources
        victims.append(row)
    if not need.fits_within(free):
        return None
    return Preemption(worker.worker, _drop_unneeded(victims, free, need))


def _drop_unneeded(
    victims: list[PreemptibleAttempt], free: Resources, need: Resources
) -> tuple[PreemptibleAttempt, ...]:
    """Drop victims whose resources aren't needed, most unsaved work first."""
    kept = list(victims)
    for row in sorted(victims, key=lambda r: r.unsaved_work, reverse=True):
        if need.fits_within(free - row.resources):
            free = free - row.resources
            kept.remove(row)
    return tuple(kept)
