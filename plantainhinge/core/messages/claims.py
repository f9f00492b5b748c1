"""Messages by which a gateway claims the exclusive right to send a request."""

from ..ids import ProcessId, RequestId, RequestKey, TeamId
from ..states import ClaimState
from .base import Message


class ClaimRequest(Message, frozen=True):
    """Asks a ledger's owner for the exclusive right to send a request.

    Parameters
    ----------
    key_at : float
        When the key was created, in seconds since the Unix epoch; 0 if unknown.
    """

    key: RequestKey
    request: RequestId
    team: TeamId
    gateway: ProcessId
    key_at: float = 0.0


class ClaimResponse(Message, frozen=True):
    """Response to a claim; if it is not granted, the request may already have run.

    Parameters
    ----------
    state : ClaimState or None
        State of the earlier claim on this key; None if the key is so old that its
        claim may have been discarded.
    reason : str
        Why the claim was not granted.
    """

    granted: bool
    state: ClaimState | None = None
    reason: str = ""


class FinishClaim(Message, frozen=True):
    """Reports to a ledger's owner whether a claimed request ran.

    A claim whose request did not run is released and may be granted again.
    """

    key: RequestKey
    request: RequestId
    team: TeamId
    ran: bool
