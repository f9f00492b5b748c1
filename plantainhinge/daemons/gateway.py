"""The gateway daemon: routes requests to targets and forwards calls about jobs.

Requests run in the threads of the callers' server; a tick thread refreshes the targets
and plans used to route them.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from ..adapters.callers_http import JobRequest
from ..adapters.peers_grpc import Call
from ..core.calls import CallerRequest, CallerResponse
from ..core.clock import read_monotonic, read_wall
from ..core.configuration import Configuration, Kind
from ..core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UnavailableError,
)
from ..core.ids import KindId, Seconds, ServiceId, TaskId
from ..core.messages import Heartbeat, JobStatus, SubmitJob
from ..core.metrics import Counter, Distribution, Level
from ..core.protocols import TargetClient
from ..core.states import Outcome, TaskClass
from ..routing.admission import estimate_recovery
from ..routing.claims import KeyAge, classify_key_age, parse_key_time
from ..routing.plans import (
    TICK_GAP_SECONDS_MAX,
    PauseDetector,
    build_load_digests,
    compute_confirmation_age,
    may_route,
    record_tick,
)
from ..routing.policy import Policy, build_policy
from ..routing.responses import build_error_response, build_key_response
from ..routing.targets import TargetTable
from .executor import TickCallback
from .ledger_client import LedgerClient
from .node import Node
from .permits import PermitPool
from .request_runner import RequestRunner, RunnerDependencies
from .target_view import TargetView

T = TypeVar("T")

# the kind under which all calls about jobs are counted in the thread limits
JOBS_KIND = KindId("/jobs")
MILLISECONDS_PER_SECOND = 1000
CLOSE_IDLE_PERIOD_SECONDS = 5.0


class Gateway:
    """Serves callers and peers; ``tick`` refreshes the routing plans."""

    def __init__(
        self, node: Node, targets: TargetClient, *, policy: Policy | None = None
    ) -> None:
        self.node = node
        self.permits = PermitPool(
            TargetTable(node.settings.domain),
            policy or build_policy(),
            threads=node.settings.callers.threads,
            seed=None,
            plan_lifetime_seconds=TICK_GAP_SECONDS_MAX,
        )
        self.ledgers = LedgerClient(node, self.permits.random.random)
        self._target_view = TargetView(node, self.permits)
        self._targets = targets
        self._may_route = False
        self._pause_detector = PauseDetector()
        self._unroutable_since: Seconds | None = None
        self._close_idle_due = Seconds(0.0)
        self._dependencies = RunnerDependencies(
            process=node.process,
            permits=self.permits,
            targets=targets,
            claim=self.ledgers.claim,
            finish=self.ledgers.finish,
            add_event=node.events.add,
            count_retry=self._count_retry,
            read_now=read_monotonic,
        )
        node.build_heartbeat = self.build_heartbeat

    def tick(self, callbacks: Iterable[TickCallback], now: Seconds) -> None:
        """Run the posted callbacks, then refresh the view of targets."""
        for callback in callbacks:
            callback(now)
        self.node.step(now)
        self.ledgers.step(now)
        self._refresh(now)
        in_flight, _ = self.permits.get_loads(now)
        for service, count in in_flight.items():
            self.node.metrics.set(Level.IN_FLIGHT, count, service=service)
        if now >= self._close_idle_due:
            self._close_idle_due = Seconds(now + CLOSE_IDLE_PERIOD_SECONDS)
            self._targets.close_idle()

    def handle_call(self, call: Call, now: Seconds) -> None:
        """Answer a peer's call; calls to stream owners are refused."""
        if not self.node.handle_call(call, now):
            error = NotOwnerError("a gateway owns nothing", step="gateway.call")
            call.response.set_exception(error)

    def build_heartbeat(self) -> Heartbeat:
        """Return this process's heartbeat with the load of each service."""
        base = self.node.build_base_heartbeat()
        in_flight, arrivals = self.permits.get_loads(read_monotonic())
        return msgspec.structs.replace(
            base, ready=self.is_ready(), loads=build_load_digests(in_flight, arrivals)
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        is_warm = self._target_view.is_warm(read_monotonic())
        return self._may_route and is_warm and self.node.is_ready()

    def stop(self) -> None:
        """Begin a planned stop: report unready, but keep answering requests."""
        self.node.leaving = True

    def has_stopped(self) -> bool:
        """Return whether ledgers have acknowledged the ends of all claimed requests."""
        return not self.ledgers.has_unacknowledged_finishes()

    def handle(self, request: CallerRequest) -> CallerResponse:
        """Handle a request for a service and return the response for its caller."""
        started_at = read_monotonic()
        routine = self._is_routine(request.kind)
        self.node.events.add(
            "request.received",
            request.request,
            routine=routine,
            kind=request.kind,
            key=request.key or "",
            path=request.path,
        )
        try:
            response = self._handle_service_request(request)
        except PlantainhingeError as error:
            response = build_error_response(error)
        self.node.events.add(
            "request.answered",
            request.request,
            routine=routine,
            outcome=response.outcome.value,
            status=str(response.status),
            code=response.code,
            key=request.key or "",
        )
        self._record_metrics(request, response, read_monotonic() - started_at)
        return response

    def submit(self, job: JobRequest) -> JobStatus:
        """Submit a job; return its status once its ledger has recorded it."""
        kind = self._find_kind(self._require_configuration(), job.kind)
        message = SubmitJob(
            task=job.id, kind=job.kind, team=kind.team, run_seconds=job.run_seconds
        )
        return self._run_job_call(lambda: self.ledgers.submit(message))

    def query(self, task: TaskId) -> JobStatus:
        """Return a job's status from the ledger that has it."""
        return self._run_job_call(lambda: self.ledgers.query(task))

    def cancel(self, task: TaskId) -> JobStatus:
        """Cancel a job in the ledger that has it, and return its status."""
        return self._run_job_call(lambda: self.ledgers.cancel(task))

    def _handle_service_request(self, request: CallerRequest) -> CallerResponse:
        kind = self._find_kind(self._require_configuration(), request.kind)
        if kind.service is None:
            raise BadInputError(
                f"kind {request.kind!r} is batch work; submit it to /jobs",
                step="request.check",
            )
        self._require_routing()
        return self._call_with_thread(
            request.kind,
            kind.task_class,
            lambda: self._run_request(request, kind, ServiceId(kind.service or "")),
            service=kind.service,
        )

    def _count_retry(self, kind: KindId) -> None:
        self.node.metrics.count(Counter.RETRIES, kind=kind)

    def _is_routine(self, name: KindId) -> bool:
        """Return whether a kind's events may be dropped before those of other kinds."""
        kind = (
            self.node.current_configuration.kinds.get(name)
            if self.node.current_configuration
            else None
        )
        return kind is None or kind.idempotent

    def _record_metrics(
        self, request: CallerRequest, response: CallerResponse, seconds: float
    ) -> None:
        outcome = response.outcome.value
        metrics = self.node.metrics
        metrics.observe(
            Distribution.REQUEST, seconds, kind=request.kind, outcome=outcome
        )
        if response.outcome is Outcome.NOT_RUN:
            metrics.count(Counter.REFUSALS, kind=request.kind, reason=response.code)
        elif response.outcome is Outcome.UNKNOWN:
            metrics.count(
                Counter.UNKNOWN_OUTCOMES, kind=request.kind, reason=response.code
            )

    def _run_job_call(self, call: Callable[[], JobStatus]) -> JobStatus:
        return self._call_with_thread(JOBS_KIND, TaskClass.BATCH, call)

    def _call_with_thread(
        self,
        kind: KindId,
        task_class: TaskClass,
        call: Callable[[], T],
        *,
        service: ServiceId | None = None,
    ) -> T:
        if not self.permits.acquire_thread(kind, task_class):
            raise UnavailableError(
                f"{kind!r} holds all the threads it may",
                step="request.admit",
                retry_after=self._estimate_thread_wait(task_class, service),
            )
        try:
            return call()
        finally:
            self.permits.release_thread(kind, task_class)

    def _estimate_thread_wait(
        self, task_class: TaskClass, service: ServiceId | None
    ) -> float:
        if service is None:
            return estimate_recovery(0.0, self.permits.random.random())
        return self.permits.record_rejection(service, task_class, read_monotonic())

    def _run_request(
        self, request: CallerRequest, kind: Kind, service: ServiceId
    ) -> CallerResponse:
        key_at = 0.0
        if not kind.idempotent:
            key_at = parse_key_time(request.key)
            age = classify_key_age(key_at, read_wall())
            if age is not KeyAge.RECENT:
                return build_key_response(age)
        return RequestRunner(
            self._dependencies,
            request,
            kind,
            service=service,
            deadline_at=_compute_deadline(request, kind, read_monotonic()),
            key_at=key_at,
        ).run()

    def _refresh(self, now: Seconds) -> None:
        configuration = self.node.current_configuration
        age = compute_confirmation_age(self.node.configuration.caught_up_at, now)
        revision = self.node.configuration.reducer.revision
        peers = self.node.peer_table.list_live(now)
        is_awake = record_tick(
            self._pause_detector, now, self.node.configuration.caught_up_at
        )
        is_current = configuration is not None and may_route(revision, age, peers)
        self._may_route = is_current and is_awake
        if configuration is not None and self._may_route:
            self._unroutable_since = None
            self._target_view.step(configuration, now)
            return
        if self._unroutable_since is None:
            self._unroutable_since = now
        self._target_view.clear_plans(now)

    def _require_routing(self) -> None:
        if self._may_route:
            return
        down_for = read_monotonic() - (self._unroutable_since or read_monotonic())
        raise UnavailableError(
            "this gateway has no configuration it may route by",
            step="request.check",
            retry_after=estimate_recovery(down_for, self.permits.random.random()),
        )

    def _require_configuration(self) -> Configuration:
        if self.node.current_configuration is None:
            raise UnavailableError("no configuration yet", step="request.check")
        return self.node.current_configuration

    def _find_kind(self, configuration: Configuration, name: KindId) -> Kind:
        kind = configuration.kinds.get(name)
        if kind is None:
            raise BadInputError(
                f"kind {name!r} is unknown; valid: {sorted(configuration.kinds)}",
                step="request.check",
            )
        return kind


def _compute_deadline(request: CallerRequest, kind: Kind, now: Seconds) -> Seconds:
    seconds = kind.deadline_seconds
    if request.deadline_ms is not None:
        seconds = request.deadline_ms / MILLISECONDS_PER_SECOND
    return Seconds(now + seconds)
