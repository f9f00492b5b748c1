"""What work that fills does to the serving tasks beside it, and what to do then.

Answers the load where both share a worker. A serving task's tail grows like the
wait in a queue, so its pressure, one minus the ratio of the idle tail to the tail,
is close to a sum: its own load, and for each image beside it a weight times the
share of the processors that the image keeps busy (``dispatch.weights``).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from ..core.ids import KindId, Seconds
from .tables import Run, RunPhase, Worker
from .weights import ImageWeights

# tail of an idle serving task against its target
IDLE_TAIL = 0.22
USUAL_PRESSURE = 0.45
PRESSURE_LIMIT = 0.765
PRESSURE_AIM = 0.74
PRESSURE_PLACING = 0.75
SETTLE_SECONDS = 0.35
# time over the target after which everything that fills beside a task rests
OVER_TARGET_SECONDS = 1.2
OWN_LOAD_SECONDS = 1.5
OWN_LOAD_MIN = 0.22
OWN_LOAD_MAX = 0.62
PACE_FULL = 100
PACE_CHANGE_MIN = 8
MILLICORES_PER_CORE = 1000


@dataclass(frozen=True, slots=True)
class PaceChange:
    """An attempt and the share of its speed it should work at, in percent."""

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class Neighbours:
    """The attempts on a worker that matter to each other."""

    serving: tuple[Run, ...]
    filling: tuple[Run, ...]


def find_neighbours(worker: Worker) -> Neighbours:
    """Return the serving and the filling attempts on a worker."""
    serving: list[Run] = []
    filling: list[Run] = []
    for run in worker.runs.values():
        if run.task.step.spec.target_seconds:
            serving.append(run)
        elif run.task.step.spec.fills:
            filling.append(run)
    return Neighbours(tuple(serving), tuple(filling))


def measure_pressure(run: Run) -> float:
    """Return the pressure on a serving attempt, by its newest tail."""
    tail = run.gauge / run.task.step.spec.target_seconds
    if run.phase is not RunPhase.RUNNING or tail <= 0:
        return USUAL_PRESSURE
    return max(0.0, 1.0 - IDLE_TAIL / tail)


def learn_from_report(worker: Worker, weights: ImageWeights, *, now: float) -> None:
    """Learn from the newest report of a worker what its images do to each other.

    The own load of a serving task isn't reported. The tasks of one job have about
    the same, so it is taken from the middle one of them, within what is usual.
    """
    neighbours = find_neighbours(worker)
    settled = all(
        run.phase is RunPhase.RUNNING and now - run.confirmed_at > SETTLE_SECONDS
        for run in neighbours.filling
    )
    settled = settled and now - worker.fills_changed_at > SETTLE_SECONDS
    loads = _list_loads(worker, neighbours.filling)
    serving = [
        run
        for run in neighbours.serving
        if run.gauge > 0 and run.phase is RunPhase.RUNNING
    ]
    for run in serving:
        run.own_load = measure_pressure(run) - sum(
            share * _weigh(run, image, weights, now) for image, share in loads.items()
        )
        run.measured_at = now
        run.over_since = _note_over(run, now=now)
    if not settled or not loads:
        return
    for run in serving:
        added = measure_pressure(run) - _estimate_own_load(run, now=now)
        weights.learn(_name_image(run), added, loads, Seconds(now))


def _note_over(run: Run, *, now: float) -> float:
    """Return since when a tail has been over its target, infinite if it isn't."""
    if run.gauge <= run.task.step.spec.target_seconds:
        return float("inf")
    return min(run.over_since, now)


def _estimate_own_load(run: Run, *, now: float) -> float:
    """Return the pressure that a serving attempt would have alone."""
    known = [
        other.own_load
        for task in run.task.step.tasks
        for other in task.runs
        if now - other.measured_at < OWN_LOAD_SECONDS
    ]
    return min(OWN_LOAD_MAX, max(OWN_LOAD_MIN, median(known)))


def adjust_paces(
    worker: Worker, weights: ImageWeights, *, now: float
) -> list[PaceChange]:
    """Return how the attempts that fill on a worker should change their pace."""
    neighbours = find_neighbours(worker)
    filling = [run for run in neighbours.filling if run.phase is RunPhase.RUNNING]
    if not filling:
        return []
    if any(now - run.over_since > OVER_TARGET_SECONDS for run in neighbours.serving):
        return [PaceChange(run, 0) for run in filling if run.pace > 0]
    excess, victim = _find_excess(neighbours.serving)
    if victim is not None and excess > 0:
        return _slow_down(victim, excess, filling, weights, now=now)
    paced = [run for run in filling if run.pace < PACE_FULL]
    return _speed_up(neighbours.serving, paced, weights, now=now)


def predict_harm(
    image: str, millicores: int, worker: Worker, weights: ImageWeights, *, now: float
) -> float | None:
    """Return the pressure that one more attempt adds, None if it is too much."""
    if worker.pressures is None:
        worker.pressures = _measure_pressures(worker, weights, now=now)
    share = millicores / worker.entry.capacity.millicores
    added_total = 0.0
    for serving, pressure in worker.pressures.items():
        added = share * weights.bound(KindId(serving), KindId(image), Seconds(now))
        if pressure + added > PRESSURE_PLACING:
            return None
        added_total += added
    return added_total


def _measure_pressures(
    worker: Worker, weights: ImageWeights, *, now: float
) -> dict[str, float]:
    """Return the worst pressure of each serving image on a worker.

    Attempts too new to show in the tails are counted by their weights.
    """
    neighbours = find_neighbours(worker)
    capacity = worker.entry.capacity.millicores
    pressures: dict[str, float] = {}
    for run in neighbours.serving:
        pressure = measure_pressure(run)
        for other in neighbours.filling:
            if now - other.confirmed_at < SETTLE_SECONDS or not other.gauge:
                share = other.task.step.spec.request.millicores / capacity
                pressure += share * _weigh(run, _name_image(other), weights, now)
        image = run.task.step.spec.image
        pressures[image] = max(pressure, pressures.get(image, 0.0))
    return pressures


def _find_excess(serving: Iterable[Run]) -> tuple[float, Run | None]:
    """Return by how much the worst pressure passes the limit, and whose it is."""
    worst, victim = float("-inf"), None
    for run in serving:
        excess = measure_pressure(run) - PRESSURE_LIMIT
        if excess > worst:
            worst, victim = excess, run
    return worst, victim


def _slow_down(
    victim: Run, excess: float, filling: list[Run], weights: ImageWeights, *, now: float
) -> list[PaceChange]:
    """Slow the attempts that add most to a pressure until the excess is gone."""
    capacity = victim.worker.entry.capacity.millicores
    changes = []
    parts = [
        (_share(run, capacity) * _weigh(victim, _name_image(run), weights, now), run)
        for run in filling
        if run.pace > 0
    ]
    parts.sort(key=lambda part: part[0], reverse=True)
    for part, run in parts:
        if excess <= 0:
            break
        kept = max(0.0, 1.0 - excess / part) if part > 0 else 0.0
        percent = int(run.pace * kept)
        changes.append(PaceChange(run, percent))
        excess -= part
    return changes


def _speed_up(
    serving: Iterable[Run], paced: list[Run], weights: ImageWeights, *, now: float
) -> list[PaceChange]:
    """Give the attempts that were slowed what the pressures leave room for."""
    room = {run: PRESSURE_AIM - measure_pressure(run) for run in serving}
    changes = []
    for run in sorted(paced, key=lambda run: run.ordered_at):
        full = run.task.step.spec.request.millicores
        share = full / run.worker.entry.capacity.millicores
        added = {
            victim: share * _weigh(victim, _name_image(run), weights, now)
            for victim in room
        }
        gain = min(
            (room[victim] / part for victim, part in added.items() if part > 0),
            default=1.0,
        )
        percent = min(PACE_FULL, int(run.pace + gain * PACE_FULL))
        if percent - run.pace < min(PACE_CHANGE_MIN, PACE_FULL - run.pace):
            continue
        for victim, part in added.items():
            room[victim] -= part * (percent - run.pace) / PACE_FULL
        changes.append(PaceChange(run, percent))
    return changes


def _list_loads(worker: Worker, filling: Iterable[Run]) -> dict[KindId, float]:
    """Return the share of the processors that each image keeps busy."""
    capacity = worker.entry.capacity.millicores
    loads: dict[KindId, float] = {}
    for run in filling:
        image = _name_image(run)
        loads[image] = loads.get(image, 0.0) + _share(run, capacity)
    return {image: share for image, share in loads.items() if share}


def _share(run: Run, capacity: int) -> float:
    """Return the share of a worker's processors that an attempt keeps busy."""
    return run.gauge * MILLICORES_PER_CORE / capacity


def _weigh(victim: Run, image: KindId, weights: ImageWeights, now: float) -> float:
    return weights.find(_name_image(victim), image, Seconds(now))


def _name_image(run: Run) -> KindId:
    return KindId(run.task.step.spec.image)
