"""Requests for advice on the workers that may run a step, and handling of answers.

The jobs of some queues may run only on workers that an external service allows. The
service takes one call at a time, and each worker named adds to its duration. So a
request names few workers, and the tickets in the answer are used for the whole step.

A step is asked about until its waiting tasks can start with the tickets at hand: any of
them for tasks that start one by one, all at once for a gang. Workers that were allowed
before are named alone if they have room enough, as one short call then brings all
tickets. Otherwise those that were never asked about follow, and after all of them those
that weren't allowed, in case this has changed.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from ..core.ids import Seconds, WorkerId
from ..fleet.model import Advice, AdviceRequest
from .model import OpenStep, Ticket, Worker
from .preferences import list_unpreferred
from .queueing import order_steps
from .weights import ImageWeights
from .worker_choice import count_room, holds_ticket, is_bearable, list_open_workers

# names in a call that looks for workers, and the most that the service takes
WORKERS_PER_SEARCH_MAX = 30
WORKERS_PER_CALL_MAX = 100
# a ticket that expires before the start order arrives is useless
TICKET_MARGIN_SECONDS = 0.3
# pause before a worker is asked about again, and after a request that brought no advice
ADVICE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class _Need:
    """Waiting tasks of a step that avoid the same workers.

    Parameters
    ----------
    together : int
        Number of tasks that can only start together.
    wanted : int
        Number of tasks that wait.
    avoided : frozenset of WorkerId
        Workers that they avoid.
    """

    together: int
    wanted: int
    avoided: frozenset[WorkerId]


def find_advice_request(
    waiting: Iterable[OpenStep],
    workers: Iterable[Worker],
    weights: ImageWeights,
    *,
    now: float,
    wall: Seconds,
) -> tuple[OpenStep, AdviceRequest] | None:
    """Return the most urgent step that needs advice, and the request for it.

    Parameters
    ----------
    workers : iterable of Worker
        Workers of all services that accept new work.
    """
    pool = list(workers)
    steps = [step for step in waiting if step.job.record.policy.advised]
    steps = order_steps(steps, wall=wall)
    # one that was just asked about lets the others go first
    steps.sort(key=lambda step: now < step.asked_at + ADVICE_INTERVAL_SECONDS)
    for step in steps:
        if now < step.advice_failed_at + ADVICE_INTERVAL_SECONDS:
            continue
        candidates = _list_candidates(step, pool, weights, now=now)
        for need in _list_needs(step):
            names = _choose_names(step, need, candidates, now=now)
            if names:
                return step, AdviceRequest(task=step.tasks[0].key, workers=names)
    return None


def handle_advice(
    step: OpenStep,
    request: AdviceRequest,
    advice: Advice | None,
    workers: Mapping[WorkerId, Worker],
    *,
    now: float,
) -> None:
    """Store the tickets of an answer; None means that no answer arrived.

    A worker that was allowed before and isn't any more loses its ticket.
    """
    step.asked_at = now
    if advice is None:
        step.advice_failed_at = now
        return
    for name in request.workers:
        step.asked_workers[name] = now
        step.tickets.pop(name, None)
    expires_at = now + advice.valid_seconds - TICKET_MARGIN_SECONDS
    for name, value in advice.tickets:
        worker = workers.get(name)
        if worker is not None:
            step.tickets[name] = Ticket(value, expires_at, worker.incarnation)


def _list_candidates(
    step: OpenStep, pool: Iterable[Worker], weights: ImageWeights, *, now: float
) -> list[Worker]:
    """Return the workers on which tasks of a step could start, given tickets.

    Those that are kept for trials of its own are among them. The ones with most free
    processors come first.
    """
    service = step.job.record.policy.service
    workers = [worker for worker in pool if worker.entry.service == service]
    candidates = list_open_workers(step, workers, now=now)
    candidates.extend(_list_own_trials(step, workers))
    candidates.extend(list_unpreferred(step.waiting[0], workers, now=now))
    if step.spec.best_effort:
        candidates = [
            each for each in candidates if is_bearable(step, each, weights, now=now)
        ]
    candidates.sort(key=lambda worker: -worker.free_millicores)
    return candidates


def _list_own_trials(step: OpenStep, workers: list[Worker]) -> list[Worker]:
    kept = [task.trial.worker for task in step.waiting if task.trial is not None]
    return [worker for worker in kept if worker in workers]


def _list_needs(step: OpenStep) -> list[_Need]:
    """Return which waiting tasks of a step need tickets, and for how much room.

    A gang of which a run hasn't ended yet needs none.
    """
    avoided = [task.avoided_workers for task in step.waiting]
    if step.spec.gang:
        count = len(step.tasks)
        if len(step.waiting) < count:
            return []
        return [_Need(count, count, frozenset().union(*avoided))]
    return [_Need(1, count, workers) for workers, count in Counter(avoided).items()]


def _choose_names(
    step: OpenStep, need: _Need, candidates: list[Worker], *, now: float
) -> tuple[WorkerId, ...]:
    """Return the workers to ask about; none if it isn't necessary or of no use."""
    usable = [each for each in candidates if each.name not in need.avoided]
    valid = [each for each in usable if holds_ticket(step, each, now=now)]
    if _has_room(step, valid, need.together, now=now):
        return ()
    if not _has_room(step, usable, need.together, now=now):
        return ()
    allowed = [each for each in usable if each.name in step.tickets]
    if _has_room(step, allowed, need.together, now=now):
        sufficient = _limit_room(step, allowed, need.wanted, now=now)
        due = [each.name for each in sufficient if _is_due(step, each, now=now)]
        return tuple(due[:WORKERS_PER_CALL_MAX])
    unknown = [each.name for each in usable if each.name not in step.asked_workers]
    names = unknown or _list_refused(step, usable, now=now)
    return tuple(names[:WORKERS_PER_SEARCH_MAX])


def _list_refused(
    step: OpenStep, workers: list[Worker], *, now: float
) -> list[WorkerId]:
    """Return workers that weren't allowed, those with the oldest advice first."""
    if now < step.asked_at + ADVICE_INTERVAL_SECONDS:
        return []
    names = [each.name for each in workers if each.name not in step.tickets]
    return sorted(names, key=lambda name: step.asked_workers[name])


def _has_room(step: OpenStep, workers: list[Worker], tasks: int, *, now: float) -> bool:
    """Return whether some workers have capacity for a number of a step's tasks."""
    return sum(_iterate_room(step, workers, tasks, now=now)) >= tasks


def _limit_room(
    step: OpenStep, workers: list[Worker], tasks: int, *, now: float
) -> list[Worker]:
    """Return as many of the workers as have capacity for a number of tasks."""
    room = list(_iterate_room(step, workers, tasks, now=now))
    return workers[: len(room)]


def _iterate_room(
    step: OpenStep, workers: list[Worker], tasks: int, *, now: float
) -> Iterator[int]:
    """Yield the room on each worker until it suffices for a number of tasks."""
    left = tasks
    for worker in workers:
        if left <= 0:
            return
        room = count_room(step, worker, most=left, now=now)
        left -= room
        yield room


def _is_due(step: OpenStep, worker: Worker, *, now: float) -> bool:
    """Return whether a worker may be asked about again."""
    asked_at = step.asked_workers.get(worker.name, float("-inf"))
    return now >= asked_at + ADVICE_INTERVAL_SECONDS
