"""On which worker an attempt runs.

Answers the load of a shared cell: ordinary tasks take the worker where they
displace the least work that fills, serving tasks spread out and keep away from
work that fills, and work that fills takes the largest spare processor time.
"""

from collections.abc import Iterable

from ..core.registry import Registry
from ..core.resources import Resources
from .tables import StepRun, Task, Worker, count_committed

NEAR_DATA_BONUS = 1e6
SERVING_CROWD_MILLICORES = 16000.0
FILL_OVERCOMMIT = 1.0

SCORES: Registry = Registry("placement score")


def choose_worker(
    task: Task, workers: Iterable[Worker], *, now: float
) -> Worker | None:
    """Return the best worker for one more attempt of a task, or None."""
    step = task.step
    needs = count_committed(step.spec)
    score = SCORES.find(name_score(step))
    best: Worker | None = None
    best_score = float("-inf")
    for worker in workers:
        if not fits(step, needs, worker, now=now) or worker.name in task.avoid:
            continue
        value = score(step, worker)
        if step.spec.rack and step.spec.rack == worker.rack:
            value += NEAR_DATA_BONUS
        if value > best_score:
            best, best_score = worker, value
    return best


def fits(step: StepRun, needs: Resources, worker: Worker, *, now: float) -> bool:
    """Return whether a worker may and can run one more task of a step."""
    spec = step.spec
    if not worker.accepts(now) or worker.entry.service != step.job.record.policy.service:
        return False
    if spec.label and spec.label not in worker.entry.labels:
        return False
    if spec.per_worker_max:
        if step.per_worker.get(worker.name, 0) >= spec.per_worker_max:
            return False
    if spec.fills:
        room = worker.spare_millicores * FILL_OVERCOMMIT
        if worker.filling and room < spec.request.millicores:
            return False
        if worker.spare_millicores <= 0:
            return False
    return needs.fits_within(worker.room)


def name_score(step: StepRun) -> str:
    """Return which score applies to a step."""
    if step.spec.fills:
        return "filling"
    return "serving" if step.spec.target_seconds else "ordinary"


@SCORES.register("ordinary")
def score_ordinary(step: StepRun, worker: Worker) -> float:
    """Prefer the worker with the most processors that nothing uses."""
    return float(worker.spare_millicores)


@SCORES.register("filling")
def score_filling(step: StepRun, worker: Worker) -> float:
    """Prefer the most spare processor time, away from serving tasks."""
    crowd = SERVING_CROWD_MILLICORES * count_serving(worker)
    return float(worker.spare_millicores) - crowd


@SCORES.register("serving")
def score_serving(step: StepRun, worker: Worker) -> float:
    """Prefer workers without other serving tasks and without work that fills."""
    crowd = SERVING_CROWD_MILLICORES * count_serving(worker)
    return float(worker.spare_millicores) - worker.filling - crowd


def count_serving(worker: Worker) -> int:
    """Return how many attempts on a worker serve users of their own."""
    return sum(bool(run.task.step.spec.target_seconds) for run in worker.runs.values())
