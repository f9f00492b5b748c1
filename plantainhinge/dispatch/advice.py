"""Requests for advice on the workers that may run a step, and handling of answers.

The jobs of some queues may run only on workers that an external service allows. The
service takes one call at a time, and each worker named adds to its duration. So a
request names few workers, those with the most free capacity, and the tickets in the
answer are used for the whole step.
"""

from collections.abc import Iterable

from ..core.ids import Seconds
from ..fleet.model import Advice, AdviceRequest
from .model import OpenStep, Worker
from .queueing import order_steps
from .worker_choice import has_capacity, holds_ticket, meets_constraints

WORKERS_PER_CALL_MAX = 30
# a ticket that expires before the start order arrives is useless
TICKET_MARGIN_SECONDS = 0.3
ADVICE_INTERVAL_SECONDS = 1.0


def find_advice_request(
    waiting: Iterable[OpenStep],
    workers: Iterable[Worker],
    *,
    now: float,
    wall: Seconds,
) -> tuple[OpenStep, AdviceRequest] | None:
    """Return the most urgent step that needs advice, and the request for it.

    Workers that were not asked about yet are named first.
    """
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
    """Store the tickets of an answer; None means that no answer arrived."""
    step.asked_at = now
    if advice is None:
        return
    step.asked_workers.update(request.workers)
    until = now + advice.valid_seconds - TICKET_MARGIN_SECONDS
    for worker, ticket in advice.tickets:
        step.tickets[worker] = (ticket, until)


def has_usable_ticket(step: OpenStep, workers: Iterable[Worker], *, now: float) -> bool:
    """Return whether a step has a valid ticket for a worker with free capacity."""
    return any(
        holds_ticket(step, worker, now=now)
        and has_capacity(step, worker, now=now)
        and meets_constraints(step, worker)
        for worker in workers
    )


def _is_candidate(step: OpenStep, worker: Worker, *, now: float) -> bool:
    return (
        worker.accepts_work(now)
        and worker.entry.service == step.job.record.policy.service
        and has_capacity(step, worker, now=now)
        and meets_constraints(step, worker)
    )
