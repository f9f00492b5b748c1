"""Executes the state machine of one request in the caller's thread."""

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
from .places import SERVER_ERROR, Places

Ask = Callable[[ClaimRequest, float], ClaimResponse]
Finish = Callable[[FinishClaim], None]
Note = Callable[..., object]


@dataclass(frozen=True)
class Surroundings:
    """What running a request needs of the gateway.

    Parameters
    ----------
    claim, finish : callable
        Ask the ledger for a claim, and tell it how the request went.
    note : callable
        Adds an event to the time line.
    count_retry : callable
        Counts a further attempt of a request of this kind.
    read_now : callable
        Returns monotonic seconds.
    """

    process: ProcessId
    places: Places
    targets: TargetClient
    claim: Ask
    finish: Finish
    note: Note
    count_retry: Callable[[KindId], None]
    read_now: Callable[[], Seconds]


@dataclass
class _Attempt:
    row: TargetRow
    exchange: Exchange
    sent_at: Seconds


class RequestRunner:
    """One request on its way.

    Parameters
    ----------
    deadline_at : Seconds
        Monotonic time at which the caller gives up.
    """

    def __init__(
        self,
        around: Surroundings,
        request: CallerRequest,
        kind: Kind,
        *,
        service: ServiceId,
        deadline_at: Seconds,
        key_at: float,
    ) -> None:
        self._around = around
        self._places = around.places
        self._request = request
        self._kind = kind
        self._service = service
        self._key_at = key_at
        self._state = RequestState(idempotent=kind.idempotent, deadline_at=deadline_at)
        self._circumstances = DecisionContext(
            now=deadline_at,
            typical_latency=around.places.read_typical(service),
            spend=self._spend,
        )
        self._fault = RequestFailure()
        self._row: TargetRow | None = None
        self._attempts: list[_Attempt] = []
        self._answer: CallerResponse | None = None
        self._actions: dict[Action, Callable[[], Event]] = {
            Action.ADMIT: self._admit,
            Action.CLAIM: self._claim,
            Action.ACQUIRE: self._take_place,
            Action.SEND: self._send,
            Action.AWAIT: self._await_answer,
            Action.HEDGE: self._take_second_place,
        }

    def run(self) -> CallerResponse:
        """Return what the caller is told, by the deadline."""
        try:
            while self._state.action is not Action.RESPOND:
                event = self._actions[self._state.action]()
                self._circumstances.now = self._around.read_now()
                advance(self._state, event, self._circumstances)
            return self._answer or self._explain()
        finally:
            self._clean_up()

    def _note(self, name: str, **detail: str) -> None:
        self._around.note(
            name, self._request.request, routine=self._kind.idempotent, **detail
        )

    def _spend(self) -> bool:
        allowed = self._places.spend(self._service)
        if allowed:
            self._note("request.retried")
            self._around.count_retry(self._request.kind)
        return allowed

    def _admit(self) -> Event:
        now = self._around.read_now()
        left = self._state.deadline_at - now
        self._places.note_arrival(self._service, now)
        if self._places.admit(self._service, self._kind.task_class, left, now):
            return Event.ADMITTED
        self._blame("overloaded", "request.admit", "no place is expected in time")
        return Event.REJECTED

    def _claim(self) -> Event:
        assert self._request.key is not None
        message = ClaimRequest(
            key=self._request.key,
            request=self._request.request,
            team=self._kind.team,
            gateway=self._around.process,
            key_at=self._key_at,
        )
        try:
            answer = self._around.claim(message, self._measure_left())
        except UncertainError as error:
            self._blame_error(error)
            return Event.CLAIM_LOST
        except PlantainhingeError as error:
            self._blame_error(error)
            return Event.NOT_CLAIMED
        if answer.granted:
            return Event.GRANTED
        self._blame("claimed", "request.claim", _describe_claim(answer))
        return Event.DUPLICATE

    def _take_place(self) -> Event:
        self._row = self._places.take(
            self._service,
            self._kind.task_class,
            self._state.tried,
            now=self._around.read_now(),
            left=self._measure_left(),
        )
        return self._note_place()

    def _take_second_place(self) -> Event:
        self._row = self._places.take_at_once(
            self._service,
            self._kind.task_class,
            self._state.tried,
            now=self._around.read_now(),
        )
        return self._note_place()

    def _note_place(self) -> Event:
        if self._row is not None:
            self._state.tried.add(self._row.target.target)
            return Event.ACQUIRED
        if not self._fault.code:
            self._blame("no-target", "request.choose", "no target has room")
        return Event.NO_PERMIT

    def _send(self) -> Event:
        row = self._row
        assert row is not None
        self._row = None
        sent_at = self._around.read_now()
        try:
            exchange = self._around.targets.send(
                row.target.address, self._build_target_request()
            )
        except UnavailableError as error:
            self._give_up(row, error, abandoned=False)
            return Event.NOT_SENT
        except PlantainhingeError as error:
            self._give_up(row, error, abandoned=True)
            return Event.LOST
        self._attempts.append(_Attempt(row, exchange, sent_at))
        self._note(
            "request.sent",
            target=row.target.target,
            worker=row.target.worker,
        )
        return Event.SENT

    def _await_answer(self) -> Event:
        now = self._around.read_now()
        until = self._state.deadline_at
        if not self._state.hedged and self._kind.idempotent:
            until = min(until, self._time_hedge())
        exchanges = [attempt.exchange for attempt in self._attempts]
        ready = self._around.targets.wait(exchanges, until - now)
        for attempt in list(self._attempts):
            if attempt.exchange in ready:
                return self._receive(attempt)
        if self._around.read_now() < self._state.deadline_at:
            return Event.LATE
        self._blame("timeout", "target.exchange", "the deadline passed", self._peer)
        return Event.EXPIRED

    def _receive(self, attempt: _Attempt) -> Event:
        self._attempts.remove(attempt)
        try:
            answer = attempt.exchange.receive()
        except PlantainhingeError as error:
            self._give_up(attempt.row, error, abandoned=True)
            return Event.LOST
        self._note(
            "target.answered",
            target=attempt.row.target.target,
            status=str(answer.status),
        )
        now = self._around.read_now()
        self._places.note_answer(attempt.row, answer, now - attempt.sent_at, now)
        self._give_back(attempt.row, abandoned=False)
        return self._judge_answer(answer, attempt.row)

    def _judge_answer(self, answer: TargetResponse, row: TargetRow) -> Event:
        if answer.refused:
            self._blame(
                "refused",
                "target.exchange",
                "the target refused before running",
                row.target.address,
            )
            return Event.REFUSED
        self._answer = build_target_response(answer, row)
        return Event.FAILED if answer.status >= SERVER_ERROR else Event.COMPLETE

    def _time_hedge(self) -> Seconds:
        wait = compute_hedge_delay(self._circumstances.typical_latency)
        return Seconds(self._attempts[0].sent_at + wait)

    def _build_target_request(self) -> TargetRequest:
        request = self._request
        content_type = request.content_type
        return TargetRequest(
            request=request.request,
            method=request.method,
            path=request.path,
            headers={"Content-Type": content_type} if content_type else {},
            body=request.body,
            timeout=self._measure_left(),
        )

    def _measure_left(self) -> float:
        return max(0.0, self._state.deadline_at - self._around.read_now())

    @property
    def _peer(self) -> str:
        return self._attempts[0].row.target.address if self._attempts else ""

    def _give_up(
        self, row: TargetRow, error: PlantainhingeError, *, abandoned: bool
    ) -> None:
        self._blame_error(error)
        self._places.note_failure(row, self._around.read_now())
        self._give_back(row, abandoned=abandoned)

    def _give_back(self, row: TargetRow, *, abandoned: bool) -> None:
        self._places.give_back(
            row,
            self._kind.task_class,
            now=self._around.read_now(),
            abandoned=abandoned,
        )

    def _blame(self, code: str, step: str, detail: str, peer: str = "") -> None:
        self._fault = RequestFailure(code=code, step=step, peer=peer, detail=detail)

    def _blame_error(self, error: PlantainhingeError) -> None:
        self._blame(error.code, error.step, error.message, error.peer)
        if isinstance(error, UnavailableError):
            self._fault.retry_after = error.retry_after

    def _explain(self) -> CallerResponse:
        wait = self._places.refuse(
            self._service, self._kind.task_class, self._around.read_now()
        )
        return build_failure_response(self._state, self._fault, retry_after=wait)

    def _clean_up(self) -> None:
        """Release everything that is still held, also after a fault of our own."""
        if self._row is not None:
            self._give_back(self._row, abandoned=False)
        for attempt in self._attempts:
            attempt.exchange.abandon()
            if self._answer is None:
                self._places.note_failure(attempt.row, self._around.read_now())
            self._give_back(attempt.row, abandoned=True)
        self._finish_claim()

    def _finish_claim(self) -> None:
        claim = determine_claim_action(self._state)
        if self._request.key is None or claim in (ClaimAction.NONE, ClaimAction.KEEP):
            return
        self._around.finish(
            FinishClaim(
                key=self._request.key,
                request=self._request.request,
                team=self._kind.team,
                ran=claim is ClaimAction.SETTLE,
            )
        )


def _describe_claim(answer: ClaimResponse) -> str:
    if answer.reason:
        return answer.reason
    if answer.state is ClaimState.SETTLED:
        return "an earlier request with this key ran"
    return "an earlier request with this key was claimed and may have run"
