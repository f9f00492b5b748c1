"""Assigns waiting tasks to workers, the most urgent steps first."""

import logging

from ..core.ids import Seconds, ServiceId
from ..core.log_events import write_event
from ..jobs.model import FINAL_JOB_STATES, TaskKey
from . import avoidance, batching, gangs, trials
from .model import Attempt, OpenJob, OpenStep, Task, Worker
from .preferences import choose_unpreferred
from .queueing import rank_step
from .scheduling_state import SchedulingState
from .step_events import StepFailed, StepPlaced, StepWaits, describe_step
from .tasks import start_task
from .worker_choice import choose_destination
from .worker_pool import WorkerPool
from .workspaces import CapCheck, order_by_share

logger = logging.getLogger(__name__)

# a worker's smaller capacity must be respected within the time in which instances learn
# of it; the directory shows it a heartbeat after the worker knew
DIRECTORY_AGE_SECONDS_MAX = 2.0
# steps that found no worker are tried again after this time; reports arrive by the
# hundred in a second, and each of them starts a round
RETRY_SECONDS = 0.02
# how long a step waits after an error in its placement
FAILED_STEP_SECONDS = 5.0
# a round blocks the owner's calls, so what one may do is bounded; the next one goes on
STARTS_PER_ROUND_MAX = 200
STEPS_PER_JOB_MAX = 100


def place_waiting_tasks(cell: SchedulingState, *, now: float, wall: Seconds) -> None:
    """Start all waiting tasks for which there is a worker."""
    trials.close_stale_trials(cell.workers.values(), now=now)
    waiting = _select_due(cell, list_waiting_steps(cell), now=now)
    waiting = _limit_per_job(cell, waiting)
    if not waiting:
        return
    withheld = cell.list_withheld()
    newest = batching.note_arrivals(waiting, cell.long_running_arrived_at, now=now)
    cell.long_running_arrived_at = newest
    pools = _open_pools(cell, now=now)
    empty_pool = WorkerPool()
    caps = CapCheck(cell)
    starts_left = STARTS_PER_ROUND_MAX
    for step in order_by_share(cell, waiting, wall=wall):
        if batching.is_delayed(step, newest, now=now) or now < step.failed_until:
            continue
        pool = pools.get(step.job.record.policy.service, empty_pool)
        try:
            placed = _place(cell, step, pool, caps, withheld, starts_left, now=now)
        except Exception as error:
            # one step must not keep all others from being placed, in each round
            step.failed_until = now + FAILED_STEP_SECONDS
            event = StepFailed(about=describe_step(step))
            write_event(logger, event, error=error)
            continue
        _log_placed(step, placed, wall=wall)
        starts_left -= len(placed)
        if starts_left <= 0:
            break
        is_capped = bool(step.waiting) and not caps.allows(step)
        _log_waiting(step, len(pool), is_capped, now=now, wall=wall)


def _select_due(
    cell: SchedulingState, waiting: list[OpenStep], *, now: float
) -> list[OpenStep]:
    """Return the steps to try in this round: new ones, and others now and then."""
    if now >= cell.retried_at + RETRY_SECONDS:
        cell.retried_at = now
        return waiting
    return [step for step in waiting if step.unplaced_since == float("inf")]


def _limit_per_job(cell: SchedulingState, waiting: list[OpenStep]) -> list[OpenStep]:
    """Return the steps without those of a job beyond ``STEPS_PER_JOB_MAX``.

    The tried steps of such a job go behind its others, so that each gets its turn.
    """
    by_job: dict[OpenJob, list[OpenStep]] = {}
    for step in waiting:
        by_job.setdefault(step.job, []).append(step)
    if all(len(steps) <= STEPS_PER_JOB_MAX for steps in by_job.values()):
        return waiting
    selected: list[OpenStep] = []
    for steps in by_job.values():
        tried = steps[:STEPS_PER_JOB_MAX]
        selected.extend(tried)
        if len(steps) > len(tried):
            for step in tried:
                del cell.unplaced[step]
                cell.unplaced[step] = None
    return selected


def _place(
    cell: SchedulingState,
    step: OpenStep,
    pool: WorkerPool,
    caps: CapCheck,
    withheld: frozenset[TaskKey],
    starts_max: int,
    *,
    now: float,
) -> list[Attempt]:
    if not step.spec.gang:
        return _place_step(cell, step, pool, caps, withheld, starts_max, now=now)
    if not caps.allows(step, tasks=len(step.tasks)):
        return []
    return gangs.place_gang(cell, step, pool, withheld, now=now)


def _open_pools(cell: SchedulingState, *, now: float) -> dict[ServiceId, WorkerPool]:
    """Return the workers that accept new work in this pass, by service."""
    available = list_available_workers(cell, now=now)
    for service in available.keys() | cell.pools.keys():
        pool = cell.pools.setdefault(service, WorkerPool())
        pool.refresh(available.get(service, []), cell.weights, now=now)
    return cell.pools


def list_available_workers(
    cell: SchedulingState, *, now: float
) -> dict[ServiceId, list[Worker]]:
    """Return the workers that accept new work, by service."""
    pools: dict[ServiceId, list[Worker]] = {}
    for worker in cell.workers.values():
        if (
            worker.accepts_work(now)
            and worker.entry.domain not in cell.closed_domains
            and is_capacity_known(cell, worker, now=now)
        ):
            pools.setdefault(worker.entry.service, []).append(worker)
    return pools


def is_capacity_known(cell: SchedulingState, worker: Worker, *, now: float) -> bool:
    """Return whether it is sure that a worker has the capacity that seems free.

    One that refuses what doesn't fit need not be sure of. Any other may have shrunk
    since the directory was read, or run attempts of which only their names are known.
    """
    if worker.entry.service in cell.guarded_services:
        return True
    directory_age = now - cell.directory_synced_at
    return directory_age <= DIRECTORY_AGE_SECONDS_MAX and not worker.orphans


def list_waiting_steps(cell: SchedulingState) -> list[OpenStep]:
    """Return the steps that are ready and have waiting tasks.

    Jobs inherited from an earlier owner are left out while a worker may still run
    attempts of that owner that this one doesn't know of.
    """
    waiting: list[OpenStep] = []
    placed: list[OpenStep] = []
    for step in cell.unplaced:
        if not step.waiting or step.job.state in FINAL_JOB_STATES:
            placed.append(step)
        elif step.ready and not (step.job.inherited and cell.recovering):
            waiting.append(step)
    for step in placed:
        del cell.unplaced[step]
    return waiting


def _place_step(
    cell: SchedulingState,
    step: OpenStep,
    pool: WorkerPool,
    caps: CapCheck,
    withheld: frozenset[TaskKey],
    starts_max: int,
    *,
    now: float,
) -> list[Attempt]:
    """Start a step's tasks as long as capacity and cap allow; return the attempts."""
    workers = pool.workers
    placed: list[Attempt] = []
    for task in list(step.waiting):
        if len(placed) >= starts_max or not caps.allows(step):
            break
        if task.key in withheld:
            continue
        avoidance.readmit_workers(task, workers, now=now)
        if trials.needs_trial(task):
            trial = trials.advance_trial(cell, task, workers, now=now)
            placed.extend([trial] if trial is not None else [])
            continue
        worker = _choose_for_task(cell, task, pool, now=now)
        if worker is None and task.avoided_workers:
            continue
        if worker is None:
            break
        task.destination = None
        attempt = start_task(cell, task, worker, task.last_attempt + 1, now=now)
        pool.note_change(worker)
        placed.append(attempt)
    return placed


def _choose_for_task(
    cell: SchedulingState, task: Task, pool: WorkerPool, *, now: float
) -> Worker | None:
    """Return the worker for a task that is placed by itself, or None."""
    worker = choose_destination(task, pool.workers, now=now) or pool.choose(task)
    if worker is None:
        return choose_unpreferred(task, pool.workers, cell.weights, now=now)
    return worker


def _log_placed(step: OpenStep, placed: list[Attempt], *, wall: Seconds) -> None:
    if not placed:
        return
    event = StepPlaced(
        about=describe_step(step),
        positions=tuple(attempt.task.key.position for attempt in placed),
        attempts=tuple(attempt.number for attempt in placed),
        workers=tuple(attempt.worker.name for attempt in placed),
        urgency=_name_urgency(step, wall=wall),
        late_s=round(wall - step.due, 3),
        waiting=len(step.waiting),
    )
    write_event(logger, event)


def _log_waiting(
    step: OpenStep, workers: int, is_capped: bool, *, now: float, wall: Seconds
) -> None:
    """Log, once per step, that some of its tasks found no worker."""
    if not step.waiting or step.unplaced_since < float("inf"):
        return
    step.unplaced_since = now
    request = step.spec.request
    event = StepWaits(
        about=describe_step(step),
        waiting=len(step.waiting),
        millicores=request.millicores,
        memory_mib=request.memory_mib,
        workers=workers,
        urgency=_name_urgency(step, wall=wall),
        workspace=step.job.record.workspace,
        capped=is_capped,
    )
    write_event(logger, event)


def _name_urgency(step: OpenStep, *, wall: Seconds) -> str:
    return rank_step(step, wall=wall)[1].name.lower()
