"""Batch attempts that give way to work which cannot wait."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..core.ids import AttemptNumber, TaskId, WorkerId
from ..core.resources import Resources


@dataclass(frozen=True)
class PreemptibleAttempt:
    """A batch attempt that may be evicted."""

    task: TaskId
    attempt: AttemptNumber
    priority: int
    resources: Resources
    unsaved_work: float


@dataclass(frozen=True)
class PreemptibleWorker:
    """A worker with what is free and what could be made free."""

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
        """Core-seconds lost in all."""
        return sum(victim.unsaved_work for victim in self.victims)


def plan_preemption(
    rooms: Iterable[PreemptibleWorker],
    need: Resources,
    *,
    below_priority: float,
    max_victims: int,
) -> Preemption | None:
    """Return the cheapest eviction that makes room for ``need``, if there is one.

    Parameters
    ----------
    below_priority : float
        Only attempts of lower priority give way.
    max_victims : int
        The most attempts that may be evicted.
    """
    plans = [_plan_on(room, need, below_priority) for room in rooms]
    able = [plan for plan in plans if plan and len(plan.victims) <= max_victims]
    return min(able, key=lambda p: (len(p.victims), p.unsaved_work), default=None)


def _plan_on(
    room: PreemptibleWorker, need: Resources, below_priority: float
) -> Preemption | None:
    free = room.free
    victims: list[PreemptibleAttempt] = []
    lower = [row for row in room.batch if row.priority < below_priority]
    for row in sorted(lower, key=lambda r: (r.priority, r.unsaved_work)):
        if need.fits_within(free):
            break
        free = free + row.resources
        victims.append(row)
    if not need.fits_within(free):
        return None
    return Preemption(room.worker, _drop_unneeded(victims, free, need))


def _drop_unneeded(
    victims: list[PreemptibleAttempt], free: Resources, need: Resources
) -> tuple[PreemptibleAttempt, ...]:
    """Keep those running that turned out not to be needed, dearest first."""
    kept = list(victims)
    for row in sorted(victims, key=lambda r: r.unsaved_work, reverse=True):
        if need.fits_within(free - row.resources):
            free = free - row.resources
            kept.remove(row)
    return tuple(kept)
