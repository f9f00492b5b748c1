"""State machine of one request at a gateway.

The gateway executes an action and reports the event that it led to; ``advance``
looks up the rule for this pair in a table and returns the next action. Nothing here
waits or reads a clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import Seconds, TargetId
from ..core.states import Outcome
from .budgets import ATTEMPTS_MAX


class _IdentityHashedEnum(Enum):
    # Members are singletons: hashing by identity avoids a call of Enum.__hash__,
    # which is written in Python.
    __hash__ = object.__hash__


class Action(_IdentityHashedEnum):
    """What the gateway does next for a request.

    Some members have newer names than their values, which must not change because
    logs contain them.
    """

    ADMIT = "admit"
    CLAIM = "claim"
    ACQUIRE = "place"
    SEND = "send"
    AWAIT = "await"
    HEDGE = "hedge"
    RESPOND = "tell"


class Event(_IdentityHashedEnum):
    """Result of an action; for the values see ``Action``.

    Of the results of an attempt, ``NOT_SENT`` and ``REFUSED`` mean that it certainly
    did not run. ``LOST`` means that the connection failed and it may have run, and
    ``FAILED`` that the response was complete but reports an error of the target.
    ``LATE`` means that a hedge is due, ``EXPIRED`` that the deadline has passed.
    ``CLAIM_LOST`` means that the claim may have been granted, ``NOT_CLAIMED`` that
    it certainly was not.
    """

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
    """What to do with the claim of a non-idempotent request when it ends."""

    NONE = "none"
    SETTLE = "settle"
    RELEASE = "release"
    KEEP = "keep"


@dataclass
class RequestState:
    """State of one request, by which its next action is decided.

    Parameters
    ----------
    claimed : bool
        Whether this gateway may hold the claim of the request's key.
    sent : int
        Attempts of which any byte may have been sent.
    in_flight : int
        Attempts that were sent and have no result yet.
    may_have_run : bool
        Whether an attempt without a complete response may have run.
    answered : bool
        Whether a complete response arrived, even if it reports a failure.
    duplicate : bool
        Whether an earlier request claimed the key.
    hedged : bool
        Whether the first attempt was late; a hedge is considered only once.
    tried : set of TargetId
        Targets that get no further attempt of this request.
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
    """Inputs of a decision besides the state of the request.

    Parameters
    ----------
    typical_latency : float
        Seconds that a response usually takes.
    spend : callable
        Takes one token from the retry budget; returns whether there was one.
    """

    now: Seconds
    typical_latency: float
    spend: Callable[[], bool]


Rule = Callable[[RequestState, DecisionContext], Action]


def advance(state: RequestState, event: Event, context: DecisionContext) -> Action:
    """Return the action that follows an event; set both in the state.

    Raises
    ------
    KeyError
        If the current action cannot lead to this event.
    """
    rule = _RULES[state.action, event]
    state.last_event = event
    state.action = rule(state, context)
    return state.action


def determine_outcome(state: RequestState) -> Outcome:
    """Return the outcome for the caller: ``NOT_RUN`` only if it certainly never ran."""
    if state.answered:
        return Outcome.DONE
    if state.duplicate or state.may_have_run or state.in_flight:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


def determine_claim_action(state: RequestState) -> ClaimAction:
    """Return what to do with the claim after the caller has its response."""
    if not state.claimed:
        return ClaimAction.NONE
    outcome = determine_outcome(state)
    if outcome is Outcome.DONE:
        return ClaimAction.SETTLE
    return ClaimAction.KEEP if outcome is Outcome.UNKNOWN else ClaimAction.RELEASE


def _respond(state: RequestState, context: DecisionContext) -> Action:
    return Action.RESPOND


def _claim_or_acquire_permit(state: RequestState, context: DecisionContext) -> Action:
    return Action.ACQUIRE if state.idempotent else Action.CLAIM


def _handle_claim_granted(state: RequestState, context: DecisionContext) -> Action:
    state.claimed = True
    return Action.ACQUIRE if context.now < state.deadline_at else Action.RESPOND


def _handle_claim_lost(state: RequestState, context: DecisionContext) -> Action:
    state.claimed = True
    return Action.RESPOND


def _record_duplicate(state: RequestState, context: DecisionContext) -> Action:
    state.duplicate = True
    return Action.RESPOND


def _send(state: RequestState, context: DecisionContext) -> Action:
    return Action.SEND


def _await_response(state: RequestState, context: DecisionContext) -> Action:
    state.sent += 1
    state.in_flight += 1
    return Action.AWAIT


def _retry_unsent(state: RequestState, context: DecisionContext) -> Action:
    return Action.AWAIT if state.in_flight else _retry(state, context)


def _retry_refused(state: RequestState, context: DecisionContext) -> Action:
    state.in_flight -= 1
    return _retry_if_idempotent(state, context)


def _retry_partly_sent(state: RequestState, context: DecisionContext) -> Action:
    """Continue after an attempt that failed while it was sent and may have run."""
    state.may_have_run = True
    state.sent += 1
    return _retry_if_idempotent(state, context)


def _retry_lost(state: RequestState, context: DecisionContext) -> Action:
    state.may_have_run = True
    state.in_flight -= 1
    return _retry_if_idempotent(state, context)


def _retry_failed(state: RequestState, context: DecisionContext) -> Action:
    """Continue after a complete response that reports a failure of the target."""
    state.answered = True
    state.in_flight -= 1
    return _retry_if_idempotent(state, context)


def _retry_if_idempotent(state: RequestState, context: DecisionContext) -> Action:
    if state.in_flight:
        return Action.AWAIT
    return _retry(state, context) if state.idempotent else Action.RESPOND


def _hedge(state: RequestState, context: DecisionContext) -> Action:
    state.hedged = True
    may_hedge = state.idempotent and state.sent < ATTEMPTS_MAX
    if may_hedge and _has_time(state, context) and context.spend():
        return Action.HEDGE
    return Action.AWAIT


def _await_or_respond(state: RequestState, context: DecisionContext) -> Action:
    return Action.AWAIT if state.in_flight else Action.RESPOND


def _send_hedge(state: RequestState, context: DecisionContext) -> Action:
    return Action.SEND


def _complete(state: RequestState, context: DecisionContext) -> Action:
    state.answered = True
    state.in_flight -= 1
    return Action.RESPOND


def _expire(state: RequestState, context: DecisionContext) -> Action:
    state.may_have_run = True
    return Action.RESPOND


def _retry(state: RequestState, context: DecisionContext) -> Action:
    allowed = len(state.tried) < ATTEMPTS_MAX and _has_time(state, context)
    return Action.ACQUIRE if allowed and context.spend() else Action.RESPOND


def _has_time(state: RequestState, context: DecisionContext) -> bool:
    return context.now + context.typical_latency < state.deadline_at


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
    (Action.SEND, Event.SENT): _await_response,
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
    """Return the events that an action can lead to."""
    return [event for current, event in _RULES if current is action]
