"""Messages by which a gateway claims the right to send a request."""

from ..ids import ProcessId, RequestId, RequestKey, TeamId
from ..states import ClaimState
from .base import Message


class ClaimRequest(Message, frozen=True):
    """Asks a ledger's owner for the only right to send a request."""

    key: RequestKey
    request: RequestId
    team: TeamId
    gateway: ProcessId
    key_at: float = 0.0


class ClaimResponse(Message, frozen=True):
    """Whether the claim was granted; if not, the request may have run.

    Parameters
    ----------
    state : ClaimState or None
        Where the claim of an earlier request with this key stands; None if the
        key is too old to know.
    reason : str
        Why it was not granted.
    """

    granted: bool
    state: ClaimState | None = None
    reason: str = ""


class FinishClaim(Message, frozen=True):
    """Tells a ledger's owner how a claimed request went."""

    key: RequestKey
    request: RequestId
    team: TeamId
    ran: bool
