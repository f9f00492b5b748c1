"""Messages between gateways and targets."""

from ..ids import DomainId, RackId, RequestId, ServiceId, TargetId, WorkerId
from .base import Message


class TargetRequest(Message, frozen=True):
    """One request as it goes to a target."""

    request: RequestId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float


class TargetResponse(Message, frozen=True):
    """A whole answer of a target to its request.

    Parameters
    ----------
    refused : bool
        The target says that it did not run the request.
    leaving : bool
        The target says that it takes no new work.
    in_flight : int
        Requests the target is running or queueing, over all gateways.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    refused: bool = False
    leaving: bool = False
    in_flight: int = 0


class Target(Message, frozen=True):
    """A service replica that answers requests."""

    target: TargetId
    service: ServiceId
    address: str
    domain: DomainId
    rack: RackId
    worker: WorkerId
    leaving: bool = False
