"""Choice of the worker for a new attempt.

Each kind of task has its own score. Ordinary tasks go where they displace the least
best-effort work. Serving tasks of one image are packed together, so that few images
share a worker and large tasks find capacity. Best-effort tasks go where many
processors are spare and they interfere little.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.registry import Registry
from ..core.resources import Resources
from .bindings import compute_committed_resources
from .health import count_faults
from .interference import predict_added_pressure
from .model import OpenStep, Task, Worker
from .suspicion import is_suspect
from .weights import ImageWeights

# scores are in millicores
DATA_RACK_BONUS = 1e6
# per consecutive fault; a worker on which every attempt soon fails stays empty and
# would otherwise attract more work than the others
FAULT_PENALTY = 1e7
# per attempt there of another task that may crash its worker
SUSPECT_PENALTY = 1e6
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
    candidates = list_candidates(task, workers, now=now)
    return choose_scored(task, candidates, weights, now=now)


def choose_scored(
    task: Task, candidates: Iterable[Worker], weights: ImageWeights, *, now: float
) -> Worker | None:
    """Return the best of the workers on which a task may start, or None."""
    ranked = score_workers(task, candidates, weights, now=now)
    return max(ranked, key=lambda row: row[0], default=(0.0, None))[1]


def rank_workers(
    task: Task, workers: Iterable[Worker], weights: ImageWeights, *, now: float
) -> list[tuple[float, Worker]]:
    """Return the workers on which a task may start, each with its score."""
    candidates = list_candidates(task, workers, now=now)
    return score_workers(task, candidates, weights, now=now)


def score_workers(
    task: Task, candidates: Iterable[Worker], weights: ImageWeights, *, now: float
) -> list[tuple[float, Worker]]:
    """Return workers with their scores, without those that can't bear the task."""
    step = task.step
    score = SCORES.find(select_score(step))
    suspect = is_suspect(task)
    ranked: list[tuple[float, Worker]] = []
    for worker in candidates:
        value = score(step, worker, weights, now)
        if step.spec.rack and step.spec.rack == worker.rack:
            value += DATA_RACK_BONUS
        value -= FAULT_PENALTY * count_faults(worker, now=now)
        if now < worker.warm_at:
            value -= COLD_PENALTY_RATIO * worker.entry.capacity.millicores
        if suspect:
            value -= SUSPECT_PENALTY * worker.suspects
        if value > float("-inf"):
            ranked.append((value, worker))
    return ranked


def list_candidates(
    task: Task, workers: Iterable[Worker], *, now: float
) -> list[Worker]:
    """Return the workers on which one more attempt of a task may start.

    The conditions that most tasks don't have are checked last, and only for those tasks
    that have them.
    """
    step = task.step
    candidates = list_open_workers(step, workers, now=now)
    if task.avoided_workers:
        avoided = task.avoided_workers
        candidates = [each for each in candidates if each.name not in avoided]
    if step.job.record.policy.advised:
        candidates = [each for each in candidates if holds_ticket(step, each, now=now)]
    return candidates


def list_open_workers(
    step: OpenStep, workers: Iterable[Worker], *, now: float
) -> list[Worker]:
    """Return the workers that can take one more task of a step, given a ticket.

    Those with a probe or a trial are left out.
    """
    fitting = list_fitting_workers(step, workers, now=now)
    return [each for each in fitting if each.probe is None and each.trial is None]


def list_fitting_workers(
    step: OpenStep, workers: Iterable[Worker], *, now: float
) -> list[Worker]:
    """Return the workers on which one more task of a step fits."""
    fitting = measure_demand(step, now=now).list_fitting(workers)
    if step.spec.label or step.spec.per_worker_max:
        return [each for each in fitting if meets_constraints(step, each)]
    return fitting


def choose_destination(
    task: Task, workers: Iterable[Worker], *, now: float
) -> Worker | None:
    """Return the worker that a task was stopped to move to, if it still fits there."""
    if task.destination is None:
        return None
    step = task.step
    for worker in workers:
        if (
            worker.name == task.destination
            and worker.trial is None
            and has_capacity(step, worker, now=now)
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


def may_fit_later(step: OpenStep, worker: Worker) -> bool:
    """Return whether a worker can run a task of a step once its finite work has ended.

    Work that never ends stays in the way, and so does advice against the worker.
    """
    if step.job.record.policy.advised and is_advised_against(step, worker):
        return False
    lasting = [
        attempt.task.step
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.long_running
    ]
    if 0 < step.spec.per_worker_max <= lasting.count(step):
        return False
    needs = compute_committed_resources(step.spec)
    for other in lasting:
        needs += compute_committed_resources(other.spec)
    return fits_when_empty(step, worker) and needs.fits_within(worker.entry.capacity)


def is_advised_against(step: OpenStep, worker: Worker) -> bool:
    """Return whether advice was asked for a worker and gave no ticket."""
    return worker.name in step.asked_workers and worker.name not in step.tickets


@dataclass(frozen=True, slots=True)
class Demand:
    """What a worker must have for one more task of a step.

    Parameters
    ----------
    needs : Resources
        Resources that the attempt commits.
    headroom_ratio : float
        Share of the worker's processors that must stay free.
    spare_millicores : float, optional
        Processors that must be spare for a best-effort task, in thousandths of a core;
        None for other tasks.
    """

    needs: Resources
    headroom_ratio: float
    spare_millicores: float | None

    @property
    def has_preferences(self) -> bool:
        """Return whether it asks for more than the attempt commits."""
        return self.headroom_ratio > 0 or self.spare_millicores is not None

    def drop_preferences(self) -> "Demand":
        """Return what the attempt commits alone."""
        return Demand(self.needs, headroom_ratio=0.0, spare_millicores=None)

    def list_fitting(self, workers: Iterable[Worker]) -> list[Worker]:
        """Return the workers that have the capacity.

        Each decision compares many workers, so this calls nothing for most of them.
        """
        needs, spare, headroom = self.needs, self.spare_millicores, self.headroom_ratio
        millicores, memory_mib = needs.millicores, needs.memory_mib
        fitting = []
        for worker in workers:
            capacity, committed = worker.entry.capacity, worker.committed
            total = capacity.millicores
            if (
                millicores + total * headroom <= total - committed.millicores
                and memory_mib <= capacity.memory_mib - committed.memory_mib
                and needs.accelerators <= capacity.accelerators - committed.accelerators
                and (spare is None or spare <= worker.spare_millicores)
            ):
                fitting.append(worker)
        return fitting

    def count_room(self, worker: Worker, *, most: int) -> int:
        """Return how many times a worker has the capacity, up to ``most``."""
        needs, free = self.needs, worker.free
        headroom = int(worker.entry.capacity.millicores * self.headroom_ratio)
        pairs = [
            (free.millicores - headroom, needs.millicores),
            (free.memory_mib, needs.memory_mib),
            (free.accelerators, needs.accelerators),
        ]
        room = min((have // need for have, need in pairs if need), default=most)
        if self.spare_millicores:
            # each task takes up its whole request, of which a share must be spare
            request = self.spare_millicores / BEST_EFFORT_SHARE_MIN
            excess = worker.spare_millicores - self.spare_millicores
            room = min(room, int(excess // request) + 1)
        return min(room, most)


def measure_spare_later(worker: Worker) -> int:
    """Return the idle processors of a worker once all finite work there has ended."""
    finite = 0
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        if not spec.long_running and not spec.best_effort:
            finite += spec.request.millicores
    return worker.spare_millicores + worker.best_effort_millicores + finite


def measure_demand(step: OpenStep, *, now: float) -> Demand:
    """Return what a worker must have for one more task of a step.

    Best-effort tasks need spare processors for most of their request.
    """
    headroom_ratio = HEADROOM_RATIO if must_leave_headroom(step, now=now) else 0.0
    spare_millicores = None
    if step.spec.best_effort:
        spare_millicores = BEST_EFFORT_SHARE_MIN * step.spec.request.millicores
    needs = compute_committed_resources(step.spec)
    return Demand(needs, headroom_ratio, spare_millicores)


def count_room(step: OpenStep, worker: Worker, *, most: int, now: float) -> int:
    """Return how many more tasks of a step have capacity on a worker, up to ``most``.

    The step's limit per worker counts as well.
    """
    room = min(most, measure_demand(step, now=now).count_room(worker, most=most))
    limit = step.spec.per_worker_max
    if limit:
        room = min(room, limit - step.attempts_per_worker.get(worker.name, 0))
    return max(0, room)


def has_capacity(step: OpenStep, worker: Worker, *, now: float) -> bool:
    """Return whether a worker has capacity for one more task of a step."""
    return bool(measure_demand(step, now=now).list_fitting([worker]))


def must_leave_headroom(step: OpenStep, *, now: float) -> bool:
    """Return whether a step's tasks must leave the headroom free.

    New long-running tasks must, until they have waited ``HEADROOM_SECONDS`` for
    capacity elsewhere.
    """
    waited = now - step.unplaced_since
    return step.spec.long_running and not is_restart(step) and waited < HEADROOM_SECONDS


def is_bearable(
    step: OpenStep, worker: Worker, weights: ImageWeights, *, now: float
) -> bool:
    """Return whether serving tasks on a worker bear a best-effort task of a step."""
    spec = step.spec
    added_pressure = predict_added_pressure(
        spec.image, spec.request.millicores, worker, weights, now=now
    )
    return added_pressure is not None


def holds_ticket(step: OpenStep, worker: Worker, *, now: float) -> bool:
    """Return whether a step has a valid ticket for a worker, or needs none.

    Only jobs whose queue takes advice from the external service need tickets.
    """
    if not step.job.record.policy.advised:
        return True
    ticket = step.tickets.get(worker.name)
    return (
        ticket is not None
        and now < ticket.expires_at
        and ticket.incarnation == worker.incarnation
    )


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
