"""The life of one request as a state machine: what to do after each event.

The gateway executes an action and reports its event; ``advance`` looks the pair
up in a table and returns the next action. Nothing here waits or reads a clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import Seconds, TargetId
from ..core.states import Outcome
from .budgets import ATTEMPTS_MAX


class _IdentityHashedEnum(Enum):
    # Members are singletons: hashing them by identity spares a call in Python.
    __hash__ = object.__hash__


class Action(_IdentityHashedEnum):
    """What the gateway does next for a request."""

    ADMIT = "admit"
    CLAIM = "claim"
    ACQUIRE = "place"
    SEND = "send"
    AWAIT = "await"
    HEDGE = "hedge"
    RESPOND = "tell"


class Event(_IdentityHashedEnum):
    """What came of an action."""

    ADMITTED = "admitted"
    REJECTED = "turned-away"
    GRANTED = "granted"
    DUPLICATE = "duplicate"
    NOT_CLAIMED = "not-claimed"
    CLAIM_LOST = "claim-lost"
    ACQUIRED = "placed"
    NO_PERMIT = "no-place"
    SENT = "sent"
    NOT_SENT = "not-sent"
    REFUSED = "refused"
    LOST = "lost"
    LATE = "late"
    EXPIRED = "expired"
    FAILED = "failed"
    COMPLETE = "whole"


class ClaimAction(Enum):
    """What becomes of the claim of a non-idempotent request."""

    NONE = "none"
    SETTLE = "settle"
    RELEASE = "release"
    KEEP = "keep"


@dataclass
class RequestState:
    """What decides the next action of one request.

    Parameters
    ----------
    claimed : bool
        This gateway may hold the claim of the request's key.
    sent : int
        Attempts of which a byte may have left.
    open : int
        Attempts sent and not settled.
    may_have_run : bool
        Some attempt may have run without a whole answer.
    answered : bool
        A whole answer came, which may report a failure.
    duplicate : bool
        The key was claimed by an earlier request.
    hedged : bool
        A second attempt was sent because the first was late.
    tried : set of TargetId
        Targets that get no further attempt.
    """

    idempotent: bool
    deadline_at: Seconds
    action: Action = Action.ADMIT
    claimed: bool = False
    sent: int = 0
    in_flight: int = 0
    may_have_run: bool = False
    answered: bool = False
    duplicate: bool = False
    hedged: bool = False
    tried: set[TargetId] = field(default_factory=set)
    last_event: Event = Event.ADMITTED


@dataclass(slots=True)
class DecisionContext:
    """What a decision may use besides the request.

    Parameters
    ----------
    spend : callable
        Takes one further attempt from the budget; returns whether it had one.
    typical : float
        Seconds that an answer usually takes.
    """

    now: Seconds
    typical_latency: float
    spend: Callable[[], bool]


Rule = Callable[[RequestState, DecisionContext], Action]


def advance(state: RequestState, event: Event, around: DecisionContext) -> Action:
    """Return the action that follows an event, and remember both.

    Raises
    ------
    KeyError
        If the action under way cannot bring about this event.
    """
    rule = _RULES[state.action, event]
    state.last_event = event
    state.action = rule(state, around)
    return state.action


def determine_outcome(state: RequestState) -> Outcome:
    """Return what the caller is told: ``not-run`` only if it surely never ran."""
    if state.answered:
        return Outcome.DONE
    if state.duplicate or state.may_have_run or state.in_flight:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


def determine_claim_action(state: RequestState) -> ClaimAction:
    """Return what becomes of the claim once the caller is told."""
    if not state.claimed:
        return ClaimAction.NONE
    outcome = determine_outcome(state)
    if outcome is Outcome.DONE:
        return ClaimAction.SETTLE
    return ClaimAction.KEEP if outcome is Outcome.UNKNOWN else ClaimAction.RELEASE


def _respond(state: RequestState, around: DecisionContext) -> Action:
    return Action.RESPOND


def _claim_or_acquire_permit(state: RequestState, around: DecisionContext) -> Action:
    return Action.ACQUIRE if state.idempotent else Action.CLAIM


def _handle_claim_granted(state: RequestState, around: DecisionContext) -> Action:
    state.claimed = True
    return Action.ACQUIRE if around.now < state.deadline_at else Action.RESPOND


def _handle_claim_lost(state: RequestState, around: DecisionContext) -> Action:
    state.claimed = True
    return Action.RESPOND


def _record_duplicate(state: RequestState, around: DecisionContext) -> Action:
    state.duplicate = True
    return Action.RESPOND


def _send(state: RequestState, around: DecisionContext) -> Action:
    return Action.SEND


def _await_answer(state: RequestState, around: DecisionContext) -> Action:
    state.sent += 1
    state.in_flight += 1
    return Action.AWAIT


def _retry_unsent(state: RequestState, around: DecisionContext) -> Action:
    return Action.AWAIT if state.in_flight else _retry(state, around)


def _retry_refused(state: RequestState, around: DecisionContext) -> Action:
    state.in_flight -= 1
    return _retry_if_idempotent(state, around)


def _retry_partly_sent(state: RequestState, around: DecisionContext) -> Action:
    """Go on after an attempt that was sent and may have run."""
    state.may_have_run = True
    state.sent += 1
    return _retry_if_idempotent(state, around)


def _retry_lost(state: RequestState, around: DecisionContext) -> Action:
    state.may_have_run = True
    state.in_flight -= 1
    return _retry_if_idempotent(state, around)


def _retry_failed(state: RequestState, around: DecisionContext) -> Action:
    """Go on after a whole answer that reports a failure of the target."""
    state.answered = True
    state.in_flight -= 1
    return _retry_if_idempotent(state, around)


def _retry_if_idempotent(state: RequestState, around: DecisionContext) -> Action:
    if state.in_flight:
        return Action.AWAIT
    return _retry(state, around) if state.idempotent else Action.RESPOND


def _hedge(state: RequestState, around: DecisionContext) -> Action:
    state.hedged = True
    may_hedge = state.idempotent and state.sent < ATTEMPTS_MAX
    if may_hedge and _has_time(state, around) and around.spend():
        return Action.HEDGE
    return Action.AWAIT


def _await_or_respond(state: RequestState, around: DecisionContext) -> Action:
    return Action.AWAIT if state.in_flight else Action.RESPOND


def _send_hedge(state: RequestState, around: DecisionContext) -> Action:
    return Action.SEND


def _complete(state: RequestState, around: DecisionContext) -> Action:
    state.answered = True
    state.in_flight -= 1
    return Action.RESPOND


def _expire(state: RequestState, around: DecisionContext) -> Action:
    state.may_have_run = True
    return Action.RESPOND


def _retry(state: RequestState, around: DecisionContext) -> Action:
    allowed = len(state.tried) < ATTEMPTS_MAX and _has_time(state, around)
    return Action.ACQUIRE if allowed and around.spend() else Action.RESPOND


def _has_time(state: RequestState, around: DecisionContext) -> bool:
    return around.now + around.typical_latency < state.deadline_at


_RULES: dict[tuple[Action, Event], Rule] = {
    (Action.ADMIT, Event.ADMITTED): _claim_or_acquire_permit,
    (Action.ADMIT, Event.REJECTED): _respond,
    (Action.CLAIM, Event.GRANTED): _handle_claim_granted,
    (Action.CLAIM, Event.DUPLICATE): _record_duplicate,
    (Action.CLAIM, Event.NOT_CLAIMED): _respond,
    (Action.CLAIM, Event.CLAIM_LOST): _handle_claim_lost,
    (Action.ACQUIRE, Event.ACQUIRED): _send,
    (Action.ACQUIRE, Event.NO_PERMIT): _await_or_respond,
    (Action.HEDGE, Event.ACQUIRED): _send_hedge,
    (Action.HEDGE, Event.NO_PERMIT): _await_or_respond,
    (Action.SEND, Event.SENT): _await_answer,
    (Action.SEND, Event.NOT_SENT): _retry_unsent,
    (Action.SEND, Event.LOST): _retry_partly_sent,
    (Action.AWAIT, Event.REFUSED): _retry_refused,
    (Action.AWAIT, Event.LOST): _retry_lost,
    (Action.AWAIT, Event.FAILED): _retry_failed,
    (Action.AWAIT, Event.LATE): _hedge,
    (Action.AWAIT, Event.EXPIRED): _expire,
    (Action.AWAIT, Event.COMPLETE): _complete,
}


def list_events(action: Action) -> list[Event]:
    """Return the events that an action can bring about."""
    return [event for under_way, event in _RULES if under_way is action]
