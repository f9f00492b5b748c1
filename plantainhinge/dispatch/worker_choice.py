"""Choice of the worker for a new attempt.

Each kind of task has its own score. Ordinary tasks go where they displace the least
best-effort work. Serving tasks of one image are packed together, so that few images
share a worker and large tasks find capacity. Best-effort tasks go where many
processors are spare and they interfere little.
"""

from collections.abc import Iterable

from ..core.registry import Registry
from ..core.resources import Resources
from .health import count_faults
from .interference import predict_added_pressure
from .model import OpenStep, Task, Worker, compute_committed_resources
from .weights import ImageWeights

# scores are in millicores
DATA_RACK_BONUS = 1e6
# per consecutive fault; a worker on which every attempt soon fails stays empty and
# would otherwise attract more work than the others
FAULT_PENALTY = 1e7
# share of its capacity by which a worker that isn't warm yet must have more to spare
COLD_PENALTY_RATIO = 0.5
# share of a best-effort task's processor request that must be spare on a worker
BEST_EFFORT_SHARE_MIN = 0.7
# share of each worker that new long-running tasks leave free for short-lived work
HEADROOM_RATIO = 0.10
# after waiting this long, long-running tasks may use the headroom
HEADROOM_SECONDS = 30.0
# penalty for one unit of added pressure
PRESSURE_MILLICORES = 60000.0
# penalty for each other serving image on a worker, and bonus for the same image
OTHER_IMAGE_MILLICORES = 1e6
SAME_IMAGE_MILLICORES = 1.5e6

SCORES: Registry = Registry("placement score")


def choose_worker(
    task: Task, workers: Iterable[Worker], weights: ImageWeights, *, now: float
) -> Worker | None:
    """Return the best worker for one more attempt of a task, or None.

    Parameters
    ----------
    workers : iterable of Worker
        Workers of the task's service that accept new work.
    """
    step = task.step
    needs = compute_committed_resources(step.spec)
    score = SCORES.find(select_score(step))
    best: Worker | None = None
    best_score = float("-inf")
    for worker in workers:
        if worker.probe is not None or worker.name in task.avoided_workers:
            continue
        if not has_capacity(step, needs, worker, now=now):
            continue
        if not meets_constraints(step, worker) or not holds_ticket(
            step, worker, now=now
        ):
            continue
        value = score(step, worker, weights, now)
        if step.spec.rack and step.spec.rack == worker.rack:
            value += DATA_RACK_BONUS
        value -= FAULT_PENALTY * count_faults(worker, now=now)
        if now < worker.warm_at:
            value -= COLD_PENALTY_RATIO * worker.entry.capacity.millicores
        if value > best_score:
            best, best_score = worker, value
    return best


def choose_destination(
    task: Task, workers: Iterable[Worker], *, now: float
) -> Worker | None:
    """Return the worker that a task was stopped to move to, if it still fits there."""
    if task.destination is None:
        return None
    step = task.step
    needs = compute_committed_resources(step.spec)
    for worker in workers:
        if (
            worker.name == task.destination
            and has_capacity(step, needs, worker, now=now)
            and meets_constraints(step, worker)
            and holds_ticket(step, worker, now=now)
        ):
            return worker
    return None


def fits_when_empty(step: OpenStep, worker: Worker) -> bool:
    """Return whether a worker could run a task of a step if it were empty."""
    needs, capacity = compute_committed_resources(step.spec), worker.entry.capacity
    is_labelled = not step.spec.label or step.spec.label in worker.entry.labels
    return is_labelled and needs.fits_within(capacity)


def has_capacity(
    step: OpenStep, needs: Resources, worker: Worker, *, now: float
) -> bool:
    """Return whether a worker has capacity for one more task of a step.

    Best-effort tasks need spare processors for most of their request.
    """
    if must_leave_headroom(step, now=now):
        headroom = worker.entry.capacity.millicores * HEADROOM_RATIO
        if needs.millicores + headroom > worker.free_millicores:
            return False
    if step.spec.best_effort:
        needed_millicores = BEST_EFFORT_SHARE_MIN * step.spec.request.millicores
        if worker.spare_millicores < needed_millicores:
            return False
    return needs.fits_within(worker.free)


def must_leave_headroom(step: OpenStep, *, now: float) -> bool:
    """Return whether a step's tasks must leave the headroom free.

    New long-running tasks must, until they have waited ``HEADROOM_SECONDS`` for
    capacity elsewhere.
    """
    waited = now - step.unplaced_since
    return step.spec.long_running and not is_restart(step) and waited < HEADROOM_SECONDS


def holds_ticket(step: OpenStep, worker: Worker, *, now: float) -> bool:
    """Return whether a step has a valid ticket for a worker, or needs none.

    Only jobs whose queue takes advice from the external service need tickets.
    """
    if not step.job.record.policy.advised:
        return True
    return now < step.tickets.get(worker.name, ("", 0.0))[1]


def is_restart(step: OpenStep) -> bool:
    """Return whether any of a step's waiting tasks has run before.

    This is assumed of inherited jobs, for which it isn't known for each task.
    """
    return step.job.inherited or any(task.last_attempt for task in step.waiting)


def meets_constraints(step: OpenStep, worker: Worker) -> bool:
    """Return whether a step's label and limit per worker allow one more task there."""
    spec = step.spec
    if spec.label and spec.label not in worker.entry.labels:
        return False
    limit = spec.per_worker_max
    return not limit or step.attempts_per_worker.get(worker.name, 0) < limit


def select_score(step: OpenStep) -> str:
    """Return the name of the score that applies to a step."""
    if step.spec.best_effort:
        return "filling"
    return "serving" if step.spec.target_seconds else "ordinary"


@SCORES.register("ordinary")
def score_ordinary(
    step: OpenStep, worker: Worker, weights: ImageWeights, now: float
) -> float:
    """Prefer the worker with the most spare processors."""
    return float(worker.spare_millicores)


@SCORES.register("filling")
def score_best_effort(
    step: OpenStep, worker: Worker, weights: ImageWeights, now: float
) -> float:
    """Prefer spare processors, less a penalty for interference with serving tasks."""
    added_pressure = predict_added_pressure(
        step.spec.image, step.spec.request.millicores, worker, weights, now=now
    )
    if added_pressure is None:
        return float("-inf")
    return float(worker.spare_millicores) - PRESSURE_MILLICORES * added_pressure


@SCORES.register("serving")
def score_serving(
    step: OpenStep, worker: Worker, weights: ImageWeights, now: float
) -> float:
    """Prefer the fullest worker that serves only this image, then an empty one.

    Images differ in what interferes with them. The fewer images a worker serves, the
    more best-effort work finds a worker where it doesn't interfere.
    """
    images = {
        attempt.task.step.spec.image
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.target_seconds
    }
    other_images = len(images - {step.spec.image})
    value = -float(worker.free.millicores) - OTHER_IMAGE_MILLICORES * other_images
    return value + (SAME_IMAGE_MILLICORES if step.spec.image in images else 0.0)
