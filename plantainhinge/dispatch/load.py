"""The load of a cell, as a log event."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.ids import Epoch
from ..core.log_events import LogEvent, log_event
from .cell import Cell
from .consolidation import measure_waiting
from .layouts import estimate_usable, measure_layout
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
    idle_usable_cores, idle_disturbing_cores, idle_closed_cores : int
        Idle cores while best-effort work waits: those that it could use, those where it
        would disturb serving tasks too much, and those of workers that take no work.
    aside : int
        Workers in quarantine after refusals or failures.
    workers, in_touch : int
        Known workers, and those that are reachable.
    recovering : bool
        Whether inherited jobs wait until all workers have reported.
    epoch : int
        The owner's epoch.
    unconfirmed_s : float
        Seconds since another owner was last ruled out.
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
    idle_usable_cores: int
    idle_disturbing_cores: int
    idle_closed_cores: int
    workers: int
    in_touch: int
    aside: int
    recovering: bool
    epoch: Epoch
    unconfirmed_s: float


@dataclass(frozen=True, slots=True)
class IdleProcessors:
    """Millicores that stay idle while best-effort work waits, by cause."""

    usable: float = 0.0
    disturbing: float = 0.0
    closed: float = 0.0


def measure_idle(cell: Cell, *, now: float) -> IdleProcessors:
    """Return why processors are idle; all zero unless best-effort work waits for long.

    What waits may fit on several workers, so the usable part can exceed it.
    """
    waiting = measure_waiting(cell, now=now)
    if not waiting:
        return IdleProcessors()
    usable = disturbing = closed = 0.0
    for worker in cell.workers.values():
        idle = max(0, worker.spare_millicores)
        if not worker.accepts_work(now) or worker.entry.domain in cell.closed_domains:
            closed += idle
            continue
        layout = measure_layout(worker)
        total = estimate_usable(layout, waiting, cell.weights)
        here = min(idle, max(0.0, total - worker.best_effort_millicores))
        usable += here
        disturbing += idle - here
    return IdleProcessors(usable, disturbing, closed)


def measure_load(cell: Cell, *, now: float) -> CellLoad:
    """Measure the load of a cell."""
    workers = list(cell.workers.values())
    waiting = cell.list_waiting_steps()
    idle = measure_idle(cell, now=now)
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
        idle_usable_cores=_count_cores([idle.usable]),
        idle_disturbing_cores=_count_cores([idle.disturbing]),
        idle_closed_cores=_count_cores([idle.closed]),
        workers=len(workers),
        in_touch=sum(worker.reachable for worker in workers),
        aside=sum(now < worker.quarantined_until for worker in workers),
        recovering=cell.recovering,
        epoch=cell.epoch,
        unconfirmed_s=round(cell.measure_unconfirmed(now=now), 3),
    )


def _is_best_effort(attempt: Attempt) -> bool:
    return attempt.task.step.spec.best_effort


def _count_cores(millicores: Iterable[float]) -> int:
    return int(sum(millicores)) // 1000
