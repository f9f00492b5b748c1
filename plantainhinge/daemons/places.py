"""Places at targets: taken, waited for in order of class, and given back.

The only shared state of the threads that answer callers; one lock guards it.
"""

import math
import random
import threading
from collections import deque
from collections.abc import Set as AbstractSet
from concurrent.futures import (
    Future,
    TimeoutError as FutureTimeoutError,
)
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds, ServiceId, TargetId
from ..core.messages import TargetResponse
from ..core.states import TaskClass
from ..routing.admission import (
    BulkheadUsage,
    DecayingRate,
    QueueState,
    acquire_thread,
    compute_max_queue_wait,
    estimate_retry_after,
    release_thread,
)
from ..routing.budgets import RetryBudget, add_request
from ..routing.choice import ChoiceContext
from ..routing.ejection import list_available, record_success
from ..routing.plans import ServicePlan
from ..routing.policy import Policy
from ..routing.targets import (
    TargetRow,
    TargetTable,
    record_abandoned,
    record_response,
    record_sent,
    record_settled,
)

SERVER_ERROR = 500
LOOKUPS_WEIGHT = 0.02


@dataclass(eq=False)
class Waiter:
    """A request for a place; ``place`` is done once it has one."""

    service: ServiceId
    task_class: TaskClass
    tried: frozenset[TargetId]
    place: Future[TargetRow] = field(default_factory=Future)


@dataclass
class _ServiceLoad:
    arrived: DecayingRate = field(default_factory=DecayingRate)
    answered: DecayingRate = field(default_factory=DecayingRate)
    refused: DecayingRate = field(default_factory=DecayingRate)
    budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: int = 0
    lookups: int = 0
    mean_lookups: float = 0.0
    turn: int = 0


class Places:
    """Places at the targets of all services; safe to use from any thread.

    Parameters
    ----------
    plan_seconds : float
        How long a plan holds: a process that was paused must not route by the
        plan it had before.
    """

    def __init__(
        self,
        table: TargetTable,
        policy: Policy,
        *,
        threads: int,
        seed: int | None,
        plan_seconds: float = math.inf,
    ) -> None:
        self.table = table
        self.policy = policy
        self.lock = threading.Lock()
        self.random = random.Random(seed)
        self._bulkheads = BulkheadUsage(threads)
        self._plans: dict[ServiceId, ServicePlan] = {}
        self._planned_at = Seconds(0.0)
        self._plan_seconds = plan_seconds
        self._loads: dict[ServiceId, _ServiceLoad] = {}
        self._waiting: dict[TaskClass, deque[Waiter]] = {
            TaskClass.LATENCY_CRITICAL: deque(),
            TaskClass.BATCH: deque(),
        }

    def enter(self, kind: KindId, task_class: TaskClass) -> bool:
        """Hold a thread for a kind of work; return whether it may have one."""
        with self.lock:
            if not self.policy.allows_thread(self._bulkheads, kind, task_class):
                return False
            acquire_thread(self._bulkheads, kind, task_class)
            return True

    def leave(self, kind: KindId, task_class: TaskClass) -> None:
        """Free the thread that ``enter`` held."""
        with self.lock:
            release_thread(self._bulkheads, kind, task_class)

    def set_plans(self, plans: dict[ServiceId, ServicePlan], now: Seconds) -> None:
        """Use new plans from now on, and serve who waits for what they opened."""
        with self.lock:
            self._plans = plans
            self._planned_at = now
            for load in self._loads.values():
                load.mean_lookups += LOOKUPS_WEIGHT * (load.lookups - load.mean_lookups)
            self._serve_waiting(now)

    def note_arrival(self, service: ServiceId, now: Seconds) -> None:
        """Count a request, which earns a part of a retry."""
        with self.lock:
            load = self._find_load(service)
            load.arrived.add(now)
            add_request(load.budget)

    def admit(
        self, service: ServiceId, task_class: TaskClass, left: float, now: Seconds
    ) -> bool:
        """Return whether a request with ``left`` seconds may try for a place."""
        with self.lock:
            return self.policy.admit(self._view(service, task_class, now), left)

    def refuse(self, service: ServiceId, task_class: TaskClass, now: Seconds) -> float:
        """Count a refusal and return the seconds after which to come back."""
        with self.lock:
            load = self._find_load(service)
            load.refused.add(now)
            return estimate_retry_after(
                self._view(service, task_class, now),
                refused=load.refused.read(now),
                answered=load.answered.read(now),
                jitter=self.random.random(),
            )

    def take(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: set[TargetId],
        *,
        now: Seconds,
        left: float,
    ) -> TargetRow | None:
        """Return a place, waiting in line for part of the ``left`` seconds."""
        row = self.take_at_once(service, task_class, tried, now=now)
        if row is not None:
            return row
        waiter = self.ask(service, task_class, tried, now=now)
        try:
            return waiter.place.result(compute_max_queue_wait(left))
        except FutureTimeoutError:
            return self.stop_waiting(waiter)

    def ask(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: set[TargetId],
        *,
        now: Seconds,
    ) -> Waiter:
        """Return a request for a place, done at once if one is free."""
        waiter = Waiter(service, task_class, frozenset(tried))
        with self.lock:
            row = None
            if not self._count_ahead(task_class):
                row = self._try_take(service, task_class, tried, now)
            if row is None:
                self._waiting[task_class].append(waiter)
            else:
                waiter.place.set_result(row)
        return waiter

    def stop_waiting(self, waiter: Waiter) -> TargetRow | None:
        """Leave the line; return the place if there was one after all."""
        with self.lock:
            if waiter.place.done():
                return waiter.place.result()
            self._waiting[waiter.task_class].remove(waiter)
            return None

    def take_at_once(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: set[TargetId],
        *,
        now: Seconds,
    ) -> TargetRow | None:
        """Return a place if one is free that nobody waits for."""
        with self.lock:
            if self._count_ahead(task_class):
                return None
            return self._try_take(service, task_class, tried, now)

    def give_back(
        self, row: TargetRow, task_class: TaskClass, *, now: Seconds, abandoned: bool
    ) -> None:
        """Settle a place, and hand it to who waits first.

        Parameters
        ----------
        abandoned : bool
            The target may still hold the connection and run the request.
        """
        with self.lock:
            record_settled(row, batch=task_class is TaskClass.BATCH)
            load = self._find_load(row.target.service)
            load.in_flight -= 1
            load.lookups -= task_class is TaskClass.LATENCY_CRITICAL
            if abandoned:
                record_abandoned(row, now)
            self._serve_waiting(now)

    def note_answer(
        self, row: TargetRow, answer: TargetResponse, seconds: float, now: Seconds
    ) -> None:
        """Learn from a whole answer."""
        with self.lock:
            service = self.table.get_service(row.target.service)
            record_response(
                row,
                service,
                seconds=seconds,
                reported_in_flight=answer.in_flight,
                leaving=answer.leaving,
                now=now,
            )
            self._find_load(row.target.service).answered.add(now)
            if answer.status >= SERVER_ERROR and not answer.refused:
                self.policy.eject(row, now, self.random.random())
            else:
                record_success(row, now)

    def note_failure(self, row: TargetRow, now: Seconds) -> None:
        """Learn from a request that got no whole answer."""
        with self.lock:
            self.policy.eject(row, now, self.random.random())

    def spend(self, service: ServiceId) -> bool:
        """Take one further attempt from the budget of a service."""
        with self.lock:
            return self.policy.spend(self._find_load(service).budget)

    def read_typical(self, service: ServiceId) -> float:
        """Return the seconds that an idle target of a service takes."""
        return self.table.get_service(service).typical_latency

    def read_loads(
        self, now: Seconds
    ) -> tuple[dict[ServiceId, int], dict[ServiceId, float]]:
        """Return requests in flight, and arrivals a second, by service."""
        with self.lock:
            in_flight = {name: load.in_flight for name, load in self._loads.items()}
            arrivals = {
                name: load.arrived.read(now) for name, load in self._loads.items()
            }
        return in_flight, arrivals

    def count_waiting(self, task_class: TaskClass) -> int:
        """Return the requests of a class that wait for a place."""
        with self.lock:
            return len(self._waiting[task_class])

    def read_lookups(self, service: ServiceId) -> float:
        """Return the latency-critical requests in flight, averaged over plans."""
        with self.lock:
            return self._find_load(service).mean_lookups

    def _find_load(self, service: ServiceId) -> _ServiceLoad:
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = _ServiceLoad()
        return load

    def _count_ahead(self, task_class: TaskClass) -> int:
        ahead = len(self._waiting[TaskClass.LATENCY_CRITICAL])
        if task_class is TaskClass.BATCH:
            ahead += len(self._waiting[TaskClass.BATCH])
        return ahead

    def _view(
        self, service: ServiceId, task_class: TaskClass, now: Seconds
    ) -> QueueState:
        plan = self._plans.get(service)
        if plan is None:
            return QueueState(
                ahead=0, permits=0, permit_seconds=0.0, has_free_permit=False
            )
        batch = task_class is TaskClass.BATCH
        ahead = self._count_ahead(task_class)
        in_use = self._find_load(service).in_flight
        permits = plan.batch_permits if batch else len(plan.rows) * plan.max_in_flight
        return QueueState(
            ahead=ahead,
            permits=permits,
            permit_seconds=self.read_typical(service),
            has_free_permit=not ahead and in_use < permits,
        )

    def _try_take(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: AbstractSet[TargetId],
        now: Seconds,
    ) -> TargetRow | None:
        plan = self._plans.get(service)
        if plan is None or now > self._planned_at + self._plan_seconds:
            return None
        batch = task_class is TaskClass.BATCH
        rows = list_available(
            plan.rows,
            max_in_flight=plan.max_in_flight,
            max_connections=plan.max_connections,
            batch=batch,
            now=now,
        )
        if tried:
            rows = [row for row in rows if row.target.target not in tried]
        if not rows:
            return None
        load = self._find_load(service)
        row = self.policy.choose(rows, self._build_context(service, load, now))
        record_sent(row, batch=batch)
        load.in_flight += 1
        load.lookups += not batch
        return row

    def _build_context(
        self, service: ServiceId, load: _ServiceLoad, now: Seconds
    ) -> ChoiceContext:
        load.turn += 1
        draw = self.random.random
        return ChoiceContext(
            typical_latency=self.read_typical(service),
            now=now,
            draws=(draw(), draw(), draw(), draw()),
            turn=load.turn,
        )

    def _serve_waiting(self, now: Seconds) -> None:
        for line in self._waiting.values():
            while line:
                first = line[0]
                row = self._try_take(first.service, first.task_class, first.tried, now)
                if row is None:
                    break
                line.popleft().place.set_result(row)
