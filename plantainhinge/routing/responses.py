"""Responses to callers: HTTP status, outcome and problem details of a request."""

from dataclasses import dataclass

from ..core.calls import CallerResponse
from ..core.claims import CLAIM_WINDOW_SECONDS
from ..core.errors import BadInputError, PlantainhingeError, UnavailableError
from ..core.messages import TargetResponse
from ..core.states import Outcome
from .claims import CLOCK_SKEW_SECONDS, KeyAge
from .requests import Event, RequestState, determine_outcome
from .targets import TargetRow

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_TOO_MANY = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
DEFAULT_CONTENT_TYPE = "application/octet-stream"

_KEY_ERRORS = {
    KeyAge.EXPIRED: "Idempotency-Key is older than the claims that are kept; valid: "
    f"up to {CLAIM_WINDOW_SECONDS:.0f} s old",
    KeyAge.FUTURE: "Idempotency-Key is from the future; valid: up to "
    f"{CLOCK_SKEW_SECONDS:.0f} s ahead",
}
_TIMEOUTS = frozenset({Event.EXPIRED, Event.NO_PERMIT})


@dataclass
class RequestFailure:
    """The most recent failure of a request, for the problem details.

    Parameters
    ----------
    retry_after : float or None
        Seconds until a retry is worthwhile, if the other side gave them.
    """

    code: str = ""
    step: str = ""
    peer: str = ""
    detail: str = ""
    retry_after: float | None = None


def build_target_response(response: TargetResponse, row: TargetRow) -> CallerResponse:
    """Return a target's complete response as the response to the caller."""
    return CallerResponse(
        status=response.status,
        outcome=Outcome.DONE,
        body=response.body,
        content_type=response.headers.get("content-type", DEFAULT_CONTENT_TYPE),
        target=row.target.target,
        domain=row.target.domain,
    )


def build_failure_response(
    state: RequestState, failure: RequestFailure, *, retry_after: float
) -> CallerResponse:
    """Return the response for a request without a complete response from a target.

    Parameters
    ----------
    retry_after : float
        Expected seconds until a permit is free; sent only if the request did not
        run.
    """
    outcome = determine_outcome(state)
    not_run = outcome is Outcome.NOT_RUN
    return CallerResponse(
        status=_choose_status(state, outcome),
        outcome=outcome,
        retry_after=(failure.retry_after or retry_after) if not_run else None,
        code=failure.code,
        step=failure.step,
        peer=failure.peer,
        detail=failure.detail,
    )


def build_key_response(age: KeyAge) -> CallerResponse:
    """Return the response for an idempotency key that cannot be claimed.

    An earlier request with the key may have run, and the clock of this gateway
    may be wrong, so the outcome is unknown whatever the status.
    """
    expired = age is KeyAge.EXPIRED
    return CallerResponse(
        status=STATUS_GONE if expired else STATUS_BAD_REQUEST,
        outcome=Outcome.UNKNOWN,
        code="key-expired" if expired else "bad-input",
        step="request.check",
        detail=_KEY_ERRORS[age],
    )


def build_error_response(error: PlantainhingeError) -> CallerResponse:
    """Return the response for a request that ended in an error."""
    status, outcome, retry_after = STATUS_BAD_GATEWAY, Outcome.UNKNOWN, None
    if isinstance(error, BadInputError):
        status, outcome = STATUS_BAD_REQUEST, Outcome.NOT_RUN
    elif isinstance(error, UnavailableError):
        status, outcome = STATUS_UNAVAILABLE, Outcome.NOT_RUN
        retry_after = error.retry_after
    return CallerResponse(
        status=status,
        outcome=outcome,
        retry_after=retry_after,
        code=error.code,
        step=error.step,
        peer=error.peer,
        detail=error.message,
    )


def _choose_status(state: RequestState, outcome: Outcome) -> int:
    if outcome is Outcome.NOT_RUN:
        is_rejected = state.last_event is Event.REJECTED
        return STATUS_TOO_MANY if is_rejected else STATUS_UNAVAILABLE
    if state.duplicate:
        return STATUS_CONFLICT
    return STATUS_TIMEOUT if state.last_event in _TIMEOUTS else STATUS_BAD_GATEWAY
