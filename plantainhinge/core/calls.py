"""Requests of callers and their responses, independent of the HTTP encoding."""

import msgspec

from .ids import DomainId, KindId, RequestId, RequestKey, TargetId
from .states import Outcome


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request received from a caller.

    Parameters
    ----------
    deadline_ms : int or None
        Milliseconds left to answer the request; None if the caller gave no
        deadline, so that the deadline of the kind applies.
    """

    request: RequestId
    kind: KindId
    method: str
    path: str
    body: bytes
    content_type: str = ""
    key: RequestKey | None = None
    deadline_ms: int | None = None


class CallerResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a caller's request.

    Parameters
    ----------
    retry_after : float or None
        Seconds after which the caller may retry; set only if the outcome is
        not-run.
    code, step, peer : str
        Error code, step and peer of the failure; empty if the request succeeded.
    """

    status: int
    outcome: Outcome
    body: bytes = b""
    content_type: str = "application/json"
    retry_after: float | None = None
    code: str = ""
    step: str = ""
    peer: str = ""
    detail: str = ""
    target: TargetId | None = None
    domain: DomainId | None = None
