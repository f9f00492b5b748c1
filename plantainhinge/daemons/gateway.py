"""The gateway daemon: the request path and the callers' side of jobs."""

import random
import threading
from collections.abc import Iterable
from concurrent.futures import Future

from ..adapters.callers_http import JobRequest
from ..adapters.peers_grpc import (
    CANCEL,
    CLAIM,
    FINISH_CLAIM,
    QUERY_JOB,
    QUERY_TARGETS,
    SUBMIT,
    Call,
    Method,
)
from ..core.calls import CallerAnswer, CallerRequest
from ..core.clock import read_monotonic
from ..core.configuration import Configuration, Kind, Service
from ..core.errors import (
    BadInputError,
    NotOwnerError,
    PlantainhingeError,
    UnavailableError,
    UncertainError,
)
from ..core.ids import DomainId, KindId, Seconds, ServiceId, TaskId, TeamId
from ..core.messages import (
    CancelJob,
    ClaimRequest,
    FinishClaim,
    Heartbeat,
    JobAccount,
    QueryJob,
    QueryTargets,
    SubmitJob,
    TargetAnswer,
    TargetList,
    TargetRequest,
)
from ..core.protocols import TargetClient
from ..core.states import DaemonRole, DomainState, Outcome
from ..routing.choice import CHOICES
from ..routing.targets import (
    TargetRow,
    TargetTable,
    note_answered,
    note_failed,
    note_sent,
)
from ..streams.names import find_partition, name_cell, name_ledger
from .executor import Event
from .node import Node

TARGETS_PERIOD_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0
MILLISECONDS = 1000


class Gateway:
    """Answers callers; ``tick`` keeps what it knows of the site up to date."""

    def __init__(self, node: Node, targets: TargetClient) -> None:
        self.node = node
        self.table = TargetTable()
        self._targets = targets
        self._choose = CHOICES.find("two-choices")
        self._random = random.Random()
        self._lock = threading.Lock()
        self._targets_due = Seconds(0.0)
        self._gateways = 1
        self._stopping = False

    def tick(self, events: Iterable[Event], now: Seconds) -> None:
        """Take in events, then refresh the view of targets."""
        for event in events:
            event(now)
        self.node.step(now)
        self._gateways = max(1, self._count_gateways(now))
        if now >= self._targets_due and self.node.current is not None:
            self._targets_due = Seconds(now + TARGETS_PERIOD_SECONDS)
            self._query_targets(self.node.current, now)

    def answer(self, call: Call, now: Seconds) -> None:
        """Answer a peer's call."""
        if not self.node.answer(call, now):
            error = NotOwnerError("a gateway owns nothing", step="gateway.call")
            call.answer.set_exception(error)

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self.node.current is not None and not self._stopping

    def stop(self) -> None:
        """Begin a planned stop: report unready."""
        self._stopping = True
        self.node.leaving = True

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return what the caller is told about a request."""
        self.node.events.add("request.received", request.request, kind=request.kind)
        answer = self._handle(request)
        self.node.events.add(
            "request.answered",
            request.request,
            outcome=answer.outcome.value,
            status=str(answer.status),
            key=request.key or "",
        )
        return answer

    def submit(self, job: JobRequest) -> JobAccount:
        """Accept a job once its ledger has it."""
        kind = self._find_kind(self._require_configuration(), job.kind)
        message = SubmitJob(
            task=job.id, kind=job.kind, team=kind.team, run_seconds=job.run_seconds
        )
        return self._call_ledger(kind.team, SUBMIT, message)

    def query(self, task: TaskId) -> JobAccount:
        """Return a job's account from the ledger that has it."""
        return self._ask_ledgers(
            task, lambda team: (QUERY_JOB, QueryJob(task=task, team=team))
        )

    def cancel(self, task: TaskId) -> JobAccount:
        """Cancel a job in the ledger that has it."""
        return self._ask_ledgers(
            task, lambda team: (CANCEL, CancelJob(task=task, team=team))
        )

    def _handle(self, request: CallerRequest) -> CallerAnswer:
        configuration = self._require_configuration()
        kind = self._find_kind(configuration, request.kind)
        if kind.service is None:
            raise BadInputError(
                f"kind {request.kind!r} is batch work; submit it to /jobs",
                step="request.check",
            )
        service = configuration.services[kind.service]
        row = self._take_target(configuration, kind.service, service)
        if row is None:
            return _refuse("no-target", "request.choose", "no target has room")
        if not kind.idempotent and not self._claim(request, kind, row):
            return CallerAnswer(
                status=409,
                outcome=Outcome.UNKNOWN,
                code="claimed",
                step="request.claim",
                detail="a request with this key was claimed before",
            )
        return self._exchange(request, kind, row)

    def _claim(self, request: CallerRequest, kind: Kind, row: TargetRow) -> bool:
        try:
            if request.key is None:
                raise BadInputError(
                    "header Idempotency-Key is missing", step="request.claim"
                )
            message = ClaimRequest(
                key=request.key,
                request=request.request,
                team=kind.team,
                gateway=self.node.process,
            )
            granted = self._call_ledger(kind.team, CLAIM, message).granted
        except UncertainError as error:
            self._give_up(row)
            self._finish_claim(request, kind, ran=False)
            raise UnavailableError(
                error.message, step=error.step, peer=error.peer
            ) from error
        except PlantainhingeError:
            self._give_up(row)
            raise
        if not granted:
            self._give_up(row)
        return granted

    def _give_up(self, row: TargetRow) -> None:
        with self._lock:
            note_failed(row)

    def _exchange(
        self, request: CallerRequest, kind: Kind, row: TargetRow
    ) -> CallerAnswer:
        started = read_monotonic()
        try:
            answer = self._targets.exchange(
                row.target.address, _build_target_request(request, kind)
            )
        except UnavailableError as error:
            self._give_up(row)
            self._finish_claim(request, kind, ran=False)
            return _refuse(error.code, error.step, error.message, error.peer)
        except UncertainError as error:
            self._give_up(row)
            return CallerAnswer(
                status=502,
                outcome=Outcome.UNKNOWN,
                code=error.code,
                step=error.step,
                peer=error.peer,
                detail=error.message,
            )
        self._note_answer(row, answer, read_monotonic() - started)
        self._finish_claim(request, kind, ran=not answer.refused)
        if answer.refused:
            return _refuse(
                "refused",
                "target.exchange",
                "the target refused before running",
                row.target.address,
            )
        return _pass_on(answer, row)

    def _note_answer(
        self, row: TargetRow, answer: TargetAnswer, seconds: float
    ) -> None:
        with self._lock:
            note_answered(
                row, seconds=seconds, reported=answer.in_flight, leaving=answer.leaving
            )

    def _finish_claim(self, request: CallerRequest, kind: Kind, *, ran: bool) -> None:
        if kind.idempotent or request.key is None:
            return
        address = self._find_ledger(kind.team)
        if address is not None:
            message = FinishClaim(
                key=request.key, request=request.request, team=kind.team, ran=ran
            )
            self.node.peers.call(address, FINISH_CLAIM, message)

    def _take_target(
        self, configuration: Configuration, name: ServiceId, service: Service
    ) -> TargetRow | None:
        domains = [
            domain
            for domain, row in configuration.domains.items()
            if row.state is DomainState.IN
        ]
        limit = max(1, service.connections // self._gateways)
        with self._lock:
            rows = self.table.list_open(name, domains, limit)
            if not rows:
                return None
            row = self._choose(rows, self._random.random())
            note_sent(row)
            return row

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

    def _find_ledger(self, team: TeamId) -> str | None:
        configuration = self._require_configuration()
        partition = find_partition(team, configuration.limits.ledger_partitions)
        owner = self.node.table.find_owner(name_ledger(partition), read_monotonic())
        return owner.address if owner else None

    def _call_ledger(self, team: TeamId, method: Method, message):  # type: ignore[no-untyped-def]
        address = self._find_ledger(team)
        if address is None:
            raise UnavailableError(
                f"the ledger of team {team!r} has no owner",
                step=f"ledger.{method.name}",
                retry_after=RETRY_AFTER_SECONDS,
            )
        future = self.node.peers.call(
            address, method, message, timeout=PEER_TIMEOUT_SECONDS
        )
        try:
            return future.result()
        except NotOwnerError as error:
            raise UnavailableError(
                error.message, step=error.step, peer=error.peer
            ) from error

    def _ask_ledgers(self, task: TaskId, build):  # type: ignore[no-untyped-def]
        teams = sorted(self._require_configuration().teams)
        for team in teams:
            method, message = build(team)
            try:
                return self._call_ledger(team, method, message)
            except UncertainError:
                continue
        raise BadInputError(f"job {task!r} is unknown", step="job.query")

    def _count_gateways(self, now: Seconds) -> int:
        live = self.node.table.list_live(now)
        return sum(1 for h in live if h.role is DaemonRole.GATEWAY)

    def _query_targets(self, configuration: Configuration, now: Seconds) -> None:
        for domain in configuration.domains:
            owner = self.node.table.find_owner(name_cell(domain), now)
            if owner is not None:
                for service in configuration.services:
                    self._query_cell(owner, domain, service)

    def _query_cell(
        self, owner: Heartbeat, domain: DomainId, service: ServiceId
    ) -> None:
        message = QueryTargets(cell=domain, service=service)
        future = self.node.peers.call(owner.address, QUERY_TARGETS, message)

        def finish(done: Future[TargetList], now: Seconds) -> None:
            if done.exception() is None:
                with self._lock:
                    self.table.replace(service, domain, done.result().targets)

        self.node.commander.follow(future, then=finish)


def _build_target_request(request: CallerRequest, kind: Kind) -> TargetRequest:
    timeout = kind.deadline_seconds
    if request.deadline_ms is not None:
        timeout = request.deadline_ms / MILLISECONDS
    headers = {"Content-Type": request.content_type} if request.content_type else {}
    return TargetRequest(
        request=request.request,
        method=request.method,
        path=request.path,
        headers=headers,
        body=request.body,
        timeout=timeout,
    )


def _pass_on(answer: TargetAnswer, row: TargetRow) -> CallerAnswer:
    return CallerAnswer(
        status=answer.status,
        outcome=Outcome.DONE,
        body=answer.body,
        content_type=answer.headers.get("content-type", "application/octet-stream"),
        target=row.target.target,
        domain=row.target.domain,
    )


def _refuse(code: str, step: str, detail: str, peer: str = "") -> CallerAnswer:
    return CallerAnswer(
        status=503,
        outcome=Outcome.NOT_RUN,
        retry_after=RETRY_AFTER_SECONDS,
        code=code,
        step=step,
        peer=peer,
        detail=detail,
    )
