"""The load of a cell, as a log event."""

from collections.abc import Iterable

from ..core.log_events import LogEvent, log_event
from .cell import Cell
from .model import Attempt


@log_event("cell load")
class CellLoad(LogEvent, frozen=True, kw_only=True):
    """Load of a cell, written by its owner every 2 s.

    Parameters
    ----------
    jobs, attempts : int
        Open jobs, and attempts bound to workers.
    waiting_ordinary, waiting_filling, waiting_lasting : int
        Waiting tasks: ordinary, best-effort and long-running.
    capacity_cores, committed_cores : int
        Cores of the workers, and those committed to tasks.
    filling_cores : int
        Cores that best-effort attempts may use at their present speeds.
    filling_use : int
        Cores that best-effort attempts use.
    aside : int
        Workers in quarantine after refusals or failures.
    workers, in_touch : int
        Known workers, and those that are reachable.
    recovering : bool
        Whether inherited jobs wait until all workers have reported.
    """

    jobs: int
    attempts: int
    waiting_ordinary: int
    waiting_filling: int
    waiting_lasting: int
    capacity_cores: int
    committed_cores: int
    filling_cores: int
    filling_use: int
    workers: int
    in_touch: int
    aside: int
    recovering: bool


def measure_load(cell: Cell, *, now: float) -> CellLoad:
    """Measure the load of a cell."""
    workers = list(cell.workers.values())
    waiting = cell.list_waiting_steps()
    best_effort = [
        attempt
        for worker in workers
        for attempt in worker.attempts.values()
        if _is_best_effort(attempt)
    ]
    return CellLoad(
        jobs=len(cell.jobs),
        attempts=sum(len(worker.attempts) for worker in workers),
        waiting_ordinary=sum(
            len(step.waiting)
            for step in waiting
            if not step.spec.best_effort and not step.spec.long_running
        ),
        waiting_filling=sum(
            len(step.waiting) for step in waiting if step.spec.best_effort
        ),
        waiting_lasting=sum(
            len(step.waiting) for step in waiting if step.spec.long_running
        ),
        capacity_cores=_count_cores(
            worker.entry.capacity.millicores for worker in workers
        ),
        committed_cores=_count_cores(worker.committed.millicores for worker in workers),
        filling_cores=_count_cores(worker.best_effort_millicores for worker in workers),
        filling_use=round(sum(attempt.gauge for attempt in best_effort)),
        workers=len(workers),
        in_touch=sum(worker.reachable for worker in workers),
        aside=sum(now < worker.quarantined_until for worker in workers),
        recovering=cell.recovering,
    )


def _is_best_effort(attempt: Attempt) -> bool:
    return attempt.task.step.spec.best_effort


def _count_cores(millicores: Iterable[int]) -> int:
    return sum(millicores) // 1000
