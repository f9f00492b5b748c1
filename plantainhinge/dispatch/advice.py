"""Which steps need advice on their workers, and what the advice allows.

Answers queues whose jobs may run on some workers only, known to a service outside.
That service takes one call at a time and a time for each worker named, so a call
names few workers, those with the most room, and its tickets serve the whole step.
"""

from collections.abc import Iterable

from ..core.ids import Seconds
from ..fleet.model import Advice, AdviceRequest
from .placing import has_room, holds_ticket, may_run
from .queueing import order_steps
from .tables import StepRun, Worker, count_committed

WORKERS_PER_CALL = 30
# tickets that run out while a start is on its way are of no use
TICKET_MARGIN_SECONDS = 0.3
ASK_AGAIN_SECONDS = 1.0


def find_request(
    waiting: Iterable[StepRun],
    workers: Iterable[Worker],
    *,
    now: float,
    wall: Seconds,
) -> tuple[StepRun, AdviceRequest] | None:
    """Return the most urgent step that needs advice, and what to ask."""
    pool = list(workers)
    steps = [step for step in waiting if step.job.record.policy.advised]
    for step in order_steps(steps, wall=wall):
        if now < step.asked_at + ASK_AGAIN_SECONDS or has_ticket(step, pool, now=now):
            continue
        candidates = [worker for worker in pool if _is_candidate(step, worker, now=now)]
        if not candidates:
            continue
        candidates.sort(
            key=lambda worker: (worker.name in step.asked, -worker.room_now)
        )
        names = tuple(worker.name for worker in candidates[:WORKERS_PER_CALL])
        return step, AdviceRequest(task=step.tasks[0].key, workers=names)
    return None


def take_advice(
    step: StepRun, request: AdviceRequest, advice: Advice | None, *, now: float
) -> None:
    """Enter the tickets that came; no answer lets the step ask again later."""
    step.asked_at = now
    if advice is None:
        return
    step.asked.update(request.workers)
    until = now + advice.valid - TICKET_MARGIN_SECONDS
    for worker, ticket in advice.tickets:
        step.tickets[worker] = (ticket, until)


def has_ticket(step: StepRun, workers: Iterable[Worker], *, now: float) -> bool:
    """Return whether a worker with room holds a valid ticket for a step."""
    needs = count_committed(step.spec)
    return any(
        holds_ticket(step, worker, now=now)
        and has_room(step, needs, worker, now=now)
        and may_run(step, worker)
        for worker in workers
    )


def _is_candidate(step: StepRun, worker: Worker, *, now: float) -> bool:
    return (
        worker.accepts(now)
        and worker.entry.service == step.job.record.policy.service
        and has_room(step, count_committed(step.spec), worker, now=now)
        and may_run(step, worker)
    )
