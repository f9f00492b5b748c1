"""Workers that come, fall silent, restart under their id and go."""

import logging
from collections.abc import Iterable

from ..core.log_events import write_event
from ..fleet.model import WorkerEntry
from .cell_tables import CellTables
from .leases import expect_unknown_leases
from .log_events import (
    LeaseLapsed,
    WorkerChangedState,
    WorkerListed,
    WorkerOutOfTouch,
    WorkerRestarted,
    WorkerUnlisted,
    describe_run,
    describe_worker,
)
from .tables import Worker
from .tasks import release_run

logger = logging.getLogger(__name__)

GONE_FORGET_SECONDS = 15.0


def see_workers(
    cell: CellTables,
    entries: Iterable[WorkerEntry],
    *,
    now: float,
    inherited: bool = False,
) -> None:
    """Take in the directory of workers."""
    listed = set()
    for entry in entries:
        listed.add(entry.worker)
        worker = cell.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry, entry.born)
            cell.workers[entry.worker] = worker
            if inherited:
                expect_unknown_leases(worker, cell.earlier_lease, now=now)
                cell.unseen.add(entry.worker)
            write_event(logger, WorkerListed(about=describe_worker(worker)))
        elif entry.born > worker.born:
            begin_incarnation(cell, worker, entry.born, now=now)
        if entry.state is not worker.entry.state:
            change = WorkerChangedState(
                about=describe_worker(worker), state=entry.state
            )
            write_event(logger, change)
        worker.entry = entry
        worker.listed = True
    for name, worker in list(cell.workers.items()):
        if name not in listed:
            _unlist(cell, worker, now=now)


def lose_touch(cell: CellTables, worker: Worker, *, now: float) -> None:
    """Note that a worker didn't answer."""
    if worker.in_touch:
        event = WorkerOutOfTouch(
            about=describe_worker(worker), silent_s=now - worker.heard_at
        )
        write_event(logger, event)
    worker.in_touch = False


def begin_incarnation(
    cell: CellTables, worker: Worker, born: int, *, now: float
) -> None:
    """Note that a worker restarted: what its lists have shown is gone.

    An order that no list has shown yet may have reached the new incarnation, so its
    attempt stays bound until a list, a refusal or the end of its lease decides.
    """
    lost = [run for run in worker.runs.values() if run.listed]
    event = WorkerRestarted(about=describe_worker(worker), attempts_lost=len(lost))
    write_event(logger, event)
    worker.born = born
    worker.seen_number = worker.acknowledged = 0
    worker.heard_at = float("-inf")
    worker.in_touch = False
    worker.set_aside_until = 0.0
    for run in lost:
        release_run(cell, run, now=now)


def _unlist(cell: CellTables, worker: Worker, *, now: float) -> None:
    if worker.listed:
        write_event(logger, WorkerUnlisted(about=describe_worker(worker)))
    worker.listed = False
    silent = now - max(worker.heard_at, cell.started)
    if not worker.runs and silent > GONE_FORGET_SECONDS:
        cell.unseen.discard(worker.name)
        del cell.workers[worker.name]


def end_lapsed(cell: CellTables, *, now: float) -> None:
    """Give up attempts whose lease surely ended on a silent worker."""
    for worker in cell.workers.values():
        if worker.in_touch or now < worker.lapse_at:
            continue
        cell.unseen.discard(worker.name)
        for run in list(worker.runs.values()):
            write_event(logger, LeaseLapsed(about=describe_run(run)))
            release_run(cell, run, now=now)
