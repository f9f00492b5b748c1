"""What callers send and are told, apart from its encoding."""

import msgspec

from .ids import DomainId, KindId, RequestId, RequestKey, TargetId
from .states import Outcome


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller.

    Parameters
    ----------
    deadline_ms : int or None
        Milliseconds left; None for the kind's own deadline.
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
    """What a caller is told.

    Parameters
    ----------
    retry_after : float or None
        Seconds until another try is worthwhile; set if the outcome is not-run.
    code, step, peer : str
        Where it failed; empty if it did not.
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
