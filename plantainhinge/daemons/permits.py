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
LOAD_SMOOTHING_RATIO = 0.02


@dataclass(eq=False)
class PermitRequest:
    """A request for a place; ``place`` is done once it has one."""

    service: ServiceId
    task_class: TaskClass
    tried: frozenset[TargetId]
    permit: Future[TargetRow] = field(default_factory=Future)


@dataclass
class _ServiceLoad:
    arrivals: DecayingRate = field(default_factory=DecayingRate)
    responses: DecayingRate = field(default_factory=DecayingRate)
    rejections: DecayingRate = field(default_factory=DecayingRate)
    budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: int = 0
    critical_in_flight: int = 0
    mean_critical_in_flight: float = 0.0
    turn: int = 0


class PermitPool:
    """Places at the targets of all services; safe to use from any thread.

    Parameters
    ----------
    plan_lifetime_seconds : float
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
        plan_lifetime_seconds: float = math.inf,
    ) -> None:
        self.table = table
        self.policy = policy
        self.lock = threading.Lock()
        self.random = random.Random(seed)
        self._bulkheads = BulkheadUsage(threads)
        self._plans: dict[ServiceId, ServicePlan] = {}
        self._planned_at = Seconds(0.0)
        self._plan_lifetime_seconds = plan_lifetime_seconds
        self._loads: dict[ServiceId, _ServiceLoad] = {}
        self._waiting: dict[TaskClass, deque[PermitRequest]] = {
            TaskClass.LATENCY_CRITICAL: deque(),
            TaskClass.BATCH: deque(),
        }

    def acquire_thread(self, kind: KindId, task_class: TaskClass) -> bool:
        """Hold a thread for a kind of work; return whether it may have one."""
        with self.lock:
            if not self.policy.allows_thread(self._bulkheads, kind, task_class):
                return False
            acquire_thread(self._bulkheads, kind, task_class)
            return True

    def release_thread(self, kind: KindId, task_class: TaskClass) -> None:
        """Free the thread that ``enter`` held."""
        with self.lock:
            release_thread(self._bulkheads, kind, task_class)

    def set_plans(self, plans: dict[ServiceId, ServicePlan], now: Seconds) -> None:
        """Use new plans from now on, and serve who waits for what they opened."""
        with self.lock:
            self._plans = plans
            self._planned_at = now
            for load in self._loads.values():
                load.mean_critical_in_flight += LOAD_SMOOTHING_RATIO * (
                    load.critical_in_flight - load.mean_critical_in_flight
                )
            self._grant_waiting(now)

    def record_arrival(self, service: ServiceId, now: Seconds) -> None:
        """Count a request, which earns a part of a retry."""
        with self.lock:
            load = self._get_load(service)
            load.arrivals.add(now)
            add_request(load.budget)

    def admit(
        self, service: ServiceId, task_class: TaskClass, left: float, now: Seconds
    ) -> bool:
        """Return whether a request with ``left`` seconds may try for a place."""
        with self.lock:
            return self.policy.admit(
                self._build_queue_state(service, task_class, now), left
            )

    def record_rejection(
        self, service: ServiceId, task_class: TaskClass, now: Seconds
    ) -> float:
        """Count a refusal and return the seconds after which to come back."""
        with self.lock:
            load = self._get_load(service)
            load.rejections.add(now)
            return estimate_retry_after(
                self._build_queue_state(service, task_class, now),
                refused=load.rejections.read(now),
                answered=load.responses.read(now),
                jitter=self.random.random(),
            )

    def acquire(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: set[TargetId],
        *,
        now: Seconds,
        left: float,
    ) -> TargetRow | None:
        """Return a place, waiting in line for part of the ``left`` seconds."""
        row = self.try_acquire(service, task_class, tried, now=now)
        if row is not None:
            return row
        request = self.request(service, task_class, tried, now=now)
        try:
            return request.permit.result(compute_max_queue_wait(left))
        except FutureTimeoutError:
            return self.cancel_request(request)

    def request(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: set[TargetId],
        *,
        now: Seconds,
    ) -> PermitRequest:
        """Return a request for a place, done at once if one is free."""
        request = PermitRequest(service, task_class, frozenset(tried))
        with self.lock:
            row = None
            if not self._count_ahead(task_class):
                row = self._choose_target(service, task_class, tried, now)
            if row is None:
                self._waiting[task_class].append(request)
            else:
                request.permit.set_result(row)
        return request

    def cancel_request(self, request: PermitRequest) -> TargetRow | None:
        """Leave the line; return the place if there was one after all."""
        with self.lock:
            if request.permit.done():
                return request.permit.result()
            self._waiting[request.task_class].remove(request)
            return None

    def try_acquire(
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
            return self._choose_target(service, task_class, tried, now)

    def release(
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
            load = self._get_load(row.target.service)
            load.in_flight -= 1
            load.critical_in_flight -= task_class is TaskClass.LATENCY_CRITICAL
            if abandoned:
                record_abandoned(row, now)
            self._grant_waiting(now)

    def record_response(
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
            self._get_load(row.target.service).responses.add(now)
            if answer.status >= SERVER_ERROR and not answer.refused:
                self.policy.eject(row, now, self.random.random())
            else:
                record_success(row, now)

    def record_failure(self, row: TargetRow, now: Seconds) -> None:
        """Learn from a request that got no whole answer."""
        with self.lock:
            self.policy.eject(row, now, self.random.random())

    def spend_retry(self, service: ServiceId) -> bool:
        """Take one further attempt from the budget of a service."""
        with self.lock:
            return self.policy.spend(self._get_load(service).budget)

    def get_typical_latency(self, service: ServiceId) -> float:
        """Return the seconds that an idle target of a service takes."""
        return self.table.get_service(service).typical_latency

    def get_loads(
        self, now: Seconds
    ) -> tuple[dict[ServiceId, int], dict[ServiceId, float]]:
        """Return requests in flight, and arrivals a second, by service."""
        with self.lock:
            in_flight = {name: load.in_flight for name, load in self._loads.items()}
            arrivals = {
                name: load.arrivals.read(now) for name, load in self._loads.items()
            }
        return in_flight, arrivals

    def count_waiting(self, task_class: TaskClass) -> int:
        """Return the requests of a class that wait for a place."""
        with self.lock:
            return len(self._waiting[task_class])

    def get_mean_critical_in_flight(self, service: ServiceId) -> float:
        """Return the latency-critical requests in flight, averaged over plans."""
        with self.lock:
            return self._get_load(service).mean_critical_in_flight

    def _get_load(self, service: ServiceId) -> _ServiceLoad:
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = _ServiceLoad()
        return load

    def _count_ahead(self, task_class: TaskClass) -> int:
        ahead = len(self._waiting[TaskClass.LATENCY_CRITICAL])
        if task_class is TaskClass.BATCH:
            ahead += len(self._waiting[TaskClass.BATCH])
        return ahead

    def _build_queue_state(
        self, service: ServiceId, task_class: TaskClass, now: Seconds
    ) -> QueueState:
        plan = self._plans.get(service)
        if plan is None:
            return QueueState(
                ahead=0, permits=0, permit_seconds=0.0, has_free_permit=False
            )
        batch = task_class is TaskClass.BATCH
        ahead = self._count_ahead(task_class)
        in_use = self._get_load(service).in_flight
        permits = plan.batch_permits if batch else len(plan.rows) * plan.max_in_flight
        return QueueState(
            ahead=ahead,
            permits=permits,
            permit_seconds=self.get_typical_latency(service),
            has_free_permit=not ahead and in_use < permits,
        )

    def _choose_target(
        self,
        service: ServiceId,
        task_class: TaskClass,
        tried: AbstractSet[TargetId],
        now: Seconds,
    ) -> TargetRow | None:
        plan = self._plans.get(service)
        if plan is None or now > self._planned_at + self._plan_lifetime_seconds:
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
        load = self._get_load(service)
        row = self.policy.choose(rows, self._build_context(service, load, now))
        record_sent(row, batch=batch)
        load.in_flight += 1
        load.critical_in_flight += not batch
        return row

    def _build_context(
        self, service: ServiceId, load: _ServiceLoad, now: Seconds
    ) -> ChoiceContext:
        load.turn += 1
        draw = self.random.random
        return ChoiceContext(
            typical_latency=self.get_typical_latency(service),
            now=now,
            draws=(draw(), draw(), draw(), draw()),
            turn=load.turn,
        )

    def _grant_waiting(self, now: Seconds) -> None:
        for line in self._waiting.values():
            while line:
                first = line[0]
                row = self._choose_target(
                    first.service, first.task_class, first.tried, now
                )
                if row is None:
                    break
                line.popleft().permit.set_result(row)
