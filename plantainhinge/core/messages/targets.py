"""Messages between gateways and targets."""

from ..ids import DomainId, RackId, RequestId, ServiceId, TargetId, WorkerId
from .base import Message


class TargetRequest(Message, frozen=True):
    """A request as sent to a target; ``timeout`` is in seconds."""

    request: RequestId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float


class TargetResponse(Message, frozen=True):
    """The complete response of a target.

    Parameters
    ----------
    refused : bool
        Whether the target reports that it did not run the request.
    leaving : bool
        Whether the target reports that it accepts no new requests.
    in_flight : int
        Number of requests that the target is running or queueing for all gateways.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    refused: bool = False
    leaving: bool = False
    in_flight: int = 0


class Target(Message, frozen=True):
    """A service replica that accepts requests."""

    target: TargetId
    service: ServiceId
    address: str
    domain: DomainId
    rack: RackId
    worker: WorkerId
    leaving: bool = False
