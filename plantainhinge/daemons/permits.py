"""Permits to send requests to targets, with one queue for each task class.

A permit is the right to one request slot of this gateway at a target. The pool is the
only state that the threads serving callers share; one lock guards it.
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
# weight of the newest sample; one is taken each time plans are set
LOAD_SMOOTHING_RATIO = 0.02


@dataclass(eq=False)
class PermitRequest:
    """A request for a permit; ``permit`` resolves to the chosen target.

    Targets in ``tried`` are not chosen.
    """

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
    """Grants permits at the targets of all services; safe to use from any thread.

    Parameters
    ----------
    plan_lifetime_seconds : float
        Time after which a plan expires, so that a process that was paused does not
        route by the plan from before the pause.
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
        """Reserve a thread for a kind of work; return whether one was available."""
        with self.lock:
            if not self.policy.allows_thread(self._bulkheads, kind, task_class):
                return False
            acquire_thread(self._bulkheads, kind, task_class)
            return True

    def release_thread(self, kind: KindId, task_class: TaskClass) -> None:
        """Release a thread that ``acquire_thread`` reserved."""
        with self.lock:
            release_thread(self._bulkheads, kind, task_class)

    def set_plans(self, plans: dict[ServiceId, ServicePlan], now: Seconds) -> None:
        """Replace the plans, and grant queued requests the permits that they add."""
        with self.lock:
            self._plans = plans
            self._planned_at = now
            for load in self._loads.values():
                load.mean_critical_in_flight += LOAD_SMOOTHING_RATIO * (
                    load.critical_in_flight - load.mean_critical_in_flight
                )
            self._grant_waiting(now)

    def record_arrival(self, service: ServiceId, now: Seconds) -> None:
        """Count a request, which adds a fraction of a retry to the retry budget."""
        with self.lock:
            load = self._get_load(service)
            load.arrivals.add(now)
            add_request(load.budget)

    def admit(
        self,
        service: ServiceId,
        task_class: TaskClass,
        remaining_seconds: float,
        now: Seconds,
    ) -> bool:
        """Return whether a request may wait for a permit, given its remaining time."""
        with self.lock:
            return self.policy.admit(
                self._build_queue_state(service, task_class, now), remaining_seconds
            )

    def record_rejection(
        self, service: ServiceId, task_class: TaskClass, now: Seconds
    ) -> float:
        """Count a rejected request and return the seconds after which to retry it."""
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
        remaining_seconds: float,
    ) -> TargetRow | None:
        """Acquire a permit and return its target, or None if none came free in time.

        The request queues for at most a part of ``remaining_seconds``.
        """
        row = self.try_acquire(service, task_class, tried, now=now)
        if row is not None:
            return row
        request = self.request(service, task_class, tried, now=now)
        try:
            return request.permit.result(compute_max_queue_wait(remaining_seconds))
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
        """Request a permit; it is granted immediately if one is free.

        Otherwise the request is queued until ``release`` or ``set_plans`` grants it
        or ``cancel_request`` removes it.
        """
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
        """Remove a request from the queue.

        Returns the target if the permit was granted in the meantime; the permit must
        then be released.
        """
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
        """Acquire a permit if one is free and no request is queued ahead for it."""
        with self.lock:
            if self._count_ahead(task_class):
                return None
            return self._choose_target(service, task_class, tried, now)

    def release(
        self, row: TargetRow, task_class: TaskClass, *, now: Seconds, abandoned: bool
    ) -> None:
        """Release a permit, and grant it to the first request in the queue.

        Parameters
        ----------
        abandoned : bool
            Whether the exchange was given up; the target may then still hold the
            connection and run the request.
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
        self, row: TargetRow, response: TargetResponse, seconds: float, now: Seconds
    ) -> None:
        """Record a complete response, and eject the target on a server error."""
        with self.lock:
            service = self.table.get_service(row.target.service)
            record_response(
                row,
                service,
                seconds=seconds,
                reported_in_flight=response.in_flight,
                leaving=response.leaving,
                now=now,
            )
            self._get_load(row.target.service).responses.add(now)
            if response.status >= SERVER_ERROR and not response.refused:
                self.policy.eject(row, now, self.random.random())
            else:
                record_success(row, now)

    def record_failure(self, row: TargetRow, now: Seconds) -> None:
        """Record a request without a complete response, which may eject the target."""
        with self.lock:
            self.policy.eject(row, now, self.random.random())

    def spend_retry(self, service: ServiceId) -> bool:
        """Take one attempt from the retry budget; return False if it is used up."""
        with self.lock:
            return self.policy.spend(self._get_load(service).budget)

    def get_typical_latency(self, service: ServiceId) -> float:
        """Return the typical latency of an idle target of a service, in seconds."""
        return self.table.get_service(service).typical_latency

    def get_loads(
        self, now: Seconds
    ) -> tuple[dict[ServiceId, int], dict[ServiceId, float]]:
        """Return the requests in flight and the arrivals per second of each service."""
        with self.lock:
            in_flight = {name: load.in_flight for name, load in self._loads.items()}
            arrivals = {
                name: load.arrivals.read(now) for name, load in self._loads.items()
            }
        return in_flight, arrivals

    def count_waiting(self, task_class: TaskClass) -> int:
        """Return the number of queued requests of a class."""
        with self.lock:
            return len(self._waiting[task_class])

    def get_mean_critical_in_flight(self, service: ServiceId) -> float:
        """Return the mean number of latency-critical requests in flight.

        It is sampled each time plans are set, and smoothed exponentially.
        """
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
        for queue in self._waiting.values():
            while queue:
                first = queue[0]
                row = self._choose_target(
                    first.service, first.task_class, first.tried, now
                )
                if row is None:
                    break
                queue.popleft().permit.set_result(row)
