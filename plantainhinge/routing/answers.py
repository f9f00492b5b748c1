"""What a caller is told, from how its request went."""

from dataclasses import dataclass

from ..core.calls import CallerAnswer
from ..core.messages import TargetAnswer
from ..core.states import Outcome
from .requests import Event, RequestState, judge
from .targets import TargetRow

STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_TOO_MANY = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
DEFAULT_CONTENT_TYPE = "application/octet-stream"

_TIMEOUTS = frozenset({Event.EXPIRED, Event.NO_PLACE})


@dataclass
class Fault:
    """The last thing that went wrong with a request.

    Parameters
    ----------
    retry_after : float or None
        Seconds until another try is worthwhile, if the other side said so.
    """

    code: str = ""
    step: str = ""
    peer: str = ""
    detail: str = ""
    retry_after: float | None = None


def pass_on(answer: TargetAnswer, row: TargetRow) -> CallerAnswer:
    """Return a target's whole answer for the caller."""
    return CallerAnswer(
        status=answer.status,
        outcome=Outcome.DONE,
        body=answer.body,
        content_type=answer.headers.get("content-type", DEFAULT_CONTENT_TYPE),
        target=row.target.target,
        domain=row.target.domain,
    )


def explain(state: RequestState, fault: Fault, *, retry_after: float) -> CallerAnswer:
    """Return what the caller is told of a request without an answer.

    Parameters
    ----------
    retry_after : float
        Seconds until a place is expected; told only if the request did not run.
    """
    outcome = judge(state)
    not_run = outcome is Outcome.NOT_RUN
    return CallerAnswer(
        status=_pick_status(state, outcome),
        outcome=outcome,
        retry_after=(fault.retry_after or retry_after) if not_run else None,
        code=fault.code,
        step=fault.step,
        peer=fault.peer,
        detail=fault.detail,
    )


def explain_expired_key() -> CallerAnswer:
    """Return what the caller is told of a key that no ledger remembers."""
    return CallerAnswer(
        status=STATUS_GONE,
        outcome=Outcome.UNKNOWN,
        code="key-expired",
        step="request.check",
        detail="the key is older than the claims that are kept",
    )


def _pick_status(state: RequestState, outcome: Outcome) -> int:
    if outcome is Outcome.NOT_RUN:
        turned_away = state.last is Event.TURNED_AWAY
        return STATUS_TOO_MANY if turned_away else STATUS_UNAVAILABLE
    if state.duplicate:
        return STATUS_CONFLICT
    return STATUS_TIMEOUT if state.last in _TIMEOUTS else STATUS_BAD_GATEWAY
