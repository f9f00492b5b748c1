"""Lifecycle of workers: listed, unreachable, restarted under their id, unlisted."""

import logging
from collections.abc import Iterable, Sequence

from ..core.ids import WorkerId
from ..core.log_events import write_event
from ..fleet.model import WorkerEntry
from .health import record_success
from .leases import assume_lease
from .losses import explain_losses, lose_attempts, lose_withheld, note_outage
from .model import AttemptPhase, Worker
from .outages import LossCause
from .scheduling_state import SchedulingState
from .worker_events import (
    WorkerChangedState,
    WorkerListed,
    WorkerReplaced,
    WorkerRestarted,
    WorkerUnlisted,
    WorkerUnreachable,
    describe_worker,
)

logger = logging.getLogger(__name__)

UNLISTED_RETENTION_SECONDS = 15.0
# workers at the address of a new one that its log line names
PREDECESSORS_MAX = 3


def update_workers(
    cell: SchedulingState,
    entries: Iterable[WorkerEntry],
    *,
    now: float,
    inherited: bool = False,
) -> None:
    """Update the workers from the directory.

    With ``inherited``, new workers may run attempts of an earlier owner, unless it left
    a handover, which names all of these.
    """
    listed = set()
    names_by_address: dict[str, list[WorkerId]] = {}
    for known in cell.workers.values():
        names_by_address.setdefault(known.entry.address, []).append(known.name)
    for entry in entries:
        listed.add(entry.worker)
        worker = cell.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry, entry.incarnation, warm_at=now + entry.warming)
            worker.unreachable_since = worker.listed_at = now
            cell.workers[entry.worker] = worker
            if inherited and not cell.is_handover_known:
                assume_lease(worker, cell.earlier_lease_max, now=now)
                cell.unverified_workers.add(entry.worker)
            names = names_by_address.setdefault(entry.address, [])
            _log_listed(worker, names[-PREDECESSORS_MAX:])
            names.append(worker.name)
        elif entry.incarnation > worker.incarnation:
            begin_incarnation(cell, worker, entry.incarnation, now=now)
        _set_entry(worker, entry, now=now)
    for name, worker in list(cell.workers.items()):
        if name not in listed:
            _handle_unlisted(cell, worker, now=now)
    cell.answering_workers = sum(each.reachable for each in cell.workers.values())


def _log_listed(worker: Worker, predecessors: Sequence[WorkerId]) -> None:
    event = WorkerListed(
        about=describe_worker(worker),
        address=worker.entry.address,
        predecessors=tuple(predecessors),
    )
    write_event(logger, event)


def _set_entry(worker: Worker, entry: WorkerEntry, *, now: float) -> None:
    if entry.state is not worker.entry.state:
        change = WorkerChangedState(about=describe_worker(worker), state=entry.state)
        write_event(logger, change)
    if entry != worker.entry:
        worker.warm_at = now + entry.warming
        worker.mark_changed()
    worker.entry = entry
    worker.listed = True


def mark_unreachable(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    """Mark a worker as unreachable after a call without an answer."""
    if worker.reachable:
        event = WorkerUnreachable(
            about=describe_worker(worker), silent_s=now - worker.answered_at
        )
        write_event(logger, event)
        note_outage(cell, worker, now=now)
        worker.unreachable_since = now
    worker.reachable = False


def begin_incarnation(
    cell: SchedulingState, worker: Worker, incarnation: int, *, now: float
) -> None:
    """Reset a restarted worker and release the attempts that its reports had listed.

    An attempt that no report has listed yet may have been started by the new
    incarnation. It stays bound until a report, a refusal or the end of its lease
    shows that it doesn't run.
    """
    lost = [attempt for attempt in worker.attempts.values() if attempt.reported]
    event = WorkerRestarted(about=describe_worker(worker), attempts_lost=len(lost))
    write_event(logger, event)
    lose_attempts(cell, worker, lost, LossCause.RESTARTED, now=now)
    lose_withheld(cell, worker, LossCause.RESTARTED, now=now)
    explain_losses(cell, worker.name, survivor=incarnation, now=now)
    if worker.attempts:
        # a start by the former clock may have been granted the longest lease there is
        assume_lease(worker, cell.terms.length_max, now=now)
    worker.incarnation = incarnation
    worker.listed_at = now
    worker.orphans.clear()
    worker.last_end_sequence = worker.acknowledged = 0
    worker.answered_at = float("-inf")
    worker.unreachable_since = now
    worker.reachable = False
    worker.quarantined_until = 0.0
    record_success(worker)
    for attempt in worker.attempts.values():
        if attempt.phase is AttemptPhase.STOPPING:
            # the new incarnation hasn't seen the stop
            attempt.confirmed_at = float("inf")
            attempt.retry_at = now


def end_worker(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    """Release all attempts of a worker at whose address another one answers.

    Orders to it that are still under way reach the other worker, which refuses them.
    """
    if now < worker.latest_expiry:
        event = WorkerReplaced(
            about=describe_worker(worker), attempts_lost=len(worker.attempts)
        )
        write_event(logger, event)
    lose_attempts(cell, worker, worker.attempts.values(), LossCause.REPLACED, now=now)
    lose_withheld(cell, worker, LossCause.REPLACED, now=now)
    explain_losses(cell, worker.name, survivor=None, now=now)
    worker.latest_expiry = min(worker.latest_expiry, now)
    cell.mark_verified(worker.name)


def _handle_unlisted(cell: SchedulingState, worker: Worker, *, now: float) -> None:
    if worker.listed:
        write_event(logger, WorkerUnlisted(about=describe_worker(worker)))
    worker.listed = False
    unanswered_seconds = now - max(worker.answered_at, cell.started_at)
    is_forgotten = unanswered_seconds > UNLISTED_RETENTION_SECONDS
    if not worker.attempts and is_forgotten and _has_lapsed(cell, worker, now=now):
        cell.mark_verified(worker.name)
        cell.unconfirmed_losses.pop(worker.name, None)
        cell.outages.pop(worker.name, None)
        del cell.workers[worker.name]


def _has_lapsed(cell: SchedulingState, worker: Worker, *, now: float) -> bool:
    """Return whether all leases of a worker have certainly ended.

    A later owner may have renewed them, unless the log has confirmed since that there
    was none.
    """
    return min(now, cell.confirmed_at) >= worker.latest_expiry


def release_expired(cell: SchedulingState, *, now: float) -> None:
    """Release the attempts of unreachable workers whose leases have certainly ended."""
    for worker in cell.workers.values():
        if worker.reachable or not _has_lapsed(cell, worker, now=now):
            continue
        if worker.attempts:
            attempts = worker.attempts.values()
            lose_attempts(cell, worker, attempts, LossCause.SILENT, now=now)
        if worker.name in cell.withheld_tasks:
            lose_withheld(cell, worker, LossCause.SILENT, now=now)
        cell.mark_verified(worker.name)
