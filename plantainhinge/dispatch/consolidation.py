"""Moves serving tasks together where that frees processors for best-effort work.

The load that this answers is best-effort work that waits in an overload while
processors are idle: they lie beside serving images with which the waiting images
interfere. Serving tasks stay where they were placed, so nothing else gathers them again
once jobs have ended or workers have come and gone.

The attempts of one serving image on one worker form a group. A group's move gains the
processors that waiting work could then use on its worker, and loses those that it can
no longer use where the group goes. The group that gains most moves, if it gains more
than the restarts cost. Tasks with a limit on their unavailability stay.
"""

import logging
from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..core.log_events import write_event
from .assignment import list_available_workers, list_waiting_steps
from .interference import find_neighbours
from .layouts import WorkerLayout, estimate_usable, measure_layout
from .log_events import GroupMoved
from .model import Attempt, AttemptPhase, Worker
from .ordering import stop_attempt
from .scheduling_state import SchedulingState
from .trials import needs_trial
from .weights import ImageWeights
from .worker_choice import meets_constraints

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 1.0
# a new owner first learns own loads and weights
LEARNING_SECONDS = 4.0
# best-effort work must have waited for so long to count
WAIT_SECONDS_MIN = 1.0
# share of all processors that must be waited for
WAITING_RATIO_MIN = 0.10
# a group must gain at least so many processors
GAIN_MILLICORES_MIN = 6000.0
# time that a moved task is away, and time for which its move pays
RESTART_SECONDS = 1.5
HORIZON_SECONDS = 10.0
# time after its start for which a task isn't moved
REST_SECONDS = 10.0
# groups with more attempts stay
GROUP_SIZE_MAX = 8
# attempts that move at the same time
MOVING_ATTEMPTS_MAX = 10
# groups, of the largest gains, and workers for each attempt that are looked at
GROUPS_MAX = 6
DESTINATIONS_MAX = 12
# nothing is decided on a report that is older
REPORT_AGE_SECONDS_MAX = 1.0


@dataclass(frozen=True, slots=True)
class Group:
    """The attempts of one serving image on one worker."""

    worker: Worker
    image: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def millicores(self) -> int:
        """Return the processors that its tasks requested."""
        return sum(each.task.step.spec.request.millicores for each in self.attempts)


@dataclass(frozen=True, slots=True)
class Move:
    """A group and the workers that its attempts go to, in the same order."""

    group: Group
    destinations: tuple[Worker, ...]
    gain_millicores: float


class FleetLayout:
    """Layouts of workers, and what waiting best-effort work could use of them."""

    def __init__(
        self,
        workers: Iterable[Worker],
        waiting: Mapping[str, float],
        weights: ImageWeights,
    ) -> None:
        self.waiting = waiting
        self.weights = weights
        self.workers = {worker.name: worker for worker in workers}
        self.layouts = {
            name: measure_layout(worker) for name, worker in self.workers.items()
        }
        self.usable = {
            name: self.evaluate(layout) for name, layout in self.layouts.items()
        }

    def evaluate(self, layout: WorkerLayout) -> float:
        """Return the millicores that best-effort work could use of a layout."""
        return estimate_usable(layout, self.waiting, self.weights)

    def estimate_gain(self, group: Group) -> float:
        """Return the gain in millicores where a group leaves, less its restarts."""
        name = group.worker.name
        layout = self.layouts[name].without(group.image, group.millicores)
        restarts = group.millicores * RESTART_SECONDS / HORIZON_SECONDS
        return self.evaluate(layout) - self.usable[name] - restarts


def consolidate(cell: SchedulingState, *, now: float) -> None:
    """Move the group of serving attempts whose move gains most, if any does."""
    if now < cell.consolidated_at + CHECK_INTERVAL_SECONDS or cell.recovering:
        return
    if now < cell.started_at + LEARNING_SECONDS:
        return
    cell.consolidated_at = now
    _forget_moved(cell)
    if len(cell.moving) >= MOVING_ATTEMPTS_MAX:
        return
    waiting = measure_waiting(cell, now=now)
    workers = [worker for worker in cell.workers.values() if worker.has_answered]
    if not is_worth_moving(workers, waiting):
        return
    for pool in list_available_workers(cell, now=now).values():
        move = choose_move(pool, waiting, cell.weights, now=now)
        if move is not None:
            _start_move(cell, move, now=now)


def _forget_moved(cell: SchedulingState) -> None:
    """Forget the moved tasks that run again or whose job has ended."""
    cell.moving = {
        task
        for task in cell.moving
        if task.step.job.job_id in cell.jobs
        and not any(each.phase is AttemptPhase.RUNNING for each in task.attempts)
    }


def measure_waiting(cell: SchedulingState, *, now: float) -> dict[str, float]:
    """Return the millicores of best-effort work that waits for long, by image."""
    waiting: dict[str, float] = {}
    for step in list_waiting_steps(cell):
        if not step.spec.best_effort or now - step.unplaced_since < WAIT_SECONDS_MIN:
            continue
        millicores = len(step.waiting) * step.spec.request.millicores
        waiting[step.spec.image] = waiting.get(step.spec.image, 0.0) + millicores
    return waiting


def is_worth_moving(workers: Iterable[Worker], waiting: Mapping[str, float]) -> bool:
    """Return whether so much work waits that serving tasks should move for it."""
    capacity = sum(worker.entry.capacity.millicores for worker in workers)
    return sum(waiting.values()) > WAITING_RATIO_MIN * capacity


def choose_move(
    workers: list[Worker],
    waiting: Mapping[str, float],
    weights: ImageWeights,
    *,
    now: float,
) -> Move | None:
    """Return the move that gains most processors for waiting work, or None."""
    fleet = FleetLayout(workers, waiting, weights)
    candidates = [
        (gain, group)
        for worker in workers
        for group in list_groups(worker, now=now)
        if (gain := fleet.estimate_gain(group)) >= GAIN_MILLICORES_MIN
    ]
    candidates.sort(key=lambda pair: pair[0], reverse=True)
    moves = [
        move
        for gain, group in candidates[:GROUPS_MAX]
        if (move := _find_move(group, gain, fleet)) is not None
    ]
    return max(moves, key=lambda move: move.gain_millicores, default=None)


def list_groups(worker: Worker, *, now: float) -> list[Group]:
    """Return the groups on a worker whose attempts may all move."""
    if now - worker.answered_at > REPORT_AGE_SECONDS_MAX:
        return []
    groups: dict[str, Group] = {}
    for attempt in find_neighbours(worker).serving:
        image = attempt.task.step.spec.image
        groups.setdefault(image, Group(worker, image)).attempts.append(attempt)
    return [
        group
        for group in groups.values()
        if len(group.attempts) <= GROUP_SIZE_MAX
        and all(may_move(attempt, now=now) for attempt in group.attempts)
    ]


def may_move(attempt: Attempt, *, now: float) -> bool:
    """Return whether a serving attempt may be restarted elsewhere."""
    spec = attempt.task.step.spec
    return (
        spec.long_running
        and not spec.gang
        and not spec.unavailable_max
        and attempt.phase is AttemptPhase.RUNNING
        and now - attempt.confirmed_at > REST_SECONDS
        and len(attempt.task.attempts) == 1
        and not needs_trial(attempt.task)
    )


def _find_move(group: Group, gain: float, fleet: FleetLayout) -> Move | None:
    """Return the move of a group if its attempts fit elsewhere and it still gains.

    Its largest attempts choose first.
    """
    plan = _Plan(fleet, group)
    order = sorted(
        group.attempts, key=lambda each: -each.task.step.spec.request.millicores
    )
    if not all(plan.place(attempt) for attempt in order):
        return None
    if gain - plan.loss < GAIN_MILLICORES_MIN:
        return None
    destinations = tuple(plan.chosen[attempt] for attempt in group.attempts)
    return Move(group, destinations, gain - plan.loss)


class _Plan:
    """Destinations for the attempts of one group, found one after the other.

    Parameters
    ----------
    loss : float
        Millicores that waiting work can no longer use at the destinations.
    """

    def __init__(self, fleet: FleetLayout, group: Group) -> None:
        self.fleet = fleet
        self.group = group
        self.loss = 0.0
        self.chosen: dict[Attempt, Worker] = {}
        self._free = {name: each.free for name, each in fleet.workers.items()}
        self._layouts = dict(fleet.layouts)
        self._usable = dict(fleet.usable)
        others = [each for each in fleet.workers.values() if each is not group.worker]
        self._by_free = sorted(others, key=lambda worker: worker.free_millicores)
        self._frees = [worker.free_millicores for worker in self._by_free]

    def place(self, attempt: Attempt) -> bool:
        """Find the worker where waiting work loses least; return whether there is one.

        Among equals it is the one that the attempt fits best.
        """
        request = attempt.task.step.spec.request
        best: tuple[float, Worker, WorkerLayout] | None = None
        for worker in self._list_candidates(attempt):
            layout = self._layouts[worker.name].joined_by(
                self.group.image, attempt.task.step.own_load.mean, request.millicores
            )
            loss = self._usable[worker.name] - self.fleet.evaluate(layout)
            if best is None or loss < best[0]:
                best = (loss, worker, layout)
        if best is None:
            return False
        loss, worker, layout = best
        self.loss += loss
        self.chosen[attempt] = worker
        self._free[worker.name] -= request
        self._layouts[worker.name] = layout
        self._usable[worker.name] -= loss
        return True

    def _list_candidates(self, attempt: Attempt) -> list[Worker]:
        """Return the workers with the least free capacity that the attempt fits on.

        Those that serve its image already come first, since it takes no more there.
        """
        first = bisect_left(self._frees, attempt.task.step.spec.request.millicores)
        fitting = [each for each in self._by_free[first:] if self._fits(attempt, each)]
        fitting.sort(
            key=lambda each: self.group.image not in self._layouts[each.name].own_loads
        )
        return fitting[:DESTINATIONS_MAX]

    def _fits(self, attempt: Attempt, worker: Worker) -> bool:
        step = attempt.task.step
        if worker.name in attempt.task.avoided_workers:
            return False
        if not step.spec.request.fits_within(self._free[worker.name]):
            return False
        limit = step.spec.per_worker_max
        chosen = sum(
            each.task.step is step and other is worker
            for each, other in self.chosen.items()
        )
        bound = step.attempts_per_worker.get(worker.name, 0)
        return meets_constraints(step, worker) and (not limit or bound + chosen < limit)


def _start_move(cell: SchedulingState, move: Move, *, now: float) -> None:
    """Stop a group's attempts, so that their tasks start on their destinations."""
    if len(cell.moving) + len(move.group.attempts) > MOVING_ATTEMPTS_MAX:
        return
    for attempt, worker in zip(move.group.attempts, move.destinations, strict=True):
        attempt.task.destination = worker.name
        cell.moving.add(attempt.task)
        stop_attempt(cell, attempt, now=now)
    event = GroupMoved(
        worker=move.group.worker.name,
        image=move.group.image,
        tasks=len(move.group.attempts),
        gain_millicores=round(move.gain_millicores),
    )
    write_event(logger, event)
