"""Runs the state machine of one request in the caller's thread.

``routing.requests`` decides each action; this module carries it out and reports the
resulting event back.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..core.calls import CallerRequest, CallerResponse
from ..core.configuration import Kind
from ..core.errors import PlantainhingeError, UnavailableError, UncertainError
from ..core.ids import KindId, ProcessId, Seconds, ServiceId
from ..core.messages import (
    ClaimRequest,
    ClaimResponse,
    FinishClaim,
    TargetRequest,
    TargetResponse,
)
from ..core.protocols import Exchange, TargetClient
from ..core.states import ClaimState
from ..routing.budgets import compute_hedge_delay
from ..routing.requests import (
    Action,
    ClaimAction,
    DecisionContext,
    Event,
    RequestState,
    advance,
    determine_claim_action,
)
from ..routing.responses import (
    RequestFailure,
    build_failure_response,
    build_target_response,
)
from ..routing.targets import TargetRow
from .permits import SERVER_ERROR, PermitPool

AskClaim = Callable[[ClaimRequest, float], ClaimResponse]
ReportFinish = Callable[[FinishClaim], None]
AddEvent = Callable[..., object]


@dataclass(frozen=True)
class RunnerDependencies:
    """The parts of the gateway that requests use.

    Parameters
    ----------
    claim, finish : callable
        Request a claim from the ledger, and report to it whether the request ran.
    add_event : callable
        Adds an event to the timeline.
    count_retry : callable
        Counts an additional attempt (a retry or a hedge) for a kind.
    read_now : callable
        Returns monotonic seconds.
    """

    process: ProcessId
    permits: PermitPool
    targets: TargetClient
    claim: AskClaim
    finish: ReportFinish
    add_event: AddEvent
    count_retry: Callable[[KindId], None]
    read_now: Callable[[], Seconds]


@dataclass
class _Attempt:
    row: TargetRow
    exchange: Exchange
    sent_at: Seconds


class RequestRunner:
    """Runs one request: admission, claim, permit, exchange with targets, clean-up.

    Parameters
    ----------
    deadline_at : Seconds
        Monotonic time at which the caller gives up.
    key_at : float
        Time in the idempotency key; 0 for idempotent kinds, which need no claim.
    """

    def __init__(
        self,
        dependencies: RunnerDependencies,
        request: CallerRequest,
        kind: Kind,
        *,
        service: ServiceId,
        deadline_at: Seconds,
        key_at: float,
    ) -> None:
        self._dependencies = dependencies
        self._permits = dependencies.permits
        self._request = request
        self._kind = kind
        self._service = service
        self._key_at = key_at
        self._state = RequestState(idempotent=kind.idempotent, deadline_at=deadline_at)
        self._context = DecisionContext(
            now=deadline_at,
            typical_latency=dependencies.permits.get_typical_latency(service),
            spend=self._spend_retry,
        )
        self._failure = RequestFailure()
        self._row: TargetRow | None = None
        self._attempts: list[_Attempt] = []
        self._response: CallerResponse | None = None
        self._actions: dict[Action, Callable[[], Event]] = {
            Action.ADMIT: self._admit,
            Action.CLAIM: self._claim,
            Action.ACQUIRE: self._acquire_permit,
            Action.SEND: self._send,
            Action.AWAIT: self._await_response,
            Action.HEDGE: self._acquire_hedge_permit,
        }

    def run(self) -> CallerResponse:
        """Run the request and return the response for the caller, by the deadline."""
        try:
            while self._state.action is not Action.RESPOND:
                event = self._actions[self._state.action]()
                self._context.now = self._dependencies.read_now()
                advance(self._state, event, self._context)
            return self._response or self._build_failure_response()
        finally:
            self._clean_up()

    def _add_event(self, name: str, **detail: str) -> None:
        self._dependencies.add_event(
            name, self._request.request, routine=self._kind.idempotent, **detail
        )

    def _spend_retry(self) -> bool:
        allowed = self._permits.spend_retry(self._service)
        if allowed:
            self._add_event("request.retried")
            self._dependencies.count_retry(self._request.kind)
        return allowed

    def _admit(self) -> Event:
        now = self._dependencies.read_now()
        remaining_seconds = self._state.deadline_at - now
        self._permits.record_arrival(self._service, now)
        if self._permits.admit(
            self._service, self._kind.task_class, remaining_seconds, now
        ):
            return Event.ADMITTED
        self._set_failure("overloaded", "request.admit", "no place is expected in time")
        return Event.REJECTED

    def _claim(self) -> Event:
        assert self._request.key is not None
        message = ClaimRequest(
            key=self._request.key,
            request=self._request.request,
            team=self._kind.team,
            gateway=self._dependencies.process,
            key_at=self._key_at,
        )
        try:
            response = self._dependencies.claim(
                message, self._compute_remaining_seconds()
            )
        except UncertainError as error:
            self._set_failure_from_error(error)
            return Event.CLAIM_LOST
        except PlantainhingeError as error:
            self._set_failure_from_error(error)
            return Event.NOT_CLAIMED
        if response.granted:
            return Event.GRANTED
        self._set_failure("claimed", "request.claim", _describe_claim(response))
        return Event.DUPLICATE

    def _acquire_permit(self) -> Event:
        self._row = self._permits.acquire(
            self._service,
            self._kind.task_class,
            self._state.tried,
            now=self._dependencies.read_now(),
            remaining_seconds=self._compute_remaining_seconds(),
        )
        return self._check_permit()

    def _acquire_hedge_permit(self) -> Event:
        self._row = self._permits.try_acquire(
            self._service,
            self._kind.task_class,
            self._state.tried,
            now=self._dependencies.read_now(),
        )
        return self._check_permit()

    def _check_permit(self) -> Event:
        if self._row is not None:
            self._state.tried.add(self._row.target.target)
            return Event.ACQUIRED
        if not self._failure.code:
            self._set_failure("no-target", "request.choose", "no target has room")
        return Event.NO_PERMIT

    def _send(self) -> Event:
        row = self._row
        assert row is not None
        self._row = None
        sent_at = self._dependencies.read_now()
        try:
            exchange = self._dependencies.targets.send(
                row.target.address, self._build_target_request()
            )
        except UnavailableError as error:
            self._record_failed_attempt(row, error, abandoned=False)
            return Event.NOT_SENT
        except PlantainhingeError as error:
            self._record_failed_attempt(row, error, abandoned=True)
            return Event.LOST
        self._attempts.append(_Attempt(row, exchange, sent_at))
        self._add_event(
            "request.sent",
            target=row.target.target,
            worker=row.target.worker,
        )
        return Event.SENT

    def _await_response(self) -> Event:
        now = self._dependencies.read_now()
        until = self._state.deadline_at
        if not self._state.hedged and self._kind.idempotent:
            until = min(until, self._compute_hedge_time())
        exchanges = [attempt.exchange for attempt in self._attempts]
        ready = self._dependencies.targets.wait(exchanges, until - now)
        for attempt in list(self._attempts):
            if attempt.exchange in ready:
                return self._receive(attempt)
        if self._dependencies.read_now() < self._state.deadline_at:
            return Event.LATE
        self._set_failure(
            "timeout", "target.exchange", "the deadline passed", self._peer
        )
        return Event.EXPIRED

    def _receive(self, attempt: _Attempt) -> Event:
        self._attempts.remove(attempt)
        try:
            response = attempt.exchange.receive()
        except PlantainhingeError as error:
            self._record_failed_attempt(attempt.row, error, abandoned=True)
            return Event.LOST
        self._add_event(
            "target.answered",
            target=attempt.row.target.target,
            status=str(response.status),
        )
        now = self._dependencies.read_now()
        self._permits.record_response(attempt.row, response, now - attempt.sent_at, now)
        self._release_permit(attempt.row, abandoned=False)
        return self._classify_response(response, attempt.row)

    def _classify_response(self, response: TargetResponse, row: TargetRow) -> Event:
        if response.refused:
            self._set_failure(
                "refused",
                "target.exchange",
                "the target refused before running",
                row.target.address,
            )
            return Event.REFUSED
        self._response = build_target_response(response, row)
        return Event.FAILED if response.status >= SERVER_ERROR else Event.COMPLETE

    def _compute_hedge_time(self) -> Seconds:
        delay = compute_hedge_delay(self._context.typical_latency)
        return Seconds(self._attempts[0].sent_at + delay)

    def _build_target_request(self) -> TargetRequest:
        request = self._request
        content_type = request.content_type
        return TargetRequest(
            request=request.request,
            method=request.method,
            path=request.path,
            headers={"Content-Type": content_type} if content_type else {},
            body=request.body,
            timeout=self._compute_remaining_seconds(),
        )

    def _compute_remaining_seconds(self) -> float:
        return max(0.0, self._state.deadline_at - self._dependencies.read_now())

    @property
    def _peer(self) -> str:
        return self._attempts[0].row.target.address if self._attempts else ""

    def _record_failed_attempt(
        self, row: TargetRow, error: PlantainhingeError, *, abandoned: bool
    ) -> None:
        self._set_failure_from_error(error)
        self._permits.record_failure(row, self._dependencies.read_now())
        self._release_permit(row, abandoned=abandoned)

    def _release_permit(self, row: TargetRow, *, abandoned: bool) -> None:
        self._permits.release(
            row,
            self._kind.task_class,
            now=self._dependencies.read_now(),
            abandoned=abandoned,
        )

    def _set_failure(self, code: str, step: str, detail: str, peer: str = "") -> None:
        self._failure = RequestFailure(code=code, step=step, peer=peer, detail=detail)

    def _set_failure_from_error(self, error: PlantainhingeError) -> None:
        self._set_failure(error.code, error.step, error.message, error.peer)
        if isinstance(error, UnavailableError):
            self._failure.retry_after = error.retry_after

    def _build_failure_response(self) -> CallerResponse:
        retry_after = self._permits.record_rejection(
            self._service, self._kind.task_class, self._dependencies.read_now()
        )
        return build_failure_response(
            self._state, self._failure, retry_after=retry_after
        )

    def _clean_up(self) -> None:
        """Release permits, exchanges and the claim, also after an internal error."""
        if self._row is not None:
            self._release_permit(self._row, abandoned=False)
        for attempt in self._attempts:
            attempt.exchange.abandon()
            if self._response is None:
                self._permits.record_failure(attempt.row, self._dependencies.read_now())
            self._release_permit(attempt.row, abandoned=True)
        self._finish_claim()

    def _finish_claim(self) -> None:
        action = determine_claim_action(self._state)
        if self._request.key is None or action in (ClaimAction.NONE, ClaimAction.KEEP):
            return
        self._dependencies.finish(
            FinishClaim(
                key=self._request.key,
                request=self._request.request,
                team=self._kind.team,
                ran=action is ClaimAction.SETTLE,
            )
        )


def _describe_claim(response: ClaimResponse) -> str:
    if response.reason:
        return response.reason
    if response.state is ClaimState.SETTLED:
        return "an earlier request with this key ran"
    return "an earlier request with this key was claimed and may have run"
