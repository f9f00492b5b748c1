"""The gateway daemon: the request path and the callers' side of jobs."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from ..adapters.callers_http import JobRequest
from ..adapters.peers_grpc import Call
from ..core.calls import CallerAnswer, CallerRequest
from ..core.clock import read_monotonic, read_wall
from ..core.configuration import Configuration, Kind
from ..core.errors import BadInputError, NotOwnerError, UnavailableError
from ..core.ids import KindId, Seconds, TaskId
from ..core.messages import Heartbeat, JobAccount, SubmitJob
from ..core.protocols import TargetClient
from ..core.states import TaskClass
from ..routing.admission import estimate_outage
from ..routing.answers import explain_expired_key
from ..routing.claims import KeyAge, judge_key, read_key_time
from ..routing.plans import digest_loads, may_route, measure_age
from ..routing.policy import Policy, build_policy
from ..routing.targets import TargetTable
from .executor import Event
from .ledger_client import LedgerClient
from .node import Node
from .places import Places
from .request_runner import RequestRunner, Surroundings
from .target_view import TargetView

T = TypeVar("T")

JOBS = KindId("/jobs")
MILLISECONDS = 1000
IDLE_PERIOD_SECONDS = 5.0


class Gateway:
    """Answers callers; ``tick`` keeps what it knows of the site up to date."""

    def __init__(
        self, node: Node, targets: TargetClient, *, policy: Policy | None = None
    ) -> None:
        self.node = node
        self.places = Places(
            TargetTable(node.settings.domain),
            policy or build_policy(),
            threads=node.settings.callers.threads,
            seed=None,
        )
        self.ledgers = LedgerClient(node, self.places.random.random)
        self._view = TargetView(node, self.places)
        self._targets = targets
        self._routing = False
        self._unroutable_since: Seconds | None = None
        self._stopping = False
        self._idle_due = Seconds(0.0)
        self._surroundings = Surroundings(
            process=node.process,
            places=self.places,
            targets=targets,
            claim=self.ledgers.claim,
            finish=self.ledgers.finish,
            note=node.events.add,
            read_now=read_monotonic,
        )
        node.describe = self.describe

    def tick(self, events: Iterable[Event], now: Seconds) -> None:
        """Take in events, then refresh the view of targets."""
        for event in events:
            event(now)
        self.node.step(now)
        self.ledgers.step(now)
        self._refresh(now)
        if now >= self._idle_due:
            self._idle_due = Seconds(now + IDLE_PERIOD_SECONDS)
            self._targets.close_idle()

    def answer(self, call: Call, now: Seconds) -> None:
        """Answer a peer's call."""
        if not self.node.answer(call, now):
            error = NotOwnerError("a gateway owns nothing", step="gateway.call")
            call.answer.set_exception(error)

    def describe(self) -> Heartbeat:
        """Return this process's heartbeat with the load it carries."""
        alone = self.node.describe_alone()
        in_flight, arrivals = self.places.read_loads(read_monotonic())
        return msgspec.structs.replace(
            alone, ready=self.is_ready(), loads=digest_loads(in_flight, arrivals)
        )

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        warm = self._view.is_warm(read_monotonic())
        return self._routing and warm and not self._stopping

    def stop(self) -> None:
        """Begin a planned stop: report unready."""
        self._stopping = True
        self.node.leaving = True

    def has_stopped(self) -> bool:
        """Return whether no ledger is left to be told of a request."""
        return not self.ledgers.has_unfinished()

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return what the caller is told about a request."""
        kind = self._find_kind(self._require_configuration(), request.kind)
        self.node.events.add(
            "request.received",
            request.request,
            routine=kind.idempotent,
            kind=request.kind,
            key=request.key or "",
            path=request.path,
        )
        answer = self._hold_thread(
            request.kind, kind.task_class, lambda: self._handle(request, kind)
        )
        self.node.events.add(
            "request.answered",
            request.request,
            routine=kind.idempotent,
            outcome=answer.outcome.value,
            status=str(answer.status),
            code=answer.code,
            key=request.key or "",
        )
        return answer

    def submit(self, job: JobRequest) -> JobAccount:
        """Accept a job once its ledger has it."""
        kind = self._find_kind(self._require_configuration(), job.kind)
        message = SubmitJob(
            task=job.id, kind=job.kind, team=kind.team, run_seconds=job.run_seconds
        )
        return self._run_job_call(lambda: self.ledgers.submit(message))

    def query(self, task: TaskId) -> JobAccount:
        """Return a job's account from the ledger that has it."""
        return self._run_job_call(lambda: self.ledgers.query(task))

    def cancel(self, task: TaskId) -> JobAccount:
        """Cancel a job in the ledger that has it."""
        return self._run_job_call(lambda: self.ledgers.cancel(task))

    def _run_job_call(self, call: Callable[[], JobAccount]) -> JobAccount:
        return self._hold_thread(JOBS, TaskClass.BATCH, call)

    def _hold_thread(
        self, kind: KindId, task_class: TaskClass, call: Callable[[], T]
    ) -> T:
        if not self.places.enter(kind, task_class):
            wait = estimate_outage(0.0, self.places.random.random())
            raise UnavailableError(
                f"{kind!r} holds all the threads it may",
                step="request.admit",
                retry_after=wait,
            )
        try:
            return call()
        finally:
            self.places.leave(kind, task_class)

    def _handle(self, request: CallerRequest, kind: Kind) -> CallerAnswer:
        if kind.service is None:
            raise BadInputError(
                f"kind {request.kind!r} is batch work; submit it to /jobs",
                step="request.check",
            )
        self._require_routing()
        key_at = 0.0
        if not kind.idempotent:
            key_at = read_key_time(request.key)
            if judge_key(key_at, read_wall()) is KeyAge.EXPIRED:
                return explain_expired_key()
        return RequestRunner(
            self._surroundings,
            request,
            kind,
            service=kind.service,
            deadline_at=_find_deadline(request, kind, read_monotonic()),
            key_at=key_at,
        ).run()

    def _refresh(self, now: Seconds) -> None:
        configuration = self.node.current
        age = measure_age(self.node.configuration.caught_up_at, now)
        revision = self.node.configuration.reducer.revision
        peers = self.node.table.list_live(now)
        self._routing = configuration is not None and may_route(revision, age, peers)
        if configuration is not None and self._routing:
            self._unroutable_since = None
            self._view.step(configuration, now)
            return
        if self._unroutable_since is None:
            self._unroutable_since = now
        self._view.close(now)

    def _require_routing(self) -> None:
        if self._routing:
            return
        down_for = read_monotonic() - (self._unroutable_since or read_monotonic())
        raise UnavailableError(
            "this gateway has no configuration it may route by",
            step="request.check",
            retry_after=estimate_outage(down_for, self.places.random.random()),
        )

    def _require_configuration(self) -> Configuration:
        if self.node.current is None:
            raise UnavailableError("no configuration yet", step="request.check")
        return self.node.current

    def _find_kind(self, configuration: Configuration, name: KindId) -> Kind:
        kind = configuration.kinds.get(name)
        if kind is None:
            raise BadInputError(
                f"kind {name!r} is unknown; valid: {sorted(configuration.kinds)}",
                step="request.check",
            )
        return kind


def _find_deadline(request: CallerRequest, kind: Kind, now: Seconds) -> Seconds:
    left = kind.deadline_seconds
    if request.deadline_ms is not None:
        left = request.deadline_ms / MILLISECONDS
    return Seconds(now + left)
