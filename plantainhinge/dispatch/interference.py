"""Interference of best-effort work with the serving tasks on the same worker.

The tail latency of a serving task grows like the waiting time in a queue. Its pressure,
one minus the ratio of its idle tail latency to its tail latency, is therefore close to
a sum: the task's own load, and for each best-effort image on the worker a weight times
the share of the processors that the image uses (``dispatch.weights``). The own load is
the same for all tasks of a step and is forecast (``dispatch.forecast``), since a report
covers the past and an order takes effect later. Best-effort attempts are throttled so
that no pressure exceeds its limit.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import fmean

from ..core.ids import KindId, Seconds
from ..jobs.model import Step
from .model import Attempt, AttemptPhase, OpenStep, Worker
from .weights import ImageWeights

# Tail latency of an idle serving task, relative to its target. An image with another
# ratio has a pressure of the same form on another scale.
IDLE_TAIL_LATENCY_RATIO = 0.22
# assumed for serving tasks that have not reported a tail latency
DEFAULT_PRESSURE = 0.45
# best-effort attempts are throttled above this pressure
PRESSURE_LIMIT = 0.75
# throttled attempts are sped up as far as this pressure
PRESSURE_GOAL = 0.73
# no best-effort attempt is placed where it would raise a pressure above this
PLACEMENT_PRESSURE_MAX = 0.74
# time until a started or removed attempt shows in the tail latencies
SETTLE_SECONDS = 0.35
# time over its target after which all best-effort work beside a task is paused
OVER_TARGET_SECONDS = 1.2
# age of a reported tail latency, the middle of the time that it covers
REPORT_AGE_SECONDS = 0.25
# time until an order to change a speed shows in the tail latencies
REACTION_SECONDS = 0.4
# time after the placement of an attempt in which it must fit beside serving tasks
PLACEMENT_SECONDS = 1.0
# variance of the pressure that a reported tail latency gives
REPORT_VARIANCE = 0.003
# additional variance while the neighbours' usage has just changed
UNSETTLED_VARIANCE = 0.02
FULL_SPEED_PERCENT = 100
# an attempt that uses this share of its request surely isn't throttled much
FULL_SPEED_USAGE_RATIO = 0.6
SPEED_INCREASE_PERCENT_MIN = 8
MILLICORES_PER_CORE = 1000


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """An attempt and the percentage of its full speed that it should use."""

    attempt: Attempt
    percent: int


@dataclass(frozen=True, slots=True)
class Neighbours:
    """The attempts on a worker that interfere with each other."""

    serving: tuple[Attempt, ...]
    best_effort: tuple[Attempt, ...]


def find_neighbours(worker: Worker) -> Neighbours:
    """Return the serving and the best-effort attempts on a worker."""
    serving: list[Attempt] = []
    best_effort: list[Attempt] = []
    for attempt in worker.attempts.values():
        if attempt.task.step.spec.target_seconds:
            serving.append(attempt)
        elif attempt.task.step.spec.best_effort:
            best_effort.append(attempt)
    return Neighbours(tuple(serving), tuple(best_effort))


def measure_pressure(attempt: Attempt) -> float:
    """Return the pressure on a serving attempt, by its newest tail latency."""
    if not _has_tail_latency(attempt):
        return DEFAULT_PRESSURE
    target = attempt.task.step.spec.target_seconds
    return 1.0 - IDLE_TAIL_LATENCY_RATIO * target / attempt.gauge


def measure_step_pressures(serving: Iterable[Attempt]) -> dict[OpenStep, float]:
    """Return the mean pressure of each step's attempts on a worker.

    A single tail latency is noisy. A step without any has the default pressure.
    """
    measured: dict[OpenStep, list[float]] = {}
    for attempt in serving:
        pressures = measured.setdefault(attempt.task.step, [])
        if _has_tail_latency(attempt):
            pressures.append(measure_pressure(attempt))
    return {
        step: fmean(pressures) if pressures else DEFAULT_PRESSURE
        for step, pressures in measured.items()
    }


def predict_step_pressures(
    serving: Iterable[Attempt], *, now: float
) -> dict[OpenStep, float]:
    """Return the pressure on each step at the time when an order takes effect."""
    at = now + REACTION_SECONDS
    return {
        step: pressure + step.own_load.predict(at) - _recall_own_load(step, now)
        for step, pressure in measure_step_pressures(serving).items()
    }


def _recall_own_load(step: OpenStep, now: float) -> float:
    """Return the own load that the newest reports cover."""
    return step.own_load.predict(now - REPORT_AGE_SECONDS)


def _has_tail_latency(attempt: Attempt) -> bool:
    """Return whether a worker has reported the tail latency of a serving attempt."""
    return attempt.phase is AttemptPhase.RUNNING and attempt.gauge > 0


def update_weights(worker: Worker, weights: ImageWeights, *, now: float) -> None:
    """Update the interference weights and own loads from a worker's newest report."""
    neighbours = find_neighbours(worker)
    settled = now - worker.best_effort_changed_at > SETTLE_SECONDS and all(
        attempt.phase is AttemptPhase.RUNNING
        and now - attempt.confirmed_at > SETTLE_SECONDS
        for attempt in neighbours.best_effort
    )
    loads = _measure_loads(worker, neighbours.best_effort)
    for attempt in neighbours.serving:
        if _has_tail_latency(attempt):
            attempt.over_target_since = _compute_over_target_since(attempt, now=now)
            _attribute_pressure(attempt, loads, weights, settled=settled, now=now)


def _attribute_pressure(
    attempt: Attempt,
    loads: dict[KindId, float],
    weights: ImageWeights,
    *,
    settled: bool,
    now: float,
) -> None:
    """Attribute the pressure on an attempt to its own load and to its neighbours.

    Parameters
    ----------
    settled : bool
        Whether the neighbours' usage was steady while the tail latency was measured.
    """
    image = _get_image(attempt)
    forecast = attempt.task.step.own_load
    reported = now - REPORT_AGE_SECONDS
    pressure = measure_pressure(attempt)
    if settled and loads:
        added = pressure - forecast.predict(reported)
        weights.update(image, added, loads, Seconds(now))
    interference = 0.0
    variance = REPORT_VARIANCE if settled else REPORT_VARIANCE + UNSETTLED_VARIANCE
    for other, share in loads.items():
        interference += share * weights.find(image, other)
        variance += share**2 * weights.find_variance(image, other, Seconds(now))
    forecast.observe(reported, pressure - interference, variance)


def _compute_over_target_since(attempt: Attempt, *, now: float) -> float:
    """Return since when a tail latency has exceeded its target; infinite if not."""
    if attempt.gauge <= attempt.task.step.spec.target_seconds:
        return float("inf")
    return min(attempt.over_target_since, now)


def infer_speed(spec: Step, gauge: float) -> int:
    """Return the speed of an attempt that an earlier owner may have throttled.

    Parameters
    ----------
    gauge : float
        Cores that it uses by its newest report.
    """
    used = gauge * MILLICORES_PER_CORE / max(1, spec.request.millicores)
    if used >= FULL_SPEED_USAGE_RATIO:
        return FULL_SPEED_PERCENT
    return int(used * FULL_SPEED_PERCENT)


def adjust_speeds(
    worker: Worker, weights: ImageWeights, *, now: float
) -> list[SpeedChange]:
    """Return how the speeds of best-effort attempts on a worker should change."""
    neighbours = find_neighbours(worker)
    best_effort = [
        attempt
        for attempt in neighbours.best_effort
        if attempt.phase is AttemptPhase.RUNNING
    ]
    if not best_effort:
        return []
    if any(
        now - attempt.over_target_since > OVER_TARGET_SECONDS
        for attempt in neighbours.serving
    ):
        return [
            SpeedChange(attempt, 0)
            for attempt in best_effort
            if attempt.speed_percent > 0
        ]
    pressures = predict_step_pressures(neighbours.serving, now=now)
    victim = max(pressures, key=pressures.__getitem__, default=None)
    if victim is not None and pressures[victim] > PRESSURE_LIMIT:
        excess = pressures[victim] - PRESSURE_LIMIT
        return _slow_down(victim, excess, best_effort, weights)
    throttled = [
        attempt for attempt in best_effort if attempt.speed_percent < FULL_SPEED_PERCENT
    ]
    return _speed_up(pressures, throttled, weights)


def predict_added_pressure(
    image: str, millicores: int, worker: Worker, weights: ImageWeights, *, now: float
) -> float | None:
    """Return the total pressure that one more attempt adds, or None if it doesn't fit.

    It doesn't fit if a pressure would exceed ``PLACEMENT_PRESSURE_MAX``.
    """
    if worker.pressures is None:
        worker.pressures = _measure_pressures(worker, weights, now=now)
    share = millicores / worker.entry.capacity.millicores
    added_total = 0.0
    for serving, pressure in worker.pressures.items():
        added = share * weights.estimate_upper_bound(
            KindId(serving), KindId(image), Seconds(now)
        )
        if pressure + added > PLACEMENT_PRESSURE_MAX:
            return None
        added_total += added
    return added_total


def _measure_pressures(
    worker: Worker, weights: ImageWeights, *, now: float
) -> dict[str, float]:
    """Return the highest pressure of each serving image on a worker, soon.

    It is the highest within ``PLACEMENT_SECONDS`` by the forecast. The expected
    interference of attempts that are too new to show in the tail latencies is added.
    """
    neighbours = find_neighbours(worker)
    capacity = worker.entry.capacity.millicores
    unreported = {
        other: other.task.step.spec.request.millicores / capacity
        for other in neighbours.best_effort
        if now - other.confirmed_at < SETTLE_SECONDS or not other.gauge
    }
    highest: dict[str, float] = {}
    for step, measured in measure_step_pressures(neighbours.serving).items():
        peak = step.own_load.find_peak(now, now + PLACEMENT_SECONDS)
        pressure = measured + peak - _recall_own_load(step, now)
        for other, share in unreported.items():
            pressure += share * _find_weight(step, _get_image(other), weights)
        image = step.spec.image
        highest[image] = max(pressure, highest.get(image, 0.0))
    return highest


def _slow_down(
    victim: OpenStep,
    excess: float,
    best_effort: list[Attempt],
    weights: ImageWeights,
) -> list[SpeedChange]:
    """Return the throttling that removes the excess, largest contributions first."""
    capacity = best_effort[0].worker.entry.capacity.millicores
    changes = []
    contributions = [
        (
            _measure_share(attempt, capacity)
            * _find_weight(victim, _get_image(attempt), weights),
            attempt,
        )
        for attempt in best_effort
        if attempt.speed_percent > 0
    ]
    contributions.sort(key=lambda pair: pair[0], reverse=True)
    for contribution, attempt in contributions:
        if excess <= 0:
            break
        kept = max(0.0, 1.0 - excess / contribution) if contribution > 0 else 0.0
        percent = int(attempt.speed_percent * kept)
        changes.append(SpeedChange(attempt, percent))
        excess -= contribution
    return changes


def _speed_up(
    pressures: dict[OpenStep, float],
    throttled: list[Attempt],
    weights: ImageWeights,
) -> list[SpeedChange]:
    """Return higher speeds for throttled attempts, oldest first, within the limits."""
    allowance = {step: PRESSURE_GOAL - pressure for step, pressure in pressures.items()}
    changes = []
    for attempt in sorted(throttled, key=lambda attempt: attempt.ordered_at):
        full = attempt.task.step.spec.request.millicores
        share = full / attempt.worker.entry.capacity.millicores
        added = {
            victim: share * _find_weight(victim, _get_image(attempt), weights)
            for victim in allowance
        }
        gain = min(
            (allowance[victim] / part for victim, part in added.items() if part > 0),
            default=1.0,
        )
        percent = min(
            FULL_SPEED_PERCENT, int(attempt.speed_percent + gain * FULL_SPEED_PERCENT)
        )
        if percent - attempt.speed_percent < min(
            SPEED_INCREASE_PERCENT_MIN, FULL_SPEED_PERCENT - attempt.speed_percent
        ):
            continue
        for victim, part in added.items():
            allowance[victim] -= (
                part * (percent - attempt.speed_percent) / FULL_SPEED_PERCENT
            )
        changes.append(SpeedChange(attempt, percent))
    return changes


def _measure_loads(
    worker: Worker, best_effort: Iterable[Attempt]
) -> dict[KindId, float]:
    """Return the share of the worker's processors that each image uses."""
    capacity = worker.entry.capacity.millicores
    loads: dict[KindId, float] = {}
    for attempt in best_effort:
        image = _get_image(attempt)
        loads[image] = loads.get(image, 0.0) + _measure_share(attempt, capacity)
    return {image: share for image, share in loads.items() if share}


def _measure_share(attempt: Attempt, capacity: int) -> float:
    """Return the share of a worker's processors that an attempt uses."""
    return attempt.gauge * MILLICORES_PER_CORE / capacity


def _find_weight(victim: OpenStep, image: KindId, weights: ImageWeights) -> float:
    return weights.find(KindId(victim.spec.image), image)


def _get_image(attempt: Attempt) -> KindId:
    return KindId(attempt.task.step.spec.image)
