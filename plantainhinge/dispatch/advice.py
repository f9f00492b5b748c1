"""Which steps need advice on their workers, and what the advice allows.

Answers queues whose jobs may run on some workers only, known to a service outside.
That service takes one call at a time and a time for each worker named, so a call
names few workers, those with the most room, and its tickets serve the whole step.
"""

from collections.abc import Iterable

from ..core.ids import Seconds
from ..fleet.model import Advice, AdviceRequest
from .model import OpenStep, Worker, count_committed
from .queueing import order_steps
from .worker_choice import has_capacity, holds_ticket, meets_constraints

WORKERS_PER_CALL_MAX = 30
# tickets that run out while a start is on its way are of no use
TICKET_MARGIN_SECONDS = 0.3
ADVICE_INTERVAL_SECONDS = 1.0


def find_advice_request(
    waiting: Iterable[OpenStep],
    workers: Iterable[Worker],
    *,
    now: float,
    wall: Seconds,
) -> tuple[OpenStep, AdviceRequest] | None:
    """Return the most urgent step that needs advice, and what to ask."""
    pool = list(workers)
    steps = [step for step in waiting if step.job.record.policy.advised]
    for step in order_steps(steps, wall=wall):
        if now < step.asked_at + ADVICE_INTERVAL_SECONDS or has_usable_ticket(
            step, pool, now=now
        ):
            continue
        candidates = [worker for worker in pool if _is_candidate(step, worker, now=now)]
        if not candidates:
            continue
        candidates.sort(
            key=lambda worker: (
                worker.name in step.asked_workers,
                -worker.free_millicores,
            )
        )
        names = tuple(worker.name for worker in candidates[:WORKERS_PER_CALL_MAX])
        return step, AdviceRequest(task=step.tasks[0].key, workers=names)
    return None


def handle_advice(
    step: OpenStep, request: AdviceRequest, advice: Advice | None, *, now: float
) -> None:
    """Enter the tickets that came; no answer lets the step ask again later."""
    step.asked_at = now
    if advice is None:
        return
    step.asked_workers.update(request.workers)
    until = now + advice.valid - TICKET_MARGIN_SECONDS
    for worker, ticket in advice.tickets:
        step.tickets[worker] = (ticket, until)


def has_usable_ticket(step: OpenStep, workers: Iterable[Worker], *, now: float) -> bool:
    """Return whether a worker with room holds a valid ticket for a step."""
    needs = count_committed(step.spec)
    return any(
        holds_ticket(step, worker, now=now)
        and has_capacity(step, needs, worker, now=now)
        and meets_constraints(step, worker)
        for worker in workers
    )


def _is_candidate(step: OpenStep, worker: Worker, *, now: float) -> bool:
    return (
        worker.accepts_work(now)
        and worker.entry.service == step.job.record.policy.service
        and has_capacity(step, count_committed(step.spec), worker, now=now)
        and meets_constraints(step, worker)
    )
